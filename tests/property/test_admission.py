"""Tests that no request is lost or repeated, limits hold and batch requests do not starve."""

import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from mulberryrill.internal.core.admission import AdmissionQueue, CustomerLimits
from mulberryrill.internal.core.messages import Priority, QueueItem
from tests.common.core import create_queue_item

STEPS = 150
MAX_WAITING = 40
LIMITS = {
    "free": CustomerLimits(0, 0, 1.0),
    "rated": CustomerLimits(3, 0, 4.0),
    "bounded": CustomerLimits(0, 5, 0.5),
}
VERSIONS = ["3", "4"]


class AdmissionSimulation:
    """Calls an admission queue at random and checks its results against a simple model."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.admission = AdmissionQueue(MAX_WAITING)
        self.now = 0.0
        self.count = 0
        self.waiting: dict[str, QueueItem] = {}
        self.running: dict[str, QueueItem] = {}
        self.rate_limited_starts: list[float] = []
        self.pops_without_batch = 0

    def step(self) -> None:
        actions = [self.arrive, self.pop, self.finish, self.expire]
        self.random.choices(actions, [5, 5, 2, 1])[0]()
        if self.random.random() < 0.3:
            self.now += self.random.choice([0.01, 0.3, 3.0])
        self.check_limits()

    def arrive(self) -> None:
        customer = self.random.choice(sorted(LIMITS))
        priority = self.random.choice(list(Priority))
        for _ in range(self.random.choice([1, 3, 20])):
            self.count += 1
            name, version = f"r{self.count}", self.random.choice(VERSIONS)
            deadline = self.now + self.random.choice([0.5, 5.0, 50.0])
            item = create_queue_item(name, customer, priority, self.now, deadline, version)
            if self.admission.admit(item, LIMITS[customer], self.now) is None:
                self.waiting[name] = item
                if customer == "rated":
                    self.rate_limited_starts.append(self.now)

    def pop(self) -> None:
        versions = self.random.choice([VERSIONS, VERSIONS[:1], VERSIONS[1:]])
        for _ in range(self.random.choice([1, 5, 15])):
            startable = [
                i
                for i in self.waiting.values()
                if i.request.version in versions and i.deadline > self.now
            ]
            item = self.admission.pop(lambda item: item.request.version in versions, self.now)
            if item is None:
                assert not startable, f"{len(startable)} requests could start"
                return
            assert item in startable
            self.running[item.request.request_id] = self.waiting.pop(item.request.request_id)
            batch = [i for i in startable if i.request.priority is Priority.BATCH]
            if item.request.priority is Priority.BATCH or not batch:
                self.pops_without_batch = 0
            else:
                self.pops_without_batch += 1
            assert self.pops_without_batch < 10, "batch requests are starved"

    def finish(self) -> None:
        known = {**self.waiting, **self.running}
        if known:
            name = self.random.choice(sorted(known))
            self.admission.finish(known[name])
            self.waiting.pop(name, None)
            self.running.pop(name, None)

    def expire(self) -> None:
        expired = {i.request.request_id for i in self.admission.expire(self.now)}
        assert expired == {n for n, i in self.waiting.items() if i.deadline <= self.now}
        for name in expired:
            del self.waiting[name]

    def check_limits(self) -> None:
        assert self.admission.waiting == len(self.waiting) <= MAX_WAITING
        active = [*self.waiting.values(), *self.running.values()]
        assert sum(i.request.customer == "bounded" for i in active) <= 5
        for index, start in enumerate(self.rate_limited_starts):
            admitted = len(self.rate_limited_starts) - index
            assert admitted <= 3 * (self.now - start) + 3 + 1e-6


class AdmissionPropertyTest(unittest.TestCase):
    @settings(derandomize=True, deadline=None, max_examples=60, database=None)
    @given(seed=st.integers(0, 2**32))
    def test_requests_limits_and_priorities(self, seed: int) -> None:
        simulation = AdmissionSimulation(seed)
        for _ in range(STEPS):
            simulation.step()
