"""Platform clients tell a lost response from a refused connection and reject bad responses."""

import json
import unittest

from werkzeug.wrappers import Request, Response

from mulberryrill.errors import AppendInDoubtError, OffsetExpiredError, PlatformError
from mulberryrill.internal.core.records import MAX_RECORD_BYTES
from mulberryrill.internal.http.server import DetachedConnectionError, HttpServer
from mulberryrill.internal.ids import Offset
from mulberryrill.internal.platform.listclient import ListClient, encode_member, parse_member
from mulberryrill.internal.platform.logclient import LogClient
from mulberryrill.internal.schema.settings_pb2 import Listen
from mulberryrill.internal.schema.wire_pb2 import Member, MemberKind, MemberState


class PlatformClientTest(unittest.TestCase):
    def setUp(self) -> None:
        self.answer: Response | None = None
        self.server = HttpServer(Listen(host="127.0.0.1", port=0), self.serve, threads=2)
        self.server.start()
        self.addCleanup(self.server.close)
        url = f"http://127.0.0.1:{self.server.port}/"
        self.log, self.list = LogClient(url), ListClient(url)
        self.addCleanup(self.log.close)
        self.addCleanup(self.list.close)

    def serve(self, request: Request) -> Response:
        if self.answer is None:
            self.server.detach(request).close()
            raise DetachedConnectionError
        return self.answer

    def answer_json(self, body: object, status: int = 200) -> None:
        self.answer = Response(json.dumps(body), status=status)

    def test_append_with_lost_or_unusable_answer_is_in_doubt(self) -> None:
        """Guards against treating an append that may have succeeded as failed."""
        with self.assertRaises(AppendInDoubtError):
            self.log.append("claims", b"a")
        for body, status in (({}, 503), ([], 200), ({"offset": "x"}, 200), ("x", 200)):
            with self.subTest(body=body, status=status), self.assertRaises(AppendInDoubtError):
                self.answer_json(body, status)
                self.log.append("claims", b"a")

    def test_append_that_was_not_made_is_not_in_doubt(self) -> None:
        self.answer_json({}, 400)
        with self.assertRaises(PlatformError) as refused:
            self.log.append("claims", b"a")
        self.answer = None
        with self.assertRaises(PlatformError) as too_long:
            self.log.append("claims", b"a" * (MAX_RECORD_BYTES + 1))
        self.server.close()
        with self.assertRaises(PlatformError) as unreachable:
            self.log.append("claims", b"a")
        for caught in (refused, too_long, unreachable):
            self.assertNotIsInstance(caught.exception, AppendInDoubtError)

    def test_read_reports_expired_offsets_and_malformed_pages(self) -> None:
        self.answer_json({"first": 7}, 410)
        with self.assertRaises(OffsetExpiredError) as caught:
            self.log.read("claims", Offset(1), 10, 0)
        self.assertEqual(caught.exception.first_offset, 7)
        record = {"offset": 1, "time_ms": 5, "data": "???"}
        for body, status in (
            ({}, 410),
            ([], 200),
            ({"first": 1, "next": 2}, 200),
            ({"first": 1, "next": 2, "records": [record]}, 200),
            ({"first": 1, "next": 2, "records": [5]}, 200),
            ({}, 500),
        ):
            with self.subTest(body=body, status=status), self.assertRaises(PlatformError):
                self.answer_json(body, status)
                self.log.read("claims", Offset(1), 10, 0)

    def test_list_leaves_out_malformed_members(self) -> None:
        """Guards against a malformed registration that hides all targets."""
        member = Member(
            id="e-1", kind=MemberKind.engine, data_centre="k", state=MemberState.leaving
        )
        good = json.loads(encode_member(member))
        bad = [5, {}, {**good, "kind": "robot"}, {**good, "id": 5}, {**good, "state": "asleep"}]
        self.answer_json({"members": [*bad, good]})
        members = self.list.read_members()
        self.assertEqual(members, (member,))
        self.assertIs(self.list.read_members(), members)
        self.assertEqual(parse_member(good), member)
        bodies: list[object] = [[], {"members": 3}, "x"]
        for body in bodies:
            with self.subTest(body=body), self.assertRaises(PlatformError):
                self.answer_json(body)
                self.list.read_members()
