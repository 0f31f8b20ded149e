"""Each history check reports histories that break its invariant, and no others."""

import json
import tempfile
import unittest
from pathlib import Path

from mulberryrill.errors import HistoryError
from mulberryrill.internal.history.checks import CHECKS
from mulberryrill.internal.history.reading import History, HistoryEvent, read_history
from mulberryrill.internal.standins.pseudotext import digest_expected_output, digest_text

Row = tuple[str, float, dict]

CALL = {"request": "r1", "customer": "a", "service": "stock", "key": "k", "repeatable": False}
RUN = {"request": "r1", "attempt": "t1", "customer": "a", "target": "v1", "version": "3"}
ANSWER = {"request": "r1", "attempt": "t1", "version": "3", "complete": True, "executed": "yes"}
TEXT = {"request": "r1", "complete": True, "model": "m", "version": "3", "max_tokens": 5}
PROMPT = {"prompt_sha256": digest_text("p")}


def create_history(*rows: Row) -> History:
    return History(
        HistoryEvent(kind, fields.get("process", "p"), at, fields) for kind, at, fields in rows
    )


def decide(process: str, at: float, offset: int, **fields: object) -> Row:
    row = {"process": process, "service": "stock", "offset": offset, "accepted": True}
    return ("configuration", at, {**row, "change_id": f"change-{offset}", **fields})


def create_text_fields(count: int) -> dict:
    return {
        **TEXT,
        **PROMPT,
        "text_sha256": digest_expected_output("m", "3", PROMPT["prompt_sha256"], count),
    }


def dispatch(at: float, **fields: object) -> Row:
    row = {"request": "r1", "attempt": "t1", "target": "v1", "data_centre": "msasani"}
    return ("dispatch", at, {**row, **fields})


def order(at: float, epoch: int, state: str) -> Row:
    return ("order", at, {"data_centre": "msasani", "epoch": epoch, "state": state})


def create_calls(count: int, dispatches_each: int) -> list[Row]:
    rows: list[Row] = []
    for number in range(count):
        rows.append(("call", number, {"request": f"r{number}"}))
        rows += [dispatch(number, request=f"r{number}")] * dispatches_each
    return rows


