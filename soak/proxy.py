"""A loopback proxy that misbehaves between a host and what it talks to."""
import asyncio
import socket


class Proxy:
    """Passes connections on; `mode` says how new and open ones fare."""

    MODES = ("pass", "refuse", "silent", "one_way", "slow")
    # How new connections fare that a cut keeps from being made.
    CUTS = ("refused", "hang", "reset", "reset_all")

    def __init__(self, target_port):
        self.target_port = target_port
        self.mode = "pass"
        self.port = None
        self.open = set()
        self.server = None
        self.full = []  # Sockets that leave no room for a new connection.

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def stop(self):
        self.server.close()
        self.leave_room()
        self.reset_all()

    def leave_room(self):
        for one in self.full:
            one.close()
        self.full = []

    async def cut(self, how):
        """Lets no new connection through; open ones live on, but for
        `reset_all`."""
        if how.startswith("reset"):
            self.mode = "refuse"
            if how == "reset_all":
                self.reset_all()
            return
        self.server.close()
        if how == "hang":
            self.full = [socket.socket() for _ in range(4)]
            for one in self.full:
                one.setblocking(False)
            self.full[0].setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            self.full[0].bind(("127.0.0.1", self.port))
            self.full[0].listen(0)
            for one in self.full[1:]:
                one.connect_ex(("127.0.0.1", self.port))

    async def heal(self):
        self.mode = "pass"
        self.leave_room()
        if not self.server.is_serving():
            self.server = await asyncio.start_server(
                self.serve, "127.0.0.1", self.port)

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
