"""``Link`` attributes each message to its sender, even while a connection is replaced."""

import time
import unittest
from unittest import mock

import zmq

from mulberryrill.internal.clock import SystemClock
from mulberryrill.internal.control.link import Link
from mulberryrill.internal.control.messages import GatewayMessage, Inbox
from mulberryrill.internal.control.task import Task
from mulberryrill.internal.schema.settings_pb2 import ControlSettings
from mulberryrill.internal.schema.wire_pb2 import Envelope, SnapshotAck
from mulberryrill.internal.transport import encode_envelope, open_client
from tests.common.control import create_key_pair

# For the handshakes of both connections; they take milliseconds on an idle machine.
WAIT_S = 20.0


class LinkTest(unittest.TestCase):
    def test_unread_messages_of_a_replaced_connection_keep_their_sender(self) -> None:
        """Guards against counting a gateway that doesn't exist and holds back the offset in force.

        When a connection takes over an identity, ZeroMQ gives the unread messages of the old
        connection a temporary identity.
        """
        keys = create_key_pair()
        settings = ControlSettings(
            instance="k-1",
            keys=keys,
            gateway_endpoint="tcp://127.0.0.1:*",
            peer_endpoint="tcp://127.0.0.1:*",
        )
        inbox: Inbox = Inbox()
        link = Link(settings, inbox, SystemClock())
        with mock.patch.object(Task, "start"):  # The test calls step() itself.
            link.start()
        self.addCleanup(link.close)
        context = zmq.Context()
        self.addCleanup(context.destroy, 0)
        for first in (1, 11):
            client = open_client(
                context, link.gateway_endpoint, keys.public_key, keys, "k-1/gateway-0"
            )
            for sequence in range(first, first + 10):
                ack = SnapshotAck(gateway="gateway-0", version=sequence)
                envelope = Envelope(sender="k-1/gateway-0", sequence=sequence, snapshot_ack=ack)
                client.send(encode_envelope(envelope))
            # The connection must be authenticated before the next one takes over its identity:
            # otherwise its messages never reach the server.
            self.assertTrue(link._gateway_socket.poll(round(WAIT_S * 1000)), "no message arrived")
        deadline = time.monotonic() + WAIT_S
        while inbox.qsize() < 11 and time.monotonic() < deadline:
            link.step()
        self.assertGreaterEqual(inbox.qsize(), 11)
        messages = [inbox.get_nowait() for _ in range(inbox.qsize())]
        senders = {m.gateway for m in messages if isinstance(m, GatewayMessage)}
        self.assertEqual(senders, {"k-1/gateway-0"})
