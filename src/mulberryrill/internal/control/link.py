"""ZeroMQ connections of this control process to its gateways and its peers."""

import logging
import os
import queue
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

import zmq

from ...errors import TransportError
from ..clock import Clock
from ..events import Event
from ..logs import log_event
from ..schema.settings_pb2 import ControlSettings, PeerSettings
from ..schema.wire_pb2 import Envelope
from ..transport import (
    Authenticator,
    decode_envelope,
    encode_envelope,
    open_client,
    open_server,
)
from .messages import GatewayMessage, Inbox, PeerMessage
from .metrics import MESSAGES, MESSAGES_DROPPED, MESSAGES_REJECTED, PEER_BYTES
from .task import Task

POLL_TIMEOUT_MS = 500
# Messages received from one socket before the next one is served.
MAX_MESSAGES_PER_SOCKET = 100
MAX_INBOX_MESSAGES = 10_000
REJECTION_LOG_INTERVAL_S = 1.0
BACKPRESSURE_PAUSE_S = 0.01
_LOGGER = logging.getLogger(__name__)

# Message types that an instance's gateways and its peers may send.
GATEWAY_BODIES = frozenset(
    {
        "gateway_report",
        "claim_request",
        "outcome_report",
        "snapshot_ack",
        "crash_report",
        "request_trace",
        "claim_abandon",
    }
)
PEER_BODIES = frozenset(
    {
        "heartbeat",
        "slot_promise_request",
        "slot_promise",
        "slot_report",
        "slot_grant",
        "state_request",
        "state_reply",
        "order_notice",
        "quarantine_notice",
        "target_notice",
    }
)
# The field that names the sender, by message type; other types have no such field.
_SENDER_FIELDS = {
    "heartbeat": "instance",
    "slot_promise_request": "holder",
    "slot_promise": "instance",
    "slot_report": "instance",
    "slot_grant": "holder",
    "target_notice": "instance",
}


@dataclass(frozen=True)
class ToGateway:
    """Sends a message to the gateway with this sender name; it is dropped if it is unknown."""

    gateway: str
    envelope: Envelope


@dataclass(frozen=True)
class ToPeer:
    """Sends a message to another instance; it is dropped if there is no connection."""

    instance: str
    envelope: Envelope


@dataclass(frozen=True)
class ConnectPeers:
    """Replaces the set of peers that this instance connects to."""

    instances: tuple[str, ...]


Outgoing = ToGateway | ToPeer | ConnectPeers


def check_peer_message(instance: str, envelope: Envelope) -> str | None:
    """Returns why ``instance`` may not send this message; None if it may.

    ``instance`` owns the key that authenticated the connection.
    """
    body = envelope.WhichOneof("body") or ""
    if envelope.sender.split("/")[0] != instance:
        return f"sender {envelope.sender!r} on the connection of {instance!r}"
    if body not in PEER_BODIES:
        return f"{body} is not a message between instances"
    field = _SENDER_FIELDS.get(body)
    if field is not None and getattr(getattr(envelope, body), field) != instance:
        return f"{body} names another instance on the connection of {instance!r}"
    return None


def check_gateway_message(instance: str, envelope: Envelope) -> str | None:
    """Returns why a gateway of ``instance`` may not send this message; None if it may."""
    body = envelope.WhichOneof("body") or ""
    if envelope.sender.split("/")[0] != instance:
        return f"sender {envelope.sender!r} on a gateway connection"
    return None if body in GATEWAY_BODIES else f"{body} is not a message from a gateway"


