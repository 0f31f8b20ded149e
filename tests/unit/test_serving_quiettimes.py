"""Quiet times that targets ask for, and marks of targets that leave, without a network."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from mulberryrill.internal.core.serving.quiettimes import (
    MAX_QUIET_S,
    MAX_RETRY_SPREAD_S,
    QuietTimes,
)
from mulberryrill.internal.core.serving.targettable import LEAVING_RETENTION_S, Target, TargetTable
from mulberryrill.internal.entry.targetupdates import TargetUpdates, find_leaving_run
from mulberryrill.internal.ids import ServiceName
from tests.unit.test_serving_targettable import create_registration

SERVICE = ServiceName("desk")
RESPONSES = st.lists(st.tuples(st.sampled_from("12"), st.floats(0, 20), st.floats(0, 10)))


def create_target(name: str, incarnation: str = "1") -> Target:
    return Target(create_registration(name, incarnation=incarnation, service=SERVICE))


class QuietTimesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.quiet = QuietTimes()
        self.first, self.second = create_target("t1"), create_target("t2")

    def test_no_service_is_chosen_from_while_all_targets_are_quiet(self) -> None:
        """The load of the incident: every target of a service turns calls away at once."""
        targets = [self.first, self.second]
        self.quiet.observe(self.first.registration.run, 3.0, 10.0)
        self.assertEqual(self.quiet.list_allowed(targets, 10.1), [self.second])
        self.quiet.observe(self.second.registration.run, 2.0, 10.0)
        self.assertEqual(self.quiet.list_allowed(targets, 11.9), [])
        self.assertEqual(self.quiet.list_allowed(targets, 12.0), [self.second])
        self.assertEqual(self.quiet.list_allowed(targets, 13.0), targets)

    def test_retry_delay_is_the_time_until_the_first_target_wants_calls(self) -> None:
        self.quiet.observe(self.first.registration.run, 30.0, 10.0)
        self.quiet.observe(self.second.registration.run, 8.0, 10.0)
        for fraction in (0.0, 0.5, 1.0):
            delay_s = self.quiet.compute_retry_delay([self.first, self.second], fraction, 12.0)
            self.assertGreaterEqual(delay_s, 6.0)
            self.assertLessEqual(delay_s, 6.0 + MAX_RETRY_SPREAD_S)

    def test_shorter_time_does_not_end_a_longer_one(self) -> None:
        self.assertTrue(self.quiet.observe(self.first.registration.run, 5.0, 0.0))
        self.assertFalse(self.quiet.observe(self.first.registration.run, 1.0, 0.0))
        self.assertEqual(self.quiet.list_allowed([self.first], 4.9), [])

    def test_new_incarnation_is_not_quiet(self) -> None:
        self.quiet.observe(self.first.registration.run, 5.0, 0.0)
        again = create_target("t1", "2")
        self.assertEqual(self.quiet.list_allowed([again], 1.0), [again])
        self.quiet.prune({again.id: again.registration}, 1.0)
        self.assertEqual(self.quiet.count(1.0), 0)

    def test_lapsed_registration_does_not_end_a_quiet_time(self) -> None:
        self.quiet.observe(self.first.registration.run, 5.0, 0.0)
        self.quiet.prune({}, 1.0)
        self.assertEqual(self.quiet.list_allowed([self.first], 1.0), [])

    def test_time_of_more_than_a_day_is_cut(self) -> None:
        self.quiet.observe(self.first.registration.run, 10 * MAX_QUIET_S, 0.0)
        self.assertEqual(self.quiet.list_allowed([self.first], MAX_QUIET_S), [self.first])

    @given(RESPONSES)
    def test_targets_are_left_alone_until_the_last_time_that_they_named(
        self, responses: list[tuple[str, float, float]]
    ) -> None:
        quiet, now = QuietTimes(), 0.0
        ends: dict[str, float] = {}
        for incarnation, seconds, step_s in responses:
            now += step_s
            target = create_target("t1", incarnation)
            quiet.observe(target.registration.run, seconds, now)
            # The newest response came from the incarnation that lives.
            ends = {incarnation: max(ends.get(incarnation, 0.0), now + seconds)}
            self.assertEqual(bool(quiet.list_allowed([target], now)), now >= ends[incarnation])


class LeavingMarkTest(unittest.TestCase):
    def setUp(self) -> None:
        self.table = TargetTable()
        self.registration = create_registration("t1", service=SERVICE)
        self.table.apply(self.registration, 0.0)

    def test_registration_that_lapsed_and_returned_does_not_lift_the_mark(self) -> None:
        self.table.mark_leaving(self.registration.run, 0.0)
        self.table.remove(self.registration.target, 1.0)
        self.table.prune_leaving(2.0)
        self.table.apply(self.registration, 3.0)
        self.assertEqual(self.table.list_usable(SERVICE), [])

    def test_mark_is_kept_while_the_target_is_registered(self) -> None:
        self.table.mark_leaving(self.registration.run, 0.0)
        self.table.prune_leaving(2 * LEAVING_RETENTION_S)
        self.assertEqual(self.table.list_usable(SERVICE), [])
        self.assertEqual(self.table.leaving_count, 1)

    def test_restored_registry_does_not_lift_the_mark(self) -> None:
        self.table.mark_leaving(self.registration.run, 0.0)
        self.table.restore_all([self.registration], 1.0)
        self.assertEqual(self.table.list_usable(SERVICE), [])

    def test_peers_learn_of_it(self) -> None:
        sender = TargetUpdates(self.table)
        sender.record_leaving(self.registration.run)
        (update,) = sender.pop_updates(0.0)
        self.assertEqual(find_leaving_run(update), self.registration.run)
        self.assertEqual(sender.pop_updates(1.0), [])
