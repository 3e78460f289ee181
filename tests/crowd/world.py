"""Instances as processes on loopback, with the soak's stand-ins for the platform, and what they hold of the machine."""
import asyncio
import json
import os
import random
import signal
import subprocess
import sys
import tempfile

SOURCE = os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..")
sys.path.insert(0, os.path.join(SOURCE, "scripts", "soak"))

from http_json import Client, port_of, serve  # noqa: E402
from stand_ins import Farm, Store, Worker  # noqa: E402

MEMORY_MB, DESCRIPTORS = 64, 400  # Of the machine of each instance.
RESERVED_DESCRIPTORS = 200        # Of these, for files.
ENTRY_MEMORY_MB, ENTRY_CALLERS, ENTRY_DESCRIPTORS = 260, 200, 400
CALLERS, READY, INNER, METRICS, ADMIN = 7001, 7002, 7003, 7004, 7005
KEY = {"Host": "crowd.example", "Authorization": "Token key", "X-Deadline-Ms": "3000"}
OTHER_KEY = {**KEY, "Authorization": "Token other"}  # Of another client account.
THIRD_KEY = {**KEY, "Authorization": "Token third"}
JOB_TABLE = "hq-intake"           # Where instances keep accepted jobs.
PATIENCE_S = 60.0                 # For what has to come at last, however slow the machine is.


def own_hosts(count):
    """Loopback addresses of this process's own, so that fixed ports are free."""
    pid = os.getpid()
    return [f"127.{1 + (pid >> 8) % 254}.{pid % 256}.{1 + i}" for i in range(count)]


def queued_bytes(host):
    """Bytes that the kernel has received for sockets of that address and the process has not read."""
    address = "".join(f"{int(part):02X}" for part in reversed(host.split(".")))
    with open("/proc/net/tcp", encoding="ascii") as file:
        rows = [line.split() for line in file][1:]
    return sum(int(row[4].split(":")[1], 16) for row in rows if row[1].startswith(address) and row[3] != "0A")


class Usage:
    """The most that a process ever held."""

    def __init__(self, process, host, memory_mb, sockets):
        self.process, self.host, self.memory_mb, self.most_sockets = process, host, memory_mb, sockets
        self.peak_mb, self.queued_mb, self.sockets = 0.0, 0.0, 0

    def sample(self):
        try:
            folder = f"/proc/{self.process.pid}"
            with open(f"{folder}/status", encoding="ascii") as file:
                peak = next(int(line.split()[1]) for line in file if line.startswith("VmHWM:"))
            kinds = [os.readlink(f"{folder}/fd/{fd}") for fd in os.listdir(f"{folder}/fd")]
        except (OSError, StopIteration):
            return  # It has ended, or a descriptor was closed between.
        self.peak_mb = max(self.peak_mb, peak / 1024)
        self.queued_mb = max(self.queued_mb, queued_bytes(self.host) / 2**20)
        self.sockets = max(self.sockets, len(kinds))

    def wrong(self):
        memory = self.peak_mb + self.queued_mb
        if memory > self.memory_mb:
            yield f"{self.host} held {memory:.0f} MB, {self.queued_mb:.1f} of them not read yet, of {self.memory_mb}"
        if self.sockets > self.most_sockets:
            yield f"{self.host} held {self.sockets} descriptors, of {self.most_sockets}"


class Processes:
    """What any system of processes has that is pressed."""

    def __init__(self, folder, hosts):
        self.folder, self.hosts, self.usage = folder, hosts, []

    def start_process(self, name, command, host, memory_mb, sockets):
        with open(os.path.join(self.folder, f"{name}.log"), "ab") as log:
            process = subprocess.Popen(command, stdout=log, stderr=log)
        self.usage.append(Usage(process, host, memory_mb, sockets))

    async def watch(self):
        while True:
            for usage in self.usage:
                usage.sample()
            await asyncio.sleep(0.1)

    async def until(self, condition, what):
        end = asyncio.get_running_loop().time() + PATIENCE_S
        while not await condition():
            if asyncio.get_running_loop().time() > end:
                raise AssertionError(f"not in {PATIENCE_S:.0f} s: {what}")
            await asyncio.sleep(0.2)

    async def ask(self, host, port, method, target, body=None, key=None, timeout=4.0):
        client = Client((host, port))
        try:
            return await client.call(method, target, body, key or KEY, timeout)
        finally:
            client.close()

    def wrong(self):
        for usage in self.usage:
            usage.sample()
            if usage.process.poll() is not None:
                yield f"{usage.host} ended with {usage.process.returncode}"
            yield from usage.wrong()

    def stop(self):
        for usage in self.usage:
            if usage.process.poll() is None:
                usage.process.send_signal(signal.SIGKILL)
                usage.process.wait()


