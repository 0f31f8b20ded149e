"""A TCP proxy between two processes under test that can delay, pause, cut and reset connections."""

import contextlib
import socket
import struct
import threading
import time
from enum import Enum

BUFFER_BYTES = 65536
CONNECT_TIMEOUT_S = 2.0
DELAY_S = 0.15
# With this SO_LINGER value, close() sends a reset.
_RESET_LINGER = struct.pack("ii", 1, 0)


class LinkState(Enum):
    """How the link treats data and connections.

    DELAYED forwards data after ``DELAY_S``. The PAUSED states hold data back, in both directions or
    in one. CUT shuts connections down and RESET aborts them with a TCP reset; new connections fail
    in both states.
    """

    OPEN = "open"
    DELAYED = "delayed"
    PAUSED = "paused"
    PAUSED_OUTWARD = "paused outward"
    PAUSED_BACK = "paused back"
    CUT = "cut"
    RESET = "reset"


DISCONNECTED_STATES = (LinkState.CUT, LinkState.RESET)
OUTWARD_PAUSED_STATES = (LinkState.PAUSED, LinkState.PAUSED_OUTWARD)
RETURN_PAUSED_STATES = (LinkState.PAUSED, LinkState.PAUSED_BACK)


class Link:
    """Forwards connections from its own port to a destination until closed."""

    def __init__(self, host: str, port: int) -> None:
        self._destination = (host, port)
        self._changed = threading.Condition()
        self._state = LinkState.OPEN
        self._closed = False
        self._connections: set[socket.socket] = set()
        self._server = socket.create_server(("127.0.0.1", 0))
        self.port: int = self._server.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def set_state(self, state: LinkState) -> None:
        """Changes how open and new connections are treated."""
        with self._changed:
            self._state = state
            self._changed.notify_all()
            if state in DISCONNECTED_STATES:
                self._close_connections()

    def close(self) -> None:
        """Closes all connections and the listening port."""
        with self._changed:
            self._closed = True
            self._changed.notify_all()
            self._close_connections()
        # Ends the other thread's accept call; until then the port would still take connections.
        with contextlib.suppress(OSError):
            self._server.shutdown(socket.SHUT_RDWR)
        self._server.close()

    def _close_connections(self) -> None:
        for connection in self._connections:
            with contextlib.suppress(OSError):  # The peer may have closed it already.
                if self._state is LinkState.RESET:
                    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_LINGER)
                connection.shutdown(socket.SHUT_RDWR)
            if self._state is LinkState.RESET:
                connection.close()
        self._connections.clear()

    def _accept(self) -> None:
        while True:
            try:
                inbound, _ = self._server.accept()
            except OSError:
                return
            threading.Thread(target=self._connect, args=(inbound,), daemon=True).start()

    def _connect(self, inbound: socket.socket) -> None:
        """Connects to the destination as soon as the link forwards data towards it."""
        self._wait_while(OUTWARD_PAUSED_STATES)
        if self._state in DISCONNECTED_STATES or self._closed:
            inbound.close()
            return
        try:
            outbound = socket.create_connection(self._destination, CONNECT_TIMEOUT_S)
        except OSError:
            inbound.close()
            return
        outbound.settimeout(None)
        for end in (inbound, outbound):
            end.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        with self._changed:
            self._connections |= {inbound, outbound}
        ended_sources: list[socket.socket] = []
        for source, sink, paused_states in (
            (inbound, outbound, OUTWARD_PAUSED_STATES),
            (outbound, inbound, RETURN_PAUSED_STATES),
        ):
            threading.Thread(
                target=self._forward, args=(source, sink, paused_states, ended_sources), daemon=True
            ).start()

    def _wait_while(self, states: tuple[LinkState, ...]) -> None:
        with self._changed:
            self._changed.wait_for(lambda: self._closed or self._state not in states)

    def _forward(
        self,
        source: socket.socket,
        sink: socket.socket,
        paused_states: tuple[LinkState, ...],
        ended_sources: list[socket.socket],
    ) -> None:
        try:
            while data := source.recv(BUFFER_BYTES):
                if self._state is LinkState.DELAYED:
                    time.sleep(DELAY_S)
                self._wait_while(paused_states)
                sink.sendall(data)
            sink.shutdown(socket.SHUT_WR)
        except OSError:
            for end in (source, sink):
                with contextlib.suppress(OSError):
                    end.shutdown(socket.SHUT_RDWR)
        finally:
            self._close_if_finished(source, sink, ended_sources)

    def _close_if_finished(
        self, source: socket.socket, sink: socket.socket, ended_sources: list[socket.socket]
    ) -> None:
        """Closes a connection when both of its directions have ended."""
        with self._changed:
            ended_sources.append(source)
            if len(ended_sources) == 2:
                self._connections -= {source, sink}
                source.close()
                sink.close()
