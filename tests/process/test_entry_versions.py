"""A stream goes on only at targets of the software version that began it."""

import contextlib
import http.client
import itertools
import unittest
from dataclasses import dataclass, field
from functools import partial

from tests.common.entry import HOST, LOCAL, MODEL, ReceivedCall
from tests.common.entryfleet import EntryFleet, EntryProcess, FleetTarget

STREAM_COUNT = 32
VERSIONS = ("v1", "v2")
CALL_TIMEOUT_S = 4.0
# Take-ups must go on at least half as often as new streams begin; all streams here have begun.
MIN_TAKEN_UP_SHARE = 0.5
SLOW_EVENT_FACTOR = 10


@dataclass
class Stream:
    """A stream that a caller has begun to read."""

    request_id: str
    connection: http.client.HTTPConnection
    response: http.client.HTTPResponse
    last_event_id: int = 0

    def read_event(self) -> None:
        line = b""
        while line.strip() or not self.last_event_id:
            line = self.response.readline()
            if line.startswith(b"id:"):
                self.last_event_id = int(line[3:])
            if not line:
                raise http.client.IncompleteRead(b"")


@dataclass
class VersionRecord:
    """Software versions of the targets to which calls came, by request id."""

    versions: dict[str, set[str]] = field(default_factory=dict)

    def add(self, target: FleetTarget, call: ReceivedCall) -> None:
        self.versions.setdefault(call.headers["request-id"], set()).add(target.software)


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
        for _, entry in zip(range(count), itertools.cycle(entries), strict=False):
            stream = self.open_stream(entry)
            if isinstance(stream, Stream):
                stream.read_event()
                self.addCleanup(stream.connection.close)
                self.streams.append(stream)
        self.assertEqual(len(self.streams), count)

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
                rest.response.read()
        used = self.record.versions[stream.request_id] | self.record.versions[rest.request_id]
        self.assertEqual(len(used), 1, f"{stream.request_id} went on as {rest.request_id}: {used}")
        return True

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
