"""Parsing of the platform's records, including invalid ones."""

import json
import unittest

from mulberryrill.errors import CorruptRecordError
from mulberryrill.internal.core.serving.routetable import CallKind
from mulberryrill.internal.core.serving.targettable import RegistrationState
from mulberryrill.platform.records import parse_configuration, parse_registration
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
