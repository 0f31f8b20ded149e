"""Learned durations, speeds and remaining work of calls, and the placement by them."""

import math
import random
import unittest
from dataclasses import replace
from unittest.mock import Mock

from hypothesis import given, settings
from hypothesis import strategies as st

from mulberryrill.internal.core.serving.callcosts import (
    INITIAL_DURATION_S,
    MAX_CALL_GROUPS,
    MAX_DURATION_S,
    MAX_RELATIVE_ERROR,
    MAX_SAMPLES,
    MAX_SPEED_FACTOR,
    MIN_DURATION_S,
    MIN_REMAINING_SHARE,
    MIN_SAMPLES,
    MIN_SPEED_FACTOR,
    SPEED_HALF_LIFE_S,
    CallCosts,
    CallGroup,
    CostKind,
    DurationSample,
    RunningCall,
    compute_crowding,
)
from mulberryrill.internal.core.serving.loads import LoadReport, LoadTable
from mulberryrill.internal.core.serving.placement import (
    REMOTE_PENALTY,
    ColdPacer,
    Placement,
    PlacementRequest,
)
from mulberryrill.internal.core.serving.routetable import Prompt, Service
from mulberryrill.internal.core.serving.targettable import Registration, Target
from mulberryrill.internal.entry.attempt import Outcome
from mulberryrill.internal.entry.plaincalls import CallCostTracker, find_group
from mulberryrill.internal.ids import (
    DataCentre,
    Incarnation,
    InstanceId,
    ModelName,
)
from tests.common.placementload import GROUP, HOME, SERVICE, LoadShape, LoadSimulation
from tests.unit.test_serving_targettable import create_registration

MODEL_GROUP = CallGroup(CostKind.MODEL, SERVICE, "m")


def create_target(name: str, **changes: object) -> Target:
    return Target(create_registration(name, service=SERVICE, **changes))


def run_call(
    costs: CallCosts,
    registration: Registration,
    duration_s: float,
    now: float = 0.0,
    running: float = 0.0,
    group: CallGroup = GROUP,
) -> None:
    """Plays a call that is answered completely."""
    call = costs.start(group, registration, 1, running, now)
    costs.end(call, True, now + duration_s)


class DurationSampleTest(unittest.TestCase):
    def setUp(self) -> None:
        self.sample = DurationSample(MIN_DURATION_S, MAX_DURATION_S)

    def test_few_outliers_do_not_move_the_mean(self) -> None:
        """Guards against one stopped target or process that makes all calls seem long."""
        for number in range(MAX_SAMPLES):
            self.sample.add(60.0 if number % 25 == 0 else 0.1)
        self.assertAlmostEqual(self.sample.mean_s, 0.1)
        self.assertAlmostEqual(self.sample.median_s, 0.1)

    def test_absurd_durations_are_bounded(self) -> None:
        for duration_s in (-5.0, 0.0, math.inf, 1e9, math.nan):
            self.sample.add(duration_s)
        self.assertGreaterEqual(self.sample.mean_s, MIN_DURATION_S)
        self.assertLessEqual(self.sample.mean_s, MAX_DURATION_S)
        self.assertGreaterEqual(self.sample.median_s, MIN_DURATION_S)

    def test_call_that_runs_for_longer_than_most_is_a_long_one(self) -> None:
        """Guards against a target with long calls that seems almost idle."""
        for number in range(MAX_SAMPLES):
            self.sample.add(0.5 if number % 3 == 0 else 0.1)
        self.assertAlmostEqual(self.sample.estimate_remaining(0.2), 0.3)
        self.assertLess(self.sample.estimate_remaining(0.0), 0.3)

    def test_overdue_call_keeps_a_part_of_its_duration(self) -> None:
        for _ in range(MIN_SAMPLES):
            self.sample.add(0.2)
        for elapsed_s in (0.2, 1.0, 1e6):
            self.assertAlmostEqual(
                self.sample.estimate_remaining(elapsed_s), MIN_REMAINING_SHARE * 0.2
            )

    def test_old_durations_are_replaced(self) -> None:
        """Guards against durations that last from before a change of the calls."""
        for duration_s in [0.1] * MAX_SAMPLES + [0.7] * MAX_SAMPLES:
            self.sample.add(duration_s)
        self.assertAlmostEqual(self.sample.mean_s, 0.7)
        self.assertAlmostEqual(self.sample.estimate_remaining(0.2), 0.5)


class CallCostsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.costs = CallCosts()
        self.first = create_registration("t1", service=SERVICE, slots=4)
        self.second = create_registration("t2", service=SERVICE, slots=4)

    def learn(self, count: int = MIN_SAMPLES, duration_s: float = 0.1, now: float = 0.0) -> None:
        for _ in range(count):
            run_call(self.costs, self.first, duration_s, now)
            run_call(self.costs, self.second, duration_s, now)

    def test_duration_is_learned_by_route_and_method(self) -> None:
        other = replace(GROUP, method=b"POST")
        self.assertEqual(self.costs.get_duration(GROUP), INITIAL_DURATION_S)
        for _ in range(MIN_SAMPLES - 1):
            run_call(self.costs, self.first, 0.1)
        self.assertFalse(self.costs.is_learned(GROUP))
        run_call(self.costs, self.first, 0.1)
        self.assertTrue(self.costs.is_learned(GROUP))
        self.assertAlmostEqual(self.costs.get_duration(GROUP), 0.1)
        self.assertFalse(self.costs.is_learned(other))

    def test_nothing_is_learned_from_calls_that_were_not_answered(self) -> None:
        """Guards against quick errors that make a broken target seem fast."""
        self.learn()
        for _ in range(50):
            call = self.costs.start(GROUP, self.first, 1, 0.0, 1.0)
            self.costs.end(call, False, 1.001)
        self.assertAlmostEqual(self.costs.get_duration(GROUP), 0.1)
        self.assertAlmostEqual(self.costs.get_speed_factor(self.first, GROUP, 1.0), 1.0)
        self.assertEqual(self.costs.estimate_work_left(self.first, GROUP, 0.0, 1.0), 0.0)

    def test_wait_on_a_crowded_target_is_no_duration(self) -> None:
        """Guards against a burst after which calls seem to cost more than they do."""
        self.learn()
        for _ in range(50):
            run_call(self.costs, self.first, 0.3, running=11)
        self.assertAlmostEqual(self.costs.get_duration(GROUP), 0.1)
        self.assertAlmostEqual(self.costs.get_speed_factor(self.first, GROUP, 0.0), 1.0)

    def test_slow_target_gets_a_speed_factor(self) -> None:
        self.learn()
        for _ in range(100):
            run_call(self.costs, self.first, 0.2)
            run_call(self.costs, self.second, 0.1)
        slow = self.costs.get_speed_factor(self.first, GROUP, 0.0)
        fast = self.costs.get_speed_factor(self.second, GROUP, 0.0)
        self.assertGreater(slow / fast, 1.7)
        self.assertLess(slow / fast, 2.3)

    def test_speed_factor_is_bounded(self) -> None:
        self.learn()
        for _ in range(500):
            run_call(self.costs, self.first, 100.0)
            run_call(self.costs, self.second, 0.0)
        self.assertLessEqual(
            self.costs.get_speed_factor(self.first, GROUP, 0.0), MAX_SPEED_FACTOR + 1e-9
        )
        self.assertGreaterEqual(
            self.costs.get_speed_factor(self.second, GROUP, 0.0), MIN_SPEED_FACTOR - 1e-9
        )

    def test_new_incarnation_has_no_speed_factor(self) -> None:
        """Guards against a restarted target that is avoided for what it was before."""
        self.learn()
        for _ in range(100):
            run_call(self.costs, self.first, 0.4)
            run_call(self.costs, self.second, 0.1)
        self.assertGreater(self.costs.get_speed_factor(self.first, GROUP, 0.0), 1.5)
        last = self.costs.start(GROUP, self.first, 1, 0.0, 0.0)
        restarted = replace(self.first, incarnation=Incarnation("2"))
        self.assertEqual(self.costs.get_speed_factor(restarted, GROUP, 0.0), 1.0)
        run_call(self.costs, restarted, 0.1)
        before = self.costs.get_speed_factor(restarted, GROUP, 0.0)
        self.costs.end(last, True, 10.0)
        self.assertEqual(self.costs.get_speed_factor(restarted, GROUP, 0.0), before)

    def test_targets_that_are_gone_are_forgotten(self) -> None:
        self.learn()
        for _ in range(100):
            run_call(self.costs, self.first, 0.4)
            run_call(self.costs, self.second, 0.1)
        self.costs.prune({self.first.target: self.first})
        self.assertGreater(self.costs.get_speed_factor(self.first, GROUP, 0.0), 1.5)
        self.costs.prune({})
        self.assertEqual(self.costs.get_speed_factor(self.first, GROUP, 0.0), 1.0)

    def test_slow_target_without_calls_is_tried_again(self) -> None:
        """Guards against a target that was slow once and never gets a call again."""
        self.learn()
        for _ in range(200):
            run_call(self.costs, self.first, 0.4)
            run_call(self.costs, self.second, 0.1)
        factor = self.costs.get_speed_factor(self.first, GROUP, 0.4)
        later = self.costs.get_speed_factor(self.first, GROUP, 0.4 + SPEED_HALF_LIFE_S)
        self.assertAlmostEqual(later, math.sqrt(factor))

    def test_work_left_is_that_of_own_and_peers_calls(self) -> None:
        self.learn()
        call = self.costs.start(GROUP, self.first, 1, 0.0, 10.0)

        def estimate(peers: float, now: float) -> float:
            return self.costs.estimate_work_left(self.first, GROUP, peers, now)

        self.assertAlmostEqual(estimate(0.0, 10.04), 0.06)
        self.assertAlmostEqual(estimate(3.0, 10.04), 0.36)
        self.assertAlmostEqual(estimate(0.0, 99.0), 0.01)
        self.costs.end(call, True, 10.1)
        self.assertEqual(estimate(0.0, 10.1), 0.0)

    def test_model_calls_take_time_by_their_output_tokens(self) -> None:
        for _ in range(MIN_SAMPLES):
            call = self.costs.start(MODEL_GROUP, self.first, 100, 0.0, 0.0)
            # The wait for prefill is predicted by the load table.
            self.costs.record_first_event(call, 5.0)
            self.costs.end(call, True, 7.0)
        self.assertAlmostEqual(self.costs.get_duration(MODEL_GROUP), 0.02)
        call = self.costs.start(MODEL_GROUP, self.first, 50, 0.0, 10.0)

        def estimate(now: float) -> float:
            return self.costs.estimate_work_left(self.first, MODEL_GROUP, 0.0, now)

        self.assertAlmostEqual(estimate(12.0), 1.0)
        self.costs.record_first_event(call, 12.0)
        self.assertAlmostEqual(estimate(12.4), 0.6)

    def test_stream_without_a_first_event_teaches_nothing(self) -> None:
        for _ in range(MIN_SAMPLES):
            call = self.costs.start(MODEL_GROUP, self.first, 100, 0.0, 0.0)
            self.costs.end(call, True, 7.0)
        self.assertFalse(self.costs.is_learned(MODEL_GROUP))

    def test_prediction_error_is_readable_and_bounded(self) -> None:
        for _ in range(MIN_SAMPLES):
            run_call(self.costs, self.first, 0.1)
        self.assertIsNone(self.costs.get_prediction_error(CostKind.PLAIN))
        run_call(self.costs, self.first, 0.2)
        error = self.costs.get_prediction_error(CostKind.PLAIN)
        assert error is not None
        self.assertAlmostEqual(error, 0.5)
        for _ in range(500):
            run_call(self.costs, self.first, 0.0)
        error = self.costs.get_prediction_error(CostKind.PLAIN)
        assert error is not None
        self.assertLessEqual(error, MAX_RELATIVE_ERROR)
        self.assertIsNone(self.costs.get_prediction_error(CostKind.MODEL))

    def test_number_of_groups_is_bounded(self) -> None:
        """Guards against callers that fill the memory with methods of their own."""
        for number in range(3 * MAX_CALL_GROUPS):
            run_call(self.costs, self.first, 0.1, group=replace(GROUP, method=b"M%d" % number))
        self.assertLessEqual(len(self.costs._samples), MAX_CALL_GROUPS)

    def test_calls_of_peers_that_were_reported_as_running_may_have_ended(self) -> None:
        """Guards against all instances sending to the target that was idle in the last report."""
        registrations = [self.first, self.second]
        self.learn(duration_s=0.01)
        short = self.costs.estimate_completions(registrations, [8.0, 0.0], GROUP, 0.0)
        self.assertLess(short[0].completion_s / short[1].completion_s, 1.2)
        slow = CallCosts()
        for _ in range(MIN_SAMPLES):
            run_call(slow, self.first, 10.0)
        long = slow.estimate_completions(registrations, [8.0, 0.0], GROUP, 0.0)
        self.assertGreater(long[0].completion_s / long[1].completion_s, 2.0)


