"""Guards against calls to targets whose own responses say that they leave.

A target that leaves says so in every response (Server-Leaving), before or without a record in the
registry. The header was not read, so calls went on until the registry said it.
"""

import time
import unittest

from tests.common.entry import (
    ReceivedCall,
    RequestHandler,
    TargetStandin,
    answer_plain,
    answer_stream,
    run_entry,
    wait_for,
)

PROMPT_HEADERS = {"Model": "m0", "Token_Usage": "1000,16", "Prefix_Hash": "aa:800,cc:200"}
# Calls that a caller sends later than this after the response may not reach the target.
DRAIN_S = 0.4


class LeavingTarget:
    """States in the headers of its responses that it leaves; ``status`` replaces a plain one."""

    def __init__(self, *, status: int | None = None, is_stream: bool = False) -> None:
        self._status = status
        self._is_stream = is_stream
        self.is_leaving = True
        self.extra_headers: dict[str, str] = {}
        self.calls = 0

    def handle(self, target: TargetStandin, request: RequestHandler, call: ReceivedCall) -> None:
        self.calls += 1
        headers = target.build_origin_headers(call) | self.extra_headers
        if self.is_leaving:
            headers["Server_Leaving"] = "1"
        if self._status == 421:
            request.reply(421, b"", Instance_Id=target.name, **headers)
        elif self._status == 503:
            request.reply(503, b"", Not_Run="1", **headers)
        elif self._status is not None:
            request.reply(self._status, b"error", **headers)
        elif self._is_stream:
            target.begin_stream(request, call, headers)
            target.send_event(request, 1)
            time.sleep(3 * DRAIN_S)
            request.wfile.write(b"0\r\n\r\n")
        else:
            request.reply(200, target.name.encode(), **headers)


class LeavingTargetTest(unittest.TestCase):
    def check(self, leaving: LeavingTarget, path: str = "/get/1", service: str = "desk") -> None:
        """Checks that a target gets no calls after a response that says that it leaves."""
        method = "GET" if service == "desk" else "POST"
        headers = PROMPT_HEADERS if service == "lm" else {}
        with run_entry() as deployment:
            deployment.add_target("t1", service, leaving.handle)
            deployment.wait_ready()
            deployment.call(path, method, b"{}", **headers)
            self.assertGreaterEqual(leaving.calls, 1)
            answer = answer_stream if service == "lm" else answer_plain
            deployment.add_target("t2", service, answer)
            deployment.wait_ready()
            time.sleep(DRAIN_S)
            calls = leaving.calls
            # The registry still lists the target as ready, and a newer record changes nothing.
            record = deployment.targets[0].build_registry_entry(service)
            deployment.store.put("keyed.servers", "t1", record | {"slots": 9})
            for number in range(40):
                response = deployment.call(path, method, b"{}", Request_Id=f"r-{number}", **headers)
                self.assertEqual(response.status, 200)
            self.assertEqual(leaving.calls, calls)
            self.assertIn("mulberryrill_entry_leaving_targets 1", deployment.read_metrics())

    def test_success(self) -> None:
        self.check(LeavingTarget())

    def test_error(self) -> None:
        self.check(LeavingTarget(status=500))

    def test_rejection(self) -> None:
        self.check(LeavingTarget(status=503))

    def test_misdirection(self) -> None:
        self.check(LeavingTarget(status=421))

    def test_head_of_a_stream(self) -> None:
        self.check(LeavingTarget(is_stream=True), "/plan/1", "lm")

    def test_last_target_of_a_service_leaves(self) -> None:
        leaving = LeavingTarget()
        with run_entry() as deployment:
            deployment.add_target("t1", "desk", leaving.handle)
            deployment.wait_ready()
            self.assertEqual(deployment.call("/get/1").status, 200)
            response = deployment.call("/get/1")
            self.assertEqual(response.status, 503)
            self.assertIn("retry-after", response.headers)
            self.assertEqual(leaving.calls, 1)

    def test_new_incarnation_under_the_same_id_and_address_is_used(self) -> None:
        leaving = LeavingTarget()
        with run_entry() as deployment:
            target = deployment.add_target("t1", "desk", leaving.handle)
            deployment.wait_ready()
            deployment.call("/get/1")
            leaving.is_leaving = False
            entry = target.build_registry_entry("desk", born=2)
            deployment.store.put("keyed.servers", "t1", entry)
            wait_for(lambda: deployment.call("/get/1").status == 200)

    def test_response_of_another_target_marks_nobody(self) -> None:
        for headers in ({"Instance_Id": "t9"}, {"Server_Stamp": ""}):
            with self.subTest(headers), run_entry() as deployment:
                stranger = LeavingTarget(status=421 if "Instance_Id" in headers else None)
                deployment.add_target("t1", "desk", self._answer_as(stranger, headers))
                deployment.wait_ready()
                deployment.call("/get/1")
                self.assertIn("mulberryrill_entry_leaving_targets 0", deployment.read_metrics())

    @staticmethod
    def _answer_as(behaviour: LeavingTarget, headers: dict[str, str]):
        def handle(target: TargetStandin, request: RequestHandler, call: ReceivedCall) -> None:
            behaviour.calls += 1
            if "Instance_Id" in headers:
                request.reply(421, b"", Server_Leaving="1", **headers)
            else:
                request_id = call.headers["request-id"]
                request.reply(200, b"forged", Server_Leaving="1", Request_Id=request_id)

        return handle
