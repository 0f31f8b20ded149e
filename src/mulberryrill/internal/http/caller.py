"""The server side of one HTTP connection, owned by the event loop from its first byte."""

import select
import socket
import ssl
from collections.abc import Callable
from enum import Enum
from typing import Protocol

from ..core.memoryaccount import HolderState, MemoryAccount
from ..core.serving.routetable import CallerLimits
from ..eventloop import MIN_DELAY_S, EventLoop, Timer
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
from .sockets import RECEIVE_BYTES, receive_with_timestamp

# Unsent response bytes for a slow client above which reading from the target is paused.
MAX_BUFFERED_BYTES = 262_144
# Requests that may wait for the response to an earlier one. With more of them the connection drops
# them all and closes after the current response.
MAX_PIPELINED_REQUESTS = 16
# After the last response, incoming bytes are read and discarded for at most this long: closing a
# socket with unread bytes sends a reset, which can destroy the response before the client reads it.
LINGER_TIMEOUT_S = 1.0
# Copies of a request while it is handled: the one that was read, and the one for a target.
REQUEST_COPIES = 2
# Smaller amounts of unsent bytes are not charged one by one: they are part of a connection's cost.
MIN_CHARGED_BYTES = 16_384
_CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue" + CRLF + CRLF


class ConnectionOwner(Protocol):
    """Receives the requests and events of inbound connections."""

    @property
    def limits(self) -> CallerLimits:
        """The limits in force."""
        ...

    @property
    def is_stopping(self) -> bool:
        """Whether connections are to be closed after their responses."""
        ...

    @property
    def memory(self) -> "MemoryAccount[InboundConnection]":
        """What is held for all clients of this process."""
        ...

    def on_request(self, connection: "InboundConnection", request: HttpRequest) -> None:
        """A complete request has arrived; the next one is delivered after its response."""
        ...

    def on_overload(
        self, connection: "InboundConnection", state: HolderState, held_bytes: int
    ) -> None:
        """The connection is given up, because too much is held for all clients."""
        ...

    def on_invalid_request(
        self, connection: "InboundConnection", reason: RequestErrorReason
    ) -> None:
        """The received bytes are malformed or exceed a limit."""
        ...

    def on_closed(self, connection: "InboundConnection") -> None:
        """The connection has ended."""
        ...


class ConnectionState(Enum):
    """What the connection is waiting for."""

    READING = "reading"
    RESPONDING = "answering"
    LINGERING = "lingering"
    CLOSED = "closed"


