"""The rates of calls that targets in need accept, as they name them in their responses."""

from collections import deque
from dataclasses import dataclass

from ...ids import TargetId

# The platform counts the calls to a limited target over spans of this length.
LIMIT_WINDOW_S = 4.0


@dataclass(frozen=True)
class NamedLimit:
    """A limit, and when it was last named."""

    # Calls per second, over all instances.
    rate: float
    named_at: float


class TargetLimits:
    """Tracks the limits that targets name, and the calls that this instance sends them."""

    def __init__(self) -> None:
        self._limits: dict[TargetId, NamedLimit] = {}
        self._sent_at: dict[TargetId, deque[float]] = {}

    @property
    def limited_count(self) -> int:
        """Number of targets that name a limit."""
        return len(self._limits)

    def record_send(self, target: TargetId, now: float) -> None:
        """Records a call to a target."""
        sent_at = self._sent_at.setdefault(target, deque())
        sent_at.append(now)
        self._drop_old(sent_at, now)

    def count_sent(self, target: TargetId, now: float) -> int:
        """Returns the calls that this instance has sent to a target in the last window."""
        sent_at = self._sent_at.get(target, deque())
        self._drop_old(sent_at, now)
        return len(sent_at)

    def observe(self, target: TargetId, rate: float | None, sent_at: float, now: float) -> bool:
        """Records what a response to a call sent at ``sent_at`` names; returns whether it is new.

        A response without a limit may have overtaken one with it. It counts only if its call was
        sent after the limit was last named.
        """
        current = self._limits.get(target)
        if rate is not None:
            self._limits[target] = NamedLimit(rate, now)
            return current is None or current.rate != rate
        if current is None or sent_at < current.named_at:
            return False
        del self._limits[target]
        return True

    def prune(self, live: set[TargetId], now: float) -> None:
        """Discards what is known of targets that are not in ``live``."""
        self._limits = {target: limit for target, limit in self._limits.items() if target in live}
        self._sent_at = {
            target: sent_at
            for target, sent_at in self._sent_at.items()
            if target in live and sent_at and now - sent_at[-1] < LIMIT_WINDOW_S
        }

    def _drop_old(self, sent_at: deque[float], now: float) -> None:
        while sent_at and now - sent_at[0] >= LIMIT_WINDOW_S:
            sent_at.popleft()
