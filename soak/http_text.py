"""Just enough HTTP/1.1 for the soak's fakes and callers."""
import asyncio


class Message:
    """A request or an answer: first line, headers in lower case, body."""

    def __init__(self, first, headers, body=b""):
        self.first = first
        self.headers = headers
        self.body = body

    @property
    def status(self):
        return int(self.first.split(" ")[1])


async def read_head(reader):
    """Returns a message without its body; raises EOFError at a clean end."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as cut:
        raise EOFError("cut" if cut.partial else "closed") from cut
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.lower()] = value.strip()
    return Message(lines[0], headers)


async def read_chunk(reader):
    """Returns a chunk's bytes; none at the end of the body."""
    size = int((await reader.readuntil(b"\r\n")).strip(), 16)
    data = await reader.readexactly(size)
    await reader.readexactly(2)
    return data or None


async def read_message(reader):
    message = await read_head(reader)
    if "content-length" in message.headers:
        size = int(message.headers["content-length"])
        message.body = await reader.readexactly(size)
    return message


def answer(status, headers, body=b""):
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def chunk(data):
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"
