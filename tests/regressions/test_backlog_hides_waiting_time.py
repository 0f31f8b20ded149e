"""Guards against counting the time of a call from its read when many connections wait.

The listener accepts a bounded number of connections at a time. Those that it accepted in a later
iteration counted as just arrived, although they had waited as long as the first ones.
"""

import socket
import threading
import time
import unittest

from mulberryrill.internal.clock import SystemClock
from mulberryrill.internal.eventloop import EventLoop
from mulberryrill.internal.http.listener import MAX_ACCEPTS_PER_EVENT, Listener
from tests.common.entry import wait_for

BLOCKED_S = 0.3


class BacklogTest(unittest.TestCase):
    def setUp(self) -> None:
        self.loop = EventLoop(SystemClock(), "test")
        self.loop.start()
        self.addCleanup(self.loop.close)
        self.arrivals: list[float] = []
        self.listener = Listener(self.loop, "127.0.0.1:0", self.accept)
        self.listener.open()
        self.loop.post(self.listener.start)
        self.addCleanup(self.loop.post, self.listener.close)

    def accept(self, sock: socket.socket) -> None:
        sock.close()
        self.arrivals.append(self.loop.earliest_arrival)

    def connect(self, count: int) -> None:
        for _ in range(count):
            client = socket.create_connection(("127.0.0.1", self.listener.port))
            self.addCleanup(client.close)

    def test_all_connections_of_a_backlog_count_from_before_the_long_iteration(self) -> None:
        count = 3 * MAX_ACCEPTS_PER_EVENT
        begun, is_connected = threading.Event(), threading.Event()

        def block() -> None:
            begun.set()
            is_connected.wait(5.0)
            time.sleep(BLOCKED_S)

        self.loop.post(block)
        self.assertTrue(begun.wait(5.0))
        self.connect(count)
        connected_at = time.monotonic()
        is_connected.set()
        wait_for(lambda: len(self.arrivals) == count)
        self.assertLess(max(self.arrivals), connected_at)

    def test_later_connections_do_not_count_from_before_it(self) -> None:
        """Guards against calls refused for a time for which they had not waited."""
        self.test_all_connections_of_a_backlog_count_from_before_the_long_iteration()
        self.arrivals.clear()
        time.sleep(0.1)
        begun_at = time.monotonic()
        self.connect(1)
        wait_for(lambda: bool(self.arrivals))
        self.assertGreater(self.arrivals[0], begun_at - 0.05)
