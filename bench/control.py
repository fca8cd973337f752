"""What control costs one idle host: processor time and memory, by number of
hosts, endpoints and workspaces.

Each row starts real processes. The slopes are differences between rows; what
cannot be started here (390 hosts) is worked out from them in docs/CAPACITY.md.
"""

import sys
import time

import sites
from fleet import Fleet

SETTLE_S = 3
MEASURE_S = 8
ROWS = [  # hosts, engines, workspaces
    (1, 8, 5), (1, 64, 5), (1, 64, 360),
    (4, 64, 360), (8, 64, 360), (16, 64, 360),
]


def pipeline_file(workspaces):
    head, _ = sites.PIPELINE_FILE.split("workspaces:")
    limits = "{requests_per_second: 100, tokens_per_second: 20000, concurrency: 50}"
    return head + "workspaces:\n" + "".join(
        f"  shop-{i}: {{routes: [chat-reply], limits: {limits}}}\n"
        for i in range(workspaces))


def run_row(hosts, engines, workspaces):
    with Fleet() as fleet:
        fleet.add_endpoints("engines", [sites.ENGINE] * engines,
                            sites.ENGINE_OPTIONS)
        fleet.add_endpoints("pools", sites.POOLS + [sites.FAQ_FRONT, sites.BILLING])
        started = [fleet.start_host(f"entry-{i}") for i in range(hosts)]
        fleet.publish(pipeline_file(workspaces))
        fleet.wait_ready()
        time.sleep(SETTLE_S)
        before = [host.cpu_seconds() for host in started]
        time.sleep(MEASURE_S)
        used = [host.cpu_seconds() - was for host, was in zip(started, before)]
        memory = max(host.rss_mib() for host in started)
    share = 100 * sum(used) / hosts / MEASURE_S
    print(f"| {hosts} | {engines} | {workspaces} | {share:.2f} | {memory:.1f} |",
          flush=True)


def main():
    print("| hosts | engines | workspaces | % of a core a host | MiB |")
    print("|---|---|---|---|---|")
    for row in ROWS:
        run_row(*row)
    return 0


if __name__ == "__main__":
    sys.exit(main())
