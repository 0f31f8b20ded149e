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

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from ..ids import GatewayId, Incarnation, InstanceId, TargetId
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
from .allotments import Allotment, GranteeAccount, SlotCounts, SlotKey, compute_fair_share
from .messages import TargetState

# How long a grant is valid, from the report that it answers.
GRANT_DURATION_S = 2.0
# A gateway's part of a grant is shorter, because slots move between gateways only when it ends.
GATEWAY_GRANT_DURATION_S = 1.0
# How long an instance promises to use one holder's grants only. Longer than a grant, so that all
# grants have ended before another holder can start.
PROMISE_DURATION_S = 3.0
PROMISE_RENEWAL_INTERVAL_S = 0.5
# The floor share is used this long after the last promise has ended. A promise whose request was
# sent in this time cannot be in force any more once floor shares are used.
INSTANCE_FLOOR_DELAY_S = PROMISE_DURATION_S
# A gateway or instance that is silent for this long has failed, and its connections are closed.
SILENCE_TIMEOUT_S = 10.0
# A gateway that hears nothing from its control process uses its floor share after this time. By
# then the control process, if it runs, has forgotten the gateway, which held up no promise.
GATEWAY_FLOOR_DELAY_S = SILENCE_TIMEOUT_S + PROMISE_DURATION_S + 2.0
# Processes act several times a second; after a longer gap they were paused, and what they know may
# have been replaced by messages that they have not read yet.
PAUSE_THRESHOLD_S = 1.0
# Date of a report that is not sent under a promise; it only makes the sender known to the holder.
UNPROMISED_SENT_AT = 0.0


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
        self._grants: SlotCounts = {}
        self._valid_until = float("-inf")
        self._floors: SlotCounts = {}
        self._floors_from = 0.0
        self._reported_at = float("-inf")

    def apply_update(self, grant: GrantUpdate) -> None:
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

    def drop_grants(self, target: TargetId) -> None:
        """Gives up the grant for a target that restarted or refused a connection."""
        for slots in (self._grants, self._floors):
            for key in [key for key in slots if key[0] == target]:
                del slots[key]

    def build_report(
        self, gateway: GatewayId, demand: Mapping[TargetId, int], now: float
    ) -> GatewayReport:
        """Returns the report for the control process; counts of results start again at 0."""
        if now - self._reported_at > PAUSE_THRESHOLD_S and self._floors_from > 0:
            self._floors_from = max(self._floors_from, now + GATEWAY_FLOOR_DELAY_S)
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

    def _get_usable(self, now: float) -> SlotCounts:
        if now < self._valid_until:
            return self._grants
        was_paused = now - self._reported_at > PAUSE_THRESHOLD_S
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

    account: GranteeAccount
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
        self._promised_until = now + PROMISE_DURATION_S
        # Own time minus the holder's time, never too small: the smallest seen includes some delay.
        self._offset = 0.0
        # Reports sent since the promises have had no gap: date to own time. A grant that answers
        # an earlier one is not valid, and its date cannot be converted with the present offset.
        self._reports: dict[float, float] = {}
        # Instances that the holders' grants may have reached: when they were last heard of.
        self._participants: dict[InstanceId, float] = {}
        self._grant: SlotCounts = {}
        self._grant_until = float("-inf")
        self._caps: dict[TargetId, TargetCap] = {}
        self._results: dict[SlotKey, _Use] = {}

    def get_holder(self, now: float) -> InstanceId | None:
        """Returns the holder that this instance has promised to, if the promise still lasts."""
        return self._holder if now < self._promised_until else None

    def on_gateway_report(self, report: GatewayReport, now: float) -> None:
        """Keeps the newest report of a gateway and adds up its results."""
        self._notice_pause(now)
        gateway = self._gateways.setdefault(
            GatewayId(report.gateway), _Gateway(GranteeAccount(), now)
        )
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
            return SlotReport(instance=self._instance, sent_at=UNPROMISED_SENT_AT)
        report = SlotReport(instance=self._instance, sent_at=now - self._offset)
        self._reports = {
            d: sent for d, sent in self._reports.items() if now - sent < GRANT_DURATION_S
        }
        self._reports[report.sent_at] = now
        uses: dict[SlotKey, TargetUse] = {}
        for gateway in self._gateways.values():
            for key, count in gateway.account.bound_in_flight(now).items():
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
            self._promised_until = now + PROMISE_DURATION_S
            self._note_participants(request, now)
        promise = SlotPromise(
            instance=self._instance,
            holder=holder,
            request_sent_at=request.sent_at,
            duration_ms=0 if refused else round(PROMISE_DURATION_S * 1000),
            refused=refused,
            caps=self._caps.values(),
        )
        named = {p.instance for p in request.participants}
        for instance, heard in self._participants.items():
            if instance not in named and now - heard < SILENCE_TIMEOUT_S:
                promise.participants.add(instance=instance, silent_ms=int((now - heard) * 1000))
        return promise

    def _note_participants(self, request: SlotPromiseRequest, now: float) -> None:
        self._participants = {
            i: t for i, t in self._participants.items() if now - t < SILENCE_TIMEOUT_S
        }
        for participant in request.participants:
            instance = InstanceId(participant.instance)
            heard = now - participant.silent_ms / 1000.0
            self._participants[instance] = max(heard, self._participants.get(instance, heard))

    def build_gateway_updates(self, now: float) -> list[GrantUpdate]:
        """Returns an update for each gateway."""
        self._forget_gateways(now)
        slots, until = self._get_usable(now)
        until = min(until, now + GATEWAY_GRANT_DURATION_S)
        updates: list[GrantUpdate] = []
        for name, gateway in sorted(self._gateways.items()):
            update = GrantUpdate(gateway=name, floors_from=now + GATEWAY_FLOOR_DELAY_S)
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

    def _get_usable(self, now: float) -> tuple[SlotCounts, float]:
        """Returns the slots of this instance and their end: a valid grant or the floor shares."""
        if now < self._grant_until:
            return self._grant, self._grant_until
        if now < self._promised_until + INSTANCE_FLOOR_DELAY_S or not self._knows_gateways():
            return {}, float("-inf")
        return self._list_floors(), float("inf")

    def _list_floors(self) -> SlotCounts:
        floors: SlotCounts = {}
        for cap in self._caps.values():
            floor = cap.cap // self._max_instances
            if floor > 0:
                floors[(TargetId(cap.target), Incarnation(cap.incarnation))] = floor
        return floors

    def _compute_share(self, gateway: _Gateway, key: SlotKey, total: int) -> int:
        accounts = [g.account for g in self._gateways.values()]
        others = sum(a.committed.get(key, 0) for a in accounts if a is not gateway.account)
        wanted = gateway.account.wanted.get(key[0], 0)
        total_wanted = sum(a.wanted.get(key[0], 0) for a in accounts)
        fair = compute_fair_share(total, wanted, total_wanted, len(accounts))
        return max(0, min(total - others, fair))

    def _knows_gateways(self) -> bool:
        """A gateway may use what an earlier run of this process granted until that has ended."""
        ended = self._started + GATEWAY_GRANT_DURATION_S
        return all(g.account.reported_at >= ended for g in self._gateways.values())

    def _do_gateways_wait(self, now: float) -> bool:
        """A gateway must not use its floor share, which the holder does not count, meanwhile."""
        ends = now + PROMISE_DURATION_S
        return all(g.floors_from == 0 or g.floors_from >= ends for g in self._gateways.values())

    def _notice_pause(self, now: float) -> None:
        """After a pause it is this process that was silent, not its gateways."""
        if now - self._last_call > PAUSE_THRESHOLD_S:
            for gateway in self._gateways.values():
                gateway.received = now
        self._last_call = now

    def _forget_gateways(self, now: float) -> None:
        self._notice_pause(now)
        for name, gateway in list(self._gateways.items()):
            if now - gateway.received > SILENCE_TIMEOUT_S:
                del self._gateways[name]


def _read_slots(grants: Iterable[TargetGrant]) -> SlotCounts:
    return {(TargetId(g.target), Incarnation(g.incarnation)): g.slots for g in grants}


def _get_use(uses: dict[SlotKey, TargetUse], key: SlotKey) -> TargetUse:
    if key not in uses:
        uses[key] = TargetUse(target=key[0], incarnation=key[1])
    return uses[key]
