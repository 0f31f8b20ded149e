"""Admission control: rate and concurrency limits, deadlines and a bounded fair queue."""

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from ..ids import CustomerName, PoolName, RequestId, ServiceName, TargetId
from .buckets import TokenBucket
from .messages import Priority, QueueItem

DEFAULT_MAX_WAITING = 1000
# A customer may send the requests of this many seconds in one burst.
BURST_S = 1.0
# One in this many pops prefers batch requests, so that interactive ones do not starve them.
BATCH_EVERY_POPS = 10
# Fraction of the queue that batch requests must leave free.
RESERVED_INTERACTIVE_SHARE = 0.2
# Smaller weights would need too many rounds of the deficit round robin until a customer's turn.
MIN_WEIGHT = 0.01
# Request classes whose pop rate is kept; above this number, those without a waiting request are
# dropped.
MAX_CLASSES = 1000
# Weight of a new sample in the moving average of the time between two pops.
SAMPLE_WEIGHT = 0.1
# Pops before the average is used: the first samples include the start of a cold target.
MIN_SAMPLES = 8

CustomerKey = tuple[ServiceName, CustomerName]
# Pool, model, version and excluded targets: requests of one class can start on the same targets.
RequestClassKey = tuple[PoolName, str, str, frozenset[TargetId]]


@dataclass(frozen=True)
class CustomerLimits:
    """Limits of one customer of one service; 0 requests/s or 0 concurrent means unlimited."""

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
    """Why a request is refused without being run; a retry may succeed after ``retry_after_s``."""

    kind: RefusalKind
    reason: str
    retry_after_s: float


