"""Moves a service's calls to targets of a new software version while it proves itself.

Operators order a version for a service. Each instance decides by itself how many of its calls go to
the new version, inside a budget that holds over all instances without any message: a share of the
calls that it has sent, and an equal part of a fixed number of calls for instances that were running
when the order was given. All instances judge the version from counts that they share; the store
holds what was decided. All calls move only once the store says so.

All times are boot time in seconds unless another unit is named.
"""

from collections import Counter
from collections.abc import Collection, Mapping
from dataclasses import dataclass, field, replace
from enum import Enum

from ...ids import InstanceId, ServiceName, SoftwareVersion, TargetId
from .versionevidence import CountKey, RouteCounts, Verdict, VersionEvidence

# Used part of the budget that operators allow, for calls that are counted late.
BUDGET_SHARE = 0.8
# The new version gets this part of the allowed share at first, and by chance this share of calls
# later, as far as the budget lasts: some versions are bad only under load.
START_SHARE = 0.5
LOAD_SHARE = 0.5
# Until so many calls at the new version are evaluated, it gets at most so many calls a second from
# all instances: what a window and its messages take must not bring 50 bad answers.
MIN_EVALUATED_CALLS = 30
MAX_UNEVALUATED_RATE = 30.0
# Parts of an order's time: when the first share ends; when all calls may move; when less proof is
# asked for; when an order ends whose version has not passed. Versions that are bad later are seen
# before all calls move, and streams on old targets have time to end.
LOAD_FROM = 0.3
FULL_FROM = 0.55
LATE_FROM = 0.7
GIVE_UP_FROM = 0.9
# Counts are compared in windows of this length.
WINDOW_S = 0.5
# An instance whose counts are older than this is not heard; nothing is promoted meanwhile.
MAX_COUNTS_AGE_S = 2.0
# All instances have had no call at old targets for this long before the order is done.
DRAINED_S = 0.5
# Instances that do not report directly have read that all calls move within this time: usually at
# once, and later if the instance that reads for their data centre has just fallen silent.
MOVE_NOTICE_S = 5.0
# The next instance in rank writes a decision if it is not in the store after this time.
RANK_DELAY_S = 1.0
# A route whose calls would give the new version fewer than this at the allowed share cannot pass.
MIN_PROOF_CALLS = 60
MS_PER_S = 1000


class RolloutState(Enum):
    """State of a rollout as the store names it."""

    RUNNING = "running"
    DONE = "done"
    ROLLED_BACK = "rolled_back"


class Stage(Enum):
    """How much may move; kept in the store."""

    TRIAL = "trial"
    FULL = "full"


class Step(Enum):
    """How many calls an instance gives the new version; the values are logged."""

    NONE = "no calls"
    START = "first share"
    LOAD = "every second call while the budget lasts"
    ALL = "all calls"


class IgnoredReason(Enum):
    """Why an order moves nothing; the values are logged."""

    UNKNOWN_SERVICE = "unknown service"
    BAD_DURATION = "duration is not a positive number of seconds"
    OTHER_ORDER = "another order of the service is running"
    HAS_ENDED = "a rollout of this version has ended already"
    SERVES_ALREADY = "all targets of the service have this version already"
    NO_TARGET = "no target of this version registered before the deadline"
    WITHDRAWN = "an order cannot be deleted; it goes on"


@dataclass(frozen=True)
class RolloutOrder:
    """An operator's order to move a service to a software version within ``duration_s`` seconds."""

    service: ServiceName
    version: SoftwareVersion
    duration_s: float


@dataclass(frozen=True)
class RolloutStatus:
    """The status that the store holds for a service."""

    state: RolloutState
    version: SoftwareVersion


@dataclass(frozen=True)
class RolloutMark:
    """How much may move, and the order, for instances that cannot read it any more."""

    version: SoftwareVersion
    stage: Stage
    # When the order was given, in Unix milliseconds.
    ordered_ms: int
    duration_s: float


@dataclass(frozen=True)
class ExposureBounds:
    """What a bad version may get: a share of all calls, and a number of calls on top."""

    share: float
    slack: float


@dataclass(frozen=True)
class InstanceCounts:
    """What an instance has seen since an order: totals, so that the newest report is sufficient."""

    service: ServiceName
    version: SoftwareVersion
    # Start of the process in Unix milliseconds, and the number of its report.
    process: int
    number: int
    # Whether all its calls move, and its calls that run at old targets.
    is_moved: bool
    running_old: int
    calls: Mapping[CountKey, RouteCounts]


