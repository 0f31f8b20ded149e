"""Slots: how many requests each instance may run on each target of its data centre.

One instance of the data centre is the holder and divides each target's cap among the instances; an
instance divides its grant among its gateways. The rules that keep the sum within the cap:

* The holder acts only while every instance that may use slots has promised to it, and its grants
  end before the first of these promises does.
* A promise counts at the holder from when it sent the request and at the instance from when the
  request arrived. A grant counts at the instance from when it sent the report and at the holder
  from when it sent the grant. So the one who uses a right always stops first.
* Slots given away count until a later report shows what was really started (``allotments``).
* Each promise is informed of all instances that the holder's grants may reach, and tells the next
  holder of them. So lists need only one common member that keeps running, and a new holder waits
  for the reports of instances that its own list does not show, or until their requests have ended.

Reports are dated in the holder's time: ``sent_at`` is the time of the promised request plus the
time since its arrival. It is never later than the holder's clock was when the report was sent,
whatever the delay of the request, and shows under which promise the report was sent.
"""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
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
    TargetGrant,
    TargetUse,
)
from .allotments import Account, Allotment, SlotKey, Slots, compute_fair_share
from .messages import TargetState
from .rendezvous import choose_member
from .slowstart import SlowStart

# How long a grant is valid, from the report that it answers.
GRANT_S = 2.0
# A gateway's part of a grant is shorter, because slots move between gateways only when it ends.
GATEWAY_GRANT_S = 1.0
# How long an instance promises to use one holder's grants only. Longer than a grant, so that all
# grants have ended before another holder can start.
PROMISE_S = 3.0
PROMISE_RENEWAL_S = 0.5
# The floor share is used this long after the last promise has ended. A promise whose request was
# sent in this time cannot be in force any more once floor shares are used.
FLOOR_DELAY_S = PROMISE_S
# A gateway or instance that is silent for this long has failed, and its connections are closed.
SILENCE_S = 10.0
# A gateway that hears nothing from its control process uses its floor share after this time. By
# then the control process, if it runs, has forgotten the gateway, which held up no promise.
FLOOR_WAIT_S = SILENCE_S + PROMISE_S + 2.0
# Processes act several times a second; after a longer gap they were paused, and what they know may
# have been replaced by messages that they have not read yet.
PAUSE_S = 1.0
# Date of a report that is not sent under a promise; it only makes the sender known to the holder.
UNPROMISED = 0.0

KeyT = TypeVar("KeyT")


@dataclass
class _Use:
    """Requests of a gateway on one incarnation of a target."""

    in_flight: int = 0
    completions: int = 0
    failures: int = 0


