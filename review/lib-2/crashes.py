"""What review/7, 9 and 10 share: one of 20 jobs that come within 3 s has tasks that crash the workers that start them."""
import asyncio
import collections
import sys
import time

from world import play

JOB, SOUND = "5c0e7a21d94b36f8", [f"1d46aca9f2dc91{k:02x}" for k in range(19)]
DOWN_S = 3.0           # A worker that crashed is back then.
CRASHES, MORE = 3, 3   # BUDGET: so many starts after so many crashes break the rule.


class Check:
    """The check of BUDGET. A worker is one life of a machine."""

    def __init__(self, world):
        self.world, self.more = world, collections.Counter()
        self.started, world.started = world.started, self.on_start

    def on_start(self, worker, task, number):
        self.started(worker, task, number)
        if self.world.crashes[task] >= CRASHES:
            self.more[task] += 1

    def broken(self):
        return [task for task, starts in self.more.items() if starts >= MORE]

    def note(self, states):
        note = self.world.record.note
        for task, crashes in sorted(self.world.crashes.items()):
            note(f"{task}: crashed {crashes} workers, started {self.more[task]} times after {CRASHES} had crashed")
        sound = collections.Counter(states[job] for job in SOUND)
        note(f"workers crashed {sum(self.world.crashes.values())} times; job that crashes them: {states[JOB]}; "
             f"sound jobs: {dict(sound)}")
        note(f"BUDGET is broken for {len(self.broken())} tasks" if self.broken() else "BUDGET held")


def run(folder, workers, tasks, work_s, watched_s, crash_s):
    """`crash_s(task, crashes)`: seconds from a start of the task until its worker crashes, after so many crashes."""

    async def case(world, trouble):
        world.manifest(3, ["rebuild", "booking"])
        world.down_s = DOWN_S
        check = Check(world)
        await world.start()
        if not await world.until_ready():
            return 2
        world.work[JOB] = work_s
        if trouble:
            world.crash_s = lambda task: crash_s(task, world.crashes[task]) if task.startswith(JOB) else None
        small = {"count": 1, "cpu": 7500, "memMb": 15000, "gpu": 1, "estimateMs": 1000}
        large = {"count": tasks, "cpu": 26000, "memMb": 53000, "gpu": 8, "estimateMs": int(1000 * work_s)}
        for k, job in enumerate(SOUND):
            if (await world.ask(k % 3, "POST", f"/booking/{job}", {"spec": "sound", "steps": [small]}))[0] != 200:
                return 2
            await asyncio.sleep(0.1)
        if (await world.ask(1, "POST", f"/rebuild/{JOB}", {"spec": "crashes", "steps": [large]}))[0] != 200:
            return 2
        path = {job: f"/booking/{job}" for job in SOUND} | {JOB: f"/rebuild/{JOB}"}
        end, states = time.monotonic() + watched_s, dict.fromkeys(path)
        while time.monotonic() < end and 2 * len(check.broken()) < tasks:
            await asyncio.sleep(1.0)
            for job in [job for job, state in states.items() if state not in ("completed", "failed")]:
                answer = (await world.ask(0, "GET", path[job]))[1]
                states[job] = answer.get("state") if answer else None
            if all(state in ("completed", "failed") for state in states.values()):
                break
        check.note(states)
        if not trouble and set(states.values()) != {"completed"}:
            return 2
        return int(bool(check.broken()))

    sys.exit(asyncio.run(play(case, folder, workers=workers)))
