"""Limits on how long a pooled connection to a service's targets may idle before it is reused.

Some targets drop idle connections without notice, sooner than they advertise, and reset the next
request sent on them. Whether that request ran is unknown, so a call that must not be repeated, such
as a payment, is lost.
"""

from collections import deque

from ...ids import ServiceName

# Resets within the window that set a limit; a single one may come from a target that has just
# restarted.
MIN_RESETS = 2
RESET_WINDOW_S = 10.0
# A limit is dropped this long after the last reset, because new connections cost time.
RESET_RETENTION_S = 30.0
# The limit as a share of the shortest idle time that ended in a reset, so that reused connections
# have been idle for clearly less time than those that were reset.
SAFETY_FACTOR = 0.7


class IdleLimits:
    """Derives an idle limit for each service from connection resets."""

    def __init__(self) -> None:
        self._resets: dict[ServiceName, deque[tuple[float, float]]] = {}
        self._limits: dict[ServiceName, float] = {}

    def record_reset(self, service: ServiceName, idle_s: float, now: float) -> None:
        """Records that a request was reset at once on a connection idle for ``idle_s`` seconds."""
        resets = self._resets.setdefault(service, deque())
        resets.append((now, idle_s))
        self._expire_resets(service, now)
        recent = [idle for reset_at, idle in resets if now - reset_at <= RESET_WINDOW_S]
        if len(recent) >= MIN_RESETS:
            limit = SAFETY_FACTOR * min(recent)
            self._limits[service] = min(limit, self._limits.get(service, limit))

    def find_limit(self, service: ServiceName, now: float) -> float | None:
        """Returns the maximum idle time in seconds, or None if no limit is known."""
        self._expire_resets(service, now)
        return self._limits.get(service)

    def _expire_resets(self, service: ServiceName, now: float) -> None:
        resets = self._resets.get(service)
        while resets and now - resets[0][0] > RESET_RETENTION_S:
            resets.popleft()
        if not resets:
            self._limits.pop(service, None)
