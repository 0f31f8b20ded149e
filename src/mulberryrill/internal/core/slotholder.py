"""The holder of slots, which divides the targets' caps; the rules are in ``slots``."""

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


class _Instance:
    """An instance as the holder knows it."""

    def __init__(self) -> None:
        self.account = GranteeAccount()
        self.heard = float("-inf")
        # Holder's time until which the instance has promised, and of the first request since which
        # the promises have had no gap.
        self.promised_until = float("-inf")
        self.promised_since = float("inf")
        self.caps: dict[SlotKey, int] = {}
        # Participants that the last promised request named as not silent.
        self.informed_of: frozenset[InstanceId] = frozenset()
        # An earlier holder heard of it later than this one, so its use is not known here.
        self.is_inherited = False

    def knows_use(self) -> bool:
        """Returns whether a report was sent under the present promises."""
        return self.account.reported_at >= self.promised_since


@dataclass(frozen=True)
class _Situation:
    """What the shares of all targets in one grant have in common."""

    # Number of instances that divide the caps.
    required: int
    # Number of instances that may exist without being known here.
    unknown: int
    unpromised: list[_Instance]
    # The holder has been in office for less than the longest run it can account for.
    is_new: bool


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
        # Until then the list may not show this instance to another holder, or an earlier run of
        # this process may have been the holder.
        self._may_hold_from = now + list_lag_s + PROMISE_DURATION_S
        self._listed: frozenset[InstanceId] = frozenset()
        self._instances: dict[InstanceId, _Instance] = {}
        self._last_request = float("-inf")
        # Time of each recent request to the participants it named as not silent.
        self._requests: dict[float, frozenset[InstanceId]] = {}
        self._slow_starts: dict[TargetId, SlowStart] = {}
        # Another instance may have been the holder since the caps were last used.
        self._caps_are_stale = True
        self._held_since = float("-inf")
        # Sums over all instances.
        self._committed: dict[SlotKey, int] = {}
        self._in_flight: dict[SlotKey, int] = {}
        self._wanted: dict[TargetId, int] = {}

    def tick(
        self, listed: Sequence[InstanceId], now: float
    ) -> list[tuple[InstanceId, SlotPromiseRequest]]:
        """Returns promise requests with their recipients, this instance's own client included.

        ``listed`` are the listed live entry instances of the data centre.
        """
        self._listed = frozenset(listed)
        self._advance(now)
        first = choose_member(self._data_centre, self._listed)
        if now < self._may_hold_from or first != self._instance:
            return []
        for instance in self._list_required(now):
            self._instances.setdefault(instance, _Instance())
        # An inherited one uses no grant of this holder unless it promises.
        named = frozenset(
            instance
            for instance, record in self._instances.items()
            if instance in self._listed
            or record.promised_until > now
            or (now - record.heard < PROMISE_DURATION_S and not record.is_inherited)
        )
        is_complete = named <= self._requests.get(self._last_request, frozenset())
        if (
            is_complete
            and now - self._last_request < PROMISE_RENEWAL_INTERVAL_S
            or now in self._requests
        ):
            return []
        self._last_request = now
        self._requests = {s: p for s, p in self._requests.items() if now - s < PROMISE_DURATION_S}
        self._requests[now] = named
        request = SlotPromiseRequest(holder=self._instance, sent_at=now)
        for instance, record in self._instances.items():
            silent_s = 0.0 if instance in named else max(0.0, now - record.heard)
            request.participants.add(instance=instance, silent_ms=int(silent_s * 1000))
        return [(instance, request) for instance in sorted(self._list_required(now))]

    def on_promise(self, promise: SlotPromise, now: float) -> None:
        """Extends the promise of an instance, counted from when the request was sent."""
        self._advance(now)
        if promise.holder != self._instance or promise.request_sent_at not in self._requests:
            return
        record = self._instances.setdefault(InstanceId(promise.instance), _Instance())
        record.heard = max(now, record.heard)
        self._inherit(promise, now)
        until = promise.request_sent_at + promise.duration_ms / 1000.0
        if promise.refused or until <= max(now, record.promised_until):
            return
        record.informed_of = self._requests[promise.request_sent_at]
        if record.promised_until <= now:
            record.promised_since = promise.request_sent_at
        record.promised_until = until
        record.caps = {
            (TargetId(c.target), Incarnation(c.incarnation)): c.cap for c in promise.caps
        }

    def on_report(
        self, report: SlotReport, targets: Mapping[TargetId, TargetState], now: float
    ) -> SlotGrant | None:
        """Returns the grant for the reporting instance; None if this instance is not the holder."""
        self._advance(now)
        record = self._instances.setdefault(InstanceId(report.instance), _Instance())
        record.heard = max(now, record.heard)
        if not record.promised_since <= report.sent_at <= now:
            return None
        if not self._accept_report(record, report) or not self.is_holder(now):
            return None
        if not self._is_known_to_all(InstanceId(report.instance), now):
            return None
        if self._caps_are_stale:
            self._restore_caps(targets, now)
        self._count_results(report, targets)
        duration_ms = int(1000 * min(GRANT_DURATION_S, self._get_first_end(now) - now))
        grant = SlotGrant(
            holder=self._instance, report_sent_at=report.sent_at, duration_ms=duration_ms
        )
        slots: SlotCounts = {}
        situation = self._assess(now)
        for target, state in sorted(targets.items()):
            cap = self._get_cap(state)
            share = self._compute_share(record, state, cap, situation)
            if share > 0:
                slots[(target, state.incarnation)] = share
                grant.grants.add(target=target, incarnation=state.incarnation, slots=share)
            grant.caps.add(target=target, incarnation=state.incarnation, cap=cap)
        self._subtract(record)
        record.account.add(Allotment(report.sent_at + duration_ms / 1000.0, slots))
        self._add(record)
        return grant

    def is_holder(self, now: float) -> bool:
        """Returns whether all required instances have promised and reported since."""
        if now < self._may_hold_from:
            return False
        records = [self._instances.get(i) for i in self._list_required(now)]
        return all(r is not None and r.promised_until > now and r.knows_use() for r in records)

    def _inherit(self, promise: SlotPromise, now: float) -> None:
        """Notes instances that an earlier holder's grants may have reached."""
        for participant in promise.participants:
            instance = InstanceId(participant.instance)
            # That holder may have renewed their grants until the promise to it ended.
            heard = now - participant.silent_ms / 1000.0 + PROMISE_DURATION_S
            record = self._instances.setdefault(instance, _Instance())
            if heard > record.heard:
                record.heard = heard
                record.is_inherited = record.promised_until <= now

    def _is_known_to_all(self, instance: InstanceId, now: float) -> bool:
        """Returns whether each promise came from an instance that would tell the next holder."""
        return all(instance in self._instances[i].informed_of for i in self._list_required(now))

    def _advance(self, now: float) -> None:
        """Notes promises that have ended, and forgets instances that are gone."""
        for instance, record in list(self._instances.items()):
            if record.promised_until <= now and record.promised_since != float("inf"):
                record.promised_since = float("inf")
                self._caps_are_stale = True
            if instance not in self._listed and now - record.heard > SILENCE_TIMEOUT_S:
                self._subtract(record)
                del self._instances[instance]

    def _list_required(self, now: float) -> set[InstanceId]:
        """Returns the instances without whose promise this one does not act as holder.

        An unlisted one that stays silent after its promise has ended uses its floor share at most.
        """
        required = {self._instance, *self._listed}
        for instance, record in self._instances.items():
            is_recent = now - record.heard < PROMISE_DURATION_S
            if record.promised_until > now or is_recent or record.is_inherited:
                required.add(instance)
        return required

    def _get_first_end(self, now: float) -> float:
        return min(self._instances[i].promised_until for i in self._list_required(now))

    def _accept_report(self, record: _Instance, report: SlotReport) -> bool:
        self._subtract(record)
        accepted = record.account.accept_report(report.sent_at, report.uses)
        record.is_inherited = record.is_inherited and not accepted
        self._add(record)
        return accepted

    def _subtract(self, record: _Instance) -> None:
        _add_counts(self._committed, record.account.committed, -1)
        _add_counts(self._in_flight, record.account.in_flight, -1)
        _add_counts(self._wanted, record.account.wanted, -1)

    def _add(self, record: _Instance) -> None:
        _add_counts(self._committed, record.account.committed, 1)
        _add_counts(self._in_flight, record.account.in_flight, 1)
        _add_counts(self._wanted, record.account.wanted, 1)

    def _restore_caps(self, targets: Mapping[TargetId, TargetState], now: float) -> None:
        """Continues from the lowest cap that the promises report, or from 1 if none does."""
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

    def _assess(self, now: float) -> _Situation:
        return _Situation(
            required=len(self._list_required(now)),
            unknown=max(0, self._max_instances - len(self._instances)),
            unpromised=[r for r in self._instances.values() if r.promised_until <= now],
            is_new=now - self._held_since < SILENCE_TIMEOUT_S,
        )

    def _compute_share(
        self, record: _Instance, state: TargetState, cap: int, situation: _Situation
    ) -> int:
        """Returns the slots of one instance: at most what the others, known or not, leave."""
        key = (state.target, state.incarnation)
        committed = self._committed.get(key, 0)
        reserved = self._count_reserved(key, cap // self._max_instances, situation)
        reserved += self._count_unexplained(state, situation.is_new)
        fair = compute_fair_share(
            cap - reserved,
            record.account.wanted.get(state.target, 0),
            self._wanted.get(state.target, 0),
            situation.required,
        )
        others = committed - record.account.committed.get(key, 0)
        return max(0, min(cap - reserved - others, fair))

    def _count_unexplained(self, state: TargetState, is_new: bool) -> int:
        """Returns the load that no report explains, for example of an instance not known here.

        The target's own count lags, so it is compared with what may be in flight. A new holder
        compares it with what is known to be in flight, until earlier requests have mostly ended.
        """
        key = (state.target, state.incarnation)
        explained = (self._in_flight if is_new else self._committed).get(key, 0)
        return max(0, state.running + state.waiting - explained)

    def _count_reserved(self, key: SlotKey, floor: int, situation: _Situation) -> int:
        """Returns the floor shares of the instances that have not promised."""
        if floor == 0:
            return 0
        reserved = floor * situation.unknown
        for record in situation.unpromised:
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
