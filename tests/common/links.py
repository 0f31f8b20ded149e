"""A TCP link between two processes under test that can be paused, cut and healed."""

import socket
import threading
from enum import Enum

BUFFER_BYTES = 65536
CONNECT_TIMEOUT_S = 2.0


class LinkState(Enum):
    """What the link does with bytes: paused ones wait, cut connections end and new ones fail."""

    OPEN = "open"
    PAUSED = "paused"
    CUT = "cut"


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
        """Pauses, cuts or opens the link."""
        with self._changed:
            self._state = state
            self._changed.notify_all()
            if state is LinkState.CUT:
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
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                # The other side has already ended it.
                pass
        self._connections.clear()

    def _accept(self) -> None:
        while True:
            try:
                near, _ = self._server.accept()
            except OSError:
                return
            if self._state is LinkState.CUT:
                near.close()
                continue
            try:
                far = socket.create_connection(self._destination, CONNECT_TIMEOUT_S)
            except OSError:
                near.close()
                continue
            far.settimeout(None)
            with self._changed:
                self._connections |= {near, far}
            for source, sink in ((near, far), (far, near)):
                threading.Thread(target=self._pump, args=(source, sink), daemon=True).start()

    def _pump(self, source: socket.socket, sink: socket.socket) -> None:
        try:
            while data := source.recv(BUFFER_BYTES):
                with self._changed:
                    self._changed.wait_for(
                        lambda: self._closed or self._state is not LinkState.PAUSED
                    )
                sink.sendall(data)
            sink.shutdown(socket.SHUT_WR)
        except OSError:
            for end in (source, sink):
                end.close()
