"""Load of each target over all instances, and each target's prefill rate.

After a burst or the loss of an engine, every engine's queue may hold more work than callers wait
for. An instance that knew only its own calls would see a fraction of each queue, with eight
instances an eighth, and add to it; the engines would then prefill prompts whose callers have left.

With many instances, only those of the same data centre report their loads. A target without
reported work is not necessarily idle: of several engines, one always seems so and would be chosen.
The load from silent instances is therefore estimated between the target's reported load and the
mean over all targets.
"""

from collections import defaultdict
from collections.abc import Callable
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
class _PeerReport:
    received_at: float
    loads: dict[TargetId, TargetLoad]


class LoadTable:
    """Tracks the load and the prefill rate of each target."""

    def __init__(self) -> None:
        self._own: dict[TargetId, TargetLoad] = defaultdict(TargetLoad)
        self._peers: dict[InstanceId, _PeerReport] = {}
        self._instance_count = 1
        # Recent reports, and means over the targets, cached for one point in time because a call
        # compares several targets.
        self._refreshed_at = float("-inf")
        self._reports: list[dict[TargetId, TargetLoad]] = []
        self._means: dict[str, float] = {}
        # By priority, because later urgent work overtakes less urgent work and slows it down.
        self._prefill_rates: dict[tuple[TargetId, int], float] = {}
        # Time to the first output with hardly any prefill: one step, a transfer and the network.
        self._base_latencies: dict[TargetId, float] = {}

    def add_pending(self, target: TargetId, priority: int, tokens: int) -> None:
        """Adds the prompt tokens of a call that this instance has sent to a target."""
        self._own[target].pending[priority] += tokens

    def remove_pending(self, target: TargetId, priority: int, tokens: int) -> None:
        """Removes the prompt tokens of a call that has had its first output or has ended."""
        load = self._own[target]
        load.pending[priority] -= tokens
        if load.pending[priority] <= 0:
            del load.pending[priority]

    def add_run(self, target: TargetId, tokens: int) -> None:
        """Adds a running call and the tokens that it occupies in its target's memory."""
        load = self._own[target]
        load.running += 1
        load.held_tokens += tokens

    def remove_run(self, target: TargetId, tokens: int) -> None:
        """Removes a call that has ended."""
        load = self._own[target]
        load.running -= 1
        load.held_tokens -= tokens
        if load.running <= 0:
            del self._own[target]

    def get_own_loads(self) -> dict[TargetId, TargetLoad]:
        """Returns this instance's loads by target."""
        return self._own

    def apply_report(
        self, instance: InstanceId, loads: dict[TargetId, TargetLoad], now: float
    ) -> None:
        """Replaces the loads reported by a peer."""
        self._peers[instance] = _PeerReport(now, loads)
        self._refreshed_at = float("-inf")

    def set_instance_count(self, count: int) -> None:
        """Sets the number of instances over which loads are estimated."""
        self._instance_count = max(1, count)

    def estimate_pending_tokens(self, target: TargetId, priority: int, now: float) -> float:
        """Returns the tokens that the target prefills before new work of a priority.

        Less urgent prompts wait, except that one already in prefill is not interrupted.
        """

        def count_urgent(load: TargetLoad) -> float:
            return sum(tokens for level, tokens in load.pending.items() if level <= priority)

        def count_less_urgent(load: TargetLoad) -> float:
            return sum(tokens for level, tokens in load.pending.items() if level > priority)

        less_urgent = self._estimate_total(
            target, now, f"less urgent than {priority}", count_less_urgent
        )
        urgent = self._estimate_total(target, now, f"as urgent as {priority}", count_urgent)
        return urgent + min(less_urgent, MAX_LESS_URGENT_TOKENS)

    def estimate_held_tokens(self, target: TargetId, now: float) -> float:
        """Returns the tokens of all calls running on the target."""
        return self._estimate_total(target, now, "held", lambda load: load.held_tokens)

    def estimate_running_calls(self, target: TargetId, now: float) -> float:
        """Returns the number of calls running on the target."""
        return self._estimate_total(target, now, "running", lambda load: load.running)

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

    def _estimate_total(
        self, target: TargetId, now: float, name: str, measure: Callable[[TargetLoad], float]
    ) -> float:
        """Sums a measure over all instances, with an estimate for those that do not report."""
        self._refresh(now)
        loads = [load for loads in self._reports if (load := loads.get(target)) is not None]
        reported = sum(measure(load) for load in loads)
        silent_ratio = max(0.0, self._instance_count / len(self._reports) - 1.0)
        if silent_ratio == 0.0:
            return reported
        mean = self._compute_mean(name, measure)
        return reported + silent_ratio * (
            KNOWN_LOAD_WEIGHT * reported + (1.0 - KNOWN_LOAD_WEIGHT) * mean
        )

    def _refresh(self, now: float) -> None:
        """Collects the loads of this instance and of all peers with a recent report."""
        if now == self._refreshed_at:
            return
        peers = [r.loads for r in self._peers.values() if now - r.received_at < MAX_REPORT_AGE_S]
        self._refreshed_at, self._reports, self._means = now, [self._own, *peers], {}

    def _compute_mean(self, name: str, measure: Callable[[TargetLoad], float]) -> float:
        """Returns the mean of a measure over all targets with reported work."""
        mean = self._means.get(name)
        if mean is None:
            totals: dict[TargetId, float] = defaultdict(float)
            for loads in self._reports:
                for target, load in loads.items():
                    totals[target] += measure(load)
            mean = self._means[name] = sum(totals.values()) / max(1, len(totals))
        return mean
