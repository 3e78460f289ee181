"""Stand-ins of the users' platform, written from their PROTOCOL.md and DEPLOY.md: the store, the list of machines and
workers; and the project's own instances as processes, started with the settings that deploy/node.ini gives them.

All of it is sound unless a script asks for the disturbance that it is about."""
import asyncio
import base64
import bisect
import json
import os
import re
import shutil
import signal
import socket
import tempfile
import time

from http_json import call, serve

TOP = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(TOP, "target", "bin", "hickoryquay-node")

# The bounds of the sheet of trentmere-sched, as the settings file gives them.
BOUNDS = {"graceS": 6, "maxHoldMs": 10000, "stopTimeoutMs": 200, "cancel_ms": 3000, "drainMs": 2000, "status_s": 120,
          "reclaimMs": 2700, "restoreMs": 100, "remoteFactor": 3, "contactMs": 3000, "visible_ms": 3000}
ZONES = ["leicester-hall", "derby-hall", "nottingham-hall"]
ROW_BYTES = 65536
HOST, KEY = "desk.example", "key-of-the-tenant"
SERVICE, OTHER_SERVICE = "timetable-desk", "report-desk"


class Record:
    """What was sent, answered and run, with the seconds since the start."""

    def __init__(self, path):
        self.begun, self.file = time.monotonic(), open(path, "w")

    def at(self):
        return time.monotonic() - self.begun

    def note(self, text):
        self.file.write(f"{self.at():8.3f}  {text}\n")
        self.file.flush()


def now_ms():
    return int(time.monotonic() * 1000)


class Store:
    """The platform's store. Each instance gets a port of its own, so that the store knows who calls."""

    def __init__(self, record):
        self.record, self.rows, self.history, self.version, self.changed = record, {}, [], 1, asyncio.Event()
        self.versions = []  # Of the entries of the history.
        self.last_leader, self.too_large = None, 0  # Who last changed the row of the leader; writes that were refused.
        self.on_write = None  # async (instance, body, apply) -> an answer; None: none is given.

    async def port_for(self, instance):
        async def handle(method, path, query, headers, body):
            return await self.handle(instance, path, query, body)
        return await serve(handle)

    def change(self, puts, removals):
        self.version += 1
        for key, value in puts:
            self.rows[key] = {"table": key[0], "part": key[1], "key": key[2], "value": value, "ver": self.version}
            self.history.append(self.rows[key])
        for key in removals:
            if self.rows.pop(key, None) is not None:
                self.history.append({"table": key[0], "part": key[1], "key": key[2], "ver": self.version,
                                     "removed": True})
        self.versions += [self.version] * (len(self.history) - len(self.versions))
        self.changed.set()
        self.changed = asyncio.Event()
        return self.version

    def put(self, table, key, value):
        """By the operator or a worker."""
        return self.change([((table, "", key), base64.b64encode(json.dumps(value).encode()).decode())], [])

    def remove(self, table, key):
        self.change([], [(table, "", key)])

    async def handle(self, instance, path, query, body):
        await asyncio.sleep(0.004)
        if path == "/rows-tx":
            def apply():
                return self.transact(instance, body)
            return apply() if self.on_write is None else await self.on_write(instance, body, apply)
        if path == "/rows-get":
            rows = sorted((row for key, row in self.rows.items()
                           if key[0] == query["table"] and key[1] == query.get("part", "")
                           and key[2] >= query.get("from", "") and (not query.get("to") or key[2] < query["to"])),
                          key=lambda row: row["key"].encode())
            limit = min(500, int(query.get("limit", 500)))
            return 200, {"rows": rows[:limit], "hasMore": len(rows) > limit, "ver": self.version, "nowMs": now_ms()}
        if path == "/rows-feed":
            return await self.feed(query["table"], int(query["after"]), int(query.get("waitMs", 0)) / 1000)
        return 404, {}

    def transact(self, instance, body):
        def key_of(row):
            return row["table"], row.get("part", ""), row["key"]
        checks, puts, removals = body.get("expectedRev", []), body.get("puts", []), body.get("remove", [])
        if any(self.rows.get(key_of(row), {}).get("ver", 0) != row.get("ver", 0) for row in checks):
            rows = [self.rows[key_of(row)] for row in checks if key_of(row) in self.rows]
            return 412, {"rows": rows, "ver": self.version, "nowMs": now_ms()}
        longest = max((len(row["value"]) for row in puts), default=0) * 3 // 4
        if longest > ROW_BYTES:
            self.too_large += 1
            if self.too_large <= 3:
                self.record.note(f"the store refuses a write of {instance}: a value of {longest} bytes")
            return 400, {"error": f"a value has over {ROW_BYTES} bytes"}
        if any(row["key"] == "leader" for row in puts):
            self.last_leader = instance
        version = self.change([(key_of(row), row["value"]) for row in puts], [key_of(row) for row in removals])
        return 200, {"ver": version, "nowMs": now_ms()}

    async def feed(self, table, after, wait):
        end = time.monotonic() + min(wait, 30.0)
        while True:
            begin = bisect.bisect_right(self.versions, after)
            rows = [row for row in self.history[begin:] if row["table"] == table][:500]
            left = end - time.monotonic()
            if rows or left <= 0:
                return 200, {"rows": rows, "ver": rows[-1]["ver"] if len(rows) == 500 else self.version,
                             "nowMs": now_ms()}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


