"""Who may give orders to targets, and which order is due.

One instance at a time holds the order lease, a record appended to the platform's log under the
condition that the log has not grown. Fault patterns answered: the holder is killed, frozen or cut
off from the log while a new model version is rolled out; orders are carried out late.
"""

from dataclasses import dataclass
from enum import Enum

from ...ids import InstanceId, ModelName, Offset, TargetId, WeightVersion
from .targettable import Target, TargetState

# The lease counts from before its append was sent and is renewed at a third of its time.
LEASE_S = 1.5
RENEWAL_INTERVAL_S = 0.5
# Time that an order may be on its way after it was sent.
ORDER_FLIGHT_S = 0.3
# An order without an answer may still be carried out; until then its target gets no other one.
ORDER_TIMEOUT_S = 2.0
# Share of a service's targets that load weights at once: the others carry the load meanwhile, and
# loading takes longer if too many do so together.
MAX_LOADING_SHARE = 1 / 3


class LeaseState(Enum):
    """What this instance knows of the lease."""

    UNKNOWN = "unknown"
    FREE = "free"
    HELD = "held"
    HELD_BY_OTHER = "other"


@dataclass(frozen=True)
class LeaseRecord:
    """The newest lease record in the log."""

    holder: InstanceId
    offset: Offset


class OrderLease:
    """Decides when this instance may append a lease record, and when it holds the lease."""

    def __init__(self, instance: InstanceId, order_spacing_s: float) -> None:
        self._instance = instance
        # A successor waits out the holder's lease, its orders in flight and the required spacing
        # between the orders of two holders.
        self._takeover_s = LEASE_S + ORDER_FLIGHT_S + order_spacing_s
        self._record: LeaseRecord | None = None
        self._record_seen_at = 0.0
        self._end: Offset | None = None
        self._held_until = float("-inf")
        self._fence: Offset | None = None

    @property
    def fence(self) -> Offset:
        """Offset of the held lease's first record; higher than that of every earlier holder."""
        assert self._fence is not None
        return self._fence

    @property
    def end(self) -> Offset | None:
        """End of the lease log, the condition of the next append."""
        return self._end

    def observe(self, record: LeaseRecord | None, end: Offset, now: float) -> None:
        """Takes what a read of the log returned; ``now`` counts suspensions too."""
        self._end = end
        if record is None:
            self._record = None
            return
        if self._record is None or record.offset != self._record.offset:
            self._record, self._record_seen_at = record, now
        if record.holder != self._instance:
            self._held_until = float("-inf")

    def get_state(self, now: float) -> LeaseState:
        """Returns the state of the lease at a time that counts suspensions too."""
        if now < self._held_until:
            return LeaseState.HELD
        if self._end is None:
            return LeaseState.UNKNOWN
        if self._record is None or self._record.holder == self._instance:
            return LeaseState.FREE
        is_over = now - self._record_seen_at >= self._takeover_s
        return LeaseState.FREE if is_over else LeaseState.HELD_BY_OTHER

    def can_order(self, now: float) -> bool:
        """Whether an order sent now arrives within the lease."""
        return now + ORDER_FLIGHT_S < self._held_until

    def needs_renewal(self, now: float) -> bool:
        """Whether the holder should append again."""
        return now >= self._held_until - LEASE_S + RENEWAL_INTERVAL_S

    def on_appended(self, offset: Offset, sent_at: float, now: float) -> None:
        """The log accepted this instance's record."""
        if now >= self._held_until or self._fence is None:
            self._fence = offset
        self._record = LeaseRecord(self._instance, offset)
        self._record_seen_at = now
        self._end = Offset(offset + 1)
        self._held_until = sent_at + LEASE_S

    def on_append_failed(self) -> None:
        """The append was refused or is in doubt: the log must be read again."""
        self._end = None


@dataclass(frozen=True)
class VersionOrder:
    """The order to load a version of a model's weights on one target."""

    target: TargetId
    address: str
    model: ModelName
    version: WeightVersion


class VersionRollout:
    """Chooses the targets that load a new version next, a third of them at a time."""

    def __init__(self) -> None:
        self._wanted: dict[ModelName, WeightVersion] = {}
        self._named_at: dict[ModelName, float] = {}
        self._pending: dict[TargetId, float] = {}

    def set_desired_version(self, model: ModelName, version: WeightVersion, now: float) -> bool:
        """Names the version that all targets should have; versions only increase."""
        if version <= self._wanted.get(model, 0):
            return False
        self._wanted[model] = version
        self._named_at[model] = now
        return True

    def get_desired_version(self, model: ModelName) -> WeightVersion | None:
        """Returns the newest version that was named."""
        return self._wanted.get(model)

    def get_desired_version_age(self, model: ModelName, now: float) -> float:
        """Seconds since this instance learned of the newest version."""
        return now - self._named_at.get(model, now)

    def has_work(self, targets: list[Target]) -> bool:
        """Whether any target needs an order."""
        return any(self._find_model(target) is not None for target in targets)

    def find_rolled_out_version(self, targets: list[Target]) -> WeightVersion | None:
        """Returns the lowest version in use once every target has the newest one that was named.

        None before that, or if no newer version was named. A salt does not name its model, so the
        lowest over all models counts.
        """
        if not self._wanted or self.has_work(targets):
            return None
        versions = [version for target in targets for version in target.versions.values()]
        return min(versions) if versions else None

    def list_due(self, targets: list[Target], now: float) -> list[VersionOrder]:
        """Returns the orders to send now to the targets that have models."""
        targets = [target for target in targets if target.versions]
        for key in [k for k, expires_at in self._pending.items() if now >= expires_at]:
            del self._pending[key]
        due: list[VersionOrder] = []
        most = max(1, round(len(targets) * MAX_LOADING_SHARE))
        for target in sorted(targets, key=lambda t: t.id):
            model = self._find_model(target)
            if model is None:
                self._pending.pop(target.id, None)
            elif target.id not in self._pending and len(self._pending) + len(due) < most:
                due.append(self._create_order(target, model))
        return due

    def on_sent(self, order: VersionOrder, now: float) -> None:
        """An order is on its way; its target counts as loading until the version is reported."""
        self._pending[order.target] = now + ORDER_TIMEOUT_S

    def on_refused(self, target: TargetId) -> None:
        """The target did not accept the order."""
        self._pending.pop(target, None)

    def list_loading(self) -> list[TargetId]:
        """Returns the targets that were ordered to load and have not reported the version."""
        return list(self._pending)

    def _find_model(self, target: Target) -> ModelName | None:
        if target.registration.state is not TargetState.READY:
            return None
        for model, version in target.versions.items():
            if version < self._wanted.get(model, version):
                return model
        return None

    def _create_order(self, target: Target, model: ModelName) -> VersionOrder:
        return VersionOrder(target.id, target.registration.address, model, self._wanted[model])
