"""What a relayed token costs one slatestalld, at several offered rates.

The mix is that of a busy host: requests of four stages whose answers are
streamed, some 190 tokens each. Processor time is utime + stime of slatestalld.
The reference for added time is the same chain called by the load generator
itself. Several load generators and engine processes share the work; a row
where one of them used most of its core says so, since it may be the limit.

  relay.py [RATE ...]      tokens a second; RELAY_SECONDS bounds a row
"""

import os
import re
import statistics
import sys
import time

import sites
from fleet import Fleet

SECONDS = float(os.environ.get("RELAY_SECONDS", "7"))
LONG, SHORT = 256, 16  # Limits; answers are three quarters of them on average.
STEP_MS = 20
ENGINE_PROCESSES = 4
ENGINES_EACH = 2
GENERATORS = 3
RATES = [5_000, 20_000, 50_000, 100_000]
SATURATED = 0.85  # Of a core: the program is taken for the limit of its row.
STAGES = 4
LONGEST_S = LONG * STEP_MS / 1000

PIPELINES = re.sub(r"deadline: [0-9a-z]+", "deadline: 60s", re.sub(
    r"max_tokens: [0-9]+", f"max_tokens: {LONG}", re.sub(
        r"slots: [0-9]+", "slots: 1024", sites.PIPELINE_FILE)))
FAST = ["--service-ms", "2", "--service-spread", "0.1", "--slots", "256"]
ENGINE_OPTIONS = ["--models", "faq-7b@1", "--step-ms", str(STEP_MS),
                  "--step-growth", "0", "--slots", "1024", "--max-waiting", "4096"]


def tokens_of(limit):
    return 0.75 * limit


def flow(target, called, tokens_per_second, limit, **more):
    return {"name": "relay", "target": target, "called": called, "stream": True,
            "per_second": tokens_per_second / tokens_of(limit) / GENERATORS,
            "max_tokens": limit, "workspaces": sites.WORKSPACES,
            "deadline_ms": 60000, **more}


class Trial:
    def __init__(self, fleet, host, helpers):
        self.fleet, self.host, self.helpers = fleet, host, helpers

    def run(self, load_flow, hosts_path=None):
        """Sums over the generators, medians of their quantiles, and what the
        processes used."""
        watched = [self.host] + self.helpers
        before = [program.cpu_seconds() for program in watched]
        began = time.monotonic()
        loads = [self.fleet.start_load([load_flow], SECONDS, seed=seed + 1,
                                       hosts_path=hosts_path)
                 for seed in range(GENERATORS)]
        half = time.monotonic()
        generator_cpu, peak, steady = {}, 0, []
        while any(load.process.poll() is None for load in loads):
            peak = max(peak, self.host.rss_mib())
            # By then as many streams end as begin.
            if LONGEST_S < time.monotonic() - began < SECONDS:
                steady.append((time.monotonic(), self.host.cpu_seconds()))
            for load in loads:
                if load.process.poll() is None:
                    try:
                        generator_cpu[load] = (load.cpu_seconds(), time.monotonic())
                    except (OSError, IndexError):
                        pass
            time.sleep(0.1)
        took = time.monotonic() - began
        summaries = [self.fleet.finish_load(load)["relay"] for load in loads]
        used = [program.cpu_seconds() - start
                for program, start in zip(watched, before)]
        busy = [cpu / max(at - half, 0.1) for cpu, at in generator_cpu.values()]
        total = {key: sum(s[key] for s in summaries)
                 for key in ("sent", "full", "late", "refused", "tokens")}
        for quantity in ("first_byte_ms", "gap_ms"):
            known = [s[quantity] for s in summaries if s[quantity]]
            total[quantity] = {q: statistics.median(each[q] for each in known)
                               for q in ("p50", "p95", "p99")}
        total.update(cpu=used[0], took=took, rss=peak,
                     helper=max(u / took for u in used[1:]), generator=max(busy))
        (first, cpu_then), (last, cpu_now) = steady[0], steady[-1]
        total["steady"] = (cpu_now - cpu_then) / (last - first)
        total["details"] = [s["details"] for s in summaries if s["details"]]
        return total


