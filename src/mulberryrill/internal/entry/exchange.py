"""Request and response with a timeout, for requests that the entry program makes itself."""

from collections.abc import Callable
from dataclasses import dataclass

from ..eventloop import EventLoop
from ..http.bounds import MAX_CONTROL_BODY_BYTES
from ..http.messages import HttpResponse
from .connection import ExchangeFailure, FailureKind, OutboundConnection
from .pool import ConnectionPool


@dataclass(frozen=True)
class ExchangeResponse:
    """A complete response."""

    status: int
    response: HttpResponse
    body: bytes


DoneCallback = Callable[[ExchangeResponse | ExchangeFailure], None]


class _ExchangeCollector:
    """Buffers one response and reports the result once."""

    def __init__(
        self,
        loop: EventLoop,
        connection: OutboundConnection,
        done: DoneCallback,
        timeout_s: float,
        max_body_bytes: int,
    ) -> None:
        self._max_body_bytes = max_body_bytes
        self._connection = connection
        self._done: DoneCallback | None = done
        self._head: HttpResponse | None = None
        self._body = bytearray()
        self._timer = loop.call_later(timeout_s, self._on_timeout)

    def on_head(self, response: HttpResponse) -> None:
        self._head = response

    def on_body(self, data: bytes) -> None:
        self._body += data
        if len(self._body) > self._max_body_bytes:
            self._connection.close()
            message = f"body exceeds {self._max_body_bytes} bytes"
            self._report(ExchangeFailure(FailureKind.MALFORMED, True, message))

    def on_end(self) -> None:
        assert self._head is not None
        self._report(ExchangeResponse(self._head.status, self._head, bytes(self._body)))

    def on_failure(self, failure: ExchangeFailure) -> None:
        self._report(failure)

    def _on_timeout(self) -> None:
        self._connection.close()
        self._report(ExchangeFailure(FailureKind.TIMEOUT, True, "no answer in time"))

    def _report(self, result: ExchangeResponse | ExchangeFailure) -> None:
        self._timer.cancel()
        done, self._done = self._done, None
        if done is not None:
            done(result)


def send_request(
    loop: EventLoop,
    pool: ConnectionPool,
    request: bytes,
    timeout_s: float,
    done: DoneCallback,
    max_body_bytes: int = MAX_CONTROL_BODY_BYTES,
) -> None:
    """Sends a request over a pooled connection; ``done`` is called once with the result."""
    connection = pool.acquire(needs_fresh=False)
    collector = _ExchangeCollector(loop, connection, done, timeout_s, max_body_bytes)
    connection.send(lambda: request, collector)
