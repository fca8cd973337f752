"""Gateway processes, started as the deploy file says, with settings that the
deploy file's template names and the figures of a small deployment."""
import asyncio
import os
import random
import signal
import socket
import tomllib
from pathlib import Path

REPOSITORY = Path(__file__).resolve().parents[2]


def free_ports(count, taken=set()):  # noqa: B006 - shared on purpose
    """Ports below those that the system gives to connections."""
    ports = []
    while len(ports) < count:
        port = random.randrange(12000, 32000)
        with socket.socket() as one:
            try:
                one.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in taken:
            taken.add(port)
            ports.append(port)
    return ports


def command():
    deploy = tomllib.loads((REPOSITORY / "deploy/system.toml").read_text())
    return deploy["roles"]["gateway"]["run"].split()


class Host:
    """One process; started again a moment after it ended, as the platform
    does."""

    RESTART_S = 0.5

    def __init__(self, name, zone, folder, store):
        self.name = name
        self.zone = zone
        self.folder = Path(folder)
        self.store = store
        self.front, self.status, self.peer, self.relay = free_ports(4)
        self.settings = self.folder / f"{name}.yaml"
        self.process = None
        self.own_ends = []  # Return codes of ends that nobody asked for.
        self.ending = False

    def write_settings(self, seeds):
        self.settings.write_text(
            f'host_name: "{self.name}"\nfailure_domain: "{self.zone}"\n'
            f'front_listen: "127.0.0.1:{self.front}"\n'
            f'status_listen: "127.0.0.1:{self.status}"\n'
            f'peer_listen: "127.0.0.1:{self.peer}"\n'
            f'relay_listen: "127.0.0.1:{self.relay}"\n'
            f'store_address: "127.0.0.1:{self.store.port}"\n'
            f'seeds: "{",".join(seeds)}"\n'
            'domain_regions: "z-a=r,z-b=r"\n'
            "max_memory_mb: 260\nmax_files: 4100\nprocessor_share: 0.25\n"
            "link_mbps: 1000.0\nleave_limit_ms: 2000\nsettle_limit_ms: 3000\n"
            "stop_grace_seconds: 8\nrepeat_ratio: 0.2\n"
            "repeat_window_seconds: 10\nrepeat_reserve: 54\n")

    async def start(self):
        with open(self.folder / f"{self.name}.log", "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *command(), cwd=REPOSITORY, stdout=log, stderr=log,
                env={"PATH": os.environ["PATH"],
                     "HOME": os.environ.get("HOME", "/"),
                     "SLATESTALL_SETTINGS": str(self.settings)})

    async def keep_running(self, on_end=None):
        while True:
            code = await self.process.wait()
            if self.ending:
                return
            self.own_ends.append(code)
            if on_end:
                on_end(self, code)
            await asyncio.sleep(self.RESTART_S)
            if self.ending:
                return
            await self.start()

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", self.status)
            writer.write(b"GET /readyz HTTP/1.1\r\nHost: x\r\n"
                         b"Connection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
            return b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            return False

    async def end(self):
        self.ending = True
        if self.process and self.process.returncode is None:
            self.process.send_signal(signal.SIGKILL)
            await self.process.wait()


async def start_all(hosts):
    """Starts them together and waits until all are ready."""
    seeds = [f"127.0.0.1:{host.peer}" for host in hosts[:3]]
    for host in hosts:
        host.write_settings(seeds)
        await host.start()
    for _ in range(200):
        ready = [await host.is_ready() for host in hosts]
        if all(ready):
            return
        await asyncio.sleep(0.1)
    raise RuntimeError("the hosts did not get ready")
