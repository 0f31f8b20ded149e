"""The lease that allows an instance to send orders to targets, and the orders that are due.

At most one instance holds the order lease, a record appended to the platform's log on condition
that the log has not grown. This stays safe if the holder is killed, suspended or cut off from the
log during the rollout of a model version, or if an order is executed late.
"""

import math
from dataclasses import dataclass
from enum import Enum

from ...ids import FencingToken, InstanceId, ModelName, Offset, StoreEra, TargetId, WeightVersion
from .namedversions import NamedVersions
from .targettable import RegistrationState, Target

# A lease starts when its append is sent and is renewed after a third of its duration.
LEASE_S = 1.5
RENEWAL_INTERVAL_S = 0.5
# Maximum time from sending an order to its arrival at the target.
ORDER_FLIGHT_S = 0.3
# Fencing tokens of one era of the store; more than lease records in any era.
FENCES_PER_ERA = 2**32
# Loading takes about a second. A target that has not reported the version after this time gets
# another order.
LOADING_TIMEOUT_S = 2.0
# A target that answered nothing is asked again after this time. An order that is executed late does
# no harm: each states how many orders its target had accepted, so only one of several is executed.
UNANSWERED_RETRY_S = 0.2
# A target that executes another order, or has done so since its last report, is checked again after
# this time, which its reports lag behind.
CONFLICT_RETRY_S = 0.5
# A target that rejected an order for good gets the next one after this time.
REJECTED_RETRY_S = 1.0
# Largest share of the targets that load weights at the same time: the others serve the calls
# meanwhile, and loading takes longer if too many targets load together.
MAX_LOADING_SHARE = 1 / 3
# A rollout takes this share of the time in which a version must be in use everywhere, if all goes
# well. The rest is left for lost orders and for a takeover of the order lease.
ROLLOUT_SHARE = 0.5
# From one order to the next one that takes its place: a target loads weights in about a second, and
# its report shows the new version a little later.
ORDER_CYCLE_S = 1.3


class LeaseState(Enum):
    """State of the lease as known to this instance."""

    UNKNOWN = "unknown"
    FREE = "free"
    HELD = "held"
    HELD_BY_OTHER = "other"


@dataclass(frozen=True)
class LeaseRecord:
    """The newest lease record in the log."""

    holder: InstanceId
    offset: Offset
    # The era of the store in which it was written; None: unknown.
    era: StoreEra | None = None


class OrderLease:
    """Tracks whether this instance holds the lease or may append a lease record."""

    def __init__(self, instance: InstanceId, order_spacing_s: float) -> None:
        self._instance = instance
        # A successor waits for the end of the holder's lease, for the holder's orders in flight and
        # for the required spacing between the orders of two holders.
        self._takeover_delay_s = LEASE_S + ORDER_FLIGHT_S + order_spacing_s
        self._record: LeaseRecord | None = None
        self._record_seen_at = 0.0
        self._log_end: Offset | None = None
        self._held_until = float("-inf")
        self._fence: FencingToken | None = None
        # The era of the store in which offsets count, and since when it is known.
        self._era: StoreEra | None = None
        self._era_seen_at: float | None = None

    @property
    def fence(self) -> FencingToken:
        """Fencing token of the held lease. It grows with each holder.

        It is made of the era and the offset of the lease's first record: a store that comes back
        from an older copy gives out offsets again.
        """
        assert self._fence is not None
        return self._fence

    def observe_era(self, era: StoreEra | None, now: float) -> None:
        """Processes the store's era; ``now`` includes time spent suspended.

        When it rises, lease records may be lost, also those of another holder whose lease has not
        ended. Everything that is known counts for nothing, and nobody acquires the lease until the
        last possible holder's orders are over.
        """
        if self._era_seen_at is None or era != self._era:
            self._era, self._era_seen_at = era, now
            self._record, self._log_end = None, None
            self._held_until = float("-inf")

    @property
    def log_end(self) -> Offset | None:
        """End of the lease log, on which the next append is conditional; None: unknown."""
        return self._log_end

    def observe(self, record: LeaseRecord | None, log_end: Offset, now: float) -> None:
        """Processes the result of a log read; ``now`` includes time spent suspended."""
        self._log_end = log_end
        if record is None:
            self._record = None
            return
        if self._record is None or record.offset != self._record.offset:
            self._record, self._record_seen_at = record, now
        if record.holder != self._instance or record.era != self._era:
            self._held_until = float("-inf")

    def get_state(self, now: float) -> LeaseState:
        """Returns the state of the lease; ``now`` includes time spent suspended."""
        if now < self._held_until:
            return LeaseState.HELD
        if self._log_end is None:
            return LeaseState.UNKNOWN
        if self._is_own_record():
            return LeaseState.FREE
        # Without a record a lost one may have been written just before the era was seen.
        seen_at = self._record_seen_at if self._record is not None else self._era_seen_at
        is_expired = seen_at is None or now - seen_at >= self._takeover_delay_s
        return LeaseState.FREE if is_expired else LeaseState.HELD_BY_OTHER

    def _is_own_record(self) -> bool:
        """Whether this instance wrote the newest record, and none after it can have been lost."""
        record = self._record
        return record is not None and record.holder == self._instance and record.era == self._era

    def can_order(self, now: float) -> bool:
        """Returns whether an order sent now arrives before the lease ends."""
        return now + ORDER_FLIGHT_S < self._held_until

    def needs_renewal(self, now: float) -> bool:
        """Returns whether the holder should renew the lease."""
        return now >= self._held_until - LEASE_S + RENEWAL_INTERVAL_S

    def on_appended(self, offset: Offset, sent_at: float, now: float) -> None:
        """Handles the log's acceptance of this instance's record, sent at ``sent_at``."""
        if now >= self._held_until or self._fence is None:
            self._fence = FencingToken((self._era or 0) * FENCES_PER_ERA + offset)
        self._record = LeaseRecord(self._instance, offset, self._era)
        self._record_seen_at = now
        self._log_end = Offset(offset + 1)
        self._held_until = sent_at + LEASE_S

    def on_append_failed(self) -> None:
        """Handles an append that was refused or is in doubt: the log must be read again."""
        self._log_end = None


