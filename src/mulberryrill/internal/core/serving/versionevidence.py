"""Evidence that a new software version is worse than the old one, from counts of their answers.

Pattern: a bad version fails, or answers several times slower, on a part of its calls, perhaps on
one route only. Disturbances of the platform hit both versions at the same time and say nothing.

Bad answers are compared by route in windows of time. If the new version is no worse, the bad
answers of a window fall on its calls at most in proportion to their number. For that hypothesis
each ``theta`` gives a product of ``theta ** new_bad / (1 + share * (theta - 1)) ** all_bad`` over
all windows, whose expectation never exceeds 1 (the hypergeometric distribution is dominated by the
binomial one in convex order). By Ville's inequality, such a product ever reaches ``1 / error``
with a probability of ``error`` at most, however often it is looked at.

A single target that fails, or is slow, by itself is no evidence against its version: its bad
answers count only as far as other targets of the version have some, too.

In a window with few calls of the old version, its rate since the order stands for them. The stated
error then assumes that bad answers do not become ``BASELINE_FACTOR`` times as frequent for other
reasons.
"""

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

# Probability of a false rollback over all routes and both kinds of bad answers of one order.
FALSE_ROLLBACK_ERROR = 5e-4
# Probability that a version passes on a route although it is worse there by MIN_EXCESS_RATE.
FALSE_PASS_ERROR = 0.01
MIN_EXCESS_RATE = 0.1
# The same for all routes together, which decides where single routes have too few calls, and for
# each route when little time is left: a good version that is not done in time is a failure, too.
LATE_FALSE_PASS_ERROR = 0.05
# Factors by which a bad version may be worse; the evidence is the mean over them.
THETAS = (3.0, 10.0, 30.0)
# Without calls of the old version, the new one may have this rate of bad answers, or this multiple
# of the old version's rate since the order.
BASELINE_RATE = 0.02
BASELINE_FACTOR = 3.0
MIN_GOOD_RATE = 0.005
# From this value on, evidence that is not sufficient for a rollback keeps the share from growing.
SUSPICION = math.log(20.0)
# Bad answers of a version's worst target count up to this multiple of those of all others and one.
WORST_TARGET_FACTOR = 1
# A target with at least this part of the new version's calls counts as one of several.
MIN_TARGET_SHARE = 0.1


class CountKey(NamedTuple):
    """What calls are counted by: the route, and the target if it has the new version, or ""."""

    route: str
    target: str


@dataclass
class RouteCounts:
    """Ended calls of one route by version, with those answered badly and slowly."""

    old_calls: int = 0
    old_bad: int = 0
    old_slow: int = 0
    new_calls: int = 0
    new_bad: int = 0
    new_slow: int = 0

    def add(self, other: "RouteCounts") -> None:
        """Adds the calls of another count."""
        self.old_calls += other.old_calls
        self.old_bad += other.old_bad
        self.old_slow += other.old_slow
        self.new_calls += other.new_calls
        self.new_bad += other.new_bad
        self.new_slow += other.new_slow

    def subtract(self, other: "RouteCounts") -> "RouteCounts":
        """Returns the calls that have ended since an earlier count; never negative."""
        return RouteCounts(
            max(0, self.old_calls - other.old_calls),
            max(0, self.old_bad - other.old_bad),
            max(0, self.old_slow - other.old_slow),
            max(0, self.new_calls - other.new_calls),
            max(0, self.new_bad - other.new_bad),
            max(0, self.new_slow - other.new_slow),
        )


COUNT_NAMES = ("old_calls", "old_bad", "old_slow", "new_calls", "new_bad", "new_slow")


