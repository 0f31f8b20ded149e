"""Connection pools for servers that are added and removed at run time."""

import socket
import threading
import unittest
from collections.abc import Callable

from mulberryrill.internal.clock import SystemClock
from mulberryrill.internal.entry.pool import AddressPools
from mulberryrill.internal.eventloop import EventLoop


class AddressPoolsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.loop = EventLoop(SystemClock(), "test")
        self.loop.start()
        self.addCleanup(self.loop.close)
        self.pools = AddressPools(self.loop)
        self.addCleanup(self.run_on_loop, self.pools.close)

    def run_on_loop(self, task: Callable[[], object]) -> None:
        done = threading.Event()

        def run() -> None:
            task()
            done.set()

        self.loop.post(run)
        self.assertTrue(done.wait(5.0))

    def listen(self) -> str:
        server = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(server.close)
        return f"127.0.0.1:{server.getsockname()[1]}"

    def test_pools_without_connections_are_dropped(self) -> None:
        """Guards against keeping a pool for every address that was ever used."""
        addresses = [f"127.0.0.1:{port}" for port in range(1, 51)]
        self.run_on_loop(lambda: list(map(self.pools.get_pool, addresses)))
        self.assertEqual(self.pools.size, 1)

    def test_pool_with_a_connection_is_kept(self) -> None:
        address = self.listen()
        returned = []
        self.run_on_loop(lambda: self.pools.get_pool(address).acquire(needs_fresh=False))
        self.run_on_loop(lambda: returned.append(self.pools.get_pool(address)))
        self.run_on_loop(lambda: self.pools.get_pool(self.listen()))
        self.run_on_loop(lambda: returned.append(self.pools.get_pool(address)))
        self.assertIs(returned[0], returned[1])
