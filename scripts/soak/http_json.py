"""HTTP/1.1 with JSON bodies on asyncio: just what the soak's stand-ins and clients need."""
import asyncio
import json
import urllib.parse

REASONS = {200: "OK", 400: "Bad Request", 404: "Not Found", 409: "Conflict", 410: "Gone", 412: "Precondition Failed",
           421: "Misdirected Request", 429: "Too Many Requests", 503: "Service Unavailable"}


async def read_message(reader):
    """First line, headers and body of one message; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode().split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return lines[0], headers, body


async def serve(handler, port=0):
    """handler(method, path, query, headers, body) -> (status, object), or None to break the connection."""

    async def session(reader, writer):
        try:
            while (message := await read_message(reader)) is not None:
                method, target, _ = message[0].split(" ", 2)
                url = urllib.parse.urlsplit(target)
                query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
                answer = await handler(method, url.path, query, message[1], json.loads(message[2] or b"null"))
                if answer is None:
                    break
                body = json.dumps(answer[1]).encode()
                writer.write(f"HTTP/1.1 {answer[0]} {REASONS.get(answer[0], 'X')}\r\nContent-Length: {len(body)}\r\n\r\n"
                             .encode() + body)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # The peer left, or the soak is over.
        finally:
            writer.close()

    return await asyncio.start_server(session, "127.0.0.1", port, limit=2 ** 22)


def port_of(server):
    return server.sockets[0].getsockname()[1]


class Client:
    """One connection that is kept until it breaks."""

    def __init__(self, address):
        self.address, self.streams = address, None  # Host and port.

    async def call(self, method, target, body=None, headers=None, timeout=4.0):
        """(status, headers, object); status 0 where there was no whole answer."""
        try:
            return await asyncio.wait_for(self._call(method, target, body, headers or {}), timeout)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
            self.close()
            return 0, {}, None

    async def _call(self, method, target, body, headers):
        if self.streams is None:
            self.streams = await asyncio.open_connection(*self.address, limit=2 ** 22)
        reader, writer = self.streams
        data = b"" if body is None else json.dumps(body).encode()
        lines = [f"{method} {target} HTTP/1.1", f"Content-Length: {len(data)}"] + [f"{k}: {v}" for k, v in headers.items()]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + data)
        message = await read_message(reader)
        if message is None:
            raise ConnectionError("closed")
        if message[1].get("connection") == "close":
            self.close()
        return int(message[0].split(" ")[1]), message[1], json.loads(message[2] or b"null")

    def close(self):
        if self.streams is not None:
            self.streams[1].close()
        self.streams = None
