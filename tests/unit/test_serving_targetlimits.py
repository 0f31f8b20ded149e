"""Rate limits that targets name in their responses."""

import itertools
import unittest

from mulberryrill.internal.core.serving.targetlimits import (
    LIFTED_RETENTION_S,
    LIMIT_WINDOW_S,
    SCOUT_INTERVAL_S,
    LimitNews,
    TargetLimits,
)
from mulberryrill.internal.core.serving.targettable import Target
from mulberryrill.internal.ids import DataCentre, InstanceId, ServiceName
from tests.unit.test_serving_targettable import create_registration

SERVICE = ServiceName("engine")
# From the users' specification: most calls in a window, as a multiple of the limit and a reserve.
FACTOR, RESERVE = 1.5, 5
URGENT, LESS_URGENT = 0, 4


def compute_bound(rate: float) -> float:
    return FACTOR * rate * LIMIT_WINDOW_S + RESERVE


def create_target(name: str = "t1", incarnation: str = "1") -> Target:
    return Target(create_registration(name, incarnation=incarnation, service=SERVICE))


def create_instances(count: int, data_centres: int = 3) -> dict[InstanceId, DataCentre]:
    return {InstanceId(f"i{n}"): DataCentre(f"z{n % data_centres}") for n in range(count)}


def create_limits(
    instance: str, instances: dict[InstanceId, DataCentre], now: float = 0.0
) -> TargetLimits:
    limits = TargetLimits(InstanceId(instance))
    limits.set_instances(instances, now)
    return limits


def count_most(sent_at: list[float]) -> int:
    """Returns the most calls in any window."""
    times = sorted(sent_at)
    return max(sum(start <= t < start + LIMIT_WINDOW_S for t in times) for start in times)


class NamedLimitTest(unittest.TestCase):
    def setUp(self) -> None:
        self.target = create_target()
        self.limits = create_limits("i0", create_instances(1))

    def observe(self, rate: float | None, sent_at: float, now: float) -> bool:
        return self.limits.observe(self.target.registration, rate, sent_at, now)

    def tell(self, rate: float | None, named_at: float) -> bool:
        news = LimitNews(self.target.registration.run, rate, named_at, is_own=False)
        return self.limits.apply_news(self.target.registration, news, named_at)

    def test_limit_holds_until_a_later_call_is_answered_without_it(self) -> None:
        """Guards against a limit that is dropped because an older response arrives after it."""
        self.assertTrue(self.observe(2.0, 0.0, 1.0))
        self.assertFalse(self.observe(2.0, 0.5, 1.2))
        self.assertFalse(self.observe(None, 1.1, 1.3))
        self.assertEqual(self.limits.limited_count, 1)
        self.assertTrue(self.observe(None, 1.3, 1.4))
        self.assertEqual(self.limits.limited_count, 0)

    def test_sent_calls_are_counted_over_the_window(self) -> None:
        for number in range(10):
            self.limits.record_send(self.target.registration, URGENT, number * 1.0)
        self.assertEqual(self.limits.count_sent(self.target.id, 9.0), 4)
        self.assertEqual(self.limits.count_sent(self.target.id, 9.0 + LIMIT_WINDOW_S), 0)

    def test_limit_ends_with_the_targets_incarnation(self) -> None:
        self.observe(2.0, 0.0, 1.0)
        restarted = create_target(incarnation="2")
        admitted = self.limits.list_admitted([restarted], SERVICE, URGENT, 1.1)
        self.assertEqual(admitted, [restarted])
        self.limits.prune({restarted.id: restarted.registration}, 1.2)
        self.assertEqual(self.limits.limited_count, 0)

    def test_newest_news_of_peers_counts(self) -> None:
        self.assertTrue(self.tell(2.0, 1.0))
        self.assertFalse(self.tell(None, 0.9))
        self.assertTrue(self.tell(None, 1.1))
        self.assertFalse(self.tell(2.0, 1.0), "lifted since")
        self.limits.prune({self.target.id: self.target.registration}, 1.1 + LIFTED_RETENTION_S)
        self.assertTrue(self.tell(3.0, 12.0))

    def test_only_own_news_is_passed_on(self) -> None:
        """Guards against news that gets younger with each instance that passes it on."""
        self.tell(2.0, 1.0)
        self.assertEqual(self.limits.list_own_news(), [])
        self.observe(2.0, 1.0, 1.5)
        self.assertEqual([news.named_at for news in self.limits.list_own_news()], [1.5])
        self.observe(None, 2.0, 2.5)
        self.assertEqual([news.rate for news in self.limits.list_own_news()], [None])

    def test_share_begins_empty_although_the_news_is_old(self) -> None:
        """Guards against a burst of instances that learn of a limit long after it was named."""
        news = LimitNews(self.target.registration.run, 2.0, 1.0, is_own=False)
        self.limits.apply_news(self.target.registration, news, 9.0)
        self.assertEqual(self.limits.list_admitted([self.target], SERVICE, URGENT, 9.0), [])

    def test_instance_without_a_list_of_instances_sends_nothing(self) -> None:
        """Guards against an instance that takes itself for the only one after its start."""
        limits = TargetLimits(InstanceId("i0"))
        limits.observe(self.target.registration, 2.0, 0.0, 1.0)
        for now in (1.0, 3.0, 9.0):
            self.assertEqual(limits.list_admitted([self.target], SERVICE, URGENT, now), [])


