"""A stage server spoils a few of its answers: the handle of one piece is an
empty text. See claim.txt."""
import asyncio
import os
import random
import sys
import tempfile
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins"))

from clients import Client  # noqa: E402
from engines import Engine, StageServer  # noqa: E402
from hosts import Host, start_all  # noqa: E402
from http_text import answer  # noqa: E402
from world import World, plain_service, route, stage_service  # noqa: E402

ZONES = ("z-a", "z-b")
HOSTS = 3
STAGE_SERVERS = 6
SPOILING = 2          # 0.33 of the service; the site file: share = 0.35
EACH = 50             # One answer in so many, 0.02: the site file: x = 0.02
WINDOW_S = 5.5        # The site file: for_s = 5.5
EVERY_S = 8.0         # From the begin of one window to the next.
FIRST_S = 4.0         # After the hosts are ready; machines are in touch after 3.
PLAY_S = 45.0
SEED = 2


class ReadingEngine(Engine):
    """Fetches its inputs as the pages say: 400 without the header, 409 where
    one does not exist; notes what it was given when it begins to run."""

    async def handle(self, request, writer):
        identity = request.headers["request-id"]
        if request.target.startswith("/stream/"):
            refused = {"Request-Id": identity, "Not-Run": "1"}
            given = request.headers.get("inputs", "")
            if not given:
                writer.write(answer(400, refused))
                return
            handles = [handle.strip() for handle in given.split(",")]
            if any(handle not in self.world.made for handle in handles):
                writer.write(answer(409, refused))
                return
            self.world.given.append((time.monotonic(), identity, self.identity,
                                     handles, request.headers["pieces"]))
        await super().handle(request, writer)


class Play:
    def __init__(self, trouble, folder):
        self.trouble = trouble
        self.folder = folder
        self.random = random.Random(SEED)
        self.world = World()
        self.world.made = set()
        self.world.given = []
        self.began = time.monotonic()
        self.notes = []
        self.garbling = False
        self.answers = 0  # Of the servers that spoil some, while they do.
        self.hosts = []

    def note(self, text):
        self.notes.append(f"{time.monotonic() - self.began:8.3f} {text}")

    def answered(self, server, body):
        if self.garbling and server.spoils:
            self.answers += 1
            if self.answers % EACH == EACH // 2:
                body["entries"][0] = {"handle": ""}
                self.note(f"stage server {server.identity} spoils an answer: "
                          f"{body}")
        self.world.made.update(entry["handle"] for entry in body["entries"]
                               if entry["handle"])
        return body

    async def disturb(self):
        await asyncio.sleep(FIRST_S)
        while True:
            self.garbling = self.trouble
            await asyncio.sleep(WINDOW_S)
            self.garbling = False
            await asyncio.sleep(EVERY_S - WINDOW_S)

    def draw(self):
        return "/stream/a", [
            "Model: m", "Tokens: 500,20", "Prefix-Hash: aa:300,bb:200",
            f"Pieces: {self.random.randint(2, 3)}", "Piece-Key: 7c1e07a291bd",
        ], bytes(600)

    async def run(self):
        world = self.world
        await world.store.start()
        world.publish(7, [
            route("draft", "/stream/", "stream", "engines", 6000, 1500,
                  stages=[{"service": "parse", "after": [],
                           "byteCount": 8000}]),
        ], [plain_service("engines"), stage_service("parse", 8, 150.0, 16.0)])
        for number in range(4):
            await ReadingEngine(f"i-e{number}", "engines", ZONES[number % 2],
                                world).start()
        for number in range(STAGE_SERVERS):
            server = StageServer(f"i-s{number}", "parse", ZONES[number % 2],
                                 world)
            server.spoils = number < SPOILING
            server.spoil = self.answered
            await server.start()
        self.hosts = [Host(f"edge-{n}", ZONES[n % 2], self.folder, world.store)
                      for n in range(HOSTS)]
        await start_all(self.hosts)
        self.note("all hosts are ready")
        keepers = [asyncio.ensure_future(host.keep_running(
            lambda one, code: self.note(
                f"{one.name} ended by itself with status {code}")))
            for host in self.hosts]
        clients = [Client(f"{number:04x}", self.hosts[number % HOSTS],
                          self.draw, world, 6.0,
                          lambda: 0.6 * self.random.random())
                   for number in range(30)]
        tasks = [asyncio.ensure_future(one.run()) for one in clients]
        disturbance = asyncio.ensure_future(self.disturb())
        await asyncio.sleep(PLAY_S)
        disturbance.cancel()
        for one in clients:
            one.stopping = True
        await asyncio.wait(tasks, timeout=8)
        for host in self.hosts:
            await host.end()
        for keeper in keepers:
            keeper.cancel()

    def judge(self):
        """MIXED: requests that an engine ran with only some of their inputs."""
        asked = {ask.identity: ask for ask in self.world.asks}
        lines = list(self.notes)
        some = 0
        for at, identity, engine, handles, pieces in self.world.given:
            whole = len(handles) == int(pieces)
            some += not whole
            ask = asked.get(identity)
            told = "" if whole else (
                f"  ONLY SOME; the client got status "
                f"{ask.status}, whole={ask.whole}")
            lines.append(f"{at - self.began:8.3f} engine {engine} runs "
                         f"{identity} pieces={pieces} "
                         f"inputs={','.join(handles)}{told}")
        lines += [ask.line(self.began) for ask in self.world.asks]
        lines.append(f"requests {len(asked)}, with success "
                     f"{sum(1 for a in self.world.asks if a.status == 200 and a.whole)}")
        lines.append(f"MIXED: {some} of {len(self.world.given)} requests were "
                     f"run with only some of their inputs; 0 are allowed")
        (HERE / "record.txt").write_text("\n".join(lines) + "\n")
        print("\n".join(lines[-2:]))
        if not any(ask.status == 200 for ask in self.world.asks):
            return 2
        return 1 if some else 0


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
        return play.judge()


sys.exit(main())
