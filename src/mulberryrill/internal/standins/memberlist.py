"""The member list of the platform stand-in: entries expire, and readers see changes late."""

import threading
from collections import deque
from dataclasses import dataclass

from ..clock import Clock

MemberBody = dict[str, object]


@dataclass(frozen=True)
class _Change:
    """A change at a monotonic time; ``body`` is None if the member was removed or expired."""

    at: float
    member_id: str
    body: MemberBody | None


class MemberList:
    """Members with a time to live; ``list_visible`` shows the list as of ``lag_s`` ago."""

    def __init__(self, ttl_s: float, lag_s: float, clock: Clock) -> None:
        self._ttl_s = ttl_s
        self._lag_s = lag_s
        self._clock = clock
        self._lock = threading.Lock()
        self._bodies: dict[str, MemberBody] = {}
        self._expires_at: dict[str, float] = {}
        self._changes: deque[_Change] = deque()
        self._visible: dict[str, MemberBody] = {}

    def register(self, member_id: str, body: MemberBody) -> None:
        """Adds or renews a member."""
        with self._lock:
            now = self._clock.monotonic()
            self._expire(now)
            self._expires_at[member_id] = now + self._ttl_s
            if self._bodies.get(member_id) != body:
                self._bodies[member_id] = body
                self._changes.append(_Change(now, member_id, body))

    def remove(self, member_id: str) -> None:
        """Removes a member."""
        with self._lock:
            self._remove_at(member_id, self._clock.monotonic())

    def list_visible(self) -> list[MemberBody]:
        """Returns the members that readers see now, sorted by id."""
        with self._lock:
            now = self._clock.monotonic()
            self._expire(now)
            while self._changes and self._changes[0].at <= now - self._lag_s:
                change = self._changes.popleft()
                if change.body is None:
                    self._visible.pop(change.member_id, None)
                else:
                    self._visible[change.member_id] = change.body
            return [self._visible[member_id] for member_id in sorted(self._visible)]

    def _expire(self, now: float) -> None:
        expired = sorted((at, member_id) for member_id, at in self._expires_at.items() if at <= now)
        for at, member_id in expired:
            self._remove_at(member_id, at)

    def _remove_at(self, member_id: str, at: float) -> None:
        self._expires_at.pop(member_id, None)
        if self._bodies.pop(member_id, None) is not None:
            self._changes.append(_Change(at, member_id, None))
