"""Cached parts that count as computed by their salt's version, under late and lost knowledge."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from mulberryrill.internal.core.serving.cachevalidity import VersionTimes
from mulberryrill.internal.ids import ModelName, WeightVersion

MODEL = ModelName("m")
# What happens in one step of time, and how far an instance's knowledge then lags behind.
STEPS = st.lists(
    st.tuples(st.sampled_from(["name", "compute", "read", "hear"]), st.integers(0, 5)),
    min_size=1,
    max_size=40,
)


class KnownHistory:
    """Versions are named, engines load them at once, and one instance learns of both late."""

    def __init__(self) -> None:
        self.times = VersionTimes()
        self.named_at: dict[int, int] = {}
        # Time, salt version and version of the weights that computed the part.
        self.parts: list[tuple[int, int, int]] = []

    def get_newest(self, at: int) -> int:
        return max((version for version, time in self.named_at.items() if time <= at), default=0)

    def apply(self, kind: str, lag: int, now: int) -> None:
        newest = self.get_newest(now)
        if kind == "name":
            self.named_at[newest + 1] = now
        elif kind == "compute":
            # A preempted call of an older version, if the lag is not 0.
            self.parts.append((now, max(0, newest - lag), newest))
        elif kind == "read":
            for version, named_at in self.named_at.items():
                if named_at < now - lag:
                    self.times.record(MODEL, WeightVersion(version))
            self.times.confirm(now - lag)
        elif newest:
            # A peer or a target tells of a version; older ones may still be unknown.
            self.times.record(MODEL, WeightVersion(newest))

    def list_wrong(self) -> list[tuple[int, int, int]]:
        """Returns the parts that count although other weights computed them."""
        return [
            (time, salt, weights)
            for time, salt, weights in self.parts
            if weights != salt
            and time < self.times.find_last_valid_time(MODEL, WeightVersion(salt))
        ]


class CacheValidityTest(unittest.TestCase):
    @given(STEPS)
    def test_no_part_of_newer_weights_counts(self, steps: list[tuple[str, int]]) -> None:
        history = KnownHistory()
        for now, (kind, lag) in enumerate(steps, start=1):
            history.apply(kind, lag, now)
            self.assertEqual(history.list_wrong(), [])

    def test_check_finds_a_version_that_is_recorded_too_late(self) -> None:
        """Shows that the check fails if records are confirmed before they are applied."""
        history = KnownHistory()
        history.apply("name", 0, 1)
        history.apply("compute", 1, 2)
        history.times.confirm(3)
        history.times.record(MODEL, WeightVersion(1))
        self.assertEqual(history.list_wrong(), [(2, 0, 1)])

    def test_part_counts_once_all_versions_before_it_are_known(self) -> None:
        times = VersionTimes()
        times.record(MODEL, WeightVersion(1))
        times.confirm(10.0)
        self.assertEqual(times.find_last_valid_time(MODEL, WeightVersion(1)), 10.0)
        times.record(MODEL, WeightVersion(2))
        times.confirm(20.0)
        self.assertEqual(times.find_last_valid_time(MODEL, WeightVersion(1)), 10.0)
        self.assertEqual(times.find_last_valid_time(MODEL, WeightVersion(2)), 20.0)
        self.assertEqual(times.find_newer(MODEL, WeightVersion(1)), 2)
        self.assertIsNone(times.find_newer(MODEL, WeightVersion(2)))
