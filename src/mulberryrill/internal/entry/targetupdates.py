"""What instances learn from targets' answers and tell each other.

Load pattern answered: a third of the engines loads new weights and refuses calls for a second. Each
instance alone would learn that from a refused call of its own, for each engine.
"""

from ..core.serving.targettable import TargetTable
from ..ids import ModelName, TargetId, WeightVersion
from ..schema.peers_pb2 import TargetUpdate

MS_PER_S = 1000
# Shorter cooldowns are over when a report arrives.
MIN_COOLDOWN_S = 0.02


class TargetUpdates:
    """Collects what this instance learns, and takes over what others have learned."""

    def __init__(self, targets: TargetTable) -> None:
        self._targets = targets
        self._versions: dict[tuple[TargetId, ModelName], WeightVersion] = {}
        self._cooldowns: dict[TargetId, float] = {}
        self._misdirections: dict[TargetId, int] = {}

    def record_version(self, target: TargetId, model: ModelName, version: WeightVersion) -> None:
        """Notes a version that a target has newly stated."""
        self._versions[target, model] = version

    def record_refusal(self, target: TargetId, cooldown_until: float) -> None:
        """Notes that a target refuses calls."""
        self._cooldowns[target] = cooldown_until

    def record_misdirection(self, target: TargetId, count: int) -> None:
        """Notes how many calls in a row another target has answered at a target's address."""
        self._misdirections[target] = count

    def take(self, now: float) -> list[TargetUpdate]:
        """Returns what was learned since the last call."""
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
        self._versions, self._cooldowns, self._misdirections = {}, {}, {}
        return updates

    def apply(self, updates: TargetUpdate, now: float) -> None:
        """Takes over what a peer has learned."""
        target = self._targets.get(TargetId(updates.target))
        if target is None:
            return
        if updates.model:
            target.update_version(ModelName(updates.model), WeightVersion(updates.version))
        if updates.cooldown_ms:
            target.record_refusal(now, updates.cooldown_ms / MS_PER_S)
        if updates.misdirections > target.consecutive_misdirections:
            target.record_misdirection(now, updates.misdirections)
