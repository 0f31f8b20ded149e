"""The registration and the observed condition of each target.

Registrations arrive in the order of the platform's log; ``departures`` decides which of them may
have been written before what is known. Within one incarnation a target never returns from draining
to ready. Registrations that expired during an outage of the platform's store, which holds the
registry, are kept for a short time after it, because live targets register again.
"""

from collections import Counter
from dataclasses import dataclass, field

from ...ids import (
    DataCentre,
    ModelName,
    ServiceName,
    SoftwareVersion,
    TargetId,
    WeightVersion,
)
from .departures import LATE_WRITE_S, MIN_LAPSE_INTERVALS, Departure, Departures, StartNews
from .registrations import Registration, RegistrationState, TargetRun

# Calls avoid a target for this long after a failure; each consecutive failure doubles the time.
INITIAL_COOLDOWN_S = 0.25
MAX_COOLDOWN_S = 4.0
# Moving average of the failure rate from which a target counts as failing.
MAX_FAILURE_RATE = 0.3
# Weight of the newest response in the failure rate.
FAILURE_SMOOTHING_FACTOR = 0.12
# Live targets whose registrations expired during a registry outage register again in this time.
EXPIRY_GRACE_S = 2.0
# What the registry lost when it came back from a copy is written again within this time.
REWRITING_S = 10.0
# A target that leaves is gone within this time of its last response and of the lapse of its
# registration. Until then a registration that is written again does not bring it back.
LEAVING_RETENTION_S = 600.0


@dataclass
class Target:
    """A target and its condition as seen by this instance."""

    registration: Registration
    # When it was registered first and last, and the number of all registrations at the last one.
    registered_at: float = float("-inf")
    written_at: float = float("-inf")
    written_count: int = 0
    # Whether an earlier start of the target is known, and whether that one drained, and its
    # registration was not removed.
    is_restart: bool = False
    has_replaced_draining: bool = False
    cold_until: float = 0.0
    # When its registration was removed, and what that says, while it is kept nevertheless.
    removed_at: float | None = None
    departure: Departure = Departure.LAPSED
    consecutive_failures: int = 0
    failure_rate: float = 0.0
    cooldown_until: float = 0.0
    # Consecutive responses that came from another target at this address.
    consecutive_misdirections: int = 0
    # Time of the last data received from the target.
    last_response_at: float = float("-inf")
    # Versions reported in the target's own responses, newer than its registration.
    versions: dict[ModelName, WeightVersion] = field(default_factory=dict)

    @property
    def id(self) -> TargetId:
        """The id under which the target is registered."""
        return self.registration.target

    def get_version(self, model: ModelName) -> WeightVersion | None:
        """Returns the last known version of the model's weights on the target."""
        return self.versions.get(model)

    def update_version(self, model: ModelName, version: WeightVersion) -> None:
        """Applies a version reported by the target; an older one is ignored."""
        self.versions[model] = max(version, self.versions.get(model, version))

    def correct_version(
        self, model: ModelName, expected: WeightVersion, newest: WeightVersion
    ) -> bool:
        """Raises the version of a target that turned out to have other weights than expected.

        Raises it by one only: if the newest version were assumed, a target that has not reached it
        would count as updated and get no more orders. Returns False if no later version exists.
        """
        if expected >= newest:
            return False
        if self.versions.get(model) == expected:
            self.versions[model] = WeightVersion(expected + 1)
        return True

    def is_cold(self, now: float) -> bool:
        """Returns whether the target tolerates only a low rate of calls."""
        return now < self.cold_until

    def is_cooling_down(self, now: float) -> bool:
        """Returns whether calls avoid the target after failures."""
        return now < self.cooldown_until

    def record_success(self) -> None:
        """Records a complete response."""
        self.consecutive_failures = 0
        self.consecutive_misdirections = 0
        self.cooldown_until = 0.0
        self.failure_rate *= 1.0 - FAILURE_SMOOTHING_FACTOR

    def record_failure(self, now: float) -> None:
        """Records a broken or missing response and starts a cooldown."""
        self.failure_rate += FAILURE_SMOOTHING_FACTOR * (1.0 - self.failure_rate)
        self.consecutive_failures += 1
        self.start_cooldown(now, _compute_cooldown(self.consecutive_failures))

    def start_cooldown(self, now: float, cooldown_s: float) -> None:
        """Makes calls avoid the target for ``cooldown_s``; a longer cooldown in force stays."""
        self.cooldown_until = max(self.cooldown_until, now + cooldown_s)

    def record_misdirection(self, now: float, count: int = 0) -> None:
        """Records a response at the address from another target, or one with other weights.

        This happens when a target restarts under another id: its old registration stays until it
        expires, or longer for an instance that is cut off from the registry. ``count`` is the
        number of consecutive such responses that a peer has received; 0 records one received here.
        """
        self.consecutive_misdirections = max(count, self.consecutive_misdirections + (count == 0))
        self.start_cooldown(now, _compute_cooldown(self.consecutive_misdirections))

    def record_error(self) -> None:
        """Records an error response of the target itself, which raises the failure rate only."""
        self.failure_rate += FAILURE_SMOOTHING_FACTOR * (1.0 - self.failure_rate)