class GatewaySlots:
    """The slots of one gateway. Requests in flight count against the grant.

    The floor shares come from the control process, which divides them by ``max_instances``.
    """

    def __init__(self, max_instances: int) -> None:
        # Incarnations are kept in the order in which they were first used.
        self._uses: dict[TargetId, dict[Incarnation, _Use]] = {}
        self._grants: Slots = {}
        self._valid_until = float("-inf")
        self._floors: Slots = {}
        self._floors_from = 0.0
        self._reported_at = float("-inf")

    def update(self, grant: GrantUpdate) -> None:
        """Replaces the grant; an update that ends no later than the current one is ignored."""
        if grant.floors_from > self._floors_from:
            self._floors_from = grant.floors_from
            self._floors = _read_slots(grant.floors)
        if grant.valid_until <= self._valid_until:
            return
        self._valid_until = grant.valid_until
        self._grants = _read_slots(grant.grants)

    def count_free(self, target: TargetState, now: float) -> int:
        """Returns how many requests may be started on the target now."""
        granted = self._get_usable(now).get((target.target, target.incarnation), 0)
        use = self._uses.get(target.target, {}).get(target.incarnation)
        return max(0, granted - (use.in_flight if use is not None else 0))

    def acquire(self, target: TargetState, now: float) -> bool:
        """Takes one slot if one is free; each success needs one ``release``."""
        if self.count_free(target, now) <= 0:
            return False
        uses = self._uses.setdefault(target.target, {})
        uses.setdefault(target.incarnation, _Use()).in_flight += 1
        return True

    def release(self, target: TargetId, succeeded: bool) -> None:
        """Returns one slot; ``succeeded`` is false if the target refused or reset the call.

        After a restart the ends of older requests come first or late, so an end is attributed to
        the oldest incarnation in use: the newest one is never counted too low.
        """
        uses = [use for use in self._uses.get(target, {}).values() if use.in_flight > 0]
        if not uses:
            return
        uses[0].in_flight -= 1
        if succeeded:
            uses[0].completions += 1
        else:
            # Either incarnation may have failed; a failure only makes the cap smaller.
            for use in uses:
                use.failures += 1

    def drop(self, target: TargetId) -> None:
        """Gives up the grant for a target that restarted or refused a connection."""
        for slots in (self._grants, self._floors):
            for key in [key for key in slots if key[0] == target]:
                del slots[key]

    def report(
        self, gateway: GatewayId, demand: Mapping[TargetId, int], now: float
    ) -> GatewayReport:
        """Returns the report for the control process; counts of results start again at 0."""
        if now - self._reported_at > PAUSE_S and self._floors_from > 0:
            self._floors_from = max(self._floors_from, now + FLOOR_WAIT_S)
        self._reported_at = now
        report = GatewayReport(gateway=gateway, sent_at=now, floors_from=self._floors_from)
        for target, uses in sorted(self._uses.items()):
            for incarnation, use in uses.items():
                report.uses.add(
                    target=target,
                    incarnation=incarnation,
                    in_flight=use.in_flight,
                    completions=use.completions,
                    failures=use.failures,
                )
                use.completions = use.failures = 0
        for target, waiting in sorted(demand.items()):
            if waiting > 0:
                report.uses.add(target=target, demand=waiting)
        self._forget_idle()
        return report

    def _get_usable(self, now: float) -> Slots:
        if now < self._valid_until:
            return self._grants
        was_paused = now - self._reported_at > PAUSE_S
        if self._floors_from == 0 or now < self._floors_from or was_paused:
            return {}
        return self._floors

    def _forget_idle(self) -> None:
        for target in list(self._uses):
            uses = self._uses[target]
            for incarnation in [i for i, use in uses.items() if use.in_flight == 0]:
                del uses[incarnation]
            if not uses:
                del self._uses[target]


@dataclass
class _Gateway:
    """A gateway as its control process knows it."""

    account: Account
    received: float
    # End of the last update, so that each later one ends later.
    granted_until: float = 0.0
    # Time from which it may use its floor share, as it confirmed it; 0: it has none.
    floors_from: float = 0.0