@dataclass(frozen=True)
class Decision:
    """What is to be written to the store, with the reason."""

    status: RolloutStatus | None
    mark: RolloutMark | None
    reason: str

    @property
    def kind(self) -> RolloutState | Stage | None:
        """The state or stage that is written."""
        if self.status is not None:
            return self.status.state
        return self.mark.stage if self.mark is not None else None


@dataclass
class _Report:
    counts: InstanceCounts
    received_at: float


@dataclass
class Rollout:
    """One order in force."""

    order: RolloutOrder
    # Boot time at which the order was given as far as known.
    ordered_at: float
    # Whether this process was running when the order was given.
    is_witness: bool
    # The versions that served before; None: it is not known, and all others count as old.
    old_versions: frozenset[SoftwareVersion] | None
    state: RolloutState | None = None
    mark: RolloutMark | None = None
    evidence: VersionEvidence = field(default_factory=VersionEvidence)
    has_target: bool = False
    # Calls that this instance has sent: those of the service, and those to the new version.
    sent_calls: int = 0
    sent_new: int = 0
    own_counts: dict[CountKey, RouteCounts] = field(default_factory=dict)
    reports: dict[InstanceId, _Report] = field(default_factory=dict)
    # The evidence that is sufficient for a rollback; it stays sufficient.
    verdict: Verdict | None = None
    # Whether half of the instances are heard. Bad answers that each of many instances sees for
    # itself would come to 50 before any of them had enough evidence.
    hears_most: bool = False
    # Whether the evidence keeps the share from growing, as of the last window.
    is_suspect: bool = False
    # Whether the first calls at the new version are evaluated, and all calls of the service.
    is_evaluated: bool = False
    calls_per_s: float = 0.0
    window_closed_at: float = 0.0
    moved_at: float | None = None
    drained_since: float | None = None
    wanted_since: tuple[RolloutState | Stage | None, float] | None = None

    @property
    def is_running(self) -> bool:
        """Whether the order has not ended."""
        return self.state in (None, RolloutState.RUNNING)

    @property
    def is_blocked(self) -> bool:
        """Whether the new version gets nothing."""
        return self.state is RolloutState.ROLLED_BACK or (
            self.state is not RolloutState.DONE and self.verdict is not None
        )

    @property
    def stage(self) -> Stage | None:
        """How much may move; None: nothing, until the store says that the order is running."""
        return self.mark.stage if self.mark is not None else None

    def is_old(self, version: SoftwareVersion) -> bool:
        """Whether a version served before the order."""
        if version == self.order.version:
            return False
        return self.old_versions is None or version in self.old_versions

    def is_in_force(self, now: float) -> bool:
        """Whether the order decides where calls go: it has not ended, or passed without effect."""
        return self.is_running and (self.state is not None or self.compute_progress(now) < 1)

    def compute_progress(self, now: float) -> float:
        """Returns the part of the order's time that is over."""
        return (now - self.ordered_at) / self.order.duration_s

    def has_moved(self, is_current: bool) -> bool:
        """Whether all calls of this instance go to the new version."""
        return (
            self.stage is Stage.FULL
            and is_current
            and not self.is_blocked
            and self.state is RolloutState.RUNNING
        )

    def may_use_new(
        self, fraction: float, bounds: ExposureBounds, instances: int, is_current: bool, now: float
    ) -> bool:
        """Whether a call goes to the new version; ``fraction`` is random, from 0 to 1."""
        step = self.find_step(is_current, now)
        if step in (Step.NONE, Step.ALL):
            return step is Step.ALL
        if self.sent_new + 1 > self.compute_budget(bounds, instances):
            return False
        share = START_SHARE * bounds.share if step is Step.START else max(LOAD_SHARE, bounds.share)
        if not self.is_evaluated:
            share = min(share, MAX_UNEVALUATED_RATE / max(self.calls_per_s, 1.0))
        return fraction < share

    def find_step(self, is_current: bool, now: float) -> Step:
        """Returns how many calls go to the new version; ``is_current``: the store is known."""
        if self.is_blocked or self.stage is None or self.state is not RolloutState.RUNNING:
            return Step.NONE
        if self.has_moved(is_current):
            return Step.ALL
        if not self.hears_most:
            return Step.NONE
        if not is_current or self.is_suspect or self.compute_progress(now) < LOAD_FROM:
            return Step.START
        return Step.LOAD

    def compute_budget(self, bounds: ExposureBounds, instances: int) -> float:
        """Returns the calls that this instance may have sent to the new version until now.

        The budgets of all instances together keep the bound whatever messages are lost: a process
        that started after the order does not know what its predecessor has used of the fixed part.
        """
        slack = bounds.slack / instances if self.is_witness and instances else 0.0
        return BUDGET_SHARE * (bounds.share * self.sent_calls + slack)

    def record_send(self, version: SoftwareVersion, is_first: bool) -> None:
        """Counts a call that is sent to a target; ``is_first``: for the first time."""
        self.sent_calls += is_first
        self.sent_new += version == self.order.version

    def record_unsent(self) -> None:
        """Takes a call out of the count that the budget is a share of: it reached no target."""
        self.sent_calls = max(0, self.sent_calls - 1)

    def record_outcome(
        self,
        route: str,
        target: TargetId,
        version: SoftwareVersion,
        *,
        is_bad: bool,
        is_slow: bool,
    ) -> None:
        """Counts an ended call of this instance."""
        if version == self.order.version:
            key = CountKey(route, target)
            count = RouteCounts(new_calls=1, new_bad=is_bad, new_slow=is_slow)
        elif self.is_old(version):
            key = CountKey(route, "")
            count = RouteCounts(old_calls=1, old_bad=is_bad, old_slow=is_slow)
        else:
            return
        self.own_counts.setdefault(key, RouteCounts()).add(count)

    def apply_report(self, instance: InstanceId, counts: InstanceCounts, now: float) -> None:
        """Adds what has come since the instance's last report; older reports are ignored."""
        if counts.version != self.order.version:
            return
        last = self.reports.get(instance)
        earlier: Mapping[CountKey, RouteCounts] = {}
        if last is not None:
            key = (counts.process, counts.number)
            if key <= (last.counts.process, last.counts.number):
                return
            if last.counts.process == counts.process:
                earlier = last.counts.calls
        self.reports[instance] = _Report(counts, now)
        none = RouteCounts()
        ended = {key: count.subtract(earlier.get(key, none)) for key, count in counts.calls.items()}
        if last is None and not self.is_witness:
            # The share was another one at times before this instance started, so these calls
            # cannot be compared as if they were of one window.
            self.evidence.add_earlier(ended)
        else:
            self.evidence.add(ended)

    def judge(self, now: float) -> Verdict | None:
        """Evaluates the counts; returns the evidence if it has just become sufficient."""
        if now - self.window_closed_at < WINDOW_S or not self.is_running:
            return None
        before, elapsed_s = self.evidence.sum_calls(), now - self.window_closed_at
        self.window_closed_at = now
        self.evidence.close_window()
        total = self.evidence.sum_calls()
        ended = total.subtract(before)
        self.calls_per_s = (ended.old_calls + ended.new_calls) / elapsed_s
        self.is_evaluated = total.new_calls >= MIN_EVALUATED_CALLS
        worst = self.evidence.find_worst()
        self.is_suspect = worst is not None and worst.is_suspect
        if worst is None or not worst.is_bad or self.verdict is not None:
            return None
        self.verdict = worst
        return worst

    def describe_evidence(self) -> str | None:
        """Returns the strongest evidence against the version for logs; None: no call ended."""
        worst = self.verdict or self.evidence.find_worst()
        return worst.describe() if worst is not None else None

    def has_passed(self, bounds: ExposureBounds, progress: float) -> bool:
        """Whether the version has proved itself on all routes with enough calls to tell.

        A service with so few calls that a bad version may get all of them passes after a time.
        """
        if self.is_suspect:
            return False
        total = self.evidence.sum_calls()
        is_late = progress >= LATE_FROM
        if is_late and total.old_calls + total.new_calls <= bounds.slack:
            return True
        min_calls = MIN_PROOF_CALLS / max(bounds.share, 0.001)
        return self.evidence.has_passed(min_calls, is_late=is_late)

    def find_recent(self, instance: InstanceId, now: float) -> InstanceCounts | None:
        """Returns an instance's counts if it is heard."""
        report = self.reports.get(instance)
        if report is None or now - report.received_at > MAX_COUNTS_AGE_S:
            return None
        return report.counts

    def _list_recent(self, instances: Collection[InstanceId], now: float) -> list[InstanceCounts]:
        found = [self.find_recent(instance, now) for instance in instances]
        return [counts for counts in found if counts is not None]

    def _is_drained(
        self, instances: Collection[InstanceId], hears_all: bool, longest_call_s: float, now: float
    ) -> bool:
        """Whether all instances give the new version all calls, and no call runs at old targets.

        Without word from some, the time decides in which they have read that all calls move, and
        in which their longest call ends.
        """
        recent = self._list_recent(instances, now)
        is_clear = all(counts.is_moved and not counts.running_old for counts in recent)
        if not is_clear:
            self.drained_since = None
        elif self.drained_since is None:
            self.drained_since = now
        if self.drained_since is None or now - self.drained_since < DRAINED_S:
            return False
        moved_at = self.moved_at if self.moved_at is not None else now
        has_waited = now - moved_at >= MOVE_NOTICE_S + longest_call_s
        return (hears_all and len(recent) == len(instances)) or has_waited

    def decide(
        self,
        bounds: ExposureBounds,
        instances: Collection[InstanceId],
        hears_all: bool,
        longest_call_s: float,
        now: float,
        unix_ms: int,
    ) -> Decision | None:
        """Returns what is to be written to the store now, or None.

        ``instances`` report; ``hears_all``: there are no others.
        """
        version = self.order.version
        self.hears_most = 2 * len(self._list_recent(instances, now)) >= len(instances)
        if not self.is_running:
            return None
        if self.verdict is not None:
            reason = f"worse on route {self.verdict.route}: {self.verdict.kind} answers"
            return Decision(RolloutStatus(RolloutState.ROLLED_BACK, version), None, reason)
        progress = self.compute_progress(now)
        if self.state is None or self.mark is None:
            return self._decide_start(progress, now, unix_ms)
        if self.stage is Stage.FULL:
            if self._is_drained(instances, hears_all, longest_call_s, now):
                status = RolloutStatus(RolloutState.DONE, version)
                reason = "all calls have moved, and those at old targets have ended"
                return Decision(status, None, reason)
            return None
        if progress >= FULL_FROM and self.hears_most and self.has_passed(bounds, progress):
            mark = replace(self.mark, stage=Stage.FULL)
            return Decision(None, mark, "as good as the old version on all routes")
        if progress >= GIVE_UP_FROM:
            status = RolloutStatus(RolloutState.ROLLED_BACK, version)
            return Decision(status, None, "not proved in time")
        return None

    def _decide_start(self, progress: float, now: float, unix_ms: int) -> Decision | None:
        if self.state is None and (not self.has_target or progress >= GIVE_UP_FROM):
            return None
        version, duration_s = self.order.version, self.order.duration_s
        if self.state is None:
            status = RolloutStatus(RolloutState.RUNNING, version)
            return Decision(status, None, "targets of the version are registered")
        ordered_ms = unix_ms - round((now - self.ordered_at) * MS_PER_S)
        mark = RolloutMark(version, Stage.TRIAL, ordered_ms, duration_s)
        return Decision(None, mark, "the version gets its first calls")

    def is_due(self, decision: Decision, rank: int, now: float) -> bool:
        """Whether the instance of this rank writes a decision now: after those before it."""
        kind = decision.kind
        if self.wanted_since is None or self.wanted_since[0] is not kind:
            self.wanted_since = (kind, now)
        return now - self.wanted_since[1] >= rank * RANK_DELAY_S


