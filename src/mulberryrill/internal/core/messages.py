"""Typed messages of the decision core."""

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
    """Order of service; a lower value goes first."""

    INTERACTIVE = 1
    BATCH = 2


@dataclass(frozen=True)
class TargetState:
    """What is known of a target, merged from the list and its watcher."""

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
    """Relative cost of one second of each kind, from the service's document."""

    time_to_first_token: float = 1.0
    recomputation: float = 0.0
    link: float = 0.0


@dataclass(frozen=True)
class StoredPrefix:
    """The longest part of a prompt that one store holds: its first ``blocks`` blocks."""

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
    # Targets already tried by this request.
    excluded: frozenset[TargetId] = frozenset()
    # What stores are known to hold of this prompt.
    stored_prefixes: tuple[StoredPrefix, ...] = ()


@dataclass(frozen=True)
class Rejection:
    """Why a candidate target was not chosen."""

    target: TargetId
    reason: str


@dataclass(frozen=True)
class RoutingDecision:
    """The router's decision; ``target`` is None if no candidate fits now."""

    target: TargetState | None
    reason: str
    rejected: tuple[Rejection, ...] = ()
    # The blocks that the target is to import; their bytes are already taken from the link budget.
    planned_import: StoredPrefix | None = None


@dataclass(frozen=True)
class QueueItem:
    """A request that waits for a target. Times are seconds of the runtime's clock."""

    request: RoutingRequest
    arrived: float
    # Latest time at which the request may still be started.
    deadline: float


@dataclass(frozen=True)
class Record:
    """One record of the platform's log; ``time_ms`` is the platform's Unix time."""

    offset: Offset
    time_ms: int
    data: bytes
