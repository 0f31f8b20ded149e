"""Chooses the software version that a call begins at while versions are rolled out.

Counts the outcomes of attempts by route and version, and shares them with the other instances.
Without an order nothing is counted but the calls that run at each version.
"""

import random
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Protocol

from ..core.serving.rollouts import (
    ExposureBounds,
    InstanceCounts,
    Rollout,
    Rollouts,
    RolloutState,
)
from ..core.serving.targettable import Target, TargetRun, TargetTable
from ..core.serving.versionevidence import COUNT_NAMES, CountKey, RouteCounts
from ..eventloop import EventLoop
from ..ids import InstanceId, ServiceName, SoftwareVersion
from ..schema.peers_pb2 import RolloutCounts as RolloutCountsMessage
from ..schema.settings_pb2 import EntryBounds
from .attempt import Attempt, Outcome
from .dialect import CallRequest

# What holds if the settings name no bounds.
DEFAULT_EXPOSURE_SHARE = 0.1
DEFAULT_EXPOSURE_SLACK = 50.0
DEFAULT_ROLLBACK_MS = 5000.0
# An instance whose statuses are older than this part of the time for a rollback gives the new
# version the least: another instance reads at 0.8 of it if the reader is silent.
MAX_STATUS_AGE_SHARE = 0.9
# Several answers that break off at one target within this time have one cause.
BREAK_INTERVAL_S = 0.5
# An answer is slow if it takes this multiple of the old version's usual time, and at least so long.
SLOW_FACTOR = 2.5
MIN_SLOW_S = 0.02
# The time of a model call is compared in proportion to its work: new engines have no cached parts,
# and prefill what old ones fetch. Rough figures suffice, as both versions are measured by them.
BASE_WORK_S = 0.05
PREFILL_S_PER_TOKEN = 1 / 40_000
OUTPUT_S_PER_TOKEN = 0.02
# Weight of the newest answer in the old version's usual time.
TIME_SMOOTHING_FACTOR = 0.05
# Peers are told of counts at this interval.
COUNTS_INTERVAL_S = 0.2
MIN_ERROR_STATUS = 500
MS_PER_S = 1000


class VersionState(Protocol):
    """What is needed from the state of this instance."""

    @property
    def rollouts(self) -> Rollouts:
        """The orders that are known."""
        ...

    @property
    def targets(self) -> TargetTable:
        """The registered targets."""
        ...

    @property
    def instances(self) -> tuple[InstanceId, ...]:
        """All live instances."""
        ...

    @property
    def has_peer_list(self) -> bool:
        """Whether the list of the live instances has been read."""
        ...

    @property
    def rollout_statuses_age_s(self) -> float | None:
        """Seconds since the rollouts' statuses were last found to be the newest; None: never."""
        ...


@dataclass
class _RouteTimes:
    """The old version's usual time on a route in proportion to the work, of own calls."""

    usual: float | None = None

    def is_slow(self, elapsed_s: float, work: float) -> bool:
        is_long = self.usual is not None and elapsed_s / work > SLOW_FACTOR * self.usual
        return is_long and elapsed_s > MIN_SLOW_S

    def record(self, elapsed_s: float, work: float) -> None:
        time = elapsed_s / work
        if self.usual is None:
            self.usual = time
        # A bounded step: single slow answers must not raise the usual time.
        self.usual += TIME_SMOOTHING_FACTOR * (min(time, SLOW_FACTOR * self.usual) - self.usual)


@dataclass
class _ServiceTraffic:
    running: Counter[SoftwareVersion] = field(default_factory=Counter)
    times: dict[str, _RouteTimes] = field(default_factory=dict)
    broke_at: dict[TargetRun, float] = field(default_factory=dict)


