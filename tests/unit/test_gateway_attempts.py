"""Verification of responses, and the paths, digests and keys of requests."""

import unittest

from mulberryrill.internal.core.messages import CostWeights, Priority
from mulberryrill.internal.core.snapshot import CustomerConfig, ServiceConfig
from mulberryrill.internal.gateway.answers import Action, ErrorResponse
from mulberryrill.internal.gateway.attempts import (
    build_target_path,
    find_mismatch,
    is_rejection,
)
from mulberryrill.internal.gateway.call import Call, CallRequest
from mulberryrill.internal.gateway.pendingclaims import (
    compute_request_digest,
    is_valid_idempotency_key,
)
from mulberryrill.internal.ids import (
    AttemptId,
    CustomerName,
    Executed,
    PoolName,
    RequestId,
    ServiceName,
)

ATTEMPT = AttemptId("att-1")
ECHOED_HEADERS = {"x-attempt-id": "att-1", "x-customer": "kariakoo", "x-model-version": "3"}


def create_request(is_model: bool = True, **fields: object) -> CallRequest:
    config = ServiceConfig(
        name=ServiceName("flavour"),
        revision=1,
        is_model=is_model,
        pool=PoolName("language"),
        models=(),
        customers={},
        priority=Priority.INTERACTIVE,
        deadline_s=1.0,
        non_repeatable=frozenset(),
        weights=CostWeights(),
    )
    defaults: dict = {
        "request_id": RequestId("req-1"),
        "authorization": "",
        "config": config,
        "customer": CustomerConfig(CustomerName("kariakoo"), 0, 0, 1),
        "method": "POST",
        "gateway_path": "/v1/completions",
        "target_path": "/v1/completions",
        "headers": (),
        "body": b"",
        "hops": 0,
        "idempotency_key": "",
        "repeatable": True,
        "version": "3",
    }
    return CallRequest(**{**defaults, **fields})


def create_call(is_model: bool = True) -> Call:
    caller: object = None
    return Call(create_request(is_model), caller, 0.0, 0.0, 1.0)  # type: ignore[arg-type]


class EchoTest(unittest.TestCase):
    """Guards against a response that reaches the wrong caller (I2, I3, I6)."""

    def test_each_echoed_header_must_match(self) -> None:
        self.assertIsNone(find_mismatch(create_call(), ATTEMPT, 200, ECHOED_HEADERS))
        for name in ECHOED_HEADERS:
            for status in (200, 503):
                with self.subTest(name=name, status=status):
                    wrong = {**ECHOED_HEADERS, name: "other"}
                    self.assertIsNotNone(find_mismatch(create_call(), ATTEMPT, status, wrong))
            missing = {key: value for key, value in ECHOED_HEADERS.items() if key != name}
            with self.subTest(missing=name):
                self.assertIsNotNone(find_mismatch(create_call(), ATTEMPT, 200, missing))

    def test_only_documented_rejections_are_not_run(self) -> None:
        body = b'{"executed": "no"}'
        self.assertTrue(is_rejection(create_call(), 503, body))
        self.assertTrue(is_rejection(create_call(), 409, b""))
        self.assertFalse(is_rejection(create_call(is_model=False), 409, b""))
        for other in (b"", b"[]", b'{"executed": "unknown"}', b"busy"):
            self.assertFalse(is_rejection(create_call(), 503, other))
        self.assertFalse(is_rejection(create_call(), 500, body))


class RequestFormTest(unittest.TestCase):
    def test_path_at_the_target_is_the_one_that_was_checked(self) -> None:
        """Guards against a path that the target reads differently from the service's call rules."""
        self.assertEqual(build_target_path("a/../pay", ""), "/pay")
        self.assertEqual(build_target_path("stock/a b/", "x=1"), "/stock/a%20b/?x=1")
        self.assertEqual(build_target_path("a%2Fb", ""), "/a%252Fb")

    def test_digest_separates_the_parts_of_a_request(self) -> None:
        """Guards against two different requests with the same digest."""
        first = create_request(target_path="/a", body=b"b")
        self.assertNotEqual(
            compute_request_digest(first),
            compute_request_digest(create_request(target_path="/ab", body=b"")),
        )
        self.assertEqual(compute_request_digest(first), compute_request_digest(first))

    def test_keys(self) -> None:
        self.assertTrue(is_valid_idempotency_key("01890a5d-ac96-774b-bcce-b302099a8057"))
        self.assertFalse(is_valid_idempotency_key("f47ac10b-58cc-4372-a567-0e02b2c3d479"))
        self.assertFalse(is_valid_idempotency_key("x"))

    def test_a_client_library_does_not_repeat_what_may_have_run(self) -> None:
        for executed, expected in ((Executed.NO, "true"), (Executed.UNKNOWN, "false")):
            error = ErrorResponse(503, "t", "d", executed, Action.RETRY)
            headers = error.build_headers(RequestId("req-1"))
            self.assertEqual(headers["X-Should-Retry"], expected)
