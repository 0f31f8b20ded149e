"""What the platform's headers in responses of targets mean."""

import unittest
from unittest.mock import Mock

from mulberryrill.internal.entry.dialect import ResponseInfo
from mulberryrill.internal.http.messages import HttpResponse
from mulberryrill.platform.calls import PlatformDialect

STAMPED = ((b"request-id", b"r-1"), (b"server-stamp", b"s"))


def classify(status: int, *headers: tuple[bytes, bytes]) -> ResponseInfo:
    """Classifies a response to a call without a prompt."""
    values = dict(headers)
    response = Mock(spec=HttpResponse, status=status, keeps_alive=True)
    response.get.side_effect = values.get
    plan = Mock()
    plan.target.id = "t1"
    return PlatformDialect().classify_response(response, Mock(prompt=None), plan)


class RateLimitTest(unittest.TestCase):
    def test_limit_is_read_from_answers_and_rejections(self) -> None:
        for info in (
            classify(200, *STAMPED, (b"server-limit", b"2.5")),
            classify(500, *STAMPED, (b"server-limit", b" 2.5 ")),
            classify(503, (b"not-run", b"1"), (b"server-limit", b"2.5")),
        ):
            self.assertTrue(info.tells_rate_limit)
            self.assertEqual(info.rate_limit, 2.5)

    def test_any_notation_of_a_decimal_number_is_read(self) -> None:
        """Guards against limits that are ignored since they have more digits than expected."""
        for value in (b"4.533612748911317", b"2", b"2.", b".5", b"0", b"5e-05", b"1.5E+1"):
            with self.subTest(value=value):
                info = classify(200, *STAMPED, (b"server-limit", value))
                self.assertEqual(info.rate_limit, float(value))

    def test_answer_without_a_limit_tells_that_there_is_none(self) -> None:
        info = classify(200, *STAMPED)
        self.assertTrue(info.tells_rate_limit)
        self.assertIsNone(info.rate_limit)

    def test_unreadable_limit_neither_sets_nor_lifts_one(self) -> None:
        """Guards against a limit that is dropped, or calls that stop, for a malformed header."""
        for value in (b"", b"-1", b"nan", b"inf", b"1e999", b"2,5", b"9" * 400, b"\xb2", b"."):
            with self.subTest(value=value), self.assertLogs(level="WARNING"):
                info = classify(200, *STAMPED, (b"server-limit", value))
                self.assertFalse(info.tells_rate_limit)
                self.assertIsNone(info.rate_limit)

    def test_response_of_unclear_origin_tells_nothing(self) -> None:
        limit = (b"server-limit", b"2.5")
        for info in (
            classify(200, limit),
            classify(421, (b"not-run", b"1"), limit),
            classify(200, *STAMPED, (b"instance-id", b"t2"), limit),
        ):
            self.assertFalse(info.tells_rate_limit)
