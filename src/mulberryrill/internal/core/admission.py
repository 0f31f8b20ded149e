"""Admission: customer limits, deadlines and a bounded queue that is fair between customers."""

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from ..ids import CustomerName, PoolName, RequestId, ServiceName, TargetId
from .buckets import TokenBucket
from .messages import Priority, QueueItem

DEFAULT_MAX_WAITING = 1000
# A customer may send one second's worth of requests at once.
BURST_S = 1.0
# One of ten pops goes to a batch request if one can start, so that batch work always advances.
BATCH_EVERY_POPS = 10
# Batch requests leave this part of the queue to interactive ones.
INTERACTIVE_SHARE = 0.2
# A smaller weight would make a round over the customers too long.
MIN_WEIGHT = 0.01
# Classes whose speed is remembered while none of their requests waits.
MAX_CLASSES = 1000
# Weight of a new sample in the average time between two pops.
SAMPLE_WEIGHT = 0.1
# Pops after which the average is used. The first ones include the start of a cold target.
MIN_SAMPLES = 8

CustomerKey = tuple[ServiceName, CustomerName]
# Requests of one class can start on the same targets.
ClassKey = tuple[PoolName, str, str, frozenset[TargetId]]


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


def divide_limits(limits: CustomerLimits, gateways: int) -> CustomerLimits:
    """Returns the part of a limit for one of ``gateways`` gateways; at least 1 concurrent."""
    gateways = max(1, gateways)
    concurrent = max(1, -(-limits.concurrent // gateways)) if limits.concurrent > 0 else 0
    return CustomerLimits(limits.requests_per_second / gateways, concurrent, limits.weight)


@dataclass
class _CustomerQueue:
    """Waiting requests of one customer at one priority."""

    weight: float
    deficit: float = 0.0
    items: dict[RequestId, QueueItem] = field(default_factory=dict)


@dataclass
class _Class:
    """How fast requests of one class leave the queue."""

    waiting: dict[Priority, int] = field(default_factory=lambda: dict.fromkeys(Priority, 0))
    # Waiting requests of each customer.
    customers: dict[CustomerKey, int] = field(default_factory=dict)
    # Average time between two pops while requests wait; None until measured.
    interval_s: float | None = None
    samples: int = 0
    # Last pop, or arrival at the empty queue.
    last: float = 0.0

    def count_ahead(self, priority: Priority, customer: CustomerKey) -> int:
        """Returns how many requests go first if all customers have the same weight."""
        ahead = sum(n for p, n in self.waiting.items() if p.value <= priority.value)
        others = len(self.customers) + (customer not in self.customers)
        return min(ahead, (self.customers.get(customer, 0) + 1) * others - 1)

    def estimate_wait(self, ahead: int, now: float) -> float:
        """Returns the expected seconds until ``ahead`` requests have left."""
        if ahead == 0 or self.interval_s is None or self.samples < MIN_SAMPLES:
            return 0.0
        return ahead * max(self.interval_s, now - self.last)

    def add(self, item: QueueItem, now: float) -> None:
        """Counts an arrival."""
        if not self.customers:
            self.last = now
        key = _get_key(item)
        self.waiting[item.request.priority] += 1
        self.customers[key] = self.customers.get(key, 0) + 1

    def remove(self, item: QueueItem) -> None:
        """Counts a request that left the queue."""
        key = _get_key(item)
        self.waiting[item.request.priority] -= 1
        self.customers[key] -= 1
        if self.customers[key] == 0:
            del self.customers[key]

    def record_pop(self, now: float) -> None:
        """Measures the time since the last pop."""
        sample = now - self.last
        if self.interval_s is None:
            self.interval_s = sample
        self.samples += 1
        self.interval_s += SAMPLE_WEIGHT * (sample - self.interval_s)
        self.last = now


class AdmissionQueue:
    """Decides which requests wait and which goes next."""

    def __init__(self, max_waiting: int = DEFAULT_MAX_WAITING) -> None:
        self._max_waiting = max_waiting
        self._buckets: dict[CustomerKey, TokenBucket] = {}
        # Requests that were admitted and are not finished, waiting ones included.
        self._admitted: dict[CustomerKey, set[RequestId]] = {}
        self._queues: dict[Priority, OrderedDict[CustomerKey, _CustomerQueue]] = {
            priority: OrderedDict() for priority in Priority
        }
        self._classes: dict[ClassKey, _Class] = {}
        self._waiting = 0
        # Pops since the last batch request, while one was waiting.
        self._pops_without_batch = 0

    @property
    def waiting(self) -> int:
        """Number of requests in the queue."""
        return self._waiting

    def admit(self, item: QueueItem, limits: CustomerLimits, now: float) -> Refusal | None:
        """Queues the request, or returns why it is refused. ``limits`` is this gateway's share."""
        key = _get_key(item)
        class_ = self._classes.setdefault(_get_class(item), _Class())
        refusal = self._check(item, key, class_, limits, now)
        if refusal is not None:
            return refusal
        self._admitted.setdefault(key, set()).add(item.request.request_id)
        queues = self._queues[item.request.priority]
        weight = max(MIN_WEIGHT, limits.weight)
        queue = queues.setdefault(key, _CustomerQueue(weight))
        queue.weight = weight
        queue.items[item.request.request_id] = item
        class_.add(item, now)
        self._waiting += 1
        return None

    def pop(self, can_start: Callable[[QueueItem], bool], now: float) -> QueueItem | None:
        """Removes and returns the next request that can start now; it counts until ``finish``.

        ``can_start`` is asked once for each class of requests: the same pool, model, version and
        excluded targets.
        """
        order = [Priority.INTERACTIVE, Priority.BATCH]
        if not self._queues[Priority.BATCH]:
            self._pops_without_batch = 0
        elif self._pops_without_batch >= BATCH_EVERY_POPS - 1:
            order.reverse()
        answers: dict[ClassKey, bool] = {}
        for priority in order:
            item = self._choose(priority, can_start, answers, now)
            if item is not None:
                is_batch = priority is Priority.BATCH
                self._pops_without_batch = 0 if is_batch else self._pops_without_batch + 1
                self._remove(item)
                self._classes.setdefault(_get_class(item), _Class()).record_pop(now)
                return item
        return None

    def expire(self, now: float) -> list[QueueItem]:
        """Removes and returns the requests whose deadline has passed; they were not run."""
        expired: list[QueueItem] = []
        for queues in self._queues.values():
            for queue in queues.values():
                expired.extend(item for item in queue.items.values() if item.deadline <= now)
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
        queue = self._queues[item.request.priority].get(key)
        if queue is not None and item.request.request_id in queue.items:
            self._remove(item)

    def _check(
        self,
        item: QueueItem,
        key: CustomerKey,
        class_: _Class,
        limits: CustomerLimits,
        now: float,
    ) -> Refusal | None:
        """Takes a token only if nothing else speaks against the request."""
        return (
            self._check_deadline(item, key, class_, now)
            or self._check_queue(item)
            or self._check_concurrency(key, limits)
            or self._check_rate(key, limits, now)
        )

    def _check_deadline(
        self, item: QueueItem, key: CustomerKey, class_: _Class, now: float
    ) -> Refusal | None:
        left = item.deadline - now
        if left <= 0:
            return Refusal(RefusalKind.DEADLINE, "the deadline has passed", 0.0)
        ahead = class_.count_ahead(item.request.priority, key)
        wait = class_.estimate_wait(ahead, now)
        if wait < left:
            return None
        reason = (
            f"{ahead} requests are ahead for about {wait:.1f} s; the deadline is in {left:.1f} s"
        )
        return Refusal(RefusalKind.DEADLINE, reason, wait - left)

    def _check_queue(self, item: QueueItem) -> Refusal | None:
        limit = self._max_waiting
        if item.request.priority is Priority.BATCH:
            limit = int(limit * (1.0 - INTERACTIVE_SHARE))
        if self._waiting < limit:
            return None
        reason = f"{self._waiting} requests wait already; the limit is {limit}"
        return Refusal(RefusalKind.QUEUE_FULL, reason, 1.0)

    def _check_concurrency(self, key: CustomerKey, limits: CustomerLimits) -> Refusal | None:
        if not 0 < limits.concurrent <= len(self._admitted.get(key, ())):
            return None
        reason = f"customer {key[1]} has {limits.concurrent} requests here, its share of the limit"
        return Refusal(RefusalKind.CONCURRENCY, reason, 1.0)

    def _check_rate(self, key: CustomerKey, limits: CustomerLimits, now: float) -> Refusal | None:
        """Takes one token or refuses."""
        rate = limits.requests_per_second
        if rate <= 0:
            return None
        burst = max(1.0, rate * BURST_S)
        bucket = self._buckets.get(key)
        if bucket is None:
            bucket = self._buckets[key] = TokenBucket(rate, burst, now)
        elif bucket.rate != rate:
            bucket.set_rate(rate, burst, now)
        if bucket.take(1.0, now):
            return None
        reason = f"customer {key[1]} is above {rate:g} requests/s, its share of the limit"
        return Refusal(RefusalKind.RATE, reason, bucket.get_wait(1.0, now))

    def _choose(
        self,
        priority: Priority,
        can_start: Callable[[QueueItem], bool],
        answers: dict[ClassKey, bool],
        now: float,
    ) -> QueueItem | None:
        """Deficit round robin: each turn adds the customer's weight, each request costs 1."""
        queues = self._queues[priority]
        startable: dict[CustomerKey, QueueItem] = {}
        for key, queue in queues.items():
            for item in queue.items.values():
                class_ = _get_class(item)
                if item.deadline > now and class_ not in answers:
                    answers[class_] = can_start(item)
                if item.deadline > now and answers[class_]:
                    startable[key] = item
                    break
        while startable:
            key, queue = next(iter(queues.items()))
            if key in startable and queue.deficit >= 1.0:
                queue.deficit -= 1.0
                return startable[key]
            queues.move_to_end(key)
            if key in startable:
                queue.deficit += queue.weight
        return None

    def _remove(self, item: QueueItem) -> None:
        key = _get_key(item)
        queues = self._queues[item.request.priority]
        del queues[key].items[item.request.request_id]
        if not queues[key].items:
            del queues[key]
        self._classes[_get_class(item)].remove(item)
        self._waiting -= 1
        self._forget_classes()

    def _forget_classes(self) -> None:
        """Drops classes that are empty; excluded targets make many of them."""
        if len(self._classes) > MAX_CLASSES:
            self._classes = {k: c for k, c in self._classes.items() if c.customers}


def _get_key(item: QueueItem) -> CustomerKey:
    return (item.request.service, item.request.customer)


def _get_class(item: QueueItem) -> ClassKey:
    request = item.request
    return (request.pool, request.model, request.version, request.excluded)
