"""A loopback proxy that misbehaves between a host and what it talks to."""
import asyncio


class Proxy:
    """Passes connections on; `mode` says how new and open ones fare."""

    MODES = ("pass", "refuse", "silent", "one_way", "slow")

    def __init__(self, target_port):
        self.target_port = target_port
        self.mode = "pass"
        self.port = None
        self.open = set()
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def stop(self):
        self.server.close()
        self.reset_all()

    def reset_all(self):
        for writer in list(self.open):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.open.add(writer)
        upstream = None
        try:
            if self.mode == "refuse":
                return
            upstream_reader, upstream = await asyncio.open_connection(
                "127.0.0.1", self.target_port)
            self.open.add(upstream)
            await asyncio.gather(self.pump(reader, upstream, True),
                                 self.pump(upstream_reader, writer, False))
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            for one in (writer, upstream):
                if one is not None:
                    self.open.discard(one)
                    one.transport.abort()

    async def pump(self, reader, writer, outward):
        while True:
            data = await reader.read(65536)
            while self.mode == "silent" or (self.mode == "one_way" and
                                            not outward):
                await asyncio.sleep(0.02)
            if self.mode == "slow":
                await asyncio.sleep(0.15)
            if not data:
                if writer.can_write_eof():
                    writer.write_eof()
                return
            writer.write(data)
            await writer.drain()
