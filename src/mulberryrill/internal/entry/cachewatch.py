"""Reads the cache events of engines and stores into the cache index."""

import logging
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from typing import Protocol

from ..core.serving.cacheindex import CacheEvent, HolderKind
from ..eventloop import EventLoop
from ..events import Event
from ..logs import log_event
from .state import EntryState

# A read waits this long for a first event.
WAIT_S = 1.0
# Pause between two reads, so that the events of several calls come together.
PAUSE_S = 0.2
RETRY_S = 0.5
REFRESH_S = 0.25
# Before the instances of a deployment know each other, each would read every holder. Reading begins
# when the group's members are known, or after this time.
START_DELAY_S = 2.5
_LOGGER = logging.getLogger(__name__)


@dataclass(frozen=True)
class CacheEventPage:
    """Events of one holder. ``has_gap``: older events are missing."""

    epoch: int
    next_event: int
    has_gap: bool
    # The holder's clock when it answered, in seconds.
    clock_s: float | None
    events: list[CacheEvent]


class CacheEventClient(Protocol):
    """The event interface of engines and stores. ``None`` stands for no readable answer."""

    def read_events(
        self, address: str, since: int, wait_s: float, done: Callable[[CacheEventPage | None], None]
    ) -> None:
        """Reads events from a number on, waiting for a first one."""
        ...


class CacheEventReader:
    """Owns one waiting read for each holder that this instance follows."""

    def __init__(self, loop: EventLoop, state: EntryState, channel: CacheEventClient) -> None:
        self._loop = loop
        self._state = state
        self._channel = channel
        # Waiting reads that each holder answers at once.
        self._max_polls: dict[str, int] = {}
        self._reading: set[str] = set()
        self._starts_at = loop.now() + START_DELAY_S
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
        if not self._state.has_peer_list and self._loop.now() < self._starts_at:
            return
        wanted = self._list_holders()
        index = self._state.cache_index
        for address in index.addresses:
            if address not in wanted:
                index.remove_holder(address)
        unknown = set()
        for address, kind in wanted.items():
            index.add_holder(address, kind)
            if not self._is_reader(address):
                if not index.has_answered(address):
                    unknown.add(address)
            elif address not in self._reading:
                self._reading.add(address)
                self._read(address)
        self._state.cache_sharing.add_missing_holders(unknown)

    def _list_holders(self) -> dict[str, HolderKind]:
        table = self._state.route_table
        if table is None:
            return {}
        holders: dict[str, HolderKind] = {}
        for service in table.services.values():
            if service.engine is not None:
                for target in self._state.targets.list_usable(service.name):
                    address = target.registration.address
                    holders[address] = HolderKind.ENGINE
                    self._max_polls[address] = service.engine.max_event_polls
            store = service.store
            if store is not None:
                holders[store.address] = HolderKind.STORE
                self._max_polls[store.address] = store.max_event_polls
        self._max_polls = {address: self._max_polls[address] for address in holders}
        return holders

    def _is_reader(self, address: str) -> bool:
        return self._state.cache_sharing.is_reader(address, self._max_polls.get(address, 0))

    def _read(self, address: str) -> None:
        is_followed = address in self._state.cache_index.addresses and self._is_reader(address)
        if self._is_closed or not is_followed:
            self._reading.discard(address)
            return
        since = self._state.cache_index.get_next_event(address)
        self._channel.read_events(address, since, WAIT_S, partial(self._take, address))

    def _log(self, address: str, message: str, page: CacheEventPage | None) -> None:
        log_event(
            _LOGGER,
            logging.INFO,
            Event.ENTRY_CACHE_EVENTS_LOST,
            message,
            holder=address,
            since=self._state.cache_index.get_next_event(address),
            next_event=page.next_event if page is not None else None,
        )

    def _take(self, address: str, page: CacheEventPage | None) -> None:
        index = self._state.cache_index
        if page is None:
            # The holder may have restarted empty.
            if index.has_answered(address):
                self._log(address, "cache events lost", None)
            index.clear(address)
            self._loop.call_later(RETRY_S, partial(self._read, address))
            return
        if page.has_gap:
            # Dropped parts may be among the missing events.
            self._log(address, "cache events are missing", page)
            index.clear(address)
        self._state.targets.record_response(address, self._loop.now())
        if page.clock_s is not None:
            self._state.engine_clock.observe(page.clock_s, self._loop.now())
        since = index.get_next_event(address)
        index.apply(address, page.epoch, page.next_event, page.events, self._loop.now())
        if self._state.cache_sharing.is_shared(self._max_polls.get(address, 0)):
            self._state.cache_sharing.record(address, since, page.events)
        self._loop.call_later(PAUSE_S, partial(self._read, address))
