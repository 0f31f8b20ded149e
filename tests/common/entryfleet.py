"""Runs entry processes against a store and targets that this process simulates.

Every connection between them passes through a ``Link``. Targets report runs and orders to a
``PromiseChecker``.
"""

import contextlib
import http.client
import itertools
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Callable
from enum import Enum
from pathlib import Path

import yaml

from .entry import (
    CUSTOMER,
    HOST,
    LOCAL,
    MODEL,
    PlatformStore,
    ReceivedCall,
    RequestHandler,
    TargetStandin,
    answer_plain,
    create_configuration,
    find_port,
)
from .links import Link, LinkState
from .promises import (
    CONFIGURATION_BOUND_S,
    GRACE_S,
    CallKind,
    CallRecord,
    Disturbances,
    PromiseChecker,
)

STREAM_EVENTS = 8
EVENT_INTERVAL_S = 0.015
PLAIN_CALL_DURATION_S = 0.005
SLOW_FACTOR = 20
HANG_S = 3.0
CALL_TIMEOUT_S = 6.0
READY_TIMEOUT_S = 30.0
API_KEY_COUNT = 40
COLD_DURATION_S = 3.0
# From the beginning of a call until the target ends, and until it is back.
CRASH_DELAY_S = 0.05
TARGET_RESTART_S = 1.5
SERVICES = ("desk", "lm")
DATA_CENTRES = ("z1", "z2")
PATHS = {
    CallKind.GET: ("GET", "/get/"),
    CallKind.PAY: ("POST", "/pay/"),
    CallKind.STREAM: ("POST", "/quick/"),
    CallKind.RESUMABLE: ("POST", "/plan/"),
}
ROUTE_TIMEOUT_S = 2.0
# RFC 9110, section 15: statuses are 100 to 599.
INVALID_STATUS = 999
ENTRY_SCRIPT = Path(__file__).resolve().parents[2] / "deploy" / "entry.py"


class TargetFault(Enum):
    """A fault in how a target handles calls."""

    NONE = "none"
    BREAK = "break"
    REJECT = "reject"
    HANG = "hang"
    SLOW = "slow"
    WITHOUT_STAMP = "unsigned"
    INVALID_STATUS = "invalid status"


class FleetTarget(TargetStandin):
    """A target whose responses contain the ids of the request and of the run."""

    def __init__(self, name: str, service: str, data_centre: str, checker: PromiseChecker) -> None:
        super().__init__(name, answer_plain)
        self.service = service
        self.data_centre = data_centre
        self.fault = TargetFault.NONE
        self.link: Link | None = None
        # Calls on which the target ends as soon as it begins to run them.
        self.crashes_on: Callable[[ReceivedCall], bool] = lambda call: False
        self.on_crash: Callable[[FleetTarget], None] = lambda target: None
        # Calls per second that responses name as the target's limit; None: they name none.
        self.rate_limit: float | None = None
        self.on_call: Callable[[ReceivedCall], object] = lambda call: None
        # Factor by which everything takes longer.
        self.slow_factor = 1
        self._checker = checker
        self._run_numbers = itertools.count()

    @property
    def address(self) -> str:
        port = self.link.port if self.link is not None else self.port
        return f"{LOCAL}:{port}"

    def serve(self, request: RequestHandler, call: ReceivedCall) -> None:
        """Runs a call, or rejects it, according to the fault."""
        headers = call.headers
        # Another incarnation may take over while the call is served.
        name = self.name
        request_id = headers.get("request-id", "")
        self.received_calls.clear()
        if headers.get("expect-instance", name) != name:
            request.reply(421, b"", Not_Run="1", Request_Id=request_id)
            return
        self.on_call(call)
        self._checker.record_arrival(request_id, name, headers.get("deadline-ms"))
        if (quiet_s := self.quiet_s) is not None:
            answered_at = time.monotonic()
            self.ask_for_quiet(request, call, quiet_s)
            self._checker.record_quiet_time(request_id, name, quiet_s, answered_at)
            return
        if self.fault is TargetFault.REJECT:
            request.reply(503, b"", Not_Run="1", Request_Id=request_id)
            return
        if self.crashes_on(call):
            time.sleep(CRASH_DELAY_S)
            self.on_crash(self)
            return
        stamp = f"{name}/{next(self._run_numbers)}"
        self._checker.record_run(request_id, name, stamp, headers.get("tenant"))
        delay_factor = SLOW_FACTOR if self.fault is TargetFault.SLOW else self.slow_factor
        if self.fault is TargetFault.HANG:
            time.sleep(HANG_S)
        origin_headers = {
            "Request_Id": request_id,
            "Server_Stamp": stamp,
            "Weight_Versions": str(self.version),
        }
        if self.rate_limit is not None:
            origin_headers["Server_Limit"] = str(self.rate_limit)
        if self.fault is TargetFault.WITHOUT_STAMP:
            del origin_headers["Server_Stamp"]
        if self.fault is TargetFault.INVALID_STATUS:
            request.reply(INVALID_STATUS, f"{request_id}:{stamp}".encode(), **origin_headers)
            return
        if "/get/" in call.path or "/pay/" in call.path:
            time.sleep(PLAIN_CALL_DURATION_S * delay_factor)
            if self.fault is TargetFault.BREAK:
                self._abort_connection(request)
                return
            request.reply(200, f"{request_id}:{stamp}".encode(), **origin_headers)
            return
        self._stream(request, call, origin_headers, delay_factor)

    def _stream(
        self,
        request: RequestHandler,
        call: ReceivedCall,
        origin_headers: dict[str, str],
        delay_factor: int,
    ) -> None:
        self.begin_stream(request, call, origin_headers)
        first = int(call.headers.get("last-event-id", 0)) + 1
        for number in range(first, STREAM_EVENTS + 1):
            time.sleep(EVENT_INTERVAL_S * delay_factor)
            if self.fault is TargetFault.BREAK and number > STREAM_EVENTS // 2:
                self._abort_connection(request)
                return
            self.send_event(request, number, f"{origin_headers['Request_Id']}:{number}")
        request.wfile.write(b"0\r\n\r\n")

    def _abort_connection(self, request: RequestHandler) -> None:
        request.close_connection = True
        with contextlib.suppress(OSError):
            request.connection.shutdown(socket.SHUT_RDWR)

    def _handle_order(self, request: RequestHandler, body: dict) -> None:
        self._checker.record_order(self.name, body["holder"], body["fence"])
        super()._handle_order(request, body)


