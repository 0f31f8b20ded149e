"""The response side of a caller's connection, used on the relay loop's thread."""

import json
from collections.abc import Callable, Mapping

from ..http.caller import InboundConnection
from ..http.messages import encode_headers
from .loop import RelayLoop

# A caller that reads nothing for this time is disconnected, which frees its target.
WRITE_TIMEOUT_S = 60.0


class CallerConnection:
    """Writes one response. Bytes written in one iteration of the loop are sent together."""

    def __init__(self, loop: RelayLoop, connection: InboundConnection) -> None:
        self._loop = loop
        self._connection = connection
        self._has_begun_response = False
        self.on_disconnect: Callable[[], None] = lambda: None
        self.on_drained: Callable[[], None] = lambda: None

    @property
    def buffered_bytes(self) -> int:
        """Bytes that have not been written to the socket yet."""
        return self._connection.buffered_bytes

    @property
    def is_buffer_full(self) -> bool:
        """Whether the caller reads more slowly than its response arrives."""
        return self._connection.is_buffer_full

    @property
    def has_begun_response(self) -> bool:
        """Whether the status has been written."""
        return self._has_begun_response

    def start(self) -> None:
        """Registers the callbacks; if the connection is closed, reports it in this iteration."""
        if self._connection.is_closed:
            self._loop.call_soon(self.on_disconnect)
            return
        self._connection.on_disconnect = self.on_disconnect
        self._connection.on_drained = self.on_drained

    def has_write_timed_out(self, now: float) -> bool:
        """Returns whether the caller has read nothing for WRITE_TIMEOUT_S."""
        return self.buffered_bytes > 0 and now - self._connection.last_progress_at > WRITE_TIMEOUT_S

    def send_response(self, status: int, headers: Mapping[str, str], body: bytes) -> None:
        """Writes a complete response."""
        self._has_begun_response = True
        self._connection.send_response(status, encode_headers(headers.items()), body)

    def start_stream(self, status: int, headers: Mapping[str, str]) -> None:
        """Writes the status and headers of a response of unknown length."""
        self._has_begun_response = True
        self._connection.begin_stream(status, encode_headers(headers.items()))

    def write(self, data: bytes) -> None:
        """Appends bytes of a stream."""
        self._connection.send_data(data)

    def finish_stream(self) -> None:
        """Ends a complete stream."""
        self._connection.end_stream()

    def abort_stream(self) -> None:
        """Ends a stream in a way that shows the caller that it is incomplete."""
        self._connection.abort_stream()

    def close(self) -> None:
        """Closes the connection at once."""
        self._connection.close()


def encode_json(body: object) -> bytes:
    """Returns compact JSON text."""
    return json.dumps(body, separators=(",", ":")).encode("utf-8")
