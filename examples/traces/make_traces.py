#!/usr/bin/env python3
"""Writes the example traces: seven situations for each of two deployments.

Usage: make_traces.py [--bench] [DIRECTORY]

With --bench it writes the traces of the bench instead: loads at multiples of
saturation, and one fault each against the same load without it.

Equal seeds give equal files. The outcomes stated at the end of each trace come
from OUTCOMES below; docs/design/replay.md describes the format.
"""

import argparse
import json
import math
import pathlib
import random
import re

HERE = pathlib.Path(__file__).resolve().parent
LENGTH_MS = 30_000
EVENT_MS = (8_000, 16_000)  # When bursts run.


class Stage:
    """Work of one stage in milliseconds on an idle endpoint."""

    def __init__(self, median_ms, spread=0.25):
        self.median_ms = median_ms
        self.spread = spread

    def draw(self, rng):
        return max(1, round(rng.lognormvariate(math.log(self.median_ms), self.spread)))


class Generation:
    """Work of an engine: a prompt, then tokens at a fixed step."""

    def __init__(self, prompt_ms, tokens, step_ms, most):
        self.prompt_ms = prompt_ms
        self.tokens = tokens
        self.step_ms = step_ms
        self.most = most

    def draw(self, rng):
        tokens = min(self.most, round(rng.lognormvariate(math.log(self.tokens), 0.35)))
        prompt = rng.lognormvariate(math.log(self.prompt_ms), 0.2)
        return round(prompt + tokens * self.step_ms), tokens

    def mean_s(self):
        prompt = self.prompt_ms * math.exp(0.2**2 / 2)
        return (prompt + self.tokens * math.exp(0.35**2 / 2) * self.step_ms) / 1000


FRONT = [Stage(6), Stage(12), Stage(18)]  # Encode, retrieve, rerank.

DEPLOYMENTS = {
    "shelfwise": {
        "domains": ["ikeja-a", "ikeja-b", "lekki-a", "lekki-b"],
        "hosts": 9,
        "lanes": 2,
        "network": (0.1, 0.4),
        "engine_service": "slate-pool",
        "engines": {"faq-7b@1": 12, "chat-3b@1": 8},
        "workspaces": {
            "alaba-electronics": 3, "balogun-fabrics": 3, "yaba-books": 1,
            "tejuosho-shoes": 1, "epe-fishmarket": 0.5,
        },
        # Pipeline: requests a second on an ordinary day, then the work.
        "pipelines": {
            "chat-reply": (40, Generation(90, 44, 6, 64)),
            "answer-reword": (18, Generation(140, 64, 6, 96)),
            "faq-draft": (9, Generation(350, 280, 6, 384)),
        },
        "drafts": "faq-draft",
        "chat": "chat-reply",
    },
    "vanua": {
        "domains": ["suva-a", "suva-b", "suva-c", "suva-d"],
        "hosts": 7,
        "lanes": 1,
        "network": (0.2, 1.0),
        "engine_service": "drafter",
        "engines": {"claims-7b@1": 7, "chat-3b@1": 3},
        "workspaces": {
            "suva-central": 3, "lautoka-sugar": 3, "nadi-hotels": 1.5,
            "labasa-cane": 1.5, "nasinu-garments": 1,
        },
        "pipelines": {
            "chat-reply": (15, Generation(110, 44, 8, 64)),
            "tribunal-claim": (4, Generation(400, 200, 8, 320)),
            "employer-letter": (3, Generation(250, 150, 8, 256)),
            "bundle-review": (3, Generation(500, 260, 8, 384)),
        },
        "drafts": "bundle-review",
        "chat": "chat-reply",
    },
}

PLAIN_STAGES = {"encoders": 5, "retrievers": 5, "rerankers": 5}
PREFIXES_PER_WORKSPACE = 40
SLOTS = 8
BATCH_SLOWDOWN = 0.3


