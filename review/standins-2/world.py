"""Small stand-ins for the platform's store, engines and clients, and the
gateway processes under test. Only what the cases of this review need, as
PROTOCOL.md describes it. All on loopback addresses, on free ports."""
import asyncio
import base64
import json
import os
import shutil
import signal
import socket
import struct
import tempfile
import time
from pathlib import Path
from urllib.parse import parse_qs, urlparse

ROOT = Path(__file__).resolve().parents[2]
BINARY = ROOT / "target" / "bin" / "slatestalld"


class CannotRun(Exception):
    """The case could not be played; exit status 2."""


class Record:
    """What was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.began = time.monotonic()

    def note(self, text):
        self.file.write(f"{time.monotonic() - self.began:8.3f} {text}\n")
        self.file.flush()


def free_ports(count):
    sockets = []
    for _ in range(count):
        one = socket.socket()
        one.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        one.bind(("127.0.0.1", 0))
        sockets.append(one)
    ports = [one.getsockname()[1] for one in sockets]
    for one in sockets:
        one.close()
    return ports


class Message:
    def __init__(self, first, headers):
        self.first = first
        self.headers = headers
        self.body = b""

    @property
    def status(self):
        return int(self.first.split(" ")[1])

    @property
    def path(self):
        return self.first.split(" ")[1]


async def read_head(reader):
    """Raises EOFError if the channel ends first."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as cut:
        raise EOFError from cut
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.lower()] = value.strip()
    return Message(lines[0], headers)


async def read_chunk(reader):
    """A chunk's bytes, none at the end; EOFError if the channel ends first."""
    try:
        line = await reader.readuntil(b"\r\n")
        data = await reader.readexactly(int(line.strip(), 16) + 2)
    except asyncio.IncompleteReadError as cut:
        raise EOFError from cut
    return data[:-2] or None


async def read_body(reader, message):
    try:
        if message.headers.get("transfer-encoding") == "chunked":
            while True:
                data = await read_chunk(reader)
                if data is None:
                    return
                message.body += data
        size = int(message.headers.get("content-length", 0))
        message.body = await reader.readexactly(size)
    except asyncio.IncompleteReadError as cut:
        raise EOFError from cut


def reply(status, headers=None, body=b""):
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{k}: {v}" for k, v in (headers or {}).items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Server:
    """Serves one request at a time on each channel."""

    def __init__(self):
        self.server = None
        self.port = 0
        self.tasks = set()

    async def listen(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0,
                                                 limit=1 << 22)
        self.port = self.server.sockets[0].getsockname()[1]

    @property
    def address(self):
        return f"127.0.0.1:{self.port}"

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self.tasks.add(task)
        try:
            while True:
                request = await read_head(reader)
                await read_body(reader, request)
                if not await self.handle(request, reader, writer):
                    return
                await writer.drain()
        except (EOFError, OSError, asyncio.CancelledError):
            pass
        finally:
            self.tasks.discard(task)
            writer.transport.abort()

    def close(self):
        if self.server:
            self.server.close()
        for task in list(self.tasks):
            task.cancel()


class Store(Server):
    """The platform's store: topics of one partition, `keyed.` ones compacted."""

    def __init__(self):
        super().__init__()
        self.topics = {}
        self.changed = asyncio.Event()
        self.on_append = None

    def append(self, topic, record):
        records = self.topics.setdefault(topic, [])
        records.append(record)
        self.changed.set()
        self.changed = asyncio.Event()
        return len(records) - 1

    def put(self, topic, key, value):
        text = json.dumps(value).encode() if value is not None else b""
        self.append(topic, bytes([len(key)]) + key.encode() + text)

    async def handle(self, request, reader, writer):
        url = urlparse(request.path)
        query = {k: v[0] for k, v in parse_qs(url.query).items()}
        name = query.get("topic", "")
        records = self.topics.setdefault(name, [])
        if url.path == "/log-append":
            if "at" in query and int(query["at"]) != len(records):
                writer.write(reply(412, body=json.dumps(
                    {"end": len(records)}).encode()))
                return True
            await asyncio.sleep(0.004)
            first = len(records)
            body = request.body
            while body:
                size = struct.unpack(">I", body[:4])[0]
                self.append(name, body[4:4 + size])
                body = body[4 + size:]
            writer.write(reply(200, body=json.dumps(
                {"offset": first, "end": len(records)}).encode()))
            return True
        if url.path == "/log-newest":
            newest = {}
            for offset, record in enumerate(records):
                size = record[0]
                newest[record[1:1 + size].decode()] = (record[1 + size:],
                                                       offset)
            entries = [{"key": k, "value": base64.b64encode(v).decode(),
                        "offset": o} for k, (v, o) in newest.items() if v]
            writer.write(reply(200, body=json.dumps(
                {"entries": entries, "end": len(records)}).encode()))
            return True
        if url.path == "/log-read":
            start = int(query["from"])
            end = time.monotonic() + int(query.get("waitMs", 0)) / 1000
            while len(records) <= start and time.monotonic() < end:
                try:
                    await asyncio.wait_for(self.changed.wait(),
                                           end - time.monotonic())
                except asyncio.TimeoutError:
                    pass
            body = struct.pack(">QQ", len(records), 0)
            for record in records[start:]:
                body += struct.pack(">I", len(record)) + record
            writer.write(reply(200, body=body))
            return True
        writer.write(reply(404))
        return True


