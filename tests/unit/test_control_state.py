"""Snapshots, target views, peers' state and traces, with a manually advanced clock."""

import unittest

from mulberryrill.internal.clock import ManualClock
from mulberryrill.internal.control.link import ToGateway, ToPeer
from mulberryrill.internal.control.peers import PeerTracker
from mulberryrill.internal.control.snapshots import SnapshotPublisher
from mulberryrill.internal.control.targets import Audience, TargetViews
from mulberryrill.internal.control.traces import TraceBuffer
from mulberryrill.internal.control.watcher import parse_state
from mulberryrill.internal.schema.wire_pb2 import (
    Health,
    Heartbeat,
    RequestTrace,
    SnapshotUpdate,
    TargetView,
)

ORDERS = 5


class SnapshotsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = ManualClock()
        self.sent: list[ToGateway] = []
        self.offset = 4
        self.snapshots = SnapshotPublisher("run-1", self.sent.append, self.clock)

    def publish(self, offset: int) -> int:
        """Publishes a snapshot at an offset and returns its version."""
        self.clock.advance(1)
        self.snapshots.mark_changed()
        self.snapshots.tick(lambda: SnapshotUpdate(folded_offset=offset))
        return self.sent[-1].envelope.snapshot_update.version if self.sent else 0

    def test_slowest_gateway_decides_what_is_in_force(self) -> None:
        """Guards against reporting a change as in force that one gateway has not received."""
        self.snapshots.on_message("g-0", 1)
        self.snapshots.on_message("g-1", 1)
        version = self.publish(4)
        self.snapshots.on_ack("g-0", version)
        self.assertEqual(self.snapshots.in_force_offset, 0)
        self.snapshots.on_ack("g-1", version)
        self.assertEqual(self.snapshots.in_force_offset, 4)

    def test_acknowledgement_of_another_run_does_not_count(self) -> None:
        """Guards against counting a late acknowledgement of this process's previous run."""
        old = SnapshotPublisher("run-0", self.sent.append, self.clock)
        old.on_message("g-0", 1)
        old.mark_changed()
        old.tick(lambda: SnapshotUpdate(folded_offset=9))
        late = self.sent[-1].envelope.snapshot_update.version
        self.clock.advance(1)
        restarted = SnapshotPublisher("run-1", self.sent.append, self.clock)
        restarted.on_message("g-0", 2)
        for _ in range(3):
            self.clock.advance(1)
            restarted.mark_changed()
            restarted.tick(lambda: SnapshotUpdate(folded_offset=9))
        restarted.on_ack("g-0", late)
        self.assertEqual(restarted.in_force_offset, 0)

    def test_restarted_gateway_and_lost_snapshot_get_it_again(self) -> None:
        self.snapshots.on_message("g-0", 50)
        version = self.publish(4)
        self.snapshots.on_ack("g-0", version)
        self.snapshots.on_message("g-0", 1)
        self.assertEqual(len(self.sent), 2)
        for _ in range(3):
            self.clock.advance(1)
            self.snapshots.on_message("g-0", 2)
            self.snapshots.tick(SnapshotUpdate)
        self.assertEqual([s.envelope.snapshot_update.version for s in self.sent], [version] * 3)

    def test_silent_gateway_is_not_waited_for(self) -> None:
        self.snapshots.on_message("g-0", 1)
        self.snapshots.on_message("g-1", 1)
        self.snapshots.on_ack("g-0", self.publish(4))
        for sequence in range(2, 14):
            self.clock.advance(1)
            self.snapshots.on_message("g-0", sequence)
            self.snapshots.tick(SnapshotUpdate)
        self.assertEqual(
            (self.snapshots.list_gateways(), self.snapshots.in_force_offset), (["g-0"], 4)
        )


def create_view(
    incarnation: str = "i", health: "Health.ValueType" = Health.HEALTHY, running: int = 0
) -> TargetView:
    return TargetView(
        target="e", incarnation=incarnation, health=health, running=running, max_concurrency=8
    )


class TargetsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.targets = TargetViews("k-1")
        self.targets.set_watched(["e"])

    def test_one_watcher_without_a_path_does_not_hide_a_target(self) -> None:
        self.targets.on_views("k-1", [create_view()], 100.0)
        self.targets.on_views("k-2", [create_view("", Health.UNREACHABLE)], 100.1)
        view = self.targets.find_view("e", 100.2)
        assert view is not None
        self.assertEqual(view.health, Health.HEALTHY)

    def test_last_view_of_a_dead_watcher_does_not_outlive_a_crash(self) -> None:
        """Guards against routing to a crashed target because one of its watchers died too."""
        self.targets.on_views("k-2", [create_view()], 100.0)
        self.targets.on_views("k-1", [create_view("", Health.UNREACHABLE)], 104.0)
        view = self.targets.find_view("e", 104.1)
        assert view is not None
        self.assertEqual(view.health, Health.UNREACHABLE)

    def test_withdrawn_view_does_not_outlive_a_crash(self) -> None:
        """Guards against a stale healthy view from a watcher that no longer polls the target."""
        other = TargetViews("k-2")
        self.targets.on_views("k-1", [create_view()], 100.0)
        first = self.targets.pop_pending_notice(100.0, Audience.DATA_CENTRE)
        self.targets.set_watched([])
        self.targets.on_views("k-1", [create_view(running=1)], 100.1)
        second = self.targets.pop_pending_notice(100.1, Audience.DATA_CENTRE)
        assert first is not None and second is not None
        self.assertIsNone(self.targets.pop_pending_notice(100.2, Audience.DATA_CENTRE))
        for notice in (first, second):
            other.on_views("k-1", notice.targets, 100.2)
        for targets in (self.targets, other):
            view = targets.find_view("e", 100.3)
            assert view is not None  # It counts until another watcher has polled.
            self.assertEqual(view.health, Health.HEALTHY)
            targets.on_views("k-3", [create_view("", Health.UNREACHABLE)], 100.4)
            view = targets.find_view("e", 100.5)
            assert view is not None
            self.assertEqual(view.health, Health.UNREACHABLE)

    def test_load_goes_to_the_holder_at_once_and_a_restart_to_all(self) -> None:
        self.targets.on_views("k-1", [create_view()], 100.0)
        for audience in Audience:
            self.assertIsNotNone(self.targets.pop_pending_notice(100.0, audience))
            self.assertIsNone(self.targets.pop_pending_notice(100.1, audience))
        self.targets.on_views("k-1", [create_view(running=3)], 100.2)
        self.assertIsNotNone(self.targets.pop_pending_notice(100.2, Audience.HOLDER))
        self.assertIsNone(self.targets.pop_pending_notice(100.2, Audience.DATA_CENTRE))
        self.targets.on_views("k-1", [create_view("j", running=3)], 100.4)
        self.assertIsNotNone(self.targets.pop_pending_notice(100.4, Audience.DATA_CENTRE))

    def test_unusable_state_is_an_unreachable_target(self) -> None:
        good = b'{"incarnation": "i", "max_concurrency": 8, "models": []}'
        self.assertEqual(parse_state("e", 200, good).health, Health.HEALTHY)
        for status, body in (
            (503, good),
            (200, b"<html>"),
            (200, b"[]"),
            (200, b'{"incarnation": 5, "max_concurrency": 8}'),
            (200, b'{"incarnation": "i", "max_concurrency": 8, "models": [3]}'),
            (200, b'{"incarnation": "i", "max_concurrency": 99999999999}'),
        ):
            with self.subTest(status=status, body=body):
                self.assertEqual(parse_state("e", status, body).health, Health.UNREACHABLE)


class PeersTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = ManualClock()
        self.sent: list[ToPeer] = []
        self.peers = PeerTracker("k-1", "k", self.sent.append, self.clock)

    def receive_heartbeat(self, instance: str, offset: int, ready: bool = True) -> None:
        heartbeat = Heartbeat(
            instance=instance,
            data_centre="k",
            folded_offset=offset,
            in_force_offset=offset,
            ready=ready,
            orders_digest=ORDERS,
        )
        self.peers.on_heartbeat(heartbeat)

    def take_state_request_recipients(self) -> list[str]:
        recipients = [s.instance for s in self.sent if s.envelope.HasField("state_request")]
        self.sent.clear()
        return recipients

    def test_without_the_log_readiness_needs_the_newest_state_of_live_peers(self) -> None:
        """Guards against a new instance serving an old configuration while the log is down."""
        self.clock.advance(5)
        self.assertFalse(self.peers.has_newest_state(9))
        self.receive_heartbeat("k-2", 9, ready=False)
        self.peers.on_state_reply("k-2")
        self.assertFalse(self.peers.has_newest_state(9))
        self.receive_heartbeat("k-2", 9)
        self.receive_heartbeat("k-3", 12, ready=False)
        self.assertFalse(self.peers.has_newest_state(9))
        self.assertTrue(self.peers.has_newest_state(12))

    def test_instance_that_stays_behind_asks_the_peers_ahead(self) -> None:
        """Guards against an instance staying behind because its log connection hangs."""
        self.receive_heartbeat("k-2", 9)
        self.receive_heartbeat("k-3", 5)
        self.peers.request_state(5, ORDERS, log_reachable=True)
        self.assertEqual(self.take_state_request_recipients(), [])
        self.clock.advance(2)
        self.receive_heartbeat("k-2", 9)
        self.peers.request_state(5, ORDERS, log_reachable=True)
        self.assertEqual(self.take_state_request_recipients(), ["k-2"])
        self.clock.advance(1)
        self.receive_heartbeat("k-3", 5)
        self.peers.request_state(9, ORDERS + 1, log_reachable=True)
        self.assertEqual(self.take_state_request_recipients(), ["k-2", "k-3"])

    def test_progress_of_the_data_centre_goes_to_others_only_when_it_changed(self) -> None:
        """Guards against traffic that grows with the square of the number of instances."""
        self.receive_heartbeat("k-2", 9)
        own = Heartbeat(instance="k-1", data_centre="k", in_force_offset=9)
        sizes = []
        for _ in range(4):
            self.peers.send_heartbeats(own, [("m-1", "m"), ("k-2", "k")])
            sizes.append([len(s.envelope.heartbeat.progress) for s in self.sent[-2:]])
            self.clock.advance(2)
        self.receive_heartbeat("k-2", 10)
        self.peers.send_heartbeats(own, [("m-1", "m"), ("k-2", "k")])
        sizes.append([len(s.envelope.heartbeat.progress) for s in self.sent[-2:]])
        self.assertEqual(sizes, [[2, 0], [0, 0], [0, 0], [0, 0], [2, 0]])


class TracesTest(unittest.TestCase):
    def test_memory_is_bounded(self) -> None:
        traces = TraceBuffer(limit=2)
        for number in (1, 2, 1, 3):
            traces.add(RequestTrace(request_id=f"r-{number}"))
        self.assertEqual([bool(traces.get_trace(f"r-{n}")) for n in (1, 2, 3)], [True, False, True])