class Trace:
    def __init__(self, name, deployment, seed, lift_limits=False, shared=False,
                 prefixes=PREFIXES_PER_WORKSPACE, prefill_share=0.25):
        """`shared`: all pipelines use one model that every engine holds."""
        self.name = name
        self.plan = DEPLOYMENTS[deployment]
        self.shared = shared
        self.prefixes = prefixes
        self.prefill_share = prefill_share
        self.rng = random.Random(seed)
        self.lines = [{"type": "trace", "format": 1, "name": name, "seed": seed}]
        self.add_configuration(deployment, lift_limits or name.startswith("overload"))
        self.add_hosts()
        self.add_endpoints()

    def add_configuration(self, deployment, lift_limits):
        source = (HERE.parent / f"{deployment}.yaml").read_text()
        if lift_limits:
            # The load must reach the queues, not end at the workspaces' limits.
            source = re.sub(r"\n    limits: \{.*\}", "", source)
        if self.shared:
            draft_model = next(iter(self.plan["engines"])).split("@")[0]
            source = source.replace("model: chat-3b", f"model: {draft_model}")
        self.lines.append({"type": "configuration", "at_ms": 0, "revision": 1, "source": source})

    def add_hosts(self):
        domains = self.plan["domains"]
        self.lines.append({"type": "hosts", "at_ms": 0, "hosts": [
            {"name": f"entry-{i + 1}", "failure_domain": domains[i % len(domains)],
             "lanes": self.plan["lanes"]}
            for i in range(self.plan["hosts"])]})
        same, cross = self.plan["network"]
        self.lines.append({"type": "network", "same_domain_ms": same, "cross_domain_ms": cross})

    def add_endpoints(self):
        engine_service = self.plan["engine_service"]
        self.lines.append({
            "type": "endpoint_model", "service": engine_service, "slots": SLOTS,
            "batch_slowdown": BATCH_SLOWDOWN, "prefill_share": self.prefill_share,
            "cache_prefixes": 24,
            "report_every_ms": 500, "report_lag_ms": 300, "event_loss": 0.1})
        for service in PLAIN_STAGES:
            self.lines.append({
                "type": "endpoint_model", "service": service, "slots": 16,
                "batch_slowdown": 0.2, "report_every_ms": 500, "report_lag_ms": 300})
        number = 0
        self.engines = []
        for model, count in self.plan["engines"].items():
            if self.shared:
                model = next(iter(self.plan["engines"]))
            for _ in range(count):
                self.engines.append(self.add_endpoint(engine_service, number, [model]))
                number += 1
        self.plain = [self.add_endpoint(service, i, [])
                      for service, count in PLAIN_STAGES.items() for i in range(count)]

    def add_endpoint(self, service, number, models):
        domains = self.plan["domains"]
        address = f"{service}-{number}"
        line = {"type": "endpoint", "service": service, "address": address,
                "failure_domain": domains[number % len(domains)]}
        if models:
            line["models"] = models
        self.lines.append(line)
        return address

    def add_fault(self, kind, from_ms, until_ms, **where):
        self.lines.append({"type": "fault", "kind": kind, "from_ms": from_ms,
                           "until_ms": until_ms, **where})

    def saturation_factors(self, times, grows):
        """By pipeline: what to multiply its ordinary rate with so that each
        model's engines are offered `times` what they can do with full batches
        and cold caches. Only pipelines for which `grows` is true change.
        """
        models = list(self.plan["engines"])
        chat_model = models[0] if self.shared else models[1]
        factors = {}
        for model in dict.fromkeys([models[0], chat_model]):
            engines = sum(count for name, count in self.plan["engines"].items()
                          if self.shared or name == model)
            capacity = times * engines * SLOTS / (1 + BATCH_SLOWDOWN)
            grown = 0
            for name, (rate, generation) in self.plan["pipelines"].items():
                is_chat = name == self.plan["chat"]
                if (chat_model if is_chat else models[0]) != model:
                    continue
                factors[name] = 1.0
                if grows(name):
                    grown += rate * generation.mean_s()
                    factors[name] = None
                else:
                    capacity -= rate * generation.mean_s()
            for name in [name for name, factor in factors.items() if factor is None]:
                factors[name] = capacity / grown
        return factors

    def add_arrivals(self, factor=lambda pipeline, at_ms: 1.0, length_ms=LENGTH_MS):
        """Poisson arrivals; `factor` multiplies a pipeline's ordinary rate."""
        arrivals = []
        for pipeline, (rate, generation) in self.plan["pipelines"].items():
            at = 0.0
            most = 1.2 * max(factor(pipeline, t) for t in range(0, length_ms, 100))
            while True:
                at += self.rng.expovariate(rate * most / 1000)
                if at >= length_ms:
                    break
                day = 1 + 0.2 * math.sin(at / 5_000)
                if self.rng.random() * most < day * factor(pipeline, at):
                    arrivals.append((at, pipeline, generation))
        arrivals.sort(key=lambda one: one[0])
        for at, pipeline, generation in arrivals:
            self.lines.append(self.arrival(at, pipeline, generation))

    def arrival(self, at, pipeline, generation):
        workspaces = list(self.plan["workspaces"])
        weights = list(self.plan["workspaces"].values())
        place = self.rng.choices(range(len(workspaces)), weights)[0]
        popular = int(self.prefixes * self.rng.random() ** 2)
        pipeline_number = list(self.plan["pipelines"]).index(pipeline)
        work, tokens = generation.draw(self.rng)
        return {"arrival": round(at, 1), "host": self.rng.randrange(self.plan["hosts"]),
                "pipeline": pipeline, "workspace": workspaces[place],
                "prefix": 1 + pipeline_number * 10_000 + place * 1_000 + popular,
                "work": [stage.draw(self.rng) for stage in FRONT] + [work],
                "tokens": tokens}

    def write(self, directory, outcomes):
        lines = self.lines + [{"type": "outcome", **one} for one in outcomes]
        with open(directory / f"{self.name}.jsonl", "w") as out:
            for line in lines:
                out.write(json.dumps(line, separators=(",", ":")) + "\n")


