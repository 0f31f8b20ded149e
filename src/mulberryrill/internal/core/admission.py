"""Admission: customer limits, deadlines and a bounded queue that is fair between customers."""

from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from ..ids import CustomerName, RequestId, ServiceName
from .buckets import TokenBucket
from .messages import Priority, QueueItem

DEFAULT_MAX_WAITING = 1000
# A customer may send one second's worth of requests at once.
BURST_S = 1.0
# Every tenth pop takes a batch request first, so that batch work always advances.
BATCH_EVERY_POPS = 10

CustomerKey = tuple[ServiceName, CustomerName]


@dataclass(frozen=True)
class CustomerLimits:
    """Limits of one customer of one service; 0 requests/s or 0 concurrent mean no limit."""

    requests_per_second: float
    concurrent: int
    weight: float = 1.0


class RefusalKind(Enum):
    """Why a request is not admitted."""

    RATE = "rate"
    CONCURRENCY = "concurrency"
    QUEUE_FULL = "queue-full"
    DEADLINE = "deadline"


@dataclass(frozen=True)
class Refusal:
    """A request that is refused as not run; ``retry_after_s`` is when a repeat may succeed."""

    kind: RefusalKind
    reason: str
    retry_after_s: float


def share_limits(limits: CustomerLimits, holders: int) -> CustomerLimits:
    """Returns the part of a limit for one of ``holders`` gateways; at least 1 concurrent."""
    holders = max(1, holders)
    concurrent = max(1, -(-limits.concurrent // holders)) if limits.concurrent > 0 else 0
    return CustomerLimits(limits.requests_per_second / holders, concurrent, limits.weight)


class _CustomerQueue:
    """Waiting requests of one customer at one priority, and its deficit."""

    def __init__(self, weight: float) -> None:
        self.weight = weight
        self.deficit = 0.0
        self.items: deque[QueueItem] = deque()


class Admission:
    """Decides which requests wait and which goes next."""

    def __init__(self, max_waiting: int = DEFAULT_MAX_WAITING) -> None:
        self._max_waiting = max_waiting
        self._buckets: dict[CustomerKey, TokenBucket] = {}
        self._admitted: dict[CustomerKey, set[RequestId]] = {}
        self._queues: dict[Priority, OrderedDict[CustomerKey, _CustomerQueue]] = {
            priority: OrderedDict() for priority in Priority
        }
        self._waiting = 0
        self._pops = 0

    @property
    def waiting(self) -> int:
        """Number of requests in the queue."""
        return self._waiting

    def admit(self, item: QueueItem, limits: CustomerLimits, now: float) -> Refusal | None:
        """Queues the request, or returns why it is refused. ``limits`` is this gateway's share."""
        key = _get_key(item)
        refusal = self._check(item, key, limits, now)
        if refusal is not None:
            return refusal
        self._admitted.setdefault(key, set()).add(item.request.request_id)
        queues = self._queues[item.request.priority]
        queue = queues.setdefault(key, _CustomerQueue(limits.weight))
        queue.weight = limits.weight if limits.weight > 0 else 1.0
        queue.items.append(item)
        self._waiting += 1
        return None

    def pop(self, can_start: Callable[[QueueItem], bool], now: float) -> QueueItem | None:
        """Removes and returns the next request that can start now; it counts until ``finish``."""
        order = [Priority.INTERACTIVE, Priority.BATCH]
        if (self._pops + 1) % BATCH_EVERY_POPS == 0:
            order.reverse()
        for priority in order:
            item = self._pop_priority(priority, can_start, now)
            if item is not None:
                self._pops += 1
                return item
        return None

    def expire(self, now: float) -> list[QueueItem]:
        """Removes and returns the requests whose deadline has passed; they were not run."""
        expired: list[QueueItem] = []
        for queues in self._queues.values():
            for queue in queues.values():
                expired.extend(item for item in queue.items if item.deadline <= now)
        for item in expired:
            self.finish(item)
        return expired

    def finish(self, item: QueueItem) -> None:
        """Ends a request that ran, or removes one that still waits."""
        key = _get_key(item)
        admitted = self._admitted.get(key, set())
        admitted.discard(item.request.request_id)
        if not admitted:
            self._admitted.pop(key, None)
        queues = self._queues[item.request.priority]
        queue = queues.get(key)
        if queue is not None and item in queue.items:
            queue.items.remove(item)
            self._waiting -= 1
            if not queue.items:
                del queues[key]

    def _check(
        self, item: QueueItem, key: CustomerKey, limits: CustomerLimits, now: float
    ) -> Refusal | None:
        if item.deadline <= now:
            return Refusal(RefusalKind.DEADLINE, "the deadline has passed", 0.0)
        if self._waiting >= self._max_waiting:
            reason = f"{self._waiting} requests wait already, the most allowed"
            return Refusal(RefusalKind.QUEUE_FULL, reason, 1.0)
        if 0 < limits.concurrent <= len(self._admitted.get(key, ())):
            reason = (
                f"customer {key[1]} has {limits.concurrent} requests here, its share of the limit"
            )
            return Refusal(RefusalKind.CONCURRENCY, reason, 1.0)
        if limits.requests_per_second > 0:
            wait = self._take_token(key, limits, now)
            if wait > 0:
                reason = (
                    f"customer {key[1]} is above {limits.requests_per_second:g} requests/s, "
                    "its share of the limit"
                )
                return Refusal(RefusalKind.RATE, reason, wait)
        return None

    def _take_token(self, key: CustomerKey, limits: CustomerLimits, now: float) -> float:
        """Takes one token; returns the seconds to wait if there is none."""
        rate = limits.requests_per_second
        burst = max(1.0, rate * BURST_S)
        bucket = self._buckets.get(key)
        if bucket is None:
            bucket = self._buckets[key] = TokenBucket(rate, burst, now)
        elif bucket.rate != rate:
            bucket.set_rate(rate, burst, now)
        wait = bucket.get_wait(1.0, now)
        if wait <= 0:
            bucket.take(1.0, now)
        return wait

    def _pop_priority(
        self, priority: Priority, can_start: Callable[[QueueItem], bool], now: float
    ) -> QueueItem | None:
        """Deficit round robin: each turn adds the customer's weight, each request costs 1."""
        queues = self._queues[priority]
        startable: dict[CustomerKey, QueueItem] = {}
        for key, queue in queues.items():
            for item in queue.items:
                if item.deadline > now and can_start(item):
                    startable[key] = item
                    break
        if not startable:
            return None
        while True:
            key, queue = next(iter(queues.items()))
            if key in startable and queue.deficit >= 1.0:
                queue.deficit -= 1.0
                return self._take(queues, key, startable[key])
            queues.move_to_end(key)
            if key in startable:
                queue.deficit += queue.weight

    def _take(
        self, queues: OrderedDict[CustomerKey, _CustomerQueue], key: CustomerKey, item: QueueItem
    ) -> QueueItem:
        queue = queues[key]
        queue.items.remove(item)
        self._waiting -= 1
        if not queue.items:
            del queues[key]
        return item


def _get_key(item: QueueItem) -> CustomerKey:
    return (item.request.service, item.request.customer)
