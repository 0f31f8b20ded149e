"""Guards against a leaving target that gets calls again after a long departure.

The time for which a mark is kept counted from the response that said so, also while the target was
registered. If that took longer, one lapse of its registration removed the mark at once, and the
next registration, or a restored copy of the store, brought the same incarnation back.
"""

import unittest

from mulberryrill.internal.core.serving.targettable import LEAVING_RETENTION_S, TargetTable
from mulberryrill.internal.ids import ServiceName
from tests.unit.test_serving_targettable import create_registration

SERVICE = ServiceName("desk")


class LongDepartureTest(unittest.TestCase):
    def setUp(self) -> None:
        self.table = TargetTable()
        self.registration = create_registration("t1", service=SERVICE)
        self.table.apply(self.registration, 0.0)
        self.table.mark_leaving(self.registration.run, 0.0)
        self.now = 0.0
        while self.now < 2 * LEAVING_RETENTION_S:
            self.now += 1.0
            self.table.prune_leaving(self.now)

    def test_lapse_after_a_long_departure_does_not_lift_the_mark(self) -> None:
        self.table.remove(self.registration.target, self.now)
        self.table.prune_leaving(self.now + 1.0)
        self.table.apply(self.registration, self.now + 2.0)
        self.assertEqual(self.table.list_usable(SERVICE), [])

    def test_mark_is_forgotten_some_time_after_the_target_is_gone(self) -> None:
        self.table.remove(self.registration.target, self.now)
        self.table.prune_leaving(self.now + LEAVING_RETENTION_S)
        self.table.apply(self.registration, self.now + LEAVING_RETENTION_S)
        self.assertEqual(len(self.table.list_usable(SERVICE)), 1)
