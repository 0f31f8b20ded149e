"""Predicts how long calls take, and how much work each target has left, in seconds.

Calls that look alike cost targets different amounts of work, and targets differ in speed. A count
of running calls shows neither: two long calls on a slow target look like two short ones on a fast
one.

Durations are learned for each kind of call over all targets of a service; a speed factor for each
target tells how much longer than that the same calls take there. Both come from this instance's own
answered calls; peers report only how many calls they run.
"""

import math
from bisect import bisect_right, insort
from collections import OrderedDict, deque
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from itertools import accumulate, islice

from ...ids import ServiceName, TargetId
from .targettable import Registration, TargetRun

# Latest durations of a kind of call that are kept: one in twenty may be an outlier, and a change of
# the calls shows within a hundred.
MAX_SAMPLES = 100
# Fewer durations say too little: the placement by running calls applies.
MIN_SAMPLES = 8
# Longer durations count as this quantile, so that a few outliers do not move the mean.
OUTLIER_QUANTILE = 0.95
# Bounds of a learned duration; of a model call, for each output token.
MIN_DURATION_S, MAX_DURATION_S = 0.001, 120.0
MIN_TOKEN_S, MAX_TOKEN_S = 0.0001, 1.0
# Before any call of a service was observed: only comparisons among its targets use it.
INITIAL_DURATION_S = 0.2
INITIAL_TOKEN_S = 0.02
# A running call has at least this share of its expected duration left.
MIN_REMAINING_SHARE = 0.1
MIN_SPEED_FACTOR, MAX_SPEED_FACTOR = 0.25, 4.0
# Weight of the newest call in a target's speed factor. At 0.1 a run of long calls moved the factors
# so far that one instance alone placed calls worse than by their number. A target that slows down
# by four is seen as twice as slow after 23 calls.
SPEED_SMOOTHING_FACTOR = 0.03
# Weight of the newest call in the mean over a service, and in the prediction error.
MEAN_SMOOTHING_FACTOR = 0.02
# Without calls a speed factor approaches 1, by half in this time: a target that was slow once gets
# calls again, which show its present speed.
SPEED_HALF_LIFE_S = 30.0
# Relative errors above this count as this, so that a few very short calls do not decide the mean.
MAX_RELATIVE_ERROR = 10.0
# Own calls on one target whose elapsed time is looked at; others count with the mean duration. It
# bounds the time that one choice takes.
MAX_TRACKED_CALLS = 64
# A target with free slots starts a call at once, but how many are free is not known exactly, and
# calls that run side by side may slow each other down.
OCCUPANCY_EXPONENT = 2
# Assumed age of peers' reports: half of the interval at which they are sent, their way, and the
# time until they are read.
REPORT_AGE_S = 0.2
# Remaining times of a target's own calls are added up again when one begins or ends, and after this
# time; adding them up for 100 targets with each choice took 3 ms.
REMAINING_REFRESH_S = 0.01
# Methods are named by callers, so the number of kinds of calls has to be bounded.
MAX_CALL_GROUPS = 1_024
_MAX_LOG_SPEED = math.log(MAX_SPEED_FACTOR)
_MIN_LOG_SPEED = math.log(MIN_SPEED_FACTOR)
# Bound of one call's share in the mean over a service: long calls may take several times the mean
# beside a slow target.
MAX_LOG_RATIO = 2 * _MAX_LOG_SPEED


class CostKind(Enum):
    """What a learned duration covers."""

    # From sending the call to the end of its response.
    PLAIN = "plain"
    # From the first event to the end, for each output token that the prompt states.
    MODEL = "model"


@dataclass(frozen=True)
class CallGroup:
    """Calls that are expected to take equally long on the same target."""

    kind: CostKind
    service: ServiceName
    # Route of plain calls, model of model calls.
    name: str
    method: bytes = b""


@dataclass(eq=False)
class RunningCall:
    """One attempt that this instance has sent to a target. Times in seconds of the event loop."""

    group: CallGroup
    run: TargetRun
    # Output tokens of a model call, 1 for a plain call.
    size: int
    slots: int
    started_at: float
    # Running calls of all instances on the target when this one was sent.
    running_before: float
    # Expected wait in the target's queue.
    wait_s: float = 0.0
    # Expected time to the end of the call; None: not learned yet.
    predicted_s: float | None = None
    # Model calls only.
    first_event_at: float | None = None

    @property
    def crowding(self) -> float:
        """How many times longer than on an idle target the call is expected to take."""
        return compute_crowding(self.running_before, self.slots)


@dataclass(frozen=True)
class CompletionEstimate:
    """When a call would end on one target, in seconds from now."""

    completion_s: float
    # Expected duration of a call that runs on the target's service.
    mean_call_s: float


