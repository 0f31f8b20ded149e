"""The operators' command line: exit codes, failover, and changes whose answer is lost."""

import contextlib
import io
import json
import tempfile
import unittest
from pathlib import Path
from typing import Any

from mulberryrill.bin.operator import Runtime, main
from mulberryrill.errors import HttpError
from mulberryrill.internal.clock import ManualClock
from mulberryrill.internal.httpclient import HttpResponse
from tests.unit.test_documents import VALID_DOCUMENT

Reaction = tuple[int, dict[str, Any]] | HttpError
SERVICE = "flavour-questions"
LOST = HttpError("connection reset", sent=True)
UNREACHABLE = HttpError("connection refused", sent=False)


class FakeSender:
    """Reacts by method and path; each call uses the next reaction, and the last one repeats."""

    def __init__(self, reactions: dict[str, list[Reaction]]) -> None:
        self.reactions = reactions
        self.calls: list[tuple[str, str, bytes, dict[str, str]]] = []

    def send(
        self,
        method: str,
        url: str,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
        timeout_s: float = 0,
    ) -> HttpResponse:
        self.calls.append((method, url, body, headers or {}))
        host, _, path = url.removeprefix("http://").partition("/v1/")
        name = f"{method} {path.partition('?')[0]}"
        reactions = self.reactions.get(f"{host} {name}") or self.reactions[name]
        reaction = reactions.pop(0) if len(reactions) > 1 else reactions[0]
        if isinstance(reaction, HttpError):
            raise reaction
        if reaction[1].get("change_id") == "SENT":
            reaction = (reaction[0], {"history": [{**reaction[1], "change_id": self.get_id()}]})
        return HttpResponse(reaction[0], json.dumps(reaction[1]).encode())

    def get_id(self) -> str:
        return next(call[3]["X-Change-Id"] for call in reversed(self.calls) if call[0] == "PUT")

    def close(self) -> None:
        pass


