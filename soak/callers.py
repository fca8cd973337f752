"""Callers that check what they are promised."""
import asyncio
import time

from fakes import Endpoint
from http_text import read_chunk, read_head

PROMISES = (408, 421, 429, 503)  # Not run, and never will be.


class Outcome:
    """How one request ended, as its caller saw it."""

    def __init__(self, request, kind, host, sent):
        self.request = request
        self.kind = kind
        self.host = host
        self.sent = sent
        self.ended = None
        self.status = None
        self.fault = None  # A broken promise that shows by itself.
        self.cut = False   # The connection ended without a whole answer.
        self.timed_out = False


async def read_whole(reader, head, outcome):
    body = await reader.readexactly(int(head.headers["content-length"]))
    if head.status != 200:
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
    if text.count(b"\n\n") != Endpoint.EVENTS:
        outcome.fault = f"complete after {text.count(chr(10).encode() * 2)}"


def check_events(text, outcome):
    events = text.split(b"\n\n")[:-1]
    for number, event in enumerate(events, 1):
        wanted = f"id: {number}\ndata: {outcome.request}".encode()
        if event != wanted:
            outcome.fault = f"event {number} is {event!r}"


class Caller:
    """Sends one request after the other, on one connection while it lasts."""

    KINDS = ("once", "safe", "stream", "staged")

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
            await asyncio.sleep(0.05 * self.random.random())
            if connection is None:
                host = self.random.choice(self.hosts)
                connection = await self.connect(host)
                if connection is None:
                    continue
            kind = self.random.choice(self.KINDS)
            outcome = Outcome(f"{self.name}x{number}", kind, host,
                              time.monotonic())
            self.outcomes.append(outcome)
            keeps = await self.ask(connection, outcome)
            outcome.ended = time.monotonic()
            if not keeps or self.random.random() < 0.1:
                connection[1].transport.abort()
                connection = None

    async def connect(self, host):
        try:
            return await asyncio.wait_for(
                asyncio.open_connection("127.0.0.1", host.front), 1)
        except (OSError, asyncio.TimeoutError):
            return None

    async def ask(self, connection, outcome):
        reader, writer = connection
        pieces = "Pieces: 1,2\r\nPiece-Key: k\r\n" \
            if outcome.kind == "staged" else ""
        writer.write((f"POST /{outcome.kind}/a HTTP/1.1\r\nHost: x\r\n"
                      f"Request-Id: {outcome.request}\r\nDeadline-Ms: 4000\r\n"
                      f"Authorization: Bearer key\r\n{pieces}"
                      "Content-Length: 0\r\n\r\n").encode())
        try:
            return await asyncio.wait_for(self.read(reader, outcome), 6)
        except asyncio.TimeoutError:
            outcome.cut = True
            outcome.timed_out = True
        except (EOFError, OSError, ValueError, asyncio.IncompleteReadError):
            outcome.cut = True
        return False

    async def read(self, reader, outcome):
        head = await read_head(reader)
        outcome.status = head.status
        if head.headers.get("transfer-encoding") == "chunked":
            await read_stream(reader, outcome)
        else:
            await read_whole(reader, head, outcome)
        return head.headers.get("connection") != "close"