@dataclass(frozen=True)
class VersionOrder:
    """An order to load a version of a model's weights on one target."""

    target: TargetId
    address: str
    model: ModelName
    version: WeightVersion


class OrderResult(Enum):
    """What became of an order; the values are log messages."""

    ACCEPTED = "order accepted"
    CONFLICT = "another order is in progress, or the number of orders differs"
    REJECTED = "order rejected"
    UNANSWERED = "no answer; the order may still be executed"


RETRY_DELAYS_S = {
    OrderResult.ACCEPTED: LOADING_TIMEOUT_S,
    OrderResult.CONFLICT: CONFLICT_RETRY_S,
    OrderResult.REJECTED: REJECTED_RETRY_S,
    OrderResult.UNANSWERED: UNANSWERED_RETRY_S,
}


class VersionRollout:
    """Chooses the targets that load a new model version, as few at a time as the bound allows.

    A target that loads weights rejects calls, and its cache is empty afterwards. If a third of the
    targets do so at once at peak load, the others cannot take the calls, and the prompts whose
    parts are lost together are prefilled again at the same time.

    Targets may leave orders unanswered for seconds. Those that left the fewest unanswered come
    first, so that one of them does not hold up the others.
    """

    def __init__(self, named: NamedVersions, bound_s: float) -> None:
        """``bound_s``: time in which a named version must be in use on all targets."""
        self._named = named
        self._bound_s = bound_s
        # When each target that is loading, or was sent an order, gets the next one.
        self._pending: dict[TargetId, float] = {}
        self._unanswered_counts: dict[TargetId, int] = {}

    def has_work(self, targets: list[Target]) -> bool:
        """Returns whether any target needs an order."""
        return any(self._find_outdated_model(target) is not None for target in targets)

    def find_rolled_out_version(self, targets: list[Target]) -> WeightVersion | None:
        """Returns the lowest version in use once every target has its desired version.

        Returns None before that, or if no desired version was set. A salt does not name its model,
        so the lowest version over all models is used.
        """
        models = {model for target in targets for model in target.versions}
        if all(self._named.get_newest(model) is None for model in models):
            return None
        if self.has_work(targets):
            return None
        versions = [version for target in targets for version in target.versions.values()]
        return min(versions) if versions else None

    def list_due(self, targets: list[Target], now: float, boot_now: float) -> list[VersionOrder]:
        """Returns the orders to send now; targets without models are left out.

        ``boot_now`` includes the time for which the host was suspended.
        """
        targets = [target for target in targets if target.versions]
        for key in [k for k, expires_at in self._pending.items() if now >= expires_at]:
            del self._pending[key]
        due: list[VersionOrder] = []
        max_loading = self._compute_max_loading(targets, boot_now)
        for target in sorted(targets, key=self._rank):
            model = self._find_outdated_model(target)
            if model is None:
                self._pending.pop(target.id, None)
                self._unanswered_counts.pop(target.id, None)
            elif target.id not in self._pending and len(self._pending) + len(due) < max_loading:
                due.append(self._create_order(target, model))
        return due

    def on_sent(self, order: VersionOrder, now: float) -> None:
        """Counts the order's target as loading until it reports the version or a timeout."""
        self._pending[order.target] = now + LOADING_TIMEOUT_S

    def on_result(self, target: TargetId, result: OrderResult, now: float) -> None:
        """Handles the result of an order, or of the check that precedes it."""
        if result is OrderResult.UNANSWERED:
            self._unanswered_counts[target] = self._unanswered_counts.get(target, 0) + 1
        self._pending[target] = now + RETRY_DELAYS_S[result]

    def list_loading(self) -> list[TargetId]:
        """Returns the targets with an order whose version they have not reported yet."""
        return list(self._pending)

    def _compute_max_loading(self, targets: list[Target], boot_now: float) -> int:
        """Returns how many targets may load at a time: more once the rollout is late."""
        most = max(1, round(len(targets) * MAX_LOADING_SHARE))
        planned_s = ROLLOUT_SHARE * self._bound_s
        is_late = any(
            self._named.get_waiting_time(model, target.versions[model], boot_now) >= planned_s
            for target in targets
            if (model := self._find_outdated_model(target)) is not None
        )
        if is_late or planned_s <= ORDER_CYCLE_S:
            return most
        return min(most, math.ceil(len(targets) * ORDER_CYCLE_S / planned_s))

    def _rank(self, target: Target) -> tuple[int, TargetId]:
        return self._unanswered_counts.get(target.id, 0), target.id

    def _find_outdated_model(self, target: Target) -> ModelName | None:
        if target.registration.state is not RegistrationState.READY:
            return None
        for model, version in target.versions.items():
            if version < (self._named.get_newest(model) or version):
                return model
        return None

    def _create_order(self, target: Target, model: ModelName) -> VersionOrder:
        desired = self._named.get_newest(model)
        assert desired is not None
        return VersionOrder(target.id, target.registration.address, model, desired)
