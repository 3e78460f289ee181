#!/usr/bin/env python3
"""Randomized soak: real instances as processes, faults from outside them, promises checked from what callers and workers
see. `soak.py --binary build/bin/hickoryquay-node --seed N --seconds S`. Exit code 1: a promise was broken; the seed and
the directory with all logs are printed."""
import argparse
import asyncio
import os
import random
import shutil
import signal
import sys
import tempfile
import time

from http_json import Client, port_of, serve
from proxy import Proxy
from stand_ins import Farm, Store, Worker

SETTLE_S, HEAL_S = 3.0, 45.0  # Election and first looks; leases, takeovers and all work that is left.
SMALL_LINK = 1_250_000        # Bytes a second between the store and an instance with a small link.
ROUTES_ADDED, MAX_ROUTES = 1400, 5600
IN_FORCE_S = 10.0             # For the last configuration to be in force everywhere, once all faults are over.
KEY = {"Host": "soak.example", "Authorization": "Token key", "X-Deadline-Ms": "3000"}


CALLERS, READY, INNER = 7001, 7002, 7003


def host_of(index):
    """Of an instance: a loopback address of this process's own. Ports drawn on a shared one may be drawn twice, or taken by
    some connection while the instance is down."""
    pid = os.getpid()
    return f"127.{1 + (pid >> 8) % 254}.{pid % 256}.{1 + index}"


class Instance:
    def __init__(self, soak, index):
        self.soak, self.index, self.process, self.stopped = soak, index, None, False
        self.host = host_of(index)
        self.callers = (self.host, CALLERS)
        self.log = open(os.path.join(soak.directory, f"node-{index}.log"), "ab")

    async def start(self):
        self.proxy = Proxy(self.soak.store_port, SMALL_LINK if self.soak.all_small or self.index % 2 else 0)
        store = await self.proxy.start()
        self.settings = os.path.join(self.soak.directory, f"node-{self.index}.ini")
        seeds = ", ".join(f"{i.host}:{INNER}" for i in self.soak.instances[:3])
        with open(self.settings, "w") as file:
            file.write(f"[node]\nname = node-{self.index}\ndomain = z1\ncallers = {self.host}:{CALLERS}\n"
                       f"ready = {self.host}:{READY}\ninner = {self.host}:{INNER}\nmetrics = {self.host}:0\n"
                       f"seeds = {seeds}\n[store]\naddress = 127.0.0.1:{store}\n"
                       f"[machines]\naddress = 127.0.0.1:{self.soak.machines_port}\n"
                       "[terms]\nlongest_lease = 6s\nstop_timeout = 200ms\n[log]\nform = json\nrepeats = 100000\n")
        await self.launch()

    async def launch(self):
        self.process = await asyncio.create_subprocess_exec(self.soak.binary, "--settings", self.settings,
                                                            stdout=self.log, stderr=self.log)
        self.stopped = False

    def signal(self, number):
        if self.process and self.process.returncode is None:
            self.process.send_signal(number)

    async def keep_alive(self):
        """As the platform does: a process that ended is started again."""
        while True:
            await self.process.wait()
            if self.process.returncode not in (0, -signal.SIGKILL):
                self.soak.farm.wrong.append(f"node-{self.index} ended by itself with {self.process.returncode}")
            await asyncio.sleep(0.3)
            await self.launch()


