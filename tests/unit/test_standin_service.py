"""The plain service stand-in records calls that ran, even unanswered ones, but no rejected ones."""

import json
import tempfile
import unittest
from pathlib import Path

from mulberryrill.errors import HttpError
from mulberryrill.internal.httpclient import HttpClient
from mulberryrill.internal.schema.settings_pb2 import Listen, PlainServiceSettings
from mulberryrill.internal.standins.service import ServiceStandin


class ServiceStandinTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.history = Path(folder.name) / "history.jsonl"
        settings = PlainServiceSettings(
            id="vendor-1", listen=Listen(host="127.0.0.1"), history_file=str(self.history)
        )
        self.service = ServiceStandin(settings)
        self.service.start()
        self.addCleanup(self.service.close)
        self.client = HttpClient()
        self.addCleanup(self.client.close)
        self.url = f"http://127.0.0.1:{self.service.port}"

    def count_executions(self) -> int:
        lines = self.history.read_text(encoding="utf-8").splitlines()
        return sum(json.loads(line)["event"] == "execution" for line in lines)

    def test_call_runs_once_and_echoes_its_headers(self) -> None:
        headers = {"X-Attempt-Id": "att-1", "X-Customer": "kariakoo", "X-Request-Id": "req-1"}
        response = self.client.send("POST", f"{self.url}/pay", b"{}", headers)
        self.assertEqual((response.status, response.headers["x-attempt-id"]), (200, "att-1"))
        self.assertTrue(response.headers["x-incarnation"])
        self.assertEqual(self.count_executions(), 1)

    def test_rejected_call_does_not_run_but_lost_answer_does(self) -> None:
        self.client.send("POST", f"{self.url}/v1/faults", b'{"reject": 1, "lose_answers": 1}')
        self.assertEqual(self.client.send("POST", f"{self.url}/pay").status, 503)
        self.assertEqual(self.count_executions(), 0)
        with self.assertRaises(HttpError):
            self.client.send("POST", f"{self.url}/pay")
        self.assertEqual(self.count_executions(), 1)
