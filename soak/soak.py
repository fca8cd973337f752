#!/usr/bin/env python3
"""Randomized soak of the gateway: real hosts, faults from outside, promises
checked from what callers and endpoints see.

    soak/soak.py BINARY [--seed N] [--seeds COUNT] [--seconds S] [--hosts N]

Each seed starts three hosts as processes, with a store and endpoints of its own
behind loopback proxies, and prints what was broken: first faults for some
seconds, then planned stops in series without unplanned faults. A seed draws the
faults and their times; the interleaving of processes is the machine's.
"""
import argparse
import asyncio
import random
import re
import signal
import socket
import sys
import tempfile
import time
from pathlib import Path

from callers import PROMISES, Caller, Crasher, Keeper, PartCrasher, Resumer
from fakes import Endpoint, Store
from proxy import Proxy
from stops import CROSSING, GRACE, Stop

HOSTS = 3
# Seconds in which stops begin.
STOPS = 6.0
LEAVE_LIMIT = 2.0
EVACUATION_LIMIT = 2.0
# Failure domains of endpoints, by turns.
DOMAINS = ("d", "e")
# How often a request is sent to endpoints after it has crashed three and all
# hosts had the time to learn of it.
MORE_CRASHES = 3
# In which calls to an endpoint with a quota are counted, from hosts that were
# told of it that long before.
QUOTA_WINDOW = 4.0
QUOTA_HEARD = 0.5
# An endpoint that turned a host away with a time gets no more requests of it
# than these, from that many seconds later to the end of that time.
MOST_IN_BACK_OFF = 2
BACK_OFF_HEARD = 0.5
# Refusals that nothing has to be waited for end within these seconds.
AT_ONCE = 0.5
# Software versions of engines.
VERSIONS = ("v1", "v2")
# Streams taken up again while engines of their version serve: from so many on
# half must go on.
FEWEST_RESUMED = 12
# Engines that a part of a prompt crashes before all hosts know of it.
PART_CRASHES = 5
# Checks that KNOWN-RED.txt may list, by what they report.
LISTABLE = {
    "soak::quarantined": re.compile(r"\d+ of \d+ quarantined"),
    "soak::guilty_part": re.compile(r"\d+ more requests with a part .*"),
}
# Time in which a host that was disturbed may still be wrong.
SETTLE = 3.0


drawn_ports = set()


def free_ports(count):
    """Ports that no other host of this run has, though it may not listen yet,
    below those that the system gives to connections: one of them, made
    while a host is down, would keep the host from its port, and could even
    connect to itself."""
    ports = []
    while len(ports) < count:
        port = random.randrange(10000, 32000)
        with socket.socket() as one:
            try:
                one.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in drawn_ports:
            drawn_ports.add(port)
            ports.append(port)
    return ports


class Host:
    """One gateway process, started again whenever it ends."""

    def __init__(self, binary, name, store_port, folder):
        self.binary = binary
        self.name = name
        self.front, self.status, self.peer = free_ports(3)
        self.settings = Path(folder) / f"{name}.yaml"
        self.log = open(Path(folder) / f"{name}.log", "ab")
        self.store_port = store_port
        self.write_settings(100)
        self.process = None
        self.answered = False  # This process serves and takes signals.
        self.stops = []
        self.disturbed = []  # Times of unplanned faults on it.
        self.ends = []       # Ends of its own.
        self.expected_end = False

    def write_settings(self, repeat_reserve):
        written = self.settings.with_suffix(".new")
        written.write_text(
            f'host_name: "{self.name}"\nfailure_domain: "d"\n'
            f'front_listen: "127.0.0.1:{self.front}"\n'
            f'status_listen: "127.0.0.1:{self.status}"\n'
            f'peer_listen: "127.0.0.1:{self.peer}"\n'
            f'store_address: "127.0.0.1:{self.store_port}"\n'
            f"leave_limit_ms: {int(LEAVE_LIMIT * 1000)}\n"
            f"stop_grace_seconds: {int(GRACE)}\n"
            f"repeat_reserve: {repeat_reserve}\n")
        written.replace(self.settings)

    async def start(self):
        self.expected_end = False
        self.answered = False
        self.process = await asyncio.create_subprocess_exec(
            self.binary, "gateway", "--settings", str(self.settings),
            stdout=self.log, stderr=self.log)

    def kill(self, which):
        if self.process.returncode is None:
            self.process.send_signal(which)

    def stop(self):
        """SIGTERM; a second one changes nothing."""
        if self.process.returncode is None and not self.is_stopping():
            self.stops.append(Stop(self))
            asyncio.ensure_future(self.stops[-1].watch_door())
        self.expected_end = True
        self.kill(signal.SIGTERM)

    def is_stopping(self):
        return bool(self.stops) and self.stops[-1].ended_at is None

    async def watch(self, stopping):
        while not stopping.is_set():
            await self.process.wait()
            if not self.expected_end:
                self.ends.append(self.process.returncode)
            if not stopping.is_set():
                if self.is_stopping():
                    self.stops[-1].end(self.process.returncode)
                await asyncio.sleep(0.2)
                await self.start()


