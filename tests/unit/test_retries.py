"""Tests the retry budget, and that a request counts as not run only if it cannot have run."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from mulberryrill.internal.core.retries import AttemptTracker, RetryBudget
from mulberryrill.internal.ids import AttemptId, Executed

FIRST, SECOND = AttemptId("att-1"), AttemptId("att-2")


class RetryBudgetTest(unittest.TestCase):
    """Guards against retries multiplying the load of failing targets."""

    @settings(derandomize=True, deadline=None)
    @given(st.lists(st.integers(0, 5), min_size=100, max_size=400))
    def test_any_window_sends_at_most_1_2_for_each_request(self, wanted: list[int]) -> None:
        budget = RetryBudget()
        retries = []
        for wanted_retries in wanted:
            budget.record_request()
            retries.append(sum(budget.try_withdraw() for _ in range(wanted_retries)))
        for length in (100, len(wanted)):
            for start in range(len(wanted) - length + 1):
                window = sum(retries[start : start + length])
                self.assertLessEqual(window, 0.2 * length + 1e-9)

    def test_reserve_then_one_retry_for_ten_requests(self) -> None:
        budget = RetryBudget()
        self.assertEqual(sum(budget.try_withdraw() for _ in range(20)), 10)
        for _ in range(9):
            budget.record_request()
        self.assertFalse(budget.try_withdraw())
        budget.record_request()
        self.assertTrue(budget.try_withdraw())


class AttemptTrackerTest(unittest.TestCase):
    """Guards against reporting a request as not run although it may have run."""

    def setUp(self) -> None:
        self.tracker = AttemptTracker()
        self.tracker.on_start(FIRST)

    def test_not_run_until_a_byte_is_sent(self) -> None:
        self.assertIs(self.tracker.executed, Executed.NO)
        self.tracker.on_bytes_sent(FIRST)
        self.assertIs(self.tracker.executed, Executed.UNKNOWN)

    def test_documented_rejection_is_not_run(self) -> None:
        self.tracker.on_bytes_sent(FIRST)
        self.tracker.on_rejected(FIRST)
        self.assertIs(self.tracker.executed, Executed.NO)

    def test_rejection_of_one_attempt_says_nothing_of_another(self) -> None:
        self.tracker.on_bytes_sent(FIRST)
        self.tracker.on_start(SECOND)
        self.tracker.on_rejected(SECOND)
        self.assertIs(self.tracker.executed, Executed.UNKNOWN)

    def test_answer_is_final(self) -> None:
        self.tracker.on_response(FIRST)
        self.tracker.on_rejected(FIRST)
        self.tracker.on_start(SECOND)
        self.tracker.on_bytes_sent(SECOND)
        self.assertIs(self.tracker.executed, Executed.YES)


class RestartedInstancesTest(unittest.TestCase):
    """Guards against a reserve of retries that each restart, or each side of a cut, has anew."""

    WINDOW_S = 10.0
    INSTANCES = 8
    RESERVE = 28.0

    @settings(derandomize=True, deadline=None)
    @given(st.lists(st.floats(0.1, 10.0), min_size=1, max_size=30))
    def test_restarts_within_a_window_share_one_reserve(self, uptimes: list[float]) -> None:
        """Each process uses up what it has at the end of its time, and none gets requests."""
        retries, processes, window_s, counted_s = 0, 0, self.WINDOW_S, 0.0
        for uptime_s in uptimes:
            if counted_s + uptime_s > window_s:
                break
            counted_s += uptime_s
            processes += 1
            share = min(1.0, uptime_s / window_s)
            budget = RetryBudget(0.1, self.RESERVE, initial_share=share)
            while budget.try_withdraw():
                retries += 1
        # Each process has one retry, even one that has just started.
        self.assertLessEqual(retries, self.RESERVE + processes)

    @settings(derandomize=True, deadline=None)
    @given(st.integers(0, 8))
    def test_sides_of_a_cut_use_less_than_operators_allow(self, cut_off: int) -> None:
        """Those cut off from the store keep the list of all; the others divide by fewer."""
        allowed, used_share = 56.0, 0.5
        connected = self.INSTANCES - cut_off
        per_connected = used_share * allowed / max(1, connected)
        per_cut_off = used_share * allowed / self.INSTANCES
        total = connected * per_connected + cut_off * per_cut_off
        self.assertLessEqual(total, allowed)
