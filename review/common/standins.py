"""Stand-ins for the platform's store, workers and network links; standard library only.

They speak the parts of PROTOCOL.md that the cases need. Every address is a loopback address.
"""

import base64
import contextlib
import itertools
import json
import random
import socket
import struct
import threading
import time
from collections import defaultdict
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlsplit

LOCAL = "127.0.0.1"
PARTITIONS = 12
MODEL = "m0"
_RESET_LINGER = struct.pack("ii", 1, 0)


_given_ports = set()


def find_port(host=LOCAL):
    """Returns a free port, each only once, below those that outgoing connections take."""
    while True:
        port = random.randrange(20_000, 32_000)
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.bind((host, port))
            if port not in _given_ports:
                _given_ports.add(port)
                return port


class Handler(BaseHTTPRequestHandler):
    """One connection to a stand-in."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def log_message(self, format, *args):
        return

    def reply(self, status, body=b"", **headers):
        self.send_response(status)
        for name, value in headers.items():
            self.send_header(name.replace("_", "-"), value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)


class _Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 256

    def handle_error(self, request, client_address):
        return


class Standin:
    """A threaded HTTP server."""

    def __init__(self):
        self.port = find_port()
        self._server = None
        self._connections = set()

    @property
    def address(self):
        return f"{LOCAL}:{self.port}"

    def start(self):
        standin = self

        class Bound(Handler):
            def setup(self):
                super().setup()
                standin._connections.add(self.connection)

            def finish(self):
                standin._connections.discard(self.connection)
                with contextlib.suppress(OSError):
                    super().finish()

            def do_GET(self):
                standin.handle(self, self.rfile.read(int(self.headers.get("content-length") or 0)))

            do_POST = do_DELETE = do_GET

        self._server = _Server((LOCAL, self.port), Bound)
        threading.Thread(target=self._server.serve_forever, args=(0.01,), daemon=True).start()

    def close(self):
        if self._server is not None:
            self._server.shutdown()
            self._server.server_close()
            self._server = None
            self.cut()

    def cut(self):
        """Breaks off all connections."""
        for connection in list(self._connections):
            with contextlib.suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)

    def handle(self, request, body):
        raise NotImplementedError


class Store(Standin):
    """The platform's store: a log with keyed topics and groups."""

    def __init__(self):
        super().__init__()
        self._changed = threading.Condition()
        self._topics = defaultdict(list)
        self._members = {}
        self._generation = 0

    def put(self, topic, key, value):
        """Writes a record, None deletes the key; returns when the store accepted it."""
        data = None if value is None else json.dumps(value).encode()
        with self._changed:
            self._topics[topic].append((key, data))
            self._changed.notify_all()
        return time.monotonic()

    def handle(self, request, body):
        url = urlsplit(request.path)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        time.sleep(0.002)
        if url.path == "/-/log-newest":
            self._newest(request, query)
        elif url.path == "/-/log-read":
            self._read(request, query)
        elif url.path == "/-/log-append":
            self._append(request, query, body)
        elif url.path == "/-/log-join":
            self._join(request, json.loads(body))
        elif url.path == "/-/log-owners":
            with self._changed:
                rows = self._assign()
            request.reply(200, json.dumps({"parts": rows}).encode())
        else:
            request.reply(404)

    @staticmethod
    def _name(query):
        topic = query["topic"]
        return topic if topic.startswith("keyed.") else f"{topic}/{query.get('part', 0)}"

    def _newest(self, request, query):
        with self._changed:
            records = self._topics[self._name(query)]
            newest = {key: (value, offset) for offset, (key, value) in enumerate(records)}
            items = [
                {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
                for key, (value, offset) in newest.items()
                if value is not None
            ]
            page = {"items": items, "more": False, "end": len(records)}
        request.reply(200, json.dumps(page).encode())

    def _read(self, request, query):
        name, start = self._name(query), int(query["from"])
        end = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        with self._changed:
            while len(self._topics[name]) <= start and time.monotonic() < end:
                self._changed.wait(max(0.0, end - time.monotonic()))
            records = self._topics[name]
            data = struct.pack(">QQ", len(records), 0)
            for key, value in records[start:]:
                raw = value or b""
                if name.startswith("keyed."):
                    raw = bytes([len(key)]) + key.encode() + raw
                data += struct.pack(">I", len(raw)) + raw
        request.reply(200, data)

    def _append(self, request, query, body):
        name = self._name(query)
        raw = body[4 : 4 + struct.unpack(">I", body[:4])[0]]
        key, value = "", raw
        if name.startswith("keyed."):
            key, value = raw[1 : 1 + raw[0]].decode(), raw[1 + raw[0] :] or None
        with self._changed:
            records = self._topics[name]
            if "at" in query and int(query["at"]) != len(records):
                status, answer = 412, {"end": len(records)}
            else:
                records.append((key, value))
                status, answer = 200, {"offset": len(records) - 1, "end": len(records)}
                self._changed.notify_all()
        request.reply(status, json.dumps(answer).encode())

    def _expire(self):
        now = time.monotonic()
        for member, (_, until) in list(self._members.items()):
            if now > until:
                del self._members[member]
                self._generation += 1

    def _assign(self):
        self._expire()
        topics = sorted({topic for topics, _ in self._members.values() for topic in topics})
        parts = [(topic, part) for topic in topics for part in range(PARTITIONS)]
        members = sorted(self._members)
        return [[t, p, members[n % len(members)], 0] for n, (t, p) in enumerate(parts)]

    def _join(self, request, body):
        with self._changed:
            self._expire()
            if body["member"] not in self._members:
                self._generation += 1
            until = time.monotonic() + body["ttl_ms"] / 1000
            self._members[body["member"]] = (body["topics"], until)
            rows = [[t, p, o] for t, p, member, o in self._assign() if member == body["member"]]
            answer = {"generation": self._generation, "parts": rows}
        request.reply(200, json.dumps(answer).encode())


class Worker(Standin):
    """A worker of a service; ``serve`` runs its requests."""

    _numbers = itertools.count(1)

    def __init__(self, store, service, zone, record, version=1):
        super().__init__()
        self.id = f"i-{next(self._numbers):06x}"
        self.store, self.service, self.zone = store, service, zone
        self.born = int(time.time() * 1000)
        self.version = version
        self.orders = 0
        self.busy_until = 0.0
        self.record = record
        self._is_registered = False
        self._runs = itertools.count(1)

    def build_entry(self):
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold_remaining_ms": 0,
            "seq": self.orders,
            "born": self.born,
            "stage": "colocated",
            "models": [{"name": MODEL, "version": self.version, "adapters": []}],
        }

    def register(self, heartbeat_s=1.2):
        self._is_registered = True

        def beat():
            while self._is_registered:
                self.store.put("keyed.servers", self.id, self.build_entry())
                time.sleep(heartbeat_s)

        self._lock = threading.Lock()
        threading.Thread(target=beat, daemon=True).start()

    def deregister(self):
        """Removes the worker's entry; returns when the store accepted that."""
        self._is_registered = False
        time.sleep(0.02)
        return self.store.put("keyed.servers", self.id, None)

    def next_stamp(self):
        return f"{self.id}.{next(self._runs)}"

    def handle(self, request, body):
        expected = request.headers.get("Expect-Instance")
        request_id = request.headers.get("Request-Id", "")
        if request.path == "/-/report":
            self._report(request)
        elif expected is not None and expected != self.id:
            request.reply(421, b"", Not_Run="1", Request_Id=request_id)
        elif request.path == "/-/order":
            self.order(request, json.loads(body))
        elif request.path.startswith("/-/kv-events"):
            time.sleep(int(request.headers.get("Wait-Ms") or 0) / 1000)
            page = {"epoch": self.born, "next": 0, "lost": False, "events": []}
            request.reply(200, json.dumps({**page, "clock_ms": self.read_clock()}).encode())
        else:
            self.serve(request, request_id, body)

    def read_clock(self):
        return int(time.monotonic() * 1000)

    def _report(self, request):
        report = {
            "stage": "colocated",
            "models": [{"name": MODEL, "version": self.version, "adapters": []}],
            "busy": time.monotonic() < self.busy_until,
            "seq": self.orders,
            "waiting": 0,
            "running": 0,
            "kv_used": 0,
            "kv_total": 90000,
            "handles": 0,
            "clock_ms": self.read_clock(),
        }
        request.reply(200, json.dumps(report).encode())

    def order(self, request, body):
        request.reply(400)

    def serve(self, request, request_id, body):
        raise NotImplementedError


