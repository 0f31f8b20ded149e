"""Follows the platform's store and reports what it holds as the product's own types.

Operators' records are rare, so their topic is read with a wait. Targets write several times a
second, so a waiting read would return for each record; their topic is read at a fixed pace. One
instance of each data centre reads and passes the records on; another one takes over if it falls
silent. Instances that cannot reach the store get what they miss from the one that reads.
"""

import logging
from collections.abc import Callable
from functools import partial
from typing import Protocol

from ..errors import CorruptRecordError, StoreCallError
from ..internal.core.rendezvous import rank_members
from ..internal.core.serving.targettable import Registration
from ..internal.entry.peers import Peer
from ..internal.entry.state import StoreObserver
from ..internal.eventloop import EventLoop
from ..internal.events import Event
from ..internal.ids import DataCentre, InstanceId, Offset, TargetId
from ..internal.logs import log_event
from ..internal.schema.peers_pb2 import LogFeed, LogRequest
from .records import (
    CONFIGURATION_KEY,
    EVACUATION_PREFIX,
    MODEL_VERSION_PREFIX,
    parse_configuration,
    parse_desired_version,
    parse_registration,
)
from .store import OPERATOR_TOPIC, REGISTRY_TOPIC, KeyedRecord, RecordPage, StoreClient

# The store may lose an answer and then stays silent on that connection, so a read must end well
# inside the three seconds after which a change has to be known again.
OPERATOR_READ_WAIT_S = 1.5
# An instance reads for itself if it was fed nothing for this long beyond the reader's pace.
FEED_TIMEOUT_MARGIN_S = 0.6
# How often an instance that is fed looks whether it still is.
FEED_CHECK_INTERVAL_S = 0.15
# Instances take over from a silent reader one after the other, up to this many. Pace, margin and
# all steps together must stay below the time after which a leaving target may get no work.
TAKEOVER_RANK_DELAY_S = 0.1
MAX_TAKEOVER_RANK = 3
# An instance that asked for records this recently cannot read for others.
CUT_OFF_DURATION_S = 3.0
# Pause between two requests for missing records, and between two answers.
CATCH_UP_INTERVAL_S = 0.5
INITIAL_RETRY_DELAY_S = 0.2
MAX_RETRY_DELAY_S = 1.0
STATUS_GONE = 410
# Entry instances form this group in the store. It lists a member only if that owns a partition, so
# the group has topics that only serve to have more partitions than there are instances: the
# smallest stores deal 12 a topic, which makes 192.
INSTANCE_GROUP = "entry-instances"
INSTANCE_TOPICS = [f"entry-instances-{number}" for number in range(16)]
JOIN_INTERVAL_S = 2.0
# A member's name in the group carries all that its peers need.
MEMBER_SEPARATOR = "|"
MEMBER_TTL_S = 7.0
_LOGGER = logging.getLogger(__name__)


