"""One caller's connection, owned by the event loop from its first byte."""

import select
import socket
from collections.abc import Callable
from enum import Enum
from typing import Protocol

from ..core.serving.routetable import CallerLimits
from ..eventloop import EventLoop, Timer
from .messages import (
    CRLF,
    LAST_CHUNK,
    Header,
    HttpRequest,
    RequestError,
    RequestErrorReason,
    RequestParser,
    encode_chunk,
    encode_head,
)
from .sockets import RECEIVE_BYTES

# Bytes that wait for a slow caller before the target's connection is paused.
MAX_BUFFERED_BYTES = 262_144
# Bytes of later requests that are kept while one is answered.
MAX_PIPELINED_REQUESTS = 16
# After a refusal the rest of a request is read and dropped for this long, since closing a socket
# with unread bytes resets it and may destroy the refusal on its way.
LINGER_S = 1.0
_CONTINUE = b"HTTP/1.1 100 Continue" + CRLF + CRLF


class ConnectionOwner(Protocol):
    """Takes the requests of callers' connections."""

    @property
    def limits(self) -> CallerLimits:
        """The limits in force."""
        ...

    @property
    def is_stopping(self) -> bool:
        """Whether connections should be closed after their answers."""
        ...

    def on_request(self, connection: "InboundConnection", request: HttpRequest) -> None:
        """A whole request arrived and is the only one in work on its connection."""
        ...

    def on_invalid_request(
        self, connection: "InboundConnection", reason: RequestErrorReason
    ) -> None:
        """The bytes were no acceptable request."""
        ...

    def on_closed(self, connection: "InboundConnection") -> None:
        """The connection has ended."""
        ...


class ConnectionState(Enum):
    """What the connection waits for."""

    READING = "reading"
    ANSWERING = "answering"
    LINGERING = "lingering"
    CLOSED = "closed"


