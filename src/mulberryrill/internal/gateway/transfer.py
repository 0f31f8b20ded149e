"""One HTTP exchange with a target or with another gateway, driven by the relay loop."""

import socket
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

import pycurl

from ..http.bounds import MAX_HEAD_BYTES

# The connection is closed when sent bytes stay unacknowledged for this time.
TCP_USER_TIMEOUT_MS = 5000
# libcurl may read from one connection a hundred times before it returns; beyond this size, the
# transfer is paused until the data has been delivered.
MAX_COLLECTED_BYTES = 64 * 1024
# Returned to libcurl, a number other than that of the bytes passed ends the transfer.
ABORT_TRANSFER = -1


@dataclass(frozen=True)
class TransferRequest:
    """An HTTP request; ``ca_file`` verifies the server's TLS certificate."""

    method: str
    url: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    connect_timeout_ms: int
    ca_file: str = ""


@dataclass(frozen=True)
class TransferEnd:
    """How a transfer ended; ``error`` is empty if the response is complete."""

    error: str
    # A byte of the request may have reached the server.
    sent: bool
    # No connection could be opened.
    refused: bool


class TransferListener(Protocol):
    """Receives a transfer's response on the relay loop's thread."""

    def on_headers(self, status: int, headers: dict[str, str]) -> None:
        """Handles status and headers, with names in lower case; called once, before any data."""
        ...

    def on_data(self, data: bytes) -> None:
        """Handles part of the body."""
        ...

    def on_end(self, end: TransferEnd) -> None:
        """Handles the end of the transfer; no call follows."""
        ...


class Transfer:
    """A libcurl handle and the bytes it has received.

    Each transfer uses a connection of its own. libcurl would repeat a request by itself if a reused
    connection turned out to be closed, which could run a call twice; and a pooled connection may
    have stalled since its last use.
    """

    def __init__(self, request: TransferRequest, listener: TransferListener) -> None:
        self.listener: TransferListener | None = listener
        self.on_dirty: Callable[[Transfer], None] = lambda transfer: None
        self.curl = pycurl.Curl()
        self._header_lines: list[bytes] = []
        # Over all heads: a server may send informational responses without end.
        self._head_bytes = 0
        self._headers_complete = False
        self._headers_delivered = False
        self._chunks: list[bytes] = []
        self._collected_bytes = 0
        # Paused because too many bytes were collected before a delivery.
        self._is_paused_by_limit = False
        self._paused = False
        self._closed = False
        self._configure(request)

    @property
    def sent(self) -> bool:
        """Whether a byte of the request may have reached the server."""
        return not self._closed and self.curl.getinfo(pycurl.REQUEST_SIZE) > 0

    def pause(self) -> None:
        """Stops reading from the connection."""
        if not self._paused and not self._closed:
            self._paused = True
            self._set_pause(pycurl.PAUSE_RECV)

    def resume(self) -> None:
        """Continues reading from the connection."""
        if self._paused and not self._closed:
            self._paused = self._is_paused_by_limit = False
            self._set_pause(pycurl.PAUSE_CONT)

    def close(self) -> None:
        """Frees the handle, which must have been removed from the loop."""
        self._closed = True
        self.curl.close()

    def deliver(self) -> None:
        """Passes collected headers and data to the listener."""
        if self._headers_complete and not self._headers_delivered and self.listener is not None:
            self._headers_delivered = True
            self.listener.on_headers(*_parse_headers(self._header_lines))
        if self._chunks and self.listener is not None:
            data, self._chunks = b"".join(self._chunks), []
            self._collected_bytes = 0
            self.listener.on_data(data)
        if self._is_paused_by_limit and not self._paused and not self._closed:
            self._is_paused_by_limit = False
            self._set_pause(pycurl.PAUSE_CONT)

    def build_end(self, code: int, message: str) -> TransferEnd:
        """Returns the end of the transfer from libcurl's result code and message."""
        error = "" if code == 0 else (message or self.curl.errstr() or f"libcurl error {code}")
        if code == 0 and not self._headers_delivered:
            error = "the answer has no headers"
        return TransferEnd(error, self.sent, code == pycurl.E_COULDNT_CONNECT and not self.sent)

    def _set_pause(self, state: int) -> None:
        try:
            self.curl.pause(state)
        except pycurl.error:
            pass  # The transfer has ended; its remaining bytes are being delivered.

    def _configure(self, request: TransferRequest) -> None:
        curl = self.curl
        curl.setopt(pycurl.URL, request.url)
        curl.setopt(pycurl.CUSTOMREQUEST, request.method)
        curl.setopt(pycurl.NOSIGNAL, 1)
        curl.setopt(pycurl.PROXY, "")
        curl.setopt(pycurl.HTTP_VERSION, pycurl.CURL_HTTP_VERSION_1_1)
        curl.setopt(pycurl.FRESH_CONNECT, 1)
        curl.setopt(pycurl.FORBID_REUSE, 1)
        curl.setopt(pycurl.TCP_NODELAY, 1)
        curl.setopt(pycurl.CONNECTTIMEOUT_MS, request.connect_timeout_ms)
        curl.setopt(pycurl.SOCKOPTFUNCTION, _set_tcp_user_timeout)
        if request.method == "HEAD":
            curl.setopt(pycurl.NOBODY, 1)
        elif request.body or request.method in ("POST", "PUT", "PATCH"):
            curl.setopt(pycurl.POSTFIELDS, request.body)
        lines = [f"{name}: {value}" for name, value in request.headers]
        curl.setopt(pycurl.HTTPHEADER, [*lines, "Expect:"])
        curl.setopt(pycurl.HEADERFUNCTION, self._collect_header)
        curl.setopt(pycurl.WRITEFUNCTION, self._collect_data)
        if request.ca_file:
            curl.setopt(pycurl.CAINFO, request.ca_file)

    def _collect_header(self, line: bytes) -> int | None:
        self._head_bytes += len(line)
        if self._head_bytes > MAX_HEAD_BYTES:
            return ABORT_TRANSFER
        if line.startswith(b"HTTP/"):
            self._header_lines = []
        self._header_lines.append(line)
        is_final = line in (b"\r\n", b"\n") and not self._header_lines[0].split(b" ")[1].startswith(
            b"1"
        )
        if is_final and not self._headers_complete:
            self._headers_complete = True
            self.on_dirty(self)
        return None

    def _collect_data(self, data: bytes) -> int | None:
        if self._collected_bytes >= MAX_COLLECTED_BYTES:
            self._is_paused_by_limit = True
            return pycurl.WRITEFUNC_PAUSE
        self._collected_bytes += len(data)
        self._chunks.append(data)
        self.on_dirty(self)
        return None


def _parse_headers(lines: list[bytes]) -> tuple[int, dict[str, str]]:
    headers: dict[str, str] = {}
    for line in lines[1:]:
        name, separator, value = line.decode("latin-1").partition(":")
        if separator:
            headers[name.strip().lower()] = value.strip()
    return int(lines[0].split(b" ")[1]), headers


def _set_tcp_user_timeout(fd: int, purpose: int) -> int:
    with socket.socket(fileno=fd) as curl_socket:
        curl_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)
        curl_socket.detach()
    return pycurl.SOCKOPT_OK
