"""Chooses ports for servers that tests start."""

import random
import socket

LOCAL = "127.0.0.1"
FIRST_PORT, LAST_PORT = 15_000, 31_000
_assigned_ports: set[int] = set()


def find_port() -> int:
    """Returns a free port below the ephemeral port range of the operating system.

    Any outgoing connection could take an ephemeral port before the server is started on it.
    """
    while True:
        port = random.randint(FIRST_PORT, LAST_PORT)
        if port in _assigned_ports:
            continue  # The server for it may not have started yet.
        with socket.socket() as sock:
            try:
                sock.bind((LOCAL, port))
            except OSError:
                continue
        _assigned_ports.add(port)
        return port
