"""Checks the promises against the stand-in's own log of what ran."""

from cluster import WORKER_LEASE_MS

STOPPED = ("stop", "checkpoint", "lapse", "fail")
SLACK_MS = 500  # Between a worker's clock tick and its log.


def partial_runs(log, jobs):
    """Attempts of which a part ran for longer than a lease term while another part did not."""
    attempts = {}
    for record in log:
        if record["what"] in ("start", "finish") + STOPPED and record["job"] in jobs:
            attempts.setdefault((record["job"], record["attempt"]), []).append(record)
    late = []
    for (job, attempt), records in attempts.items():
        tasks = jobs[job][2]
        starts = [r for r in records if r["what"] == "start"]
        ends = {r["where"]: r["at_ms"] for r in records if r["what"] != "start"}
        first = min(r["at_ms"] for r in starts)
        whole = sum(r["tasks"] for r in starts) == tasks
        complete_at = max(r["at_ms"] for r in starts) if whole else None
        last_end = max(ends.get(r["where"], float("inf")) for r in starts)
        if complete_at is None:
            ran_partly = last_end - first
        else:
            broken = [r["at_ms"] for r in records if r["what"] in STOPPED]
            ran_partly = max(complete_at - first, last_end - min(broken) if broken else 0)
        if ran_partly > WORKER_LEASE_MS + SLACK_MS:
            late.append(f"{job} attempt {attempt}: partly running for {ran_partly} ms")
    return late


def repeated_jobs(log, jobs):
    """Jobs not to be repeated of which more than one attempt ran."""
    attempts = {}
    for record in log:
        if record["what"] == "start" and record["job"] in jobs and jobs[record["job"]][3]:
            attempts.setdefault(record["job"], set()).add(record["attempt"])
    return [f"{job}: attempts {sorted(ran)}" for job, ran in attempts.items() if len(ran) > 1]


def repeated_bookings(log):
    """Requests not to be repeated that ran more than once."""
    runs = {}
    for record in log:
        if record["what"] == "request" and record["detail"] == "once":
            runs[record["job"]] = runs.get(record["job"], 0) + 1
    return [f"{key}: ran {count} times" for key, count in runs.items() if count > 1]


def false_refusals(log, bookings):
    """Bookings that ran although every try was told that they were not run."""
    ran = {record["job"] for record in log if record["what"] == "request"}
    return [key for key, told in bookings.items() if set(told) == {"not-run"} and key in ran]


def false_answers(log, bookings):
    """Bookings that were told done or already run without having run."""
    ran = {record["job"] for record in log if record["what"] == "request"}
    return [key for key, told in bookings.items() if {"done", "already-run"} & set(told) and key not in ran]


def over_slots(log):
    """Requests that came to a backend server beyond its slots."""
    return [record["where"] for record in log if record["what"] == "over_slots"]
