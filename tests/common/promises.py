"""Checks what callers and targets observe against the promises that entry processes make.

Checks run while faults are injected. Times are monotonic seconds of this process, which simulates
the callers, the targets and the store. Promises with a time bound hold only for instances that were
undisturbed for ``MIN_UNDISTURBED_S`` before; ``Disturbances`` records the times when they were not.
"""

import threading
import time
from collections import Counter, defaultdict, deque
from dataclasses import dataclass, field
from enum import Enum

# Bounds from the users' specification.
MIN_UNDISTURBED_S = 4.0
DRAIN_BOUND_S = 3.0
# The shortest bound of all deployments.
CONFIGURATION_BOUND_S = 2.0
RESPONSE_SLACK_S = 0.5
GRACE_S = 8.0
ORDER_LEASE_S = 3.0
COLD_PER_S, COLD_FACTOR, COLD_RESERVE = 10.0, 1.5, 5
# Calls to a target that names a limit, from instances that were told so LIMIT_TOLD_S before: in any
# window, from LIMIT_CONTACT_S after it was first named.
LIMIT_WINDOW_S, LIMIT_FACTOR, LIMIT_RESERVE = 4.0, 1.5, 5
LIMIT_CONTACT_S, LIMIT_TOLD_S = 3.0, 0.5
# A quiet time binds from QUIET_FROM_S after the response that asks for it.
QUIET_FROM_S, MAX_QUIET_CALLS = 0.5, 2
# Calls whose Deadline-Ms ends over DEADLINE_SLACK_S after their caller's own time are a violation
# only if there are more than MAX_LONG_DEADLINES, and more than this share of them and of the calls
# that were sent once more over DEADLINE_SLACK_S after the first time.
DEADLINE_SLACK_S, MAX_LONG_DEADLINES, MAX_LONG_SHARE = 0.5, 20, 0.2
# For a call that is not repeatable, these mean that it has not run and never will.
NOT_RUN_STATUSES = (408, 421, 429, 503)
# Late responses are a violation only if they are more than half of the undisturbed calls that
# reached their time limit, and only if there are at least this many such calls.
MIN_TIMED_CALLS = 8
MAX_LOST_CALLS = 3


class CallKind(Enum):
    """Kinds of calls that callers make."""

    GET = "get"
    PAY = "pay"
    STREAM = "stream"
    RESUMABLE = "resumable"

    @property
    def is_repeatable(self) -> bool:
        """Whether a call may run more than once."""
        return self in (CallKind.GET, CallKind.RESUMABLE)


@dataclass
class TargetRun:
    """One run of a call on a target."""

    target: str
    started_at: float
    stamp: str


@dataclass
class CallRecord:
    """A caller's request, its runs and its outcome."""

    request_id: str
    kind: CallKind
    instance: str
    sent_at: float
    timeout_s: float
    key: str
    runs: list[TargetRun] = field(default_factory=list)
    # When a target first got the call.
    arrived_at: float | None = None
    status: int | None = None
    ended_at: float | None = None


@dataclass(frozen=True)
class LastOrder:
    """The last order that a target received."""

    holder: str
    fence: int
    received_at: float


@dataclass
class TargetLimit:
    """The rate that a target names, in calls per second over all instances."""

    rate: float
    named_at: float
    # When each instance first passed on a response with the limit.
    told_at: dict[str, float] = field(default_factory=dict)
    # Calls of the last window from instances that had been told.
    arrivals: deque[tuple[float, CallRecord]] = field(default_factory=deque)


@dataclass
class QuietTime:
    """The time for which a target has asked an instance for no calls."""

    answered_at: float
    begins_at: float
    ends_at: float
    arrivals: int = 0


