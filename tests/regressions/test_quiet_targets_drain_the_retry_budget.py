"""Guards against retries that are counted although no target gets them.

A call that was turned away withdrew a retry before another target was looked for. When all targets
wanted none, the budget was empty after a few calls: later failures could not be repeated, and
callers were told to return long before the first target wanted calls again.
"""

import threading
import unittest

from tests.common.entry import (
    CallerResponse,
    ReceivedCall,
    RequestHandler,
    TargetStandin,
    run_entry,
)

CALLS = 40
QUIET_S = 3.0


class CrowdedTarget:
    """Turns all calls away together, once all of them have arrived."""

    def __init__(self) -> None:
        self._barrier = threading.Barrier(CALLS)

    def handle(self, target: TargetStandin, request: RequestHandler, call: ReceivedCall) -> None:
        self._barrier.wait(10.0)
        request.reply(503, Not_Run="1", Retry_After=str(QUIET_S))


class CrowdedTargetTest(unittest.TestCase):
    def test_all_callers_learn_when_the_only_target_wants_calls_again(self) -> None:
        responses: list[CallerResponse] = []
        with run_entry() as deployment:
            deployment.add_target("t1", "desk", CrowdedTarget().handle)
            deployment.wait_ready()

            def call(number: int) -> None:
                response = deployment.call("/get/1", Request_Id=f"r-{number}")
                responses.append(response)

            threads = [threading.Thread(target=call, args=(n,)) for n in range(CALLS)]
            for thread in threads:
                thread.start()
            for thread in threads:
                thread.join()
        self.assertEqual({response.status for response in responses}, {503})
        delays = [float(response.headers["retry-after"]) for response in responses]
        self.assertGreater(min(delays), 0.7 * QUIET_S)
