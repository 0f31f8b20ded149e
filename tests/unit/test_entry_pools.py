"""Connection pools for servers that are added and removed at run time."""

import socket
import threading
import unittest
from collections.abc import Callable

from mulberryrill.internal.clock import SystemClock
from mulberryrill.internal.entry.connection import ExchangeFailure, FailureKind
from mulberryrill.internal.entry.pool import AddressPools
from mulberryrill.internal.eventloop import EventLoop
from mulberryrill.internal.http.messages import HttpResponse


class PoolCase(unittest.TestCase):
    """Runs an event loop with pools."""

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


class AddressPoolsTest(PoolCase):
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


class _FailureRecorder:
    """Records how an exchange ended."""

    def __init__(self) -> None:
        self.failures: list[ExchangeFailure] = []
        self.done = threading.Event()

    def on_head(self, response: HttpResponse) -> None:
        """Not called: nothing answers."""

    def on_body(self, data: bytes) -> None:
        """Not called: nothing answers."""

    def on_end(self) -> None:
        """Not called: nothing answers."""

    def on_failure(self, failure: ExchangeFailure) -> None:
        self.failures.append(failure)
        self.done.set()


class WithdrawnRequestTest(PoolCase):
    """Guards against requests to a target that asked for quiet while its connection opened."""

    def test_request_is_not_sent_once_the_connection_is_open(self) -> None:
        server = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(server.close)
        address = f"127.0.0.1:{server.getsockname()[1]}"
        recorder = _FailureRecorder()

        def send() -> None:
            connection = self.pools.get_pool(address).acquire(needs_fresh=True)
            connection.send(lambda: None, recorder)

        self.run_on_loop(send)
        self.assertTrue(recorder.done.wait(5.0))
        (failure,) = recorder.failures
        self.assertIs(failure.kind, FailureKind.WITHDRAWN)
        self.assertFalse(failure.was_sent)
        accepted, _ = server.accept()
        accepted.settimeout(5.0)
        self.addCleanup(accepted.close)
        self.assertEqual(accepted.recv(100), b"")