class Link:
    """A TCP proxy on a port of its own, which can be cut: then it resets and refuses connections."""

    def __init__(self, port):
        self._destination = (LOCAL, port)
        self.port = find_port()
        self._lock = threading.Lock()
        self._ends = set()
        self._listen()

    def _listen(self):
        self._server = socket.create_server((LOCAL, self.port), backlog=128)
        threading.Thread(target=self._accept, args=(self._server,), daemon=True).start()

    def cut(self):
        """Resets the open connections and refuses new ones until ``heal``."""
        self.close()
        with self._lock:
            ends, self._ends = self._ends, set()
        for end in ends:
            with contextlib.suppress(OSError):
                end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_LINGER)
                end.shutdown(socket.SHUT_RD)
                end.close()

    def heal(self):
        """Accepts connections again."""
        self._listen()

    def _accept(self, server):
        while True:
            try:
                inbound, _ = server.accept()
                outbound = socket.create_connection(self._destination, 2.0)
            except OSError:
                return
            outbound.settimeout(None)
            for end in (inbound, outbound):
                end.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with self._lock:
                self._ends |= {inbound, outbound}
            for source, sink in ((inbound, outbound), (outbound, inbound)):
                threading.Thread(target=self._forward, args=(source, sink), daemon=True).start()

    def _forward(self, source, sink):
        with contextlib.suppress(OSError):
            while data := source.recv(65536):
                sink.sendall(data)
        with self._lock:
            self._ends.discard(source)
        for end in (source, sink):
            with contextlib.suppress(OSError):
                end.shutdown(socket.SHUT_RDWR)

    def close(self):
        with contextlib.suppress(OSError):
            self._server.shutdown(socket.SHUT_RDWR)
        self._server.close()