class InboundConnection:
    """Reads requests one at a time and writes their answers."""

    def __init__(
        self,
        loop: EventLoop,
        sock: socket.socket,
        owner: ConnectionOwner,
        max_buffered_bytes: int = MAX_BUFFERED_BYTES,
    ) -> None:
        """``sock`` is connected and does not block."""
        self._loop = loop
        self._socket = sock
        self._owner = owner
        self._max_buffered_bytes = max_buffered_bytes
        limits = owner.limits
        self._parser = RequestParser(limits.max_head_bytes, limits.max_body_bytes)
        self._state = ConnectionState.READING
        self._out = bytearray()
        self._closes_after_write = False
        self._request: HttpRequest | None = None
        self._timer: Timer | None = None
        self._mask = 0
        self._is_chunked = True
        self.has_begun_response = False
        # When the caller last took bytes, or when bytes began to wait for it.
        self.last_progress = loop.now()
        self.on_disconnect: Callable[[], None] | None = None
        self.on_drained: Callable[[], None] | None = None

    @property
    def is_closed(self) -> bool:
        """Whether the connection has ended."""
        return self._state is ConnectionState.CLOSED

    @property
    def is_reading(self) -> bool:
        """Whether the connection waits for a request or its rest."""
        return self._state is ConnectionState.READING

    @property
    def is_idle(self) -> bool:
        """Whether no byte of a request has arrived and no answer is due."""
        return (
            self._state is ConnectionState.READING
            and not self._parser.has_partial_request
            and not self._out
        )

    @property
    def buffered_bytes(self) -> int:
        """Bytes that the caller has not taken yet."""
        return len(self._out)

    @property
    def is_buffer_full(self) -> bool:
        """Whether the caller reads more slowly than its answer arrives."""
        return len(self._out) > self._max_buffered_bytes

    def start(self) -> None:
        """Begins to read."""
        self._set_watch()
        self._arm_timer(self._owner.limits.idle_timeout_s)

    def close(self) -> None:
        """Closes the connection at once."""
        if self._state is not ConnectionState.CLOSED:
            self.detach().close()

    def detach(self) -> socket.socket:
        """Gives the open socket away; bytes that were read after the request are lost."""
        self._state = ConnectionState.CLOSED
        self._cancel_timer()
        self._loop.unwatch(self._socket.fileno())
        self._owner.on_closed(self)
        return self._socket

    def send_response(
        self, status: int, headers: list[Header], body: bytes = b"", *, close: bool = False
    ) -> None:
        """Sends a whole answer."""
        if self._state is not ConnectionState.ANSWERING:
            return
        closes = self._decide_close(close)
        lines = [*headers, (b"content-length", b"%d" % len(body)), *self._list_connection(closes)]
        # The answer to HEAD has the headers of the answer to GET and no body.
        is_head = self._request is not None and self._request.method == b"HEAD"
        self._queue(encode_head(status, lines) + (b"" if is_head else body))
        self._finish(closes)

    def begin_stream(self, status: int, headers: list[Header]) -> None:
        """Sends the head of an answer whose body follows in pieces.

        HTTP/1.0 has no chunks: there the end of the connection ends the body.
        """
        if self._state is not ConnectionState.ANSWERING:
            return
        self.has_begun_response = True
        self._is_chunked = self._request is None or self._request.is_http11
        self._closes_after_write = self._decide_close(not self._is_chunked)
        framing = [(b"transfer-encoding", b"chunked")] if self._is_chunked else []
        lines = [*headers, *framing, *self._list_connection(self._closes_after_write)]
        self._queue(encode_head(status, lines))
        self._loop.call_at_iteration_end(self._write)

    def send_data(self, data: bytes) -> None:
        """Sends a piece of a streamed body."""
        if data and self._state is ConnectionState.ANSWERING:
            self._queue(encode_chunk(data) if self._is_chunked else data)
            self._loop.call_at_iteration_end(self._write)

    def end_stream(self) -> None:
        """Ends a streamed body as complete."""
        if self._state is ConnectionState.ANSWERING:
            if self._is_chunked:
                self._queue(LAST_CHUNK)
            # The process may have begun to stop since the head was sent.
            self._finish(self._closes_after_write or self._owner.is_stopping)

    def abort_stream(self) -> None:
        """Ends a streamed body so that the caller can see that it is not complete."""
        if self._state is ConnectionState.ANSWERING:
            self.on_disconnect = self.on_drained = None
            self._linger()

    def reject_request(self, status: int, headers: list[Header], body: bytes) -> None:
        """Answers bytes that are no request, then drops what follows and closes."""
        lines = [*headers, (b"content-length", b"%d" % len(body)), (b"connection", b"close")]
        self._queue(encode_head(status, lines) + body)
        self._linger()

    def _queue(self, data: bytes) -> None:
        if not self._out:
            self.last_progress = self._loop.now()
        self._out += data

    def _linger(self) -> None:
        self._state = ConnectionState.LINGERING
        self._arm_timer(LINGER_S)
        self._write()
        if self._state is ConnectionState.LINGERING and not self._out:
            self._shut_down()

    def _shut_down(self) -> None:
        try:
            self._socket.shutdown(socket.SHUT_WR)
        except OSError:
            self.close()

    def _decide_close(self, close: bool) -> bool:
        request = self._request
        return close or self._owner.is_stopping or request is None or not request.keeps_alive

    def _list_connection(self, closes: bool) -> list[Header]:
        if closes:
            return [(b"connection", b"close")]
        timeout = int(self._owner.limits.idle_timeout_s)
        return [(b"keep-alive", b"timeout=%d" % timeout)] if timeout > 0 else []

    def _finish(self, closes: bool) -> None:
        self.on_disconnect = self.on_drained = None
        self.has_begun_response = False
        self._request = None
        if closes:
            self._linger()
            return
        self._state = ConnectionState.READING
        self._arm_timer(self._owner.limits.idle_timeout_s)
        self._loop.call_at_iteration_end(self._write)
        if self._parser.requests:
            self._loop.call_soon(self._take_request)
        self._set_watch()

    def _on_events(self, mask: int) -> None:
        if mask & select.EPOLLOUT:
            self._write()
        if mask & (select.EPOLLIN | select.EPOLLHUP | select.EPOLLERR | select.EPOLLRDHUP):
            self._read()

    def _read(self) -> None:
        if self._state is ConnectionState.CLOSED:
            return
        try:
            data = self._socket.recv(RECEIVE_BYTES)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if not data:
            self._on_eof()
        elif self._state is not ConnectionState.LINGERING:
            self._parse(data)

    def _on_eof(self) -> None:
        on_disconnect = self.on_disconnect
        self.close()
        if on_disconnect is not None:
            on_disconnect()

    def _parse(self, data: bytes) -> None:
        was_reading = self._parser.has_partial_request
        try:
            self._parser.feed(data)
        except RequestError as error:
            if self._state is ConnectionState.ANSWERING:
                # The bytes follow a good request, which still gets its answer.
                self._stop_reading_requests()
                return
            self._owner.on_invalid_request(self, error.reason)
            return
        if self._parser.expects_continue and self._state is ConnectionState.READING:
            self._parser.expects_continue = False
            self._queue(_CONTINUE)
            self._write()
        if self._state is ConnectionState.READING:
            if self._parser.requests:
                self._take_request()
            elif self._parser.has_partial_request and not was_reading:
                self._arm_timer(self._owner.limits.head_timeout_s)
        elif len(self._parser.requests) > MAX_PIPELINED_REQUESTS:
            self._stop_reading_requests()

    def _stop_reading_requests(self) -> None:
        if self._request is not None:
            self._request.keeps_alive = False
        self._closes_after_write = True
        self._parser.requests.clear()

    def _take_request(self) -> None:
        if self._state is not ConnectionState.READING or not self._parser.requests:
            return
        self._cancel_timer()
        self._request = self._parser.requests.pop(0)
        self._state = ConnectionState.ANSWERING
        self._owner.on_request(self, self._request)

    def _write(self) -> None:
        if self._state is ConnectionState.CLOSED or not self._out:
            return
        was_full = self.is_buffer_full
        try:
            sent = self._socket.send(self._out)
        except BlockingIOError:
            sent = 0
        except OSError:
            self._on_eof()
            return
        del self._out[:sent]
        if sent:
            self.last_progress = self._loop.now()
        if was_full and not self.is_buffer_full and self.on_drained is not None:
            self.on_drained()
        if not self._out and self._state is ConnectionState.LINGERING:
            self._shut_down()
        self._set_watch()

    def _set_watch(self) -> None:
        if self._state is ConnectionState.CLOSED:
            return
        mask = select.EPOLLIN
        if self._out:
            mask |= select.EPOLLOUT
        if mask != self._mask:
            self._mask = mask
            self._loop.watch(self._socket.fileno(), mask, self._on_events)

    def _arm_timer(self, delay_s: float) -> None:
        self._cancel_timer()
        self._timer = self._loop.call_later(delay_s, self._on_timeout)

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _on_timeout(self) -> None:
        if self._state is ConnectionState.READING and self._parser.has_partial_request:
            self.reject_request(408, [], b"")
        elif self._state in (ConnectionState.READING, ConnectionState.LINGERING):
            self.close()
