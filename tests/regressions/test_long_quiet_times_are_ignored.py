"""Guards against a Retry-After that is long and has no effect.

A time above one day is to be reduced to one day. Numbers of ten digits, as targets send that state
a Unix time or another unit, were taken for no number at all, and the target got calls on.
"""

import unittest

from mulberryrill.internal.core.serving.quiettimes import MAX_QUIET_S
from tests.unit.test_platform_calls import STAMPED, classify


class LongQuietTimeTest(unittest.TestCase):
    def test_long_numbers_are_reduced(self) -> None:
        for value in (b"1800000000", b"9" * 300, b"1e100", b"1e005", b"86400.5"):
            info = classify(503, *STAMPED, (b"retry-after", value))
            self.assertEqual(info.quiet_s, MAX_QUIET_S, value)
            self.assertEqual(info.invalid_headers, ("retry-after",))

    def test_long_fractions_are_numbers(self) -> None:
        info = classify(503, *STAMPED, (b"retry-after", b"3." + b"0" * 60))
        self.assertEqual(info.quiet_s, 3.0)
        self.assertEqual(info.invalid_headers, ())

    def test_what_is_no_finite_number_is_ignored(self) -> None:
        for value in (b"", b".", b"-3", b"nan", b"inf", b"1_000", b"0x10"):
            info = classify(503, *STAMPED, (b"retry-after", value))
            self.assertIsNone(info.quiet_s, value)
            self.assertEqual(info.invalid_headers, ("retry-after",))
