"""Frees cached parts of replaced model versions in stores, which no call can use any more.

Stores evict nothing by themselves. Parts are freed only after every target has had a newer version
for longer than any fetch may last, so that no fetch of them can still be running.
"""

import logging
from collections.abc import Callable
from typing import Protocol

from ..core.rendezvous import choose_member
from ..core.serving.cacheindex import CacheKey, list_obsolete
from ..eventloop import EventLoop
from ..events import Event
from ..ids import InstanceId
from ..logs import log_event
from .state import EntryState

CHECK_INTERVAL_S = 2.0
# Well above the longest fetch, and above the time in which all instances receive a version.
FREE_DELAY_S = 6.0
MAX_PARTS_PER_REQUEST = 500
_LOGGER = logging.getLogger(__name__)


class CacheFreeClient(Protocol):
    """The interface of stores for freeing cached parts."""

    def free_parts(
        self, address: str, epoch: int, parts: list[CacheKey], done: Callable[[bool], None]
    ) -> None:
        """Frees parts unless the store's epoch has changed; reports whether they were freed."""
        ...


class CacheCleaner:
    """Frees obsolete parts of stores; each store is handled by one instance."""

    def __init__(
        self, loop: EventLoop, state: EntryState, instance: InstanceId, client: CacheFreeClient
    ) -> None:
        self._loop = loop
        self._state = state
        self._instance = instance
        self._client = client
        self._rolled_out_since: float | None = None

    def start(self) -> None:
        """Starts the periodic check."""
        self._loop.call_every(CHECK_INTERVAL_S, self._check)

    def _check(self) -> None:
        now = self._loop.now()
        version = self._state.rollout.find_rolled_out_version(self._state.targets.targets)
        if version is None:
            self._rolled_out_since = None
            return
        if self._rolled_out_since is None:
            self._rolled_out_since = now
        if now - self._rolled_out_since < FREE_DELAY_S or self._state.route_table is None:
            return
        for service in self._state.route_table.list_stores():
            if service.store is not None:
                self._free(service.store.address, version)

    def _free(self, address: str, version: int) -> None:
        if choose_member(address, self._state.instances) != self._instance:
            return
        epoch, _ = self._state.cache_index.get_position(address)
        parts = list_obsolete(self._state.cache_index, address, version)[:MAX_PARTS_PER_REQUEST]
        if epoch is None or not parts:
            return

        def on_freed(is_freed: bool) -> None:
            log_event(
                _LOGGER,
                logging.INFO,
                Event.ENTRY_CACHE_FREED,
                (
                    "cached parts of replaced versions freed"
                    if is_freed
                    else "freeing cached parts failed"
                ),
                store=address,
                parts=len(parts),
                version=version,
            )

        self._client.free_parts(address, epoch, parts, on_freed)
