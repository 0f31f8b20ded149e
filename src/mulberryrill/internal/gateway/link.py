"""The control link: a thread that exchanges messages with the instance's control process."""

import itertools
import logging
import os
import threading
from collections import deque
from collections.abc import Callable

import zmq

from ...errors import TransportError
from ..events import Event
from ..logs import log_event
from ..schema.settings_pb2 import GatewaySettings
from ..schema.wire_pb2 import Envelope
from ..transport import decode_envelope, encode_envelope, open_client

POLL_TIMEOUT_MS = 500
# Messages queued while the socket is blocked; beyond this, the oldest are dropped.
MAX_QUEUED_MESSAGES = 10_000
_LOGGER = logging.getLogger(__name__)


class ControlLink:
    """Owns the ZeroMQ socket. ``send`` may be called from any thread."""

    def __init__(
        self, settings: GatewaySettings, sender: str, on_message: Callable[[Envelope], None]
    ) -> None:
        self._settings = settings
        self._sender = sender
        self._on_message = on_message
        self._context = zmq.Context()
        self._queue: deque[Envelope] = deque(maxlen=MAX_QUEUED_MESSAGES)
        self._sequence = itertools.count(1)
        self._wake_fd = os.eventfd(0, os.EFD_NONBLOCK | os.EFD_CLOEXEC)
        self._wake_lock = threading.Lock()
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, name="control-link", daemon=True)

    def start(self) -> None:
        """Starts the thread, which connects and reconnects without limit."""
        self._thread.start()

    def close(self) -> None:
        """Sends queued messages and stops the thread."""
        with self._wake_lock:
            self._stop.set()
            os.eventfd_write(self._wake_fd, 1)
        self._thread.join()
        self._context.destroy(linger=200)
        os.close(self._wake_fd)

    def send(self, envelope: Envelope) -> None:
        """Queues a message; sender and sequence number are set when it is sent."""
        self._queue.append(envelope)
        with self._wake_lock:
            if not self._stop.is_set():
                os.eventfd_write(self._wake_fd, 1)

    def _run(self) -> None:
        settings = self._settings
        socket = open_client(
            self._context,
            settings.control_endpoint,
            settings.control_public_key,
            settings.keys,
            self._sender,
        )
        poller = zmq.Poller()
        poller.register(socket, zmq.POLLIN)
        poller.register(self._wake_fd, zmq.POLLIN)
        while not self._stop.is_set():
            try:
                self._run_once(socket, poller)
            except Exception as error:  # Without this thread, the gateway gets no messages.
                log_event(_LOGGER, logging.ERROR, Event.TASK_FAILED, f"control link: {error!r}")
                self._stop.wait(0.1)
        self._send_queued(socket)
        socket.close(linger=200)

    def _run_once(self, socket: zmq.Socket, poller: zmq.Poller) -> None:
        ready = dict(poller.poll(POLL_TIMEOUT_MS))
        if self._wake_fd in ready:
            os.eventfd_read(self._wake_fd)
        self._send_queued(socket)
        while True:
            try:
                frame = socket.recv(zmq.NOBLOCK)
            except zmq.Again:
                return
            self._receive(frame)

    def _send_queued(self, socket: zmq.Socket) -> None:
        while self._queue:
            envelope = self._queue[0]
            envelope.sender = self._sender
            envelope.sequence = next(self._sequence)
            try:
                socket.send(encode_envelope(envelope), zmq.NOBLOCK)
            except zmq.Again:
                return
            self._queue.popleft()

    def _receive(self, frame: bytes) -> None:
        try:
            envelope = decode_envelope(frame)
        except TransportError as error:
            log_event(_LOGGER, logging.WARNING, Event.MESSAGE_REJECTED, str(error))
            return
        self._on_message(envelope)
