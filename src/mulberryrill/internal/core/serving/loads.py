"""Work that all instances have given to each target and that waits for its first output.

Load pattern answered: a burst, or an engine lost, after which every engine's queue holds more work
than callers wait for. Without a common view each instance sees an eighth of a queue, adds to it,
and the engines read prompts whose callers have left.

Among many instances only those of the own data centre report. A queue to which they have added
nothing is not empty: of several engines one always seems so, and it would be chosen. So the others'
work on a target is taken to lie between what is known of it and the mean over all targets.
"""

from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field

from ...ids import InstanceId, TargetId

# An idle instance repeats its empty report at this interval, so that it counts as known.
IDLE_REPORT_INTERVAL_S = 0.6
# A report that is older says nothing about a queue that turns over within a second.
MAX_REPORT_AGE_S = 1.0
# Tokens a second that an engine is assumed to read before its speed has been observed.
INITIAL_PREFILL_RATE = 40_000.0
# Weight of the newest observation of an engine's speed.
RATE_GAIN = 0.1
# Observations below this size measure the latency of a step rather than the speed of reading.
MIN_RATE_TOKENS = 2_000
MIN_RATE, MAX_RATE = 4_000.0, 400_000.0
INITIAL_BASE_S = 0.05
MAX_BASE_S = 0.2
MIN_READ_S = 0.005
# Rest of the less urgent prompt that is being read: on a grown day urgent calls got their first
# event about 0.15 s later where one of 12,000 tokens waited, read at 56,000 tokens a second.
MAX_LESS_URGENT_TOKENS = 8_000
# How far the work that silent instances have given to a target follows that of the known ones.
COMMON_SHARE = 0.4

Pending = dict[int, int]


@dataclass
class TargetLoad:
    """What one instance has given to one target."""

    # Prompt tokens that the target has still to read, by priority.
    pending: Pending = field(default_factory=lambda: defaultdict(int))
    # Prompt and output tokens of all running calls.
    held_tokens: int = 0
    running: int = 0


@dataclass(frozen=True)
class _PeerReport:
    received_at: float
    loads: dict[TargetId, TargetLoad]


