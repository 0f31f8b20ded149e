"""Load of each target over all instances, and each target's prefill rate.

After a burst or the loss of an engine, every engine's queue may hold more work than callers wait
for. An instance that knew only its own calls would see a fraction of each queue, with eight
instances an eighth, and add to it; the engines would then prefill prompts whose callers have left.

With many instances, only those of the same data centre report their loads. A target without
reported work is not necessarily idle: of several engines, one always seems so and would be chosen.
The load from silent instances is therefore estimated between the target's reported load and the
mean over all targets.
"""

from collections import OrderedDict, defaultdict
from dataclasses import dataclass, field

from ...ids import InstanceId, TargetId

# An idle instance repeats its empty report at this interval, so that it does not count as silent.
IDLE_REPORT_INTERVAL_S = 0.6
# Older reports are ignored, because a queue turns over within a second.
MAX_REPORT_AGE_S = 1.0
# Prefill rates are in tokens per second. The initial one applies until a rate has been observed.
INITIAL_PREFILL_RATE = 40_000.0
# Weight of the newest observation in the moving averages.
SMOOTHING_FACTOR = 0.1
# Observations of fewer tokens measure the latency of a step rather than the prefill rate.
MIN_SAMPLE_TOKENS = 2_000
MIN_PREFILL_RATE, MAX_PREFILL_RATE = 4_000.0, 400_000.0
INITIAL_BASE_LATENCY_S = 0.05
MAX_BASE_LATENCY_S = 0.2
MIN_PREFILL_S = 0.005
# Upper bound for the rest of a less urgent prompt in prefill. Under peak load, urgent calls got
# their first event about 0.15 s later behind a prompt of 12,000 tokens at 56,000 tokens per second.
MAX_LESS_URGENT_TOKENS = 8_000
# Weight of the target's reported load in the estimate for silent instances; the rest is the mean.
KNOWN_LOAD_WEIGHT = 0.4

PendingTokens = dict[int, int]


@dataclass
class TargetLoad:
    """Load that one instance has put on one target."""

    # Prompt tokens of calls without a first output, by priority.
    pending: PendingTokens = field(default_factory=lambda: defaultdict(int))
    # Prompt and output tokens of all running calls.
    held_tokens: int = 0
    running: int = 0


@dataclass(frozen=True)
class LoadReport:
    """Loads that another instance reports, as parallel lists of the targets that it uses."""

    targets: list[TargetId] = field(default_factory=list)
    held_tokens: list[int] = field(default_factory=list)
    running: list[int] = field(default_factory=list)
    # Prompt tokens without a first output: position in ``targets``, priority, tokens.
    pending: list[tuple[int, int, int]] = field(default_factory=list)


def build_report(loads: dict[TargetId, TargetLoad]) -> LoadReport:
    """Returns the report of an instance with these loads."""
    return LoadReport(
        targets=list(loads),
        held_tokens=[load.held_tokens for load in loads.values()],
        running=[load.running for load in loads.values()],
        pending=[
            (position, priority, tokens)
            for position, load in enumerate(loads.values())
            for priority, tokens in load.pending.items()
        ],
    )


@dataclass(frozen=True)
class _ReceivedReport:
    received_at: float
    report: LoadReport


