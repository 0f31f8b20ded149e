"""Guards against shares of limits that were divided before the instances were known.

An instance that has just started knows only itself. Its share of the retry reserve was computed
with its first call and never again, so that eight instances that started together had eight whole
reserves; and each of them sent cold targets calls as if it were the only one.
"""

import unittest
from unittest.mock import Mock

from mulberryrill.internal.clock import ManualClock
from mulberryrill.internal.core.serving.placement import ColdPacer
from mulberryrill.internal.entry.dispatcher import (
    MIN_RESTART_S,
    RETRY_WINDOW_S,
    Dispatcher,
)
from mulberryrill.internal.entry.peers import Peer
from mulberryrill.internal.entry.state import EntryState
from mulberryrill.internal.eventloop import EventLoop
from mulberryrill.internal.ids import DataCentre, InstanceId, ServiceName, TargetId
from mulberryrill.internal.schema.settings_pb2 import EntryBounds, EntrySettings

HOME = DataCentre("z1")
RETRY_RESERVE = 52
# Retries that all instances together may save up: the program uses half of the reserve.
MAX_SAVED = RETRY_RESERVE / 2


def create_peers(count: int) -> list[Peer]:
    return [Peer(InstanceId(f"i{number}"), HOME, "127.0.0.1:1") for number in range(count)]


class RetryReserveTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = ManualClock()
        loop = EventLoop(self.clock, "test")
        bounds = EntryBounds(retry_ratio=0.2, retry_reserve=RETRY_RESERVE)
        settings = EntrySettings(instance="i0", data_centre=HOME, bounds=bounds, seed=1)
        self.state = EntryState(loop, InstanceId("i0"), HOME, bounds)
        self.dispatcher = Dispatcher(loop, settings, self.state, Mock())
        self.handler = Mock(service=Mock())
        self.handler.service.name = ServiceName("desk")

    def count_retries(self) -> int:
        """Returns how many retries are possible without a further request."""
        count = 0
        while self.dispatcher.try_retry(self.handler):
            count += 1
        return count

    def test_instance_that_knows_no_others_has_no_reserve(self) -> None:
        self.assertLessEqual(self.count_retries(), 1)

    def test_share_follows_the_number_of_instances(self) -> None:
        self.state.on_peers(create_peers(1))
        self.dispatcher.try_retry(self.handler)
        self.state.on_peers(create_peers(8))
        self.assertLessEqual(self.count_retries(), MAX_SAVED / 8)

    def test_share_of_the_only_instance_is_all_of_it(self) -> None:
        self.state.on_peers(create_peers(1))
        # A process that has just started has the part for the time in which it restarted only.
        first_count = self.count_retries()
        self.assertLessEqual(first_count, MAX_SAVED * MIN_RESTART_S / RETRY_WINDOW_S)
        self.clock.advance(RETRY_WINDOW_S - MIN_RESTART_S)
        self.assertEqual(first_count + self.count_retries(), MAX_SAVED)

    def test_whole_share_is_there_after_the_window(self) -> None:
        self.state.on_peers(create_peers(1))
        self.clock.advance(RETRY_WINDOW_S)
        self.assertEqual(self.count_retries(), MAX_SAVED)


class ColdPacerTest(unittest.TestCase):
    def test_instance_that_knows_no_others_sends_cold_targets_nothing(self) -> None:
        pacer = ColdPacer(InstanceId("i0"), 1.5, 5)
        self.assertFalse(pacer.can_send(TargetId("t1"), 12.0, 0.0))
        pacer.set_instances([InstanceId("i0")])
        self.assertTrue(pacer.can_send(TargetId("t1"), 12.0, 0.0))
