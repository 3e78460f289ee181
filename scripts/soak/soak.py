#!/usr/bin/env python3
"""Randomized soak: real instances as processes, faults from outside them, promises checked from what callers and workers
see. `soak.py --binary build/bin/hickoryquay-node --seed N --seconds S`. Exit code 1: a promise was broken; the seed and
the directory with all logs are printed."""
import argparse
import asyncio
import contextlib
import os
import random
import shutil
import signal
import sys
import tempfile
import time

import faults
import jobs
from http_json import Client, port_of, serve
from lost import Watch
from proxy import Proxy
from stand_ins import Farm, Store, Worker

SETTLE_S, HEAL_S = 3.0, 45.0  # Election and first looks; leases, takeovers and all work that is left.
UPGRADE_FROM_SHARE, UPGRADE_S = 0.2, 0.4  # Of the time: when the first instance is replaced, and until the last one is.
SMALL_LINK = 1_250_000        # Bytes a second between the store and an instance with a small link.
ROUTES_ADDED, MAX_ROUTES = 1400, 5600
IN_FORCE_S = 10.0             # For the last configuration to be in force everywhere, once all faults are over.
CANCEL_S = 3.0                # For the runs of a cancelled job to be gone.
IMPATIENT, LEAVES_S = 3, 0.3  # Callers without patience, and when they leave after they have handed a job in.
KEY = {"Host": "soak.example", "Authorization": "Token key", "X-Deadline-Ms": "3000"}


