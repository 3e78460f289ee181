"""HTTP/1.1 with JSON bodies on asyncio, for the stand-ins and the clients of the cases. Loopback addresses only."""
import asyncio
import json
import urllib.parse

LIMIT = 2 ** 22


async def read_message(reader):
    """(first line, headers, body), or None at the end of the connection."""
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


async def serve(handler, host, writers=None):
    """handler(method, path, query, headers, body) -> (status, object); None breaks the connection without an answer.
    `writers` holds the open connections."""
    writers = set() if writers is None else writers

    async def session(reader, writer):
        writers.add(writer)
        try:
            while (message := await read_message(reader)) is not None:
                method, target, _ = message[0].split(" ", 2)
                url = urllib.parse.urlsplit(target)
                query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
                answer = await handler(method, url.path, query, message[1], json.loads(message[2] or b"null"))
                if answer is None:
                    break
                body = json.dumps(answer[1]).encode()
                writer.write(f"HTTP/1.1 {answer[0]} X\r\nContent-Type: application/json\r\n"
                             f"Content-Length: {len(body)}\r\n\r\n".encode() + body)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()
            writers.discard(writer)

    server = await asyncio.start_server(session, host, 0, limit=LIMIT)
    return server, server.sockets[0].getsockname()[1]


async def call(address, method, target, body=None, headers=None, timeout=3.5):
    """One call on a connection of its own: (status, object); status 0 where no whole answer came."""

    async def exchange():
        reader, writer = await asyncio.open_connection(*address, limit=LIMIT)
        try:
            data = b"" if body is None else json.dumps(body).encode()
            lines = [f"{method} {target} HTTP/1.1", f"Content-Length: {len(data)}", "Content-Type: application/json"]
            lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + data)
            message = await read_message(reader)
            if message is None:
                raise ConnectionError("closed")
            return int(message[0].split(" ")[1]), json.loads(message[2] or b"null")
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
        return 0, None
