"""Clients that keep their channels and note what they were answered."""
import asyncio
import time

from http_text import read_chunk, read_head


class Ask:
    """One client attempt, as its client saw it."""

    def __init__(self, identity, path, host, earlier):
        self.identity = identity
        self.path = path
        self.host = host
        self.earlier = earlier  # Requests answered on the channel before.
        self.sent = time.monotonic()
        self.ended = None
        self.status = None
        self.stamp = None
        self.body = b""
        self.whole = False
        self.closed = False  # The channel ended before the answer was whole.

    def line(self, began):
        ended = "-" if self.ended is None else f"{self.ended - began:.3f}"
        return (f"client {self.identity} {self.path} at {self.host.name} "
                f"earlier={self.earlier} sent={self.sent - began:.3f} "
                f"ended={ended} status={self.status} whole={self.whole} "
                f"closed={self.closed}")


class Client:
    """One request after the other on a kept channel; a new one after a close."""

    def __init__(self, name, host, draw, world, deadline_s, pause_s):
        self.name = name
        self.host = host
        self.draw = draw
        self.world = world
        self.deadline_s = deadline_s
        self.pause_s = pause_s
        self.stopping = False

    async def run(self):
        number = 0
        channel = None
        earlier = 0
        while not self.stopping:
            await asyncio.sleep(self.pause_s())
            if channel is None:
                earlier = 0
                try:
                    channel = await asyncio.wait_for(asyncio.open_connection(
                        "127.0.0.1", self.host.front), 1)
                except (OSError, asyncio.TimeoutError):
                    await asyncio.sleep(0.1)
                    continue
            number += 1
            path, fields, body = self.draw()
            ask = Ask(f"{self.name}{number:06x}", path, self.host, earlier)
            self.world.asks.append(ask)
            keeps = await self.ask(channel, ask, fields, body)
            ask.ended = time.monotonic()
            earlier += 1
            if not keeps:
                channel[1].close()
                channel = None
        if channel:
            channel[1].close()

    async def ask(self, channel, ask, fields, body):
        reader, writer = channel
        lines = [f"POST {ask.path} HTTP/1.1", "Host: x.example",
                 f"Request-Id: {ask.identity}",
                 f"Deadline-Ms: {int(self.deadline_s * 1000)}",
                 "Authorization: Bearer key-of-t"] + fields
        lines.append(f"Content-Length: {len(body)}")
        try:
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            return await asyncio.wait_for(self.read(reader, ask),
                                          self.deadline_s + 1)
        except (EOFError, OSError, asyncio.IncompleteReadError):
            ask.closed = True
        except asyncio.TimeoutError:
            pass
        return False

    async def read(self, reader, ask):
        message = await read_head(reader)
        ask.status = message.status
        ask.stamp = message.headers.get("stamp")
        if message.headers.get("transfer-encoding") == "chunked":
            while (data := await read_chunk(reader)) is not None:
                ask.body += data
        else:
            size = int(message.headers.get("content-length", "0"))
            ask.body = await reader.readexactly(size)
        ask.whole = True
        return message.headers.get("connection", "").lower() != "close"