class DurationSample:
    """The latest durations of one group of calls, in seconds."""

    def __init__(self, min_s: float, max_s: float) -> None:
        self._min_s, self._max_s = min_s, max_s
        self._latest: deque[float] = deque(maxlen=MAX_SAMPLES)
        self._sorted: list[float] = []
        # The durations, with long ones cut, and the sums of the shortest ones; empty: out of date.
        self._bounded: list[float] = []
        self._sums: list[float] = []

    @property
    def is_learned(self) -> bool:
        """Whether there are enough observations."""
        return len(self._latest) >= MIN_SAMPLES

    @property
    def median_s(self) -> float:
        """The median duration; only for a sample with observations."""
        return self._sorted[len(self._sorted) // 2]

    @property
    def mean_s(self) -> float:
        """The mean duration, in which outliers are cut; only for a sample with observations."""
        self._add_up()
        return self._sums[-1] / len(self._bounded)

    def add(self, duration_s: float) -> None:
        """Adds an observation, bounded; one that is not a number is ignored."""
        if math.isnan(duration_s):
            return
        duration_s = min(self._max_s, max(self._min_s, duration_s))
        if len(self._latest) == MAX_SAMPLES:
            del self._sorted[bisect_right(self._sorted, self._latest[0]) - 1]
        self._latest.append(duration_s)
        insort(self._sorted, duration_s)
        self._sums = []

    def estimate_remaining(self, elapsed_s: float) -> float:
        """Returns the mean time left to the observed calls that took longer than ``elapsed_s``.

        A call that runs for longer than most is a long one, so its time left does not simply
        shrink. At least ``MIN_REMAINING_SHARE`` of the mean duration is left.
        """
        floor_s = MIN_REMAINING_SHARE * self.mean_s
        shorter = bisect_right(self._bounded, elapsed_s)
        longer = len(self._bounded) - shorter
        if longer == 0:
            return floor_s
        total_s = self._sums[-1] - (self._sums[shorter - 1] if shorter else 0.0)
        return max(floor_s, total_s / longer - elapsed_s)

    def _add_up(self) -> None:
        if self._sums:
            return
        longest_s = self._sorted[int(OUTLIER_QUANTILE * (len(self._sorted) - 1))]
        self._bounded = [min(duration_s, longest_s) for duration_s in self._sorted]
        self._sums = list(accumulate(self._bounded))


@dataclass
class _TargetSpeed:
    run: TargetRun
    # Logarithm of the speed factor.
    log_factor: float = 0.0
    observed_at: float = float("-inf")

    def read(self, now: float) -> float:
        """Returns the logarithm as of now."""
        return self.log_factor * 0.5 ** max(0.0, (now - self.observed_at) / SPEED_HALF_LIFE_S)


@dataclass
class _ServiceMeans:
    """Moving averages over the calls of one kind of a service."""

    # Expected duration of its calls.
    duration_s: float
    # Logarithm of the actual durations over the expected ones.
    log_ratio: float = 0.0
    count: int = 0

    def observe(self, duration_s: float, log_ratio: float) -> None:
        """Adds a call to the averages."""
        self.count += 1
        weight = max(MEAN_SMOOTHING_FACTOR, 1.0 / self.count)
        self.duration_s += weight * (duration_s - self.duration_s)
        self.log_ratio += weight * (log_ratio - self.log_ratio)


@dataclass
class CallCosts:
    """Durations, speeds and running calls that this instance knows."""

    _samples: OrderedDict[CallGroup, DurationSample] = field(default_factory=OrderedDict)
    _means: dict[tuple[CostKind, ServiceName], _ServiceMeans] = field(default_factory=dict)
    _speeds: dict[tuple[CostKind, TargetId], _TargetSpeed] = field(default_factory=dict)
    # In the order of sending.
    _running: dict[TargetId, dict[RunningCall, None]] = field(default_factory=dict)
    # Remaining seconds of own calls on each target, and when they were added up.
    _remaining: dict[TargetId, tuple[float, float]] = field(default_factory=dict)
    _errors: dict[CostKind, float] = field(default_factory=dict)

    def start(
        self, group: CallGroup, registration: Registration, size: int, running: float, now: float
    ) -> RunningCall:
        """Adds a call that is sent to a target on which ``running`` calls run already."""
        speed = self._speeds.get((group.kind, registration.target))
        if speed is not None and speed.run != registration.run:
            del self._speeds[group.kind, registration.target]
        call = RunningCall(
            group, registration.run, max(1, size), max(1, registration.slots), now, running
        )
        sample = self._find_learned(group)
        if sample is not None:
            duration_s = call.size * sample.mean_s * self.get_speed_factor(registration, group, now)
            if group.kind is CostKind.PLAIN:
                call.wait_s = (call.crowding - 1.0) * duration_s
            call.predicted_s = call.wait_s + duration_s
        self._running.setdefault(registration.target, {})[call] = None
        self._remaining.pop(registration.target, None)
        return call

    def record_first_event(self, call: RunningCall, now: float) -> None:
        """Records that the target has finished the prefill of a model call."""
        self._remaining.pop(call.run.target, None)
        call.first_event_at = now

    def end(self, call: RunningCall, is_complete: bool, now: float) -> None:
        """Removes a call; learns from it if ``is_complete``: it was run and answered completely."""
        self._remaining.pop(call.run.target, None)
        running = self._running.get(call.run.target, {})
        running.pop(call, None)
        if not running:
            self._running.pop(call.run.target, None)
        since = call.started_at if call.group.kind is CostKind.PLAIN else call.first_event_at
        if is_complete and since is not None:
            self._observe(call, max(0.0, now - since), now)

    def _observe(self, call: RunningCall, duration_s: float, now: float) -> None:
        group = call.group
        if call.predicted_s is not None:
            actual_s = max(MIN_DURATION_S, duration_s)
            error = min(MAX_RELATIVE_ERROR, abs(call.predicted_s - actual_s) / actual_s)
            current = self._errors.setdefault(group.kind, error)
            self._errors[group.kind] = current + MEAN_SMOOTHING_FACTOR * (error - current)
        is_plain = group.kind is CostKind.PLAIN
        min_s, max_s = _get_bounds(group.kind)
        unit_s = min(max_s, max(min_s, duration_s / call.size))
        sample = self._find_learned(group)
        if sample is not None:
            expected_s = sample.mean_s * (call.crowding if is_plain else 1.0)
            self._observe_ratio(call, sample.mean_s, math.log(unit_s / expected_s), now)
        if call.running_before + 1.0 <= call.slots:
            self._get_sample(group).add(unit_s)

    def _observe_ratio(
        self, call: RunningCall, mean_s: float, log_ratio: float, now: float
    ) -> None:
        """Updates the speed of a target from the ratio of a call's duration to the expected one.

        The ratio is compared with that of the whole service: many short calls and a few long ones
        have a mean logarithm below 0.
        """
        kind, target = call.group.kind, call.run.target
        key = (kind, call.group.service)
        means = self._means.setdefault(key, _ServiceMeans(mean_s))
        log_ratio = min(MAX_LOG_RATIO, max(-MAX_LOG_RATIO, log_ratio))
        means.observe(mean_s, log_ratio)
        speed = self._speeds.setdefault((kind, target), _TargetSpeed(call.run))
        if speed.run != call.run:
            return
        observed = min(_MAX_LOG_SPEED, max(_MIN_LOG_SPEED, log_ratio - means.log_ratio))
        current = speed.read(now)
        speed.log_factor = current + SPEED_SMOOTHING_FACTOR * (observed - current)
        speed.observed_at = now

    def is_learned(self, group: CallGroup) -> bool:
        """Returns whether enough calls of the group were observed to place it by duration."""
        return self._find_learned(group) is not None

    def get_duration(self, group: CallGroup) -> float:
        """Returns the expected seconds of a call, of a model call for each output token."""
        sample = self._find_learned(group)
        return sample.mean_s if sample is not None else self._get_mean_duration(group)

    def get_speed_factor(self, registration: Registration, group: CallGroup, now: float) -> float:
        """Returns how many times longer than on other targets of the service calls take here."""
        return self._find_speed_factor(group.kind, registration.run, now)

    def _find_speed_factor(self, kind: CostKind, run: TargetRun, now: float) -> float:
        speed = self._speeds.get((kind, run.target))
        if speed is None or speed.run != run:
            return 1.0
        return math.exp(speed.read(now))

    def get_prediction_error(self, kind: CostKind) -> float | None:
        """Returns the moving mean of the absolute relative error; None: nothing was predicted."""
        return self._errors.get(kind)

    def estimate_work_left(
        self, registration: Registration, group: CallGroup, peers: float, now: float
    ) -> float:
        """Returns the seconds of work left on a target, as one of mean speed would need.

        Own calls count with their remaining time, also those of the other kind, and ``peers`` calls
        of other instances with the mean duration.
        """
        own = self._running.get(registration.target)
        mean_s = self._get_mean_duration(group)
        if not own:
            return peers * mean_s
        untracked = max(0, len(own) - MAX_TRACKED_CALLS) + peers
        return self._sum_remaining(registration.target, own, now) + untracked * mean_s

    def _sum_remaining(self, target: TargetId, own: dict[RunningCall, None], now: float) -> float:
        cached = self._remaining.get(target)
        if cached is not None and 0.0 <= now - cached[0] < REMAINING_REFRESH_S:
            return cached[1]
        remaining_s = sum(
            self._estimate_remaining(call, now) for call in islice(own, MAX_TRACKED_CALLS)
        )
        self._remaining[target] = now, remaining_s
        return remaining_s

    def estimate_completions(
        self, registrations: list[Registration], running: list[float], group: CallGroup, now: float
    ) -> list[CompletionEstimate]:
        """Returns when a plain call would end on each target with that many running calls."""
        mean_s = self._get_mean_duration(group)
        factors = [self.get_speed_factor(entry, group, now) for entry in registrations]
        peers = self._estimate_peer_calls(registrations, running, factors, mean_s)
        duration_s = self.get_duration(group)
        estimates = []
        for entry, factor, count in zip(registrations, factors, peers, strict=True):
            slots = max(1, entry.slots)
            occupancy = (len(self._running.get(entry.target, {})) + count) / slots
            wait_s = self.estimate_work_left(entry, group, count, now) / slots
            wait_s *= min(1.0, occupancy) ** OCCUPANCY_EXPONENT
            estimates.append(CompletionEstimate((wait_s + duration_s) * factor, mean_s))
        return estimates

    def _estimate_peer_calls(
        self,
        registrations: list[Registration],
        running: list[float],
        factors: list[float],
        mean_s: float,
    ) -> list[float]:
        """Estimates how many calls of other instances run on each target now.

        Of the calls in a report, those that have ended since are replaced by others, which go to
        all targets by their capacity. If reports were taken as they are, all instances would send
        their calls to the target that seemed idle in the last one.
        """
        reported = [
            max(0.0, count - len(self._running.get(entry.target, {})))
            for entry, count in zip(registrations, running, strict=True)
        ]
        capacities = [
            max(1, entry.slots) / factor
            for entry, factor in zip(registrations, factors, strict=True)
        ]
        mean_load = sum(reported) / sum(capacities)
        estimates = []
        for position, entry in enumerate(registrations):
            crowding = max(1.0, running[position] / max(1, entry.slots))
            share = math.exp(-REPORT_AGE_S / (mean_s * factors[position] * crowding))
            estimates.append(
                share * reported[position] + (1.0 - share) * mean_load * capacities[position]
            )
        return estimates

    def _estimate_remaining(self, call: RunningCall, now: float) -> float:
        sample = self._find_learned(call.group)
        since = call.started_at + call.wait_s
        if call.group.kind is CostKind.MODEL:
            since = call.first_event_at if call.first_event_at is not None else now
        if sample is None:
            return self._get_mean_duration(call.group) * call.size
        factor = self._find_speed_factor(call.group.kind, call.run, now)
        elapsed_s = max(0.0, now - since) / factor
        return sample.estimate_remaining(elapsed_s / call.size) * call.size

    def prune(self, live: Mapping[TargetId, Registration]) -> None:
        """Discards the speeds of targets that are gone or have started again."""
        for (kind, target), speed in list(self._speeds.items()):
            registration = live.get(target)
            if registration is None or registration.run != speed.run:
                del self._speeds[kind, target]

    def _get_mean_duration(self, group: CallGroup) -> float:
        """Returns the mean duration of the service's calls, of model calls for each token."""
        means = self._means.get((group.kind, group.service))
        if means is not None:
            return means.duration_s
        sample = self._find_learned(group)
        if sample is not None:
            return sample.mean_s
        return INITIAL_DURATION_S if group.kind is CostKind.PLAIN else INITIAL_TOKEN_S

    def _find_learned(self, group: CallGroup) -> DurationSample | None:
        sample = self._samples.get(group)
        return sample if sample is not None and sample.is_learned else None

    def _get_sample(self, group: CallGroup) -> DurationSample:
        sample = self._samples.get(group)
        if sample is None:
            sample = self._samples[group] = DurationSample(*_get_bounds(group.kind))
            if len(self._samples) > MAX_CALL_GROUPS:
                self._samples.popitem(last=False)
        self._samples.move_to_end(group)
        return sample


def _get_bounds(kind: CostKind) -> tuple[float, float]:
    if kind is CostKind.PLAIN:
        return MIN_DURATION_S, MAX_DURATION_S
    return MIN_TOKEN_S, MAX_TOKEN_S


def compute_crowding(running: float, slots: int) -> float:
    """Returns how many times longer a call takes behind ``running`` others than alone.

    This holds for a queue before the slots as well as for slots that share the machine.
    """
    return max(1.0, (running + 1.0) / max(1, slots))
