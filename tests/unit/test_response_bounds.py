"""Bytes without end from servers, in heads, bodies and events, and what they cost."""

import time
import unittest

from hypothesis import given
from hypothesis import strategies as st

from mulberryrill.errors import HttpError, ResponseLimitError
from mulberryrill.internal.entry.eventstream import EventStreamParser
from mulberryrill.internal.gateway.streams import BrokenStreamError, EventSplitter
from mulberryrill.internal.http.bounds import (
    MAX_DISCARDED_BYTES,
    MAX_EVENT_BYTES,
    MAX_HEAD_BYTES,
)
from mulberryrill.internal.http.events import EventBuffer
from mulberryrill.internal.http.messages import (
    HttpResponse,
    RequestError,
    RequestParser,
    ResponseParser,
)

READ_BYTES = 65_536
OK_HEAD = b"HTTP/1.1 200 OK\r\n"
# More than any bound; without bounds it would be buffered whole.
MANY_READS = 1_000


class ResponseHeadTest(unittest.TestCase):
    """Guards against a server whose head never ends and fills the memory of the process."""

    def feed_until_refused(self, parser: ResponseParser, piece: bytes) -> int:
        for count in range(1, MANY_READS + 1):
            try:
                parser.feed(piece)
            except ResponseLimitError:
                return count * len(piece)
        raise AssertionError(f"{MANY_READS * len(piece)} bytes were accepted")

    def test_endless_heads_are_refused(self) -> None:
        pieces = {
            "one header": b"a" * 1_000,
            "many headers": b"x: y\r\n" * 200,
            "informational responses": b"HTTP/1.1 103 Early Hints\r\nx: y\r\n\r\n" * 20,
        }
        for name, piece in pieces.items():
            parser = ResponseParser()
            if name != "informational responses":
                parser.feed(OK_HEAD + b"x: ")
            with self.subTest(name=name):
                received = self.feed_until_refused(parser, piece)
                self.assertLess(received, MAX_HEAD_BYTES + 2 * READ_BYTES)

    def test_endless_chunk_extension_and_trailer_are_refused(self) -> None:
        head = OK_HEAD + b"transfer-encoding: chunked\r\n\r\n"
        for start in (b"3;", b"0\r\nx: "):
            parser = ResponseParser()
            parser.feed(head + start)
            with self.subTest(start=start):
                self.feed_until_refused(parser, b"a" * 1_000)

    def test_endless_answer_to_an_earlier_request_is_refused(self) -> None:
        parser = ResponseParser()
        parser.accepts = lambda response: False
        parser.feed(OK_HEAD + b"transfer-encoding: chunked\r\n\r\n")
        received = self.feed_until_refused(parser, b"1000\r\n" + b"a" * 4_096 + b"\r\n")
        self.assertLess(received, 2 * MAX_DISCARDED_BYTES)

    def test_long_bodies_in_small_chunks_pass(self) -> None:
        parser = ResponseParser()
        parser.feed(OK_HEAD + b"transfer-encoding: chunked\r\n\r\n")
        for _ in range(2 * MAX_HEAD_BYTES // 600):
            parser.feed(b"1\r\na\r\n" * 100)
        parser.feed(b"0\r\n\r\n")
        self.assertTrue(parser.is_complete)

    def test_trailers_are_not_taken_for_headers(self) -> None:
        """Guards against identity headers that were not there when the head was checked."""
        parser = ResponseParser()
        parser.feed(
            OK_HEAD + b"transfer-encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nrequest-id: r\r\n\r\n"
        )
        head = parser.pop_head()
        assert isinstance(head, HttpResponse)
        self.assertIsNone(head.get(b"request-id"))


class RequestBoundsTest(unittest.TestCase):
    """Guards against callers whose chunk extensions or trailers never end."""

    HEAD = b"POST /a HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n"

    def test_endless_chunk_extension_and_trailer_are_refused(self) -> None:
        for start in (b"3;", b"0\r\nx: "):
            parser = RequestParser(1_000, 1_000)
            parser.feed(self.HEAD + start)
            with self.subTest(start=start), self.assertRaises(RequestError):
                for _ in range(MANY_READS):
                    parser.feed(b"a" * 100)

    def test_trailers_are_not_taken_for_headers(self) -> None:
        """Guards against a key or a customer that follows the body."""
        parser = RequestParser(1_000, 1_000)
        parser.feed(self.HEAD + b"3\r\nabc\r\n0\r\nx-api-key: stolen\r\n\r\n")
        self.assertIsNone(parser.requests[0].get(b"x-api-key"))


class EventBoundsTest(unittest.TestCase):
    """Guards against a stream without an event's end, which was searched anew at each read."""

    def test_endless_event_is_refused(self) -> None:
        parser = EventStreamParser(None)
        with self.assertRaises(ResponseLimitError):
            for _ in range(MANY_READS):
                parser.feed(b"a" * READ_BYTES)
        splitter = EventSplitter()
        with self.assertRaises(BrokenStreamError):
            for _ in range(MANY_READS):
                splitter.feed(b"a" * READ_BYTES)

    def test_each_byte_is_searched_once(self) -> None:
        """One event of almost the largest size in small reads took time in proportion to n**2."""
        data = b"a" * (MAX_EVENT_BYTES - 1_000)
        started = time.process_time()
        buffer = EventBuffer()
        for start in range(0, len(data), 100):
            buffer.feed(data[start : start + 100])
        # 10,000 reads; searching the whole buffer each time would take over 5 s.
        self.assertLess(time.process_time() - started, 1.0)

    @given(
        st.lists(st.tuples(st.text("ab:", max_size=5), st.sampled_from(["\n\n", "\r\n\r\n"]))),
        st.integers(1, 9),
    )
    def test_events_do_not_depend_on_how_the_stream_is_cut(
        self, parts: list[tuple[str, str]], size: int
    ) -> None:
        data = "".join(text + end for text, end in parts).encode()
        whole = EventBuffer().feed(data)
        buffer = EventBuffer()
        pieces = []
        for start in range(0, len(data), size):
            pieces += buffer.feed(data[start : start + size])
        self.assertEqual(pieces, whole)
        self.assertEqual(b"".join(event for event, _ in whole), data)

    def test_id_with_thousands_of_digits_is_out_of_order(self) -> None:
        """Guards against an error in the conversion that would leave the call without an end."""
        parser = EventStreamParser(None)
        parser.feed(b"id: " + b"9" * 5_000 + b"\n\n")
        self.assertTrue(parser.is_out_of_order)


class MalformedResponseTest(unittest.TestCase):
    @given(st.binary(max_size=300), st.integers(1, 40))
    def test_arbitrary_bytes_raise_only_http_errors(self, data: bytes, size: int) -> None:
        """Guards against an error of the parser that nobody handles."""
        for prefix in (b"", OK_HEAD, OK_HEAD + b"transfer-encoding: chunked\r\n\r\n"):
            parser = ResponseParser()
            stream = prefix + data
            try:
                for start in range(0, len(stream), size):
                    parser.feed(stream[start : start + size])
            except HttpError:
                pass
