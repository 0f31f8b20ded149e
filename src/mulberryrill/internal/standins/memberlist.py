"""The member list of the platform stand-in: registrations expire, and readers see it late."""

import threading
from collections import deque
from dataclasses import dataclass

from ..clock import Clock

MemberBody = dict[str, object]


@dataclass(frozen=True)
class _Change:
    """A member's new body, or None when it left, with the time of the change."""

    at: float
    member: str
    body: MemberBody | None


class MemberList:
    """Members with a time to live; ``list_visible`` shows the list as of ``lag_s`` ago."""

    def __init__(self, ttl_s: float, lag_s: float, clock: Clock) -> None:
        self._ttl_s = ttl_s
        self._lag_s = lag_s
        self._clock = clock
        self._lock = threading.Lock()
        self._bodies: dict[str, MemberBody] = {}
        self._expiry: dict[str, float] = {}
        self._changes: deque[_Change] = deque()
        self._visible: dict[str, MemberBody] = {}

    def register(self, member: str, body: MemberBody) -> None:
        """Adds or renews a member."""
        with self._lock:
            now = self._clock.monotonic()
            self._expire(now)
            self._expiry[member] = now + self._ttl_s
            if self._bodies.get(member) != body:
                self._bodies[member] = body
                self._changes.append(_Change(now, member, body))

    def remove(self, member: str) -> None:
        """Removes a member."""
        with self._lock:
            self._remove_at(member, self._clock.monotonic())

    def list_visible(self) -> list[MemberBody]:
        """Returns what readers see now."""
        with self._lock:
            now = self._clock.monotonic()
            self._expire(now)
            while self._changes and self._changes[0].at <= now - self._lag_s:
                change = self._changes.popleft()
                if change.body is None:
                    self._visible.pop(change.member, None)
                else:
                    self._visible[change.member] = change.body
            return [self._visible[member] for member in sorted(self._visible)]

    def _expire(self, now: float) -> None:
        expired = sorted((at, member) for member, at in self._expiry.items() if at <= now)
        for at, member in expired:
            self._remove_at(member, at)

    def _remove_at(self, member: str, at: float) -> None:
        self._expiry.pop(member, None)
        if self._bodies.pop(member, None) is not None:
            self._changes.append(_Change(at, member, None))
