"""Builders of core messages for tests."""

from mulberryrill.internal.core.messages import (
    CostWeights,
    MemberState,
    Priority,
    QueueItem,
    RoutingRequest,
    StoredPrefix,
    TargetState,
)
from mulberryrill.internal.ids import (
    CustomerName,
    DataCentre,
    Incarnation,
    PoolName,
    RequestId,
    ServiceName,
    TargetId,
)

DATA_CENTRE = DataCentre("kariakoo")
POOL = PoolName("language")
MODEL = ("flavour-7b", "3")


def create_target(
    target: str,
    incarnation: str = "1",
    running: int = 0,
    max_concurrency: int = 8,
    state: MemberState = MemberState.LIVE,
    healthy: bool = True,
    data_centre: DataCentre = DATA_CENTRE,
) -> TargetState:
    return TargetState(
        target=TargetId(target),
        data_centre=data_centre,
        pool=POOL,
        address=f"http://{target}",
        state=state,
        incarnation=Incarnation(incarnation),
        healthy=healthy,
        running=running,
        waiting=0,
        max_concurrency=max_concurrency,
        models=frozenset([MODEL]),
    )


def create_request(
    request_id: str = "req-1",
    customer: str = "kariakoo",
    priority: Priority = Priority.INTERACTIVE,
    block_keys: tuple[bytes, ...] = (),
    prompt_tokens: int = 100,
    version: str = MODEL[1],
    weights: CostWeights | None = None,
    stored_prefixes: tuple[StoredPrefix, ...] = (),
    excluded: frozenset[TargetId] = frozenset(),
) -> RoutingRequest:
    return RoutingRequest(
        request_id=RequestId(request_id),
        service=ServiceName("flavour-questions"),
        customer=CustomerName(customer),
        pool=POOL,
        model=MODEL[0],
        version=version,
        block_keys=block_keys,
        prompt_tokens=prompt_tokens,
        priority=priority,
        weights=weights if weights is not None else CostWeights(),
        excluded=excluded,
        stored_prefixes=stored_prefixes,
    )


def create_queue_item(
    request_id: str,
    customer: str = "kariakoo",
    priority: Priority = Priority.INTERACTIVE,
    arrived_at: float = 0.0,
    deadline: float = 100.0,
    version: str = MODEL[1],
) -> QueueItem:
    request = create_request(request_id, customer, priority, version=version)
    return QueueItem(request, arrived_at, deadline)
