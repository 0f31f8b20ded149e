"""The configuration log: acceptance, checkpoints and transfer between peers."""

import unittest

from mulberryrill.internal.core.configuration import ConfigurationFold, FoldResult
from mulberryrill.internal.core.messages import Record
from mulberryrill.internal.core.records import seal_batch
from mulberryrill.internal.ids import DataCentre, Offset, ServiceName
from mulberryrill.internal.schema.log_pb2 import (
    DRAINED,
    DataCentreOrder,
    DocumentChange,
    DocumentCheckpoint,
    LogBatch,
    LogEntry,
    QuarantineEntry,
)
from mulberryrill.internal.schema.wire_pb2 import StateReply

RETENTION_MS = 4000
SITE = frozenset({"zuri"})
S = ServiceName("s")


def change(change_id: str, base: int, author: str = "asha", owners: str = "asha") -> LogEntry:
    """Returns a change of service s."""
    text = f"service: s\nowners: [{owners}]\npool: {change_id}\n"
    message = DocumentChange(
        change_id=change_id, service="s", base_revision=base, author=author, document=text
    )
    return LogEntry(document_change=message)


class Log:
    """Keeps the records of one stream."""

    def __init__(self, first: int = 1) -> None:
        self.records: list[Record] = []
        self.first = first

    def append(self, *entries: LogEntry, time_ms: int = 0) -> Record:
        data = seal_batch(LogBatch(entries=entries))
        record = Record(Offset(self.first + len(self.records)), time_ms, data)
        self.records.append(record)
        return record

    def append_checkpoints(self, fold: ConfigurationFold, time_ms: int) -> int:
        """Appends what is due and folds it; returns how many checkpoints were due."""
        due = fold.list_due_checkpoints(time_ms)
        for checkpoint in due:
            fold.apply(self.append(LogEntry(document_checkpoint=checkpoint), time_ms=time_ms))
        return len(due)


def create_fold(*records: Record) -> ConfigurationFold:
    """Returns a fold of the records."""
    fold = ConfigurationFold(SITE, RETENTION_MS)
    for record in records:
        fold.apply(record)
    return fold


