"""Starts the stand-in and the entry instances as plain processes on loopback, and talks to them."""

import http.client
import json
import os
import signal
import subprocess
import tempfile
import threading
import time

DOMAINS = ["leicester", "derby", "nottingham"]
INSTANCES_PER_DOMAIN = 2
TOKEN = "demo-operator-secret"
TOPOLOGY = {
    "domains": [
        {"name": name, "racks": 2, "workers_per_rack": 4, "backends": 4, "slots": 8, "connections": 60,
         "markets": ["trentmere", "lumenvale"]}
        for name in DOMAINS
    ],
    "list_lag_ms": 1000,
}
SETTINGS = """[instance]
id = {id}
domain = {domain}
callers = 127.0.0.1:0
inner = 127.0.0.1:0
admin = 127.0.0.1:0
threads = 2

[platform]
table = {platform}
objects = {platform}
list = {platform}

[admin]
token.demo = operator:{token}

[placer]
worker_lease = {worker_lease_ms}ms
reclaim_limit = {reclaim_limit_ms}ms
"""
WORKER_LEASE_MS = 15000  # The default; three fifths of it outlast a takeover of the placer role.
RECLAIM_LIMIT_MS = 15000


class NoAnswer(Exception):
    """No whole answer came; the call may have taken effect."""


def call(address, method, path, body=None, headers=None, timeout=10.0):
    """One HTTP call. Returns (status, headers, body); raises NoAnswer."""
    host, port = address.rsplit(":", 1)
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        connection.request(method, path, body=body, headers=headers or {})
        answer = connection.getresponse()
        return answer.status, {k.lower(): v for k, v in answer.getheaders()}, answer.read()
    except (OSError, http.client.HTTPException) as error:
        raise NoAnswer(str(error)) from error
    finally:
        connection.close()


class Entry:
    """One running hickoryquayd."""

    def __init__(self, name, domain, process, addresses):
        self.name = name
        self.domain = domain
        self.process = process
        self.callers = addresses["callers"]
        self.inner = addresses["inner"]
        self.admin = addresses["admin"]

    def alive(self):
        return self.process.poll() is None


class Cluster:
    """The stand-in with its entry instances. Use as a context manager: leaving it ends every process."""

    def __init__(self, bin_dir):
        self.bin_dir = bin_dir
        self.work = tempfile.mkdtemp(prefix="hickoryquay-demo-")
        self.entries = []
        self.started = 0
        self.standin = None
        self.lock = threading.Lock()

    def __enter__(self):
        topology = os.path.join(self.work, "topology.json")
        with open(topology, "w", encoding="utf-8") as file:
            json.dump(TOPOLOGY, file)
        self.standin = subprocess.Popen(
            [os.path.join(self.bin_dir, "standin"), "--topology", topology], stdout=subprocess.PIPE, text=True
        )
        self.control = self.standin.stdout.readline().strip()
        self.domains = self.steer("GET", "addresses")["domains"]
        for domain in DOMAINS:
            for _ in range(INSTANCES_PER_DOMAIN):
                self.start_entry(domain)
        return self

    def __exit__(self, *_):
        for entry in self.entries:
            if entry.alive():
                entry.process.kill()
        self.standin.terminate()
        for process in [entry.process for entry in self.entries] + [self.standin]:
            process.wait()

    def steer(self, method, path, body=None):
        """A control call to the stand-in; its JSON answer."""
        status, _, answer = call(self.control, method, "/control/" + path, json.dumps(body) if body else None)
        if status != 200:
            raise RuntimeError(f"stand-in refused {path}: {answer}")
        return json.loads(answer) if path != "log" else [json.loads(line) for line in answer.splitlines()]

    def start_entry(self, domain):
        """Starts one more entry instance and puts it on the platform's list."""
        self.started += 1
        name = f"{domain}-e{self.started}"
        path = os.path.join(self.work, name + ".ini")
        with open(path, "w", encoding="utf-8") as file:
            file.write(
                SETTINGS.format(
                    id=name,
                    domain=domain,
                    platform=self.domains[domain]["platform"],
                    token=TOKEN,
                    worker_lease_ms=WORKER_LEASE_MS,
                    reclaim_limit_ms=RECLAIM_LIMIT_MS,
                )
            )
        log = open(os.path.join(self.work, name + ".log"), "w", encoding="utf-8")
        process = subprocess.Popen(
            [os.path.join(self.bin_dir, "hickoryquayd"), "--settings", path],
            stdout=subprocess.PIPE, stderr=log, text=True,
        )
        line = process.stdout.readline().split()
        addresses = dict(part.split("=", 1) for part in line if "=" in part)
        if "callers" not in addresses:
            raise RuntimeError(f"{name} did not start, see {log.name}")
        threading.Thread(target=self._drain_output, args=(process, log), daemon=True).start()
        entry = Entry(name, domain, process, addresses)
        self.steer("POST", "instances",
                   {"id": name, "domain": domain, "callers": entry.callers, "inner": entry.inner})
        with self.lock:
            self.entries.append(entry)
        return entry

    @staticmethod
    def _drain_output(process, log):
        for line in process.stdout:
            log.write(line)
            log.flush()

    def balancer(self, domain):
        return self.domains[domain]["balancer"]

    def of_domain(self, domain):
        return [entry for entry in self.entries if entry.domain == domain and entry.alive()]

    def dump(self, entry):
        status, _, body = call(entry.admin, "GET", "/dump", headers={"Authorization": "Bearer " + TOKEN})
        if status != 200:
            raise RuntimeError(f"no dump of {entry.name}: {status} {body[:200]}")
        return json.loads(body)

    def placer(self, domain):
        """The entry instance that holds the placer role of a domain, or None."""
        for entry in self.of_domain(domain):
            try:
                if self.dump(entry)["placer_role"]["holding"]:
                    return entry
            except (NoAnswer, KeyError):
                continue
        return None

    def kill(self, entry):
        entry.process.send_signal(signal.SIGKILL)

    def drain(self, entry):
        """A planned stop: off the balancer, then SIGTERM."""
        self.steer("POST", "leaving", {"id": entry.name})
        entry.process.send_signal(signal.SIGTERM)

    def operate(self, statements, timeout_s=10.0):
        """Runs operator statements through hqctl, trying the instances in turn."""
        token = os.path.join(self.work, "token")
        with open(token, "w", encoding="utf-8") as file:
            file.write(TOKEN)
        script = os.path.join(self.work, "script")
        with open(script, "w", encoding="utf-8") as file:
            file.write(statements)
        entry = next(e for e in self.entries if e.alive())
        done = subprocess.run(
            [os.path.join(self.bin_dir, "hqctl"), "--at", entry.admin, "--token-file", token, "--script", script],
            capture_output=True, text=True, timeout=timeout_s, check=False,
        )
        return done.returncode, done.stdout + done.stderr


def wait_until(condition, timeout_s, step_s=0.1):
    """Waits for a condition; returns whether it came true."""
    until = time.monotonic() + timeout_s
    while time.monotonic() < until:
        if condition():
            return True
        time.sleep(step_s)
    return bool(condition())