class VersionChoice:
    """Used on the event loop's thread only."""

    def __init__(
        self,
        loop: EventLoop,
        state: VersionState,
        instance: InstanceId,
        bounds: EntryBounds,
        get_random: Callable[[], float] = random.random,
    ) -> None:
        """``bounds`` may change later; ``get_random`` returns numbers from 0 to 1."""
        self._loop = loop
        self._state = state
        self._instance = instance
        self._bounds = bounds
        self._get_random = get_random
        self._process = round(loop.wall() * MS_PER_S)
        self._services: dict[ServiceName, _ServiceTraffic] = {}
        self._reported_at = float("-inf")
        self._report_number = 0

    @property
    def bounds(self) -> ExposureBounds:
        """What a bad version may get."""
        return ExposureBounds(
            self._bounds.expose_share or DEFAULT_EXPOSURE_SHARE,
            self._bounds.expose_slack or DEFAULT_EXPOSURE_SLACK,
        )

    @property
    def is_current(self) -> bool:
        """Whether what this instance knows of the store is recent."""
        age_s = self._state.rollout_statuses_age_s
        rollback_ms = self._bounds.rollback_ms or DEFAULT_ROLLBACK_MS
        return age_s is not None and age_s <= MAX_STATUS_AGE_SHARE * rollback_ms / MS_PER_S

    @property
    def is_counting(self) -> bool:
        """Whether any rollout is running."""
        return any(rollout.is_running for rollout in self._state.rollouts.rollouts)

    def list_allowed(
        self,
        service: ServiceName,
        targets: list[Target],
        *,
        is_bound: bool,
        is_repeat: bool,
    ) -> list[Target]:
        """Returns those of the targets at which a call may begin or go on.

        ``is_bound``: the call goes on with a stream, at the version that began it. ``is_repeat``:
        an attempt at the call has failed, so it does not go to a version on trial.
        """
        rollouts = self._state.rollouts
        rollout = rollouts.get(service)
        if rollout is None:
            return targets
        versions = {t.registration.software for t in targets}
        blocked = {version for version in versions if rollouts.is_blocked(service, version)}
        allowed = [t for t in targets if t.registration.software not in blocked]
        if is_bound:
            return allowed
        now, version = self._loop.boottime(), rollout.order.version
        if not rollout.is_in_force(now):
            return self._leave_out_ended(rollout, allowed)
        new = [t for t in allowed if t.registration.software == version]
        old = [t for t in allowed if rollout.is_old(t.registration.software)]
        if not self._has_old(rollout):
            return new
        has_moved = rollout.has_moved(self.is_current)
        if has_moved or (not is_repeat and self._may_use_new(rollout)):
            return new or old
        return old

    def _leave_out_ended(self, rollout: Rollout, targets: list[Target]) -> list[Target]:
        """Leaves out what the end of a rollout leaves no calls.

        Old targets stop when it is done, and their records go later. The version of an order that
        passed without effect is not evaluated.
        """
        version = rollout.order.version
        if rollout.state is None:
            return [t for t in targets if t.registration.software != version]
        registered = self._state.targets.count_versions(rollout.order.service)
        if rollout.state is not RolloutState.DONE or version not in registered:
            return targets
        return [t for t in targets if not rollout.is_old(t.registration.software)]

    def _may_use_new(self, rollout: Rollout) -> bool:
        # The budget is not divided among too few instances while they are not known.
        instances = len(self._state.instances) if self._state.has_peer_list else 0
        return rollout.may_use_new(
            self._get_random(), self.bounds, instances, self.is_current, self._loop.boottime()
        )

    def _has_old(self, rollout: Rollout) -> bool:
        """Whether any target of an old version may get calls: without one, the new one serves."""
        usable = self._state.targets.list_usable(rollout.order.service)
        return any(rollout.is_old(target.registration.software) for target in usable)

    def record_send(self, target: Target, *, is_first: bool) -> None:
        """Counts a call that is sent to a target; ``is_first``: for the first time."""
        service, version = target.registration.service, target.registration.software
        self._get_traffic(service).running[version] += 1
        rollout = self._state.rollouts.get(service)
        if rollout is not None and rollout.is_running:
            rollout.record_send(version, is_first)

    def record_outcome(self, call: CallRequest, attempt: Attempt, outcome: Outcome) -> None:
        """Counts the outcome of an attempt; to be called once for each that was sent."""
        route = call.route.name
        registration = attempt.plan.target.registration
        service, version = registration.service, registration.software
        traffic = self._get_traffic(service)
        traffic.running[version] -= 1
        if traffic.running[version] <= 0:
            del traffic.running[version]
        rollout = self._state.rollouts.get(service)
        if rollout is None or not rollout.is_running:
            return
        if outcome in (Outcome.NOT_SENT, Outcome.WITHDRAWN):
            rollout.record_unsent()
            return
        now = self._loop.now()
        elapsed_s, work = now - attempt.started_at, _estimate_work(call, attempt)
        times = traffic.times.setdefault(route, _RouteTimes())
        is_late = outcome is Outcome.CANCELLED and attempt.was_unanswered
        if outcome not in (Outcome.ANSWERED, Outcome.ERROR, Outcome.BROKEN) and not is_late:
            return  # It says nothing of the version, or it is not known how it would have ended.
        if outcome is Outcome.BROKEN and self._has_just_broken(traffic, registration.run, now):
            return
        is_bad = outcome is Outcome.BROKEN or _is_error(attempt, outcome)
        is_slow = is_late or (
            times.is_slow(elapsed_s, work) and not attempt.plan.target.is_cold(now) and not is_bad
        )
        if outcome is Outcome.ANSWERED and rollout.is_old(version):
            times.record(elapsed_s, work)
        rollout.record_outcome(route, registration.target, version, is_bad=is_bad, is_slow=is_slow)

    def _has_just_broken(self, traffic: _ServiceTraffic, run: TargetRun, now: float) -> bool:
        """Whether another answer of the target broke off a moment ago, for the same reason."""
        if now - traffic.broke_at.get(run, float("-inf")) < BREAK_INTERVAL_S:
            return True
        traffic.broke_at[run] = now
        return False

    def count_running_old(self, rollout: Rollout) -> int:
        """Returns this instance's calls that run at targets of old versions."""
        running = self._get_traffic(rollout.order.service).running
        return sum(count for version, count in running.items() if rollout.is_old(version))

    def collect_own_counts(self) -> list[InstanceCounts]:
        """Returns this instance's counts of the rollouts that run, and applies them here."""
        self._report_number += 1
        collected = []
        for rollout in self._state.rollouts.rollouts:
            if not rollout.is_running or rollout.state is None:
                continue
            counts = InstanceCounts(
                rollout.order.service,
                rollout.order.version,
                self._process,
                self._report_number,
                rollout.has_moved(self.is_current),
                self.count_running_old(rollout),
                {key: RouteCounts(**vars(count)) for key, count in rollout.own_counts.items()},
            )
            rollout.apply_report(self._instance, counts, self._loop.boottime())
            collected.append(counts)
        return collected

    def pop_reports(self, now: float) -> list[RolloutCountsMessage]:
        """Returns the counts of which peers are to be told now."""
        if not self._state.rollouts.has_orders or now - self._reported_at < COUNTS_INTERVAL_S:
            return []
        self._reported_at = now
        return [encode_counts(counts) for counts in self.collect_own_counts()]

    def list_relayed(self, instances: Iterable[InstanceId]) -> list[RolloutCountsMessage]:
        """Returns the recent counts of these instances, for those that do not get them directly."""
        now = self._loop.boottime()
        relayed = []
        for rollout in self._state.rollouts.rollouts:
            if not rollout.is_running:
                continue
            for instance in instances:
                counts = rollout.find_recent(instance, now)
                if counts is not None:
                    message = encode_counts(counts)
                    message.instance = instance
                    relayed.append(message)
        return relayed

    def apply_reports(self, instance: InstanceId, reports: Iterable[RolloutCountsMessage]) -> None:
        """Applies counts that a peer has sent; one without an instance is its own."""
        for report in reports:
            rollout = self._state.rollouts.get(ServiceName(report.service))
            if rollout is not None:
                counter = InstanceId(report.instance) if report.instance else instance
                rollout.apply_report(counter, decode_counts(report), self._loop.boottime())

    def compute_gauges(self) -> dict[str, float]:
        """Returns the number of rollouts that run, and their calls since the orders."""
        running = [r for r in self._state.rollouts.rollouts if r.is_running]
        return {
            "rollouts": len(running),
            "rollout_calls": sum(r.sent_calls for r in running),
            "rollout_new_version_calls": sum(r.sent_new for r in running),
        }

    def _get_traffic(self, service: ServiceName) -> _ServiceTraffic:
        return self._services.setdefault(service, _ServiceTraffic())