class Worker:
    """One worker. `work_ms` says how long a task takes."""

    def __init__(self, platform, name, zone, labels, service):
        self.platform, self.name, self.zone, self.labels, self.service = platform, name, zone, labels, service
        self.lives, self.down, self.unhealthy, self.leaves_at, self.seq = 0, False, False, None, 0
        self.begin_life()

    def begin_life(self, same_id=False):
        """After a crash, the worker has a new id, or the one that it had. It runs nothing and has seen no epoch
        number, and its counts and its clock start anew."""
        self.lives += 1
        self.id = self.id if same_id else f"{self.name}-{self.lives}"
        self.born, self.back_at = int(time.time() * 1000), self.platform.record.at()
        self.runs, self.closed, self.ended, self.count, self.fence, self.until = {}, {}, [], 0, 0, 0
        self.new_end, self.begun, self.looked_at = asyncio.Event(), time.monotonic(), False

    def clock(self):
        return int((time.monotonic() - self.begun) * 1000) + 1000

    async def start(self):
        self.address = f"127.0.0.1:{await serve(self.handle)}"
        self.beat()

    async def crash(self, back_after, silence, same_id=False):
        """All that runs here is gone. The worker is back at its address under a new id, and the entry of its earlier
        life goes after three heartbeats of silence; or under the id that it had."""
        old, lost = self.id, sorted(self.runs)
        self.platform.record.note(f"{old}: crashes, with {lost}")
        self.down = True
        self.runs = {}
        await asyncio.sleep(back_after)
        self.begin_life(same_id)
        self.down = False
        self.platform.record.note(f"{self.id}: is back after the crash of {old}, born {self.born}")
        self.beat()
        if same_id:
            return
        await asyncio.sleep(max(0.0, silence - back_after))
        self.platform.store.remove("servers", old)

    def beat(self):
        if self.down:
            return
        self.seq += 1
        entry = {"service": self.service, "address": self.address, "zone": self.zone, "version": "v1", "slots": 8,
                 "state": "ready", "coldLeftMs": 0, "capacity": {"cpu": 64000, "memMb": 128000, "gpu": 8},
                 "labels": self.labels, "seq": self.seq, "born": self.born}
        if self.leaves_at is not None:
            entry["state"] = "draining"
            entry["remainingMs"] = max(0, int((self.leaves_at - time.monotonic()) * 1000))
        self.platform.store.put("servers", self.id, entry)

    async def leave(self, after):
        """A planned shutdown: reports that it drains, serves on and exits; everything that runs there ends with it."""
        self.leaves_at = time.monotonic() + after
        self.platform.record.note(f"{self.id}: drains")
        self.beat()
        await asyncio.sleep(after)
        self.platform.record.note(f"{self.id}: has left, with {sorted(self.runs)}")
        self.down = True
        self.platform.workers.remove(self)
        self.platform.store.remove("servers", self.id)
        self.runs.clear()

    async def handle(self, method, path, query, headers, body):
        if self.down:
            return "reset"
        if path == "/health":
            return (503 if self.unhealthy else 200), {}
        if path == "/run-start" and self.platform.is_late(body["task"]):
            self.platform.record.note(f"{self.id}: start of {body['task']} run {body['runId']} gets no answer")
            asyncio.ensure_future(self.carry_out_late(path, headers, body))
            return None
        if headers.get("x-expect-instance", self.id) != self.id:
            return 421, {}
        if body["fencingToken"] < self.fence:
            return 409, {"clockMs": self.clock(), "reason": "fence"}
        if path == "/run-start" and self.unhealthy:
            self.platform.record.note(f"{self.id}: start of {body['task']} run {body['runId']} answered 503, unhealthy")
            return 503, {"clockMs": self.clock()}
        self.fence = body["fencingToken"]
        if path == "/run-start":
            return self.run_start(body)
        if path == "/run-stop":
            self.closed[body["task"]] = max(self.closed.get(body["task"], 0), body["runId"])
            run = self.runs.get(body["task"])
            if run and run["run"] <= body["runId"]:
                run["stop_at"] = min(run.get("stop_at", 1e18), time.monotonic() + BOUNDS["stopTimeoutMs"] / 2000)
            return 200, {"clockMs": self.clock()}
        if path == "/hold":
            return await self.hold(body)
        return 404, {}

    async def carry_out_late(self, path, headers, body):
        await asyncio.sleep(self.platform.late_by)
        if not self.down:
            answer = await self.handle("POST", path, {}, headers, body)
            self.platform.record.note(f"{self.id}: a start of {body['task']} run {body['runId']} is carried out late, "
                                      f"answer {answer}")

    async def hold(self, body):
        self.extend(body.get("expiresMs", 0))
        self.ended = [end for end in self.ended if end[0] > body["lastSeen"]]
        if not self.ended and body.get("waitMs"):
            self.new_end.clear()
            try:
                await asyncio.wait_for(self.new_end.wait(), min(body["waitMs"], 2000) / 1000)
            except asyncio.TimeoutError:
                pass
        now = time.monotonic()
        running = [[task, run["run"], "", min(99, int(100 * (now - run["since"]) / run["takes"]))]
                   for task, run in self.runs.items()]
        if now - self.begun < 5.0 and self.lives > 1 and not self.looked_at:
            self.looked_at = True
            self.platform.record.note(f"{self.id}: the first look at it after its crash, epoch {body['fencingToken']}")
        return 200, {"clockMs": self.clock(), "born": self.born, "running": running, "ended": self.ended[:500]}

    def extend(self, until):
        self.until = max(self.until, min(until, self.clock() + BOUNDS["maxHoldMs"]))

    def run_start(self, body):
        task, number = body["task"], body["runId"]
        if task in self.runs and self.runs[task]["run"] == number:
            return 200, {"clockMs": self.clock()}
        self.extend(body["expiresMs"] if self.closed.get(task, 0) >= number else 0)
        if self.closed.get(task, 0) >= number or task in self.runs:
            return 409, {"clockMs": self.clock(), "reason": "old"}
        if body["expiresMs"] <= self.clock():
            return 409, {"clockMs": self.clock(), "reason": "late"}
        self.extend(body["expiresMs"])
        takes = self.platform.work_s.get(task.split(".")[0], 1.0)
        since = time.monotonic()
        self.runs[task] = {"run": number, "since": since, "takes": takes, "age": lambda: time.monotonic() - since}
        if task.split(".")[0] in self.platform.fails_s:
            return self.fail_later(task, number)
        self.platform.record.note(f"{self.id}: begins {task} run {number}, epoch {body['fencingToken']}")
        self.platform.starts.append((self.platform.record.at(), task, number, self.id))
        return 200, {"clockMs": self.clock()}

    def fail_later(self, task, number):
        """A task that fails soon after each start. Not recorded one by one: there are thousands."""
        def fail():
            if self.runs.get(task, {}).get("run") == number:
                self.platform.failed += 1
                self.end(task, "failed", quiet=True)
        asyncio.get_running_loop().call_later(self.platform.fails_s[task.split(".")[0]], fail)
        return 200, {"clockMs": self.clock()}

    def end(self, task, how, quiet=False):
        run = self.runs.pop(task)
        self.closed[task] = max(self.closed.get(task, 0), run["run"])
        self.count += 1
        self.ended.append([self.count, task, run["run"], how, ""])
        self.platform.done += how == "done"
        if not quiet:
            self.platform.record.note(f"{self.id}: {task} run {run['run']} ends {how}")
        self.new_end.set()

    def move_on(self):
        now = time.monotonic()
        lapsed = self.until <= self.clock()
        for task, run in list(self.runs.items()):
            if lapsed:
                self.end(task, "lapsed")
            elif run.get("stop_at", 1e18) <= now:
                self.end(task, "stopped")
            elif now - run["since"] >= run["takes"]:
                self.end(task, "done")