class Link(Task):
    """Owns all ZeroMQ sockets; checks the sender of each message against its CURVE key."""

    def __init__(self, settings: ControlSettings, inbox: Inbox, clock: Clock) -> None:
        super().__init__("link")
        self._settings = settings
        self._inbox = inbox
        self._outgoing: queue.SimpleQueue[Outgoing] = queue.SimpleQueue()
        self._wake_fd = os.eventfd(0, os.EFD_NONBLOCK)
        self._context = zmq.Context()
        self._peer_settings = {peer.instance: peer for peer in settings.peers}
        self._instances_by_key = {peer.public_key: peer.instance for peer in settings.peers}
        self._authenticator = Authenticator(
            self._context, [settings.keys.public_key, *self._instances_by_key]
        )
        self._peer_clients: dict[str, zmq.Socket] = {}
        # ROUTER identities of connections, by gateway sender name and by instance.
        self._gateway_identities: dict[str, bytes] = {}
        self._peer_identities: dict[str, bytes] = {}
        self._poller = zmq.Poller()
        self._gateway_socket: zmq.Socket
        self._peer_socket: zmq.Socket
        self._sequence = 0
        self._clock = clock
        self._rejected_count = 0
        self._rejection_logged_at = clock.monotonic() - REJECTION_LOG_INTERVAL_S

    @property
    def gateway_endpoint(self) -> str:
        """The endpoint that is bound for gateways."""
        return str(self._gateway_socket.get_string(zmq.LAST_ENDPOINT))

    @property
    def peer_endpoint(self) -> str:
        """The endpoint that is bound for peers."""
        return str(self._peer_socket.get_string(zmq.LAST_ENDPOINT))

    def start(self) -> None:
        """Binds both endpoints, then starts the thread; raises TransportError."""
        self._authenticator.start()
        try:
            self._gateway_socket = self._bind(self._settings.gateway_endpoint)
            self._peer_socket = self._bind(self._settings.peer_endpoint)
        except TransportError:
            self._authenticator.close()
            self._context.destroy(0)
            raise
        self._poller.register(self._wake_fd, zmq.POLLIN)
        super().start()

    def post(self, outgoing: Outgoing) -> None:
        """Queues a message for sending; may be called on any thread."""
        self._outgoing.put(outgoing)
        self.wake()

    def wake(self) -> None:
        """Ends the wait for messages."""
        os.eventfd_write(self._wake_fd, 1)

    def close(self) -> None:
        """Ends the thread and frees the sockets."""
        super().close()
        self._authenticator.close()
        self._context.destroy(0)
        os.close(self._wake_fd)

    def step(self) -> None:
        """Waits for events, sends queued messages and posts received ones to the inbox."""
        ready = dict(self._poller.poll(POLL_TIMEOUT_MS))
        if self._wake_fd in ready:
            os.eventfd_read(self._wake_fd)
        self._send_queued()
        if self._inbox.qsize() > MAX_INBOX_MESSAGES:
            # Backpressure: full sockets slow the senders down while the inbox stays bounded.
            self._stop.wait(BACKPRESSURE_PAUSE_S)
            return
        if self._gateway_socket in ready:
            self._receive_available(self._gateway_socket, self._receive_from_gateway)
        if self._peer_socket in ready:
            self._receive_available(self._peer_socket, self._receive_from_peer)
        for instance, client in list(self._peer_clients.items()):
            if client in ready:
                self._receive_available(client, partial(self._receive_from_peer_client, instance))

    def release(self) -> None:
        """Sends the messages that are still queued."""
        self._send_queued()

    def _bind(self, endpoint: str) -> zmq.Socket:
        socket = open_server(self._context, endpoint, self._settings.keys)
        # Makes sending to an unknown identity an error, so that the dropped message is counted.
        socket.setsockopt(zmq.ROUTER_MANDATORY, 1)
        self._poller.register(socket, zmq.POLLIN)
        return socket

    def _send_queued(self) -> None:
        while True:
            try:
                outgoing = self._outgoing.get_nowait()
            except queue.Empty:
                return
            if isinstance(outgoing, ConnectPeers):
                self._set_peers(outgoing.instances)
            else:
                self._send(outgoing)

    def _send(self, outgoing: ToGateway | ToPeer) -> None:
        self._sequence += 1
        envelope = outgoing.envelope
        envelope.sender = f"{self._settings.instance}/control"
        envelope.sequence = self._sequence
        frame = encode_envelope(envelope)
        try:
            if isinstance(outgoing, ToGateway):
                self._send_to_gateway(outgoing.gateway, frame)
            else:
                self._send_to_peer(outgoing.instance, frame)
        except zmq.ZMQError as error:
            MESSAGES_DROPPED.inc()
            log_event(_LOGGER, logging.DEBUG, Event.MESSAGE_DROPPED, f"message not sent: {error}")

    def _send_to_peer(self, instance: str, frame: bytes) -> None:
        if instance in self._peer_clients:
            self._peer_clients[instance].send(frame, zmq.NOBLOCK)
        elif instance in self._peer_identities:
            self._peer_socket.send_multipart([self._peer_identities[instance], frame], zmq.NOBLOCK)
        else:
            MESSAGES_DROPPED.inc()
            return
        PEER_BYTES.labels("sent").inc(len(frame))

    def _send_to_gateway(self, gateway: str, frame: bytes) -> None:
        identity = self._gateway_identities.get(gateway)
        if identity is None:
            MESSAGES_DROPPED.inc()
            return
        self._gateway_socket.send_multipart([identity, frame], zmq.NOBLOCK)

    def _set_peers(self, instances: tuple[str, ...]) -> None:
        for instance in set(self._peer_clients) - set(instances):
            client = self._peer_clients.pop(instance)
            self._poller.unregister(client)
            client.close()
        for instance in instances:
            peer = self._peer_settings.get(instance)
            if instance not in self._peer_clients and peer is not None:
                self._peer_clients[instance] = self._open_peer_client(peer)

    def _open_peer_client(self, peer: PeerSettings) -> zmq.Socket:
        client = open_client(
            self._context,
            peer.endpoint,
            peer.public_key,
            self._settings.keys,
            self._settings.instance,
            only_connected=True,
        )
        self._poller.register(client, zmq.POLLIN)
        return client

    def _receive_available(self, socket: zmq.Socket, receive: Callable[[zmq.Socket], None]) -> None:
        for _ in range(MAX_MESSAGES_PER_SOCKET):
            try:
                receive(socket)
            except zmq.Again:
                return
            except TransportError as error:
                self._record_rejection(str(error))

    def _record_rejection(self, reason: str) -> None:
        """Counts every rejection and logs one a second, so a faulty sender can't flood the log."""
        MESSAGES_REJECTED.inc()
        self._rejected_count += 1
        now = self._clock.monotonic()
        if now - self._rejection_logged_at >= REJECTION_LOG_INTERVAL_S:
            log_event(
                _LOGGER,
                logging.WARNING,
                Event.SENDER_REJECTED,
                f"message rejected: {reason}",
                rejected=self._rejected_count,
            )
            self._rejection_logged_at = now
            self._rejected_count = 0

    def _receive_from_gateway(self, socket: zmq.Socket) -> None:
        identity, key, frame = _receive(socket)
        if key != self._settings.keys.public_key:
            raise TransportError("gateway endpoint: the key is not this instance's")
        envelope = decode_envelope(frame)
        _raise_if_rejected(check_gateway_message(self._settings.instance, envelope))
        MESSAGES.labels(envelope.WhichOneof("body")).inc()
        if not _is_temporary_identity(identity):
            self._gateway_identities[envelope.sender] = identity
        self._inbox.put(GatewayMessage(envelope.sender, envelope))

    def _receive_from_peer(self, socket: zmq.Socket) -> None:
        identity, key, frame = _receive(socket)
        instance = self._instances_by_key.get(key)
        if instance is None:
            raise TransportError("peer endpoint: the key belongs to no peer")
        self._post_peer_message(instance, frame)
        if not _is_temporary_identity(identity):
            self._peer_identities[instance] = identity

    def _receive_from_peer_client(self, instance: str, socket: zmq.Socket) -> None:
        self._post_peer_message(instance, socket.recv(zmq.NOBLOCK))

    def _post_peer_message(self, instance: str, frame: bytes) -> None:
        envelope = decode_envelope(frame)
        _raise_if_rejected(check_peer_message(instance, envelope))
        MESSAGES.labels(envelope.WhichOneof("body")).inc()
        PEER_BYTES.labels("received").inc(len(frame))
        self._inbox.put(PeerMessage(instance, envelope))


def _receive(socket: zmq.Socket) -> tuple[bytes, str, bytes]:
    frames = socket.recv_multipart(zmq.NOBLOCK, copy=False)
    if len(frames) != 2:
        raise TransportError(f"expected a message of 2 frames, got {len(frames)}")
    try:
        key = str(frames[1].get("User-Id"))
    except zmq.ZMQError as error:
        raise TransportError("the message has no authenticated key") from error
    return frames[0].bytes, key, frames[1].bytes


def _is_temporary_identity(identity: bytes) -> bool:
    """Returns whether ZeroMQ generated this identity, which then starts with a zero byte.

    A connection gets such an identity when a newer one takes over its own. Its unread messages are
    still valid, but replies must go to the newer connection.
    """
    return identity.startswith(b"\0")


def _raise_if_rejected(rejection: str | None) -> None:
    if rejection is not None:
        raise TransportError(rejection)
