#!/usr/bin/env python3
"""Misbehaving clients of one address. `crowd.py SHAPE HOST PORT COUNT [PREFIX NAME]` opens COUNT connections, sends on
each what the shape says, prints "open", keeps the connections until standard input ends, then prints the statuses it was
answered. PREFIX and NAME are those of a queue: the begin of its path, and its host."""
import asyncio
import collections
import json
import sys

PREFIX, NAME = sys.argv[5:7] or ("/jobs/", "crowd.example")
HEAD = "POST " + PREFIX + "{id:016x} HTTP/1.1\r\nHost: " + NAME + "\r\nAuthorization: Token {key}\r\n"
OVER_LIMIT, IN_LIMIT = 1_040_000, 262_100  # Bytes of a body; the platform's limit is 262,144.
STALLED_S = 5.0                            # A write that the peer does not take in is given up.
ANSWERED_S = 30.0                          # So is an answer.
WAVES = 5
JOBS_EACH = 20                             # Of many_jobs.


def head(number, *lines, key="key"):
    return (HEAD.format(id=number + 1, key=key) + "".join(line + "\r\n" for line in lines) + "\r\n").encode()


def chunk(data):
    return b"%x\r\n" % len(data) + data + b"\r\n"


def sized(number, body, **other):
    return head(number, f"Content-Length: {len(body)}", **other) + body


def half_chunk(number):
    yield head(number, "Transfer-Encoding: chunked") + chunk(b" " * OVER_LIMIT)[:-3]


def half_chunk_in_limit(number):
    yield head(number, "Transfer-Encoding: chunked") + chunk(b" " * IN_LIMIT)[:-3]


