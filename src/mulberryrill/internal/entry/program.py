"""The entry program: builds its components, starts them and shuts down gracefully."""

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
from ..http.listener import Listener, ProbeConnections
from ..http.messages import HttpRequest
from ..http.sockets import set_connection_options
from ..ids import DataCentre, InstanceId
from ..logs import log_event
from ..schema.settings_pb2 import EntrySettings
from .dialect import Dialect
from .dispatcher import Dispatcher
from .peers import Peer, PeerExchange
from .state import EntryState

# The load balancer probes readiness once a second and removes an instance after two failures; until
# then the instance serves the callers that are still sent to it. Calls that begin within 3 s of the
# signal may be cut off at the end of the grace period, later ones may not, hence a little less.
BALANCER_LAG_S = 2.8
# Calls that are still running this long before SIGKILL are ended, so that their callers learn of it
# before the process is killed.
KILL_MARGIN_S = 0.7
# Of that time, the part in which callers can still read the responses to calls that were ended.
FLUSH_S = 0.3
# Connections without a request stay open this long after the last one was accepted, because their
# first request may be on its way. It is refused: a call that begins so late may not end in time.
IDLE_GRACE_S = 0.5
POLL_INTERVAL_S = 0.05
_LOGGER = logging.getLogger(__name__)


class StoreTasks(Protocol):
    """The tasks that communicate with the platform's store and targets."""

    def start(self) -> None:
        """Starts the tasks."""
        ...

    def close(self) -> None:
        """Stops the tasks."""
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
        self._peer_exchange = PeerExchange(self._loop, peer, self._state)
        self._state.on_peers_changed = self._peer_exchange.set_peers
        self._state.publish_end = self._peer_exchange.publish_end
        self._store_tasks = create_store_tasks(
            self._loop, self._clock, settings, self._state, self._peer_exchange
        )
        self._caller_listener = Listener(
            self._loop, settings.callers_address, self._accept_connection
        )
        self._caller_listener.on_exhausted = self._dispatcher.free_descriptor
        probes = ProbeConnections(self._loop, self._handle_probe)
        self._readiness_listener = Listener(self._loop, settings.readiness_address, probes.add)
        self._readiness_listener.on_exhausted = self._dispatcher.free_descriptor
        self._metrics_listener: Listener | None = None
        if settings.metrics_address:
            scrapes = ProbeConnections(
                self._loop, lambda _: (200, self._dispatcher.render_metrics())
            )
            self._metrics_listener = Listener(self._loop, settings.metrics_address, scrapes.add)
        self._is_stopping = False
        self._has_ended = False

    def start(self) -> None:
        """Opens the sockets and starts the tasks; raises EntryError if that fails."""
        results: list[Exception | None] = []
        done = threading.Event()

        def open_sockets() -> None:
            try:
                self._readiness_listener.start()
                self._caller_listener.start()
                if self._metrics_listener is not None:
                    self._metrics_listener.start()
                self._dispatcher.start()
                self._peer_exchange.start()
                self._store_tasks.start()
                results.append(None)
            except (OSError, zmq.ZMQError) as error:
                results.append(error)
            done.set()

        self._loop.start()
        self._loop.post(open_sockets)
        done.wait()
        if results[0] is not None:
            raise EntryError(f"cannot listen: {results[0]}") from results[0]

    def close(self) -> None:
        """Fails readiness, keeps serving until the load balancer reacts, then drains all calls.

        Requests that arrive after that are refused as not run.
        """
        stopped_at = self._clock.monotonic()
        kill_at = stopped_at + self._settings.bounds.grace_s - KILL_MARGIN_S
        self._loop.post(self._begin_stop)
        self._wait_until(lambda: False, min(stopped_at + BALANCER_LAG_S, kill_at))
        self._loop.post(self._dispatcher.refuse_requests)
        self._loop.post(self._caller_listener.close)
        idle_grace_ends_at = min(self._clock.monotonic() + IDLE_GRACE_S, kill_at)
        self._wait_until(lambda: False, idle_grace_ends_at)
        self._loop.post(self._dispatcher.close_idle_connections)
        self._wait_until(lambda: self._dispatcher.active_connections == 0, kill_at)
        if self._dispatcher.running_calls:
            self._loop.post(self._dispatcher.end_calls)
            self._wait_until(lambda: self._dispatcher.unsent_bytes == 0, kill_at + FLUSH_S)
        self._end()

    def reload(self, settings: EntrySettings) -> None:
        """Applies new bounds; changes of addresses and names take effect at the next start."""
        self._loop.post(lambda: self._settings.bounds.CopyFrom(settings.bounds))

    def abort(self) -> None:
        """Closes all connections at once and ends. Has no effect after ``close``."""
        if self._has_ended:
            return
        self._loop.post(self._caller_listener.close)
        self._end()

    def _end(self) -> None:
        self._has_ended = True
        self._loop.post(self._close_components)
        self._loop.close()

    @property
    def state(self) -> EntryState:
        """This instance's state; to be used on the event loop's thread only."""
        return self._state

    def _wait_until(self, is_done: Callable[[], bool], deadline: float) -> None:
        while self._clock.monotonic() < deadline and not is_done():
            threading.Event().wait(POLL_INTERVAL_S)

    def _begin_stop(self) -> None:
        self._is_stopping = True
        self._dispatcher.stop()
        log_event(
            _LOGGER,
            logging.INFO,
            Event.GATEWAY_DRAINING,
            "stopping: readiness probe now fails",
            running=self._dispatcher.running_calls,
        )

    def _close_components(self) -> None:
        self._store_tasks.close()
        self._peer_exchange.close()
        self._dispatcher.close()
        self._readiness_listener.close()
        if self._metrics_listener is not None:
            self._metrics_listener.close()

    def _accept_connection(self, sock: socket.socket) -> None:
        set_connection_options(sock)
        self._dispatcher.add_connection(InboundConnection(self._loop, sock, self._dispatcher))

    def _handle_probe(self, request: HttpRequest) -> tuple[int, bytes]:
        is_ready = self._state.is_ready and not self._is_stopping
        return (200, b"ready\n") if is_ready else (503, b"not ready\n")
