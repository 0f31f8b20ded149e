"""Reads the cache events of engines and stores into the cache index.

Each holder answers only so many waiting reads at once over all instances, so the instances that
read it are chosen by rendezvous hashing.
"""

import logging
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from typing import Protocol

from ..core.rendezvous import rank_members
from ..core.serving.cacheindex import CacheEvent, HolderKind
from ..eventloop import EventLoop
from ..events import Event
from ..ids import InstanceId
from ..logs import log_event
from .state import EntryState

# A read waits this long for a first event.
WAIT_S = 1.0
# Pause between two reads, so that the events of several calls come together.
PAUSE_S = 0.2
RETRY_S = 0.5
REFRESH_S = 0.5
_LOGGER = logging.getLogger(__name__)


@dataclass(frozen=True)
class CachePage:
    """Events of one holder. ``is_gapped``: older events are missing."""

    epoch: int
    next_event: int
    is_gapped: bool
    # The holder's clock when it answered, in seconds.
    clock_s: float | None
    events: list[CacheEvent]


class CacheChannel(Protocol):
    """The event interface of engines and stores. ``None`` stands for no readable answer."""

    def read_events(
        self, address: str, since: int, wait_s: float, done: Callable[[CachePage | None], None]
    ) -> None:
        """Reads events from a number on, waiting for a first one."""
        ...


class CacheWatch:
    """Owns one waiting read for each holder that this instance follows."""

    def __init__(
        self, loop: EventLoop, state: EntryState, instance: InstanceId, channel: CacheChannel
    ) -> None:
        self._loop = loop
        self._state = state
        self._instance = instance
        self._channel = channel
        self._reading: set[str] = set()
        self._is_closed = False

    def start(self) -> None:
        """Begins to follow the registered engines and the configured stores."""
        self._loop.call_every(REFRESH_S, self._refresh)

    def close(self) -> None:
        """Starts no more reads."""
        self._is_closed = True

    def _refresh(self) -> None:
        if self._is_closed:
            return
        wanted = self._list_holders()
        index = self._state.cache
        for address in index.addresses:
            if address not in wanted:
                index.remove_holder(address)
        for address, kind in wanted.items():
            index.add_holder(address, kind)
            if address not in self._reading:
                self._reading.add(address)
                self._read(address)

    def _list_holders(self) -> dict[str, HolderKind]:
        table = self._state.table
        if table is None:
            return {}
        holders: dict[str, HolderKind] = {}
        for service in table.services.values():
            if service.engine is not None:
                for target in self._state.targets.list_usable(service.name):
                    address = target.registration.address
                    if self._may_read(address, service.engine.max_event_polls):
                        holders[address] = HolderKind.ENGINE
            store = service.store
            if store is not None and self._may_read(store.address, store.max_event_polls):
                holders[store.address] = HolderKind.STORE
        return holders

    def _may_read(self, address: str, limit: int) -> bool:
        return self._instance in rank_members(address, self._state.instances)[:limit]

    def _read(self, address: str) -> None:
        if self._is_closed or address not in self._state.cache.addresses:
            self._reading.discard(address)
            return
        since = self._state.cache.get_next_event(address)
        self._channel.read_events(address, since, WAIT_S, partial(self._take, address))

    def _log(self, address: str, message: str, page: CachePage | None) -> None:
        log_event(
            _LOGGER,
            logging.INFO,
            Event.ENTRY_CACHE_EVENTS_LOST,
            message,
            holder=address,
            since=self._state.cache.get_next_event(address),
            next_event=page.next_event if page is not None else None,
        )

    def _take(self, address: str, page: CachePage | None) -> None:
        index = self._state.cache
        if page is None:
            # The holder may have restarted empty.
            if index.is_known(address):
                self._log(address, "cache events lost", None)
            index.clear(address)
            self._loop.call_later(RETRY_S, partial(self._read, address))
            return
        if page.is_gapped:
            # Dropped parts may be among the missing events.
            self._log(address, "cache events are missing", page)
            index.clear(address)
        self._state.targets.note_heard(address, self._loop.now())
        if page.clock_s is not None:
            self._state.engine_clock.observe(page.clock_s, self._loop.now())
        index.apply(address, page.epoch, page.next_event, page.events, self._loop.now())
        self._loop.call_later(PAUSE_S, partial(self._read, address))
