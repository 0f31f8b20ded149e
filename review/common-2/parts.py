"""Stand-ins for a deployment on loopback: the store, workers, clients and the entry processes.

Only the standard library is used here. The entry processes are started with the command of the
deploy file and with settings filled in from its template.
"""

import asyncio
import base64
import itertools
import json
import os
import random
import re
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
LOCAL = "127.0.0.1"
_GIVEN_PORTS: set[int] = set()
PARTS = 12
# Bounds of the standard deployments, as their sheets state them.
BOUNDS = {
    "seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "ack_ms": 4000, "catch_up_s": 4,
    "drain_ms": 2000, "grace_s": 8, "loss_slack_ms": 200, "config_apply_ms": 2000,
    "rollback_slack_ms": 250, "skew_ms": 5000, "revoke_strict": False, "revoke_ms": 5000,
    "retry_ratio": 0.2, "retry_window_s": 10, "retry_slack": 56, "cold_factor": 1.5,
    "cold_slack": 5, "evac_ms": 5000, "recover_s": 12, "transit_ms": 120, "reuse_window_s": 20,
    "fencing_enforced": False, "lease_ms": 3000, "thaw_slack_ms": 300, "version_ms": 10000,
    "version_all_ms": 14000,
}
HEARTBEAT_S = 1.2
REASONS = {200: "OK", 202: "Accepted", 401: "Unauthorized", 404: "Not Found", 409: "Conflict",
           410: "Gone", 412: "Precondition Failed", 421: "Misdirected Request",
           500: "Internal Server Error", 503: "Service Unavailable"}


class Record:
    """What was sent, answered and run, in the order of time."""

    def __init__(self) -> None:
        self.started = time.monotonic()
        self.lines: list[str] = []

    def now(self) -> float:
        return time.monotonic() - self.started

    def add(self, text: str) -> None:
        self.lines.append(f"{self.now():9.3f} {text}")

    def write(self, path: Path) -> None:
        path.write_text("\n".join(self.lines) + "\n", encoding="utf-8")


def find_port(host: str = LOCAL) -> int:
    """Returns a free port, outside of those that the system gives to outgoing connections."""
    while True:
        port = random.randrange(12_000, 32_000)
        if port in _GIVEN_PORTS:
            continue
        with socket.socket() as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                sock.bind((host, port))
            except OSError:
                continue
        _GIVEN_PORTS.add(port)
        return port


class Request:
    def __init__(self, method: str, target: str, headers: dict[str, str], body: bytes) -> None:
        self.method, self.target, self.headers, self.body = method, target, headers, body
        parts = urlsplit(target)
        self.path = parts.path
        self.query = {key: values[0] for key, values in parse_qs(parts.query).items()}


async def read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]] | None:
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, OSError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_chunked(reader: asyncio.StreamReader) -> bytes:
    data = b""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        data += await reader.readexactly(size)
        await reader.readuntil(b"\r\n")
        if not size:
            return data


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    message = await read_message(reader)
    if message is None:
        return None
    method, target, _ = message[0].split(" ", 2)
    headers = message[1]
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = await read_chunked(reader)
    else:
        body = await reader.readexactly(int(headers.get("content-length", 0)))
    return Request(method, target, headers, body)


def encode(status: int, headers: dict[str, str], body: bytes | None) -> bytes:
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body is not None:
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + (body or b"")