class LoadTable:
    """Tracks the load and the prefill rate of each target.

    Reports of all peers arrive several times between two calls, and a call compares many targets.
    So reports are only stored when they arrive, and added up once for each call.
    """

    def __init__(self) -> None:
        self._own: dict[TargetId, TargetLoad] = defaultdict(TargetLoad)
        self._own_sum = TargetLoad()
        # In the order of arrival of the reports.
        self._reports: OrderedDict[InstanceId, _ReceivedReport] = OrderedDict()
        self._peer_loads: dict[TargetId, TargetLoad] = {}
        self._peer_sum = TargetLoad()
        self._has_new_reports = False
        self._instance_count = 1
        self._refreshed_at = float("-inf")
        # Instances without a report for each one with a report, and targets with reported work.
        self._silent_ratio = 0.0
        self._used_target_count = 1
        # By priority, because later urgent work overtakes less urgent work and slows it down.
        self._prefill_rates: dict[tuple[TargetId, int], float] = {}
        # Time to the first output with hardly any prefill: one step, a transfer and the network.
        self._base_latencies: dict[TargetId, float] = {}

    def add_pending(self, target: TargetId, priority: int, tokens: int) -> None:
        """Adds the prompt tokens of a call that this instance has sent to a target."""
        for load in (self._own[target], self._own_sum):
            load.pending[priority] += tokens

    def remove_pending(self, target: TargetId, priority: int, tokens: int) -> None:
        """Removes the prompt tokens of a call that has had its first output or has ended."""
        for load in (self._own[target], self._own_sum):
            load.pending[priority] -= tokens
            if load.pending[priority] <= 0:
                del load.pending[priority]

    def add_run(self, target: TargetId, tokens: int) -> None:
        """Adds a running call and the tokens that it occupies in its target's memory."""
        for load in (self._own[target], self._own_sum):
            load.running += 1
            load.held_tokens += tokens

    def remove_run(self, target: TargetId, tokens: int) -> None:
        """Removes a call that has ended."""
        for load in (self._own[target], self._own_sum):
            load.running -= 1
            load.held_tokens -= tokens
        if self._own[target].running <= 0:
            del self._own[target]

    def get_own_loads(self) -> dict[TargetId, TargetLoad]:
        """Returns this instance's loads by target."""
        return self._own

    def apply_report(self, instance: InstanceId, report: LoadReport, now: float) -> None:
        """Replaces the loads reported by a peer."""
        self._reports.pop(instance, None)
        self._reports[instance] = _ReceivedReport(now, report)
        self._has_new_reports = True

    def set_instance_count(self, count: int) -> None:
        """Sets the number of instances over which loads are estimated."""
        self._instance_count = max(1, count)

    def estimate_pending_tokens(self, target: TargetId, priority: int, now: float) -> float:
        """Returns the tokens that the target prefills before new work of a priority.

        Less urgent prompts wait, except that one already in prefill is not interrupted.
        """
        self._refresh(now)
        urgent = less_urgent = 0.0
        for load in self._find_loads(target):
            for level, tokens in load.pending.items():
                if level <= priority:
                    urgent += tokens
                else:
                    less_urgent += tokens
        if self._silent_ratio > 0:
            levels = [*self._own_sum.pending.items(), *self._peer_sum.pending.items()]
            all_urgent = sum(tokens for level, tokens in levels if level <= priority)
            all_less_urgent = sum(tokens for level, tokens in levels if level > priority)
            urgent = self._extrapolate(urgent, all_urgent)
            less_urgent = self._extrapolate(less_urgent, all_less_urgent)
        return urgent + min(less_urgent, MAX_LESS_URGENT_TOKENS)

    def estimate_held_tokens(self, target: TargetId, now: float) -> float:
        """Returns the tokens of all calls running on the target."""
        self._refresh(now)
        reported = sum(load.held_tokens for load in self._find_loads(target))
        return self._extrapolate(reported, self._own_sum.held_tokens + self._peer_sum.held_tokens)

    def estimate_running_calls(self, target: TargetId, now: float) -> float:
        """Returns the number of calls running on the target."""
        self._refresh(now)
        reported = sum(load.running for load in self._find_loads(target))
        return self._extrapolate(reported, self._own_sum.running + self._peer_sum.running)

    def estimate_wait(self, target: TargetId, priority: int, tokens: int, now: float) -> float:
        """Returns the expected seconds to the first output of a call with ``tokens`` to prefill."""
        pending = self.estimate_pending_tokens(target, priority, now)
        base = self._base_latencies.get(target, INITIAL_BASE_LATENCY_S)
        return base + (pending + tokens) / self.get_prefill_rate(target, priority)

    def estimate_tokens(self, target: TargetId, priority: int, wait_s: float) -> int:
        """Returns the prefill tokens, including queued ones, that an estimated wait amounts to."""
        base = self._base_latencies.get(target, INITIAL_BASE_LATENCY_S)
        return round(max(0.0, wait_s - base) * self.get_prefill_rate(target, priority))

    def get_prefill_rate(self, target: TargetId, priority: int) -> float:
        """Returns the prefill rate for a priority on the target, in tokens per second."""
        return self._prefill_rates.get((target, priority), INITIAL_PREFILL_RATE)

    def observe(self, target: TargetId, priority: int, tokens: int, elapsed_s: float) -> None:
        """Updates the averages from a first output ``elapsed_s`` after ``tokens`` of work."""
        base = self._base_latencies.get(target, INITIAL_BASE_LATENCY_S)
        if tokens < MIN_SAMPLE_TOKENS:
            self._base_latencies[target] = base + SMOOTHING_FACTOR * (
                min(elapsed_s, MAX_BASE_LATENCY_S) - base
            )
            return
        rate = min(
            MAX_PREFILL_RATE, max(MIN_PREFILL_RATE, tokens / max(elapsed_s - base, MIN_PREFILL_S))
        )
        current = self.get_prefill_rate(target, priority)
        self._prefill_rates[target, priority] = current + SMOOTHING_FACTOR * (rate - current)

    def prune(self, live: set[TargetId]) -> None:
        """Discards the averages of targets that are not in ``live``."""
        self._base_latencies = {key: t for key, t in self._base_latencies.items() if key in live}
        self._prefill_rates = {
            key: rate for key, rate in self._prefill_rates.items() if key[0] in live
        }

    def _find_loads(self, target: TargetId) -> list[TargetLoad]:
        loads = (self._own.get(target), self._peer_loads.get(target))
        return [load for load in loads if load is not None]

    def _extrapolate(self, reported: float, total: float) -> float:
        """Adds an estimate for the instances that do not report.

        ``reported`` is the reported load of one target and ``total`` that of all.
        """
        if self._silent_ratio == 0.0:
            return reported
        mean = total / self._used_target_count
        return reported + self._silent_ratio * (
            KNOWN_LOAD_WEIGHT * reported + (1.0 - KNOWN_LOAD_WEIGHT) * mean
        )

    def _refresh(self, now: float) -> None:
        """Updates the sums over all peers with a recent report, once for each point in time."""
        if now == self._refreshed_at and not self._has_new_reports:
            return
        self._refreshed_at = now
        while self._reports:
            instance, received = next(iter(self._reports.items()))
            if now - received.received_at < MAX_REPORT_AGE_S:
                break
            del self._reports[instance]
            self._has_new_reports = True
        if self._has_new_reports:
            self._add_up_reports()
        self._silent_ratio = max(0.0, self._instance_count / (1 + len(self._reports)) - 1.0)
        self._used_target_count = max(1, len(self._own.keys() | self._peer_loads.keys()))

    def _add_up_reports(self) -> None:
        self._has_new_reports = False
        sums: dict[TargetId, TargetLoad] = defaultdict(TargetLoad)
        total = TargetLoad()
        for received in self._reports.values():
            report = received.report
            for target, held, running in zip(
                report.targets, report.held_tokens, report.running, strict=True
            ):
                load = sums[target]
                load.held_tokens += held
                load.running += running
            for position, priority, tokens in report.pending:
                sums[report.targets[position]].pending[priority] += tokens
                total.pending[priority] += tokens
        total.held_tokens = sum(load.held_tokens for load in sums.values())
        total.running = sum(load.running for load in sums.values())
        self._peer_loads, self._peer_sum = dict(sums), total
