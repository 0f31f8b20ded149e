"""Runs an entry program in this process, with stand-ins for the platform's store and targets.

The stand-ins implement only the part of the published protocol that the tests need.
"""

import base64
import http.client
import json
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

from .ports import LOCAL, find_port

HOST = "a.example"
KEY = "key-of-asha"
CUSTOMER = "asha"
MODEL = "m0"
WAIT_S = 10.0
PARTITIONS_PER_TOPIC = 12


def wait_for(condition: Callable[[], bool], timeout_s: float = WAIT_S) -> None:
    """Waits until a condition holds; raises AssertionError on a timeout."""
    end = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > end:
            raise AssertionError("condition did not become true in time")
        time.sleep(0.01)


class RequestHandler(BaseHTTPRequestHandler):
    """Handles the requests of one connection to a stand-in."""

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
        """Ignores errors: tests break connections on purpose."""


class StandinServer:
    """A threaded HTTP server that can be closed and started again on the same port."""

    def __init__(self) -> None:
        self.port = find_port()
        self._server: _Server | None = None

    @property
    def address(self) -> str:
        return f"{LOCAL}:{self.port}"

    def start(self) -> None:
        standin = self

        class Handler(RequestHandler):
            def do_GET(self) -> None:  # noqa: N802
                standin.handle(self)

            do_POST = do_DELETE = do_GET  # noqa: N815

            def end_headers(self) -> None:
                for name, value in standin.list_common_headers():
                    self.send_header(name, value)
                super().end_headers()

        self._server = _Server((LOCAL, self.port), Handler)
        threading.Thread(target=self._server.serve_forever, args=(0.01,), daemon=True).start()

    def close(self) -> None:
        if self._server is not None:
            self._server.shutdown()
            self._server.server_close()
            self._server = None

    def handle(self, request: RequestHandler) -> None:
        raise AssertionError("subclasses of StandinServer must override handle")

    def list_common_headers(self) -> list[tuple[str, str]]:
        """Returns the headers that every response gets."""
        return []


@dataclass(frozen=True)
class StoreCopy:
    """What the store held at one moment."""

    topics: dict[str, list[tuple[str, bytes | None]]]
    members: dict[str, list[str]]
    generation: int


