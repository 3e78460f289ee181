"""A small deployment on loopback: stand-ins of the platform (store, list of machines, starts of processes) and of workers,
and instances of hickoryquay-node as processes. The stand-ins do what PROTOCOL.md and DEPLOY.md say, and nothing more."""
import asyncio
import base64
import bisect
import collections
import json
import os
import re
import resource
import shutil
import signal
import sys
import tempfile
import time

from wire import call, serve

REPOSITORY = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
BINARY = os.path.join(REPOSITORY, "target", "bin", "hickoryquay-node")  # `run` of deploy/system.toml.
TEMPLATE = os.path.join(REPOSITORY, "deploy", "node.ini")
CALLERS, READY, INNER, METRICS = 8521, 8523, 8526, 7000
HOST, PREFIX, KEY = "jobs.example", "/q/", "key-of-the-tenant"
RESTART_S = 0.3          # After which the platform starts a process that has ended.
HISTORY_S = 20.0         # `retentionS`.
BOUNDS = {"graceS": 6, "maxHoldMs": 10000, "stopTimeoutMs": 200, "reclaimMs": 2700, "restoreMs": 100, "status_s": 120,
          "cancel_ms": 3000, "drainMs": 2000, "remoteFactor": 3}  # Of a small deployment, trentmere-sched.
LIMITS = {"cpuShare": 0.25, "linkMbps": 1000.0, "memoryMb": 260, "maxFds": 4100}


def headers(tenant=0):
    return {"Host": HOST, "Authorization": f"Token {KEY}-{tenant}", "X-Deadline-Ms": "3000"}


def now_ms():
    return int(time.monotonic() * 1000)


class Record:
    """Writes record.txt: what was sent, answered and run, with seconds since the start."""

    def __init__(self, directory):
        self.file = open(os.path.join(directory, "record.txt"), "w")
        self.start = time.monotonic()

    def at(self):
        return time.monotonic() - self.start

    def __call__(self, text):
        self.file.write(f"{self.at():8.3f} {text}\n")
        self.file.flush()


