"""Tests the limits, deadlines and fairness of the admission queue."""

import unittest

from mulberryrill.internal.core.admission import (
    AdmissionQueue,
    CustomerLimits,
    RefusalKind,
    divide_limits,
)
from mulberryrill.internal.core.messages import Priority, QueueItem
from tests.common.core import create_queue_item

UNLIMITED = CustomerLimits(0, 0)


class AdmissionTest(unittest.TestCase):
    def setUp(self) -> None:
        self.admission = AdmissionQueue(max_waiting=100)

    def admit(self, name: str, limits: CustomerLimits, now: float, **fields) -> RefusalKind | None:
        refusal = self.admission.admit(create_queue_item(name, **fields), limits, now)
        return refusal.kind if refusal is not None else None

    def test_rate_is_limited_over_time(self) -> None:
        limits = CustomerLimits(2, 0)
        results = [self.admit(f"r{n}", limits, 0.0) for n in range(3)]
        self.assertEqual(results, [None, None, RefusalKind.RATE])
        self.assertIsNone(self.admit("r4", limits, 0.5))

    def test_concurrency_counts_until_finish(self) -> None:
        limits = CustomerLimits(0, 1)
        self.assertIsNone(self.admit("a", limits, 0.0))
        item = self.admission.pop(lambda item: True, 0.0)
        assert item is not None
        self.assertEqual(self.admit("b", limits, 0.0), RefusalKind.CONCURRENCY)
        self.admission.finish(item)
        self.assertIsNone(self.admit("c", limits, 0.0))

    def test_batch_gets_one_of_ten_pops(self) -> None:
        """Guards against starvation of batch requests by steady interactive load."""
        for n in range(20):
            self.admit(f"i{n}", UNLIMITED, 0.0)
            self.admit(f"b{n}", UNLIMITED, 0.0, priority=Priority.BATCH)
        popped = [self.admission.pop(lambda item: True, 0.0) for _ in range(20)]
        batch = [p for p in popped if p is not None and p.request.priority is Priority.BATCH]
        self.assertEqual(len(batch), 2)

    def test_batch_is_taken_once_it_can_start(self) -> None:
        """Guards against a batch request losing its turn because it could not start at that pop."""
        for n in range(40):
            self.admit(f"i{n}", UNLIMITED, 0.0)
        self.admit("b", UNLIMITED, 0.0, priority=Priority.BATCH, version="4")
        for _ in range(15):
            self.admission.pop(lambda item: item.request.version == "3", 0.0)
        popped = self.admission.pop(lambda item: True, 0.0)
        assert popped is not None
        self.assertEqual(popped.request.request_id, "b")

    def test_batch_leaves_room_for_interactive_requests(self) -> None:
        results = [self.admit(f"b{n}", UNLIMITED, 0.0, priority=Priority.BATCH) for n in range(100)]
        self.assertEqual(results.count(RefusalKind.QUEUE_FULL), 20)
        self.assertIsNone(self.admit("i", UNLIMITED, 0.0))

    def test_request_that_cannot_be_on_time_is_refused_early(self) -> None:
        """Guards against low goodput in overload by requests that expire before their turn."""
        for n in range(30):
            self.admit(f"r{n}", UNLIMITED, 0.0)
        for n in range(10):
            self.admission.pop(lambda item: True, float(n + 1))
        self.assertEqual(self.admit("late", UNLIMITED, 10.0, deadline=25.0), RefusalKind.DEADLINE)
        self.assertIsNone(self.admit("patient", UNLIMITED, 10.0, deadline=60.0))
        self.assertIsNone(self.admit("other", UNLIMITED, 10.0, customer="small", deadline=25.0))

    def test_blocked_class_is_asked_once_and_does_not_block_others(self) -> None:
        for n in range(50):
            self.admit(f"r{n}", UNLIMITED, 0.0)
        self.admit("free", UNLIMITED, 0.0, version="4")
        checked = []

        def can_start(item: QueueItem) -> bool:
            checked.append(item.request.request_id)
            return item.request.version == "4"

        popped = self.admission.pop(can_start, 0.0)
        assert popped is not None
        self.assertEqual((popped.request.request_id, len(checked)), ("free", 2))

    def test_removed_request_does_not_count(self) -> None:
        """Guards against requests of callers that disconnected counting as concurrent for ever."""
        self.admit("a", CustomerLimits(0, 1), 0.0)
        self.admission.finish(create_queue_item("a"))
        self.assertEqual(self.admission.waiting, 0)
        self.assertIsNone(self.admit("b", CustomerLimits(0, 1), 0.0))

    def test_shares_add_up_to_the_limit(self) -> None:
        share = divide_limits(CustomerLimits(20, 16, 2.0), 8)
        self.assertEqual(share, CustomerLimits(2.5, 2, 2.0))

    def test_customers_share_the_queue_by_weight(self) -> None:
        """Guards against the backlog of one customer delaying the others."""
        for n in range(30):
            self.admit(f"l{n}", CustomerLimits(0, 0, 1.0), 0.0, customer="large")
        for n in range(30):
            self.admit(f"s{n}", CustomerLimits(0, 0, 2.0), 0.0, customer="small")
        popped = [self.admission.pop(lambda item: True, 0.0) for _ in range(30)]
        small = [p for p in popped if p is not None and p.request.customer == "small"]
        self.assertEqual(len(small), 20)

    def test_expired_items_are_returned_once(self) -> None:
        self.admit("a", UNLIMITED, 0.0, deadline=1.0)
        self.assertEqual([i.request.request_id for i in self.admission.expire(1.0)], ["a"])
        self.assertEqual(self.admission.expire(1.0), [])
        self.assertEqual(self.admission.waiting, 0)
