"""Simulates the instances of one data centre that follow the platform's store.

Followers run on simulated time; the store and the links between the instances are simulated.
"""

import heapq
import itertools
import json
import os
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from http import HTTPStatus

from mulberryrill.errors import StoreCallError
from mulberryrill.internal.clock import ManualClock
from mulberryrill.internal.core.serving.keyedrecords import KeyedRecord, RecordPage
from mulberryrill.internal.core.serving.routetable import RouteTable
from mulberryrill.internal.core.serving.targettable import Registration, RegistrationState
from mulberryrill.internal.entry.peers import Peer
from mulberryrill.internal.entry.state import EntryState
from mulberryrill.internal.eventloop import EventLoop
from mulberryrill.internal.ids import (
    DataCentre,
    InstanceId,
    Offset,
    ServiceName,
    StoreEra,
    TargetId,
)
from mulberryrill.internal.schema.peers_pb2 import LogFeed, LogRequest
from mulberryrill.internal.schema.settings_pb2 import EntryBounds
from mulberryrill.platform.follower import StoreFollower
from mulberryrill.platform.store import (
    CALL_TIMEOUT_S,
    OPERATOR_TOPIC,
    QUARANTINE_TOPIC,
    READ_TIMEOUT_MARGIN_S,
    REGISTRY_TOPIC,
    StoreClient,
)

DATA_CENTRE = DataCentre("z1")
STEP_S = 0.0005
STORE_LATENCY_S = 0.004
LINK_DELAY_S = 0.001
# Interval at which targets write their registration.
HEARTBEAT_S = 1.2
# The service of all targets.
SERVICE = ServiceName("desk")
# Interval at which an instance discards what has expired.
HOUSEKEEPING_S = 1.0
BOUNDS = EntryBounds(configuration_ms=2000, drain_ms=2000)


class SimulatedLoop(EventLoop):
    """An event loop whose due tasks are run by the simulation."""

    def run_due(self) -> None:
        """Runs the timers and tasks that are due."""
        self._run_timers()
        self._run_soon()

    def close(self) -> None:
        """Closes the descriptors; there is no thread to stop."""
        self._epoll.close()
        os.close(self._wake_fd)

    def get_next_time(self) -> float:
        """Returns when the next timer is due; infinity: there is none."""
        return self._timers[0][0] if self._timers else float("inf")


class SimulatedObserver:
    """Implements ``StoreObserver``: keeps the configuration versions and when they were applied."""

    def __init__(self, clock: ManualClock) -> None:
        self._clock = clock
        self.applied_at: dict[int, float] = {}
        self.draining_since: dict[TargetId, float] = {}
        self.peers: list[Peer] = []

    def on_configuration(self, table: RouteTable) -> None:
        self.applied_at.setdefault(table.version, self._clock.monotonic())

    def on_registration(self, registration: Registration) -> None:
        if registration.state is RegistrationState.DRAINING:
            self.draining_since.setdefault(registration.target, self._clock.monotonic())

    def on_registry_read(
        self, registrations: list[Registration], is_restored: bool = False
    ) -> None:
        for registration in registrations:
            self.on_registration(registration)

    def on_peers(self, peers: list[Peer]) -> None:
        self.peers = peers

    def _ignore(self, *args: object) -> None:
        return

    on_registration_removed = _ignore
    on_evacuations_read = on_evacuation = on_desired_version = _ignore
    on_store_reachability = on_operator_records_checked = on_quarantine = _ignore
    on_carried_records = on_default_version = _ignore
    on_rollout_order = on_rollout_ignored = on_rollout_status = on_rollout_mark = _ignore
    on_rollout_statuses_checked = _ignore
    on_registry_reachability = on_registry_checked = _ignore


class InstanceState(EntryState, SimulatedObserver):  # type: ignore[misc]
    """The state of an entry instance, with its periodic work."""

    def __init__(self, loop: SimulatedLoop, name: InstanceId) -> None:
        EntryState.__init__(self, loop, name, DATA_CENTRE, BOUNDS)
        self.applied_at = {}
        self.draining_since = {}
        loop.call_every(HOUSEKEEPING_S, self.remove_expired_targets)

    @property
    def peers(self) -> tuple[InstanceId, ...]:  # type: ignore[override]
        return self.instances

    def list_used(self) -> set[str]:
        """Returns the targets that may get calls."""
        return {target.id for target in self.targets.list_usable(SERVICE)}


