"""Listening sockets on the event loop."""

import select
import socket
from collections.abc import Callable

from ..eventloop import EventLoop
from .messages import HttpRequest, RequestError, RequestParser, encode_head
from .sockets import RECEIVE_BYTES, open_listener, set_connection_options

# Connections accepted in one iteration of the loop.
MAX_ACCEPTS_PER_EVENT = 64
MAX_PROBE_BYTES = 8192


class Listener:
    """Accepts connections and passes them to a callback."""

    def __init__(
        self,
        loop: EventLoop,
        address: str,
        on_accept: Callable[[socket.socket], None],
        *,
        reuse_port: bool = False,
    ) -> None:
        """With ``reuse_port``, several processes may listen on the address."""
        self._loop = loop
        self._address = address
        self._on_accept = on_accept
        self._reuse_port = reuse_port
        self._socket: socket.socket | None = None

    @property
    def port(self) -> int:
        """The bound port, chosen by the system if the address has port 0; 0 while not open."""
        return self._socket.getsockname()[1] if self._socket is not None else 0

    def open(self) -> None:
        """Binds the address; raises OSError. May be called from any thread."""
        self._socket = open_listener(self._address, reuse_port=self._reuse_port)

    def start(self) -> None:
        """Starts accepting, opening the socket first if necessary; raises OSError."""
        if self._socket is None:
            self.open()
        assert self._socket is not None
        self._loop.watch(self._socket.fileno(), select.EPOLLIN, self._accept)

    def close(self) -> None:
        """Stops listening; accepted connections stay open."""
        if self._socket is not None:
            # Closing the socket would reset the connections that wait in its backlog.
            while self._accept_one():
                pass
            self._loop.unwatch(self._socket.fileno())
            self._socket.close()
            self._socket = None

    def _accept(self, mask: int) -> None:
        for _ in range(MAX_ACCEPTS_PER_EVENT):
            if self._socket is None or not self._accept_one():
                return

    def _accept_one(self) -> bool:
        assert self._socket is not None
        try:
            sock, _ = self._socket.accept()
        except OSError:
            return False
        sock.setblocking(False)
        self._on_accept(sock)
        return True


class ProbeConnection:
    """Responds to simple requests, such as readiness checks, on one persistent connection."""

    def __init__(
        self,
        loop: EventLoop,
        sock: socket.socket,
        respond: Callable[[HttpRequest], tuple[int, bytes]],
    ) -> None:
        self._loop = loop
        self._socket = sock
        self._respond = respond
        self._parser = RequestParser(MAX_PROBE_BYTES, MAX_PROBE_BYTES)
        self._send_buffer = bytearray()
        set_connection_options(sock)
        loop.watch(sock.fileno(), select.EPOLLIN, self._on_events)

    def _on_events(self, mask: int) -> None:
        try:
            # While a response is unsent no request is read, so the buffer holds one response.
            if not self._send_buffer and not self._read():
                self._close()
                return
            self._write()
        except BlockingIOError:
            return
        except (OSError, RequestError):
            self._close()

    def _read(self) -> bool:
        """Reads requests and queues their responses; returns False at the end of the connection."""
        data = self._socket.recv(RECEIVE_BYTES)
        self._parser.feed(data)
        while self._parser.requests:
            status, body = self._respond(self._parser.requests.pop(0))
            headers = [(b"content-length", b"%d" % len(body))]
            self._send_buffer += encode_head(status, headers) + body
        return bool(data)

    def _write(self) -> None:
        """Sends what the socket accepts and waits for it to accept the rest."""
        if self._send_buffer:
            try:
                del self._send_buffer[: self._socket.send(self._send_buffer)]
            except BlockingIOError:
                pass
        mask = select.EPOLLOUT if self._send_buffer else select.EPOLLIN
        self._loop.watch(self._socket.fileno(), mask, self._on_events)

    def _close(self) -> None:
        self._loop.unwatch(self._socket.fileno())
        self._socket.close()