class SlotClient:
    """Speaks for the gateways of one instance: promises, reports, and divides the grant."""

    def __init__(self, instance: InstanceId, max_instances: int, now: float) -> None:
        self._instance = instance
        self._max_instances = max_instances
        self._started = now
        self._last_call = now
        self._gateways: dict[GatewayId, _Gateway] = {}
        # None until the first promise. An earlier run of this process may have promised just now.
        self._holder: InstanceId | None = None
        self._promised_until = now + PROMISE_S
        # Own time minus the holder's time, never too small: the smallest seen includes some delay.
        self._offset = 0.0
        # Reports sent since the promises have had no gap: date to own time. A grant that answers
        # an earlier one is not valid, and its date cannot be converted with the present offset.
        self._reports: dict[float, float] = {}
        # Instances that the holders' grants may have reached: when they were last heard of.
        self._participants: dict[InstanceId, float] = {}
        self._grant: Slots = {}
        self._grant_until = float("-inf")
        self._caps: dict[TargetId, TargetCap] = {}
        self._results: dict[SlotKey, _Use] = {}

    def get_holder(self, now: float) -> InstanceId | None:
        """Returns the holder that this instance has promised to, if the promise still lasts."""
        return self._holder if now < self._promised_until else None

    def on_gateway_report(self, report: GatewayReport, now: float) -> None:
        """Keeps the newest report of a gateway and adds up its results."""
        self._notice_pause(now)
        gateway = self._gateways.setdefault(GatewayId(report.gateway), _Gateway(Account(), now))
        if not gateway.account.accept_report(report.sent_at, report.uses):
            return
        gateway.received = now
        gateway.floors_from = report.floors_from
        for use in report.uses:
            key = (TargetId(use.target), Incarnation(use.incarnation))
            if use.completions or use.failures:
                results = self._results.setdefault(key, _Use())
                results.completions += use.completions
                results.failures += use.failures
            if use.failures:
                # A target that fails is not known to be warm, so it has no floor share.
                self._caps.pop(key[0], None)

    def build_report(self, now: float) -> SlotReport:
        """Returns the report for the holder; counts of results start again at 0.

        Before a promise the report carries no date and no use; it only asks to be included.
        """
        self._forget_gateways(now)
        if self.get_holder(now) is None:
            return SlotReport(instance=self._instance, sent_at=UNPROMISED)
        report = SlotReport(instance=self._instance, sent_at=now - self._offset)
        self._reports = {d: sent for d, sent in self._reports.items() if now - sent < GRANT_S}
        self._reports[report.sent_at] = now
        uses: dict[SlotKey, TargetUse] = {}
        for gateway in self._gateways.values():
            for key, count in gateway.account.list_left_behind(now).items():
                _get_use(uses, key).in_flight += count
            for target, wanted in gateway.account.wanted.items():
                running = sum(n for k, n in gateway.account.in_flight.items() if k[0] == target)
                if wanted > running:
                    _get_use(uses, (target, Incarnation(""))).demand += wanted - running
        for key, results in self._results.items():
            use = _get_use(uses, key)
            use.completions, use.failures = results.completions, results.failures
        self._results.clear()
        report.uses.extend(uses[key] for key in sorted(uses))
        return report

    def on_grant(self, grant: SlotGrant, now: float) -> None:
        """Takes a grant of the promised holder; it ends by this instance's clock."""
        sent = self._reports.get(grant.report_sent_at)
        if sent is None or grant.holder != self.get_holder(now):
            return
        until = sent + grant.duration_ms / 1000.0
        if until <= self._grant_until:
            return
        self._grant = _read_slots(grant.grants)
        self._grant_until = until
        for cap in grant.caps:
            self._caps[TargetId(cap.target)] = cap

    def on_promise_request(self, request: SlotPromiseRequest, now: float) -> SlotPromise:
        """Promises to one holder at a time; refuses another one until the promise has ended."""
        self._notice_pause(now)
        holder = InstanceId(request.holder)
        continued = holder == self.get_holder(now)
        is_taken = not continued and now < self._promised_until
        refused = is_taken or not self._knows_gateways() or not self._do_gateways_wait(now)
        if continued and not refused:
            self._offset = min(self._offset, now - request.sent_at)
        elif not refused:
            self._offset = now - request.sent_at
            self._reports.clear()
            self._grant, self._grant_until = {}, float("-inf")
        if not refused:
            self._holder = holder
            self._promised_until = now + PROMISE_S
            self._note_participants(request, now)
        promise = SlotPromise(
            instance=self._instance,
            holder=holder,
            request_sent_at=request.sent_at,
            duration_ms=0 if refused else round(PROMISE_S * 1000),
            refused=refused,
            caps=self._caps.values(),
        )
        named = {p.instance for p in request.participants}
        for instance, heard in self._participants.items():
            if instance not in named and now - heard < SILENCE_S:
                promise.participants.add(instance=instance, silent_ms=int((now - heard) * 1000))
        return promise

    def _note_participants(self, request: SlotPromiseRequest, now: float) -> None:
        self._participants = {i: t for i, t in self._participants.items() if now - t < SILENCE_S}
        for participant in request.participants:
            instance = InstanceId(participant.instance)
            heard = now - participant.silent_ms / 1000.0
            self._participants[instance] = max(heard, self._participants.get(instance, heard))

    def list_gateway_grants(self, now: float) -> list[GrantUpdate]:
        """Returns an update for each gateway."""
        self._forget_gateways(now)
        slots, until = self._get_usable(now)
        until = min(until, now + GATEWAY_GRANT_S)
        updates: list[GrantUpdate] = []
        for name, gateway in sorted(self._gateways.items()):
            update = GrantUpdate(gateway=name, floors_from=now + FLOOR_WAIT_S)
            updates.append(update)
            for (target, incarnation), floor in self._list_floors().items():
                share = floor // len(self._gateways)
                if share > 0:
                    update.floors.add(target=target, incarnation=incarnation, slots=share)
            if until <= max(now, gateway.granted_until):
                continue
            shares = {key: self._compute_share(gateway, key, total) for key, total in slots.items()}
            gateway.account.add(Allotment(until, shares))
            update.valid_until = gateway.granted_until = until
            for (target, incarnation), share in shares.items():
                update.grants.add(target=target, incarnation=incarnation, slots=share)
        return updates

    def _get_usable(self, now: float) -> tuple[Slots, float]:
        """Returns the slots of this instance and their end: a valid grant or the floor shares."""
        if now < self._grant_until:
            return self._grant, self._grant_until
        if now < self._promised_until + FLOOR_DELAY_S or not self._knows_gateways():
            return {}, float("-inf")
        return self._list_floors(), float("inf")

    def _list_floors(self) -> Slots:
        floors: Slots = {}
        for cap in self._caps.values():
            floor = cap.cap // self._max_instances
            if floor > 0:
                floors[(TargetId(cap.target), Incarnation(cap.incarnation))] = floor
        return floors

    def _compute_share(self, gateway: _Gateway, key: SlotKey, total: int) -> int:
        accounts = [g.account for g in self._gateways.values()]
        others = sum(a.committed.get(key, 0) for a in accounts if a is not gateway.account)
        wanted = gateway.account.wanted.get(key[0], 0)
        all_wanted = sum(a.wanted.get(key[0], 0) for a in accounts)
        fair = compute_fair_share(total, wanted, all_wanted, len(accounts))
        return max(0, min(total - others, fair))

    def _knows_gateways(self) -> bool:
        """A gateway may use what an earlier run of this process granted until that has ended."""
        ended = self._started + GATEWAY_GRANT_S
        return all(g.account.reported_at >= ended for g in self._gateways.values())

    def _do_gateways_wait(self, now: float) -> bool:
        """A gateway must not use its floor share, which the holder does not count, meanwhile."""
        ends = now + PROMISE_S
        return all(g.floors_from == 0 or g.floors_from >= ends for g in self._gateways.values())

    def _notice_pause(self, now: float) -> None:
        """After a pause it is this process that was silent, not its gateways."""
        if now - self._last_call > PAUSE_S:
            for gateway in self._gateways.values():
                gateway.received = now
        self._last_call = now

    def _forget_gateways(self, now: float) -> None:
        self._notice_pause(now)
        for name, gateway in list(self._gateways.items()):
            if now - gateway.received > SILENCE_S:
                del self._gateways[name]


