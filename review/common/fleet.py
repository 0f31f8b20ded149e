"""Starts entry processes as the deploy file says, and clients; standard library only."""

import contextlib
import http.client
import itertools
import json
import os
import random
import re
import signal
import socket
import subprocess
import tempfile
import threading
import time
from pathlib import Path

from standins import MODEL, Link, find_port

ROOT = Path(__file__).resolve().parents[2]
HOST = "pule25.example"
KEY = "nu6wsjnbanfqasnmgkcu"
TENANT = "jeye930"
# The bounds of the deployments in SYSTEM.md (both state the same ones but for retry_slack).
BOUNDS = {
    "config_apply_ms": 2000,
    "drain_ms": 2000,
    "grace_s": 8,
    "lease_ms": 3000,
    "version_ms": 10000,
    "retry_ratio": 0.2,
    "retry_slack": 56,
    "cold_factor": 1.5,
    "cold_slack": 5,
    "contact_ms": 3000,
}


def _stop_case(number, frame):
    raise SystemExit(2)


# A case that is stopped from outside still ends the processes that it started.
signal.signal(signal.SIGTERM, _stop_case)


class Record:
    """Writes record.txt: one line an event, with seconds since the start."""

    def __init__(self, folder):
        self._file = open(Path(folder) / "record.txt", "w", encoding="utf-8")
        self._lock = threading.Lock()
        self._started_at = time.monotonic()

    def write(self, text, at=None):
        with self._lock:
            seconds = (at or time.monotonic()) - self._started_at
            self._file.write(f"{seconds:9.3f}  {text}\n")
            self._file.flush()


def render(template, fields):
    """Fills in the placeholders ``{{a.b.0}}`` of a settings template."""

    def find(match):
        value = fields
        for part in match.group(1).split("."):
            value = value[int(part)] if isinstance(value, list) else value[part]
        return str(value)

    return re.sub(r"\{\{([a-z0-9_.]+)\}\}", find, template)


def read_deploy_file():
    """Returns the words of the command that runs the entry role, and its settings template."""
    text = (ROOT / "deploy/system.toml").read_text()
    run = re.search(r'^run = "(.*)"$', text, re.M).group(1).split()
    return run, (ROOT / re.search(r'^template = "(.*)"$', text, re.M).group(1)).read_text()


class Entry:
    """One entry process on a loopback address of its own, behind a link to the store."""

    def __init__(self, name, zone, store, folder, bounds=BOUNDS):
        self.name, self.zone = name, zone
        self.ip = f"127.{random.randint(10, 250)}.{random.randint(1, 250)}.{random.randint(2, 250)}"
        self.link = Link(store.port)
        self.front = f"{self.ip}:{find_port(self.ip)}"
        self.ready = f"{self.ip}:{find_port(self.ip)}"
        port = find_port(self.ip)
        command, template = read_deploy_file()
        fields = {
            "node": name,
            "zone": zone,
            "ip": self.ip,
            "listen": {"front": self.front, "ready": self.ready},
            "internal_ports": [port, port],
            "platform": {"address": f"127.0.0.1:{self.link.port}"},
            "bounds": bounds,
        }
        self._command = command
        self._settings = Path(folder) / f"{name}.settings"
        self._settings.write_text(render(template, fields))
        self._log = open(Path(folder) / f"{name}.log", "ab")
        self.process = None

    def start(self):
        environment = {n: os.environ[n] for n in ("PATH", "HOME", "LANG") if n in os.environ}
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        environment["MULBERRYRILL_SETTINGS"] = str(self._settings)
        self.process = subprocess.Popen(
            self._command,
            cwd=ROOT,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=self._log,
            stderr=self._log,
        )

    def is_ready(self):
        host, port = self.ready.split(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=0.5)
        try:
            connection.request("GET", "/-/ready")
            return connection.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False
        finally:
            connection.close()

    def wait_ready(self, timeout_s=20):
        end = time.monotonic() + timeout_s
        while not self.is_ready():
            if time.monotonic() > end or self.process.poll() is not None:
                log = Path(self._log.name).read_text(errors="replace")[-1500:]
                raise RuntimeError(f"{self.name} does not get ready: {log}")
            time.sleep(0.1)

    def stop(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()
        self.link.close()
        self._log.close()


def create_configuration(version=1):
    """Returns a configuration with a plain and a streamed route, as PROTOCOL.md describes it."""
    common = {"host": HOST, "priority": 1}
    return {
        "version": version,
        "routes": [
            {**common, "name": "book", "path_prefix": "/book/", "kind": "non_idempotent"}
            | {"service": "permit-desk", "max_attempts": 1}
            | {"timeout_ms": 800, "target_latency_ms": 150},
            {**common, "name": "tag", "path_prefix": "/tag/", "kind": "stream", "sticky": True}
            | {"service": "kimolia-lm", "max_attempts": 1, "gap_aim_ms": 500}
            | {"timeout_ms": 3000, "target_latency_ms": 500},
        ],
        "services": [
            {"name": "permit-desk", "max_conns": 110},
            {"name": "kimolia-lm", "max_conns": 370, "cold_start_s": 3.0, "cold_per_s": 12.0}
            | {"engine": {"slots": 64, "kv_capacity": 95012, "max_inflight": 12}},
        ],
        "limits": {
            "max_header_bytes": 8192,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 8000,
        },
        "tenants": [{"name": TENANT, "api_keys": [KEY]}],
    }


class Client:
    """A client that keeps its connection as long as the machine does, and never retries."""

    def __init__(self, entry, record, name):
        self._entry, self._record, self._name = entry, record, name
        self._numbers = itertools.count(1)
        self._connection = None

    def send(self, method, path, body, deadline_ms, **headers):
        """Sends one request; returns its id, when it was sent, the status (None: no answer)."""
        request_id = f"{self._name}-{next(self._numbers):05d}"
        all_headers = {
            "Host": HOST,
            "Request-Id": request_id,
            "X-Api-Key": KEY,
            "Deadline-Ms": str(deadline_ms),
            **{name.replace("_", "-"): value for name, value in headers.items()},
        }
        if self._connection is None:
            host, port = self._entry.front.split(":")
            self._connection = http.client.HTTPConnection(host, int(port), timeout=6)
        sent_at = time.monotonic()
        self._record.write(f"sent      {request_id} {method} {path} to {self._entry.name}", sent_at)
        status = None
        try:
            self._connection.request(method, path, body, all_headers)
            response = self._connection.getresponse()
            response.read()
            status = response.status
            if response.will_close:
                self.close()
        except (OSError, http.client.HTTPException) as error:
            self._record.write(f"no answer {request_id}: {type(error).__name__}")
            self.close()
            return request_id, sent_at, None
        self._record.write(f"answered  {request_id} {status}")
        return request_id, sent_at, status

    def close(self):
        if self._connection is not None:
            self._connection.close()
            self._connection = None


@contextlib.contextmanager
def open_folder():
    """Returns a temporary folder that is deleted at the end."""
    with tempfile.TemporaryDirectory(prefix="mulberryrill-review-") as folder:
        yield folder
