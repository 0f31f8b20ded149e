"""How long a kept connection to a service's targets may rest before it is used again.

Fault pattern answered: targets forget idle connections without notice, sooner than they state, and
reset what is sent on them next. Whether a call ran is not known then, so a payment is lost.
"""

from collections import deque

from ...ids import ServiceName

# One reset may be a target that has just restarted; several within this time show a pattern.
MIN_RESETS = 2
RESET_WINDOW_S = 10.0
# A limit is given up this long after the last reset, since new connections cost time.
RESET_RETENTION_S = 30.0
# Connections are used again only while clearly younger than those that were reset.
SAFETY_FACTOR = 0.7


class IdleLimits:
    """Learns a limit for each service from resets."""

    def __init__(self) -> None:
        self._resets: dict[ServiceName, deque[tuple[float, float]]] = {}
        self._limits: dict[ServiceName, float] = {}

    def record_reset(self, service: ServiceName, idle_s: float, now: float) -> None:
        """Notes that a request was reset at once on a connection that had rested ``idle_s``."""
        resets = self._resets.setdefault(service, deque())
        resets.append((now, idle_s))
        self._forget(service, now)
        recent = [idle for at, idle in resets if now - at <= RESET_WINDOW_S]
        if len(recent) >= MIN_RESETS:
            limit = SAFETY_FACTOR * min(recent)
            self._limits[service] = min(limit, self._limits.get(service, limit))

    def find_limit(self, service: ServiceName, now: float) -> float | None:
        """Returns the longest rest in seconds; None: no limit is known."""
        self._forget(service, now)
        return self._limits.get(service)

    def _forget(self, service: ServiceName, now: float) -> None:
        resets = self._resets.get(service)
        while resets and now - resets[0][0] > RESET_RETENTION_S:
            resets.popleft()
        if not resets:
            self._limits.pop(service, None)
