"""Idle limits of pooled connections, learned from resets."""

import unittest

from mulberryrill.internal.core.serving.idlelimits import (
    RESET_RETENTION_S,
    RESET_WINDOW_S,
    IdleLimits,
)
from mulberryrill.internal.ids import ServiceName

SERVICE = ServiceName("desk")


class IdleLimitsTest(unittest.TestCase):
    """Guards against calls on idle connections that targets have dropped without notice."""

    def setUp(self) -> None:
        self.limits = IdleLimits()

    def test_two_resets_in_a_row_give_a_limit_below_both(self) -> None:
        self.limits.record_reset(SERVICE, 0.5, 1.0)
        self.assertIsNone(self.limits.find_limit(SERVICE, 1.0))
        self.limits.record_reset(SERVICE, 0.4, 2.0)
        limit = self.limits.find_limit(SERVICE, 2.0)
        assert limit is not None
        self.assertLess(limit, 0.3)
        self.assertIsNone(self.limits.find_limit(ServiceName("lm"), 2.0))

    def test_resets_far_apart_set_no_limit(self) -> None:
        self.limits.record_reset(SERVICE, 0.5, 1.0)
        self.limits.record_reset(SERVICE, 0.5, 1.1 + RESET_WINDOW_S)
        self.assertIsNone(self.limits.find_limit(SERVICE, 1.1 + RESET_WINDOW_S))

    def test_limit_is_dropped_after_the_last_reset(self) -> None:
        self.limits.record_reset(SERVICE, 0.5, 1.0)
        self.limits.record_reset(SERVICE, 0.5, 1.1)
        self.assertIsNotNone(self.limits.find_limit(SERVICE, 1.0 + RESET_RETENTION_S))
        self.assertIsNone(self.limits.find_limit(SERVICE, 1.2 + RESET_RETENTION_S))
