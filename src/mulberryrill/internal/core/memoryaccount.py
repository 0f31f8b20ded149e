"""Bounds the memory and the connections that a process holds for its clients.

Pattern: clients that nobody controls open many connections, send requests of legal size almost to
their end and stay, or do not read their responses. Each connection is inside every limit; together
they hold more memory or descriptors than the machine has, and the process ends for everybody.

Every connection's held bytes are charged to one account. When it is full, connections are chosen to
be closed: those that make no progress first, then the largest. A call that a target may be running
is never chosen for another one's sake.
"""

from collections.abc import Hashable
from dataclasses import dataclass
from enum import Enum
from typing import Generic, TypeVar

# Objects that belong to an open connection: socket, parser, buffers, registration with the loop.
CONNECTION_BYTES = 6_144
# Share of the process's memory that may be held for clients. An idle process takes 30 to 45 MB of
# machines with 128 MB and more; the rest is for copies on their way and for what the allocator
# cannot return.
CLIENT_MEMORY_SHARE = 0.35
# Share of the descriptors for clients; the rest is for targets, the store and other instances.
CLIENT_DESCRIPTOR_SHARE = 0.75
# Descriptors for files: the platform reserves so many, of fewer in all a quarter.
FILE_DESCRIPTORS = 200
MAX_FILE_SHARE = 0.25
MIN_CONNECTIONS = 16
# Share of the memory for clients that the objects of open connections may take. Idle connections
# are closed for new ones, but not for memory, so without this they could leave none for requests.
MAX_CONNECTION_MEMORY_SHARE = 0.5
# A client that sends or reads sound requests makes progress more often than this.
STALL_S = 1.0
# A full account is emptied to this share, so that not every further byte needs a new choice.
LOW_WATER_SHARE = 0.9


class HolderState(Enum):
    """What a connection is held for; the values are metric labels."""

    IDLE = "idle"
    # A request has begun and is not complete.
    RECEIVING = "receiving"
    # A request is complete, and a target may run its call.
    RUNNING = "running"
    # The rest of a response waits for the client to read it.
    SENDING = "sending"


@dataclass(frozen=True)
class AccountLimits:
    """What may be held for all clients together."""

    max_bytes: int
    max_connections: int


def compute_limits(memory_bytes: int, descriptors: int) -> AccountLimits:
    """Returns the limits of a process that may use so much memory and so many descriptors."""
    files = min(FILE_DESCRIPTORS, int(MAX_FILE_SHARE * descriptors))
    max_bytes = int(CLIENT_MEMORY_SHARE * memory_bytes)
    connections = min(
        int(CLIENT_DESCRIPTOR_SHARE * (descriptors - files)),
        int(MAX_CONNECTION_MEMORY_SHARE * max_bytes / CONNECTION_BYTES),
    )
    return AccountLimits(
        max_bytes=max_bytes,
        max_connections=max(MIN_CONNECTIONS, connections),
    )


@dataclass
class _Holding:
    held_bytes: int
    state: HolderState
    progress_at: float
    # Bytes of requests that wait behind a running call; they can be freed without ending it.
    waiting_bytes: int = 0

    @property
    def freeable_bytes(self) -> int:
        """Bytes that can be freed for another connection."""
        if self.state is HolderState.RUNNING:
            return self.waiting_bytes
        return 0 if self.state is HolderState.IDLE else self.held_bytes


HolderT = TypeVar("HolderT", bound=Hashable)


class MemoryAccount(Generic[HolderT]):
    """The holdings of all connections. Times are monotonic, in seconds."""

    def __init__(self, limits: AccountLimits) -> None:
        self._limits = limits
        self._holdings: dict[HolderT, _Holding] = {}
        self._held_bytes = 0

    @property
    def limits(self) -> AccountLimits:
        """The limits in force."""
        return self._limits

    @property
    def held_bytes(self) -> int:
        """Bytes that are held for all clients."""
        return self._held_bytes

    def sum_by_state(self) -> dict[HolderState, int]:
        """Returns the held bytes by what they are held for."""
        sums = dict.fromkeys(HolderState, 0)
        for holding in self._holdings.values():
            sums[holding.state] += holding.held_bytes
        return sums

    def open(self, holder: HolderT, now: float) -> list[HolderT]:
        """Adds a connection; returns those to be closed, which may include this one."""
        victims = []
        if len(self._holdings) >= self._limits.max_connections:
            victims = self._choose_least_useful(now)
            if not victims:
                return [holder]
        self._holdings[holder] = _Holding(CONNECTION_BYTES, HolderState.IDLE, now)
        self._held_bytes += CONNECTION_BYTES
        return [*victims, *self._choose_for_memory(holder, now, victims)]

    def update(
        self,
        holder: HolderT,
        held_bytes: int,
        state: HolderState,
        now: float,
        waiting_bytes: int = 0,
    ) -> list[HolderT]:
        """Replaces what a connection holds beside its own objects, which is progress.

        ``waiting_bytes`` of them belong to requests behind a running call. Returns the connections
        to be closed; those that run a call free such requests only. If this one is among them, its
        bytes are refused.
        """
        holding = self._holdings.get(holder)
        if holding is None:
            return []
        total = held_bytes + CONNECTION_BYTES
        growth = total - holding.held_bytes
        self._held_bytes += growth
        holding.held_bytes, holding.state, holding.progress_at = total, state, now
        holding.waiting_bytes = waiting_bytes
        return self._choose_for_memory(holder, now, []) if growth > 0 else []

    def remove(self, holder: HolderT) -> None:
        """Removes a connection that is closed."""
        holding = self._holdings.pop(holder, None)
        if holding is not None:
            self._held_bytes -= holding.held_bytes

    def choose_unused(self, now: float) -> list[HolderT]:
        """Returns a connection to close for a descriptor that is needed, or none."""
        return self._choose_least_useful(now)

    def _choose_for_memory(
        self, growing: HolderT, now: float, closing: list[HolderT]
    ) -> list[HolderT]:
        """Returns connections whose end brings the account under its bound, if it is over it."""
        freed = sum(self._holdings[holder].held_bytes for holder in closing)
        if self._held_bytes - freed <= self._limits.max_bytes:
            return []
        target = LOW_WATER_SHARE * self._limits.max_bytes
        candidates = [
            (now - holding.progress_at < STALL_S, -holding.freeable_bytes, holder)
            for holder, holding in self._holdings.items()
            if holder not in closing and holding.freeable_bytes > 0
        ]
        victims = []
        for _, negative_bytes, holder in sorted(candidates, key=lambda c: c[:2]):
            if self._held_bytes - freed <= target:
                break
            victims.append(holder)
            freed -= negative_bytes
        if self._held_bytes - freed > self._limits.max_bytes and growing not in victims:
            victims.append(growing)
        return victims

    def _choose_least_useful(self, now: float) -> list[HolderT]:
        """Returns the connection that has been idle longest, or the one stalled longest, if any."""
        closable = [
            (holding.state is not HolderState.IDLE, holding.progress_at, holder)
            for holder, holding in self._holdings.items()
            if holding.state is HolderState.IDLE
            or (holding.state is not HolderState.RUNNING and now - holding.progress_at >= STALL_S)
        ]
        return [min(closable, key=lambda c: c[:2])[2]] if closable else []
