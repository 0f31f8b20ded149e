"""Which instance reads a holder's cache events, and how its peers learn of them.

Among few instances each reads every holder. A holder answers only so many waiting reads at once, so
among many instances one of each data centre reads it and passes the events on to its peers there.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

from ..core.rendezvous import choose_member
from ..core.serving.cacheindex import CacheEvent, CacheIndex, CacheKey
from ..ids import InstanceId
from ..schema.peers_pb2 import CacheUpdate

# Everything that a holder keeps is sent at this interval at most to a peer that asks for it.
FULL_UPDATE_INTERVAL_S = 0.5
MS_PER_S = 1000


@dataclass
class _Outgoing:
    """Events that were read and not yet passed on."""

    since: int
    events: list[CacheEvent] = field(default_factory=list)


class CacheSharing:
    """Divides the reading of holders among the instances of a data centre."""

    def __init__(self, index: CacheIndex, instance: InstanceId, now: Callable[[], float]) -> None:
        self._index = index
        self._instance = instance
        self._now = now
        self._instance_count = 1
        self._local: tuple[InstanceId, ...] = (instance,)
        # The reader of each holder, which changes only with the instances.
        self._readers: dict[str, InstanceId | None] = {}
        self._outgoing: dict[str, _Outgoing] = {}
        self._missing: set[str] = set()
        self._answered_at: dict[tuple[InstanceId, str], float] = {}

    def set_instances(self, count: int, local: tuple[InstanceId, ...]) -> None:
        """Takes the number of all instances, and those of the own data centre."""
        self._instance_count = count
        self._local = local
        self._readers.clear()

    def is_shared(self, max_polls: int) -> bool:
        """Whether one instance reads for its data centre."""
        return self._instance_count > max_polls

    def is_reader(self, holder: str, max_polls: int) -> bool:
        """Whether this instance reads the holder itself."""
        if not self.is_shared(max_polls):
            return True
        return self._is_chosen(holder)

    def record(self, holder: str, since: int, events: list[CacheEvent]) -> None:
        """Notes events that this instance has read and will pass on."""
        outgoing = self._outgoing.setdefault(holder, _Outgoing(since))
        outgoing.events += events

    def take_updates(self) -> list[CacheUpdate]:
        """Returns what has been read since the last call."""
        outgoing, self._outgoing = self._outgoing, {}
        return [self._create_update(holder, item) for holder, item in outgoing.items()]

    def add_missing_holders(self, holders: set[str]) -> None:
        """Names the holders that peers read and of which this instance knows nothing."""
        self._missing |= holders

    def take_missing_holders(self) -> list[str]:
        """Returns the holders to ask the peers for, since the last call."""
        missing, self._missing = self._missing, set()
        return sorted(missing)

    def answer(self, instance: InstanceId, holders: list[str]) -> list[CacheUpdate]:
        """Returns all that is kept by those of the holders that this instance reads."""
        now = self._now()
        updates = []
        for holder in holders:
            last = self._answered_at.get((instance, holder), float("-inf"))
            is_read_here = self._is_chosen(holder) and self._index.has_answered(holder)
            if is_read_here and now - last >= FULL_UPDATE_INTERVAL_S:
                self._answered_at[instance, holder] = now
                updates.append(self._create_full(holder))
        return updates

    def apply(self, update: CacheUpdate) -> None:
        """Takes over what a peer has read, or asks for all of it if something is missing."""
        epoch, next_event = self._index.get_position(update.holder)
        is_first = epoch is None and update.since == 0
        if update.is_full:
            self._index.clear(update.holder)
        elif not is_first and (epoch, next_event) != (update.epoch, update.since):
            self._missing.add(update.holder)
            return
        events = [
            CacheEvent(CacheKey(part.salt, part.part), part.tokens > 0, part.tokens)
            for part in update.parts
        ]
        heard_at = self._now() - update.age_ms / MS_PER_S
        self._index.apply(update.holder, update.epoch, update.next, events, heard_at)

    def _is_chosen(self, holder: str) -> bool:
        """Whether this instance reads the holder for its data centre."""
        if holder not in self._readers:
            self._readers[holder] = choose_member(holder, self._local)
        return self._readers[holder] == self._instance

    def _create_update(self, holder: str, outgoing: _Outgoing) -> CacheUpdate:
        return self._write(holder, outgoing.since, outgoing.events)

    def _create_full(self, holder: str) -> CacheUpdate:
        update = self._write(holder, 0, self._index.list_cached(holder))
        update.is_full = True
        return update

    def _write(self, holder: str, since: int, events: list[CacheEvent]) -> CacheUpdate:
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
