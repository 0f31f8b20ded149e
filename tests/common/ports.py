"""Chooses ports for servers that tests start."""

import itertools
import os
import socket

LOCAL = "127.0.0.1"
FIRST_PORT, LAST_PORT = 15_000, 31_000
# Multiplied by process ids, which follow each other, this spreads test runs side by side over all
# ports (the golden section of their number).
PORT_STRIDE = 9_889
_PORT_COUNT = LAST_PORT - FIRST_PORT + 1
# Never gives a port twice before all were given: a server for it may not have started yet.
_positions = itertools.count(os.getpid() * PORT_STRIDE)


def find_port() -> int:
    """Returns a free port below the ephemeral port range of the operating system.

    Any outgoing connection could take an ephemeral port before the server is started on it.
    """
    for position in _positions:
        port = FIRST_PORT + position % _PORT_COUNT
        with socket.socket() as sock:
            try:
                sock.bind((LOCAL, port))
            except OSError:
                continue
        return port
    raise AssertionError("itertools.count does not end")
