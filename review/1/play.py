"""A stage server spoils a few of its answers: in place of the text of a piece's
`reason` stands something else. See claim.txt."""
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
from world import World, plain_service, route, stage_service  # noqa: E402

ZONES = ("z-a", "z-b")
HOSTS = 4
STAGES = ("parse", "match")
STAGE_SERVERS = 6     # Of each.
SPOILING = 2          # 0.33 of a service; the site file: share = 0.35
EACH = 50             # One answer in so many, 0.02: the site file: x = 0.02
WINDOW_S = 5.5        # The site file: for_s = 5.5
EVERY_S = 8.0         # From the begin of one window to the next.
FIRST_S = 4.0         # After the hosts are ready; machines are in touch after 3.
PLAY_S = 60.0
MOST_LOST = 3         # The rule: "more than three times".
SEED = 1


class Play:
    def __init__(self, trouble, folder):
        self.trouble = trouble
        self.folder = folder
        self.random = random.Random(SEED)
        self.world = World()
        self.began = time.monotonic()
        self.notes = []
        self.garbling = False
        # By service, answers of those that spoil some, while they do.
        self.answers = {name: 0 for name in STAGES}
        self.hosts = []

    def note(self, text):
        self.notes.append(f"{time.monotonic() - self.began:8.3f} {text}")

    def spoil(self, server, body):
        if not self.garbling:
            return body
        self.answers[server.service] += 1
        if self.answers[server.service] % EACH != EACH // 2:
            return body
        body["entries"][0] = {"reason": None}
        self.note(f"stage server {server.identity} spoils an answer: {body}")
        return body

    async def disturb(self):
        await asyncio.sleep(FIRST_S)
        while True:
            self.garbling = self.trouble
            await asyncio.sleep(WINDOW_S)
            self.garbling = False
            await asyncio.sleep(EVERY_S - WINDOW_S)

    def draw(self):
        kind = self.random.random()
        body = bytes(600)
        if kind < 0.5:
            return "/stream/a", [
                "Model: m", "Tokens: 500,20", "Prefix-Hash: aa:300,bb:200",
                f"Pieces: {self.random.randint(1, 3)},"
                f"{self.random.randint(1, 3)}", "Piece-Key: 7c1e07a291bd",
            ], body
        return ("/unsafe/a" if kind < 0.8 else "/safe/a"), [], body

    async def run(self):
        world = self.world
        await world.store.start()
        world.publish(7, [
            route("draft", "/stream/", "stream", "engines", 6000, 1500,
                  attempts=2, resumable=True,
                  stages=[{"service": STAGES[0], "after": [],
                           "byteCount": 8000},
                          {"service": STAGES[1], "after": [0],
                           "byteCount": 8000}]),
            route("charge", "/unsafe/", "unsafe", "front", 2000, 300),
            route("status", "/safe/", "safe", "front", 2000, 300, attempts=2),
        ], [plain_service("engines"), plain_service("front"),
            *(stage_service(name, 8, 150.0, 16.0) for name in STAGES)])
        for number in range(8):
            service = "engines" if number < 4 else "front"
            await Engine(f"i-e{number}", service, ZONES[number % 2],
                         world).start()
        for service in STAGES:
            for number in range(STAGE_SERVERS):
                server = StageServer(f"i-{service}{number}", service,
                                     ZONES[number % 2], world)
                await server.start()
                if number < SPOILING:
                    server.spoil = self.spoil
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
                   for number in range(40)]
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
        """LOST: requests from kept channels that an engine ran, whose channel
        was closed without an answer."""
        ran = {identity for _, identity, _, _ in self.world.runs}
        lost = [ask for ask in self.world.asks
                if ask.closed and ask.status is None and ask.earlier > 0 and
                ask.identity in ran]
        ends = {host.name: len(host.own_ends) for host in self.hosts}
        lines = list(self.notes)
        lines += [f"{at - self.began:8.3f} engine {engine} runs {identity} "
                  f"{path}" for at, identity, engine, path in self.world.runs]
        lines += [ask.line(self.began) for ask in self.world.asks]
        lines.append(f"requests {len(self.world.asks)}, answered "
                     f"{sum(1 for a in self.world.asks if a.whole)}, with "
                     f"success {sum(1 for a in self.world.asks if a.status == 200 and a.whole)}")
        lines.append(f"processes that ended by themselves: {ends}")
        lines.append(f"LOST: {len(lost)} requests from kept channels were run "
                     f"by a sound engine and their channel closed without an "
                     f"answer; {MOST_LOST} are allowed")
        (HERE / "record.txt").write_text("\n".join(lines) + "\n")
        print("\n".join(lines[-3:]))
        if not any(ask.status == 200 for ask in self.world.asks):
            return 2
        return 1 if len(lost) > MOST_LOST else 0


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
