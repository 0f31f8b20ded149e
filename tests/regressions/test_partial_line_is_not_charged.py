"""Guards against bytes of a head that no account knows of.

A header line that is not complete is kept by the HTTP parser. It was neither charged nor freed when
the connection ended, so clients that stop inside a long line held more than the account allows.
"""

import gc
import tracemalloc
import unittest

from mulberryrill.internal.http.messages import RequestParser

MAX_BYTES = 65_536
LINE_BYTES = 60_000


def feed_partial_head() -> RequestParser:
    parser = RequestParser(MAX_BYTES, MAX_BYTES)
    parser.feed(b"GET / HTTP/1.1\r\nx: " + b"a" * LINE_BYTES)
    return parser


class PartialLineTest(unittest.TestCase):
    def test_incomplete_line_counts(self) -> None:
        self.assertGreaterEqual(feed_partial_head().memory_bytes, LINE_BYTES)

    def test_trailer_counts(self) -> None:
        parser = RequestParser(MAX_BYTES, MAX_BYTES)
        head = b"POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n"
        parser.feed(head + b"0\r\nx: " + b"a" * LINE_BYTES)
        self.assertGreaterEqual(parser.memory_bytes, LINE_BYTES)

    def test_line_after_a_complete_request_counts(self) -> None:
        parser = RequestParser(MAX_BYTES, MAX_BYTES)
        parser.feed(b"GET / HTTP/1.1\r\n\r\nGET / HTTP/1.1\r\nx: " + b"a" * LINE_BYTES)
        parser.requests.clear()
        self.assertGreaterEqual(parser.memory_bytes, LINE_BYTES)

    def test_earlier_requests_and_bodies_do_not_count_as_lines(self) -> None:
        parser = RequestParser(MAX_BYTES, MAX_BYTES)
        parser.feed(b"GET / HTTP/1.1\r\nx: " + b"a" * LINE_BYTES + b"\r\n\r\n")
        parser.requests.clear()
        self.assertEqual(parser.memory_bytes, 0)
        parser.feed(b"POST / HTTP/1.1\r\ncontent-length: 50000\r\n\r\n")
        self.assertLess(parser.memory_bytes, 1_000)
        parser.feed(bytes(49_999))
        self.assertLess(parser.memory_bytes, 1.2 * 50_000)

    def test_incomplete_line_is_freed_without_the_garbage_collector(self) -> None:
        gc.disable()
        self.addCleanup(gc.enable)
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        for _ in range(50):
            feed_partial_head().clear()
        held, _ = tracemalloc.get_traced_memory()
        self.assertLess(held, 10 * LINE_BYTES)
