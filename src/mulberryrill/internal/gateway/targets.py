"""The local data centre's targets: slots, selection, and consequences of failed attempts."""

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

# Slots expire 2 s after the last grant. A gateway without its control process then forwards
# repeatable calls to other instances instead of keeping them until their deadline.
CONTROL_SILENCE_TIMEOUT_S = 2.0
# A target that failed a call is tried again after this time if no other is free.
SAME_TARGET_RETRY_DELAY_S = 0.2
# The target refused or reset the call, so it gets less load.
_FAILURE_KINDS = frozenset({ResultKind.REJECTED, ResultKind.REFUSED, ResultKind.BROKEN})
_LOST_KINDS = frozenset({ResultKind.REFUSED, ResultKind.BROKEN})
_LOGGER = logging.getLogger(__name__)

CallGroup = tuple[str, str, str]


class TargetPool:
    """The targets of a gateway. Runs on the relay loop's thread; times are monotonic seconds."""

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
        self._last_grant_at = clock.monotonic()
        self._full_groups: set[CallGroup] = set()
        self.snapshot = Snapshot()

    def apply_snapshot(self, snapshot: Snapshot, now: float) -> None:
        """Replaces the snapshot; merges its quarantine and checks crash suspects."""
        self.snapshot = snapshot
        for entry in snapshot.quarantine:
            self._quarantine.merge_entry(entry)
        for target in snapshot.targets.values():
            self._suspects.on_target_state(target, now, self._get_wall_ms())

    def apply_grant(self, grant: GrantUpdate, now: float) -> None:
        """Applies newly granted slots."""
        self._last_grant_at = now
        self._slots.apply_update(grant)

    def is_crash_suspect(self, call: Call, now: float) -> bool:
        """Returns whether the call is known or suspected to crash targets."""
        is_known = self._quarantine.is_quarantined(call.fingerprint, self._get_wall_ms())
        return is_known or self._suspects.is_blocked(call.fingerprint, now)

    def must_forward(self, call: Call, now: float) -> bool:
        """Returns whether to forward the call, because it cannot run in this data centre."""
        local_data_centre = self._options.data_centre
        if local_data_centre in self.snapshot.drained:
            return True
        if call.request.hops:
            return False
        # A call that must run at most once stays while the control process is silent: its claim is
        # refused, or gets no reply and the call fails as not run.
        has_slots = not call.request.repeatable or not self._is_control_silent(now)
        if has_slots and has_usable_target(self.snapshot, local_data_centre, call):
            return False
        return bool(self.list_forward_candidates(call, now))

    def list_forward_candidates(self, call: Call, now: float) -> list[EntryMember]:
        """Returns the other gateways that may run the call, best first."""
        options = self._options
        own_instance = InstanceId(options.instance) if self._is_control_silent(now) else None
        return list_forward_candidates(
            self.snapshot, options.data_centre, call, self._random, own_instance
        )

    def has_free_target(self, call: Call, now: float) -> bool:
        """Returns whether a target could take the call now.

        Starting calls only uses up slots, so a group of calls without a free target is not checked
        again until ``reset_full_groups``. This avoids comparing a long queue with every target.
        """
        group = _get_group(call)
        if group in self._full_groups:
            return False
        if any(
            is_usable(target, call) and self._slots.count_free(target, now) > 0
            for target in self._list_local_targets()
        ):
            return True
        self._full_groups.add(group)
        return False

    def reset_full_groups(self) -> None:
        """Makes ``has_free_target`` check all targets again."""
        self._full_groups.clear()

    def choose(self, call: Call, now: float) -> RoutingDecision:
        """Returns the target for the call's next attempt; prefers those that have not failed it."""
        decision = self._choose_target(call, frozenset(call.tried_targets), now)
        may_repeat_target = now - call.last_failure_at >= SAME_TARGET_RETRY_DELAY_S
        if decision.target is None and call.tried_targets and may_repeat_target:
            return self._choose_target(call, frozenset(), now)
        return decision

    def acquire(self, call: Call, target: TargetState, now: float) -> bool:
        """Acquires a slot for the call; False if none is free."""
        assert call.routing is not None
        if not self._slots.acquire(target, now):
            return False
        self._router.record_start(call.routing, target, now)
        return True

    def release_cancelled(self, attempt: Attempt, now: float) -> None:
        """Releases the slot of a cancelled attempt, which is no failure of the target."""
        self._release(attempt, True, now)

    def release(self, attempt: Attempt, result: AttemptResult, now: float) -> bool:
        """Releases the slot and records failures; True if the target was lost or has restarted."""
        self._release(attempt, result.kind not in _FAILURE_KINDS, now)
        call, target, now_unix_ms = attempt.call, attempt.target, self._get_wall_ms()
        has_restarted = attempt.incarnation != target.incarnation
        if result.kind is ResultKind.BROKEN and not call.progress.tokens:
            call.broken_attempts += 1
            self._suspects.add(call.fingerprint, target.target, attempt.incarnation, now)
        if result.kind is ResultKind.REFUSED:
            self._suspects.on_unreachable(target.target, now, now_unix_ms)
        if has_restarted:
            seen = replace(target, incarnation=attempt.incarnation)
            self._suspects.on_target_state(seen, now, now_unix_ms)
        if result.kind not in _LOST_KINDS and not has_restarted:
            return False
        self._slots.drop_grants(target.target)
        reason = "restarted" if has_restarted else result.detail
        log_event(_LOGGER, logging.WARNING, Event.GATEWAY_TARGET_LOST, reason, target=target.target)
        return True

    def expire(self, now: float) -> None:
        """Drops crash suspects without evidence."""
        self._suspects.expire(now)

    def report(self, calls: Iterable[Call], now: float) -> None:
        """Reports slots in use and demand to the control process."""
        report: GatewayReport = self._slots.build_report(
            self._options.gateway, self._count_demand(calls), now
        )
        self._send(Envelope(gateway_report=report))

    def _is_control_silent(self, now: float) -> bool:
        """Returns whether the last grant is so old that all slots have expired."""
        return now - self._last_grant_at > CONTROL_SILENCE_TIMEOUT_S

    def _choose_target(
        self, call: Call, excluded: frozenset[TargetId], now: float
    ) -> RoutingDecision:
        assert call.routing is not None
        return self._router.choose(
            replace(call.routing, excluded=excluded),
            self._list_local_targets(),
            lambda target: self._slots.count_free(target, now),
            now,
        )

    def _release(self, attempt: Attempt, succeeded: bool, now: float) -> None:
        call, begun_at = attempt.call, attempt.first_output_at
        assert call.routing is not None
        self._slots.release(attempt.target.target, succeeded)
        first_output_s = begun_at - attempt.started_at if begun_at is not None else None
        cached = call.progress.cached_tokens
        self._router.record_end(call.routing, attempt.target, cached, first_output_s, now)

    def _count_demand(self, calls: Iterable[Call]) -> dict[TargetId, int]:
        """Counts, for each local target, the waiting calls that it could run."""
        waiting = [c for c in calls if c.state in (CallState.QUEUED, CallState.RETRYING)]
        groups = Counter(_get_group(call) for call in waiting)
        examples = {_get_group(call): call for call in waiting}
        demand: Counter[TargetId] = Counter()
        for target in self._list_local_targets():
            for group, count in groups.items():
                if is_usable(target, examples[group]):
                    demand[target.target] += count
        return dict(demand)

    def _list_local_targets(self) -> list[TargetState]:
        local_data_centre = self._options.data_centre
        return [t for t in self.snapshot.targets.values() if t.data_centre == local_data_centre]

    def _get_wall_ms(self) -> int:
        return round(self._clock.wall() * 1000)


def _get_group(call: Call) -> CallGroup:
    """Returns pool, model and version, which determine the targets that can run a call."""
    return (call.request.config.pool, call.request.model, call.request.version)
