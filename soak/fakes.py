"""The platform's store and its endpoints, as far as a gateway sees them."""
import asyncio
import base64
import json
import struct
import time
from urllib.parse import parse_qs, urlparse

from http_text import answer, chunk, read_message


# A part of a prompt that crashes each engine that begins to answer it.
GUILTY_PART = "bad"


class Store:
    """Compacted topics, read by offset; `mode` says how calls fare.

    Each record is kept with its key and the time at which it was written.
    """

    MODES = ("good", "busy", "reset", "silent", "lost")

    def __init__(self):
        self.topics = {}
        self.mode = "good"
        self.era = 1
        self.ports = []  # One for each host.
        self.servers = []
        # By host, the addresses at which it finds endpoints, by those that
        # they wrote themselves.
        self.views = []
        self.changed = asyncio.Event()

    async def start(self, hosts):
        for index in range(hosts):
            self.views.append({})
            server = await asyncio.start_server(
                lambda r, w, i=index: self.serve(r, w, i), "127.0.0.1", 0)
            self.servers.append(server)
            self.ports.append(server.sockets[0].getsockname()[1])

    def seen_by(self, host, topic, value):
        """A record's value as one host reads it."""
        if topic != "keyed.servers" or not value:
            return value
        entry = json.loads(value)
        entry["addr"] = self.views[host].get(entry["addr"], entry["addr"])
        return json.dumps(entry).encode()

    def put(self, topic, key, value):
        self.topics.setdefault(topic, []).append(
            (key, json.dumps(value).encode() if value is not None else b"",
             time.monotonic()))
        self.wake()

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def restore(self, age):
        """Comes back from a copy: what was written since `age` ago is gone."""
        until = time.monotonic() - age
        for records in self.topics.values():
            records[:] = [r for r in records if r[2] <= until]
        self.era += 1
        self.wake()

    def answer(self, status, body=b""):
        return answer(status, {"Store-Era": str(self.era)}, body)

    async def serve(self, reader, writer, host):
        try:
            while True:
                request = await read_message(reader)
                reply = await self.reply(request, host)
                if reply is None:
                    return
                writer.write(reply)
                await writer.drain()
        except (EOFError, OSError, asyncio.IncompleteReadError,
                asyncio.CancelledError):
            pass
        finally:
            writer.transport.abort()

    async def reply(self, request, host):
        if self.mode == "busy":
            return self.answer(503)
        if self.mode == "reset":
            return None
        while self.mode == "silent":
            await asyncio.sleep(0.05)
        url = urlparse(request.first.split(" ")[1])
        query = {k: v[0] for k, v in parse_qs(url.query).items()}
        name = query["topic"]
        topic = self.topics.setdefault(name, [])
        if url.path == "/log-append":
            size = request.body[4]
            key = request.body[5:5 + size].decode()
            topic.append((key, request.body[5 + size:], time.monotonic()))
            if self.mode == "lost":
                return None
            return self.answer(200, json.dumps(
                {"offset": len(topic) - 1, "end": len(topic)}).encode())
        if url.path == "/log-newest":
            newest = {key: self.seen_by(host, name, value)
                      for key, value, _ in topic}
            entries = [{"key": k, "value": base64.b64encode(v).decode(),
                        "offset": 0} for k, v in newest.items() if v]
            return self.answer(200, json.dumps(
                {"entries": entries, "end": len(topic)}).encode())
        return await self.read(name, int(query["from"]),
                               int(query.get("waitMs", 0)), host)

    async def read(self, name, start, wait_ms, host):
        topic = self.topics[name]
        end = time.monotonic() + wait_ms / 1000
        while len(topic) == start and time.monotonic() < end:
            try:
                await asyncio.wait_for(self.changed.wait(),
                                       end - time.monotonic())
            except asyncio.TimeoutError:
                pass
        if start > len(topic):
            return self.answer(410, json.dumps({"first": 0}).encode())
        body = struct.pack(">QQ", len(topic), 0)
        for key, value, _ in topic[start:]:
            record = bytes([len(key)]) + key.encode() + \
                self.seen_by(host, name, value)
            body += struct.pack(">I", len(record)) + record
        return self.answer(200, body)


