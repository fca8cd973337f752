"""All gateway processes are killed at once and started again; clients take up
the streams that were cut. See claim.txt."""
import asyncio
import os
import random
import signal
import sys
import tempfile
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins"))

from engines import Engine  # noqa: E402
from hosts import Host, start_all  # noqa: E402
from http_text import chunk, head, read_chunk, read_head  # noqa: E402
from world import World, plain_service, route  # noqa: E402

ZONES = ("z-a", "z-b")
HOSTS = 4
ENGINES = 6
EVENTS = 80            # A stream lasts 8 s or so.
PAUSE_S = 0.1
DEADLINE_S = 15.0      # The site's chat-reply.
KILL_AT_S = 12.0
STABILITY_S = 3.0      # `stabilityMs` of the site.
FIRST_RETRY_S = 0.3    # Then twice as long each time.
RESUMERS = 32
NEWCOMERS = 12
LEAST_STREAMS = 12     # The rule: "Of 12 or more streams".
SEED = 3


class LongEngine(Engine):
    """Goes on behind `Last-Event-Id`, as a sound engine does."""

    async def stream(self, identity, fields, writer):
        request = self.request
        first = int(request.headers.get("last-event-id", "0")) + 1
        await asyncio.sleep(self.FIRST_EVENT_S)
        writer.write(head(200, {**fields, "Content-Type": "text/event-stream",
                                "Transfer-Encoding": "chunked"}))
        for number in range(first, EVENTS + 1):
            writer.write(chunk(f"id: {number}\ndata: {identity}\n\n".encode()))
            await writer.drain()
            await asyncio.sleep(PAUSE_S)
        writer.write(b"0\r\n\r\n")

    async def handle(self, request, writer):
        engine = LongEngine(self.identity, self.service, self.zone, self.world)
        engine.request = request
        await Engine.handle(engine, request, writer)


class Try:
    """One client attempt at a stream."""

    def __init__(self, identity, host, resumes, after):
        self.identity = identity
        self.host = host
        self.resumes = resumes  # Request-Id of the attempt with event 1.
        self.after = after      # Events that the client has.
        self.sent = time.monotonic()
        self.in_touch = self.sent - host.started >= STABILITY_S
        self.connected = False
        self.status = None
        self.retry_after = None
        self.events = 0
        self.whole = False

    def line(self, began):
        return (f"try {self.identity} at {self.host.name} sent="
                f"{self.sent - began:.3f} in_touch={self.in_touch} resumes="
                f"{self.resumes} after={self.after} connected="
                f"{self.connected} status={self.status} events={self.events} "
                f"whole={self.whole}")


