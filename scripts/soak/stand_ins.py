"""Stand-ins for the platform: store, list of machines, workers. They speak the platform's protocol and check it."""
import asyncio
import base64
import bisect
import collections
import json
import random
import time

from http_json import port_of, serve
from jobs import CPU, CRASHES, DOMAINS, FAR_FACTOR, GPU_OF_WORKER, MEM_MB, STARTS_MORE, WORKERS_OF_RACK

STOP_S, GANG_S, LEASE_MAX_MS = 0.2, 3.0, 6000
SLOW_SPEED = 0.1
FAILS_EVERY_S = 20.0  # A task that lasts, on average.
LATE_SHARE, LATE_S = 0.35, (1.0, 6.0)  # Of the parts whose writes are done late, and how late.


def now_ms():
    return int(time.monotonic() * 1000)


def percent_of(run):
    """The share of a run's own work that is done, as whole percent."""
    return int(100 * (1 - max(0.0, run["left"]) / run["work"]))


class Store:
    """Nothing waits between a check and its write, so no lock is needed. A feed that waits must hold none: one that is
    cancelled as its time ends would leave it locked for good."""

    def __init__(self, seed):
        self.rows, self.version, self.changed = {}, 1, asyncio.Event()
        self.history, self.cut = collections.defaultdict(list), 0  # Of each table, by version; the last one that is gone.
        self.refused, self.servers = collections.Counter(), []     # Instances that it turns away.
        self.withheld, self.resumed = set(), asyncio.Event()       # Tables whose writes wait, and until when.
        self.late, self.late_random = collections.defaultdict(list), random.Random(seed)  # Names of faults, by instance.

    async def start(self, instance):
        """A port of that instance's own."""

        async def handle(method, path, query, headers, body):
            if self.refused[instance]:
                return 503, {}
            if path == "/rows-tx" and self.table_of(body) in self.withheld:
                await self.resumed.wait()
            if path == "/rows-tx" and self.is_late(instance, body):
                return await self.transact_late(body)
            return await self.handle(method, path, query, headers, body)

        self.servers.append(await serve(handle))
        return port_of(self.servers[-1])

    def cut_history(self):
        self.history.clear()
        self.cut = self.version

    async def put(self, table, key, value):
        self.version += 1
        self._set((table, "", key), base64.b64encode(json.dumps(value).encode()).decode())
        self._wake_feeds()

    async def remove(self, table, key):
        self.version += 1
        self._drop((table, "", key))
        self._wake_feeds()

    def _wake_feeds(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def _set(self, key, value):
        self.rows[key] = {"table": key[0], "part": key[1], "key": key[2], "value": value, "ver": self.version}
        self.history[key[0]].append(self.rows[key])

    def _drop(self, key):
        if self.rows.pop(key, None) is not None:
            self.history[key[0]].append({"table": key[0], "part": key[1], "key": key[2], "ver": self.version,
                                         "removed": True})

    async def handle(self, method, path, query, headers, body):
        await asyncio.sleep(0.003)
        if path == "/rows-tx":
            return await self.transact(body)
        if path == "/rows-get":
            rows = sorted((row for key, row in self.rows.items() if key[0] == query["table"] and key[1] == query["part"]
                           and key[2] >= query.get("from", "") and (not query.get("to") or key[2] < query["to"])),
                          key=lambda row: row["key"])
            limit = int(query.get("limit", 500))
            return 200, {"rows": rows[:limit], "hasMore": len(rows) > limit, "ver": self.version, "nowMs": now_ms()}
        if path == "/rows-feed":
            return await self.feed(query["table"], int(query["after"]), int(query["waitMs"]) / 1000)
        return 404, {}

    async def transact(self, body):
        key_of = lambda row: (row["table"], row.get("part", ""), row["key"])
        differ = [row for row in body["expectedRev"] if self.rows.get(key_of(row), {}).get("ver", 0) != row["ver"]]
        if differ:
            return 412, {"rows": [self.rows[key_of(r)] for r in differ if key_of(r) in self.rows], "ver": self.version}
        self.version += 1
        for row in body["puts"]:
            self._set(key_of(row), row["value"])
        for row in body["remove"]:
            self._drop(key_of(row))
        self._wake_feeds()
        return 200, {"ver": self.version, "nowMs": now_ms()}

    def resume(self):
        """Writes that wait are done now."""
        self.withheld.clear()
        self.resumed.set()

    @staticmethod
    def table_of(body):
        return (body["puts"] + body["remove"])[0]["table"]

    def is_late(self, instance, body):
        part = (body["puts"] + body["remove"])[0].get("part", "")
        return any(random.Random(f"{fault} {part}").random() < LATE_SHARE for fault in self.late[instance])

    async def transact_late(self, body):
        """Its caller gets no answer."""
        await asyncio.sleep(self.late_random.uniform(*LATE_S))
        await self.transact(body)

    async def feed(self, table, after, wait):
        end = time.monotonic() + wait
        while True:
            if after < self.cut:
                return 410, {}
            history = self.history[table]
            rows = history[bisect.bisect_right(history, after, key=lambda row: row["ver"]):]
            left = end - time.monotonic()
            if rows or left <= 0:
                return 200, {"rows": rows, "ver": self.version, "nowMs": now_ms()}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


class Worker:
    """One machine with its current life. `farm` knows all of them and what jobs really are."""

    def __init__(self, farm, number):
        self.farm, self.name, self.life, self.address = farm, f"w{number}", 0, None
        rack = number // WORKERS_OF_RACK
        self.rack, self.domain = f"r{rack}", f"z{rack % DOMAINS}"
        self.runs, self.ended, self.told = {}, [], 0  # Ends up to `told` were listed in some answer.
        self.up, self.draining, self.slowed, self.refusing = True, False, 0, 0

    async def start(self):
        self.begin_life()
        self.server = await serve(self.handle)
        return port_of(self.server)

    def begin_life(self, same_id=None):
        """It runs and knows nothing of before, and its clock starts anew."""
        for task, run in self.runs.items():
            self.farm.run_gone(task, run)
        for number, task, _, how, _ in self.ended:
            if how == "done" and number > self.told:
                self.farm.done[self.farm.unit_of(task)] -= 1  # Nobody ever learns of it.
        self.life += 1
        self.id, self.draining = same_id or f"{self.name}-{self.life}", False
        self.born, self.clock_from = int(time.time() * 1000), now_ms()
        self.runs, self.closed, self.ended, self.count, self.told, self.fence, self.until = {}, {}, [], 0, 0, 0, 0
        self.ends = asyncio.Event()

    def room(self):
        return 64000, 128000, GPU_OF_WORKER

    def free(self):
        """Of cpu, memMb, gpu; what is being stopped still counts."""
        cpu, mem, gpu = self.room()
        jobs = [self.farm.job_of(task) for task in self.runs]
        return cpu - CPU * len(jobs), mem - MEM_MB * len(jobs), gpu - sum(job.gpu for job in jobs if job)

    def takes_starts(self):
        return self.up and not self.draining and not self.refusing

    def clock_ms(self):
        return now_ms() - self.clock_from

    def row(self):
        cpu, mem, gpu = self.room()
        return {"service": "pool", "address": self.address, "zone": self.domain, "version": "v1", "slots": 8,
                "state": "draining" if self.draining else "ready", "coldLeftMs": 0, "born": self.born,
                "capacity": {"cpu": cpu, "memMb": mem, "gpu": gpu},
                "labels": ["a", self.rack], "seq": 1}

    async def handle(self, method, path, query, headers, body):
        await asyncio.sleep(0.001)
        life = self.life
        answer = await self.answer(path, headers, body) if self.up else None
        if answer is None or life != self.life:
            return None
        return answer[0], dict(answer[1], clockMs=self.clock_ms(), born=self.born)

    async def answer(self, path, headers, body):
        if headers.get("x-expect-instance") != self.id:
            return 421, {}
        if body["fencingToken"] < self.fence:
            return 409, {"reason": "fence"}
        self.fence = body["fencingToken"]
        if path == "/run-start" and self.refusing:
            return 503, {}
        if path == "/run-start":
            return self.run_start(body)
        if path == "/run-stop":
            self.closed[body["task"]] = max(self.closed.get(body["task"], 0), body["runId"])
            run = self.runs.get(body["task"])
            if run and run["run"] <= body["runId"]:
                run["stop_at"] = min(run.get("stop_at", 1e18), time.monotonic() + STOP_S)
            return 200, {}
        if path == "/hold":
            self.extend(body.get("expiresMs", 0))
            for end in self.ended:
                if end[0] <= body["lastSeen"] and end[3] == "done":
                    self.farm.noted.add(self.farm.unit_of(end[1]))
            life, self.ended = self.life, [end for end in self.ended if end[0] > body["lastSeen"]]
            if not self.ended and body.get("waitMs"):
                self.ends.clear()
                try:
                    await asyncio.wait_for(self.ends.wait(), body["waitMs"] / 1000)
                except asyncio.TimeoutError:
                    pass
            if life != self.life:
                return None
            self.told = self.count
            running = [[task, run["run"], "", percent_of(run)] for task, run in self.runs.items()]
            return 200, {"running": running, "ended": self.ended}
        return 404, {}

    def extend(self, until):
        self.until = max(self.until, min(until, self.clock_ms() + LEASE_MAX_MS))

    def run_start(self, body):
        task, number = body["task"], body["runId"]
        if task in self.runs and self.runs[task]["run"] == number:
            return 200, {}
        if self.closed.get(task, 0) >= number or task in self.runs:
            return 409, {"reason": "old"}
        if body["expiresMs"] <= self.clock_ms():
            return 409, {"reason": "late"}
        self.extend(body["expiresMs"])
        self.farm.check_start(self, task, number)
        work = self.farm.work_of(task)
        self.runs[task] = {"run": number, "work": work, "left": work, "since": time.monotonic()}
        self.farm.last_run[task] = None
        return 200, {}

    def work_done(self, passed):
        return passed * (SLOW_SPEED if self.slowed else 1.0)

    def end(self, task, how):
        run = self.runs.pop(task)
        self.closed[task] = max(self.closed.get(task, 0), run["run"])
        self.count += 1
        self.ended.append([self.count, task, run["run"], how, ""])
        self.ends.set()
        if how == "done":
            self.farm.done[self.farm.unit_of(task)] += 1
        self.farm.run_gone(task, run, how)


class Farm:
    """All workers, the truth about jobs, and what went wrong. A unit is what ends `done` as one: a task, or a whole gang."""

    def __init__(self, random):
        self.random, self.workers, self.jobs, self.cancelled, self.wrong = random, [], {}, {}, []
        self.noted, self.done = set(), collections.Counter()  # Units; ends `done` of each that aren't lost with a worker.
        self.last_run = {}                    # Of each task that ever ran: when its last run ended; None while it runs.
        self.broken = set()                   # Runs of gangs of which a member has ended.
        self.on_crash = None                  # What crashes a worker.
        self.crashes, self.starts_after = collections.Counter(), collections.Counter()  # Of tasks that crash workers.

    def job_of(self, task):
        return self.jobs.get(task.split(".")[0])

    def unit_of(self, task):
        job = self.job_of(task)
        return task.rpartition(".")[0] if job and job.kind.gang else task

    def step_is_done(self, job, step):
        return all(self.done[self.unit_of(task)] > 0 for task in job.names(step))

    def may_be_given_up(self, job):
        """Enough workers have crashed under a task of it."""
        return job.kind.crashes_s > 0 and any(self.crashes[task] >= CRASHES for task in job.names(0))

    def work_of(self, task):
        job = self.job_of(task)
        return job.work if job else 1.0

    def check_start(self, worker, task, number):
        job = self.job_of(task)
        what = f"{task} run {number} on {worker.id}"
        if job is None:
            return self.wrong.append(f"nobody asked for {what}")
        job.started = True
        if any(task in other.runs for other in self.workers if other is not worker):
            self.wrong.append(f"runs twice: {what}")
        if self.unit_of(task) in self.noted:
            self.wrong.append(f"done already: {what}")
        cpu, mem, gpu = worker.free()
        if cpu < CPU or mem < MEM_MB or gpu < job.gpu:
            self.wrong.append(f"over capacity: {what}")
        if self.crashes[task] >= CRASHES:
            self.starts_after[task] += 1
            if self.starts_after[task] > STARTS_MORE:
                self.wrong.append(f"{self.crashes[task]} workers have crashed under it: {what}")
        step = int(task.split(".")[2])
        if step and not self.step_is_done(job, step - 1):
            self.wrong.append(f"before the step that it waits for: {what}")
        if time.monotonic() > self.cancelled.get(job.id, 1e18) + 4.0:
            self.wrong.append(f"cancelled long ago: {what}")

    def run_gone(self, task, run, how=None):
        """`how` is None where its worker is gone."""
        self.last_run[task] = time.monotonic()
        job = self.job_of(task)
        if job and job.kind.gang and how != "done":
            self.broken.add((self.unit_of(task), run["run"]))

    async def tick(self):
        """Moves all work on, for ever."""
        last = time.monotonic()
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            passed, last = now - last, now
            gangs = collections.defaultdict(list)
            for worker in self.workers:
                lapsed = bool(worker.runs) and worker.until <= worker.clock_ms()
                for task, run in list(worker.runs.items()):
                    job = self.job_of(task)
                    if lapsed:
                        worker.end(task, "lapsed")
                    elif run.get("stop_at", 1e18) <= now:
                        worker.end(task, "stopped")
                    elif job and 0 < job.kind.crashes_s <= now - run["since"]:
                        self.crashes[task] += 1
                        self.on_crash(worker)
                        break
                    elif job and job.kind.gang:
                        gangs[(self.unit_of(task), run["run"])].append((worker, task, run))
                    else:
                        run["left"] -= worker.work_done(passed)
                        if run["left"] <= 0 and not (job and job.kind.lasting):
                            worker.end(task, "done")
                        elif run["left"] <= 0 and (job.kind.fails or self.random.random() < passed / FAILS_EVERY_S):
                            worker.end(task, "failed")
            for gang, members in gangs.items():
                self.tick_gang(gang, members, passed, now)

    def tick_gang(self, gang, members, passed, now):
        """Its members work only together, and end together."""
        job = self.job_of(members[0][1])
        if gang not in self.broken and len(members) == job.tasks:
            far = job.kind.one_rack and len({worker.rack for worker, _, _ in members}) > 1
            passed = min(worker.work_done(passed) for worker, _, _ in members) / (FAR_FACTOR if far else 1.0)
            for _, _, run in members:
                run["left"] -= passed
            if min(run["left"] for _, _, run in members) <= 0:
                for worker, task, _ in members:
                    worker.end(task, "done")
            return
        for worker, task, run in members:
            if gang in self.broken:
                worker.end(task, "broken")
            elif now - run["since"] > GANG_S:
                worker.end(task, "alone")

    async def machines(self, method, path, query, headers, body):
        return 200, {"machines": [{"machine": w.name, "pool": "pool", "state": "up" if w.up else "down",
                                   "id": w.id if w.up else ""} for w in self.workers],
                     "nextToken": None}