@dataclass
class SimulatedInstance:
    """One instance: its follower, and the faults that it suffers."""

    name: InstanceId
    loop: SimulatedLoop
    observer: SimulatedObserver
    follower: StoreFollower | None = None
    # A frozen instance runs nothing; what arrives meanwhile is handled when it resumes.
    is_frozen: bool = False
    is_dead: bool = False
    # Store responses are lost while this is set.
    is_cut_off: bool = False
    # Time that each message to a peer takes, in seconds.
    send_delay_s: float = LINK_DELAY_S
    inbox: list[Callable[[], None]] = field(default_factory=list)

    def get_next_time(self) -> float:
        """Returns when this instance has something to do; infinity: it stands still."""
        is_still = self.is_frozen or self.is_dead
        if is_still or not self.inbox:
            return float("inf") if is_still else self.loop.get_next_time()
        return float("-inf")

    def run_due(self) -> None:
        if self.is_frozen or self.is_dead:
            return
        messages, self.inbox = self.inbox, []
        for handle in messages:
            handle()
        self.loop.run_due()


class SimulatedStoreClient(StoreClient):
    """One instance's connection to the simulated store."""

    def __init__(self, simulation: "FollowerSimulation", instance: SimulatedInstance) -> None:
        super().__init__(instance.loop, "127.0.0.1:1")
        self._simulation = simulation
        self._instance = instance

    def read_newest(self, topic: str, done: Callable) -> None:
        records = self._simulation.topics[topic]
        newest = {record.key: record for record in records}
        page = RecordPage(tuple(newest.values()), Offset(len(records)))
        self._respond(STORE_LATENCY_S, lambda: done(page), CALL_TIMEOUT_S, done)

    def read_keyed(self, topic: str, start: Offset, wait_s: float, done: Callable) -> None:
        simulation = self._simulation
        gives_up_at = simulation.now() + max(CALL_TIMEOUT_S, wait_s + READ_TIMEOUT_MARGIN_S)

        def respond() -> None:
            timeout_s = gives_up_at - simulation.now()
            if topic == OPERATOR_TOPIC and start < simulation.first_offset:
                expired = StoreCallError("store: 410", HTTPStatus.GONE, in_doubt=False)
                self._respond(STORE_LATENCY_S, lambda: done(expired), timeout_s, done)
                return
            records = simulation.topics[topic]
            if start > len(records):
                gone = StoreCallError("store: 410", HTTPStatus.GONE, in_doubt=False)
                self._respond(STORE_LATENCY_S, lambda: done(gone), timeout_s, done)
                return
            page = RecordPage(tuple(records[start:]), Offset(len(records)))
            self._respond(STORE_LATENCY_S, lambda: done(page), timeout_s, done)

        simulation.wait_for_records(topic, start, wait_s, respond)

    def _respond(
        self, delay_s: float, handle: Callable[[], None], timeout_s: float, done: Callable
    ) -> None:
        instance, simulation = self._instance, self._simulation
        if instance.is_cut_off or simulation.is_store_down:
            error = StoreCallError("store: no answer in time", 0, in_doubt=False)
            simulation.schedule(timeout_s, lambda: instance.inbox.append(lambda: done(error)))
            return
        era = simulation.era

        def deliver() -> None:
            # As the client does: a response from before the restore is not passed on after it.
            if self.era is not None and era < self.era:
                done(StoreCallError("store: response of an earlier era", 0, in_doubt=False))
                return
            self.era = era
            handle()

        simulation.schedule(delay_s, lambda: instance.inbox.append(deliver))

    def join_group(
        self,
        group: str,
        member: str,
        topics: list[str],
        ttl_s: float,
        generation: int,
        done: Callable,
    ) -> None:
        """Members never leave; a restored store may have lost some."""
        simulation = self._simulation
        simulation.generation += member not in simulation.members
        simulation.members.add(member)
        joined = simulation.generation
        self._respond(STORE_LATENCY_S, lambda: done(joined), CALL_TIMEOUT_S, done)

    def list_members(self, group: str, done: Callable) -> None:
        members = set(self._simulation.members)
        self._respond(STORE_LATENCY_S, lambda: done(members), CALL_TIMEOUT_S, done)


class InstanceLinks:
    """Implements ``LogPeers`` for one instance."""

    def __init__(self, simulation: "FollowerSimulation", instance: SimulatedInstance) -> None:
        self._simulation = simulation
        self._instance = instance

    def send_log_feed(self, feed: LogFeed, instance: InstanceId | None) -> None:
        sender = self._instance.name
        for receiver in self._simulation.instances:
            if receiver is not self._instance and instance in (None, receiver.name):
                self._send(receiver, lambda follower: follower.on_log_feed(sender, feed))

    def send_log_request(self, request: LogRequest) -> None:
        sender = self._instance.name
        for receiver in self._simulation.instances:
            if receiver is not self._instance:
                self._send(receiver, lambda follower: follower.on_log_request(sender, request))

    def _send(self, receiver: SimulatedInstance, handle: Callable[[StoreFollower], None]) -> None:
        def deliver() -> None:
            assert receiver.follower is not None
            handle(receiver.follower)

        self._simulation.schedule(
            self._instance.send_delay_s, lambda: receiver.inbox.append(deliver)
        )