class Rollouts:
    """The orders of all services, and the versions that get nothing any more."""

    def __init__(self) -> None:
        self._rollouts: dict[ServiceName, Rollout] = {}
        self._statuses: dict[ServiceName, RolloutStatus] = {}
        self._marks: dict[ServiceName, RolloutMark] = {}
        self._blocked: dict[ServiceName, set[SoftwareVersion]] = {}

    @property
    def has_orders(self) -> bool:
        """Whether any order is known."""
        return bool(self._rollouts)

    @property
    def rollouts(self) -> list[Rollout]:
        """All orders that are known, also those that have ended."""
        return list(self._rollouts.values())

    def get(self, service: ServiceName) -> Rollout | None:
        """Returns a service's order, or None."""
        return self._rollouts.get(service)

    def get_status(self, service: ServiceName) -> RolloutStatus | None:
        """Returns the status that the store holds for a service."""
        return self._statuses.get(service)

    def set_order(
        self,
        order: RolloutOrder,
        registered: Counter[SoftwareVersion],
        now: float,
        unix_ms: int,
        *,
        is_initial: bool,
    ) -> IgnoredReason | None:
        """Applies an order; returns why it is ignored, or None.

        ``is_initial``: it was found by the first read, so it may have been given long before.
        """
        if not 0 < order.duration_s < float("inf"):
            return IgnoredReason.BAD_DURATION
        current = self._rollouts.get(order.service)
        if current is not None and current.order == order and current.is_running:
            return None
        if current is not None and current.is_running:
            if not current.is_old(order.version) and order.version != current.order.version:
                self._blocked.setdefault(order.service, set()).add(order.version)
            return IgnoredReason.OTHER_ORDER
        status = self._statuses.get(order.service)
        has_ended = current is not None and current.order.version == order.version
        if status is not None and status.version == order.version:
            has_ended = has_ended or (status.state is not RolloutState.RUNNING and not is_initial)
        if has_ended:
            return IgnoredReason.HAS_ENDED
        if not is_initial and set(registered) == {order.version}:
            return IgnoredReason.SERVES_ALREADY
        self._blocked.get(order.service, set()).discard(order.version)
        old = frozenset(registered) - {order.version}
        rollout = Rollout(order, now, not is_initial, old if old and not is_initial else None)
        self._rollouts[order.service] = rollout
        self._apply_status(rollout)
        self._apply_mark(rollout, now, unix_ms)
        return None

    def set_status(self, service: ServiceName, status: RolloutStatus | None) -> None:
        """Applies the store's status; one that was deleted is written again."""
        if status is None:
            self._statuses.pop(service, None)
        else:
            self._statuses[service] = status
        rollout = self._rollouts.get(service)
        if rollout is not None:
            self._apply_status(rollout)

    def adopt_running(self, service: ServiceName, now: float, unix_ms: int) -> IgnoredReason | None:
        """Goes on with the rollout that the store says is running, in place of a later order.

        For an instance that started after a second order had replaced the record of the first one.
        Returns why the later order is ignored, or None if there is nothing to adopt.
        """
        status, mark = self._statuses.get(service), self._marks.get(service)
        rollout = self._rollouts.get(service)
        if status is None or mark is None or rollout is None or rollout.state is not None:
            return None
        is_other = status.version != rollout.order.version and status.version == mark.version
        if status.state is not RolloutState.RUNNING or not is_other or rollout.is_witness:
            return None
        order = RolloutOrder(service, mark.version, mark.duration_s)
        adopted = Rollout(order, now, False, None)
        self._rollouts[service] = adopted
        self._apply_status(adopted)
        self._apply_mark(adopted, now, unix_ms)
        return IgnoredReason.OTHER_ORDER

    def _apply_status(self, rollout: Rollout) -> None:
        status, version = self._statuses.get(rollout.order.service), rollout.order.version
        if status is None or status.version != version:
            return
        if status.state is RolloutState.ROLLED_BACK:
            self._blocked.setdefault(rollout.order.service, set()).add(version)
        if rollout.is_running:
            rollout.state = status.state

    def set_mark(
        self, service: ServiceName, mark: RolloutMark | None, now: float, unix_ms: int
    ) -> None:
        """Applies how much may move; a stage never goes back."""
        if mark is None:
            self._marks.pop(service, None)
            return
        self._marks[service] = mark
        rollout = self._rollouts.get(service)
        if rollout is not None:
            self._apply_mark(rollout, now, unix_ms)

    def _apply_mark(self, rollout: Rollout, now: float, unix_ms: int) -> None:
        mark = self._marks.get(rollout.order.service)
        if mark is None or mark.version != rollout.order.version:
            return
        if rollout.stage is Stage.FULL:
            return
        rollout.mark = mark
        if mark.stage is Stage.FULL:
            rollout.moved_at = now
        if not rollout.is_witness:
            rollout.ordered_at = now - max(0, unix_ms - mark.ordered_ms) / MS_PER_S

    def is_blocked(self, service: ServiceName, version: SoftwareVersion) -> bool:
        """Whether a version gets nothing: it is rolled back, or its order was ignored."""
        if version in self._blocked.get(service, ()):
            return True
        rollout = self._rollouts.get(service)
        return rollout is not None and rollout.order.version == version and rollout.is_blocked
