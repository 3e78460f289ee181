"""Faults from outside the instances, one entry each, and how they come: in series, one over the other, with calm between."""
import asyncio
import contextlib
import os
import signal
import sys

LONGEST_S = 5.0
SAME_SHARE = 0.3          # Of the series: the same fault again and again.
SERIES, GAP_S = (2, 10), (0.1, 1.5)
MOST_CALM_S, MOST_CALM_SHARE = 12.0, 0.25  # Between two series; of the whole time.


class Fault:
    """One fault with all that it hits, as drawn; a fault uses what it needs."""

    def __init__(self, soak, kind):
        random = soak.random
        self.soak, self.kind = soak, kind
        self.instance, self.worker = random.choice(soak.instances), random.choice(soak.farm.workers)
        self.length = random.uniform(0.3, LONGEST_S)

    def __str__(self):
        return f"{self.kind} node-{self.instance.index} {self.worker.name} {self.length:.1f}"

    async def play(self):
        await KINDS[self.kind][1](self)


@contextlib.contextmanager
def hurt(proxies, how, reset=True):
    """Connections that were hurt don't come back to life: they are reset."""
    for proxy in proxies:
        proxy.hurts[how] += 1
    try:
        yield
    finally:
        for proxy in proxies:
            proxy.hurts[how] -= 1
            if reset:
                proxy.reset()


def signals(number):
    async def play(fault):
        fault.instance.signal(number)

    return play


async def suspend(fault):
    fault.instance.signal(signal.SIGSTOP)
    await asyncio.sleep(fault.length)
    fault.instance.signal(signal.SIGCONT)


async def reset_store(fault):
    fault.instance.proxy.reset()


def links(how, proxies, reset=True):
    async def play(fault):
        with hurt(proxies(fault), how, reset):
            await asyncio.sleep(fault.length)

    return play


def store_of_one(fault):
    return [fault.instance.proxy]


def store_of_all(fault):
    return [instance.proxy for instance in fault.soak.instances]


def worker_link(fault):
    return [fault.worker.proxy]


async def refuse_instance(fault):
    """The store answers 503 to one instance."""
    refused = fault.soak.store.refused
    refused[fault.instance.index] += 1
    await asyncio.sleep(fault.length)
    refused[fault.instance.index] -= 1


async def cut_history(fault):
    fault.soak.store.cut_history()


async def new_life(fault):
    """A crash; the entry of the life before stays for a while."""
    worker, store = fault.worker, fault.soak.store
    if not worker.up:
        return
    old = worker.id
    worker.begin_life()
    worker.proxy.reset()
    await store.put("servers", worker.id, worker.row())
    await asyncio.sleep(min(fault.length, 4.5))
    await store.remove("servers", old)


async def restart(fault):
    """Down for a moment, and back under the same id; its entry stays."""
    worker, store = fault.worker, fault.soak.store
    if not worker.up or worker.draining:
        return
    worker.up = False
    worker.begin_life(worker.id)
    worker.proxy.reset()
    await asyncio.sleep(fault.length / 4)
    worker.up = True
    await store.put("servers", worker.id, worker.row())


async def drain(fault):
    """Reports that it leaves, leaves, and is back as another worker."""
    worker, store = fault.worker, fault.soak.store
    if not worker.up or worker.draining:
        return
    worker.draining, old = True, worker.id
    await store.put("servers", old, dict(worker.row(), remainingMs=int(1000 * fault.length)))
    await asyncio.sleep(fault.length)
    if worker.id == old:
        worker.up = False
        worker.proxy.reset()
        worker.begin_life()
        await store.remove("servers", old)
        await asyncio.sleep(1.0)
        worker.up = True
        await store.put("servers", worker.id, worker.row())
    else:
        await store.remove("servers", old)


async def slow_worker(fault):
    fault.worker.slowed += 1
    await asyncio.sleep(2 * fault.length)
    fault.worker.slowed -= 1


