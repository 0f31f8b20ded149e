"""A stream goes on only at targets of the software version that began it."""

import contextlib
import http.client
import itertools
import socket
import threading
import time
import unittest
from dataclasses import dataclass, field
from functools import partial

from mulberryrill.internal.ids import ServiceName
from tests.common.entry import (
    HOST,
    LOCAL,
    MODEL,
    WAIT_S,
    CallerResponse,
    ReceivedCall,
    RequestHandler,
    TargetStandin,
    answer_stream,
    create_configuration,
    run_entry,
    wait_for,
)
from tests.common.entryfleet import EntryFleet, EntryProcess, FleetTarget
from tests.common.links import LinkState

STREAM_COUNT = 32
VERSIONS = ("v1", "v2")
CALL_TIMEOUT_S = 4.0
# Take-ups must go on at least half as often as new streams begin; all streams here have begun.
MIN_TAKEN_UP_SHARE = 0.5
SLOW_EVENT_FACTOR = 10
# Time in which default versions are written, and in which a lost store or target is noticed.
SETTLE_S = 3.0
MAX_FIRST_EVENT_S = 1.0


@dataclass
class Stream:
    """A stream that a caller has begun to read."""

    request_id: str
    connection: http.client.HTTPConnection
    response: http.client.HTTPResponse
    last_event_id: int = 0

    def read_event(self) -> None:
        """Reads to the end of one event."""
        while line := self.response.readline():
            if line.startswith(b"id:"):
                self.last_event_id = int(line[3:])
            if not line.strip():
                return
        raise http.client.IncompleteRead(b"")


@dataclass
class VersionRecord:
    """Software versions of targets, by their name and by the ids of calls that came there."""

    by_target: dict[str, str] = field(default_factory=dict)
    by_request: dict[str, set[str]] = field(default_factory=dict)

    def add(self, target: FleetTarget, call: ReceivedCall) -> None:
        self.by_target[target.name] = target.software
        self.by_request.setdefault(call.headers["request-id"], set()).add(target.software)


