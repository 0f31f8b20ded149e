"""What holds of a topic after its store has come back from an older copy."""

import unittest

from mulberryrill.internal.core.serving.keyedrecords import KeyedRecord
from mulberryrill.internal.core.serving.topicmemory import (
    DELETION_RETENTION_S,
    SETTLING_S,
    TopicMemory,
)
from mulberryrill.internal.ids import Offset


def create_record(key: str, value: str | None, offset: int = 0) -> KeyedRecord:
    return KeyedRecord(key, None if value is None else value.encode(), Offset(offset))


def describe(records: tuple[KeyedRecord, ...]) -> dict[str, bytes | None]:
    return {record.key: record.value for record in records}


class TopicMemoryTest(unittest.TestCase):
    def setUp(self) -> None:
        self.memory = TopicMemory(carries_missing=True)
        self.copy = (create_record("a", "1"), create_record("b", "1"))
        self.memory.replace(self.copy, 0.0)

    def test_what_the_copy_does_not_know_is_carried_over(self) -> None:
        self.memory.apply(create_record("a", "2"), 1.0)
        self.memory.apply(create_record("b", None), 1.0)
        self.memory.apply(create_record("c", "1"), 1.0)
        self.memory.restore(self.copy, 5.0)
        self.assertEqual(describe(self.memory.carried), {"a": b"2", "b": None, "c": b"1"})
        self.assertEqual(describe(self.memory.newest), describe(self.copy))

    def test_key_is_no_longer_carried_once_it_is_written_again(self) -> None:
        self.memory.apply(create_record("a", "2"), 1.0)
        self.memory.restore(self.copy, 5.0)
        self.memory.apply(create_record("a", "2"), 6.0)
        self.assertEqual(self.memory.carried, ())

    def test_key_is_no_longer_carried_once_it_is_read_as_it_was(self) -> None:
        """The record that was written again may have expired before it was read."""
        self.memory.apply(create_record("a", "2"), 1.0)
        self.memory.apply(create_record("b", "2"), 1.0)
        self.memory.restore(self.copy, 5.0)
        self.memory.replace((create_record("a", "2"), create_record("b", "1")), 6.0)
        self.assertEqual(describe(self.memory.carried), {"b": b"2"})

    def test_copy_that_lacks_nothing_is_not_doubted(self) -> None:
        self.memory.restore(self.copy, 5.0)
        self.assertEqual(self.memory.carried, ())
        self.assertFalse(self.memory.settle(5.0 + SETTLING_S))

    def test_second_restore_keeps_what_was_not_written_again(self) -> None:
        self.memory.apply(create_record("a", "2"), 1.0)
        self.memory.restore(self.copy, 5.0)
        self.memory.restore(self.copy, 7.0)
        self.assertEqual(describe(self.memory.carried), {"a": b"2"})
        self.assertFalse(self.memory.settle(7.0 + SETTLING_S - 0.1))
        self.assertTrue(self.memory.settle(7.0 + SETTLING_S))

    def test_records_that_the_copy_lacks_can_be_left_to_their_writers(self) -> None:
        memory = TopicMemory(carries_missing=False)
        memory.replace(self.copy, 0.0)
        memory.apply(create_record("c", "1"), 1.0)
        memory.apply(create_record("a", None), 1.0)
        memory.restore(self.copy, 5.0)
        self.assertEqual(describe(memory.carried), {"a": None})

    def test_deletion_that_was_only_noticed_by_its_absence_is_known(self) -> None:
        self.memory.replace((create_record("a", "1"),), 1.0)
        self.memory.restore(self.copy, 5.0)
        self.assertEqual(describe(self.memory.carried), {"b": None})

    def test_old_deletions_are_forgotten(self) -> None:
        self.memory.apply(create_record("b", None), 1.0)
        self.memory.apply(create_record("x", None), 2.0 + DELETION_RETENTION_S)
        self.memory.restore(self.copy, 3.0 + DELETION_RETENTION_S)
        self.assertEqual(self.memory.carried, ())

    def test_peer_tells_only_what_is_new(self) -> None:
        told = [create_record("a", "1"), create_record("b", "2"), create_record("x", None)]
        self.assertEqual(describe(tuple(self.memory.add_carried(told, 0.0))), {"b": b"2"})
        self.assertEqual(self.memory.add_carried(told, 1.0), [])
        self.assertEqual(describe(self.memory.carried), {"b": b"2"})
