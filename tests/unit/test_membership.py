"""Peers and watchers follow list and heartbeats."""

import unittest

from mulberryrill.internal.core.membership import HEARTBEAT_TIMEOUT_S, Membership
from mulberryrill.internal.ids import DataCentre, InstanceId
from mulberryrill.internal.schema.wire_pb2 import Heartbeat, Member, MemberKind, MemberState


def create_member(
    name: str, data_centre: str, kind: MemberKind.ValueType = MemberKind.entry
) -> Member:
    return Member(id=name, kind=kind, data_centre=data_centre, state=MemberState.live)


LOCAL = [create_member(f"k-{n}", "kariakoo") for n in range(4)]
REMOTE = [create_member(f"m-{n}", "msasani") for n in range(5)]
TARGETS = [create_member(f"e-{n}", "kariakoo", MemberKind.engine) for n in range(20)]


class MembershipTest(unittest.TestCase):
    def setUp(self) -> None:
        self.views = {m.id: Membership(InstanceId(m.id), DataCentre("kariakoo")) for m in LOCAL}
        for view in self.views.values():
            view.on_list(LOCAL + REMOTE + TARGETS, 0.0)

    def test_peers_are_all_local_and_two_of_each_other(self) -> None:
        peers = self.views["k-0"].list_peers()
        self.assertEqual([p for p in peers if p.startswith("k-")], ["k-1", "k-2", "k-3"])
        self.assertEqual(len([p for p in peers if p.startswith("m-")]), 2)

    def test_each_target_has_two_watchers_also_after_a_failure(self) -> None:
        """Guards against targets that nobody polls after an instance failed."""
        now = 0.0
        for alive in (list(self.views), ["k-0", "k-1", "k-2"]):
            now += HEARTBEAT_TIMEOUT_S * 2
            for view in self.views.values():
                for name in alive:
                    view.on_heartbeat(Heartbeat(instance=name, data_centre="kariakoo"), now)
            watched = [t.id for name in alive for t in self.views[name].list_watched()]
            self.assertEqual(sorted(watched), sorted([t.id for t in TARGETS] * 2))