# By check: histories that keep the invariant, then histories that break it.
CASES: dict[str, tuple[list[list[Row]], list[list[Row]]]] = {
    "single-execution": (
        [
            [("call", 1, CALL), ("execution", 2, RUN)],
            [
                ("call", 1, {**CALL, "repeatable": True}),
                ("execution", 2, RUN),
                ("execution", 3, RUN),
            ],
        ],
        [
            [("call", 1, CALL), ("execution", 2, RUN), ("execution", 3, RUN)],
            # A repeat through another instance has its own request id.
            [
                ("call", 1, CALL),
                ("call", 1, {**CALL, "request": "r2"}),
                ("execution", 2, RUN),
                ("execution", 3, {**RUN, "request": "r2"}),
            ],
            # Both gateways were killed before they wrote or answered anything.
            [
                ("caller_call", 1, {**CALL, "request": "", "body_sha256": "b"}),
                ("execution", 2, {**RUN, "request": "x", "body_sha256": "b"}),
                ("execution", 3, {**RUN, "request": "y", "body_sha256": "b"}),
            ],
        ],
    ),
    "not-run": (
        [
            [("answer", 1, {"request": "r2", "executed": "no"}), ("execution", 2, RUN)],
            # Another gateway refused to continue a stream; the client was told that the call ran.
            [
                ("execution", 1, RUN),
                ("answer", 2, {**ANSWER, "complete": False, "executed": "no", "hops": 1}),
                ("answer", 3, {**ANSWER, "complete": False, "executed": "yes", "hops": 0}),
            ],
        ],
        [
            [("answer", 1, {"request": "r1", "executed": "no"}), ("execution", 2, RUN)],
            # The client's own gateway passed on that refusal, though the call had run.
            [
                ("execution", 1, RUN),
                ("answer", 2, {**ANSWER, "complete": False, "executed": "no", "hops": 1}),
                ("answer", 3, {**ANSWER, "complete": False, "executed": "no", "hops": 0}),
            ],
            [("execution", 1, RUN), ("caller_answer", 2, {"request": "r1", "executed": "no"})],
        ],
    ),
    "overload": ([[("execution", 1, RUN)]], [[("overload", 1, {"target": "e1"})]]),
    "blocks": ([[("execution", 1, RUN)]], [[("foreign_block", 1, {"target": "e1", "key": "b"})]]),
    "drained": (
        [
            [order(1, 1, "DRAINED"), dispatch(5.9)],
            [order(1, 1, "DRAINED"), order(8, 2, "IN_SERVICE"), dispatch(9)],
            [order(1, 1, "DRAINED"), dispatch(9, data_centre="temeke")],
            # An order of a lower epoch that arrives late changes nothing.
            [order(1, 2, "IN_SERVICE"), order(2, 1, "DRAINED"), dispatch(9)],
        ],
        [
            [order(1, 1, "DRAINED"), dispatch(6.1)],
            [order(1, 1, "IN_SERVICE"), order(2, 2, "drained"), dispatch(8)],
        ],
    ),
    "leaving": (
        [
            [("leaving", 1, {"target": "v1"}), dispatch(5)],
            [("leaving", 1, {"target": "v1"}), ("started", 4, {"target": "v1"}), dispatch(9)],
        ],
        [[("leaving", 1, {"target": "v1"}), dispatch(6.5)]],
    ),
    "answers": (
        [[("caller_answer", 1, create_text_fields(5))]],
        [
            [("caller_answer", 1, create_text_fields(4))],
            [("caller_answer", 1, {**create_text_fields(5), "prompt_sha256": "other"})],
            [("execution", 1, {**RUN, **TEXT, **PROMPT}), ("answer", 2, {**ANSWER, "digest": "x"})],
            [("execution", 1, RUN), ("answer", 2, {**ANSWER, "request": "r2"})],
        ],
    ),
    "owners": (
        [[("call", 1, CALL), ("execution", 2, RUN), ("answer", 3, ANSWER)]],
        [
            [("call", 1, CALL), ("execution", 2, {**RUN, "customer": "b"})],
            [("execution", 2, RUN), ("answer", 3, {**ANSWER, "version": "2"})],
        ],
    ),
    "configuration": (
        [
            [decide("a", 1, 4), decide("a", 2, 7), decide("b", 3, 4), decide("b", 4, 7)],
            [decide("a", 1, 4), decide("a", 2, 7), ("process_started", 3, {"name": "a"})]
            + [decide("a", 4, 4), decide("a", 5, 7)],
            [decide("a", 1, 4), decide("b", 1, 4), decide("b", 2, 5), decide("b", 3, 7)]
            + [decide("a", 4, 7, adopted=True)],
            # A peer's state at offset 5, where another change was refused, has revision 4.
            [decide("a", 1, 4), decide("a", 2, 5, accepted=False)]
            + [decide("b", 3, 5, revision=4, change_id="change-4", adopted=True)],
        ],
        [
            [decide("a", 1, 7), decide("a", 2, 4)],
            [decide("a", 1, 4), decide("b", 1, 4, change_id="other")],
            [decide("a", 1, 4), decide("b", 1, 4, accepted=False)],
            [decide("a", 1, 4, digest="x"), decide("b", 1, 4, digest="y")],
            [decide("a", 1, 5), decide("a", 2, 6, revision=4, adopted=True)],
            [decide("a", 1, 4), decide("b", 1, 4), decide("b", 2, 5), decide("b", 3, 7)]
            + [decide("a", 4, 7)],
        ],
    ),
    "amplification": ([create_calls(100, 1)], [create_calls(100, 2)]),
}


class ChecksTest(unittest.TestCase):
    def test_every_check_has_a_violating_history(self) -> None:
        self.assertEqual(set(CASES), set(CHECKS))

    def test_checks(self) -> None:
        for name, (kept, broken) in CASES.items():
            checker = CHECKS[name][1]
            for number, rows in enumerate(kept):
                with self.subTest(check=name, kept=number):
                    examined, problems = checker(create_history(*rows))
                    self.assertEqual(problems, [])
                    # The first history of each check has an event that the check examines.
                    self.assertTrue(examined or number)
            for number, rows in enumerate(broken):
                with self.subTest(check=name, broken=number):
                    self.assertEqual(len(checker(create_history(*rows))[1]), 1)


class ReadingTest(unittest.TestCase):
    def read(self, content: str) -> History:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "h.jsonl"
            path.write_text(content, encoding="utf-8")
            return read_history([path])

    def test_incomplete_last_line_of_a_killed_process_is_left_out(self) -> None:
        line = json.dumps({"event": "call", "process": "p", "monotonic": 1.5})
        self.assertEqual(len(self.read(f'{line}\n{{"event": "ca').events), 1)

    def test_damaged_line_is_an_error_and_not_skipped(self) -> None:
        with self.assertRaises(HistoryError):
            self.read('{"event": "call"}\n')
