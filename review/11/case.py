"""Part of the store does not answer for a while, and the store discards its history: completed jobs run again."""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib-3"))
from world import job_of, run_case

AWAY_S = 40.0
JOBS = [f"{0x5d2c01e4a7b30000 + 16 * number + number:016x}" for number in range(8)]  # One in each of eight parts.


async def case(world, trouble):
    for number, job in enumerate(JOBS):
        await world.submit(job, job_of(2, 3000), number)
    await asyncio.sleep(1.0)
    if trouble:
        world.record("store: part intake-15 of table hq-intake does not answer; the history is discarded")
        world.store.take_away("hq-intake", "intake-15")
    for _ in range(20):
        if trouble:
            world.store.discard_history()
        await asyncio.sleep(0.1)
    for _ in range(4):
        await asyncio.sleep(AWAY_S / 4 - 0.5)
        for number, job in enumerate(JOBS):
            await world.state(job, number)
    if trouble:
        world.record("store: the part answers again")
        world.store.give_back()
    await asyncio.sleep(12.0)
    for number, job in enumerate(JOBS):
        await world.state(job, number)
    return not twice(world)


def twice(world):
    """TWICE: a start after a run has ended `done`, if that end is taken note of then or later."""
    broken = []
    for task, starts in sorted(world.starts.items()):
        done = {run: at for at, run, how in world.ends[task] if how == "done"}
        noted = {run for _, run, how in world.noted[task] if how == "done"}
        for at, run, worker in starts:
            earlier = [other for other, ended in done.items() if ended < at and other in noted]
            if earlier:
                broken.append(task)
                world.record(f"TWICE: {task} begins run {run} on {worker} at {at:.3f}, run {earlier[0]} ended done at "
                             f"{done[earlier[0]]:.3f} and was taken note of")
    if len(world.starts) < 2 * len(JOBS):
        raise RuntimeError("not all tasks were started")
    return broken


run_case(case, HERE)
