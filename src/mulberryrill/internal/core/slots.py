"""Slots: leases that limit how many requests each instance may run on each target.

One instance of the data centre, the holder, divides each target's concurrency cap among the
instances, and an instance divides its grant among its gateways. These rules keep the sum within
the cap:

* The holder grants slots only while every instance that may use slots has promised to use only its
  grants, and a grant ends before the first of these promises does.
* The side that relies on a lease counts its duration from an earlier moment than the side that
  issued it, and so stops first. The holder counts a promise from when it sent the request, the
  instance from when the request arrived. The instance counts a grant from when it sent the report,
  the holder from when it sent the grant.
* Granted slots count as used until a later report shows what was really started (``allotments``).
* A promise request names all instances that the holder's grants may reach, and the promise passes
  these on to the next holder. So the member lists need only one common member that keeps running:
  a new holder waits for the reports of instances missing from its own list, or until their requests
  have ended.

Reports carry the holder's time: ``sent_at`` is the time at which the promised request was sent plus
the time since its arrival. It is never later than the holder's clock was when the report was sent,
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

# Validity of a grant, counted from the report to which it replies.
GRANT_DURATION_S = 2.0
# Shorter for gateways, because slots move between them only when their grants end.
GATEWAY_GRANT_DURATION_S = 1.0
# How long an instance promises to use only one holder's grants. Longer than a grant, so that all
# grants have ended before another holder can start.
PROMISE_DURATION_S = 3.0
PROMISE_RENEWAL_INTERVAL_S = 0.5
# Without a grant, an instance uses its floor share, an equal part of the last known cap, this long
# after its last promise has ended. A promise whose request was sent before that end cannot be in
# force any more once floor shares are used.
INSTANCE_FLOOR_DELAY_S = PROMISE_DURATION_S
# A gateway or instance that is silent for longer counts as failed; its connections are closed.
SILENCE_TIMEOUT_S = 10.0
# A gateway that receives nothing from its control process uses its floor share after this time. By
# then the control process, if it runs, has removed the gateway, and until its removal the gateway
# did not prevent a promise.
GATEWAY_FLOOR_DELAY_S = SILENCE_TIMEOUT_S + PROMISE_DURATION_S + 2.0
# Processes act several times a second. After a longer gap a process was paused, and messages that
# it has not read yet may supersede its state.
PAUSE_THRESHOLD_S = 1.0
# ``sent_at`` of a report without a promise, which only makes the sender known to the holder.
UNPROMISED_SENT_AT = 0.0


@dataclass
class _Usage:
    """Counts of one gateway's requests to one incarnation of a target."""

    in_flight: int = 0
    completions: int = 0
    failures: int = 0


class GatewaySlots:
    """Slots of one gateway; requests in flight count against its grant.

    The control process computes the floor shares, the caps divided by ``max_instances``.
    """

    def __init__(self, max_instances: int) -> None:
        # Incarnations in the order of their first use.
        self._uses: dict[TargetId, dict[Incarnation, _Usage]] = {}
        self._grants: SlotCounts = {}
        self._valid_until = float("-inf")
        self._floors: SlotCounts = {}
        self._floors_from = 0.0
        self._reported_at = float("-inf")

    def apply_update(self, grant: GrantUpdate) -> None:
        """Replaces the grant and the floor shares, each only by a later one."""
        if grant.floors_from > self._floors_from:
            self._floors_from = grant.floors_from
            self._floors = _read_slots(grant.floors)
        if grant.valid_until <= self._valid_until:
            return
        self._valid_until = grant.valid_until
        self._grants = _read_slots(grant.grants)

    def count_free(self, target: TargetState, now: float) -> int:
        """Returns how many more requests may be started on the target now."""
        granted = self._get_usable_slots(now).get((target.target, target.incarnation), 0)
        use = self._uses.get(target.target, {}).get(target.incarnation)
        return max(0, granted - (use.in_flight if use is not None else 0))

    def acquire(self, target: TargetState, now: float) -> bool:
        """Acquires a slot if one is free; the caller must ``release`` each acquired slot."""
        if self.count_free(target, now) <= 0:
            return False
        uses = self._uses.setdefault(target.target, {})
        uses.setdefault(target.incarnation, _Usage()).in_flight += 1
        return True

    def release(self, target: TargetId, succeeded: bool) -> None:
        """Returns a slot; ``succeeded`` is false if the target rejected or reset the call.

        After a restart, requests to the old incarnation may end at any time. Each end is counted
        for the oldest incarnation in use, so that the newest one's count is never too low.
        """
        uses = [use for use in self._uses.get(target, {}).values() if use.in_flight > 0]
        if not uses:
            return
        uses[0].in_flight -= 1
        if succeeded:
            uses[0].completions += 1
        else:
            # Any of the incarnations may have failed; counting too many only lowers the cap.
            for use in uses:
                use.failures += 1

    def drop_grants(self, target: TargetId) -> None:
        """Discards the slots of a target that restarted or refused a connection."""
        for slots in (self._grants, self._floors):
            for key in [key for key in slots if key[0] == target]:
                del slots[key]

    def build_report(
        self, gateway: GatewayId, demand: Mapping[TargetId, int], now: float
    ) -> GatewayReport:
        """Returns the report for the control process and resets the counts of results."""
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
        self._remove_idle_uses()
        return report

    def _get_usable_slots(self, now: float) -> SlotCounts:
        if now < self._valid_until:
            return self._grants
        was_paused = now - self._reported_at > PAUSE_THRESHOLD_S
        if self._floors_from == 0 or now < self._floors_from or was_paused:
            return {}
        return self._floors

    def _remove_idle_uses(self) -> None:
        for target in list(self._uses):
            uses = self._uses[target]
            for incarnation in [i for i, use in uses.items() if use.in_flight == 0]:
                del uses[incarnation]
            if not uses:
                del self._uses[target]