def within_event(at_ms):
    return EVENT_MS[0] <= at_ms < EVENT_MS[1]


def ordinary(trace):
    trace.add_arrivals()


def draft_burst(trace):
    trace.add_arrivals(lambda pipeline, at: 6.0 if pipeline == trace.plan["drafts"]
                       and within_event(at) else 1.0)


def flash_crowd(trace):
    trace.add_arrivals(lambda pipeline, at: 5.0 if pipeline == trace.plan["chat"]
                       and within_event(at) else 1.0)


def straggler(trace):
    trace.add_fault("slow", 6_000, 22_000, factor=8,
                    addresses=[trace.engines[0], trace.engines[-1], trace.plain[-1]])
    trace.add_arrivals()


def lost_domain(trace):
    trace.add_fault("silent", 8_000, 20_000, failure_domain=trace.plan["domains"][0])
    trace.add_arrivals()


def overload(trace):
    """Three times what the engines can do, for eight seconds."""
    trace.add_arrivals(lambda pipeline, at: 9.0 if within_event(at) else 1.0)


def restart(trace):
    for i, address in enumerate(trace.engines[::3]):
        trace.add_fault("restart", 6_000 + 1_500 * i, 8_500 + 1_500 * i, addresses=[address])
    trace.add_arrivals()


SITUATIONS = {
    "ordinary-day": ordinary,
    "draft-burst": draft_burst,
    "flash-crowd": flash_crowd,
    "straggler": straggler,
    "lost-domain": lost_domain,
    "overload": overload,
    "engine-restart": restart,
}

ALWAYS = [{"name": "lost", "at_most": 0}, {"name": "doubled", "at_most": 0}]



def stated(interactive, batch, waste):
    """Bounds a little below what the policy was measured to attain."""
    return [
        {"name": "interactive.attainment", "at_least": interactive},
        {"name": "batch.attainment", "at_least": batch},
        {"name": "waste_share", "at_most": waste},
    ]


