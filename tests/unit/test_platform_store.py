"""The client of the platform's store across a restore from an older copy."""

import json
import unittest
from collections.abc import Callable
from unittest.mock import Mock, patch

from mulberryrill.errors import StoreCallError
from mulberryrill.internal.clock import ManualClock
from mulberryrill.internal.core.serving.keyedrecords import RecordPage
from mulberryrill.internal.entry.exchange import ExchangeResponse
from mulberryrill.internal.eventloop import EventLoop
from mulberryrill.internal.events import Event
from mulberryrill.internal.ids import Offset
from mulberryrill.platform.store import StoreClient


class EraTest(unittest.TestCase):
    def setUp(self) -> None:
        self.client = StoreClient(EventLoop(ManualClock(), "test"), "127.0.0.1:1")
        self.pending: list[Callable[[ExchangeResponse], None]] = []
        patcher = patch(
            "mulberryrill.platform.store.send_request",
            side_effect=lambda loop, pool, request, timeout_s, done, size: self.pending.append(
                done
            ),
        )
        patcher.start()
        self.addCleanup(patcher.stop)
        self.results: list[RecordPage | StoreCallError] = []

    def respond(self, era: str | None, *keys: str, more: bool = False) -> None:
        """Answers the oldest request with a page of the newest records."""
        items = [{"key": key, "value": "MQ==", "offset": 0} for key in keys]
        body = json.dumps({"items": items, "more": more, "end": 7}).encode()
        head = Mock()
        head.get.return_value = None if era is None else era.encode()
        self.pending.pop(0)(ExchangeResponse(200, head, body))

    def read(self) -> None:
        self.client.read_newest("keyed.op", self.results.append)

    def test_response_from_before_the_restore_is_not_used_after_it(self) -> None:
        """Guards against old records that a slow connection delivers."""
        self.read()
        self.read()
        first, second = self.pending
        self.pending = [second, first]
        self.respond("2")
        self.respond("1")
        self.assertIsInstance(self.results[0], RecordPage)
        self.assertIsInstance(self.results[1], StoreCallError)
        self.assertEqual(self.client.era, 2)

    def test_pages_of_two_eras_are_not_put_together(self) -> None:
        self.read()
        self.respond("1", "a", more=True)
        self.respond("2", "b")
        self.assertIsInstance(self.results[0], StoreCallError)

    def test_append_in_an_earlier_era_is_in_doubt(self) -> None:
        results: list[Offset | StoreCallError] = []
        self.client.append_keyed("keyed.x", "k", b"1", None, results.append)
        self.read()
        append, read = self.pending
        self.pending = [read, append]
        self.respond("2")
        self.respond("1")
        assert isinstance(results[0], StoreCallError)
        self.assertTrue(results[0].in_doubt)

    def test_rise_is_logged_once_and_unreadable_eras_are_ignored(self) -> None:
        with self.assertLogs(level="WARNING") as logs:
            for era in ("1", "3", "3", "x", "-4", "", None):
                self.read()
                self.respond(era)
        events = [vars(record)["event"] for record in logs.records]
        self.assertEqual(events, [Event.LOG_RESTORED])
        self.assertEqual(self.client.era, 3)
        self.assertTrue(all(isinstance(result, RecordPage) for result in self.results))
