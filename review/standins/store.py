"""The platform's store, as far as a gateway speaks to it: keyed topics with one
partition, read by offset, that lose nothing."""
import asyncio
import base64
import json
import struct
from urllib.parse import parse_qs, urlparse

from http_text import answer, read_message


class Store:
    def __init__(self):
        self.topics = {}
        self.changed = asyncio.Event()
        self.server = None
        self.port = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def put(self, topic, key, value):
        """Writes as the operator or an engine does; None deletes."""
        encoded = b"" if value is None else json.dumps(value).encode()
        self.append(topic, key, encoded)

    def append(self, topic, key, value):
        records = self.topics.setdefault(topic, [])
        records.append((key, value))
        self.changed.set()
        self.changed = asyncio.Event()
        return len(records)

    async def serve(self, reader, writer):
        try:
            while True:
                request = await read_message(reader)
                writer.write(await self.reply(request))
                await writer.drain()
        except (EOFError, OSError, asyncio.IncompleteReadError,
                asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def reply(self, request):
        url = urlparse(request.target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        topic = query["topic"]
        if url.path == "/log-append":
            end = len(self.topics.get(topic, []))
            first, body = end, request.body
            while body:
                size = struct.unpack(">I", body[:4])[0]
                record, body = body[4:4 + size], body[4 + size:]
                key = record[1:1 + record[0]].decode()
                end = self.append(topic, key, record[1 + record[0]:])
            return answer(200, {"Content-Type": "application/json"}, json.dumps(
                {"offset": first, "end": end}).encode())
        records = self.topics.setdefault(topic, [])
        if url.path == "/log-newest":
            newest = {}
            for offset, (key, value) in enumerate(records):
                newest[key] = (value, offset)
            entries = [{"key": key, "value": base64.b64encode(value).decode(),
                        "offset": offset}
                       for key, (value, offset) in newest.items() if value]
            return answer(200, {"Content-Type": "application/json"}, json.dumps(
                {"entries": entries, "morePages": False,
                 "end": len(records)}).encode())
        return await self.read(records, int(query["from"]),
                               int(query.get("waitMs", 0)) / 1000)

    async def read(self, records, start, wait):
        loop = asyncio.get_running_loop()
        until = loop.time() + wait
        while len(records) <= start and loop.time() < until:
            try:
                await asyncio.wait_for(self.changed.wait(), until - loop.time())
            except asyncio.TimeoutError:
                break
        if start > len(records):
            return answer(410, {"Content-Type": "application/json"},
                          json.dumps({"first": 0}).encode())
        body = struct.pack(">QQ", len(records), 0)
        for key, value in records[start:]:
            record = bytes([len(key)]) + key.encode() + value
            body += struct.pack(">I", len(record)) + record
        return answer(200, {"Content-Type": "application/octet-stream"}, body)