class PlatformStore(StandinServer):
    """A store stand-in with keyed topics, conditional appends, consumer groups and faults."""

    def __init__(self) -> None:
        super().__init__()
        # Rises each time the store comes back from an older copy.
        self.era = 1
        self._changed = threading.Condition()
        self._topics: dict[str, list[tuple[str, bytes | None]]] = defaultdict(list)
        self._first_offsets: dict[str, int] = defaultdict(int)
        self._members: dict[str, list[str]] = {}
        self._generation = 0
        # Reads by topic.
        self._reads: dict[str, int] = defaultdict(int)
        self.is_unavailable = False
        # Long-poll reads that arrive while this is set get no response.
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
        """Makes all earlier offsets unreadable; the newest record of each key stays available."""
        with self._changed:
            self._first_offsets[topic] = len(self._topics[topic])
            self._changed.notify_all()

    def take_copy(self) -> StoreCopy:
        """Returns what the store holds now."""
        with self._changed:
            topics = {topic: list(records) for topic, records in self._topics.items()}
            return StoreCopy(topics, dict(self._members), self._generation)

    def restore(self, copy: StoreCopy) -> dict[str, list[tuple[str, bytes | None]]]:
        """Comes back from an older copy: offsets go back. Returns the records that are lost."""
        with self._changed:
            self.era += 1
            lost = {
                topic: records[len(copy.topics.get(topic, [])) :]
                for topic, records in self._topics.items()
            }
            self._topics.clear()
            self._topics.update({topic: list(records) for topic, records in copy.topics.items()})
            for topic, first in self._first_offsets.items():
                self._first_offsets[topic] = min(first, len(self._topics[topic]))
            self._members = dict(copy.members)
            self._generation = copy.generation
            self._changed.notify_all()
        return lost

    def write_again(self, copy: StoreCopy, lost: dict[str, list[tuple[str, bytes | None]]]) -> None:
        """Lets the writers of lost records write them again, unless they have written since."""
        with self._changed:
            for topic in ("keyed.op", "keyed.servers"):
                since = self._topics[topic][len(copy.topics.get(topic, [])) :]
                written = {key for key, _ in since}
                self._topics[topic] += [r for r in lost.get(topic, []) if r[0] not in written]
            self._changed.notify_all()

    def count_reads(self, topic: str) -> int:
        """Returns how many reads of a topic have begun."""
        with self._changed:
            return self._reads[topic]

    def remove_member(self, instance: str) -> None:
        """Removes a member from all groups, as if it had not joined again in time."""
        with self._changed:
            self._members = {m: t for m, t in self._members.items() if m.split("|")[0] != instance}
            self._generation += 1

    def get_values(self, topic: str) -> dict[str, bytes]:
        """Returns the newest value of each key of a topic."""
        with self._changed:
            newest = dict(self._topics[topic])
        return {key: value for key, value in newest.items() if value}

    def reply(
        self, request: RequestHandler, status: int, body: bytes = b"", era: int | None = None
    ) -> None:
        """Responds with the era in which the response was made, by default the current one."""
        request.reply(status, body, Store_Era=str(era or self.era))

    def handle(self, request: RequestHandler) -> None:
        url = urlsplit(request.path)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        body = request.read_body()
        if url.path in ("/-/log-newest", "/-/log-read"):
            with self._changed:
                self._reads[query["topic"]] += 1
        if self.is_unavailable:
            self.reply(request, 503)
        elif url.path == "/-/log-newest":
            self._handle_newest(request, query["topic"])
        elif url.path == "/-/log-read":
            self._handle_read(request, query)
        elif url.path == "/-/log-append":
            self._handle_append(request, query, body)
        elif url.path == "/-/log-join":
            self._handle_join(request, json.loads(body))
        elif url.path == "/-/log-owners":
            self.reply(request, 200, json.dumps({"parts": self._assign_partitions()}).encode())
        else:
            self.reply(request, 404)

    def _handle_newest(self, request: RequestHandler, topic: str) -> None:
        with self._changed:
            records = self._topics[topic]
            newest = {key: (value, i) for i, (key, value) in enumerate(records)}
            items = [
                {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
                for key, (value, offset) in newest.items()
                if value is not None
            ]
            response = {"items": items, "more": False, "end": len(records)}
            era = self.era
        self.reply(request, 200, json.dumps(response).encode(), era)

    def _handle_read(self, request: RequestHandler, query: dict[str, str]) -> None:
        topic, start = _name_partition(query), int(query["from"])
        end = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        if self.drops_long_poll_responses and "wait_ms" in query:
            time.sleep(WAIT_S)
            return
        with self._changed:
            era = self.era
            while len(self._topics[topic]) == start and self.era == era and time.monotonic() < end:
                self._changed.wait(max(0.0, end - time.monotonic()))
            records = self._topics[topic]
            first = self._first_offsets[topic]
            if start < first or start > len(records):
                self.reply(request, 410, json.dumps({"first": first}).encode())
                return
            data = struct.pack(">QQ", len(records), first)
            for key, value in records[start:]:
                raw = bytes([len(key)]) + key.encode() + (value or b"")
                raw = raw if topic == query["topic"] else value or b""
                data += struct.pack(">I", len(raw)) + raw
            era = self.era
        self.reply(request, 200, data, era)

    def _handle_append(self, request: RequestHandler, query: dict[str, str], body: bytes) -> None:
        raw = body[4:]
        with self._changed:
            topic = _name_partition(query)
            if topic == query["topic"]:
                key, value = raw[1 : 1 + raw[0]].decode(), raw[1 + raw[0] :]
            else:
                key, value = "", raw
            records = self._topics[topic]
            if "at" in query and int(query["at"]) != len(records):
                self.reply(request, 412, json.dumps({"end": len(records)}).encode())
                return
            records.append((key, value))
            offset = len(records) - 1
            self._changed.notify_all()
        if self.drops_append_responses:
            request.close_connection = True
            return
        self.reply(request, 200, json.dumps({"offset": offset, "end": offset + 1}).encode())

    def _assign_partitions(self) -> list[list]:
        """Assigns all partitions round-robin; members without a partition are not listed."""
        topics = sorted({topic for topics in self._members.values() for topic in topics})
        partitions = [(topic, part) for topic in topics for part in range(PARTITIONS_PER_TOPIC)]
        members = list(self._members)
        return [
            [topic, part, members[number % len(members)], 0]
            for number, (topic, part) in enumerate(partitions)
        ]

    def _handle_join(self, request: RequestHandler, body: dict) -> None:
        with self._changed:
            if body["member"] not in self._members:
                self._generation += 1
            self._members[body["member"]] = body["topics"]
            response = {"generation": self._generation, "ttl_ms": 3000, "parts": []}
        self.reply(request, 200, json.dumps(response).encode())


def _name_partition(query: dict[str, str]) -> str:
    """Returns the name under which the records of a topic's partition are kept."""
    topic = query["topic"]
    return topic if topic.startswith("keyed.") else f"{topic}/{query['part']}"


@dataclass
class ReceivedCall:
    """A call as a target received it."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes


Behaviour = Callable[["TargetStandin", RequestHandler, ReceivedCall], None]


@dataclass
class ReceivedOrder:
    """An order that a target received."""

    body: dict
    received_at: float = field(default_factory=time.monotonic)


def answer_plain(target: "TargetStandin", request: RequestHandler, call: ReceivedCall) -> None:
    """Responds to a plain call with the target's name."""
    request.reply(200, target.name.encode(), **target.build_origin_headers(call))


def answer_stream(target: "TargetStandin", request: RequestHandler, call: ReceivedCall) -> None:
    """Streams three events, starting after the caller's ``Last-Event-Id``."""
    target.begin_stream(request, call)
    start = int(call.headers.get("last-event-id", 0))
    for number in range(start + 1, start + 4):
        target.send_event(request, number)
    request.wfile.write(b"0\r\n\r\n")


class TargetStandin(StandinServer):
    """A target stand-in that handles calls with the given behaviour."""

    def __init__(self, name: str, behaviour: Behaviour) -> None:
        super().__init__()
        self.name = name
        self.behaviour = behaviour
        self.received_calls: list[ReceivedCall] = []
        self.orders: list[ReceivedOrder] = []
        self.version = 1
        # Version of the target's own software, as it registers.
        self.software = "v1"
        self.loads_on_order = True
        # Whether every response says that the target leaves.
        self.is_leaving = False
        # Seconds of quiet that the target asks for at every call, without running it; None: none.
        self.quiet_s: float | None = None

    def list_common_headers(self) -> list[tuple[str, str]]:
        return [("Server-Leaving", "1")] if self.is_leaving else []

    def serve(self, request: RequestHandler, call: ReceivedCall) -> None:
        """Handles a call with the target's behaviour, or asks for quiet."""
        if self.quiet_s is not None:
            self.ask_for_quiet(request, call, self.quiet_s)
        else:
            self.behaviour(self, request, call)

    def ask_for_quiet(self, request: RequestHandler, call: ReceivedCall, quiet_s: float) -> None:
        """Rejects a call and asks its sender for no calls for some seconds."""
        request_id = call.headers.get("request-id", "")
        request.reply(503, Not_Run="1", Request_Id=request_id, Retry_After=f"{quiet_s:.3f}")

    def build_origin_headers(self, call: ReceivedCall) -> dict[str, str]:
        """Returns the headers that identify the target and the weights of a response."""
        return {
            "Request_Id": call.headers["request-id"],
            "Server_Stamp": f"stamp-of-{self.name}",
            "Weight_Versions": str(self.version),
        }

    def begin_stream(
        self,
        request: RequestHandler,
        call: ReceivedCall,
        origin_headers: dict[str, str] | None = None,
    ) -> None:
        """Sends the head of a stream, by default with the target's own origin headers."""
        request.send_response(200)
        for name, value in (origin_headers or self.build_origin_headers(call)).items():
            request.send_header(name.replace("_", "-"), value)
        request.send_header("content-type", "text/event-stream")
        request.send_header("transfer-encoding", "chunked")
        request.end_headers()

    def send_event(self, request: RequestHandler, number: int, data: str = "") -> None:
        """Sends one event as one chunk; the default data is the target's name."""
        event = f"id: {number}\ndata: {data or self.name}\n\n".encode()
        request.wfile.write(b"%x\r\n%s\r\n" % (len(event), event))
        request.wfile.flush()

    def handle(self, request: RequestHandler) -> None:
        body = request.read_body()
        if request.path == "/-/report":
            self._handle_report(request)
        elif request.path == "/-/order":
            self._handle_order(request, json.loads(body))
        elif request.path.startswith("/-/kv-events"):
            time.sleep(0.2)
            page = {"epoch": 1, "next": 0, "lost": False, "events": [], "clock_ms": 0}
            request.reply(200, json.dumps(page).encode())
        else:
            headers = {name.lower(): value for name, value in request.headers.items()}
            call = ReceivedCall(request.command, request.path, headers, body)
            self.received_calls.append(call)
            self.serve(request, call)

    def _handle_report(self, request: RequestHandler) -> None:
        report = {
            "models": [{"name": MODEL, "version": self.version, "adapters": []}],
            "busy": False,
            "seq": len(self.orders),
        }
        request.reply(200, json.dumps(report).encode())

    def _handle_order(self, request: RequestHandler, body: dict) -> None:
        self.orders.append(ReceivedOrder(body))
        if self.loads_on_order:
            self.version = body["version"]
        request.reply(202)

    def build_registry_entry(self, service: str, **changes: object) -> dict:
        """Returns the target's entry in the registry."""
        entry = {
            "service": service,
            "address": self.address,
            "zone": "z1",
            "version": self.software,
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


def build_store_service(address: str) -> dict:
    """Returns a service of a configuration that is a store of prompt parts."""
    return {
        "name": "memory",
        "kv_store_addr": address,
        "zone": "z1",
        "kv_capacity": 100_000,
        "link_mbps": 32_000,
        "first_ms": 1,
        "max_inflight": 12,
    }


@dataclass
class CallerResponse:
    """A response as a caller received it."""

    status: int
    headers: dict[str, str]
    body: bytes


class EntryDeployment:
    """A store, targets and one entry program."""

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
                configuration_ms=2000,
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
        """Opens a TCP connection to the callers' address without an HTTP client."""
        host, port = self.settings.callers_address.split(":")
        return socket.create_connection((host, int(port)), timeout=WAIT_S)

    def call(
        self, path: str, method: str = "GET", body: bytes | None = None, **headers: str
    ) -> CallerResponse:
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
    ) -> CallerResponse:
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
        return CallerResponse(response.status, values, response.read())


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