class Store:
    """The platform's store. Tables have parts; a part that is away answers nothing and does nothing."""

    def __init__(self, record):
        self.record = record
        self.rows, self.version, self.changed = {}, 1, asyncio.Event()
        self.history, self.cut = collections.defaultdict(list), 0  # Of each table, by version; the last one that is gone.
        self.away, self.back = set(), asyncio.Event()  # (table, part); set whenever one is back.

    def discard_history(self):
        self.history.clear()
        self.cut = self.version

    def take_away(self, table, part):
        self.away.add((table, part))

    def give_back(self):
        self.away.clear()
        self.back.set()
        self.back = asyncio.Event()

    def _set(self, key, value):
        self.rows[key] = {"table": key[0], "part": key[1], "key": key[2], "value": value, "ver": self.version}
        self.history[key[0]].append((time.monotonic(), self.rows[key]))

    def _drop(self, key):
        if self.rows.pop(key, None) is not None:
            gone = {"table": key[0], "part": key[1], "key": key[2], "ver": self.version, "removed": True}
            self.history[key[0]].append((time.monotonic(), gone))

    def _wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, table, key, value):
        """By the operator or a worker."""
        self.version += 1
        self._set((table, "", key), base64.b64encode(json.dumps(value).encode()).decode())
        self._wake()

    def remove(self, table, key):
        self.version += 1
        self._drop((table, "", key))
        self._wake()

    async def handle(self, method, path, query, headers, body):
        await asyncio.sleep(0.004)
        if path == "/rows-tx":
            rows = body["expectedRev"] + body["puts"] + body["remove"]
            places = {(row["table"], row.get("part", "")) for row in rows}
            assert len({part for _, part in places}) == 1 and len(rows) <= 100, "a transaction over several parts"
            if places & self.away:
                return await self.silence()
            return self.transact(body)
        if path == "/rows-get":
            place = (query["table"], query.get("part", ""))
            if place in self.away:
                return await self.silence()
            rows = sorted((row for key, row in self.rows.items() if key[:2] == place and key[2] >= query.get("from", "")
                           and (not query.get("to") or key[2] < query["to"])), key=lambda row: row["key"])
            limit = min(500, int(query.get("limit", 500)))
            return 200, {"rows": rows[:limit], "hasMore": len(rows) > limit, "ver": self.version, "nowMs": now_ms()}
        if path == "/rows-feed":
            return await self.feed(query["table"], int(query["after"]), int(query["waitMs"]) / 1000)
        return 404, {}

    async def silence(self):
        """The call is not done, and its connection delivers nothing further."""
        await asyncio.sleep(30.0)
        return None

    def transact(self, body):
        key_of = lambda row: (row["table"], row.get("part", ""), row["key"])
        differ = [row for row in body["expectedRev"] if self.rows.get(key_of(row), {}).get("ver", 0) != row["ver"]]
        if differ:
            return 412, {"rows": [self.rows[key_of(r)] for r in differ if key_of(r) in self.rows], "ver": self.version,
                         "nowMs": now_ms()}
        self.version += 1
        for row in body["puts"]:
            assert len(base64.b64decode(row["value"])) <= 65536, "a row over rowBytes"
            self._set(key_of(row), row["value"])
        for row in body["remove"]:
            self._drop(key_of(row))
        self._wake()
        return 200, {"ver": self.version, "nowMs": now_ms()}

    async def feed(self, table, after, wait):
        end = time.monotonic() + min(wait, 30.0)
        while True:
            history = self.history[table]
            while history and time.monotonic() - history[0][0] > HISTORY_S:
                self.cut = max(self.cut, history.pop(0)[1]["ver"])
            if after < self.cut:
                return 410, {"ver": self.version, "nowMs": now_ms()}
            rows = [row for _, row in history[bisect.bisect_right(history, after, key=lambda entry: entry[1]["ver"]):]]
            left = end - time.monotonic()
            if rows or left <= 0:
                rows = rows[:500]
                return 200, {"rows": rows, "ver": rows[-1]["ver"] if len(rows) == 500 else self.version,
                             "nowMs": now_ms()}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


