"""Long-polls engines and stores for cache events and applies them to the cache index."""

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

# Time for which a long poll waits for a first event.
POLL_WAIT_S = 1.0
# Pause between two polls of a holder, so that one poll returns the events of several calls.
POLL_PAUSE_S = 0.2
RETRY_DELAY_S = 0.5
REFRESH_INTERVAL_S = 0.25
# Until the instances of a deployment know each other, each of them would read every holder. Reading
# begins when the list of instances is known, or after this time.
START_DELAY_S = 2.5
_LOGGER = logging.getLogger(__name__)


@dataclass(frozen=True)
class CacheEventPage:
    """Events of one holder; with ``has_gap``, earlier events were dropped by the holder."""

    epoch: int
    next_event: int
    has_gap: bool
    # The holder's clock at the time of its response, in seconds; None: not stated.
    clock_s: float | None
    events: list[CacheEvent]


class CacheEventClient(Protocol):
    """Client of the cache event interface of engines and stores."""

    def read_events(
        self, address: str, since: int, wait_s: float, done: Callable[[CacheEventPage | None], None]
    ) -> None:
        """Reads events from number ``since`` on, waiting up to ``wait_s`` for a first one.

        Calls ``done`` with None if there is no valid response.
        """
        ...


class CacheEventReader:
    """Reads cache events by one long poll to each holder that this instance reads."""

    def __init__(self, loop: EventLoop, state: EntryState, client: CacheEventClient) -> None:
        self._loop = loop
        self._state = state
        self._client = client
        # Maximum number of concurrent long polls that each holder serves.
        self._max_polls: dict[str, int] = {}
        self._reading: set[str] = set()
        self._starts_at = loop.now() + START_DELAY_S
        self._is_closed = False

    def start(self) -> None:
        """Starts reading from the registered engines and the configured stores."""
        self._loop.call_every(REFRESH_INTERVAL_S, self._refresh)

    def close(self) -> None:
        """Starts no further reads."""
        self._is_closed = True

    def _refresh(self) -> None:
        if self._is_closed:
            return
        if not self._state.has_peer_list and self._loop.now() < self._starts_at:
            return
        holders = self._list_holders()
        index = self._state.cache_index
        for address in index.addresses:
            if address not in holders:
                index.remove_holder(address)
        unread = set()
        for address, kind in holders.items():
            index.add_holder(address, kind)
            if not self._is_reader(address):
                if not index.has_answered(address):
                    unread.add(address)
            elif address not in self._reading:
                self._reading.add(address)
                self._read(address)
        self._state.cache_sharing.add_missing_holders(unread)

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
        should_read = address in self._state.cache_index.addresses and self._is_reader(address)
        if self._is_closed or not should_read:
            self._reading.discard(address)
            return
        since = self._state.cache_index.get_next_event(address)
        self._client.read_events(address, since, POLL_WAIT_S, partial(self._on_page, address))

    def _log_loss(self, address: str, message: str, page: CacheEventPage | None) -> None:
        log_event(
            _LOGGER,
            logging.INFO,
            Event.ENTRY_CACHE_EVENTS_LOST,
            message,
            holder=address,
            since=self._state.cache_index.get_next_event(address),
            next_event=page.next_event if page is not None else None,
        )

    def _on_page(self, address: str, page: CacheEventPage | None) -> None:
        """Applies a page and schedules the next read, also if the page cannot be applied."""
        delay_s = RETRY_DELAY_S
        try:
            delay_s = self._apply_page(address, page)
        finally:
            self._loop.call_later(delay_s, partial(self._read, address))

    def _apply_page(self, address: str, page: CacheEventPage | None) -> float:
        """Applies a page; returns the seconds until the next read."""
        index = self._state.cache_index
        if page is None:
            # The holder may have restarted with an empty cache.
            if index.has_answered(address):
                self._log_loss(
                    address, "cache events unavailable; index entries of the holder cleared", None
                )
            index.clear(address)
            return RETRY_DELAY_S
        epoch, since = index.get_position(address)
        if page.epoch == epoch and page.next_event < since:
            # Its events would bring back parts that were evicted since.
            self._log_loss(address, "repeated answer to an earlier read ignored", page)
            return POLL_PAUSE_S
        if page.has_gap:
            # The missing events may include evictions.
            self._log_loss(
                address, "gap in cache events; index entries of the holder cleared", page
            )
            index.clear(address)
        self._state.targets.record_response(address, self._loop.now())
        if page.clock_s is not None:
            self._state.engine_clock.observe(page.clock_s, self._loop.now())
        since = index.get_next_event(address)
        index.apply(address, page.epoch, page.next_event, page.events, self._loop.boottime())
        if self._state.cache_sharing.is_shared(self._max_polls.get(address, 0)):
            self._state.cache_sharing.record_events(address, since, page.events)
        return POLL_PAUSE_S