def divide_limits(limits: CustomerLimits, gateways: int) -> CustomerLimits:
    """Returns one gateway's even share of the limits, at least 1 concurrent request."""
    gateways = max(1, gateways)
    concurrent = max(1, -(-limits.concurrent // gateways)) if limits.concurrent > 0 else 0
    return CustomerLimits(limits.requests_per_second / gateways, concurrent, limits.weight)


@dataclass
class _CustomerQueue:
    """Waiting requests of one customer at one priority, oldest first."""

    weight: float
    # Credit of the deficit round robin; a request costs 1.
    deficit: float = 0.0
    items: dict[RequestId, QueueItem] = field(default_factory=dict)


@dataclass
class _RequestClass:
    """Queue lengths of one request class and the rate at which its requests leave the queue."""

    waiting: dict[Priority, int] = field(default_factory=lambda: dict.fromkeys(Priority, 0))
    # Number of waiting requests of each customer.
    customers: dict[CustomerKey, int] = field(default_factory=dict)
    # Moving average of the time between two pops while requests wait; None before the first pop.
    pop_interval_s: float | None = None
    samples: int = 0
    # Time of the last pop, or of a later arrival while no request of the class was waiting.
    interval_start: float = 0.0

    def count_ahead(self, priority: Priority, customer: CustomerKey) -> int:
        """Estimates how many requests start earlier, as if all customers had the same weight."""
        ahead = sum(n for p, n in self.waiting.items() if p.value <= priority.value)
        customer_count = len(self.customers) + (customer not in self.customers)
        return min(ahead, (self.customers.get(customer, 0) + 1) * customer_count - 1)

    def estimate_wait(self, ahead: int, now: float) -> float:
        """Returns the expected seconds until ``ahead`` requests have left; 0 if unknown."""
        if ahead == 0 or self.pop_interval_s is None or self.samples < MIN_SAMPLES:
            return 0.0
        return ahead * max(self.pop_interval_s, now - self.interval_start)

    def add(self, item: QueueItem, now: float) -> None:
        """Counts a request that entered the queue."""
        if not self.customers:
            self.interval_start = now
        key = _get_customer_key(item)
        self.waiting[item.request.priority] += 1
        self.customers[key] = self.customers.get(key, 0) + 1

    def remove(self, item: QueueItem) -> None:
        """Counts a request that left the queue."""
        key = _get_customer_key(item)
        self.waiting[item.request.priority] -= 1
        self.customers[key] -= 1
        if self.customers[key] == 0:
            del self.customers[key]

    def record_pop(self, now: float) -> None:
        """Adds the time since the last pop to the moving average."""
        sample = now - self.interval_start
        if self.pop_interval_s is None:
            self.pop_interval_s = sample
        self.samples += 1
        self.pop_interval_s += SAMPLE_WEIGHT * (sample - self.pop_interval_s)
        self.interval_start = now


class AdmissionQueue:
    """Applies the limits to new requests, queues them and chooses the next one to start."""

    def __init__(self, max_waiting: int = DEFAULT_MAX_WAITING) -> None:
        self._max_waiting = max_waiting
        self._buckets: dict[CustomerKey, TokenBucket] = {}
        # Requests that wait or run; they count against the concurrency limit.
        self._admitted: dict[CustomerKey, set[RequestId]] = {}
        self._queues: dict[Priority, OrderedDict[CustomerKey, _CustomerQueue]] = {
            priority: OrderedDict() for priority in Priority
        }
        self._classes: dict[RequestClassKey, _RequestClass] = {}
        self._waiting = 0
        # Consecutive pops of interactive requests while a batch request was waiting.
        self._pops_without_batch = 0

    @property
    def waiting(self) -> int:
        """Number of requests in the queue."""
        return self._waiting

    def admit(self, item: QueueItem, limits: CustomerLimits, now: float) -> Refusal | None:
        """Queues the request, or returns why it is refused; ``limits`` are this gateway's share."""
        key = _get_customer_key(item)
        request_class = self._classes.setdefault(_get_class_key(item), _RequestClass())
        refusal = self._check(item, key, request_class, limits, now)
        if refusal is not None:
            return refusal
        self._admitted.setdefault(key, set()).add(item.request.request_id)
        queues = self._queues[item.request.priority]
        weight = max(MIN_WEIGHT, limits.weight)
        queue = queues.setdefault(key, _CustomerQueue(weight))
        queue.weight = weight
        queue.items[item.request.request_id] = item
        request_class.add(item, now)
        self._waiting += 1
        return None

    def pop(self, can_start: Callable[[QueueItem], bool], now: float) -> QueueItem | None:
        """Removes and returns the next request that can start now; None if no request can.

        The request counts against its customer's concurrency limit until ``finish``. ``can_start``
        is called at most once for each request class.
        """
        order = [Priority.INTERACTIVE, Priority.BATCH]
        if not self._queues[Priority.BATCH]:
            self._pops_without_batch = 0
        elif self._pops_without_batch >= BATCH_EVERY_POPS - 1:
            order.reverse()
        can_start_by_class: dict[RequestClassKey, bool] = {}
        for priority in order:
            item = self._choose(priority, can_start, can_start_by_class, now)
            if item is not None:
                is_batch = priority is Priority.BATCH
                self._pops_without_batch = 0 if is_batch else self._pops_without_batch + 1
                self._remove(item)
                self._classes.setdefault(_get_class_key(item), _RequestClass()).record_pop(now)
                return item
        return None

    def expire(self, now: float) -> list[QueueItem]:
        """Removes and returns the waiting requests whose deadline has passed; they were not run."""
        expired: list[QueueItem] = []
        for queues in self._queues.values():
            for queue in queues.values():
                expired.extend(item for item in queue.items.values() if item.deadline <= now)
        for item in expired:
            self.finish(item)
        return expired

    def finish(self, item: QueueItem) -> None:
        """Stops counting a request as concurrent; removes it from the queue if it still waits."""
        key = _get_customer_key(item)
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
        request_class: _RequestClass,
        limits: CustomerLimits,
        now: float,
    ) -> Refusal | None:
        """Checks the rate last, so that a request refused for another reason costs no token."""
        return (
            self._check_deadline(item, key, request_class, now)
            or self._check_queue_length(item)
            or self._check_concurrency(key, limits)
            or self._check_rate(key, limits, now)
        )

    def _check_deadline(
        self, item: QueueItem, key: CustomerKey, request_class: _RequestClass, now: float
    ) -> Refusal | None:
        time_left_s = item.deadline - now
        if time_left_s <= 0:
            return Refusal(RefusalKind.DEADLINE, "the deadline has passed", 0.0)
        ahead = request_class.count_ahead(item.request.priority, key)
        wait_s = request_class.estimate_wait(ahead, now)
        if wait_s < time_left_s:
            return None
        reason = (
            f"{ahead} requests are ahead for about {wait_s:.1f} s; "
            f"the deadline is in {time_left_s:.1f} s"
        )
        return Refusal(RefusalKind.DEADLINE, reason, wait_s - time_left_s)

    def _check_queue_length(self, item: QueueItem) -> Refusal | None:
        limit = self._max_waiting
        if item.request.priority is Priority.BATCH:
            limit = int(limit * (1.0 - RESERVED_INTERACTIVE_SHARE))
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
        """Takes a token from the customer's bucket, or refuses if there is none."""
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
        can_start_by_class: dict[RequestClassKey, bool],
        now: float,
    ) -> QueueItem | None:
        """Chooses by deficit round robin: a turn adds the customer's weight, a request costs 1.

        ``can_start_by_class`` caches the results of ``can_start``.
        """
        queues = self._queues[priority]
        startable: dict[CustomerKey, QueueItem] = {}
        for key, queue in queues.items():
            for item in queue.items.values():
                class_key = _get_class_key(item)
                if item.deadline > now and class_key not in can_start_by_class:
                    can_start_by_class[class_key] = can_start(item)
                if item.deadline > now and can_start_by_class[class_key]:
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
        key = _get_customer_key(item)
        queues = self._queues[item.request.priority]
        del queues[key].items[item.request.request_id]
        if not queues[key].items:
            del queues[key]
        self._classes[_get_class_key(item)].remove(item)
        self._waiting -= 1
        self._drop_empty_classes()

    def _drop_empty_classes(self) -> None:
        """Bounds memory: each set of excluded targets makes a class of its own."""
        if len(self._classes) > MAX_CLASSES:
            self._classes = {k: c for k, c in self._classes.items() if c.customers}


def _get_customer_key(item: QueueItem) -> CustomerKey:
    return (item.request.service, item.request.customer)


def _get_class_key(item: QueueItem) -> RequestClassKey:
    request = item.request
    return (request.pool, request.model, request.version, request.excluded)