class Worker:
    """One worker. `work_ms` in the spec of a job says how long its tasks take."""

    def __init__(self, world, number):
        self.world, self.number, self.life = world, number, 0
        self.name, self.zone, self.rack = f"machine-{number}", world.zones[number % len(world.zones)], f"r{number // 4}"
        self.up = True
        self.begin_life()

    def begin_life(self, same_id=False):
        if not same_id:
            self.life += 1
        self.id = f"i-{self.number:04}{self.life:04}"
        self.born, self.zero = int(time.time() * 1000), now_ms()
        self.runs, self.closed, self.ended, self.count, self.fence, self.until = {}, {}, [], 0, 0, 0
        self.ends = asyncio.Event()

    async def start(self):
        self.writers = set()
        self.server, port = await serve(self.handle, self.world.host(200), self.writers)
        self.address = f"{self.world.host(200)}:{port}"

    def stop(self):
        """The process ends, and its connections with it."""
        self.up, self.runs = False, {}
        self.server.close()
        for writer in list(self.writers):
            writer.close()

    def row(self, state="ready"):
        return {"service": "pool", "address": self.address, "zone": self.zone, "version": "v1", "slots": 8,
                "state": state, "coldLeftMs": 0, "seq": 1, "born": self.born,
                "capacity": {"cpu": 32000, "memMb": 65536, "gpu": 8}, "labels": ["a", self.rack]}

    def clock(self):
        return now_ms() - self.zero

    async def handle(self, method, path, query, headers, body):
        await asyncio.sleep(0.001)
        life = (self.life, self.born)
        if not self.up:
            return None
        answer = await self.answer(path, headers, body)
        if answer is None or not self.up or life != (self.life, self.born):
            return None
        return answer[0], dict(answer[1], clockMs=self.clock(), born=self.born)

    async def answer(self, path, headers, body):
        if headers.get("x-expect-instance", self.id) != self.id:
            return 421, {}
        if body.get("fencingToken", 0) < self.fence:
            return 409, {"reason": "fence"}
        self.fence = body.get("fencingToken", 0)
        if path == "/run-start":
            return await self.world.on_start(self, body)
        if path == "/run-stop":
            task = body["task"]
            self.closed[task] = max(self.closed.get(task, 0), body["runId"])
            run = self.runs.get(task)
            if run and run["run"] <= body["runId"]:
                run["stop_at"] = min(run.get("stop_at", 1e18), time.monotonic() + 0.05)
            return 200, {}
        if path == "/hold":
            return await self.hold(body)
        return 404, {}

    async def hold(self, body):
        self.extend(body.get("expiresMs", 0))
        for number, task, run, how, _ in self.ended:
            if number <= body["lastSeen"]:
                self.world.on_noted(self, task, run, how)
        self.ended = [end for end in self.ended if end[0] > body["lastSeen"]]
        if not self.ended and body.get("waitMs"):
            self.ends.clear()
            try:
                await asyncio.wait_for(self.ends.wait(), min(2.0, body["waitMs"] / 1000))
            except asyncio.TimeoutError:
                pass
        running = [[task, run["run"], "", min(100, int(100 * run["worked"] / run["work"]))] for task, run in self.runs.items()]
        return 200, {"running": running, "ended": self.ended[:500]}

    def extend(self, until):
        self.until = max(self.until, min(until, self.clock() + BOUNDS["maxHoldMs"]))

    def start_run(self, body):
        task, number = body["task"], body["runId"]
        if task in self.runs and self.runs[task]["run"] == number:
            self.extend(body["expiresMs"])
            return 200, {}
        if self.closed.get(task, 0) >= number or task in self.runs:
            self.extend(body["expiresMs"])
            return 409, {"reason": "old"}
        if body["expiresMs"] <= self.clock():
            return 409, {"reason": "late"}
        self.extend(body["expiresMs"])
        self.runs[task] = {"run": number, "work": float(re.search(r"work_ms=(\d+)", body["spec"]).group(1)) / 1000,
                           "worked": 0.0}
        self.world.on_begun(self, task, number)
        return 200, {}

    def end(self, task, how):
        run = self.runs.pop(task)
        self.closed[task] = max(self.closed.get(task, 0), run["run"])
        self.count += 1
        self.ended.append([self.count, task, run["run"], how, ""])
        self.ends.set()
        self.world.on_ended(self, task, run["run"], how)

    def tick(self, passed, now):
        lapsed = self.clock() >= self.until
        for task, run in list(self.runs.items()):
            if lapsed:
                self.end(task, "lapsed")
            elif run.get("stop_at", 1e18) <= now:
                self.end(task, "stopped")
            else:
                run["worked"] += passed
                if run["worked"] >= run["work"]:
                    self.end(task, "done")


def render(template, fields):
    """The platform's fill-in of a template: values, sections, and sections of what is not there."""

    def find(name, scope):
        if name == ".":
            return scope[-1]
        for level in reversed(scope):
            value = level
            for part in name.split("."):
                value = value[int(part)] if isinstance(value, list) else value.get(part) if isinstance(value, dict) else None
                if value is None:
                    break
            if value is not None:
                return value
        return None

    def fill(text, scope):
        def section(match):
            value = find(match.group(2), scope)
            if match.group(1) == "^":
                return fill(match.group(3), scope) if not value else ""
            if value is None or value is False:
                return ""
            return "".join(fill(match.group(3), scope + [one]) for one in (value if isinstance(value, list) else [value]))

        text = re.sub(r"\{\{([#^])([^}]+)\}\}(.*?)\{\{/\2\}\}", section, text, flags=re.S)

        def value_of(match):
            value = find(match.group(1), scope)
            return "" if value is None else ",".join(map(str, value)) if isinstance(value, list) else str(value)

        return re.sub(r"\{\{([^}#^/]+)\}\}", value_of, text)

    return fill(template, [fields])