def chunks_of(size, total):
    each = chunk(b" " * size) * 512
    return (each for _ in range(total // (512 * size)))


def small_chunks(number):
    yield head(number, "Transfer-Encoding: chunked")
    yield from chunks_of(8, OVER_LIMIT)


def byte_chunks(number):
    yield head(number, "Transfer-Encoding: chunked")
    yield from chunks_of(1, IN_LIMIT)


def half_body(number):
    yield head(number, f"Content-Length: {IN_LIMIT}") + b" " * (IN_LIMIT - 1)


def announced(number):
    yield head(number, "Content-Length: 1000000000000")
    for _ in range(64):
        yield b" " * 65536


def endless(number):
    yield head(number, "Transfer-Encoding: chunked")
    for _ in range(64):
        yield chunk(b" " * 65536)


def whole_chunks(number):
    yield head(number, "Transfer-Encoding: chunked")
    yield from chunks_of(8, IN_LIMIT)
    yield b"0\r\n\r\n"


def mixed(number):
    """Bodies over the limit, announced or sent, and chunked ones, one of eight of which ends."""
    shapes = (half_chunk, small_chunks, announced, half_chunk_in_limit, byte_chunks, endless, half_body, whole_chunks)
    yield from shapes[number % len(shapes)](number)


def chunk_extension(number):
    """A chunk whose extension does not end."""
    yield head(number, "Transfer-Encoding: chunked") + b"1;"
    for _ in range(16):
        yield b"x" * 65536


def trailers(number):
    """A whole body, and fields behind it that do not end."""
    yield head(number, "Transfer-Encoding: chunked") + chunk(b"{}") + b"0\r\n"
    for i in range(16):
        yield (f"X-{i}: ".encode() + b"x" * 1_000 + b"\r\n") * 64


def many_trailers(number):
    yield head(number, "Transfer-Encoding: chunked") + chunk(b"{}") + b"0\r\n"
    for _ in range(16):
        yield b"a:\r\n" * 16_384


def many_fields(number):
    """A head of short fields that does not end."""
    yield head(number)[:-2] + b"a:\r\n" * 16_384
    for _ in range(15):
        yield b"a:\r\n" * 16_384


def short_fields(number):
    """As many fields as a head of 16 KB has, but for its end."""
    yield head(number)[:-2] + b"a:\r\n" * 4_000


def half_head(number):
    yield head(number, "X-Padding: " + "x" * 15_000)[:-2]


def silent(number):
    yield b"P"


def wide_job(number):
    """Waits for a worker that does not exist."""
    steps = ",".join(['{"constraints":"x"}'] * 12_500)
    yield sized(number, ('{"spec":"","steps":[' + steps + "]}").encode())


def many_tasks(number):
    yield sized(number, json.dumps({"spec": "x", "steps": [{"count": 5_000, "constraints": "x"}]}).encode())


def many_jobs(number):
    """Jobs one after another, none of which can start."""
    job = json.dumps({"spec": "x" * 4000, "steps": [{"count": 90, "constraints": "x"}] * 10}).encode()
    for i in range(JOBS_EACH):
        yield sized(1_000_000 + JOBS_EACH * number + i, job)


def million_tasks(number):
    yield sized(number, json.dumps({"spec": "x", "steps": [{"count": 1_000_000, "constraints": "x"}]}).encode())


def nested(number):
    yield sized(number, b"[" * IN_LIMIT)


def wide_json(number):
    yield sized(number, b"[" + b'{"":0},' * 37_000 + b"0]")


def wrong_key(number):
    yield sized(number, b" " * IN_LIMIT, key="other")


def wrong_route(number):
    yield sized(number, b" " * IN_LIMIT).replace(PREFIX.encode(), b"/nowhere/", 1)


def unread(number):
    """Requests on end whose answers nobody reads."""
    for _ in range(50):
        yield (b"GET /metrics HTTP/1.1\r\nHost: crowd.example\r\n\r\n") * 20


def frame(number):
    """The length of a frame of the inner protocol, and a part of it."""
    yield (4_000_000).to_bytes(4, "big") + b" " * 1_000


# Pieces of the inner protocol in Thrift's compact encoding, see hickoryquay/inner/inner.thrift.
CALL = bytes.fromhex("1502 1602 12 1c 1c")  # Protocol 1, id 1, no answer, and the begin of a heartbeat.
END = b"\0"                                 # Of a structure.


def varint(value):
    digits = []
    while value > 127:
        digits.append(value & 127 | 128)
        value >>= 7
    return bytes([*digits, value])


def text(word, fields_skipped=0):
    """A field of text, and how many field numbers were left out before it."""
    return bytes([(1 + fields_skipped) << 4 | 8]) + varint(len(word)) + word.encode()


def structures(count, fields_skipped):
    """The begin of a list."""
    return bytes([(1 + fields_skipped) << 4 | 9, 0xFC]) + varint(count)


def whole_frame(body):
    return len(body).to_bytes(4, "big") + body


def wide_frame(number):
    """A heartbeat that announces 4,000,000 peers and names none."""
    yield whole_frame(CALL + structures(4_000_000, 10))


def many_peers(number):
    """A heartbeat that names 30,000 peers that don't exist."""
    peers = b"".join(text(f"p{number}-{i}") + text("x") + text("127.0.0.1:9") + END for i in range(30_000))
    sequence = bytes.fromhex("1602")
    heartbeat = text(f"p{number}") + text("x") + sequence + text("127.0.0.1:9", 5) + structures(30_000, 1) + peers + END
    yield whole_frame(CALL + heartbeat + END + END)


SHAPES = {shape.__name__: shape for shape in (
    half_chunk, half_chunk_in_limit, small_chunks, byte_chunks, half_body, announced, endless, half_head,
    whole_chunks, mixed, chunk_extension, trailers, many_trailers, many_fields, short_fields, silent, wide_job, many_tasks, many_jobs, million_tasks, nested, wide_json, wrong_key, wrong_route, unread, frame, wide_frame, many_peers)}
WHOLE = {wide_job, many_tasks, many_jobs, million_tasks, nested, wide_json, wrong_key, wrong_route}  # Answers are awaited.


async def read_answers(reader, answers, expected, answered):
    """Counts their statuses, and reads on so that no answer is held up."""
    try:
        for _ in range(expected):
            line = await reader.readline()
            if not line:
                answers["closed"] += 1
                break
            answers[line.split(b" ")[1].decode()] += 1
            headers = (await reader.readuntil(b"\r\n\r\n")).lower()
            if b"content-length: " in headers:
                await reader.readexactly(int(headers.split(b"content-length: ")[1].split(b"\r\n")[0]))
        answered.set()
        while await reader.read(65536):
            pass
    except (OSError, asyncio.IncompleteReadError):
        answers["reset"] += 1
    answered.set()


async def client(shape, address, number, answers, tasks):
    """An open connection, or None where the peer has closed it."""
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(*address), STALLED_S)
    except (OSError, asyncio.TimeoutError):
        answers["not connected"] += 1
        return None
    answered = asyncio.Event()
    if shape is not unread:
        expected = JOBS_EACH if shape is many_jobs else 1
        tasks.append(asyncio.ensure_future(read_answers(reader, answers, expected, answered)))
    try:
        for part in shape(number):
            writer.write(part)
            await asyncio.wait_for(writer.drain(), STALLED_S)
        if shape in WHOLE:
            await asyncio.wait_for(answered.wait(), ANSWERED_S)
    except (OSError, asyncio.TimeoutError):
        pass
    return writer


async def main(name, host, port, count):
    waves, _, name = name.rpartition(":")
    answers, tasks, writers = collections.Counter(), [], []
    loop = asyncio.get_running_loop()
    for wave in range(WAVES if waves else 1):
        for writer in filter(None, writers):
            writer.transport.abort()
        numbers = range(wave * count, (wave + 1) * count)
        writers = await asyncio.gather(*(client(SHAPES[name], (host, port), i, answers, tasks) for i in numbers))
    print("open", flush=True)
    await loop.run_in_executor(None, sys.stdin.read)
    for writer in filter(None, writers):
        writer.transport.abort()
    await asyncio.gather(*tasks, return_exceptions=True)
    print(json.dumps(answers), flush=True)


asyncio.run(main(sys.argv[1], sys.argv[2], int(sys.argv[3]), int(sys.argv[4])))
