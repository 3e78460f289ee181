"""The mixed load of both deployments: bookings, previews, small jobs, a catalogue batch, a rota rebuild."""

import json
import random
import threading
import time

from cluster import DOMAINS, NoAnswer, call

BOOKING_TRIES = 6
REQUEST_TIMEOUT_S = 6.0

CONFIGURATION = """
create market trentmere domains leicester, derby, nottingham weight 0.9
create class trentmere/booking urgency 0 deadline 5s repeatable no
create class trentmere/rebuild urgency 4 checkpointable yes preemptible yes
create class trentmere/check urgency 6 preemptible yes
create account trentmere/civic
create account trentmere/dance
create guarantee trentmere/civic/rebuilds blocks 6 of 8 adjacent rack

create market lumenvale domains leicester, derby, nottingham weight 0.5
create class lumenvale/preview urgency 1 deadline 4s
create class lumenvale/hero urgency 3 preemptible yes
create class lumenvale/catalogue urgency 5 repeatable no preemptible no
create account lumenvale/shop
create account lumenvale/merchant
"""


class Outcomes:
    """What callers were told, by kind of work. Thread-safe."""

    def __init__(self):
        self.lock = threading.Lock()
        self.counts = {}
        self.bookings = {}  # Key: list of what each try was told.
        self.wrong_answers = []

    def count(self, kind, outcome):
        with self.lock:
            self.counts.setdefault(kind, {}).setdefault(outcome, 0)
            self.counts[kind][outcome] += 1

    def note_booking(self, key, told):
        with self.lock:
            self.bookings.setdefault(key, []).append(told)

    def wrong(self, what):
        with self.lock:
            self.wrong_answers.append(what)


class RequestLoad:
    """Callers of both deployments, in threads of their own, until stopped."""

    def __init__(self, cluster, outcomes, seed):
        self.cluster = cluster
        self.outcomes = outcomes
        self.seed = seed
        self.stopping = threading.Event()
        self.threads = []

    def start(self):
        for index, domain in enumerate(DOMAINS):
            self._spawn(self._book, domain, index)
            self._spawn(self._preview, domain, index)

    def stop(self):
        self.stopping.set()
        for thread in self.threads:
            thread.join()

    def _spawn(self, body, domain, index):
        thread = threading.Thread(target=body, args=(domain, random.Random(self.seed * 100 + index)))
        self.threads.append(thread)
        thread.start()

    def _book(self, domain, draw):
        number = 0
        while not self.stopping.is_set():
            number += 1
            key = f"booking-{domain}-{number}"
            self._try_booking(domain, key, draw)
            time.sleep(0.03)

    def _try_booking(self, domain, key, draw):
        """A caller repeats its own key, through whatever instance the balancer gives, until it is told an end."""
        headers = {
            "HQ-Market": "trentmere", "HQ-Account": "dance", "HQ-Class": "booking",
            "HQ-Deadline-Ms": "5000", "HQ-Once": "1", "Idempotency-Key": key,
        }
        body = f"one place for {key}"
        for _ in range(BOOKING_TRIES):
            told = self._ask(domain, f"/serve/book?work_ms={draw.randint(5, 40)}", body, headers)
            self.outcomes.note_booking(key, told)
            if told in ("done", "already-run", "unknown"):
                self.outcomes.count("booking", told)
                return
            time.sleep(0.2)
        self.outcomes.count("booking", told)

    def _preview(self, domain, draw):
        number = 0
        while not self.stopping.is_set():
            number += 1
            headers = {"HQ-Market": "lumenvale", "HQ-Account": "shop", "HQ-Class": "preview", "HQ-Deadline-Ms": "4000"}
            body = f"thumbnail {domain} {number}"
            told = self._ask(domain, f"/serve/preview?work_ms={draw.randint(5, 60)}", body, headers)
            self.outcomes.count("preview", told)
            time.sleep(0.02)

    def _ask(self, domain, path, body, headers):
        try:
            status, answer_headers, answer = call(
                self.cluster.balancer(domain), "POST", path, body, headers, timeout=REQUEST_TIMEOUT_S
            )
        except NoAnswer:
            return "no-answer"
        told = answer_headers.get("hq-outcome", f"status-{status}")
        if told == "done" and answer.decode() != body:
            self.outcomes.wrong(f"{body!r} was answered {answer[:80]!r}")
        return told


class Jobs:
    """Jobs submitted through the balancers, and what became of them."""

    def __init__(self, cluster, outcomes):
        self.cluster = cluster
        self.outcomes = outcomes
        self.accepted = {}  # Id: (kind, domain, tasks, once).
        self.refused = {}

    def submit(self, domain, kind, market, account, work, tasks, accelerators, run_ms, adjacency="rack", once=False,
               tries=1):
        key = f"{kind}-{domain}-{len(self.accepted) + len(self.refused)}-{time.monotonic_ns()}"
        spec = {
            "market": market, "account": account, "class": work, "once": once, "key": key,
            "shape": {"tasks": tasks, "task": {"accelerators": accelerators, "millicores": 1000, "memory_mb": 1024},
                      "adjacency": adjacency},
            "declared_run_ms": run_ms, "payload": json.dumps({"run_ms": run_ms}),
        }
        for _ in range(tries):
            try:
                status, _, body = call(self.cluster.balancer(domain), "POST", "/v1/jobs", json.dumps(spec))
            except NoAnswer:
                why = "no-answer"
                time.sleep(0.3)
                continue
            answer = json.loads(body)
            if status in (200, 202):
                self.accepted[answer["id"]] = (kind, domain, tasks, once)
                self.outcomes.count(kind, "accepted")
                return answer["id"]
            why = answer["error"]["code"]
            if why not in ("not_recorded", "record_unsure"):
                break
            time.sleep(0.3)
        self.refused[key] = why
        self.outcomes.count(kind, "refused: " + why)
        return None

    def state(self, job):
        """The job's row as an instance of its domain gives it, or None."""
        domain = self.accepted[job][1]
        try:
            status, _, body = call(self.cluster.balancer(domain), "GET", "/v1/jobs/" + job, timeout=3)
        except NoAnswer:
            return None
        return json.loads(body) if status == 200 else None

    def all_ended(self):
        for job in self.accepted:
            row = self.state(job)
            if row is None or row["state"] in ("waiting", "starting", "running"):
                return False
        return True
