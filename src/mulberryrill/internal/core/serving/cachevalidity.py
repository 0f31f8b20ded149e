"""Which cached prompt parts were certainly computed by the model version that their salt names.

An engine caches the parts of a call under the call's salt. A call goes on after its engine has
loaded newer weights; when the memory runs out, it may be preempted and its prompt prefilled again,
now by the newer weights but under the old salt. Neither an engine's events nor a store's tell
which weights computed a part, so this follows from times: no engine can load a version before it is
named, and a part whose event was read before that is older. Stores keep a part as they first
received it. Engines replace parts, so only those that have the salt's version count, and only while
no newer one is known.

All times include the time for which the host was suspended.
"""

from collections.abc import Callable
from dataclasses import dataclass

from ...ids import ModelName, WeightVersion


@dataclass(frozen=True)
class ValidParts:
    """Which holders of parts under one salt may be used as sources for a call."""

    # Whether the engine at an address has the salt's version.
    is_valid_engine: Callable[[str], bool]
    # Parts that an engine, or a store, was known to hold before these times and holds since then;
    # infinity: all, negative infinity: none.
    in_engines_before: float
    in_stores_before: float
    # Whether the parts that the call computes may be saved.
    allows_saving: bool
    # Why some sources are not used, for logs; empty: all are.
    restriction: str = ""


class VersionTimes:
    """Knows for each version of a model a time at which it was not named yet."""

    def __init__(self) -> None:
        self._known_until = float("-inf")
        # For each version, the time up to which all named versions were known without it. Versions
        # are few and are never removed: targets may stay on an old one for any time.
        self._unnamed_until: dict[ModelName, dict[WeightVersion, float]] = {}

    def confirm(self, known_until: float) -> None:
        """Records that every version that was named before ``known_until`` has been recorded."""
        self._known_until = max(self._known_until, known_until)

    def record(self, model: ModelName, version: WeightVersion) -> None:
        """Records that a version has been named."""
        self._unnamed_until.setdefault(model, {}).setdefault(version, self._known_until)

    def find_newer(self, model: ModelName, version: WeightVersion) -> WeightVersion | None:
        """Returns the newest version after ``version``, or None if none is known."""
        newest = max(self._unnamed_until.get(model, {}), default=version)
        return newest if newest > version else None

    def find_last_valid_time(self, model: ModelName, version: WeightVersion) -> float:
        """Returns the latest time at which certainly no version after ``version`` was named."""
        times = self._unnamed_until.get(model, {})
        return min((t for v, t in times.items() if v > version), default=self._known_until)
