"""A worker that has new weights reads a preempted run in again; another worker fetches that part."""

import itertools
import json
import os
import sys
import threading
import time
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))

from fleet import Client, Entry, HOST, Record, create_configuration, open_folder  # noqa: E402
from standins import MODEL, Store, Worker  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ROUNDS = 5
# Figures of kimolia-lm in SYSTEM.md and in the site file.
CAPACITY = 95_012
PREFILL_TOKENS_PER_S = 56_600.0
LOAD_S = 0.83
EVENTS_LAG_S = 0.08
TOKENS_PER_EVENT = 6
STEP_S = 0.03
# Eight such runs fill a worker's memory but for 2,212 tokens; they grow by 480 tokens each.
SHARED_TOKENS, OWN_TOKENS, RUN_EVENTS = 8_000, 3_600, 80
STEADY_RUNS = 6
ENGINES = 4
ENTRIES = 6
ZONES = ("ladadika", "kalamaria", "ano-poli")


class Part:
    """A part in a worker's memory, with the version under which it was made."""

    def __init__(self, tokens, made):
        self.tokens, self.made, self.users, self.used_at = tokens, made, 0, time.monotonic()


class Run:
    def __init__(self, request_id, salt, parts, priority):
        self.id, self.salt, self.parts, self.priority = request_id, salt, parts, priority
        self.held = {}
        self.generated = 0
        self.is_running = self.is_preempted = False
        self.started_at = 0.0


