"""The control process: creates its tasks from the settings, starts and stops them."""

import time
from collections.abc import Sequence

from ...errors import SettingsError
from ..clock import Clock, SystemClock
from ..core.claimfold import ClaimFold
from ..core.claims import ClaimTask
from ..core.configuration import ConfigurationFold
from ..core.membership import Membership
from ..core.quarantine import Quarantine
from ..core.slotholder import SlotHolder
from ..core.slots import SlotClient
from ..http.server import HttpServer
from ..ids import DataCentre, InstanceId
from ..platform.listclient import ListClient
from ..platform.logclient import LogClient
from ..schema.settings_pb2 import ControlSettings
from ..schema.wire_pb2 import Member, MemberKind, MemberState
from ..settings.documents import MAX_DOCUMENT_BYTES
from .admin import AdminApi
from .claims import list_claim_streams
from .documents import CONFIGURATION_STREAM
from .follower import Follower
from .history import ControlHistory
from .link import Link
from .lister import Lister
from .main import Core, MainTask, Outputs
from .messages import AppendRequest, Inbox
from .operators import OperatorApi
from .task import Task
from .watcher import Watcher
from .writer import Writer

DEFAULT_LIST_LAG_MS = 5_000
DEFAULT_RETENTION_MS = 7 * 24 * 3_600_000
DEFAULT_KEY_WINDOW_MS = 3_600_000
OPERATOR_THREADS = 16
ADMIN_THREADS = 2
# How long a stopping process waits for outcomes and orders to be appended to the log.
FLUSH_TIMEOUT_S = 3.0
FLUSH_POLL_INTERVAL_S = 0.05


def check_control_settings(settings: ControlSettings) -> None:
    """Raises SettingsError that lists all problems and how to fix them."""
    problems = [
        f"{name}: is missing; set it"
        for name in (
            "instance",
            "data_centre",
            "peer_endpoint",
            "gateway_endpoint",
            "log_url",
            "list_url",
            "gateway_url",
        )
        if not getattr(settings, name)
    ]
    if settings.max_instances < 1:
        problems.append(
            "max_instances: set it to the maximum number of entry instances in this data centre"
        )
    if "/" in settings.instance:
        problems.append("instance: must not contain '/'; choose another name")
    if not settings.keys.public_key or not settings.keys.secret_key:
        problems.append("keys: public_key and secret_key are required; create a CURVE key pair")
    retention_ms = settings.retention_ms or DEFAULT_RETENTION_MS
    if (settings.key_window_ms or DEFAULT_KEY_WINDOW_MS) >= retention_ms:
        problems.append("key_window_ms: must be shorter than retention_ms, or claims are lost")
    keys = [peer.public_key for peer in settings.peers]
    names = [peer.instance for peer in settings.peers]
    if len(set(keys)) != len(keys) or len(set(names)) != len(names):
        problems.append("peers: each instance needs a unique name and a unique key pair")
    if settings.keys.public_key in keys:
        problems.append("peers: must not contain this instance; remove it")
    if problems:
        raise SettingsError([f"settings: {problem}" for problem in problems])