class Disturbances:
    """Records when faults or planned stops affect instances, targets and the store; thread-safe."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._active_counts: Counter[str] = Counter()
        self._intervals: dict[str, list[tuple[float, float]]] = defaultdict(list)
        self._started_at: dict[str, float] = {}

    def begin(self, name: str) -> None:
        """Starts a disturbance of ``name``; several may overlap."""
        with self._lock:
            if self._active_counts[name] == 0:
                self._started_at[name] = time.monotonic()
            self._active_counts[name] += 1

    def end(self, name: str) -> None:
        """Ends one disturbance of ``name``."""
        with self._lock:
            self._active_counts[name] -= 1
            if self._active_counts[name] == 0:
                self._intervals[name].append((self._started_at.pop(name), time.monotonic()))

    def is_undisturbed(
        self, name: str, start: float, end: float, margin_s: float = MIN_UNDISTURBED_S
    ) -> bool:
        """Returns whether nothing disturbed ``name`` between two times.

        The ``margin_s`` before ``start`` are checked as well.
        """
        with self._lock:
            if self._active_counts[name] and self._started_at[name] < end:
                return False
            start -= margin_s
            return not any(
                begin < end and start < finish for begin, finish in self._intervals[name]
            )


STORE = "store"


def get_unplanned_name(instance: str) -> str:
    """Returns the name under which disturbances other than planned stops are recorded."""
    return f"{instance} unplanned"


def get_process_name(instance: str) -> str:
    """Returns the name under which restarts and freezes of an instance are recorded, not cuts."""
    return f"{instance} process"


def get_link_name(target: str) -> str:
    """Returns the name under which disturbances of a target's connections are recorded."""
    return f"{target} link"


