#!/usr/bin/env python3
"""Clients that don't behave must not end an instance, take it over the memory or the descriptors of its machine, or keep
it from serving others afterwards. `crowd_test.py --bin DIR CASE` plays one case. Nothing checked depends on time."""
import argparse
import asyncio
import collections
import json
import os
import signal
import subprocess
import sys

import world as worlds
from world import ADMIN, CALLERS, INNER, METRICS, OTHER_KEY, READY, THIRD_KEY, EntryWorld, World

SETTLE_S = 1.0  # For the instances to read what has been sent; what they hold then is sampled meanwhile.
HELD_S = 25          # For which jobs come while none is written; their callers wait longer.
REPORTED_S, REFUSALS = 1.5, 3  # Until all instances know of a job; so often a size is tried in vain.
HELD_BODIES, NEAR_LIMIT = 60, 262_000  # At each instance, together over its room for bodies.
REFUSED = {413, 429, 503}
HERE = os.path.dirname(os.path.abspath(__file__))


class Crowd:
    def __init__(self, shape, host, port, count):
        command = [sys.executable, os.path.join(HERE, "crowd.py"), shape, host, str(port), str(count)]
        self.process = subprocess.Popen(command, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True)

    async def line(self):
        return await asyncio.get_running_loop().run_in_executor(None, self.process.stdout.readline)

    async def leave(self):
        self.process.stdin.close()
        answers = await self.line()
        self.process.wait()
        return answers.strip()


async def press(world, shape, count, port=CALLERS):
    """The same crowd at each instance, of which one leads."""
    crowds = [Crowd(shape, host, port, count) for host in world.hosts]
    for crowd in crowds:
        await crowd.line()
    await asyncio.sleep(SETTLE_S)
    return crowds


async def leave(crowds):
    for crowd in crowds:
        print("crowd was answered", await crowd.leave(), flush=True)


def crowd_case(shape, count, port=CALLERS, beside=False):
    async def case(world):
        crowds = await press(world, shape, count, port)
        if beside:
            await world.serve_ordinary("beside the crowd")
        await leave(crowds)
        await world.serve_ordinary("afterwards")

    return case


async def drain(world):
    """A planned stop ends, whatever the crowd keeps open."""
    crowds = await press(world, "half_body", 150)
    usage = world.usage.pop()
    world.hosts.pop()
    usage.process.send_signal(signal.SIGTERM)
    await asyncio.get_running_loop().run_in_executor(None, usage.process.wait, worlds.PATIENCE_S)
    assert usage.process.returncode == 0, f"the drained instance ended with {usage.process.returncode}"
    await leave(crowds)
    await world.serve_ordinary("afterwards")


