"""Listening sockets on the event loop."""

import logging
import select
import socket
from collections.abc import Callable

from ..eventloop import EventLoop
from ..events import Event
from ..logs import log_event
from .messages import HttpRequest, RequestError, RequestParser, encode_head
from .sockets import RECEIVE_BYTES, open_listener, set_connection_options

# Connections accepted in one iteration of the loop.
MAX_ACCEPTS_PER_EVENT = 64
MAX_PROBE_BYTES = 8192
# A balancer and a collector of metrics keep a few connections; beyond this number the one that has
# been silent longest is closed.
MAX_PROBE_CONNECTIONS = 16
# A listener that could not accept tries again after this time. Its socket stays readable, so an
# event loop that went on watching it would spin.
ACCEPT_RETRY_S = 0.1
_LOGGER = logging.getLogger(__name__)


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
        # Since when connections may have waited that an earlier iteration left in the backlog.
        self._waiting_since = float("inf")
        # Frees a descriptor, if one is held for a client that does not use it.
        self.on_exhausted: Callable[[], None] | None = None

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
        self._watch()

    def _watch(self) -> None:
        if self._socket is not None:
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
        since = min(self._loop.earliest_arrival, self._waiting_since)
        self._waiting_since = float("inf")
        with self._loop.count_arrivals_from(since):
            for _ in range(MAX_ACCEPTS_PER_EVENT):
                if self._socket is None or not self._accept_one():
                    return
        if self._has_waiting():
            self._waiting_since = since

    def _has_waiting(self) -> bool:
        if self._socket is None:
            return False
        poll = select.poll()
        poll.register(self._socket, select.POLLIN)
        return bool(poll.poll(0))

    def _accept_one(self) -> bool:
        assert self._socket is not None
        try:
            sock, _ = self._socket.accept()
        except (BlockingIOError, ConnectionAbortedError):
            return False
        except OSError as error:
            self._pause(error)
            return False
        sock.setblocking(False)
        self._on_accept(sock)
        return True

    def _pause(self, error: OSError) -> None:
        """Stops accepting for a short time, for example because no descriptors are left."""
        assert self._socket is not None
        log_event(
            _LOGGER,
            logging.WARNING,
            Event.ENTRY_ACCEPT_FAILED,
            f"connections cannot be accepted: {error}",
            address=self._address,
        )
        self._waiting_since = self._loop.earliest_arrival
        self._loop.unwatch(self._socket.fileno())
        self._loop.call_later(ACCEPT_RETRY_S, self._watch)
        if self.on_exhausted is not None:
            self.on_exhausted()


class ProbeConnections:
    """The connections to one port for probes, of which there are few."""

    def __init__(
        self, loop: EventLoop, respond: Callable[[HttpRequest], tuple[int, bytes]]
    ) -> None:
        """``respond`` returns the status and the body for a request."""
        self._loop = loop
        self._respond = respond
        # In the order of their last request.
        self._connections: dict[ProbeConnection, None] = {}

    def add(self, sock: socket.socket) -> None:
        """Serves a new connection."""
        while len(self._connections) >= MAX_PROBE_CONNECTIONS:
            next(iter(self._connections)).close()
        connection = ProbeConnection(self._loop, sock, self._respond, self._on_request)
        connection.on_closed = lambda: self._connections.pop(connection, None)
        self._connections[connection] = None

    def _on_request(self, connection: "ProbeConnection") -> None:
        if connection in self._connections:
            del self._connections[connection]
            self._connections[connection] = None


class ProbeConnection:
    """Responds to simple requests, such as readiness checks, on one persistent connection."""

    def __init__(
        self,
        loop: EventLoop,
        sock: socket.socket,
        respond: Callable[[HttpRequest], tuple[int, bytes]],
        on_request: Callable[["ProbeConnection"], None] = lambda connection: None,
    ) -> None:
        self._loop = loop
        self._socket = sock
        self._respond = respond
        self._on_request = on_request
        self.on_closed: Callable[[], object] = lambda: None
        self._parser = RequestParser(MAX_PROBE_BYTES, MAX_PROBE_BYTES)
        self._send_buffer = bytearray()
        set_connection_options(sock)
        loop.watch(sock.fileno(), select.EPOLLIN, self._on_events)

    def _on_events(self, mask: int) -> None:
        try:
            # While a response is unsent no request is read, so the buffer holds one response.
            if not self._send_buffer and not self._read():
                self.close()
                return
            self._write()
        except BlockingIOError:
            return
        except (OSError, RequestError):
            self.close()

    def _read(self) -> bool:
        """Reads requests and queues their responses; returns False at the end of the connection."""
        data = self._socket.recv(RECEIVE_BYTES)
        self._parser.feed(data)
        while self._parser.requests:
            self._on_request(self)
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

    def close(self) -> None:
        """Closes the connection."""
        self._loop.unwatch(self._socket.fileno())
        self._socket.close()
        self.on_closed()
