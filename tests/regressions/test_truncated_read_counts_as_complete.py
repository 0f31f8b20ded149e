"""Guards against records that count as known although a read returned only the first of them.

A response of the store is limited in size. After a cut in which large configurations were written,
the newest of them may be missing from the first response, which counted as up to date.
"""

import unittest
from unittest.mock import Mock

from mulberryrill.internal.clock import ManualClock
from mulberryrill.internal.core.serving.keyedrecords import KeyedRecord, RecordPage
from mulberryrill.internal.core.serving.readtiming import plan_waiting_reads
from mulberryrill.internal.entry.topicfollower import PendingRead, TopicFollower
from mulberryrill.internal.ids import Offset
from mulberryrill.platform.store import OPERATOR_TOPIC, StoreClient
from tests.common.followersimulation import SimulatedLoop


class TruncatedReadTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = ManualClock()
        loop = SimulatedLoop(self.clock, "test")
        self.addCleanup(loop.close)
        self.known_until: list[float] = []
        self.follower = TopicFollower(
            loop,
            StoreClient(loop, "127.0.0.1:1"),
            OPERATOR_TOPIC,
            lambda: plan_waiting_reads(2.0),
            Mock(),
            lambda is_reachable, detail: None,
            on_complete=self.known_until.append,
        )
        self.started_at = self.clock.boottime()
        self.follower.on_newest_read(self.started_at, RecordPage((), Offset(0)))
        self.clock.advance(1.0)

    def read(self, start: int, end: int) -> None:
        """Applies a response with one record of a topic that ends at ``end``."""
        read = PendingRead(Offset(start), self.clock.boottime(), 0.0)
        record = KeyedRecord("config", b"{}", Offset(start))
        self.follower.on_records_read(read, RecordPage((record,), Offset(end)))

    def test_first_part_of_the_records_is_not_all(self) -> None:
        self.read(0, 2)
        self.assertEqual(self.known_until, [self.started_at, self.started_at])

    def test_last_part_of_the_records_is_all(self) -> None:
        self.read(0, 2)
        self.read(1, 2)
        self.assertEqual(self.known_until[-1], self.clock.boottime())
