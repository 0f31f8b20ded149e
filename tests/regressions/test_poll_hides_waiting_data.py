"""Guards against counting the time of a call from its read when very many connections are ready.

One poll returned 1,023 descriptors at most. Those that the next poll returned counted as just
arrived, although their data had waited as long.
"""

import os
import select
import threading
import time
import unittest
from functools import partial

from mulberryrill.internal.clock import SystemClock
from mulberryrill.internal.eventloop import EventLoop
from tests.common.entry import wait_for

DESCRIPTORS = 1_200
BLOCKED_S = 0.1


class ManyReadyDescriptorsTest(unittest.TestCase):
    def test_all_count_from_before_the_long_iteration(self) -> None:
        loop = EventLoop(SystemClock(), "test")
        arrivals: list[float] = []
        descriptors = [os.eventfd(0, os.EFD_NONBLOCK) for _ in range(DESCRIPTORS)]

        def read(fd: int, mask: int) -> None:
            os.eventfd_read(fd)
            arrivals.append(loop.earliest_arrival)

        begun, may_end = threading.Event(), threading.Event()

        def block() -> None:
            for fd in descriptors:
                loop.watch(fd, select.EPOLLIN, partial(read, fd))
            begun.set()
            may_end.wait(5.0)
            time.sleep(BLOCKED_S)

        loop.start()
        loop.post(block)
        self.assertTrue(begun.wait(5.0))
        for fd in descriptors:
            os.eventfd_write(fd, 1)
        written_at = time.monotonic()
        may_end.set()
        wait_for(lambda: len(arrivals) == DESCRIPTORS)
        loop.close()
        for fd in descriptors:
            os.close(fd)
        self.assertLess(max(arrivals), written_at)
