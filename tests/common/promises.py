"""What callers and targets of entry processes see, checked against the promises while it happens.

Times are monotonic seconds of this process, which plays the callers, the targets and the store.
Promises with a time bound hold only for instances that were undisturbed for ``MIN_UNDISTURBED_S``
before; ``Disturbances`` keeps when that was not so.
"""

import threading
import time
from collections import Counter, defaultdict, deque
from dataclasses import dataclass, field
from enum import Enum

# The users' bounds, from their sheets.
MIN_UNDISTURBED_S = 4.0
DRAIN_BOUND_S = 3.0
CONFIGURATION_BOUND_S = 3.0
ANSWER_SLACK_S = 0.5
GRACE_S = 8.0
ORDER_LEASE_S = 3.0
COLD_PER_S, COLD_FACTOR, COLD_RESERVE = 10.0, 1.5, 5
# A call that may not be repeated promises "not run, and never will be" with these.
NOT_RUN_STATUSES = (408, 421, 429, 503)
# Late answers break the promise only if they are more than half of those that were due.
MIN_TIMED_CALLS = 8
MAX_LOST = 3


class CallKind(Enum):
    """Kinds of calls that the run makes."""

    GET = "get"
    PAY = "pay"
    STREAM = "stream"
    RESUMABLE = "resumable"

    @property
    def is_repeatable(self) -> bool:
        """Whether a call may run more than once."""
        return self in (CallKind.GET, CallKind.RESUMABLE)


@dataclass
class Run:
    """A target began to work on a call."""

    target: str
    at: float
    stamp: str


@dataclass
class CallRecord:
    """One request of a caller and what became of it."""

    request_id: str
    kind: CallKind
    instance: str
    sent: float
    timeout_s: float
    key: str
    runs: list[Run] = field(default_factory=list)
    status: int | None = None
    ended: float | None = None


@dataclass(frozen=True)
class Order:
    """The last order that a target got."""

    holder: str
    fence: int
    at: float


