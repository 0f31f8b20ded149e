"""Guards against work for a draining target that is kept because a store outage seems to last.

An instance loses the store and then gets feeds from a peer. If an empty feed does not show that the
store is back, the next registration that is removed seems to have lapsed during the outage, and its
target gets work for the grace period of two more seconds. Found by the benchmark run hunt-7909-19
on site kimolia-plateia.
"""

import unittest
from unittest.mock import Mock

from mulberryrill.errors import StoreCallError
from mulberryrill.internal.clock import ManualClock
from mulberryrill.internal.core.serving.keyedrecords import KeyedRecord, RecordPage
from mulberryrill.internal.core.serving.readtiming import plan_periodic_reads
from mulberryrill.internal.entry.topicfollower import PendingRead, TopicFollower
from mulberryrill.internal.eventloop import EventLoop
from mulberryrill.internal.ids import Offset
from mulberryrill.platform.store import StoreClient


class StaleOutageTest(unittest.TestCase):
    def setUp(self) -> None:
        loop = EventLoop(ManualClock(), "test")
        self.events: list[object] = []
        self.follower = TopicFollower(
            loop,
            StoreClient(loop, "127.0.0.1:1"),
            "keyed.servers",
            lambda: plan_periodic_reads(3.0),
            Mock(on_record=self.events.append),
            lambda is_reachable, detail: self.events.append(is_reachable),
        )
        self.follower.on_newest_read(0.0, RecordPage((), Offset(5)))
        read = PendingRead(Offset(5), 0.0, 0.0)
        self.follower.on_records_read(read, StoreCallError("lost", 0, False))
        self.events.clear()

    def test_empty_feed_shows_that_the_store_is_back(self) -> None:
        self.follower.apply_feed(Offset(5), (), 0.0)
        self.assertEqual(self.events, [True])

    def test_return_of_the_store_is_known_before_records_are_applied(self) -> None:
        record = KeyedRecord("t1", None, Offset(5))
        self.follower.apply_feed(Offset(5), (record,), 0.0)
        self.assertEqual(self.events, [True, record])

    def test_feed_after_a_gap_tells_nothing(self) -> None:
        self.follower.apply_feed(Offset(7), (), 0.0)
        self.assertEqual(self.events, [])