OUTCOMES = {
    "draft-burst-shelfwise": stated(interactive=0.975, batch=0.71, waste=0.07),
    "draft-burst-vanua": stated(interactive=0.965, batch=0.7, waste=0.1),
    "engine-restart-shelfwise": stated(interactive=0.985, batch=0.94, waste=0.04),
    "engine-restart-vanua": stated(interactive=0.99, batch=0.94, waste=0.04),
    "flash-crowd-shelfwise": stated(interactive=0.795, batch=0.89, waste=0.03),
    "flash-crowd-vanua": stated(interactive=0.745, batch=0.915, waste=0.05),
    "lost-domain-shelfwise": stated(interactive=0.985, batch=0.93, waste=0.04),
    "lost-domain-vanua": stated(interactive=0.985, batch=0.93, waste=0.05),
    "ordinary-day-shelfwise": stated(interactive=0.985, batch=0.95, waste=0.02),
    "ordinary-day-vanua": stated(interactive=0.985, batch=0.95, waste=0.03),
    "overload-shelfwise": stated(interactive=0.64, batch=0.21, waste=0.06),
    "overload-vanua": stated(interactive=0.47, batch=0.20, waste=0.08),
    "straggler-shelfwise": stated(interactive=0.985, batch=0.95, waste=0.09),
    "straggler-vanua": stated(interactive=0.97, batch=0.86, waste=0.11),
}


SATURATIONS = (0.75, 1, 1.5, 2)


def bench_traces(deployment):
    """The traces of the bench, each with its arrivals."""

    def make(name, seed, **options):
        return Trace(f"{name}-{deployment}", deployment, seed, **options)

    plan = DEPLOYMENTS[deployment]
    # What grows until the engines are full: drafts on the shoppers' engines,
    # everything but shoppers on engines of its own, the same on shared ones.
    families = {
        "drafts": (True, lambda name: name == plan["drafts"]),
        "apart": (False, lambda name: name != plan["chat"]),
        "shared": (True, lambda name: name != plan["chat"]),
    }
    for kind, (shared, grows) in families.items():
        for times in SATURATIONS:
            trace = make(f"saturation-{kind}-{times}", 200, lift_limits=True, shared=shared)
            factors = trace.saturation_factors(times, grows)
            trace.add_arrivals(lambda pipeline, at, of=factors: of[pipeline])
            yield trace
    trace = make("burst-3", 201, lift_limits=True)
    factors = trace.saturation_factors(3, lambda name: True)
    trace.add_arrivals(
        lambda pipeline, at: factors[pipeline] if within_event(at) else 1.0, 45_000)
    yield trace
    trace = make("fault-none", 202)
    trace.add_arrivals()
    yield trace
    trace = make("fault-straggler", 202)
    trace.add_fault("slow", 4_000, 26_000, factor=10, addresses=[trace.engines[-1]])
    trace.add_arrivals()
    yield trace
    trace = make("fault-domain", 202)
    trace.add_fault("silent", 8_000, 22_000, failure_domain=trace.plan["domains"][0])
    trace.add_arrivals()
    yield trace
    trace = make("catalogue", 203, lift_limits=True, prefixes=12, prefill_share=0.5)
    trace.add_arrivals(lambda pipeline, at: 1.5)
    yield trace


def main():
    parser = argparse.ArgumentParser(description="Writes traces")
    parser.add_argument("--bench", action="store_true")
    parser.add_argument("directory", nargs="?", type=pathlib.Path, default=HERE)
    options = parser.parse_args()
    if options.bench:
        for deployment in DEPLOYMENTS:
            for trace in bench_traces(deployment):
                trace.write(options.directory, ALWAYS)
        return
    for number, (situation, fill) in enumerate(SITUATIONS.items()):
        for deployment in DEPLOYMENTS:
            name = f"{situation}-{deployment}"
            trace = Trace(name, deployment, seed=100 + number)
            fill(trace)
            trace.write(options.directory, ALWAYS + OUTCOMES.get(name, []))


if __name__ == "__main__":
    main()
