"""The platform stand-in serves the log and the member list and injects its faults."""

import base64
import threading
import unittest

from mulberryrill.errors import HttpError, OffsetExpiredError
from mulberryrill.internal.clock import ManualClock
from mulberryrill.internal.httpclient import HttpClient
from mulberryrill.internal.schema.settings_pb2 import Listen, PlatformSettings
from mulberryrill.internal.standins.logstreams import LogStreams
from mulberryrill.internal.standins.memberlist import MemberList
from mulberryrill.internal.standins.platform import PlatformStandin


class LogStreamsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = ManualClock()
        self.streams = LogStreams(10_000, self.clock)

    def test_times_never_decrease_when_the_wall_clock_is_set_back(self) -> None:
        self.streams.append("a", b"1")
        self.clock.advance(-3)
        self.streams.append("a", b"2")
        first, second = self.streams.read("a", 1, 10, 0).records
        self.assertEqual((first.offset, second.offset), (1, 2))
        self.assertGreaterEqual(second.time_ms, first.time_ms)

    def test_old_records_expire_and_offsets_continue(self) -> None:
        self.streams.append("a", b"1")
        self.clock.advance(11)
        self.assertEqual(self.streams.append("a", b"2"), 2)
        with self.assertRaises(OffsetExpiredError) as caught:
            self.streams.read("a", 1, 10, 0)
        self.assertEqual(caught.exception.first_offset, 2)


class MemberListTest(unittest.TestCase):
    def test_readers_see_changes_and_expiry_late(self) -> None:
        clock = ManualClock()
        members = MemberList(ttl_s=10, lag_s=5, clock=clock)
        members.register("e1", {"id": "e1"})
        self.assertEqual(members.list_visible(), [])
        clock.advance(5)
        self.assertEqual(members.list_visible(), [{"id": "e1"}])
        clock.advance(9)  # Expired 4 s ago, less than the lag.
        self.assertEqual(members.list_visible(), [{"id": "e1"}])
        clock.advance(1)
        self.assertEqual(members.list_visible(), [])


class PlatformStandinTest(unittest.TestCase):
    def setUp(self) -> None:
        settings = PlatformSettings(listen=Listen(host="127.0.0.1"))
        self.platform = PlatformStandin(settings)
        self.platform.start()
        self.addCleanup(self.platform.close)
        self.client = HttpClient()
        self.addCleanup(self.client.close)
        self.url = f"http://127.0.0.1:{self.platform.port}"
        self.records = f"{self.url}/v1/streams/configuration/records"

    def read(self, query: str) -> dict:
        response = self.client.send("GET", f"{self.records}?{query}")
        parsed = response.parse_json()
        assert isinstance(parsed, dict)
        return {"status": response.status, **parsed}

    def set_faults(self, body: bytes) -> None:
        self.assertEqual(self.client.send("POST", f"{self.url}/v1/faults", body).status, 200)

    def test_appended_bytes_are_read_back(self) -> None:
        self.client.send("POST", self.records, b"\x00\xff")
        page = self.read("from=1&limit=5&wait_ms=0")
        self.assertEqual((page["first"], page["next"]), (1, 2))
        self.assertEqual(base64.b64decode(page["records"][0]["data"]), b"\x00\xff")
        self.assertEqual(self.read("from=0")["status"], 410)

    def test_long_poll_returns_on_append(self) -> None:
        timer = threading.Timer(0.2, lambda: HttpClient().send("POST", self.records, b"x"))
        timer.start()
        page = self.read("from=1&wait_ms=8000")
        timer.join()
        self.assertEqual(len(page["records"]), 1)

    def test_lost_answer_still_appends(self) -> None:
        self.set_faults(b'{"lose_answers": 1}')
        with self.assertRaises(HttpError):
            self.client.send("POST", self.records, b"a")
        self.assertEqual(self.read("from=1")["next"], 2)

    def test_log_down_appends_nothing_and_leaves_the_list(self) -> None:
        self.set_faults(b'{"log": "down"}')
        with self.assertRaises(HttpError):
            self.client.send("POST", self.records, b"a")
        member = b'{"kind": "engine", "state": "live"}'
        self.client.send("PUT", f"{self.url}/v1/members/e1", member)
        listed = self.client.send("GET", f"{self.url}/v1/members").parse_json()
        self.assertEqual(listed, {"members": [{"kind": "engine", "state": "live", "id": "e1"}]})
        self.set_faults(b'{"log": "up"}')
        self.assertEqual(self.read("from=1")["next"], 1)
