"""The time to a rejection's first byte was recorded as the prefill time of a prompt."""

import unittest
from unittest.mock import Mock

from mulberryrill.internal.clock import ManualClock
from mulberryrill.internal.core.messages import MemberState, TargetState
from mulberryrill.internal.gateway.attempts import Attempt, AttemptResult, ResultKind
from mulberryrill.internal.gateway.targets import TargetPool
from mulberryrill.internal.ids import AttemptId, DataCentre, Incarnation, PoolName, TargetId
from tests.unit.test_gateway_attempts import ECHOED_HEADERS, create_call

TARGET = TargetState(
    target=TargetId("engine-1"),
    data_centre=DataCentre("north"),
    pool=PoolName("language"),
    address="http://engine-1",
    state=MemberState.LIVE,
    incarnation=Incarnation("inc-1"),
    healthy=True,
    running=0,
    waiting=0,
    max_concurrency=1,
)


class RejectionTest(unittest.TestCase):
    """Guards against a prefill rate estimated a hundred times too high after a rejection."""

    def release(self, status: int, kind: ResultKind) -> float | None:
        """Returns the time to the first token that is reported to the router."""
        clock, router, loop = ManualClock(), Mock(), Mock()
        loop.now = clock.monotonic
        call = create_call()
        call.routing = Mock()
        pool = TargetPool(clock, Mock(settings=Mock(seed=1)), router, Mock(), Mock(), Mock())
        attempt = Attempt(loop, Mock(), call, TARGET, AttemptId("att-1"), 1000)
        clock.advance(0.5)
        attempt.on_headers(status, ECHOED_HEADERS)
        pool.release(attempt, AttemptResult(kind, "", True), clock.monotonic())
        return router.record_end.call_args.args[3]

    def test_only_computed_answers_measure_a_target(self) -> None:
        self.assertEqual(self.release(200, ResultKind.COMPLETE), 0.5)
        self.assertIsNone(self.release(503, ResultKind.REJECTED))
        self.assertIsNone(self.release(409, ResultKind.REJECTED))