async def refuse_starts(fault):
    fault.worker.refusing += 1
    await asyncio.sleep(fault.length)
    fault.worker.refusing -= 1


KINDS = {  # Weight, how it is played.
    "kill": (1.0, signals(signal.SIGKILL)),
    "terminate": (1.0, signals(signal.SIGTERM)),
    "hang-up": (1.0, signals(signal.SIGHUP)),
    "suspend": (1.0, suspend),
    "store-reset": (1.0, reset_store),
    "store-silent": (1.0, links("silent", store_of_one)),
    "store-one-way": (1.0, links("one_way", store_of_one)),
    "store-delay": (1.0, links("delay", store_of_one, reset=False)),
    "store-silent-to-all": (1.0, links("silent", store_of_all)),
    "store-refuses-one": (1.0, refuse_instance),
    "history-cut": (0.7, cut_history),
    "worker-silent": (1.0, links("silent", worker_link)),
    "worker-one-way": (1.0, links("one_way", worker_link)),
    "worker-new-life": (1.0, new_life),
    "worker-restart": (1.0, restart),
    "worker-drains": (1.0, drain),
    "worker-slow": (0.7, slow_worker),
    "worker-refuses": (0.7, refuse_starts),
}


class LateWrites:
    """The store leaves writes of one instance to some parts unanswered and does them seconds later."""

    def __init__(self, soak, random):
        self.soak, self.instance, self.length = soak, random.choice(soak.instances), random.uniform(1.0, 4.5)
        self.name = random.getrandbits(64)

    def __str__(self):
        return f"late-writes node-{self.instance.index} {self.length:.1f}"

    async def play(self):
        late = self.soak.store.late
        late[self.instance.index].append(self.name)
        await asyncio.sleep(self.length)
        late[self.instance.index].remove(self.name)


class Crowd:
    """Clients that don't behave open connections to one instance and keep them for a while; see tests/crowd."""

    SHAPES = ("half_chunk", "small_chunks", "half_body", "endless", "half_head", "silent", "nested", "wide_json",
              "wrong_key", "waves:half_body")
    SCRIPT = os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "tests", "crowd", "crowd.py")

    def __init__(self, soak, random):
        self.soak, self.instance, self.length = soak, random.choice(soak.instances), random.uniform(0.5, LONGEST_S)
        self.shape, self.count = random.choice(self.SHAPES), random.randint(20, 100)

    def __str__(self):
        return f"crowd node-{self.instance.index} {self.shape} {self.count} {self.length:.1f}"

    async def play(self):
        host, port = self.instance.callers
        words = [sys.executable, self.SCRIPT, self.shape, host, str(port), str(self.count), "/q0/", "soak.example"]
        process = await asyncio.create_subprocess_exec(*words, stdin=asyncio.subprocess.PIPE,
                                                       stdout=asyncio.subprocess.DEVNULL)
        await asyncio.sleep(self.length)
        process.stdin.close()
        await process.wait()


def draw(soak):
    return soak.random.choices(list(KINDS), [weight for weight, _ in KINDS.values()])[0]


async def play_series(soak, seconds):
    """Series until the time is over; returns the faults that aren't over yet."""
    running, clock = [], asyncio.get_running_loop().time
    end, most_calm = clock() + seconds, min(MOST_CALM_S, MOST_CALM_SHARE * seconds)
    while clock() < end:
        same = draw(soak) if soak.random.random() < SAME_SHARE else None
        for _ in range(soak.random.randint(*SERIES)):
            await asyncio.sleep(min(soak.random.uniform(*GAP_S), max(0.0, end - clock())))
            if clock() >= end:
                break
            running.append(asyncio.ensure_future(soak.play(Fault(soak, same or draw(soak)))))
        await asyncio.sleep(min(soak.random.uniform(0.0, most_calm), max(0.0, end - clock())))
    return running
