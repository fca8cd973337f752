"""Just enough HTTP/1.1 for stand-ins: heads, bodies with a length, chunks."""


class Message:
    """First line, headers by lower-case name, and body."""

    def __init__(self, first, headers):
        self.first = first
        self.headers = headers
        self.body = b""

    @property
    def status(self):
        return int(self.first.split(" ")[1])

    @property
    def target(self):
        return self.first.split(" ")[1]


async def read_head(reader):
    first = (await reader.readuntil(b"\r\n")).decode("latin-1").strip()
    headers = {}
    while True:
        line = (await reader.readuntil(b"\r\n")).decode("latin-1").strip()
        if not line:
            return Message(first, headers)
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()


async def read_message(reader):
    message = await read_head(reader)
    size = int(message.headers.get("content-length", "0"))
    if size:
        message.body = await reader.readexactly(size)
    return message


async def read_chunk(reader):
    """The next chunk; None at the end of the body."""
    size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
    data = await reader.readexactly(size + 2)
    return data[:-2] if size else None


def head(status, headers):
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def answer(status, headers, body=b""):
    return head(status, {**headers, "Content-Length": len(body)}) + body


def chunk(data):
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"