class _Instance:
    """An instance as the holder knows it."""

    def __init__(self) -> None:
        self.account = Account()
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
        self._may_hold_from = now + list_lag_s + PROMISE_S
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
            or (now - record.heard < PROMISE_S and not record.is_inherited)
        )
        is_complete = named <= self._requests.get(self._last_request, frozenset())
        if is_complete and now - self._last_request < PROMISE_RENEWAL_S or now in self._requests:
            return []
        self._last_request = now
        self._requests = {s: p for s, p in self._requests.items() if now - s < PROMISE_S}
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
        duration_ms = int(1000 * min(GRANT_S, self._get_first_end(now) - now))
        grant = SlotGrant(
            holder=self._instance, report_sent_at=report.sent_at, duration_ms=duration_ms
        )
        slots: Slots = {}
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
            heard = now - participant.silent_ms / 1000.0 + PROMISE_S
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
            if instance not in self._listed and now - record.heard > SILENCE_S:
                self._subtract(record)
                del self._instances[instance]

    def _list_required(self, now: float) -> set[InstanceId]:
        """Returns the instances without whose promise this one does not act as holder.

        An unlisted one that stays silent after its promise has ended uses its floor share at most.
        """
        required = {self._instance, *self._listed}
        for instance, record in self._instances.items():
            is_recent = now - record.heard < PROMISE_S
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
            is_new=now - self._held_since < SILENCE_S,
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


def _read_slots(grants: Iterable[TargetGrant]) -> Slots:
    return {(TargetId(g.target), Incarnation(g.incarnation)): g.slots for g in grants}


def _get_use(uses: dict[SlotKey, TargetUse], key: SlotKey) -> TargetUse:
    if key not in uses:
        uses[key] = TargetUse(target=key[0], incarnation=key[1])
    return uses[key]