class TopicFollower:
    """Reads one keyed topic: first the newest record of each key, then what follows."""

    def __init__(
        self,
        loop: EventLoop,
        store: StoreClient,
        topic: str,
        wait_s: float,
        interval_s: float,
        on_all: Callable[[tuple[KeyedRecord, ...]], None],
        on_record: Callable[[KeyedRecord], None],
        on_store: Callable[[bool, str], None],
        sharing: "FeedSharing | None" = None,
    ) -> None:
        self._loop = loop
        self._store = store
        self._sharing = sharing
        self._fed_at = float("-inf")
        self._topic = topic
        self._wait_s = wait_s
        self._interval_s = interval_s
        self._on_all = on_all
        self._on_record = on_record
        self._on_store = on_store
        self._next: Offset | None = None
        self._highest_end = Offset(0)
        self._retry_s = INITIAL_RETRY_DELAY_S
        self._is_closed = False
        # The newest record of each key, for instances that have missed some.
        self._newest: dict[str, KeyedRecord] = {}
        self._read_at = float("-inf")
        self._asked_at = float("-inf")
        self._answered_at: dict[InstanceId, float] = {}

    @property
    def topic(self) -> str:
        """The topic that is read."""
        return self._topic

    def start(self) -> None:
        """Begins to read."""
        self._read()

    def close(self) -> None:
        """Stops reading."""
        self._is_closed = True

    def _read(self) -> None:
        if self._is_closed:
            return
        if self.has_recent_feed():
            self._loop.call_later(FEED_CHECK_INTERVAL_S, self._read)
        elif self._next is None:
            self._store.read_newest(self._topic, self.on_newest_read)
        else:
            take = partial(self.on_records_read, self._next)
            self._store.read_keyed(self._topic, self._next, self._wait_s, take)

    def has_recent_feed(self) -> bool:
        """Whether a peer reads for this instance and has been heard recently."""
        if self._next is None or self._sharing is None or self._sharing.is_reader():
            return False
        delay = TAKEOVER_RANK_DELAY_S * min(MAX_TAKEOVER_RANK, self._sharing.get_reader_rank())
        limit = self._interval_s + self._wait_s + FEED_TIMEOUT_MARGIN_S + delay
        return self._loop.now() - self._fed_at < limit

    def apply_feed(self, start: Offset, records: tuple[KeyedRecord, ...]) -> None:
        """Takes over what a peer has read; asks for what is missing before it."""
        if self._next is None or start > self._next:
            self._ask_peers()
            return
        if start + len(records) < self._next:
            # The peer is behind, so it must not keep this instance from reading.
            return
        self._fed_at = self._loop.now()
        new = [record for record in records if record.offset >= self._next]
        # The peer reached the store, also if it read nothing new. This must be known before its
        # records are applied: an entry that is removed during an outage is kept for a while.
        self._succeed(Offset(new[-1].offset + 1) if new else self._next)
        for record in new:
            self._take(record)

    def apply_newest_feed(self, end: Offset, records: tuple[KeyedRecord, ...]) -> None:
        """Takes over the newest record of each key from a peer, unless nothing is missing."""
        if self._next is not None and end <= self._next:
            return
        self._fed_at = self._loop.now()
        log_event(
            _LOGGER,
            logging.INFO,
            Event.LOG_FROM_PEER,
            "records that were missed come from a peer",
            topic=self._topic,
            offset=self._next,
            end=end,
        )
        self._succeed(end)
        self._take_all(records)

    def serve_request(self, instance: InstanceId, next_offset: Offset) -> None:
        """Sends the newest records to a peer that misses those from an offset on."""
        now = self._loop.now()
        is_current = now - self._read_at < self._interval_s + self._wait_s + FEED_TIMEOUT_MARGIN_S
        if self._sharing is None or self._next is None or not is_current:
            return
        last = self._answered_at.get(instance, float("-inf"))
        if next_offset >= self._next or now - last < CATCH_UP_INTERVAL_S:
            return
        self._answered_at[instance] = now
        self._sharing.send_newest(instance, self._next, tuple(self._newest.values()))

    def on_newest_read(self, page: RecordPage | StoreCallError) -> None:
        """Takes the newest record of each key."""
        if isinstance(page, StoreCallError):
            self._fail(page)
            return
        if page.end < self._highest_end:
            # A stale copy must not bring back what was replaced.
            self._loop.call_later(self._retry_s, self._read)
            return
        self._read_at = self._loop.now()
        self._succeed(page.end)
        self._take_all(page.records)
        self._schedule()

    def on_records_read(self, start: Offset, page: RecordPage | StoreCallError) -> None:
        """Takes the records from an offset on. Peers may have sent some of them meanwhile."""
        if isinstance(page, StoreCallError):
            if page.status == STATUS_GONE:
                log_event(
                    _LOGGER,
                    logging.INFO,
                    Event.LOG_OFFSET_EXPIRED,
                    "records are gone; reading the newest of each key",
                    topic=self._topic,
                    offset=self._next,
                )
                self._next = None
            self._fail(page)
            return
        self._read_at = self._loop.now()
        end = Offset(page.records[-1].offset + 1) if page.records else start
        if self._sharing is not None:
            self._sharing.send_records(start, page.records)
        known = self._next if self._next is not None else start
        for record in page.records:
            if record.offset >= known:
                self._take(record)
        self._succeed(max(known, end))
        self._schedule()

    def _take(self, record: KeyedRecord) -> None:
        if record.value is None:
            self._newest.pop(record.key, None)
        else:
            self._newest[record.key] = record
        self._on_record(record)

    def _take_all(self, records: tuple[KeyedRecord, ...]) -> None:
        self._newest = {record.key: record for record in records if record.value is not None}
        self._on_all(records)

    def _ask_peers(self) -> None:
        """Tells the peers that this instance misses records, or cannot read them."""
        now = self._loop.now()
        if self._sharing is not None and now - self._asked_at >= CATCH_UP_INTERVAL_S:
            self._asked_at = now
            self._sharing.request_records(self._next or Offset(0))

    def _succeed(self, next_offset: Offset) -> None:
        self._next = next_offset
        self._highest_end = Offset(max(self._highest_end, next_offset))
        self._retry_s = INITIAL_RETRY_DELAY_S
        self._on_store(True, "")

    def _schedule(self) -> None:
        if self._interval_s > 0:
            self._loop.call_later(self._interval_s, self._read)
        else:
            self._loop.call_soon(self._read)

    def _fail(self, error: StoreCallError) -> None:
        if error.status != STATUS_GONE:
            self._on_store(False, str(error))
            self._ask_peers()
        self._loop.call_later(self._retry_s, self._read)
        self._retry_s = min(MAX_RETRY_DELAY_S, self._retry_s * 2)


