"""Tests that folds that read the log in different ways have the same documents at an offset."""

import unittest

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from mulberryrill.internal.core.configuration import ConfigurationFold, FoldResult
from mulberryrill.internal.core.messages import Record
from mulberryrill.internal.core.records import encode_record
from mulberryrill.internal.ids import DataCentre, Offset, ServiceName
from mulberryrill.internal.schema.log_pb2 import DRAINED, DocumentChange, LogBatch, LogEntry
from mulberryrill.internal.schema.wire_pb2 import StateReply
from tests.common.machines import run_state_machine

RETENTION_MS = 4000
SITE_OPERATORS = frozenset({"zuri"})
FOLDS = st.integers(0, 2)
DELIVERIES = st.sampled_from(
    ["stored", "stored", "stored", "delayed", "delayed", "twice", "damaged", "lost"]
)
READ_COUNTS = st.sampled_from([1, 2, 1000])
RECOVERY_ROUNDS = 8
# By service: revision, document and ids of the decided changes.
View = dict[ServiceName, tuple[int, str, tuple[str, ...]]]


def list_documents(fold: ConfigurationFold) -> View:
    """Returns the parts of the documents that must be equal on all instances."""
    return {
        name: (state.revision, state.document, tuple(e.change_id for e in state.audit))
        for name, state in fold.documents.items()
    }


class ConfigurationMachine(RuleBasedStateMachine):
    """Runs folds on a log with racing, duplicate, damaged, delayed and expired records."""

    fold_type: type[ConfigurationFold] = ConfigurationFold

    @initialize()
    def start(self) -> None:
        self.now_ms = 0
        self.first = 0
        self.log: list[Record] = []
        self.delayed: list[bytes] = []
        self.changes = 0
        self.reference = ConfigurationFold(SITE_OPERATORS, RETENTION_MS)
        self.views: dict[int, tuple[View, list[int]]] = {-1: ({}, [])}
        self.folds = [self.fold_type(SITE_OPERATORS, RETENTION_MS) for _ in range(3)]
        self.seen: list[dict[str, int]] = [{}, {}, {}]
        self.store(b"")  # Offset 0 creates no document.
        self.submit("s", "none", "zuri", "zuri", "stored")
        self.read([0, 1, 2], 1000)

    def store(self, data: bytes) -> None:
        record = Record(Offset(self.first + len(self.log)), self.now_ms, data)
        self.log.append(record)
        self.reference.apply(record)
        self.views[record.offset] = self.view(self.reference)

    def view(self, fold: ConfigurationFold) -> tuple[View, list[int]]:
        return list_documents(fold), [o.epoch for o in fold.orders.in_force.values()]

    def send(self, entry: LogEntry, delivery: str) -> None:
        data = encode_record(LogBatch(entries=[entry]))
        if delivery == "delayed":
            self.delayed.append(data)
        elif delivery == "damaged":
            self.store(data[:-1])
        elif delivery != "lost":
            self.store(data)
        if delivery == "twice":
            self.store(data)

    @rule(
        service=st.sampled_from(["s", "t"]),
        base=st.sampled_from(["current", "current", "older", "none"]),
        author=st.sampled_from(["zuri", "zuri", "asha", "bibi"]),
        owners=st.sampled_from(["asha, zuri", "zuri", "asha, bibi, zuri"]),
        delivery=DELIVERIES,
    )
    def submit(self, service: str, base: str, author: str, owners: str, delivery: str) -> None:
        self.changes += 1
        current = self.reference.documents.get(ServiceName(service))
        revision = current.revision if current is not None else 0
        message = DocumentChange(
            change_id=f"change-{self.changes}",
            service=service,
            base_revision={"current": revision, "older": revision - 1, "none": 0}[base],
            author=author,
            document=f"service: {service}\nowners: [{owners}]\npool: p{self.changes}\n",
        )
        self.send(LogEntry(document_change=message), delivery)

    @rule(delivery=DELIVERIES, number=FOLDS)
    def order(self, delivery: str, number: int) -> None:
        orders = self.folds[number].orders
        order = orders.create_next(DataCentre("temeke"), DRAINED, "zuri", "r", self.now_ms)
        self.send(LogEntry(data_centre_order=order), delivery)

    @rule(number=FOLDS, delivery=DELIVERIES, races=st.booleans())
    def write_checkpoints(self, number: int, delivery: str, races: bool) -> None:
        """With ``races``, a change is stored between ``as_of`` and the checkpoint."""
        due = self.folds[number].list_due_checkpoints(self.now_ms)
        if races:
            self.submit("s", "current", "zuri", "zuri", "stored")
        for checkpoint in due:
            self.send(LogEntry(document_checkpoint=checkpoint), delivery)

    @rule()
    def store_delayed(self) -> None:
        """Stores the record that was delayed longest."""
        if self.delayed:
            self.store(self.delayed.pop(0))

    @rule(step_ms=st.sampled_from([100, 500, 1000, 1000, 1500, RETENTION_MS]))
    def advance(self, step_ms: int) -> None:
        self.now_ms += step_ms
        while self.log and self.log[0].time_ms < self.now_ms - RETENTION_MS:
            self.log.pop(0)
            self.first += 1

    @rule(numbers=st.sampled_from([[0], [1], [2], [0, 1, 2]]), count=READ_COUNTS)
    def read(self, numbers: list[int], count: int) -> None:
        for number in numbers:
            fold = self.folds[number]
            start = max(fold.folded_offset + 1, self.first) - self.first
            for record in self.log[start : start + count]:
                fold.apply(record)
                self.check(number)

    @rule(number=FOLDS, count=READ_COUNTS)
    def restart(self, number: int, count: int) -> None:
        self.folds[number] = self.fold_type(SITE_OPERATORS, RETENTION_MS)
        self.seen[number] = {}
        self.read([number], count)

    @rule(number=FOLDS, peer=FOLDS)
    def fetch_state(self, number: int, peer: int) -> None:
        frame = self.folds[peer].export().SerializeToString()
        self.folds[number].merge_state(StateReply.FromString(frame))
        self.check(number)

    def check(self, number: int) -> None:
        fold = self.folds[number]
        documents, orders = self.views[fold.folded_offset]
        if fold.is_complete:
            assert list_documents(fold) == documents
            # A later order may have been received from a peer.
            assert self.view(fold)[1] >= orders
        for name, state in fold.documents.items():
            revision = self.seen[number].get(name, 0)
            assert state.revision >= revision, f"{name} moved from {revision} to {state.revision}"
            self.seen[number][name] = state.revision
            assert state.revision <= documents[name][0]
            assert state.document == self.views[state.revision][0][name][1]

    @invariant()
    def folds_agree_with_the_log(self) -> None:
        for number in range(len(self.folds)):
            self.check(number)

    def teardown(self) -> None:
        """Checks that all folds recover and agree if the log still continues a complete one."""
        folds = getattr(self, "folds", [])
        if not any(f.is_complete and f.folded_offset >= self.first - 1 for f in folds):
            return
        for _ in range(RECOVERY_ROUNDS):
            self.read([0, 1, 2], 1000)
            for number in range(3):
                self.write_checkpoints(number, "stored", races=False)
            self.now_ms += RETENTION_MS // 4
        self.read([0, 1, 2], 1000)
        assert all(fold.is_complete for fold in self.folds)
        for fold in self.folds:
            assert self.view(fold) == self.view(self.reference)


