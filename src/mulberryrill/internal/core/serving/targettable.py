"""What is known of each target: its registration, its condition and the work this instance gave it.

Registrations come in the order of the platform's log. A registration never returns from leaving to
live within one incarnation. After an outage of the store, entries that lapsed meanwhile are kept
for a short time, because live targets register again.
"""

from dataclasses import dataclass, field
from enum import Enum

from ...ids import DataCentre, Incarnation, ModelName, ServiceName, TargetId, WeightVersion

# After a failure calls avoid the target for this long; the time doubles with each failure in a row.
INITIAL_COOLDOWN_S = 0.25
MAX_COOLDOWN_S = 4.0
# Share of failures among recent answers above which a target counts as failing.
MAX_FAILURE_RATE = 0.3
# Weight of the newest answer in the moving share of failures.
FAILURE_GAIN = 0.12
# Entries that lapsed during an outage of the store return within two seconds of its return.
EXPIRY_GRACE_S = 2.0


class TargetState(Enum):
    """Whether a registered target takes new work."""

    READY = "ready"
    DRAINING = "draining"


@dataclass(frozen=True)
class Registration:
    """One target's own entry in the platform's registry."""

    target: TargetId
    service: ServiceName
    address: str
    data_centre: DataCentre
    state: TargetState
    incarnation: Incarnation
    slots: int
    # The target stays cold this long after the entry was written.
    cold_s: float
    # Orders that the target has accepted since its start.
    order_count: int
    models: tuple[tuple[ModelName, WeightVersion], ...] = ()


@dataclass
class Target:
    """One target with this instance's own view of its condition."""

    registration: Registration
    cold_until: float = 0.0
    removed_at: float | None = None
    consecutive_failures: int = 0
    failure_rate: float = 0.0
    cooldown_until: float = 0.0
    # Calls in a row to which another target answered at this address.
    consecutive_misdirections: int = 0
    # When any byte last came from the target.
    last_response_at: float = float("-inf")
    # Versions learned from the target's own answers, newer than its registration.
    versions: dict[ModelName, WeightVersion] = field(default_factory=dict)

    @property
    def id(self) -> TargetId:
        """The id under which the target registered."""
        return self.registration.target

    def get_version(self, model: ModelName) -> WeightVersion | None:
        """Returns the version of the model's weights that the target is known to have."""
        return self.versions.get(model)

    def update_version(self, model: ModelName, version: WeightVersion) -> None:
        """Takes over a version that the target itself has stated; versions do not fall."""
        self.versions[model] = max(version, self.versions.get(model, version))

    def correct_version(
        self, model: ModelName, expected: WeightVersion, newest: WeightVersion
    ) -> bool:
        """Notes that the target has other weights than expected, so a later version.

        Only the next one is assumed. If the newest were, a target on the way to it would count as
        done and get no order any more. Returns False if there is no later version.
        """
        if expected >= newest:
            return False
        if self.versions.get(model) == expected:
            self.versions[model] = WeightVersion(expected + 1)
        return True

    def is_cold(self, now: float) -> bool:
        """Whether the target bears only a small rate of calls."""
        return now < self.cold_until

    def is_cooling_down(self, now: float) -> bool:
        """Whether calls avoid the target after failures."""
        return now < self.cooldown_until

    def record_success(self) -> None:
        """Counts a complete answer."""
        self.consecutive_failures = 0
        self.consecutive_misdirections = 0
        self.cooldown_until = 0.0
        self.failure_rate *= 1.0 - FAILURE_GAIN

    def record_failure(self, now: float) -> None:
        """Counts a broken or missing answer and starts a cooldown."""
        self.failure_rate += FAILURE_GAIN * (1.0 - self.failure_rate)
        self.consecutive_failures += 1
        self.record_refusal(now, _find_cooldown(self.consecutive_failures))

    def record_refusal(self, now: float, cooldown_s: float) -> None:
        """Notes that the target refused a call without running it."""
        self.cooldown_until = max(self.cooldown_until, now + cooldown_s)

    def record_misdirection(self, now: float, count: int = 0) -> None:
        """Notes that another target, or one with other weights, answered at the address.

        Fault pattern answered: a target restarts under another id and its entry stays until it
        lapses, or longer for an instance that is cut off from the registry. ``count`` is the
        number of such answers in a row that a peer has seen.
        """
        self.consecutive_misdirections = max(count, self.consecutive_misdirections + (count == 0))
        self.record_refusal(now, _find_cooldown(self.consecutive_misdirections))

    def record_error(self) -> None:
        """Counts an error answer of the target itself; it only lowers its rank."""
        self.failure_rate += FAILURE_GAIN * (1.0 - self.failure_rate)


