"""An entry program in this process with stand-ins of the platform's store and targets.

The stand-ins speak the published protocol as far as the tests need it.
"""

import base64
import http.client
import json
import random
import socket
import struct
import threading
import time
from collections import defaultdict
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlsplit

from mulberryrill.internal.entry.program import EntryProgram
from mulberryrill.internal.schema.settings_pb2 import EntryBounds, EntrySettings
from mulberryrill.platform.calls import PlatformDialect
from mulberryrill.platform.tasks import PlatformTasks

LOCAL = "127.0.0.1"
HOST = "a.example"
KEY = "key-of-asha"
CUSTOMER = "asha"
MODEL = "m0"
WAIT_S = 10.0
FIRST_PORT, LAST_PORT = 15_000, 31_000
# Partitions of a topic in the store.
PARTITIONS = 12
_given_ports: set[int] = set()


def find_port() -> int:
    """Returns a free port below the range from which the system takes ports for connections.

    A port of that range may be taken by any connection before its server is started.
    """
    while True:
        port = random.randint(FIRST_PORT, LAST_PORT)
        if port in _given_ports:
            continue  # Its server may not have started yet.
        with socket.socket() as sock:
            try:
                sock.bind((LOCAL, port))
            except OSError:
                continue
        _given_ports.add(port)
        return port


def wait_for(condition: Callable[[], bool], timeout_s: float = WAIT_S) -> None:
    """Waits until a condition holds; raises AssertionError otherwise."""
    end = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > end:
            raise AssertionError("condition did not become true in time")
        time.sleep(0.01)