class Soak:
    def __init__(self, options, directory):
        self.options, self.directory = options, directory
        self.binary = os.path.abspath(options.binary)
        self.random = random.Random(options.seed)
        self.farm, self.store, self.instances, self.proxies, self.jobs = Farm(), Store(), [], [], {}
        self.faults, self.version, self.routes = [], 0, 0
        self.operator_random = random.Random(options.seed)
        self.all_small = self.operator_random.random() < 0.5  # Otherwise every other instance.

    async def build(self):
        self.store_port = await self.store.start()
        self.machines_port = port_of(await serve(self.farm.machines))
        await self.configure()
        for i in range(self.options.workers):
            worker = Worker(self.farm, f"w{i}", f"r{i // 4}")
            proxy = Proxy(await worker.start())
            worker.address = f"127.0.0.1:{await proxy.start()}"
            self.farm.workers.append(worker)
            self.proxies.append(proxy)
            await self.store.put("servers", worker.id, worker.row())
        self.instances = [Instance(self, i) for i in range(self.options.instances)]
        self.background = [asyncio.ensure_future(self.farm.tick())]
        for instance in self.instances:
            await instance.start()
            self.background.append(asyncio.ensure_future(instance.keep_alive()))

    async def configure(self):
        """A new version. Its last route names it, so that callers can tell which one is in force."""
        self.version += 1
        names = [f"q{p}" for p in range(3)] + [f"route-{i:05}-{i * 2654435761 % 2 ** 32:032x}" for i in range(self.routes)]
        names.append(f"version-{self.version}")
        await self.store.put("op", "config", {
            "version": self.version,
            "routes": [{"name": name, "host": "soak.example", "pathPrefix": f"/{name}/", "service": "pool",
                        "priority": min(number, 2), "maxAttempts": 3, "stretch": 2.0, "latencySloMs": 500}
                       for number, name in enumerate(names)],
            "services": [{"name": "pool"}], "tenants": [{"name": "t", "apiKeys": ["key"], "guaranteed": {"gpu": 16}}]})

    async def operator(self):
        """Adds routes by the thousand, and makes small changes once there are many."""
        while not self.over:
            await asyncio.sleep(self.operator_random.uniform(1.0, 3.0))
            self.routes = min(self.routes + ROUTES_ADDED, MAX_ROUTES)
            await self.configure()

    async def client(self, number):
        """Hands jobs in one after another over a connection that it keeps, and follows some of them."""
        link = Client(self.random.choice(self.instances).callers)
        while not self.over:
            await asyncio.sleep(self.random.uniform(0.1, 0.6))
            job = f"{self.random.getrandbits(64):016x}"
            step = {"count": self.random.randint(1, 4), "cpu": 1000, "memMb": 1000, "gpu": 2 ** self.random.randint(0, 2),
                    "estimateMs": 1000}
            self.farm.jobs[job] = {"work": self.random.uniform(0.3, 2.0), "gpu": step["gpu"], "answers": [],
                                   "path": f"/q{self.random.randint(0, 2)}/{job}", "tasks": step["count"]}
            await self.submit(link, job, {"spec": "x", "steps": [step]})
            if self.random.random() < 0.1 and 200 in self.farm.jobs[job]["answers"]:
                await asyncio.sleep(self.random.uniform(0.0, 1.5))
                status, _, _ = await link.call("DELETE", self.farm.jobs[job]["path"], headers=KEY)
                if status == 200:
                    self.farm.cancelled.setdefault(job, time.monotonic())
                else:
                    self.farm.jobs[job]["maybe_cancelled"] = True
            if link.streams is None:
                link = Client(self.random.choice(self.instances).callers)

    async def submit(self, link, job, body):
        for _ in range(4):
            status, _, _ = await link.call("POST", self.farm.jobs[job]["path"], body, KEY)
            self.farm.jobs[job]["answers"].append(status)
            if status == 200:
                return
            await asyncio.sleep(0.5)
            link.close()
            link.address = self.random.choice(self.instances).callers

    async def fault(self):
        """One fault; it may overlap with others."""
        pick, instance = self.random.randint(0, 10), self.random.choice(self.instances)
        proxy, worker_index = instance.proxy, self.random.randrange(len(self.proxies))
        length = self.random.uniform(0.3, 5.0)
        self.faults.append((round(time.monotonic() - self.begun, 2), pick, instance.index, worker_index, round(length, 1)))
        if pick == 0:
            instance.signal(signal.SIGKILL)
        elif pick == 1:
            instance.signal(signal.SIGTERM)
        elif pick == 2:
            instance.signal(signal.SIGHUP)
        elif pick == 3:
            instance.signal(signal.SIGSTOP)
            await asyncio.sleep(length)
            instance.signal(signal.SIGCONT)
        elif pick == 4:
            proxy.reset()
        elif pick in (5, 6, 7, 8):
            target = proxy if pick < 7 else self.proxies[worker_index]
            setattr(target, "silent" if pick % 2 else "one_way", True)
            await asyncio.sleep(length)
            target.heal()
            target.reset()
        elif pick == 9:
            proxy.delay = 0.2
            await asyncio.sleep(length)
            proxy.heal()
        else:
            worker = self.farm.workers[worker_index]
            old = worker.id
            worker.begin_life()
            await self.store.put("servers", worker.id, worker.row())
            await asyncio.sleep(min(length, 4.5))
            await self.store.remove("servers", old)

    async def run(self):
        self.over, self.begun = False, time.monotonic()
        await self.build()
        await asyncio.sleep(SETTLE_S)
        clients = [asyncio.ensure_future(self.client(i)) for i in range(self.options.clients)]
        clients.append(asyncio.ensure_future(self.operator()))
        running = []
        while time.monotonic() - self.begun < self.options.seconds:
            await asyncio.sleep(self.random.uniform(0.1, 1.5))
            if not self.options.calm:
                running.append(asyncio.ensure_future(self.fault()))
        self.over = True
        await asyncio.gather(*clients, *running)
        for instance in self.instances:
            instance.signal(signal.SIGCONT)
        await self.check_configuration()
        await self.check()
        for task in self.background:
            task.cancel()
        for instance in self.instances:
            instance.signal(signal.SIGKILL)

    async def check_configuration(self):
        """The last version is in force at every instance."""
        deadline = time.monotonic() + IN_FORCE_S

        async def ask(instance):
            status = 0
            while status != 200 and time.monotonic() < deadline:
                link = Client(instance.callers)
                status, _, _ = await link.call("GET", f"/version-{self.version}/", headers=KEY)
                link.close()
                await asyncio.sleep(0.1)
            if status != 200:
                self.farm.wrong.append(f"version {self.version} is not in force at node-{instance.index}: {status}")

        await asyncio.gather(*(ask(instance) for instance in self.instances))

    async def check(self):
        """Every accepted job ends, and is shown as it ended; every refused one never ran."""
        wrong, deadline = self.farm.wrong, time.monotonic() + HEAL_S
        for job, truth in self.farm.jobs.items():
            accepted = 200 in truth["answers"]
            if not accepted:
                if truth.get("started") and all(a in (429, 503) for a in truth["answers"]):
                    wrong.append(f"{job} was refused each time and ran")
                continue
            state = None
            while time.monotonic() < deadline + 1:
                link = Client(self.random.choice(self.instances).callers)
                status, _, body = await link.call("GET", truth["path"], headers=KEY)
                link.close()
                state = body.get("state") if status == 200 and body else status
                if state in ("completed", "cancelled") or time.monotonic() > deadline:
                    break
                await asyncio.sleep(0.2)
            done = all(f"{job}.0.0.{i}" in self.farm.done for i in range(truth["tasks"]))
            cancelled = job in self.farm.cancelled or truth.get("maybe_cancelled")
            if state == "completed" and not done:
                wrong.append(f"{job} is shown as completed and is not")
            elif state != "completed" and not (cancelled and state == "cancelled"):
                wrong.append(f"{job} was accepted and is {state} at the end")


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--binary", default="build/bin/hickoryquay-node")
    parser.add_argument("--seed", type=int, default=random.SystemRandom().randrange(2 ** 31))
    parser.add_argument("--seconds", type=float, default=30.0)
    parser.add_argument("--instances", type=int, default=4)
    parser.add_argument("--workers", type=int, default=8)
    parser.add_argument("--clients", type=int, default=6)
    parser.add_argument("--calm", action="store_true", help="no faults")
    parser.add_argument("--keep", metavar="DIRECTORY", help="keep all logs there, however the run ends")
    options = parser.parse_args()
    directory = options.keep or tempfile.mkdtemp(prefix="hickoryquay-soak-")
    os.makedirs(directory, exist_ok=True)
    soak = Soak(options, directory)
    begun = time.monotonic()
    asyncio.run(soak.run())
    share = time.process_time() / (time.monotonic() - begun)
    accepted = sum(200 in job["answers"] for job in soak.farm.jobs.values())
    print(f"soak: seed {options.seed}: {len(soak.farm.jobs)} jobs, {accepted} accepted, {len(soak.farm.done)} tasks done, "
          f"{len(soak.faults)} faults, {len(soak.farm.wrong)} promises broken; {share:.0%} of a core for the stand-ins")
    for what in soak.farm.wrong[:20]:
        print("  " + what)
    if soak.farm.wrong:
        print(f"  logs in {directory}; faults: {soak.faults}")
        return 1
    if not options.keep:
        shutil.rmtree(directory)
    return 0


if __name__ == "__main__":
    sys.exit(main())
