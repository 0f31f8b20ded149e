"""Guards against calls to targets that have asked an instance for quiet.

A target that turns a call away with 503 may name a time in Retry-After for which it wants nothing
from the instance. The header was not read: when all targets of a service turned calls away, every
call still reached one of them. Reported as BUDGET, "repeats piled up".
"""

import threading
import time
import unittest

from mulberryrill.internal.events import Event
from tests.common.entry import (
    EntryDeployment,
    ReceivedCall,
    RequestHandler,
    TargetStandin,
    answer_plain,
    answer_stream,
    run_entry,
)

PROMPT_HEADERS = {"Model": "m0", "Token_Usage": "1000,16", "Prefix_Hash": "aa:800,cc:200"}
# A quiet time binds from this time after its response, and this many calls may reach the target.
QUIET_FROM_S = 0.5
MAX_QUIET_CALLS = 2
START_S = 1.0


class AskingTarget:
    """Asks for quiet at every call until it is told to serve."""

    def __init__(self, retry_after: str, *, is_stream: bool = False) -> None:
        self._retry_after = retry_after
        self._answer = answer_stream if is_stream else answer_plain
        self.asks = True
        self.received_at: list[float] = []
        self.asked_at: float | None = None
        self._lock = threading.Lock()

    def handle(self, target: TargetStandin, request: RequestHandler, call: ReceivedCall) -> None:
        with self._lock:
            self.received_at.append(time.monotonic())
        if not self.asks:
            self._answer(target, request, call)
            return
        request.reply(503, Not_Run="1", Retry_After=self._retry_after)
        if self.asked_at is None:
            self.asked_at = time.monotonic()

    def count_calls(self, from_s: float, to_s: float) -> int:
        """Returns the calls that arrived between two times after the first request for quiet."""
        assert self.asked_at is not None
        elapsed = [at - self.asked_at for at in self.received_at]
        return sum(from_s <= s < to_s for s in elapsed)


class QuietTimeTest(unittest.TestCase):
    def call_for(self, deployment: EntryDeployment, duration_s: float, path: str, **headers: str):
        """Makes calls one after the other; returns their statuses and times to return."""
        end = time.monotonic() + duration_s
        responses = []
        number = 0
        while time.monotonic() < end:
            number += 1
            method = "GET" if path.startswith("/get/") else "POST"
            responses.append(
                deployment.call(path, method, b"{}", Request_Id=f"r-{number}", **headers)
            )
            time.sleep(0.01)
        return responses

    def check(self, service: str, path: str, count: int, asking: int, **headers: str) -> None:
        """Checks that targets of which some ask for 2 s of quiet have it, and are used after it."""
        is_stream = service == "lm"
        behaviours = [AskingTarget("2", is_stream=is_stream) for _ in range(count)]
        for behaviour in behaviours[asking:]:
            behaviour.asks = False
        with run_entry() as deployment:
            for number, behaviour in enumerate(behaviours):
                deployment.add_target(f"t{number}", service, behaviour.handle)
            deployment.wait_ready()
            # The first call may be turned away by three targets. A process has the retries for that
            # a second after its start.
            time.sleep(START_S)
            # Ends before the quiet time does: a later call would be asked for quiet again.
            responses = self.call_for(deployment, 1.9, path, **headers)
            for behaviour in behaviours[:asking]:
                if behaviour.asked_at is not None:
                    quiet_calls = behaviour.count_calls(QUIET_FROM_S, 1.95)
                    self.assertLessEqual(quiet_calls, MAX_QUIET_CALLS)
                behaviour.asks = False
            time.sleep(1.0)
            last = deployment.call(path, "GET" if service == "desk" else "POST", b"{}", **headers)
            self.assertEqual(last.status, 200)
        statuses = {response.status for response in responses}
        if asking < count:
            self.assertEqual(statuses, {200})
        else:
            self.assertEqual(statuses, {503})
            # Callers learn when the first target wants calls again.
            delays = [float(response.headers["retry-after"]) for response in responses[5:100]]
            self.assertTrue(all(0 < delay <= 3.0 for delay in delays), delays)
            self.assertGreater(max(delays), 1.0)

    def test_all_plain_targets_ask_for_quiet(self) -> None:
        self.check("desk", "/get/1", count=4, asking=4)

    def test_the_only_target_asks_for_quiet(self) -> None:
        self.check("desk", "/get/1", count=1, asking=1)

    def test_other_targets_serve_meanwhile(self) -> None:
        self.check("desk", "/get/1", count=4, asking=3)

    def test_all_engines_ask_for_quiet(self) -> None:
        self.check("lm", "/plan/1", count=3, asking=3, **PROMPT_HEADERS)


class QuietTimeValuesTest(unittest.TestCase):
    """A value that cannot be a time in seconds has no effect; the calls go on."""

    def check_ignored(self, value: str) -> None:
        behaviour = AskingTarget(value)
        with run_entry() as deployment:
            deployment.add_target("t1", "desk", behaviour.handle)
            deployment.wait_ready()
            with self.assertLogs("mulberryrill.platform.calls", "WARNING") as logs:
                deployment.call("/get/1")
            self.assertEqual(vars(logs.records[0])["event"], Event.MESSAGE_REJECTED)
            behaviour.asks = False
            time.sleep(0.5)
            self.assertEqual(deployment.call("/get/1").status, 200)
            self.assertIn(
                'mulberryrill_entry_invalid_headers_total{header="retry-after"}',
                deployment.read_metrics(),
            )

    def test_text(self) -> None:
        self.check_ignored("soon")

    def test_negative(self) -> None:
        self.check_ignored("-3")

    def test_not_finite(self) -> None:
        self.check_ignored("inf")

    def test_date(self) -> None:
        self.check_ignored("Fri, 31 Dec 2027 23:59:59 GMT")

    def test_zero_and_fractions_are_times(self) -> None:
        behaviour = AskingTarget("0.25")
        with run_entry() as deployment:
            deployment.add_target("t1", "desk", behaviour.handle)
            deployment.wait_ready()
            self.assertEqual(deployment.call("/get/1").status, 503)
            behaviour.asks = False
            time.sleep(0.4)
            self.assertEqual(deployment.call("/get/1").status, 200)


class QuietTimeOfIncarnationTest(unittest.TestCase):
    def test_target_that_starts_again_is_used_at_once(self) -> None:
        behaviour = AskingTarget("60")
        with run_entry() as deployment:
            target = deployment.add_target("t1", "desk", behaviour.handle)
            deployment.wait_ready()
            self.assertEqual(deployment.call("/get/1").status, 503)
            self.assertEqual(deployment.call("/get/1").status, 503)
            behaviour.asks = False
            entry = target.build_registry_entry("desk", born=2)
            deployment.store.put("keyed.servers", "t1", entry)
            end = time.monotonic() + 5.0
            while deployment.call("/get/1").status != 200 and time.monotonic() < end:
                time.sleep(0.05)
            self.assertEqual(deployment.call("/get/1").status, 200)
