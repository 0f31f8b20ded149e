"""Follows the platform's store and reports its records as the product's own types.

Operators' records are rare, so their topic is read by long polling. Targets write several times a
second, so a long poll would return for each record; their topic is polled at a fixed interval. One
instance of each data centre, the reader, reads a topic and forwards its records to the others;
another one takes over when its own records become too old (``core/serving/readtiming.py``).
Instances that cannot reach the store get missing records from the reader.
"""

import logging
import math
import traceback
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from functools import partial
from typing import Protocol

from ..errors import CorruptRecordError, StoreCallError
from ..internal.core.rendezvous import rank_members
from ..internal.core.serving.readtiming import (
    ReadTiming,
    TransitClock,
    plan_periodic_reads,
    plan_waiting_reads,
)
from ..internal.core.serving.targettable import Registration
from ..internal.entry.peers import Peer
from ..internal.entry.state import StoreObserver
from ..internal.eventloop import EventLoop
from ..internal.events import Event
from ..internal.ids import DataCentre, InstanceId, Offset, TargetId
from ..internal.logs import log_event
from ..internal.schema.log_pb2 import QuarantineEntry
from ..internal.schema.peers_pb2 import LogFeed, LogRequest
from ..internal.schema.settings_pb2 import EntryBounds
from .records import (
    CONFIGURATION_KEY,
    EVACUATION_PREFIX,
    MODEL_VERSION_PREFIX,
    parse_configuration,
    parse_desired_version,
    parse_quarantine_entry,
    parse_registration,
)
from .store import (
    OPERATOR_TOPIC,
    QUARANTINE_TOPIC,
    REGISTRY_TOPIC,
    KeyedRecord,
    RecordPage,
    StoreClient,
)

# How often an instance that gets feeds checks that they are recent and that it is still not the
# reader. It also checks at the moment at which they are no longer recent.
FEED_CHECK_INTERVAL_S = 0.5
MS_PER_S = 1000
# Calls that end targets are refused everywhere within this time, also if the instance that reads
# for a data centre falls silent. Usually its waiting read returns at once.
QUARANTINE_BOUND_S = 10.0
# An entry of the quarantine is written again after a failure, so often and after this time.
MAX_APPEND_ATTEMPTS = 60
APPEND_RETRY_DELAY_S = 1.0
# An instance that requests records from its peers counts as cut off from the store, and so is no
# reader, for this long.
CUT_OFF_DURATION_S = 3.0
# Shortest time between two requests for missing records, and between two replies to an instance.
CATCH_UP_INTERVAL_S = 0.5
INITIAL_RETRY_DELAY_S = 0.2
MAX_RETRY_DELAY_S = 1.0
STATUS_GONE = 410
# Entry instances form this group in the store. The store lists only members that own a partition,
# so the group has topics that only provide more partitions than there are instances: the smallest
# stores have 12 partitions per topic, which makes 192.
INSTANCE_GROUP = "entry-instances"
INSTANCE_TOPICS = [f"entry-instances-{number}" for number in range(16)]
JOIN_INTERVAL_S = 2.0
# A member's name in the group holds its instance, data centre and address.
MEMBER_SEPARATOR = "|"
MEMBER_TTL_S = 7.0
_LOGGER = logging.getLogger(__name__)


class RecordSource(Enum):
    """Where an instance has a record from; the values are logged."""

    STORE = "store"
    FEED = "peer"


@dataclass(frozen=True)
class PendingRead:
    """A read of a topic's records that the store has not answered yet."""

    start: Offset
    # Boot time.
    started_at: float
    wait_s: float


