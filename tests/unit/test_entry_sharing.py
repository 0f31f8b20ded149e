"""Sharing of cache events and target updates between entry instances."""

import unittest

from mulberryrill.internal.core.serving.cacheindex import (
    CacheEvent,
    CacheIndex,
    CacheKey,
    HolderKind,
)
from mulberryrill.internal.core.serving.targettable import TargetTable
from mulberryrill.internal.entry.cachesharing import FULL_UPDATE_INTERVAL_S, CacheSharing
from mulberryrill.internal.entry.targetupdates import TargetUpdates
from mulberryrill.internal.ids import InstanceId, ModelName, TargetId, WeightVersion
from tests.unit.test_serving_targettable import create_registration

HOLDER = "10.0.0.1:80"


class Node:
    """The cache index and cache sharing of one instance."""

    def __init__(self, name: str, clock: list[float]) -> None:
        self.clock = clock
        self.index = CacheIndex()
        self.index.add_holder(HOLDER, HolderKind.STORE)
        self.sharing = CacheSharing(self.index, InstanceId(name), lambda: clock[0])

    def read(self, since: int, next_event: int, *parts: str, epoch: int = 1) -> None:
        events = [CacheEvent(CacheKey("1", part), True, 64) for part in parts]
        self.index.apply(HOLDER, epoch, next_event, events, self.clock[0])
        self.sharing.record_events(HOLDER, since, events)

    def holds(self, part: str) -> bool:
        return self.index.holds(HOLDER, CacheKey("1", part), 64)


class CacheSharingTest(unittest.TestCase):
    """Guards against a wrong cache index after an update was lost."""

    def setUp(self) -> None:
        self.clock = [100.0]
        self.reader, self.peer = Node("i1", self.clock), Node("i2", self.clock)

    def exchange(self) -> None:
        for update in self.reader.sharing.pop_updates():
            self.peer.sharing.apply(update)

    def test_peers_learn_what_the_reader_reads(self) -> None:
        self.reader.read(0, 2, "aa")
        self.exchange()
        self.reader.read(2, 3, "bb")
        self.exchange()
        self.assertTrue(self.peer.holds("aa") and self.peer.holds("bb"))

    def request_missing(self) -> int:
        """Requests the peer's missing holders; returns the number of full updates."""
        holders = self.peer.sharing.pop_missing_holders()
        updates = self.reader.sharing.build_full_updates(InstanceId("i2"), holders)
        for update in updates:
            self.peer.sharing.apply(update)
        return len(updates)

    def test_gap_is_not_bridged_and_the_peer_asks_for_all_parts(self) -> None:
        self.reader.read(0, 2, "aa")
        self.exchange()
        self.reader.read(2, 3, "bb")
        self.reader.sharing.pop_updates()
        self.reader.read(3, 4, "cc")
        self.exchange()
        self.assertFalse(self.peer.holds("cc"))
        self.assertEqual(self.request_missing(), 1)
        self.assertTrue(all(self.peer.holds(part) for part in ("aa", "bb", "cc")))
        self.assertEqual(self.request_missing(), 0)

    def test_peer_that_has_just_started_asks_for_all_parts(self) -> None:
        """Guards against an instance that knows no cached parts for seconds after its start."""
        self.reader.read(0, 2, "aa")
        self.reader.sharing.pop_updates()
        self.peer.sharing.add_missing_holders({HOLDER, "10.0.0.9:80"})
        self.assertEqual(self.request_missing(), 1)
        self.assertTrue(self.peer.holds("aa"))

    def test_answers_to_one_peer_are_spaced(self) -> None:
        """Guards against repeated full updates while the first one is still in flight."""
        self.reader.read(0, 2, "aa")
        build = self.reader.sharing.build_full_updates
        self.assertEqual(len(build(InstanceId("i2"), [HOLDER])), 1)
        self.assertEqual(build(InstanceId("i2"), [HOLDER]), [])
        self.assertEqual(len(build(InstanceId("i3"), [HOLDER])), 1)
        self.clock[0] += FULL_UPDATE_INTERVAL_S
        self.assertEqual(len(build(InstanceId("i2"), [HOLDER])), 1)

    def test_restarted_holder_is_forgotten_by_peers(self) -> None:
        self.reader.read(0, 2, "aa")
        self.exchange()
        self.reader.read(0, 1, "bb", epoch=2)
        self.exchange()
        self.request_missing()
        self.assertFalse(self.peer.holds("aa"))
        self.assertTrue(self.peer.holds("bb"))

    def test_one_instance_of_a_data_centre_reads_if_there_are_many(self) -> None:
        names = tuple(InstanceId(f"i{i}") for i in range(20))
        readers = 0
        for name in names:
            node = Node(name, self.clock)
            node.sharing.set_instances(40, names)
            readers += node.sharing.is_reader(HOLDER, 12)
        self.assertEqual(readers, 1)

    def test_each_instance_reads_if_there_are_few(self) -> None:
        node = Node("i1", self.clock)
        node.sharing.set_instances(8, (InstanceId("i0"), InstanceId("i1")))
        self.assertTrue(node.sharing.is_reader(HOLDER, 12))


class TargetUpdatesTest(unittest.TestCase):
    """Guards against each instance sending calls to a target that is known to reject them."""

    def test_peers_learn_versions_and_refusals(self) -> None:
        tables = [TargetTable(), TargetTable()]
        for table in tables:
            table.apply(create_registration(), 0.0)
        first, second = (TargetUpdates(table) for table in tables)
        first.record_version(TargetId("t1"), ModelName("m"), WeightVersion(2))
        first.record_cooldown(TargetId("t1"), 5.3)
        first.record_cooldown(TargetId("t1"), 5.5)
        for update in first.pop_updates(5.0):
            second.apply(update, 5.1)
        target = tables[1].targets[0]
        self.assertEqual(target.get_version(ModelName("m")), 2)
        self.assertTrue(target.is_cooling_down(5.55))
        self.assertFalse(target.is_cooling_down(5.65))
        self.assertEqual(first.pop_updates(5.0), [])

    def test_peers_learn_that_another_target_answers(self) -> None:
        tables = [TargetTable(), TargetTable()]
        for table in tables:
            table.apply(create_registration(), 0.0)
        first, second = (TargetUpdates(table) for table in tables)
        first.record_misdirection(TargetId("t1"), 3)
        for update in first.pop_updates(5.0):
            second.apply(update, 5.0)
            # A repeated report does not extend the cooldown.
            second.apply(update, 5.5)
        self.assertEqual(tables[1].targets[0].cooldown_until, 6.0)
        self.assertEqual(first.pop_updates(5.0), [])
