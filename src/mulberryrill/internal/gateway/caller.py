"""A caller's answer, written on its connection by the relay loop's thread."""

import json
from collections.abc import Callable, Mapping

from ..http.caller import InboundConnection
from ..http.messages import encode_headers
from .loop import RelayLoop

# A caller that takes no byte for this time is disconnected, so that it frees its target.
WRITE_TIMEOUT_S = 60.0


class CallerConnection:
    """Writes one answer. Bytes written in one turn of the loop are sent together."""

    def __init__(self, loop: RelayLoop, caller: InboundConnection) -> None:
        self._loop = loop
        self._caller = caller
        self._has_begun_response = False
        self.on_disconnect: Callable[[], None] = lambda: None
        self.on_drained: Callable[[], None] = lambda: None

    @property
    def buffered_bytes(self) -> int:
        """Bytes that the caller has not taken yet."""
        return self._caller.buffered_bytes

    @property
    def is_buffer_full(self) -> bool:
        """Whether the caller reads more slowly than its answer arrives."""
        return self._caller.is_buffer_full

    @property
    def has_begun_response(self) -> bool:
        """Tells whether the answer's status has been written."""
        return self._has_begun_response

    def start(self) -> None:
        """Follows the connection; one that has ended already is reported later in this turn."""
        if self._caller.is_closed:
            self._loop.call_soon(self.on_disconnect)
            return
        self._caller.on_disconnect = self.on_disconnect
        self._caller.on_drained = self.on_drained

    def has_write_timed_out(self, now: float) -> bool:
        """Tells whether the caller has taken nothing for too long."""
        return self.buffered_bytes > 0 and now - self._caller.last_progress > WRITE_TIMEOUT_S

    def send_response(self, status: int, headers: Mapping[str, str], body: bytes) -> None:
        """Writes a complete answer."""
        self._has_begun_response = True
        self._caller.send_response(status, encode_headers(headers.items()), body)

    def start_stream(self, status: int, headers: Mapping[str, str]) -> None:
        """Writes status and headers of an answer whose length is not known yet."""
        self._has_begun_response = True
        self._caller.begin_stream(status, encode_headers(headers.items()))

    def write(self, data: bytes) -> None:
        """Appends bytes of a stream."""
        self._caller.send_data(data)

    def finish_stream(self) -> None:
        """Ends a complete stream."""
        self._caller.end_stream()

    def abort_stream(self) -> None:
        """Ends a stream so that the caller can see that it is not complete."""
        self._caller.abort_stream()

    def close(self) -> None:
        """Closes the connection at once."""
        self._caller.close()


def encode_json(body: object) -> bytes:
    """Returns compact JSON text."""
    return json.dumps(body, separators=(",", ":")).encode("utf-8")
