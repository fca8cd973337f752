"""A machine freezes; meanwhile an engine registers and leaves again. Requests
that the machine takes once it is in touch must not reach that engine."""
import asyncio
import os
import signal
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-2"))
from world import Channel, Engine, play, reply  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
FREEZE = 4.0        # `node_freeze` of the site file.
STABILITY = 3.0
DRAIN = 2.0
LEFT_SERVING = 14.0  # After its entry is gone: drainMs and some seconds.
REQUESTS = 60
AT_ONCE = 12


class WholeEngine(Engine):
    def __init__(self, *rest):
        super().__init__(*rest)
        self.arrivals = []

    async def run(self, request, reader, writer):
        name = request.headers.get("request-id", "")
        self.arrivals.append((time.monotonic(), name))
        self.world.record.note(f"{self.identity} runs {name}")
        await asyncio.sleep(0.06)
        writer.write(reply(200, {"Request-Id": name,
                                 "Stamp": f"{self.identity}.{name}",
                                 "Load": self.load()}, b"done"))
        return True

    def leave(self):
        """Without a word before: its entry is removed, and it serves on."""
        self.beating.cancel()
        self.world.store.put("keyed.servers", self.identity, None)
        self.world.record.note(f"{self.identity} is gone from the list: "
                               "confirmed by the store")


def configuration():
    return {
        "version": 3,
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
                   "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
        "routes": [{"name": "page-fetch", "host": "a.example",
                    "pathPrefix": "/page/", "type": "unsafe",
                    "service": "faq-front", "attempts": 2, "timeoutMs": 4000,
                    "sloMs": 300, "priority": 1}],
        "services": [{"name": "faq-front", "healthPath": "/healthz",
                      "maxConns": 100}],
        "tenants": [{"name": "shop", "apiKeys": ["key1"]}],
    }


async def ask(world, gateway, name):
    channel = Channel()
    try:
        await channel.open(gateway.front)
        channel.send("POST", "/page/x", {
            "Host": "a.example", "Request-Id": name, "Deadline-Ms": "4000",
            "Authorization": "Bearer key1"}, b"page")
        answer = await asyncio.wait_for(channel.read(), 4.5)
        world.record.note(f"client gets {answer.status} for {name}")
        return answer.status
    except (EOFError, OSError, asyncio.TimeoutError) as fault:
        world.record.note(f"client gets no answer to {name}: {fault!r}")
        return 0
    finally:
        channel.close()


async def main(world):
    for number in range(3):
        await world.add(WholeEngine(world, f"i-a{number}", "faq-front", 6))
    world.configure(configuration())
    for gateway in world.gateways:
        await gateway.wait_ready()
    await asyncio.sleep(4)
    frozen = world.gateways[0]
    if TROUBLE:
        frozen.signal(signal.SIGSTOP)
    began = time.monotonic()
    await asyncio.sleep(0.3)
    leaving = await world.add(WholeEngine(world, "i-b0", "faq-front", 6))
    world.record.note("i-b0 has registered")
    await asyncio.sleep(2.5)
    left = time.monotonic()
    leaving.leave()
    await asyncio.sleep(began + FREEZE - time.monotonic())
    if TROUBLE:
        frozen.signal(signal.SIGCONT)
    await asyncio.sleep(STABILITY + 0.2)
    world.record.note("the machine is in touch")
    begun = time.monotonic()
    statuses = {}
    for first in range(0, REQUESTS, AT_ONCE):
        ends = await asyncio.gather(*(
            ask(world, frozen, f"{number:x}ee")
            for number in range(first, first + AT_ONCE)))
        for status in ends:
            statuses[status] = statuses.get(status, 0) + 1
        await asyncio.sleep(0.3)
    late = [n for at, n in leaving.arrivals if at > max(begun, left + DRAIN)]
    await asyncio.sleep(max(0.0, left + LEFT_SERVING - time.monotonic()))
    leaving.close()
    world.record.note("i-b0 has ended")
    print("answers:", statuses, "at the engine that has left:", len(late))
    if late:
        return [f"DRAIN: {len(late)} of {REQUESTS} requests reached an engine more "
                f"than {begun - left:.1f} s after it had left"]
    return []


play(main, HERE)
