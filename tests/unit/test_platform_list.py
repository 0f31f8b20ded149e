"""The platform's list is transferred only when it has changed."""

import unittest

from mulberryrill.internal.clock import ManualClock
from mulberryrill.internal.httpclient import HttpClient
from mulberryrill.internal.platform.listclient import ListClient
from mulberryrill.internal.schema.settings_pb2 import Listen, PlatformSettings
from mulberryrill.internal.schema.wire_pb2 import Member, MemberKind, MemberState
from mulberryrill.internal.standins.platform import PlatformStandin


class ConditionalListTest(unittest.TestCase):
    """Guards against a transfer of hundreds of kilobytes every few seconds at the planned size."""

    def setUp(self) -> None:
        self.clock = ManualClock()
        listen = Listen(host="127.0.0.1", port=0)
        self.platform = PlatformStandin(PlatformSettings(listen=listen), self.clock)
        self.platform.start()
        self.addCleanup(self.platform.close)
        self.url = f"http://127.0.0.1:{self.platform.port}"
        self.list = ListClient(self.url)
        self.addCleanup(self.list.close)

    def register(self, name: str) -> None:
        member = Member(
            id=name,
            kind=MemberKind.entry,
            data_centre="kariakoo",
            address="http://127.0.0.1:1",
            state=MemberState.live,
        )
        self.list.register(member)

    def test_unchanged_list_is_not_sent_again_and_a_change_is(self) -> None:
        self.register("a")
        first = self.list.read_members()
        self.assertEqual([m.id for m in first], ["a"])
        self.assertIs(self.list.read_members(), first)
        client = HttpClient()
        self.addCleanup(client.close)
        etag = client.send("GET", f"{self.url}/v1/members").headers["etag"]
        repeated = client.send("GET", f"{self.url}/v1/members", headers={"If-None-Match": etag})
        self.assertEqual((repeated.status, repeated.body), (304, b""))
        self.register("b")
        self.assertEqual([m.id for m in self.list.read_members()], ["a", "b"])