class TopicFollower:
    """Reads one keyed topic: first the newest record of each key, then all later records."""

    def __init__(
        self,
        loop: EventLoop,
        store: StoreClient,
        topic: str,
        get_timing: Callable[[], ReadTiming],
        on_newest: Callable[[tuple[KeyedRecord, ...]], None],
        on_record: Callable[[KeyedRecord], None],
        on_reachability: Callable[[bool, str], None],
        sharing: "FeedSharing | None" = None,
        *,
        logs_records: bool = False,
    ) -> None:
        """``get_timing`` is called before each read, so that new bounds take effect.

        ``logs_records``: each applied record is logged, for topics that change rarely.
        """
        self._loop = loop
        self._logs_records = logs_records
        # Whether this instance reads although another one should, because that one fell silent.
        self._has_taken_over = False
        self._store = store
        self._sharing = sharing
        self._topic = topic
        self._get_timing = get_timing
        # Boot time up to which this instance knew all records, from the store or from peers.
        self._complete_at = float("-inf")
        self._on_newest = on_newest
        self._on_record = on_record
        self._on_reachability = on_reachability
        self._next_offset: Offset | None = None
        self._highest_end = Offset(0)
        self._retry_delay_s = INITIAL_RETRY_DELAY_S
        self._is_closed = False
        # The newest record of each key, to send to peers that missed records.
        self._newest: dict[str, KeyedRecord] = {}
        # The same from the store alone: only such records are sent to peers that request them.
        self._read_complete_at = float("-inf")
        # Records wait in the store as far as known, so that the next read returns at once.
        self._has_more = False
        self._last_request_at = float("-inf")
        self._last_reply_at: dict[InstanceId, float] = {}

    @property
    def topic(self) -> str:
        """The topic that is read."""
        return self._topic

    def start(self) -> None:
        """Starts to read."""
        self._read()

    def close(self) -> None:
        """Stops reading."""
        self._is_closed = True

    def _read(self) -> None:
        if self._is_closed:
            return
        feed_time_left_s = self._get_feed_time_left()
        self._record_takeover(feed_time_left_s)
        if feed_time_left_s > 0:
            delay_s = min(FEED_CHECK_INTERVAL_S, feed_time_left_s)
            self._loop.call_later(delay_s, self._read)
        elif self._next_offset is None:
            on_newest = partial(self.on_newest_read, self._loop.boottime())
            self._store.read_newest(self._topic, on_newest)
        else:
            wait_s = 0.0 if self._has_more else self._get_timing().wait_s
            read = PendingRead(self._next_offset, self._loop.boottime(), wait_s)
            on_page = partial(self.on_records_read, read)
            self._store.read_keyed(self._topic, read.start, wait_s, on_page)

    def _record_takeover(self, feed_time_left_s: float) -> None:
        """Logs that this instance begins to read in place of a silent reader."""
        rank = self._sharing.get_reader_rank() if self._sharing is not None else 0
        has_taken_over = rank > 0 and self._next_offset is not None and feed_time_left_s <= 0
        if has_taken_over and not self._has_taken_over:
            log_event(
                _LOGGER,
                logging.INFO,
                Event.LOG_READER_SILENT,
                "no recent records from the instance that reads for the data centre; reading",
                topic=self._topic,
                offset=self._next_offset,
                rank=rank,
                feed_age_s=_round_age(self._loop.boottime() - self._complete_at),
            )
        self._has_taken_over = has_taken_over

    def has_recent_feed(self) -> bool:
        """Whether a peer reads for this instance and its last feed is recent."""
        return self._get_feed_time_left() > 0

    def _get_feed_time_left(self) -> float:
        """Returns the seconds for which this instance need not read itself.

        0 or less if it is the reader, or if the reader has fallen silent.
        """
        if self._next_offset is None or self._sharing is None:
            return 0.0
        rank = self._sharing.get_reader_rank()
        if rank == 0:
            return 0.0
        takeover_age_s = self._get_timing().compute_takeover_age(rank)
        return self._complete_at + takeover_age_s - self._loop.boottime()

    def apply_feed(
        self, start: Offset, records: tuple[KeyedRecord, ...], complete_at: float
    ) -> None:
        """Applies a peer's records, or requests the missing ones if there is a gap before them.

        With them, all records up to boot time ``complete_at`` are known.
        """
        if self._next_offset is None or start > self._next_offset:
            self._request_from_peers()
            return
        if start + len(records) < self._next_offset:
            # The peer is behind: its feeds must not keep this instance from reading.
            return
        self._complete_at = max(self._complete_at, complete_at)
        new_records = [record for record in records if record.offset >= self._next_offset]
        # The peer reached the store, even if it read nothing new. This is reported before the
        # records are applied: a target removed during an outage is kept for a grace period.
        self._on_success(Offset(new_records[-1].offset + 1) if new_records else self._next_offset)
        for record in new_records:
            self._apply_record(record, RecordSource.FEED)

    def apply_newest_feed(
        self, end: Offset, records: tuple[KeyedRecord, ...], complete_at: float
    ) -> None:
        """Applies the newest record of each key from a peer, unless this instance is up to date."""
        if self._next_offset is not None and end <= self._next_offset:
            return
        self._complete_at = max(self._complete_at, complete_at)
        log_event(
            _LOGGER,
            logging.INFO,
            Event.LOG_FROM_PEER,
            "missed records received from a peer",
            topic=self._topic,
            offset=self._next_offset,
            end=end,
        )
        self._on_success(end)
        self._apply_newest(records)

    def serve_request(self, instance: InstanceId, next_offset: Offset) -> None:
        """Sends the newest record of each key to a peer that misses records from an offset on."""
        now = self._loop.now()
        age_s = self._loop.boottime() - self._read_complete_at
        is_current = age_s < self._get_timing().compute_takeover_age(0)
        if self._sharing is None or self._next_offset is None or not is_current:
            return
        last_reply_at = self._last_reply_at.get(instance, float("-inf"))
        if next_offset >= self._next_offset or now - last_reply_at < CATCH_UP_INTERVAL_S:
            return
        self._last_reply_at[instance] = now
        self._sharing.send_newest(instance, self._next_offset, tuple(self._newest.values()), age_s)

    def on_newest_read(self, started_at: float, page: RecordPage | StoreCallError) -> None:
        """Applies the newest record of each key and schedules the next read.

        ``started_at`` is the boot time at which the read began.
        """
        if isinstance(page, StoreCallError):
            self._on_failure(page)
            return
        log_event(
            _LOGGER,
            logging.INFO,
            Event.LOG_NEWEST_READ,
            "newest records read",
            topic=self._topic,
            era=self._store.era,
            end=page.end,
            known_end=self._highest_end,
            keys=[f"{r.key}@{r.offset}" for r in page.records] if self._logs_records else None,
            is_used=page.end >= self._highest_end,
        )
        if page.end < self._highest_end:
            # A stale copy of the topic must not bring back replaced records.
            self._loop.call_later(self._retry_delay_s, self._read)
            return
        self._record_read(started_at)
        has_followed = self._highest_end > 0
        self._on_success(page.end)
        if has_followed and self._sharing is not None and self._sharing.is_reader():
            # Records expired unread. Peers that lack them, too, see the gap and request them.
            self._sharing.send_records(page.end, (), self._loop.boottime() - started_at)
        try:
            self._apply_newest(page.records)
        finally:
            self._schedule_read()

    def on_records_read(self, read: "PendingRead", page: RecordPage | StoreCallError) -> None:
        """Applies the records that a read returned and forwards them to the peers.

        Peers may have sent some of these records while the read was under way.
        """
        if isinstance(page, StoreCallError):
            if page.status == STATUS_GONE:
                log_event(
                    _LOGGER,
                    logging.INFO,
                    Event.LOG_OFFSET_EXPIRED,
                    "records are gone from the store; reading the newest record of each key",
                    topic=self._topic,
                    offset=self._next_offset,
                )
                self._next_offset = None
            self._on_failure(page)
            return
        now = self._loop.boottime()
        # Records that arrived during a wait say nothing about later ones: the next read tells.
        self._has_more = bool(page.records)
        complete_at = read.started_at if page.records else min(now, read.started_at + read.wait_s)
        self._record_read(complete_at)
        end = Offset(page.records[-1].offset + 1) if page.records else read.start
        if self._sharing is not None:
            self._sharing.send_records(read.start, page.records, now - complete_at)
        next_offset = self._next_offset if self._next_offset is not None else read.start
        for record in page.records:
            if record.offset >= next_offset:
                self._apply_record(record, RecordSource.STORE)
        self._on_success(max(next_offset, end))
        self._schedule_read()

    def _record_read(self, complete_at: float) -> None:
        self._read_complete_at = max(self._read_complete_at, complete_at)
        self._complete_at = max(self._complete_at, complete_at)

    def _apply_record(self, record: KeyedRecord, source: RecordSource) -> None:
        if record.value is None:
            self._newest.pop(record.key, None)
        else:
            self._newest[record.key] = record
        if self._logs_records:
            log_event(
                _LOGGER,
                logging.INFO,
                Event.LOG_RECORD_READ,
                "record read",
                topic=self._topic,
                key=record.key,
                offset=record.offset,
                source=source.value,
            )
        try:
            self._on_record(record)
        except Exception as error:  # One record must not keep the later ones from being read.
            _log_failed(record, error)

    def _apply_newest(self, records: tuple[KeyedRecord, ...]) -> None:
        self._newest = {record.key: record for record in records if record.value is not None}
        self._on_newest(records)

    def _request_from_peers(self) -> None:
        """Requests missing records from the peers, unless it did so recently.

        The request also informs the peers that this instance cannot read the topic for them.
        """
        now = self._loop.now()
        if self._sharing is not None and now - self._last_request_at >= CATCH_UP_INTERVAL_S:
            self._last_request_at = now
            self._sharing.request_records(self._next_offset or Offset(0))

    def _on_success(self, next_offset: Offset) -> None:
        self._next_offset = next_offset
        self._highest_end = Offset(max(self._highest_end, next_offset))
        self._retry_delay_s = INITIAL_RETRY_DELAY_S
        self._on_reachability(True, "")

    @property
    def complete_at(self) -> float:
        """Boot time up to which all records are known; negative infinity: none are."""
        return self._complete_at

    def _schedule_read(self) -> None:
        interval_s = self._get_timing().interval_s
        if interval_s > 0:
            self._loop.call_later(interval_s, self._read)
        else:
            self._loop.call_soon(self._read)

    def _on_failure(self, error: StoreCallError) -> None:
        if error.status != STATUS_GONE:
            self._on_reachability(False, str(error))
            self._request_from_peers()
        self._loop.call_later(self._retry_delay_s, self._read)
        self._retry_delay_s = min(MAX_RETRY_DELAY_S, self._retry_delay_s * 2)