class StreamVersionTest(unittest.TestCase):
    def setUp(self) -> None:
        self.fleet = EntryFleet(instances=4, targets=8)
        self.addCleanup(self.fleet.close)
        self.record = VersionRecord()
        self.numbers = itertools.count()
        self.streams: list[Stream] = []
        self.engines = [t for t in self.fleet.targets if t.service == "lm"]
        for number, target in enumerate(self.engines):
            target.slow_factor = SLOW_EVENT_FACTOR
            target.on_call = partial(self.record.add, target)
            target.software = VERSIONS[number % len(VERSIONS)]

    def open_stream(self, entry: EntryProcess, **headers: str) -> Stream | int:
        """Returns the stream, or the status of a refusal."""
        request_id = f"stream-{next(self.numbers)}"
        connection = http.client.HTTPConnection(LOCAL, entry.callers_port, timeout=CALL_TIMEOUT_S)
        sent = {
            "Host": HOST,
            "Request-Id": request_id,
            "X-Api-Key": self.fleet.keys[0],
            "Deadline-Ms": "20000",
            "Model": MODEL,
            "Token-Usage": "1000,16",
            # Calls with different prompts spread over the engines.
            "Prefix-Hash": f"{next(self.numbers) + 0x1000:x}:900,bb:100",
        }
        sent |= {name.replace("_", "-"): value for name, value in headers.items()}
        connection.request("POST", "/plan/a", b"{}", sent)
        response = connection.getresponse()
        if response.status != 200:
            connection.close()
            return response.status
        return Stream(request_id, connection, response)

    def begin_streams(self, entries: list[EntryProcess], count: int = STREAM_COUNT) -> None:
        """Begins streams at instances in turn and reads the first event of each."""
        expected = len(self.streams) + count
        for _, entry in zip(range(count), itertools.cycle(entries), strict=False):
            stream = self.open_stream(entry)
            if isinstance(stream, Stream):
                stream.read_event()
                self.addCleanup(stream.connection.close)
                self.streams.append(stream)
        self.assertEqual(len(self.streams), expected)

    def take_up(self, stream: Stream, entry: EntryProcess) -> bool:
        """Goes on with a stream; returns whether its end arrived, at the version that began it."""
        try:
            rest = self.open_stream(
                entry, Resumes=stream.request_id, Last_Event_Id=str(stream.last_event_id)
            )
        except (OSError, http.client.HTTPException):
            return False
        if not isinstance(rest, Stream):
            return False
        with contextlib.closing(rest.connection):
            rest.last_event_id = stream.last_event_id
            with contextlib.suppress(OSError, http.client.HTTPException):
                rest.read_event()
        begun = self.get_first_version(stream)
        used = {begun} | self.record.by_request[rest.request_id]
        self.assertEqual(
            len(used), 1, f"{stream.request_id} ({begun}) went on as {rest.request_id}: {used}"
        )
        return True

    def get_first_version(self, stream: Stream) -> str:
        """Returns the version that sent the first event, as the response's stamp tells."""
        stamp = stream.response.getheader("server-stamp") or ""
        return self.record.by_target[stamp.partition("/")[0]]

    def take_up_all(self, entries: list[EntryProcess], min_share: float) -> None:
        taken_up = 0
        for stream, entry in zip(self.streams, itertools.cycle(entries), strict=False):
            stream.connection.close()
            taken_up += self.take_up(stream, entry)
        self.assertGreaterEqual(taken_up, min_share * len(self.streams))

    def restart_all(self) -> None:
        for entry in self.fleet.entries:
            entry.kill()
        for entry in self.fleet.entries:
            entry.start()
        for entry in self.fleet.entries:
            self.fleet.wait_ready(entry)

    def shift(self, count: int) -> list[EntryProcess]:
        return [*self.fleet.entries[count:], *self.fleet.entries[:count]]

    def test_stream_goes_on_at_its_version_at_every_instance(self) -> None:
        """Guards against text that is joined from two versions; entries of both data centres."""
        self.fleet.start()
        for shift in range(3):
            self.streams.clear()
            self.begin_streams(self.fleet.entries)
            self.take_up_all(self.shift(shift), MIN_TAKEN_UP_SHARE)

    def test_stream_stays_at_its_version_after_all_instances_were_killed(self) -> None:
        self.fleet.start()
        self.begin_streams(self.fleet.entries)
        self.restart_all()
        self.take_up_all(self.shift(1), MIN_TAKEN_UP_SHARE)

    def test_stream_stays_at_its_version_after_its_instance_was_killed(self) -> None:
        self.fleet.start()
        first, *others = self.fleet.entries
        self.begin_streams([first])
        first.kill()
        self.take_up_all(others, MIN_TAKEN_UP_SHARE)

    def test_stream_stays_at_its_version_while_the_store_is_away(self) -> None:
        """Streams that begin meanwhile go on, too; no version is guessed."""
        self.fleet.start()
        self.begin_streams(self.fleet.entries, STREAM_COUNT // 2)
        self.fleet.set_store_state(LinkState.CUT)
        time.sleep(SETTLE_S)
        self.begin_streams(self.fleet.entries)
        self.take_up_all(self.shift(1), min_share=0.0)
        self.take_up_all(self.fleet.entries, MIN_TAKEN_UP_SHARE)

    def test_stream_stays_at_its_version_if_all_are_killed_while_the_store_is_away(self) -> None:
        """Guards against streams that began without a record and are joined after the restart."""
        self.fleet.start()
        self.begin_streams(self.fleet.entries, STREAM_COUNT // 2)
        self.fleet.set_store_state(LinkState.CUT)
        time.sleep(SETTLE_S)
        self.begin_streams(self.fleet.entries)
        for entry in self.fleet.entries:
            entry.kill()
        self.fleet.set_store_state(LinkState.OPEN)
        self.restart_all()
        self.take_up_all(self.shift(1), MIN_TAKEN_UP_SHARE)

    def test_stream_stays_at_its_version_after_the_store_was_restored(self) -> None:
        """The copy lacks the records of all streams that have begun since."""
        self.fleet.start()
        time.sleep(SETTLE_S)
        copy = self.fleet.store.take_copy()
        self.begin_streams(self.fleet.entries)
        self.fleet.store.restore(copy)
        time.sleep(SETTLE_S)
        self.restart_all()
        self.take_up_all(self.shift(1), min_share=0.0)

    def test_no_version_is_guessed_if_all_are_killed_before_a_restore(self) -> None:
        """Nobody knows the versions any more; new streams go on nevertheless."""
        self.fleet.start()
        time.sleep(SETTLE_S)
        copy = self.fleet.store.take_copy()
        self.begin_streams(self.fleet.entries)
        for entry in self.fleet.entries:
            entry.kill()
        self.fleet.store.restore(copy)
        self.restart_all()
        self.take_up_all(self.shift(1), min_share=0.0)
        self.streams.clear()
        self.begin_streams(self.fleet.entries)
        self.take_up_all(self.shift(1), MIN_TAKEN_UP_SHARE)

    def test_stream_whose_version_has_left_is_refused_at_once(self) -> None:
        self.fleet.start()
        self.begin_streams(self.fleet.entries)
        for target in self.engines:
            if target.software == VERSIONS[0]:
                target.software = "v3"
                self.fleet.replace_target(target, "lm", is_cold=False)
        time.sleep(SETTLE_S)
        begun_at = time.monotonic()
        self.take_up_all(self.shift(1), min_share=0.25)
        self.assertLess(time.monotonic() - begun_at, STREAM_COUNT * MAX_FIRST_EVENT_S)


def break_first(target: TargetStandin, request: RequestHandler, call: ReceivedCall) -> None:
    """Breaks a new stream off after two events, and goes on with any other."""
    if "last-event-id" in call.headers:
        answer_stream(target, request, call)
        return
    target.begin_stream(request, call)
    for number in (1, 2):
        target.send_event(request, number)
    request.close_connection = True
    with contextlib.suppress(OSError):
        request.connection.shutdown(socket.SHUT_RDWR)


class OneInstanceTest(unittest.TestCase):
    def setUp(self) -> None:
        self.deployment = self.enterContext(run_entry())

    def add_engines(self, *versions: str) -> None:
        for number, version in enumerate(versions):
            self.deployment.add_target(f"t{number}", "lm", break_first, version=version)
        self.deployment.wait_ready()
        origins = self.deployment.program.state.stream_origins
        wait_for(lambda: origins.get_default(ServiceName("lm")) is not None)

    def call(self, **headers: str) -> CallerResponse:
        prompt = {"Model": MODEL, "Token_Usage": "1000,16", "Prefix_Hash": "aa:500,bb:500"}
        return self.deployment.call("/plan/a", "POST", b"p", **prompt, **headers)

    def list_targets(self) -> list[str]:
        return [t.name for t in self.deployment.targets for _ in t.received_calls]

    def test_rest_of_a_broken_answer_comes_from_the_same_version(self) -> None:
        """Guards against one answer that is joined from two versions."""
        self.add_engines("v1", "v1")
        response = self.call()
        self.assertEqual(response.body.count(b"id: "), 5)
        self.assertEqual(sorted(self.list_targets()), ["t0", "t1"])

    def test_broken_answer_ends_if_no_other_target_has_its_version(self) -> None:
        self.add_engines("v1", "v2")
        with self.assertRaises((http.client.IncompleteRead, ConnectionResetError)):
            self.call()
        self.assertEqual(len(self.list_targets()), 1)

    def test_stream_that_is_taken_up_again_names_its_first_request(self) -> None:
        """The second and third take-up name the request that brought the first event, too."""
        self.add_engines("v1", "v2", "v1", "v2")
        with contextlib.suppress(http.client.IncompleteRead, ConnectionResetError):
            self.call(Request_Id="first")
        versions = []
        for number in range(6):
            for target in self.deployment.targets:
                target.received_calls.clear()
            self.call(Request_Id=f"again-{number}", Resumes="first", Last_Event_Id="2")
            versions += [int(name[1:]) % 2 for name in self.list_targets()]
        self.assertEqual(len(versions), 6)
        self.assertEqual(len(set(versions)), 1)

    def test_take_up_that_names_nobody_is_one_of_the_default_version(self) -> None:
        self.add_engines("v1", "v1", "v2")
        for name in ("nobody", "\xe9\xff", "x" * 500):
            self.assertEqual(self.call(Resumes=name, Last_Event_Id="2").status, 200)
        self.assertLessEqual(set(self.list_targets()), {"t0", "t1"})

    def test_take_up_without_a_name_is_refused_where_two_versions_serve(self) -> None:
        self.add_engines("v1", "v1", "v2")
        response = self.call(Last_Event_Id="2")
        self.assertEqual(response.status, 503)
        self.assertIn("retry-after", response.headers)
        self.assertEqual(self.list_targets(), [])

    def test_take_up_without_an_event_is_a_new_stream(self) -> None:
        self.add_engines("v1", "v1")
        self.assertEqual(self.call(Resumes="first").body.count(b"id: "), 5)

    def test_take_up_goes_before_new_streams(self) -> None:
        """Guards against take-ups that are refused like new streams while engines are full."""
        service = {"name": "lm", "max_conns": 100}
        engine = {"slots": 8, "kv_capacity": 2100, "max_inflight": 12}
        services = [{"name": "desk"}, {**service, "engine": engine}]
        self.deployment.store.put(
            "keyed.op", "config", create_configuration(version=2, services=services)
        )
        self.add_engines("v1")
        state = self.deployment.program.state
        wait_for(lambda: (table := state.route_table) is not None and table.version == 2)
        is_ended = threading.Event()
        self.addCleanup(is_ended.set)

        def stream_on(target: TargetStandin, request: RequestHandler, call: ReceivedCall) -> None:
            if call.headers["request-id"] != "running":
                answer_stream(target, request, call)
                return
            target.begin_stream(request, call)
            target.send_event(request, 1)
            is_ended.wait(WAIT_S)

        self.deployment.targets[0].behaviour = stream_on
        running = threading.Thread(target=self.call_quietly, args=("running",), daemon=True)
        running.start()
        wait_for(lambda: bool(self.deployment.targets[0].received_calls))
        self.assertEqual(self.call(Request_Id="new").status, 503)
        taken_up = self.call(Request_Id="again", Resumes="first", Last_Event_Id="2")
        self.assertEqual(taken_up.status, 200)
        priorities = [
            int(call.headers["request-priority"])
            for call in self.deployment.targets[0].received_calls
        ]
        self.assertLess(priorities[1], priorities[0])

    def call_quietly(self, name: str) -> None:
        with contextlib.suppress(OSError, http.client.HTTPException):
            self.call(Request_Id=name)