class RequestHandler(BaseHTTPRequestHandler):
    """One connection of a stand-in."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def log_message(self, format: str, *args: object) -> None:
        return

    def read_body(self) -> bytes:
        return self.rfile.read(int(self.headers.get("content-length") or 0))

    def reply(self, status: int, body: bytes = b"", **headers: str) -> None:
        self.send_response(status)
        for name, value in headers.items():
            self.send_header(name.replace("_", "-"), value)
        self.send_header("content-length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)


class _Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 256

    def handle_error(self, request: object, client_address: object) -> None:
        """Connections that the other side closes are part of the tests."""


class StandinServer:
    """A threaded HTTP server; ``start`` and ``close`` may alternate on one port."""

    def __init__(self) -> None:
        self.port = find_port()
        self._server: _Server | None = None

    @property
    def address(self) -> str:
        return f"{LOCAL}:{self.port}"

    def start(self) -> None:
        owner = self

        class Handler(RequestHandler):
            def do_GET(self) -> None:  # noqa: N802
                owner.handle(self)

            do_POST = do_DELETE = do_GET  # noqa: N815

        self._server = _Server((LOCAL, self.port), Handler)
        threading.Thread(target=self._server.serve_forever, args=(0.01,), daemon=True).start()

    def close(self) -> None:
        if self._server is not None:
            self._server.shutdown()
            self._server.server_close()
            self._server = None

    def handle(self, request: RequestHandler) -> None:
        raise AssertionError("a stand-in must answer requests")


class PlatformStore(StandinServer):
    """Keyed topics with conditional appends, groups, and switchable faults."""

    def __init__(self) -> None:
        super().__init__()
        self._changed = threading.Condition()
        self._topics: dict[str, list[tuple[str, bytes | None]]] = defaultdict(list)
        self._first: dict[str, int] = defaultdict(int)
        self._members: dict[str, list[str]] = {}
        self.is_unavailable = False
        # Waiting reads that began before this was set are never answered.
        self.drops_long_poll_responses = False
        self.drops_append_responses = False

    def put(self, topic: str, key: str, value: object) -> None:
        """Writes a record; None deletes the key."""
        data = None if value is None else json.dumps(value).encode()
        self.put_raw(topic, key, data)

    def put_raw(self, topic: str, key: str, data: bytes | None) -> None:
        with self._changed:
            self._topics[topic].append((key, data))
            self._changed.notify_all()

    def compact(self, topic: str) -> None:
        """Drops all records but the newest of each key."""
        with self._changed:
            self._first[topic] = len(self._topics[topic])
            self._changed.notify_all()

    def handle(self, request: RequestHandler) -> None:
        url = urlsplit(request.path)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        body = request.read_body()
        if self.is_unavailable:
            request.reply(503)
        elif url.path == "/-/log-newest":
            self._newest(request, query["topic"])
        elif url.path == "/-/log-read":
            self._read(request, query)
        elif url.path == "/-/log-append":
            self._append(request, query, body)
        elif url.path == "/-/log-join":
            self._join(request, json.loads(body))
        elif url.path == "/-/log-owners":
            request.reply(200, json.dumps({"parts": self._list_owners()}).encode())
        else:
            request.reply(404)

    def _newest(self, request: RequestHandler, topic: str) -> None:
        with self._changed:
            records = self._topics[topic]
            newest = {key: (value, i) for i, (key, value) in enumerate(records)}
            items = [
                {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
                for key, (value, offset) in newest.items()
                if value is not None
            ]
            answer = {"items": items, "more": False, "end": len(records)}
        request.reply(200, json.dumps(answer).encode())

    def _read(self, request: RequestHandler, query: dict[str, str]) -> None:
        topic, start = query["topic"], int(query["from"])
        end = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        if self.drops_long_poll_responses and "wait_ms" in query:
            time.sleep(WAIT_S)
            return
        with self._changed:
            while len(self._topics[topic]) <= start and time.monotonic() < end:
                self._changed.wait(max(0.0, end - time.monotonic()))
            records = self._topics[topic]
            first = self._first[topic]
            if start < first:
                request.reply(410, json.dumps({"first": first}).encode())
                return
            data = struct.pack(">QQ", len(records), first)
            for key, value in records[start:]:
                raw = bytes([len(key)]) + key.encode() + (value or b"")
                data += struct.pack(">I", len(raw)) + raw
        request.reply(200, data)

    def _append(self, request: RequestHandler, query: dict[str, str], body: bytes) -> None:
        raw = body[4:]
        key, value = raw[1 : 1 + raw[0]].decode(), raw[1 + raw[0] :]
        with self._changed:
            records = self._topics[query["topic"]]
            if "at" in query and int(query["at"]) != len(records):
                request.reply(412, json.dumps({"end": len(records)}).encode())
                return
            records.append((key, value))
            offset = len(records) - 1
        if self.drops_append_responses:
            request.close_connection = True
            return
        request.reply(200, json.dumps({"offset": offset, "end": offset + 1}).encode())

    def _list_owners(self) -> list[list]:
        """Deals the partitions of the members' topics evenly; a member without one is missing."""
        topics = sorted({topic for topics in self._members.values() for topic in topics})
        partitions = [(topic, part) for topic in topics for part in range(PARTITIONS)]
        members = list(self._members)
        return [
            [topic, part, members[number % len(members)], 0]
            for number, (topic, part) in enumerate(partitions)
        ]

    def _join(self, request: RequestHandler, body: dict) -> None:
        self._members[body["member"]] = body["topics"]
        answer = {"generation": len(self._members), "ttl_ms": 3000, "parts": []}
        request.reply(200, json.dumps(answer).encode())


@dataclass
class ReceivedCall:
    """A call that reached a target."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes


Behaviour = Callable[["TargetStandin", RequestHandler, ReceivedCall], None]


@dataclass
class Order:
    """An order that reached a target."""

    body: dict
    at: float = field(default_factory=time.monotonic)


def answer_plain(target: "TargetStandin", request: RequestHandler, arrival: ReceivedCall) -> None:
    """Answers a plain call with the target's name."""
    request.reply(200, target.name.encode(), **target.build_origin_headers(arrival))


def answer_stream(target: "TargetStandin", request: RequestHandler, arrival: ReceivedCall) -> None:
    """Streams three events after the one that the caller has."""
    target.begin_stream(request, arrival)
    start = int(arrival.headers.get("last-event-id", 0))
    for number in range(start + 1, start + 4):
        target.send_event(request, number)
    request.wfile.write(b"0\r\n\r\n")


