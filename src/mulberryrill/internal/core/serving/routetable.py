"""The active configuration: routes, services, customers and limits for callers."""

from collections import defaultdict
from dataclasses import dataclass, field
from enum import Enum

from ...ids import CustomerName, DataCentre, ModelName, ServiceName


class CallKind(Enum):
    """Whether a call may be retried after it was sent to a target, and whether it streams."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


@dataclass(frozen=True)
class WeightedService:
    """One service of a route and its weight among the route's services."""

    service: ServiceName
    weight: float


@dataclass(frozen=True)
class Route:
    """Destination and time limits of the calls to a host and path prefix."""

    name: str
    host: str
    path_prefix: str
    kind: CallKind
    services: tuple[WeightedService, ...]
    timeout_s: float
    # Time within which a response (of a stream: its first event) counts as on time.
    latency_objective_s: float
    # 0 is the most urgent.
    priority: int
    max_attempts: int
    # Public routes need no API key.
    is_public: bool
    # Whether calls state a model and the parts of their prompt.
    has_prompt: bool
    is_resumable: bool
    # Longest gap between two events of a stream that counts as on time; 0: no limit.
    max_event_gap_s: float

    @property
    def is_repeatable(self) -> bool:
        """Whether a call may be retried after an attempt that may have run."""
        return self.kind is CallKind.IDEMPOTENT or (
            self.kind is CallKind.STREAM and self.is_resumable
        )


# Used where the configuration does not state the size of a token's KV cache entry.
DEFAULT_TOKEN_BYTES = 18_432


@dataclass(frozen=True)
class EngineProfile:
    """Capacity of each model engine of a service."""

    slots: int
    # Total tokens of running calls and cached prompt parts.
    cache_tokens: int
    # Concurrent event polls that an engine holds open, over all instances.
    max_event_polls: int
    # Size of one token's KV cache entry.
    token_bytes: int = DEFAULT_TOKEN_BYTES


@dataclass(frozen=True)
class StoreProfile:
    """Address and capacity of one KV cache store."""

    address: str
    data_centre: DataCentre
    cache_tokens: int
    link_bits_per_s: float
    # Fixed time that each transfer takes in addition to that of its bytes.
    transfer_setup_s: float
    max_event_polls: int


@dataclass(frozen=True)
class Service:
    """A pool of targets, or a KV cache store."""

    name: ServiceName
    # Connections that each target accepts from all instances together; 0: no limit.
    max_connections: int = 0
    cold_duration_s: float = 0.0
    # Calls per second that a cold target tolerates, over all instances; 0: targets are never cold.
    cold_rate: float = 0.0
    engine: EngineProfile | None = None
    store: StoreProfile | None = None


@dataclass(frozen=True)
class Customer:
    """A customer whose API keys are accepted."""

    name: CustomerName
    # Overrides the route's priority; None: no override.
    priority: int | None = None
    # Whether the customer shares no cached prompt parts with others.
    is_isolated: bool = False


@dataclass(frozen=True)
class CallerLimits:
    """Limits on the size and duration of callers' requests."""

    max_head_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    head_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True)
class RouteTable:
    """One version of the configuration. A lookup costs a few dictionary reads."""

    version: int
    routes: tuple[Route, ...]
    services: dict[ServiceName, Service]
    customers_by_api_key: dict[str, Customer]
    # False if the configuration has no customers: calls then need no API key.
    requires_api_keys: bool
    limits: CallerLimits = CallerLimits()
    _prefixes: dict[str, dict[str, Route]] = field(init=False, repr=False, compare=False)

    def __post_init__(self) -> None:
        prefixes: dict[str, dict[str, Route]] = defaultdict(dict)
        for route in self.routes:
            prefixes[route.host][route.path_prefix] = route
        object.__setattr__(self, "_prefixes", dict(prefixes))

    def find_route(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest prefix of the path; prefixes end with a slash."""
        prefixes = self._prefixes.get(host)
        if prefixes is None:
            return None
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
        return None

    def list_stores(self) -> list[Service]:
        """Returns the KV cache stores, sorted by name."""
        return sorted((s for s in self.services.values() if s.store), key=lambda s: s.name)


@dataclass(frozen=True)
class Prompt:
    """The prompt of a model call, as described by its caller."""

    model: ModelName
    prompt_tokens: int
    max_output_tokens: int
    # (part id, tokens) in the prompt's order.
    parts: tuple[tuple[str, int], ...]

    @property
    def total_tokens(self) -> int:
        """Tokens that the call occupies in its target's memory when it ends."""
        return self.prompt_tokens + self.max_output_tokens
