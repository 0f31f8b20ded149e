"""The gateway program: creates and starts its components; shuts down without cutting calls."""

import logging
import secrets
import threading

from prometheus_client import CONTENT_TYPE_LATEST
from werkzeug.wrappers import Request, Response

from ...errors import GatewayError
from ..clock import Clock, SystemClock
from ..core.admission import AdmissionQueue
from ..core.quarantine import Quarantine
from ..core.routing import Router, create_policy
from ..core.slots import GatewaySlots
from ..core.snapshot import SnapshotHolder
from ..events import Event
from ..http.server import HttpServer, create_problem
from ..logs import log_event
from ..schema.settings_pb2 import GatewaySettings
from ..schema.wire_pb2 import Envelope, SnapshotAck, SnapshotUpdate
from .dispatcher import CoreComponents, Dispatcher
from .frontend import FrontEnd
from .history import GatewayHistory
from .link import ControlLink
from .loop import RelayLoop
from .metrics import GatewayMetrics
from .options import GatewayOptions, read_options

ADMIN_THREADS = 2
# The loop begins an iteration at least twice a second; the gateway is unhealthy after this time
# without one.
LOOP_STALL_LIMIT_S = 5.0
IDLE_POLL_INTERVAL_S = 0.05
BLOCK_SECRET_BYTES = 32
_LOGGER = logging.getLogger(__name__)


class GatewayProgram:
    """One gateway process."""

    def __init__(
        self,
        settings: GatewaySettings,
        clock: Clock | None = None,
    ) -> None:
        self._clock = clock or SystemClock()
        self._options = read_options(settings)
        options = self._options
        self._snapshot_holder = SnapshotHolder()
        self._metrics = GatewayMetrics()
        self._history = GatewayHistory(settings.history_file, options.gateway, self._clock)
        self._loop = RelayLoop(self._clock)
        self._link = ControlLink(settings, options.gateway, self._on_message)
        self._dispatcher = Dispatcher(
            self._loop,
            self._clock,
            options,
            create_core_components(options),
            self._history,
            self._metrics,
            self._link.send,
        )
        self._front_end = FrontEnd(
            self._loop,
            self._clock,
            lambda: self._snapshot_holder.current,
            self._dispatcher.submit,
        )
        self._server = HttpServer(
            settings.callers,
            self._front_end.handle,
            options.worker_threads,
            loop=self._loop,
            keeps_connections=True,
            max_body_bytes=options.max_body_bytes,
            max_buffered_bytes=options.relay_buffer_bytes,
        )
        self._front_end.server = self._server
        self._admin = HttpServer(settings.admin, self._handle_admin, ADMIN_THREADS)
        self._is_stopping = threading.Event()

    @property
    def port(self) -> int:
        """The bound port for callers."""
        return self._server.port

    @property
    def admin_port(self) -> int:
        """The bound admin port."""
        return self._admin.port

    def start(self) -> None:
        """Starts threads and servers. The gateway is ready once its snapshot is marked ready."""
        self._dispatcher.start()
        self._loop.start()
        self._link.start()
        try:
            self._admin.start()
            self._server.start()
        except OSError as error:
            raise GatewayError(f"cannot listen: {error}") from error

    def close(self) -> None:
        """Fails readiness, waits for the load balancer, stops accepting, and finishes all calls.

        Calling it again has no effect.
        """
        if self._is_stopping.is_set():
            return
        self._is_stopping.set()
        log_event(
            _LOGGER,
            logging.INFO,
            Event.GATEWAY_DRAINING,
            "shutting down: readiness checks fail from now on",
        )
        threading.Event().wait(self._options.balancer_lag_s)
        self._server.close()
        while self._is_busy():
            threading.Event().wait(IDLE_POLL_INTERVAL_S)
        self._loop.close()
        self._link.close()
        self._admin.close()
        self._history.close()

    def _is_busy(self) -> bool:
        """Returns whether calls are open; counts on the loop, to include calls just submitted."""
        counted = threading.Event()
        counts: list[int] = []

        def count() -> None:
            counts.append(self._dispatcher.active_call_count + self._loop.watched_count)
            counted.set()

        self._loop.post(count)
        return not counted.wait(LOOP_STALL_LIMIT_S) or counts[0] > 0

    def _on_message(self, envelope: Envelope) -> None:
        """Passes a message from the control process to the loop; runs on the link's thread."""
        kind = envelope.WhichOneof("body")
        if kind == "snapshot_update":
            self._loop.post(lambda: self._apply_snapshot(envelope.snapshot_update))
        elif kind == "grant_update":
            self._loop.post(lambda: self._dispatcher.on_grant(envelope.grant_update))
        elif kind == "claim_reply":
            self._loop.post(lambda: self._dispatcher.on_claim_reply(envelope.claim_reply))
        else:
            log_event(
                _LOGGER, logging.WARNING, Event.MESSAGE_REJECTED, f"unexpected message {kind}"
            )

    def _apply_snapshot(self, update: SnapshotUpdate) -> None:
        if not self._snapshot_holder.apply(update):
            log_event(
                _LOGGER,
                logging.INFO,
                Event.GATEWAY_SNAPSHOT_REFUSED,
                f"snapshot version {update.version} is older than the one in use",
            )
            return
        snapshot = self._snapshot_holder.current
        for problem in snapshot.problems:
            log_event(_LOGGER, logging.ERROR, Event.GATEWAY_DOCUMENT_UNREADABLE, problem)
        self._metrics.snapshot_offset.set(snapshot.folded_offset)
        self._dispatcher.on_snapshot(snapshot)
        ack = SnapshotAck(gateway=self._options.gateway, version=snapshot.version)
        self._link.send(Envelope(snapshot_ack=ack))

    def _handle_admin(self, request: Request) -> Response:
        if request.path == "/metrics":
            return Response(self._metrics.render(), content_type=CONTENT_TYPE_LATEST)
        if request.path == "/healthz":
            is_ok = self._clock.monotonic() - self._loop.last_iteration_at < LOOP_STALL_LIMIT_S
            return _create_health_response(is_ok, "the relay loop does not turn")
        if request.path == "/readyz":
            if self._is_stopping.is_set():
                return _create_health_response(False, "the gateway is stopping")
            return _create_health_response(
                self._snapshot_holder.current.ready, "no configuration yet"
            )
        return create_problem(404, "Not found", "Use /healthz, /readyz or /metrics.")


def _create_health_response(is_ok: bool, problem: str) -> Response:
    return Response("ok\n" if is_ok else f"{problem}\n", status=200 if is_ok else 503)


def create_core_components(options: GatewayOptions) -> CoreComponents:
    """Creates the objects of the core package that one gateway needs."""
    secret = options.settings.cache_key_secret
    return CoreComponents(
        router=Router(create_policy(options.policy), options.data_centre, options.settings.seed),
        slots=GatewaySlots(max_instances=1),
        admission=AdmissionQueue(),
        quarantine=Quarantine(),
        block_secret=bytes.fromhex(secret) or secrets.token_bytes(BLOCK_SECRET_BYTES),
    )
