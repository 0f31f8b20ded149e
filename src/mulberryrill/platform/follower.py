"""Follows the platform's store and reports its records as the product's own types.

Operators' records are rare, so their topic is read by long polling. Targets write several times a
second, so a long poll would return for each record; their topic is polled at a fixed interval. One
instance of each data centre, the reader, reads a topic and forwards its records to the others;
another one takes over if the reader falls silent. Instances that cannot reach the store get missing
records from the reader.
"""

import logging
import math
import traceback
from collections.abc import Callable
from enum import Enum
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

# The store may lose a response and then stays silent on that connection, so a read must end well
# within the 3 s in which a change has to become known.
OPERATOR_READ_WAIT_S = 1.5
# An instance reads for itself if it got no feed for the reader's interval and wait plus this time.
FEED_TIMEOUT_MARGIN_S = 0.6
# How often an instance that gets feeds checks that the last one is recent and that it is still not
# the reader. It also checks at the moment at which the last feed is no longer recent.
FEED_CHECK_INTERVAL_S = 0.5
# Instances take over from a silent reader by rank, each this much later than the one before; ranks
# above the maximum add no more delay. Read interval, margin and longest delay together must stay
# below the time after which a draining target may get no work.
TAKEOVER_RANK_DELAY_S = 0.1
MAX_TAKEOVER_RANK = 3
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