class Run:
    """One seed."""

    def __init__(self, binary, seed, options, folder):
        self.times = not options.no_times
        self.two_causes = options.two_causes
        self.host_count = options.hosts
        self.random = random.Random(seed)
        self.versions = random.Random(f"{seed}.versions")
        self.seed = seed
        self.seconds = options.seconds
        self.folder = folder
        self.binary = binary
        self.store = Store()
        self.runs = []
        self.breaks = []
        self.faults = []
        self.endpoints = []
        self.proxies = {}
        self.paths = [{} for _ in range(options.hosts)]
        self.cut_hosts = set()
        self.calm_cut = None  # Hosts, begin, end.
        self.outcomes = []
        self.version = 0
        self.number = 0
        self.events = []
        self.evacuations = []  # Domain, begin, end.
        self.late = 0
        self.closed = []  # Engines that turned all calls away in calm,
        self.closed_until = 0.0  # and until when.
        self.refused_closed = set()  # Rightly; no engine took a call.
        self.stopping = asyncio.Event()

    def note(self, text):
        self.events.append(f"{time.monotonic() - self.began:6.2f} {text}")

    async def add_endpoint(self, service):
        self.number += 1
        endpoint = Endpoint(f"i-{self.number}", service,
                            self.versions.choice(VERSIONS), self.random,
                            self.runs, self.breaks, self.faults)
        await endpoint.start()
        proxy = Proxy(endpoint.port)
        await proxy.start()
        endpoint.address = f"127.0.0.1:{proxy.port}"
        self.proxies[endpoint] = proxy
        if service == "s":
            await self.add_paths(endpoint, proxy)
        endpoint.listed_at = time.monotonic()
        endpoint.domain = DOMAINS[self.number % len(DOMAINS)]
        endpoint.on_crash = lambda: asyncio.ensure_future(
            self.crash(endpoint, "a request crashes"))
        self.endpoints.append(endpoint)
        self.publish(endpoint)
        return endpoint

    async def add_paths(self, endpoint, proxy):
        """A way of its own for each host, which can be cut."""
        for index in range(self.host_count):
            path = Proxy(proxy.port)
            await path.start()
            self.paths[index][endpoint] = path
            self.store.views[index][endpoint.address] = \
                f"127.0.0.1:{path.port}"

    def publish(self, endpoint, state="ready"):
        endpoint.state = state
        self.store.put("keyed.servers", endpoint.identity, {
            "service": endpoint.service, "addr": endpoint.address,
            "zone": endpoint.domain, "version": endpoint.version,
            "slots": 8,
            "state": state,
            "coldLeftMs": 0, "seq": self.number, "born": endpoint.born})

    def configure(self):
        self.version += 1
        self.write_configuration()

    def write_configuration(self):
        kinds = {"once": "unsafe", "safe": "safe", "stream": "stream",
                 "staged": "stream", "long": "stream"}
        routes = [{"name": f"{k}-{self.version}", "host": "x",
                   "pathPrefix": f"/{k}/", "type": t, "timeoutMs": 4000,
                   "sloMs": 800, "service": "s", "attempts": 2,
                   "resumable": True, "gapTargetMs": 300}
                  for k, t in kinds.items()]
        routes[3]["stages"] = [{"service": "t", "after": [], "byteCount": 10},
                               {"service": "t", "after": [0], "byteCount": 10}]
        routes[4].update(timeoutMs=15000, gapTargetMs=1000)
        self.store.put("keyed.op", "config", {
            "version": self.version, "routes": routes,
            "services": [{"name": "s"}, {"name": "t", "pieces": {
                "slots": 1, "batch": 8, "callMs": 20, "itemMs": 2,
                "headroomMb": 10, "handleS": 4}}],
            "tenants": [{"name": "w", "apiKeys": ["key"]}]})

    async def disturb(self):
        """Faults in series that overlap."""
        faults = []
        while time.monotonic() - self.began < self.seconds - 2:
            await asyncio.sleep(0.1 + 0.7 * self.random.random())
            fault = self.random.choice((
                self.kill_host, self.pause_host, self.stop_host,
                self.break_store, self.cut_store, self.crash_endpoint,
                self.retire_endpoint, self.trouble_endpoint, self.cut_endpoint,
                self.change_configuration, self.restore_store,
                self.evacuate_domain, self.limit_endpoint,
                self.leave_without_a_record, self.turn_away_for_a_while,
                self.cut_some_hosts))
            faults.append(asyncio.ensure_future(fault()))
        await asyncio.sleep(2)
        await asyncio.gather(*faults)

    async def cut_host(self, index, how, seconds):
        """A host reaches no engine; callers, the store and other hosts reach
        it."""
        if index in self.cut_hosts:
            return
        self.cut_hosts.add(index)
        self.note(f"{self.hosts[index].name} loses the engines ({how}) for "
                  f"{seconds:.1f}")
        cut = list(self.paths[index].values())
        for path in cut:
            await path.cut(how)
        await asyncio.sleep(seconds)
        for path in cut:
            await path.heal()
        self.cut_hosts.discard(index)

    async def cut_some_hosts(self):
        count = self.random.randint(1, self.host_count - 1)
        chosen = self.random.sample(range(self.host_count), count)
        how = self.random.choice(Proxy.CUTS)
        seconds = 0.5 + 3 * self.random.random()
        now = time.monotonic()
        for index in chosen:
            self.hosts[index].disturbed += [now, now + seconds]
        await asyncio.gather(*(self.cut_host(index, how, seconds)
                               for index in chosen))

    async def cut_in_calm(self):
        """Some hosts lose the engines while nothing else is disturbed."""
        count = self.random.randint(1, self.host_count - 1)
        chosen = self.random.sample(range(self.host_count), count)
        how = self.random.choice(Proxy.CUTS)
        begin = time.monotonic()
        await asyncio.gather(*(self.cut_host(index, how, SETTLE + 4)
                               for index in chosen))
        self.calm_cut = ([self.hosts[i] for i in chosen], begin + SETTLE,
                         time.monotonic())
        await asyncio.sleep(1.5)

    def judge_cut(self):
        """Callers of hosts that reach no engine are served two thirds as often
        as those of the others, at least."""
        if not self.calm_cut:
            return
        cut, begin, end = self.calm_cut
        tries = [o for o in self.outcomes if begin < o.sent < end - 1 and
                 o.kind in ("once", "safe", "stream")]
        at_cut = [o for o in tries if o.host in cut]
        others = [o for o in tries if o.host not in cut]

        def share(some):
            return sum(1 for o in some if o.status == 200 and not o.cut) / \
                max(1, len(some))
        failed = sum(1 for o in at_cut if o.status != 200 or o.cut)
        if share(at_cut) * 3 < share(others) * 2 and \
                failed > 10 + len(tries) / 50:
            yield (f"hosts without engines served {share(at_cut):.2f} of "
                   f"{len(at_cut)}, the others {share(others):.2f} of "
                   f"{len(others)}")

    async def limit_in_calm(self):
        """Engines but one name quotas while nothing is disturbed: faults excuse
        the hosts that they meet."""
        engines = [e for e in self.endpoints if e.service == "s"]
        for endpoint in engines[1:]:
            endpoint.name_quota(0.5 + 2 * self.random.random())
            self.note(f"{endpoint.identity} takes {endpoint.quota:.2f} a second")
        await asyncio.sleep(SETTLE + QUOTA_WINDOW + 2)
        for endpoint in engines[1:]:
            endpoint.name_quota(None)

    async def close_in_calm(self):
        """All engines turn calls away, and name times, while nothing is
        disturbed."""
        engines = [e for e in self.endpoints if e.service == "s"]
        self.note("all engines turn away")
        self.closed = engines
        self.closed_until = time.monotonic() + 2.0
        for endpoint in engines:
            endpoint.retry_after = 2.0
        await asyncio.sleep(1.0)
        for endpoint in engines:
            endpoint.retry_after = None
        await asyncio.sleep(2.0)

    async def stop_in_series(self):
        """Planned changes alone: stops that overlap on all hosts but one."""
        end = time.monotonic() + STOPS
        while time.monotonic() < end:
            change = self.random.choice((
                self.stop_one_more, self.stop_one_more, self.reload_host,
                self.change_configuration, self.retire_endpoint,
                self.trouble_endpoint))
            asyncio.ensure_future(change())
            await asyncio.sleep(HOSTS / self.host_count * self.random.random())
        for _ in range(int(GRACE * 10) + 10):
            if not any(h.is_stopping() for h in self.hosts):
                break
            await asyncio.sleep(0.1)

    async def stop_one_more(self):
        staying = [h for h in self.hosts if not h.is_stopping()]
        host = self.random.choice(staying if len(staying) > 1 else
                                  [h for h in self.hosts if h.is_stopping()])
        self.note(f"SIGTERM {host.name}")
        host.stop()

    async def reload_host(self):
        host = self.random.choice(self.hosts)
        if host.answered:
            self.note(f"SIGHUP {host.name}")
            host.write_settings(self.random.randint(50, 100))
            host.kill(signal.SIGHUP)

    async def kill_host(self):
        host = self.random.choice(self.hosts)
        self.note(f"SIGKILL {host.name}")
        host.disturbed.append(time.monotonic())
        host.expected_end = True
        host.kill(signal.SIGKILL)

    async def pause_host(self):
        host = self.random.choice(self.hosts)
        for_s = 0.3 + 1.5 * self.random.random()
        self.note(f"pause {host.name} for {for_s:.1f}")
        host.disturbed.append(time.monotonic())
        host.kill(signal.SIGSTOP)
        await asyncio.sleep(for_s)
        host.kill(signal.SIGCONT)
        host.disturbed.append(time.monotonic())

    async def stop_host(self):
        host = self.random.choice(self.hosts)
        self.note(f"SIGTERM {host.name}")
        host.stop()

    async def break_store(self):
        mode = self.random.choice(Store.MODES[1:])
        self.note(f"store {mode}")
        self.store_troubles.append(time.monotonic())
        self.store.mode = mode
        await asyncio.sleep(0.5 + 2 * self.random.random())
        self.store.mode = "good"
        self.store_troubles.append(time.monotonic())

    async def restore_store(self):
        """Away for a moment, back from an older copy; all write again."""
        age = 0.5 + 2 * self.random.random()
        self.note(f"store back from a copy {age:.1f} s old")
        self.store_troubles.append(time.monotonic())
        self.store.mode = "busy"
        await asyncio.sleep(0.2 + 0.5 * self.random.random())
        self.store.restore(age)
        self.store.mode = "good"
        await asyncio.sleep(0.2 + self.random.random())
        self.write_configuration()
        for domain in DOMAINS:
            evacuated = self.evacuations and self.evacuations[-1][0] == domain \
                and self.evacuations[-1][2] is None
            self.store.put("keyed.op", f"evacuate/{domain}",
                           {} if evacuated else None)
        for endpoint in self.endpoints:
            if endpoint.crashed:
                self.store.put("keyed.servers", endpoint.identity, None)
            else:
                self.publish(endpoint, endpoint.state)
        self.store_troubles.append(time.monotonic())

    async def evacuate_domain(self):
        if self.evacuations and self.evacuations[-1][2] is None:
            return  # One at a time leaves somewhere to go.
        domain = self.random.choice(DOMAINS)
        self.note(f"evacuate {domain}")
        self.store.put("keyed.op", f"evacuate/{domain}", {})
        evacuation = [domain, time.monotonic(), None]
        self.evacuations.append(evacuation)
        await asyncio.sleep(2 + 2 * self.random.random())
        self.note(f"take back {domain}")
        self.store.put("keyed.op", f"evacuate/{domain}", None)
        evacuation[2] = time.monotonic()

    async def cut_store(self):
        index = self.random.randrange(self.host_count)
        mode = self.random.choice(Proxy.MODES[1:])
        self.note(f"store of {self.hosts[index].name} {mode}")
        self.hosts[index].disturbed.append(time.monotonic())
        self.store_proxies[index].mode = mode
        if self.random.random() < 0.5:
            self.store_proxies[index].reset_all()
        await asyncio.sleep(0.5 + 2 * self.random.random())
        self.store_proxies[index].mode = "pass"
        self.hosts[index].disturbed.append(time.monotonic())

    def some_endpoint(self):
        return self.random.choice([e for e in self.endpoints
                                   if e.left_at is None])

    async def crash_endpoint(self):
        await self.crash(self.some_endpoint(), "crash")

    async def crash(self, endpoint, why):
        if endpoint.crashed:
            return
        self.note(f"{why} {endpoint.identity}")
        endpoint.left_at = time.monotonic()
        endpoint.disturbed.append(endpoint.left_at)
        endpoint.crash()
        self.proxies[endpoint].stop()
        for paths in self.paths:
            if endpoint in paths:
                paths.pop(endpoint).stop()
        await self.add_endpoint(endpoint.service)
        await asyncio.sleep(1)
        self.store.put("keyed.servers", endpoint.identity, None)

    async def retire_endpoint(self):
        endpoint = self.some_endpoint()
        await self.add_endpoint(endpoint.service)
        await asyncio.sleep(1.5)
        self.note(f"retire {endpoint.identity}")
        self.publish(endpoint, "draining")
        endpoint.left_at = time.monotonic()

    async def leave_without_a_record(self):
        """Says so in its answers; the store does not take its record."""
        endpoint = self.some_endpoint()
        if endpoint.leaves:
            return
        await self.add_endpoint(endpoint.service)
        await asyncio.sleep(1.5)
        self.note(f"{endpoint.identity} says that it leaves")
        endpoint.leaves = True

    async def turn_away_for_a_while(self):
        endpoint = self.some_endpoint()
        if endpoint.retry_after is not None:
            return
        seconds = 0.7 + 2.5 * self.random.random()
        self.note(f"{endpoint.identity} turns away for {seconds:.1f} s")
        endpoint.retry_after = seconds
        await asyncio.sleep(1 + 2 * self.random.random())
        endpoint.retry_after = None

    async def limit_endpoint(self):
        engines = [e for e in self.endpoints if e.left_at is None and
                   e.service == "s" and e.quota is None]
        if len(engines) < 2:
            return  # One at least takes what the others do not.
        endpoint = self.random.choice(engines)
        per_second = 0.5 + 2 * self.random.random()
        self.note(f"{endpoint.identity} takes {per_second:.2f} a second")
        endpoint.name_quota(per_second)
        await asyncio.sleep(SETTLE + 4 + 4 * self.random.random())
        endpoint.name_quota(None)

    async def trouble_endpoint(self):
        endpoint = self.some_endpoint()
        self.note(f"trouble {endpoint.identity}")
        endpoint.trouble = 0.5
        await asyncio.sleep(1 + self.random.random())
        endpoint.trouble = 0.0

    async def cut_endpoint(self):
        endpoint = self.some_endpoint()
        proxy = self.proxies[endpoint]
        mode = self.random.choice(Proxy.MODES[1:])
        self.note(f"{mode} {endpoint.identity}")
        endpoint.disturbed.append(time.monotonic())
        proxy.mode = mode
        if self.random.random() < 0.5:
            proxy.reset_all()
        await asyncio.sleep(0.3 + 1.5 * self.random.random())
        proxy.mode = "pass"
        endpoint.disturbed.append(time.monotonic())

    async def change_configuration(self):
        self.note(f"configuration {self.version + 1}")
        self.configure()

    async def play(self):
        self.began = time.monotonic()
        self.store_troubles = []
        await self.store.start(self.host_count)
        self.configure()
        for service in ("s", "s", "s", "t", "t") * (self.host_count // HOSTS):
            await self.add_endpoint(service)
        self.store_proxies = [Proxy(port) for port in self.store.ports]
        for proxy in self.store_proxies:
            await proxy.start()
        self.hosts = [Host(self.binary, f"h{i}", proxy.port, self.folder)
                      for i, proxy in enumerate(self.store_proxies)]
        for host in self.hosts:
            await host.start()
        watchers = [asyncio.ensure_future(h.watch(self.stopping))
                    for h in self.hosts]
        await asyncio.sleep(1.5)
        count = self.host_count
        kinds = [Caller] * (count + 5) + [Keeper] * (4 * count) + \
            [Resumer] * count + [Crasher, PartCrasher]
        started = time.monotonic()
        callers = [kind(f"{self.seed}c{i}", random.Random(f"{self.seed}.{i}"),
                        self.hosts, self.outcomes)
                   for i, kind in enumerate(kinds)]
        crashers = callers[-2:]
        crashers[-1].waits = not self.two_causes
        tasks = [asyncio.ensure_future(c.run()) for c in callers[:-2]]
        if self.times:
            await self.close_in_calm()
            await self.limit_in_calm()
            await self.cut_in_calm()
            self.began += time.monotonic() - started
        tasks += [asyncio.ensure_future(c.run()) for c in crashers]
        await self.disturb()
        await self.stop_in_series()
        for caller in callers:
            caller.stopping = True
        await asyncio.wait(tasks, timeout=12)
        self.stopping.set()
        for host in self.hosts:
            host.expected_end = True
            host.kill(signal.SIGCONT)
            host.kill(signal.SIGKILL)
        await asyncio.wait(watchers, timeout=5)
        return self.judge()

    def near(self, times, start, end):
        return any(start - SETTLE <= t <= end + 0.5 for t in times)

    def judge(self):
        broken = list(self.faults)
        runs = {}
        for request, _, endpoint in self.runs:
            runs.setdefault(request, []).append(endpoint)
        broken += self.judge_crashes(runs)
        broken += self.judge_parts(runs)
        broken += self.judge_resumed()
        for one in self.outcomes:
            ran = len(runs.get(one.request, []))
            name = (f"{one.request} ({one.kind}, {one.host.name}, sent at "
                    f"{one.sent - self.began:.2f}, ran {ran})")
            if one.fault:
                broken.append(f"{name}: {one.fault}")
            if one.kind in ("once", "crash") and ran > 1:
                broken.append(f"{name}: ran {ran} times")
            if ran > 0 and (one.refusal == "draining" or
                            one.kind in ("once", "crash") and
                            one.status in PROMISES):
                broken.append(f"{name}: {one.status}, but it ran")
            if one.kind in ("crash", "part") or one.has_left:
                continue  # Nobody misses its answer.
            ended = one.ended = one.ended or time.monotonic()
            calm = not self.near(one.host.disturbed, one.sent, ended)
            # A stream whose engine broke off twice ends cut, too.
            cut = one.cut and (self.times or not one.timed_out)
            stop = next((s for s in one.host.stops if s.brought(one)), None)
            crossed = one.keeps and stop and stop.crossed(
                one, ran, CROSSING if self.times else SETTLE)
            if cut and calm and one.kind in ("once", "safe") and not crossed:
                broken.append(f"{name}: no answer from a calm host")
            if stop:
                broken += [f"{name}: {what}" for what in self.judge_late(
                    one, stop, runs.get(one.request, []), calm and not crossed)]
            if self.times and calm and ended - one.sent > one.deadline + 0.6:
                broken.append(f"{name}: held {ended - one.sent:.1f} s")
        for endpoint in self.endpoints:
            for late in endpoint.late_arrivals:
                at = endpoint.left_at + late
                calm = not self.near(self.store_troubles, endpoint.left_at, at)
                disturbed = any(self.near(h.disturbed, endpoint.left_at, at)
                                for h in self.hosts)
                if (self.times and late > LEAVE_LIMIT + 0.3 and calm and
                        not disturbed):
                    broken.append(f"{endpoint.identity} got work {late:.1f} s "
                                  "after it began to leave")
        broken += self.judge_evacuations()
        broken += self.judge_quotas()
        broken += self.judge_leaving()
        if self.times:
            broken += self.judge_back_offs()
            broken += self.judge_closed()
            broken += self.judge_cut()
        for host in self.hosts:
            for code in host.ends:
                broken.append(f"{host.name} ended by itself with {code}")
            for stop in host.stops:
                broken += stop.faults(self.is_calm(stop), self.times)
        owed = [o for o in self.outcomes if o.kind not in ("crash", "part") and
                o.request not in self.refused_closed]
        served = sum(1 for o in owed if o.status == 200 and not o.cut)
        if self.times and served * 2 < len(owed):
            broken.append(f"served only {served} of {len(owed)}")
        wrongly = [o for o in owed if o.refusal == "quarantined"]
        if len(wrongly) * 10 > len(owed):
            broken.append(f"{len(wrongly)} of {len(owed)} quarantined")
        self.quarantined = sum(1 for o in self.outcomes
                               if o.refusal == "quarantined") - len(wrongly)
        self.served = served
        return broken

    def judge_crashes(self, runs):
        """A request that crashes endpoints reaches few once three are gone."""
        crashed = sorted((one for one in self.outcomes if one.kind == "crash"
                          and one.ended and runs.get(one.request)),
                         key=lambda one: one.sent)
        self.crashed = len(crashed)
        if len(crashed) < 3:
            return
        known = crashed[2].ended + SETTLE
        more = [one for one in crashed if one.sent > known and
                not self.near(one.host.disturbed, one.sent, one.ended) and
                not self.near([s.told_at for s in one.host.stops], one.sent,
                              one.ended) and
                not self.near(self.store_troubles, one.sent, one.ended)]
        if len(more) > MORE_CRASHES:
            yield (f"a request that had crashed 3 endpoints was sent to "
                   f"{len(more)} more, {len(crashed)} in all")

    def judge_parts(self, runs):
        """Requests that share a part of their prompts with some that crashed
        engines reach few more."""
        sent = sorted(one.sent for one in self.outcomes if one.kind == "part"
                      and runs.get(one.request))
        self.part_crashes = sum(len(runs.get(one.request, []))
                                for one in self.outcomes if one.kind == "part")
        if len(sent) < PART_CRASHES:
            return
        known = sent[PART_CRASHES - 1] + SETTLE
        more = [one for one in self.outcomes if one.kind == "part" and
                runs.get(one.request) and one.sent > known and one.ended and
                self.same_process(one.host, one.sent, one.ended) and
                not self.near(self.store_troubles, one.sent, one.ended)]
        if len(more) > MORE_CRASHES:
            yield (f"{len(more)} more requests with a part that had crashed "
                   f"{PART_CRASHES} engines were sent, {len(sent)} in all")

    def serving(self, version, start, end):
        """Engines of a version that take work all the while."""
        return [e for e in self.endpoints if e.service == "s" and
                e.version == version and e.listed_at < start - 1 and
                not e.leaves and (e.left_at is None or e.left_at > end) and
                not self.near(e.disturbed, start, end)]

    def judge_resumed(self):
        """Streams that are taken up at calm hosts while two engines of their
        version serve go on half as often as others begin."""
        def is_calm(one):
            return one.ended and one.status is not None and \
                self.same_process(one.host, one.sent, one.ended) and \
                not self.near(self.store_troubles, one.sent, one.ended)
        resumed = [o for o in self.outcomes if o.kind == "resumed" and
                   is_calm(o) and
                   len(self.serving(o.version, o.sent, o.ended)) >= 2]
        begun = [o for o in self.outcomes if o.kind == "long" and is_calm(o)]
        self.resumed = len(resumed)
        self.went_on = sum(1 for o in resumed if o.status == 200)
        served = sum(1 for o in begun if o.status == 200)
        if self.times and len(resumed) >= FEWEST_RESUMED and \
                self.went_on * 2 * len(begun) < served * len(resumed):
            yield (f"{self.went_on} of {len(resumed)} streams went on at their "
                   f"version, {served} of {len(begun)} began")

    def judge_evacuations(self):
        for domain, begin, end in self.evacuations:
            bound = begin + EVACUATION_LIMIT
            for endpoint in self.endpoints:
                late = [t for t in endpoint.arrivals if endpoint.domain == domain
                        and bound < t < (end or time.monotonic())]
                calm = late and not self.near(
                    self.store_troubles, begin, late[-1]) and not any(
                    self.near(h.disturbed, begin, late[-1]) for h in self.hosts)
                if self.times and calm:
                    yield (f"{endpoint.identity} got work {late[-1] - begin:.1f}"
                           f" s after {domain} was evacuated")

    def judge_quotas(self):
        """What calm hosts that were told send an endpoint in any 4 s."""
        hosts = {one.request: one.host for one in self.outcomes}
        for endpoint in self.endpoints:
            endpoint.name_quota(None)
            for quota, begin, end in endpoint.quotas:
                if quota is None:
                    continue
                told = {}
                for request, at in endpoint.told:
                    if begin <= at <= end:
                        told.setdefault(hosts.get(request), at)
                counted = [
                    at for request, at in endpoint.asked
                    if begin + SETTLE < at <= end and
                    told.get(hosts.get(request), at) + QUOTA_HEARD <= at and
                    not self.near(hosts[request].disturbed, begin, at) and
                    not any(s.told_at < at for s in hosts[request].stops)]
                most = max((sum(1 for at in counted
                                if first <= at < first + QUOTA_WINDOW)
                            for first in counted), default=0)
                allowed = 1.5 * quota * QUOTA_WINDOW + 5
                if self.times and most > allowed:
                    yield (f"{endpoint.identity} takes {quota:.2f} a second "
                           f"and got {most} in {QUOTA_WINDOW:.0f} s")

    def same_process(self, host, start, end):
        return not self.near(host.disturbed, start, end) and not self.near(
            [s.told_at for s in host.stops], start, end)

    def judge_leaving(self):
        """A host that has passed on that an endpoint leaves sends it nothing,
        whatever the store lists."""
        outcomes = {one.request: one for one in self.outcomes}
        for endpoint in self.endpoints:
            known = {}
            for request in endpoint.said_leaving:
                one = outcomes.get(request)
                if one and one.status == 200 and not one.cut and one.ended:
                    at = known.get(one.host, one.ended)
                    known[one.host] = min(at, one.ended)
            for request, _ in endpoint.asked:
                one = outcomes.get(request)
                at = known.get(one.host) if one else None
                if at and one.sent > at + LEAVE_LIMIT and \
                        self.same_process(one.host, at, one.sent):
                    yield (f"{endpoint.identity} got {request} of "
                           f"{one.host.name} {one.sent - at:.1f} s after an "
                           "answer that said it leaves")

    def judge_back_offs(self):
        hosts = {one.request: one.host for one in self.outcomes}
        for endpoint in self.endpoints:
            for request, at, seconds in endpoint.turned_away:
                host = hosts.get(request)
                more = [t for r, t in endpoint.asked if hosts.get(r) is host and
                        at + BACK_OFF_HEARD < t < at + seconds]
                if host and len(more) > MOST_IN_BACK_OFF and \
                        self.same_process(host, at, more[-1]) and \
                        not self.near(endpoint.disturbed, at, more[-1]):
                    yield (f"{endpoint.identity} named {seconds:.1f} s and got "
                           f"{len(more)} requests of {host.name} in them")
                    break

    def judge_closed(self):
        """While all engines have turned a calm host away, it refuses at once
        and names a time at which the first takes calls."""
        hosts = {one.request: one.host for one in self.outcomes}
        for host in self.hosts:
            named = [[at for r, at, _ in e.turned_away if hosts.get(r) is host
                      and at < self.closed_until] for e in self.closed]
            if not named or not all(named) or \
                    min(host.disturbed, default=self.closed_until) < \
                    self.closed_until:
                continue
            begin = max(min(times) for times in named) + 0.1
            end = min(min(times) for times in named) + 2.0 - 0.1
            for one in self.outcomes:
                if one.host is not host or not begin < one.sent < end:
                    continue
                name = f"{one.request} ({one.kind}, {host.name}), all closed"
                if one.status != 503 or one.ended - one.sent > AT_ONCE:
                    yield f"{name}: {one.status} {one.ended - one.sent:.2f} s"
                elif (one.retry_after or 0) < end - one.ended:
                    yield f"{name}: told to return in {one.retry_after} s"
                else:
                    self.refused_closed.add(one.request)

    def is_calm(self, stop):
        return stop.ended_at is None or not self.near(
            stop.host.disturbed, stop.told_at, stop.ended_at)

    def judge_late(self, one, stop, ran, calm):
        """What a host that had been told to stop did with a request."""
        since = f"{one.sent - stop.told_at:.2f} s after SIGTERM"
        if stop.must_refuse(one) and (ran or one.status == 200):
            yield f"taken {since}, to end within {one.deadline:.1f} s"
        late = stop.is_late(one)
        self.late += late
        # All that the endpoints began they broke off themselves.
        own = ran and self.breaks.count(one.request) >= len(ran)
        near = ran if ran and one.kind != "staged" else self.endpoints
        disturbed = any(self.near(e.disturbed, one.sent, one.ended)
                        for e in near)
        # One taken before the door closed may be cut by the host's end, but not
        # left without a word.
        if (self.times and one.cut and (late or one.status is None) and calm and
                not own and not disturbed):
            yield f"taken {since} and cut after {one.ended - one.sent:.2f} s"


def known_red():
    """Checks whose failure is printed, and does not decide the verdict."""
    path = Path(__file__).parent.parent / "KNOWN-RED.txt"
    lines = path.read_text().splitlines() if path.exists() else []
    return [LISTABLE[line.split(" ")[0]] for line in lines
            if line.split(" ")[0] in LISTABLE]


def play_seed(binary, seed, options):
    with tempfile.TemporaryDirectory(prefix="slatestall-soak-") as folder:
        run = Run(binary, seed, options, folder)
        found = asyncio.run(run.play())
        broken = [line for line in found
                  if not any(one.fullmatch(line) for one in known_red())]
        for line in found:
            if line not in broken:
                print(f"known red: seed {seed}: {line}")
        print(f"seed {seed}: {run.served} of {len(run.outcomes)} served, "
              f"{sum(len(h.stops) for h in run.hosts)} stops, {run.late} "
              f"requests behind a closed door, {run.crashed} crashes by a "
              f"request, {run.part_crashes} by a part, {run.quarantined} "
              f"times refused, {run.went_on} of {run.resumed} streams went on, "
              f"{len(run.refused_closed)} while closed, {len(broken)} broken",
              flush=True)
        if broken:
            for line in run.events + [""] + broken[:20]:
                print("  " + line)
            for host in run.hosts:
                kept = Path(tempfile.gettempdir()) / \
                    f"slatestall-soak-{seed}-{host.name}.log"
                kept.write_bytes((Path(folder) / f"{host.name}.log")
                                 .read_bytes())
                print(f"  log of {host.name}: {kept}")
        return not broken


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("binary")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=8,
                        help="of faults; 0 plays planned stops alone")
    parser.add_argument("--hosts", type=int, default=HOSTS)
    parser.add_argument("--no-times", action="store_true",
                        help="leave out what a busy machine can break")
    parser.add_argument("--two-causes", action="store_true",
                        help="a request and a part of prompts crash engines at "
                        "the same time")
    options = parser.parse_args()
    good = 0
    for seed in range(options.seed, options.seed + options.seeds):
        good += play_seed(options.binary, seed, options)
    print(f"soak: {good} of {options.seeds} seeds kept every promise")
    return 0 if good == options.seeds else 1


if __name__ == "__main__":
    sys.exit(main())
