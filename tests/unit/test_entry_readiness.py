"""When a starting instance serves by what it has read from the store."""

import unittest

from mulberryrill.internal.clock import ManualClock
from mulberryrill.internal.core.serving.routetable import RouteTable
from mulberryrill.internal.entry.peers import EndNews, Peer
from mulberryrill.internal.entry.state import (
    CARRIED_RECORDS_TIMEOUT_S,
    PEER_NEWS_TIMEOUT_S,
    EntryState,
)
from mulberryrill.internal.eventloop import EventLoop
from mulberryrill.internal.ids import DataCentre, InstanceId
from mulberryrill.internal.schema.settings_pb2 import EntryBounds

HOME = DataCentre("z1")
PEER = InstanceId("i2")
PEERS = [Peer(InstanceId(name), HOME, "127.0.0.1:1") for name in ("i1", PEER)]


class ReadinessTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = ManualClock()
        loop = EventLoop(self.clock, "test")
        self.state = EntryState(loop, InstanceId("i1"), HOME, EntryBounds())

    def read_store(self) -> None:
        self.state.on_configuration(RouteTable(1, (), {}, {}, False))
        self.state.on_registry_read([], False)

    def test_instance_without_peers_is_ready_once_it_has_read_the_store(self) -> None:
        self.state.on_peers(PEERS[:1])
        self.assertFalse(self.state.is_ready)
        self.read_store()
        self.assertTrue(self.state.is_ready)

    def test_instance_waits_for_a_peer_and_not_for_long(self) -> None:
        self.state.on_peers(PEERS)
        self.read_store()
        self.assertFalse(self.state.is_ready)
        self.clock.advance(PEER_NEWS_TIMEOUT_S)
        self.assertTrue(self.state.is_ready)

    def test_peer_that_carries_nothing_makes_it_ready(self) -> None:
        self.state.on_peers(PEERS)
        self.read_store()
        self.state.on_peer_report(PEER, set())
        self.assertTrue(self.state.is_ready)

    def test_instance_waits_for_the_records_that_a_peer_carries(self) -> None:
        """Guards against a withdrawn key that is valid again after a restart."""
        self.state.on_peers(PEERS)
        self.read_store()
        self.state.on_peer_report(PEER, {"a", "b"})
        self.state.on_peer_report(InstanceId("i3"), set())
        self.clock.advance(PEER_NEWS_TIMEOUT_S)
        self.assertFalse(self.state.is_ready)
        self.state.on_carried_records("a")
        self.assertFalse(self.state.is_ready)
        self.state.on_carried_records("b")
        self.assertTrue(self.state.is_ready)

    def test_peer_that_no_longer_carries_anything_makes_it_ready(self) -> None:
        self.state.on_peers(PEERS)
        self.read_store()
        self.state.on_peer_report(PEER, {"a"})
        self.assertFalse(self.state.is_ready)
        self.state.on_peer_report(PEER, set())
        self.assertTrue(self.state.is_ready)

    def test_records_that_never_come_do_not_keep_it_from_serving(self) -> None:
        self.state.on_peers(PEERS)
        self.read_store()
        self.state.on_peer_report(PEER, {"a", "b"})
        self.clock.advance(CARRIED_RECORDS_TIMEOUT_S)
        self.assertTrue(self.state.is_ready)

    def test_instance_waits_for_the_ends_of_targets_that_a_peer_knows(self) -> None:
        """Guards against an instance that sends a suspected call on because it has just started."""
        self.state.on_peers(PEERS)
        self.read_store()
        self.state.on_peer_report(PEER, set(), EndNews.UNTOLD)
        self.clock.advance(PEER_NEWS_TIMEOUT_S)
        self.assertFalse(self.state.is_ready)
        self.state.on_peer_report(PEER, set(), EndNews.COMPLETE)
        self.assertTrue(self.state.is_ready)

    def test_serving_instance_stays_ready(self) -> None:
        self.state.on_peers(PEERS[:1])
        self.read_store()
        self.state.on_peers(PEERS)
        self.state.on_peer_report(PEER, {"a", "b"})
        self.assertTrue(self.state.is_ready)
