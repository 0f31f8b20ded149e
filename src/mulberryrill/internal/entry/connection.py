"""A keep-alive connection to a target or to the platform's store, for one exchange at a time.

libcurl is not used here: it resends a request by itself when a reused connection turns out to be
closed, which would run a non-idempotent call twice, and it hides bytes that follow a response.
"""

import errno
import select
import socket
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from ...errors import HttpError
from ..eventloop import EventLoop, Timer
from ..http.messages import HttpResponse, ResponseParser
from ..http.sockets import RECEIVE_BYTES, open_connection


class FailureKind(Enum):
    """How an exchange failed."""

    CONNECT = "connect"
    BROKEN = "broken"
    MALFORMED = "malformed"
    TIMEOUT = "timeout"
    # The request was not sent, because its sender did not want it any more.
    WITHDRAWN = "withdrawn"


@dataclass(frozen=True)
class ExchangeFailure:
    """A failed exchange; ``was_sent`` is whether bytes may have reached the server."""

    kind: FailureKind
    was_sent: bool
    message: str
    # Whether nothing listens at the address.
    was_refused: bool = False


class ExchangeHandler(Protocol):
    """Callbacks for one exchange; none is called after ``on_end`` or ``on_failure``."""

    def on_head(self, response: HttpResponse) -> None:
        """The status and headers arrived."""
        ...

    def on_body(self, data: bytes) -> None:
        """A chunk of the body arrived."""
        ...

    def on_end(self) -> None:
        """The response is complete."""
        ...

    def on_failure(self, failure: ExchangeFailure) -> None:
        """The exchange failed; the connection is closed."""
        ...


class _State(Enum):
    CONNECTING = 0
    IDLE = 1
    BUSY = 2
    CLOSED = 3


