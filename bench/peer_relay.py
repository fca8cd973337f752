"""Stands between hosts, so that a bench can cut some of them from others.

Each host has a relay in front of its peer port. Who connects is read from the
name in the first bytes, by which hosts greet each other.
"""

import re
import socket
import threading

CHUNK = 65536
HOST_NAME = re.compile(rb"entry-\d+")


class Relay:
    """Passes the connections to one host on, unless their sender is cut."""

    def __init__(self, address):
        self.listener = socket.create_server((address, 0), backlog=64)
        self.address = f"{address}:{self.listener.getsockname()[1]}"
        self.target = None
        self.cut = frozenset()
        self.lock = threading.Lock()
        self.open = []  # (sender, sockets)
        threading.Thread(target=self.accept, daemon=True).start()

    def set_cut(self, senders):
        """Connections of these senders end now, and new ones are dropped."""
        with self.lock:
            self.cut = frozenset(senders)
            cut_now = [pair for name, pair in self.open if name in self.cut]
        for pair in cut_now:
            end(pair)

    def accept(self):
        while True:
            try:
                incoming, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self.serve, args=(incoming,), daemon=True).start()

    def serve(self, incoming):
        try:
            greeting = incoming.recv(CHUNK)
            name = HOST_NAME.search(greeting)
            sender = name.group().decode() if name else ""
            outgoing = socket.create_connection(self.target)
        except OSError:
            incoming.close()
            return
        pair = (incoming, outgoing)
        with self.lock:
            is_cut = sender in self.cut
            if not is_cut:
                self.open.append((sender, pair))
        if is_cut:
            end(pair)
            return
        back = threading.Thread(target=copy, args=(outgoing, incoming), daemon=True)
        back.start()
        try:
            outgoing.sendall(greeting)
        except OSError:
            pass
        copy(incoming, outgoing)
        back.join()
        with self.lock:
            self.open.remove((sender, pair))

    def close(self):
        self.listener.close()


def copy(source, target):
    try:
        while data := source.recv(CHUNK):
            target.sendall(data)
    except OSError:
        pass
    end((source, target))


def end(pair):
    for each in pair:
        try:
            each.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
