"""ZeroMQ sockets with CURVE between the system's processes, and encoding of their messages."""

import logging

import zmq
from google.protobuf.message import DecodeError
from zmq.auth.thread import ThreadAuthenticator

from ..errors import TransportError
from .events import Event
from .logs import log_event
from .schema.settings_pb2 import KeyPair
from .schema.wire_pb2 import Envelope

# Queue limit per peer; further messages are dropped, so that an absent peer cannot exhaust memory.
MAX_QUEUED_MESSAGES = 1000
# A connection that is silent for HEARTBEAT_TIMEOUT_MS is closed and reopened, so that it recovers.
HEARTBEAT_INTERVAL_MS = 1000
HEARTBEAT_TIMEOUT_MS = 3000
MAX_RECONNECT_INTERVAL_MS = 2000
MAX_MESSAGE_BYTES = 64 * 1024 * 1024
_LOGGER = logging.getLogger(__name__)


def encode_envelope(envelope: Envelope) -> bytes:
    """Serializes an envelope to one frame."""
    return envelope.SerializeToString()


def decode_envelope(frame: bytes) -> Envelope:
    """Parses one frame; raises TransportError if it is not a valid envelope."""
    try:
        envelope = Envelope.FromString(frame)
    except DecodeError as error:
        raise TransportError(f"undecodable frame of {len(frame)} bytes") from error
    if envelope.WhichOneof("body") is None:
        raise TransportError(f"envelope from {envelope.sender!r} has no known body")
    return envelope


class Authenticator:
    """Accepts only peers whose public key is in the settings.

    The user id of each received frame is the peer's public key, which identifies the sender.
    """

    def __init__(self, context: zmq.Context, public_keys: list[str]) -> None:
        self._auth_thread = ThreadAuthenticator(context)
        self._public_keys = public_keys

    def start(self) -> None:
        """Starts to authenticate the clients of all server sockets of the context."""
        self._auth_thread.start()
        self._auth_thread.configure_curve_callback(domain="*", credentials_provider=self)

    def close(self) -> None:
        """Stops the authentication thread."""
        self._auth_thread.stop()

    def callback(self, domain: str, key: bytes) -> bool:
        """Returns whether a client's public key (Z85 text) is in the settings."""
        is_known = key.decode("ascii") in self._public_keys
        if not is_known:
            log_event(
                _LOGGER,
                logging.WARNING,
                Event.MESSAGE_REJECTED,
                "connection with an unknown CURVE key refused",
            )
        return is_known


def open_server(context: zmq.Context, endpoint: str, keys: KeyPair) -> zmq.Socket:
    """Binds a ROUTER socket that accepts only authenticated peers."""
    socket = context.socket(zmq.ROUTER)
    _set_options(socket)
    socket.curve_server = True
    socket.curve_secretkey = keys.secret_key.encode("ascii")
    socket.curve_publickey = keys.public_key.encode("ascii")
    socket.setsockopt(zmq.ROUTER_HANDOVER, 1)
    try:
        socket.bind(endpoint)
    except zmq.ZMQError as error:
        socket.close()
        raise TransportError(f"cannot bind {endpoint}: {error}") from error
    return socket


def open_client(
    context: zmq.Context,
    endpoint: str,
    server_public_key: str,
    keys: KeyPair,
    identity: str,
    only_connected: bool = False,
) -> zmq.Socket:
    """Connects a DEALER socket to a server whose public key is known.

    With ``only_connected``, sending fails while there is no connection. Otherwise messages are
    queued and may be out of date when they arrive.
    """
    socket = context.socket(zmq.DEALER)
    socket.setsockopt(zmq.IMMEDIATE, only_connected)
    _set_options(socket)
    socket.setsockopt(zmq.IDENTITY, identity.encode("utf-8"))
    socket.curve_serverkey = server_public_key.encode("ascii")
    socket.curve_secretkey = keys.secret_key.encode("ascii")
    socket.curve_publickey = keys.public_key.encode("ascii")
    socket.connect(endpoint)
    return socket


def _set_options(socket: zmq.Socket) -> None:
    socket.setsockopt(zmq.LINGER, 0)
    socket.setsockopt(zmq.SNDHWM, MAX_QUEUED_MESSAGES)
    socket.setsockopt(zmq.RCVHWM, MAX_QUEUED_MESSAGES)
    socket.setsockopt(zmq.MAXMSGSIZE, MAX_MESSAGE_BYTES)
    socket.setsockopt(zmq.HEARTBEAT_IVL, HEARTBEAT_INTERVAL_MS)
    socket.setsockopt(zmq.HEARTBEAT_TIMEOUT, HEARTBEAT_TIMEOUT_MS)
    socket.setsockopt(zmq.RECONNECT_IVL_MAX, MAX_RECONNECT_INTERVAL_MS)
