#!/usr/bin/env python3
"""Randomized soak of the gateway: real hosts, faults from outside, promises
checked from what callers and endpoints see.

    soak/soak.py BINARY [--seed N] [--seeds COUNT] [--seconds S]

Each seed starts three hosts as processes, with a store and endpoints of its own
behind loopback proxies, and prints what was broken. A seed draws the faults and
their times; the interleaving of processes is the machine's.
"""
import argparse
import asyncio
import random
import signal
import sys
import tempfile
import time
from pathlib import Path

from callers import PROMISES, Caller
from fakes import Endpoint, Store
from proxy import Proxy

HOSTS = 3
CALLERS = 8
LEAVE_LIMIT = 2.0
# Time in which a host that was disturbed may still be wrong.
SETTLE = 3.0


def free_ports(count):
    import socket
    sockets = [socket.socket() for _ in range(count)]
    for one in sockets:
        one.bind(("127.0.0.1", 0))
    ports = [one.getsockname()[1] for one in sockets]
    for one in sockets:
        one.close()
    return ports


class Host:
    """One gateway process, started again whenever it ends."""

    def __init__(self, binary, name, store_port, folder):
        self.binary = binary
        self.name = name
        self.front, self.status, self.peer = free_ports(3)
        self.settings = Path(folder) / f"{name}.yaml"
        self.log = open(Path(folder) / f"{name}.log", "ab")
        self.settings.write_text(
            f'host_name: "{name}"\nfailure_domain: "d"\n'
            f'front_listen: "127.0.0.1:{self.front}"\n'
            f'status_listen: "127.0.0.1:{self.status}"\n'
            f'peer_listen: "127.0.0.1:{self.peer}"\n'
            f'store_address: "127.0.0.1:{store_port}"\n'
            f"leave_limit_ms: {int(LEAVE_LIMIT * 1000)}\n"
            "repeat_reserve: 100\n")
        self.process = None
        self.disturbed = []  # Times of unplanned faults on it.
        self.ends = []       # Ends of its own.
        self.expected_end = False

    async def start(self):
        self.expected_end = False
        self.process = await asyncio.create_subprocess_exec(
            self.binary, "gateway", "--settings", str(self.settings),
            stdout=self.log, stderr=self.log)

    def kill(self, which):
        if self.process.returncode is None:
            self.process.send_signal(which)

    async def watch(self, stopping):
        while not stopping.is_set():
            await self.process.wait()
            if not self.expected_end:
                self.ends.append(self.process.returncode)
            if not stopping.is_set():
                await asyncio.sleep(0.2)
                await self.start()