class SimulatedTarget:
    """A target that writes its registration at steady times."""

    def __init__(
        self, simulation: "FollowerSimulation", target: TargetId, heartbeat_s: float
    ) -> None:
        self.id = target
        # Whether it cannot reach the store, and whether it has stopped to write.
        self.is_cut_off = False
        self.is_leaving = False
        self._simulation = simulation
        self._heartbeat_s = heartbeat_s
        registration = {
            "service": SERVICE,
            "address": f"{target}:1",
            "zone": DATA_CENTRE,
            "state": "ready",
            "slots": 1,
            "born": 1,
        }
        self._value = json.dumps(registration).encode()

    def write(self) -> None:
        """Writes a heartbeat now, and the next ones."""
        if self.is_leaving:
            return
        if not self.is_cut_off and not self._simulation.is_store_down:
            self._simulation.append_registration(self.id, self._value)
        self._simulation.schedule(self._heartbeat_s, self.write)

    def leave(self) -> None:
        """Removes its registration and serves on, without having been draining."""
        self.is_leaving = True
        self.lapse()

    def lapse(self) -> None:
        """Lets the store remove its registration."""
        self._simulation.append_registration(self.id, None)

    def start_again(self, **changes: object) -> None:
        """Starts again under the same id, a millisecond of its clock later, and goes on writing.

        ``changes`` are fields of its registration that differ from those of the start before.
        """
        registration = json.loads(self._value)
        self.write_state(**{"born": registration["born"] + 1, **changes})

    def write_state(self, **changes: object) -> None:
        """Writes a registration with other fields, now and from now on."""
        self._value = json.dumps({**json.loads(self._value), **changes}).encode()
        self._simulation.append_registration(self.id, self._value)

    def write_late(self, delay_s: float) -> None:
        """Writes a heartbeat that the store executes after a delay, without a response."""
        value = self._value
        self._simulation.schedule(
            delay_s, lambda: self._simulation.append_registration(self.id, value)
        )

    def remove_late(self, delay_s: float) -> None:
        """Removes its registration by a call that the store executes after a delay."""
        self._simulation.schedule(delay_s, self.lapse)


