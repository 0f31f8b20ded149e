"""One instance of a data centre reads the platform's store for the others."""

import unittest
from collections.abc import Callable

from mulberryrill.errors import StoreCallError
from mulberryrill.internal.clock import ManualClock
from mulberryrill.internal.core.serving.keyedrecords import KeyedRecord, RecordPage
from mulberryrill.internal.core.serving.readtiming import plan_periodic_reads
from mulberryrill.internal.entry.feedsharing import CUT_OFF_DURATION_S, FeedSharing
from mulberryrill.internal.entry.topicfollower import PendingRead, TopicFollower
from mulberryrill.internal.eventloop import EventLoop
from mulberryrill.internal.events import Event
from mulberryrill.internal.ids import InstanceId, Offset, StoreEra
from mulberryrill.internal.schema.peers_pb2 import LogFeed, LogRequest
from mulberryrill.platform.store import StoreClient

TOPIC = "keyed.servers"
DRAIN_BOUND_S = 3.0
STORE_ERROR = StoreCallError("lost", 0, False)


class UnresponsiveStore(StoreClient):
    """A store that never responds; the tests pass results to the follower themselves."""

    def read_newest(self, topic: str, done: Callable) -> None:
        return

    def read_keyed(self, topic: str, start: Offset, wait_s: float, done: Callable) -> None:
        return


class Node:
    """A follower on one instance, its ``TopicHandler``, and ``LogPeers`` by direct calls."""

    def __init__(self, name: str, clock: ManualClock, nodes: dict[InstanceId, "Node"]) -> None:
        self.name = InstanceId(name)
        self.nodes = nodes
        self.clock = clock
        nodes[self.name] = self
        loop = EventLoop(clock, name)
        self.sharing = FeedSharing(TOPIC, self.name, clock.boottime, self)
        self.records: dict[str, bytes | None] = {}
        self.newest_feed_count = 0
        self.follower = TopicFollower(
            loop,
            UnresponsiveStore(loop, "127.0.0.1:1"),
            TOPIC,
            lambda: plan_periodic_reads(DRAIN_BOUND_S),
            self,
            lambda is_reachable, detail: None,
            self.sharing,
        )

    def on_newest(self, records: tuple[KeyedRecord, ...]) -> None:
        self.records = {record.key: record.value for record in records}

    def on_record(self, record: KeyedRecord) -> None:
        self.records[record.key] = record.value

    def on_restored(
        self, records: tuple[KeyedRecord, ...], carried: tuple[KeyedRecord, ...]
    ) -> None:
        self.on_newest((*records, *carried))

    def on_carried(self, records: tuple[KeyedRecord, ...]) -> None:
        self.records |= {record.key: record.value for record in records}

    on_settled = on_newest

    def send_log_feed(self, feed: LogFeed, instance: InstanceId | None) -> None:
        self.newest_feed_count += feed.is_newest
        records = tuple(
            KeyedRecord(r.key, None if r.is_deleted else r.value, Offset(feed.start + number))
            for number, r in enumerate(feed.records)
        )
        for node in self.nodes.values():
            if node is self or instance not in (None, node.name):
                continue
            apply = node.follower.apply_newest_feed if feed.is_newest else node.follower.apply_feed
            apply(Offset(feed.start), records, self.clock.boottime() - feed.age_ms / 1000)

    def read_newest(self, page: RecordPage | StoreCallError) -> None:
        """Passes the newest records to the follower, as the store would."""
        self.follower.on_newest_read(self.clock.boottime(), page)

    def read(self, start: int, page: RecordPage | StoreCallError) -> None:
        """Passes the records from ``start`` on to the follower, as the store would."""
        read = PendingRead(Offset(start), self.clock.boottime(), 0.0)
        self.follower.on_records_read(read, page)

    def receive(self, start: int) -> None:
        """Passes a peer's message without records to the follower."""
        self.follower.apply_feed(Offset(start), (), self.clock.boottime())

    def send_log_request(self, request: LogRequest) -> None:
        for node in self.nodes.values():
            if node is not self:
                node.sharing.mark_cut_off(self.name)
                node.follower.serve_request(self.name, Offset(request.next))


def create_records(*values: tuple[str, bytes | None], start: int) -> tuple[KeyedRecord, ...]:
    return tuple(KeyedRecord(key, v, Offset(start + n)) for n, (key, v) in enumerate(values))


class LogSharingTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = ManualClock()
        self.nodes: dict[InstanceId, Node] = {}
        names = tuple(InstanceId(f"front-{number}") for number in range(4))
        for name in names:
            Node(name, self.clock, self.nodes)
        for node in self.nodes.values():
            node.sharing.set_instances(names)
        self.nodes_by_rank = sorted(
            self.nodes.values(), key=lambda node: node.sharing.get_reader_rank()
        )
        for node in self.nodes_by_rank:
            node.read_newest(RecordPage(create_records(("t1", b"1"), start=0), Offset(1)))

    def test_next_instance_reads_when_the_first_one_cannot(self) -> None:
        """Guards against two readers, or none, while the first one cannot reach the store."""
        first, second = self.nodes_by_rank[:2]
        first.read(1, STORE_ERROR)
        self.assertTrue(second.sharing.is_reader())
        self.assertFalse(first.sharing.is_reader())
        self.clock.advance(CUT_OFF_DURATION_S)
        self.assertTrue(first.sharing.is_reader())
        self.assertFalse(second.sharing.is_reader())

    def test_records_reach_all_from_whoever_reads(self) -> None:
        """Guards against old targets in a data centre whose first reader cannot reach the store."""
        page = RecordPage(create_records(("t2", b"2"), ("t1", None), start=1), Offset(3))
        self.nodes_by_rank[1].read(1, page)
        for node in self.nodes_by_rank:
            self.assertEqual(node.records.get("t2"), b"2")
            self.assertIsNone(node.records.get("t1"))

    def test_instance_that_missed_records_gets_the_newest_ones(self) -> None:
        """Guards against an instance that stays out of date because it missed one message."""
        reader, behind = self.nodes_by_rank[0], self.nodes_by_rank[3]
        del self.nodes[behind.name]
        reader.read(1, RecordPage(create_records(("t1", None), start=1), Offset(2)))
        self.nodes[behind.name] = behind
        self.assertIn("t1", behind.records)
        reader.read(2, RecordPage(create_records(("t2", b"2"), start=2), Offset(3)))
        self.assertEqual(behind.records, {"t2": b"2"})
        self.assertEqual(reader.newest_feed_count, 1)

    def test_instance_without_the_store_is_told_what_it_misses(self) -> None:
        reader, behind = self.nodes_by_rank[0], self.nodes_by_rank[3]
        del self.nodes[behind.name]
        reader.read(1, RecordPage(create_records(("t3", b"3"), start=1), Offset(2)))
        self.nodes[behind.name] = behind
        behind.read(1, STORE_ERROR)
        self.assertEqual(behind.records, {"t1": b"1", "t3": b"3"})

    def test_old_state_is_not_taken_over(self) -> None:
        """Guards against configuration that returns to an older state."""
        ahead = self.nodes_by_rank[3]
        ahead.read(1, RecordPage(create_records(("t1", b"2"), start=1), Offset(2)))
        old_records = create_records(("t1", b"1"), start=0)
        ahead.follower.apply_newest_feed(Offset(1), old_records, self.clock.boottime())
        self.assertEqual(ahead.records, {"t1": b"2"})

    def test_instance_that_has_not_read_lately_answers_nothing(self) -> None:
        """Guards against out-of-date records of a peer that count as the store's newest."""
        self.nodes_by_rank[0].read(1, RecordPage(create_records(("t2", b"2"), start=1), Offset(2)))
        self.clock.advance(5.0)
        late = Node("front-9", self.clock, self.nodes)
        late.receive(2)
        self.assertEqual(late.records, {})

    def test_peer_that_is_behind_does_not_keep_others_from_reading(self) -> None:
        """Guards against a reader whose old copy of the topic keeps its peers from reading."""
        ahead, behind = self.nodes_by_rank[3], self.nodes_by_rank[0]
        ahead.read(1, RecordPage(create_records(("t1", b"2"), start=1), Offset(2)))
        self.clock.advance(5.0)
        ahead.receive(1)
        self.assertFalse(ahead.follower.has_recent_feed())
        ahead.receive(2)
        self.assertTrue(ahead.follower.has_recent_feed())
        self.assertTrue(behind.sharing.is_reader())

    def test_instance_that_reads_for_a_silent_reader_says_so(self) -> None:
        """Without this line nobody can tell why a change came late to one instance."""
        node = self.nodes_by_rank[3]
        instance = node.follower
        node.receive(1)
        self.clock.advance(5.0)
        with self.assertLogs(level="INFO") as logs:
            instance.start()
            instance.start()
        lines = [vars(record) for record in logs.records]
        taken_over = [line for line in lines if line["event"] == Event.LOG_READER_SILENT]
        self.assertEqual([line["feed_age_s"] for line in taken_over], [5.0])

    def test_starting_instance_learns_from_a_peer(self) -> None:
        late = Node("front-9", self.clock, self.nodes)
        late.read_newest(STORE_ERROR)
        self.assertEqual(late.records, {"t1": b"1"})

    def test_newest_records_read_while_some_are_carried_do_not_undo_these(self) -> None:
        """Guards against an evacuation that ends because a message was missed after a restore."""
        node = self.nodes_by_rank[3]
        now = self.clock.boottime()
        copy = create_records(("t1", b"1"), start=0)
        known = (*copy, *create_records(("evacuated", b"1"), start=2))
        node.follower.apply_newest_feed(Offset(3), known, now, StoreEra(1))
        node.follower.apply_newest_feed(Offset(1), copy, now, StoreEra(2))
        self.assertIn("evacuated", node.records)
        later = create_records(("t1", b"1"), ("t2", b"2"), start=1)
        node.follower.apply_newest_feed(Offset(3), later, now, StoreEra(2))
        self.assertEqual(set(node.records), {"t1", "t2", "evacuated"})
