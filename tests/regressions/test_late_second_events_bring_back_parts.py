"""Guards against evicted prompt parts that seem cached again after a repeated answer.

A holder of parts may send the answer to an earlier read a second time, where the answer to the next
one is due. Reads of cache events have no id that would tell them apart. Applied once more, the old
events bring back parts that the holder has evicted since; in a store such a part may just be
written again, and would be fetched while it is not whole. Found while the review's case TWICE was
traced.
"""

import json
import unittest
from collections.abc import Callable

from mulberryrill.internal.clock import ManualClock
from mulberryrill.internal.core.serving.cacheindex import CacheEvent, CacheKey
from mulberryrill.internal.entry.cachewatch import (
    REFRESH_INTERVAL_S,
    RETRY_DELAY_S,
    CacheEventPage,
    CacheEventReader,
)
from mulberryrill.internal.entry.peers import Peer
from mulberryrill.internal.entry.state import EntryState
from mulberryrill.internal.ids import DataCentre, InstanceId
from mulberryrill.internal.schema.settings_pb2 import EntryBounds
from mulberryrill.platform.records import parse_configuration
from tests.common.entry import build_store_service, create_configuration
from tests.common.followersimulation import SimulatedLoop

HOME, STORE = DataCentre("z1"), "10.9.0.1:80"
KEY = CacheKey("1", "aa")


class RepeatedEventsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = ManualClock()
        self.loop = SimulatedLoop(self.clock, "test")
        self.addCleanup(self.loop.close)
        self.state = EntryState(self.loop, InstanceId("i0"), HOME, EntryBounds())
        configuration = create_configuration()
        configuration["services"].append(build_store_service(STORE))
        self.state.on_configuration(parse_configuration(json.dumps(configuration).encode()))
        self.state.on_peers([Peer(InstanceId("i0"), HOME, "127.0.0.1:1")])
        self.reads: list[tuple[int, Callable[[CacheEventPage | None], None]]] = []
        CacheEventReader(self.loop, self.state, self).start()
        self.advance(REFRESH_INTERVAL_S)

    def read_events(
        self, address: str, since: int, wait_s: float, done: Callable[[CacheEventPage | None], None]
    ) -> None:
        """Implements ``CacheEventClient``: keeps each read until the test answers it."""
        self.reads.append((since, done))

    def advance(self, seconds: float) -> None:
        self.clock.advance(seconds)
        self.loop.run_due()

    def answer(self, next_event: int, *, is_cached: bool, epoch: int = 1) -> int:
        """Answers the read in progress with one event; returns the number that it asked for."""
        since, done = self.reads.pop()
        events = [CacheEvent(KEY, is_cached, 64 if is_cached else 0)]
        done(CacheEventPage(epoch, next_event, False, None, events))
        self.advance(RETRY_DELAY_S)
        return since

    def is_held(self) -> bool:
        return self.state.cache_index.holds(STORE, KEY, 64)

    def test_repeated_answer_does_not_bring_back_an_evicted_part(self) -> None:
        self.answer(1, is_cached=True)
        self.answer(2, is_cached=False)
        self.answer(1, is_cached=True)
        self.assertFalse(self.is_held())
        self.assertEqual(self.answer(3, is_cached=True), 2)
        self.assertTrue(self.is_held())

    def test_restarted_holder_counts_its_events_anew(self) -> None:
        self.answer(1, is_cached=True)
        self.answer(2, is_cached=False)
        self.answer(1, is_cached=True, epoch=2)
        self.assertTrue(self.is_held())
