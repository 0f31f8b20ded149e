"""Selects the instance that reads a topic for its data centre, and sends peers its records."""

from collections.abc import Callable
from typing import Protocol

from ..core.rendezvous import rank_members
from ..core.serving.keyedrecords import KeyedRecord
from ..ids import InstanceId, Offset, StoreEra
from ..schema.peers_pb2 import LogFeed, LogRequest

MS_PER_S = 1000
# An instance that requests records from its peers counts as cut off from the store, and so is no
# reader, for this long.
CUT_OFF_DURATION_S = 3.0
# Shortest time between two requests for missing records, and between two replies to an instance.
CATCH_UP_INTERVAL_S = 0.5


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

    def request_records(self, next_offset: Offset, era: StoreEra | None) -> None:
        """Requests the records from ``next_offset`` of an era on from the peers."""
        self.mark_cut_off(self._local_instance)
        request = LogRequest(topic=self._topic, next=next_offset, era=era)
        self._peers.send_log_request(request)

    def send_records(
        self,
        start: Offset,
        records: tuple[KeyedRecord, ...],
        age_s: float,
        era: StoreEra | None,
    ) -> None:
        """Sends records to all peers; ``age_s`` ago the records up to them were complete."""
        self._peers.send_log_feed(self._build_feed(start, records, age_s, era), None)

    def send_newest(
        self,
        instance: InstanceId | None,
        end: Offset,
        records: tuple[KeyedRecord, ...],
        age_s: float,
        era: StoreEra | None,
    ) -> None:
        """Sends the newest record of each key to one peer or, with None, to all."""
        feed = self._build_feed(end, records, age_s, era)
        feed.is_newest = True
        self._peers.send_log_feed(feed, instance)

    def send_carried(self, records: tuple[KeyedRecord, ...], era: StoreEra | None) -> None:
        """Sends records that the restored store has lost to all peers."""
        feed = self._build_feed(Offset(0), records, 0.0, era)
        feed.is_carried = True
        self._peers.send_log_feed(feed, None)

    def _build_feed(
        self,
        start: Offset,
        records: tuple[KeyedRecord, ...],
        age_s: float,
        era: StoreEra | None,
    ) -> LogFeed:
        feed = LogFeed(
            topic=self._topic,
            start=start,
            sent_ms=round(self._boottime() * MS_PER_S),
            age_ms=round(age_s * MS_PER_S),
            era=era,
        )
        for record in records:
            is_deleted = record.value is None
            feed.records.add(key=record.key, is_deleted=is_deleted, value=record.value or b"")
        return feed