class SharedRateTest(unittest.TestCase):
    """Replays load that exceeds a limit, at all instances at once."""

    def replay(
        self,
        rate: float,
        views: dict[InstanceId, dict[InstanceId, DataCentre]],
        seconds: float = 20.0,
        interval_s: float = 0.05,
    ) -> list[float]:
        """Each instance always has a call; returns when the target got calls."""
        target = create_target()
        all_limits = [create_limits(name, view) for name, view in views.items()]
        for limits in all_limits:
            limits.observe(target.registration, rate, 0.0, 0.0)
        sent_at = []
        for step in range(int(seconds / interval_s)):
            now = step * interval_s
            for limits in all_limits:
                if limits.list_admitted([target], SERVICE, URGENT, now):
                    limits.record_send(target.registration, URGENT, now)
                    limits.observe(target.registration, rate, now, now)
                    sent_at.append(now)
        return sent_at

    def test_all_instances_together_keep_the_limit(self) -> None:
        for count, rate in itertools.product((1, 2, 6, 8, 40, 84, 195), (0.3, 1.7, 2.4, 11.5, 60)):
            instances = create_instances(count)
            with self.subTest(count=count, rate=rate):
                sent_at = self.replay(rate, dict.fromkeys(instances, instances))
                self.assertLessEqual(count_most(sent_at), compute_bound(rate))
                offered = min(rate, count / 0.05) * 20.0
                self.assertGreaterEqual(len(sent_at), 0.6 * offered - 1)

    def test_limit_holds_while_instances_see_different_lists(self) -> None:
        """Instances that have started, or that some count as gone, are on some lists only."""
        before, after = create_instances(8), create_instances(11)
        for rate in (1.0, 1.7, 2.4, 6.0):
            views = {name: before if int(name[1:]) < 8 else after for name in after}
            with self.subTest(rate=rate, change="three more"):
                self.assertLessEqual(count_most(self.replay(rate, views)), compute_bound(rate))
            gone = InstanceId("i3")
            fewer = {name: centre for name, centre in before.items() if name != gone}
            views = {name: fewer if int(name[1:]) % 2 else before for name in before}
            with self.subTest(rate=rate, change="one gone for half of them"):
                self.assertLessEqual(count_most(self.replay(rate, views)), compute_bound(rate))

    def test_tiny_limit_does_not_stop_all_calls(self) -> None:
        """Guards against targets that can never tell that they are no longer in need."""
        instances = create_instances(8)
        sent_at = self.replay(0.0, dict.fromkeys(instances, instances))
        self.assertGreater(len(sent_at), 0)
        self.assertLessEqual(count_most(sent_at), compute_bound(0.0))

    def test_instance_that_was_frozen_sends_no_backlog(self) -> None:
        instances = create_instances(8)
        target = create_target()
        limits = create_limits("i0", instances)
        limits.observe(target.registration, 8.0, 0.0, 0.0)
        sent = 0
        while limits.list_admitted([target], SERVICE, URGENT, 60.0):
            limits.record_send(target.registration, URGENT, 60.0)
            sent += 1
        self.assertLessEqual(sent, 2)

    def test_shares_are_spread_over_the_data_centres(self) -> None:
        """Guards against a target whose own data centre cannot use it while it is cut off."""
        instances = create_instances(84, data_centres=4)
        for number in range(20):
            registration = create_registration(f"t{number}", data_centre="z2", service=SERVICE)
            senders = []
            for name in instances:
                limits = create_limits(name, instances)
                limits.observe(registration, 2.0, 0.0, 0.0)
                if limits.list_admitted([Target(registration)], SERVICE, URGENT, 30.0):
                    senders.append(name)
            self.assertEqual({instances[name] for name in senders}, {"z0", "z1", "z2", "z3"})

    def test_data_centre_without_a_share_sends_a_call_when_news_is_old(self) -> None:
        """Guards against limits that a data centre never learns the end of."""
        instances = create_instances(26, data_centres=13)
        target = create_target()
        interval_s = SCOUT_INTERVAL_S * 13
        early, late = [], []
        for name in instances:
            limits = create_limits(name, instances)
            news = LimitNews(target.registration.run, 0.5, 0.0, is_own=False)
            limits.apply_news(target.registration, news, 0.0)
            if limits.list_admitted([target], SERVICE, URGENT, interval_s - 1):
                early.append(instances[name])
            if limits.list_admitted([target], SERVICE, URGENT, interval_s):
                late.append(instances[name])
        self.assertLess(len(set(early)), 13)
        self.assertEqual(len(late), 13)
        self.assertEqual(len(set(late)), 13)


