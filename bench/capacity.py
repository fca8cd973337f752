"""What control costs one host, by hosts, endpoints, workspaces, streams, keys
and changes of configuration, and the slopes between rows.

Each row starts real processes, 40 hosts at most. Bytes are what hosts count
themselves (slatestall_control_bytes_total), so headers of TCP/IP are not in
them. What cannot be started here (390 hosts) is worked out from the slopes in
docs/CAPACITY.md.
"""

import sys
import time

import sites
from control import pipeline_file
from fleet import Fleet, http

SETTLE_S = 4
MEASURE_S = 8
CHANGES = 4
BASE = {"hosts": 8, "engines": 64, "workspaces": 5}
CALLERS = [f"shop-{i}" for i in range(BASE["workspaces"])]
PARTIES = ["peers", "endpoints", "log", "host_list"]
ROWS = [
    ("1 host", {"hosts": 1}),
    ("8 hosts", {}),
    ("20 hosts", {"hosts": 20}),
    ("40 hosts", {"hosts": 40}),
    ("8 engines", {"engines": 8}),
    ("128 engines", {"engines": 128}),
    ("360 workspaces", {"workspaces": 360}),
    ("16 streams/s", {"streams": 16}),
    ("16 calls/s", {"calls": 16, "key": "none"}),
    ("16 calls/s, minted keys", {"calls": 16, "key": "minted"}),
    ("16 calls/s, callers' keys", {"calls": 16, "key": "own"}),
    ("360 workspaces, a change every 2 s", {"workspaces": 360, "changes": CHANGES}),
]
SLOPES = [  # What a row has more of than another.
    ("host", "8 hosts", "40 hosts", 32),
    ("engine", "8 hosts", "128 engines", 64),
    ("workspace", "8 hosts", "360 workspaces", 355),
    ("stream/s, whole fleet", "8 hosts", "16 streams/s", 16),
    ("minted key/s, whole fleet", "16 calls/s", "16 calls/s, minted keys", 16),
    ("callers' key/s, whole fleet", "16 calls/s", "16 calls/s, callers' keys", 16),
    ("change/s", "360 workspaces", "360 workspaces, a change every 2 s",
     CHANGES / MEASURE_S),
]


def source_of(settings):
    return pipeline_file(settings["workspaces"]).replace(
        "routes: [chat-reply]", "routes: [chat-reply, faq-front, billing]")


def control_figures(host):
    """Control messages and bytes of a host, by party."""
    _, text = http("GET", host.url + "/metrics")
    figures = {}
    for line in text.splitlines():
        name, _, value = line.rpartition(" ")
        if name.startswith("slatestall_control_") and value.isdigit():
            figures[name] = int(value)
    if not figures:
        raise RuntimeError(f"{host.name} tells no control figures: {text[:200]}")
    return figures


def work(fleet, settings):
    """Runs what the row asks for; returns once MEASURE_S have passed."""
    until = time.monotonic() + MEASURE_S
    load = None
    flow = None
    if "streams" in settings:
        flow = {"target": "pipeline", "called": "chat-reply", "stream": True,
                "deadline_ms": 2500, "per_second": settings["streams"]}
    elif "calls" in settings:  # A key counts where a call may not be repeated.
        called = "faq-front" if settings["key"] == "none" else "billing"
        flow = {"target": "service", "called": called,
                "key": settings["key"], "per_second": settings["calls"]}
    if flow is not None:
        load = fleet.start_load([{"name": "load", "max_tokens": 32,
                                  "workspaces": CALLERS, **flow}], MEASURE_S)
    for change in range(settings.get("changes", 0)):
        fleet.publish(source_of(settings) + f"# change {change}\n")
        time.sleep(MEASURE_S / settings["changes"] - 0.1)
    time.sleep(max(0, until - time.monotonic()))
    if load is not None:
        summary = fleet.finish_load(load)["load"]
        if summary["full"] < summary["sent"]:
            print(f"(whole: {summary['full']} of {summary['sent']})")


def run_row(settings):
    with Fleet() as fleet:
        fleet.add_endpoints("engines", [sites.ENGINE] * settings["engines"],
                            sites.ENGINE_OPTIONS)
        fleet.add_endpoints("pools", sites.POOLS + [sites.FAQ_FRONT, sites.BILLING])
        hosts = [fleet.start_host(f"entry-{i}") for i in range(settings["hosts"])]
        fleet.publish(source_of(settings))
        fleet.wait_ready()
        fleet.balance_over(hosts)
        time.sleep(SETTLE_S)
        started = time.monotonic()
        cpu = [host.cpu_seconds() for host in hosts]
        figures = [control_figures(host) for host in hosts]
        work(fleet, settings)
        span = time.monotonic() - started
        used = sum(host.cpu_seconds() for host in hosts) - sum(cpu)
        after = [control_figures(host) for host in hosts]
        memory = max(host.rss_mib() for host in hosts)

    def rate(name):
        grown = sum(b[name] - a[name] for a, b in zip(figures, after))
        return grown / len(hosts) / span

    row = {"cpu": 100 * used / len(hosts) / span, "MiB": memory}
    for party in PARTIES:
        row[party + " messages"] = rate(
            f'slatestall_control_messages_total{{to="{party}"}}')
        row[party] = sum(
            rate(f'slatestall_control_bytes_total{{to="{party}",way="{way}"}}')
            for way in ("sent", "received"))
    return row


def print_row(label, row, digits):
    cells = [f"{row['cpu']:.{digits + 1}f}", f"{row['MiB']:.{digits + 1}f}"]
    cells += [f"{row[party + ' messages']:.{digits}f} / {row[party]:.{digits}f}"
              for party in PARTIES]
    print(f"| {label} | " + " | ".join(cells) + " |", flush=True)


def print_head(first):
    print(f"| {first} | % of a core a host | MiB | " + " | ".join(
        f"{party}: messages / bytes a second" for party in PARTIES) + " |")
    print("|---" * (3 + len(PARTIES)) + "|", flush=True)


def main():
    print(f"{MEASURE_S} s a row, means over the hosts; where not said: "
          f"{BASE['hosts']} hosts, {BASE['engines']} engines, "
          f"{BASE['workspaces']} workspaces, idle. Bytes are sent and received.\n")
    print_head("row")
    rows = {}
    for label, change in ROWS:
        try:
            rows[label] = run_row({**BASE, **change})
        except RuntimeError as error:
            print(f"| {label} | not run: {error} |", flush=True)
            continue
        print_row(label, rows[label], 1)
    print("\nSlopes\n")
    print_head("for one more")
    for unit, less, more, by in SLOPES:
        if less in rows and more in rows:
            print_row(unit, {name: (rows[more][name] - rows[less][name]) / by
                             for name in rows[less]}, 2)
    return 0 if len(rows) == len(ROWS) else 1


if __name__ == "__main__":
    sys.exit(main())
