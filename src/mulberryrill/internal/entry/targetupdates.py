"""Shares with peers the state of targets that an instance observes in their responses.

During a rollout a third of the engines load new weights at a time and reject calls for a second.
Without sharing, each instance would detect that only by a rejected call of its own per engine.
"""

from ..core.serving.targettable import TargetRun, TargetTable
from ..ids import Incarnation, ModelName, TargetId, WeightVersion
from ..schema.peers_pb2 import TargetUpdate

MS_PER_S = 1000
# Shorter cooldowns would be over before the report arrives.
MIN_COOLDOWN_S = 0.02


class TargetUpdates:
    """Collects this instance's observations of targets and applies those of its peers."""

    def __init__(self, targets: TargetTable) -> None:
        self._targets = targets
        self._versions: dict[tuple[TargetId, ModelName], WeightVersion] = {}
        self._cooldowns: dict[TargetId, float] = {}
        self._misdirections: dict[TargetId, int] = {}
        self._leaving: dict[TargetId, Incarnation] = {}

    def record_version(self, target: TargetId, model: ModelName, version: WeightVersion) -> None:
        """Records a new weight version that a target reported."""
        self._versions[target, model] = version

    def record_cooldown(self, target: TargetId, cooldown_until: float) -> None:
        """Records that calls avoid a target until ``cooldown_until``."""
        self._cooldowns[target] = cooldown_until

    def record_misdirection(self, target: TargetId, count: int) -> None:
        """Records how many consecutive calls reached another target at a target's address."""
        self._misdirections[target] = count

    def record_leaving(self, run: TargetRun) -> None:
        """Records that a target's own response says that this incarnation leaves."""
        self._leaving[run.target] = run.incarnation

    def pop_updates(self, now: float) -> list[TargetUpdate]:
        """Returns updates with what was recorded since the last call."""
        updates = [
            TargetUpdate(target=target, model=model, version=version)
            for (target, model), version in self._versions.items()
        ]
        for target, cooldown_until in self._cooldowns.items():
            if cooldown_until - now >= MIN_COOLDOWN_S:
                cooldown_ms = round((cooldown_until - now) * MS_PER_S)
                updates.append(TargetUpdate(target=target, cooldown_ms=cooldown_ms))
        updates += [
            TargetUpdate(target=target, misdirections=count)
            for target, count in self._misdirections.items()
        ]
        updates += [
            TargetUpdate(target=target, leaving_incarnation=incarnation)
            for target, incarnation in self._leaving.items()
        ]
        self._versions, self._cooldowns, self._misdirections = {}, {}, {}
        self._leaving = {}
        return updates

    def apply(self, update: TargetUpdate, now: float) -> None:
        """Applies an update from a peer."""
        target = self._targets.get(TargetId(update.target))
        if target is None:
            return
        if update.model:
            target.update_version(ModelName(update.model), WeightVersion(update.version))
        if update.cooldown_ms:
            target.start_cooldown(now, update.cooldown_ms / MS_PER_S)
        if update.misdirections > target.consecutive_misdirections:
            target.record_misdirection(now, update.misdirections)


def find_leaving_run(update: TargetUpdate) -> TargetRun | None:
    """Returns the incarnation that leaves as a peer's update says, or None."""
    if not update.leaving_incarnation:
        return None
    return TargetRun(TargetId(update.target), Incarnation(update.leaving_incarnation))