class UrgencyTest(unittest.TestCase):
    def setUp(self) -> None:
        self.target = create_target()
        self.limits = create_limits("i0", create_instances(1))
        self.limits.observe(self.target.registration, 2.0, 0.0, 0.0)

    def is_admitted(self, priority: int, now: float) -> bool:
        return bool(self.limits.list_admitted([self.target], SERVICE, priority, now))

    def test_less_urgent_calls_leave_room_for_refused_urgent_ones(self) -> None:
        self.limits.record_refusal(SERVICE, URGENT, 0.4)
        self.assertFalse(self.is_admitted(LESS_URGENT, 0.6), "one call fits, for the urgent one")
        self.assertTrue(self.is_admitted(URGENT, 0.6))
        self.assertTrue(self.is_admitted(LESS_URGENT, 1.1), "two calls fit")

    def test_room_is_no_longer_kept_once_the_urgent_call_was_sent(self) -> None:
        self.limits.record_refusal(SERVICE, URGENT, 0.4)
        self.limits.record_send(self.target.registration, URGENT, 0.6)
        self.assertTrue(self.is_admitted(LESS_URGENT, 1.1))

    def test_room_is_kept_for_a_window_only(self) -> None:
        for _ in range(20):
            self.limits.record_refusal(SERVICE, URGENT, 0.1)
        self.assertFalse(self.is_admitted(LESS_URGENT, LIMIT_WINDOW_S))
        self.assertTrue(self.is_admitted(LESS_URGENT, 0.2 + LIMIT_WINDOW_S))

    def test_unlimited_targets_take_calls_of_any_urgency(self) -> None:
        other = create_target("t2")
        self.limits.record_refusal(SERVICE, URGENT, 0.4)
        admitted = self.limits.list_admitted([self.target, other], SERVICE, LESS_URGENT, 0.6)
        self.assertEqual(admitted, [other])

    def test_refused_calls_return_in_order_of_urgency(self) -> None:
        def compute_delay(priority: int) -> float:
            return self.limits.compute_retry_delay([self.target], SERVICE, priority, 0.0, 0.5)

        self.assertEqual(compute_delay(URGENT), compute_delay(LESS_URGENT))
        for _ in range(4):
            self.limits.record_refusal(SERVICE, URGENT + 1, 0.5)
        self.assertAlmostEqual(compute_delay(URGENT), 0.5)
        self.assertAlmostEqual(compute_delay(LESS_URGENT), 2.5)
