"""Guards against a process that never gets its reserve of retries.

The reserve is granted with the time that a process has run. It was only looked at when a service
got its first request, so a process that had requests from its start kept one retry for good, and
refused calls that a second retry would have answered.
"""

import time
import unittest

from mulberryrill.internal.core.retries import RetryBudget
from tests.common.entry import ReceivedCall, RequestHandler, TargetStandin, answer_plain, run_entry

# The reserve of one instance in the tests is 25 retries for 10 s.
UPTIME_S = 2.0


class MovedTarget:
    """Answers calls as another target would, as often as it is told to."""

    def __init__(self) -> None:
        self.rejections = 0

    def handle(self, target: TargetStandin, request: RequestHandler, call: ReceivedCall) -> None:
        if self.rejections:
            self.rejections -= 1
            request.reply(421, Request_Id=call.headers["request-id"])
        else:
            answer_plain(target, request, call)


class StartedProcessTest(unittest.TestCase):
    def test_process_that_has_run_for_a_while_repeats_a_call_twice(self) -> None:
        target = MovedTarget()
        with run_entry() as deployment:
            deployment.add_target("t1", "desk", target.handle)
            deployment.wait_ready()
            self.assertEqual(deployment.call("/pay/1", "POST", b"{}").status, 200)
            time.sleep(UPTIME_S)
            target.rejections = 2
            response = deployment.call("/pay/1", "POST", b"{}", Request_Id="r-2")
            self.assertEqual(response.status, 200)


class GrantedShareTest(unittest.TestCase):
    RESERVE = 20

    def withdraw_all(self, budget: RetryBudget) -> int:
        count = 0
        while budget.try_withdraw():
            count += 1
        return count

    def test_whole_reserve_is_granted_once(self) -> None:
        budget = RetryBudget(0.1, self.RESERVE, initial_share=0.0)
        # Every process has one retry at once.
        retries = self.withdraw_all(budget)
        for step in range(1, 2_001):
            budget.grant_share(min(1.0, step / 1_000))
            retries += self.withdraw_all(budget)
        self.assertEqual(retries, 1 + self.RESERVE)

    def test_larger_reserve_is_not_granted_at_once(self) -> None:
        budget = RetryBudget(0.1, self.RESERVE, initial_share=1.0)
        self.withdraw_all(budget)
        budget.set_reserve(10 * self.RESERVE)
        budget.grant_share(1.0)
        self.assertEqual(self.withdraw_all(budget), 0)