class OutboundConnection:
    """Owns a socket. ``on_idle`` and ``on_closed`` notify the pool that owns the connection."""

    def __init__(
        self,
        loop: EventLoop,
        address: str,
        connect_timeout_s: float,
        on_idle: Callable[["OutboundConnection"], None],
        on_closed: Callable[["OutboundConnection"], None],
    ) -> None:
        self.address = address
        self._loop = loop
        self._connect_timeout_s = connect_timeout_s
        self._on_idle = on_idle
        self._on_closed = on_closed
        self._state = _State.CONNECTING
        self._socket: socket.socket | None = None
        self._parser = ResponseParser()
        self._handler: ExchangeHandler | None = None
        self._response: HttpResponse | None = None
        self._send_buffer = bytearray()
        self._build_request: Callable[[], bytes | None] | None = None
        self._was_sent = False
        self._is_paused = False
        self._connect_timer: Timer | None = None
        # Since when a response head has been incomplete; None: none has begun.
        self.partial_head_since: float | None = None
        self.idle_since = loop.now()
        self.idle_timeout_s: float | None = None
        self.exchange_count = 0
        # Seconds for which the connection was idle before its current exchange; 0 for the first.
        self.idle_before_send_s = 0.0

    @property
    def is_closed(self) -> bool:
        """Whether the connection is closed."""
        return self._state is _State.CLOSED

    def start(self) -> None:
        """Starts connecting; a failure is reported to the first exchange."""
        try:
            self._socket = open_connection(self.address)
        except (OSError, ValueError) as error:
            message, was_refused = str(error), isinstance(error, ConnectionRefusedError)
            self._loop.call_soon(lambda: self._fail(FailureKind.CONNECT, message, was_refused))
            return
        self._connect_timer = self._loop.call_later(
            self._connect_timeout_s, lambda: self._fail(FailureKind.CONNECT, "connect timeout")
        )
        self._loop.watch(self._socket.fileno(), select.EPOLLOUT, self._on_events)

    def send(
        self,
        build_request: Callable[[], bytes | None],
        handler: ExchangeHandler,
        accepts: Callable[[HttpResponse], bool] | None = None,
    ) -> None:
        """Begins an exchange. Drops responses to earlier requests, which ``accepts`` rejects.

        The request is built when it can be written, because it may state the time left and the
        connection may still have to open; None withdraws it.
        """
        self._handler = handler
        self._response = None
        self._was_sent = False
        self.idle_before_send_s = self._loop.now() - self.idle_since if self.exchange_count else 0.0
        self.exchange_count += 1
        self._parser.reset()
        self._parser.accepts = accepts
        self.partial_head_since = None
        self._send_buffer = bytearray()
        self._build_request = build_request
        if self._state is _State.IDLE:
            self._state = _State.BUSY
            self._begin_request()

    def _begin_request(self) -> None:
        assert self._build_request is not None
        request, self._build_request = self._build_request(), None
        if request is None:
            self._fail(FailureKind.WITHDRAWN, "the request was withdrawn before it was sent")
            return
        self._send_buffer = bytearray(request)
        self._write()

    def pause(self) -> None:
        """Stops reading until ``resume``, because the receiver is slow."""
        self._is_paused = True
        self._update_event_mask()

    def resume(self) -> None:
        """Resumes reading after ``pause``."""
        if self._is_paused:
            self._is_paused = False
            self._update_event_mask()

    def close(self) -> None:
        """Closes the connection without calling the handler."""
        self._handler = None
        self._close()

    def _close(self) -> None:
        if self._state is _State.CLOSED:
            return
        self._state = _State.CLOSED
        if self._connect_timer is not None:
            self._connect_timer.cancel()
        if self._socket is not None:
            self._loop.unwatch(self._socket.fileno())
            self._socket.close()
        self._on_closed(self)

    def _fail(self, kind: FailureKind, message: str, was_refused: bool = False) -> None:
        if self._state is _State.CLOSED:
            return
        handler, self._handler = self._handler, None
        was_sent = self._was_sent
        self._close()
        if handler is not None:
            handler.on_failure(ExchangeFailure(kind, was_sent, message, was_refused))

    def _on_events(self, mask: int) -> None:
        if self._state is _State.CONNECTING:
            self._complete_connect()
            return
        if mask & select.EPOLLOUT:
            self._write()
        if mask & (select.EPOLLIN | select.EPOLLHUP | select.EPOLLERR):
            self._read()

    def _complete_connect(self) -> None:
        assert self._socket is not None
        error = self._socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if error:
            message = f"connect failed with error {error}"
            self._fail(FailureKind.CONNECT, message, error == errno.ECONNREFUSED)
            return
        if self._connect_timer is not None:
            self._connect_timer.cancel()
        self._state = _State.BUSY if self._handler is not None else _State.IDLE
        self._update_event_mask()
        if self._state is _State.BUSY:
            self._begin_request()
        else:
            self._enter_idle()

    def _write(self) -> None:
        if self._socket is None or not self._send_buffer:
            return
        self._was_sent = True
        try:
            sent = self._socket.send(self._send_buffer)
        except BlockingIOError:
            sent = 0
        except OSError as error:
            self._fail(FailureKind.BROKEN, str(error))
            return
        del self._send_buffer[:sent]
        self._update_event_mask()

    def _read(self) -> None:
        if self._socket is None or self._state is _State.CLOSED:
            return
        try:
            data = self._socket.recv(RECEIVE_BYTES)
        except BlockingIOError:
            return
        except OSError as error:
            self._fail(FailureKind.BROKEN, str(error))
            return
        if not data:
            self._on_eof()
        elif self._state is _State.IDLE:
            self._fail(FailureKind.MALFORMED, "bytes without a request")
        else:
            self._parse(data)

    def _parse(self, data: bytes) -> None:
        try:
            self._parser.feed(data)
        except HttpError as error:
            self._dispatch_parsed()
            self._fail(FailureKind.MALFORMED, str(error))
            return
        if not self._parser.has_partial_head:
            self.partial_head_since = None
        elif self.partial_head_since is None:
            self.partial_head_since = self._loop.now()
        self._dispatch_parsed()

    def _dispatch_parsed(self) -> None:
        """Passes parsed heads and body data to the handler."""
        head = self._parser.pop_head()
        if head is not None:
            self._response = head
            if self._handler is not None:
                self._handler.on_head(head)
        body = self._parser.pop_body()
        if body and self._handler is not None:
            self._handler.on_body(body)
        if self._parser.is_complete and self._state is _State.BUSY:
            self._finish_exchange()

    def _finish_exchange(self) -> None:
        response = self._response
        handler, self._handler = self._handler, None
        is_clean = not self._send_buffer and not self._parser.has_extra_response
        if (
            response is None
            or not response.keeps_alive
            or not is_clean
            or self._parser.has_dropped_response
            or response.is_close_delimited
        ):
            self._close()
        else:
            self._parse_idle_timeout(response)
            self._state = _State.IDLE
            self._enter_idle()
        if handler is not None:
            handler.on_end()

    def _enter_idle(self) -> None:
        self.idle_since = self._loop.now()
        self._is_paused = False
        self._update_event_mask()
        self._on_idle(self)

    def _parse_idle_timeout(self, response: HttpResponse) -> None:
        value = response.get(b"keep-alive") or b""
        for item in value.split(b","):
            name, _, number = item.strip().partition(b"=")
            if name.lower() == b"timeout" and number.isdigit():
                self.idle_timeout_s = float(number)

    def _on_eof(self) -> None:
        response = self._response
        if response is not None and response.is_close_delimited and self._parser.is_in_body:
            handler, self._handler = self._handler, None
            self._close()
            if handler is not None:
                handler.on_end()
            return
        self._fail(FailureKind.BROKEN, "connection closed")

    def _update_event_mask(self) -> None:
        if self._socket is None or self._state is _State.CLOSED:
            return
        mask = 0 if self._is_paused else select.EPOLLIN
        if self._send_buffer:
            mask |= select.EPOLLOUT
        self._loop.watch(self._socket.fileno(), mask, self._on_events)