class InboundConnection:
    """Reads requests, delivers them one at a time and writes their responses."""

    def __init__(
        self,
        loop: EventLoop,
        sock: socket.socket,
        owner: ConnectionOwner,
        max_buffered_bytes: int = MAX_BUFFERED_BYTES,
    ) -> None:
        """``sock`` is connected and non-blocking."""
        self._loop = loop
        self._socket = sock
        self._owner = owner
        self._max_buffered_bytes = max_buffered_bytes
        limits = owner.limits
        self._parser = RequestParser(limits.max_head_bytes, limits.max_body_bytes)
        self._state = ConnectionState.READING
        self._send_buffer = bytearray()
        self._closes_after_write = False
        self._request: HttpRequest | None = None
        self._timer: Timer | None = None
        self._watched_events = 0
        # Encrypted connections return decrypted bytes, which have no timestamp.
        self._has_timestamps = not isinstance(sock, ssl.SSLSocket)
        self._is_chunked = True
        self.has_begun_response = False
        # The connection closes after the current response, and what else arrives is dropped.
        self._discards_input = False
        # Response bytes that a target has sent and that are not queued yet.
        self._response_bytes = 0
        # Whether unsent bytes are part of what is charged.
        self._has_charged_unsent = False
        # When the socket last accepted bytes, or when the oldest unsent bytes were buffered.
        self.last_progress_at = loop.now()
        self.on_disconnect: Callable[[], None] | None = None
        self.on_drained: Callable[[], None] | None = None

    @property
    def is_closed(self) -> bool:
        """Whether the connection has ended."""
        return self._state is ConnectionState.CLOSED

    @property
    def is_reading(self) -> bool:
        """Whether the connection waits for a request or the rest of one."""
        return self._state is ConnectionState.READING

    @property
    def is_idle(self) -> bool:
        """Whether no part of a request has arrived and no response is due or unsent."""
        return (
            self._state is ConnectionState.READING
            and not self._parser.has_partial_request
            and not self._send_buffer
        )

    @property
    def client_address(self) -> str:
        """The client's IP address, for logs; empty if the connection is closed."""
        try:
            return str(self._socket.getpeername()[0])
        except OSError:
            return ""

    @property
    def buffered_bytes(self) -> int:
        """Number of response bytes that the socket has not accepted yet."""
        return len(self._send_buffer)

    @property
    def is_buffer_full(self) -> bool:
        """Whether the client reads so slowly that the source of the response should pause."""
        return len(self._send_buffer) > self._max_buffered_bytes

    def start(self) -> None:
        """Starts reading."""
        for connection in self._owner.memory.open(self, self._loop.now()):
            connection.evict(at_once=True)
        if self._state is ConnectionState.CLOSED:
            return
        self._update_watch()
        self._arm_timer(self._owner.limits.idle_timeout_s)

    def read_available(self) -> None:
        """Reads what has arrived before the connection was accepted.

        The iteration that accepts it knows since when that may have waited.
        """
        if self._state is ConnectionState.READING:
            self._read()

    def close_if_idle(self) -> None:
        """Closes the connection unless a request has arrived, also if it has not been read yet."""
        if self.is_idle:
            self._read()
        if self.is_idle:
            self.close()

    def evict(self, *, at_once: bool = False) -> None:
        """Frees what is held for the client: rejects its request, or closes the connection.

        With ``at_once`` its descriptor is needed too, so it is closed in any case.
        """
        if self._state is ConnectionState.CLOSED:
            return
        held_state, held_bytes = self._holder_state, self._compute_held_bytes()
        is_rejected = held_state is HolderState.RECEIVING and not at_once
        self._owner.on_overload(self, held_state, held_bytes)
        if is_rejected:
            self._reject_partial()
        else:
            self._handle_disconnect()

    def _reject_partial(self) -> None:
        """Rejects a request that has not been handled, and frees what has arrived of it."""
        self._parser.clear()
        self._owner.on_invalid_request(self, RequestErrorReason.OVERLOAD)
        self._charge()

    def charge_response(self, count: int) -> bool:
        """Charges the bytes of a response that were received for this client.

        Returns False if they may not be kept.
        """
        self._response_bytes = count
        return self._charge()

    @property
    def _holder_state(self) -> HolderState:
        if self._state is ConnectionState.RESPONDING:
            return HolderState.RUNNING
        has_request = self._parser.has_partial_request or bool(self._parser.requests)
        if self._state is ConnectionState.READING and has_request:
            return HolderState.RECEIVING
        return HolderState.SENDING if self._send_buffer else HolderState.IDLE

    def _compute_held_bytes(self) -> int:
        request = self._request
        running = REQUEST_COPIES * request.memory_bytes if request is not None else 0
        unsent = len(self._send_buffer) + self._response_bytes
        return self._parser.memory_bytes + running + unsent

    def _charge(self) -> bool:
        """Charges what is held now; returns whether the connection may go on.

        Connections that yield to this one are evicted, or free what is not needed for their call.
        """
        if self._state is ConnectionState.CLOSED:
            return False
        now, memory, state = self._loop.now(), self._owner.memory, self._holder_state
        self._has_charged_unsent = bool(self._send_buffer)
        waiting_bytes = self._parser.memory_bytes if state is HolderState.RUNNING else 0
        victims = memory.update(self, self._compute_held_bytes(), state, now, waiting_bytes)
        for connection in victims:
            if connection is not self:
                connection._yield_memory()
        if self in victims and waiting_bytes:
            self._free_input()
            return memory.held_bytes <= memory.limits.max_bytes
        return self not in victims

    def _yield_memory(self) -> None:
        """Frees what is not needed for a running call, for another connection."""
        if self._state is ConnectionState.RESPONDING:
            self._free_input()
        else:
            self.evict()

    def close(self) -> None:
        """Closes the connection immediately."""
        if self._state is not ConnectionState.CLOSED:
            self.detach().close()

    def detach(self) -> socket.socket:
        """Returns the open socket; bytes already read beyond the current request are lost."""
        self._state = ConnectionState.CLOSED
        self._cancel_timer()
        self._loop.unwatch(self._socket.fileno())
        self._parser.clear()
        self._owner.memory.remove(self)
        self._owner.on_closed(self)
        return self._socket

    def send_response(
        self, status: int, headers: list[Header], body: bytes = b"", *, close: bool = False
    ) -> None:
        """Sends a complete response."""
        if self._state is not ConnectionState.RESPONDING:
            return
        closes = self._should_close(close)
        all_headers = [
            *headers,
            (b"content-length", b"%d" % len(body)),
            *self._build_connection_headers(closes),
        ]
        # What a target has sent is queued now, and must not count twice.
        self._response_bytes = 0
        # A response to HEAD has the headers of the response to GET but no body.
        is_head = self._request is not None and self._request.method == b"HEAD"
        self._queue(encode_head(status, all_headers) + (b"" if is_head else body))
        self._finish_response(closes)

    def begin_stream(self, status: int, headers: list[Header]) -> None:
        """Sends the head of a response whose body is streamed.

        HTTP/1.0 has no chunked coding; there the end of the connection ends the body.
        """
        if self._state is not ConnectionState.RESPONDING:
            return
        self.has_begun_response = True
        self._is_chunked = self._request is None or self._request.is_http11
        self._closes_after_write = self._should_close(not self._is_chunked)
        framing_headers = [(b"transfer-encoding", b"chunked")] if self._is_chunked else []
        all_headers = [
            *headers,
            *framing_headers,
            *self._build_connection_headers(self._closes_after_write),
        ]
        self._queue(encode_head(status, all_headers))
        self._loop.call_at_iteration_end(self._write)

    def send_data(self, data: bytes) -> None:
        """Sends bytes of a streamed body."""
        if data and self._state is ConnectionState.RESPONDING:
            self._queue(encode_chunk(data) if self._is_chunked else data)
            self._loop.call_at_iteration_end(self._write)

    def end_stream(self) -> None:
        """Marks a streamed body as complete."""
        if self._state is ConnectionState.RESPONDING:
            if self._is_chunked:
                self._queue(LAST_CHUNK)
            # The process may have started to shut down since the head was sent.
            self._finish_response(self._closes_after_write or self._owner.is_stopping)

    def abort_stream(self) -> None:
        """Ends a streamed body early, so that the client can detect that it is incomplete."""
        if self._state is ConnectionState.RESPONDING:
            self.on_disconnect = self.on_drained = None
            self._linger()

    def reject_request(self, status: int, headers: list[Header], body: bytes) -> None:
        """Responds to an invalid request, discards what follows it and closes the connection."""
        all_headers = [*headers, (b"content-length", b"%d" % len(body)), (b"connection", b"close")]
        self._queue(encode_head(status, all_headers) + body)
        self._linger()

    def _queue(self, data: bytes) -> None:
        if not self._send_buffer:
            self.last_progress_at = self._loop.now()
        self._send_buffer += data
        if len(self._send_buffer) < MIN_CHARGED_BYTES:
            return
        if not self._watched_events & select.EPOLLOUT:
            self._send_early()
        if len(self._send_buffer) >= MIN_CHARGED_BYTES and not self._charge():
            self._loop.call_soon(self.evict)

    def _send_early(self) -> None:
        """Sends what the socket accepts, so that only the rest is charged.

        An error shows again at the next attempt, where its callbacks can be called.
        """
        try:
            sent = self._socket.send(self._send_buffer)
        except OSError:
            return
        del self._send_buffer[:sent]
        self.last_progress_at = self._loop.now()

    def _linger(self) -> None:
        self._state = ConnectionState.LINGERING
        self._arm_timer(LINGER_TIMEOUT_S)
        self._write()
        if self._state is ConnectionState.LINGERING and not self._send_buffer:
            self._shut_down_write()

    def _shut_down_write(self) -> None:
        try:
            self._socket.shutdown(socket.SHUT_WR)
        except OSError:
            self.close()

    def _should_close(self, close: bool) -> bool:
        request = self._request
        return close or self._owner.is_stopping or request is None or not request.keeps_alive

    def _build_connection_headers(self, closes: bool) -> list[Header]:
        if closes:
            return [(b"connection", b"close")]
        timeout = int(self._owner.limits.idle_timeout_s)
        return [(b"keep-alive", b"timeout=%d" % timeout)] if timeout > 0 else []

    def _finish_response(self, closes: bool) -> None:
        self.on_disconnect = self.on_drained = None
        self.has_begun_response = False
        self._request = None
        self._response_bytes = 0
        if closes:
            self._linger()
            return
        self._state = ConnectionState.READING
        self._arm_timer(self._owner.limits.idle_timeout_s)
        self._loop.call_at_iteration_end(self._write)
        self._charge()
        if self._parser.requests:
            self._loop.call_soon(self._dispatch_next_request)
        self._update_watch()

    def _on_events(self, mask: int) -> None:
        if mask & select.EPOLLOUT:
            self._write()
        if mask & (select.EPOLLIN | select.EPOLLHUP | select.EPOLLERR | select.EPOLLRDHUP):
            self._read()

    def _read(self) -> None:
        if self._state is ConnectionState.CLOSED:
            return
        try:
            data, arrived_at = self._receive()
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if not data:
            self._handle_disconnect()
        elif self._state is not ConnectionState.LINGERING and not self._discards_input:
            self._parse(data, arrived_at)

    def _receive(self) -> tuple[bytes, float]:
        """Receives bytes, with the time at which they arrived at the latest known moment.

        After a long iteration of the loop they may have waited. The system's timestamp says how
        long; without one the bytes count as arrived at the earliest possible time.
        """
        now, earliest = self._loop.now(), self._loop.earliest_arrival
        if now - earliest < MIN_DELAY_S or not self._has_timestamps:
            return self._socket.recv(RECEIVE_BYTES), earliest
        data, unix_time = receive_with_timestamp(self._socket)
        if unix_time is None:
            return data, earliest
        # The time of day may have been set meanwhile, so it only counts within what is possible.
        age_s = self._loop.wall() - unix_time
        return data, min(now, max(earliest, now - age_s))

    def _handle_disconnect(self) -> None:
        on_disconnect = self.on_disconnect
        self.close()
        if on_disconnect is not None:
            on_disconnect()

    def _parse(self, data: bytes, arrived_at: float) -> None:
        had_partial_request = self._parser.has_partial_request
        try:
            self._parser.feed(data, arrived_at)
        except RequestError as error:
            if self._state is ConnectionState.RESPONDING:
                # The invalid bytes follow a valid request, which still gets its response.
                self._drop_pipelined_requests()
                return
            self._owner.on_invalid_request(self, error.reason)
            return
        if not self._charge():
            self._free_input()
            return
        if self._parser.expects_continue and self._state is ConnectionState.READING:
            self._parser.expects_continue = False
            self._queue(_CONTINUE_RESPONSE)
            self._write()
        if self._state is ConnectionState.READING:
            if self._parser.requests:
                self._dispatch_next_request()
            elif self._parser.has_partial_request and not had_partial_request:
                self._arm_timer(self._owner.limits.head_timeout_s)
        elif len(self._parser.requests) > MAX_PIPELINED_REQUESTS:
            self._drop_pipelined_requests()

    def _free_input(self) -> None:
        """Frees what has arrived; a request that is being handled still gets its response."""
        if self._state is ConnectionState.RESPONDING:
            self._owner.on_overload(self, HolderState.RECEIVING, self._parser.memory_bytes)
            self._drop_pipelined_requests()
            self._parser.clear()
            self._discards_input = True
            self._charge()
        else:
            self.evict()

    def _drop_pipelined_requests(self) -> None:
        if self._request is not None:
            self._request.keeps_alive = False
        self._closes_after_write = True
        self._parser.requests.clear()

    def _dispatch_next_request(self) -> None:
        if self._state is not ConnectionState.READING or not self._parser.requests:
            return
        self._cancel_timer()
        self._request = self._parser.requests.pop(0)
        self._state = ConnectionState.RESPONDING
        if not self._charge():
            # Nothing of the request has been handled yet.
            self._owner.on_overload(self, HolderState.RECEIVING, self._compute_held_bytes())
            self._request = None
            self._reject_partial()
            return
        self._owner.on_request(self, self._request)

    def _write(self) -> None:
        if self._state is ConnectionState.CLOSED or not self._send_buffer:
            return
        was_full = self.is_buffer_full
        try:
            sent = self._socket.send(self._send_buffer)
        except BlockingIOError:
            sent = 0
        except OSError:
            self._handle_disconnect()
            return
        del self._send_buffer[:sent]
        if sent:
            self.last_progress_at = self._loop.now()
            if self._has_charged_unsent and not self._charge():
                self._loop.call_soon(self.evict)
        if was_full and not self.is_buffer_full and self.on_drained is not None:
            self.on_drained()
        if not self._send_buffer and self._state is ConnectionState.LINGERING:
            self._shut_down_write()
        self._update_watch()

    def _update_watch(self) -> None:
        if self._state is ConnectionState.CLOSED:
            return
        mask = select.EPOLLIN
        if self._send_buffer:
            mask |= select.EPOLLOUT
        if mask != self._watched_events:
            self._watched_events = mask
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
