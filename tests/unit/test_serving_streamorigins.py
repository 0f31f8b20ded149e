"""Which software version began a stream, and which streams are recorded."""

import unittest
from collections import Counter

from mulberryrill.internal.core.serving.streamorigins import (
    MAX_STREAMS,
    REWRITING_S,
    DefaultVersion,
    StreamOrigin,
    StreamOrigins,
)
from mulberryrill.internal.ids import RequestId, ServiceName, SoftwareVersion, StoreEra

LM = ServiceName("lm")
OTHER = ServiceName("other")
V1, V2, V3 = (SoftwareVersion(f"v{number}") for number in (1, 2, 3))
LIFETIME_S = 30.0
ERA = StoreEra(1)


def create_origin(name: str, version: SoftwareVersion = V2) -> StreamOrigin:
    return StreamOrigin(RequestId(name), LM, version)


class StreamOriginsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.origins = StreamOrigins(started_at=0.0)
        self.origins.set_era(ERA, 0.0)

    def set_default(self, version: SoftwareVersion, era: StoreEra | None = ERA) -> None:
        self.origins.set_default(LM, DefaultVersion(version, era))

    def choose(self, now: float, **registered: int) -> DefaultVersion | None:
        counts = Counter({SoftwareVersion(name): count for name, count in registered.items()})
        self.origins.observe(LM, counts, now)
        return self.origins.choose_default(LM, counts, LIFETIME_S, now)

    def test_only_streams_of_other_versions_are_recorded(self) -> None:
        self.assertTrue(self.origins.must_record(LM, V1))
        self.set_default(V1)
        self.assertFalse(self.origins.must_record(LM, V1))
        self.assertTrue(self.origins.must_record(LM, V2))

    def test_stream_without_a_record_began_at_the_default_version(self) -> None:
        self.assertIsNone(self.origins.infer(LM))
        self.set_default(V1)
        self.assertEqual(self.origins.infer(LM), V1)

    def test_nothing_is_inferred_from_records_that_a_restore_may_have_lost(self) -> None:
        """Guards against taking a stream whose record is lost for one of the default version."""
        self.set_default(V1)
        self.origins.set_era(StoreEra(2), 5.0)
        self.assertIsNone(self.origins.infer(LM))
        self.assertTrue(self.origins.must_record(LM, V1))

    def test_records_are_complete_again_once_they_were_rewritten(self) -> None:
        self.set_default(V1)
        self.assertTrue(self.origins.set_era(StoreEra(2), 5.0))
        self.assertIsNone(self.choose(5.0 + REWRITING_S / 2, v1=1))
        expected = DefaultVersion(V1, StoreEra(2))
        self.assertEqual(self.choose(5.0 + REWRITING_S, v1=1), expected)

    def test_instance_that_started_after_a_restore_waits_for_a_lifetime(self) -> None:
        """Guards against records that count as complete although nobody could write them again."""
        self.set_default(V1, StoreEra(0))
        self.assertIsNone(self.choose(LIFETIME_S - 1, v1=1))
        self.assertEqual(self.choose(LIFETIME_S, v1=1), DefaultVersion(V1, ERA))

    def test_default_changes_once_its_streams_have_ended(self) -> None:
        """Guards against streams of the old version that count as ones of the new."""
        self.set_default(V1)
        self.assertIsNone(self.choose(0.0, v1=1, v2=3))
        self.assertIsNone(self.choose(10.0, v2=3, v3=1))
        self.assertIsNone(self.choose(10.0 + LIFETIME_S - 1, v2=3, v3=1))
        self.assertEqual(self.choose(10.0 + LIFETIME_S, v2=3, v3=1), DefaultVersion(V2, ERA))

    def test_default_that_came_back_does_not_change(self) -> None:
        self.set_default(V1)
        self.choose(0.0, v2=1)
        self.choose(LIFETIME_S - 1, v1=1, v2=1)
        self.assertIsNone(self.choose(LIFETIME_S + 1, v2=1))

    def test_first_default_is_the_most_common_version(self) -> None:
        self.assertEqual(self.choose(0.0, v3=1, v2=2), DefaultVersion(V2, ERA))
        self.assertIsNone(self.choose(0.0))

    def test_only_version_needs_no_lookup(self) -> None:
        """Guards against refusing take-ups while the store is away and nothing was released."""
        self.set_default(V1)
        self.choose(0.0, v1=2)
        self.assertIsNone(self.origins.find_only_version(LM, LIFETIME_S, LIFETIME_S - 1))
        self.assertEqual(self.origins.find_only_version(LM, LIFETIME_S, LIFETIME_S), V1)
        self.choose(40.0, v1=2, v2=1)
        self.assertIsNone(self.origins.find_only_version(LM, LIFETIME_S, 69.0))
        self.assertEqual(self.origins.find_only_version(LM, LIFETIME_S, 70.0), V1)

    def test_recorded_stream_of_a_peer_shows_that_another_version_serves(self) -> None:
        self.set_default(V1)
        self.origins.remember(create_origin("r1"), is_recorded=True, now=50.0)
        self.assertIsNone(self.origins.find_only_version(LM, LIFETIME_S, 60.0))
        self.assertEqual(self.origins.find(RequestId("r1"), LM), V2)

    def test_stream_of_another_service_is_not_found(self) -> None:
        """Guards against a take-up that names a stream of another service."""
        self.origins.remember(create_origin("r1"), is_recorded=True, now=0.0)
        self.assertIsNone(self.origins.find(RequestId("r1"), OTHER))

    def test_last_record_of_a_stream_counts(self) -> None:
        self.origins.remember(create_origin("r1", V2), is_recorded=True, now=0.0)
        self.origins.remember(create_origin("r1", V1), is_recorded=True, now=1.0)
        self.assertEqual(self.origins.find(RequestId("r1"), LM), V1)
        self.assertEqual(len(self.origins.list_recorded(10.0, 1.0)), 1)

    def test_memory_is_bounded(self) -> None:
        for number in range(MAX_STREAMS + 10):
            self.origins.remember(create_origin(f"r{number}"), is_recorded=False, now=0.0)
        self.assertIsNone(self.origins.find(RequestId("r0"), LM))
        self.assertEqual(self.origins.find(RequestId(f"r{MAX_STREAMS}"), LM), V2)

    def test_streams_begin_at_the_version_that_will_be_the_default(self) -> None:
        """Guards against unrecorded streams at different versions before a default is known."""
        counts = Counter({V1: 1, V2: 2})
        self.assertEqual(self.origins.find_recordless(LM, counts), V2)
        self.set_default(V1)
        self.assertEqual(self.origins.find_recordless(LM, counts), V1)
        self.assertIsNone(self.origins.find_recordless(LM, Counter({V2: 1})))
