"""Tests that the order in force does not depend on the sequence in which orders arrive."""

import itertools
import unittest

from mulberryrill.internal.core.datacentres import DataCentreOrders
from mulberryrill.internal.ids import DataCentre
from mulberryrill.internal.schema.log_pb2 import DRAINED, IN_SERVICE, DataCentreOrder

TEMEKE = DataCentre("temeke")


class DataCentreOrdersTest(unittest.TestCase):
    """Guards against instances that disagree on whether a data centre is drained."""

    def test_every_sequence_ends_with_the_same_order(self) -> None:
        orders = [
            DataCentreOrder(order_id=i, data_centre="temeke", epoch=e, state=s, author=a)
            for i, e, s, a in [
                ("1", 1, DRAINED, "asha"),
                ("2", 2, IN_SERVICE, "asha"),
                ("3", 2, DRAINED, "baraka"),
                ("4", 2, IN_SERVICE, "baraka"),
            ]
        ]
        digests = set()
        for sequence in itertools.permutations(orders):
            state = DataCentreOrders()
            for order in sequence:
                state.apply(order)
            self.assertEqual(state.in_force[TEMEKE].order_id, "4")
            digests.add(state.compute_digest())
        self.assertEqual(len(digests), 1)

    def test_next_order_supersedes_the_one_in_force(self) -> None:
        state = DataCentreOrders()
        self.assertFalse(state.is_drained(TEMEKE))
        drain = state.create_next(TEMEKE, DRAINED, "asha", "power work", 1)
        self.assertTrue(state.apply(drain))
        self.assertFalse(state.apply(drain))
        self.assertTrue(state.is_drained(TEMEKE))
        self.assertTrue(state.apply(state.create_next(TEMEKE, IN_SERVICE, "asha", "done", 2)))
        self.assertFalse(state.is_drained(TEMEKE))

    def test_unusable_order_is_ignored(self) -> None:
        state = DataCentreOrders()
        self.assertFalse(state.apply(DataCentreOrder(data_centre="temeke", epoch=1)))
        self.assertFalse(state.apply(DataCentreOrder(epoch=1, state=DRAINED)))
        self.assertFalse(state.apply(DataCentreOrder(data_centre="temeke", state=DRAINED)))
