"""The platform's store, its list of machines, its workers, and instances as processes, on loopback. See
given/kit/more/system/PROTOCOL.md for what they speak; what the cases do to them stands in each case.py."""
import asyncio
import base64
import bisect
import collections
import json
import os
import signal
import subprocess
import tempfile
import time

from http_json import Server, call

BINARY = os.path.join(os.path.dirname(__file__), "..", "..", "target", "bin", "hickoryquay-node")
TERMS = ("[terms]\nlongest_lease = 10000ms\nstop_timeout = 200ms\nrestore = 100ms\nkeep_ended = 120s\n"
         "remote_factor = 3\n")
LATER_TERMS = "reclaim = 2700ms\ncancel = 3000ms\ndrain = 2000ms\n"  # Not known to builds of early December.
LEASE_MAX_MS, STOP_S, BEAT_S = 10000, 0.2, 1.5  # maxHoldMs, stopTimeoutMs, heartbeatMs.


class Record:
    """What was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self.file, self.began = open(path, "w"), time.monotonic()

    def note(self, text):
        self.file.write(f"{time.monotonic() - self.began:8.3f} {text}\n")
        self.file.flush()


def now_ms():
    return int(time.monotonic() * 1000)


class Store:
    def __init__(self):
        self.rows, self.version, self.changed = {}, 1, asyncio.Event()
        self.history, self.ports = collections.defaultdict(list), {}
        self.on_call = None  # (instance, path, body) -> None: as usual; ("late", s): done after s, not answered.

    async def start(self, instance):
        server = Server(lambda method, path, query, headers, body: self.handle(instance, path, query, body))
        self.ports[instance] = server
        return await server.start()

    async def handle(self, instance, path, query, body):
        await asyncio.sleep(0.004)
        if path == "/rows-tx":
            trouble = self.on_call(instance, path, body) if self.on_call else None
            if trouble:
                asyncio.get_running_loop().call_later(trouble[1], self.transact, body)
                return None
            return self.transact(body)
        if path == "/rows-get":
            rows = sorted((row for key, row in self.rows.items() if key[0] == query["table"] and key[1] == query["part"]
                           and key[2] >= query.get("from", "") and (not query.get("to") or key[2] < query["to"])),
                          key=lambda row: row["key"].encode())
            limit = min(500, int(query.get("limit", 500)))
            return 200, {"rows": rows[:limit], "hasMore": len(rows) > limit, "ver": self.version, "nowMs": now_ms()}
        if path == "/rows-feed":
            return await self.feed(query["table"], int(query["after"]), int(query["waitMs"]) / 1000)
        return 404, {}

    def transact(self, body):
        key_of = lambda row: (row["table"], row.get("part", ""), row["key"])
        differ = [row for row in body["expectedRev"] if self.rows.get(key_of(row), {}).get("ver", 0) != row["ver"]]
        if differ:
            return 412, {"rows": [self.rows[key_of(r)] for r in differ if key_of(r) in self.rows], "ver": self.version}
        self.version += 1
        for row in body["puts"]:
            self._set(key_of(row), row["value"])
        for row in body["remove"]:
            if self.rows.pop(key_of(row), None) is not None:
                self.history[row["table"]].append({"table": row["table"], "part": row.get("part", ""),
                                                   "key": row["key"], "ver": self.version, "removed": True})
        self._wake()
        return 200, {"ver": self.version, "nowMs": now_ms()}

    def put(self, table, key, value):
        """By the operator or a worker."""
        self.version += 1
        self._set((table, "", key), base64.b64encode(json.dumps(value).encode()).decode())
        self._wake()

    def remove(self, table, key):
        self.version += 1
        if self.rows.pop((table, "", key), None) is not None:
            self.history[table].append({"table": table, "part": "", "key": key, "ver": self.version, "removed": True})
        self._wake()

    def _set(self, key, value):
        self.rows[key] = {"table": key[0], "part": key[1], "key": key[2], "value": value, "ver": self.version}
        self.history[key[0]].append(self.rows[key])

    def _wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    async def feed(self, table, after, wait):
        end = time.monotonic() + wait
        while True:
            history = self.history[table]
            rows = history[bisect.bisect_right(history, after, key=lambda row: row["ver"]):][:500]
            left = end - time.monotonic()
            if rows or left <= 0:
                return 200, {"rows": rows, "ver": rows[-1]["ver"] if len(rows) == 500 else self.version, "nowMs": now_ms()}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


class Worker:
    """One worker. Its tasks take `work_s(task)` seconds and end `done`."""

    def __init__(self, world, name, zone, rack):
        self.world, self.id, self.zone, self.rack = world, name, zone, rack
        self.state, self.up = "ready", True
        self.begin_life()

    async def start(self):
        self.server = Server(self.handle)
        self.address = f"127.0.0.1:{await self.server.start()}"
        self.write_row()

    def write_row(self):
        self.world.store.put("servers", self.id, {
            "service": "pool", "address": self.address, "zone": self.zone, "version": "v1", "slots": 8,
            "state": self.state, "coldLeftMs": 0, "born": self.born, "seq": 1, "labels": ["a", self.rack],
            "capacity": {"cpu": 64000, "memMb": 131072, "gpu": 8}})

    def clock_ms(self):
        return now_ms() - self.clock_from

    def begin_life(self):
        """It runs and knows nothing of before, and its clock starts anew."""
        self.born, self.clock_from = int(time.time() * 1000), now_ms()
        self.runs, self.closed, self.ended, self.count, self.fence, self.until = {}, {}, [], 0, 0, 0
        self.news = asyncio.Event()

    async def crash(self, down_s):
        """It is back after that, under its id. Its row goes after three heartbeat intervals of silence."""
        self.server.stop()
        self.up, self.runs = False, {}
        silence = 3 * BEAT_S
        await asyncio.sleep(min(down_s, silence))
        if down_s > silence:
            self.world.store.remove("servers", self.id)
            await asyncio.sleep(down_s - silence)
        self.up = True
        self.begin_life()
        await self.server.start(self.server.port)
        self.write_row()
        self.world.record.note(f"{self.id} is back")

    async def handle(self, method, path, query, headers, body):
        await asyncio.sleep(0.001)
        born = self.born
        status, answer = await self.answer(path, headers, body)
        return (status, dict(answer, clockMs=self.clock_ms(), born=born)) if born == self.born else None

    async def answer(self, path, headers, body):
        if headers.get("x-expect-instance", self.id) != self.id:
            return 421, {}
        if body["fencingToken"] < self.fence:
            return 409, {"reason": "fence"}
        self.fence = body["fencingToken"]
        status, answer = 404, {}
        if path == "/run-start":
            status, answer = self.run_start(body)
        elif path == "/run-stop":
            self.closed[body["task"]] = max(self.closed.get(body["task"], 0), body["runId"])
            run = self.runs.get(body["task"])
            if run and run["run"] <= body["runId"]:
                run["stop_at"] = min(run.get("stop_at", 1e18), time.monotonic() + STOP_S)
            status = 200
        elif path == "/hold":
            self.extend(body.get("expiresMs", 0))
            self.world.noted.update(end[1] for end in self.ended if end[0] <= body["lastSeen"] and end[3] == "done")
            self.ended = [end for end in self.ended if end[0] > body["lastSeen"]]
            if not self.ended and body.get("waitMs"):
                self.news.clear()
                try:
                    await asyncio.wait_for(self.news.wait(), body["waitMs"] / 1000)
                except asyncio.TimeoutError:
                    pass
            running = [[task, run["run"], "", run["percent"]] for task, run in self.runs.items()]
            status, answer = 200, {"running": running, "ended": self.ended[:500]}
        return status, answer

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
        work = self.world.work_s(task)
        crash = self.world.crash_s(task)
        self.runs[task] = {"run": number, "end_at": time.monotonic() + work, "work": work, "percent": 0,
                           "crash_at": time.monotonic() + crash if crash else 1e18}
        self.world.started(self, task, number)
        return 200, {}

    def tick(self, now):
        lapsed = bool(self.runs) and self.until <= self.clock_ms()
        for task, run in list(self.runs.items()):
            if run["crash_at"] <= now:
                return self.world.crashed(self, task, run["run"])
            run["percent"] = max(0, min(100, int(100 - 100 * (run["end_at"] - now) / run["work"])))
            how = "lapsed" if lapsed else "stopped" if run.get("stop_at", 1e18) <= now else \
                "done" if run["end_at"] <= now else None
            if how:
                self.runs.pop(task)
                self.closed[task] = max(self.closed.get(task, 0), run["run"])
                self.count += 1
                self.ended.append([self.count, task, run["run"], how, ""])
                self.news.set()
                self.world.ended(self, task, run["run"], how)


class World:
    def __init__(self, folder, instances=3, workers=6, zones=3):
        self.record = Record(os.path.join(folder, "record.txt"))
        self.temporary = tempfile.TemporaryDirectory(prefix="hq-review-")
        self.store, self.processes = Store(), {}
        self.instances, self.zones = instances, zones
        self.workers = [Worker(self, f"w{i}", f"z{i % zones}", f"r{i % zones}") for i in range(workers)]
        self.starts, self.ends, self.host = [], [], {}  # (time, task, run, worker)
        self.noted = set()                              # Tasks with an end `done` that lastSeen has reached.
        self.work, self.crashers = {}, {}               # Seconds of a job's tasks, and until they crash their workers.
        self.text, self.begin_earlier, self.earlier_binary = {}, set(), None
        self.crashes, self.down_s, self.tasks = collections.Counter(), 2.0, []

    def work_s(self, task):
        return self.work.get(task.split(".")[0], 1.0)

    def crash_s(self, task):
        """After so long it crashes its worker; None: it does not."""
        return self.crashers.get(task.split(".")[0])

    def crashed(self, worker, task, number):
        self.crashes[task] += 1
        self.record.note(f"{worker.id} crashes under {task} run {number}, the {self.crashes[task]}. crash under it")
        self.tasks.append(asyncio.create_task(worker.crash(self.down_s)))

    def started(self, worker, task, number):
        self.starts.append((time.monotonic(), task, number, worker.id))
        self.record.note(f"{worker.id} starts {task} run {number}")

    def ended(self, worker, task, number, how):
        self.ends.append((time.monotonic(), task, number, how))
        self.record.note(f"{worker.id} ends {task} run {number} {how}")

    def callers(self, i):
        return self.host[i], 7001

    async def tick(self):
        while True:
            await asyncio.sleep(0.02)
            for worker in self.workers:
                worker.tick(time.monotonic())

    async def machines(self, method, path, query, headers, body):
        return 200, {"machines": [{"machine": f"m-{w.id}", "pool": "pool", "zone": w.zone, "labels": ["a", w.rack],
                                   "state": "up" if w.up else "down", "id": w.id if w.up else ""}
                                  for w in self.workers], "nextToken": None}

    def manifest(self, version, routes):
        self.version = version
        self.store.put("op", "config", {
            "version": version, "limits": {}, "services": [{"name": "pool"}],
            "routes": [{"name": name, "host": "case.example", "pathPrefix": f"/{name}/", "service": "pool",
                        "priority": 1, "maxAttempts": 3, "stretch": 3.0, "latencySloMs": 1000} for name in routes],
            "tenants": [{"name": "t", "apiKeys": ["key"], "guaranteed": {"gpu": 0}}]})
        self.record.note(f"the operator's manifest {version} with routes {', '.join(routes)} is acknowledged")

    async def start(self):
        for worker in self.workers:
            await worker.start()
        self.ticker = asyncio.create_task(self.tick())
        self.machine_server = Server(self.machines)
        machines = await self.machine_server.start()
        pid = os.getpid()
        for i in range(self.instances):  # Loopback addresses of this process's own, so that fixed ports are free.
            self.host[i] = f"127.{1 + (pid >> 8) % 254}.{pid % 256}.{1 + i}"
        seeds = ", ".join(f"{self.host[i]}:7003" for i in range(self.instances))
        for i in range(self.instances):
            port = await self.store.start(i)
            host = self.host[i]
            self.text[i] = (f"[node]\nname = node-{i}\ndomain = z{i % self.zones}\ncallers = {host}:7001\n"
                            f"ready = {host}:7002\ninner = {host}:7003\nmetrics = {host}:7004\nseeds = {seeds}\n"
                            f"grace = 6s\n[store]\naddress = 127.0.0.1:{port}\n"
                            f"[capacity]\nprocessor_share = 0.25\nlink_mbit_s = 1000\n"
                            f"[machines]\naddress = 127.0.0.1:{machines}\n[log]\nform = json\nrepeats = 1000\n")
            self.launch(i)

    def settings(self, i):
        return os.path.join(self.temporary.name, f"node-{i}.ini")

    def launch(self, i, earlier=False):
        """Of the present build, or of that which the case names as the earlier one, each with its own settings."""
        earlier = earlier or i in self.begin_earlier
        with open(self.settings(i), "w") as file:
            file.write(self.text[i] + TERMS + ("" if earlier else LATER_TERMS))
        binary = self.earlier_binary if earlier else BINARY
        log = open(os.path.join(self.temporary.name, f"node-{i}.log"), "ab")
        self.processes[i] = subprocess.Popen([binary, "--settings", self.settings(i)], stdout=log, stderr=log)
        log.close()
        self.record.note(f"instance {i} starts, {'earlier' if earlier else 'present'} build")

    def log(self, i):
        """Lines that instance i has written."""
        with open(os.path.join(self.temporary.name, f"node-{i}.log"), encoding="utf-8", errors="replace") as file:
            return [json.loads(line) for line in file if line.startswith("{")]

    async def until_ready(self):
        """All instances are ready and one leads."""
        end = time.monotonic() + 20
        while time.monotonic() < end:
            ready = [await call((self.host[i], 7002), "GET", "/readiness") for i in range(self.instances)]
            leads = any(line["text"] == "Tables are loaded" for i in range(self.instances) for line in self.log(i))
            if leads and all(status == 200 for status, _ in ready):
                return True
            await asyncio.sleep(0.2)
        return False

    async def ask(self, i, method, target, body=None, deadline_ms=3000):
        headers = {"Host": "case.example", "Authorization": "Token key", "X-Deadline-Ms": str(deadline_ms)}
        status, answer = await call(self.callers(i), method, target, body, headers, deadline_ms / 1000)
        self.record.note(f"instance {i} answers {method} {target}: {status or 'nothing'} {json.dumps(answer)}")
        return status, answer

    def stop(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGKILL)
                process.wait()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            os.system(f"cp {self.temporary.name}/*.log {keep}")
        self.temporary.cleanup()


async def play(case, folder, **shape):
    """Runs case(world) and returns its exit code: 1 broken, 0 held, 2 could not run."""
    world = World(folder, **shape)
    loop, task = asyncio.get_running_loop(), asyncio.current_task()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, task.cancel)
    try:
        if not os.path.exists(BINARY):
            world.record.note("the build of the deploy file is missing")
            return 2
        return await case(world, os.environ.get("TROUBLE", "1") != "0")
    except (OSError, asyncio.CancelledError) as error:
        world.record.note(f"could not run: {error!r}")
        return 2
    finally:
        world.stop()
