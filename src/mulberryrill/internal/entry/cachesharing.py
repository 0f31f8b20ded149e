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

# Everything that a holder keeps is sent again at this interval, for peers that are new or have
# missed an update.
FULL_INTERVAL_S = 8.0
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
        self._outgoing: dict[str, _Outgoing] = {}
        self._full_at: dict[str, float] = {}

    def set_instances(self, count: int, local: tuple[InstanceId, ...]) -> None:
        """Takes the number of all instances, and those of the own data centre."""
        self._instance_count = count
        self._local = local

    def is_shared(self, max_polls: int) -> bool:
        """Whether one instance reads for its data centre."""
        return self._instance_count > max_polls

    def is_reader(self, holder: str, max_polls: int) -> bool:
        """Whether this instance reads the holder itself."""
        if not self.is_shared(max_polls):
            return True
        return choose_member(holder, self._local) == self._instance

    def record(self, holder: str, since: int, events: list[CacheEvent]) -> None:
        """Notes events that this instance has read and will pass on."""
        outgoing = self._outgoing.setdefault(holder, _Outgoing(since))
        outgoing.events += events

    def take_updates(self) -> list[CacheUpdate]:
        """Returns what has been read since the last call."""
        outgoing, self._outgoing = self._outgoing, {}
        return [self._create_update(holder, item) for holder, item in outgoing.items()]

    def apply(self, update: CacheUpdate) -> None:
        """Takes over what a peer has read, if nothing between is missing."""
        epoch, next_event = self._index.get_position(update.holder)
        if update.is_full:
            self._index.clear(update.holder)
        elif (epoch, next_event) != (update.epoch, update.since):
            return
        events = [
            CacheEvent(CacheKey(part.salt, part.part), part.tokens > 0, part.tokens)
            for part in update.parts
        ]
        heard_at = self._now() - update.age_ms / MS_PER_S
        self._index.apply(update.holder, update.epoch, update.next, events, heard_at)

    def _create_update(self, holder: str, outgoing: _Outgoing) -> CacheUpdate:
        now = self._now()
        epoch, next_event = self._index.get_position(holder)
        is_full = now - self._full_at.get(holder, float("-inf")) >= FULL_INTERVAL_S
        events = outgoing.events
        if is_full:
            self._full_at[holder] = now
            events = self._index.list_kept(holder)
        update = CacheUpdate(
            holder=holder,
            epoch=epoch or 0,
            is_full=is_full,
            since=outgoing.since,
            next=next_event,
            age_ms=round(self._index.get_age(holder, now) * MS_PER_S),
        )
        for event in events:
            tokens = event.tokens if event.is_kept else 0
            update.parts.add(salt=event.key.salt, part=event.key.part, tokens=tokens)
        return update
