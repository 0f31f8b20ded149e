"""Follows the platform's store and reports its records as the product's own types.

Operators' records are rare, so their topic is read by long polling. Targets write several times a
second, so a long poll would return for each record; their topic is polled at a fixed interval.
"""

import logging
from functools import partial

from ..errors import StoreCallError
from ..internal.core.serving.keyedrecords import KeyedRecord
from ..internal.core.serving.readtiming import (
    TransitClock,
    plan_periodic_reads,
    plan_waiting_reads,
)
from ..internal.core.serving.rollouts import RolloutMark, RolloutStatus
from ..internal.core.serving.streamorigins import DefaultVersion
from ..internal.entry.feedsharing import FeedSharing, LogPeers
from ..internal.entry.peers import Peer
from ..internal.entry.rollouts import WriteCallback
from ..internal.entry.state import StoreObserver
from ..internal.entry.topicfollower import TopicFollower
from ..internal.entry.versionchoice import DEFAULT_ROLLBACK_MS
from ..internal.eventloop import EventLoop
from ..internal.events import Event
from ..internal.ids import DataCentre, InstanceId, Offset, ServiceName, StoreEra
from ..internal.logs import log_event
from ..internal.schema.log_pb2 import QuarantineEntry
from ..internal.schema.peers_pb2 import LogFeed, LogRequest
from ..internal.schema.settings_pb2 import EntryBounds
from .store import OPERATOR_TOPIC, QUARANTINE_TOPIC, REGISTRY_TOPIC, STATUS_TOPIC, StoreClient
from .topichandlers import InstanceRecords, OperatorRecords, RegistryRecords, StatusRecords