class Engine(Server):
    """Register with `publish`; a subclass answers requests in `run`."""

    def __init__(self, world, identity, service, slots=64, zone="ikeja-a"):
        super().__init__()
        self.world = world
        self.identity = identity
        self.service = service
        self.slots = slots
        self.zone = zone
        self.sequence = 0
        self.active = 0
        self.beating = None

    def publish(self, state="ready"):
        self.sequence += 1
        self.world.store.put("keyed.servers", self.identity, {
            "service": self.service, "addr": self.address, "zone": self.zone,
            "version": "v1", "slots": self.slots, "state": state,
            "coldLeftMs": 0, "seq": self.sequence})

    async def start(self):
        await self.listen()
        self.publish()
        self.beating = asyncio.ensure_future(self._beat())

    async def _beat(self):
        while True:
            await asyncio.sleep(1.2)
            self.publish()

    def close(self):
        if self.beating:
            self.beating.cancel()
        super().close()

    def load(self):
        return f"{self.active},0,{self.slots}"

    async def handle(self, request, reader, writer):
        expected = request.headers.get("expect-instance")
        if expected and expected != self.identity:
            writer.write(reply(421, {"Not-Run": "1",
                                     "Instance": self.identity}))
            return True
        if request.path == "/healthz":
            writer.write(reply(200, {"Instance": self.identity,
                                     "Load": self.load()}))
            return True
        if request.path == "/report":
            writer.write(reply(200, {"Content-Type": "application/json"},
                               json.dumps({
                "phase": "both", "models": [{"name": "m", "version": 1,
                                             "adapters": []}],
                "busy": False, "seq": 0, "queued": 0, "active": self.active,
                "kvUsed": 0, "kvTotal": 370000, "handles": 0, "runs": [],
                "state": "ready", "next": 0}).encode()))
            return True
        if request.path.startswith(("/kv-events", "/kv-list")):
            await asyncio.sleep(0.5)
            writer.write(reply(200, {"Content-Type": "application/json"},
                               json.dumps({"epoch": 1, "next": 0, "lost": False,
                                           "events": [], "held": []}).encode()))
            return True
        return await self.run(request, reader, writer)

    async def run(self, request, reader, writer):
        raise NotImplementedError


