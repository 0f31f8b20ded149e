"""Non-blocking TCP sockets with options that detect dead peers."""

import contextlib
import socket
import struct

# A peer that has crashed or lost its network acknowledges neither data (user timeout) nor keepalive
# probes; either limit closes its connections.
USER_TIMEOUT_MS = 2_500
KEEPALIVE_IDLE_S = 2
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 3
LISTEN_BACKLOG = 1024
RECEIVE_BYTES = 65_536
# Linux, asm-generic/socket.h; the socket module lacks it. The same number names the ancillary data.
SO_TIMESTAMPNS = 35
_TIMESPEC = struct.Struct("@ll")
NS_PER_S = 1_000_000_000


def split_address(address: str) -> tuple[str, int]:
    """Splits ``IP:PORT`` into address and port; raises ValueError."""
    host, _, port = address.rpartition(":")
    return host, int(port)


def set_connection_options(sock: socket.socket) -> None:
    """Makes a connection non-blocking, sets TCP_NODELAY and enables dead-peer detection."""
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)


def enable_receive_timestamps(listener: socket.socket) -> None:
    """Makes the system note when data arrives on the connections of a listening socket.

    Where the system does not support it, nothing happens.
    """
    with contextlib.suppress(OSError):
        listener.setsockopt(socket.SOL_SOCKET, SO_TIMESTAMPNS, 1)


def receive_with_timestamp(sock: socket.socket) -> tuple[bytes, float | None]:
    """Receives bytes, with the Unix time at which the last of them arrived; None: not known.

    Raises OSError like ``recv``.
    """
    data, ancillary, _, _ = sock.recvmsg(RECEIVE_BYTES, socket.CMSG_SPACE(_TIMESPEC.size))
    for level, kind, content in ancillary:
        if (level, kind) == (socket.SOL_SOCKET, SO_TIMESTAMPNS) and len(content) == _TIMESPEC.size:
            seconds, nanoseconds = _TIMESPEC.unpack(content)
            return data, seconds + nanoseconds / NS_PER_S
    return data, None


def open_connection(address: str) -> socket.socket:
    """Starts to connect; the socket becomes writable when the attempt has succeeded or failed.

    Raises OSError or ValueError.
    """
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
    """Returns a listening socket; with ``reuse_port``, several processes may listen on the address.

    Raises OSError or ValueError.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if reuse_port:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        sock.setblocking(False)
        enable_receive_timestamps(sock)
        sock.bind(split_address(address))
        sock.listen(LISTEN_BACKLOG)
    except (OSError, ValueError):
        sock.close()
        raise
    return sock
