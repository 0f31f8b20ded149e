"""A simulated data centre in which slots are requested, granted and used.

Each instance has its own clock. Messages are lost, repeated, delayed and reordered by a seeded
generator; processes pause and fail. No request runs longer than the silence timeout after which an
instance counts as failed, because the holder cannot account for longer ones.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

from mulberryrill.internal.core.messages import TargetState
from mulberryrill.internal.core.rendezvous import choose_member
from mulberryrill.internal.core.slotholder import SlotHolder
from mulberryrill.internal.core.slots import (
    GRANT_DURATION_S,
    SILENCE_TIMEOUT_S,
    GatewaySlots,
    SlotClient,
)
from mulberryrill.internal.ids import GatewayId, Incarnation, InstanceId, TargetId
from mulberryrill.internal.schema.wire_pb2 import SlotGrant
from tests.common.core import DATA_CENTRE, create_target

MAX_INSTANCES = 4
LIST_LAG_S = 5.0
GATEWAYS_PER_INSTANCE = 2
STEP_S = 0.1
MAX_RUN_S = SILENCE_TIMEOUT_S - 2.0
# Maps each target to its max_concurrency. The first one has no floor share, so its bound is exact.
TARGETS = {TargetId("small"): 3, TargetId("large"): 9}
INSTANCE_NAMES = [InstanceId(f"i{n}") for n in range(MAX_INSTANCES)]
# The instance that every view of the member list contains.
ALWAYS_LISTED = INSTANCE_NAMES[0]


@dataclass
class Network:
    """Probabilities of message loss, duplication and delay."""

    loss_rate: float = 0.0
    duplicate_rate: float = 0.0
    delay_rate: float = 0.0


@dataclass
class Request:
    target: TargetId
    incarnation: Incarnation
    ends_at: float


@dataclass
class Process:
    """A control process or gateway; while paused it neither works nor receives."""

    paused_until: float = 0.0
    alive: bool = True


@dataclass
class Gateway(Process):
    slots: GatewaySlots = field(default_factory=lambda: GatewaySlots(MAX_INSTANCES))
    requests: list[Request] = field(default_factory=list)
    demand: dict[TargetId, int] = field(default_factory=dict)


class Instance(Process):
    """One control process with its gateways.

    ``clock_offset`` is the instance's clock minus the simulation's time.
    """

    def __init__(self, simulation: "SlotSimulation", name: InstanceId, clock_offset: float) -> None:
        super().__init__()
        self.name, self.clock_offset, self.joined_at = name, clock_offset, simulation.now
        self.gateways = [Gateway() for _ in range(GATEWAYS_PER_INSTANCE)]
        self.start(simulation)

    def start(self, simulation: "SlotSimulation") -> None:
        now = simulation.now + self.clock_offset
        self.holder = simulation.holder_type(self.name, DATA_CENTRE, MAX_INSTANCES, LIST_LAG_S, now)
        self.client = simulation.client_type(self.name, MAX_INSTANCES, now)


class SlotSimulation:
    """Runs all processes in steps; ``check`` compares what may run with the holders' caps."""

    def __init__(
        self,
        seed: int,
        holder_type: type[SlotHolder] = SlotHolder,
        client_type: type[SlotClient] = SlotClient,
    ) -> None:
        self.holder_type, self.client_type = holder_type, client_type
        self.random = random.Random(seed)
        self.now = 1000.0
        # Whether views include each live instance after the list's lag.
        self.complete_views = True
        self.network = Network()
        self.incarnations = dict.fromkeys(TARGETS, 1)
        self.instances: dict[InstanceId, Instance] = {}
        self.views = {name: frozenset(INSTANCE_NAMES[:3]) for name in INSTANCE_NAMES}
        self.messages: list[tuple[float, Process, Callable[[], None]]] = []
        # Maps (target, incarnation) to the caps that holders decided, with their times.
        self.caps: dict[tuple[TargetId, Incarnation], list[tuple[float, int]]] = {}
        self.grants = self.starts = self.floor_checks = 0
        for name in INSTANCE_NAMES[:3]:
            self.join(name)

    def join(self, name: InstanceId) -> None:
        """Starts an instance; a running one of the same name fails first."""
        self.fail(name)
        self.instances[name] = Instance(self, name, self.random.uniform(0.0, 1e4))

    def fail(self, name: InstanceId) -> None:
        instance = self.instances.pop(name, None)
        if instance is not None:
            for process in (instance, *instance.gateways):
                process.alive = False

    def get_view(self, name: InstanceId) -> list[InstanceId]:
        """Returns the instances that ``name`` sees in the member list."""
        view = self.views[name] | {ALWAYS_LISTED}
        if self.complete_views:
            cutoff = self.now - LIST_LAG_S
            view |= {
                other for other, instance in self.instances.items() if instance.joined_at <= cutoff
            }
        return sorted(view)

    def restart_control(self, name: InstanceId) -> None:
        """Restarts the control process; the gateways and their requests go on."""
        if name in self.instances:
            self.instances[name].start(self)

    def restart_target(self, target: TargetId) -> None:
        self.incarnations[target] += 1

    def get_state(self, target: TargetId, incarnation: Incarnation | None = None) -> TargetState:
        current = incarnation or str(self.incarnations[target])
        return create_target(target, current, max_concurrency=TARGETS[target])

    def run(self, steps: int) -> None:
        for _ in range(steps):
            self.step()
            self.check()

    def step(self) -> None:
        self.now += STEP_S
        for instance in list(self.instances.values()):
            for number, gateway in enumerate(instance.gateways):
                if gateway.paused_until <= self.now:
                    self._run_gateway(instance, number, gateway)
            if instance.paused_until <= self.now:
                self._run_control(instance)
        self._deliver()

    def check(self) -> None:
        """Raises AssertionError if more could run on a target than the holder's caps allow."""
        holders = [
            i.name for i in self.instances.values() if i.holder.is_holder(self.now + i.clock_offset)
        ]
        assert len(holders) <= 1, f"{holders} are holders at once at {self.now:.1f}"
        for (target, incarnation), decided_caps in self.caps.items():
            running = free = 0
            for instance in self.instances.values():
                for gateway in instance.gateways:
                    # The target finishes a request also while its gateway is paused.
                    running += sum(
                        (r.target, r.incarnation) == (target, incarnation) and r.ends_at > self.now
                        for r in gateway.requests
                    )
                    now = self.now + instance.clock_offset
                    free += gateway.slots.count_free(self.get_state(target, incarnation), now)
            bound = self._get_bound(target, decided_caps)
            assert free == 0 or running + free <= bound, (
                f"{target} incarnation {incarnation} at {self.now:.1f}: "
                f"{running} running and {free} free of {bound}"
            )

    def _get_bound(self, target: TargetId, decided_caps: list[tuple[float, int]]) -> int:
        """Returns the highest cap that a grant in use can come from.

        Floor shares may follow any earlier cap. Other grants follow only the latest cap or caps
        decided within the last grant duration (2 s).
        """
        if TARGETS[target] >= MAX_INSTANCES:
            return max(cap for _, cap in decided_caps)
        recent = [cap for time, cap in decided_caps if self.now - time <= GRANT_DURATION_S + STEP_S]
        return max([decided_caps[-1][1], *recent])

    def _run_gateway(self, instance: Instance, number: int, gateway: Gateway) -> None:
        now = self.now + instance.clock_offset
        slots = gateway.slots
        for request in list(gateway.requests):
            restarted = request.incarnation != str(self.incarnations[request.target])
            if request.ends_at <= self.now or (restarted and self.random.random() < 0.5):
                gateway.requests.remove(request)
                slots.release(request.target, not restarted)
        for target in TARGETS:
            state = self.get_state(target)
            # Demand moves between gateways, so that slots do too.
            if self.random.random() < 0.05:
                gateway.demand[target] = self.random.choice([0, 0, 3])
            while gateway.demand.get(target) and self.random.random() < 0.5:
                if not slots.acquire(state, now):
                    break
                ends_at = self.now + self.random.choice(
                    [0.1, 0.1, 0.2, 0.3, 0.3, 1.0, 2.0, MAX_RUN_S]
                )
                gateway.requests.append(Request(target, state.incarnation, ends_at))
                self.starts += 1
        name = GatewayId(f"{instance.name}/{number}")
        report = slots.build_report(name, gateway.demand, now)
        self._send(
            instance,
            lambda: instance.client.on_gateway_report(report, self.now + instance.clock_offset),
        )

    def _run_control(self, instance: Instance) -> None:
        now = self.now + instance.clock_offset
        for recipient, request in instance.holder.tick(self.get_view(instance.name), now):
            self._send_request(instance, recipient, request)
        report = instance.client.build_report(now)
        holder = instance.client.get_holder(now)
        holder = holder or choose_member(DATA_CENTRE, self.get_view(instance.name))
        if holder is not None and holder in self.instances:
            self._send_report(instance, self.instances[holder], report)
        for update in instance.client.build_gateway_updates(now):
            gateway = instance.gateways[int(update.gateway.rpartition("/")[2])]
            self._send(gateway, partial(gateway.slots.apply_update, update))

    def _send_request(self, sender: Instance, recipient: InstanceId, request) -> None:
        other = self.instances.get(recipient)
        if other is None:
            return

        def receive() -> None:
            promise = other.client.on_promise_request(request, self.now + other.clock_offset)
            self._send(
                sender, lambda: sender.holder.on_promise(promise, self.now + sender.clock_offset)
            )

        self._send(other, receive)

    def _send_report(self, sender: Instance, other: Instance, report) -> None:
        def receive() -> None:
            targets = {target: self.get_state(target) for target in TARGETS}
            grant = other.holder.on_report(report, targets, self.now + other.clock_offset)
            if grant is not None:
                self._record_caps(grant)
                self._send(
                    sender, lambda: sender.client.on_grant(grant, self.now + sender.clock_offset)
                )

        self._send(other, receive)

    def _record_caps(self, grant: SlotGrant) -> None:
        self.grants += 1
        for cap in grant.caps:
            key = (TargetId(cap.target), Incarnation(cap.incarnation))
            self.caps.setdefault(key, []).append((self.now, cap.cap))

    def _send(self, receiver: Process, receive: Callable[[], None]) -> None:
        copies = 0 if self.random.random() < self.network.loss_rate else 1
        copies += self.random.random() < self.network.duplicate_rate
        for _ in range(copies):
            late = self.random.random() < self.network.delay_rate
            delay = self.random.uniform(0.0, 6.0) if late else self.random.uniform(0.0, 0.05)
            self.messages.append((self.now + delay, receiver, receive))

    def _deliver(self) -> None:
        due = [m for m in self.messages if m[0] <= self.now and m[1].paused_until <= self.now]
        self.messages = [m for m in self.messages if m not in due]
        self.random.shuffle(due)
        for _, receiver, receive in due:
            if receiver.alive:
                receive()