class ControlProgram:
    """All tasks and HTTP servers of one control process."""

    def __init__(self, settings: ControlSettings, clock: Clock | None = None) -> None:
        """Raises SettingsError if the settings are invalid."""
        check_control_settings(settings)
        self._settings = settings
        self._clock = clock or SystemClock()
        self._inbox: Inbox = Inbox()
        self._closed = False
        process = f"{settings.instance}/control"
        self._history = ControlHistory(settings.history_file, process, self._clock)
        self._link = Link(settings, self._inbox, self._clock)
        self._writer = self._create_writer("writer")
        self._claim_streams = list_claim_streams(settings.claim_streams)
        self._claim_writers = {
            stream: self._create_writer(f"writer-{stream}") for stream in self._claim_streams
        }
        self._watcher = Watcher(self._inbox, self._clock, settings.site_ca_file)
        self._lister = Lister(self._build_member(), self._open_list, self._inbox)
        self._main = MainTask(
            settings,
            self._create_core(),
            self._create_outputs(),
            self._inbox,
            self._history,
            self._clock,
        )
        self._tasks: list[Task] = [
            self._main,
            self._writer,
            *self._claim_writers.values(),
            *(
                Follower(stream, self._open_log, self._inbox, self._clock)
                for stream in (CONFIGURATION_STREAM, *self._claim_streams)
            ),
            self._watcher,
            self._lister,
        ]
        self._servers = self._create_servers()

    @property
    def link(self) -> Link:
        """The ZeroMQ task, which has the bound endpoints."""
        return self._link

    @property
    def ports(self) -> tuple[int, int]:
        """The bound TCP ports of the operator API and the admin API."""
        return self._servers[0].port, self._servers[1].port

    def start(self) -> None:
        """Binds all addresses, then starts the tasks; raises TransportError or OSError."""
        self._link.start()
        try:
            for server in self._servers:
                server.start()
        except OSError:
            self._link.close()
            raise
        for task in self._tasks:
            task.start()

    def close(self) -> None:
        """Announces the stop, flushes pending appends, then ends all tasks."""
        if self._closed:
            return
        self._closed = True
        self._main.leave()
        self._lister.leave()
        self._flush()
        for server in self._servers:
            server.close()
        for task in self._tasks:
            task.stop()
        for task in self._tasks:
            task.close()
        self._link.close()
        self._history.close()

    def _flush(self) -> None:
        deadline = self._clock.monotonic() + FLUSH_TIMEOUT_S
        while self._main.count_unlogged() + self._writer.count_pending():
            if self._clock.monotonic() >= deadline:
                return
            time.sleep(FLUSH_POLL_INTERVAL_S)

    def _create_core(self) -> Core:
        settings = self._settings
        instance, data_centre = InstanceId(settings.instance), DataCentre(settings.data_centre)
        now = self._clock.monotonic()
        list_lag_s = (settings.list_lag_ms or DEFAULT_LIST_LAG_MS) / 1000
        key_window_ms = settings.key_window_ms or DEFAULT_KEY_WINDOW_MS
        operators = frozenset(operator.name for operator in settings.site_operators)
        retention_ms = settings.retention_ms or DEFAULT_RETENTION_MS
        return Core(
            fold=ConfigurationFold(operators, retention_ms),
            retention_s=retention_ms / 1000,
            membership=Membership(instance, data_centre),
            slot_client=SlotClient(instance, settings.max_instances, now),
            slot_holder=SlotHolder(instance, data_centre, settings.max_instances, list_lag_s, now),
            quarantine=Quarantine(),
            claims=[ClaimTask(ClaimFold(key_window_ms), instance) for _ in self._claim_streams],
        )

    def _create_outputs(self) -> Outputs:
        return Outputs(
            send=self._link.post,
            append=self._writer.post,
            append_claims=self._append_claims,
            set_polled_targets=self._watcher.set_targets,
        )

    def _append_claims(self, request: AppendRequest) -> None:
        self._claim_writers[request.stream].post(request)

    def _create_writer(self, name: str) -> Writer:
        return Writer(name, self._open_log, self._inbox, self._clock)

    def _open_log(self) -> LogClient:
        return LogClient(self._settings.log_url, self._settings.site_ca_file)

    def _open_list(self) -> ListClient:
        return ListClient(self._settings.list_url, self._settings.site_ca_file)

    def _build_member(self) -> Member:
        return Member(
            id=self._settings.instance,
            kind=MemberKind.entry,
            data_centre=self._settings.data_centre,
            address=self._settings.gateway_url,
            state=MemberState.live,
        )

    def _create_servers(self) -> Sequence[HttpServer]:
        settings = self._settings
        data_centres = {peer.data_centre for peer in settings.peers} | {settings.data_centre}
        operator_api = OperatorApi(
            list(settings.site_operators), frozenset(data_centres), self._inbox
        )
        admin_api = AdminApi(self._main.is_healthy, self._main.is_ready)
        return (
            HttpServer(
                settings.operators,
                operator_api.handle,
                OPERATOR_THREADS,
                keeps_connections=True,
                max_body_bytes=MAX_DOCUMENT_BYTES,
            ),
            HttpServer(settings.admin, admin_api.handle, ADMIN_THREADS),
        )
