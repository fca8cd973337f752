"""Callers that check what they are promised."""
import asyncio
import json
import time

from fakes import GUILTY_PART, Endpoint
from http_text import read_chunk, read_head

PROMISES = (408, 421, 429, 503)  # Not run, and never will be.


class Outcome:
    """How one request ended, as its caller saw it."""

    def __init__(self, request, kind, host, deadline):
        self.request = request
        self.kind = kind
        self.host = host
        self.deadline = deadline  # Seconds that its caller will wait.
        self.sent = time.monotonic()
        self.ended = None
        self.status = None
        self.refusal = None  # Why the gateway refused it.
        self.retry_after = None  # Seconds.
        self.keeps = False   # Its connection may have idled before.
        self.fault = None  # A broken promise that shows by itself.
        self.cut = False   # The connection ended without a whole answer.
        self.timed_out = False
        self.first_event = 1
        self.events = 0      # Of the stream, so far.
        self.version = None  # That wrote them.
        self.leaves_after = Endpoint.LONG_EVENTS + 1  # Events.
        self.has_left = False
        self.resumes = None  # Outcome of the first try of the stream.


async def read_whole(reader, head, outcome):
    body = await reader.readexactly(int(head.headers["content-length"]))
    if head.status != 200:
        if head.headers.get("content-type") == "application/problem+json":
            outcome.refusal = json.loads(body)["type"].split(":")[-1]
        return
    if "stamp" not in head.headers:
        outcome.fault = "a success without proof"
    if body != f"answer to {outcome.request}".encode():
        outcome.fault = f"a wrong body: {body!r}"


async def read_stream(reader, outcome):
    text = b""
    while True:
        data = await read_chunk(reader)
        if data is None:
            break
        text += data
        check_events(text, outcome)
        if outcome.events >= outcome.leaves_after:
            outcome.has_left = True
            return
    events = Endpoint.LONG_EVENTS if outcome.kind in ("long", "resumed") else \
        Endpoint.EVENTS
    if outcome.events != events:
        outcome.fault = f"complete after {outcome.events}"


def check_events(text, outcome):
    """All events are there in order, and of one software version."""
    events = text.split(b"\n\n")[:-1]
    for number, event in enumerate(events, outcome.first_event):
        wanted = f"id: {number}\ndata: {outcome.request} ".encode()
        if not event.startswith(wanted):
            outcome.fault = f"event {number} is {event!r}"
            return
        version = event[len(wanted):].decode()
        outcome.version = outcome.version or version
        if version != outcome.version:
            outcome.fault = (f"event {number} is of {version}, those before "
                             f"of {outcome.version}")
    outcome.events = outcome.first_event - 1 + len(events)


class Caller:
    """Sends one request after the other, on one connection while it lasts."""

    KINDS = ("once", "safe", "stream", "staged")
    PAUSE = 0.05
    PATIENCE = 4.0
    PART = "sound"  # Of its prompts.
    KEEPS = False  # Whether it stays with a host, and pauses.

    def __init__(self, name, random, hosts, outcomes):
        self.name = name
        self.random = random
        self.hosts = hosts
        self.outcomes = outcomes
        self.stopping = False

    async def run(self):
        number = 0
        connection = None
        host = None
        while not self.stopping:
            number += 1
            await asyncio.sleep(self.PAUSE * self.random.random())
            if connection is None or self.has_gone(connection):
                host = self.random.choice(self.hosts)
                connection = await self.connect(host)
                if connection is None:
                    continue
            kind = self.random.choice(self.KINDS)
            path, deadline = self.draw(kind)
            outcome = Outcome(f"{self.name}x{number}", kind, host, deadline)
            outcome.keeps = self.KEEPS
            self.outcomes.append(outcome)
            keeps = await self.ask(connection, path, outcome)
            outcome.ended = time.monotonic()
            host.answered = host.answered or outcome.status is not None
            if not keeps or (not self.KEEPS and self.random.random() < 0.1):
                connection[1].transport.abort()
                connection = None

    def has_gone(self, connection):
        """A close that was not announced is to be seen as a request's fate."""
        return False

    def draw(self, kind):
        return f"/{kind}/a", self.PATIENCE

    async def connect(self, host):
        try:
            return await asyncio.wait_for(
                asyncio.open_connection("127.0.0.1", host.front), 1)
        except (OSError, asyncio.TimeoutError):
            return None

    async def ask(self, connection, path, outcome):
        reader, writer = connection
        more = "Pieces: 1,2\r\nPiece-Key: k\r\n" \
            if outcome.kind == "staged" else ""
        more += f"Prefix-Hash: shared:9,{self.PART}:9,{outcome.request}:9\r\n"
        if outcome.resumes:
            more += (f"Resumes: {outcome.resumes.request}\r\n"
                     f"Last-Event-Id: {outcome.first_event - 1}\r\n")
        writer.write((f"POST {path} HTTP/1.1\r\nHost: x\r\n"
                      f"Request-Id: {outcome.request}\r\n"
                      f"Deadline-Ms: {int(outcome.deadline * 1000)}\r\n"
                      f"Authorization: Bearer key\r\n{more}"
                      "Content-Length: 0\r\n\r\n").encode())
        try:
            return await asyncio.wait_for(self.read(reader, outcome),
                                          outcome.deadline + 2)
        except asyncio.TimeoutError:
            outcome.cut = True
            outcome.timed_out = True
        except (EOFError, OSError, ValueError, asyncio.IncompleteReadError):
            outcome.cut = True
        return False

    async def read(self, reader, outcome):
        head = await read_head(reader)
        outcome.status = head.status
        if "retry-after" in head.headers:
            outcome.retry_after = float(head.headers["retry-after"])
        if head.headers.get("transfer-encoding") == "chunked":
            await read_stream(reader, outcome)
        else:
            await read_whole(reader, head, outcome)
        return head.headers.get("connection") != "close"


