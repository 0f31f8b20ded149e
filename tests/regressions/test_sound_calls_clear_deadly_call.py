"""Guards against a call that goes on to end targets because sound calls are taken for it.

Calls under which targets end were recognized by customer, path and body alone. Sound calls that
differ from one in the query, the method or the prompt counted as the same call, and each answer to
one of them cleared it. Where no such call was answered they were refused for an hour with it.
Found by the review's case BUDGET. A call still counts as the same in each of its spellings.
"""

import itertools
import unittest
from collections.abc import Sequence
from unittest.mock import Mock

from mulberryrill.internal.clock import ManualClock
from mulberryrill.internal.core.quarantine import Quarantine
from mulberryrill.internal.core.serving.crashcauses import CALL_CRASH_THRESHOLD, CrashCauses
from mulberryrill.internal.core.serving.routetable import (
    CallKind,
    Customer,
    Prompt,
    Route,
    WeightedService,
)
from mulberryrill.internal.core.serving.targettable import Target
from mulberryrill.internal.entry.attempt import Outcome
from mulberryrill.internal.entry.crashwatch import CrashWatch
from mulberryrill.internal.entry.dialect import CallRequest
from mulberryrill.internal.http.messages import HttpRequest
from mulberryrill.internal.ids import CustomerName, ModelName, RequestId, ServiceName
from tests.common.followersimulation import SimulatedLoop
from tests.unit.test_serving_targettable import create_registration

ROUTE = Route(
    name="find",
    host="desk.example",
    path_prefix="/find",
    kind=CallKind.IDEMPOTENT,
    services=(WeightedService(ServiceName("desk"), 1.0),),
    timeout_s=5.0,
    latency_objective_s=1.0,
    priority=0,
    max_attempts=3,
    is_public=False,
    has_prompt=False,
    is_resumable=False,
    max_event_gap_s=0.0,
)
CUSTOMER = Customer(CustomerName("kimolia"), None, False)
REPORT_INTERVAL_S = 0.1
# Longer than news of an end takes, and than ends that count as one event.
PAUSE_S = 2.0


class DeadlyCallTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = ManualClock()
        self.loop = SimulatedLoop(self.clock, "test")
        self.addCleanup(self.loop.close)
        self.causes, self.quarantine = CrashCauses(), Quarantine()
        state = Mock(
            crash_causes=self.causes,
            quarantine=self.quarantine,
            report_interval_s=REPORT_INTERVAL_S,
        )
        self.watch = CrashWatch(self.loop, state, lambda: int(self.clock.monotonic() * 1000))
        self.numbers = itertools.count()

    def create_call(
        self, target: str, method: str = "GET", body: bytes = b"", prompt: str = ""
    ) -> CallRequest:
        parts = ((prompt, 100),) if prompt else ()
        return CallRequest(
            request_id=RequestId(f"r{next(self.numbers)}"),
            http=HttpRequest(
                body=bytearray(body), method=method.encode(), target=target.encode("latin-1")
            ),
            path=target.partition("?")[0],
            route=ROUTE,
            customer=CUSTOMER,
            deadline_s=None,
            prompt=Prompt(ModelName("m"), 100, 10, parts) if prompt else None,
            last_event_id=None,
        )

    def end_target(self, call: CallRequest) -> None:
        """A target ends while it runs a call."""
        registration = create_registration(f"t{next(self.numbers)}")
        self.watch.on_target_removed(registration, [call])
        self.pass_time()

    def answer(self, call: CallRequest) -> None:
        attempt = Mock(plan=Mock(target=Mock(registration=create_registration("sound"))))
        self.watch.on_attempt_end(call, attempt, Outcome.ANSWERED)
        self.pass_time()

    def pass_time(self) -> None:
        self.clock.advance(PAUSE_S)
        self.loop.run_due()

    def is_refused(self, call: CallRequest) -> bool:
        return self.watch.find_quarantined(call) is not None

    def check_told_apart(
        self, deadly: Sequence[CallRequest], sound: Sequence[CallRequest], later: CallRequest
    ) -> None:
        """Deadly calls are refused after three ends, and no sound one ever is.

        ``later`` is a sound call that is seen only after that.
        """
        for call, sound_call in zip(deadly, itertools.cycle(sound)):
            self.assertFalse(self.is_refused(call))
            self.end_target(call)
            self.answer(sound_call)
        for call in deadly:
            self.assertTrue(self.is_refused(call), call.http.target)
        for call in (*sound, later):
            self.assertFalse(self.is_refused(call), call.http.target)

    def repeat(self, target: str, method: str = "GET") -> list[CallRequest]:
        return [self.create_call(target, method) for _ in range(CALL_CRASH_THRESHOLD)]

    def test_sound_calls_with_other_queries(self) -> None:
        sound = [self.create_call(f"/find?q={number}") for number in range(4)]
        self.check_told_apart(
            self.repeat("/find?q=deadly"), sound, self.create_call("/find?q=rare")
        )

    def test_sound_calls_with_another_method(self) -> None:
        self.check_told_apart(
            self.repeat("/find", "POST"),
            [self.create_call("/find", "GET")],
            self.create_call("/find", "HEAD"),
        )

    def test_sound_calls_with_other_prompts(self) -> None:
        def create(prompt: str) -> CallRequest:
            return self.create_call("/find", "POST", b"{}", prompt)

        deadly = [create("dead") for _ in range(CALL_CRASH_THRESHOLD)]
        self.check_told_apart(deadly, [create("a"), create("b")], create("rare"))

    def test_spellings_of_one_query_beside_sound_calls(self) -> None:
        deadly = [
            self.create_call("/find?q=no+good&lang=el"),
            self.create_call("/find?lang=el&q=no%20good"),
            self.create_call("/fi%6Ed?&q=%6eo+good&lang=%65l"),
        ]
        sound = [self.create_call("/find?q=good&lang=el")]
        self.check_told_apart(deadly, sound, self.create_call("/find?q=no%2Bgood&lang=el"))

    def test_deadly_parameter_beside_others_that_change(self) -> None:
        deadly = [self.create_call(f"/find?q=deadly&n={number}") for number in range(3)]
        sound = [self.create_call(f"/find?q={number}&n={number}") for number in range(3)]
        self.check_told_apart(deadly, sound, self.create_call("/find?q=rare&n=1"))

    def test_rare_sound_calls_are_not_refused_with_it(self) -> None:
        for call in self.repeat("/find?q=deadly"):
            self.end_target(call)
        self.assertTrue(self.is_refused(self.create_call("/find?q=deadly")))
        self.assertFalse(self.is_refused(self.create_call("/find?q=rare")))

    def test_spellings_without_anything_in_common_but_the_path(self) -> None:
        for number in range(CALL_CRASH_THRESHOLD):
            self.end_target(self.create_call(f"/find?{number}"))
        self.assertTrue(self.is_refused(self.create_call("/find?another")))

    def test_new_spelling_of_a_call_that_is_refused(self) -> None:
        """It ends one more target, not as many as the first spelling did."""
        for call in self.repeat("/find?q=deadly"):
            self.end_target(call)
        self.assertFalse(self.is_refused(self.create_call("/find?deadly")))
        self.end_target(self.create_call("/find?deadly"))
        for target in ("/find?deadly", "/find?q=deadly", "/find?third"):
            self.assertTrue(self.is_refused(self.create_call(target)), target)

    def test_sound_call_is_not_held_back_by_the_deadly_one(self) -> None:
        """Only calls that are suspected of the same run on one target, one at a time."""
        targets = [Target(create_registration(f"t{number}")) for number in range(3)]
        for call in self.repeat("/find?q=deadly")[:2]:
            self.end_target(call)
        self.answer(self.create_call("/find?q=1"))
        self.assertIsNone(
            self.watch.choose_trial_target(self.create_call("/find?q=2"), targets, ())
        )
