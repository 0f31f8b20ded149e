"""Messages between entry instances."""

import unittest
from unittest.mock import Mock

import zmq

from mulberryrill.internal.core.serving.loads import LoadTable, TargetLoad, build_report
from mulberryrill.internal.core.serving.targetlimits import LimitNews
from mulberryrill.internal.core.serving.targettable import TargetRun
from mulberryrill.internal.entry.peers import LIMITS_INTERVAL_S, Peer, PeerExchange
from mulberryrill.internal.ids import DataCentre, Incarnation, InstanceId, TargetId
from mulberryrill.internal.schema.peers_pb2 import PeerReport

TARGET = TargetId("t1")


class PeerReportTest(unittest.TestCase):
    def setUp(self) -> None:
        self.loads = LoadTable()
        self.state = Mock(loads=self.loads)
        peer = Peer(InstanceId("i1"), DataCentre("z1"), "127.0.0.1:1")
        self.exchange = PeerExchange(
            Mock(now=lambda: 1.0, boottime=lambda: 100.0), peer, self.state
        )
        self.addCleanup(self.exchange._context.destroy, 0)

    def receive(self, *messages: bytes) -> None:
        frames = [[b"*", message] for message in messages]
        self.exchange._subscriber.close()
        self.exchange._subscriber = Mock()

        self.exchange._subscriber.recv_multipart.side_effect = [*frames, zmq.Again()]
        self.exchange._receive()

    def build_message(self, instance: str = "i2") -> PeerReport:
        report = PeerReport(instance=instance, data_centre="z1")
        loads = build_report({TARGET: TargetLoad({1: 4_000}, held_tokens=9, running=2)})
        report.loads.targets.extend(loads.targets)
        report.loads.held_tokens.extend(loads.held_tokens)
        report.loads.running.extend(loads.running)
        report.loads.pending_positions.append(0)
        report.loads.pending_priorities.append(1)
        report.loads.pending_tokens.append(4_000)
        return report

    def test_loads_survive_the_encoding(self) -> None:
        self.receive(self.build_message().SerializeToString())
        self.assertEqual(self.loads.estimate_pending_tokens(TARGET, 1, 1.0), 4_000)
        self.assertEqual(self.loads.estimate_held_tokens(TARGET, 1.0), 9)
        self.assertEqual(self.loads.estimate_running_calls(TARGET, 1.0), 2)

    def test_records_that_a_restored_store_lost_come_from_any_data_centre(self) -> None:
        """Guards against a starting instance that waits for a reader that has not noticed."""
        received: list[bool] = []
        self.exchange.on_log_feed = lambda instance, feed: received.append(feed.is_carried)
        report = PeerReport(instance="i3", data_centre="z2")
        report.feeds.add(topic="keyed.op", era=2)
        report.feeds.add(topic="keyed.op", era=2, is_carried=True)
        self.receive(report.SerializeToString())
        self.assertEqual(received, [True])

    def test_named_limits_survive_the_encoding(self) -> None:
        run = TargetRun(TARGET, Incarnation("7"))
        for rate in (2.5, 0.0, None):
            with self.subTest(rate=rate):
                news = LimitNews(run, rate, named_at=90.0, is_own=True)
                self.state.target_limits.list_own_news.return_value = [news]
                sent = self.build_message()
                self.exchange._limits_sent_at = float("-inf")
                self.exchange._add_limits(sent, 1.0)
                self.receive(sent.SerializeToString())
                received = self.state.apply_peer_limit.call_args.args[0]
                self.assertEqual(received, LimitNews(run, rate, named_at=90.0, is_own=False))

    def test_limits_are_sent_at_once_when_they_change_and_repeated(self) -> None:
        def count_sent(rate: float | None, now: float) -> int:
            news = LimitNews(TargetRun(TARGET, Incarnation("7")), rate, 90.0, is_own=True)
            self.state.target_limits.list_own_news.return_value = [news]
            report = PeerReport()
            self.exchange._add_limits(report, now)
            return len(report.named_limits)

        self.assertEqual([count_sent(2.0, 1.0), count_sent(2.0, 1.1)], [1, 0])
        self.assertEqual([count_sent(3.0, 1.2), count_sent(3.0, 1.3)], [1, 0])
        self.assertEqual(count_sent(3.0, 1.2 + LIMITS_INTERVAL_S), 1)

    def test_lists_that_do_not_fit_together_are_rejected(self) -> None:
        for field, value in (("running", 1), ("pending_positions", 5), ("held_tokens", 1)):
            message = self.build_message()
            getattr(message.loads, field).append(value)
            with self.subTest(field=field):
                self.receive(message.SerializeToString())
                self.assertEqual(self.loads.estimate_running_calls(TARGET, 1.0), 0)

    def test_error_in_one_report_does_not_hide_the_next(self) -> None:
        """Guards against messages that stay unread because of the one before them."""
        self.state.cache_sharing.apply.side_effect = [RuntimeError("broken"), None]
        first, second = self.build_message("i2"), self.build_message("i3")
        first.caches.add(holder="h")
        self.receive(first.SerializeToString(), b"\xff", second.SerializeToString())
        self.assertEqual(self.loads.estimate_running_calls(TARGET, 1.0), 4)
