"""The targets of this data centre as a gateway uses them: slots, choice, and what failures say."""

import logging
import random
from collections import Counter
from collections.abc import Iterable
from dataclasses import replace

from ..clock import Clock
from ..core.messages import RoutingDecision, TargetState
from ..core.quarantine import Quarantine
from ..core.routing import Router
from ..core.slots import GatewaySlots
from ..core.snapshot import EntryMember, Snapshot
from ..events import Event
from ..ids import InstanceId, TargetId
from ..logs import log_event
from ..schema.wire_pb2 import Envelope, GatewayReport, GrantUpdate
from .attempts import Attempt, AttemptResult, ResultKind
from .call import Call, CallState
from .forwarding import has_usable_target, is_usable, list_forward_candidates
from .messages import SendMessage
from .options import GatewayOptions
from .suspects import CrashSuspects

# Slots end 2 s after the last grant. A gateway without its control process then sends repeatable
# calls to a sibling, instead of letting them wait until their deadline.
CONTROL_SILENCE_TIMEOUT_S = 2.0
# Time after which a target that failed this request may be tried again if no other is free.
SAME_TARGET_RETRY_DELAY_S = 0.2
# Results after which a target gets less load, because it refused or reset the call.
_FAILED = frozenset({ResultKind.REJECTED, ResultKind.REFUSED, ResultKind.BROKEN})
_LOST = frozenset({ResultKind.REFUSED, ResultKind.BROKEN})
_LOGGER = logging.getLogger(__name__)

CallGroup = tuple[str, str, str]