MS_PER_S = 1000
# Calls that end targets are refused everywhere within this time, also if the instance that reads
# for a data centre falls silent. Usually its waiting read returns at once.
QUARANTINE_BOUND_S = 10.0
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
            for topic in (OPERATOR_TOPIC, REGISTRY_TOPIC, QUARANTINE_TOPIC, STATUS_TOPIC)
        }
        self._transit_clocks: dict[InstanceId, TransitClock] = {}
        self._group_generation = 0
        # The era of the store in which the generation counts.
        self._group_era: StoreEra | None = None
        self._members: set[str] = set()
        # Until then the list of a restored store may lack members, or has gone ones.
        self._members_settle_at = float("-inf")
        self._is_closed = False
        self._instance_records = InstanceRecords(
            loop, store, observer, self._sharing[QUARANTINE_TOPIC]
        )
        self._unreachable_topics: set[str] = set()
        self._operator_follower = TopicFollower(
            loop,
            store,
            OPERATOR_TOPIC,
            lambda: plan_waiting_reads(bounds.configuration_ms / MS_PER_S),
            OperatorRecords(observer, self._follow_statuses),
            partial(self._on_store_reachability, OPERATOR_TOPIC),
            self._sharing[OPERATOR_TOPIC],
            logs_records=True,
            on_complete=observer.on_operator_records_checked,
        )
        self._registry_follower = TopicFollower(
            loop,
            store,
            REGISTRY_TOPIC,
            lambda: plan_periodic_reads(bounds.drain_ms / MS_PER_S),
            RegistryRecords(observer),
            partial(self._on_store_reachability, REGISTRY_TOPIC),
            self._sharing[REGISTRY_TOPIC],
            carries_missing=False,
            on_complete=observer.on_registry_checked,
        )
        self._instance_follower = TopicFollower(
            loop,
            store,
            QUARANTINE_TOPIC,
            lambda: plan_waiting_reads(QUARANTINE_BOUND_S),
            self._instance_records,
            lambda is_reachable, detail: None,
            self._sharing[QUARANTINE_TOPIC],
            logs_records=True,
        )
        self._status_records = StatusRecords(store, observer, self._sharing[STATUS_TOPIC])
        self._status_follower = TopicFollower(
            loop,
            store,
            STATUS_TOPIC,
            lambda: plan_waiting_reads((bounds.rollback_ms or DEFAULT_ROLLBACK_MS) / MS_PER_S),
            self._status_records,
            lambda is_reachable, detail: None,
            self._sharing[STATUS_TOPIC],
            logs_records=True,
            on_complete=observer.on_rollout_statuses_checked,
        )
        # The statuses of rollouts are followed once an order is known.
        self._followers: tuple[TopicFollower, ...] = (
            self._operator_follower,
            self._registry_follower,
            self._instance_follower,
        )

    def start(self) -> None:
        """Starts to read and joins the group of entry instances."""
        for follower in self._followers:
            follower.start()
        self._join_group()

    def _follow_statuses(self) -> None:
        if self._status_follower not in self._followers and not self._is_closed:
            self._followers += (self._status_follower,)
            self._status_follower.start()

    def write_rollout_status(
        self, service: ServiceName, status: RolloutStatus, done: WriteCallback
    ) -> bool:
        """Writes a status unless there are others that are not known here; False: none are."""
        expected_end = self._status_follower.next_offset
        if expected_end is None:
            return False
        self._status_records.write(service, status, expected_end, done)
        return True

    def write_rollout_mark(
        self, service: ServiceName, mark: RolloutMark, done: WriteCallback
    ) -> bool:
        """Writes how much may move unless there are records that are not known; False: none are."""
        expected_end = self._instance_follower.next_offset
        if expected_end is None:
            return False
        self._instance_records.write_mark(service, mark, expected_end, done)
        return True

    def close(self) -> None:
        """Stops reading."""
        self._is_closed = True
        self._instance_records.close()
        for follower in self._followers:
            follower.close()

    def list_carried_topics(self) -> list[str]:
        """Returns the topics that the restored store has not got back yet as far as known."""
        return [follower.topic for follower in self._followers if follower.is_carrying]

    def append_quarantine(self, entry: QuarantineEntry) -> None:
        """Writes an entry of the quarantine for all instances."""
        self._instance_records.append_entry(entry)

    def get_known_era(self) -> StoreEra | None:
        """Returns the oldest era in which this instance knows a topic; None: one is not known."""
        eras = [follower.era for follower in self._followers]
        return min((era for era in eras if era is not None), default=None)

    def write_default(self, service: ServiceName, default: DefaultVersion) -> None:
        """Writes a service's default version unless there are records that are not known here."""
        expected_end = self._instance_follower.next_offset
        if expected_end is not None:
            self._instance_records.write_default(service, default, expected_end)

    def is_reader(self, topic: str) -> bool:
        """Whether this instance reads a topic for its data centre."""
        return self._sharing[topic].is_reader()

    def on_log_feed(self, instance: InstanceId, feed: LogFeed) -> None:
        """Applies records that a peer of this data centre has sent."""
        now = self._loop.boottime()
        clock = self._transit_clocks.setdefault(instance, TransitClock())
        transit_s = clock.measure(feed.sent_ms / MS_PER_S, now)
        complete_at = now - transit_s - feed.age_ms / MS_PER_S
        era = StoreEra(feed.era) if feed.HasField("era") else None
        records = tuple(
            KeyedRecord(
                record.key, None if record.is_deleted else record.value, Offset(feed.start + number)
            )
            for number, record in enumerate(feed.records)
        )
        for follower in self._followers:
            if follower.topic != feed.topic:
                continue
            if feed.is_carried:
                if follower.apply_carried_feed(records, era):
                    self._observer.on_carried_records(feed.topic)
            elif feed.is_newest:
                follower.apply_newest_feed(Offset(feed.start), records, complete_at, era)
            else:
                follower.apply_feed(Offset(feed.start), records, complete_at, era)

    def on_log_request(self, instance: InstanceId, request: LogRequest) -> None:
        """Sends the newest records to a peer that misses some, if this instance has read recently.

        The peer is not chosen as the reader for CUT_OFF_DURATION_S.
        """
        for follower in self._followers:
            if follower.topic == request.topic:
                self._sharing[request.topic].mark_cut_off(instance)
                era = StoreEra(request.era) if request.HasField("era") else None
                follower.serve_request(instance, Offset(request.next), era)

    def _on_store_reachability(self, topic: str, is_reachable: bool, detail: str) -> None:
        if is_reachable:
            self._unreachable_topics.discard(topic)
        else:
            self._unreachable_topics.add(topic)
        self._observer.on_store_reachability(not self._unreachable_topics, detail)
        if topic == REGISTRY_TOPIC:
            self._observer.on_registry_reachability(is_reachable)

    def _join_group(self) -> None:
        if self._is_closed:
            return
        self._store.join_group(
            INSTANCE_GROUP,
            _format_member(self._local_peer),
            INSTANCE_TOPICS,
            MEMBER_TTL_S,
            self._group_generation if self._store.era == self._group_era else 0,
            self._on_generation,
        )
        self._loop.call_later(JOIN_INTERVAL_S, self._join_group)

    def _on_generation(self, generation: int | StoreCallError) -> None:
        if isinstance(generation, StoreCallError):
            return
        if self._store.era != self._group_era:
            if self._group_era is not None:
                # Generations are given out again. Members that the copy lacks join again in time.
                self._members_settle_at = self._loop.boottime() + MEMBER_TTL_S
                self._loop.call_later(MEMBER_TTL_S, self._list_members)
            self._group_era = self._store.era
        elif generation == self._group_generation:
            return
        self._group_generation = generation
        self._list_members()

    def _list_members(self) -> None:
        if not self._is_closed:
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
        if self._loop.boottime() < self._members_settle_at:
            members = members | self._members
        self._members = members
        peers = [peer for member in members if (peer := _parse_member(member))]
        local = {p.instance for p in peers if p.data_centre == self._local_peer.data_centre}
        for instance in self._transit_clocks.keys() - local:
            del self._transit_clocks[instance]
        for sharing in self._sharing.values():
            sharing.set_instances(tuple(sorted({*local, self._local_peer.instance})))
        self._observer.on_peers(peers)


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
