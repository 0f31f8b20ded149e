"""Whether targets could write to the registry, told from the records that they wrote."""

import random
import unittest

from mulberryrill.internal.core.serving.heartbeats import HeartbeatLog
from mulberryrill.internal.ids import TargetId

READ_INTERVAL_S = 0.67
OUTAGE_S = 5.0


class Registry:
    """Targets that write about every ``interval_s``, and a reader of their records."""

    def __init__(self, target_count: int, interval_s: float, seed: int) -> None:
        self.log = HeartbeatLog()
        self.now = 100.0
        self._random = random.Random(seed)
        self._interval_s = interval_s
        self._next_at = {
            TargetId(f"t{n}"): self.now + self._random.uniform(0, interval_s)
            for n in range(target_count)
        }

    def read(self, gap_s: float, silent_s: float = 0.0, silent_targets: int | None = None) -> bool:
        """Reads after a time; some or all targets cannot write for the first ``silent_s`` of it."""
        start, self.now = self.now, self.now + gap_s
        for number, target in enumerate(self._next_at):
            is_silent = silent_targets is None or number < silent_targets
            while self._next_at[target] <= self.now:
                if not is_silent or self._next_at[target] >= start + silent_s:
                    self.log.record(target)
                self._next_at[target] += self._interval_s * self._random.uniform(0.95, 1.05)
        return self.log.complete(self.now, len(self._next_at))

    def learn(self) -> None:
        for _ in range(20):
            self.read(READ_INTERVAL_S)


class HeartbeatLogTest(unittest.TestCase):
    def check(self, expected: bool, **gap: float) -> None:
        """Checks one gap for fleets of several sizes, intervals and times of their records."""
        for count in (3, 4, 9, 70):
            for interval_s in (0.8, 1.2, 1.5):
                for seed in range(20):
                    registry = Registry(count, interval_s, seed)
                    registry.learn()
                    with self.subTest(count=count, interval_s=interval_s, seed=seed):
                        self.assertIs(registry.read(**gap), expected)  # type: ignore[arg-type]

    def test_registry_was_there_if_all_went_on_to_write(self) -> None:
        self.check(True, gap_s=6.0)

    def test_registry_was_away_if_nobody_wrote(self) -> None:
        self.check(False, gap_s=OUTAGE_S + 0.5, silent_s=OUTAGE_S)

    def test_registry_was_there_if_one_of_three_data_centres_was_silent(self) -> None:
        registry = Registry(9, 1.2, 1)
        registry.learn()
        self.assertTrue(registry.read(6.0, silent_s=6.0, silent_targets=3))

    def test_outage_that_is_too_short_for_a_lapse_counts_as_none(self) -> None:
        registry = Registry(9, 1.2, 1)
        registry.learn()
        self.assertTrue(registry.read(1.5, silent_s=1.0))

    def test_nothing_is_told_before_the_interval_is_known(self) -> None:
        registry = Registry(9, 1.2, 1)
        self.assertFalse(registry.read(READ_INTERVAL_S))
        self.assertFalse(registry.read(READ_INTERVAL_S))

    def test_newest_records_tell_nothing(self) -> None:
        """Each target has only one, however often it wrote."""
        registry = Registry(9, 1.2, 1)
        registry.learn()
        registry.log.skip()
        self.assertFalse(registry.read(6.0))

    def test_gap_without_targets_tells_nothing(self) -> None:
        log = HeartbeatLog()
        self.assertFalse(log.complete(1.0, 0))
        self.assertFalse(log.complete(2.0, 0))