class Instance:
    """A process of the role, started again by the platform whenever it has ended."""

    def __init__(self, world, index):
        self.world, self.index, self.process, self.peak_mb = world, index, None, 0.0
        self.gone = False  # Removed for good: not started again.
        self.host = world.host(1 + index)
        self.limits = {**LIMITS, **(world.limits[index] if index < len(world.limits) else {})}
        self.callers = (self.host, CALLERS)
        self.name = f"front-{world.zones[index % len(world.zones)]}-{index}"
        self.ends = []  # (seconds, why)
        self.log = open(os.path.join(world.directory, f"{self.name}.log"), "wb")

    def write_settings(self):
        self.settings = os.path.join(self.world.directory, f"{self.name}.ini")
        seeds = [f"{self.world.host(1 + i)}:{INNER}" for i in range(min(3, self.world.instance_count))]
        fields = {"node": self.name, "zone": self.world.zones[self.index % len(self.world.zones)], "ip": self.host,
                  "portRange": [METRICS, METRICS + 15], "seeds": seeds,
                  "listen": {"front": f"{self.host}:{CALLERS}", "ready": f"{self.host}:{READY}",
                             "control": f"{self.host}:{INNER}"},
                  "limits": self.limits, "bounds": BOUNDS, "platform": {"address": self.world.store_address, "rowBytes": 65536},
                  "cloudApi": {"address": self.world.machines_address}}
        with open(TEMPLATE) as template, open(self.settings, "w") as file:
            file.write(render(template.read(), fields))

    async def launch(self):
        """The platform lets the process have maxFds descriptors."""
        most = min(self.limits["maxFds"], resource.getrlimit(resource.RLIMIT_NOFILE)[1])
        limit = lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (most, most))
        self.process = await asyncio.create_subprocess_exec(BINARY, "--settings", self.settings, cwd=REPOSITORY,
                                                            stdout=self.log, stderr=self.log, preexec_fn=limit)

    def descriptors(self):
        try:
            return len(os.listdir(f"/proc/{self.process.pid}/fd"))
        except OSError:
            return 0

    async def keep(self):
        while not self.world.over:
            await self.process.wait()
            if self.world.over:
                return
            if self.gone:
                return
            why = f"exit code {self.process.returncode}"
            self.ends.append((self.world.record.at(), why))
            self.world.record(f"platform: {self.name} has ended ({why}, at most {self.peak_mb:.0f} MB), starts again")
            await asyncio.sleep(RESTART_S)
            self.peak_mb = 0.0
            await self.launch()

    async def watch_memory(self):
        """As the platform does: a process that exceeds memoryMb is killed."""
        while not self.world.over:
            await asyncio.sleep(0.05)
            process = self.process
            if process is None or process.returncode is not None:
                continue
            try:
                with open(f"/proc/{process.pid}/statm") as file:
                    used = int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 2 ** 20
            except (OSError, IndexError):
                continue
            self.peak_mb = max(self.peak_mb, used)
            if used > self.limits["memoryMb"]:
                self.world.record(f"platform: {self.name} holds {used:.0f} MB of {self.limits['memoryMb']}, is killed")
                self.kill(signal.SIGKILL)
                await asyncio.sleep(0.2)

    def kill(self, number):
        if self.process is not None and self.process.returncode is None:
            try:
                os.kill(self.process.pid, number)
            except ProcessLookupError:
                pass


