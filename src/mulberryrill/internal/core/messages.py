"""Data types that the modules of the core and the gateway exchange."""

from dataclasses import dataclass, field
from enum import Enum

from ..ids import (
    CustomerName,
    DataCentre,
    Incarnation,
    Offset,
    PoolName,
    RequestId,
    ServiceName,
    TargetId,
)


class MemberState(Enum):
    """Whether a listed instance or target takes new work."""

    LIVE = "live"
    LEAVING = "leaving"


class Priority(Enum):
    """Scheduling priority; a lower value is served first."""

    INTERACTIVE = 1
    BATCH = 2


@dataclass(frozen=True)
class TargetState:
    """State of a target, merged from the member list and its watcher's report."""

    target: TargetId
    data_centre: DataCentre
    pool: PoolName
    address: str
    state: MemberState
    incarnation: Incarnation
    healthy: bool
    running: int
    waiting: int
    max_concurrency: int
    # (model name, version) pairs that the target has loaded.
    models: frozenset[tuple[str, str]] = frozenset()


@dataclass(frozen=True)
class CostWeights:
    """Relative costs of a second of waiting, recomputation or link use, from the document."""

    time_to_first_token: float = 1.0
    recomputation: float = 0.0
    link: float = 0.0


@dataclass(frozen=True)
class StoredPrefix:
    """The longest prefix of a prompt that one store holds: its first ``blocks`` blocks."""

    # Base URL of the store.
    store: str
    blocks: int
    size_bytes: int


@dataclass(frozen=True)
class RoutingRequest:
    """A request as the router sees it. ``model`` is empty for plain services."""

    request_id: RequestId
    service: ServiceName
    customer: CustomerName
    pool: PoolName
    model: str
    version: str
    block_keys: tuple[bytes, ...]
    prompt_tokens: int
    priority: Priority
    weights: CostWeights = field(default_factory=CostWeights)
    # Targets on which this request was already tried.
    excluded: frozenset[TargetId] = frozenset()
    # Prefixes of this prompt that stores are known to hold.
    stored_prefixes: tuple[StoredPrefix, ...] = ()


@dataclass(frozen=True)
class RejectedTarget:
    """A candidate target that the router did not choose, with the reason."""

    target: TargetId
    reason: str


@dataclass(frozen=True)
class RoutingDecision:
    """The router's decision; ``target`` is None if no target can take the request now."""

    target: TargetState | None
    reason: str
    rejected: tuple[RejectedTarget, ...] = ()
    # Prefix that the target is to import; its bytes are already taken from the link budget.
    planned_import: StoredPrefix | None = None


@dataclass(frozen=True)
class QueueItem:
    """A request that waits for a target. Times are seconds of the event loop's clock."""

    request: RoutingRequest
    arrived_at: float
    # Latest time at which the request may still be started.
    deadline: float


@dataclass(frozen=True)
class Record:
    """One record of the platform's log; ``time_ms`` is the platform's Unix time."""

    offset: Offset
    time_ms: int
    data: bytes
