"""Versions of streams are written before streams begin, and read for those that go on."""

import unittest
from collections.abc import Callable
from types import SimpleNamespace

from mulberryrill.errors import StoreCallError
from mulberryrill.internal.clock import ManualClock
from mulberryrill.internal.core.serving.streamorigins import (
    DefaultVersion,
    OriginSource,
    StreamOrigins,
)
from mulberryrill.internal.core.serving.targettable import TargetTable
from mulberryrill.internal.entry.originrecords import BatchPage, OriginRecords, get_partition
from mulberryrill.internal.ids import (
    InstanceId,
    Offset,
    RequestId,
    ServiceName,
    SoftwareVersion,
    StoreEra,
)
from tests.common.followersimulation import SimulatedLoop

LM = ServiceName("lm")
V1, V2 = SoftwareVersion("v1"), SoftwareVersion("v2")


class SimulatedStore:
    """Implements ``OriginStore``; calls end when the test says so."""

    def __init__(self) -> None:
        self.era: StoreEra | None = StoreEra(1)
        self.batches: dict[int, list[bytes]] = {}
        self.appends: list[Callable[[bool], None]] = []
        self.reads: list[Callable[[], None]] = []

    def append_batch(
        self, partition: int, batch: bytes, done: Callable[[Offset | StoreCallError], None]
    ) -> None:
        def finish(is_accepted: bool) -> None:
            if is_accepted:
                self.batches.setdefault(partition, []).append(batch)
                done(Offset(0))
            else:
                done(StoreCallError("away", 0, True))

        self.appends.append(finish)

    def read_batches(
        self, partition: int, start: Offset, done: Callable[[BatchPage | StoreCallError], None]
    ) -> None:
        batches = tuple(self.batches.get(partition, ())[start:])
        page = BatchPage(batches, Offset(start + len(batches)), False)
        self.reads.append(lambda: done(page))

    def write_default(self, service: ServiceName, default: DefaultVersion) -> None:
        raise AssertionError("not expected")


class OriginRecordsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = ManualClock()
        self.loop = SimulatedLoop(self.clock, "test")
        self.addCleanup(self.loop.close)
        self.store = SimulatedStore()
        self.begun: list[str] = []
        self.found: list[tuple[SoftwareVersion | None, OriginSource]] = []
        self.records = self.create_records()

    def create_records(self) -> OriginRecords:
        origins = StreamOrigins(self.loop.boottime())
        origins.set_era(StoreEra(1), 0.0)
        origins.set_default(LM, DefaultVersion(V1, StoreEra(1)))
        state = SimpleNamespace(
            stream_origins=origins,
            targets=TargetTable(),
            route_table=None,
            instances=(InstanceId("i1"),),
            has_peer_list=True,
            is_store_reachable=True,
        )
        records = OriginRecords(self.loop, state, InstanceId("i1"))
        records.store = self.store
        return records

    def begin(self, name: str, version: SoftwareVersion, *, is_gone: bool = False) -> None:
        def done() -> bool:
            self.begun.append(name)
            return not is_gone

        self.records.begin(RequestId(name), LM, version, done)

    def find(self, records: OriginRecords, name: str | None) -> None:
        request = RequestId(name) if name is not None else None
        records.find(request, LM, lambda version, source: self.found.append((version, source)))

    def test_stream_of_the_default_version_begins_at_once(self) -> None:
        self.begin("r1", V1)
        self.assertEqual((self.begun, self.store.appends), (["r1"], []))

    def test_first_event_waits_for_the_record(self) -> None:
        """Guards against streams that nobody knows after all instances were killed."""
        self.begin("r1", V2)
        self.assertEqual(self.begun, [])
        self.store.appends.pop()(True)
        self.assertEqual(self.begun, ["r1"])
        self.assertEqual([origin.version for origin in self.records.pop_news()], [V2])

    def test_started_instance_finds_the_record(self) -> None:
        self.begin("r1", V2)
        self.store.appends.pop()(True)
        started = self.create_records()
        self.find(started, "r1")
        self.store.reads.pop()()
        self.assertEqual(self.found, [(V2, OriginSource.STORE)])

    def test_stream_without_a_record_goes_on_at_the_default_version(self) -> None:
        self.find(self.records, "r1")
        self.store.reads.pop()()
        self.assertEqual(self.found, [(V1, OriginSource.NOT_RECORDED)])

    def test_read_that_began_before_does_not_tell(self) -> None:
        """Guards against a record that is written between the read and the break of its stream."""
        self.find(self.records, "r1")
        name = next(n for n in map(str, range(99)) if self.shares_partition(n))
        other = self.create_records()
        other.begin(RequestId(name), LM, V2, lambda: True)
        self.store.appends.pop()(True)
        self.find(self.records, name)
        self.store.reads.pop(0)()
        self.assertEqual(len(self.found), 1)
        self.store.reads.pop(0)()
        self.assertEqual(self.found[1], (V2, OriginSource.STORE))

    def shares_partition(self, name: str) -> bool:
        return get_partition(RequestId(name)) == get_partition(RequestId("r1"))

    def test_failed_append_is_repeated(self) -> None:
        self.begin("r1", V2)
        self.store.appends.pop()(False)
        self.assertTrue(self.records.is_failing)
        self.clock.advance(1.0)
        self.loop.run_due()
        self.store.appends.pop()(True)
        self.assertEqual(self.begun, ["r1"])

    def test_record_of_an_attempt_that_did_not_begin_is_corrected(self) -> None:
        """Guards against a record of a target that broke off before its first event went out."""
        self.begin("r1", V2, is_gone=True)
        self.store.appends.pop()(True)
        self.begin("r1", V1)
        self.assertEqual(self.begun, ["r1"])
        self.store.appends.pop()(True)
        started = self.create_records()
        self.find(started, "r1")
        self.store.reads.pop()()
        self.assertEqual(self.found, [(V1, OriginSource.STORE)])

    def test_restored_store_proves_nothing(self) -> None:
        self.find(self.records, "r1")
        self.store.era = StoreEra(2)
        self.store.reads.pop()()
        self.assertEqual(self.found, [(None, OriginSource.NOT_RECORDED)])

    def test_unnamed_stream_is_refused_where_several_versions_serve(self) -> None:
        self.find(self.records, None)
        self.assertEqual(self.found[0][0], None)
