"""What callers hand in: kinds of jobs, one entry each, and how full they keep the service."""
import dataclasses
import time

CPU, MEM_MB = 1000, 1000  # Of each task.
GPU_OF_WORKER, WORKERS_OF_RACK, DOMAINS = 8, 4, 3
FAR_FACTOR = 3.0          # Work of a gang for one rack that runs on several.
QUEUES = 3


@dataclasses.dataclass(frozen=True)
class Kind:
    name: str
    weight: float
    tasks: tuple            # Of a step: from, to.
    gpu: tuple              # Of a task: one of these.
    work_s: tuple           # Of a task: from, to. Of a lasting one: until it is at work.
    steps: int = 1          # One after the other.
    gang: bool = False
    one_rack: bool = False
    lasting: bool = False
    estimate: float = 1.0   # Estimate / duration.
    fails: bool = False     # Of a lasting one: as soon as it is at work, each time.
    crashes_s: float = 0.0  # Its worker crashes so long after each start; 0: it does not.

    def mean_gpu_s(self):
        """Of a whole job; a lasting one counts apart."""
        if self.lasting:
            return 0.0
        return self.steps * sum(self.tasks) / 2 * sum(self.gpu) / len(self.gpu) * sum(self.work_s) / 2


KINDS = (
    Kind("tasks", 6.0, tasks=(1, 4), gpu=(1, 2, 4), work_s=(0.3, 2.0)),
    Kind("underestimated", 1.5, tasks=(1, 4), gpu=(1, 2), work_s=(0.5, 2.0), estimate=0.4),
    Kind("long", 0.7, tasks=(1, 2), gpu=(1, 2), work_s=(4.0, 8.0)),
    Kind("steps", 1.5, tasks=(1, 3), gpu=(1, 2, 4), work_s=(0.3, 1.0), steps=3),
    Kind("gang", 2.0, tasks=(2, 6), gpu=(1, 2, 4), work_s=(0.5, 2.0), gang=True),
    Kind("rack-gang", 1.0, tasks=(2, 6), gpu=(2, 4), work_s=(0.5, 2.0), gang=True, one_rack=True),
    Kind("whole-rack", 0.5, tasks=(WORKERS_OF_RACK - 1, WORKERS_OF_RACK), gpu=(GPU_OF_WORKER,), work_s=(0.5, 1.5), gang=True,
         one_rack=True),
    Kind("gang-steps", 0.7, tasks=(2, 4), gpu=(1, 2, 4), work_s=(0.3, 1.0), steps=2, gang=True, one_rack=True),
    Kind("lasting", 0.7, tasks=(1, 3), gpu=(1, 2), work_s=(0.2, 0.5), lasting=True),
)
MOST_LASTING = 4  # Jobs at a time.
FAILING = Kind("failing", 0.0, tasks=(1, 3), gpu=(1,), work_s=(0.2, 0.5), lasting=True, fails=True)
CRASHING = Kind("crashing", 0.0, tasks=(1, 1), gpu=(1,), work_s=(9.0, 9.0), crashes_s=3.0)
SHORT = Kind("short", 0.0, tasks=(1, 1), gpu=(1,), work_s=(0.3, 0.6))
CRASHES, STARTS_MORE = 3, 3  # Workers that crash under a task, and the starts after that until it is given up.

PROFILES = {"low": 0.2, "half": 0.45, "full": 1.1, "busy": 0.75}  # Work handed in / room.
USUAL_PROFILES = ("low", "half", "full")


def seconds_between(profile, workers, clients):
    """From a client's job to its next, on average."""
    mean = sum(kind.weight * kind.mean_gpu_s() for kind in KINDS) / sum(kind.weight for kind in KINDS)
    return mean * clients / (PROFILES[profile] * workers * GPU_OF_WORKER)


class Job:
    """One job as it was asked for, and what callers know of it."""

    def __init__(self, job, kind, random):
        self.id, self.kind = job, kind
        self.tasks, self.gpu, self.work = random.randint(*kind.tasks), random.choice(kind.gpu), random.uniform(*kind.work_s)
        self.path = f"/q{random.randrange(QUEUES)}/{job}"
        self.answers, self.accepted_at, self.started, self.maybe_cancelled = [], None, False, False

    def body(self):
        step = {"count": self.tasks, "cpu": CPU, "memMb": MEM_MB, "gpu": self.gpu,
                "estimateMs": max(1, int(1000 * self.work * self.kind.estimate))}
        flags = {"gang": self.kind.gang, "rackLocal": self.kind.one_rack, "longRunning": self.kind.lasting}
        step.update({name: True for name, value in flags.items() if value})
        return {"spec": "x", "steps": [dict(step, after=[number - 1]) if number else step for number in range(self.kind.steps)]}

    def answered(self, status):
        self.answers.append(status)
        if status == 200 and self.accepted_at is None:
            self.accepted_at = time.monotonic()

    def names(self, step):
        return [f"{self.id}.0.{step}.{index}" for index in range(self.tasks)]


def draw(job, random, lasting):
    """A job of any kind; `lasting`: so many that last are there."""
    kinds = [kind for kind in KINDS if not kind.lasting or lasting < MOST_LASTING]
    return Job(job, random.choices(kinds, [kind.weight for kind in kinds])[0], random)
