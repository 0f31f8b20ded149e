"""Slots: how many requests each instance may run on each target of its data centre.

One instance of the data centre is the holder and divides each target's cap. An instance divides
its grant among its gateways. Each grant is dated by the clock of its receiver: it ends a fixed time
after the receiver sent the report that it answers, so a delayed grant is never used too long.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from typing import TypeVar

from ..ids import DataCentre, GatewayId, Incarnation, InstanceId, TargetId
from ..schema.wire_pb2 import (
    GatewayReport,
    GrantUpdate,
    SlotGrant,
    SlotPromise,
    SlotPromiseRequest,
    SlotReport,
    TargetCap,
    TargetUse,
)
from .messages import TargetState
from .rendezvous import choose_member
from .slowstart import SlowStart

# How long a grant is valid, from the report that it answers.
GRANT_S = 2.0
# How long an instance promises to use one holder's grants only. Longer than a grant, so that all
# grants have ended before another holder can start.
PROMISE_S = 3.0
PROMISE_RENEWAL_S = 0.5
# A gateway or instance that is silent for this long has failed, and its connections are closed.
SILENCE_S = 10.0

GranteeT = TypeVar("GranteeT", bound=str)

Slots = dict[tuple[TargetId, Incarnation], int]


@dataclass
class _GatewayUse:
    """Requests of this gateway on one target."""

    incarnation: Incarnation
    in_flight: int = 0
    # Requests that an earlier incarnation was running; their ends say nothing of this one.
    old_in_flight: int = 0
    completions: int = 0
    failures: int = 0


class GatewaySlots:
    """The slots of one gateway. Requests in flight count against the grant."""

    def __init__(self, max_instances: int) -> None:
        self._max_instances = max_instances
        self._uses: dict[TargetId, _GatewayUse] = {}
        self._grants: Slots = {}
        self._valid_until = float("-inf")

    def update(self, grant: GrantUpdate) -> None:
        """Replaces the grant; an update older than the current one is ignored."""
        if grant.valid_until < self._valid_until:
            return
        self._valid_until = grant.valid_until
        self._grants = {
            (TargetId(g.target), Incarnation(g.incarnation)): g.slots for g in grant.grants
        }

    def count_free(self, target: TargetState, now: float) -> int:
        """Returns how many requests may be started on the target now."""
        if now >= self._valid_until:
            return 0
        granted = self._grants.get((target.target, target.incarnation), 0)
        use = self._uses.get(target.target)
        in_flight = use.in_flight if use is not None else 0
        return max(0, granted - in_flight)

    def acquire(self, target: TargetState, now: float) -> bool:
        """Takes one slot if one is free; each success needs one ``release``."""
        if self.count_free(target, now) <= 0:
            return False
        use = self._uses.setdefault(target.target, _GatewayUse(target.incarnation))
        if use.incarnation != target.incarnation:
            use.incarnation = target.incarnation
            use.old_in_flight = use.in_flight
        use.in_flight += 1
        return True

    def release(self, target: TargetId, succeeded: bool) -> None:
        """Returns one slot; ``succeeded`` is false if the target refused or reset the call."""
        use = self._uses.get(target)
        if use is None or use.in_flight == 0:
            return
        use.in_flight -= 1
        if use.old_in_flight > 0:
            use.old_in_flight -= 1
        elif succeeded:
            use.completions += 1
        else:
            use.failures += 1

    def drop(self, target: TargetId) -> None:
        """Gives up the grant for a target that restarted or refused a connection."""
        for key in [key for key in self._grants if key[0] == target]:
            del self._grants[key]

    def report(
        self, gateway: GatewayId, demand: Mapping[TargetId, int], now: float
    ) -> GatewayReport:
        """Returns the report for the control process; counts of results start again at 0."""
        report = GatewayReport(gateway=gateway, sent_at=now)
        for target in sorted(set(self._uses) | set(demand)):
            use = self._uses.get(target)
            entry = report.uses.add(target=target, demand=demand.get(target, 0))
            if use is None:
                continue
            entry.incarnation = use.incarnation
            entry.in_flight = use.in_flight
            entry.completions = use.completions
            entry.failures = use.failures
            use.completions = use.failures = 0
            if use.in_flight == 0:
                del self._uses[target]
        return report


@dataclass
class _GatewayRecord:
    """The last report of a gateway as its control process knows it."""

    report: GatewayReport
    received: float


class SlotClient:
    """Speaks for the gateways of one instance: promises, reports, and divides the grant."""

    def __init__(self, instance: InstanceId, max_instances: int, now: float) -> None:
        self._instance = instance
        self._max_instances = max_instances
        self._started = now
        self._gateways: dict[GatewayId, _GatewayRecord] = {}
        self._holder: InstanceId | None = None
        self._promised_until = now + PROMISE_S
        self._grant: Slots = {}
        self._grant_until = float("-inf")
        self._caps: dict[TargetId, TargetCap] = {}
        self._counts: dict[tuple[str, str], list[int]] = {}

    def on_gateway_report(self, report: GatewayReport, now: float) -> None:
        """Keeps the newest report of a gateway and adds up its results."""
        gateway = GatewayId(report.gateway)
        known = self._gateways.get(gateway)
        if known is not None and report.sent_at <= known.report.sent_at:
            return
        self._gateways[gateway] = _GatewayRecord(report, now)
        for use in report.uses:
            counts = self._counts.setdefault((use.target, use.incarnation), [0, 0])
            counts[0] += use.completions
            counts[1] += use.failures

    def build_report(self, now: float) -> SlotReport:
        """Returns the report for the holder; counts of results start again at 0."""
        self._forget_gateways(now)
        uses: dict[tuple[str, str], TargetUse] = {}
        for record in self._gateways.values():
            for use in record.report.uses:
                entry = _get_use(uses, use.target, use.incarnation)
                entry.in_flight += use.in_flight
                entry.demand += use.demand
        for (target, incarnation), (completions, failures) in self._counts.items():
            entry = _get_use(uses, target, incarnation)
            entry.completions, entry.failures = completions, failures
        self._counts.clear()
        return SlotReport(
            instance=self._instance, sent_at=now, uses=[uses[key] for key in sorted(uses)]
        )

    def on_grant(self, grant: SlotGrant, now: float) -> None:
        """Takes a grant of the promised holder; it ends by this instance's clock."""
        until = grant.report_sent_at + grant.duration_ms / 1000.0
        if grant.holder != self._holder or until <= self._grant_until:
            return
        self._grant = {
            (TargetId(g.target), Incarnation(g.incarnation)): g.slots for g in grant.grants
        }
        self._grant_until = until
        for cap in grant.caps:
            self._caps[TargetId(cap.target)] = cap

    def on_promise_request(self, request: SlotPromiseRequest, now: float) -> SlotPromise:
        """Promises to one holder at a time; refuses another one until the promise has ended."""
        holder = InstanceId(request.holder)
        refused = holder != self._holder and now < self._promised_until
        if not refused:
            self._holder = holder
            self._promised_until = now + PROMISE_S
        return SlotPromise(
            instance=self._instance,
            holder=holder,
            request_sent_at=request.sent_at,
            duration_ms=0 if refused else round(PROMISE_S * 1000),
            refused=refused,
            caps=self._caps.values(),
        )

    def list_gateway_grants(self, now: float) -> list[GrantUpdate]:
        """Returns one update for each gateway: a valid grant, divided by demand."""
        self._forget_gateways(now)
        slots = self._grant if now < self._grant_until else {}
        updates = {
            gateway: GrantUpdate(gateway=gateway, valid_until=self._grant_until)
            for gateway in sorted(self._gateways)
        }
        for (target, incarnation), total in sorted(slots.items()):
            shares = self._divide(target, total)
            for gateway, share in shares.items():
                updates[gateway].grants.add(target=target, incarnation=incarnation, slots=share)
        return list(updates.values())

    def _divide(self, target: TargetId, total: int) -> dict[GatewayId, int]:
        in_flight: dict[GatewayId, int] = {}
        demand: dict[GatewayId, int] = {}
        for gateway, record in self._gateways.items():
            uses = [u for u in record.report.uses if u.target == target]
            in_flight[gateway] = sum(u.in_flight for u in uses)
            demand[gateway] = sum(u.demand for u in uses)
        return divide_slots(total, in_flight, demand)

    def _forget_gateways(self, now: float) -> None:
        for gateway, record in list(self._gateways.items()):
            if now - record.received > SILENCE_S:
                del self._gateways[gateway]