def _find_cooldown(times_in_row: int) -> float:
    """Returns the seconds without calls after something has happened so many times in a row."""
    return min(MAX_COOLDOWN_S, INITIAL_COOLDOWN_S * 2 ** (times_in_row - 1))


class TargetTable:
    """All targets of the registry, by id."""

    def __init__(self) -> None:
        self._targets: dict[TargetId, Target] = {}
        self._evacuated: set[DataCentre] = set()
        self._is_registry_down = False
        self._registry_returned_at = float("-inf")

    @property
    def targets(self) -> list[Target]:
        """All targets that are registered."""
        return list(self._targets.values())

    def get(self, target: TargetId) -> Target | None:
        """Returns a registered target."""
        return self._targets.get(target)

    def apply(self, registration: Registration, now: float, age_s: float = 0.0) -> bool:
        """Takes over an entry; returns whether anything but its time changed."""
        known = self._targets.get(registration.target)
        if known is None or known.registration.incarnation != registration.incarnation:
            known = Target(registration)
            self._targets[registration.target] = known
            self._take_condition(known, registration, now, age_s)
            return True
        previous = known.registration
        known.removed_at = None
        if previous.state is TargetState.DRAINING and registration.state is TargetState.READY:
            return False
        if registration.order_count < previous.order_count:
            return False
        known.registration = registration
        self._take_condition(known, registration, now, age_s)
        return (previous.state, previous.models, previous.address) != (
            registration.state,
            registration.models,
            registration.address,
        )

    def remove(self, target: TargetId, now: float) -> None:
        """Removes an entry; shortly after an outage of the store it may only have lapsed."""
        known = self._targets.get(target)
        if known is None:
            return
        if self._is_registry_down or now - self._registry_returned_at < EXPIRY_GRACE_S:
            known.removed_at = known.removed_at or now
        else:
            del self._targets[target]

    def replace_all(self, registrations: list[Registration], now: float) -> None:
        """Takes over the whole registry."""
        listed = {registration.target for registration in registrations}
        for target in [known for known in self._targets if known not in listed]:
            self.remove(target, now)
        for registration in registrations:
            self.apply(registration, now)

    def set_registry_down(self, is_down: bool, now: float) -> None:
        """Notes whether the store answers; its return starts the time of grace."""
        if self._is_registry_down and not is_down:
            self._registry_returned_at = now
        self._is_registry_down = is_down

    def record_response(self, address: str, now: float) -> None:
        """Notes that the target at an address has answered something."""
        for target in self._targets.values():
            if target.registration.address == address:
                target.last_response_at = now

    def expire(self, now: float) -> list[TargetId]:
        """Removes entries that did not return after an outage; returns their ids."""
        if self._is_registry_down or now - self._registry_returned_at < EXPIRY_GRACE_S:
            return []
        lapsed = [key for key, target in self._targets.items() if target.removed_at is not None]
        for key in lapsed:
            del self._targets[key]
        return lapsed

    def set_evacuated_data_centres(self, data_centres: set[DataCentre]) -> None:
        """Names the data centres whose targets get no new work."""
        self._evacuated = data_centres

    def set_evacuation(self, data_centre: DataCentre, is_evacuated: bool) -> None:
        """Takes one data centre out, or back."""
        if is_evacuated:
            self._evacuated.add(data_centre)
        else:
            self._evacuated.discard(data_centre)

    def list_usable(self, service: ServiceName) -> list[Target]:
        """Returns the targets of a service that may get new work."""
        return [
            target
            for target in self._targets.values()
            if target.registration.service == service
            and target.registration.state is TargetState.READY
            and target.registration.data_centre not in self._evacuated
        ]

    def is_usable(self, target: Target) -> bool:
        """Whether the target is still registered, live and in a data centre that takes work."""
        registration = target.registration
        return (
            self._targets.get(registration.target) is target
            and registration.state is TargetState.READY
            and registration.data_centre not in self._evacuated
        )

    def _take_condition(
        self, target: Target, registration: Registration, now: float, age_s: float
    ) -> None:
        target.cold_until = max(target.cold_until, now + registration.cold_s - age_s)
        for model, version in registration.models:
            target.update_version(model, version)