class Run:
    """One seed."""

    def __init__(self, binary, seed, seconds, times, folder):
        self.times = times
        self.random = random.Random(seed)
        self.seed = seed
        self.seconds = seconds
        self.folder = folder
        self.binary = binary
        self.store = Store()
        self.runs = []
        self.faults = []
        self.endpoints = []
        self.proxies = {}
        self.outcomes = []
        self.version = 0
        self.number = 0
        self.events = []
        self.stopping = asyncio.Event()

    def note(self, text):
        self.events.append(f"{time.monotonic() - self.began:6.2f} {text}")

    async def add_endpoint(self, service):
        self.number += 1
        endpoint = Endpoint(f"i-{self.number}", service, self.random,
                            self.runs, self.faults)
        await endpoint.start()
        proxy = Proxy(endpoint.port)
        await proxy.start()
        endpoint.address = f"127.0.0.1:{proxy.port}"
        self.proxies[endpoint] = proxy
        self.endpoints.append(endpoint)
        self.publish(endpoint)
        return endpoint

    def publish(self, endpoint, state="ready"):
        self.store.put("keyed.servers", endpoint.identity, {
            "service": endpoint.service, "addr": endpoint.address,
            "zone": "d", "version": "v1", "slots": 4, "state": state,
            "coldLeftMs": 0, "seq": self.number, "born": endpoint.born})

    def configure(self):
        self.version += 1
        kinds = {"once": "unsafe", "safe": "safe", "stream": "stream",
                 "staged": "stream"}
        routes = [{"name": f"{k}-{self.version}", "host": "x",
                   "pathPrefix": f"/{k}/", "type": t, "timeoutMs": 4000,
                   "sloMs": 800, "service": "s", "attempts": 2,
                   "resumable": True, "gapTargetMs": 300}
                  for k, t in kinds.items()]
        routes[3]["stages"] = [{"service": "t", "after": [], "byteCount": 10},
                               {"service": "t", "after": [0], "byteCount": 10}]
        self.store.put("keyed.op", "config", {
            "version": self.version, "routes": routes,
            "services": [{"name": "s"}, {"name": "t", "pieces": {
                "slots": 1, "batch": 8, "callMs": 20, "itemMs": 2,
                "headroomMb": 10, "handleS": 4}}],
            "tenants": [{"name": "w", "apiKeys": ["key"]}]})

    async def disturb(self):
        """Faults in series that overlap, until the end of the run."""
        while time.monotonic() - self.began < self.seconds - 2:
            await asyncio.sleep(0.1 + 0.7 * self.random.random())
            fault = self.random.choice((
                self.kill_host, self.pause_host, self.stop_host,
                self.break_store, self.cut_store, self.crash_endpoint,
                self.retire_endpoint, self.trouble_endpoint, self.cut_endpoint,
                self.change_configuration))
            asyncio.ensure_future(fault())

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
        host.expected_end = True
        host.kill(signal.SIGTERM)

    async def break_store(self):
        mode = self.random.choice(Store.MODES[1:])
        self.note(f"store {mode}")
        self.store_troubles.append(time.monotonic())
        self.store.mode = mode
        await asyncio.sleep(0.5 + 2 * self.random.random())
        self.store.mode = "good"
        self.store_troubles.append(time.monotonic())

    async def cut_store(self):
        index = self.random.randrange(HOSTS)
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
        endpoint = self.some_endpoint()
        self.note(f"crash {endpoint.identity}")
        endpoint.left_at = time.monotonic()
        endpoint.late_arrivals = None
        endpoint.crash()
        self.proxies[endpoint].stop()
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
        proxy.mode = mode
        if self.random.random() < 0.5:
            proxy.reset_all()
        await asyncio.sleep(0.3 + 1.5 * self.random.random())
        proxy.mode = "pass"

    async def change_configuration(self):
        self.note(f"configuration {self.version + 1}")
        self.configure()

    async def play(self):
        self.began = time.monotonic()
        self.store_troubles = []
        await self.store.start()
        self.configure()
        for service in ("s", "s", "s", "t", "t"):
            await self.add_endpoint(service)
        self.store_proxies = [Proxy(self.store.port) for _ in range(HOSTS)]
        for proxy in self.store_proxies:
            await proxy.start()
        self.hosts = [Host(self.binary, f"h{i}", proxy.port, self.folder)
                      for i, proxy in enumerate(self.store_proxies)]
        for host in self.hosts:
            await host.start()
        watchers = [asyncio.ensure_future(h.watch(self.stopping))
                    for h in self.hosts]
        await asyncio.sleep(1.5)
        callers = [Caller(f"{self.seed}c{i}", random.Random(f"{self.seed}.{i}"),
                          self.hosts, self.outcomes) for i in range(CALLERS)]
        tasks = [asyncio.ensure_future(c.run()) for c in callers]
        await self.disturb()
        await asyncio.sleep(2)
        for caller in callers:
            caller.stopping = True
        await asyncio.wait(tasks, timeout=8)
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
        for request, path in self.runs:
            runs[request] = runs.get(request, 0) + 1
        for one in self.outcomes:
            ran = runs.get(one.request, 0)
            name = (f"{one.request} ({one.kind}, {one.host.name}, sent at "
                    f"{one.sent - self.began:.2f}, ran {ran})")
            if one.fault:
                broken.append(f"{name}: {one.fault}")
            if one.kind == "once" and ran > 1:
                broken.append(f"{name}: ran {ran} times")
            if one.kind == "once" and one.status in PROMISES and ran > 0:
                broken.append(f"{name}: {one.status}, but it ran")
            ended = one.ended or time.monotonic()
            calm = not self.near(one.host.disturbed, one.sent, ended)
            # A stream whose engine broke off twice ends cut, too.
            cut = one.cut and (self.times or not one.timed_out)
            if cut and calm and one.kind in ("once", "safe"):
                broken.append(f"{name}: no answer from a calm host")
            if self.times and calm and ended - one.sent > 4.6:
                broken.append(f"{name}: held {ended - one.sent:.1f} s")
        for endpoint in self.endpoints:
            for late in endpoint.late_arrivals or []:
                at = endpoint.left_at + late
                calm = not self.near(self.store_troubles, endpoint.left_at, at)
                disturbed = any(self.near(h.disturbed, endpoint.left_at, at)
                                for h in self.hosts)
                if (self.times and late > LEAVE_LIMIT + 0.3 and calm and
                        not disturbed):
                    broken.append(f"{endpoint.identity} got work {late:.1f} s "
                                  "after it began to leave")
        for host in self.hosts:
            for code in host.ends:
                broken.append(f"{host.name} ended by itself with {code}")
        served = sum(1 for o in self.outcomes if o.status == 200 and not o.cut)
        if self.times and served * 2 < len(self.outcomes):
            broken.append(f"served only {served} of {len(self.outcomes)}")
        self.served = served
        return broken


def play_seed(binary, seed, seconds, times):
    with tempfile.TemporaryDirectory(prefix="slatestall-soak-") as folder:
        run = Run(binary, seed, seconds, times, folder)
        broken = asyncio.run(run.play())
        print(f"seed {seed}: {run.served} of {len(run.outcomes)} served, "
              f"{len(broken)} broken", flush=True)
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
    parser.add_argument("--seconds", type=float, default=8)
    parser.add_argument("--no-times", action="store_true",
                        help="leave out what a busy machine can break")
    options = parser.parse_args()
    good = 0
    for seed in range(options.seed, options.seed + options.seeds):
        good += play_seed(options.binary, seed, options.seconds,
                          not options.no_times)
    print(f"soak: {good} of {options.seeds} seeds kept every promise")
    return 0 if good == options.seeds else 1


if __name__ == "__main__":
    sys.exit(main())
