"""Parsers and encoders of HTTP/1.1 messages, without I/O, based on ``httptools``.

``httptools`` is strict about framing: a message with two lengths, or with a length and chunked
coding, is an error. Repeated headers that determine routing or identity are checked by the dialect.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from enum import Enum
from http import HTTPStatus

import httptools

from ...errors import HttpError, ResponseLimitError
from .bounds import MAX_DISCARDED_BYTES, MAX_HEAD_BYTES

Header = tuple[bytes, bytes]

# Headers that apply to a single connection (RFC 9110, section 7.6.1) or to the framing of the body.
HOP_BY_HOP_HEADERS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    }
)
CRLF = b"\r\n"
# Bytes of a header line besides its name and value: a colon and CRLF.
HEADER_OVERHEAD_BYTES = 3
# Memory that a header takes beside its name and value: a tuple, two bytes objects and list entries.
HEADER_MEMORY_BYTES = 200
# A growing bytearray has an eighth more than it needs.
BODY_GROWTH_FACTOR = 1.125
LAST_CHUNK = b"0\r\n\r\n"
# RFC 9110, section 15: other codes are invalid, and no response of a sound server.
VALID_STATUSES = range(100, 600)
REASON_PHRASES = {status.value: status.phrase.encode("ascii") for status in HTTPStatus}


class RequestErrorReason(Enum):
    """Why a request is rejected; the value is an HTTP status code."""

    MALFORMED = 400
    BODY_TOO_LARGE = 413
    HEAD_TOO_LARGE = 431
    # Too much is held for all clients together; the request has not been handled.
    OVERLOAD = 503


class RequestError(HttpError):
    """The received bytes are malformed or exceed a limit."""

    def __init__(self, reason: RequestErrorReason) -> None:
        super().__init__(reason.name.lower(), sent=False)
        self.reason = reason


@dataclass
class HttpMessage:
    """The common parts of requests and responses. Header names are in lower case."""

    headers: list[Header] = field(default_factory=list)
    body: bytearray = field(default_factory=bytearray)

    def get(self, name: bytes) -> bytes | None:
        """Returns the first value of a header, or None."""
        for header_name, value in self.headers:
            if header_name == name:
                return value
        return None

    def count(self, name: bytes) -> int:
        """Returns how often a header occurs."""
        return sum(header_name == name for header_name, _ in self.headers)


@dataclass
class HttpRequest(HttpMessage):
    """A request; ``target`` is its path and query as received."""

    method: bytes = b""
    target: bytes = b""
    keeps_alive: bool = True
    is_http11: bool = True
    # When its first byte arrived, as far as known, in monotonic time.
    arrived_at: float | None = None
    # Memory of the head.
    head_memory_bytes: int = 0

    @property
    def memory_bytes(self) -> int:
        """Memory that the request takes."""
        return self.head_memory_bytes + int(BODY_GROWTH_FACTOR * len(self.body))


@dataclass
class HttpResponse(HttpMessage):
    """A response."""

    status: int = 0
    keeps_alive: bool = True
    # There is neither a length nor chunked coding: the end of the connection ends the body.
    is_close_delimited: bool = False


class RequestParser:
    """Parses the requests of one connection, which may be pipelined."""

    def __init__(self, max_head_bytes: int, max_body_bytes: int) -> None:
        self._max_head_bytes = max_head_bytes
        self._max_body_bytes = max_body_bytes
        # None after ``clear``.
        self._parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)
        self._request = HttpRequest()
        # Bytes since the last end of a head, part of a body or end of a request. This includes
        # chunk extensions and trailers.
        self._head_bytes = 0
        # Bytes outside of bodies since the last such end, or since the ``feed`` with that end. The
        # ``httptools`` parser keeps a line that is not complete, and this is at least its length.
        self._line_bytes = 0
        self._has_ended_element = False
        self._fed_body_bytes = 0
        self._is_in_head = True
        self._error_reason: RequestErrorReason | None = None
        self._arrived_at: float | None = None
        self.requests: list[HttpRequest] = []
        self.has_partial_request = False
        # Whether the client waits for "100 Continue" before it sends the body.
        self.expects_continue = False

    @property
    def memory_bytes(self) -> int:
        """Memory of the requests that were not taken, and of the one that is not complete."""
        partial = 0
        if self.has_partial_request:
            partial = self._request.memory_bytes + self._line_bytes
        return partial + sum(request.memory_bytes for request in self.requests)

    def feed(self, data: bytes, arrived_at: float | None = None) -> None:
        """Parses bytes and appends complete requests to ``requests``; raises RequestError.

        ``arrived_at`` is when the bytes arrived, in monotonic time.
        """
        assert self._parser is not None
        self._arrived_at = arrived_at
        self._head_bytes += len(data)
        self._has_ended_element, self._fed_body_bytes = False, 0
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as error:
            raise RequestError(RequestErrorReason.MALFORMED) from error
        except (httptools.HttpParserError, RequestError) as error:
            raise RequestError(self._error_reason or RequestErrorReason.MALFORMED) from error
        line_bytes = len(data) - self._fed_body_bytes
        self._line_bytes = line_bytes + (0 if self._has_ended_element else self._line_bytes)
        if self.has_partial_request and self._head_bytes > self._max_head_bytes:
            raise RequestError(RequestErrorReason.HEAD_TOO_LARGE)

    def clear(self) -> None:
        """Frees what has arrived. The parser cannot be used any more.

        It refers to the ``httptools`` parser and is referred to by it, so without this its contents
        would stay until the next run of the garbage collector.
        """
        self.requests.clear()
        self._request = HttpRequest()
        self._parser = None
        self.has_partial_request = False

    def on_message_begin(self) -> None:
        """Called by ``httptools`` at the first byte of a request."""
        self._request = HttpRequest(arrived_at=self._arrived_at)
        self._line_bytes = 0
        self._is_in_head = True
        self.has_partial_request = True

    def on_url(self, url: bytes) -> None:
        """Called by ``httptools`` with the request target or a part of it."""
        self._request.target += url
        self._request.head_memory_bytes += len(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Called by ``httptools`` with each header, and with each trailer after a chunked body."""
        # Trailers are dropped: routing and identity depend on headers only.
        if self._is_in_head:
            self._request.headers.append((name.lower(), value))
            self._request.head_memory_bytes += len(name) + len(value) + HEADER_MEMORY_BYTES

    def on_headers_complete(self) -> None:
        """Called by ``httptools`` at the end of the head."""
        assert self._parser is not None
        request = self._request
        request.method = self._parser.get_method()
        request.keeps_alive = self._parser.should_keep_alive()
        request.is_http11 = self._parser.get_http_version() == "1.1"
        self._is_in_head = False
        head_bytes = sum(
            len(name) + len(value) + HEADER_OVERHEAD_BYTES for name, value in request.headers
        )
        self._head_bytes, self._has_ended_element = 0, True
        if head_bytes + len(request.target) > self._max_head_bytes:
            self._fail(RequestErrorReason.HEAD_TOO_LARGE)
        length = request.get(b"content-length")
        if length is not None and length.isdigit() and int(length) > self._max_body_bytes:
            self._fail(RequestErrorReason.BODY_TOO_LARGE)
        self.expects_continue = request.get(b"expect") is not None

    def on_body(self, body: bytes) -> None:
        """Called by ``httptools`` with a part of the body."""
        self._head_bytes, self._has_ended_element = 0, True
        self._fed_body_bytes += len(body)
        self._request.body += body
        if len(self._request.body) > self._max_body_bytes:
            self._fail(RequestErrorReason.BODY_TOO_LARGE)

    def on_message_complete(self) -> None:
        """Called by ``httptools`` at the end of a request."""
        self.requests.append(self._request)
        # Not kept here: the request may be dropped long before the next one begins.
        self._request = HttpRequest()
        self._head_bytes, self._has_ended_element = 0, True
        self.has_partial_request = False
        self.expects_continue = False

    def _fail(self, reason: RequestErrorReason) -> None:
        self._error_reason = reason
        raise RequestError(reason)