class TargetStandin(StandinServer):
    """A target whose behaviour a test chooses."""

    def __init__(self, name: str, behaviour: Behaviour) -> None:
        super().__init__()
        self.name = name
        self.behaviour = behaviour
        self.received_calls: list[ReceivedCall] = []
        self.orders: list[Order] = []
        self.version = 1
        self.loads_on_order = True

    def build_origin_headers(self, arrival: ReceivedCall) -> dict[str, str]:
        """Returns the headers that prove an answer's origin."""
        return {
            "Request_Id": arrival.headers["request-id"],
            "Server_Stamp": f"stamp-of-{self.name}",
            "Weight_Versions": str(self.version),
        }

    def begin_stream(
        self,
        request: RequestHandler,
        arrival: ReceivedCall,
        signature: dict[str, str] | None = None,
    ) -> None:
        """Sends the head of a stream, with another signature if one is given."""
        request.send_response(200)
        for name, value in (signature or self.build_origin_headers(arrival)).items():
            request.send_header(name.replace("_", "-"), value)
        request.send_header("content-type", "text/event-stream")
        request.send_header("transfer-encoding", "chunked")
        request.end_headers()

    def send_event(self, request: RequestHandler, number: int, data: str = "") -> None:
        """Sends one event in a chunk of its own; without data it has the target's name."""
        event = f"id: {number}\ndata: {data or self.name}\n\n".encode()
        request.wfile.write(b"%x\r\n%s\r\n" % (len(event), event))
        request.wfile.flush()

    def handle(self, request: RequestHandler) -> None:
        body = request.read_body()
        if request.path == "/-/report":
            self._report(request)
        elif request.path == "/-/order":
            self._take_order(request, json.loads(body))
        elif request.path.startswith("/-/kv-events"):
            time.sleep(0.2)
            page = {"epoch": 1, "next": 0, "lost": False, "events": [], "clock_ms": 0}
            request.reply(200, json.dumps(page).encode())
        else:
            headers = {name.lower(): value for name, value in request.headers.items()}
            arrival = ReceivedCall(request.command, request.path, headers, body)
            self.received_calls.append(arrival)
            self.behaviour(self, request, arrival)

    def _report(self, request: RequestHandler) -> None:
        report = {
            "models": [{"name": MODEL, "version": self.version, "adapters": []}],
            "busy": False,
            "seq": len(self.orders),
        }
        request.reply(200, json.dumps(report).encode())

    def _take_order(self, request: RequestHandler, body: dict) -> None:
        self.orders.append(Order(body))
        if self.loads_on_order:
            self.version = body["version"]
        request.reply(202)

    def build_registry_entry(self, service: str, **changes: object) -> dict:
        """Returns the target's entry in the registry."""
        entry = {
            "service": service,
            "address": self.address,
            "zone": "z1",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold_remaining_ms": 0,
            "seq": 0,
            "born": 1,
            "models": [{"name": MODEL, "version": self.version, "adapters": []}],
        }
        return {**entry, **changes}


def create_configuration(version: int = 1, **changes: object) -> dict:
    """Returns a configuration with a route of each kind."""
    common = {"host": HOST, "timeout_ms": 2000, "target_latency_ms": 300, "priority": 1}
    configuration = {
        "version": version,
        "routes": [
            {**common, "name": "get", "path_prefix": "/get/", "kind": "idempotent"}
            | {"service": "desk", "max_attempts": 2},
            {**common, "name": "pay", "path_prefix": "/pay/", "kind": "non_idempotent"}
            | {"service": "desk", "max_attempts": 1},
            {**common, "name": "plan", "path_prefix": "/plan/", "kind": "stream"}
            | {"service": "lm", "max_attempts": 2, "resumable": True, "sticky": True},
            {**common, "name": "quick", "path_prefix": "/quick/", "kind": "stream"}
            | {"service": "lm", "max_attempts": 1, "sticky": True},
        ],
        "services": [
            {"name": "desk", "max_conns": 100},
            {
                "name": "lm",
                "max_conns": 100,
                "cold_start_s": 3.0,
                "cold_per_s": 10.0,
                "engine": {"slots": 8, "kv_capacity": 90_000, "max_inflight": 12},
            },
        ],
        "limits": {
            "max_header_bytes": 8192,
            "max_body_bytes": 65_536,
            "header_timeout_ms": 500,
            "idle_timeout_ms": 5000,
        },
        "tenants": [{"name": CUSTOMER, "api_keys": [KEY]}],
    }
    return {**configuration, **changes}