class ConfigurationTest(unittest.TestCase):
    """Guards against a change that is in force only somewhere, lost, or accepted twice."""

    def setUp(self) -> None:
        self.log = Log()
        self.fold = create_fold()

    def apply(self, *entries: LogEntry) -> FoldResult:
        return self.fold.apply(self.log.append(*entries))

    def list_decisions(self, result: FoldResult) -> list[tuple[str, bool]]:
        return [(entry.change_id, entry.accepted) for entry in result.decided]

    def test_creation_needs_a_site_operator_and_changes_an_owner(self) -> None:
        self.assertEqual(self.list_decisions(self.apply(change("a", 0))), [("a", False)])
        created = self.apply(change("b", 0, "zuri"))
        self.assertEqual((self.list_decisions(created), created.changed), ([("b", True)], (S,)))
        refused = self.apply(change("c", 2, "zuri"))
        self.assertIn("not an owner", refused.decided[0].refusal)
        self.assertEqual(self.list_decisions(self.apply(change("d", 2, owners="bibi"))), [("d", 1)])
        self.assertEqual(self.list_decisions(self.apply(change("e", 4))), [("e", False)])
        self.assertEqual(self.fold.documents[S].revision, 4)
        history = [(e.change_id, e.accepted) for e in self.fold.list_history(S)]
        self.assertEqual(history, [("b", True), ("c", False), ("d", True), ("e", False)])

    def test_one_of_two_racing_changes_wins_and_the_other_is_told(self) -> None:
        self.apply(change("a", 0, "zuri"))
        result = self.apply(change("b", 1), change("c", 1))
        self.assertEqual(self.list_decisions(result), [("b", True), ("c", False)])
        self.assertIn("base revision 1", result.decided[1].refusal)

    def test_duplicate_record_of_a_change_has_no_effect(self) -> None:
        self.apply(change("a", 0, "zuri"))
        self.apply(change("b", 1))
        self.assertEqual(self.apply(change("b", 1)), FoldResult())
        self.assertEqual(len(self.fold.list_history(S)), 2)

    def test_document_without_owners_or_of_another_service_is_refused(self) -> None:
        for text in (
            "service: s",
            "service: t\nowners: [a]",
            "service: s\nowners: []",
            "[",
            "a: b",
        ):
            entry = change("a", 0, "zuri")
            entry.document_change.document = text
            self.assertEqual(self.list_decisions(self.apply(entry)), [("a", False)], text)

    def test_corrupt_record_is_counted_and_skipped(self) -> None:
        record = self.log.append(change("a", 0, "zuri"))
        self.assertTrue(self.fold.apply(Record(record.offset, 0, record.data[:-3])).corrupt)
        self.assertEqual((self.fold.corrupt_records, self.fold.folded_offset), (1, 1))

    def test_checkpoints_restore_everything_after_the_log_was_truncated(self) -> None:
        order = DataCentreOrder(order_id="1", data_centre="temeke", epoch=1, state=DRAINED)
        self.apply(change("a", 0, "zuri"), LogEntry(data_centre_order=order))
        self.assertEqual(self.log.append_checkpoints(self.fold, 999), 0)
        self.apply(change("b", 1))
        self.assertEqual(self.log.append_checkpoints(self.fold, 1000), 2)
        self.assertEqual(self.log.append_checkpoints(self.fold, 1001), 0)
        restored = create_fold(*self.log.records[2:])
        self.assertTrue(restored.is_complete)
        self.assertEqual(restored.documents[S].revision, 2)
        self.assertEqual(restored.list_history(S), self.fold.list_history(S))
        self.assertTrue(restored.orders.is_drained(DataCentre("temeke")))

    def test_changes_stay_pending_until_their_base_is_known(self) -> None:
        self.apply(change("a", 0, "zuri"))
        checkpoint = DocumentCheckpoint(
            service="s", revision=1, document=self.fold.documents[S].document, as_of=2
        )
        self.log.append()
        records = [
            self.log.append(change("b", 1)),
            self.log.append(change("c", 1)),
            self.log.append(LogEntry(document_checkpoint=checkpoint)),
        ]
        late = create_fold(*records[:2])
        self.assertEqual((late.count_pending(), dict(late.documents)), (2, {}))
        result = late.apply(records[2])
        self.assertEqual(self.list_decisions(result), [("b", True), ("c", False)])
        self.assertEqual(late.documents[S].revision, 3)

    def test_checkpoint_that_misses_records_is_not_adopted(self) -> None:
        checkpoint = DocumentCheckpoint(service="s", revision=1, document="x", as_of=1)
        log = Log(first=3)
        fold = create_fold(log.append(LogEntry(document_checkpoint=checkpoint)))
        self.assertEqual(dict(fold.documents), {})

    def test_gap_keeps_documents_but_decides_nothing_before_a_checkpoint(self) -> None:
        self.apply(change("a", 0, "zuri"))
        self.log.append(change("b", 1))
        self.assertEqual(self.apply(change("c", 2)).decided, ())
        self.assertEqual(self.fold.documents[S].revision, 1)
        self.assertFalse(self.fold.is_complete)
        self.assertTrue(self.fold.adopt(create_fold(*self.log.records).export()))
        self.assertEqual(self.fold.documents[S].revision, 3)

    def test_older_or_incomplete_state_is_not_adopted(self) -> None:
        self.apply(change("a", 0, "zuri"))
        older = self.fold.export()
        self.apply(change("b", 1))
        self.assertFalse(self.fold.adopt(older))
        incomplete = create_fold(Record(Offset(9), 0, self.log.records[0].data))
        self.assertFalse(self.fold.adopt(incomplete.export()))
        self.assertFalse(self.fold.adopt(StateReply()))
        self.assertEqual(self.fold.documents[S].revision, 2)

    def test_quarantine_entries_expire(self) -> None:
        entry = QuarantineEntry(fingerprint="f", crashes=2, expires_unix_ms=100)
        self.assertEqual(self.apply(LogEntry(quarantine=entry)).quarantine, (entry,))
        self.fold.apply(self.log.append(time_ms=100))
        self.assertEqual(dict(self.fold.quarantine), {})
