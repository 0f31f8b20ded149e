"""Guards against a quiet time that ends because an earlier incarnation answers late.

One quiet time is kept for each target. A target that has started again may ask for quiet while its
earlier process still answers calls; such an answer replaced the time of the one that lives.
"""

import unittest

from mulberryrill.internal.clock import ManualClock
from mulberryrill.internal.entry.state import EntryState
from mulberryrill.internal.eventloop import EventLoop
from mulberryrill.internal.ids import DataCentre, Incarnation, InstanceId
from mulberryrill.internal.schema.settings_pb2 import EntryBounds
from tests.unit.test_serving_targettable import create_registration


class LateResponseTest(unittest.TestCase):
    def test_earlier_incarnation_does_not_end_the_quiet_time(self) -> None:
        loop = EventLoop(ManualClock(), "test")
        state = EntryState(loop, InstanceId("i1"), DataCentre("z1"), EntryBounds())
        earlier = create_registration()
        later = create_registration(incarnation=Incarnation("2"))
        state.on_registration(earlier)
        state.on_registration(later)
        (target,) = state.targets.targets
        state.record_quiet_time(later.run, 3.0)
        self.assertFalse(state.may_send(target))
        state.record_quiet_time(earlier.run, 1.0)
        self.assertFalse(state.may_send(target))
