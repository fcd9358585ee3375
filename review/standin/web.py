"""A minimal HTTP/1.1 server and client on asyncio, for the stand-ins of the cases."""

import asyncio
import json
from urllib.parse import parse_qsl, urlsplit

CLIENT_TIMEOUT = 5.0


class Request:
    """One request that a server has read."""

    def __init__(self, method, target, headers, body):
        parts = urlsplit(target)
        self.method = method
        self.path = parts.path
        self.query = dict(parse_qsl(parts.query, keep_blank_values=True))
        self.headers = headers
        self.body = body

    def json(self):
        return json.loads(self.body or b"{}")


class NoAnswer(Exception):
    """Raised by a handler to close the connection without an answer."""


async def read_head(reader):
    """Return the first line and the headers of a message, or None at its end."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


class Server:
    """Serves ``handle(request) -> (status, document)`` at a loopback address."""

    def __init__(self, handle):
        self.handle = handle
        self.server = None
        self.connections = set()

    async def start(self, host, port=0):
        self.server = await asyncio.start_server(
            self._serve, host, port, limit=4 * 1024 * 1024, backlog=512
        )
        return self.server.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                line, headers = await read_head(reader)
                method, target, _ = line.split(" ", 2)
                size = int(headers.get("content-length", "0"))
                if headers.get("expect", "").lower() == "100-continue":
                    writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")
                body = await reader.readexactly(size) if size else b""
                status, document = await self.handle(
                    Request(method, target, headers, body)
                )
                data = json.dumps(document, separators=(",", ":")).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode()
                    + data
                )
                await writer.drain()
        except (NoAnswer, asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    def stop(self):
        if self.server is not None:
            self.server.close()
        for writer in list(self.connections):
            writer.close()


async def _call(host, port, method, path, headers, body):
    reader, writer = await asyncio.open_connection(host, port)
    try:
        lines = [f"{method} {path} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        lines += [f"Content-Length: {len(body)}", "Connection: close", "", ""]
        writer.write("\r\n".join(lines).encode() + body)
        await writer.drain()
        line, answered = await read_head(reader)
        status = int(line.split(" ")[1])
        size = int(answered.get("content-length", "0"))
        data = await reader.readexactly(size) if size else b""
        try:
            return status, json.loads(data or b"{}")
        except ValueError:
            return status, {}
    finally:
        writer.close()


async def call(address, method, path, host, document=None, timeout=CLIENT_TIMEOUT):
    """Send one request on a new connection; return status and body, 0 for no answer."""
    name, _, port = address.rpartition(":")
    body = b"" if document is None else json.dumps(document).encode()
    headers = {
        "Host": host,
        "Content-Type": "application/json",
        "X-Deadline-Ms": str(int(timeout * 1000)),
    }
    try:
        async with asyncio.timeout(timeout):
            return await _call(name, int(port), method, path, headers, body)
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        return 0, {}
