"""The demonstration: both deployments under faults on loopback, judged by what really ran.

Usage: main.py DIRECTORY_OF_BINARIES [--seed N]. Exit code 0 only if every promise held.
"""

import argparse
import sys
import time

import verdict
from cluster import RECLAIM_LIMIT_MS, Cluster, wait_until
from load import CONFIGURATION, Jobs, Outcomes, RequestLoad

CONFIGURATION_WITHIN_S = 9.0
OPEN_WITHIN_S = 10.0
TAKEOVER_WITHIN_S = 8.4
SETTLE_S = 45.0
DONE_SHARE = 0.95  # Under all faults of the run; a booking is repeated by its caller.
CUT_S = 6.0


class Show:
    """Progress with the time since the start, and the promises that did not hold."""

    def __init__(self):
        self.began = time.monotonic()
        self.broken = []

    def say(self, text):
        print(f"[{time.monotonic() - self.began:5.1f} s] {text}", flush=True)

    def expect(self, held, promise):
        if not held:
            self.broken.append(promise)
            self.say("BROKEN: " + promise)
        return held


def open_markets(cluster, show):
    ok = wait_until(lambda: all(cluster.placer(domain) for domain in cluster.domains), 15)
    show.expect(ok, "each failure domain has a placer")
    said = []

    def opened():
        """An instance that just started may not know the other domains' placers yet; it says so and changes nothing."""
        code, text = cluster.operate(CONFIGURATION)
        said.append(text.strip())
        return code == 0

    if not show.expect(wait_until(opened, OPEN_WITHIN_S, 0.5), "the markets are opened"):
        raise SystemExit("demo: FAILED: the markets are opened: " + said[-1])
    began = time.monotonic()
    in_force = wait_until(lambda: all(has_markets(cluster, entry) for entry in cluster.entries), CONFIGURATION_WITHIN_S)
    show.expect(in_force, f"the configuration is in force everywhere within {CONFIGURATION_WITHIN_S} s")
    show.say(f"markets open, in force at all {len(cluster.entries)} instances after {time.monotonic() - began:.1f} s")


def has_markets(cluster, entry):
    versions = cluster.dump(entry)["versions"]
    return {"config/market/trentmere", "config/market/lumenvale"} <= set(versions)


def submit_mix(jobs):
    """Batches and rebuilds of both deployments, and small jobs that fill the racks on borrowed accelerators."""
    for domain in jobs.cluster.domains:
        jobs.submit(domain, "catalogue batch", "lumenvale", "merchant", "catalogue", 2, 8, 6000, once=True)
        jobs.submit(domain, "rota rebuild", "trentmere", "civic", "rebuild", 2, 8, 5000)
        for _ in range(10):
            jobs.submit(domain, "small job", "lumenvale", "shop", "hero", 1, 1, 3000, adjacency="any")
        jobs.submit(domain, "impossible job", "lumenvale", "shop", "hero", 1, 64, 1000, adjacency="worker")


def kill_placer(cluster, show):
    victim = cluster.placer("leicester")
    cluster.kill(victim)
    began = time.monotonic()
    show.say(f"killed {victim.name}, the placer of leicester")
    taken = wait_until(lambda: cluster.placer("leicester") is not None, TAKEOVER_WITHIN_S)
    show.expect(taken, f"another instance takes the placer role over within {TAKEOVER_WITHIN_S} s")
    show.say(f"the role was taken over after {time.monotonic() - began:.1f} s")
    cluster.start_entry("leicester")


def drain_one(cluster, show):
    leaving = cluster.of_domain("derby")[0]
    replacement = cluster.start_entry("derby")
    cluster.drain(leaving)
    show.say(f"draining {leaving.name}, replaced by {replacement.name}")
    ended = wait_until(lambda: not leaving.alive(), 30)
    show.expect(ended and leaving.process.returncode == 0, "a planned stop ends well")


def cut_domain(cluster, jobs, show):
    cluster.steer("POST", "cut", {"a": "nottingham", "b": "platform", "on": True})
    show.say("nottingham is cut from the platform")
    time.sleep(1.0)
    jobs.submit("nottingham", "job in a cut domain", "lumenvale", "shop", "hero", 1, 1, 1000, adjacency="any", tries=1)
    time.sleep(CUT_S - 1.0)
    cluster.steer("POST", "cut", {"a": "nottingham", "b": "platform", "on": False})
    show.say(f"the cut is healed after {CUT_S:.0f} s")