class LogPeers(Protocol):
    """The way to the other instances of the data centre."""

    def send_log_feed(self, feed: LogFeed, instance: InstanceId | None) -> None:
        """Passes records on to one instance, or to all."""
        ...

    def send_log_request(self, request: LogRequest) -> None:
        """Asks all instances for records."""
        ...


class FeedSharing:
    """Who reads a topic for its data centre, and how the others get the records."""

    def __init__(
        self,
        topic: str,
        own: InstanceId,
        now: Callable[[], float],
        peers: "LogPeers",
    ) -> None:
        self._topic = topic
        self._own = own
        self._now = now
        self._peers = peers
        self._instances: tuple[InstanceId, ...] = (own,)
        self._cut_off: dict[InstanceId, float] = {}

    def set_instances(self, instances: tuple[InstanceId, ...]) -> None:
        """Takes the instances of the data centre."""
        self._instances = instances

    def is_reader(self) -> bool:
        """Whether this instance reads for the others."""
        return self.get_reader_rank() == 0

    def get_reader_rank(self) -> int:
        """Returns how many instances would read before this one."""
        now = self._now()
        able = [
            i
            for i in self._instances
            if now - self._cut_off.get(i, -CUT_OFF_DURATION_S) >= CUT_OFF_DURATION_S
        ]
        ranked = rank_members(self._topic, able)
        return ranked.index(self._own) if self._own in ranked else len(ranked)

    def mark_cut_off(self, instance: InstanceId) -> None:
        """Notes that an instance cannot read the topic now."""
        self._cut_off[instance] = self._now()

    def request_records(self, next_offset: Offset) -> None:
        """Asks the peers for the records from an offset on."""
        self.mark_cut_off(self._own)
        self._peers.send_log_request(LogRequest(topic=self._topic, next=next_offset))

    def send_records(self, start: Offset, records: tuple[KeyedRecord, ...]) -> None:
        """Passes records on to all peers."""
        self._peers.send_log_feed(self._write(start, records), None)

    def send_newest(
        self, instance: InstanceId, end: Offset, records: tuple[KeyedRecord, ...]
    ) -> None:
        """Sends the newest record of each key to one peer."""
        feed = self._write(end, records)
        feed.is_newest = True
        self._peers.send_log_feed(feed, instance)

    def _write(self, start: Offset, records: tuple[KeyedRecord, ...]) -> LogFeed:
        feed = LogFeed(topic=self._topic, start=start)
        for record in records:
            is_deleted = record.value is None
            feed.records.add(key=record.key, is_deleted=is_deleted, value=record.value or b"")
        return feed


