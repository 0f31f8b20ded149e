"""Tests of the HTTP parsers and encoders."""

import unittest

from mulberryrill.errors import HttpError
from mulberryrill.internal.http.messages import (
    HttpResponse,
    RequestError,
    RequestErrorReason,
    RequestParser,
    ResponseParser,
    encode_request,
    strip_hop_by_hop_headers,
)

HEAD = b"POST /a HTTP/1.1\r\nHost: a\r\n"


class RequestParserTest(unittest.TestCase):
    """Guards against request smuggling by framing that two parsers could interpret differently."""

    def parse(
        self, data: bytes, max_head_bytes: int = 1000, max_body_bytes: int = 100
    ) -> RequestParser:
        parser = RequestParser(max_head_bytes, max_body_bytes)
        parser.feed(data)
        return parser

    def test_ambiguous_framing_is_refused(self) -> None:
        for lines in (
            b"Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            b"Content-Length: 1\r\nContent-Length: 2\r\n\r\nab",
            b"Content-Length: -1\r\n\r\n",
            b"Transfer-Encoding: chunked, identity\r\n\r\n0\r\n\r\n",
            b"X : y\r\n\r\n",
        ):
            with self.assertRaises(RequestError, msg=lines) as raised:
                self.parse(HEAD + lines)
            self.assertIs(raised.exception.reason, RequestErrorReason.MALFORMED)

    def test_limits(self) -> None:
        with self.assertRaises(RequestError) as raised:
            self.parse(HEAD + b"Content-Length: 101\r\n\r\n")
        self.assertIs(raised.exception.reason, RequestErrorReason.BODY_TOO_LARGE)
        with self.assertRaises(RequestError) as raised:
            self.parse(HEAD + b"Transfer-Encoding: chunked\r\n\r\n65\r\n" + b"a" * 101 + b"\r\n")
        self.assertIs(raised.exception.reason, RequestErrorReason.BODY_TOO_LARGE)
        with self.assertRaises(RequestError) as raised:
            self.parse(HEAD + b"X: " + b"a" * 1000)
        self.assertIs(raised.exception.reason, RequestErrorReason.HEAD_TOO_LARGE)

    def test_bytewise_and_chunked_requests_are_read(self) -> None:
        data = HEAD + b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"
        parser = RequestParser(1000, 100)
        for index in range(len(data)):
            parser.feed(data[index : index + 1])
        self.assertEqual(bytes(parser.requests[0].body), b"abc")
        self.assertFalse(parser.has_partial_request)


class ResponseParserTest(unittest.TestCase):
    RESPONSE = b"HTTP/1.1 200 OK\r\nrequest-id: %s\r\ncontent-length: 2\r\n\r\nok"

    def test_foreign_answer_before_the_right_one_is_dropped(self) -> None:
        """Guards against a late response that is delivered to the client of another request."""
        parser = ResponseParser()
        parser.accepts = lambda response: response.get(b"request-id") == b"mine"
        parser.feed(self.RESPONSE % b"old" + self.RESPONSE % b"mine")
        head = parser.pop_head()
        assert head is not None
        self.assertEqual(head.get(b"request-id"), b"mine")
        self.assertEqual(parser.pop_body(), b"ok")
        self.assertTrue(parser.is_complete and parser.has_dropped_response)

    def test_answer_after_the_right_one_is_no_part_of_it(self) -> None:
        parser = ResponseParser()
        parser.feed(self.RESPONSE % b"mine" + self.RESPONSE % b"extra")
        self.assertEqual(parser.pop_body(), b"ok")
        self.assertTrue(parser.has_extra_response)

    def test_garbage_is_an_error(self) -> None:
        with self.assertRaises(HttpError):
            ResponseParser().feed(b"\x00\x01garbage\r\n\r\n")

    def test_body_without_a_length_is_marked(self) -> None:
        parser = ResponseParser()
        parser.feed(b"HTTP/1.1 200 OK\r\n\r\nabc")
        head = parser.pop_head()
        assert isinstance(head, HttpResponse)
        self.assertTrue(head.is_close_delimited)
        self.assertFalse(parser.is_complete)


class HeaderTest(unittest.TestCase):
    def test_headers_of_one_connection_are_not_passed_on(self) -> None:
        headers = [(b"connection", b"close, X-Hop"), (b"x-hop", b"1"), (b"te", b"x"), (b"a", b"b")]
        self.assertEqual(strip_hop_by_hop_headers(headers, frozenset()), [(b"a", b"b")])

    def test_bodies_get_a_length(self) -> None:
        self.assertIn(b"content-length: 0", encode_request(b"POST", b"/", []))
        self.assertNotIn(b"content-length", encode_request(b"GET", b"/", []))