class OperatorTest(unittest.TestCase):
    """Guards against a change that is submitted twice, and against wrong exit codes."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.file = Path(folder.name) / "d.yaml"
        self.file.write_text(VALID_DOCUMENT)
        self.token = Path(folder.name) / "token"
        self.token.write_text("secret-token\n")
        self.reactions: dict[str, list[Reaction]] = {}
        self.sender = FakeSender(self.reactions)

    def run_command(self, *arguments: str, code: int = 0, urls: str = "http://a") -> str:
        clock = ManualClock()
        runtime = Runtime(clock, clock.advance, lambda ca_file: self.sender)
        flags = [f"--operators-url={urls}", "--token-file", str(self.token)]
        output = io.StringIO()
        with contextlib.redirect_stdout(output), contextlib.redirect_stderr(output):
            self.assertEqual(main(["mulberryrill", *flags, *arguments], runtime), code)
        self.assertNotIn("secret-token", output.getvalue())
        return output.getvalue()

    def react(self, method: str, path: str, *reactions: Reaction) -> None:
        self.reactions[f"{method} {path}"] = list(reactions)

    def react_to_put(self, *reactions: Reaction) -> None:
        self.react("PUT", f"documents/{SERVICE}", *reactions)

    def apply(self, *arguments: str, code: int = 0, urls: str = "http://a") -> str:
        return self.run_command(
            "apply", str(self.file), "--base-revision=3", *arguments, code=code, urls=urls
        )

    def count_puts(self) -> int:
        return sum(call[0] == "PUT" for call in self.sender.calls)

    def test_wrong_usage_exits_with_2(self) -> None:
        for arguments in (
            [],
            ["erase"],
            ["show"],
            ["apply", str(self.file)],
            ["apply", str(self.file), "--base-revision", "x"],
            ["show", "s", "--wait", "3"],
            ["status", "--unknown"],
            ["status", "--token-file", str(self.file)],
        ):
            with self.subTest(arguments):
                self.run_command(*arguments, code=2)
        self.assertEqual(self.sender.calls, [])

    def test_invalid_document_is_refused_before_it_is_sent(self) -> None:
        self.assertIn("valid", self.run_command("check", str(self.file)))
        self.file.write_text(
            "# revision: 3\n" + VALID_DOCUMENT.replace("pool: language", "pool: ''")
        )
        self.assertIn("d.yaml:5: pool: missing", self.run_command("check", str(self.file), code=1))
        self.apply(code=1)
        self.assertEqual(self.sender.calls, [])

    def test_shown_document_can_be_edited_and_applied(self) -> None:
        document = {"service": SERVICE, "revision": 3, "document": VALID_DOCUMENT}
        self.react("GET", f"documents/{SERVICE}", (200, document))
        self.file.write_text(self.run_command("show", SERVICE))
        self.react_to_put((200, {"revision": 7}))
        self.run_command("apply", str(self.file), "--reason", "more load")
        _, url, body, headers = self.sender.calls[-1]
        self.assertTrue(url.endswith("?base_revision=3&reason=more+load"), url)
        self.assertEqual(body.decode(), VALID_DOCUMENT)
        self.assertEqual(headers["Authorization"], "Bearer secret-token")

    def test_refused_change_exits_with_1_and_says_why(self) -> None:
        problem = {"title": "Change refused", "detail": "the base revision 3 is old"}
        self.react_to_put((409, problem))
        self.assertIn("the base revision 3 is old", self.apply(code=1, urls="http://a,http://b"))
        self.assertEqual(self.count_puts(), 1)
        answer = json.loads(self.apply("--json", code=1))
        self.assertEqual(answer["exit_code"], 1)

    def test_next_instance_is_tried_only_if_the_change_was_certainly_not_recorded(self) -> None:
        for reaction in (UNREACHABLE, (503, {"executed": "no"})):
            self.sender.calls.clear()
            self.react("PUT", f"documents/{SERVICE}", reaction, (200, {"revision": 7}))
            self.assertIn("revision 7", self.apply(urls="http://a,http://b"))
            self.assertEqual(self.count_puts(), 2)
        self.react_to_put(UNREACHABLE)
        self.apply(code=3)

    def test_lost_answer_is_resolved_by_the_history(self) -> None:
        history = f"documents/{SERVICE}/history"
        recorded = {"change_id": "SENT", "offset": 9, "accepted": True, "refusal": ""}
        for unknown_result in (LOST, (504, {"executed": "unknown"})):
            self.sender.calls.clear()
            self.react_to_put(unknown_result)
            self.react("GET", history, UNREACHABLE, (200, {"history": []}), (200, recorded))
            self.assertIn("revision 9", self.apply(urls="http://a,http://b"))
            self.assertEqual(self.count_puts(), 1)
        self.react("GET", history, (200, {**recorded, "accepted": False, "refusal": "too late"}))
        self.assertIn("too late", self.apply(code=1))
        self.react("GET", history, (200, {"history": []}))
        self.assertIn("not known whether", self.apply(code=3))

    def test_wait_names_the_instances_where_it_is_not_in_force(self) -> None:
        self.react_to_put((200, {"revision": 7}))
        behind: Reaction = (200, {"in_force": False, "behind": ["kariakoo-2"]})
        self.react("GET", "in-force", behind, UNREACHABLE, (200, {"in_force": True}))
        self.assertIn("in force everywhere", self.apply("--wait", "10"))
        self.react("GET", "in-force", behind)
        self.assertIn("kariakoo-2", self.apply("--wait", "10", code=4))

    def test_orders_and_reads_print_text_or_json(self) -> None:
        order = {"data_centre": "temeke", "state": "drained", "submitted_unix_ms": 0}
        self.react("POST", "datacentres/temeke/orders", LOST, (202, order))
        text = self.run_command("drain", "temeke", "--reason", "power", urls="http://a,http://b")
        self.assertIn("submitted: 1970-01-01 00:00:00Z", text)
        self.assertEqual(
            json.loads(self.sender.calls[-1][2]), {"state": "drained", "reason": "power"}
        )
        self.react("GET", "status", (200, {"ready": True, "services": [{"service": "s"}]}))
        self.assertEqual(json.loads(self.run_command("status", "--json"))["ready"], True)
        self.assertIn("ready: yes\nservices:\n  service\n  s\n", self.run_command("status"))
        entry = {"change_id": "c", "offset": 4, "accepted": True, "refusal": ""}
        self.react("GET", f"documents/{SERVICE}/history", (200, {"history": [entry]}))
        self.assertIn(
            "4       -       -         accepted  -       c", self.run_command("history", SERVICE)
        )

    def test_explain_asks_every_instance(self) -> None:
        self.reactions["a GET requests/req-1"] = [(404, {"title": "Unknown request"})]
        self.reactions["b GET requests/req-1"] = [(200, {"status": 200, "attempts": []})]
        self.assertIn("status: 200", self.run_command("explain", "req-1", urls="http://a,http://b"))
        self.assertIn("Unknown request", self.run_command("explain", "req-1", code=1))