def _compute_cooldown(consecutive_count: int) -> float:
    """Returns the cooldown in seconds after a number of consecutive events."""
    return min(MAX_COOLDOWN_S, INITIAL_COOLDOWN_S * 2 ** (consecutive_count - 1))


class TargetTable:
    """All registered targets, by id."""

    def __init__(self) -> None:
        self._targets: dict[TargetId, Target] = {}
        # The target that started last at an address; None: to be computed again.
        self._by_address: dict[str, Target] | None = None
        self._evacuated: set[DataCentre] = set()
        self._is_registry_down = False
        self._registry_returned_at = float("-inf")
        self._earlier_return_at = float("-inf")
        self._restored_at = float("-inf")
        # Incarnations whose own responses said that they leave, and when they last did or were last
        # registered.
        self._leaving: dict[TargetRun, float] = {}
        self._departures = Departures()
        # Number of registrations that were applied.
        self._written_count = 0

    @property
    def targets(self) -> list[Target]:
        """All registered targets."""
        return list(self._targets.values())

    def get(self, target: TargetId) -> Target | None:
        """Returns a registered target, or None."""
        return self._targets.get(target)

    def find_by_address(self, address: str) -> Target | None:
        """Returns the target that started last of those at an address, or None."""
        if self._by_address is None:
            targets = sorted(self._targets.values(), key=lambda t: t.registration.started_ms)
            self._by_address = {target.registration.address: target for target in targets}
        return self._by_address.get(address)

    def find_newest_version(self, model: ModelName) -> WeightVersion | None:
        """Returns the newest version of a model that any target is known to have, or None."""
        return max(
            (t.versions[model] for t in self._targets.values() if model in t.versions), default=None
        )

    def apply(self, registration: Registration, now: float, age_s: float = 0.0) -> bool:
        """Applies a registration; returns whether incarnation, state, models or address changed."""
        current = self._targets.get(registration.target)
        known = self._get_registration(registration.target)
        is_restored = self._is_restored(now)
        if not self._departures.believe(registration, known, now, is_restored=is_restored):
            return False
        self._written_count += 1
        if current is None or current.registration.incarnation != registration.incarnation:
            is_restart = current is not None or self._departures.knows(registration.target)
            has_replaced_draining = (
                current is not None and current.registration.state is RegistrationState.DRAINING
            )
            self._departures.discard(registration.target)
            current = Target(
                registration,
                registered_at=now,
                is_restart=is_restart,
                has_replaced_draining=has_replaced_draining,
            )
            self._record_write(current, now)
            self._targets.pop(registration.target, None)
            self._targets[registration.target] = current
            self._by_address = None
            self._update_condition(current, registration, now, age_s)
            return True
        previous = current.registration
        current.removed_at = None
        self._record_write(current, now)
        if (
            previous.state is RegistrationState.DRAINING
            and registration.state is RegistrationState.READY
        ):
            return False
        if registration.order_count < previous.order_count:
            return False
        current.registration = registration
        if registration.address != previous.address:
            self._by_address = None
        self._update_condition(current, registration, now, age_s)
        return (previous.state, previous.models, previous.address) != (
            registration.state,
            registration.models,
            registration.address,
        )

    def remove(self, target: TargetId, now: float, heartbeat_s: float | None = None) -> None:
        """Removes a target, or only marks it if the registry is down or has just returned.

        ``heartbeat_s`` is the interval at which targets write their registrations; None: unknown.
        """
        current = self._targets.get(target)
        if current is None:
            return
        departure = self._classify_removal(current, now, heartbeat_s)
        if self._is_registry_kept(now):
            if current.removed_at is None:
                current.removed_at, current.departure = now, departure
        else:
            self._departures.add(current.registration, departure, now)
            del self._targets[target]
            self._by_address = None

    def _record_write(self, target: Target, now: float) -> None:
        target.written_at, target.written_count = now, self._written_count

    def _classify_removal(self, target: Target, now: float, heartbeat_s: float | None) -> Departure:
        """Returns how a target goes whose registration is removed.

        Its silence before is measured by the clock and by what the others wrote meanwhile: an
        instance may read in a moment what was written in seconds, and the others may be silent too.
        """
        # The call with which the incarnation before removed its registration may have been late.
        if target.has_replaced_draining and now - target.registered_at < LATE_WRITE_S:
            return Departure.LAPSED
        others_count = max(1, len(self._targets) - 1)
        intervals = (self._written_count - target.written_count) / others_count
        if heartbeat_s is not None:
            intervals = max(intervals, (now - target.written_at) / heartbeat_s)
        elif self._is_registry_kept(now):
            return Departure.LAPSED
        return Departure.LAPSED if intervals >= MIN_LAPSE_INTERVALS else Departure.LEFT

    def _is_registry_kept(self, now: float) -> bool:
        """Whether targets are kept whose registrations are removed."""
        return self._is_registry_down or now - self._registry_returned_at < EXPIRY_GRACE_S

    def replace_all(
        self, registrations: list[Registration], now: float, heartbeat_s: float | None = None
    ) -> None:
        """Replaces all registrations by those of a complete registry read."""
        listed = {registration.target for registration in registrations}
        for target in [target_id for target_id in self._targets if target_id not in listed]:
            self.remove(target, now, heartbeat_s)
        is_restored = self._is_restored(now)
        for registration in registrations:
            # Reading a record again does not show that its target goes on to write.
            known = self._get_registration(registration.target)
            if not self._departures.is_doubtful(registration, known, now, is_restored=is_restored):
                self.apply(registration, now)

    def restore_all(self, registrations: list[Registration], now: float) -> None:
        """Applies a registry that came back from an older copy.

        It lists targets that are gone, which stay so unless they register again, and lacks targets
        that have started since, which have some time to register again.
        """
        self._registry_returned_at = self._restored_at = now
        present = [
            registration
            for registration in registrations
            if not self._departures.was_superseded(
                registration, self._get_registration(registration.target)
            )
        ]
        self.replace_all(present, now)

    def list_start_news(self, now: float) -> list[StartNews]:
        """Returns the targets that have left or started again a short time ago.

        The store may still execute a write of before that, which instances that start would take
        for the last word of the target.
        """
        restarted = [
            StartNews(target.registration.run, target.registration.started_ms, None)
            for target in self._targets.values()
            if target.is_restart and now - target.registered_at < LATE_WRITE_S
        ]
        return [*restarted, *self._departures.list_recent(now)]

    def apply_start_news(self, news: StartNews, now: float) -> bool:
        """Applies what a peer knows of a target; returns whether it is no longer registered.

        For an instance that has just started, and has read the registry only since then.
        """
        current = self._targets.get(news.run.target)
        if current is None:
            self._departures.learn(news, now)
            return False
        registration = current.registration
        is_gone = news.run == registration.run and news.departure in (
            Departure.DRAINED,
            Departure.LEFT,
        )
        if not is_gone and news.started_ms <= registration.started_ms:
            return False
        del self._targets[news.run.target]
        self._by_address = None
        self._departures.learn(news, now)
        return True

    def is_registered(self, run: TargetRun) -> bool:
        """Whether this incarnation is the registered one."""
        current = self._targets.get(run.target)
        return current is not None and current.registration.run == run

    def _get_registration(self, target: TargetId) -> Registration | None:
        current = self._targets.get(target)
        return current.registration if current is not None else None

    def _is_restored(self, now: float) -> bool:
        return now - self._restored_at < REWRITING_S

    def set_registry_down(self, is_down: bool, now: float) -> None:
        """Records whether the registry is down; its return starts the grace period."""
        if self._is_registry_down and not is_down:
            self._earlier_return_at = self._registry_returned_at
            self._registry_returned_at = now
        self._is_registry_down = is_down

    def end_grace(self) -> None:
        """Ends the grace period of the last return: it was not from an outage for the targets."""
        self._registry_returned_at = self._earlier_return_at

    def record_response(self, address: str, now: float) -> None:
        """Records that the target at an address has sent a response."""
        for target in self._targets.values():
            if target.registration.address == address:
                target.last_response_at = now

    def expire(self, now: float) -> list[TargetId]:
        """Removes targets that have not registered again after an outage; returns their ids."""
        if self._is_registry_kept(now):
            return []
        expired = [key for key, target in self._targets.items() if target.removed_at is not None]
        for key in expired:
            target = self._targets.pop(key)
            self._departures.add(target.registration, target.departure, now)
            self._by_address = None
        return expired

    def set_evacuated_data_centres(self, data_centres: set[DataCentre]) -> None:
        """Sets the data centres whose targets get no new calls."""
        self._evacuated = data_centres

    def set_evacuation(self, data_centre: DataCentre, is_evacuated: bool) -> None:
        """Marks one data centre as evacuated, or as back in use."""
        if is_evacuated:
            self._evacuated.add(data_centre)
        else:
            self._evacuated.discard(data_centre)

    @property
    def leaving_count(self) -> int:
        """Number of registered targets whose own responses say that they leave."""
        return sum(t.registration.run in self._leaving for t in self._targets.values())

    def mark_leaving(self, run: TargetRun, now: float) -> bool:
        """Records that a response of this incarnation says that it leaves; whether that is new.

        The mark holds whatever the registry or a copy of it says later of the same incarnation.
        """
        is_new = run not in self._leaving
        self._leaving[run] = now
        return is_new

    def is_leaving(self, run: TargetRun) -> bool:
        """Whether a response of this incarnation has said that it leaves."""
        return run in self._leaving

    def prune_leaving(self, now: float) -> None:
        """Forgets marks of incarnations that are not registered any more."""
        live = {target.registration.run for target in self._targets.values()}
        for run, seen_at in list(self._leaving.items()):
            if run in live:
                self._leaving[run] = now
            elif now - seen_at >= LEAVING_RETENTION_S:
                del self._leaving[run]

    def list_usable(self, service: ServiceName) -> list[Target]:
        """Returns the targets of a service that may get new calls."""
        return [
            target
            for target in self._targets.values()
            if target.registration.service == service and self._accepts_calls(target.registration)
        ]

    def _accepts_calls(self, registration: Registration) -> bool:
        return (
            registration.state is RegistrationState.READY
            and registration.data_centre not in self._evacuated
            and registration.run not in self._leaving
        )

    def count_versions(self, service: ServiceName) -> Counter[SoftwareVersion]:
        """Returns the software versions of a service's targets, with their numbers."""
        registrations = (target.registration for target in self._targets.values())
        return Counter(r.software for r in registrations if r.service == service)

    def is_usable(self, target: Target) -> bool:
        """Returns whether the target is still registered and may get new calls."""
        registration = target.registration
        return self._targets.get(registration.target) is target and self._accepts_calls(
            registration
        )

    def _update_condition(
        self, target: Target, registration: Registration, now: float, age_s: float
    ) -> None:
        target.cold_until = max(target.cold_until, now + registration.cold_s - age_s)
        for model, version in registration.models:
            target.update_version(model, version)
