"""Admission loses and repeats no request, keeps the limits and never starves batch work."""

import unittest

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule, run_state_machine_as_test

from mulberryrill.internal.core.admission import Admission, CustomerLimits
from mulberryrill.internal.core.messages import Priority, QueueItem
from tests.common.core import create_item

MAX_WAITING = 40
LIMITS = {
    "free": CustomerLimits(0, 0, 1.0),
    "rated": CustomerLimits(3, 0, 4.0),
    "bounded": CustomerLimits(0, 5, 0.5),
}
VERSIONS = ["3", "4"]


class AdmissionMachine(RuleBasedStateMachine):
    def __init__(self) -> None:
        super().__init__()
        self.admission = Admission(MAX_WAITING)
        self.now = 0.0
        self.count = 0
        self.waiting: dict[str, QueueItem] = {}
        self.running: dict[str, QueueItem] = {}
        self.rated: list[float] = []
        self.without_batch = 0

    @rule(
        customer=st.sampled_from(sorted(LIMITS)),
        priority=st.sampled_from(Priority),
        version=st.sampled_from(VERSIONS),
        patience=st.floats(0.1, 20.0),
        repeats=st.integers(1, 12),
    )
    def arrive(
        self, customer: str, priority: Priority, version: str, patience: float, repeats: int
    ) -> None:
        for _ in range(repeats):
            self.count += 1
            name = f"r{self.count}"
            deadline = self.now + patience
            item = create_item(name, customer, priority, self.now, deadline, version)
            if self.admission.admit(item, LIMITS[customer], self.now) is None:
                self.waiting[name] = item
                if customer == "rated":
                    self.rated.append(self.now)

    @rule(versions=st.sets(st.sampled_from(VERSIONS), min_size=1), repeats=st.integers(1, 15))
    def pop(self, versions: set[str], repeats: int) -> None:
        for _ in range(repeats):
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
                self.without_batch = 0
            else:
                self.without_batch += 1
            assert self.without_batch < 10, "batch work is starved"

    @rule(data=st.data())
    def finish(self, data: st.DataObject) -> None:
        known = {**self.waiting, **self.running}
        if known:
            name = data.draw(st.sampled_from(sorted(known)))
            self.admission.finish(known[name])
            self.waiting.pop(name, None)
            self.running.pop(name, None)

    @rule(seconds=st.floats(0.0, 3.0))
    def advance(self, seconds: float) -> None:
        self.now += seconds

    @rule()
    def expire(self) -> None:
        expired = {i.request.request_id for i in self.admission.expire(self.now)}
        assert expired == {n for n, i in self.waiting.items() if i.deadline <= self.now}
        for name in expired:
            del self.waiting[name]

    @invariant()
    def limits_hold(self) -> None:
        assert self.admission.waiting == len(self.waiting) <= MAX_WAITING
        active = [*self.waiting.values(), *self.running.values()]
        assert sum(i.request.customer == "bounded" for i in active) <= 5
        for index, start in enumerate(self.rated):
            admitted = len(self.rated) - index
            assert admitted <= 3 * (self.now - start) + 3 + 1e-6


class AdmissionPropertyTest(unittest.TestCase):
    def test_requests_limits_and_priorities(self) -> None:
        run_state_machine_as_test(
            AdmissionMachine,
            settings=settings(
                derandomize=True,
                deadline=None,
                max_examples=60,
                stateful_step_count=30,
                database=None,
            ),
        )
