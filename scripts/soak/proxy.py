"""A loopback proxy that delays, resets, cuts one way or silences the connections through it, and limits their rate."""
import asyncio
import collections
import time

CHUNK, DELAY_S = 16384, 0.2


class Proxy:
    def __init__(self, target, rate=0):
        self.target, self.pairs = target, []
        self.hurts = collections.Counter()  # `delay`, `silent`, `one_way`: how many faults do so now.
        self.rate, self.free = rate, {True: 0.0, False: 0.0}  # Bytes a second each way, 0: any; when the link is free.

    async def start(self):
        self.server = await asyncio.start_server(self.session, "127.0.0.1", 0)
        return self.server.sockets[0].getsockname()[1]

    def reset(self):
        for writers in self.pairs:
            for writer in writers:
                writer.transport.abort()

    async def session(self, reader, writer):
        try:
            there, back = await asyncio.open_connection("127.0.0.1", self.target)
        except OSError:
            writer.transport.abort()
            return
        pair = (writer, back)
        self.pairs.append(pair)
        try:
            await asyncio.gather(self.pump(reader, back, False), self.pump(there, writer, True))
        except asyncio.CancelledError:
            pass  # The soak is over.
        self.pairs.remove(pair)

    async def pump(self, reader, writer, answers):
        try:
            while data := await reader.read(CHUNK if self.rate else 65536):
                if self.rate:
                    self.free[answers] = max(self.free[answers], time.monotonic()) + len(data) / self.rate
                    await asyncio.sleep(self.free[answers] - time.monotonic())
                if self.hurts["delay"]:
                    await asyncio.sleep(DELAY_S)
                if self.hurts["silent"] or (self.hurts["one_way"] and answers):
                    continue  # Lost for good: the connection stays open and silent.
                writer.write(data)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass  # An end left, or the soak is over.
        finally:
            writer.close()
