"""A caller's connection, owned by the relay loop after the HTTP front end has read the request."""

import json
import select
import socket
import ssl
from collections.abc import Callable, Mapping
from http import HTTPStatus

from .loop import RelayLoop

# A caller that takes no byte for this time is disconnected, so that it frees its target.
WRITE_TIMEOUT_S = 60.0
_READ_BYTES = 65536


class CallerConnection:
    """Writes one answer. Bytes written in one turn of the loop are sent together."""

    def __init__(self, loop: RelayLoop, connection: socket.socket, is_http11: bool) -> None:
        self._loop = loop
        self._socket = connection
        self._is_http11 = is_http11
        self._buffer = bytearray()
        self._is_chunked = False
        self._is_finishing = False
        self._is_open = True
        self._started = False
        self._waits_for_write = False
        self._last_progress = loop.now()
        self.on_gone: Callable[[], None] = lambda: None
        self.on_drained: Callable[[], None] = lambda: None

    @property
    def buffered(self) -> int:
        """Bytes not yet taken by the caller."""
        return len(self._buffer)

    @property
    def started(self) -> bool:
        """Tells whether the answer's status has been written."""
        return self._started

    def start(self) -> None:
        """Takes the socket into the loop; called on the loop's thread."""
        self._socket.setblocking(False)
        self._watch()

    def is_stuck(self, now: float) -> bool:
        """Tells whether the caller has taken nothing for too long."""
        return bool(self._buffer) and now - self._last_progress > WRITE_TIMEOUT_S

    def send_answer(self, status: int, headers: Mapping[str, str], body: bytes) -> None:
        """Writes a complete answer."""
        self._write_head(status, {**headers, "Content-Length": str(len(body))})
        self._buffer += body
        self._finish()

    def start_stream(self, status: int, headers: Mapping[str, str]) -> None:
        """Writes status and headers of an answer whose length is not known yet."""
        self._is_chunked = self._is_http11
        extra = {"Transfer-Encoding": "chunked"} if self._is_chunked else {}
        self._write_head(status, {**headers, **extra})

    def write(self, data: bytes) -> None:
        """Appends bytes of a stream."""
        if not self._is_open or not data:
            return
        if self._is_chunked:
            self._buffer += b"%x\r\n%b\r\n" % (len(data), data)
        else:
            self._buffer += data
        self._loop.flush_at_end(self._flush)

    def finish_stream(self) -> None:
        """Ends a complete stream."""
        if self._is_chunked:
            self._buffer += b"0\r\n\r\n"
        self._finish()

    def abort_stream(self) -> None:
        """Ends a stream so that the caller can see that it is not complete."""
        self._finish()

    def close(self) -> None:
        """Closes the socket at once."""
        if self._is_open:
            self._is_open = False
            self._buffer.clear()
            self._loop.unwatch(self._socket.fileno())
            self._socket.close()

    def _write_head(self, status: int, headers: Mapping[str, str]) -> None:
        self._started = True
        try:
            phrase = HTTPStatus(status).phrase
        except ValueError:
            phrase = "Unknown"
        lines = [f"HTTP/1.1 {status} {phrase}", "Connection: close"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        self._buffer += ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1", "replace")
        self._loop.flush_at_end(self._flush)

    def _finish(self) -> None:
        # Nothing can follow, and the caller need not wait until the call has been recorded.
        self._is_finishing = True
        self._flush()

    def _watch(self) -> None:
        mask = select.EPOLLIN | select.EPOLLRDHUP
        if self._waits_for_write:
            mask |= select.EPOLLOUT
        self._loop.watch(self._socket.fileno(), mask, self._on_event)

    def _on_event(self, mask: int) -> None:
        if mask & (select.EPOLLERR | select.EPOLLHUP):
            self._lose()
            return
        if mask & (select.EPOLLIN | select.EPOLLRDHUP) and not self._read():
            self._lose()
            return
        if mask & select.EPOLLOUT:
            self._flush()

    def _read(self) -> bool:
        """Drops what the caller sends after its request; False if the caller has gone."""
        try:
            return self._socket.recv(_READ_BYTES) != b""
        except (BlockingIOError, ssl.SSLWantReadError, ssl.SSLWantWriteError):
            return True
        except OSError:
            return False

    def _lose(self) -> None:
        if self._is_open:
            self.close()
            self.on_gone()

    def _flush(self) -> None:
        if not self._is_open:
            return
        before = len(self._buffer)
        try:
            while self._buffer:
                count = self._socket.send(self._buffer)
                if count == len(self._buffer):
                    self._buffer.clear()
                else:
                    del self._buffer[:count]
        except (BlockingIOError, ssl.SSLWantWriteError, ssl.SSLWantReadError):
            pass
        except OSError:
            self._lose()
            return
        if len(self._buffer) < before or not self._buffer:
            self._last_progress = self._loop.now()
        if self._waits_for_write != bool(self._buffer):
            self._waits_for_write = bool(self._buffer)
            self._watch()
        if self._buffer:
            return
        if self._is_finishing:
            self._read()
            self.close()
        else:
            self.on_drained()


def encode_json(body: object) -> bytes:
    """Returns compact JSON text."""
    return json.dumps(body, separators=(",", ":")).encode("utf-8")
