"""Decides where a call may run under which targets have ended.

Pattern: one call ends each target that runs it, and comes again at any instance. If it ran on
several targets at a time, all targets of a small service would be gone together before any instance
could tell another. A suspected call therefore runs on one target at a time. All instances compute
the same one, so they need not agree on it, and the next one is used only after news of the last end
has spread. Most suspected calls are sound: their target ended for another reason.
"""

from collections.abc import Collection
from dataclasses import dataclass

from ..rendezvous import rank_members
from .crashcauses import Suspicion, Trait
from .targettable import Target, TargetRun

# With one end, a call is most probably sound, and its caller waits: it may run again at once.
WEAK_SUSPICION_ENDS = 1
# Time in which the news of an end reaches all instances, besides two of their report intervals.
NEWS_MARGIN_S = 1.0
# A service's last target is not risked until those that ended have had this time to come back.
RECOVERY_S = 10.0
# A trial usually ends within this time; then the call runs freely, or is refused for longer.
TRIAL_RETRY_DELAY_S = 0.3
LAST_TARGET_RETRY_DELAY_S = 1.0


@dataclass(frozen=True)
class ProbationRefusal:
    """Why a suspected call may not run now."""

    detail: str
    # Seconds.
    retry_after_s: float


def choose_trial_target(
    trait: Trait,
    suspicion: Suspicion,
    usable: list[Target],
    ended: Collection[TargetRun],
    report_interval_s: float,
    now: float,
) -> Target | ProbationRefusal:
    """Returns the target on which a suspected call may run.

    ``usable`` are the service's targets that accept calls, ``ended`` those known to have ended;
    ``now`` is boot time.
    """
    sound = {target.id: target for target in usable if target.registration.run not in ended}
    count = len(suspicion.runs)
    age_s = now - suspicion.last_end_at
    if count > WEAK_SUSPICION_ENDS:
        wait_s = NEWS_MARGIN_S + 2 * report_interval_s - age_s
        if wait_s > 0:
            return ProbationRefusal(
                f"{count} targets ended under the call, the last one now", wait_s
            )
        is_risky = len(sound) <= 1 and not suspicion.was_answered
        if is_risky and age_s < RECOVERY_S:
            return ProbationRefusal(
                f"{count} targets ended under the call, and {len(sound)} are left",
                LAST_TARGET_RETRY_DELAY_S,
            )
    if not sound:
        return ProbationRefusal("all targets have ended", TRIAL_RETRY_DELAY_S)
    return sound[rank_members(trait, sound)[0]]