class TrackerTest(unittest.TestCase):
    """What the attempts of the entry process teach, and whether plain calls are placed by it."""

    def setUp(self) -> None:
        self.costs, self.loads = CallCosts(), LoadTable()
        self.placement = Placement(HOME, ColdPacer(InstanceId("i1"), 1.5, 5), seed=1)
        self.tracker = CallCostTracker(self.placement, self.loads, self.costs)
        self.targets = [create_target(f"t{i}", slots=6) for i in range(2)]
        self.service = Service(SERVICE)

    def create_call(self, prompt: Prompt | None = None) -> Mock:
        call = Mock(prompt=prompt)
        call.route.name, call.http.method = "search", b"GET"
        return call

    def play(
        self,
        outcome: Outcome,
        duration_s: float = 0.1,
        last_event_id: int | None = None,
        is_from_other_target: bool = False,
        call: Mock | None = None,
    ) -> None:
        """Sends a call and ends it."""
        attempt = Mock(started_at=0.0)
        attempt.plan.target, attempt.plan.last_event_id = self.targets[0], last_event_id
        attempt.response_info.is_from_other_target = is_from_other_target
        self.tracker.on_send(call or self.create_call(), attempt)
        self.tracker.on_first_event(attempt, 0.0)
        self.tracker.on_end(attempt, outcome, duration_s)

    def test_only_complete_answers_teach(self) -> None:
        """Guards against durations of errors, cancelled calls and those that ended early."""
        group = find_group(self.create_call(), SERVICE)
        for _ in range(3 * MIN_SAMPLES):
            for outcome in Outcome:
                if outcome is not Outcome.ANSWERED:
                    self.play(outcome)
            self.play(Outcome.ANSWERED, last_event_id=7)
            self.play(Outcome.ANSWERED, is_from_other_target=True)
        self.assertFalse(self.costs.is_learned(group))
        for _ in range(MIN_SAMPLES):
            self.play(Outcome.ANSWERED)
        self.assertTrue(self.costs.is_learned(group))

    def test_errors_of_both_kinds_are_gauges(self) -> None:
        self.assertEqual(self.tracker.gauges, {})
        prompt = Prompt(ModelName("m"), 100, 10, ())
        for _ in range(2 * MIN_SAMPLES):
            self.play(Outcome.ANSWERED)
            self.play(Outcome.ANSWERED, call=self.create_call(prompt))
        self.assertEqual(
            set(self.tracker.gauges), {"plain_prediction_error", "model_prediction_error"}
        )

    def test_call_goes_to_the_target_with_less_work_not_fewer_calls(self) -> None:
        """Guards against calls that wait behind few but long ones."""
        for _ in range(MAX_SAMPLES):
            run_call(self.costs, self.targets[0].registration, 0.1)
        long_group = replace(GROUP, name="export")
        for _ in range(MIN_SAMPLES):
            run_call(self.costs, self.targets[0].registration, 5.0, group=long_group)
        for target, group, count in zip(self.targets, (long_group, GROUP), (4, 5), strict=True):
            for _ in range(count):
                self.costs.start(group, target.registration, 1, 0.0, 0.0)
                self.loads.add_run(target.id, 0)
        request = PlacementRequest(None, None, (), 0.01)
        chosen = self.tracker.choose_target(self.create_call(), self.service, self.targets, request)
        self.assertIs(chosen, self.targets[1])

    def test_idle_target_that_seemed_a_little_slower_still_gets_calls(self) -> None:
        """Guards against a target without calls, which cannot show that it is as fast again."""
        remote = create_target("t9", slots=6, data_centre=DataCentre("elsewhere"))
        for _ in range(MAX_SAMPLES):
            run_call(self.costs, self.targets[0].registration, 0.1)
            run_call(self.costs, self.targets[1].registration, 0.11)
        request = PlacementRequest(None, None, (), 0.01)
        targets = [*self.targets, remote]
        chosen = [
            self.tracker.choose_target(self.create_call(), self.service, targets, request)
            for _ in range(100)
        ]
        self.assertTrue(all(chosen.count(target) >= 20 for target in self.targets))
        self.assertEqual(chosen.count(remote), 0)

    def test_distance_counts_as_half_a_running_call(self) -> None:
        remote = create_target("t9", slots=6, data_centre=DataCentre("elsewhere"))
        for _ in range(MAX_SAMPLES):
            run_call(self.costs, self.targets[0].registration, 0.6)
        estimate = self.costs.estimate_completions([remote.registration], [0.0], GROUP, 0.0)[0]
        score_s, _ = self.placement._score_by_completion(remote, estimate)
        self.assertAlmostEqual(score_s, 0.6 + REMOTE_PENALTY * 0.6 / 6)

    @settings(derandomize=True, deadline=None, max_examples=200)
    @given(
        st.lists(
            st.tuples(st.integers(0, 9), st.integers(0, 9), st.integers(0, 8), st.booleans()),
            min_size=1,
            max_size=6,
        ),
        st.integers(0, 99),
    )
    def test_without_observations_the_order_is_that_of_running_calls(
        self, loads: list[tuple[int, int, int, bool]], seed: int
    ) -> None:
        """Guards against a start at which calls are placed by durations that nobody has seen."""
        table, costs = LoadTable(), CallCosts()
        placement = Placement(HOME, ColdPacer(InstanceId("i1"), 1.5, 5), seed)
        tracker = CallCostTracker(placement, table, costs)
        targets, scores = [], []
        expected_random = random.Random(seed)
        for number, (own, reported, slots, is_remote) in enumerate(loads):
            data_centre = DataCentre("elsewhere") if is_remote else HOME
            target = create_target(f"t{number}", slots=slots, data_centre=data_centre)
            targets.append(target)
            for _ in range(own):
                costs.start(GROUP, target.registration, 1, 0.0, 0.0)
                table.add_run(target.id, 0)
            load = own + reported + (0.5 if is_remote else 0.0)
            scores.append((load / max(1, slots), expected_random.random()))
        table.set_instance_count(2)
        ids, running = [t.id for t in targets], [reported for _, reported, _, _ in loads]
        table.apply_report(InstanceId("i2"), LoadReport(ids, [0] * len(ids), running), 0.0)
        chosen = tracker.choose_target(
            self.create_call(), self.service, targets, PlacementRequest(None, None, (), 0.5)
        )
        self.assertIs(chosen, targets[scores.index(min(scores))])