@dataclass
class Answer:
    """What a caller got."""

    status: int
    headers: dict[str, str]
    body: bytes


class EntryDeployment:
    """The store, targets and one entry program."""

    def __init__(self) -> None:
        self.store = PlatformStore()
        self.targets: list[TargetStandin] = []
        self.settings = EntrySettings(
            instance="front-1",
            data_centre="z1",
            callers_address=f"{LOCAL}:{find_port()}",
            readiness_address=f"{LOCAL}:{find_port()}",
            peer_address=f"{LOCAL}:{find_port()}",
            store_address=self.store.address,
            metrics_address=f"{LOCAL}:{find_port()}",
            bounds=EntryBounds(
                drain_ms=400,
                grace_s=8,
                order_lease_ms=3000,
                version_ms=10_000,
                retry_ratio=0.2,
                retry_reserve=50,
                cold_factor=1.5,
                cold_reserve=5,
            ),
            seed=1,
        )
        self.program = EntryProgram(self.settings, PlatformDialect(), PlatformTasks)

    def start(self) -> None:
        """Starts the store and the program."""
        self.store.start()
        self.program.start()

    def close(self) -> None:
        """Stops everything at once."""
        self.program.abort()
        for target in self.targets:
            target.close()
        self.store.close()

    def add_target(
        self, name: str, service: str, behaviour: Behaviour, **entry: object
    ) -> TargetStandin:
        """Starts a target and registers it."""
        target = TargetStandin(name, behaviour)
        target.start()
        self.targets.append(target)
        self.store.put("keyed.servers", name, target.build_registry_entry(service, **entry))
        return target

    def wait_ready(self) -> None:
        """Waits until the entry program reports ready and knows all targets."""
        wait_for(lambda: self.get_readiness_status() == 200)
        names = {target.name for target in self.targets}
        wait_for(lambda: names <= {target.id for target in self.program.state.targets.targets})

    def get_readiness_status(self) -> int:
        """Returns the status of a readiness check."""
        host, port = self.settings.readiness_address.split(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=WAIT_S)
        try:
            connection.request("GET", "/-/ready")
            return connection.getresponse().status
        finally:
            connection.close()

    def read_metrics(self) -> str:
        """Returns the metrics page."""
        host, port = self.settings.metrics_address.split(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=WAIT_S)
        try:
            connection.request("GET", "/metrics")
            return connection.getresponse().read().decode()
        finally:
            connection.close()

    def connect(self) -> http.client.HTTPConnection:
        """Opens a caller's connection."""
        host, port = self.settings.callers_address.split(":")
        return http.client.HTTPConnection(host, int(port), timeout=WAIT_S)

    def open_socket(self) -> socket.socket:
        """Opens a caller's bare connection."""
        host, port = self.settings.callers_address.split(":")
        return socket.create_connection((host, int(port)), timeout=WAIT_S)

    def call(
        self, path: str, method: str = "GET", body: bytes | None = None, **headers: str
    ) -> Answer:
        """Makes one call on a new connection."""
        connection = self.connect()
        try:
            return self.call_on(connection, path, method, body, **headers)
        finally:
            connection.close()

    def call_on(
        self,
        connection: http.client.HTTPConnection,
        path: str,
        method: str = "GET",
        body: bytes | None = None,
        **headers: str,
    ) -> Answer:
        """Makes one call on an open connection. Underscores in header names become dashes."""
        sent = {
            "Host": HOST,
            "Request-Id": "r-1",
            "X-Api-Key": KEY,
            "Deadline-Ms": "2000",
        }
        sent |= {name.replace("_", "-"): value for name, value in headers.items()}
        connection.request(method, path, body, sent)
        response = connection.getresponse()
        values = {name.lower(): value for name, value in response.getheaders()}
        return Answer(response.status, values, response.read())


@contextmanager
def run_entry() -> Iterator[EntryDeployment]:
    """Runs a store with a configuration and an entry program."""
    deployment = EntryDeployment()
    deployment.store.put("keyed.op", "config", create_configuration())
    deployment.start()
    try:
        yield deployment
    finally:
        deployment.close()