class Gateway:
    """One process, with the command of deploy/system.toml."""

    def __init__(self, world, number, zone="ikeja-a"):
        self.world = world
        self.number = number
        self.zone = zone
        self.front, self.ready, self.peer, self.relay = free_ports(4)
        self.settings = world.folder / f"gateway-{number}.yaml"
        self.log = open(world.folder / f"gateway-{number}.log", "ab")
        self.process = None

    def write_settings(self, seeds):
        text = "".join(f"{k}: {v}\n" for k, v in {
            "host_name": f'"edge-{self.number}"',
            "failure_domain": f'"{self.zone}"',
            "front_listen": f'"127.0.0.1:{self.front}"',
            "status_listen": f'"127.0.0.1:{self.ready}"',
            "peer_listen": f'"127.0.0.1:{self.peer}"',
            "relay_listen": f'"127.0.0.1:{self.relay}"',
            "store_address": f'"{self.world.store.address}"',
            "seeds": f'"{seeds}"',
            "domain_regions": '"ikeja-a=lagos,ikeja-b=lagos"',
            "max_memory_mb": 260, "max_files": 4100, "processor_share": 0.25,
            "link_mbps": 1000, "leave_limit_ms": 2000, "settle_limit_ms": 3000,
            "stop_grace_seconds": 8, "repeat_ratio": 0.2,
            "repeat_window_seconds": 10, "repeat_reserve": 54,
        }.items())
        self.settings.write_text(text, encoding="utf-8")

    async def start(self):
        self.process = await asyncio.create_subprocess_exec(
            str(BINARY), "gateway", stdout=self.log, stderr=self.log,
            cwd=str(ROOT), env={"PATH": os.environ["PATH"], "HOME": "/tmp",
                                "LANG": "C",
                                "SLATESTALL_SETTINGS": str(self.settings)})
        self.world.record.note(f"gateway {self.number} started, process "
                               f"{self.process.pid}")

    def signal(self, which):
        self.world.record.note(f"gateway {self.number}: "
                               f"{signal.Signals(which).name}")
        self.process.send_signal(which)

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1",
                                                           self.ready)
            writer.write(b"GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n")
            head = await asyncio.wait_for(read_head(reader), 1)
            writer.close()
            return head.status == 200
        except (OSError, EOFError, asyncio.TimeoutError):
            return False

    async def wait_ready(self, seconds=20):
        end = time.monotonic() + seconds
        while not await self.is_ready():
            if time.monotonic() > end or self.process.returncode is not None:
                raise CannotRun(f"gateway {self.number} isn't ready")
            await asyncio.sleep(0.1)

    async def end(self):
        if self.process and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


class Channel:
    """A client's channel."""

    def __init__(self):
        self.reader = self.writer = None

    async def open(self, port):
        self.reader, self.writer = await asyncio.open_connection(
            "127.0.0.1", port, limit=1 << 22)
        return self

    def send(self, method, path, headers, body=b""):
        lines = [f"{method} {path} HTTP/1.1"]
        lines += [f"{k}: {v}" for k, v in headers.items()]
        if body:
            lines.append(f"Content-Length: {len(body)}")
        self.writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)

    async def read(self):
        """The whole answer, or EOFError."""
        message = await read_head(self.reader)
        await read_body(self.reader, message)
        return message

    def close(self):
        if self.writer:
            self.writer.transport.abort()


class World:
    def __init__(self, folder, gateways=2):
        self.record = Record(Path(folder) / "record.txt")
        self.folder = Path(tempfile.mkdtemp(prefix="slatestall-review-"))
        self.store = Store()
        self.count = gateways
        self.gateways = []
        self.engines = []

    async def start(self):
        if not BINARY.exists():
            raise CannotRun(f"{BINARY} isn't built")
        await self.store.listen()
        self.gateways = [Gateway(self, n) for n in range(self.count)]
        seeds = ",".join(f"127.0.0.1:{g.peer}" for g in self.gateways)
        for gateway in self.gateways:
            gateway.write_settings(seeds)
            await gateway.start()

    def configure(self, document):
        self.store.put("keyed.op", "config", document)
        self.record.note(f"configuration {document['version']} confirmed")

    async def add(self, engine):
        self.engines.append(engine)
        await engine.start()
        return engine

    async def end(self):
        for gateway in self.gateways:
            await gateway.end()
        for engine in self.engines:
            engine.close()
        self.store.close()
        if os.environ.get("KEEP"):
            self.record.note(f"logs in {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def play(main, folder, gateways=2):
    """Runs `main(world)`, which returns the breaches; exits as issue 74 says."""

    async def whole():
        world = World(folder, gateways)
        try:
            await world.start()
            return await asyncio.wait_for(main(world), 110), world
        finally:
            await world.end()

    try:
        broken, world = asyncio.run(whole())
    except (CannotRun, OSError, asyncio.TimeoutError) as fault:
        print(f"could not run: {fault!r}")
        raise SystemExit(2) from fault
    for line in broken:
        print(f"broken: {line}")
        world.record.note(f"broken: {line}")
    if not broken:
        print("held")
        world.record.note("held")
    raise SystemExit(1 if broken else 0)