class Engine(Worker):
    """Keeps parts by salt, shares its memory among runs, preempts the newest when it runs out."""

    by_address = {}

    def __init__(self, *args):
        super().__init__(*args)
        Engine.by_address[self.address] = self
        self.memory = threading.Condition()
        self.cache = {}
        self.runs = []
        self.events = []
        self.preempted = []
        self.read_again = []
        self.stale = []
        self.fetches = 0
        self.reserved = 0

    # Memory; each of these is called with self.memory held.

    def count_used(self):
        held = {id(p): p.tokens for run in self.runs for p in run.held.values()}
        return sum(held.values()) + sum(run.generated for run in self.runs)

    def tell(self, sign, key, tokens):
        self.events.append((time.monotonic(), sign, key, tokens))
        self.memory.notify_all()

    def make_room(self, tokens):
        """Lets the least recently used parts yield; returns whether the tokens fit then."""
        idle = sorted((k for k, p in self.cache.items() if not p.users), key=lambda k: self.cache[k].used_at)
        free = CAPACITY - self.count_used() - sum(self.cache[k].tokens for k in idle)
        for key in idle:
            if free >= tokens:
                break
            free += self.cache[key].tokens
            del self.cache[key]
            self.tell("-", key, 0)
        return free >= tokens

    def release(self, run):
        for part in run.held.values():
            part.users -= 1
            part.used_at = time.monotonic()
        run.held = {}
        run.is_running = False
        if run in self.runs:
            self.runs.remove(run)
        self.memory.notify_all()

    def grow(self, run):
        """Adds the tokens of an event; returns False if the run itself was preempted."""
        with self.memory:
            while not run.is_preempted and not self.make_room(TOKENS_PER_EVENT):
                victim = max(
                    (r for r in self.runs if r.is_running), key=lambda r: (r.priority, r.started_at)
                )
                victim.is_preempted = True
                self.preempted.append(victim.id)
                self.record.write(f"{self.id} runs out of memory and preempts {victim.id}")
                self.release(victim)
            if run.is_preempted:
                return False
            run.generated += TOKENS_PER_EVENT
            return True

    # The worker's interface.

    def order(self, request, body):
        with self.memory:
            if time.monotonic() < self.busy_until or body.get("expected") != self.orders:
                request.reply(409)
                return
            if body["version"] <= self.version:
                request.reply(200)
                return
            assert body["switch_mode"] == "keep"
            self.orders += 1
            self.busy_until = time.monotonic() + LOAD_S
        request.reply(202)
        self.record.write(f"{self.id} accepts the order for version {body['version']}")

        def finish():
            with self.memory:
                self.version = body["version"]
                # It discards what the worker has stored; runs go on with the memory that they hold.
                for key in list(self.cache):
                    del self.cache[key]
                    self.tell("-", key, 0)
            self.record.write(f"{self.id} has version {self.version}")

        threading.Timer(LOAD_S, finish).start()

    def handle(self, request, body):
        if request.path.startswith("/-/kv-events"):
            self._answer_events(request)
        else:
            super().handle(request, body)

    def _answer_events(self, request):
        query = parse_qs(urlsplit(request.path).query)
        since = int(query["since"][0])
        end = time.monotonic() + int(request.headers.get("Wait-Ms") or 0) / 1000
        with self.memory:
            while True:
                ready = time.monotonic() - EVENTS_LAG_S
                new = [(n, e) for n, e in enumerate(self.events[since:], since) if e[0] <= ready]
                if new or time.monotonic() >= end:
                    break
                self.memory.wait(min(0.02, max(0.001, end - time.monotonic())))
        rows = [[n, sign, key[0], key[1], tokens, MODEL] for n, (_, sign, key, tokens) in new]
        page = {"epoch": self.born, "next": since + len(rows), "lost": False, "events": rows}
        request.reply(200, json.dumps({**page, "clock_ms": self.read_clock()}).encode())

    def serve(self, request, request_id, body):
        expected = request.headers.get("Expect-Version")
        if time.monotonic() < self.busy_until:
            request.reply(503, b"", Not_Run="1", Request_Id=request_id)
            return
        if expected is not None and int(expected) != self.version:
            request.reply(421, b"", Not_Run="1", Request_Id=request_id)
            return
        parts = []
        for item in request.headers.get("Prefix-Hash", "").split(","):
            name, _, tokens = item.partition(":")
            parts.append((name, int(tokens)))
        run = Run(
            request_id,
            request.headers.get("Cache-Salt", ""),
            parts,
            int(request.headers.get("Request-Priority", 5)),
        )
        sources = request.headers.get("Kv-Fetch", "").split(",")
        begun_version = self._read(run, sources)
        if begun_version is None:
            request.reply(503, b"", Not_Run="1", Request_Id=request_id)
            return
        events = RUN_EVENTS if request.headers.get("Token-Usage", "").endswith(",480") else 2
        self._stream(request, run, events)

    def _read(self, run, sources, is_again=False):
        """Gets the run's prompt into memory; returns the version under which it begins."""
        total = sum(tokens for _, tokens in run.parts) + run.generated
        with self.memory:
            while not self.make_room(total):
                self.memory.wait(0.02)
            self.runs.append(run)
            version = self.version
            run.is_preempted = False
        prefix_is_kept = True
        for number, (name, tokens) in enumerate(run.parts):
            key = (run.salt, name)
            with self.memory:
                part = self.cache.get(key) if prefix_is_kept else None
                if part is not None and part.tokens >= tokens:
                    self._hold(run, key, part)
                    continue
            part = self._fetch(run, key, tokens, sources, number) if prefix_is_kept else None
            if part is None:
                prefix_is_kept = False
                time.sleep(tokens / PREFILL_TOKENS_PER_S)
                part = Part(tokens, self.version)
                if is_again:
                    self.read_again.append((run.id, key, part.made))
                    self.record.write(
                        f"{self.id} reads {name} of {run.id} in again: salt {key[0]},"
                        f" made under version {part.made}"
                    )
            with self.memory:
                if not is_again and version != self.version:
                    # An order came before the first token: the request has not started.
                    self.release(run)
                    return None
                self.cache[key] = part
                self._hold(run, key, part)
                self.tell("+", key, tokens)
        with self.memory:
            run.is_running, run.started_at = True, time.monotonic()
        if not is_again:
            self.record.write(f"{self.id} runs {run.id} under version {version}, salt {run.salt}")
            for (name, _), part in zip(run.parts, run.held.values()):
                if part.made != version:
                    self.stale.append((run.id, name, part.made, version))
                    self.record.write(
                        f"STALE: {run.id} runs under version {version} on {name},"
                        f" which was made under version {part.made}"
                    )
        return version

    def _hold(self, run, key, part):
        part.users += 1
        part.used_at = time.monotonic()
        run.held[key] = part

    def _fetch(self, run, key, tokens, sources, number):
        """Fetches a part from the named worker; it checks neither tenant nor version."""
        address = sources[number].partition("/")[0] if number < len(sources) else "-"
        source = Engine.by_address.get(address)
        if source is None or source is self:
            return None
        with source.memory:
            found = source.cache.get(key)
            made = found.made if found is not None and found.tokens >= tokens else None
        time.sleep(0.02)
        if made is None:
            return None
        self.fetches += 1
        self.record.write(f"{self.id} fetches {key[1]} for {run.id} from {source.id} (salt {key[0]})")
        return Part(tokens, made)

    def _stream(self, request, run, events):
        request.send_response(200)
        for name, value in (
            ("Request-Id", run.id),
            ("Server-Stamp", self.next_stamp()),
            ("Weight-Versions", str(self.version)),
            ("Content-Type", "text/event-stream"),
            ("Transfer-Encoding", "chunked"),
        ):
            request.send_header(name, value)
        request.end_headers()
        number = 1
        try:
            while number <= events:
                time.sleep(STEP_S)
                while time.monotonic() < self.busy_until:
                    time.sleep(0.01)
                if not self.grow(run):
                    self._read(run, [], is_again=True)
                    continue
                event = b"id: %d\ndata: %s\n\n" % (number, run.id.encode())
                request.wfile.write(b"%x\r\n%s\r\n" % (len(event), event))
                number += 1
            request.wfile.write(b"0\r\n\r\n")
        finally:
            with self.memory:
                self.release(run)


def configure():
    configuration = create_configuration()
    configuration["routes"].append(
        {"host": HOST, "name": "advice", "path_prefix": "/advice/", "kind": "stream"}
        | {"sticky": True, "service": "kimolia-lm", "max_attempts": 2, "gap_aim_ms": 500}
        | {"timeout_ms": 15000, "target_latency_ms": 800, "priority": 1}
    )
    return configuration