async def send_slowly(world, job, padding, pieces):
    """One job at one instance, a piece a second."""
    body = json.dumps(job).encode()
    body += b" " * (padding - len(body))
    reader, writer = await asyncio.open_connection(world.hosts[0], CALLERS)
    lines = [f"Content-Length: {len(body)}"] + [f"{name}: {value}" for name, value in worlds.KEY.items()]
    writer.write(("POST /jobs/00000000000000aa HTTP/1.1\r\n" + "\r\n".join(lines) + "\r\n\r\n").encode())
    for i in range(0, len(body), -(-len(body) // pieces)):
        writer.write(body[i:i - (-len(body) // pieces)])
        await writer.drain()
        await asyncio.sleep(1.0)
    status = (await asyncio.wait_for(reader.readline(), worlds.PATIENCE_S)).split(b" ")[1]
    assert status == b"200", f"the slow caller was answered {status}"
    writer.close()


async def slow_caller(world):
    """A job with a large text over a thin link is served while nobody else presses."""
    await send_slowly(world, {"spec": "x" * 40_000, "steps": [{"count": 1, "cpu": 500, "memMb": 64}]}, 0, 10)


async def slow_caller_at_limit(world):
    """So is a body at the limit of the configuration, of 262,144 bytes."""
    await send_slowly(world, {"spec": "x", "steps": [{"count": 1, "cpu": 500, "memMb": 64}]}, 262_144, 25)


class HeldBody:
    """A small job whose body is near the limit and sent up to its last byte."""

    def __init__(self, host, number):
        self.host, self.id = host, f"{number:016x}"
        job = {"spec": "x", "steps": [{"count": 1, "cpu": 500, "memMb": 64, "estimateMs": 1000}]}
        self.body = json.dumps(job).encode().ljust(NEAR_LIMIT)

    async def send(self, data):
        try:
            self.writer.write(data)
            await asyncio.wait_for(self.writer.drain(), worlds.PATIENCE_S)
        except OSError:
            pass  # It is refused, which `answer` tells.

    async def read_status(self, reader):
        try:
            return int((await reader.readline() or b"- 0").split(b" ")[1])
        except OSError:
            return 0

    async def begin(self):
        reader, self.writer = await asyncio.open_connection(self.host, CALLERS)
        self.answer = asyncio.ensure_future(self.read_status(reader))
        lines = [f"Content-Length: {len(self.body)}"] + [f"{name}: {value}" for name, value in worlds.KEY.items()]
        await self.send((f"POST /jobs/{self.id} HTTP/1.1\r\n" + "\r\n".join(lines) + "\r\n\r\n").encode())
        await self.send(self.body[:-1])


async def refused_jobs(world):
    """Guards against a refusal for want of room whose job runs all the same, and an accepted job that does not."""
    held = [HeldBody(host, 1 + i) for i, host in enumerate(world.hosts * HELD_BODIES)]
    await asyncio.gather(*(job.begin() for job in held))

    async def one_refused():
        return any(job.answer.done() and job.answer.result() in REFUSED for job in held)

    await world.until(one_refused, "a body is refused while none is whole")
    await asyncio.gather(*(job.send(job.body[-1:]) for job in held))
    statuses = await asyncio.wait_for(asyncio.gather(*(job.answer for job in held)), worlds.PATIENCE_S)
    print("held bodies were answered", dict(sorted(collections.Counter(statuses).items())), flush=True)
    for job in held:
        job.writer.close()
    await world.serve_ordinary("afterwards")
    for job, status in zip(held, statuses):
        target, known = f"/jobs/{job.id}", (200, 404, 410)

        async def settled():
            code, _, answer = await world.ask(job.host, CALLERS, "GET", target)
            job.is_known = code == 200
            return code in known and (status != 200 or (code == 200 and answer["state"] == "completed"))

        await world.until(settled, f"{target}, answered {status}, has ended or is unknown")
        if status in REFUSED:
            assert not job.is_known, f"{target} was answered {status} and is known"
            ran = [*world.farm.last_run, *(task for worker in world.farm.workers for task in worker.runs)]
            assert not any(task.startswith(job.id) for task in ran), f"{target} was answered {status} and ran"


async def fill_jobs(world):
    """Jobs of one account that can't start, smaller and smaller ones, until the leader has no room for any of them."""
    tasks, refused, number = 2**15, 0, 0
    while tasks:
        number += 1
        job = {"spec": "", "steps": [{"count": tasks, "constraints": "x"}]}
        status, _, _ = await world.ask(world.hosts[number % 2], CALLERS, "POST", f"/jobs/{number:016x}", job, OTHER_KEY)
        refused = 0 if status == 200 else refused + 1
        if status == 413 or refused == REFUSALS:
            tasks, refused = tasks // 4, 0
        elif status != 200:
            await asyncio.sleep(REPORTED_S)


async def large_jobs(world):
    """Jobs that are each as large as a leader takes, or somewhat smaller, handed in at all instances at a time."""
    for number, tasks in enumerate((30_000, 30_000, 10_000, 3_000, 800)):
        job = {"spec": "", "steps": [{"count": tasks, "constraints": "x"}]}
        targets = [f"/jobs/{number:x}{i:015x}" for i in range(len(world.hosts))]
        calls = [world.ask(host, CALLERS, "POST", target, job, OTHER_KEY) for host, target in zip(world.hosts, targets)]
        print(tasks, "tasks were answered", [status for status, _, _ in await asyncio.gather(*calls)], flush=True)
        await asyncio.sleep(REPORTED_S)
    await world.serve_ordinary("beside large jobs")


async def held_jobs(world):
    """Jobs of two accounts at all instances, more each second while the store leaves writes of jobs unanswered; then all
    are written."""
    world.store.withheld.add(worlds.JOB_TABLE)
    job, calls = {"spec": "", "steps": [{"count": 800, "constraints": "x"}]}, []
    for second in range(HELD_S):
        for i, host in enumerate(world.hosts):
            for account, key in enumerate((OTHER_KEY, THIRD_KEY)):
                target, patient = f"/jobs/{second:02x}{account:x}{i:013x}", {**key, "X-Deadline-Ms": "60000"}
                calls.append(asyncio.ensure_future(world.ask(host, CALLERS, "POST", target, job, patient, worlds.PATIENCE_S)))
        await asyncio.sleep(1.1)
    world.store.resume()
    answers = collections.Counter(status for status, _, _ in await asyncio.gather(*calls))
    print("jobs were answered", dict(sorted(answers.items())), flush=True)
    await asyncio.sleep(REPORTED_S)
    await world.serve_ordinary("beside the jobs that were held")


async def account_jobs(world):
    """One account's jobs don't keep those of another from being accepted."""
    await fill_jobs(world)
    await world.serve_ordinary("beside the jobs of another account")


CASES = {
    "half_chunk": crowd_case("half_chunk", 120),
    "half_chunk_ready": crowd_case("half_chunk", 120, READY),
    "half_chunk_metrics": crowd_case("half_chunk", 120, METRICS),
    "half_chunk_in_limit": crowd_case("half_chunk_in_limit", 300),
    "small_chunks": crowd_case("small_chunks", 120),
    "byte_chunks": crowd_case("byte_chunks", 190),
    "half_body": crowd_case("half_body", 300),
    "announced": crowd_case("announced", 150),
    "endless": crowd_case("endless", 100),
    "mixed": crowd_case("mixed", 300, beside=True),
    "half_head": crowd_case("half_head", 300),
    "chunk_extension": crowd_case("chunk_extension", 150),
    "trailers": crowd_case("trailers", 150),
    "many_trailers": crowd_case("many_trailers", 150),
    "many_fields": crowd_case("many_fields", 150),
    "many_fields_ready": crowd_case("many_fields", 150, READY),
    "short_fields": crowd_case("short_fields", 150),
    "waves": crowd_case("waves:half_chunk", 100),
    "silent": crowd_case("silent", 1_100, beside=True),
    "silent_ready": crowd_case("silent", 1_100, READY, beside=True),
    "wide_job": crowd_case("wide_job", 40),
    "many_tasks": crowd_case("many_tasks", 60),
    "many_jobs": crowd_case("many_jobs", 50),
    "million_tasks": crowd_case("million_tasks", 1),
    "nested": crowd_case("nested", 150),
    "wide_json": crowd_case("wide_json", 150),
    "wrong_key": crowd_case("wrong_key", 150),
    "wrong_route": crowd_case("wrong_route", 150),
    "unread": crowd_case("unread", 150),
    "unread_metrics": crowd_case("unread", 150, METRICS),
    "inner_frame": crowd_case("frame", 40, INNER),
    "inner_wide_frame": crowd_case("wide_frame", 40, INNER),
    "inner_many_peers": crowd_case("many_peers", 20, INNER),
    "inner_silent": crowd_case("silent", 1_100, INNER, beside=True),
    "account_jobs": account_jobs,
    "held_jobs": held_jobs,
    "large_jobs": large_jobs,
    "refused_jobs": refused_jobs,
    "drain": drain,
    "slow_caller": slow_caller,
    "slow_caller_at_limit": slow_caller_at_limit,
}
INSTANCES = {"large_jobs": 8, "held_jobs": 8}  # Two otherwise.
ENTRY_CASES = {
    "entry_half_chunk": crowd_case("half_chunk", 300),
    "entry_half_chunk_admin": crowd_case("half_chunk", 300, ADMIN),
    "entry_many_fields": crowd_case("many_fields", 300),
    "entry_many_fields_admin": crowd_case("many_fields", 300, ADMIN),
    "entry_half_body": crowd_case("half_body", 300),
    "entry_mixed": crowd_case("mixed", 300, beside=True),
    "entry_mixed_admin": crowd_case("mixed", 300, ADMIN, beside=True),
    "entry_silent": crowd_case("silent", 500, beside=True),
    "entry_inner_frame": crowd_case("frame", 80, INNER),
    "entry_inner_wide_frame": crowd_case("wide_frame", 80, INNER),
    "entry_inner_many_peers": crowd_case("many_peers", 60, INNER),
    "entry_silent_admin": crowd_case("silent", 1_100, ADMIN, beside=True),
}


async def play(case, binaries):
    world = World(binaries, INSTANCES.get(case, 2)) if case in CASES else EntryWorld(binaries)
    wrong = []
    try:
        await world.start()
        await {**CASES, **ENTRY_CASES}[case](world)
    except (AssertionError, subprocess.TimeoutExpired) as error:
        wrong.append(str(error))
    finally:
        wrong += world.wrong()
        world.stop()
    for usage in world.usage:
        print(f"{usage.host} held at most {usage.peak_mb:.0f} MB, {usage.queued_mb:.1f} MB more not read yet, "
              f"and {usage.sockets} descriptors")
    for line in wrong:
        print("wrong:", line)
    if wrong:
        print("logs:", world.folder)
    return 1 if wrong else 0


if __name__ == "__main__":
    parser = argparse.ArgumentParser()
    parser.add_argument("--bin", required=True)
    parser.add_argument("case", choices=sorted({**CASES, **ENTRY_CASES}))
    options = parser.parse_args()
    code = asyncio.run(play(options.case, os.path.abspath(options.bin)))
    sys.stdout.flush()
    os._exit(code)  # Connections of stand-ins that wait for an answer would hold the interpreter.