class World:
    zones = ["leicester-hall", "derby-hall", "nottingham-hall"]

    def __init__(self, directory, instances=3, workers=6, limits=(), tenants=4):
        self.case_directory, self.record = directory, Record(directory)
        self.directory = tempfile.mkdtemp(prefix="hq-review-")
        self.instance_count, self.worker_count, self.over = instances, workers, False
        self.limits, self.tenants = limits, tenants  # `limits`: of single machines, where they differ from LIMITS.
        self.store = Store(self.record)
        self.starts = collections.defaultdict(list)  # By task: (seconds, run, worker).
        self.ends = collections.defaultdict(list)    # By task: (seconds, run, how).
        self.noted = collections.defaultdict(list)   # By task: (seconds, run, how) of ends that were taken note of.
        self.accepted, self.tasks = {}, {}           # By job: seconds, and how many tasks it has.
        self.done = collections.Counter()            # By job: tasks that have ended `done`.
        self.background = []
        self.brief = False  # Where much runs: what workers do is counted, not written down one by one.
        self.counts = collections.Counter()

    def host(self, number):
        """A loopback address of this process's own, so that fixed ports are free."""
        pid = os.getpid()
        return f"127.{1 + (pid >> 8) % 254}.{pid % 256}.{number}"

    async def begin(self):
        server, port = await serve(self.store.handle, self.host(201))
        self.store_address = f"{self.host(201)}:{port}"
        machines, port = await serve(self.machines, self.host(202))
        self.machines_address = f"{self.host(202)}:{port}"
        self.servers = [server, machines]
        self.store.put("op", "config", self.manifest())
        self.workers = [Worker(self, number) for number in range(self.worker_count)]
        for worker in self.workers:
            await worker.start()
            self.store.put("servers", worker.id, worker.row())
        self.instances = [Instance(self, index) for index in range(self.instance_count)]
        self.background.append(asyncio.ensure_future(self.tick()))
        for instance in self.instances:
            instance.write_settings()
            await instance.launch()
            self.background += [asyncio.ensure_future(instance.keep()), asyncio.ensure_future(instance.watch_memory())]
        for instance in self.instances:
            while (await call((instance.host, READY), "GET", "/readiness", timeout=1.0))[0] != 200:
                await asyncio.sleep(0.1)
        await asyncio.sleep(3.0)  # The first leader, and its first look at the workers.
        self.record(f"all {self.instance_count} instances are ready, {self.worker_count} workers")

    def manifest(self):
        return {"version": 1,
                "routes": [{"name": "queue", "host": HOST, "pathPrefix": PREFIX, "service": "pool", "priority": 1,
                            "maxAttempts": 3, "stretch": 2.0, "latencySloMs": 500}],
                "services": [{"name": "pool"}], "limits": {"maxBodyBytes": 262144},
                "tenants": [{"name": f"tenant-{n}", "apiKeys": [f"{KEY}-{n}"], "guaranteed": {"gpu": 8}} for n in range(self.tenants)]}

    async def machines(self, method, path, query, headers, body):
        return 200, {"machines": [{"machine": w.name, "pool": "pool", "state": "up" if w.up else "down", "zone": w.zone,
                                   "labels": ["a", w.rack], "capacity": w.row()["capacity"], "id": w.id if w.up else ""}
                                  for w in self.workers]}

    async def tick(self):
        last = time.monotonic()
        while not self.over:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            for worker in self.workers:
                worker.tick(now - last, now)
            last = now

    async def end(self):
        self.over = True
        for instance in getattr(self, "instances", []):
            instance.kill(signal.SIGCONT)
            instance.kill(signal.SIGKILL)
        for instance in getattr(self, "instances", []):
            if instance.process is not None:
                await instance.process.wait()
        for task in self.background:
            task.cancel()
        if os.environ.get("KEEP_LOGS"):
            print("logs:", self.directory)
        else:
            shutil.rmtree(self.directory, ignore_errors=True)

    # What workers do.

    def note(self, what, text):
        self.counts[what] += 1
        if not self.brief:
            self.record(text)

    async def on_start(self, worker, body):
        return worker.start_run(body)

    def on_begun(self, worker, task, run):
        self.starts[task].append((self.record.at(), run, worker.id))
        self.note("begun", f"worker {worker.id}: {task} run {run} begins")

    def on_ended(self, worker, task, run, how):
        if how == "done" and not any(earlier[2] == "done" for earlier in self.ends[task]):
            self.done[task.split(".")[0]] += 1
        self.ends[task].append((self.record.at(), run, how))
        self.note(f"ended {how}", f"worker {worker.id}: {task} run {run} has ended {how}")

    def on_noted(self, worker, task, run, how):
        self.noted[task].append((self.record.at(), run, how))
        self.note("noted", f"worker {worker.id}: end of {task} run {run} ({how}) is taken note of")

    # What clients do.

    async def submit(self, job, body, instance=0, quiet=False, tenant=0):
        """As a client does: again with the same id at another instance where there was no answer, 502 or 504."""
        status = 0
        self.tasks[job] = max(1, body.get("repeatCount", 0)) * sum(step["count"] for step in body["steps"])
        for attempt in range(5):
            target = self.instances[(instance + attempt) % len(self.instances)]
            status, answer = await call(target.callers, "POST", PREFIX + job, body, headers(tenant))
            if not quiet:
                self.record(f"client: POST {job} at {target.name}: {status} {json.dumps(answer)[:200]}")
            if status == 200:
                self.accepted[job] = self.record.at()
            if status not in (0, 502, 504):
                break
        return status

    async def state(self, job, instance=0, quiet=False, tenant=0):
        target = self.instances[instance % len(self.instances)]
        status, answer = await call(target.callers, "GET", PREFIX + job, None, headers(tenant))
        if not quiet:
            self.record(f"client: GET {job} at {target.name}: {status} {json.dumps(answer)[:200]}")
        return status, (answer or {}).get("state")


