"""Guards against calls that are suspected because their target left as it had said.

A target whose registration disappears while it is ready counts as ended by one of its calls. One
that had said in a response that it leaves, without a record in the registry, counted so too, and
the calls that waited for it came closer to probation and to quarantine.
"""

import unittest

from mulberryrill.internal.clock import ManualClock
from mulberryrill.internal.core.serving.targettable import Registration
from mulberryrill.internal.entry.state import EntryState
from mulberryrill.internal.eventloop import EventLoop
from mulberryrill.internal.ids import DataCentre, Incarnation, InstanceId
from mulberryrill.internal.schema.settings_pb2 import EntryBounds
from tests.unit.test_serving_targettable import create_registration


class AnnouncedDepartureTest(unittest.TestCase):
    def setUp(self) -> None:
        loop = EventLoop(ManualClock(), "test")
        self.state = EntryState(loop, InstanceId("i1"), DataCentre("z1"), EntryBounds())
        self.lost: list[Registration] = []
        self.state.on_target_lost = self.lost.append
        self.registration = create_registration()
        self.state.on_registration(self.registration)

    def test_target_that_left_as_it_said_is_not_lost(self) -> None:
        self.state.record_leaving(self.registration.run)
        self.state.on_registration_removed(self.registration.target)
        self.assertEqual(self.lost, [])

    def test_restart_after_the_announcement_is_no_loss(self) -> None:
        self.state.record_leaving(self.registration.run)
        self.state.on_registration(create_registration(incarnation=Incarnation("2")))
        self.assertEqual(self.lost, [])

    def test_target_that_said_nothing_is_lost(self) -> None:
        self.state.on_registration_removed(self.registration.target)
        self.assertEqual(self.lost, [self.registration])
