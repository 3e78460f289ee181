"""HTTP/1.1 with JSON bodies on asyncio, for the stand-ins and clients of the cases in review/6 to review/10."""
import asyncio
import json
import urllib.parse

REASONS = {200: "OK", 404: "Not Found", 409: "Conflict", 410: "Gone", 412: "Precondition Failed",
           421: "Misdirected Request", 429: "Too Many Requests", 503: "Service Unavailable"}


async def read_message(reader):
    """First line, headers and body of one message; None at the end of the channel."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        lines = head.decode().split("\r\n")
        headers = {}
        for line in lines[1:]:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return lines[0], headers, body


class Server:
    """handler(method, path, query, headers, body) -> (status, object), or None: this channel delivers nothing further."""

    def __init__(self, handler):
        self.handler, self.open, self.silent = handler, set(), set()

    async def start(self, port=0):
        self.server = await asyncio.start_server(self.session, "127.0.0.1", port, limit=2 ** 22)
        self.port = self.server.sockets[0].getsockname()[1]
        return self.port

    def stop(self):
        """As when its process ends: open channels are reset, new ones refused."""
        self.server.close()
        for writer in list(self.open):
            writer.transport.abort()

    def silence(self):
        """The channels that are open now deliver nothing further, in both directions, and stay open. New ones work."""
        self.silent |= self.open
        return len(self.open)

    async def session(self, reader, writer):
        self.open.add(writer)
        try:
            while (message := await read_message(reader)) is not None:
                if writer in self.silent:
                    continue
                method, target, _ = message[0].split(" ", 2)
                url = urllib.parse.urlsplit(target)
                query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
                answer = await self.handler(method, url.path, query, message[1], json.loads(message[2] or b"null"))
                if answer is None:
                    self.silent.add(writer)
                if writer in self.silent:
                    continue
                body = json.dumps(answer[1]).encode()
                head = f"HTTP/1.1 {answer[0]} {REASONS.get(answer[0], 'X')}\r\nContent-Length: {len(body)}\r\n\r\n"
                writer.write(head.encode() + body)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.open.discard(writer)
            self.silent.discard(writer)
            writer.close()


async def call(address, method, target, body=None, headers=None, timeout=4.0):
    """(status, object) of one request on a channel of its own; status 0 where there was no whole answer."""
    async def run():
        reader, writer = await asyncio.open_connection(*address, limit=2 ** 22)
        try:
            data = b"" if body is None else json.dumps(body).encode()
            lines = [f"{method} {target} HTTP/1.1", f"Content-Length: {len(data)}", "Content-Type: application/json"]
            lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + data)
            message = await read_message(reader)
            if message is None:
                return 0, None
            return int(message[0].split(" ")[1]), json.loads(message[2] or b"null")
        finally:
            writer.close()
    try:
        return await asyncio.wait_for(run(), timeout)
    except (OSError, asyncio.TimeoutError, ValueError):
        return 0, None
