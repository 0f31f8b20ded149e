"""Frees the parts in stores that no call can use any more: those of replaced model versions.

Stores drop nothing by themselves. A part is freed only when every target has had a newer version
for longer than any fetch may last, so that no fetch of it can still run.
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
# Far above the longest fetch, and above the time in which all instances learn of a version.
ROLLED_OUT_S = 6.0
MAX_FREED_PARTS = 500
_LOGGER = logging.getLogger(__name__)


class CacheFreeClient(Protocol):
    """The interface of stores for giving parts back."""

    def free_parts(
        self, address: str, epoch: int, parts: list[CacheKey], done: Callable[[bool], None]
    ) -> None:
        """Frees parts if the store has not restarted; reports whether it did."""
        ...


class CacheCleaner:
    """Owns the decision which parts of a store are freed; one instance acts for each store."""

    def __init__(
        self, loop: EventLoop, state: EntryState, instance: InstanceId, channel: CacheFreeClient
    ) -> None:
        self._loop = loop
        self._state = state
        self._instance = instance
        self._channel = channel
        self._rolled_out_since: float | None = None

    def start(self) -> None:
        """Begins to look for parts that can be freed."""
        self._loop.call_every(CHECK_INTERVAL_S, self._check)

    def _check(self) -> None:
        now = self._loop.now()
        version = self._state.rollout.find_rolled_out_version(self._state.targets.targets)
        if version is None:
            self._rolled_out_since = None
            return
        if self._rolled_out_since is None:
            self._rolled_out_since = now
        if now - self._rolled_out_since < ROLLED_OUT_S or self._state.route_table is None:
            return
        for service in self._state.route_table.list_stores():
            if service.store is not None:
                self._free(service.store.address, version)

    def _free(self, address: str, version: int) -> None:
        if choose_member(address, self._state.instances) != self._instance:
            return
        epoch, _ = self._state.cache_index.get_position(address)
        parts = list_obsolete(self._state.cache_index, address, version)[:MAX_FREED_PARTS]
        if epoch is None or not parts:
            return

        def on_freed(is_freed: bool) -> None:
            log_event(
                _LOGGER,
                logging.INFO,
                Event.ENTRY_CACHE_FREED,
                "parts of replaced versions freed" if is_freed else "parts not freed",
                store=address,
                parts=len(parts),
                version=version,
            )

        self._channel.free_parts(address, epoch, parts, on_freed)