class EntryProcess:
    """One entry process and its link to the store."""

    def __init__(
        self, name: str, data_centre: str, store: PlatformStore, folder: Path, **extra: object
    ) -> None:
        """``extra`` are further settings of the process."""
        self.name = name
        self.link = Link(LOCAL, store.port)
        self.callers_port = find_port()
        self.readiness_port = find_port()
        self.log_file = folder / f"{name}.log"
        self._settings_file = folder / f"{name}.yaml"
        # Held by a fault that stops or starts the process, so that such faults do not overlap.
        self.lock = threading.Lock()
        self.process: subprocess.Popen | None = None
        settings = {
            "instance": name,
            "data_centre": data_centre,
            "callers_address": f"{LOCAL}:{self.callers_port}",
            "readiness_address": f"{LOCAL}:{self.readiness_port}",
            "peer_address": f"{LOCAL}:{find_port()}",
            "store_address": f"{LOCAL}:{self.link.port}",
            "metrics_address": f"{LOCAL}:{find_port()}",
            "bounds": {
                "configuration_ms": CONFIGURATION_BOUND_S * 1000,
                "drain_ms": 3000,
                "grace_s": GRACE_S,
                "order_lease_ms": 3000,
                "version_ms": 10_000,
                "retry_ratio": 0.2,
                "retry_reserve": 50,
                "cold_factor": 1.5,
                "cold_reserve": 5,
            },
            "log_level": "info",
            **extra,
        }
        self._settings_file.write_text(yaml.safe_dump(settings), encoding="utf-8")

    def start(self) -> None:
        """Starts the process and waits until it handles SIGHUP; appends its log to a file."""
        with open(self.log_file, "ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, ENTRY_SCRIPT, "--settings", self._settings_file],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        # Before its interpreter runs, no program can handle a signal, which would end the process.
        end = time.monotonic() + READY_TIMEOUT_S
        while not _handles_signal(self.process.pid, signal.SIGHUP) and time.monotonic() < end:
            time.sleep(0.005)

    def send_signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process."""
        assert self.process is not None
        self.process.send_signal(number)

    def kill(self) -> None:
        """Kills the process, even while it is suspended, and waits until it has exited."""
        assert self.process is not None
        self.process.kill()
        self.process.wait()

    def is_ready(self) -> bool:
        """Checks readiness the way the load balancer does."""
        connection = http.client.HTTPConnection(LOCAL, self.readiness_port, timeout=0.5)
        try:
            connection.request("GET", "/-/ready")
            return connection.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False
        finally:
            connection.close()


def _handles_signal(pid: int, number: signal.Signals) -> bool:
    """Returns whether a signal is ignored or handled, as /proc says; True after the exit."""
    try:
        lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    except OSError:
        return True
    masks = [int(line.split()[1], 16) for line in lines if line.startswith(("SigIgn", "SigCgt"))]
    return any(mask >> (number - 1) & 1 for mask in masks)


class EntryFleet:
    """The store, targets and entry processes of two data centres."""

    def __init__(self, instances: int = 4, targets: int = 8, **extra: object) -> None:
        """``extra`` are further settings of the entry processes."""
        self.disturbances = Disturbances()
        self.checker = PromiseChecker(self.disturbances)
        self.keys = [f"key-of-{CUSTOMER}/{number}" for number in range(API_KEY_COUNT)]
        self.configuration_version = 0
        # Replace fields of each configuration that is published.
        self.configuration_changes: dict[str, object] = {}
        self.weight_version = 1
        # Seconds until a target that has ended is back.
        self.target_restart_s = TARGET_RESTART_S
        self.store = PlatformStore()
        self._folder = tempfile.TemporaryDirectory(prefix="mulberryrill-fleet-")
        folder = Path(self._folder.name)
        self.entries = [
            EntryProcess(f"front-{n}", DATA_CENTRES[n % 2], self.store, folder, **extra)
            for n in range(instances)
        ]
        self._target_numbers = itertools.count(1)
        self._crash_lock = threading.Lock()
        self._publish_lock = threading.Lock()
        self.targets = [self._create_target(n) for n in range(targets)]

    def start(self) -> None:
        """Starts everything and waits until all instances are ready."""
        self.store.start()
        self.publish_configuration()
        for target in self.targets:
            target.start()
            target.link = Link(LOCAL, target.port)
            self.register_target(target)
        for entry in self.entries:
            entry.start()
        for entry in self.entries:
            self.wait_ready(entry)

    def close(self) -> None:
        """Stops everything and deletes the temporary files."""
        for entry in self.entries:
            if entry.process is not None and entry.process.poll() is None:
                entry.kill()
            entry.link.close()
        for target in self.targets:
            if target.link is not None:
                target.link.close()
            target.close()
        self.store.close()
        self._folder.cleanup()

    def wait_ready(self, entry: EntryProcess) -> None:
        """Waits until an instance is ready; raises AssertionError with its log on a timeout."""
        end = time.monotonic() + READY_TIMEOUT_S
        while not entry.is_ready():
            if time.monotonic() > end:
                raise AssertionError(f"{entry.name} is not ready:\n{entry.log_file.read_text()}")
            time.sleep(0.05)

    def _create_target(self, number: int) -> FleetTarget:
        name = f"t{next(self._target_numbers)}"
        data_centre = DATA_CENTRES[number // 2 % 2]
        return FleetTarget(name, SERVICES[number % 2], data_centre, self.checker)

    def register_target(self, target: FleetTarget, **changes: object) -> None:
        """Writes a target's registry entry to the store."""
        entry = target.build_registry_entry(target.service, zone=target.data_centre, **changes)
        self.store.put("keyed.servers", target.name, entry)

    def crash_target(self, target: FleetTarget) -> None:
        """Ends a target, which comes back under another name some seconds later."""
        with self._crash_lock:
            if target.link is None:
                return
            link, target.link = target.link, None
        link.close()
        timer = threading.Timer(self.target_restart_s, self._restart_target, (target,))
        timer.daemon = True
        timer.start()

    def _restart_target(self, target: FleetTarget) -> None:
        self.store.put("keyed.servers", target.name, None)
        target.name = f"t{next(self._target_numbers)}"
        target.link = Link(LOCAL, target.port)
        self.register_target(target)

    def replace_target(self, target: FleetTarget, service: str, *, is_cold: bool) -> None:
        """Replaces a target by a new one at its address and deletes the old registry entry."""
        old = target.name
        # Before the name changes, so that no response of the new target says that it leaves.
        target.is_leaving = False
        target.name = f"t{next(self._target_numbers)}"
        target.service = service
        target.orders = []
        target.version = self.weight_version
        self.store.put("keyed.servers", old, None)
        # Only the engines' service limits calls to cold targets.
        cold_s = COLD_DURATION_S if is_cold and service == "lm" else 0.0
        if cold_s:
            self.checker.record_cold_target(target.name, time.monotonic() + cold_s)
        self.register_target(target, cold_remaining_ms=int(cold_s * 1000))

    def publish_configuration(self) -> None:
        """Writes a configuration with the API keys that are still valid."""
        with self._publish_lock:
            self.configuration_version += 1
            tenants = [{"name": CUSTOMER, "api_keys": self.keys}]
            configuration = create_configuration(
                self.configuration_version, tenants=tenants, **self.configuration_changes
            )
            self.store.put("keyed.op", "config", configuration)

    def set_desired_version(self) -> None:
        """Makes the next version of the weights the desired one."""
        self.weight_version += 1
        value = {"model": MODEL, "version": self.weight_version}
        self.store.put("keyed.op", f"version/{MODEL}", value)

    def list_outdated_engines(self) -> list[str]:
        """Returns the engines that do not have the desired version of the weights."""
        return [
            target.name
            for target in self.targets
            if target.service == "lm" and target.version != self.weight_version
        ]

    def set_store_state(self, state: LinkState) -> None:
        """Changes all instances' links to the store."""
        for entry in self.entries:
            entry.link.set_state(state)


class FleetCaller:
    """A caller that keeps its connection until the instance closes it."""

    def __init__(self, fleet: EntryFleet, name: str) -> None:
        self._fleet = fleet
        self._name = name
        self._count = itertools.count()
        self._entry: EntryProcess | None = None
        self._connection: http.client.HTTPConnection | None = None

    def call(self, entry: EntryProcess, kind: CallKind, key: str) -> int | None:
        """Makes one call and returns the status, or None without a complete response.

        ``entry`` is only used if the caller has no open connection.
        """
        if self._connection is None:
            self._entry = entry
            self._connection = http.client.HTTPConnection(
                LOCAL, entry.callers_port, timeout=CALL_TIMEOUT_S
            )
        assert self._entry is not None
        request_id = f"{self._name}-{next(self._count)}"
        record = CallRecord(
            request_id, kind, self._entry.name, time.monotonic(), ROUTE_TIMEOUT_S, key
        )
        self._fleet.checker.record_call(record)
        try:
            return self._exchange(record)
        except (OSError, http.client.HTTPException):
            self._fleet.checker.record_disconnect(request_id)
            self.close()
            return None

    def close(self) -> None:
        """Closes the connection."""
        if self._connection is not None:
            self._connection.close()
            self._connection = None

    def _exchange(self, record: CallRecord) -> int:
        assert self._connection is not None
        method, path = PATHS[record.kind]
        is_model_call = record.kind in (CallKind.STREAM, CallKind.RESUMABLE)
        headers = {
            "Host": HOST,
            "Request-Id": record.request_id,
            "X-Api-Key": record.key,
            "Deadline-Ms": str(int(ROUTE_TIMEOUT_S * 1000)),
        }
        if is_model_call:
            headers |= {"Model": MODEL, "Token-Usage": "1000,16", "Prefix-Hash": "aa:500,bb:300"}
        self._connection.request(method, path, b"{}" if method == "POST" else None, headers)
        response = self._connection.getresponse()
        target = (response.getheader("server-stamp") or "").partition("/")[0]
        if response.getheader("server-limit") is not None:
            self._fleet.checker.record_told_limit(record.request_id, target)
        if target and response.getheader("server-leaving") == "1":
            self._fleet.checker.record_told_leaving(record.request_id, target)
        body = response.read()
        stamp = response.getheader("server-stamp")
        matches_target = (
            _matches_stream_body(record, body)
            if is_model_call
            else _matches_plain_body(record, stamp, body)
        )
        self._fleet.checker.record_response(
            record.request_id, response.status, stamp, matches_target
        )
        if response.will_close:
            self.close()
        return response.status


def _matches_plain_body(record: CallRecord, stamp: str | None, body: bytes) -> bool:
    return body == f"{record.request_id}:{stamp}".encode()


def _matches_stream_body(record: CallRecord, body: bytes) -> bool:
    expected = "".join(
        f"id: {number}\ndata: {record.request_id}:{number}\n\n"
        for number in range(1, STREAM_EVENTS + 1)
    )
    return body == expected.encode()
