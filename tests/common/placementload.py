"""A simulated load of plain calls on a few targets, placed by several instances.

Targets have slots and a queue before them. Calls look alike, and some take several times as long as
others. Instances know each other's running calls by reports that arrive late.
"""

import heapq
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count

from mulberryrill.internal.core.serving.callcosts import (
    CallCosts,
    CallGroup,
    CostKind,
    RunningCall,
)
from mulberryrill.internal.core.serving.loads import LoadTable, build_report
from mulberryrill.internal.core.serving.placement import ColdPacer, Placement, PlacementRequest
from mulberryrill.internal.core.serving.targettable import Target
from mulberryrill.internal.ids import DataCentre, InstanceId, ServiceName
from tests.unit.test_serving_targettable import create_registration

HOME = DataCentre("msasani")
SERVICE = ServiceName("lm")
GROUP = CallGroup(CostKind.PLAIN, SERVICE, "search", b"GET")


@dataclass(frozen=True)
class LoadShape:
    """Targets, calls and instances of a simulation; times in seconds."""

    speeds: tuple[float, ...] = (1.0, 1.0, 1.3)
    slots: int = 6
    instance_count: int = 6
    duration_s: float = 60.0
    short_call_s: float = 0.1
    # How much longer a long call takes, and the share of long calls.
    long_factor: float = 5.0
    long_share: float = 0.3
    # Share of the targets' capacity that arrives outside of the burst.
    utilization: float = 0.6
    burst_factor: float = 1.7
    # A burst of some seconds at the end of each period.
    burst_s: float = 5.0
    burst_period_s: float = 20.0
    report_delay_s: float = 0.3
    report_interval_s: float = 0.1

    @property
    def capacity(self) -> float:
        """Calls per second that all targets can complete."""
        mean_s = self.short_call_s * (1.0 + self.long_share * (self.long_factor - 1.0))
        return self.slots * sum(self.speeds) / mean_s


@dataclass(eq=False)
class _SimulatedCall:
    instance: "_Instance"
    arrived_at: float
    work_s: float
    target: int = 0
    running: RunningCall | None = None


@dataclass(eq=False)
class _Instance:
    id: InstanceId
    placement: Placement
    loads: LoadTable = field(default_factory=LoadTable)
    costs: CallCosts = field(default_factory=CallCosts)


class LoadSimulation:
    """Plays one load; the same seed brings the same calls, however they are placed."""

    def __init__(self, shape: LoadShape, seed: int, uses_costs: bool) -> None:
        self.shape = shape
        self.targets = [
            Target(create_registration(f"t{i}", slots=shape.slots, service=SERVICE))
            for i in range(len(shape.speeds))
        ]
        # Seconds from arrival to the end of each call; when and to which target each one went.
        self.completions: list[float] = []
        self.choices: list[tuple[float, int]] = []
        self.speeds = list(shape.speeds)
        self._uses_costs = uses_costs
        self._random = random.Random(seed)
        names = [InstanceId(f"i{i}") for i in range(shape.instance_count)]
        self.instances = [
            _Instance(name, Placement(HOME, ColdPacer(name, 1.5, 5), seed * 100 + i))
            for i, name in enumerate(names)
        ]
        for instance in self.instances:
            instance.loads.set_instance_count(len(names))
        self._busy = [0] * len(shape.speeds)
        self._queues: list[deque[_SimulatedCall]] = [deque() for _ in shape.speeds]
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._order = count()

    def schedule(self, at: float, action: Callable[[float], None]) -> None:
        """Calls ``action`` with the time at ``at`` seconds of the simulation."""
        heapq.heappush(self._events, (at, next(self._order), action))

    def run(self) -> None:
        """Plays the load until the last call has ended."""
        shape, now = self.shape, 0.0
        while now < shape.duration_s:
            is_burst = now % shape.burst_period_s >= shape.burst_period_s - shape.burst_s
            rate = shape.utilization * shape.capacity * (shape.burst_factor if is_burst else 1.0)
            now += self._random.expovariate(rate)
            is_long = self._random.random() < shape.long_share
            work_s = shape.short_call_s * (shape.long_factor if is_long else 1.0)
            call = _SimulatedCall(self._random.choice(self.instances), now, work_s)
            self.schedule(now, lambda at, call=call: self._place(call, at))  # type: ignore[misc]
        ticks = int(shape.duration_s / shape.report_interval_s)
        for tick in range(ticks):
            for position, instance in enumerate(self.instances):
                offset = (tick + position / len(self.instances)) * shape.report_interval_s
                self.schedule(offset, lambda at, sender=instance: self._report(sender, at))  # type: ignore[misc]
        while self._events:
            at, _, action = heapq.heappop(self._events)
            action(at)

    def _report(self, sender: _Instance, now: float) -> None:
        report = build_report(sender.loads.get_own_loads())
        arrival = now + self.shape.report_delay_s

        def apply(at: float) -> None:
            for instance in self.instances:
                if instance is not sender:
                    instance.loads.apply_report(sender.id, report, at)

        self.schedule(arrival, apply)

    def _place(self, call: _SimulatedCall, now: float) -> None:
        instance = call.instance
        loads, costs = instance.loads, instance.costs
        is_known = self._uses_costs and costs.is_learned(GROUP)
        target = instance.placement.choose_least_loaded(
            self.targets,
            PlacementRequest(None, None, (), now),
            0.0,
            lambda t: loads.estimate_running_calls(t.id, now),
            (
                (
                    lambda chosen, running: costs.estimate_completions(
                        [t.registration for t in chosen], running, GROUP, now
                    )
                )
                if is_known
                else None
            ),
        )
        assert target is not None
        call.target = self.targets.index(target)
        self.choices.append((now, call.target))
        running = loads.estimate_running_calls(target.id, now)
        call.running = costs.start(GROUP, target.registration, 1, running, now)
        loads.add_run(target.id, 0)
        self._queues[call.target].append(call)
        self._fill_slots(call.target, now)

    def _fill_slots(self, target: int, now: float) -> None:
        while self._queues[target] and self._busy[target] < self.shape.slots:
            call = self._queues[target].popleft()
            self._busy[target] += 1
            end = now + call.work_s / self.speeds[target]
            self.schedule(end, lambda at, call=call: self._end(call, at))  # type: ignore[misc]

    def _end(self, call: _SimulatedCall, now: float) -> None:
        assert call.running is not None
        self._busy[call.target] -= 1
        self.completions.append(now - call.arrived_at)
        call.instance.loads.remove_run(self.targets[call.target].id, 0)
        call.instance.costs.end(call.running, True, now)
        self._fill_slots(call.target, now)