class AnyCheckpoint(ConfigurationFold):
    """Injected fault: applies checkpoints without checking ``as_of``."""

    def apply(self, record: Record) -> FoldResult:
        contiguous_from, self._contiguous_from = self._contiguous_from, Offset(0)
        result = super().apply(record)
        self._contiguous_from = contiguous_from
        return result

    def _restart_at(self, record: Record) -> None:
        super()._restart_at(record)
        self._contiguous_from = Offset(0)


class AnyBase(ConfigurationFold):
    """Injected fault: decides changes before their base is known."""

    def _is_known(self, service: ServiceName) -> bool:
        return service not in (self._missing_services or ())


class AnyState(ConfigurationFold):
    """Injected fault: merges a peer's state without checking its offset."""

    def merge_state(self, state: StateReply) -> bool:
        if state.folded_offset >= 0:
            self._folded_offset = Offset(-1)
        return super().merge_state(state)


class PendingDropped(ConfigurationFold):
    """Injected fault: never decides changes between ``as_of`` and the checkpoint."""

    def _decide_pending_changes(self, service, as_of, result) -> None:  # type: ignore[no-untyped-def]
        self._pending_changes.pop(service, None)


class ConfigurationPropertyTest(unittest.TestCase):
    """Guards against configurations that differ between instances or revert."""

    def test_all_folds_agree_at_the_same_offset(self) -> None:
        run_state_machine(ConfigurationMachine, 250)

    def test_each_injected_fault_is_detected(self) -> None:
        for fold in (AnyCheckpoint, AnyBase, AnyState, PendingDropped):
            with self.subTest(fold.__name__), self.assertRaises(AssertionError):
                run_state_machine(ConfigurationMachine, 600, fold_type=fold)