class Crasher(Caller):
    """Sends one request that crashes the endpoints that run it, again and
    again, at any host."""

    KINDS = ("crash",)
    PAUSE = 0.8

    def draw(self, kind):
        return "/once/crash", self.PATIENCE


class PartCrasher(Caller):
    """Sends requests that share only a part of their prompts, which crashes the
    endpoints that begin to answer them."""

    KINDS = ("part",)
    PAUSE = 0.8
    PART = GUILTY_PART
    waits = True  # Until the request of a Crasher is quarantined.

    async def run(self):
        while self.waits and not self.stopping and not any(
                one.kind == "crash" and one.refusal == "quarantined"
                for one in self.outcomes):
            await asyncio.sleep(0.1)
        await super().run()

    def draw(self, kind):
        return f"/stream/{self.random.getrandbits(64):x}", self.PATIENCE


class Resumer(Caller):
    """Leaves streams, or loses them with their hosts, and takes them up at
    other hosts."""

    TRIES = 3
    PATIENCE = 8.0

    async def run(self):
        number = 0
        while not self.stopping:
            number += 1
            await asyncio.sleep(0.3 * self.random.random())
            first = None
            for attempt in range(self.TRIES):
                outcome = await self.attempt(f"{number}t{attempt}", first)
                if outcome is None or not outcome.events:
                    break
                first = first or outcome
                first.last = outcome
                if outcome.events == Endpoint.LONG_EVENTS:
                    break

    async def attempt(self, name, first):
        host = self.random.choice(self.hosts)
        connection = await self.connect(host)
        if connection is None:
            return None
        kind = "resumed" if first else "long"
        outcome = Outcome(f"{self.name}x{name}", kind, host, self.PATIENCE)
        outcome.leaves_after = self.random.randint(2, 2 * Endpoint.LONG_EVENTS)
        if first:
            outcome.resumes = first
            outcome.version = first.version
            outcome.events = first.last.events
            outcome.first_event = first.last.events + 1
        self.outcomes.append(outcome)
        stream = first.request if first else outcome.request
        await self.ask(connection, f"/long/1500/{stream}", outcome)
        outcome.ended = time.monotonic()
        connection[1].transport.abort()
        return outcome


class Keeper(Caller):
    """Keeps its connection for as long as the host does, with long streams and
    pauses: its requests reach a host that has closed its door."""

    KINDS = ("once", "safe", "stream", "long", "long", "long")
    PAUSE = 0.6
    KEEPS = True

    def has_gone(self, connection):
        return connection[0].at_eof() or connection[1].is_closing()

    def draw(self, kind):
        if kind != "long":
            return f"/{kind}/a", 1 + 3 * self.random.random()
        length = 1 + 5 * self.random.random()
        return (f"/long/{int(length * 1000)}",
                length + 1 + 2 * self.random.random())