def call_on_guarantee(cluster, jobs, show):
    """Fills derby with borrowers, then calls on the guaranteed shape of civic."""
    domain = "derby"
    for _ in range(64):
        jobs.submit(domain, "borrower", "lumenvale", "shop", "hero", 1, 1, 20000, adjacency="any")
    busy = wait_until(lambda: free_accelerators(cluster, domain) == 0, 15)
    show.say(f"derby is filled with borrowers, {free_accelerators(cluster, domain)} accelerators free" +
             ("" if busy else " (not full)"))
    began = time.monotonic()
    rebuild = jobs.submit(domain, "guaranteed rebuild", "trentmere", "civic", "rebuild", 2, 8, 4000)
    limit_s = RECLAIM_LIMIT_MS / 1000
    runs = wait_until(lambda: started(jobs, rebuild), limit_s)
    show.expect(runs, f"the guaranteed shape is reclaimed within {limit_s:.0f} s")
    show.say(f"the guaranteed rebuild runs after {time.monotonic() - began:.1f} s")


def free_accelerators(cluster, domain):
    placer = cluster.placer(domain)
    return cluster.dump(placer)["placer"]["measures"]["free"] if placer else -1


def started(jobs, job):
    row = jobs.state(job) if job else None
    return row is not None and row["state"] in ("running", "done")


def judge(cluster, jobs, outcomes, show):
    log = cluster.steer("GET", "log")
    checks = {
        "a job not to be repeated ran twice": verdict.repeated_jobs(log, jobs.accepted),
        "a request not to be repeated ran twice": verdict.repeated_bookings(log),
        "a gang ran partly beyond a lease term": verdict.partial_runs(log, jobs.accepted),
        "a booking ran that was refused as not run": verdict.false_refusals(log, outcomes.bookings),
        "a booking was confirmed that did not run": verdict.false_answers(log, outcomes.bookings),
        "an answer was not the caller's own": outcomes.wrong_answers,
    }
    for promise, cases in checks.items():
        show.expect(not cases, promise + (": " + "; ".join(map(str, cases[:3])) if cases else ""))
    return checks, len(verdict.over_slots(log))


def print_table(jobs, outcomes, checks, over_slots):
    print("\nkind                     outcome                        count")
    for kind, counts in sorted(outcomes.counts.items()):
        for outcome, count in sorted(counts.items()):
            print(f"{kind:<24} {outcome:<30} {count:>5}")
    states = {}
    for job, (kind, *_rest) in jobs.accepted.items():
        row = jobs.state(job)
        state = row["state"] if row else "no row"
        states[(kind, state)] = states.get((kind, state), 0) + 1
        if row and state == "refused":
            print(f"refused: {kind}, attempt {row['attempt']}: {row['why']}")
    print("\naccepted jobs            ended as                       count")
    for (kind, state), count in sorted(states.items()):
        print(f"{kind:<24} {state:<30} {count:>5}")
    print("\nmust be 0                                               count")
    for promise, cases in checks.items():
        print(f"{promise:<55} {len(cases):>5}")
    print(f"\nrefused by a backend server for want of a slot: {over_slots}")
    return states


def run(cluster, seed, show):
    outcomes = Outcomes()
    jobs = Jobs(cluster, outcomes)
    open_markets(cluster, show)
    requests = RequestLoad(cluster, outcomes, seed)
    requests.start()
    try:
        show.say("bookings and previews are coming in")
        submit_mix(jobs)
        time.sleep(2)
        kill_placer(cluster, show)
        drain_one(cluster, show)
        cut_domain(cluster, jobs, show)
        call_on_guarantee(cluster, jobs, show)
        show.expect(wait_until(jobs.all_ended, SETTLE_S, 1.0), "every accepted job ends")
    finally:
        requests.stop()
    checks, over_slots = judge(cluster, jobs, outcomes, show)
    for kind in ("booking", "preview"):
        counts = outcomes.counts.get(kind, {})
        share = counts.get("done", 0) / max(1, sum(counts.values()))
        show.expect(share >= DONE_SHARE, f"{kind}s are answered ({share:.1%} of at least {DONE_SHARE:.0%})")
    states = print_table(jobs, outcomes, checks, over_slots)
    odd = [kind for (kind, state) in states if state not in ("done", "refused")]
    show.expect(not odd, "every accepted job is done or truthfully refused")


def main():
    arguments = argparse.ArgumentParser(description=__doc__)
    arguments.add_argument("binaries")
    arguments.add_argument("--seed", type=int, default=1)
    options = arguments.parse_args()
    show = Show()
    with Cluster(options.binaries) as cluster:
        show.say(f"{len(cluster.entries)} entry instances in {len(cluster.domains)} failure domains serve")
        run(cluster, options.seed, show)
        show.say(f"logs are in {cluster.work}")
    if show.broken:
        print("demo: FAILED: " + "; ".join(show.broken))
        return 1
    print("demo: ok")
    return 0


if __name__ == "__main__":
    sys.exit(main())
