"""A version raises `maxBodyBytes`; clients send bodies that it allows, on
channels that they kept from before and on new ones."""
import asyncio
import os
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-2"))
from world import Channel, Engine, play, reply  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SMALL_LIMIT = 65536
LARGE_LIMIT = 4194304   # As in the site file.
CHANNELS = 30
BODY = b"x" * 110000    # The largest body of the sheet's catalogue-faq.
CONFIG_S = 2.0


class WholeEngine(Engine):
    async def run(self, request, reader, writer):
        name = request.headers.get("request-id", "")
        self.world.record.note(f"{self.identity} runs {name}, "
                               f"{len(request.body)} bytes")
        await asyncio.sleep(0.02)
        writer.write(reply(200, {"Request-Id": name,
                                 "Stamp": f"{self.identity}.{name}",
                                 "Load": self.load()}, b"done"))
        return True


def configuration(version, limit):
    return {
        "version": version,
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": limit,
                   "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
        "routes": [{"name": "draft-status", "host": "a.example",
                    "pathPrefix": "/status/", "type": "safe",
                    "service": "faq-front", "attempts": 2, "timeoutMs": 4000,
                    "sloMs": 300, "priority": 1}],
        "services": [{"name": "faq-front", "healthPath": "/healthz",
                      "maxConns": 100}],
        "tenants": [{"name": "shop", "apiKeys": ["key1"]}],
    }


async def ask(world, channel, name, body):
    channel.send("POST", "/status/x", {
        "Host": "a.example", "Request-Id": name, "Deadline-Ms": "4000",
        "Authorization": "Bearer key1"}, body)
    world.record.note(f"client sends {name}, {len(body)} bytes")
    try:
        answer = await asyncio.wait_for(channel.read(), 5)
        world.record.note(f"client gets {answer.status} for {name}")
        return answer.status
    except (EOFError, OSError, asyncio.TimeoutError) as fault:
        world.record.note(f"client gets no answer to {name}: {fault!r}")
        return 0


async def main(world):
    for number in range(2):
        await world.add(WholeEngine(world, f"i-{number}", "faq-front", 64))
    world.configure(configuration(3, SMALL_LIMIT if TROUBLE else LARGE_LIMIT))
    for gateway in world.gateways:
        await gateway.wait_ready()
    await asyncio.sleep(4)  # In touch.
    front = world.gateways[0].front
    kept = [await Channel().open(front) for _ in range(CHANNELS)]
    first = [await ask(world, c, f"{n:x}0e", b"small")
             for n, c in enumerate(kept, 1)]
    if TROUBLE:
        world.configure(configuration(5, LARGE_LIMIT))
    await asyncio.sleep(CONFIG_S + 5)
    second = [await ask(world, c, f"{n:x}1e", BODY)
              for n, c in enumerate(kept, 1)]
    fresh = [await Channel().open(front) for _ in range(CHANNELS)]
    third = [await ask(world, c, f"{n:x}2e", BODY)
             for n, c in enumerate(fresh, 1)]
    for channel in kept + fresh:
        channel.close()
    print("kept, before:", first, "kept, after:", second, "new:", third)
    answers = first + second + third
    denied = sum(1 for s in answers
                 if 300 <= s < 500 and s not in (408, 421, 429))
    if denied > 5 + len(answers) / 500:
        return [f"DENIED: {denied} of {len(answers)} refused with a 4xx"]
    return []


play(main, HERE)