async def idle_jobs(world, seconds, idle_s=3.0):
    """LOST: jobs that have something to run and nothing running for idle_s, while under half of the service's capacity is
    in use; each task of them takes one of the accelerators, so there is capacity for it twice over."""
    since, lost, until = {}, set(), time.monotonic() + seconds
    room = 8 * len(world.workers)
    while time.monotonic() < until:
        await asyncio.sleep(0.1)
        now = time.monotonic()
        running = {task.split(".")[0] for worker in world.workers for task in worker.runs}
        used = sum(len(worker.runs) for worker in world.workers)
        for job in world.accepted:
            if job in running or 2 * used >= room or world.done[job] >= world.tasks[job]:
                since.pop(job, None)
            elif now - since.setdefault(job, now) >= idle_s:
                lost.add(job)
    return lost


def job_of(tasks=1, work_ms=2000, **fields):
    """`fields` go into the job where they are fields of a job, into its only step otherwise."""
    of_job = {name: fields.pop(name) for name in ("repeatCount", "startAtMs", "intervalMs") if name in fields}
    step = {"count": tasks, "cpu": 1000, "memMb": 1000, "gpu": 1, "estimateMs": work_ms, **fields}
    return {"spec": f"work_ms={work_ms}", "steps": [step], **of_job}


def run_case(case, directory, **world):
    """case(world, trouble) -> True where the rule held. Exit code 0: it held, 1: it was broken, 2: could not run."""
    if not os.path.exists(BINARY):
        print("build first: the build line of deploy/system.toml")
        sys.exit(2)

    # Of this process alone, and no more than it may have: the stand-ins of many workers hold many connections.
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (max(soft, min(hard, 8192)), hard))

    async def run():
        place = World(directory, **world)
        trouble = os.environ.get("TROUBLE", "1") != "0"
        try:
            await asyncio.wait_for(place.begin(), 30.0)
            held = await asyncio.wait_for(case(place, trouble), 85.0)
            place.record("the rule held" if held else "the rule was broken")
            return 0 if held else 1
        except Exception as error:  # Whatever kept the case from running to its end.
            place.record(f"could not run: {error!r}")
            return 2
        finally:
            await place.end()

    code = asyncio.run(run())
    print({0: "held", 1: "broken", 2: "could not run"}[code])
    sys.exit(code)