class TopicFollower:
    """Reads one keyed topic: first the newest record of each key, then all later records."""

    def __init__(
        self,
        loop: EventLoop,
        store: StoreClient,
        topic: str,
        wait_s: float,
        interval_s: float,
        on_newest: Callable[[tuple[KeyedRecord, ...]], None],
        on_record: Callable[[KeyedRecord], None],
        on_reachability: Callable[[bool, str], None],
        sharing: "FeedSharing | None" = None,
        *,
        logs_records: bool = False,
    ) -> None:
        """``logs_records``: each applied record is logged, for topics that change rarely."""
        self._loop = loop
        self._logs_records = logs_records
        # Whether this instance reads although another one should, because that one fell silent.
        self._has_taken_over = False
        self._store = store
        self._sharing = sharing
        self._last_feed_at = float("-inf")
        self._topic = topic
        self._wait_s = wait_s
        self._interval_s = interval_s
        self._on_newest = on_newest
        self._on_record = on_record
        self._on_reachability = on_reachability
        self._next_offset: Offset | None = None
        self._highest_end = Offset(0)
        self._retry_delay_s = INITIAL_RETRY_DELAY_S
        self._is_closed = False
        # The newest record of each key, to send to peers that missed records.
        self._newest: dict[str, KeyedRecord] = {}
        self._last_read_at = float("-inf")
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
            self._store.read_newest(self._topic, self.on_newest_read)
        else:
            on_page = partial(self.on_records_read, self._next_offset)
            self._store.read_keyed(self._topic, self._next_offset, self._wait_s, on_page)

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
                feed_age_s=_round_age(self._loop.now() - self._last_feed_at),
            )
        self._has_taken_over = has_taken_over

    def has_recent_feed(self) -> bool:
        """Whether a peer reads for this instance and its last feed is recent."""
        return self._get_feed_time_left() > 0

    def _get_feed_time_left(self) -> float:
        """Returns the seconds for which the last feed of the reader counts as recent.

        0 or less if this instance is the reader, or if the reader has fallen silent.
        """
        if self._next_offset is None or self._sharing is None:
            return 0.0
        rank = self._sharing.get_reader_rank()
        if rank == 0:
            return 0.0
        delay = TAKEOVER_RANK_DELAY_S * min(MAX_TAKEOVER_RANK, rank)
        limit = self._interval_s + self._wait_s + FEED_TIMEOUT_MARGIN_S + delay
        return self._last_feed_at + limit - self._loop.now()

    def apply_feed(self, start: Offset, records: tuple[KeyedRecord, ...]) -> None:
        """Applies a peer's records, or requests the missing ones if there is a gap before them."""
        if self._next_offset is None or start > self._next_offset:
            self._request_from_peers()
            return
        if start + len(records) < self._next_offset:
            # The peer is behind: its feeds must not keep this instance from reading.
            return
        self._last_feed_at = self._loop.now()
        new_records = [record for record in records if record.offset >= self._next_offset]
        # The peer reached the store, even if it read nothing new. This is reported before the
        # records are applied: a target removed during an outage is kept for a grace period.
        self._on_success(Offset(new_records[-1].offset + 1) if new_records else self._next_offset)
        for record in new_records:
            self._apply_record(record, RecordSource.FEED)

    def apply_newest_feed(self, end: Offset, records: tuple[KeyedRecord, ...]) -> None:
        """Applies the newest record of each key from a peer, unless this instance is up to date."""
        if self._next_offset is not None and end <= self._next_offset:
            return
        self._last_feed_at = self._loop.now()
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
        is_current = (
            now - self._last_read_at < self._interval_s + self._wait_s + FEED_TIMEOUT_MARGIN_S
        )
        if self._sharing is None or self._next_offset is None or not is_current:
            return
        last_reply_at = self._last_reply_at.get(instance, float("-inf"))
        if next_offset >= self._next_offset or now - last_reply_at < CATCH_UP_INTERVAL_S:
            return
        self._last_reply_at[instance] = now
        self._sharing.send_newest(instance, self._next_offset, tuple(self._newest.values()))

    def on_newest_read(self, page: RecordPage | StoreCallError) -> None:
        """Applies the newest record of each key and schedules the next read."""
        if isinstance(page, StoreCallError):
            self._on_failure(page)
            return
        if page.end < self._highest_end:
            # A stale copy of the topic must not bring back replaced records.
            self._loop.call_later(self._retry_delay_s, self._read)
            return
        self._last_read_at = self._loop.now()
        self._on_success(page.end)
        try:
            self._apply_newest(page.records)
        finally:
            self._schedule_read()

    def on_records_read(self, start: Offset, page: RecordPage | StoreCallError) -> None:
        """Applies the records from ``start`` on and forwards them to the peers.

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
        self._last_read_at = self._loop.now()
        end = Offset(page.records[-1].offset + 1) if page.records else start
        if self._sharing is not None:
            self._sharing.send_records(start, page.records)
        next_offset = self._next_offset if self._next_offset is not None else start
        for record in page.records:
            if record.offset >= next_offset:
                self._apply_record(record, RecordSource.STORE)
        self._on_success(max(next_offset, end))
        self._schedule_read()

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

    def _schedule_read(self) -> None:
        if self._interval_s > 0:
            self._loop.call_later(self._interval_s, self._read)
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
        now: Callable[[], float],
        peers: "LogPeers",
    ) -> None:
        self._topic = topic
        self._local_instance = local_instance
        self._now = now
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
        now = self._now()
        eligible = [
            i
            for i in self._instances
            if now - self._cut_off_at.get(i, -CUT_OFF_DURATION_S) >= CUT_OFF_DURATION_S
        ]
        ranked = rank_members(self._topic, eligible)
        return ranked.index(self._local_instance) if self._local_instance in ranked else len(ranked)

    def mark_cut_off(self, instance: InstanceId) -> None:
        """Records that an instance cannot read the topic now."""
        self._cut_off_at[instance] = self._now()

    def request_records(self, next_offset: Offset) -> None:
        """Requests the records from ``next_offset`` on from the peers."""
        self.mark_cut_off(self._local_instance)
        self._peers.send_log_request(LogRequest(topic=self._topic, next=next_offset))

    def send_records(self, start: Offset, records: tuple[KeyedRecord, ...]) -> None:
        """Sends records to all peers."""
        self._peers.send_log_feed(self._build_feed(start, records), None)

    def send_newest(
        self, instance: InstanceId, end: Offset, records: tuple[KeyedRecord, ...]
    ) -> None:
        """Sends the newest record of each key to one peer."""
        feed = self._build_feed(end, records)
        feed.is_newest = True
        self._peers.send_log_feed(feed, instance)

    def _build_feed(self, start: Offset, records: tuple[KeyedRecord, ...]) -> LogFeed:
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
        observer: StoreObserver,
        local_peer: Peer,
        registry_interval_s: float,
        peers: LogPeers,
    ) -> None:
        self._loop = loop
        self._store = store
        self._observer = observer
        self._local_peer = local_peer
        self._sharing = {
            topic: FeedSharing(topic, local_peer.instance, loop.now, peers)
            for topic in (OPERATOR_TOPIC, REGISTRY_TOPIC)
        }
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
            OPERATOR_READ_WAIT_S,
            0.0,
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
            0.0,
            registry_interval_s,
            self._on_newest_registrations,
            self._on_registration_record,
            partial(self._on_store_reachability, REGISTRY_TOPIC),
            self._sharing[REGISTRY_TOPIC],
        )

    def start(self) -> None:
        """Starts to read and joins the group of entry instances."""
        self._operator_follower.start()
        self._registry_follower.start()
        self._join_group()

    def close(self) -> None:
        """Stops reading."""
        self._is_closed = True
        self._operator_follower.close()
        self._registry_follower.close()

    def is_reader(self, topic: str) -> bool:
        """Whether this instance reads a topic for its data centre."""
        return self._sharing[topic].is_reader()

    def on_log_feed(self, feed: LogFeed) -> None:
        """Applies records that a peer of this data centre has sent."""
        records = tuple(
            KeyedRecord(
                record.key, None if record.is_deleted else record.value, Offset(feed.start + number)
            )
            for number, record in enumerate(feed.records)
        )
        for follower in (self._operator_follower, self._registry_follower):
            if follower.topic != feed.topic:
                continue
            if feed.is_newest:
                follower.apply_newest_feed(Offset(feed.start), records)
            else:
                follower.apply_feed(Offset(feed.start), records)

    def on_log_request(self, instance: InstanceId, request: LogRequest) -> None:
        """Sends the newest records to a peer that misses some, if this instance has read recently.

        The peer is not chosen as the reader for CUT_OFF_DURATION_S.
        """
        for follower in (self._operator_follower, self._registry_follower):
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
            self._observer.on_operator_records_checked()

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