@dataclass
class _Gateway:
    """State of a gateway as known to its control process."""

    account: GranteeAccount
    received_at: float
    # End of the last grant; the gateway ignores a grant that does not end later.
    granted_until: float = 0.0
    # Time from which it may use its floor share, from its last report; 0 if it has none.
    floors_from: float = 0.0


class SlotClient:
    """Takes part in the slot protocol for one instance and divides its grant among gateways."""

    def __init__(self, instance: InstanceId, max_instances: int, now: float) -> None:
        self._instance = instance
        self._max_instances = max_instances
        self._started_at = now
        self._last_call_at = now
        self._gateways: dict[GatewayId, _Gateway] = {}
        # An earlier run of this process may have made a promise just before this one started.
        self._holder: InstanceId | None = None
        self._promised_until = now + PROMISE_DURATION_S
        # This clock minus the holder's: the smallest value seen, which includes some message delay
        # and is therefore never too small.
        self._clock_offset = 0.0
        # Reports sent since the promises have been without a gap, from ``sent_at`` to this clock's
        # time. Grants for older reports are invalid: the current offset cannot convert their dates.
        self._sent_reports: dict[float, float] = {}
        # Instances that may have received grants of this or an earlier holder, and when they were
        # last heard of.
        self._participants: dict[InstanceId, float] = {}
        self._grant: SlotCounts = {}
        self._grant_until = float("-inf")
        self._caps: dict[TargetId, TargetCap] = {}
        self._results: dict[SlotKey, _Usage] = {}

    def get_holder(self, now: float) -> InstanceId | None:
        """Returns the holder that this instance has promised to, or None after the promise."""
        return self._holder if now < self._promised_until else None

    def on_gateway_report(self, report: GatewayReport, now: float) -> None:
        """Applies a gateway's report and adds up its results; ignores an outdated one."""
        self._detect_pause(now)
        gateway = self._gateways.setdefault(
            GatewayId(report.gateway), _Gateway(GranteeAccount(), now)
        )
        if not gateway.account.accept_report(report.sent_at, report.uses):
            return
        gateway.received_at = now
        gateway.floors_from = report.floors_from
        for use in report.uses:
            key = (TargetId(use.target), Incarnation(use.incarnation))
            if use.completions or use.failures:
                results = self._results.setdefault(key, _Usage())
                results.completions += use.completions
                results.failures += use.failures
            if use.failures:
                # A target that failed may be cold, so it gets no floor share.
                self._caps.pop(key[0], None)

    def build_report(self, now: float) -> SlotReport:
        """Returns the report for the holder and resets the counts of results.

        Without a promise the report is empty and only makes this instance known to the holder.
        """
        self._remove_silent_gateways(now)
        if self.get_holder(now) is None:
            return SlotReport(instance=self._instance, sent_at=UNPROMISED_SENT_AT)
        report = SlotReport(instance=self._instance, sent_at=now - self._clock_offset)
        self._sent_reports = {
            s: t for s, t in self._sent_reports.items() if now - t < GRANT_DURATION_S
        }
        self._sent_reports[report.sent_at] = now
        uses: dict[SlotKey, TargetUse] = {}
        for gateway in self._gateways.values():
            for key, count in gateway.account.bound_in_flight(now).items():
                _get_or_add_use(uses, key).in_flight += count
            for target, wanted in gateway.account.wanted.items():
                running = sum(n for k, n in gateway.account.in_flight.items() if k[0] == target)
                if wanted > running:
                    _get_or_add_use(uses, (target, Incarnation(""))).demand += wanted - running
        for key, results in self._results.items():
            use = _get_or_add_use(uses, key)
            use.completions, use.failures = results.completions, results.failures
        self._results.clear()
        report.uses.extend(uses[key] for key in sorted(uses))
        return report

    def on_grant(self, grant: SlotGrant, now: float) -> None:
        """Applies a grant of the promised holder, valid from when its report was sent."""
        local_sent_at = self._sent_reports.get(grant.report_sent_at)
        if local_sent_at is None or grant.holder != self.get_holder(now):
            return
        until = local_sent_at + grant.duration_ms / 1000.0
        if until <= self._grant_until:
            return
        self._grant = _read_slots(grant.grants)
        self._grant_until = until
        for cap in grant.caps:
            self._caps[TargetId(cap.target)] = cap

    def on_promise_request(self, request: SlotPromiseRequest, now: float) -> SlotPromise:
        """Makes or renews the promise; refuses any other holder until it has ended."""
        self._detect_pause(now)
        holder = InstanceId(request.holder)
        is_renewal = holder == self.get_holder(now)
        is_promised_to_other = not is_renewal and now < self._promised_until
        refused = (
            is_promised_to_other
            or not self._is_gateway_use_known()
            or not self._are_floors_deferred(now)
        )
        if is_renewal and not refused:
            self._clock_offset = min(self._clock_offset, now - request.sent_at)
        elif not refused:
            self._clock_offset = now - request.sent_at
            self._sent_reports.clear()
            self._grant, self._grant_until = {}, float("-inf")
        if not refused:
            self._holder = holder
            self._promised_until = now + PROMISE_DURATION_S
            self._merge_participants(request, now)
        promise = SlotPromise(
            instance=self._instance,
            holder=holder,
            request_sent_at=request.sent_at,
            duration_ms=0 if refused else round(PROMISE_DURATION_S * 1000),
            refused=refused,
            caps=self._caps.values(),
        )
        named = {p.instance for p in request.participants}
        for instance, last_heard_at in self._participants.items():
            if instance not in named and now - last_heard_at < SILENCE_TIMEOUT_S:
                promise.participants.add(
                    instance=instance, silent_ms=int((now - last_heard_at) * 1000)
                )
        return promise

    def _merge_participants(self, request: SlotPromiseRequest, now: float) -> None:
        self._participants = {
            i: t for i, t in self._participants.items() if now - t < SILENCE_TIMEOUT_S
        }
        for participant in request.participants:
            instance = InstanceId(participant.instance)
            last_heard_at = now - participant.silent_ms / 1000.0
            self._participants[instance] = max(
                last_heard_at, self._participants.get(instance, last_heard_at)
            )

    def build_gateway_updates(self, now: float) -> list[GrantUpdate]:
        """Returns an update for each gateway and records the granted slots as allotments."""
        self._remove_silent_gateways(now)
        slots, until = self._get_usable_slots(now)
        until = min(until, now + GATEWAY_GRANT_DURATION_S)
        updates: list[GrantUpdate] = []
        for name, gateway in sorted(self._gateways.items()):
            update = GrantUpdate(gateway=name, floors_from=now + GATEWAY_FLOOR_DELAY_S)
            updates.append(update)
            for (target, incarnation), floor in self._compute_floors().items():
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

    def _get_usable_slots(self, now: float) -> tuple[SlotCounts, float]:
        """Returns the usable slots, from a valid grant or the floor shares, and when they end."""
        if now < self._grant_until:
            return self._grant, self._grant_until
        if now < self._promised_until + INSTANCE_FLOOR_DELAY_S or not self._is_gateway_use_known():
            return {}, float("-inf")
        return self._compute_floors(), float("inf")

    def _compute_floors(self) -> SlotCounts:
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

    def _is_gateway_use_known(self) -> bool:
        """Returns whether all gateways reported after the grants of an earlier run had ended."""
        ended = self._started_at + GATEWAY_GRANT_DURATION_S
        return all(g.account.reported_at >= ended for g in self._gateways.values())

    def _are_floors_deferred(self, now: float) -> bool:
        """Returns whether no gateway may use its floor share during a promise made now.

        The holder does not reserve floor shares for an instance that has promised.
        """
        ends = now + PROMISE_DURATION_S
        return all(g.floors_from == 0 or g.floors_from >= ends for g in self._gateways.values())

    def _detect_pause(self, now: float) -> None:
        """Restarts the gateways' silence timeouts after a pause, since this process was silent."""
        if now - self._last_call_at > PAUSE_THRESHOLD_S:
            for gateway in self._gateways.values():
                gateway.received_at = now
        self._last_call_at = now

    def _remove_silent_gateways(self, now: float) -> None:
        self._detect_pause(now)
        for name, gateway in list(self._gateways.items()):
            if now - gateway.received_at > SILENCE_TIMEOUT_S:
                del self._gateways[name]


def _read_slots(grants: Iterable[TargetGrant]) -> SlotCounts:
    return {(TargetId(g.target), Incarnation(g.incarnation)): g.slots for g in grants}


def _get_or_add_use(uses: dict[SlotKey, TargetUse], key: SlotKey) -> TargetUse:
    if key not in uses:
        uses[key] = TargetUse(target=key[0], incarnation=key[1])
    return uses[key]
