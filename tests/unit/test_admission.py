"""Admission refuses above limits and keeps the queue fair."""

import unittest

from mulberryrill.internal.core.admission import Admission, CustomerLimits, RefusalKind
from mulberryrill.internal.core.messages import Priority
from tests.common.core import create_item

UNLIMITED = CustomerLimits(0, 0)


class AdmissionTest(unittest.TestCase):
    def setUp(self) -> None:
        self.admission = Admission(max_waiting=100)

    def refuse(self, name: str, limits: CustomerLimits, now: float, **fields) -> RefusalKind | None:
        refusal = self.admission.admit(create_item(name, **fields), limits, now)
        return refusal.kind if refusal is not None else None

    def test_rate_is_limited_over_time(self) -> None:
        limits = CustomerLimits(2, 0)
        results = [self.refuse(f"r{n}", limits, 0.0) for n in range(3)]
        self.assertEqual(results, [None, None, RefusalKind.RATE])
        self.assertIsNone(self.refuse("r4", limits, 0.5))

    def test_concurrency_counts_until_finish(self) -> None:
        limits = CustomerLimits(0, 1)
        self.assertIsNone(self.refuse("a", limits, 0.0))
        item = self.admission.pop(lambda item: True, 0.0)
        assert item is not None
        self.assertEqual(self.refuse("b", limits, 0.0), RefusalKind.CONCURRENCY)
        self.admission.finish(item)
        self.assertIsNone(self.refuse("c", limits, 0.0))

    def test_batch_gets_one_of_ten_pops(self) -> None:
        """Guards against starvation of batch work by a steady interactive load."""
        for n in range(20):
            self.refuse(f"i{n}", UNLIMITED, 0.0)
            self.refuse(f"b{n}", UNLIMITED, 0.0, priority=Priority.BATCH)
        popped = [self.admission.pop(lambda item: True, 0.0) for _ in range(20)]
        batch = [p for p in popped if p is not None and p.request.priority is Priority.BATCH]
        self.assertEqual(len(batch), 2)

    def test_customers_share_the_queue_by_weight(self) -> None:
        """Guards against one customer's backlog delaying the others."""
        for n in range(30):
            self.refuse(f"l{n}", CustomerLimits(0, 0, 1.0), 0.0, customer="large")
        for n in range(30):
            self.refuse(f"s{n}", CustomerLimits(0, 0, 2.0), 0.0, customer="small")
        popped = [self.admission.pop(lambda item: True, 0.0) for _ in range(30)]
        small = [p for p in popped if p is not None and p.request.customer == "small"]
        self.assertEqual(len(small), 20)

    def test_expired_items_are_returned_once(self) -> None:
        self.refuse("a", UNLIMITED, 0.0, deadline=1.0)
        self.assertEqual([i.request.request_id for i in self.admission.expire(1.0)], ["a"])
        self.assertEqual(self.admission.expire(1.0), [])
        self.assertEqual(self.admission.waiting, 0)
