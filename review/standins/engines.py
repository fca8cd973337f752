"""Engines and stage servers of the users' pages, one boot each."""
import asyncio
import json
import time

from http_text import answer, chunk, head, read_message


class Server:
    """What engines and stage servers have in common."""

    def __init__(self, identity, service, zone, world):
        self.identity = identity
        self.service = service
        self.zone = zone
        self.world = world
        self.port = None
        self.server = None
        self.active = 0
        self.seq = 0

    @property
    def address(self):
        return f"127.0.0.1:{self.port}"

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        self.register()

    def register(self, state="ready"):
        self.seq += 1
        self.world.store.put("keyed.servers", self.identity, {
            "service": self.service, "addr": self.address, "zone": self.zone,
            "version": "v1", "slots": self.SLOTS, "state": state,
            "coldLeftMs": 0, "seq": self.seq})

    async def serve(self, reader, writer):
        try:
            while True:
                request = await read_message(reader)
                if request.headers.get("expect-instance") != self.identity:
                    writer.write(answer(421, {"Instance": self.identity,
                                              "Not-Run": "1"}))
                else:
                    await self.handle(request, writer)
                await writer.drain()
        except (EOFError, OSError, asyncio.IncompleteReadError,
                asyncio.CancelledError):
            pass
        finally:
            writer.close()


class Engine(Server):
    """Answers /SAFE|UNSAFE/... with a whole body, /STREAM/... with events."""

    SLOTS = 64
    EVENTS = 5
    FIRST_EVENT_S = 0.25
    WORK_S = 0.06

    async def handle(self, request, writer):
        identity = request.headers["request-id"]
        self.world.runs.append((time.monotonic(), identity, self.identity,
                                request.target))
        self.active += 1
        fields = {"Request-Id": identity, "Stamp": f"{self.identity}.{identity}",
                  "Load": f"{self.active},0,{self.SLOTS}"}
        try:
            if request.target.startswith("/stream/"):
                await self.stream(identity, fields, writer)
            else:
                await asyncio.sleep(self.WORK_S)
                writer.write(answer(200, fields, f"answer {identity}".encode()))
        finally:
            self.active -= 1

    async def stream(self, identity, fields, writer):
        await asyncio.sleep(self.FIRST_EVENT_S)
        writer.write(head(200, {**fields, "Content-Type": "text/event-stream",
                                "Transfer-Encoding": "chunked"}))
        for number in range(1, self.EVENTS + 1):
            if number > 1:
                await asyncio.sleep(0.05)
            writer.write(chunk(f"id: {number}\ndata: {identity}\n\n".encode()))
            await writer.drain()
        writer.write(b"0\r\n\r\n")


class StageServer(Server):
    """Makes pieces. `spoil` may replace the body of an answer."""

    SLOTS = 1
    CALL_S = 0.15
    ITEM_S = 0.016

    def __init__(self, *args):
        super().__init__(*args)
        self.turn = asyncio.Lock()
        self.spoil = None

    async def handle(self, request, writer):
        if request.target == "/stage-free":
            writer.write(answer(200, {}))
            return
        entries = json.loads(request.body)["entries"]
        async with self.turn:
            await asyncio.sleep(self.CALL_S + self.ITEM_S * len(entries))
        body = {"entries": [
            {"handle": f"{self.address}/{self.identity}{self.world.next():x}"}
            for _ in entries]}
        if self.spoil:
            body = self.spoil(self, body)
        writer.write(answer(200, {"Content-Type": "application/json",
                                  "Load": f"0,0,{self.SLOTS}"},
                            json.dumps(body).encode()))
