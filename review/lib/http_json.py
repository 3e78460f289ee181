"""HTTP/1.1 with JSON bodies on asyncio, as small as the stand-ins need it."""
import asyncio
import json
import urllib.parse

REASONS = {200: "OK", 404: "Not Found", 409: "Conflict", 410: "Gone", 412: "Precondition Failed",
           421: "Misdirected Request", 503: "Service Unavailable"}


async def read_message(reader):
    """First line, headers and body; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        lines = head.decode().split("\r\n")
        headers = {}
        for line in lines[1:]:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        return lines[0], headers, await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None


async def serve(handler, host="127.0.0.1"):
    """Serves on a free port and returns it. handler(method, path, query, headers, body) -> (status, object); None: no
    answer is ever given, and the connection delivers nothing further; "reset": the connection ends."""

    async def session(reader, writer):
        try:
            while (message := await read_message(reader)) is not None:
                method, target, _ = message[0].split(" ", 2)
                url = urllib.parse.urlsplit(target)
                query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
                answer = await handler(method, url.path, query, message[1], json.loads(message[2] or b"null"))
                if answer == "reset":
                    return writer.transport.abort()
                if answer is None:
                    while await reader.read(65536):
                        pass
                    break
                body = json.dumps(answer[1]).encode()
                head = f"HTTP/1.1 {answer[0]} {REASONS.get(answer[0], 'X')}\r\nContent-Length: {len(body)}\r\n\r\n"
                writer.write(head.encode() + body)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(session, host, 0, limit=2 ** 22)
    return server.sockets[0].getsockname()[1]


async def call(address, method, target, body=None, headers=None, patience=3.0):
    """(status, object) of one call on a new connection. The status is 0 where there was no whole answer in time: the
    caller then leaves, and its connection ends."""
    writer = None

    async def talk():
        nonlocal writer
        reader, writer = await asyncio.open_connection(*address, limit=2 ** 22)
        data = b"" if body is None else json.dumps(body).encode()
        lines = [f"{method} {target} HTTP/1.1", f"Content-Length: {len(data)}", "Content-Type: application/json"]
        lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + data)
        message = await read_message(reader)
        if message is None:
            raise ConnectionError("closed")
        return int(message[0].split(" ")[1]), json.loads(message[2] or b"null")

    try:
        return await asyncio.wait_for(talk(), patience)
    except (OSError, asyncio.TimeoutError, ValueError):
        return 0, None
    finally:
        if writer is not None:
            writer.close()