class Server:
    """An HTTP/1.1 server that can be stopped and started on the same port."""

    def __init__(self, host: str = LOCAL) -> None:
        self.host, self.port = host, find_port(host)
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task] = set()

    @property
    def address(self) -> str:
        return f"{self.host}:{self.port}"

    async def open(self) -> None:
        self._server = await asyncio.start_server(self._serve, self.host, self.port, limit=2**24)

    async def close(self) -> None:
        """Ends as a process that is killed does: its connections are reset."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            sock = writer.get_extra_info("socket")
            if sock is not None:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            writer.transport.abort()
        for task in list(self._tasks):
            task.cancel()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        self._writers.add(writer)
        self._tasks.add(task)
        try:
            while (request := await read_request(reader)) is not None:
                if not await self.handle(request, writer, reader):
                    break
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError, ValueError):
            pass
        finally:
            self._writers.discard(writer)
            self._tasks.discard(task)
            writer.close()

    async def handle(
        self, request: Request, writer: asyncio.StreamWriter, reader: asyncio.StreamReader
    ) -> bool:
        raise NotImplementedError


class Store(Server):
    """The platform's store: a log with topics, the newest record of each key, and groups."""

    def __init__(self, record: Record) -> None:
        super().__init__()
        self.record = record
        self._logs: dict[tuple[str, int], list[bytes]] = {}
        self._changed = asyncio.Condition()
        self._members: dict[str, dict[str, float]] = {}
        self._topics: dict[str, list[str]] = {}
        self._ttls: dict[tuple[str, str], float] = {}
        self._generations: dict[str, int] = {}
        # For each partition its owner, and who is to own it.
        self._owners: dict[str, dict[tuple[str, int], str]] = {}
        self._wanted: dict[str, dict[tuple[str, int], str]] = {}
        self.is_down = False

    def _log(self, topic: str, part: int = 0) -> list[bytes]:
        return self._logs.setdefault((topic, part), [])

    async def append(self, topic: str, part: int, records: list[bytes]) -> int:
        log = self._log(topic, part)
        offset = len(log)
        log.extend(records)
        async with self._changed:
            self._changed.notify_all()
        return offset

    async def put(self, topic: str, key: str, value: object | None) -> int:
        """Writes a keyed record; None deletes the key."""
        data = b"" if value is None else json.dumps(value).encode()
        return await self.append(topic, 0, [bytes([len(key)]) + key.encode() + data])

    async def put_later(self, delay_s: float, topic: str, key: str, value: object) -> None:
        """A call without a response that is executed seconds later."""
        await asyncio.sleep(delay_s)
        await self.put(topic, key, value)
        self.record.add(f"store: executes the late write of {topic} {key} {json.dumps(value)}")

    async def handle(self, request, writer, reader) -> bool:
        if self.is_down:
            writer.transport.abort()
            return False
        name = request.path.removeprefix("/-/log-")
        status, headers, body = await getattr(self, "_do_" + name)(request)
        writer.write(encode(status, headers, body))
        await writer.drain()
        return True

    @staticmethod
    def _json(value: object, status: int = 200) -> tuple[int, dict[str, str], bytes]:
        return status, {"Content-Type": "application/json"}, json.dumps(value).encode()

    async def _do_append(self, request: Request):
        topic, part = request.query["topic"], int(request.query["part"])
        if topic in ("keyed.op", "keyed.servers"):
            return self._json({}, 403)
        records, data = [], request.body
        while data:
            (length,) = struct.unpack_from(">I", data)
            records.append(data[4 : 4 + length])
            data = data[4 + length :]
        log = self._log(topic, part)
        if "at" in request.query and int(request.query["at"]) != len(log):
            return self._json({"end": len(log)}, 412)
        offset = await self.append(topic, part, records)
        return self._json({"offset": offset, "end": len(log)})

    async def _do_read(self, request: Request):
        log = self._log(request.query["topic"], int(request.query["part"]))
        start, wait_s = int(request.query["from"]), int(request.query.get("wait_ms", 0)) / 1000
        end_at = time.monotonic() + wait_s
        while len(log) <= start and (left := end_at - time.monotonic()) > 0:
            async with self._changed:
                try:
                    await asyncio.wait_for(self._changed.wait(), left)
                except TimeoutError:
                    break
        body = struct.pack(">QQ", len(log), 0)
        for item in log[start:]:
            body += struct.pack(">I", len(item)) + item
        return 200, {"Content-Type": "application/octet-stream"}, body

    async def _do_newest(self, request: Request):
        log = self._log(request.query["topic"])
        newest: dict[str, tuple[int, bytes]] = {}
        for offset, item in enumerate(log):
            key, value = item[1 : 1 + item[0]].decode(), item[1 + item[0] :]
            newest.pop(key, None)
            if value:
                newest[key] = (offset, value)
        items = [
            {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
            for key, (offset, value) in sorted(newest.items())
        ]
        return self._json({"items": items, "more": False, "end": len(log)})

    def _expire_members(self, group: str) -> None:
        now = time.monotonic()
        members = self._members.setdefault(group, {})
        for member, seen_at in list(members.items()):
            if now - seen_at > self._ttls[group, member]:
                self._remove_member(group, member)

    def _remove_member(self, group: str, member: str) -> None:
        del self._members[group][member]
        owners = self._owners.setdefault(group, {})
        for partition in [p for p, owner in owners.items() if owner == member]:
            del owners[partition]
        self._generations[group] += 1
        self._deal(group)

    def _deal(self, group: str) -> None:
        """Deals the partitions evenly. One that has an owner waits until that one has let go."""
        names = sorted(self._members.get(group, {}))
        pairs = [(topic, part) for topic in self._topics.get(group, []) for part in range(PARTS)]
        wanted = {pair: names[n % len(names)] for n, pair in enumerate(pairs)} if names else {}
        self._wanted[group] = wanted
        owners = self._owners.setdefault(group, {})
        for pair, member in wanted.items():
            owners.setdefault(pair, member)

    def _let_go(self, group: str, member: str, generation: int) -> None:
        """Hands over what a member has seen that it is no longer its own."""
        if generation < self._generations[group]:
            return
        owners, has_changed = self._owners[group], False
        for pair, owner in list(owners.items()):
            if owner == member and self._wanted[group][pair] != member:
                owners[pair] = self._wanted[group][pair]
                has_changed = True
        if has_changed:
            self._generations[group] += 1

    async def _do_join(self, request: Request):
        body = json.loads(request.body)
        group, member = body["group"], body["member"]
        self._generations.setdefault(group, 1)
        self._topics[group] = body["topics"]
        self._ttls[group, member] = body["ttl_ms"] / 1000
        self._expire_members(group)
        members = self._members[group]
        is_new = member not in members
        members[member] = time.monotonic()
        if is_new:
            self._generations[group] += 1
            self._deal(group)
        else:
            self._let_go(group, member, body.get("generation", 0))
        rows = [
            [topic, part, 0]
            for (topic, part), owner in self._owners[group].items()
            if owner == member and self._wanted[group][topic, part] == member
        ]
        generation = self._generations[group]
        return self._json({"generation": generation, "ttl_ms": body["ttl_ms"], "parts": rows})

    async def _do_leave(self, request: Request):
        body = json.loads(request.body)
        if body["member"] in self._members.get(body["group"], {}):
            self._remove_member(body["group"], body["member"])
        return self._json({})

    async def _do_owners(self, request: Request):
        group = request.query["group"]
        self._expire_members(group)
        rows = [[t, p, owner, 0] for (t, p), owner in sorted(self._owners.get(group, {}).items())]
        return self._json({"parts": rows})

    async def go_down(self, for_s: float, lapses: bool) -> None:
        """Resets all calls for a time; with ``lapses`` the times of members run out meanwhile."""
        self.is_down = True
        self.record.add(f"store: is down for {for_s} s")
        for writer in list(self._writers):
            writer.transport.abort()
        await asyncio.sleep(for_s)
        if lapses:
            for group, members in self._members.items():
                for member in list(members):
                    self._remove_member(group, member)
        self.is_down = False
        self.record.add("store: is back")

    async def _do_commit(self, request: Request):
        return self._json({})

    async def _do_trim(self, request: Request):
        return self._json({})


class Worker(Server):
    """A worker of a plain service. It answers ``work_s`` after it has begun."""

    def __init__(
        self, store: Store, record: Record, name: str, service: str, zone: str, work_s: float = 0.02
    ) -> None:
        super().__init__()
        self.store, self.record = store, record
        self.id, self.service, self.zone, self.work_s = name, service, zone, work_s
        self.born = int(time.time() * 1000)
        self.slots = 16
        self.state = "ready"
        self.cold_until = 0.0
        self.seq = 0
        # The Server-Limit that answers name; None: they name none.
        self.limit: float | None = None
        # (time, request id) of each request that arrived and was not turned away with 421.
        self.arrivals: list[tuple[float, str]] = []
        self._runs = itertools.count()
        self._beats: asyncio.Task | None = None
        self.beats_sent = 0

    def build_entry(self) -> dict:
        cold_ms = max(0, round((self.cold_until - time.monotonic()) * 1000))
        return {"service": self.service, "address": self.address, "zone": self.zone,
                "version": "v1", "slots": self.slots, "state": self.state,
                "cold_remaining_ms": cold_ms, "seq": self.seq, "born": self.born}

    async def beat(self) -> None:
        if self.store.is_down:
            return
        entry = self.build_entry()
        await self.store.put("keyed.servers", self.id, entry)
        self.record.add(f"worker {self.id}: writes {json.dumps(entry)}")

    async def start(self) -> None:
        await self.open()
        self._beats = asyncio.create_task(self._beat())

    def stop_beats(self) -> None:
        if self._beats is not None:
            self._beats.cancel()

    async def _beat(self) -> None:
        while True:
            await self.beat()
            await asyncio.sleep(HEARTBEAT_S)

    async def change_state(self, state: str) -> None:
        """Writes another state at once, and goes on to write it."""
        self.stop_beats()
        self.state = state
        await self.beat()
        self._beats = asyncio.create_task(self._beat())

    async def restart(self, down_s: float, cold_s: float) -> None:
        """Ends without a word and starts again under its id."""
        self.stop_beats()
        await self.close()
        self.record.add(f"worker {self.id}: crashes")
        await asyncio.sleep(down_s)
        self.born = int(time.time() * 1000)
        self.seq = 0
        self.cold_until = time.monotonic() + cold_s
        await self.start()
        self.record.add(f"worker {self.id}: starts again, born {self.born}, cold for {cold_s} s")

    def respond(self, request: Request) -> tuple[int, dict[str, str], bytes]:
        stamp = f"{self.id}.{self.born}.{next(self._runs)}"
        headers = {"Request-Id": request.headers["request-id"], "Server-Stamp": stamp,
                   "Instance-Id": self.id}
        if self.limit is not None:
            headers["Server-Limit"] = str(self.limit)
        return 200, headers, f"{request.headers['request-id']} {stamp}".encode()

    async def handle(self, request, writer, reader) -> bool:
        if request.path == "/-/report":
            body = {"stage": "", "models": [], "busy": False, "seq": self.seq, "waiting": 0,
                    "running": 0, "kv_used": 0, "kv_total": 0, "handles": 0, "born": self.born}
            writer.write(encode(200, {"Content-Type": "application/json"},
                                json.dumps(body).encode()))
            await writer.drain()
            return True
        request_id = request.headers.get("request-id", "")
        if request.headers.get("expect-instance", self.id) != self.id:
            writer.write(encode(421, {"Request-Id": request_id, "Instance-Id": self.id,
                                      "Not-Run": "1"}, b""))
            await writer.drain()
            return True
        self.arrivals.append((time.monotonic(), request_id))
        self.record.add(f"worker {self.id}: gets {request_id} {request.method} {request.target}")
        await asyncio.sleep(self.work_s)
        status, headers, body = self.respond(request)
        writer.write(encode(status, headers, body))
        await writer.drain()
        return True


class Engine(Worker):
    """A worker that runs a language model and answers with streams."""

    def __init__(
        self, store: Store, record: Record, name: str, service: str, zone: str, *,
        version: str = "v1", first_s: float = 0.15, event_s: float = 0.05, events: int = 12,
    ) -> None:
        super().__init__(store, record, name, service, zone)
        self.software, self.slots = version, 64
        self.first_s, self.event_s, self.events = first_s, event_s, events
        self.epoch = 1

    def build_entry(self) -> dict:
        models = [{"name": "m0", "version": 1, "adapters": []}]
        return {**super().build_entry(), "version": self.software, "stage": "colocated",
                "models": models}

    async def handle(self, request, writer, reader) -> bool:
        if request.path == "/-/kv-events":
            await asyncio.sleep(int(request.headers.get("wait-ms", 0)) / 1000)
            body = {"epoch": self.epoch, "next": int(request.query.get("since", 0)), "lost": False,
                    "events": [], "clock_ms": round(time.time() * 1000)}
            writer.write(encode(200, {"Content-Type": "application/json"},
                                json.dumps(body).encode()))
            await writer.drain()
            return True
        is_stream = request.path.startswith("/plan/")
        if not is_stream or request.headers.get("expect-instance", self.id) != self.id:
            return await super().handle(request, writer, reader)
        request_id = request.headers["request-id"]
        self.arrivals.append((time.monotonic(), request_id))
        first = int(request.headers.get("last-event-id", 0)) + 1
        self.record.add(f"worker {self.id} ({self.software}): gets {request_id}"
                        f" {request.method} {request.target} from event {first} on")
        await asyncio.sleep(self.first_s)
        writer.write(encode(200, {
            "Request-Id": request_id, "Server-Stamp": f"{self.id}.{self.born}.{next(self._runs)}",
            "Instance-Id": self.id, "Weight-Versions": "1", "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked"}, None))
        for number in range(first, self.events + 1):
            event = f"id: {number}\ndata: {self.software}/{number}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(self.event_s)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True


class Machine:
    """One entry process, with its settings filled in from the template of the deploy file."""

    def __init__(self, name: str, zone: str, store: Store, folder: Path, record: Record) -> None:
        self.name, self.folder, self.record = name, folder, record
        self.front, self.ready = find_port(), find_port()
        role = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["entry"]
        self._command = role["run"].split()
        fields = {
            "node": name, "zone": zone, "ip": LOCAL,
            "listen": {"front": f"{LOCAL}:{self.front}", "ready": f"{LOCAL}:{self.ready}"},
            "internal_ports": [find_port(), find_port()],
            "platform": {"address": store.address}, "bounds": BOUNDS,
            "limits": {"memory_mb": 150, "max_fds": 4100},
        }
        text = fill_in((ROOT / role["template"]).read_text(), fields)
        # Each machine has its own address in a deployment; here they share one.
        text = text.replace(f'"{LOCAL}:9464"', f'"{LOCAL}:{find_port()}"')
        self._settings = folder / f"{name}.yaml"
        self._settings.write_text(text, encoding="utf-8")
        self.process: subprocess.Popen | None = None

    def start(self) -> None:
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        environment["MULBERRYRILL_SETTINGS"] = str(self._settings)
        with open(self.folder / f"{self.name}.log", "ab") as log:
            self.process = subprocess.Popen(
                self._command, cwd=ROOT, env=environment, stdin=subprocess.DEVNULL, stdout=log,
                stderr=log,
            )
        self.record.add(f"machine {self.name}: starts")

    def send_signal(self, number: signal.Signals) -> None:
        self.record.add(f"machine {self.name}: {number.name}")
        self.process.send_signal(number)

    def stop(self) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
        if self.process is not None:
            self.process.wait()

    async def is_ready(self) -> bool:
        try:
            reader, writer = await asyncio.open_connection(LOCAL, self.ready)
        except OSError:
            return False
        writer.write(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
        message = await read_message(reader)
        writer.close()
        return message is not None and message[0].split()[1] == "200"


def fill_in(template: str, fields: dict) -> str:
    """Fills in the placeholders and the sections of a template, as far as this project uses them."""

    def find(path: str) -> object:
        value: object = fields
        for part in path.split("."):
            if isinstance(value, list):
                value = value[int(part)] if int(part) < len(value) else None
            else:
                value = value.get(part) if isinstance(value, dict) else None
        return value

    def section(match: re.Match) -> str:
        value = find(match[1])
        return match[2].replace("{{.}}", str(value)) if value else ""

    template = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda match: str(find(match[1])), template)


class Answer:
    def __init__(self, status: int, headers: dict[str, str], body: bytes, complete: bool) -> None:
        self.status, self.headers, self.body, self.complete = status, headers, body, complete


async def call(
    machine: Machine, method: str, target: str, request_id: str, *, deadline_s: float,
    headers: dict[str, str] | None = None, body: bytes = b"", record: Record | None = None,
) -> Answer:
    """Sends one request on a new connection; status 0: no answer."""
    answer = Answer(0, {}, b"", False)
    writer = None
    if record is not None:
        record.add(f"client: sends {request_id} {method} {target} to {machine.name}")
    try:
        async with asyncio.timeout(deadline_s + 0.7):
            reader, writer = await asyncio.open_connection(LOCAL, machine.front)
            fields = {"Host": "square.example", "Request-Id": request_id,
                      "Deadline-Ms": str(round(deadline_s * 1000)), **(headers or {})}
            lines = [f"{method} {target} HTTP/1.1"] + [f"{k}: {v}" for k, v in fields.items()]
            if method == "POST":
                lines.append(f"Content-Length: {len(body)}")
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            message = await read_message(reader)
            if message is not None:
                answer.status, answer.headers = int(message[0].split()[1]), message[1]
                if answer.headers.get("transfer-encoding") == "chunked":
                    answer.body = await read_chunked(reader)
                else:
                    answer.body = await reader.readexactly(
                        int(answer.headers.get("content-length", 0))
                    )
                answer.complete = True
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        pass
    finally:
        if writer is not None:
            writer.close()
    if record is not None:
        stamp = answer.headers.get("server-stamp", "-")
        record.add(f"client: {request_id} answered {answer.status} stamp {stamp}"
                   f" {'whole' if answer.complete else 'broken off'}")
    return answer


def build_configuration(version: int = 1, **service: object) -> dict:
    """One plain service behind one idempotent and one non-idempotent route."""
    route = {"host": "square.example", "timeout_ms": 800, "target_latency_ms": 150, "priority": 2,
             "service": "desk", "public": False, "sticky": False, "resumable": False}
    return {
        "version": version,
        "routes": [
            {**route, "name": "look", "path_prefix": "/look/", "kind": "idempotent",
             "max_attempts": 2},
            {**route, "name": "book", "path_prefix": "/book/", "kind": "non_idempotent",
             "max_attempts": 1},
        ],
        "services": [{"name": "desk", "health_path": "/health", "max_conns": 110,
                      "cold_start_s": 0.0, "cold_per_s": 0.0, **service}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "tenants": [{"name": "studio", "api_keys": ["key-1"], "priority": 1}],
    }


KEY = {"X-Api-Key": "key-1"}


def build_model_configuration(version: int = 1) -> dict:
    """A language model behind one route, whose streams may be resumed."""
    configuration = build_configuration(version)
    configuration["routes"] = [
        {"name": "plan", "host": "square.example", "path_prefix": "/plan/", "kind": "stream",
         "timeout_ms": 15000, "target_latency_ms": 800, "priority": 1, "service": "lm",
         "max_attempts": 2, "public": False, "sticky": True, "resumable": True,
         "gap_aim_ms": 500},
    ]
    configuration["services"] = [
        {"name": "lm", "health_path": "/health", "max_conns": 370, "protocol": "h1", "tls": False,
         "cold_start_s": 0.0, "cold_per_s": 0.0,
         "engine": {"slots": 64, "kv_capacity": 95012, "kv_token_bytes": 18432,
                    "link_mbps": 370000.0, "moves": False, "backups": False, "managed": False,
                    "stride": 6, "max_inflight": 12, "pin_ms": 0.0, "hold_ms": 0.0,
                    "handle_s": 5.0, "models": [{"name": "m0"}]}},
    ]
    return configuration


def build_prompt(number: int) -> dict[str, str]:
    """Headers of a request whose prompt begins with a part that all requests of its kind share."""
    parts = f"aa01:512,{0xB000 + number % 40:x}:640,{0xC0000 + number:x}:128"
    return {**KEY, "Model": "m0", "Token-Usage": "1280,12", "Prefix-Hash": parts}


class Deployment:
    """A small deployment, whose processes and files are gone after ``close``."""

    def __init__(self, machine_count: int, zones: int = 2) -> None:
        self.record = Record()
        self._folder = tempfile.TemporaryDirectory(prefix="review-")
        self.store = Store(self.record)
        folder = Path(self._folder.name)
        self.log_folder = folder
        self.machines = [
            Machine(f"front-{n + 1}", f"zone-{n % zones + 1}", self.store, folder, self.record)
            for n in range(machine_count)
        ]
        self._numbers = itertools.count(1)

    def next_id(self) -> str:
        return f"{next(self._numbers):016x}"

    async def start(self, configuration: dict, workers: list[Worker]) -> None:
        await self.store.open()
        await self.store.put("keyed.op", "config", configuration)
        for worker in workers:
            await worker.start()
        for machine in self.machines:
            machine.start()
        end_at = time.monotonic() + 25
        while not all([await machine.is_ready() for machine in self.machines]):
            if time.monotonic() > end_at:
                raise RuntimeError("the machines did not become ready")
            await asyncio.sleep(0.1)
        self.record.add("all machines are ready")
        # The instances learn of each other.
        await asyncio.sleep(3.0)

    def close(self, folder: Path) -> None:
        for machine in self.machines:
            machine.stop()
        if os.environ.get("KEEP_LOGS"):
            for path in self.log_folder.glob("*.log"):
                (Path(os.environ["KEEP_LOGS"]) / path.name).write_bytes(path.read_bytes())
        self._folder.cleanup()
        self.record.write(folder / "record.txt")


def run_case(main, folder: Path, machine_count: int, zones: int = 2) -> None:
    """Runs ``main(deployment, has_trouble)``, which returns whether the rule was broken."""
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    deployment = Deployment(machine_count, zones)
    status = 2

    async def run() -> bool:
        async with asyncio.timeout(110):
            return await main(deployment, has_trouble)

    # A case that is told to end still ends its processes.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        is_broken = asyncio.run(run())
        status = 1 if is_broken else 0
        deployment.record.add("the rule was broken" if is_broken else "the rule held")
    except Exception as error:  # The case could not run.
        deployment.record.add(f"could not run: {error!r}")
    finally:
        deployment.close(folder)
    print(deployment.record.lines[-1])
    sys.exit(status)