def _estimate_work(call: CallRequest, attempt: Attempt) -> float:
    """Returns the work of a model call in seconds of a usual engine; 1 for other calls."""
    cache = attempt.plan.cache
    if call.prompt is None or cache is None:
        return 1.0
    prefill_s = cache.prefill_tokens * PREFILL_S_PER_TOKEN
    return BASE_WORK_S + prefill_s + call.prompt.max_output_tokens * OUTPUT_S_PER_TOKEN


def _is_error(attempt: Attempt, outcome: Outcome) -> bool:
    is_server_error = attempt.response is not None and attempt.response.status >= MIN_ERROR_STATUS
    return outcome is Outcome.ERROR and is_server_error


def encode_counts(counts: InstanceCounts) -> RolloutCountsMessage:
    """Encodes an instance's counts."""
    message = RolloutCountsMessage(
        service=counts.service,
        version=counts.version,
        process=counts.process,
        number=counts.number,
        is_moved=counts.is_moved,
        running_old=counts.running_old,
    )
    for key, count in counts.calls.items():
        message.routes.add(route=key.route, target=key.target, **vars(count))
    return message


def decode_counts(message: RolloutCountsMessage) -> InstanceCounts:
    """Decodes an instance's counts."""
    return InstanceCounts(
        ServiceName(message.service),
        SoftwareVersion(message.version),
        message.process,
        message.number,
        message.is_moved,
        message.running_old,
        {
            CountKey(item.route, item.target): RouteCounts(
                **{name: getattr(item, name) for name in COUNT_NAMES}
            )
            for item in message.routes
        },
    )
