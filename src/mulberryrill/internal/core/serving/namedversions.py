"""The model versions that operators have named, and for how long each has been in force.

A new version has to be in use everywhere within a bound. Operators may name further versions before
that time has passed, and each of them has a bound of its own: a target that has not loaded the
first one is late although the newest version was named a moment ago.

All times include the time for which the host was suspended.
"""

from dataclasses import dataclass

from ...ids import ModelName, WeightVersion

# Versions that were replaced by a newer one longer ago than this impose nothing that the newer one
# does not.
HISTORY_S = 60.0


@dataclass(frozen=True)
class NamedVersion:
    """A version of a model's weights and the seconds since it was named."""

    model: ModelName
    version: WeightVersion
    age_s: float


class NamedVersions:
    """Versions by model, each with the time at which it was named as far as known."""

    def __init__(self) -> None:
        self._named_at: dict[ModelName, dict[WeightVersion, float]] = {}
        # Versions whose time is an assumption.
        self._assumed: set[tuple[ModelName, WeightVersion]] = set()

    def record(self, model: ModelName, version: WeightVersion, named_at: float) -> bool:
        """Records a version; returns whether it is the newest. The earliest time counts."""
        versions = self._named_at.setdefault(model, {})
        is_newest = all(version > other for other in versions)
        if (model, version) in self._assumed:
            self._assumed.discard((model, version))
            versions[version] = named_at
        else:
            versions[version] = min(named_at, versions.get(version, named_at))
        self._prune(versions)
        return is_newest

    def assume(self, model: ModelName, version: WeightVersion, named_at: float) -> bool:
        """Records a version whose time is not known; a time that is recorded later replaces it."""
        if version in self._named_at.get(model, {}):
            return False
        is_newest = self.record(model, version, named_at)
        self._assumed.add((model, version))
        return is_newest

    def get_newest(self, model: ModelName) -> WeightVersion | None:
        """Returns the newest version of a model, or None if none was named."""
        return max(self._named_at.get(model, {}), default=None)

    def get_waiting_time(self, model: ModelName, version: WeightVersion, now: float) -> float:
        """Returns the seconds for which a target with ``version`` has lacked a newer one."""
        named_at = self._named_at.get(model, {})
        return max((now - time for newer, time in named_at.items() if newer > version), default=0.0)

    def find_required(self, model: ModelName, min_age_s: float, now: float) -> WeightVersion | None:
        """Returns the newest version that was named at least ``min_age_s`` ago, or None."""
        named_at = self._named_at.get(model, {})
        return max(
            (version for version, time in named_at.items() if now - time >= min_age_s), default=None
        )

    def list_younger(self, max_age_s: float, now: float) -> list[NamedVersion]:
        """Returns the versions known to have been named less than ``max_age_s`` ago."""
        return [
            NamedVersion(model, version, now - time)
            for model, versions in self._named_at.items()
            for version, time in versions.items()
            if now - time < max_age_s and (model, version) not in self._assumed
        ]

    def _prune(self, versions: dict[WeightVersion, float]) -> None:
        newest = max(versions)
        for version in [v for v in versions if v < newest]:
            if versions[newest] - versions[version] > HISTORY_S:
                del versions[version]