class FollowerSimulation:
    """A store and the instances of one data centre, on one simulated clock."""

    def __init__(
        self,
        count: int,
        create_observer: Callable[[SimulatedLoop, InstanceId], "SimulatedObserver"] | None = None,
    ) -> None:
        """``create_observer`` creates what an instance does with the records that it reads."""
        self._clock = ManualClock()
        self._create_observer = create_observer
        # Nobody reaches the store.
        self.is_store_down = False
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = itertools.count()
        self.topics: dict[str, list[KeyedRecord]] = {
            OPERATOR_TOPIC: [],
            REGISTRY_TOPIC: [],
            QUARANTINE_TOPIC: [],
        }
        # Reads that wait for records.
        self._waiting: dict[str, list[Callable[[], None]]] = defaultdict(list)
        # Rises when the store comes back from an older copy.
        self.era = StoreEra(1)
        # Older records of the operators' topic have expired.
        self.first_offset = 0
        self.members: set[str] = set()
        self.generation = 0
        self.written_at: dict[int, float] = {}
        self.write_configuration()
        self.instances = [self._create_instance(n) for n in range(count)]
        self._replaced: list[SimulatedInstance] = []

    def now(self) -> float:
        return self._clock.monotonic()

    def schedule(self, delay_s: float, task: Callable[[], None]) -> None:
        """Runs a task of the store or of a link after a delay."""
        heapq.heappush(self._events, (self.now() + delay_s, next(self._sequence), task))

    def start(self) -> None:
        """Starts the followers and runs until they know each other."""
        for instance in self.instances:
            assert instance.follower is not None
            instance.follower.start()
        self.run_for(6.0)
        for instance in self.instances:
            assert len(instance.observer.peers) == len(self.instances)

    def close(self) -> None:
        for instance in [*self.instances, *self._replaced]:
            assert instance.follower is not None
            instance.follower.close()
            instance.loop.close()

    def wait_for_records(
        self, topic: str, start: Offset, wait_s: float, respond: Callable[[], None]
    ) -> None:
        """Calls ``respond`` when a topic has records from ``start`` on, or after the wait."""

        def respond_once() -> None:
            if respond_once in self._waiting[topic]:
                self._waiting[topic].remove(respond_once)
                respond()

        if wait_s <= 0 or len(self.topics[topic]) != start or start < self.first_offset:
            respond()
        else:
            self._waiting[topic].append(respond_once)
            self.schedule(wait_s, respond_once)

    def _append(self, topic: str, key: str, value: bytes | None) -> None:
        records = self.topics[topic]
        records.append(KeyedRecord(key, value, Offset(len(records))))
        for respond_once in list(self._waiting[topic]):
            respond_once()

    def run_for(self, duration_s: float) -> None:
        """Advances the simulated time."""
        end = self.now() + duration_s
        while self.now() < end:
            times = [instance.get_next_time() for instance in self.instances]
            times += [self._events[0][0] if self._events else end, end]
            # The smallest step lets time pass where rounding leaves a task just not due.
            self._clock.advance(max(STEP_S, min(times) - self.now()))
            while self._events and self._events[0][0] <= self.now():
                heapq.heappop(self._events)[2]()
            for instance in self.instances:
                instance.run_due()

    def write_configuration(self) -> int:
        """Writes the next version of the configuration, which the store acknowledges at once."""
        version = len(self.written_at) + 1
        value = b'{"version": %d, "routes": [], "services": []}' % version
        self._append(OPERATOR_TOPIC, "config", value)
        self.written_at[version] = self.now()
        return version

    def add_target(self, name: str, heartbeat_s: float = HEARTBEAT_S) -> "SimulatedTarget":
        """Starts a target, which writes its registration at each heartbeat."""
        target = SimulatedTarget(self, TargetId(name), heartbeat_s)
        target.write()
        return target

    def append_registration(self, target: TargetId, value: bytes | None) -> None:
        """Writes a registration, or removes it."""
        self._append(REGISTRY_TOPIC, target, value)

    def write_draining_target(self, name: str = "") -> TargetId:
        """Writes a registration that says that its target is leaving."""
        target = TargetId(name or f"t{len(self.topics[REGISTRY_TOPIC])}")
        registration = {
            "service": SERVICE,
            "address": "127.0.0.1:1",
            "zone": DATA_CENTRE,
            "state": "draining",
            "slots": 1,
        }
        self._append(REGISTRY_TOPIC, target, json.dumps(registration).encode())
        return target

    def restore_store(self, lost: dict[str, int]) -> dict[str, list[KeyedRecord]]:
        """Brings the store back without the last records of each topic, which it returns."""
        self.era = StoreEra(self.era + 1)
        gone = {}
        for topic, count in lost.items():
            records = self.topics[topic]
            kept = max(0, len(records) - count)
            gone[topic] = records[kept:]
            del records[kept:]
        for topic in self.topics:
            for respond_once in list(self._waiting[topic]):
                respond_once()
        return gone

    def lose_members(self, count: int) -> None:
        """Lets the restored store have fewer members of the group, and an earlier generation."""
        for member in sorted(self.members)[:count]:
            self.members.discard(member)
            self.generation -= 1

    def write_again(self, topic: str, records: list[KeyedRecord]) -> None:
        """Writes lost records again, at the offsets that come next."""
        for record in records:
            assert record.value is not None
            self._append(topic, record.key, record.value)

    def expire_records(self) -> None:
        """Drops all records; the newest one of each key stays available."""
        self.first_offset = len(self.topics[OPERATOR_TOPIC]) + 1

    def restart(self, instance: SimulatedInstance) -> None:
        """Starts a killed instance again."""
        new = self._create_instance(self.instances.index(instance))
        # What the process before it had applied stays known to the test.
        new.observer.applied_at = instance.observer.applied_at
        self._replaced.append(instance)
        self.instances[self.instances.index(instance)] = new
        assert new.follower is not None
        new.follower.start()

    def get_reader(self, topic: str = OPERATOR_TOPIC) -> SimulatedInstance:
        """Returns the instance that reads a topic for the others."""
        for instance in self.instances:
            assert instance.follower is not None
            if instance.follower.is_reader(topic):
                return instance
        raise AssertionError("no instance is the reader")

    def get_delay(self, instance: SimulatedInstance, version: int) -> float:
        """Returns the seconds from a version's acknowledgement to its use on an instance."""
        applied_at = instance.observer.applied_at.get(version, float("inf"))
        return applied_at - self.written_at[version]

    def _create_instance(self, number: int) -> SimulatedInstance:
        name = InstanceId(f"front-{number}")
        loop = SimulatedLoop(self._clock, name)
        create = self._create_observer
        observer = create(loop, name) if create is not None else SimulatedObserver(self._clock)
        instance = SimulatedInstance(name, loop, observer)
        instance.follower = StoreFollower(
            loop,
            SimulatedStoreClient(self, instance),
            instance.observer,
            Peer(name, DATA_CENTRE, f"127.0.0.1:{7000 + number}"),
            BOUNDS,
            InstanceLinks(self, instance),
        )
        return instance
