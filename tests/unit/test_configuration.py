"""Tests the rules for changes of the configuration, checkpoints and expiry.

tests/property/test_configuration.py checks that all folds agree.
"""

import unittest

from mulberryrill.internal.core.configuration import ConfigurationFold, FoldResult
from mulberryrill.internal.ids import DataCentre, ServiceName
from mulberryrill.internal.schema.log_pb2 import (
    DRAINED,
    DataCentreOrder,
    DocumentChange,
    LogEntry,
    QuarantineEntry,
)
from mulberryrill.internal.schema.wire_pb2 import StateReply
from tests.common.records import START_MS, Log

RETENTION_MS = 4000
SERVICE = ServiceName("s")


def create_change(
    change_id: str, base: int, author: str = "asha", owners: str = "asha"
) -> LogEntry:
    """Returns a log entry that changes the document of service s."""
    text = f"service: s\nowners: [{owners}]\npool: {change_id}\n"
    message = DocumentChange(
        change_id=change_id, service="s", base_revision=base, author=author, document=text
    )
    return LogEntry(document_change=message)


def create_fold() -> ConfigurationFold:
    """Returns an empty fold of a site whose operator is zuri."""
    return ConfigurationFold(frozenset({"zuri"}), RETENTION_MS)


class ConfigurationTest(unittest.TestCase):
    """Guards against unauthorized changes, and against state lost when log records expire."""

    def setUp(self) -> None:
        self.log = Log()
        self.fold = create_fold()

    def apply(self, *entries: LogEntry, time_ms: int = START_MS) -> FoldResult:
        return self.fold.apply(self.log.append(*entries, time_ms=time_ms))

    def decide(self, *entries: LogEntry) -> list[tuple[str, str]]:
        """Returns the ids of the decided changes with the reason for refusal, empty if accepted."""
        return [(entry.change_id, entry.refusal) for entry in self.apply(*entries).decided]

    def append_checkpoints(self, time_ms: int) -> int:
        due = self.fold.list_due_checkpoints(time_ms)
        for checkpoint in due:
            self.apply(LogEntry(document_checkpoint=checkpoint), time_ms=time_ms)
        return len(due)

    def test_creation_needs_a_site_operator_and_a_change_an_owner(self) -> None:
        no_owner = "the author is not an owner in the current document"
        self.assertIn("only a site operator", self.decide(create_change("a", 0))[0][1])
        self.assertEqual(self.decide(create_change("b", 0, "zuri")), [("b", "")])
        self.assertEqual(self.decide(create_change("c", 2, "zuri")), [("c", no_owner)])
        self.assertEqual(self.decide(create_change("d", 2, owners="bibi")), [("d", "")])
        self.assertEqual(self.decide(create_change("e", 4)), [("e", no_owner)])
        self.assertEqual(self.fold.documents[SERVICE].revision, 4)
        history = [
            (entry.change_id, entry.accepted) for entry in self.fold.list_audit_entries(SERVICE)
        ]
        self.assertEqual(history, [("b", True), ("c", False), ("d", True), ("e", False)])

    def test_one_of_two_racing_changes_wins_and_a_repeated_record_has_no_effect(self) -> None:
        self.apply(create_change("a", 0, "zuri"))
        refusal = "the base revision 1 is not the current one, 2"
        self.assertEqual(
            self.decide(create_change("b", 1), create_change("c", 1)), [("b", ""), ("c", refusal)]
        )
        self.assertEqual(self.apply(create_change("b", 1)), FoldResult())
        self.assertIn("same id", self.decide(create_change("b", 2))[0][1])

    def test_document_without_owners_or_of_another_service_is_refused(self) -> None:
        for text in (
            "service: s",
            "service: t\nowners: [a]",
            "service: s\nowners: []",
            "[",
            "a: b",
        ):
            entry = create_change("a", 0, "zuri")
            entry.document_change.document = text
            self.assertIn("the document", self.decide(entry)[0][1], text)

    def test_corrupt_record_is_counted_and_skipped(self) -> None:
        self.assertTrue(
            self.fold.apply(self.log.append(create_change("a", 0), damage=True)).corrupt
        )
        self.assertEqual((self.fold.corrupt_records, self.fold.folded_offset), (1, 1))

    def test_checkpoints_restore_everything_after_the_log_was_truncated(self) -> None:
        order = DataCentreOrder(order_id="1", data_centre="temeke", epoch=1, state=DRAINED)
        self.apply(create_change("a", 0, "zuri"), LogEntry(data_centre_order=order))
        due_ms = START_MS + RETENTION_MS // 4
        self.assertEqual(self.append_checkpoints(due_ms - 1), 0)
        # A recent change must not delay the checkpoint, because the change's base would expire.
        self.apply(create_change("b", 1), time_ms=due_ms - 1)
        self.assertEqual([self.append_checkpoints(due_ms), self.append_checkpoints(due_ms)], [2, 0])
        restored = create_fold()
        for record in self.log.records[2:]:
            restored.apply(record)
        self.assertTrue(restored.is_complete)
        self.assertEqual(restored.documents[SERVICE].revision, 2)
        self.assertEqual(
            restored.list_audit_entries(SERVICE), self.fold.list_audit_entries(SERVICE)
        )
        self.assertTrue(restored.orders.is_drained(DataCentre("temeke")))

    def test_incomplete_state_and_reply_without_documents_are_not_adopted(self) -> None:
        self.apply(create_change("a", 0, "zuri"))
        self.log.next_offset = 9
        late = create_fold()
        late.apply(self.log.append(create_change("b", 1)))
        for state in (late.export(), StateReply(), StateReply(folded_offset=50)):
            self.assertFalse(self.fold.merge_state(state))
        self.assertEqual(self.fold.documents[SERVICE].revision, 1)

    def test_quarantine_entries_expire(self) -> None:
        entry = QuarantineEntry(fingerprint="f", crashes=2, expires_unix_ms=START_MS + 100)
        self.assertEqual(self.apply(LogEntry(quarantine=entry)).quarantine, (entry,))
        self.apply(time_ms=START_MS + 100)
        self.assertEqual(dict(self.fold.quarantine), {})
