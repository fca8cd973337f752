"""Planned stops of hosts: what a host does from SIGTERM on, and what it may
take."""
import asyncio
import time

# Seconds after SIGTERM: idle connections are closed and new ones refused; the
# platform kills what is still there.
DOOR_CLOSES = 3.0
GRACE = 8.0
# A request that crosses the close of its connection hears of it at once.
CROSSING = 0.3


class Stop:
    """One planned stop of one process."""

    def __init__(self, host):
        self.host = host
        self.told_at = time.monotonic()
        self.was_up = host.answered
        self.closed_at = None  # New connections were seen to be refused.
        self.ended_at = None
        self.code = None

    async def watch_door(self):
        """Finds out that the host has closed its door, however late it is."""
        await asyncio.sleep(DOOR_CLOSES)
        while self.ended_at is None:
            try:
                _, writer = await asyncio.open_connection("127.0.0.1",
                                                          self.host.front)
                writer.transport.abort()
            except ConnectionRefusedError:
                self.closed_at = time.monotonic()
                return
            except OSError:
                pass  # The door was closed over this connection.
            await asyncio.sleep(0.05)

    def end(self, code):
        self.ended_at = time.monotonic()
        self.code = code

    def brought(self, one):
        """Whether the request was sent to the stopping process."""
        return one.host is self.host and self.told_at <= one.sent and (
            self.ended_at is None or one.sent <= self.ended_at)

    def is_late(self, one):
        return one.sent > self.told_at + DOOR_CLOSES + 0.05

    def must_refuse(self, one):
        """Whatever the machine does: the platform's time for the stop is over
        before that of the request."""
        return (self.closed_at is not None and one.sent > self.closed_at and
                one.deadline > GRACE - DOOR_CLOSES)

    def crossed(self, one, ran, window):
        """Whether the process ended while the request was on its way."""
        return (self.ended_at is not None and one.status is None and
                ran == 0 and abs(one.ended - self.ended_at) < window)

    def faults(self, calm, times):
        """What the process itself did wrong."""
        if self.ended_at is None or not calm:
            return
        name = f"{self.host.name}, told to stop"
        if self.was_up and self.code != 0:
            yield f"{name}: ended with {self.code}"
        if times and self.ended_at - self.told_at > GRACE + 0.2:
            yield f"{name}: took {self.ended_at - self.told_at:.2f} s"
