"""The policy and two plain balancers over real processes on loopback.

Each row starts three hosts, four engines and pools of its own and sends them
the same load: shoppers at a steady rate and drafts at about twice what
the engines can do. In half of the rows one engine is ten times
slower. Counts matter here, times are those of the machine as it is.
"""

import time

import sites
from fleet import Fleet

SECONDS = 10
SHOPPERS = 30
DRAFTS = 54
HOSTS = 3
ENGINES = 4
ROUTINGS = ("plain-round-robin", "plain-least-in-flight", "least-wait")
ENGINE_OPTIONS = ["--models", "faq-7b@1", "--step-ms", "8", "--slots", "8"]
POOL_OPTIONS = ["--service-ms", "4", "--slots", "32"]


def flows():
    common = {"target": "pipeline", "workspaces": sites.WORKSPACES}
    return [
        {"name": "shopper", "called": "chat-reply", "per_second": SHOPPERS,
         "max_tokens": 24, "deadline_ms": 2500, **common},
        {"name": "draft", "called": "faq-draft", "per_second": DRAFTS,
         "max_tokens": 128, "deadline_ms": 6000, **common}]


def run(routing, slow):
    """Summary of the load by flow, and the engine calls that began."""
    with Fleet() as fleet:
        _, engines = fleet.add_endpoints("engines", [sites.ENGINE] * ENGINES, ENGINE_OPTIONS)
        fleet.add_endpoints("pools", sites.POOLS * 2 + [sites.FAQ_FRONT], POOL_OPTIONS)
        fleet.add_endpoints("billing", [sites.BILLING])  # Hosts wait for it.
        hosts = [fleet.start_host(f"entry-{i + 1}", {"routing": routing})
                 for i in range(HOSTS)]
        # Drafts without keys: claims are not what is compared here.
        fleet.publish(sites.PIPELINE_FILE.replace("    billed: true\n", ""))
        fleet.wait_ready(settle_s=1)
        fleet.balance_over(hosts)
        load = fleet.start_load(flows(), SECONDS)
        if slow:
            time.sleep(2)
            fleet.endpoint_faults(engines[0], {"mode": "slow", "factor": 10})
        summary = fleet.finish_load(load)
        begun = sum(line["kind"] == "engine" and line["event"] == "started"
                    for line in fleet.ledger_lines())
        return summary, begun


def print_row(routing, summary, begun):
    cells = [routing]
    full = 0
    for name in ("shopper", "draft"):
        flow = summary[name]
        full += flow["full"]
        cells.append(f"{flow['full']}/{flow['sent']}")
        cells += [str(flow[kind]) for kind in ("late", "refused", "failed")]
        times = flow["total_ms"]
        cells.append(f"{times['p99']:.0f}" if times else "-")
    cells += [str(summary[name]["lost"] + summary[name]["crossed"])
              for name in ("shopper", "draft")]
    cells.append(f"{begun} ({100 * (begun - full) / max(begun, 1):.0f} %)")
    print("| " + " | ".join(cells) + " |", flush=True)


def main():
    for slow in (False, True):
        engine = "one engine ten times slower" if slow else "no fault"
        print(f"\n{HOSTS} hosts, {ENGINES} engines, {SHOPPERS} shoppers and "
              f"{DRAFTS} drafts a second for {SECONDS} s, {engine}\n")
        print("| routing | shoppers whole | late | refused | failed | p99 ms "
              "| drafts whole | late | refused | failed | p99 ms "
              "| shoppers lost or crossed | drafts lost or crossed | engine calls begun (no answer in time) |")
        print("|" + "---|" * 14)
        for routing in ROUTINGS:
            print_row(routing, *run(routing, slow))


if __name__ == "__main__":
    main()
