"""Validates a gateway's settings and fills in defaults."""

from dataclasses import dataclass

from ...errors import SettingsError
from ..ids import DataCentre, GatewayId
from ..schema.settings_pb2 import GatewaySettings

DEFAULT_WORKER_THREADS = 16
DEFAULT_MAX_BODY_BYTES = 16 * 1024 * 1024
DEFAULT_RELAY_BUFFER_BYTES = 256 * 1024
DEFAULT_PROGRESS_TIMEOUT_MS = 5000
DEFAULT_CONNECT_TIMEOUT_MS = 1000
DEFAULT_POLICY = "full"
POLICIES = ("full", "affinity", "least-loaded")


@dataclass(frozen=True)
class GatewayOptions:
    """Validated options of one gateway."""

    settings: GatewaySettings
    gateway: GatewayId
    instance: str
    data_centre: DataCentre
    worker_threads: int
    max_body_bytes: int
    relay_buffer_bytes: int
    progress_timeout_s: float
    connect_timeout_ms: int
    balancer_lag_s: float
    policy: str
    # This gateway's share of the bandwidth of each store's link; 0 disables stores.
    store_link_bytes_per_s: float


def read_options(settings: GatewaySettings) -> GatewayOptions:
    """Returns the options; raises SettingsError that lists all problems."""
    problems = [
        f"{name}: missing; {remedy}"
        for name, value, remedy in (
            ("instance", settings.instance, "set the instance's name"),
            ("data_centre", settings.data_centre, "set the data centre's name"),
            ("name", settings.name, "set a name such as gateway-0"),
            ("callers.host", settings.callers.host, "set the IP address to listen on"),
            ("admin.host", settings.admin.host, "set the IP address to listen on"),
            ("control_endpoint", settings.control_endpoint, "set the control process's endpoint"),
            ("control_public_key", settings.control_public_key, "set its public key"),
            ("keys.public_key", settings.keys.public_key, "set this instance's key pair"),
            ("keys.secret_key", settings.keys.secret_key, "set this instance's key pair"),
        )
        if not value
    ]
    problems += [
        f"{name}: must not be negative"
        for name, value in (
            ("worker_threads", settings.worker_threads),
            ("max_body_bytes", settings.max_body_bytes),
            ("relay_buffer_bytes", settings.relay_buffer_bytes),
            ("stream_progress_timeout_ms", settings.stream_progress_timeout_ms),
            ("connect_timeout_ms", settings.connect_timeout_ms),
            ("balancer_lag_ms", settings.balancer_lag_ms),
            ("store_link_bytes_per_second", settings.store_link_bytes_per_second),
        )
        if value < 0
    ]
    policy = settings.routing_policy or DEFAULT_POLICY
    if policy not in POLICIES:
        problems.append(f"routing_policy: {policy!r} is unknown; use one of {', '.join(POLICIES)}")
    if problems:
        raise SettingsError(problems)
    progress_ms = settings.stream_progress_timeout_ms or DEFAULT_PROGRESS_TIMEOUT_MS
    return GatewayOptions(
        settings=settings,
        gateway=GatewayId(f"{settings.instance}/{settings.name}"),
        instance=settings.instance,
        data_centre=DataCentre(settings.data_centre),
        worker_threads=settings.worker_threads or DEFAULT_WORKER_THREADS,
        max_body_bytes=settings.max_body_bytes or DEFAULT_MAX_BODY_BYTES,
        relay_buffer_bytes=settings.relay_buffer_bytes or DEFAULT_RELAY_BUFFER_BYTES,
        progress_timeout_s=progress_ms / 1000,
        connect_timeout_ms=settings.connect_timeout_ms or DEFAULT_CONNECT_TIMEOUT_MS,
        balancer_lag_s=settings.balancer_lag_ms / 1000,
        policy=policy,
        store_link_bytes_per_s=float(settings.store_link_bytes_per_second),
    )
