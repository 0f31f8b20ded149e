"""Rate limits that targets name in their responses."""

import unittest

from mulberryrill.internal.core.serving.targetlimits import LIMIT_WINDOW_S, TargetLimits
from mulberryrill.internal.ids import TargetId

TARGET = TargetId("t1")


class NamedLimitTest(unittest.TestCase):
    def setUp(self) -> None:
        self.limits = TargetLimits()

    def test_limit_holds_until_a_later_call_is_answered_without_it(self) -> None:
        """Guards against a limit that is dropped because an older response arrives after it."""
        self.assertTrue(self.limits.observe(TARGET, 2.0, 0.0, 1.0))
        self.assertFalse(self.limits.observe(TARGET, 2.0, 0.5, 1.2))
        self.assertFalse(self.limits.observe(TARGET, None, 1.1, 1.3))
        self.assertEqual(self.limits.limited_count, 1)
        self.assertTrue(self.limits.observe(TARGET, None, 1.3, 1.4))
        self.assertEqual(self.limits.limited_count, 0)

    def test_sent_calls_are_counted_over_the_window(self) -> None:
        for number in range(10):
            self.limits.record_send(TARGET, number * 1.0)
        self.assertEqual(self.limits.count_sent(TARGET, 9.0), 4)
        self.assertEqual(self.limits.count_sent(TARGET, 9.0 + LIMIT_WINDOW_S), 0)

    def test_targets_that_are_gone_are_forgotten(self) -> None:
        self.limits.observe(TARGET, 2.0, 0.0, 1.0)
        self.limits.prune(set(), 1.0)
        self.assertEqual(self.limits.limited_count, 0)
