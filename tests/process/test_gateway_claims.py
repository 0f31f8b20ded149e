"""Calls that must run at most once do so even if replies or responses are lost (I7, I8)."""

import json
import uuid

from mulberryrill.internal.httpclient import HttpResponse
from mulberryrill.internal.schema.log_pb2 import Outcome
from mulberryrill.internal.schema.wire_pb2 import (
    EXPIRED,
    IN_PROGRESS,
    MISMATCH,
    REPLAY,
    UNAVAILABLE,
    ClaimReply,
    ClaimRequest,
    Envelope,
)
from tests.common.control import create_idempotency_key
from tests.common.gateway import (
    LOCAL,
    GatewayTestCase,
    grant_claim,
    parse_json_object,
    read_executed,
    send,
    wait_until,
)

PAY = "/v1/services/sugar/pay"


class GatewayClaimTest(GatewayTestCase):
    deadline_ms = 800

    def setUp(self) -> None:
        super().setUp()
        self.service = self.start_service()

    def pay(self, key: str) -> HttpResponse:
        return self.call("POST", PAY, {"batch": 1}, Idempotency_Key=key)

    def count_executions(self) -> int:
        state = parse_json_object(send("GET", f"http://{LOCAL}:{self.service.port}/v1/state"))
        return state["executions"].get("/pay", 0)

    def reply_with(self, kind: int, **outcome: object) -> None:
        def reply(request: ClaimRequest) -> ClaimReply:
            claim_reply = grant_claim(request)
            claim_reply.status = kind  # type: ignore[assignment]
            claim_reply.outcome.CopyFrom(Outcome(**outcome))  # type: ignore[arg-type]
            return claim_reply

        self.control.answer_claim = reply

    def test_granted_call_runs_once_and_its_outcome_is_recorded(self) -> None:
        self.start_gateway()
        response = self.pay(create_idempotency_key())
        self.assertEqual(response.status, 200)
        wait_until(lambda: self.control.list_messages("outcome_report"), "outcome reported")
        outcome = self.control.list_messages("outcome_report")[0].outcome
        claim = self.control.list_messages("claim_request")[0].claim
        self.assertEqual((outcome.claim_id, outcome.body), (claim.claim_id, response.body))
        self.assertEqual((self.count_executions(), len(claim.request_digest)), (1, 32))
        self.assertEqual(self.control.list_messages("claim_abandon"), [])

    def test_key_must_be_a_uuid_of_version_7(self) -> None:
        self.start_gateway()
        for key in ("", "abc", str(uuid.uuid4()), create_idempotency_key().replace("-", "")):
            with self.subTest(key=key):
                self.assertEqual(read_executed(self.pay(key)), (400, "no"))
        self.assertEqual(
            (self.count_executions(), self.control.list_messages("claim_request")), (0, [])
        )

    def test_call_without_grant_is_not_sent(self) -> None:
        self.start_gateway()
        expected = {
            IN_PROGRESS: (409, "unknown"),
            MISMATCH: (422, "no"),
            EXPIRED: (400, "unknown"),
            UNAVAILABLE: (503, "no"),
        }
        for status, response in expected.items():
            with self.subTest(status=status):
                self.reply_with(status)
                self.assertEqual(read_executed(self.pay(create_idempotency_key())), response)
        self.assertEqual(self.count_executions(), 0)

    def test_repeat_waits_for_the_outcome_of_the_running_call(self) -> None:
        """Guards against a 409 for a repeated call that arrives while the first one runs."""
        self.start_gateway()
        requests = []

        def reply_when_run(request: ClaimRequest) -> ClaimReply:
            requests.append(request)
            status = IN_PROGRESS if len(requests) < 3 else REPLAY
            reply = ClaimReply(
                request_id=request.request_id, claim_id=request.claim.claim_id, status=status
            )
            reply.outcome.CopyFrom(Outcome(status=201, body=b"paid"))
            return reply

        self.control.answer_claim = reply_when_run
        received = self.pay(create_idempotency_key())
        self.assertEqual((received.status, received.body), (201, b"paid"))
        self.assertEqual((len(requests), self.count_executions()), (3, 0))

    def test_recorded_outcome_is_replayed(self) -> None:
        self.start_gateway()
        self.reply_with(REPLAY, status=201, content_type="text/plain", body=b"paid")
        response = self.pay(create_idempotency_key())
        self.assertEqual((response.status, response.body), (201, b"paid"))
        self.assertEqual(response.headers["idempotent-replayed"], "true")
        self.reply_with(REPLAY, status=200, truncated=True)
        self.assertEqual(read_executed(self.pay(create_idempotency_key())), (409, "yes"))
        self.assertEqual(self.count_executions(), 0)

    def test_lost_answer_is_unknown_and_not_repeated(self) -> None:
        self.start_gateway()
        self.set_faults(self.service, lose_answers=1)
        self.assertEqual(read_executed(self.pay(create_idempotency_key())), (502, "unknown"))
        self.assertEqual(self.count_executions(), 1)
        self.assertEqual(self.control.list_messages("outcome_report"), [])
        self.assertEqual(self.control.list_messages("claim_abandon"), [])

    def test_documented_rejection_is_retried_under_the_same_claim(self) -> None:
        self.start_gateway()
        self.set_faults(self.service, reject=1)
        self.assertEqual(self.pay(create_idempotency_key()).status, 200)
        self.assertEqual(len(self.control.list_messages("claim_request")), 1)
        self.assertEqual(self.count_executions(), 1)

    def test_grant_that_comes_too_late_is_abandoned(self) -> None:
        self.start_gateway()
        kept: list[ClaimRequest] = []
        self.control.answer_claim = lambda request: kept.append(request)
        self.assertEqual(read_executed(self.pay(create_idempotency_key())), (503, "no"))
        self.control.send(Envelope(claim_reply=grant_claim(kept[0])))
        wait_until(lambda: self.control.list_messages("claim_abandon"), "claim abandoned")
        self.assertEqual(self.count_executions(), 0)

    def test_call_without_free_target_abandons_its_grant(self) -> None:
        self.control.slots = 0
        self.start_gateway()
        self.assertEqual(read_executed(self.pay(create_idempotency_key())), (503, "no"))
        wait_until(lambda: self.control.list_messages("claim_abandon"), "claim abandoned")

    def test_run_whose_caller_leaves_records_its_outcome(self) -> None:
        """Guards against cancelling a running call, which would leave its outcome unknown."""
        self.start_gateway()
        self.set_faults(self.service, delay_ms=500)
        with self.open_call(PAY, b"", f"Idempotency-Key: {create_idempotency_key()}\r\n"):
            wait_until(lambda: self.count_executions() == 1, "call runs")
        wait_until(lambda: self.control.list_messages("outcome_report"), "outcome reported")
        self.assertEqual(self.wait_for_trace().status, 499)

    def test_run_outlives_its_caller_and_records_its_outcome(self) -> None:
        self.start_gateway()
        self.set_faults(self.service, delay_ms=1500)
        self.assertEqual(read_executed(self.pay(create_idempotency_key())), (504, "unknown"))
        wait_until(lambda: self.control.list_messages("outcome_report"), "outcome reported")
        body = json.loads(self.control.list_messages("outcome_report")[0].outcome.body)
        self.assertEqual(body["path"], "/pay")
