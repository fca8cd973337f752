"""Seconds until all hosts agree: a configuration in force everywhere, and no
more work at an endpoint that leaves.

Twenty tries of each. A configuration is in force on a host once the host gives
it as its own. Work at an endpoint is counted by the endpoint: calls that it ran
or refused, the last of which ends the try.
"""

import json
import statistics
import sys
import threading
import time

import sites
from fleet import Fleet, http

TRIES = 20
HOSTS = 5
LAG_MS = 1000
LONG_LAG_MS = 120_000
PER_SECOND = 500
POLL_S = 0.01
QUIET_S = 1.6  # Longer than any interval at which a host learns of leaving.
GIVE_UP_S = 10
CONFIG_LIMIT_S = 6
LEAVE_LIMIT_S = 3
LOAD_S = 180


def start_site(fleet):
    fleet.add_endpoints("engines", [sites.ENGINE] * 2, sites.ENGINE_OPTIONS)
    fleet.add_endpoints("pools", sites.POOLS + [sites.BILLING])
    _, fronts = fleet.add_endpoints("fronts", [sites.FAQ_FRONT] * (TRIES + 2))
    for i in range(HOSTS):
        fleet.start_host(f"entry-{i}")
    fleet.publish(sites.PIPELINE_FILE)
    fleet.wait_ready()
    fleet.balance_over(fleet.hosts)
    return fronts


def revision_at(host):
    status, text = http("GET", host.url + "/v1/admin/config", timeout=1)
    return json.loads(text)["revision"] if status == 200 else 0


def seconds_to_revision(fleet, number):
    """From the operator's call until the slowest host has the revision."""
    before = revision_at(fleet.hosts[0])
    source = sites.PIPELINE_FILE.replace("deadline: 6s", f"deadline: {7 + number}s")
    began = time.monotonic()
    apply = threading.Thread(target=http, args=(
        "POST", fleet.hosts[number % HOSTS].url + "/v1/admin/config",
        {"base": before, "source": source}, 20))
    apply.start()
    waiting = set(fleet.hosts)
    while waiting and time.monotonic() - began < GIVE_UP_S:
        waiting = {host for host in waiting if revision_at(host) <= before}
        time.sleep(POLL_S)
    took = time.monotonic() - began
    apply.join()
    return took


def calls_at(endpoint):
    _, text = http("GET", f"http://{endpoint['address']}/ledger", timeout=1)
    totals = json.loads(text)["totals"]
    return totals["started"] + totals["refused"]


def seconds_to_last_call(endpoint, leave):
    began = time.monotonic()
    leave(endpoint)
    seen = calls_at(endpoint)
    last = 0
    while True:
        time.sleep(POLL_S)
        now = time.monotonic() - began
        calls = calls_at(endpoint)
        if calls != seen:
            seen, last = calls, now
        if now - last > QUIET_S or now > GIVE_UP_S:
            return last


def by_list(fleet):
    return lambda endpoint: fleet.list_lines([{**endpoint, "state": "leaving"}])


def by_own_word(fleet):
    return lambda endpoint: fleet.endpoint_faults(endpoint, {"mode": "leaving"})


def row(name, seconds, limit):
    print(f"| {name} | {len(seconds)} | {statistics.median(seconds):.2f} | "
          f"{max(seconds):.2f} | {limit} |", flush=True)
    return max(seconds) <= limit


def run_configuration():
    good = True
    for name, faults in (("configuration", {}),
                         ("the same, append answers lost",
                          {"lose_append_answers": 1})):
        with Fleet(list_lag_ms=LAG_MS) as fleet:
            start_site(fleet)
            tries = []
            for number in range(TRIES):
                fleet.platform_faults(faults)
                tries.append(seconds_to_revision(fleet, number))
            good &= row(name, tries, CONFIG_LIMIT_S)
    return good


def run_leaving(name, way, faults):
    with Fleet(list_lag_ms=LAG_MS) as fleet:
        fronts = start_site(fleet)
        load = fleet.start_load(
            [{"name": "front", "target": "service", "called": "faq-front",
              "per_second": PER_SECOND, "workspaces": sites.WORKSPACES,
              "deadline_ms": 2000}], LOAD_S)
        time.sleep(1)
        fleet.platform_faults(faults)
        tries = [seconds_to_last_call(endpoint, way(fleet))
                 for endpoint in fronts[:TRIES]]
        load.process.terminate()
    return row(name, tries, LEAVE_LIMIT_S)


def main():
    print(f"\n{HOSTS} hosts, {PER_SECOND} calls a second on {TRIES + 2} endpoints, "
          f"host list {LAG_MS / 1000:.0f} s late\n")
    print("| seconds to | tries | median | maximum | limit |\n|---|---|---|---|---|")
    good = run_configuration()
    good &= run_leaving("no new work, told by the list alone", by_list, {})
    good &= run_leaving("no new work, told by itself, list 120 s late", by_own_word,
                        {"list_lag_ms": LONG_LAG_MS})
    good &= run_leaving("no new work, told by itself, list down", by_own_word,
                        {"list_down": True})
    return 0 if good else 1


if __name__ == "__main__":
    sys.exit(main())
