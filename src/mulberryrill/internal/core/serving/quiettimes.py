"""Keeps to the times for which targets want no calls from this instance.

Pattern: a target that turns a call away names the seconds for which it wants nothing. When all
targets of a service do so at once, a choice of the least bad one would send every call to a target
that has just asked for none; such calls are refused instead, with the time at which the first
target wants calls again.

The times are kept for each instance and each incarnation of a target: other instances were not
asked, and a target that has started again has forgotten what it asked for.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from ...ids import TargetId
from .targettable import Registration, Target, TargetRun

# Longer times are cut: a target that names more has most likely stated another unit.
MAX_QUIET_S = 86_400.0
# Callers that return when a quiet time ends are spread over this share of it, but at most over the
# following time, so that they do not all reach the target in the same moment.
RETRY_SPREAD = 0.25
MAX_RETRY_SPREAD_S = 1.0
MIN_RETRY_DELAY_S = 0.05


@dataclass(frozen=True)
class QuietTime:
    """The time for which one incarnation of a target wants no calls."""

    run: TargetRun
    # Boot time.
    ends_at: float


class QuietTimes:
    """The quiet times in force. Times are boot time, in seconds: a suspension counts."""

    def __init__(self) -> None:
        self._quiet: dict[TargetId, QuietTime] = {}

    def count(self, now: float) -> int:
        """Returns the number of targets that want no calls now."""
        return sum(now < quiet.ends_at for quiet in self._quiet.values())

    def observe(self, run: TargetRun, seconds: float, now: float) -> bool:
        """Records a time that a target named in a response; returns whether quiet begins with it.

        Responses overtake each other, so a shorter time does not end a longer one in force.
        """
        current = self._quiet.get(run.target)
        is_current = current is not None and current.run == run
        was_quiet = current is not None and is_current and now < current.ends_at
        ends_at = now + min(seconds, MAX_QUIET_S)
        if current is not None and is_current:
            ends_at = max(ends_at, current.ends_at)
        self._quiet[run.target] = QuietTime(run, ends_at)
        return not was_quiet and now < ends_at

    def find_end(self, registration: Registration, now: float) -> float | None:
        """Returns when the target wants calls again; None: it does now."""
        quiet = self._quiet.get(registration.target)
        if quiet is None or quiet.run != registration.run or now >= quiet.ends_at:
            return None
        return quiet.ends_at

    def list_allowed(self, targets: list[Target], now: float) -> list[Target]:
        """Returns those of the targets that want calls now."""
        if not self._quiet:
            return targets
        return [target for target in targets if self.find_end(target.registration, now) is None]

    def compute_retry_delay(self, targets: Iterable[Target], fraction: float, now: float) -> float:
        """Returns the seconds until the first of the targets wants calls again, with jitter.

        ``fraction`` is a random number from 0 to 1 that sets the jitter.
        """
        ends = [self.find_end(target.registration, now) for target in targets]
        delay_s = max(MIN_RETRY_DELAY_S, min((end or now for end in ends), default=now) - now)
        return delay_s + fraction * min(RETRY_SPREAD * delay_s, MAX_RETRY_SPREAD_S)

    def prune(self, live: Mapping[TargetId, Registration], now: float) -> None:
        """Drops quiet times that are over, and those of earlier incarnations."""
        for target, quiet in list(self._quiet.items()):
            registration = live.get(target)
            has_restarted = registration is not None and registration.run != quiet.run
            if now >= quiet.ends_at or has_restarted:
                del self._quiet[target]