class LogPeers(Protocol):
    """Sends messages to the other instances of the data centre."""

    def send_log_feed(self, feed: LogFeed, instance: InstanceId | None) -> None:
        """Sends records to one instance; None: to all."""
        ...

    def send_log_request(self, request: LogRequest) -> None:
        """Requests records from all instances."""
        ...


class FeedSharing:
    """Selects the instance that reads a topic for its data centre, and sends peers its records."""

    def __init__(
        self,
        topic: str,
        local_instance: InstanceId,
        boottime: Callable[[], float],
        peers: "LogPeers",
    ) -> None:
        self._topic = topic
        self._local_instance = local_instance
        self._boottime = boottime
        self._peers = peers
        self._instances: tuple[InstanceId, ...] = (local_instance,)
        self._cut_off_at: dict[InstanceId, float] = {}

    def set_instances(self, instances: tuple[InstanceId, ...]) -> None:
        """Replaces the list of the data centre's instances."""
        self._instances = instances

    def is_reader(self) -> bool:
        """Whether this instance reads for the others."""
        return self.get_reader_rank() == 0

    def get_reader_rank(self) -> int:
        """Returns the number of instances that are readers before this one; 0: it is the reader."""
        now = self._boottime()
        eligible = [
            i
            for i in self._instances
            if now - self._cut_off_at.get(i, -CUT_OFF_DURATION_S) >= CUT_OFF_DURATION_S
        ]
        ranked = rank_members(self._topic, eligible)
        return ranked.index(self._local_instance) if self._local_instance in ranked else len(ranked)

    def mark_cut_off(self, instance: InstanceId) -> None:
        """Records that an instance cannot read the topic now."""
        self._cut_off_at[instance] = self._boottime()

    def request_records(self, next_offset: Offset) -> None:
        """Requests the records from ``next_offset`` on from the peers."""
        self.mark_cut_off(self._local_instance)
        self._peers.send_log_request(LogRequest(topic=self._topic, next=next_offset))

    def send_records(self, start: Offset, records: tuple[KeyedRecord, ...], age_s: float) -> None:
        """Sends records to all peers; ``age_s`` ago the records up to them were complete."""
        self._peers.send_log_feed(self._build_feed(start, records, age_s), None)

    def send_newest(
        self, instance: InstanceId, end: Offset, records: tuple[KeyedRecord, ...], age_s: float
    ) -> None:
        """Sends the newest record of each key to one peer."""
        feed = self._build_feed(end, records, age_s)
        feed.is_newest = True
        self._peers.send_log_feed(feed, instance)

    def _build_feed(self, start: Offset, records: tuple[KeyedRecord, ...], age_s: float) -> LogFeed:
        feed = LogFeed(
            topic=self._topic,
            start=start,
            sent_ms=round(self._boottime() * MS_PER_S),
            age_ms=round(age_s * MS_PER_S),
        )
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
        observer: StoreObserver,
        local_peer: Peer,
        bounds: EntryBounds,
        peers: LogPeers,
    ) -> None:
        """``bounds`` may change later; the next read uses the new ones."""
        self._loop = loop
        self._store = store
        self._observer = observer
        self._local_peer = local_peer
        self._sharing = {
            topic: FeedSharing(topic, local_peer.instance, loop.boottime, peers)
            for topic in (OPERATOR_TOPIC, REGISTRY_TOPIC, QUARANTINE_TOPIC)
        }
        self._transit_clocks: dict[InstanceId, TransitClock] = {}
        self._group_generation = 0
        self._is_closed = False
        self._has_operator_records = False
        # The last record of each target and its registration; None: it is not usable.
        self._parsed_registrations: dict[str, tuple[bytes, Registration | None]] = {}
        self._unreachable_topics: set[str] = set()
        self._operator_follower = TopicFollower(
            loop,
            store,
            OPERATOR_TOPIC,
            lambda: plan_waiting_reads(bounds.configuration_ms / MS_PER_S),
            self._on_newest_operator_records,
            self._on_operator_record,
            partial(self._on_store_reachability, OPERATOR_TOPIC),
            self._sharing[OPERATOR_TOPIC],
            logs_records=True,
        )
        self._registry_follower = TopicFollower(
            loop,
            store,
            REGISTRY_TOPIC,
            lambda: plan_periodic_reads(bounds.drain_ms / MS_PER_S),
            self._on_newest_registrations,
            self._on_registration_record,
            partial(self._on_store_reachability, REGISTRY_TOPIC),
            self._sharing[REGISTRY_TOPIC],
        )
        self._quarantine_follower = TopicFollower(
            loop,
            store,
            QUARANTINE_TOPIC,
            lambda: plan_waiting_reads(QUARANTINE_BOUND_S),
            self._on_newest_quarantine,
            self._on_quarantine_record,
            lambda is_reachable, detail: None,
            self._sharing[QUARANTINE_TOPIC],
            logs_records=True,
        )
        self._followers = (
            self._operator_follower,
            self._registry_follower,
            self._quarantine_follower,
        )

    def start(self) -> None:
        """Starts to read and joins the group of entry instances."""
        for follower in self._followers:
            follower.start()
        self._join_group()

    def close(self) -> None:
        """Stops reading."""
        self._is_closed = True
        for follower in self._followers:
            follower.close()

    def is_reader(self, topic: str) -> bool:
        """Whether this instance reads a topic for its data centre."""
        return self._sharing[topic].is_reader()

    def on_log_feed(self, instance: InstanceId, feed: LogFeed) -> None:
        """Applies records that a peer of this data centre has sent."""
        now = self._loop.boottime()
        clock = self._transit_clocks.setdefault(instance, TransitClock())
        transit_s = clock.measure(feed.sent_ms / MS_PER_S, now)
        complete_at = now - transit_s - feed.age_ms / MS_PER_S
        records = tuple(
            KeyedRecord(
                record.key, None if record.is_deleted else record.value, Offset(feed.start + number)
            )
            for number, record in enumerate(feed.records)
        )
        for follower in self._followers:
            if follower.topic != feed.topic:
                continue
            if feed.is_newest:
                follower.apply_newest_feed(Offset(feed.start), records, complete_at)
            else:
                follower.apply_feed(Offset(feed.start), records, complete_at)

    def on_log_request(self, instance: InstanceId, request: LogRequest) -> None:
        """Sends the newest records to a peer that misses some, if this instance has read recently.

        The peer is not chosen as the reader for CUT_OFF_DURATION_S.
        """
        for follower in self._followers:
            if follower.topic == request.topic:
                self._sharing[request.topic].mark_cut_off(instance)
                follower.serve_request(instance, Offset(request.next))

    def _on_store_reachability(self, topic: str, is_reachable: bool, detail: str) -> None:
        if is_reachable:
            self._unreachable_topics.discard(topic)
        else:
            self._unreachable_topics.add(topic)
        self._observer.on_store_reachability(not self._unreachable_topics, detail)
        if is_reachable and topic == OPERATOR_TOPIC:
            self._observer.on_operator_records_checked(self._operator_follower.complete_at)

    def _on_newest_operator_records(self, records: tuple[KeyedRecord, ...]) -> None:
        evacuated = {
            DataCentre(record.key.removeprefix(EVACUATION_PREFIX))
            for record in records
            if record.key.startswith(EVACUATION_PREFIX) and record.value is not None
        }
        self._observer.on_evacuations_read(evacuated)
        is_initial, self._has_operator_records = not self._has_operator_records, True
        for record in records:
            try:
                self._on_operator_record(record, is_initial)
            except Exception as error:  # One record must not hide the others.
                _log_failed(record, error)

    def _on_operator_record(self, record: KeyedRecord, is_initial: bool = False) -> None:
        try:
            if record.key == CONFIGURATION_KEY and record.value is not None:
                self._observer.on_configuration(parse_configuration(record.value))
            elif record.key.startswith(EVACUATION_PREFIX):
                data_centre = DataCentre(record.key.removeprefix(EVACUATION_PREFIX))
                self._observer.on_evacuation(data_centre, record.value is not None)
            elif record.key.startswith(MODEL_VERSION_PREFIX) and record.value is not None:
                desired = parse_desired_version(record.value)
                self._observer.on_desired_version(desired.model, desired.version, is_initial)
        except CorruptRecordError as error:
            _log_corrupt(record, error)

    def _on_newest_registrations(self, records: tuple[KeyedRecord, ...]) -> None:
        self._parsed_registrations.clear()
        registrations = [
            registration
            for record in records
            if (registration := _try_parse_registration(record)) is not None
        ]
        self._observer.on_registry_read(registrations)

    def _on_registration_record(self, record: KeyedRecord) -> None:
        if record.value is None:
            self._parsed_registrations.pop(record.key, None)
            self._observer.on_registration_removed(TargetId(record.key))
            return
        # Targets write the same record at each heartbeat.
        value, registration = self._parsed_registrations.get(record.key, (None, None))
        if value != record.value:
            registration = _try_parse_registration(record)
            self._parsed_registrations[record.key] = (record.value, registration)
        if registration is not None:
            self._observer.on_registration(registration)

    def append_quarantine(self, entry: QuarantineEntry, attempt: int = 1) -> None:
        """Writes an entry of the quarantine for all instances; repeats a write that fails."""

        def on_result(result: Offset | StoreCallError) -> None:
            if not isinstance(result, StoreCallError) or self._is_closed:
                return
            log_event(
                _LOGGER,
                logging.WARNING,
                Event.LOG_APPEND_FAILED,
                f"quarantine entry, attempt {attempt}: {result}",
                key=entry.fingerprint,
            )
            if attempt < MAX_APPEND_ATTEMPTS:
                self._loop.call_later(
                    APPEND_RETRY_DELAY_S, partial(self.append_quarantine, entry, attempt + 1)
                )

        self._store.append_keyed(
            QUARANTINE_TOPIC, entry.fingerprint, entry.SerializeToString(), None, on_result
        )

    def _on_newest_quarantine(self, records: tuple[KeyedRecord, ...]) -> None:
        for record in records:
            self._on_quarantine_record(record)

    def _on_quarantine_record(self, record: KeyedRecord) -> None:
        try:
            entry = None if record.value is None else parse_quarantine_entry(record.value)
        except CorruptRecordError as error:
            _log_corrupt(record, error)
            return
        self._observer.on_quarantine(record.key, entry)

    def _join_group(self) -> None:
        if self._is_closed:
            return
        self._store.join_group(
            INSTANCE_GROUP,
            _format_member(self._local_peer),
            INSTANCE_TOPICS,
            MEMBER_TTL_S,
            self._group_generation,
            self._on_generation,
        )
        self._loop.call_later(JOIN_INTERVAL_S, self._join_group)

    def _on_generation(self, generation: int | StoreCallError) -> None:
        if isinstance(generation, StoreCallError) or generation == self._group_generation:
            return
        self._group_generation = generation
        self._store.list_members(INSTANCE_GROUP, self._on_members)

    def _on_members(self, members: set[str] | StoreCallError) -> None:
        if isinstance(members, StoreCallError):
            self._group_generation = 0
            log_event(_LOGGER, logging.WARNING, Event.LIST_UNREACHABLE, str(members))
            return
        if _format_member(self._local_peer) not in members:
            # If instances were missing from the list, each share of a limit would be too large.
            log_event(
                _LOGGER,
                logging.WARNING,
                Event.LIST_INCOMPLETE,
                "this instance is not listed in its group; the group may have too few partitions",
                members=len(members),
            )
        peers = [peer for member in members if (peer := _parse_member(member))]
        local = {p.instance for p in peers if p.data_centre == self._local_peer.data_centre}
        for instance in self._transit_clocks.keys() - local:
            del self._transit_clocks[instance]
        for sharing in self._sharing.values():
            sharing.set_instances(tuple(sorted({*local, self._local_peer.instance})))
        self._observer.on_peers(peers)


