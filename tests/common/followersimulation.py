"""Simulates the instances of one data centre that follow the platform's store.

Followers run on simulated time; the store and the links between the instances are simulated.
"""

import heapq
import itertools
from collections.abc import Callable
from dataclasses import dataclass, field

from mulberryrill.errors import StoreCallError
from mulberryrill.internal.clock import ManualClock
from mulberryrill.internal.core.serving.routetable import RouteTable
from mulberryrill.internal.entry.peers import Peer
from mulberryrill.internal.eventloop import EventLoop
from mulberryrill.internal.ids import DataCentre, InstanceId, Offset
from mulberryrill.internal.schema.peers_pb2 import LogFeed, LogRequest
from mulberryrill.platform.follower import STATUS_GONE, StoreFollower
from mulberryrill.platform.store import (
    CALL_TIMEOUT_S,
    OPERATOR_TOPIC,
    READ_TIMEOUT_MARGIN_S,
    KeyedRecord,
    RecordPage,
    StoreClient,
)

DATA_CENTRE = DataCentre("z1")
STEP_S = 0.005
STORE_LATENCY_S = 0.004
LINK_DELAY_S = 0.001
REGISTRY_INTERVAL_S = 0.667


class SimulatedLoop(EventLoop):
    """An event loop whose due tasks are run by the simulation."""

    def run_due(self) -> None:
        """Runs the timers and tasks that are due."""
        self._run_timers()
        self._run_soon()


class SimulatedObserver:
    """Implements ``StoreObserver``: keeps the configuration versions and when they were applied."""

    def __init__(self, clock: ManualClock) -> None:
        self._clock = clock
        self.applied_at: dict[int, float] = {}
        self.peers: list[Peer] = []

    def on_configuration(self, table: RouteTable) -> None:
        self.applied_at.setdefault(table.version, self._clock.monotonic())

    def on_peers(self, peers: list[Peer]) -> None:
        self.peers = peers

    def _ignore(self, *args: object) -> None:
        return

    on_registration = on_registration_removed = on_registry_read = _ignore
    on_evacuations_read = on_evacuation = on_desired_version = _ignore
    on_store_reachability = on_operator_records_checked = _ignore


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
        deadline = self._simulation.now() + wait_s
        timeout_s = max(CALL_TIMEOUT_S, wait_s + READ_TIMEOUT_MARGIN_S)
        self._poll(topic, start, deadline, self._simulation.now() + timeout_s, done)

    def _poll(
        self, topic: str, start: Offset, deadline: float, gives_up_at: float, done: Callable
    ) -> None:
        now = self._simulation.now()
        if start < self._simulation.first_offset:
            expired = StoreCallError("store: 410", STATUS_GONE, in_doubt=False)
            self._respond(STORE_LATENCY_S, lambda: done(expired), gives_up_at - now, done)
            return
        records = tuple(self._simulation.topics[topic][start:])
        if records or now >= deadline:
            page = RecordPage(records, Offset(len(self._simulation.topics[topic])))
            self._respond(STORE_LATENCY_S, lambda: done(page), gives_up_at - now, done)
        else:
            self._simulation.schedule(
                STEP_S, lambda: self._poll(topic, start, deadline, gives_up_at, done)
            )

    def _respond(
        self, delay_s: float, handle: Callable[[], None], timeout_s: float, done: Callable
    ) -> None:
        instance, simulation = self._instance, self._simulation
        if instance.is_cut_off:
            error = StoreCallError("store: no answer in time", 0, in_doubt=False)
            simulation.schedule(timeout_s, lambda: instance.inbox.append(lambda: done(error)))
        else:
            simulation.schedule(delay_s, lambda: instance.inbox.append(handle))

    def join_group(
        self,
        group: str,
        member: str,
        topics: list[str],
        ttl_s: float,
        generation: int,
        done: Callable,
    ) -> None:
        """The list of instances never changes."""
        self._simulation.members.add(member)
        self._respond(
            STORE_LATENCY_S, lambda: done(len(self._simulation.members)), CALL_TIMEOUT_S, done
        )

    def list_members(self, group: str, done: Callable) -> None:
        members = set(self._simulation.members)
        self._respond(STORE_LATENCY_S, lambda: done(members), CALL_TIMEOUT_S, done)


class InstanceLinks:
    """Implements ``LogPeers`` for one instance."""

    def __init__(self, simulation: "FollowerSimulation", instance: SimulatedInstance) -> None:
        self._simulation = simulation
        self._instance = instance

    def send_log_feed(self, feed: LogFeed, instance: InstanceId | None) -> None:
        for receiver in self._simulation.instances:
            if receiver is not self._instance and instance in (None, receiver.name):
                self._send(receiver, lambda follower: follower.on_log_feed(feed))

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


class FollowerSimulation:
    """A store and the instances of one data centre, on one simulated clock."""

    def __init__(self, count: int) -> None:
        self._clock = ManualClock()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = itertools.count()
        self.topics: dict[str, list[KeyedRecord]] = {OPERATOR_TOPIC: [], "keyed.servers": []}
        # Older records of the operators' topic have expired.
        self.first_offset = 0
        self.members: set[str] = set()
        self.written_at: dict[int, float] = {}
        self.write_configuration()
        self.instances = [self._create_instance(n) for n in range(count)]

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
        for instance in self.instances:
            assert instance.follower is not None
            instance.follower.close()

    def run_for(self, duration_s: float) -> None:
        """Advances the simulated time."""
        end = self.now() + duration_s
        while self.now() < end:
            self._clock.advance(STEP_S)
            while self._events and self._events[0][0] <= self.now():
                heapq.heappop(self._events)[2]()
            for instance in self.instances:
                instance.run_due()

    def write_configuration(self) -> int:
        """Writes the next version of the configuration, which the store acknowledges at once."""
        version = len(self.written_at) + 1
        value = b'{"version": %d, "routes": [], "services": []}' % version
        records = self.topics[OPERATOR_TOPIC]
        records.append(KeyedRecord("config", value, Offset(len(records))))
        self.written_at[version] = self.now()
        return version

    def expire_records(self) -> None:
        """Drops all records; the newest one of each key stays available."""
        self.first_offset = len(self.topics[OPERATOR_TOPIC]) + 1

    def restart(self, instance: SimulatedInstance) -> None:
        """Starts a killed instance again."""
        new = self._create_instance(self.instances.index(instance))
        self.instances[self.instances.index(instance)] = new
        assert new.follower is not None
        new.follower.start()

    def get_reader(self) -> SimulatedInstance:
        """Returns the instance that reads the operators' records for the others."""
        for instance in self.instances:
            assert instance.follower is not None
            if instance.follower.is_reader(OPERATOR_TOPIC):
                return instance
        raise AssertionError("no instance is the reader")

    def get_delay(self, instance: SimulatedInstance, version: int) -> float:
        """Returns the seconds from a version's acknowledgement to its use on an instance."""
        applied_at = instance.observer.applied_at.get(version, float("inf"))
        return applied_at - self.written_at[version]

    def _create_instance(self, number: int) -> SimulatedInstance:
        name = InstanceId(f"front-{number}")
        loop = SimulatedLoop(self._clock, name)
        instance = SimulatedInstance(name, loop, SimulatedObserver(self._clock))
        instance.follower = StoreFollower(
            loop,
            SimulatedStoreClient(self, instance),
            instance.observer,
            Peer(name, DATA_CENTRE, f"127.0.0.1:{7000 + number}"),
            REGISTRY_INTERVAL_S,
            InstanceLinks(self, instance),
        )
        return instance
