"""Guards against an instance that starts, and takes a late write for its target's last word.

An instance that has just started knows nothing of the time before. A registration that the store
executed after its target had left, or had started again, made the target usable there, although
all other instances knew better.
"""

import json
import unittest
from unittest.mock import Mock

import zmq

from mulberryrill.internal.clock import ManualClock
from mulberryrill.internal.core.serving.departures import LATE_WRITE_S, RETURN_RECORD_COUNT
from mulberryrill.internal.core.serving.registrations import Registration
from mulberryrill.internal.entry.peers import END_REQUEST_DURATION_S, Peer, PeerExchange
from mulberryrill.internal.entry.state import EntryState
from mulberryrill.internal.eventloop import EventLoop
from mulberryrill.internal.ids import DataCentre, InstanceId
from mulberryrill.internal.schema.peers_pb2 import PeerReport
from mulberryrill.internal.schema.settings_pb2 import EntryBounds
from mulberryrill.platform.records import parse_registration
from tests.common.followersimulation import DATA_CENTRE, SERVICE


def create(born: int, **changes: object) -> Registration:
    fields = {
        "service": SERVICE,
        "address": "10.0.0.1:80",
        "zone": DATA_CENTRE,
        "state": "ready",
        "slots": 4,
        "born": born,
    }
    return parse_registration("t1", json.dumps({**fields, **changes}).encode())


class StartedInstance:
    """An instance's state, and what it exchanges with its peers."""

    def __init__(self, clock: ManualClock, name: str, data_centre: DataCentre) -> None:
        self.loop = EventLoop(clock, name)
        self.state = EntryState(self.loop, InstanceId(name), data_centre, EntryBounds())
        peer = Peer(InstanceId(name), data_centre, "127.0.0.1:1")
        self.exchange = PeerExchange(self.loop, peer, self.state)

    def close(self) -> None:
        self.exchange._context.destroy(0)

    def receive(self, report: PeerReport) -> None:
        self.exchange._subscriber.close()
        self.exchange._subscriber = Mock()
        frames = [b"*", report.SerializeToString()]
        self.exchange._subscriber.recv_multipart.side_effect = [frames, zmq.Again()]
        self.exchange._receive()

    def build_report(self) -> PeerReport:
        """Returns the report that a peer gets which has just started."""
        wanting = PeerReport(instance="new", data_centre=DATA_CENTRE, wants_ends=True)
        self.receive(wanting)
        report = PeerReport(instance="old", data_centre=DATA_CENTRE)
        self.exchange._add_crashes(report, self.loop.now())
        return report

    def list_usable(self) -> list[Registration]:
        return [target.registration for target in self.state.targets.list_usable(SERVICE)]


class StartTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = ManualClock()
        self.old = self.create_instance("old")
        self.earlier, self.later = create(999, version="v1"), create(2_000, version="v2")
        self.old.state.on_registry_read([self.earlier], False)
        self.clock.advance(20.0)

    def create_instance(self, name: str) -> StartedInstance:
        instance = StartedInstance(self.clock, name, DATA_CENTRE)
        self.addCleanup(instance.close)
        return instance

    def start_after(self, *registrations: Registration) -> StartedInstance:
        """Starts an instance that finds these in the registry, and hears of its peer then."""
        new = self.create_instance("new")
        new.state.on_registry_read(list(registrations), False)
        new.receive(self.old.build_report())
        return new

    def test_target_that_left_is_not_used(self) -> None:
        self.old.state.on_registration_removed(self.earlier.target)
        new = self.start_after(self.earlier)
        self.assertEqual(new.list_usable(), [])

    def test_late_write_after_the_start(self) -> None:
        self.old.state.on_registration_removed(self.earlier.target)
        new = self.start_after()
        new.state.on_registration(self.earlier)
        self.assertEqual(new.list_usable(), [])

    def test_target_that_drained_is_not_used(self) -> None:
        self.old.state.on_registration(create(999, state="draining"))
        self.old.state.on_registration_removed(self.earlier.target)
        new = self.start_after(self.earlier)
        for _ in range(2 * RETURN_RECORD_COUNT):
            new.state.on_registration(self.earlier)
            self.assertEqual(new.list_usable(), [])

    def test_earlier_start_of_a_restarted_target_is_not_used(self) -> None:
        self.old.state.on_registration(self.later)
        new = self.start_after(self.earlier)
        self.assertEqual(new.list_usable(), [])
        new.state.on_registration(self.later)
        self.assertEqual(new.list_usable(), [self.later])

    def test_target_that_lives_is_used(self) -> None:
        """Guards against news of a peer that is behind, or about a lapse."""
        self.old.state.on_registration_removed(self.earlier.target)
        new = self.start_after(self.later)
        self.assertEqual(new.list_usable(), [self.later])

    def test_target_that_goes_on_writing_is_used(self) -> None:
        self.old.state.on_registration_removed(self.earlier.target)
        new = self.start_after(self.earlier)
        for _ in range(RETURN_RECORD_COUNT):
            new.state.on_registration(self.earlier)
        self.assertEqual(new.list_usable(), [self.earlier])

    def test_old_news_are_not_told(self) -> None:
        self.old.state.on_registration_removed(self.earlier.target)
        self.clock.advance(LATE_WRITE_S)
        self.assertEqual(len(self.old.build_report().target_starts), 0)

    def test_instance_that_has_run_for_a_while_decides_by_itself(self) -> None:
        self.old.state.on_registration_removed(self.earlier.target)
        new = self.create_instance("new")
        new.state.on_registry_read([self.earlier], False)
        self.clock.advance(END_REQUEST_DURATION_S)
        new.receive(self.old.build_report())
        self.assertEqual(new.list_usable(), [self.earlier])