EVENTS = st.lists(
    st.tuples(
        st.sampled_from(("start", "first", "end", "fail", "restart", "prune")),
        st.integers(0, 2),
        st.sampled_from((GROUP, replace(GROUP, method=b"POST"), MODEL_GROUP)),
        st.floats(0.0, 1e7) | st.floats(0.0, 0.5),
        st.floats(0.0, 100.0),
    ),
    max_size=120,
)


class CostBoundsTest(unittest.TestCase):
    """Guards against infinite or negative estimates, and calls that count after their end."""

    @settings(derandomize=True, deadline=None, max_examples=200)
    @given(EVENTS)
    def test_estimates_stay_within_their_bounds(
        self, events: list[tuple[str, int, CallGroup, float, float]]
    ) -> None:
        costs, now = CallCosts(), 0.0
        entries = [create_registration(f"t{i}", service=SERVICE, slots=i) for i in range(3)]
        running: list[RunningCall] = []
        for number, (action, position, group, wait_s, load) in enumerate(events):
            now += wait_s
            if action == "start":
                running.append(costs.start(group, entries[position], position, load, now))
            elif action == "restart":
                entries[position] = replace(
                    entries[position], incarnation=Incarnation(f"r{number}")
                )
            elif action == "prune":
                costs.prune({entry.target: entry for entry in entries[1:]})
            elif running:
                call = running[position % len(running)]
                if action == "first":
                    costs.record_first_event(call, now)
                else:
                    running.remove(call)
                    costs.end(call, action == "end", now)
            self.check(costs, entries, group, load, now)
        for call in running:
            costs.end(call, True, now)
        for entry in entries:
            self.assertEqual(costs.estimate_work_left(entry, GROUP, 0.0, now), 0.0)

    def check(
        self,
        costs: CallCosts,
        entries: list[Registration],
        group: CallGroup,
        load: float,
        now: float,
    ) -> None:
        for entry in entries:
            factor = costs.get_speed_factor(entry, group, now)
            self.assertGreaterEqual(factor, MIN_SPEED_FACTOR - 1e-9)
            self.assertLessEqual(factor, MAX_SPEED_FACTOR + 1e-9)
        for estimate in costs.estimate_completions(entries, [load] * 3, group, now):
            self.assertTrue(math.isfinite(estimate.completion_s))
            self.assertGreater(estimate.completion_s, 0.0)
        for kind in CostKind:
            error = costs.get_prediction_error(kind)
            self.assertTrue(error is None or 0.0 <= error <= MAX_RELATIVE_ERROR)

    def test_crowding_begins_when_all_slots_are_taken(self) -> None:
        self.assertEqual(compute_crowding(3, 4), 1.0)
        self.assertEqual(compute_crowding(7, 4), 2.0)
        self.assertEqual(compute_crowding(0, 0), 1.0)


