"""The checker of the fault runs reports each broken promise and nothing else."""

import time
import unittest
from unittest import mock

from tests.common.promises import (
    CONFIGURATION_BOUND_S,
    DEADLINE_SLACK_S,
    DRAIN_BOUND_S,
    MAX_LONG_DEADLINES,
    MAX_QUIET_CALLS,
    MIN_TIMED_CALLS,
    MIN_UNDISTURBED_S,
    QUIET_FROM_S,
    STORE,
    CallKind,
    CallRecord,
    Disturbances,
    PromiseChecker,
    get_link_name,
    get_process_name,
    get_unplanned_name,
)

KEY = "key-of-asha/1"


class PromiseCheckerTest(unittest.TestCase):
    def setUp(self) -> None:
        self.now = 1000.0
        self.enterContext(mock.patch.object(time, "monotonic", lambda: self.now))
        self.disturbances = Disturbances()
        self.checker = PromiseChecker(self.disturbances)

    def send(self, request_id: str = "r1", kind: CallKind = CallKind.PAY) -> None:
        self.checker.record_call(CallRecord(request_id, kind, "front-1", self.now, 2.0, KEY))

    def run_call(self, request_id: str = "r1", target: str = "t1", customer: str = "asha") -> str:
        stamp = f"{target}/{self.now}"
        self.checker.record_run(request_id, target, stamp, customer)
        return stamp

    def arrive(self, request_id: str, deadline_ms: str | None = "2000", target: str = "t1") -> None:
        self.checker.record_arrival(request_id, target, deadline_ms)

    def send_calls(self, count: int, prefix: str = "r") -> None:
        for number in range(count):
            self.send(f"{prefix}{number}")
            self.arrive(f"{prefix}{number}")

    def ask_for_quiet(self, seconds: float) -> None:
        self.send("first")
        self.arrive("first")
        self.checker.record_quiet_time("first", "t1", seconds, self.now)

    def list_violations(self) -> list[str]:
        self.checker.check_whole_run()
        return [violation.split(":")[0] for violation in self.checker.violations]

    def disturb(self, name: str, seconds: float) -> None:
        self.disturbances.begin(name)
        self.now += seconds
        self.disturbances.end(name)

    def test_payment_that_runs_twice(self) -> None:
        self.send()
        self.run_call()
        self.run_call(target="t2")
        self.assertEqual(self.list_violations(), ["TWICE"])

    def test_repeatable_call_may_run_twice(self) -> None:
        self.send(kind=CallKind.GET)
        self.run_call()
        self.checker.record_response("r1", 200, self.run_call(target="t2"), True)
        self.assertEqual(self.list_violations(), [])

    def test_refusal_of_a_payment_that_has_run_or_runs_later(self) -> None:
        for has_run in (True, False):
            request_id = f"r-{has_run}"
            self.send(request_id)
            if has_run:
                self.run_call(request_id)
            self.checker.record_response(request_id, 503, None, False)
            if not has_run:
                self.run_call(request_id)
        self.assertEqual(self.list_violations(), ["REFUSED", "REFUSED"])

    def test_answer_of_another_run_or_in_part(self) -> None:
        for request_id, matches_target in (("r1", True), ("r2", False)):
            self.send(request_id)
            stamp = self.run_call(request_id)
            self.checker.record_response(
                request_id, 200, stamp if not matches_target else "other", matches_target
            )
        self.assertEqual(self.list_violations(), ["MIXED", "MIXED"])

    def test_run_that_nobody_asked_for_or_for_another_customer(self) -> None:
        self.run_call("r0")
        self.send()
        self.run_call(customer="juma")
        self.assertEqual(self.list_violations(), ["UNASKED", "UNASKED"])

    def test_leaving_target_gets_work(self) -> None:
        self.checker.record_draining_target("t1")
        self.now += DRAIN_BOUND_S + 0.1
        self.send()
        self.run_call()
        self.assertEqual(self.list_violations(), ["DRAIN"])

    def test_leaving_target_gets_work_in_time_or_from_a_disturbed_instance(self) -> None:
        self.checker.record_draining_target("t1")
        self.now += DRAIN_BOUND_S - 0.1
        self.send()
        self.run_call()
        for name in ("front-1", STORE):
            self.disturb(name, 1.0)
            self.send(name)
            self.run_call(name)
        self.assertEqual(self.list_violations(), [])
        self.now += MIN_UNDISTURBED_S + 1.0
        self.send("r9")
        self.run_call("r9")
        self.assertEqual(self.list_violations(), ["DRAIN"])

    def test_call_with_a_withdrawn_key_runs(self) -> None:
        self.checker.record_withdrawn_key(KEY)
        self.now += CONFIGURATION_BOUND_S + 0.1
        self.send()
        self.run_call()
        self.assertEqual(self.list_violations(), ["CONFIG"])

    def test_good_key_is_denied(self) -> None:
        self.send()
        self.checker.record_response("r1", 401, None, False)
        self.assertEqual(self.list_violations(), ["DENIED"])

    def test_most_answers_come_after_the_time_limit(self) -> None:
        for number in range(MIN_TIMED_CALLS):
            self.send(f"r{number}")
            self.now += 2.6
            self.checker.record_disconnect(f"r{number}")
        self.assertEqual(self.list_violations(), ["TIMEOUT"])

    def test_planned_stop_cuts_a_running_call(self) -> None:
        self.send()
        self.run_call()
        self.disturbances.begin("front-1")
        self.now += 0.1
        self.checker.record_disconnect("r1")
        self.assertEqual(self.list_violations(), ["LOST"])

    def test_killed_process_or_broken_target_may_cut_a_call(self) -> None:
        for name in (get_unplanned_name("front-1"), "t1"):
            self.send(name)
            self.run_call(name)
            self.disturb(name, 0.1)
            self.checker.record_disconnect(name)
        self.assertEqual(self.list_violations(), [])

    def test_cold_target_gets_too_many_calls(self) -> None:
        self.checker.record_cold_target("t1", self.now + 3.0)
        for number in range(21):
            self.now += 0.01
            self.send(f"r{number}")
            self.run_call(f"r{number}")
        self.assertEqual(self.list_violations(), ["FAILBACK"])

    def test_two_holders_give_orders(self) -> None:
        self.checker.record_order("t1", "front-1", 5)
        self.checker.record_order("t1", "front-2", 6)
        self.now += 10.0
        self.checker.record_order("t1", "front-1", 5)
        self.assertEqual(self.list_violations(), ["ONE", "ONE"])

    def test_order_after_the_lease_of_another_holder(self) -> None:
        self.checker.record_order("t1", "front-1", 5)
        self.now += 4.0
        self.checker.record_order("t1", "front-2", 6)
        self.assertEqual(self.list_violations(), [])

    def test_invalid_status_is_passed_on(self) -> None:
        for status in (0, 99, 600, 999):
            self.send(f"r{status}", CallKind.GET)
            self.checker.record_response(f"r{status}", status, None, False)
        self.assertEqual(self.list_violations(), ["MIXED"] * 4)

    def test_target_that_asked_for_quiet_gets_too_many_calls(self) -> None:
        self.ask_for_quiet(3.0)
        self.now += QUIET_FROM_S + 0.01
        self.send_calls(MAX_QUIET_CALLS - 1)
        self.now += 2.4
        self.send_calls(1, "x")
        self.assertEqual(self.list_violations(), [])
        self.send_calls(3, "y")
        self.assertEqual(self.list_violations(), ["BUDGET"])

    def test_quiet_time_binds_from_half_a_second_until_its_end(self) -> None:
        self.ask_for_quiet(3.0)
        self.now += QUIET_FROM_S - 0.01
        self.send_calls(20)
        self.now += 0.02
        self.send_calls(MAX_QUIET_CALLS)
        self.now += 2.5
        self.send_calls(20, "x")
        self.assertEqual(self.list_violations(), [])

    def test_quiet_time_binds_only_the_instance_that_was_asked_and_that_target(self) -> None:
        self.ask_for_quiet(3.0)
        self.now += 1.0
        for number in range(10):
            request_id = f"r{number}"
            self.checker.record_call(
                CallRecord(request_id, CallKind.GET, "front-2", self.now, 2.0, KEY)
            )
            self.arrive(request_id)
            self.send(f"x{number}")
            self.arrive(f"x{number}", target="t2")
        self.assertEqual(self.list_violations(), [])

    def test_later_quiet_time_does_not_end_an_earlier_one(self) -> None:
        self.ask_for_quiet(3.0)
        self.ask_for_quiet(0.1)
        self.now += 1.0
        self.send_calls(MAX_QUIET_CALLS + 1)
        self.assertEqual(self.list_violations(), ["BUDGET"])

    def test_disturbance_excuses_calls_in_a_quiet_time(self) -> None:
        for name in ("front-1", get_link_name("t1")):
            self.ask_for_quiet(3.0)
            self.disturb(name, 1.0)
            self.send_calls(10, name)
            self.now += 10.0
        self.assertEqual(self.list_violations(), [])

    def test_other_disturbances_do_not_excuse_calls_in_a_quiet_time(self) -> None:
        self.disturb("front-1", 1.0)
        self.now += 0.1
        self.ask_for_quiet(3.0)
        for name in ("front-2", "t1", STORE):
            self.disturb(name, 0.3)
        self.send_calls(MAX_QUIET_CALLS + 1)
        self.assertEqual(self.list_violations(), ["BUDGET"])

    def pass_on_departure(self) -> None:
        self.send("last")
        self.checker.record_told_leaving("last", "t1")

    def test_target_that_said_that_it_leaves_gets_a_call(self) -> None:
        self.pass_on_departure()
        self.now += DRAIN_BOUND_S + 0.1
        # Another response that says so does not begin the time anew.
        self.pass_on_departure()
        self.send()
        self.arrive("r1")
        self.assertEqual(self.list_violations(), ["DRAIN"])

    def test_target_that_said_that_it_leaves_gets_a_call_that_was_sent_in_time(self) -> None:
        self.pass_on_departure()
        self.now += DRAIN_BOUND_S - 0.1
        self.send()
        self.now += 1.0
        self.arrive("r1")
        self.send("r2")
        self.arrive("r2", target="t2")
        self.checker.record_call(CallRecord("r3", CallKind.GET, "front-2", self.now, 2.0, KEY))
        self.arrive("r3")
        self.assertEqual(self.list_violations(), [])

    def test_only_a_restart_or_freeze_excuses_a_call_to_a_target_that_leaves(self) -> None:
        self.pass_on_departure()
        for name in ("front-1", get_unplanned_name("front-1"), STORE, get_link_name("t1")):
            self.disturb(name, 1.0)
        self.send()
        self.arrive("r1")
        self.assertEqual(self.list_violations(), ["DRAIN"])
        self.disturb(get_process_name("front-1"), 1.0)
        self.send("r2")
        self.arrive("r2")
        self.assertEqual(self.list_violations(), ["DRAIN"])

    def send_with_excess(self, count: int, excess_s: float, prefix: str = "r") -> None:
        """Sends calls whose targets are told to work for longer than the caller waits."""
        for number in range(count):
            request_id = f"{prefix}{number}"
            self.send(request_id)
            self.now += 0.25
            self.arrive(request_id, str(int((1.75 + excess_s) * 1000)))

    def test_missing_deadline(self) -> None:
        for number, value in enumerate((None, "", "x", "-1")):
            self.send(f"r{number}")
            self.arrive(f"r{number}", value)
        self.assertEqual(self.list_violations(), ["BUDGET"] * 4)

    def test_many_deadlines_that_end_too_late(self) -> None:
        self.send_with_excess(MAX_LONG_DEADLINES, DEADLINE_SLACK_S + 0.1)
        self.assertEqual(self.list_violations(), [])
        self.send_with_excess(1, DEADLINE_SLACK_S + 0.1, "x")
        # Calls that are sent once do not count.
        self.send_with_excess(500, 0.0, "y")
        self.assertEqual(self.list_violations(), ["BUDGET"])

    def test_deadlines_that_end_too_late_are_few_of_the_late_repeats(self) -> None:
        self.send_with_excess(MAX_LONG_DEADLINES + 1, DEADLINE_SLACK_S + 0.1)
        for number in range(4 * MAX_LONG_DEADLINES + 4):
            self.send(f"x{number}")
            self.arrive(f"x{number}")
            self.now += DEADLINE_SLACK_S + 0.1
            self.arrive(f"x{number}", "1400", target="t2")
        self.assertEqual(self.list_violations(), [])

    def test_repeats_with_the_whole_time_again(self) -> None:
        for number in range(MAX_LONG_DEADLINES + 1):
            self.send(f"r{number}")
            self.arrive(f"r{number}")
            self.now += DEADLINE_SLACK_S + 0.1
            self.arrive(f"r{number}", target="t2")
        self.assertEqual(self.list_violations(), ["BUDGET"])

    def test_deadlines_in_the_slack_or_after_a_freeze(self) -> None:
        self.send_with_excess(100, DEADLINE_SLACK_S - 0.1)
        for name in (get_process_name("front-1"), get_link_name("t1")):
            for number in range(50):
                self.send(f"{name}{number}")
                self.disturb(name, DEADLINE_SLACK_S + 0.1)
                self.arrive(f"{name}{number}")
        self.assertEqual(self.list_violations(), [])
