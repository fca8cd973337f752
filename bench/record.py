"""A recorded live run, replayed: what must agree agrees, the rest side by side.

Two hosts on loopback serve keyed drafts and chat replies while one engine is
made to fail for a moment; entry-1 records. Its trace is replayed by
`slatestall replay`, which checks the stated outcomes, and compared with the
host's own report. A third host records with the smallest size, to show that it
stops there and says so.

Must agree: requests of each pipeline class and workspace, as many as the host
counted; none lost, none doubled. Need not: attainment, times and waste, for
endpoints are modelled and other hosts' load on them is not in the trace.
"""

import json
import os
import subprocess
import sys
import time

import sites
from fleet import BIN, Fleet, http

SECONDS = 6
FAULT_AT_S = 2
FAULT_FOR_S = 2
SECRET_WORDS = ("marker:", "Which rice", "Bearer", "Idempotency")
SMALL_BYTES = 1 << 20
FILL_LIMIT_S = 45
PIPELINES = ("faq-draft", "chat-reply")


def flow(name, target, called, rate, **more):
    return {"name": name, "target": target, "called": called,
            "per_second": rate, "workspaces": sites.WORKSPACES, **more}


FLOWS = [
    flow("draft", "pipeline", "faq-draft", 6, key="minted", deadline_ms=6000,
         max_tokens=64),
    flow("reply", "pipeline", "chat-reply", 40, stream=True, deadline_ms=2500,
         max_tokens=24),
    flow("bill", "service", "billing", 4, key="minted", deadline_ms=3000),
]


def reported_requests(host):
    """Requests to pipelines by class, as the host counted them."""
    _, text = http("GET", host.url + "/v1/admin/report")
    counts = {}
    for route in json.loads(text)["routes"]:
        if route["route"] in PIPELINES:
            key = route["class"] if "class" in route else route["priority"]
            outcomes = route["outcomes"]
            counts[key] = counts.get(key, 0) + sum(outcomes.values())
    return counts


def metric(host, name):
    _, text = http("GET", host.url + "/metrics")
    for line in text.splitlines():
        if line.startswith(f"slatestall_{name} "):
            return int(line.split()[1])
    return None


def recorded_arrivals(path):
    counts = {}
    with open(path) as file:
        for line in file:
            record = json.loads(line)
            if "arrival" in record:
                name = record["pipeline"]
                counts[name] = counts.get(name, 0) + 1
    return counts


def replay(path):
    done = subprocess.run([f"{BIN}/slatestall", "replay", path],
                          capture_output=True, text=True, timeout=120, check=False)
    return done.returncode, done.stdout + done.stderr


def fill(fleet, host, path):
    """Loads `host` until its small recording is full; its size by then."""
    fleet.balance_over([host])
    until = time.monotonic() + FILL_LIMIT_S
    flows = [flow("reply", "pipeline", "chat-reply", 300, deadline_ms=2500, max_tokens=2)]
    while metric(host, "recording") == 1 and time.monotonic() < until:
        fleet.finish_load(fleet.start_load(flows, 5))
    size = os.path.getsize(path)
    fleet.finish_load(fleet.start_load(flows, 1))
    return size, os.path.getsize(path)


def main():
    problems = []
    with Fleet() as fleet:
        trace = os.path.join(fleet.folder, "entry-1.jsonl")
        small = os.path.join(fleet.folder, "entry-3.jsonl")
        _, engines = fleet.add_endpoints("engines", [sites.ENGINE] * 6, sites.ENGINE_OPTIONS)
        fleet.add_endpoints("pools", sites.POOLS * 2 + [sites.FAQ_FRONT, sites.BILLING])
        fleet.start_host("entry-1", {"record_path": trace})
        fleet.start_host("entry-2")
        fleet.start_host("entry-3", {"record_path": small, "record_max_bytes": SMALL_BYTES})
        fleet.publish(sites.PIPELINE_FILE)
        fleet.wait_ready()
        fleet.balance_over(fleet.hosts[:2])
        load = fleet.start_load(FLOWS, SECONDS)
        time.sleep(FAULT_AT_S)
        fleet.endpoint_faults(engines[0], {"mode": "error"})
        time.sleep(FAULT_FOR_S)
        fleet.endpoint_faults(engines[0], {"mode": "none"})
        summary = fleet.finish_load(load)
        time.sleep(0.5)  # The recorder's next look.
        reported = reported_requests(fleet.hosts[0])
        size, later = fill(fleet, fleet.hosts[2], small)
        for host in fleet.hosts:
            host.send(15)
        for host in fleet.hosts:
            if host.wait() != 0:
                problems.append(f"{host.name} did not end cleanly")

        print("sent:", {name: each["sent"] for name, each in summary.items()})
        print("entry-1 reported by class:", reported)
        print("recorded arrivals:", recorded_arrivals(trace))
        code, text = replay(trace)
        print(text)
        if code != 0:
            problems.append(f"the replay ended with {code}")
        if sum(recorded_arrivals(trace).values()) != sum(reported.values()):
            problems.append("the trace lacks requests that the host counted")
        with open(trace) as file:
            whole = file.read()
        problems += [f"the trace holds '{word}'" for word in SECRET_WORDS if word in whole]
        faults = [l for l in whole.splitlines() if '"type":"fault"' in l]
        print("recorded faults:", *faults, sep="\n  ")
        code, _ = replay(small)
        print(f"entry-3, at most {SMALL_BYTES} bytes: stopped at {size}, "
              f"{later} after more load, replay ends with {code}")
        if not 0 < size <= SMALL_BYTES or later != size or code != 0:
            problems.append("the small recording did not stop at its size")
        with open(fleet.hosts[2].err_path) as file:
            said = [l for l in file if "trace recording" in l]
        print("entry-3 said:", *said)
        if not said:
            problems.append("nothing was said when the recording stopped")
    print("problems:", problems or "none")
    return 1 if problems else 0


if __name__ == "__main__":
    sys.exit(main())
