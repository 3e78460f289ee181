"""A gang that would run in one rack is never started, although twice its room is free: no rack is whole any more."""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "lib"))
import stand_ins  # noqa: E402

GANG = "8e5d20f7ab16c349"
FINISH_S = 14.0   # finish_s: from the end of the traffic until jobs are asked for.
JUDGED_S = 40.0   # From the end of the traffic.
LEAVES_S = 2.0    # A worker that leaves serves on for drainMs after its report, then exits.


async def case(platform, trouble):
    record, at = platform.record, platform.instances[0]

    async def submit(path, job, work_s, step):
        platform.work_s[job] = work_s
        for _ in range(20):
            status, _ = await at.call("POST", f"/{path}/{job}", {"spec": job, "steps": [step]})
            if status == 200:
                return
            await asyncio.sleep(0.2)
        raise RuntimeError("a job was not accepted")

    small = {"count": 1, "cpu": 4000, "memMb": 8000, "gpu": 1, "estimateMs": 1000, "longRunning": True}
    for rack in (1, 2, 3):
        await submit("rebuild", f"{rack:016x}", 1e9, {**small, "affinity": f"r{rack}"})
    await asyncio.sleep(2.0)
    for worker in platform.workers:
        record.note(f"{worker.id} in {worker.labels[1]} runs {sorted(worker.runs)}")
    if trouble:
        await next(worker for worker in platform.workers if worker.labels[1] == "r0").leave(LEAVES_S)
        await asyncio.sleep(2.0)
    gang = {"count": 4, "cpu": 4000, "memMb": 8000, "gpu": 8, "estimateMs": 2000, "gang": True, "rackLocal": True}
    await submit("rebuild", GANG, 2.0, gang)
    traffic_ends, still_since, wrong = record.at(), record.at(), ""
    while record.at() < traffic_ends + JUDGED_S:
        await asyncio.sleep(0.1)
        if any(task.startswith(GANG) for _, task, _, _ in platform.starts):
            break
        used = sum(platform.gpus[t.split(".")[0]] for worker in platform.workers for t in worker.runs)
        empty = sum(not worker.runs for worker in platform.workers)
        whole = 8 * len(platform.workers)
        if empty < 8 or 2 * used >= whole:
            still_since = record.at()
        if record.at() >= max(still_since, traffic_ends + FINISH_S) + 3.0 and not wrong:
            wrong = (f"nothing of the gang of 4 workers has run {record.at() - traffic_ends:.1f} s after the last "
                     f"submission; {empty} workers are empty, {used} of {whole} accelerators are in use")
            record.note(wrong)
    await at.call("GET", f"/rebuild/{GANG}")
    return wrong


sys.exit(stand_ins.run(HERE, case, instances=3, workers=[["a", f"r{n // 4}"] for n in range(16)]))
