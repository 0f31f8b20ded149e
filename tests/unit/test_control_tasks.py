"""Tasks survive failures, post each result once, and claims keep their append budget."""

import unittest
from collections.abc import Callable
from unittest import mock

from mulberryrill.errors import AppendInDoubtError, OffsetExpiredError, PlatformError
from mulberryrill.internal.clock import ManualClock
from mulberryrill.internal.control.claims import ClaimProcessor
from mulberryrill.internal.control.follower import Follower
from mulberryrill.internal.control.history import ControlHistory
from mulberryrill.internal.control.messages import (
    AppendRequest,
    AppendResult,
    CaughtUp,
    Inbox,
    OffsetsExpired,
    ReadFailed,
    RecordsRead,
)
from mulberryrill.internal.control.task import Task
from mulberryrill.internal.control.writer import Writer
from mulberryrill.internal.core.claimfold import ClaimFold
from mulberryrill.internal.core.claims import ClaimTask
from mulberryrill.internal.core.messages import Record
from mulberryrill.internal.history.writer import HistoryWriter
from mulberryrill.internal.ids import InstanceId, Offset
from mulberryrill.internal.platform.logclient import LogClient, LogPage
from mulberryrill.internal.schema.log_pb2 import LogBatch, Outcome
from tests.common.control import create_idempotency_key


def take_all(inbox: Inbox) -> list[object]:
    return [inbox.get_nowait() for _ in range(inbox.qsize())]


class TasksTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = ManualClock()
        self.inbox: Inbox = Inbox()
        self.log = mock.create_autospec(LogClient, instance=True)
        self.open_log: Callable[[], LogClient] = lambda: self.log

    def test_persistent_append_is_repeated_until_the_log_has_it(self) -> None:
        """Guards against losing a drain order while the log is down."""
        writer = Writer("w", self.open_log, self.inbox, self.clock)
        order = AppendRequest("configuration", "o", LogBatch(), persistent=True)
        change = AppendRequest("configuration", "c", LogBatch())
        self.log.append.side_effect = [AppendInDoubtError("a"), PlatformError("b"), 7]
        for request in (order, change):
            writer.post(request)
            writer.step()
        self.assertEqual(writer.count_pending(), 1)
        self.clock.advance(1)
        writer.step()
        self.assertEqual(
            take_all(self.inbox),
            [AppendResult(change, None, False, "b"), AppendResult(order, 7, False)],
        )

    def test_follower_posts_each_record_once_across_failures_and_gaps(self) -> None:
        records = [Record(Offset(n), 5, b"") for n in (1, 2, 9)]
        self.log.read.side_effect = [
            OffsetExpiredError(1),
            LogPage(Offset(1), Offset(3), tuple(records[:2])),
            PlatformError("down"),
            LogPage(Offset(1), Offset(3), tuple(records[1:2])),
            OffsetExpiredError(9),
            LogPage(Offset(9), Offset(10), tuple(records[2:])),
        ]
        follower = Follower("configuration", self.open_log, self.inbox, self.clock)
        with mock.patch("mulberryrill.internal.control.follower.RETRY_PAUSE_S", 0):
            for _ in range(6):
                follower.step()
        self.assertEqual(
            take_all(self.inbox),
            [
                RecordsRead("configuration", tuple(records[:2])),
                ReadFailed("configuration"),
                CaughtUp("configuration", 1000.0, 1),
                OffsetsExpired("configuration", 9),
                RecordsRead("configuration", tuple(records[2:])),
            ],
        )

    def test_failing_step_does_not_end_its_task(self) -> None:
        steps: list[int] = []

        class FailingTask(Task):
            def step(self) -> None:
                steps.append(1)
                if len(steps) == 3:
                    self.stop()
                raise ValueError("bad input")

        task = FailingTask("t")
        with mock.patch("mulberryrill.internal.control.task.FAILURE_PAUSE_S", 0):
            task.start()
            task._thread.join(10)
        self.assertEqual(len(steps), 3)

    def test_full_disk_does_not_fail_the_handler_that_writes_history(self) -> None:
        """Guards against a change that is applied but not answered because its event failed."""
        history = ControlHistory("/dev/full", "k-1", self.clock)
        with self.assertLogs(level="ERROR") as logs:
            history.write("order")
        self.assertEqual(vars(logs.records[0])["event_name"], "HISTORY_WRITE_FAILED")
        history.close()

    def test_all_instances_together_keep_the_append_budget(self) -> None:
        """Guards against 340 instances exceeding the rate of appends that the log can handle."""
        appended: list[AppendRequest] = []
        tasks = [ClaimTask(ClaimFold(1000), InstanceId("k-1")) for _ in range(2)]
        history = HistoryWriter("", "k-1", self.clock)
        claims = ClaimProcessor(tasks, appended.append, lambda message: None, history, self.clock)
        instances, seconds = 340, 60
        for step in range(seconds * 20):
            claims.tick(instances)
            claims.on_outcome(Outcome(claim_id=f"c-{step}", key=create_idempotency_key()))
            self.clock.advance(0.05)
        self.assertLessEqual(len(appended) * instances / seconds, 105)
        self.assertGreater(len(appended), 5)
