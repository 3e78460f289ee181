"""The rule that accepted work that can run does run, judged from what workers run."""
import asyncio
import time

from jobs import CPU, MEM_MB

EACH_S, LATE_S = 0.1, 0.5  # Between looks; a gap that long means that this process had no processor, and nothing is judged.
IDLE_S, CALM_S, FINISH_S, LASTING_S = 3.0, 4.0, 14.0, 6.0


class Watch:
    def __init__(self, farm):
        self.farm, self.active, self.calm_at, self.traffic_ended = farm, 0, time.monotonic(), None
        self.since, self.worst, self.reported = {}, {}, set()
        self.calm_s = 0.0  # Time that was judged.

    def fault_begins(self):
        self.active += 1

    def fault_ends(self):
        self.active -= 1
        self.calm_at = time.monotonic()

    async def run(self):
        last = time.monotonic()
        while True:
            await asyncio.sleep(EACH_S)
            now = time.monotonic()
            if now - last > LATE_S:
                self.since.clear()
            self.look(now, now - last)
            last = now

    def look(self, now, passed):
        workers = [worker for worker in self.farm.workers if worker.takes_starts()]
        free = [worker.free() for worker in workers]
        in_use = self.in_use(workers)
        calm_from = now + 1 if self.active else self.calm_at + CALM_S
        finished_from = max(self.traffic_ended + FINISH_S, calm_from) if self.traffic_ended else now + 1
        self.calm_s += passed if calm_from <= now else 0.0
        running = {task for worker in self.farm.workers for task in worker.runs}
        running_jobs = {task.split(".")[0] for task in running}
        idle = set()
        for job in self.farm.jobs.values():
            if job.accepted_at is None or job.id in self.farm.cancelled or job.maybe_cancelled:
                continue
            if job.kind.lasting:
                for task in job.names(0):
                    last = self.farm.last_run.get(task) or job.accepted_at
                    if task not in running:
                        idle |= self.note(task, job, max(calm_from, last + LASTING_S), free, 0.0, now)
            elif job.id not in running_jobs and in_use < 0.5 and not self.farm.may_be_given_up(job) and (task := self.waiting(job)):
                idle |= self.note(job.id, job, finished_from, free, in_use, now, task)
        for gone in set(self.since) - idle:
            del self.since[gone]

    def waiting(self, job):
        """A task of it whose turn has come."""
        for step in range(job.kind.steps):
            for task in job.names(step):
                if self.farm.done[self.farm.unit_of(task)] <= 0:
                    return task
        return None

    def note(self, name, job, may_begin, free, in_use, now, task=None):
        """What is idle: `name`, if there is room for it twice."""
        fits = sum(min(cpu // CPU, mem // MEM_MB, gpu // job.gpu) for cpu, mem, gpu in free)
        needed = 2 * job.tasks if job.kind.gang else 2
        if fits < needed:
            return set()
        begun = self.since.setdefault(name, now)
        counted = now - max(begun, may_begin)
        self.worst[name] = max(self.worst.get(name, 0.0), counted)
        if counted >= IDLE_S and name not in self.reported:
            self.reported.add(name)
            when = f", {now - self.traffic_ended:.1f} s after the traffic's end" if self.traffic_ended else ""
            self.farm.wrong.append(
                f"LOST: {job.id} ({job.kind.name}, {job.tasks} x {job.gpu} gpu, {job.path[:3]}, accepted "
                f"{now - job.accepted_at:.1f} s ago) has nothing running for {now - begun:.1f} s{when}; {task or name} waits, "
                f"room for {fits}, twice over is {needed}, {in_use:.0%} in use")
        return {name}

    def in_use(self, workers):
        """The share of the workers' room, of whatever is scarcest."""
        room = [sum(parts) for parts in zip(*(worker.room() for worker in workers))]
        free = [sum(parts) for parts in zip(*(worker.free() for worker in workers))]
        return max((1 - left / all_ for left, all_ in zip(free, room)), default=1.0)

    def looks_on(self, now):
        """Whether jobs that last have yet to be judged in the calm after the traffic."""
        return now < max(self.traffic_ended, self.calm_at) + CALM_S + LASTING_S + IDLE_S