class LoadTable:
    """Loads of each target over all instances, and each target's speed."""

    def __init__(self) -> None:
        self._own: dict[TargetId, TargetLoad] = defaultdict(TargetLoad)
        self._peers: dict[InstanceId, _PeerReport] = {}
        self._instance_count = 1
        # Recent reports and means over the targets at one moment, since a call compares several
        # targets.
        self._viewed_at = float("-inf")
        self._reports: list[dict[TargetId, TargetLoad]] = []
        self._means: dict[str, float] = {}
        # Less urgent work is read more slowly, because urgent work that comes later goes first.
        self._rates: dict[tuple[TargetId, int], float] = {}
        # Time to a first output with hardly anything to read: a step, a transfer, the way there.
        self._base_times: dict[TargetId, float] = {}

    def add_pending(self, target: TargetId, priority: int, tokens: int) -> None:
        """Notes a prompt that this instance has sent to a target."""
        self._own[target].pending[priority] += tokens

    def remove_pending(self, target: TargetId, priority: int, tokens: int) -> None:
        """Notes that the prompt has had its first output or has ended."""
        load = self._own[target]
        load.pending[priority] -= tokens
        if load.pending[priority] <= 0:
            del load.pending[priority]

    def add_run(self, target: TargetId, tokens: int) -> None:
        """Notes a call and the tokens that it takes of its target's memory."""
        load = self._own[target]
        load.running += 1
        load.held_tokens += tokens

    def remove_run(self, target: TargetId, tokens: int) -> None:
        """Notes that the call has ended."""
        load = self._own[target]
        load.running -= 1
        load.held_tokens -= tokens
        if load.running <= 0:
            del self._own[target]

    def list_own(self) -> dict[TargetId, TargetLoad]:
        """Returns this instance's loads by target."""
        return self._own

    def apply_report(
        self, instance: InstanceId, loads: dict[TargetId, TargetLoad], now: float
    ) -> None:
        """Takes over a peer's report."""
        self._peers[instance] = _PeerReport(now, loads)
        self._viewed_at = float("-inf")

    def set_instance_count(self, count: int) -> None:
        """Tells over how many instances the loads are to be counted."""
        self._instance_count = max(1, count)

    def count_pending(self, target: TargetId, priority: int, now: float) -> float:
        """Returns the tokens that the target reads before new work of a priority.

        Less urgent prompts wait, but one that is being read is not interrupted.
        """

        def count_urgent(load: TargetLoad) -> float:
            return sum(tokens for level, tokens in load.pending.items() if level <= priority)

        def count_others(load: TargetLoad) -> float:
            return sum(tokens for level, tokens in load.pending.items() if level > priority)

        others = self._sum(target, now, f"less urgent than {priority}", count_others)
        urgent = self._sum(target, now, f"as urgent as {priority}", count_urgent)
        return urgent + min(others, MAX_LESS_URGENT_TOKENS)

    def count_held(self, target: TargetId, now: float) -> float:
        """Returns the tokens of all calls that run on the target."""
        return self._sum(target, now, "held", lambda load: load.held_tokens)

    def count_running(self, target: TargetId, now: float) -> float:
        """Returns the number of calls that run on the target."""
        return self._sum(target, now, "running", lambda load: load.running)

    def estimate_wait(self, target: TargetId, priority: int, tokens: int, now: float) -> float:
        """Returns the seconds until a new call with ``tokens`` to read has its first output."""
        pending = self.count_pending(target, priority, now)
        base = self._base_times.get(target, INITIAL_BASE_S)
        return base + (pending + tokens) / self.get_prefill_rate(target, priority)

    def estimate_tokens(self, target: TargetId, priority: int, wait_s: float) -> int:
        """Returns the tokens of work that an estimated wait stands for."""
        base = self._base_times.get(target, INITIAL_BASE_S)
        return round(max(0.0, wait_s - base) * self.get_prefill_rate(target, priority))

    def get_prefill_rate(self, target: TargetId, priority: int) -> float:
        """Returns the tokens a second by which work of a priority advances on the target."""
        return self._rates.get((target, priority), INITIAL_PREFILL_RATE)

    def observe(self, target: TargetId, priority: int, tokens: int, elapsed_s: float) -> None:
        """Learns a speed from a first output that came ``elapsed_s`` after ``tokens`` of work."""
        base = self._base_times.get(target, INITIAL_BASE_S)
        if tokens < MIN_RATE_TOKENS:
            self._base_times[target] = base + RATE_GAIN * (min(elapsed_s, MAX_BASE_S) - base)
            return
        rate = min(MAX_RATE, max(MIN_RATE, tokens / max(elapsed_s - base, MIN_READ_S)))
        known = self.get_prefill_rate(target, priority)
        self._rates[target, priority] = known + RATE_GAIN * (rate - known)

    def prune(self, live: set[TargetId]) -> None:
        """Drops what is known of targets that are gone."""
        self._base_times = {key: t for key, t in self._base_times.items() if key in live}
        self._rates = {key: rate for key, rate in self._rates.items() if key[0] in live}

    def _sum(
        self, target: TargetId, now: float, name: str, measure: Callable[[TargetLoad], float]
    ) -> float:
        """Adds up a measure over all instances, with an estimate for those that are silent."""
        self._view(now)
        loads = [load for loads in self._reports if (load := loads.get(target)) is not None]
        known = sum(measure(load) for load in loads)
        unknown = max(0.0, self._instance_count / len(self._reports) - 1.0)
        if unknown == 0.0:
            return known
        mean = self._find_mean(name, measure)
        return known + unknown * (COMMON_SHARE * known + (1.0 - COMMON_SHARE) * mean)

    def _view(self, now: float) -> None:
        """Takes the loads of this instance and of the peers that were heard recently."""
        if now == self._viewed_at:
            return
        peers = [r.loads for r in self._peers.values() if now - r.received_at < MAX_REPORT_AGE_S]
        self._viewed_at, self._reports, self._means = now, [self._own, *peers], {}

    def _find_mean(self, name: str, measure: Callable[[TargetLoad], float]) -> float:
        """Returns the mean of a measure over the targets that have work."""
        mean = self._means.get(name)
        if mean is None:
            totals: dict[TargetId, float] = defaultdict(float)
            for loads in self._reports:
                for target, load in loads.items():
                    totals[target] += measure(load)
            mean = self._means[name] = sum(totals.values()) / max(1, len(totals))
        return mean