def _round_age(age_s: float) -> float | None:
    """Returns an age for logs; None if there has been nothing."""
    return round(age_s, 3) if math.isfinite(age_s) else None


def _format_member(peer: Peer) -> str:
    return MEMBER_SEPARATOR.join((peer.instance, peer.data_centre, peer.address))


def _parse_member(member: str) -> Peer | None:
    fields = member.split(MEMBER_SEPARATOR)
    if len(fields) != 3:
        log_event(
            _LOGGER, logging.WARNING, Event.RECORD_CORRUPT, "malformed member name", key=member
        )
        return None
    return Peer(InstanceId(fields[0]), DataCentre(fields[1]), fields[2])


def _try_parse_registration(record: KeyedRecord) -> Registration | None:
    if record.value is None:
        return None
    try:
        return parse_registration(record.key, record.value)
    except CorruptRecordError as error:
        _log_corrupt(record, error)
        return None


def _log_failed(record: KeyedRecord, error: Exception) -> None:
    log_event(
        _LOGGER,
        logging.ERROR,
        Event.TASK_FAILED,
        f"record could not be applied: {error!r}",
        key=record.key,
        offset=record.offset,
        traceback=traceback.format_exc(),
    )


def _log_corrupt(record: KeyedRecord, error: CorruptRecordError) -> None:
    log_event(
        _LOGGER,
        logging.WARNING,
        Event.RECORD_CORRUPT,
        f"record skipped: {error}",
        key=record.key,
        offset=record.offset,
    )