class PromiseChecker:
    """Receives observations from any thread and collects violations."""

    def __init__(self, disturbances: Disturbances) -> None:
        self.violations: list[str] = []
        self.counts: Counter[str] = Counter()
        self._disturbances = disturbances
        self._lock = threading.Lock()
        self._calls: dict[str, CallRecord] = {}
        self._draining_since: dict[str, float] = {}
        self._withdrawn_at: dict[str, float] = {}
        self._cold_until: dict[str, float] = {}
        self._orders: dict[str, LastOrder] = {}
        self._limits: dict[str, TargetLimit] = {}
        # Of each target and instance.
        self._quiet_times: dict[tuple[str, str], list[QuietTime]] = defaultdict(list)
        self._told_leaving_at: dict[tuple[str, str], float] = {}
        self._long_deadlines: list[str] = []
        self._late_repeat_count = 0
        self._lost_calls: list[str] = []
        self._recent_runs: dict[str, deque[float]] = defaultdict(deque)
        self._timed_call_count = 0
        self._late_calls: list[str] = []

    def record_call(self, call: CallRecord) -> None:
        """Records a request that a caller is about to send."""
        with self._lock:
            self._calls[call.request_id] = call

    def record_draining_target(self, target: str) -> None:
        """Records that the store has acknowledged a target's draining state."""
        with self._lock:
            self._draining_since[target] = time.monotonic()

    def record_withdrawn_key(self, key: str) -> None:
        """Records that the store has acknowledged a configuration without a key."""
        with self._lock:
            self._withdrawn_at[key] = time.monotonic()

    def record_cold_target(self, target: str, until: float) -> None:
        """Records that a target is cold until the given time."""
        with self._lock:
            self._cold_until[target] = until

    def record_limit(self, target: str, rate: float | None) -> None:
        """Records that a target names a limit in calls per second from now on, or none any more."""
        with self._lock:
            self._limits.pop(target, None)
            if rate is not None:
                self._limits[target] = TargetLimit(rate, time.monotonic())

    def record_told_limit(self, request_id: str, target: str) -> None:
        """Records that an instance has passed on a response in which a target names its limit."""
        with self._lock:
            limit = self._limits.get(target)
            if limit is not None:
                limit.told_at.setdefault(self._calls[request_id].instance, time.monotonic())

    def record_quiet_time(
        self, request_id: str, target: str, seconds: float, answered_at: float
    ) -> None:
        """Records that a target has asked the instance of a call for ``seconds`` without calls.

        ``answered_at`` is a time just before the response.
        """
        begins_at = time.monotonic() + QUIET_FROM_S
        with self._lock:
            call = self._calls.get(request_id)
            if call is not None:
                quiet = QuietTime(answered_at, begins_at, answered_at + seconds)
                self._quiet_times[target, call.instance].append(quiet)
                self.counts["quiet times"] += 1

    def record_told_leaving(self, request_id: str, target: str) -> None:
        """Records that an instance has passed on a response that says that a target leaves."""
        with self._lock:
            key = target, self._calls[request_id].instance
            if key not in self._told_leaving_at:
                self._told_leaving_at[key] = time.monotonic()
                self.counts["departures passed on"] += 1

    def record_arrival(self, request_id: str, target: str, deadline_ms: str | None) -> None:
        """Records and checks a call that a target gets, also if it rejects it.

        ``deadline_ms`` is the value of its ``Deadline-Ms``.
        """
        now = time.monotonic()
        with self._lock:
            call = self._calls.get(request_id)
            if call is None:
                return
            self.counts["arrivals"] += 1
            self._check_limit(call, target, now)
            self._check_quiet(call, target, now)
            self._check_leaving(call, target, now)
            self._check_deadline(call, target, deadline_ms, now)

    def record_order(self, target: str, holder: str, fence: int) -> None:
        """Records and checks an order that a target received."""
        now = time.monotonic()
        with self._lock:
            self.counts["orders"] += 1
            last, self._orders[target] = self._orders.get(target), LastOrder(holder, fence, now)
            if last is None:
                return
            if fence < last.fence or (fence == last.fence and holder != last.holder):
                self._add_violation(
                    "ONE", f"{target}: {holder} {fence} after {last.holder} {last.fence}"
                )
            if holder != last.holder and now - last.received_at < ORDER_LEASE_S:
                self._add_violation(
                    "ONE", f"{target}: {holder} {now - last.received_at:.2f} s after {last}"
                )

    def record_run(self, request_id: str, target: str, stamp: str, customer: str | None) -> None:
        """Records and checks a run that a target has started."""
        now = time.monotonic()
        with self._lock:
            self.counts["runs"] += 1
            call = self._calls.get(request_id)
            if call is None:
                self._add_violation("UNASKED", f"{target} runs {request_id}, which no caller sent")
                return
            call.runs.append(TargetRun(target, now, stamp))
            if customer != call.key.removeprefix("key-of-").split("/")[0]:
                self._add_violation("UNASKED", f"{request_id} runs for the customer {customer!r}")
            self._check_run_count(call)
            self._check_draining(call, target, now)
            self._check_cold(target, now)
            self._check_withdrawn(call, "ran")

    def record_response(
        self, request_id: str, status: int, stamp: str | None, matches_target: bool
    ) -> None:
        """Records and checks a complete response.

        ``matches_target`` tells whether its body is the one that the target sent.
        """
        now = time.monotonic()
        with self._lock:
            call = self._calls[request_id]
            call.status, call.ended_at = status, now
            self.counts[f"{call.kind.value} {status}"] += 1
            self._check_time(call, now)
            if not 100 <= status <= 599:
                self._add_violation("MIXED", f"{request_id} got the invalid status {status}")
            elif status < 300:
                stamps = {run.stamp for run in call.runs}
                if stamp not in stamps or not matches_target:
                    self._add_violation(
                        "MIXED", f"{request_id} got a wrong or partial response: {stamp}"
                    )
            elif status in (401, 404):
                self._check_denied(call)
            self._check_not_run(call)

    def record_disconnect(self, request_id: str) -> None:
        """Records and checks a connection that ended without a complete response."""
        now = time.monotonic()
        with self._lock:
            call = self._calls[request_id]
            call.ended_at = now
            self.counts[f"{call.kind.value} cut"] += 1
            self._check_time(call, now)
            self._check_lost(call, now)

    def check_whole_run(self) -> None:
        """Checks the rules that count calls over the whole run."""
        with self._lock:
            if len(self._lost_calls) > MAX_LOST_CALLS:
                self._add_violation(
                    "LOST", f"{len(self._lost_calls)} calls cut: {self._lost_calls[:5]}"
                )
            if (
                self._timed_call_count >= MIN_TIMED_CALLS
                and len(self._late_calls) > self._timed_call_count / 2
            ):
                self._add_violation(
                    "TIMEOUT",
                    f"{len(self._late_calls)} of {self._timed_call_count} late: "
                    f"{self._late_calls[:5]}",
                )
            count = len(self._long_deadlines)
            counted = count + self._late_repeat_count
            if count > MAX_LONG_DEADLINES and count > MAX_LONG_SHARE * counted:
                self._add_violation(
                    "BUDGET",
                    f"Deadline-Ms too long in {count} of {counted} calls: "
                    f"{self._long_deadlines[:5]}",
                )

    def add_violation(self, promise: str, message: str) -> None:
        """Adds a violation that the fault run itself has detected."""
        with self._lock:
            self._add_violation(promise, message)

    def is_undisturbed(self, call: CallRecord, end: float, *, needs_store: bool) -> bool:
        """Returns whether promises with a time bound apply to a call until ``end``."""
        names = [call.instance, STORE] if needs_store else [call.instance]
        return all(self._disturbances.is_undisturbed(name, call.sent_at, end) for name in names)

    def _add_violation(self, promise: str, message: str) -> None:
        self.violations.append(f"{promise}: {message}")

    def _check_run_count(self, call: CallRecord) -> None:
        if len(call.runs) > 1 and not call.kind.is_repeatable:
            self._add_violation(
                "TWICE", f"{call.request_id} ran on {[r.target for r in call.runs]}"
            )
        self._check_not_run(call)

    def _check_not_run(self, call: CallRecord) -> None:
        if call.runs and call.status in NOT_RUN_STATUSES and not call.kind.is_repeatable:
            self._add_violation("REFUSED", f"{call.request_id} got {call.status} and has run")

    def _check_draining(self, call: CallRecord, target: str, now: float) -> None:
        draining_since = self._draining_since.get(target)
        if draining_since is None or now < draining_since + DRAIN_BOUND_S:
            return
        if self.is_undisturbed(call, now, needs_store=True):
            late_s = now - draining_since
            self._add_violation(
                "DRAIN",
                f"{call.request_id} reached {target} {late_s:.2f} s after it began to drain",
            )

    def _check_limit(self, call: CallRecord, target: str, now: float) -> None:
        limit = self._limits.get(target)
        if limit is None:
            return
        if limit.told_at.get(call.instance, now) + LIMIT_TOLD_S <= now:
            limit.arrivals.append((now, call))
        while limit.arrivals and now - limit.arrivals[0][0] >= LIMIT_WINDOW_S:
            limit.arrivals.popleft()
        if now < limit.named_at + LIMIT_CONTACT_S:
            return
        count = sum(
            self._disturbances.is_undisturbed(other.instance, arrived_at, now)
            for arrived_at, other in limit.arrivals
        )
        if count > LIMIT_FACTOR * limit.rate * LIMIT_WINDOW_S + LIMIT_RESERVE:
            self._add_violation("LIMIT", f"{target} got {count} calls, limit {limit.rate:.1f}")

    def _is_calm(self, names: list[str], start: float, end: float) -> bool:
        """Returns whether nothing disturbed any name between two times, without a margin."""
        return all(self._disturbances.is_undisturbed(name, start, end, 0.0) for name in names)

    def _check_quiet(self, call: CallRecord, target: str, now: float) -> None:
        names = [call.instance, get_link_name(target)]
        key = target, call.instance
        self._quiet_times[key] = [quiet for quiet in self._quiet_times[key] if now < quiet.ends_at]
        for quiet in self._quiet_times[key]:
            if now < quiet.begins_at or not self._is_calm(names, quiet.answered_at, now):
                continue
            quiet.arrivals += 1
            if quiet.arrivals == MAX_QUIET_CALLS + 1:
                self._add_violation(
                    "BUDGET",
                    f"{call.request_id} is call {quiet.arrivals} from {call.instance} to {target}, "
                    f"{now - quiet.answered_at:.2f} s after it asked for "
                    f"{quiet.ends_at - quiet.answered_at:.2f} s of quiet",
                )

    def _check_leaving(self, call: CallRecord, target: str, now: float) -> None:
        told_at = self._told_leaving_at.get((target, call.instance))
        if told_at is None or call.sent_at <= told_at + DRAIN_BOUND_S:
            return
        if self._is_calm([get_process_name(call.instance)], told_at, now):
            self._add_violation(
                "DRAIN",
                f"{call.request_id} reached {target}, sent {call.sent_at - told_at:.2f} s after "
                f"{call.instance} had passed on that it leaves",
            )

    def _check_deadline(
        self, call: CallRecord, target: str, deadline_ms: str | None, now: float
    ) -> None:
        first_at = now if call.arrived_at is None else call.arrived_at
        call.arrived_at = first_at
        if deadline_ms is None or not deadline_ms.isdigit():
            self._add_violation("BUDGET", f"{call.request_id} has the deadline {deadline_ms}")
            return
        names = [get_process_name(call.instance), get_link_name(target)]
        if not self._is_calm(names, call.sent_at, now):
            return
        excess_s = now + int(deadline_ms) / 1000 - (call.sent_at + call.timeout_s)
        if excess_s > DEADLINE_SLACK_S:
            self._long_deadlines.append(f"{call.request_id} {excess_s:.2f} s")
        elif now > first_at + DEADLINE_SLACK_S:
            self._late_repeat_count += 1
            self.counts["late repeats"] += 1

    def _check_cold(self, target: str, now: float) -> None:
        if now > self._cold_until.get(target, 0.0):
            return
        recent = self._recent_runs[target]
        recent.append(now)
        while now - recent[0] >= 1.0:
            recent.popleft()
        if len(recent) > COLD_PER_S * COLD_FACTOR + COLD_RESERVE:
            self._add_violation("FAILBACK", f"cold {target} got {len(recent)} calls in a second")

    def _check_lost(self, call: CallRecord, now: float) -> None:
        """Checks that a stopping process drops no call that an undisturbed target runs."""
        names = [get_unplanned_name(call.instance), *(run.target for run in call.runs)]
        if not call.runs or not all(
            self._disturbances.is_undisturbed(name, call.sent_at, now) for name in names
        ):
            return
        self._lost_calls.append(call.request_id)
        if not self._disturbances.is_undisturbed(call.instance, call.sent_at, now):
            self._add_violation("LOST", f"{call.request_id} was cut by a planned stop")

    def _check_withdrawn(self, call: CallRecord, event: str) -> None:
        withdrawn_at = self._withdrawn_at.get(call.key)
        if withdrawn_at is None or call.sent_at < withdrawn_at + CONFIGURATION_BOUND_S:
            return
        if self.is_undisturbed(call, time.monotonic(), needs_store=True):
            late_s = call.sent_at - withdrawn_at
            self._add_violation(
                "CONFIG", f"{call.request_id} {event} {late_s:.2f} s after its key was withdrawn"
            )

    def _check_denied(self, call: CallRecord) -> None:
        if call.key not in self._withdrawn_at:
            self._add_violation("DENIED", f"{call.request_id} got {call.status} with a valid key")

    def _check_time(self, call: CallRecord, now: float) -> None:
        due = call.sent_at + call.timeout_s
        if now < due or not self.is_undisturbed(call, now, needs_store=False):
            return
        self._timed_call_count += 1
        if now > due + RESPONSE_SLACK_S:
            self._late_calls.append(f"{call.request_id} {now - due:.2f} s")