@dataclass
class _Comparison:
    """The test of one kind of bad answers on one route."""

    log_values: list[float] = field(default_factory=lambda: [0.0] * len(THETAS))

    @property
    def log_evidence(self) -> float:
        """Natural logarithm of the mean product."""
        peak = max(self.log_values)
        total = sum(math.exp(value - peak) for value in self.log_values)
        return peak + math.log(total / len(self.log_values))

    def add(self, calls: tuple[int, int], bad: tuple[int, int], old_rate: float) -> None:
        """Adds a window; ``calls`` and ``bad`` are those of the old and the new version."""
        (old_calls, new_calls), (old_bad, new_bad) = calls, bad
        if not new_calls:
            return
        share = new_calls / (old_calls + new_calls)
        baseline = min(1.0, max(BASELINE_RATE, BASELINE_FACTOR * old_rate))
        for position, theta in enumerate(THETAS):
            if new_calls > old_calls:
                expected = new_calls * math.log1p(baseline * (theta - 1))
            else:
                expected = (old_bad + new_bad) * math.log1p(share * (theta - 1))
            self.log_values[position] += new_bad * math.log(theta) - expected


@dataclass
class _RouteEvidence:
    # Logarithm that the evidence on this route must reach for a rollback.
    threshold: float
    # Bad answers of the new version are those that count, by targets all of them.
    total: RouteCounts = field(default_factory=RouteCounts)
    targets: dict[str, RouteCounts] = field(default_factory=dict)
    bad: _Comparison = field(default_factory=_Comparison)
    slow: _Comparison = field(default_factory=_Comparison)

    def add_calls(self, counts: Mapping[str, RouteCounts]) -> RouteCounts:
        """Adds calls by target; returns them without the bad answers that do not count."""
        added = _sum(counts.values())
        for target, count in counts.items():
            if target:
                self.targets.setdefault(target, RouteCounts()).add(count)
        limit_bad, limit_slow = self._limit_new_bad()
        added.new_bad = max(0, limit_bad - self.total.new_bad)
        added.new_slow = max(0, limit_slow - self.total.new_slow)
        self.total.add(added)
        return added

    def _limit_new_bad(self) -> tuple[int, int]:
        """Returns the numbers of bad and of slow answers of the new version that count."""
        targets = list(self.targets.values())
        calls = sum(count.new_calls for count in targets)
        active = sum(count.new_calls >= MIN_TARGET_SHARE * calls for count in targets)
        is_single = active < 2
        return (
            _limit_worst([count.new_bad for count in targets], is_single),
            _limit_worst([count.new_slow for count in targets], is_single),
        )


def _limit_worst(counts: list[int], is_single: bool) -> int:
    total, worst = sum(counts), max(counts, default=0)
    others = total - worst
    return total if is_single else others + min(worst, WORST_TARGET_FACTOR * others + 1)


@dataclass(frozen=True)
class Verdict:
    """The strongest evidence against the new version."""

    route: str
    kind: str
    log_evidence: float
    threshold: float
    counts: RouteCounts

    @property
    def is_bad(self) -> bool:
        """Whether the evidence is sufficient for a rollback."""
        return self.log_evidence >= self.threshold

    @property
    def is_suspect(self) -> bool:
        """Whether the evidence keeps the share from growing."""
        return self.log_evidence >= SUSPICION

    def describe(self) -> str:
        """Returns the route, the counts of both versions and the evidence, for logs."""
        counts = self.counts
        old, new = (
            (counts.old_bad, counts.new_bad)
            if self.kind == "bad"
            else (counts.old_slow, counts.new_slow)
        )
        return (
            f"route {self.route}: {new} of {counts.new_calls} {self.kind} at the new version,"
            f" {old} of {counts.old_calls} at the old; evidence {self.log_evidence:.1f},"
            f" rolled back from {self.threshold:.1f}"
        )