class Endpoint:
    """An engine or a stage endpoint, one incarnation.

    `runs` collects the request id of every run of all endpoints and where it
    was, `breaks` those that an endpoint broke off by itself, `faults` what no
    endpoint should ever see.
    """

    EVENTS = 6
    LONG_EVENTS = 20

    def __init__(self, identity, service, version, random, runs, breaks,
                 faults):
        self.identity = identity
        self.version = version
        self.service = service
        self.random = random
        self.runs = runs
        self.breaks = breaks
        self.faults = faults
        self.trouble = 0.0  # Share of calls that go wrong in some way.
        self.left_at = None  # When leaving was acknowledged by the store.
        self.domain = "d"
        self.state = "ready"
        self.arrivals = []  # Times at which work came.
        self.late_arrivals = []
        self.disturbed = []  # Times of unplanned faults on it.
        self.quota = None  # Calls a second that it says it takes.
        self.quota_since = None
        self.quotas = []  # Each that has ended: number, begin, end.
        self.told = []  # Host, time: answers that named the quota.
        self.asked = []  # Request, time: all but stage calls.
        self.leaves = False  # It says so in its answers.
        self.said_leaving = []  # Requests whose answers said so.
        self.retry_after = None  # Seconds that it names to all it turns away.
        self.turned_away = []  # Request, time, seconds.
        self.crashed = False
        self.on_crash = None  # A request crashes it.
        self.port = None
        self.address = None  # As published.
        self.born = int(time.time() * 1000)
        self.server = None
        self.open = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def crash(self):
        self.crashed = True
        self.server.close()
        for writer in list(self.open):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.open.add(writer)
        try:
            while True:
                request = await read_message(reader)
                # One that was still in the socket died with the process.
                if self.crashed or not await self.handle(request, writer):
                    return
        except (EOFError, OSError, asyncio.IncompleteReadError,
                asyncio.CancelledError):
            pass
        finally:
            self.open.discard(writer)
            writer.transport.abort()

    def name_quota(self, per_second):
        if self.quota is not None:
            self.quotas.append((self.quota, self.quota_since,
                                time.monotonic()))
        self.quota = per_second
        self.quota_since = time.monotonic()

    def quota_headers(self, request):
        """The host is known by a request's id where its caller asked one."""
        if self.quota is None:
            return {}
        self.told.append((request, time.monotonic()))
        return {"Server-Limit": f"{self.quota:.2f}"}

    def statements(self):
        return {"Server-Leaving": "1"} if self.leaves else {}

    def turn_away(self, request, writer):
        self.turned_away.append((request, time.monotonic(), self.retry_after))
        writer.write(answer(503, {
            "Not-Run": "1", "Request-Id": request, **self.statements(),
            "Retry-After": f"{self.retry_after:.2f}"}))

    async def handle(self, request, writer):
        headers = request.headers
        path = request.first.split(" ")[1]
        if headers.get("expect-instance") != self.identity:
            writer.write(answer(421, {"Instance": self.identity}))
            return True
        if path == "/stage-free":
            writer.write(answer(200, self.statements()))
            return True
        self.arrivals.append(time.monotonic())
        if path != "/stage-run":
            self.asked.append((headers.get("request-id"), time.monotonic()))
        if self.left_at is not None:
            self.late_arrivals.append(time.monotonic() - self.left_at)
        if self.retry_after is not None:
            self.turn_away(headers.get("request-id", ""), writer)
            return True
        fails = self.random.random() < self.trouble
        if fails and self.random.random() < 0.3:
            writer.write(answer(503, {"Not-Run": "1", "Request-Id":
                                      headers.get("request-id", ""),
                                      **self.statements()}))
            return True
        if path == "/stage-run":
            return await self.make_pieces(request, writer, fails)
        return await self.run(path, headers, writer, fails)

    async def make_pieces(self, request, writer, fails):
        entries = json.loads(request.body)["entries"]
        results = []
        for entry in entries:
            for handle in entry.get("inputs", []):
                if handle.split("/")[1].split(".")[0] != entry["id"]:
                    self.faults.append(f"inputs of another request: {entry}")
            if entry["phase"] > 0 and len(entry.get("inputs", [])) != 1:
                self.faults.append(f"only some inputs: {entry}")
            results.append({"handle": f"{self.address}/{entry['id']}."
                                      f"{entry['phase']}.{entry['piece']}"})
        await asyncio.sleep(0.02 + 0.002 * len(entries))
        if fails:
            return False
        body = json.dumps({"entries": results}).encode()
        writer.write(answer(200, {"Load": "0,0,1", **self.statements()}, body))
        return True

    async def run(self, path, headers, writer, fails):
        request = headers["request-id"]
        self.runs.append((request, path, self))
        if path == "/once/crash" or \
                GUILTY_PART in headers.get("prefix-hash", ""):
            self.on_crash()
            return False
        if headers.get("tenant") != "w":
            self.faults.append(f"wrong workspace for {request}")
        if path.startswith("/staged/"):
            inputs = headers.get("inputs", "").split(",")
            if len(inputs) != 2 or any(
                    i.split("/")[1].split(".")[:2] != [request, "1"]
                    for i in inputs if "/" in i):
                self.faults.append(f"inputs of {request}: {inputs}")
        head = {"Request-Id": request, "Stamp": self.identity,
                **self.quota_headers(request), **self.statements()}
        if self.leaves:
            self.said_leaving.append(request)
        if path.startswith("/long/"):
            pause = int(path.split("/")[2]) / 1000 / self.LONG_EVENTS
            kept = await self.stream(headers, head, writer, fails,
                                     self.LONG_EVENTS, pause)
        elif path.startswith(("/stream/", "/staged/")):
            kept = await self.stream(headers, head, writer, fails, self.EVENTS,
                                     0.03)
        else:
            kept = await self.whole(head, writer, fails)
        if not kept:
            self.breaks.append(request)
        return kept

    async def whole(self, head, writer, fails):
        await asyncio.sleep(0.02 * self.random.random())
        if fails:
            if self.random.random() < 0.5:
                writer.write(answer(500, head, b"own failure"))
                return True
            return False
        body = f"answer to {head['Request-Id']}".encode()
        writer.write(answer(200, head, body))
        if self.random.random() < self.trouble:
            writer.write(answer(200, head, b"a second answer"))
        return True

    async def stream(self, headers, head, writer, fails, events, pause):
        first = int(headers.get("last-event-id", 0)) + 1
        lines = ["HTTP/1.1 200 OK"] + [f"{k}: {v}" for k, v in head.items()]
        lines.append("Transfer-Encoding: chunked")
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        breaks_at = self.random.randint(first, events) if fails else 0
        for number in range(first, events + 1):
            await asyncio.sleep(pause)
            event = (f"id: {number}\ndata: {head['Request-Id']} "
                     f"{self.version}\n\n").encode()
            if number == breaks_at:
                writer.write(chunk(event[:len(event) // 2]))
                return False
            writer.write(chunk(event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        return True
