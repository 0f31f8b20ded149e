"""Non-blocking TCP sockets with the options that find silent connections."""

import contextlib
import socket

# A peer that is dark or cut off answers neither data nor probes; both limits end its connections.
USER_TIMEOUT_MS = 2_500
KEEPALIVE_IDLE_S = 2
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 3
LISTEN_BACKLOG = 1024
RECEIVE_BYTES = 65_536


def split_address(address: str) -> tuple[str, int]:
    """Returns the IP number and port of ``IP:PORT``; raises ValueError."""
    host, _, port = address.rpartition(":")
    return host, int(port)


def set_connection_options(sock: socket.socket) -> None:
    """Makes a connection non-blocking and ends it if its peer stays silent."""
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)


def open_connection(address: str) -> socket.socket:
    """Starts to connect; the socket becomes writable when that has ended."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        set_connection_options(sock)
        with contextlib.suppress(BlockingIOError):
            sock.connect(split_address(address))
    except (OSError, ValueError):
        sock.close()
        raise
    return sock


def open_listener(address: str, *, reuse_port: bool = False) -> socket.socket:
    """Returns a listening socket; with ``is_shared``, several processes may listen there."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if reuse_port:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        sock.setblocking(False)
        sock.bind(split_address(address))
        sock.listen(LISTEN_BACKLOG)
    except (OSError, ValueError):
        sock.close()
        raise
    return sock