@dataclass
class _InstanceRecord:
    """What the holder knows of one instance."""

    # Time of the holder's clock until which the instance has promised.
    promised_until: float = float("-inf")
    report: SlotReport | None = None
    received: float = float("-inf")
    # Largest grant by target since the last grant that is still valid: (ends at, slots).
    outstanding: list[tuple[float, Slots]] = field(default_factory=list)


class SlotHolder:
    """Divides the caps of the data centre's targets while every instance has promised to it."""

    def __init__(
        self,
        instance: InstanceId,
        data_centre: DataCentre,
        max_instances: int,
        list_lag_s: float,
        now: float,
    ) -> None:
        self._instance = instance
        self._data_centre = data_centre
        self._max_instances = max_instances
        self._may_hold_from = now + list_lag_s + PROMISE_S
        self._listed: frozenset[InstanceId] = frozenset()
        self._records: dict[InstanceId, _InstanceRecord] = {}
        self._last_request = float("-inf")
        self._requests: dict[float, None] = {}
        self._caps: dict[TargetId, SlowStart] = {}

    def tick(
        self, listed: Sequence[InstanceId], now: float
    ) -> list[tuple[InstanceId, SlotPromiseRequest]]:
        """Returns promise requests with their recipients, this instance's own client included."""
        self._listed = frozenset(listed)
        self._forget_instances(now)
        first = choose_member(self._data_centre, self._listed)
        if now < self._may_hold_from or first != self._instance:
            return []
        if now - self._last_request < PROMISE_RENEWAL_S:
            return []
        self._last_request = now
        self._requests[now] = None
        while len(self._requests) > PROMISE_S / PROMISE_RENEWAL_S:
            del self._requests[next(iter(self._requests))]
        request = SlotPromiseRequest(holder=self._instance, sent_at=now)
        return [(instance, request) for instance in sorted(self._list_required())]

    def on_promise(self, promise: SlotPromise, now: float) -> None:
        """Extends the promise of an instance, counted from when the request was sent."""
        if promise.holder != self._instance or promise.request_sent_at not in self._requests:
            return
        record = self._records.setdefault(InstanceId(promise.instance), _InstanceRecord())
        if promise.refused:
            return
        until = promise.request_sent_at + promise.duration_ms / 1000.0
        record.promised_until = max(record.promised_until, until)
        for cap in promise.caps:
            known = self._caps.get(TargetId(cap.target))
            if known is None:
                self._caps[TargetId(cap.target)] = SlowStart(Incarnation(cap.incarnation), cap.cap)

    def on_report(
        self, report: SlotReport, targets: Mapping[TargetId, TargetState], now: float
    ) -> SlotGrant | None:
        """Returns the grant for the reporting instance; None if this instance is not the holder."""
        instance = InstanceId(report.instance)
        record = self._records.setdefault(instance, _InstanceRecord())
        if record.report is not None and report.sent_at <= record.report.sent_at:
            return None
        record.report, record.received = report, now
        if not self._is_holder(now):
            return None
        self._count_results(report, targets)
        ends = min(now + GRANT_S, min(r.promised_until for r in self._list_records()))
        grant = SlotGrant(
            holder=self._instance,
            report_sent_at=report.sent_at,
            duration_ms=int((ends - now) * 1000),
        )
        slots: Slots = {}
        for target in sorted(targets):
            state = targets[target]
            cap = self._get_cap(state).cap
            share = self._compute_share(instance, state, cap, now)
            slots[(target, state.incarnation)] = share
            grant.grants.add(target=target, incarnation=state.incarnation, slots=share)
            grant.caps.add(target=target, incarnation=state.incarnation, cap=cap)
        record.outstanding.append((ends, slots))
        return grant

    def _count_results(self, report: SlotReport, targets: Mapping[TargetId, TargetState]) -> None:
        for use in report.uses:
            state = targets.get(TargetId(use.target))
            if state is not None:
                self._get_cap(state).record(
                    Incarnation(use.incarnation),
                    use.completions,
                    use.failures,
                    state.max_concurrency,
                )

    def _get_cap(self, state: TargetState) -> SlowStart:
        cap = self._caps.setdefault(state.target, SlowStart(state.incarnation))
        if cap.incarnation != state.incarnation:
            cap.reset(state.incarnation)
        return cap

    def _compute_share(self, instance: InstanceId, state: TargetState, cap: int, now: float) -> int:
        """Returns what the other instances leave, at most this one's part by demand."""
        required = self._list_required()
        unknown = max(0, self._max_instances - len(required))
        available = cap - unknown * (cap // self._max_instances)
        in_flight: dict[InstanceId, int] = {}
        demand: dict[InstanceId, int] = {}
        committed: dict[InstanceId, int] = {}
        for other in required:
            record = self._records[other]
            uses = (
                [u for u in record.report.uses if u.target == state.target] if record.report else []
            )
            in_flight[other] = sum(u.in_flight for u in uses)
            demand[other] = sum(u.demand for u in uses)
            record.outstanding = [o for o in record.outstanding if o[0] > now]
            key = (state.target, state.incarnation)
            granted = max((s.get(key, 0) for _, s in record.outstanding), default=0)
            committed[other] = max(in_flight[other], granted)
        left = available - sum(c for other, c in committed.items() if other != instance)
        fair = divide_slots(available, in_flight, demand)[instance]
        return max(0, min(left, fair))

    def _is_holder(self, now: float) -> bool:
        return now >= self._may_hold_from and all(
            r.promised_until > now and r.report is not None for r in self._list_records()
        )

    def _list_required(self) -> set[InstanceId]:
        return set(self._listed) | set(self._records) | {self._instance}

    def _list_records(self) -> list[_InstanceRecord]:
        return [self._records.setdefault(i, _InstanceRecord()) for i in self._list_required()]

    def _forget_instances(self, now: float) -> None:
        for instance, record in list(self._records.items()):
            silent = now - max(record.received, record.promised_until) > SILENCE_S
            if instance not in self._listed and silent:
                del self._records[instance]


def divide_slots(
    total: int, in_flight: Mapping[GranteeT, int], demand: Mapping[GranteeT, int]
) -> dict[GranteeT, int]:
    """Divides slots: first what is in flight, then demand evenly, then the rest evenly.

    The sum is at most ``total``. The result depends only on the arguments.
    """
    order = sorted(in_flight)
    shares = dict.fromkeys(order, 0)
    left = max(0, total)
    wanted = {g: in_flight[g] + demand.get(g, 0) for g in order}
    for limits in (in_flight, wanted, dict.fromkeys(order, left)):
        left = _fill(shares, limits, order, left)
    return shares


def _fill(
    shares: dict[GranteeT, int],
    limits: Mapping[GranteeT, int],
    order: Sequence[GranteeT],
    left: int,
) -> int:
    """Raises the shares evenly up to their limits; returns what is left."""
    open_ = [g for g in order if shares[g] < limits[g]]
    while left > 0 and open_:
        step = max(1, left // len(open_))
        for grantee in open_:
            add = min(step, limits[grantee] - shares[grantee], left)
            shares[grantee] += add
            left -= add
        open_ = [g for g in open_ if shares[g] < limits[g]]
    return left


def _get_use(uses: dict[tuple[str, str], TargetUse], target: str, incarnation: str) -> TargetUse:
    key = (target, incarnation)
    if key not in uses:
        uses[key] = TargetUse(target=target, incarnation=incarnation)
    return uses[key]
