"""Tests that CURVE admits only known peers and that invalid frames are rejected."""

import unittest

import zmq

from mulberryrill.errors import TransportError
from mulberryrill.internal.schema.settings_pb2 import KeyPair
from mulberryrill.internal.schema.wire_pb2 import Envelope, Heartbeat
from mulberryrill.internal.transport import (
    Authenticator,
    decode_envelope,
    encode_envelope,
    open_client,
    open_server,
)

WAIT_MS = 2000
REFUSAL_WAIT_MS = 400


def create_key_pair() -> KeyPair:
    public, secret = zmq.curve_keypair()
    return KeyPair(public_key=public.decode(), secret_key=secret.decode())


class TransportTest(unittest.TestCase):
    def setUp(self) -> None:
        self.context = zmq.Context()
        self.addCleanup(self.context.destroy, 0)
        self.server_keys, self.known_keys, self.unknown_keys = (
            create_key_pair(),
            create_key_pair(),
            create_key_pair(),
        )
        authenticator = Authenticator(self.context, [self.known_keys.public_key])
        authenticator.start()
        self.addCleanup(authenticator.close)
        self.server = open_server(self.context, "tcp://127.0.0.1:*", self.server_keys)
        self.endpoint = str(self.server.get_string(zmq.LAST_ENDPOINT))

    def send(self, keys: KeyPair) -> None:
        self.client = open_client(
            self.context, self.endpoint, self.server_keys.public_key, keys, "client"
        )
        self.client.send(encode_envelope(Envelope(sender="c", heartbeat=Heartbeat(instance="c"))))

    def test_known_peer_is_admitted(self) -> None:
        self.send(self.known_keys)
        self.assertTrue(self.server.poll(WAIT_MS))
        identity, frame = self.server.recv_multipart()
        self.assertEqual(identity, b"client")
        self.assertEqual(decode_envelope(frame).heartbeat.instance, "c")

    def test_unknown_key_cannot_inject(self) -> None:
        self.send(self.unknown_keys)
        self.assertFalse(self.server.poll(REFUSAL_WAIT_MS))

    def test_garbage_frames_are_rejected(self) -> None:
        for frame in (b"", b"\xff" * 40, Envelope(sender="x").SerializeToString()):
            with self.subTest(frame=frame), self.assertRaises(TransportError):
                decode_envelope(frame)