class Disturbances:
    """When instances, targets and the store were disturbed; thread-safe."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._open: Counter[str] = Counter()
        self._spans: dict[str, list[tuple[float, float]]] = defaultdict(list)
        self._began: dict[str, float] = {}

    def begin(self, name: str) -> None:
        """Something is done to ``name`` from now on."""
        with self._lock:
            if self._open[name] == 0:
                self._began[name] = time.monotonic()
            self._open[name] += 1

    def end(self, name: str) -> None:
        """The disturbance is over; others of ``name`` may go on."""
        with self._lock:
            self._open[name] -= 1
            if self._open[name] == 0:
                self._spans[name].append((self._began.pop(name), time.monotonic()))

    def is_undisturbed(self, name: str, start: float, end: float) -> bool:
        """Whether no fault hit ``name`` from ``MIN_UNDISTURBED_S`` before ``start`` to ``end``."""
        with self._lock:
            if self._open[name] and self._began[name] < end:
                return False
            start -= MIN_UNDISTURBED_S
            return not any(begin < end and start < over for begin, over in self._spans[name])


STORE = "store"


def get_unplanned_name(instance: str) -> str:
    """Returns the name under which disturbances other than planned stops are kept."""
    return f"{instance} unplanned"


class PromiseChecker:
    """Takes what is seen, in any order of threads, and keeps the violations."""

    def __init__(self, disturbances: Disturbances) -> None:
        self.violations: list[str] = []
        self.counts: Counter[str] = Counter()
        self._disturbances = disturbances
        self._lock = threading.Lock()
        self._calls: dict[str, CallRecord] = {}
        self._leaving: dict[str, float] = {}
        self._withdrawn: dict[str, float] = {}
        self._cold: dict[str, float] = {}
        self._orders: dict[str, Order] = {}
        self._lost: list[str] = []
        self._recent_runs: dict[str, deque[float]] = defaultdict(deque)
        self._due = 0
        self._late: list[str] = []

    def record_call(self, call: CallRecord) -> None:
        """A caller is about to send a request."""
        with self._lock:
            self._calls[call.request_id] = call

    def record_draining_target(self, target: str) -> None:
        """The store has acknowledged that a target leaves."""
        with self._lock:
            self._leaving[target] = time.monotonic()

    def record_withdrawn_key(self, key: str) -> None:
        """The store has acknowledged a configuration without a key."""
        with self._lock:
            self._withdrawn[key] = time.monotonic()

    def record_cold_target(self, target: str, until: float) -> None:
        """A target is cold until a time."""
        with self._lock:
            self._cold[target] = until

    def record_order(self, target: str, holder: str, fence: int) -> None:
        """A target gets an order."""
        now = time.monotonic()
        with self._lock:
            self.counts["orders"] += 1
            last, self._orders[target] = self._orders.get(target), Order(holder, fence, now)
            if last is None:
                return
            if fence < last.fence or (fence == last.fence and holder != last.holder):
                self._violate("ONE", f"{target}: {holder} {fence} after {last.holder} {last.fence}")
            if holder != last.holder and now - last.at < ORDER_LEASE_S:
                self._violate("ONE", f"{target}: {holder} {now - last.at:.2f} s after {last}")

    def record_run(self, request_id: str, target: str, stamp: str, customer: str | None) -> None:
        """A target begins to work on a request."""
        now = time.monotonic()
        with self._lock:
            self.counts["runs"] += 1
            call = self._calls.get(request_id)
            if call is None:
                self._violate("UNASKED", f"{target} runs {request_id}, which no caller sent")
                return
            call.runs.append(Run(target, now, stamp))
            if customer != call.key.removeprefix("key-of-").split("/")[0]:
                self._violate("UNASKED", f"{request_id} runs for the customer {customer!r}")
            self._check_repeats(call)
            self._check_leaving(call, target, now)
            self._check_cold(target, now)
            self._check_withdrawn(call, "ran")

    def record_response(
        self, request_id: str, status: int, stamp: str | None, is_whole: bool
    ) -> None:
        """A caller has a complete answer; ``is_whole`` tells whether it is its target's."""
        now = time.monotonic()
        with self._lock:
            call = self._calls[request_id]
            call.status, call.ended = status, now
            self.counts[f"{call.kind.value} {status}"] += 1
            self._check_time(call, now)
            if status < 300:
                stamps = {run.stamp for run in call.runs}
                if stamp not in stamps or not is_whole:
                    self._violate("MIXED", f"{request_id} got a wrong or partial answer: {stamp}")
            elif status in (401, 404):
                self._check_denied(call)
            self._check_not_run(call)

    def record_disconnect(self, request_id: str) -> None:
        """A caller's connection ended without a complete answer."""
        now = time.monotonic()
        with self._lock:
            call = self._calls[request_id]
            call.ended = now
            self.counts[f"{call.kind.value} cut"] += 1
            self._check_time(call, now)
            self._check_lost(call, now)

    def check_whole_run(self) -> None:
        """Checks what needs the whole run."""
        with self._lock:
            if len(self._lost) > MAX_LOST:
                self._violate("LOST", f"{len(self._lost)} calls cut: {self._lost[:5]}")
            if self._due >= MIN_TIMED_CALLS and len(self._late) > self._due / 2:
                self._violate("TIMEOUT", f"{len(self._late)} of {self._due} late: {self._late[:5]}")

    def add_violation(self, promise: str, message: str) -> None:
        """Adds a violation that the run itself has seen."""
        with self._lock:
            self._violate(promise, message)

    def is_undisturbed(self, call: CallRecord, end: float, *, needs_store: bool) -> bool:
        """Whether the promises with a time bound hold for a call until ``end``."""
        names = [call.instance, STORE] if needs_store else [call.instance]
        return all(self._disturbances.is_undisturbed(name, call.sent, end) for name in names)

    def _violate(self, promise: str, message: str) -> None:
        self.violations.append(f"{promise}: {message}")

    def _check_repeats(self, call: CallRecord) -> None:
        if len(call.runs) > 1 and not call.kind.is_repeatable:
            self._violate("TWICE", f"{call.request_id} ran on {[r.target for r in call.runs]}")
        self._check_not_run(call)

    def _check_not_run(self, call: CallRecord) -> None:
        if call.runs and call.status in NOT_RUN_STATUSES and not call.kind.is_repeatable:
            self._violate("REFUSED", f"{call.request_id} got {call.status} and has run")

    def _check_leaving(self, call: CallRecord, target: str, now: float) -> None:
        left = self._leaving.get(target)
        if left is None or now < left + DRAIN_BOUND_S:
            return
        if self.is_undisturbed(call, now, needs_store=True):
            late_s = now - left
            self._violate("DRAIN", f"{call.request_id} reached {target} {late_s:.2f} s later")

    def _check_cold(self, target: str, now: float) -> None:
        if now > self._cold.get(target, 0.0):
            return
        recent = self._recent_runs[target]
        recent.append(now)
        while now - recent[0] >= 1.0:
            recent.popleft()
        if len(recent) > COLD_PER_S * COLD_FACTOR + COLD_RESERVE:
            self._violate("FAILBACK", f"cold {target} got {len(recent)} calls in a second")

    def _check_lost(self, call: CallRecord, now: float) -> None:
        """A stopping process must not drop a call that a sound target works on."""
        names = [get_unplanned_name(call.instance), *(run.target for run in call.runs)]
        if not call.runs or not all(
            self._disturbances.is_undisturbed(name, call.sent, now) for name in names
        ):
            return
        self._lost.append(call.request_id)
        if not self._disturbances.is_undisturbed(call.instance, call.sent, now):
            self._violate("LOST", f"{call.request_id} was cut by a planned stop")

    def _check_withdrawn(self, call: CallRecord, what: str) -> None:
        withdrawn = self._withdrawn.get(call.key)
        if withdrawn is None or call.sent < withdrawn + CONFIGURATION_BOUND_S:
            return
        if self.is_undisturbed(call, time.monotonic(), needs_store=True):
            late_s = call.sent - withdrawn
            self._violate("CONFIG", f"{call.request_id} {what} {late_s:.2f} s after its key went")

    def _check_denied(self, call: CallRecord) -> None:
        if call.key not in self._withdrawn:
            self._violate("DENIED", f"{call.request_id} got {call.status} with a good key")

    def _check_time(self, call: CallRecord, now: float) -> None:
        due = call.sent + call.timeout_s
        if now < due or not self.is_undisturbed(call, now, needs_store=False):
            return
        self._due += 1
        if now > due + ANSWER_SLACK_S:
            self._late.append(f"{call.request_id} {now - due:.2f} s")