class Play:
    def __init__(self, trouble, folder):
        self.trouble = trouble
        self.folder = folder
        self.random = random.Random(SEED)
        self.world = World()
        self.began = time.monotonic()
        self.notes = []
        self.tries = []
        self.hosts = []
        self.stopping = False
        self.killed_at = None

    def note(self, text):
        self.notes.append(f"{time.monotonic() - self.began:8.3f} {text}")

    async def attempt(self, resumes, after, left_s):
        host = self.random.choice(self.hosts)
        one = Try(f"{self.random.getrandbits(64):016x}", host, resumes, after)
        self.tries.append(one)
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection("127.0.0.1", host.front), 1)
        except (OSError, asyncio.TimeoutError):
            return one
        one.connected = True
        more = "" if resumes is None else (
            f"Resumes: {resumes}\r\nLast-Event-Id: {after}\r\n")
        try:
            writer.write((
                "POST /stream/a HTTP/1.1\r\nHost: x.example\r\n"
                f"Request-Id: {one.identity}\r\nModel: m\r\n"
                "Tokens: 500,400\r\nPrefix-Hash: aa:300,bb:200\r\n"
                f"Deadline-Ms: {int(left_s * 1000)}\r\n"
                f"Authorization: Bearer key-of-t\r\n{more}"
                "Content-Length: 0\r\n\r\n").encode())
            await asyncio.wait_for(self.read(reader, one), left_s)
        except (EOFError, OSError, asyncio.IncompleteReadError,
                asyncio.TimeoutError):
            pass
        finally:
            writer.close()
        return one

    async def read(self, reader, one):
        message = await read_head(reader)
        one.status = message.status
        if "retry-after" in message.headers:
            one.retry_after = float(message.headers["retry-after"])
        if message.headers.get("transfer-encoding") == "chunked":
            text = b""
            while (data := await read_chunk(reader)) is not None:
                text += data
                one.events = text.count(b"\n\n")
            one.whole = True

    async def resumer(self):
        """Takes a stream up again until its deadline; then the next."""
        while not self.stopping:
            until = time.monotonic() + DEADLINE_S
            one = await self.attempt(None, 0, DEADLINE_S)
            first, after, pause = one.identity, one.events, FIRST_RETRY_S
            while not one.whole and after > 0:
                wait = max(pause, one.retry_after or 0)
                pause *= 2
                left = until - time.monotonic() - wait
                if left < 0.5:
                    break
                await asyncio.sleep(wait)
                one = await self.attempt(first, after, left)
                after += one.events
            await asyncio.sleep(0.5 * self.random.random())

    async def newcomer(self):
        """New streams only, each left after its first events."""
        while not self.stopping:
            await self.attempt(None, 0, 1.5)
            await asyncio.sleep(0.5 * self.random.random())

    async def kill_all(self):
        await asyncio.sleep(KILL_AT_S)
        if not self.trouble:
            return
        self.killed_at = time.monotonic()
        self.note("all gateway processes are killed")
        for host in self.hosts:
            host.process.send_signal(signal.SIGKILL)

    async def run(self):
        world = self.world
        await world.store.start()
        world.publish(7, [
            route("chat", "/stream/", "stream", "engines", 15000, 1500,
                  attempts=2, resumable=True)], [plain_service("engines")])
        for number in range(ENGINES):
            await LongEngine(f"i-e{number}", "engines", ZONES[number % 2],
                             world).start()
        for number in range(HOSTS):
            host = Host(f"edge-{number}", ZONES[number % 2], self.folder,
                        world.store)
            started = host.start

            async def start(host=host, started=started):
                host.started = time.monotonic()
                self.note(f"{host.name} is started")
                await started()
            host.start = start
            self.hosts.append(host)
        await start_all(self.hosts)
        self.note("all hosts are ready")
        keepers = [asyncio.ensure_future(host.keep_running(
            lambda one, code: self.note(f"{one.name} ended with {code}")))
            for host in self.hosts]
        tasks = [asyncio.ensure_future(self.resumer()) for _ in range(RESUMERS)]
        tasks += [asyncio.ensure_future(self.newcomer())
                  for _ in range(NEWCOMERS)]
        await self.kill_all()
        await asyncio.sleep(DEADLINE_S)
        self.stopping = True
        for one in tasks + keepers:
            one.cancel()
        for host in self.hosts:
            await host.end()

    def judge(self):
        taken_up = {}
        for one in self.tries:
            if one.resumes and one.in_touch and one.connected:
                taken_up.setdefault(one.resumes, []).append(one)
        went_on = [stream for stream, tries in taken_up.items()
                   if any(one.events > 0 for one in tries)]
        new = [one for one in self.tries
               if one.resumes is None and one.in_touch and one.connected and
               (self.killed_at is None or one.sent > self.killed_at)]
        begun = [one for one in new if one.events > 0]
        share = len(went_on) / max(1, len(taken_up))
        usual = len(begun) / max(1, len(new))
        lines = list(self.notes) + [one.line(self.began) for one in self.tries]
        lines += [f"{at - self.began:8.3f} engine {engine} runs {identity}"
                  for at, identity, engine, _ in self.world.runs]
        lines.append(f"LOST: {len(went_on)} of {len(taken_up)} streams that "
                     f"clients took up at machines in touch went on, "
                     f"{len(begun)} of {len(new)} new streams began; "
                     f"{ENGINES} engines served, all of one version")
        (HERE / "record.txt").write_text("\n".join(lines) + "\n")
        print(lines[-1])
        if not begun:
            return 2
        return 1 if len(taken_up) >= LEAST_STREAMS and share < usual / 2 else 0


def main():
    with tempfile.TemporaryDirectory() as folder:
        play = Play(os.environ.get("TROUBLE", "1") != "0", folder)

        async def whole():
            try:
                await asyncio.wait_for(play.run(), 110)
            finally:
                for host in play.hosts:
                    await host.end()
        try:
            asyncio.run(whole())
        except Exception as problem:  # noqa: BLE001 - the case could not run
            print(f"could not run: {problem!r}", file=sys.stderr)
            return 2
        if os.environ.get("KEEP_LOGS"):
            for log in Path(folder).glob("*.log"):
                Path(os.environ["KEEP_LOGS"], log.name).write_bytes(
                    log.read_bytes())
        return play.judge()


sys.exit(main())