class ResponseParser:
    """Parses the responses of one connection; its owner takes head and body as they arrive.

    Responses for which ``accepts`` returns false belong to earlier requests and are discarded.
    """

    def __init__(self) -> None:
        self.accepts: Callable[[HttpResponse], bool] | None = None
        self.has_dropped_response = False
        self._is_dropping = False
        self._parser = httptools.HttpResponseParser(self)
        self._response = HttpResponse()
        self.heads: list[HttpResponse] = []
        self.body_parts: list[bytes] = []
        self.is_complete = False
        self.is_in_body = False
        self.has_extra_response = False
        # Whether a response has begun whose head is not complete.
        self.has_partial_head = False
        self._is_in_head = True
        # Bytes since the last end of a final head, part of a body or end of a response.
        self._overhead_bytes = 0
        self._discarded_bytes = 0

    def feed(self, data: bytes) -> None:
        """Parses bytes; raises HttpError if they are malformed or exceed a bound."""
        self._overhead_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            raise HttpError(f"malformed response: {error}", sent=True) from error
        if self._overhead_bytes > MAX_HEAD_BYTES:
            raise ResponseLimitError("head or trailer", MAX_HEAD_BYTES)
        if self._discarded_bytes > MAX_DISCARDED_BYTES:
            raise ResponseLimitError("response to an earlier request", MAX_DISCARDED_BYTES)

    def pop_head(self) -> HttpResponse | None:
        """Removes and returns the next parsed head, or None."""
        return self.heads.pop(0) if self.heads else None

    def pop_body(self) -> bytes:
        """Removes and returns the body bytes parsed since the last call."""
        body = b"".join(self.body_parts)
        self.body_parts.clear()
        return body

    def reset(self) -> None:
        """Prepares for the next response on the same connection."""
        self.is_complete = False
        self.heads.clear()
        self.body_parts.clear()
        self._overhead_bytes = self._discarded_bytes = 0

    def on_message_begin(self) -> None:
        """Called by ``httptools`` at the first byte of a response."""
        if self.is_complete:
            self.has_extra_response = True
        self._response = HttpResponse()
        self._is_in_head = self.has_partial_head = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Called by ``httptools`` with each header, and with each trailer after a chunked body."""
        if self._is_in_head:
            self._response.headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Called by ``httptools`` at the end of the head."""
        response = self._response
        response.status = self._parser.get_status_code()
        if response.status not in VALID_STATUSES:
            raise HttpError(f"invalid status {response.status}", sent=True)
        if response.status < 200:
            return
        self._is_in_head = self.has_partial_head = False
        self._overhead_bytes = 0
        response.keeps_alive = self._parser.should_keep_alive()
        transfer_encoding = response.get(b"transfer-encoding")
        response.is_close_delimited = (
            transfer_encoding is None and response.get(b"content-length") is None
        )
        if self.has_extra_response:
            return
        self._is_dropping = self.accepts is not None and not self.accepts(response)
        self.has_dropped_response = self.has_dropped_response or self._is_dropping
        if not self._is_dropping:
            self.heads.append(response)
            self.is_in_body = True

    def on_body(self, body: bytes) -> None:
        """Called by ``httptools`` with a part of the body."""
        self._overhead_bytes = 0
        if self.has_extra_response or self._is_dropping:
            self._discarded_bytes += len(body)
        else:
            self.body_parts.append(body)

    def on_message_complete(self) -> None:
        """Called by ``httptools`` at the end of a response."""
        if self._response.status < 200:
            self.has_partial_head = False
            return
        self._overhead_bytes = 0
        if self._is_dropping:
            self._is_dropping = False
        elif not self.has_extra_response:
            self.is_complete = True
            self.is_in_body = False