def limits_of(row):
    names = [name for name, share in (("engine process", row["helper"]),
                                      ("load generator", row["generator"]),
                                      ("slatestalld", row["steady"]))
             if share > SATURATED]
    return ", ".join(names) or "none"


def main(rates):
    with Fleet() as fleet:
        engines, helpers = [], []
        for i in range(ENGINE_PROCESSES):
            program, added = fleet.add_endpoints(
                f"engines-{i}", [sites.ENGINE] * ENGINES_EACH, ENGINE_OPTIONS)
            helpers.append(program)
            engines += added
        program, pools = fleet.add_endpoints(
            "pools", sites.POOLS + [sites.FAQ_FRONT], FAST)
        helpers.append(program)
        fleet.add_endpoints("billing", [sites.BILLING])
        host = fleet.start_host("entry-1", {
            "routing": os.environ.get("RELAY_ROUTING", "round-robin")})
        fleet.publish(PIPELINES)
        fleet.wait_ready()
        fleet.balance_over([host])
        engine_hosts = os.path.join(fleet.folder, "engine-hosts")
        with open(engine_hosts, "w") as file:
            file.writelines(f"http://{e['address']}\n" for e in engines)
        chain = [f"http://{e['address']}" for e in pools[:3]]
        trial = Trial(fleet, host, helpers)

        idle_cpu, idle_from = host.cpu_seconds(), time.monotonic()
        time.sleep(2)
        idle = (host.cpu_seconds() - idle_cpu) / (time.monotonic() - idle_from)
        short = trial.run(flow("pipeline", "chat-reply", 1500, SHORT))
        rows, well = [], True
        for rate in rates:
            direct = trial.run(flow("direct-chain", "faq-7b", rate, LONG, chain=chain),
                               engine_hosts)
            through = trial.run(flow("pipeline", "chat-reply", rate, LONG))
            rows.append((rate, direct, through))

    def net(row):
        return row["cpu"] - idle * row["took"]

    print(f"\n{GENERATORS} generators, {ENGINE_PROCESSES} engine processes, one token"
          f" an event every {STEP_MS} ms, one traffic thread, {SECONDS:g} s a row;"
          f" idle {100 * idle:.1f}% of a core is taken off\n")
    print("| offered tokens/s | whole | host at that rate, share of a core | "
          "us a token, stages included | us a token | first token added p50 / p99 ms | "
          "gap p95 directly / through ms | gap p99 directly / through ms | MiB | limit |")
    print("|" + "---|" * 10)
    for rate, direct, through in rows:
        # Two equations: requests and tokens of this row, and of the short one.
        a, b = through["sent"], through["tokens"]
        c, d = short["sent"], short["tokens"]
        token = (net(through) * c - net(short) * a) / (b * c - d * a)
        request = (net(short) - token * d) / c
        first = [through["first_byte_ms"][q] - direct["first_byte_ms"][q]
                 for q in ("p50", "p99")]
        print(f"| {rate} | {through['full']}/{through['sent']} | "
              f"{through['steady']:.2f} | "
              f"{1e6 * net(through) / through['tokens']:.1f} | {1e6 * token:.1f} | "
              f"{first[0]:.2f} / {first[1]:.2f} | "
              f"{direct['gap_ms']['p95']:.2f} / {through['gap_ms']['p95']:.2f} | "
              f"{direct['gap_ms']['p99']:.2f} / {through['gap_ms']['p99']:.2f} | "
              f"{through['rss']:.1f} | {limits_of(through)} |")
        print(f"{'':4}a request without its tokens: {1e6 * request:.0f} us;"
              f" {STAGES * 1e0 / request:.0f} stage calls/s per core", file=sys.stderr)
        for row in (direct, through):
            if row["full"] != row["sent"]:
                well = False
                print("not all well:", row["sent"], row["full"], row["late"],
                      row["refused"], row["details"], file=sys.stderr)
    return well


if __name__ == "__main__":
    chosen = [int(rate) for rate in sys.argv[1:]]
    sys.exit(0 if main(chosen or RATES) else 1)
