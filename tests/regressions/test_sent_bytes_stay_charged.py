"""Guards against an account that differs from what connections hold for their clients.

Response bytes stayed charged after the client had read them, so idle connections filled the account
and were closed for it. A complete response was dropped unwritten in a nearly full account, because
it counted twice when it was queued and nothing was sent before the charge.
"""

import socket
import unittest

from mulberryrill.internal.clock import SystemClock
from mulberryrill.internal.core.memoryaccount import (
    CONNECTION_BYTES,
    AccountLimits,
    HolderState,
    MemoryAccount,
)
from mulberryrill.internal.core.serving.routetable import CallerLimits
from mulberryrill.internal.eventloop import EventLoop
from mulberryrill.internal.http.caller import InboundConnection
from mulberryrill.internal.http.messages import HttpRequest, RequestErrorReason
from tests.common.entry import wait_for

REQUEST = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n"


class Owner:
    """Responds to every request with a body of a fixed size."""

    is_stopping = False

    def __init__(self, max_bytes: int, body_bytes: int) -> None:
        self.limits = CallerLimits()
        self.memory: MemoryAccount[InboundConnection] = MemoryAccount(AccountLimits(max_bytes, 100))
        self.body_bytes = body_bytes
        self.request_count = 0

    def on_request(self, connection: InboundConnection, request: HttpRequest) -> None:
        self.request_count += 1
        assert connection.charge_response(self.body_bytes)
        connection.send_response(200, [], bytes(self.body_bytes))

    def on_overload(
        self, connection: InboundConnection, state: HolderState, held_bytes: int
    ) -> None:
        pass

    def on_invalid_request(self, connection: InboundConnection, reason: RequestErrorReason) -> None:
        connection.reject_request(reason.value, [], b"")

    def on_closed(self, connection: InboundConnection) -> None:
        pass


class ConnectionCase(unittest.TestCase):
    """Runs an event loop with inbound connections."""

    def setUp(self) -> None:
        self.loop = EventLoop(SystemClock(), "test")
        self.loop.start()
        self.addCleanup(self.loop.close)

    def connect(self, owner: Owner) -> socket.socket:
        client, server = socket.socketpair()
        server.setblocking(False)
        client.settimeout(5.0)
        self.addCleanup(client.close)
        connection = InboundConnection(self.loop, server, owner)
        self.addCleanup(self.loop.post, connection.close)
        self.loop.post(connection.start)
        return client

    def read_response(self, client: socket.socket, body_bytes: int) -> None:
        data = b""
        while b"\r\n\r\n" not in data:
            part = client.recv(65_536)
            self.assertTrue(part, "closed before the end of the head")
            data += part
        head, _, body = data.partition(b"\r\n\r\n")
        self.assertTrue(head.startswith(b"HTTP/1.1 200"))
        count = len(body)
        while count < body_bytes:
            part = client.recv(65_536)
            self.assertTrue(part, "closed before the end of the body")
            count += len(part)


class AccountOfConnectionsTest(ConnectionCase):
    def test_response_that_was_read_is_not_held(self) -> None:
        owner = Owner(10_000_000, body_bytes=1_000_000)
        client = self.connect(owner)
        client.sendall(REQUEST)
        self.read_response(client, owner.body_bytes)
        wait_for(lambda: owner.memory.held_bytes == CONNECTION_BYTES)
        self.assertEqual(owner.memory.sum_by_state()[HolderState.IDLE], CONNECTION_BYTES)

    def test_kept_connections_are_not_closed_for_responses_that_were_read(self) -> None:
        owner = Owner(1_000_000, body_bytes=100_000)
        clients = [self.connect(owner) for _ in range(20)]
        for _ in range(2):
            for client in clients:
                client.sendall(REQUEST)
                self.read_response(client, owner.body_bytes)
        self.assertEqual(owner.request_count, 40)

    def test_client_that_reads_slowly_is_charged_for_the_rest(self) -> None:
        owner = Owner(10_000_000, body_bytes=4_000_000)
        client = self.connect(owner)
        client.sendall(REQUEST)
        wait_for(lambda: owner.memory.held_bytes > 1_000_000)
        before = owner.memory.held_bytes
        read = 0
        while read < 2_000_000:
            read += len(client.recv(65_536))
        wait_for(lambda: owner.memory.held_bytes < before - 1_000_000)
        self.assertGreater(owner.memory.held_bytes, 1_000_000)

    def test_complete_response_is_written_although_the_account_is_nearly_full(self) -> None:
        owner = Owner(CONNECTION_BYTES + 60_000, body_bytes=50_000)
        client = self.connect(owner)
        client.sendall(REQUEST)
        self.read_response(client, owner.body_bytes)
