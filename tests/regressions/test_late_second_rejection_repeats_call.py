"""Guards against calls that run twice because a target repeats its rejection late.

A target that has other weights, or another id, than a call expects rejects it with 421, and the
call may be sent to the same target again. If the target then sends the 421 a second time, at the
point where the next response on the connection is due, its request id matches the new attempt, too.
Taken for the answer to that attempt, it makes the call run once more, or be refused as not run
while the target runs it. Found by the review's case TWICE.
"""

import unittest

from tests.common.entry import (
    MODEL,
    CallerResponse,
    ReceivedCall,
    RequestHandler,
    TargetStandin,
    answer_plain,
    answer_stream,
    run_entry,
)

PROMPT_HEADERS = {"Model": MODEL, "Token_Usage": "1000,16", "Prefix_Hash": "aa:800,cc:200"}


class RepeatingTarget:
    """Rejects the first attempt at a call, and repeats that before the connection's next answer."""

    def __init__(self, *, is_stream: bool, rejections: int = 1) -> None:
        self._answer = answer_stream if is_stream else answer_plain
        self._rejections = rejections
        self.rejected_on: list[int] = []
        self.repeated: list[int] = []
        self.runs: list[str] = []

    def handle(self, target: TargetStandin, request: RequestHandler, call: ReceivedCall) -> None:
        connection = id(request.connection)
        request_id = call.headers["request-id"]
        if len(self.rejected_on) < self._rejections:
            self.rejected_on.append(connection)
            request.reply(421, Request_Id=request_id)
            return
        if connection in self.rejected_on:
            self.repeated.append(connection)
            request.reply(421, Request_Id=request_id)
        self.runs.append(request_id)
        self._answer(target, request, call)


class LateSecondRejectionTest(unittest.TestCase):
    def call(
        self, target: RepeatingTarget, service: str, path: str, method: str, **headers: str
    ) -> CallerResponse:
        with run_entry() as deployment:
            deployment.add_target("t1", service, target.handle)
            deployment.wait_ready()
            return deployment.call(path, method, b"{}", **headers)

    def check(self, service: str, path: str, method: str = "POST", rejections: int = 1) -> None:
        """Calls a service of one target, which runs the call exactly once."""
        target = RepeatingTarget(is_stream=service == "lm", rejections=rejections)
        headers = PROMPT_HEADERS if service == "lm" else {}
        response = self.call(target, service, path, method, **headers)
        self.assertEqual(response.status, 200)
        self.assertEqual(target.runs, ["r-1"])

    def test_call_that_may_not_be_repeated_runs_once(self) -> None:
        self.check("desk", "/pay/1")

    def test_call_that_may_be_repeated_runs_once(self) -> None:
        self.check("desk", "/get/1", "GET")

    def test_stream_runs_once(self) -> None:
        self.check("lm", "/quick/1")

    def test_stream_that_may_be_resumed_runs_once(self) -> None:
        self.check("lm", "/plan/1")

    def test_each_further_attempt_has_another_connection(self) -> None:
        self.check("desk", "/pay/1", rejections=2)
