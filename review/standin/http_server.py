"""A small HTTP/1.1 server and client on asyncio, for stand-ins on loopback."""

import asyncio
import json
import socket
from urllib.parse import parse_qs, urlsplit

NO_ANSWER = object()  # a handler returns this to close the connection without an answer
REASONS = {200: "OK", 404: "Not Found", 409: "Conflict", 410: "Gone", 412: "Precondition Failed"}


class Request:
    def __init__(self, method, target, fields, body):
        parts = urlsplit(target)
        self.method = method
        self.path = parts.path
        self.query = {k: v[0] for k, v in parse_qs(parts.query).items()}
        self.fields = fields
        self.body = body

    def json(self):
        return json.loads(self.body) if self.body else {}


async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


class HttpServer:
    """Serves one address. The handler is a coroutine: Request -> (status, object) or NO_ANSWER."""

    def __init__(self, handler, port=0):
        self.handler = handler
        self.port = port
        self.server = None
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    @property
    def address(self):
        return f"127.0.0.1:{self.port}"

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                line, fields = await read_head(reader)
                method, target, _ = line.split(" ", 2)
                body = await reader.readexactly(int(fields.get("content-length", 0)))
                answer = await self.handler(Request(method, target, fields, body))
                if answer is NO_ANSWER:
                    break
                status, value = answer
                data = json.dumps(value, separators=(",", ":")).encode()
                writer.write(
                    f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}\r\n"
                    f"Content-Type: application/json\r\nContent-Length: {len(data)}\r\n\r\n".encode()
                    + data
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def stop(self):
        """Closes the listening socket and resets all connections, as when a process is killed."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()


async def call(address, method, path, body=None, fields=None, timeout=5.0):
    """Sends one request on a new connection. Returns (status, object), or (None, reason)."""
    host, port = address.rsplit(":", 1)
    writer = None

    async def exchange():
        nonlocal writer
        reader, writer = await asyncio.open_connection(host, int(port))
        data = b"" if body is None else json.dumps(body).encode()
        head = {"Content-Length": len(data), "Content-Type": "application/json", "Connection": "close"}
        head.update(fields or {"Host": address})
        text = "".join(f"{k}: {v}\r\n" for k, v in head.items())
        writer.write(f"{method} {path} HTTP/1.1\r\n{text}\r\n".encode() + data)
        line, answered = await read_head(reader)
        text = await reader.readexactly(int(answered.get("content-length", 0)))
        return int(line.split(" ")[1]), json.loads(text) if text else {}

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (asyncio.TimeoutError, asyncio.IncompleteReadError, ConnectionError, OSError) as e:
        return None, type(e).__name__
    finally:
        if writer is not None:
            writer.close()


def free_ports(count):
    """Returns ports without a listener. They are held open together, so that they differ."""
    sockets = [socket.socket() for _ in range(count)]
    try:
        for it in sockets:
            it.bind(("127.0.0.1", 0))
        return [it.getsockname()[1] for it in sockets]
    finally:
        for it in sockets:
            it.close()
