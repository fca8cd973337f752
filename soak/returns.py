#!/usr/bin/env python3
"""Hosts, endpoints and the store lose power at once and come back in any order.

    soak/returns.py BINARY [--seed N] [--seeds COUNT] [--hosts N]

Prints, for each seed, how long after the last of them is back a quarter and
nine tenths of the requests of one second are served. Run by hand.
"""
import argparse
import asyncio
import random
import signal
import sys
import tempfile
import time
from pathlib import Path
from types import SimpleNamespace

from callers import Caller
from soak import Host, Run

# Before the loss, and after the last has returned.
CALM = 3.0
WATCHED = 14.0
# The bound of RECOVER.
RECOVERED_AFTER = 12.0
SHARES = (0.25, 0.9)
SLOT = 0.5


class Returns(Run):
    """One loss of everything and the return."""

    def __init__(self, binary, seed, options, folder):
        super().__init__(binary, seed, options, folder)
        self.draw = random.Random(f"{seed}.returns")

    async def back_after(self, name, begin, action):
        delay = 0.1 + 2.9 * self.draw.random()
        await asyncio.sleep(delay)
        await action()
        self.note(f"{name} back after {time.monotonic() - begin:.2f} s")

    async def lose_all(self):
        begin = time.monotonic()
        self.note("all lose power")
        for host in self.hosts:
            host.expected_end = True
            host.kill(signal.SIGKILL)
        lost = list(self.endpoints)
        self.endpoints.clear()
        for endpoint in lost:
            endpoint.crash()
            self.proxies[endpoint].stop()
        self.store.mode = "reset"
        for host in self.hosts:
            await host.process.wait()
        returns = [self.back_after(host.name, begin, host.start)
                   for host in self.hosts]
        returns += [self.back_after(f"an endpoint of {endpoint.service}", begin,
                                    lambda e=endpoint: self.replace(e))
                    for endpoint in lost]
        returns.append(self.back_after("the store", begin, self.return_store))
        await asyncio.gather(*returns)

    async def replace(self, lost):
        """A new incarnation; the entry of the lost one lapses later."""
        await self.add_endpoint(lost.service)
        asyncio.get_running_loop().call_later(
            3.6 * self.draw.random(),
            lambda: self.store.put("keyed.servers", lost.identity, None))

    async def return_store(self):
        mode = self.draw.choice(("good", "busy", "silent"))
        if mode != "good":
            self.store.mode = mode
            await asyncio.sleep(2 * self.draw.random())
        self.store.mode = "good"

    async def play(self):
        self.began = time.monotonic()
        await self.store.start(self.host_count)
        for service in "ssssttt":
            await self.add_endpoint(service)
        self.configure()
        self.hosts = [Host(self.binary, f"h{i}", self.store.ports[i],
                           self.folder) for i in range(self.host_count)]
        for host in self.hosts:
            await host.start()
        await asyncio.sleep(CALM)
        callers = [Caller(f"c{i}", random.Random(f"{self.seed}.{i}"),
                          self.hosts, self.outcomes) for i in range(12)]
        tasks = [asyncio.ensure_future(caller.run()) for caller in callers]
        await asyncio.sleep(CALM)
        await self.lose_all()
        back = time.monotonic()
        await asyncio.sleep(WATCHED)
        for caller in callers:
            caller.stopping = True
        for task in tasks:
            task.cancel()
        for host in self.hosts:
            host.kill(signal.SIGKILL)
            await host.process.wait()
        return [self.served_after(back, share) for share in SHARES]

    def served_after(self, back, share):
        """Seconds until so much is served of what is sent in one slot, and in
        each one after; none where that is never."""
        reached = None
        slots = int(WATCHED / SLOT) - 2
        for slot in range(slots):
            begin = back + slot * SLOT
            sent = [o for o in self.outcomes if begin <= o.sent < begin + SLOT]
            served = [o for o in sent if o.status == 200 and not o.cut]
            if sent and len(served) >= share * len(sent):
                reached = slot * SLOT if reached is None else reached
            else:
                reached = None
        return reached


def play_seed(binary, seed, options):
    with tempfile.TemporaryDirectory(prefix="slatestall-returns-") as folder:
        run = Returns(binary, seed, options, folder)
        times = asyncio.run(run.play())
        print(f"seed {seed}: a quarter after {times[0]} s, nine tenths after "
              f"{times[1]} s", flush=True)
        good = times[0] is not None and times[0] <= RECOVERED_AFTER
        if not good or times[1] is None:
            print("\n".join("  " + line for line in run.events))
            for host in run.hosts:
                kept = Path(tempfile.gettempdir()) / \
                    f"slatestall-returns-{seed}-{host.name}.log"
                kept.write_bytes((Path(folder) / f"{host.name}.log")
                                 .read_bytes())
                print(f"  log of {host.name}: {kept}")
        return good


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("binary")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--hosts", type=int, default=7)
    given = parser.parse_args()
    options = SimpleNamespace(no_times=True, two_causes=False, seconds=0,
                              hosts=given.hosts)
    good = sum(play_seed(given.binary, seed, options)
               for seed in range(given.seed, given.seed + given.seeds))
    print(f"returns: {good} of {given.seeds} seeds recovered")
    return 0 if good == given.seeds else 1


if __name__ == "__main__":
    sys.exit(main())
