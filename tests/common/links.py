"""A TCP link between two processes under test that can be delayed, silenced, cut and healed."""

import contextlib
import socket
import struct
import threading
import time
from enum import Enum

BUFFER_BYTES = 65536
CONNECT_TIMEOUT_S = 2.0
DELAY_S = 0.15
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class LinkState(Enum):
    """What the link does with bytes.

    Paused ones wait, in both directions or in one; delayed ones arrive late. Cut connections end,
    reset ones end with a reset; new ones fail in both states.
    """

    OPEN = "open"
    DELAYED = "delayed"
    PAUSED = "paused"
    PAUSED_OUTWARD = "paused outward"
    PAUSED_BACK = "paused back"
    CUT = "cut"
    RESET = "reset"


ENDING = (LinkState.CUT, LinkState.RESET)
PAUSED_OUTWARD = (LinkState.PAUSED, LinkState.PAUSED_OUTWARD)
PAUSED_BACK = (LinkState.PAUSED, LinkState.PAUSED_BACK)


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
        """Changes what happens to the bytes of open and new connections."""
        with self._changed:
            self._state = state
            self._changed.notify_all()
            if state in ENDING:
                self._end_connections()

    def close(self) -> None:
        """Ends all connections and the port."""
        with self._changed:
            self._closed = True
            self._changed.notify_all()
            self._end_connections()
        self._server.close()

    def _end_connections(self) -> None:
        for connection in self._connections:
            with contextlib.suppress(OSError):  # The other side may have ended it already.
                if self._state is LinkState.RESET:
                    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
                connection.shutdown(socket.SHUT_RDWR)
            if self._state is LinkState.RESET:
                connection.close()
        self._connections.clear()

    def _accept(self) -> None:
        while True:
            try:
                near, _ = self._server.accept()
            except OSError:
                return
            threading.Thread(target=self._connect, args=(near,), daemon=True).start()

    def _connect(self, near: socket.socket) -> None:
        """Connects to the destination once the link lets the caller's bytes pass."""
        self._wait_while(PAUSED_OUTWARD)
        if self._state in ENDING or self._closed:
            near.close()
            return
        try:
            far = socket.create_connection(self._destination, CONNECT_TIMEOUT_S)
        except OSError:
            near.close()
            return
        far.settimeout(None)
        for end in (near, far):
            end.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        with self._changed:
            self._connections |= {near, far}
        ended: list[socket.socket] = []
        for source, sink, paused in ((near, far, PAUSED_OUTWARD), (far, near, PAUSED_BACK)):
            threading.Thread(
                target=self._pump, args=(source, sink, paused, ended), daemon=True
            ).start()

    def _wait_while(self, states: tuple[LinkState, ...]) -> None:
        with self._changed:
            self._changed.wait_for(lambda: self._closed or self._state not in states)

    def _pump(
        self,
        source: socket.socket,
        sink: socket.socket,
        paused: tuple[LinkState, ...],
        ended: list[socket.socket],
    ) -> None:
        try:
            while data := source.recv(BUFFER_BYTES):
                if self._state is LinkState.DELAYED:
                    time.sleep(DELAY_S)
                self._wait_while(paused)
                sink.sendall(data)
            sink.shutdown(socket.SHUT_WR)
        except OSError:
            for end in (source, sink):
                with contextlib.suppress(OSError):
                    end.shutdown(socket.SHUT_RDWR)
        finally:
            self._finish(source, sink, ended)

    def _finish(
        self, source: socket.socket, sink: socket.socket, ended: list[socket.socket]
    ) -> None:
        """Closes a connection when both of its directions have ended."""
        with self._changed:
            ended.append(source)
            if len(ended) == 2:
                self._connections -= {source, sink}
                source.close()
                sink.close()