class Session:
    """Sends requests with a prompt; each on a connection of its own."""

    def __init__(self, entries, record):
        self._entries, self._record = entries, record
        self._numbers = itertools.count(1)
        self.statuses = {}

    def send(self, entry, shared, own, own_tokens, output, shared_tokens=SHARED_TOKENS):
        number = next(self._numbers)
        client = Client(entry, self._record, f"r{number}")
        request_id, _, status = client.send(
            "POST", "/advice/1", b"{}", 15000, Model=MODEL,
            Token_Usage=f"{shared_tokens + own_tokens},{output}",
            Prefix_Hash=f"{shared}:{shared_tokens},{own}:{own_tokens}",
        )
        client.close()
        self.statuses[request_id] = status
        return request_id, status

    def start(self, *args):
        thread = threading.Thread(target=self.send, args=args, daemon=True)
        thread.start()
        return thread


def main():
    record = Record(FOLDER)
    with open_folder() as folder:
        store = Store()
        store.start()
        store.put("keyed.op", "config", configure())
        store.put("keyed.op", f"version/{MODEL}", {"model": MODEL, "version": 1})
        engines = [Engine(store, "kimolia-lm", ZONES[n % 3], record) for n in range(ENGINES)]
        for engine in engines:
            engine.start()
            engine.register()
        entries = [
            Entry(f"front-{ZONES[n % 3]}-{n // 3 + 1}", ZONES[n % 3], store, folder)
            for n in range(ENTRIES)
        ]
        try:
            for entry in entries:
                entry.start()
            for entry in entries:
                entry.wait_ready()
            time.sleep(4.0)
            return run(store, engines, entries, record)
        finally:
            for entry in entries:
                entry.stop()
            if os.environ.get("KEEP_LOGS"):
                for file in Path(folder).glob("*.log"):
                    Path("/tmp", file.name).write_bytes(file.read_bytes())
            for engine in engines:
                engine.close()
            store.close()


def run(store, engines, entries, record):
    session = Session(entries, record)
    first = engines[0]
    # Prompts whose worker is the first one, which gets new weights first.
    shared = []
    for candidate in range(90):
        name = f"{candidate:04x}aa"
        session.send(entries[candidate % ENTRIES], name, f"{name}01", 16, 12, 64)
        with first.memory:
            if any(key[1] == name for key in first.cache):
                shared.append(name)
        if len(shared) == STEADY_RUNS + ENTRIES:
            break
    record.write(f"prompts {shared}")
    for number in range(1, ROUNDS + 1):
        preempted = len(first.preempted)
        threads = []
        for n, name in enumerate(shared[:STEADY_RUNS]):
            args = (entries[n % ENTRIES], name, f"{name}{number:02x}02", OWN_TOKENS, 480)
            threads.append(session.start(*args))
            time.sleep(0.16)
        time.sleep(0.2)
        for n, name in enumerate(shared[STEADY_RUNS:]):
            args = (entries[n % ENTRIES], name, f"{name}{number:02x}02", OWN_TOKENS, 480)
            threads.append(session.start(*args))
        time.sleep(0.3)
        if TROUBLE:
            version = number + 1
            store.put("keyed.op", f"version/{MODEL}", {"model": MODEL, "version": version})
            record.write(f"operator names version {version}")
        # The prompts return while the rollout goes on.
        end = time.monotonic() + 6.0
        again = len(first.read_again)
        while time.monotonic() < end and len(first.read_again) == again:
            time.sleep(0.02)
        time.sleep(0.35)
        for attempt in range(3):
            for n, name in enumerate(shared[STEADY_RUNS:]):
                own = f"{name}{number:02x}1{attempt}"
                args = (entries[(n + attempt) % ENTRIES], name, own, 500, 12)
                threads.append(session.start(*args))
            time.sleep(0.25)
        for thread in threads:
            thread.join(20)
        time.sleep(6.0 if TROUBLE else 1.0)
        record.write(f"round {number}: {len(first.preempted) - preempted} runs preempted")
    stale = [item for engine in engines for item in engine.stale]
    served = sum(status == 200 for status in session.statuses.values())
    versions = [engine.version for engine in engines]
    again = [(run_id, key, made) for e in engines for run_id, key, made in e.read_again]
    record.write(
        f"result: {len(session.statuses)} requests, {served} answered 200, versions {versions},"
        f" {sum(len(e.preempted) for e in engines)} preempted, {len(again)} parts read in again,"
        f" {sum(e.fetches for e in engines)} fetched; stale: {stale}"
    )
    print(f"requests {len(session.statuses)}, served {served}, versions {versions}")
    print(f"preempted {[e.preempted for e in engines]}, read in again {again}")
    print(f"stale {stale}")
    if stale:
        return 1
    is_sound = served > 0.7 * len(session.statuses)
    is_rolled_out = all(version == 1 + ROUNDS for version in versions)
    return 0 if is_sound and (is_rolled_out or not TROUBLE) else 2


if __name__ == "__main__":
    try:
        code = main()
    except Exception as error:
        print(f"the case could not run: {error!r}")
        code = 2
    os._exit(code)