def own_host(index):
    """A loopback address for an instance of this script alone: a port that is free there stays free."""
    pid = os.getpid()
    return f"127.{1 + (pid >> 8) % 254}.{pid % 256}.{1 + index}"


def free_port(host):
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


def render(template, fields):
    """The part of the platform's templates that deploy/node.ini uses."""
    def value(name):
        found = fields
        for part in name.split("."):
            found = found[int(part)] if isinstance(found, list) else (found or {}).get(part)
        return found

    def text(found):
        return "" if found is None else ",".join(map(str, found)) if isinstance(found, list) else str(found)

    def section(match):
        found = value(match[1])
        return "" if found is None else match[2].replace("{{.}}", text(found))

    template = re.sub(r"{{#([\w.]+)}}(.*?){{/\1}}", section, template, flags=re.S)
    return re.sub(r"{{([\w.]+)}}", lambda match: text(value(match[1])), template)


class Instance:
    """One process of the system."""

    def __init__(self, platform, index):
        self.platform, self.name, self.zone = platform, f"front-{index + 1}", ZONES[index % len(ZONES)]
        self.host, self.process = own_host(index), None
        ports = set()
        while len(ports) < 4:
            ports.add(free_port(self.host))
        self.callers, self.ready, self.inner, (_, self.metrics) = ((self.host, port) for port in ports)

    async def start(self):
        platform = self.platform
        if not hasattr(self, "settings"):
            store = await platform.store.port_for(self.name)
            fields = {"node": self.name, "zone": self.zone, "ip": self.host, "portRange": [self.metrics],
                      "listen": {name: "%s:%d" % at for name, at in
                                 (("front", self.callers), ("ready", self.ready), ("control", self.inner))},
                      "seeds": ["%s:%d" % other.inner for other in platform.instances[:3]],
                      "limits": {"cpuShare": 0.25, "linkMbps": 1000.0},
                      "platform": {"address": f"127.0.0.1:{store}"},
                      "cloudApi": {"address": f"127.0.0.1:{platform.machines_port}"}, "bounds": BOUNDS}
            self.settings = os.path.join(platform.folder, self.name + ".ini")
            with open(os.path.join(TOP, "deploy", "node.ini")) as template, open(self.settings, "w") as file:
                file.write(render(template.read(), fields))
        with open(os.path.join(platform.folder, self.name + ".log"), "ab") as log:
            self.process = await asyncio.create_subprocess_exec(PROGRAM, "--settings", self.settings, cwd=TOP,
                                                                stdout=log, stderr=log)

    def signal(self, number):
        self.platform.record.note(f"{self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def call(self, method, target, body=None, patience=3.0):
        headers = {"Host": HOST, "Authorization": "Token " + KEY, "X-Deadline-Ms": "3000"}
        self.platform.record.note(f"caller: {method} {target} to {self.name}")
        if method == "POST":
            self.platform.gpus[target.split("/")[-1]] = body["steps"][0]["gpu"]
        status, answer = await call(self.callers, method, target, body, headers, patience)
        said = f"{status} {json.dumps(answer)}" if status else "no answer, the caller leaves"
        self.platform.record.note(f"caller: {method} {target} at {self.name}: {said}")
        return status, answer


class Platform:
    """A small installation: the store, the list of machines, workers and instances."""

    def __init__(self, record):
        self.record, self.store = record, Store(record)
        self.workers, self.instances, self.starts, self.done, self.failed = [], [], [], 0, 0
        self.late = None   # A job whose first start is carried out late, and by how many seconds.
        self.fails_s = {}  # Jobs whose tasks always fail, so long after their start.
        self.work_s, self.gpus = {}, {}  # Of each job: how long its tasks take, and the accelerators of one of them.
        self.folder = tempfile.mkdtemp(prefix="review-")

    async def start(self, instances, workers):
        """`workers`: the labels of each, or its labels and its service."""
        async def machines(method, path, query, headers, body):
            return 200, {"machines": [{"machine": "m-" + worker.name, "pool": worker.service, "zone": worker.zone,
                                       "labels": worker.labels, "capacity": {"cpu": 64000, "memMb": 128000, "gpu": 8},
                                       **({"state": "down"} if worker.down else {"state": "up", "id": worker.id})}
                                      for worker in self.workers]}
        self.machines_port = await serve(machines)
        routes = [{"name": name, "host": HOST, "pathPrefix": f"/{name}/", "service": service, "priority": priority,
                   "maxAttempts": 3, "stretch": 3.0, "latencySloMs": 1000}
                  for name, priority, service in (("confirm", 0, SERVICE), ("rebuild", 1, SERVICE),
                                                  ("sweep", 2, SERVICE), ("report", 1, OTHER_SERVICE))]
        self.store.put("op", "config", {
            "version": 7, "routes": routes, "services": [{"name": SERVICE}, {"name": OTHER_SERVICE}],
            "tenants": [{"name": "leicester", "apiKeys": [KEY], "guaranteed": {"gpu": 8}}], "limits": {}})
        for number, labels in enumerate(workers):
            labels, service = labels if isinstance(labels, tuple) else (labels, SERVICE)
            self.workers.append(Worker(self, f"i-{number:04x}", ZONES[number % len(ZONES)], labels, service))
            await self.workers[-1].start()
        self.instances = [Instance(self, index) for index in range(instances)]
        for instance in self.instances:
            await instance.start()
        self.background = [asyncio.ensure_future(self.move_on()), asyncio.ensure_future(self.beats())]

    async def move_on(self):
        while True:
            await asyncio.sleep(0.01)
            for worker in self.workers:
                worker.move_on()

    async def beats(self):
        while True:
            await asyncio.sleep(1.5)
            for worker in self.workers:
                worker.beat()

    def is_late(self, task):
        """Whether this order gets no answer and is carried out late: the first one of a job that a script names."""
        if self.late is None or not task.startswith(self.late[0]):
            return False
        self.late_by, self.late = self.late[1], None
        return True

    def leader(self):
        return next((i for i in self.instances if i.name == self.store.last_leader), None)

    def others(self):
        return [i for i in self.instances if i.name != self.store.last_leader]

    async def settle(self, job="00000000000000aa"):
        """Waits until the system serves: a small job is done. Raises TimeoutError after 20 s."""
        end = time.monotonic() + 20
        self.work_s[job] = 0.2
        step = {"count": 1, "cpu": 1000, "memMb": 1000, "gpu": 1, "estimateMs": 200}
        while time.monotonic() < end:
            await asyncio.sleep(0.5)
            status, _ = await self.instances[0].call("POST", f"/confirm/{job}", {"spec": "warm-up", "steps": [step]})
            if status != 200:
                continue
            while time.monotonic() < end:
                await asyncio.sleep(0.3)
                status, answer = await self.instances[0].call("GET", f"/confirm/{job}")
                if status == 200 and answer["state"] == "completed":
                    return
        raise TimeoutError("the system does not serve")

    async def stop(self):
        for task in self.background:
            task.cancel()
        for instance in self.instances:
            if instance.process and instance.process.returncode is None:
                instance.process.kill()
                await instance.process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


def run(folder, case, instances, workers):
    """Plays `case(platform, trouble)`, which returns what broke the rule, or an empty text. The exit code: 1 broken,
    0 held, 2 could not run."""
    record = Record(os.path.join(folder, "record.txt"))
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def play():
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        platform = Platform(record)
        try:
            await platform.start(instances, workers)
            await platform.settle()
            return await asyncio.wait_for(case(platform, trouble), 105)
        finally:
            await platform.stop()

    try:
        broken = asyncio.run(play())
    except (Exception, asyncio.CancelledError) as error:  # Anything that keeps the case from being played.
        record.note(f"could not run: {type(error).__name__} {error}")
        print(f"could not run: {type(error).__name__} {error}")
        return 2
    record.note("BROKEN: " + broken if broken else "the rule held")
    print("BROKEN: " + broken if broken else "the rule held")
    return 1 if broken else 0
