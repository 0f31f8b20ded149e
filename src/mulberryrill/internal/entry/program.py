"""The entry program: builds its parts, starts them, and shuts down without cutting calls off."""

import logging
import socket
import threading
from collections.abc import Callable
from typing import Protocol

import zmq

from ...errors import EntryError
from ..clock import Clock, SystemClock
from ..eventloop import EventLoop
from ..events import Event
from ..http.caller import InboundConnection
from ..http.listener import Listener, ProbeConnection
from ..http.messages import HttpRequest
from ..http.sockets import set_connection_options
from ..ids import DataCentre, InstanceId
from ..logs import log_event
from ..schema.settings_pb2 import EntrySettings
from .dialect import Dialect
from .dispatcher import Dispatcher
from .peers import Peer, PeerExchange
from .state import EntryState

# The balancer asks once a second and takes an instance out after two misses; callers that it still
# sends meanwhile are served.
BALANCER_LAG_S = 3.0
# Calls that still run this long before SIGKILL are ended, so that their callers get an answer.
KILL_MARGIN_S = 0.7
POLL_S = 0.05
_LOGGER = logging.getLogger(__name__)


class StoreTasks(Protocol):
    """The tasks that speak with the platform's store."""

    def start(self) -> None:
        """Begins to follow the store."""
        ...

    def close(self) -> None:
        """Stops."""
        ...


StoreTasksFactory = Callable[
    [EventLoop, Clock, EntrySettings, EntryState, PeerExchange], StoreTasks
]


class EntryProgram:
    """One entry process."""

    def __init__(
        self,
        settings: EntrySettings,
        dialect: Dialect,
        create_store_tasks: StoreTasksFactory,
        clock: Clock | None = None,
    ) -> None:
        self._settings = settings
        self._clock = clock or SystemClock()
        self._loop = EventLoop(self._clock, "entry")
        instance, data_centre = InstanceId(settings.instance), DataCentre(settings.data_centre)
        self._state = EntryState(self._loop, instance, data_centre, settings.bounds)
        self._dispatcher = Dispatcher(self._loop, settings, self._state, dialect)
        peer = Peer(instance, data_centre, settings.peer_address)
        self._peers = PeerExchange(self._loop, peer, self._state)
        self._state.on_peers_changed = self._peers.set_peers
        self._platform = create_store_tasks(
            self._loop, self._clock, settings, self._state, self._peers
        )
        self._callers = Listener(self._loop, settings.callers_address, self._accept_caller)
        self._readiness = Listener(self._loop, settings.readiness_address, self._accept_probe)
        self._metrics: Listener | None = None
        if settings.metrics_address:
            self._metrics = Listener(self._loop, settings.metrics_address, self._accept_metrics)
        self._is_stopping = False
        self._has_ended = False

    def start(self) -> None:
        """Opens the sockets and begins to follow the store."""
        started: list[Exception | None] = []
        done = threading.Event()

        def open_sockets() -> None:
            try:
                self._readiness.start()
                self._callers.start()
                if self._metrics is not None:
                    self._metrics.start()
                self._dispatcher.start()
                self._peers.start()
                self._platform.start()
                started.append(None)
            except (OSError, zmq.ZMQError) as error:
                started.append(error)
            done.set()

        self._loop.start()
        self._loop.post(open_sockets)
        done.wait()
        if started[0] is not None:
            raise EntryError(f"cannot listen: {started[0]}") from started[0]

    def close(self) -> None:
        """Fails readiness, serves on while the balancer notices, then finishes all calls."""
        stopped_at = self._clock.monotonic()
        kill_at = stopped_at + self._settings.bounds.grace_s - KILL_MARGIN_S
        self._loop.post(self._begin_stop)
        self._wait_until(lambda: False, min(stopped_at + BALANCER_LAG_S, kill_at))
        self._loop.post(self._callers.close)
        self._loop.post(self._dispatcher.close_idle_callers)
        self._wait_until(lambda: self._dispatcher.running_calls == 0, kill_at)
        self._end()

    def reload(self, settings: EntrySettings) -> None:
        """Uses new time bounds and limits; addresses and names count from the next start."""
        self._loop.post(lambda: self._settings.bounds.CopyFrom(settings.bounds))

    def abort(self) -> None:
        """Ends at once; open connections are closed. Has no effect after ``close``."""
        if self._has_ended:
            return
        self._loop.post(self._callers.close)
        self._end()

    def _end(self) -> None:
        self._has_ended = True
        self._loop.post(self._finish)
        self._loop.close()

    @property
    def state(self) -> EntryState:
        """What this instance believes; owned by the loop's thread."""
        return self._state

    def _wait_until(self, is_done: Callable[[], bool], end: float) -> None:
        while self._clock.monotonic() < end and not is_done():
            threading.Event().wait(POLL_S)

    def _begin_stop(self) -> None:
        self._is_stopping = True
        self._dispatcher.stop()
        log_event(
            _LOGGER,
            logging.INFO,
            Event.GATEWAY_DRAINING,
            "readiness fails from now on",
            running=self._dispatcher.running_calls,
        )

    def _finish(self) -> None:
        self._platform.close()
        self._peers.close()
        self._dispatcher.close()
        self._readiness.close()
        if self._metrics is not None:
            self._metrics.close()

    def _accept_caller(self, sock: socket.socket) -> None:
        set_connection_options(sock)
        self._dispatcher.add_caller(InboundConnection(self._loop, sock, self._dispatcher))

    def _accept_probe(self, sock: socket.socket) -> None:
        ProbeConnection(self._loop, sock, self._answer_probe)

    def _accept_metrics(self, sock: socket.socket) -> None:
        ProbeConnection(self._loop, sock, lambda _: (200, self._dispatcher.render_metrics()))

    def _answer_probe(self, request: HttpRequest) -> tuple[int, bytes]:
        is_ready = self._state.is_ready and not self._is_stopping
        return (200, b"ready\n") if is_ready else (503, b"not ready\n")