def compute_mean(completions: list[float]) -> float:
    return sum(completions) / len(completions)


class ReplayTest(unittest.TestCase):
    """Guards against a placement that serves the load of the two customers worse than before."""

    def compare(self, shape: LoadShape, seed: int) -> tuple[float, float, float, float]:
        """Returns the mean and the late share by running calls, then by expected completion.

        A call is late if it takes over twice the mean of the placement by running calls.
        """
        by_count = LoadSimulation(shape, seed, uses_costs=False)
        by_costs = LoadSimulation(shape, seed, uses_costs=True)
        by_count.run()
        by_costs.run()
        self.assertEqual(len(by_count.completions), len(by_costs.completions))
        limit_s = 2.0 * compute_mean(by_count.completions)
        figures: list[float] = []
        for simulation in (by_count, by_costs):
            late = sum(seconds > limit_s for seconds in simulation.completions)
            figures.append(compute_mean(simulation.completions))
            figures.append(late / len(simulation.completions))
        return figures[0], figures[1], figures[2], figures[3]

    def test_calls_end_sooner_than_by_running_calls_for_each_seed(self) -> None:
        for seed in range(10):
            with self.subTest(seed=seed):
                mean_s, late, mean_by_costs_s, late_by_costs = self.compare(LoadShape(), seed)
                self.assertLess(mean_by_costs_s, mean_s)
                self.assertLess(late_by_costs, late)

    def test_one_instance_that_sees_all_calls_is_not_worse(self) -> None:
        """Guards against speed factors that follow chance: here the count is exact."""
        shape = LoadShape(instance_count=1)
        figures = [self.compare(shape, seed) for seed in range(5)]
        self.assertLessEqual(sum(f[2] for f in figures), sum(f[0] for f in figures))

    def test_target_that_slows_down_gets_fewer_calls(self) -> None:
        """By running calls it gets fewer too, but only as its calls pile up."""
        for seed in range(3):
            with self.subTest(seed=seed):
                before, after = self.play_slow_target(seed, uses_costs=True)
                _, after_by_count = self.play_slow_target(seed, uses_costs=False)
                self.assertLess(after, 0.5 * before)
                self.assertLess(after, 0.7 * after_by_count)

    def play_slow_target(self, seed: int, uses_costs: bool) -> tuple[float, float]:
        """Returns a target's share of the calls before and after it becomes four times slower."""
        shape = LoadShape(instance_count=2, utilization=0.4, burst_factor=1.0, speeds=(1, 1, 1))
        simulation = LoadSimulation(shape, seed, uses_costs)
        simulation.schedule(30.0, lambda now: simulation.speeds.__setitem__(0, 0.25))
        simulation.run()
        before = [target for at, target in simulation.choices if 20.0 <= at < 30.0]
        after = [target for at, target in simulation.choices if 35.0 <= at < 45.0]
        return before.count(0) / len(before), after.count(0) / len(after)
