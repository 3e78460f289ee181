"""A submission whose writes the store does late, and its client's DELETE in between."""
import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib-2"))
from world import play

JOB, PREFIX = "5c0e7a21d94b36f8", "/confirm/"
LOST_S, LATE_S = 1.5, 6.0          # The store leaves writes unanswered for so long, and does them so much later.
CANCEL_S, CONTACT_S = 3.0, 3.0     # cancel_ms, contactMs.
STEP = {"count": 3, "cpu": 7500, "memMb": 15000, "gpu": 1, "estimateMs": 2500}


async def case(world, trouble):
    world.manifest(3, ["confirm"])
    await world.start()
    if not await world.until_ready():
        return 2
    others = iter(range(1, 100))
    submit_other = lambda i: world.ask(i, "POST", f"{PREFIX}{next(others):016x}", {"spec": "other", "steps": [STEP]})
    for i in range(world.instances):
        if (await submit_other(i))[0] != 200:
            return 2
    await asyncio.sleep(4.0)
    began, writes, lost = time.monotonic(), [0], [0]

    def on_call(instance, path, body):
        if time.monotonic() - began > LOST_S:
            return None
        writes[0] += 1
        if not any(row["key"].endswith(JOB) for row in body["puts"]):
            return None
        lost[0] += 1
        world.record.note(f"store: write of instance {instance} for {JOB} gets no answer, is done {LATE_S} s later")
        return "late", LATE_S

    if trouble:
        world.store.on_call = on_call
    elsewhere = asyncio.gather(*[submit_other(k % 3) for k in range(6)])
    submitted = (await world.ask(1, "POST", PREFIX + JOB, {"spec": "confirm", "steps": [STEP]}))[0]
    cancelled = (await world.ask(2, "DELETE", PREFIX + JOB))[0]
    acknowledged = time.monotonic()
    await elsewhere
    await asyncio.sleep(1.0)
    await world.ask(2, "GET", PREFIX + JOB)
    if cancelled not in (200, 410) or (trouble and submitted == 200):
        return 2
    await asyncio.sleep(9.0)
    await world.ask(2, "GET", PREFIX + JOB)
    world.record.note(f"store: {lost[0]} of {writes[0]} writes of {LOST_S} s got no answer")
    late = [(at, task) for at, task, _, _ in world.starts if task.startswith(JOB) and at - acknowledged > CANCEL_S
            and (not trouble or at - began - LOST_S > CONTACT_S)]
    for at, task in late:
        world.record.note(f"UNASKED: {task} started {at - acknowledged:.3f} s after the cancel was answered {cancelled}, "
                          f"{at - began - LOST_S:.3f} s after the store's disturbance")
    if not late:
        world.record.note("UNASKED held")
    return int(bool(late))


sys.exit(asyncio.run(play(case, HERE)))
