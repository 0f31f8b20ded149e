"""Tests how peers and watchers are derived from the member list and heartbeats."""

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
            view.update_members(LOCAL + REMOTE + TARGETS, 0.0)

    def test_peers_are_all_local_and_two_of_each_other(self) -> None:
        peers = self.views["k-0"].list_peers()
        self.assertEqual([p for p in peers if p.startswith("k-")], ["k-1", "k-2", "k-3"])
        self.assertEqual(len([p for p in peers if p.startswith("m-")]), 2)

    def send_heartbeat(self, name: str, now: float, leaving: bool = False) -> None:
        heartbeat = Heartbeat(instance=name, data_centre="kariakoo", leaving=leaving)
        self.views["k-0"].on_heartbeat(heartbeat, now)

    def test_silent_instance_stays_in_the_data_centre_while_listed(self) -> None:
        """Guards against slots allotted twice because a paused instance still runs requests."""
        view = self.views["k-0"]
        self.send_heartbeat("k-1", HEARTBEAT_TIMEOUT_S * 2)
        self.assertEqual(view.list_local_instances(), ["k-0", "k-1", "k-2", "k-3"])

    def test_unlisted_instance_counts_while_it_is_heard(self) -> None:
        """Guards against slots allotted without an instance that the list does not show yet."""
        view = self.views["k-0"]
        self.send_heartbeat("k-9", 1.0)
        self.assertIn("k-9", view.list_local_instances())
        self.assertIn("k-9", view.list_peers())
        self.send_heartbeat("k-1", 1.0 + HEARTBEAT_TIMEOUT_S * 2)
        self.assertNotIn("k-9", view.list_local_instances())

    def test_leaving_instance_watches_nothing_but_may_use_slots(self) -> None:
        view = self.views["k-0"]
        for name in ("k-1", "k-2", "k-3"):
            self.send_heartbeat(name, 1.0, leaving=True)
        self.assertEqual(len(view.list_watched_targets()), len(TARGETS))
        self.assertEqual(len(view.list_local_instances()), 4)
        self.assertEqual(view.count_live_instances(), 6)

    def test_remote_peers_avoid_silent_instances(self) -> None:
        """Guards against losing a data centre because both peers chosen there failed."""
        view = self.views["k-0"]
        now = HEARTBEAT_TIMEOUT_S * 2
        first = [p for p in view.list_peers() if p.startswith("m-")]
        for name in {m.id for m in REMOTE} - set(first):
            view.on_heartbeat(Heartbeat(instance=name, data_centre="msasani"), now)
        second = [p for p in view.list_peers() if p.startswith("m-")]
        self.assertEqual(len(second), 2)
        self.assertFalse(set(first) & set(second))

    def test_each_target_has_two_watchers_also_after_a_failure(self) -> None:
        """Guards against targets that no instance polls after an instance has failed."""
        now = 0.0
        for alive in (list(self.views), ["k-0", "k-1", "k-2"]):
            now += HEARTBEAT_TIMEOUT_S * 2
            for view in self.views.values():
                for name in alive:
                    view.on_heartbeat(Heartbeat(instance=name, data_centre="kariakoo"), now)
            watched = [t.id for name in alive for t in self.views[name].list_watched_targets()]
            self.assertEqual(sorted(watched), sorted([t.id for t in TARGETS] * 2))
