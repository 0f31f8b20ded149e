"""Tests that a request that crashed two targets is rejected everywhere until expiry."""

import unittest

from mulberryrill.internal.core.quarantine import QUARANTINE_DURATION_MS, Quarantine
from mulberryrill.internal.ids import TargetId


class QuarantineTest(unittest.TestCase):
    def test_second_crash_on_another_instance_quarantines(self) -> None:
        """Guards against counting crashes per instance, which would allow two on each."""
        first, second = Quarantine(), Quarantine()
        entry = first.record_crash("f", TargetId("a"), 1000)
        assert entry is not None
        second.merge_entry(entry)
        self.assertFalse(second.is_quarantined("f", 1000))
        entry = second.record_crash("f", TargetId("b"), 2000)
        assert entry is not None
        first.merge_entry(entry)
        self.assertTrue(first.is_quarantined("f", 2000))
        self.assertFalse(first.is_quarantined("f", 2000 + QUARANTINE_DURATION_MS))
        self.assertFalse(first.is_quarantined("g", 2000))

    def test_repeated_report_of_a_crash_counts_once(self) -> None:
        quarantine = Quarantine()
        quarantine.record_crash("f", TargetId("a"), 1000)
        self.assertIsNone(quarantine.record_crash("f", TargetId("a"), 1000))
        self.assertFalse(quarantine.is_quarantined("f", 1000))
