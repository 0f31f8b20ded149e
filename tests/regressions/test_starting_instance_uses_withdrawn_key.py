"""A starting instance was ready before it knew what a restored store had lost."""

import unittest
from types import SimpleNamespace
from typing import cast

from mulberryrill.internal.clock import ManualClock
from mulberryrill.internal.core.serving.routetable import RouteTable
from mulberryrill.internal.entry.feedsharing import LogPeers
from mulberryrill.internal.entry.peers import Peer
from mulberryrill.internal.entry.state import (
    CARRIED_RECORDS_TIMEOUT_S,
    PEER_NEWS_TIMEOUT_S,
    EntryState,
)
from mulberryrill.internal.eventloop import EventLoop
from mulberryrill.internal.ids import DataCentre, InstanceId, StoreEra
from mulberryrill.internal.schema.peers_pb2 import LogFeed, LogRequest
from mulberryrill.internal.schema.settings_pb2 import EntryBounds
from mulberryrill.platform.follower import StoreFollower
from mulberryrill.platform.store import StoreClient

HOME = DataCentre("z1")
LOCAL, PEER = (Peer(InstanceId(name), HOME, f"{name}:1") for name in ("i1", "i2"))


class SilentPeers(LogPeers):
    def send_log_feed(self, feed: LogFeed, instance: InstanceId | None) -> None:
        return

    def send_log_request(self, request: LogRequest) -> None:
        return


class StartingInstanceTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = ManualClock()
        loop = EventLoop(self.clock, "test")
        self.state = EntryState(loop, LOCAL.instance, HOME, EntryBounds(configuration_ms=3000))
        store = cast(StoreClient, SimpleNamespace(era=StoreEra(2)))
        self.follower = StoreFollower(
            loop, store, self.state, LOCAL, EntryBounds(configuration_ms=3000), SilentPeers()
        )
        self.state.on_peers([LOCAL, PEER])
        self.state.on_configuration(RouteTable(1, (), {}, {}, False))
        self.state.on_registry_read([], False)

    def test_feed_that_was_not_applied_is_still_missing(self) -> None:
        """The feed came before the instance had read the store, so its era was not known."""
        self.state.on_peer_report(PEER.instance, {"keyed.op"})
        feed = LogFeed(topic="keyed.op", era=2, is_carried=True)
        self.follower.on_log_feed(PEER.instance, feed)
        self.assertFalse(self.state.is_ready)

    def test_peer_that_has_not_noticed_the_restore_says_nothing(self) -> None:
        """The peer carried nothing over, because it still followed the store of before."""
        self.state.get_store_era = lambda: StoreEra(2)
        self.state.on_peer_report(PEER.instance, set(), store_era=StoreEra(1))
        self.clock.advance(PEER_NEWS_TIMEOUT_S)
        self.assertFalse(self.state.is_ready)
        self.state.on_peer_report(PEER.instance, {"keyed.op"}, store_era=StoreEra(2))
        self.assertFalse(self.state.is_ready)
        self.state.on_carried_records("keyed.op")
        self.assertTrue(self.state.is_ready)

    def test_peer_that_never_notices_does_not_keep_it_from_serving(self) -> None:
        self.state.get_store_era = lambda: StoreEra(2)
        self.state.on_peer_report(PEER.instance, set(), store_era=StoreEra(1))
        self.clock.advance(CARRIED_RECORDS_TIMEOUT_S)
        self.assertTrue(self.state.is_ready)
