"""The slot holder, which divides the targets' caps among instances by the rules in ``slots``."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import TypeVar

from ..ids import DataCentre, Incarnation, InstanceId, TargetId
from ..schema.wire_pb2 import (
    SlotGrant,
    SlotPromise,
    SlotPromiseRequest,
    SlotReport,
)
from .allotments import Allotment, GranteeAccount, SlotCounts, SlotKey, compute_fair_share
from .messages import TargetState
from .rendezvous import choose_member
from .slots import (
    GRANT_DURATION_S,
    PROMISE_DURATION_S,
    PROMISE_RENEWAL_INTERVAL_S,
    SILENCE_TIMEOUT_S,
)
from .slowstart import SlowStart

KeyT = TypeVar("KeyT")


class _InstanceRecord:
    """State of an instance as known to the holder."""

    def __init__(self) -> None:
        self.account = GranteeAccount()
        self.last_heard_at = float("-inf")
        # On the holder's clock: the end of the promise, and the time of the first request since
        # which promises have been without a gap.
        self.promised_until = float("-inf")
        self.promised_since = float("inf")
        self.caps: dict[SlotKey, int] = {}
        # Instances that the last promised request named as not silent. This instance reports
        # them to the next holder.
        self.informed_of: frozenset[InstanceId] = frozenset()
        # An earlier holder heard from it later than this one did, so its use is not known here.
        self.is_inherited = False

    def has_current_report(self) -> bool:
        """Returns whether the last report was sent under the current promises."""
        return self.account.reported_at >= self.promised_since


@dataclass(frozen=True)
class _GrantContext:
    """Values that all targets of one grant have in common."""

    # Number of instances that divide the caps.
    required_count: int
    # Number of instances that may exist unknown to the holder.
    unknown_count: int
    unpromised: list[_InstanceRecord]
    # The holder has granted slots for less time than the longest run that it can account for.
    is_new: bool


class SlotHolder:
    """Divides the targets' caps among instances while every required one has promised to it.

    ``list_lag_s`` is the longest time until a new instance appears in every member list.
    """

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
        # Before this time, another holder's list may lack this instance, and grants of an earlier
        # run of this process may be in use.
        self._may_hold_from = now + list_lag_s + PROMISE_DURATION_S
        self._listed: frozenset[InstanceId] = frozenset()
        self._instances: dict[InstanceId, _InstanceRecord] = {}
        self._last_request_at = float("-inf")
        # From the time of each recent promise request to the instances it named as not silent.
        self._named_by_request: dict[float, frozenset[InstanceId]] = {}
        self._slow_starts: dict[TargetId, SlowStart] = {}
        # Another holder may have changed the caps since this one last used them.
        self._caps_are_stale = True
        self._held_since = float("-inf")
        # Sums over all instances.
        self._committed: dict[SlotKey, int] = {}
        self._in_flight: dict[SlotKey, int] = {}
        self._wanted: dict[TargetId, int] = {}

    def tick(
        self, listed: Sequence[InstanceId], now: float
    ) -> list[tuple[InstanceId, SlotPromiseRequest]]:
        """Returns promise requests with their recipients, which include this instance itself.

        ``listed`` are the listed live entry instances of the data centre.
        """
        self._listed = frozenset(listed)
        self._update_records(now)
        candidate = choose_member(self._data_centre, self._listed)
        if now < self._may_hold_from or candidate != self._instance:
            return []
        for instance in self._list_required(now):
            self._instances.setdefault(instance, _InstanceRecord())
        # An inherited instance gets no grant of this holder before it promises.
        named = frozenset(
            instance
            for instance, record in self._instances.items()
            if instance in self._listed
            or record.promised_until > now
            or (now - record.last_heard_at < PROMISE_DURATION_S and not record.is_inherited)
        )
        is_complete = named <= self._named_by_request.get(self._last_request_at, frozenset())
        if (
            is_complete
            and now - self._last_request_at < PROMISE_RENEWAL_INTERVAL_S
            or now in self._named_by_request
        ):
            return []
        self._last_request_at = now
        self._named_by_request = {
            s: p for s, p in self._named_by_request.items() if now - s < PROMISE_DURATION_S
        }
        self._named_by_request[now] = named
        request = SlotPromiseRequest(holder=self._instance, sent_at=now)
        for instance, record in self._instances.items():
            silent_s = 0.0 if instance in named else max(0.0, now - record.last_heard_at)
            request.participants.add(instance=instance, silent_ms=int(silent_s * 1000))
        return [(instance, request) for instance in sorted(self._list_required(now))]

    def on_promise(self, promise: SlotPromise, now: float) -> None:
        """Extends the promise of an instance, counted from when its request was sent."""
        self._update_records(now)
        if (
            promise.holder != self._instance
            or promise.request_sent_at not in self._named_by_request
        ):
            return
        record = self._instances.setdefault(InstanceId(promise.instance), _InstanceRecord())
        record.last_heard_at = max(now, record.last_heard_at)
        self._merge_participants(promise, now)
        until = promise.request_sent_at + promise.duration_ms / 1000.0
        if promise.refused or until <= max(now, record.promised_until):
            return
        record.informed_of = self._named_by_request[promise.request_sent_at]
        if record.promised_until <= now:
            record.promised_since = promise.request_sent_at
        record.promised_until = until
        record.caps = {
            (TargetId(c.target), Incarnation(c.incarnation)): c.cap for c in promise.caps
        }

    def on_report(
        self, report: SlotReport, targets: Mapping[TargetId, TargetState], now: float
    ) -> SlotGrant | None:
        """Returns a grant for the reporting instance, or None if none can be given yet."""
        self._update_records(now)
        record = self._instances.setdefault(InstanceId(report.instance), _InstanceRecord())
        record.last_heard_at = max(now, record.last_heard_at)
        if not record.promised_since <= report.sent_at <= now:
            return None
        if not self._accept_report(record, report) or not self.is_holder(now):
            return None
        if not self._is_known_to_all(InstanceId(report.instance), now):
            return None
        if self._caps_are_stale:
            self._restore_caps(targets, now)
        self._count_results(report, targets)
        duration_ms = int(1000 * min(GRANT_DURATION_S, self._get_earliest_promise_end(now) - now))
        grant = SlotGrant(
            holder=self._instance, report_sent_at=report.sent_at, duration_ms=duration_ms
        )
        slots: SlotCounts = {}
        context = self._build_context(now)
        for target, state in sorted(targets.items()):
            cap = self._get_cap(state)
            share = self._compute_share(record, state, cap, context)
            if share > 0:
                slots[(target, state.incarnation)] = share
                grant.grants.add(target=target, incarnation=state.incarnation, slots=share)
            grant.caps.add(target=target, incarnation=state.incarnation, cap=cap)
        self._subtract_from_totals(record)
        record.account.add(Allotment(report.sent_at + duration_ms / 1000.0, slots))
        self._add_to_totals(record)
        return grant

    def is_holder(self, now: float) -> bool:
        """Returns whether all required instances have promised and have reported since."""
        if now < self._may_hold_from:
            return False
        records = [self._instances.get(i) for i in self._list_required(now)]
        return all(
            r is not None and r.promised_until > now and r.has_current_report() for r in records
        )

    def _merge_participants(self, promise: SlotPromise, now: float) -> None:
        """Adds instances that may have received grants of an earlier holder."""
        for participant in promise.participants:
            instance = InstanceId(participant.instance)
            # The earlier holder may have renewed their grants until the promise to it ended.
            last_heard_at = now - participant.silent_ms / 1000.0 + PROMISE_DURATION_S
            record = self._instances.setdefault(instance, _InstanceRecord())
            if last_heard_at > record.last_heard_at:
                record.last_heard_at = last_heard_at
                record.is_inherited = record.promised_until <= now

    def _is_known_to_all(self, instance: InstanceId, now: float) -> bool:
        """Returns whether each required instance would report ``instance`` to the next holder."""
        return all(instance in self._instances[i].informed_of for i in self._list_required(now))

    def _update_records(self, now: float) -> None:
        """Marks promises that have ended and removes unlisted instances that are silent."""
        for instance, record in list(self._instances.items()):
            if record.promised_until <= now and record.promised_since != float("inf"):
                record.promised_since = float("inf")
                self._caps_are_stale = True
            if instance not in self._listed and now - record.last_heard_at > SILENCE_TIMEOUT_S:
                self._subtract_from_totals(record)
                del self._instances[instance]

    def _list_required(self, now: float) -> set[InstanceId]:
        """Returns the instances that must have promised before this one grants slots.

        An unlisted one that stays silent after its promise uses at most its floor share.
        """
        required = {self._instance, *self._listed}
        for instance, record in self._instances.items():
            is_recent = now - record.last_heard_at < PROMISE_DURATION_S
            if record.promised_until > now or is_recent or record.is_inherited:
                required.add(instance)
        return required

    def _get_earliest_promise_end(self, now: float) -> float:
        return min(self._instances[i].promised_until for i in self._list_required(now))

    def _accept_report(self, record: _InstanceRecord, report: SlotReport) -> bool:
        self._subtract_from_totals(record)
        accepted = record.account.accept_report(report.sent_at, report.uses)
        record.is_inherited = record.is_inherited and not accepted
        self._add_to_totals(record)
        return accepted

    def _subtract_from_totals(self, record: _InstanceRecord) -> None:
        _add_counts(self._committed, record.account.committed, -1)
        _add_counts(self._in_flight, record.account.in_flight, -1)
        _add_counts(self._wanted, record.account.wanted, -1)

    def _add_to_totals(self, record: _InstanceRecord) -> None:
        _add_counts(self._committed, record.account.committed, 1)
        _add_counts(self._in_flight, record.account.in_flight, 1)
        _add_counts(self._wanted, record.account.wanted, 1)

    def _restore_caps(self, targets: Mapping[TargetId, TargetState], now: float) -> None:
        """Sets each cap to the lowest one reported with the promises, or to 1 if there is none."""
        records = [self._instances[i] for i in self._list_required(now)]
        self._slow_starts.clear()
        for target, state in targets.items():
            key = (target, state.incarnation)
            reported = [r.caps[key] for r in records if key in r.caps]
            if reported:
                self._slow_starts[target] = SlowStart(state.incarnation, min(reported))
        self._caps_are_stale = False
        self._held_since = now

    def _count_results(self, report: SlotReport, targets: Mapping[TargetId, TargetState]) -> None:
        for use in report.uses:
            state = targets.get(TargetId(use.target))
            if state is not None and (use.completions or use.failures):
                self._get_slow_start(state).record(
                    Incarnation(use.incarnation),
                    use.completions,
                    use.failures,
                    state.max_concurrency,
                )

    def _get_slow_start(self, state: TargetState) -> SlowStart:
        slow_start = self._slow_starts.get(state.target)
        if slow_start is None:
            slow_start = self._slow_starts[state.target] = SlowStart(state.incarnation)
        if slow_start.incarnation != state.incarnation or not state.healthy:
            slow_start.reset(state.incarnation)
        return slow_start

    def _get_cap(self, state: TargetState) -> int:
        return min(self._get_slow_start(state).cap, max(1, state.max_concurrency))

    def _build_context(self, now: float) -> _GrantContext:
        return _GrantContext(
            required_count=len(self._list_required(now)),
            unknown_count=max(0, self._max_instances - len(self._instances)),
            unpromised=[r for r in self._instances.values() if r.promised_until <= now],
            is_new=now - self._held_since < SILENCE_TIMEOUT_S,
        )

    def _compute_share(
        self, record: _InstanceRecord, state: TargetState, cap: int, context: _GrantContext
    ) -> int:
        """Returns the slots of one instance, at most what other instances, known or not, leave."""
        key = (state.target, state.incarnation)
        committed = self._committed.get(key, 0)
        reserved = self._count_reserved_floors(key, cap // self._max_instances, context)
        reserved += self._count_unreported_load(state, context.is_new)
        fair = compute_fair_share(
            cap - reserved,
            record.account.wanted.get(state.target, 0),
            self._wanted.get(state.target, 0),
            context.required_count,
        )
        others = committed - record.account.committed.get(key, 0)
        return max(0, min(cap - reserved - others, fair))

    def _count_unreported_load(self, state: TargetState, is_new: bool) -> int:
        """Returns the target's load that no report covers, such as that of an unknown instance.

        The target's own count lags, so it is compared with what may be in flight. A new holder
        compares it with what is known to be in flight, until earlier requests have mostly ended.
        """
        key = (state.target, state.incarnation)
        reported_load = (self._in_flight if is_new else self._committed).get(key, 0)
        return max(0, state.running + state.waiting - reported_load)

    def _count_reserved_floors(self, key: SlotKey, floor: int, context: _GrantContext) -> int:
        """Returns the slots that instances without a promise may use as their floor shares."""
        if floor == 0:
            return 0
        reserved = floor * context.unknown_count
        for record in context.unpromised:
            reserved += max(0, floor - record.account.committed.get(key, 0))
        return reserved


def _add_counts(sums: dict[KeyT, int], counts: Mapping[KeyT, int], sign: int) -> None:
    """Adds or subtracts counts; keys that reach 0 are removed."""
    for key, count in counts.items():
        total = sums.get(key, 0) + sign * count
        if total:
            sums[key] = total
        else:
            sums.pop(key, None)