CALLERS, READY, INNER = 7001, 7002, 7003
BUSY_EACH, FAILING_EACH, CRASHING_EACH, CROWD_EACH = 7, 5, 11, 3  # Seeds.
MEMORY_MB = 128                                    # Of an instance's machine: the default of its settings.
FAILING_JOBS, CRASHING_JOBS = 2, 1                 # In these.
ROW_STAYS_S = 1.0                                  # Of a worker that crashed.


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
        self.binary = soak.earlier or soak.binary
        self.log = open(os.path.join(soak.directory, f"node-{index}.log"), "ab")

    async def start(self):
        self.proxy = Proxy(await self.soak.store.start(self.index), SMALL_LINK if self.soak.all_small or self.index % 2 else 0)
        store = await self.proxy.start()
        self.settings = os.path.join(self.soak.directory, f"node-{self.index}.ini")
        domain = f"z{self.index % jobs.DOMAINS}"
        seeds = ", ".join(f"{i.host}:{INNER}" for i in self.soak.instances[:3])
        with open(self.settings, "w") as file:
            file.write(f"[node]\nname = node-{self.index}\ndomain = {domain}\ncallers = {self.host}:{CALLERS}\n"
                       f"ready = {self.host}:{READY}\ninner = {self.host}:{INNER}\nmetrics = {self.host}:0\n"
                       f"seeds = {seeds}\n[store]\naddress = 127.0.0.1:{store}\n"
                       f"[machines]\naddress = 127.0.0.1:{self.soak.machines_port}\n"
                       "[terms]\nlongest_lease = 6s\nstop_timeout = 200ms\n[log]\nform = json\nrepeats = 100000\n")
        await self.launch()

    async def launch(self):
        self.process = await asyncio.create_subprocess_exec(self.binary, "--settings", self.settings,
                                                            stdout=self.log, stderr=self.log)
        self.stopped = False

    def signal(self, number):
        """Not by send_signal, which may reap a process that has just ended: its watcher then reports 255."""
        if self.process and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                os.kill(self.process.pid, number)

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
        self.earlier = os.path.abspath(options.upgrade_from) if options.upgrade_from else None
        self.upgraded = 0
        self.random = random.Random(options.seed)
        self.farm, self.store, self.instances = Farm(random.Random(options.seed)), Store(options.seed), []
        self.faults, self.version, self.routes = [], 0, 0
        self.operator_random = random.Random(options.seed)
        self.all_small = self.operator_random.random() < 0.5  # Otherwise every other instance.
        usual = jobs.USUAL_PROFILES[options.seed % len(jobs.USUAL_PROFILES)]
        self.profile = options.profile or ("busy" if options.seed % BUSY_EACH == 0 else usual)
        self.between_s = jobs.seconds_between(self.profile, options.workers, options.clients)

    async def build(self):
        self.machines_port = port_of(await serve(self.farm.machines))
        await self.configure()
        for i in range(self.options.workers):
            worker = Worker(self.farm, i)
            worker.proxy = Proxy(await worker.start())
            worker.address = f"127.0.0.1:{await worker.proxy.start()}"
            self.farm.workers.append(worker)
            await self.store.put("servers", worker.id, worker.row())
        self.instances = [Instance(self, i) for i in range(self.options.instances)]
        self.watch = Watch(self.farm)
        self.background = [asyncio.ensure_future(self.farm.tick()), asyncio.ensure_future(self.watch.run())]
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
            await asyncio.sleep(self.random.uniform(0.5, 1.5) * self.between_s)
            job = jobs.draw(f"{self.random.getrandbits(64):016x}", self.random, len(self.lasting()))
            self.farm.jobs[job.id] = job
            await self.submit(link, job)
            if self.random.random() < 0.1 and job.accepted_at:
                await asyncio.sleep(self.random.uniform(0.0, 1.5))
                await self.cancel(link, job)
            if link.streams is None:
                link = Client(self.random.choice(self.instances).callers)

    async def crash(self, worker):
        """Under one of its tasks; it is back at once, as another one."""
        old = worker.id
        worker.begin_life()
        worker.proxy.reset()
        await self.store.put("servers", worker.id, worker.row())
        await asyncio.sleep(ROW_STAYS_S)
        await self.store.remove("servers", old)

    async def hand_in(self, kind, count):
        """Drawn apart, so that other jobs stay as they are."""
        drawn = random.Random(f"{kind.name} {self.options.seed}")
        for _ in range(count):
            job = jobs.Job(f"{drawn.getrandbits(64):016x}", kind, drawn)
            self.farm.jobs[job.id] = job
            link = Client(self.instances[0].callers)
            await self.submit(link, job)
            link.close()

    async def impatient_client(self, number):
        """Hands in jobs while the store does writes late, leaves before it has an answer, and cancels them elsewhere."""
        drawn, late = random.Random(f"impatient {number} {self.options.seed}"), None
        while not self.over:
            await asyncio.sleep(drawn.uniform(0.02, 0.2))
            if late is None or late.done():
                fault = faults.LateWrites(self, drawn)
                late = asyncio.ensure_future(self.play(fault))
            job = jobs.Job(f"{drawn.getrandbits(64):016x}", jobs.SHORT, drawn)
            self.farm.jobs[job.id] = job
            link = Client(fault.instance.callers)
            status, _, _ = await link.call("POST", job.path, job.body(), KEY, timeout=LEAVES_S)
            job.answered(status)
            link.close()
            if status == 0:
                link = Client(drawn.choice(self.instances).callers)
                await self.cancel(link, job)
                link.close()
        if late:
            await late

    async def crowds(self):
        """Clients that don't behave, drawn apart."""
        drawn = random.Random(f"crowd {self.options.seed}")
        while not self.over:
            await asyncio.sleep(drawn.uniform(0.5, 2.0))
            await self.play(faults.Crowd(self, drawn))

    async def upgrade(self):
        """Instances of the earlier build are replaced one by one, in an order drawn apart: each is told to end, and starts as
        the present build."""
        drawn = random.Random(f"upgrade {self.options.seed}")
        gap = UPGRADE_S * self.options.seconds / len(self.instances)
        await asyncio.sleep(UPGRADE_FROM_SHARE * self.options.seconds)
        for instance in drawn.sample(self.instances, len(self.instances)):
            self.faults.append(f"{time.monotonic() - self.begun:.1f}: upgrade node-{instance.index}")
            old, instance.binary = instance.process, self.binary
            instance.signal(signal.SIGTERM)
            begun, pause = time.monotonic(), drawn.uniform(0.5, 1.5) * gap
            try:
                await asyncio.wait_for(old.wait(), HEAL_S)
            except asyncio.TimeoutError:
                self.farm.wrong.append(f"node-{instance.index} was told to end and runs on")
                instance.signal(signal.SIGKILL)
            await asyncio.sleep(max(0.0, begun + pause - time.monotonic()))
            self.upgraded += 1

    def check_memory(self):
        """No instance has held more than its machine has."""
        for instance in self.instances:
            with contextlib.suppress(OSError):
                with open(f"/proc/{instance.process.pid}/status", encoding="ascii") as file:
                    peak = next((int(line.split()[1]) / 1024 for line in file if line.startswith("VmHWM:")), 0.0)
                if peak > MEMORY_MB:
                    self.farm.wrong.append(f"node-{instance.index} held {peak:.0f} MB, of {MEMORY_MB}")

    def lasting(self):
        """Jobs that last and that nobody has cancelled."""
        return [job for job in self.farm.jobs.values()
                if job.kind.lasting and job.id not in self.farm.cancelled and not job.maybe_cancelled]

    async def submit(self, link, job):
        for _ in range(4):
            status, _, _ = await link.call("POST", job.path, job.body(), KEY)
            job.answered(status)
            if status == 200:
                return
            await asyncio.sleep(0.5)
            link.close()
            link.address = self.random.choice(self.instances).callers

    async def cancel(self, link, job):
        status, _, _ = await link.call("DELETE", job.path, headers=KEY)
        if status in (200, 410):
            self.farm.cancelled.setdefault(job.id, time.monotonic())
        else:
            job.maybe_cancelled = True
        return status

    async def play(self, fault):
        """One fault; it may overlap with others."""
        self.faults.append(f"{time.monotonic() - self.begun:.1f}: {fault}")
        self.watch.fault_begins()
        try:
            await fault.play()
        finally:
            self.watch.fault_ends()

    async def run(self):
        self.over, self.begun = False, time.monotonic()
        await self.build()
        await asyncio.sleep(SETTLE_S)
        clients = [asyncio.ensure_future(self.client(i)) for i in range(self.options.clients)]
        clients.append(asyncio.ensure_future(self.operator()))
        if not self.options.calm:
            clients += [asyncio.ensure_future(self.impatient_client(i)) for i in range(IMPATIENT)]
        if self.options.seed % FAILING_EACH == 0:
            clients.append(asyncio.ensure_future(self.hand_in(jobs.FAILING, FAILING_JOBS)))
        if self.options.seed % CRASHING_EACH == 0:
            self.farm.on_crash = lambda worker: asyncio.ensure_future(self.crash(worker))
            clients.append(asyncio.ensure_future(self.hand_in(jobs.CRASHING, CRASHING_JOBS)))
        if self.options.seed % CROWD_EACH == 0 and not self.options.calm:
            clients.append(asyncio.ensure_future(self.crowds()))
        if self.earlier:
            clients.append(asyncio.ensure_future(self.upgrade()))
        left = self.options.seconds - (time.monotonic() - self.begun)
        running = []
        if self.options.calm:
            await asyncio.sleep(left)
        else:
            running = await faults.play_series(self, left)
        self.over = True
        await asyncio.gather(*clients)
        self.watch.traffic_ended = time.monotonic()
        await asyncio.gather(*running)
        for instance in self.instances:
            instance.signal(signal.SIGCONT)
        self.check_memory()
        await self.check_configuration()
        await self.cancel_all([job for job in self.lasting() if job.kind.fails])  # They would keep racks from being empty.
        await self.check()
        while self.lasting() and self.watch.looks_on(time.monotonic()):
            await asyncio.sleep(0.2)
        await self.cancel_lasting()
        for task in self.background:
            task.cancel()
        for instance in self.instances:
            instance.signal(signal.SIGKILL)
            await instance.process.wait()

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
        for job in list(self.farm.jobs.values()):
            if job.accepted_at is None:
                if job.started and all(a in (429, 503) for a in job.answers):
                    wrong.append(f"{job.id} was refused each time and ran")
                continue
            right, state = self.right_states(job), None
            while time.monotonic() < deadline + 1:
                state = await self.state_of(job)
                if state in right or state in ("completed", "cancelled") or time.monotonic() > deadline:
                    break
                await asyncio.sleep(0.2)
            done = not job.kind.lasting and all(self.farm.step_is_done(job, step) for step in range(job.kind.steps))
            if state == "completed" and not done:
                wrong.append(f"{job.id} ({job.kind.name}) is shown as completed and is not")
            elif state not in right:
                wrong.append(f"{job.id} ({job.kind.name}) was accepted and is {state} at the end")

    def right_states(self, job):
        """That an accepted job may be shown in once all is well."""
        usual = "running" if job.kind.lasting else "failed" if job.kind.crashes_s else "completed"
        if job.id in self.farm.cancelled and job.kind.lasting:
            return ("cancelled",)
        return (usual, "cancelled") if job.id in self.farm.cancelled or job.maybe_cancelled else (usual,)

    async def state_of(self, job):
        """As some instance shows it; a status where it shows none."""
        link = Client(self.random.choice(self.instances).callers)
        status, _, body = await link.call("GET", job.path, headers=KEY)
        link.close()
        return body.get("state") if status == 200 and body else status

    async def cancel_lasting(self):
        """Jobs that last end only so; nothing of them runs a while later."""
        await self.cancel_all(self.lasting())
        await asyncio.sleep(CANCEL_S)
        for worker in self.farm.workers:
            for task in worker.runs:
                if self.farm.job_of(task) and task.split(".")[0] in self.farm.cancelled:
                    self.farm.wrong.append(f"{task} runs on {worker.id}, its job is cancelled")

    async def cancel_all(self, wanted):
        for job in [job for job in wanted if job.accepted_at]:
            for _ in range(5):
                link = Client(self.random.choice(self.instances).callers)
                status = await self.cancel(link, job)
                link.close()
                if status == 200:
                    break
            else:
                self.farm.wrong.append(f"{job.id} can't be cancelled: {status}")


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--binary", default="build/bin/hickoryquay-node")
    parser.add_argument("--seed", type=int, default=random.SystemRandom().randrange(2 ** 31))
    parser.add_argument("--seconds", type=float, default=30.0)
    parser.add_argument("--instances", type=int, default=4)
    parser.add_argument("--workers", type=int, default=12)
    parser.add_argument("--clients", type=int, default=6)
    parser.add_argument("--profile", choices=list(jobs.PROFILES), help="how full the service is; given by the seed otherwise")
    parser.add_argument("--calm", action="store_true", help="no faults")
    parser.add_argument("--upgrade-from", metavar="BINARY", help="instances start as this earlier build and are replaced one "
                        "after the other; skipped with a line if it is not there")
    parser.add_argument("--keep", metavar="DIRECTORY", help="keep all logs there, however the run ends")
    options = parser.parse_args()
    if options.upgrade_from and not os.path.exists(options.upgrade_from):
        print(f"soak: skipped, no earlier build at {options.upgrade_from}")
        return 0
    directory = options.keep or tempfile.mkdtemp(prefix="hickoryquay-soak-")
    os.makedirs(directory, exist_ok=True)
    soak = Soak(options, directory)
    begun = time.monotonic()
    asyncio.run(soak.run())
    share = time.process_time() / (time.monotonic() - begun)
    accepted = sum(job.accepted_at is not None for job in soak.farm.jobs.values())
    print(f"soak: seed {options.seed}, {soak.profile}: {len(soak.farm.jobs)} jobs, {accepted} accepted, "
          f"{sum(ends > 0 for ends in soak.farm.done.values())} tasks and gangs done, "
          f"{len(soak.faults)} faults, " + (f"{soak.upgraded} instances upgraded, " if soak.earlier else "") +
          f"{len(soak.farm.wrong)} promises broken; {soak.watch.calm_s:.0f} s calm, "
          f"longest idle {max(soak.watch.worst.values(), default=0.0):.1f} s; {share:.0%} of a core for the stand-ins")
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