def encode_request(
    method: bytes, target: bytes, headers: Iterable[Header], body: bytes | bytearray = b""
) -> bytes:
    """Returns the bytes of a request, with ``content-length`` if it can have a body."""
    lines = [method + b" " + target + b" HTTP/1.1"]
    lines += [name + b": " + value for name, value in headers]
    if body or method not in (b"GET", b"DELETE", b"HEAD"):
        lines.append(b"content-length: %d" % len(body))
    return CRLF.join(lines) + CRLF + CRLF + bytes(body)


def encode_head(status: int, headers: Iterable[Header]) -> bytes:
    """Returns the status line and headers of a response."""
    lines = [b"HTTP/1.1 %d %s" % (status, REASON_PHRASES.get(status, b"Status"))]
    lines += [name + b": " + value for name, value in headers]
    return CRLF.join(lines) + CRLF + CRLF


def encode_headers(headers: Iterable[tuple[str, str]]) -> list[Header]:
    """Encodes headers; characters outside Latin-1 are replaced in values."""
    return [(name.encode("latin-1"), value.encode("latin-1", "replace")) for name, value in headers]


def encode_chunk(data: bytes) -> bytes:
    """Returns data as one chunk of the chunked transfer coding."""
    return b"%x\r\n%s\r\n" % (len(data), data)


def strip_hop_by_hop_headers(headers: Iterable[Header], dropped: frozenset[bytes]) -> list[Header]:
    """Returns the headers to forward: without hop-by-hop headers and those in ``dropped``."""
    headers = list(headers)
    connection_options = {
        token.strip().lower()
        for name, value in headers
        if name == b"connection"
        for token in value.split(b",")
    }
    return [
        (name, value)
        for name, value in headers
        if name not in HOP_BY_HOP_HEADERS and name not in dropped and name not in connection_options
    ]
