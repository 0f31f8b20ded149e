"""Chooses which instance reads a holder's cache events and shares the events with its peers.

With few instances, each reads every holder. A holder serves only a limited number of waiting reads
at once, so with many instances one in each data centre reads it and sends the events to its peers.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

from ..core.rendezvous import choose_member
from ..core.serving.cacheindex import CacheEvent, CacheIndex, CacheKey
from ..ids import InstanceId
from ..schema.peers_pb2 import CacheUpdate

# Minimum interval between two full updates for the same holder to the same peer.
FULL_UPDATE_INTERVAL_S = 0.5
MS_PER_S = 1000


@dataclass
class _PendingEvents:
    """Events that were read and not yet sent to peers."""

    since: int
    events: list[CacheEvent] = field(default_factory=list)


class CacheSharing:
    """Divides the reading of holders among the instances of a data centre."""

    def __init__(self, index: CacheIndex, instance: InstanceId, now: Callable[[], float]) -> None:
        self._index = index
        self._instance = instance
        self._now = now
        self._instance_count = 1
        self._local_instances: tuple[InstanceId, ...] = (instance,)
        # The reader of each holder, cached until the instances change.
        self._readers: dict[str, InstanceId | None] = {}
        self._pending_events: dict[str, _PendingEvents] = {}
        self._missing_holders: set[str] = set()
        self._full_update_sent_at: dict[tuple[InstanceId, str], float] = {}

    def set_instances(self, count: int, local: tuple[InstanceId, ...]) -> None:
        """Sets the number of all instances, and the instances of the local data centre."""
        self._instance_count = count
        self._local_instances = local
        self._readers.clear()

    def is_shared(self, max_polls: int) -> bool:
        """Whether a holder is read by only one instance of each data centre."""
        return self._instance_count > max_polls

    def is_reader(self, holder: str, max_polls: int) -> bool:
        """Whether this instance reads the holder."""
        if not self.is_shared(max_polls):
            return True
        return self._is_local_reader(holder)

    def record_events(self, holder: str, since: int, events: list[CacheEvent]) -> None:
        """Adds events that this instance has read to its next update for peers."""
        pending = self._pending_events.setdefault(holder, _PendingEvents(since))
        pending.events += events

    def pop_updates(self) -> list[CacheUpdate]:
        """Returns updates with the events recorded since the last call."""
        pending, self._pending_events = self._pending_events, {}
        return [
            self._encode_update(holder, item.since, item.events)
            for holder, item in pending.items()
            # Peers learn of a holder that was cleared or removed since by its next events.
            if self._index.has_answered(holder)
        ]

    def add_missing_holders(self, holders: set[str]) -> None:
        """Adds holders that peers read and for which this instance needs a full update."""
        self._missing_holders |= holders

    def pop_missing_holders(self) -> list[str]:
        """Returns the holders added since the last call, to request from the peers."""
        missing, self._missing_holders = self._missing_holders, set()
        return sorted(missing)

    def build_full_updates(self, instance: InstanceId, holders: list[str]) -> list[CacheUpdate]:
        """Returns full updates for those of the holders that this instance reads."""
        now = self._now()
        updates = []
        for holder in holders:
            last_sent_at = self._full_update_sent_at.get((instance, holder), float("-inf"))
            can_serve = self._is_local_reader(holder) and self._index.has_answered(holder)
            if can_serve and now - last_sent_at >= FULL_UPDATE_INTERVAL_S:
                self._full_update_sent_at[instance, holder] = now
                updates.append(self._build_full_update(holder))
        return updates

    def apply(self, update: CacheUpdate) -> None:
        """Applies a peer's update, or marks the holder as missing if the update leaves a gap."""
        epoch, next_event = self._index.get_position(update.holder)
        is_initial = epoch is None and update.since == 0
        if update.is_full:
            self._index.clear(update.holder)
        elif not is_initial and (epoch, next_event) != (update.epoch, update.since):
            self._missing_holders.add(update.holder)
            return
        events = [
            CacheEvent(CacheKey(part.salt, part.part), part.tokens > 0, part.tokens)
            for part in update.parts
        ]
        observed_at = self._now() - update.age_ms / MS_PER_S
        self._index.apply(update.holder, update.epoch, update.next, events, observed_at)

    def _is_local_reader(self, holder: str) -> bool:
        """Whether this instance is the holder's reader in its data centre."""
        if holder not in self._readers:
            self._readers[holder] = choose_member(holder, self._local_instances)
        return self._readers[holder] == self._instance

    def _build_full_update(self, holder: str) -> CacheUpdate:
        update = self._encode_update(holder, 0, self._index.list_cached(holder))
        update.is_full = True
        return update

    def _encode_update(self, holder: str, since: int, events: list[CacheEvent]) -> CacheUpdate:
        epoch, next_event = self._index.get_position(holder)
        update = CacheUpdate(
            holder=holder,
            epoch=epoch or 0,
            since=since,
            next=next_event,
            age_ms=round(self._index.get_age(holder, self._now()) * MS_PER_S),
        )
        for event in events:
            tokens = event.tokens if event.is_cached else 0
            update.parts.add(salt=event.key.salt, part=event.key.part, tokens=tokens)
        return update
