"""Time that one slatestalld adds, and what it uses.

Reference: the same stand-ins called by the caller itself, one call after
another. Rates per core are work done over processor time used by slatestalld.
"""

import json
import os
import sys
import time

import sites
from fleet import Fleet

SECONDS = 6
PLAIN_RATE = 300
PIPELINE_RATE = 40
TOKENS = 32
STAGES = 4
FAST = ["--service-ms", "2", "--service-spread", "0.1", "--slots", "32"]


def flow(name, target, called, rate, **more):
    return {"name": name, "target": target, "called": called,
            "per_second": rate, "max_tokens": TOKENS,
            "workspaces": sites.WORKSPACES, **more}


def write_hosts(fleet, name, endpoints):
    path = os.path.join(fleet.folder, name)
    with open(path, "w") as file:
        file.writelines(f"http://{e['address']}\n" for e in endpoints)
    return path


def measure(fleet, host, flows, hosts_path=None):
    """Summary, processor seconds of the host and its largest memory."""
    before = host.cpu_seconds() if host else 0
    load = fleet.start_load(flows, SECONDS, hosts_path=hosts_path)
    peak = 0
    while load.process.poll() is None:
        peak = max(peak, host.rss_mib()) if host else 0
        time.sleep(0.1)
    summary = fleet.finish_load(load)
    used = host.cpu_seconds() - before if host else 0
    return summary[flows[0]["name"]], used, peak


def row(label, summary, quantity="total_ms"):
    times = summary[quantity]
    whole = f"{summary['full']}/{summary['sent']}"
    return f"| {label} | {whole} | {times['p50']:.2f} | {times['p99']:.2f} |"


def run_routing(routing):
    with Fleet() as fleet:
        options = sites.ENGINE_OPTIONS + ["--slots", "16"]
        _, engines = fleet.add_endpoints("engines", [sites.ENGINE] * 4, options)
        _, pools = fleet.add_endpoints("pools", sites.POOLS + [sites.FAQ_FRONT] * 2, FAST)
        fleet.add_endpoints("billing", [sites.BILLING])  # Hosts wait for it.
        host = fleet.start_host("entry-1", {"routing": routing})
        fleet.publish(sites.PIPELINE_FILE)
        fleet.wait_ready()
        fleet.balance_over([host])
        rest = host.rss_mib()
        idle_from, idle_cpu = time.monotonic(), host.cpu_seconds()
        time.sleep(2)
        idle_core = (host.cpu_seconds() - idle_cpu) / (time.monotonic() - idle_from)

        plain_hosts = write_hosts(fleet, "plain", pools[3:])
        engine_hosts = write_hosts(fleet, "engine", engines)
        chain = [f"http://{e['address']}" for e in pools[:3]]
        direct, _, _ = measure(fleet, None, [
            flow("plain-direct", "direct-plain", "", PLAIN_RATE)], plain_hosts)
        through, plain_cpu, plain_peak = measure(fleet, host, [
            flow("plain", "service", "faq-front", PLAIN_RATE)])
        direct_chain, _, _ = measure(fleet, None, [
            flow("chain-direct", "direct-chain", "faq-7b", PIPELINE_RATE,
                 stream=True, chain=chain)], engine_hosts)
        pipeline, pipe_cpu, pipe_peak = measure(fleet, host, [
            flow("chain", "pipeline", "chat-reply", PIPELINE_RATE, stream=True,
                 deadline_ms=2500)])

    print(f"\nRouting {routing}, one traffic thread, {SECONDS} s a row\n")
    print("| calls | whole | p50 ms | p99 ms |\n|---|---|---|---|")
    print(row(f"plain service directly, {PLAIN_RATE}/s", direct))
    print(row("plain service through slatestalld", through))
    print(row(f"four stages directly, {PIPELINE_RATE}/s, whole stream", direct_chain))
    print(row("four stages through slatestalld, whole stream", pipeline))
    print(row("four stages directly, first token", direct_chain, "first_byte_ms"))
    print(row("four stages through slatestalld, first token", pipeline, "first_byte_ms"))
    added = {
        "plain": [through["total_ms"][q] - direct["total_ms"][q] for q in ("p50", "p99")],
        "first token": [pipeline["first_byte_ms"][q] - direct_chain["first_byte_ms"][q]
                        for q in ("p50", "p99")]}
    print("\n| added by slatestalld | p50 ms | p99 ms |\n|---|---|---|")
    for name, (median, high) in added.items():
        print(f"| {name} | {median:.2f} | {high:.2f} |")
    print("\n| slatestalld | value |\n|---|---|")
    print(f"| plain requests a second per core | {through['sent'] / plain_cpu:.0f} |")
    print(f"| pipeline requests a second per core | {pipeline['sent'] / pipe_cpu:.0f} |")
    print(f"| stage calls a second per core | {STAGES * pipeline['sent'] / pipe_cpu:.0f} |")
    print(f"| relayed tokens a second per core | {pipeline['tokens'] / pipe_cpu:.0f} |")
    print(f"| idle, share of a core | {100 * idle_core:.2f}% |")
    print(f"| memory at rest, MiB | {rest:.1f} |")
    print(f"| memory under load, MiB | {max(plain_peak, pipe_peak):.1f} |")
    bad = [s for s in (direct, through, direct_chain, pipeline)
           if s["full"] + s["late"] + s["refused"] != s["sent"]]
    for summary in bad:
        print("not all well:", json.dumps(summary))
    return not bad


if __name__ == "__main__":
    results = [run_routing(routing) for routing in ("least-wait", "round-robin")]
    sys.exit(0 if all(results) else 1)