class StoreFollower:
    """Keeps a ``StoreObserver`` up to date from the store."""

    def __init__(
        self,
        loop: EventLoop,
        store: StoreClient,
        sink: StoreObserver,
        own: Peer,
        registry_interval_s: float,
        peers: LogPeers,
    ) -> None:
        self._loop = loop
        self._store = store
        self._sink = sink
        self._own = own
        self._sharing = {
            topic: FeedSharing(topic, own.instance, loop.now, peers)
            for topic in (OPERATOR_TOPIC, REGISTRY_TOPIC)
        }
        self._generation = 0
        self._is_closed = False
        self._unreachable: set[str] = set()
        self._operator_records = TopicFollower(
            loop,
            store,
            OPERATOR_TOPIC,
            OPERATOR_READ_WAIT_S,
            0.0,
            self._take_operator_records,
            self._take_operator_record,
            partial(self._note_store, OPERATOR_TOPIC),
            self._sharing[OPERATOR_TOPIC],
        )
        self._registry = TopicFollower(
            loop,
            store,
            REGISTRY_TOPIC,
            0.0,
            registry_interval_s,
            self._take_registry,
            self._take_registration,
            partial(self._note_store, REGISTRY_TOPIC),
            self._sharing[REGISTRY_TOPIC],
        )

    def start(self) -> None:
        """Begins to read."""
        self._operator_records.start()
        self._registry.start()
        self._join()

    def close(self) -> None:
        """Stops reading."""
        self._is_closed = True
        self._operator_records.close()
        self._registry.close()

    def on_log_feed(self, feed: LogFeed) -> None:
        """Takes over what a peer of this data centre has read."""
        records = tuple(
            KeyedRecord(
                record.key, None if record.is_deleted else record.value, Offset(feed.start + number)
            )
            for number, record in enumerate(feed.records)
        )
        for follower in (self._operator_records, self._registry):
            if follower.topic != feed.topic:
                continue
            if feed.is_newest:
                follower.apply_newest_feed(Offset(feed.start), records)
            else:
                follower.apply_feed(Offset(feed.start), records)

    def on_log_request(self, instance: InstanceId, request: LogRequest) -> None:
        """Answers a peer of this data centre that misses records, if this instance reads."""
        for follower in (self._operator_records, self._registry):
            if follower.topic == request.topic:
                self._sharing[request.topic].mark_cut_off(instance)
                follower.serve_request(instance, Offset(request.next))

    def _note_store(self, topic: str, is_reachable: bool, detail: str) -> None:
        if is_reachable:
            self._unreachable.discard(topic)
        else:
            self._unreachable.add(topic)
        self._sink.on_store_reachability(not self._unreachable, detail)

    def _take_operator_records(self, records: tuple[KeyedRecord, ...]) -> None:
        evacuated = {
            DataCentre(record.key.removeprefix(EVACUATION_PREFIX))
            for record in records
            if record.key.startswith(EVACUATION_PREFIX) and record.value is not None
        }
        self._sink.on_evacuations_read(evacuated)
        for record in records:
            self._take_operator_record(record)

    def _take_operator_record(self, record: KeyedRecord) -> None:
        try:
            if record.key == CONFIGURATION_KEY and record.value is not None:
                self._sink.on_configuration(parse_configuration(record.value))
            elif record.key.startswith(EVACUATION_PREFIX):
                data_centre = DataCentre(record.key.removeprefix(EVACUATION_PREFIX))
                self._sink.on_evacuation(data_centre, record.value is not None)
            elif record.key.startswith(MODEL_VERSION_PREFIX) and record.value is not None:
                named = parse_desired_version(record.value)
                self._sink.on_desired_version(named.model, named.version)
        except CorruptRecordError as error:
            _log_corrupt(record, error)

    def _take_registry(self, records: tuple[KeyedRecord, ...]) -> None:
        entries = [entry for record in records if (entry := _read_entry(record)) is not None]
        self._sink.on_registry_read(entries)

    def _take_registration(self, record: KeyedRecord) -> None:
        if record.value is None:
            self._sink.on_registration_removed(TargetId(record.key))
            return
        entry = _read_entry(record)
        if entry is not None:
            self._sink.on_registration(entry)

    def _join(self) -> None:
        if self._is_closed:
            return
        self._store.join_group(
            INSTANCE_GROUP,
            _write_member(self._own),
            INSTANCE_TOPICS,
            MEMBER_TTL_S,
            self._generation,
            self._take_generation,
        )
        self._loop.call_later(JOIN_INTERVAL_S, self._join)

    def _take_generation(self, generation: int | StoreCallError) -> None:
        if isinstance(generation, StoreCallError) or generation == self._generation:
            return
        self._generation = generation
        self._store.list_members(INSTANCE_GROUP, self._take_members)

    def _take_members(self, members: set[str] | StoreCallError) -> None:
        if isinstance(members, StoreCallError):
            self._generation = 0
            log_event(_LOGGER, logging.WARNING, Event.LIST_UNREACHABLE, str(members))
            return
        if _write_member(self._own) not in members:
            # Shares of limits would be too large if instances were missing here.
            log_event(
                _LOGGER,
                logging.WARNING,
                Event.LIST_INCOMPLETE,
                "this instance is not on the list of its group; it may have too few partitions",
                members=len(members),
            )
        peers = [peer for member in members if (peer := _read_member(member))]
        local = {p.instance for p in peers if p.data_centre == self._own.data_centre}
        for sharing in self._sharing.values():
            sharing.set_instances(tuple(sorted({*local, self._own.instance})))
        self._sink.on_peers(peers)


def _write_member(peer: Peer) -> str:
    return MEMBER_SEPARATOR.join((peer.instance, peer.data_centre, peer.address))


def _read_member(member: str) -> Peer | None:
    fields = member.split(MEMBER_SEPARATOR)
    if len(fields) != 3:
        log_event(_LOGGER, logging.WARNING, Event.RECORD_CORRUPT, "unknown member", key=member)
        return None
    return Peer(InstanceId(fields[0]), DataCentre(fields[1]), fields[2])


def _read_entry(record: KeyedRecord) -> Registration | None:
    if record.value is None:
        return None
    try:
        return parse_registration(record.key, record.value)
    except CorruptRecordError as error:
        _log_corrupt(record, error)
        return None


def _log_corrupt(record: KeyedRecord, error: CorruptRecordError) -> None:
    log_event(
        _LOGGER,
        logging.WARNING,
        Event.RECORD_CORRUPT,
        f"record passed over: {error}",
        key=record.key,
        offset=record.offset,
    )
