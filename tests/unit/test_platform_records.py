"""Parsing of the platform's records, including invalid ones."""

import json
import unittest

from mulberryrill.errors import CorruptRecordError
from mulberryrill.internal.core.serving.rollouts import (
    RolloutMark,
    RolloutState,
    RolloutStatus,
    Stage,
)
from mulberryrill.internal.core.serving.routetable import CallKind
from mulberryrill.internal.core.serving.targettable import RegistrationState
from mulberryrill.internal.ids import SoftwareVersion
from mulberryrill.platform.records import (
    encode_rollout_mark,
    encode_rollout_status,
    parse_configuration,
    parse_registration,
    parse_rollout_mark,
    parse_rollout_order,
    parse_rollout_status,
)
from tests.common.entry import CUSTOMER, HOST, KEY, create_configuration

REGISTRATION = {
    "service": "lm",
    "address": "10.0.0.1:80",
    "zone": "z1",
    "slots": 4,
    "state": "ready",
    "cold_remaining_ms": 1500,
    "seq": 3,
    "born": 1_700_000_000_000,
    "models": [{"name": "m", "version": 2, "adapters": []}],
}


class RolloutTest(unittest.TestCase):
    """Guards against orders that move calls although they are invalid, and unreadable statuses."""

    def test_records_survive_the_encoding(self) -> None:
        version = SoftwareVersion("v2")
        for state in RolloutState:
            status = RolloutStatus(state, version)
            self.assertEqual(parse_rollout_status(encode_rollout_status(status)), status)
        for stage in Stage:
            mark = RolloutMark(version, stage, 1_700_000_000_000, 2.5)
            self.assertEqual(parse_rollout_mark(encode_rollout_mark(mark)), mark)

    def test_status_is_what_the_platform_reads(self) -> None:
        status = RolloutStatus(RolloutState.ROLLED_BACK, SoftwareVersion("v2"))
        expected = {"state": "rolled_back", "target": "v2"}
        self.assertEqual(json.loads(encode_rollout_status(status)), expected)

    def test_duration_that_is_no_number_is_no_time(self) -> None:
        durations: list[object] = ["soon", None, True, [], 10**400]
        for duration in durations:
            order = {"service": "desk", "target": "v2", "duration_s": duration}
            parsed = parse_rollout_order(json.dumps(order).encode())
            self.assertFalse(parsed.duration_s > 0, duration)

    def test_missing_or_wrong_fields_are_refused(self) -> None:
        for change in ({"service": 7}, {"target": None}, {"target": ""}):
            order = {"service": "desk", "target": "v2", "duration_s": 9} | change
            with self.subTest(change), self.assertRaises(CorruptRecordError):
                parse_rollout_order(json.dumps(order).encode())
        for value in (b"", b"[]", b"{}", b'{"state": "late", "target": "v2"}'):
            with self.subTest(value), self.assertRaises(CorruptRecordError):
                parse_rollout_status(value)


class RegistrationTest(unittest.TestCase):
    """Guards against calls to a target that is taken from an invalid registration."""

    def test_fields_are_read(self) -> None:
        registration = parse_registration("t1", json.dumps(REGISTRATION).encode())
        self.assertEqual(
            (registration.target, registration.service, registration.cold_s), ("t1", "lm", 1.5)
        )
        self.assertIs(registration.state, RegistrationState.READY)
        self.assertEqual(registration.models, (("m", 2),))

    def test_missing_or_wrong_fields_are_refused(self) -> None:
        changes: list[dict[str, object]] = [
            {"service": None},
            {"service": 7},
            {"address": "nowhere"},
            {"address": "10.0.0.1:x"},
            {"state": "resting"},
            {"slots": "4"},
            {"slots": True},
            {"cold_remaining_ms": "soon"},
            {"models": [{"name": "m"}]},
            {"models": "m"},
        ]
        for change in changes:
            with self.assertRaises(CorruptRecordError, msg=change):
                parse_registration("t1", json.dumps({**REGISTRATION, **change}).encode())
        for data in (b"", b"[]", b"{", b"\xff"):
            with self.assertRaises(CorruptRecordError, msg=data):
                parse_registration("t1", data)


class ConfigurationRecordTest(unittest.TestCase):
    def test_routes_services_and_keys_are_read(self) -> None:
        table = parse_configuration(json.dumps(create_configuration(7)).encode())
        route = table.find_route(HOST, "/plan/x")
        assert route is not None
        self.assertIs(route.kind, CallKind.STREAM)
        self.assertTrue(route.is_resumable and route.has_prompt)
        self.assertEqual(table.customers_by_api_key[KEY].name, CUSTOMER)
        self.assertEqual((table.version, table.limits.max_head_bytes), (7, 8192))

    def test_unknown_kind_is_refused(self) -> None:
        configuration = create_configuration()
        configuration["routes"][0]["kind"] = "sometimes"
        with self.assertRaises(CorruptRecordError):
            parse_configuration(json.dumps(configuration).encode())
