"""One worker sends a second copy of a few answers late, while new weights are named."""

import os
import sys
import threading
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))

from fleet import Client, Entry, Record, create_configuration, open_folder  # noqa: E402
from standins import MODEL, Store, Worker  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
CLIENTS = 5
PAUSE_S = 0.15
ROUNDS = 6
ROUND_S = 12.0
# Largest dose in the site files: garble, how = "extra late", x = 0.03, for_s = 5.0.
EXTRA_SHARE = 0.03
EXTRA_S = 5.0
LOAD_S = 0.83
EVENTS = 4
EVENT_S = 0.02


class Engine(Worker):
    """Runs each request as a stream; a version order takes LOAD_S."""

    def __init__(self, *args):
        super().__init__(*args)
        self.runs = {}
        self.is_spoiling = False
        self.answers = self.extras = 0
        self._counts = threading.Lock()

    def spoil(self, is_spoiling):
        with self._counts:
            self.is_spoiling, self.answers, self.extras = is_spoiling, 0, 0

    def order(self, request, body):
        """Loads the version; runs go on, requests that have not started get 503 meanwhile."""
        with self._lock:
            if time.monotonic() < self.busy_until or body.get("expected") != self.orders:
                request.reply(409)
                return
            if body["version"] <= self.version:
                request.reply(200)
                return
            self.orders += 1
            self.busy_until = time.monotonic() + LOAD_S
        request.reply(202)

        def finish():
            self.version = body["version"]
            self.record.write(f"worker has version {self.version}")

        threading.Timer(LOAD_S, finish).start()

    def serve(self, request, request_id, body):
        # A second answer comes late: where the next response is expected on this connection.
        extra = getattr(request, "late_answer", None)
        if extra is not None:
            request.late_answer = None
            request.wfile.write(extra)
            self.record.write(f"worker    sends the late second answer, then serves {request_id}")
        with self._counts:
            self.answers += 1
        expected = request.headers.get("Expect-Version")
        if time.monotonic() < self.busy_until:
            request.reply(503, b"", Not_Run="1", Request_Id=request_id)
        elif expected is not None and int(expected) != self.version:
            self.record.write(f"worker    421 to {request_id}: it expects version {expected}")
            request.reply(421, b"", Not_Run="1", Request_Id=request_id)
            with self._counts:
                if self.is_spoiling and self.extras + 1 <= EXTRA_SHARE * self.answers:
                    self.extras += 1
                    request.late_answer = (
                        b"HTTP/1.1 421 Misdirected Request\r\nNot-Run: 1\r\nRequest-Id: %s\r\n"
                        b"Content-Length: 0\r\n\r\n" % request_id.encode()
                    )
        else:
            self._run(request, request_id)

    def _run(self, request, request_id):
        with self._lock:
            self.runs[request_id] = count = self.runs.get(request_id, 0) + 1
        self.record.write(f"worker    runs {request_id}" + (f", TIME {count}" if count > 1 else ""))
        request.send_response(200)
        for name, value in (
            ("Request-Id", request_id),
            ("Server-Stamp", self.next_stamp()),
            ("Weight-Versions", str(self.version)),
            ("Content-Type", "text/event-stream"),
            ("Transfer-Encoding", "chunked"),
        ):
            request.send_header(name, value)
        request.end_headers()
        for number in range(1, EVENTS + 1):
            time.sleep(EVENT_S)
            event = b"id: %d\ndata: %s\n\n" % (number, request_id.encode())
            request.wfile.write(b"%x\r\n%s\r\n" % (len(event), event))
        request.wfile.write(b"0\r\n\r\n")


def main():
    record = Record(FOLDER)
    with open_folder() as folder:
        store = Store()
        store.start()
        store.put("keyed.op", "config", create_configuration())
        store.put("keyed.op", f"version/{MODEL}", {"model": MODEL, "version": 1})
        engine = Engine(store, "kimolia-lm", "ladadika", record)
        engine.start()
        engine.register()
        entry = Entry("front-ladadika-1", "ladadika", store, folder)
        try:
            entry.start()
            entry.wait_ready()
            time.sleep(3.0)
            return run(store, engine, entry, record)
        finally:
            entry.stop()
            engine.close()
            store.close()


def run(store, engine, entry, record):
    statuses = {}
    stop = threading.Event()

    def work(number):
        client = Client(entry, record, f"c{number}")
        while not stop.is_set():
            request_id, _, status = client.send(
                "POST", "/tag/1", b"{}", 3000, Model=MODEL, Token_Usage="507,16",
                Prefix_Hash=f"aa{number:02x}:341,bb{number:02x}:166",
            )
            statuses[request_id] = status
            time.sleep(PAUSE_S)
        client.close()

    threads = [threading.Thread(target=work, args=(n,), daemon=True) for n in range(CLIENTS)]
    for thread in threads:
        thread.start()
    extras = 0
    for version in range(2, 2 + ROUNDS):
        time.sleep(3.0)
        engine.spoil(TROUBLE)
        time.sleep(1.0)
        store.put("keyed.op", f"version/{MODEL}", {"model": MODEL, "version": version})
        record.write(f"operator  names version {version}")
        time.sleep(EXTRA_S - 1.0)
        extras += engine.extras
        record.write(f"disruption: {engine.extras} of {engine.answers} answers sent twice")
        engine.spoil(False)
        time.sleep(ROUND_S - 3.0 - EXTRA_S)
    stop.set()
    for thread in threads:
        thread.join(8)
    time.sleep(1.0)
    twice = sorted(r for r, count in engine.runs.items() if count > 1)
    refused = sorted(r for r, s in statuses.items() if s in (408, 421, 429, 503) and r in engine.runs)
    served = sum(status == 200 for status in statuses.values())
    record.write(
        f"result: {len(statuses)} requests, {served} answered 200, version {engine.version},"
        f" {extras} answers sent twice; run more than once: {twice}; refused but run: {refused}"
    )
    print(f"requests {len(statuses)}, served {served}, answers sent twice {extras},")
    print(f"run more than once {twice}, refused with 503 but run {refused}")
    if twice or refused:
        return 1
    is_sound = served > 0.7 * len(statuses) and engine.version == 1 + ROUNDS
    return 0 if is_sound and (extras or not TROUBLE) else 2


if __name__ == "__main__":
    try:
        code = main()
    except Exception as error:
        print(f"the case could not run: {error!r}")
        code = 2
    os._exit(code)