class VersionEvidence:
    """Compares a new version with the old one by route, in windows that the caller closes."""

    def __init__(self) -> None:
        self._routes: dict[str, _RouteEvidence] = {}
        self._window: dict[CountKey, RouteCounts] = {}

    def add(self, counts: Mapping[CountKey, RouteCounts]) -> None:
        """Adds ended calls to the present window."""
        for key, count in counts.items():
            if count != RouteCounts():
                self._window.setdefault(key, RouteCounts()).add(count)

    def add_earlier(self, counts: Mapping[CountKey, RouteCounts]) -> None:
        """Adds calls of an unknown time: they let a version pass, but are no evidence against it.

        Without calls of the old version since, they also state its usual rate of bad answers.
        """
        for route, targets in _group_by_route(counts).items():
            self._get_route(route).add_calls(targets)

    def _get_route(self, route: str) -> _RouteEvidence:
        if route not in self._routes:
            self._routes[route] = _RouteEvidence(self._compute_threshold())
        return self._routes[route]

    def close_window(self) -> None:
        """Evaluates the calls since the last window."""
        window, self._window = self._window, {}
        for route, targets in _group_by_route(window).items():
            evidence = self._get_route(route)
            total = evidence.total
            bad_rate = _estimate_rate(total.old_bad, total.old_calls)
            slow_rate = _estimate_rate(total.old_slow, total.old_calls)
            count = evidence.add_calls(targets)
            calls = (count.old_calls, count.new_calls)
            evidence.bad.add(calls, (count.old_bad, count.new_bad), bad_rate)
            evidence.slow.add(calls, (count.old_slow, count.new_slow), slow_rate)

    def _compute_threshold(self) -> float:
        """Returns the threshold of a further route: the errors of all routes and kinds add up."""
        number = len(self._routes) + 1
        return math.log(2 * number * (number + 1) / FALSE_ROLLBACK_ERROR)

    def find_worst(self) -> Verdict | None:
        """Returns the strongest evidence, in relation to its threshold; None: no call ended."""
        verdicts = [
            Verdict(route, kind, comparison.log_evidence, evidence.threshold, evidence.total)
            for route, evidence in self._routes.items()
            for kind, comparison in (("bad", evidence.bad), ("slow", evidence.slow))
        ]
        return max(verdicts, key=lambda v: v.log_evidence - v.threshold, default=None)

    def has_passed(self, min_route_calls: float, *, is_late: bool) -> bool:
        """Whether the new version has passed in all, and on each route with so many calls.

        A sequential probability ratio test of "as the old version" against "worse by
        MIN_EXCESS_RATE", with FALSE_PASS_ERROR; the calls of both versions count for the number.
        """
        totals = [evidence.total for evidence in self._routes.values()]
        error = LATE_FALSE_PASS_ERROR if is_late else FALSE_PASS_ERROR
        return _passes(_sum(totals), LATE_FALSE_PASS_ERROR) and all(
            _passes(total, error)
            for total in totals
            if total.old_calls + total.new_calls >= min_route_calls
        )

    def sum_calls(self) -> RouteCounts:
        """Returns the calls of all routes."""
        return _sum(evidence.total for evidence in self._routes.values())


def _group_by_route(counts: Mapping[CountKey, RouteCounts]) -> dict[str, dict[str, RouteCounts]]:
    grouped: dict[str, dict[str, RouteCounts]] = {}
    for key, count in counts.items():
        if count != RouteCounts():
            grouped.setdefault(key.route, {})[key.target] = count
    return grouped


def _sum(counts: Iterable[RouteCounts]) -> RouteCounts:
    total = RouteCounts()
    for count in counts:
        total.add(count)
    return total


def _estimate_rate(bad: int, calls: int) -> float:
    return (bad + 0.5) / (calls + 1) if calls else 0.0


def _passes(total: RouteCounts, error: float) -> bool:
    kinds = ((total.old_bad, total.new_bad), (total.old_slow, total.new_slow))
    return all(_compute_pass_value(total, *bad) >= math.log(1 / error) for bad in kinds)


def _compute_pass_value(total: RouteCounts, old_bad: int, new_bad: int) -> float:
    """Returns the log likelihood ratio of the old version's rate against a worse one."""
    good_rate = max(MIN_GOOD_RATE, min(0.8, _estimate_rate(old_bad, total.old_calls)))
    bad_rate = good_rate + MIN_EXCESS_RATE
    good_calls = total.new_calls - new_bad
    return good_calls * math.log((1 - good_rate) / (1 - bad_rate)) + new_bad * math.log(
        good_rate / bad_rate
    )
