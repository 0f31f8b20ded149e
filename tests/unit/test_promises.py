"""The checker of the fault runs reports each broken promise and nothing else."""

import time
import unittest
from unittest import mock

from tests.common.promises import (
    CONFIGURATION_BOUND_S,
    DRAIN_BOUND_S,
    MIN_TIMED_CALLS,
    MIN_UNDISTURBED_S,
    STORE,
    CallKind,
    CallRecord,
    Disturbances,
    PromiseChecker,
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