class TargetPool:
    """Runs on the relay loop's thread. Times are monotonic seconds."""

    def __init__(
        self,
        clock: Clock,
        options: GatewayOptions,
        router: Router,
        slots: GatewaySlots,
        quarantine: Quarantine,
        send: SendMessage,
    ) -> None:
        self._clock = clock
        self._options = options
        self._router = router
        self._slots = slots
        self._quarantine = quarantine
        self._send = send
        self._suspects = CrashSuspects(quarantine, send)
        self._random = random.Random(options.settings.seed)
        self._control_heard = clock.monotonic()
        self._full_groups: set[CallGroup] = set()
        self.snapshot = Snapshot()

    def apply_snapshot(self, snapshot: Snapshot, now: float) -> None:
        """Uses a new snapshot from now on."""
        self.snapshot = snapshot
        for entry in snapshot.quarantine:
            self._quarantine.merge_entry(entry)
        for target in snapshot.targets.values():
            self._suspects.on_target_state(target, now, self._read_wall_ms())

    def apply_grant(self, grant: GrantUpdate, now: float) -> None:
        """Uses new slots."""
        self._control_heard = now
        self._slots.apply_update(grant)

    def is_crash_suspect(self, call: Call, now: float) -> bool:
        """Tells whether the call is known or suspected to crash targets."""
        is_known = self._quarantine.is_quarantined(call.fingerprint, self._read_wall_ms())
        return is_known or self._suspects.is_blocked(call.fingerprint, now)

    def must_forward(self, call: Call, now: float) -> bool:
        """Tells whether the call cannot run in this data centre."""
        own = self._options.data_centre
        if own in self.snapshot.drained:
            return True
        if call.request.hops:
            return False
        # A call that must run once stays: this instance's control process refuses its claim, or,
        # if it is silent, the call is refused as not run.
        has_slots = not call.request.repeatable or not self._has_lost_control(now)
        if has_slots and has_usable_target(self.snapshot, own, call):
            return False
        return bool(self.list_forward_candidates(call, now))

    def list_forward_candidates(self, call: Call, now: float) -> list[EntryMember]:
        """Returns the gateways elsewhere that may run the call, best first."""
        options = self._options
        sibling_of = InstanceId(options.instance) if self._has_lost_control(now) else None
        return list_forward_candidates(
            self.snapshot, options.data_centre, call, self._random, sibling_of
        )

    def has_free_target(self, call: Call, now: float) -> bool:
        """Tells whether some target could take the call now.

        Starting calls only uses up slots, so a group of calls without a free target stays so until
        ``reset_full_groups``, and a long queue is not compared with every target again and again.
        """
        group = _get_group(call)
        if group in self._full_groups:
            return False
        if any(
            is_usable(target, call) and self._slots.count_free(target, now) > 0
            for target in self._list_own()
        ):
            return True
        self._full_groups.add(group)
        return False

    def reset_full_groups(self) -> None:
        """Lets ``has_free_target`` look at all targets again."""
        self._full_groups.clear()

    def choose(self, call: Call, now: float) -> RoutingDecision:
        """Returns the target for the call's next attempt; prefers those that have not failed it."""
        choice = self._choose(call, frozenset(call.tried_targets), now)
        is_due = now - call.last_failure_at >= SAME_TARGET_RETRY_DELAY_S
        if choice.target is None and call.tried_targets and is_due:
            return self._choose(call, frozenset(), now)
        return choice

    def acquire(self, call: Call, target: TargetState, now: float) -> bool:
        """Takes a slot for the call; False if none is free."""
        assert call.routing is not None
        if not self._slots.acquire(target, now):
            return False
        self._router.record_start(call.routing, target, now)
        return True

    def release_cancelled(self, attempt: Attempt, now: float) -> None:
        """Returns the slot of a cancelled attempt, which says nothing against the target."""
        self._release(attempt, True, now)

    def release(self, attempt: Attempt, result: AttemptResult, now: float) -> bool:
        """Returns the slot and draws conclusions; True if the target was lost or has restarted."""
        self._release(attempt, result.kind not in _FAILED, now)
        call, target, now_ms = attempt.call, attempt.target, self._read_wall_ms()
        has_restarted = attempt.incarnation != target.incarnation
        if result.kind is ResultKind.BROKEN and not call.progress.tokens:
            call.broken_attempts += 1
            self._suspects.add(call.fingerprint, target.target, attempt.incarnation, now)
        if result.kind is ResultKind.REFUSED:
            self._suspects.on_unreachable(target.target, now, now_ms)
        if has_restarted:
            seen = replace(target, incarnation=attempt.incarnation)
            self._suspects.on_target_state(seen, now, now_ms)
        if result.kind not in _LOST and not has_restarted:
            return False
        self._slots.drop_grants(target.target)
        reason = "restarted" if has_restarted else result.detail
        log_event(_LOGGER, logging.WARNING, Event.GATEWAY_TARGET_LOST, reason, target=target.target)
        return True

    def expire(self, now: float) -> None:
        """Drops suspects without evidence."""
        self._suspects.expire(now)

    def report(self, calls: Iterable[Call], now: float) -> None:
        """Reports use and demand to the control process."""
        report: GatewayReport = self._slots.build_report(
            self._options.gateway, self._count_demand(calls), now
        )
        self._send(Envelope(gateway_report=report))

    def _has_lost_control(self, now: float) -> bool:
        """Tells whether the control process is silent, so that the slots have ended."""
        return now - self._control_heard > CONTROL_SILENCE_TIMEOUT_S

    def _choose(self, call: Call, excluded: frozenset[TargetId], now: float) -> RoutingDecision:
        assert call.routing is not None
        return self._router.choose(
            replace(call.routing, excluded=excluded),
            self._list_own(),
            lambda target: self._slots.count_free(target, now),
            now,
        )

    def _release(self, attempt: Attempt, succeeded: bool, now: float) -> None:
        call, first = attempt.call, attempt.first_output_at
        assert call.routing is not None
        self._slots.release(attempt.target.target, succeeded)
        first_s = first - attempt.started_at if first is not None else None
        cached = call.progress.cached_tokens
        self._router.record_end(call.routing, attempt.target, cached, first_s, now)

    def _count_demand(self, calls: Iterable[Call]) -> dict[TargetId, int]:
        """Counts for each target here the calls that wait and that it could run."""
        waiting = [c for c in calls if c.state in (CallState.QUEUED, CallState.RETRYING)]
        groups = Counter(_get_group(call) for call in waiting)
        examples = {_get_group(call): call for call in waiting}
        demand: Counter[TargetId] = Counter()
        for target in self._list_own():
            for group, count in groups.items():
                if is_usable(target, examples[group]):
                    demand[target.target] += count
        return dict(demand)

    def _list_own(self) -> list[TargetState]:
        own = self._options.data_centre
        return [t for t in self.snapshot.targets.values() if t.data_centre == own]

    def _read_wall_ms(self) -> int:
        return round(self._clock.wall() * 1000)


def _get_group(call: Call) -> CallGroup:
    """Returns what decides which targets can run a call."""
    return (call.request.config.pool, call.request.model, call.request.version)