class World(Processes):
    def __init__(self, binaries, instances=2, workers=3):
        super().__init__(tempfile.mkdtemp(prefix="hq-crowd-"), own_hosts(instances))
        self.binary = os.path.join(binaries, "hickoryquay-node")
        self.farm, self.store = Farm(random.Random(1)), Store(1)
        self.count, self.workers = instances, workers
        self.next_id = 2**63

    async def start(self):
        machines = port_of(await serve(self.farm.machines))
        for i in range(self.workers):
            worker = Worker(self.farm, i)
            worker.address = f"127.0.0.1:{await worker.start()}"
            self.farm.workers.append(worker)
            await self.store.put("servers", worker.id, worker.row())
        await self.store.put("op", "config", {
            "version": 1, "limits": {}, "services": [{"name": "pool"}],
            "routes": [{"name": "jobs", "host": "crowd.example", "pathPrefix": "/jobs/", "service": "pool",
                        "priority": 1, "maxAttempts": 3, "stretch": 3.0, "latencySloMs": 1000}],
            "tenants": [{"name": name, "apiKeys": [key], "guaranteed": {"gpu": 0}}
                        for name, key in (("t", "key"), ("u", "other"), ("v", "third"))]})
        self.background = [asyncio.ensure_future(self.farm.tick()), asyncio.ensure_future(self.watch())]
        for i in range(self.count):
            self.launch(i, await self.store.start(i), machines)
        await self.until(self.is_ready, "all instances are ready")

    def launch(self, i, store, machines):
        host, settings = self.hosts[i], os.path.join(self.folder, f"node-{i}.ini")
        with open(settings, "w", encoding="ascii") as file:
            file.write(f"[node]\nname = node-{i}\ndomain = z{i}\ncallers = {host}:{CALLERS}\nready = {host}:{READY}\n"
                       f"inner = {host}:{INNER}\nmetrics = {host}:{METRICS}\nseeds = {self.hosts[0]}:{INNER}\n"
                       f"[store]\naddress = 127.0.0.1:{store}\n[machines]\naddress = 127.0.0.1:{machines}\n"
                       f"[capacity]\nmemory_mb = {MEMORY_MB}\ndescriptors = {DESCRIPTORS}\n"
                       "[terms]\nlongest_lease = 6s\nstop_timeout = 200ms\n[log]\nform = json\nrepeats = 1000\n")
        command = [self.binary, "--settings", settings]
        self.start_process(f"node-{i}", command, host, MEMORY_MB, DESCRIPTORS - RESERVED_DESCRIPTORS)

    async def is_ready(self):
        return all([(await self.ask(host, READY, "GET", "/readiness"))[0] == 200 for host in self.hosts])

    async def serve_ordinary(self, when):
        """One small job at each instance is accepted and completed."""
        for host in self.hosts:
            self.next_id += 1
            target = f"/jobs/{self.next_id:016x}"
            job = {"spec": "x", "steps": [{"count": 1, "cpu": 500, "memMb": 64, "estimateMs": 1000}]}

            async def accepted():
                return (await self.ask(host, CALLERS, "POST", target, job))[0] == 200

            async def completed():
                status, _, answer = await self.ask(host, CALLERS, "GET", target)
                return status == 200 and answer["state"] == "completed"

            await self.until(accepted, f"an ordinary job is accepted at {host} {when}")
            await self.until(completed, f"it is completed at {host} {when}")


class EntryWorld(Processes):
    """One hickoryquayd with the stand-in of its platform."""

    def __init__(self, binaries):
        super().__init__(tempfile.mkdtemp(prefix="hq-crowd-"), own_hosts(1))
        self.binaries = binaries

    async def start(self):
        topology = {"domains": [{"name": "z", "racks": 1, "workers_per_rack": 1, "backends": 1, "slots": 8,
                                 "connections": 60, "markets": ["m"]}], "list_lag_ms": 1000}
        with open(os.path.join(self.folder, "topology.json"), "w", encoding="ascii") as file:
            json.dump(topology, file)
        self.standin = subprocess.Popen([os.path.join(self.binaries, "standin"), "--topology", file.name],
                                        stdout=subprocess.PIPE, text=True)
        host, port = self.standin.stdout.readline().strip().split(":")
        platform = (await self.ask(host, int(port), "GET", "/control/addresses"))[2]["domains"]["z"]["platform"]
        with open(os.path.join(self.folder, "entry.ini"), "w", encoding="ascii") as file:
            host = self.hosts[0]
            file.write(f"[instance]\ndomain = z\ncallers = {host}:{CALLERS}\ninner = {host}:{INNER}\n"
                       f"admin = {host}:{ADMIN}\n[platform]\ntable = {platform}\nobjects = {platform}\n"
                       f"list = {platform}\n[requests]\nmax_connections = {ENTRY_CALLERS}\n")
        self.start_process("entry", [os.path.join(self.binaries, "hickoryquayd"), "--settings", file.name], host,
                           ENTRY_MEMORY_MB, ENTRY_DESCRIPTORS)
        self.background = [asyncio.ensure_future(self.watch())]
        await self.serve_ordinary("at the start")

    async def serve_ordinary(self, when):
        for port, path in ((CALLERS, "/ready"), (ADMIN, "/health")):

            async def answered():
                return (await self.ask(self.hosts[0], port, "GET", path))[0] == 200

            await self.until(answered, f"{path} is answered {when}")

    def stop(self):
        super().stop()
        self.standin.kill()
        self.standin.wait()
