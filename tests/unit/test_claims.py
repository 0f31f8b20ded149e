"""Tests that the first valid claim of a key wins, and that only a certain winner is granted."""

import unittest
from unittest import mock

from mulberryrill.internal.core import claimfold
from mulberryrill.internal.core.claimfold import MAX_CLOCK_LEAD_MS, ClaimFold
from mulberryrill.internal.core.claims import (
    Action,
    AppendBatch,
    AppendResult,
    AppendStatus,
    ClaimTask,
)
from mulberryrill.internal.ids import InstanceId
from mulberryrill.internal.schema.log_pb2 import Claim, LogEntry
from mulberryrill.internal.schema.wire_pb2 import ClaimReply, ClaimRequest, ClaimStatus
from tests.common.records import (
    START_MS,
    Log,
    create_claim,
    create_idempotency_key,
    create_outcome,
    create_void,
)

WINDOW_MS = 3_600_000


def create_entry(text: str) -> LogEntry:
    """Returns a claim (a or !a), a void (-a) or an outcome (=a) of the claim a."""
    claim = create_claim(text.lstrip("-=!"))
    if text[0] == "-":
        return create_void(claim)
    return LogEntry(outcome=create_outcome(claim)) if text[0] == "=" else LogEntry(claim=claim)


class ClaimFoldTest(unittest.TestCase):
    """Guards against two winning claims of one key, and against keys that stay unusable."""

    def setUp(self) -> None:
        self.log = Log()
        self.fold = ClaimFold(WINDOW_MS)

    def apply(self, *entries: LogEntry, time_ms: int = START_MS, damage: bool = False) -> str:
        events = self.fold.apply(self.log.append(*entries, time_ms=time_ms, damage=damage))
        return " ".join(event.kind.name.lower() for event in events) or "-"

    def test_order_of_the_records_decides(self) -> None:
        cases = {
            "a b a": "won lost -",
            "a b -a b a c": "won lost voided lost lost won",
            "-a a b": "voided lost won",
            "a b =b =a =a -a b": "won lost - outcome - - lost",
            "!a b": "- won",
        }
        for entries, kinds in cases.items():
            with self.subTest(entries):
                self.setUp()
                found = [self.apply(create_entry(e), damage=e[0] == "!") for e in entries.split()]
                self.assertEqual(" ".join(found), kinds)
        self.assertEqual(self.fold.corrupt_records, 1)

    def test_other_spelling_of_the_key_is_the_same_key(self) -> None:
        self.apply(LogEntry(claim=create_claim("a")))
        other = create_claim("b", create_idempotency_key().upper())
        self.assertEqual(self.apply(LogEntry(claim=other)), "lost")

    def test_only_platform_time_within_the_window_is_valid(self) -> None:
        first, last = START_MS - MAX_CLOCK_LEAD_MS, START_MS + WINDOW_MS
        cases = {first - 1: "out_of_window", first: "won", last: "won", last + 1: "out_of_window"}
        for time_ms, kind in cases.items():
            self.setUp()
            self.assertEqual(self.apply(create_entry("a"), time_ms=time_ms), kind)

    def test_memory_is_bounded_in_time_and_in_bytes_of_outcomes(self) -> None:
        claims = [create_claim(f"a{n}", create_idempotency_key(number=n)) for n in range(3)]
        with mock.patch.object(claimfold, "MAX_OUTCOME_BYTES", 2500):
            for claim in claims:
                outcome = create_outcome(claim, b"x" * 1000)
                self.apply(LogEntry(claim=claim), LogEntry(outcome=outcome))
        states = [self.fold.look_up("c", "s", claim.key) for claim in claims]
        truncated = [s.outcome.truncated for s in states if s is not None and s.outcome is not None]
        self.assertEqual((truncated, len(self.fold)), ([True, False, False], 3))
        self.apply(time_ms=START_MS + WINDOW_MS + 10 * MAX_CLOCK_LEAD_MS)
        self.assertEqual(len(self.fold), 0)

    def test_claims_after_a_gap_win_only_with_keys_that_are_newer_than_it(self) -> None:
        self.apply()
        self.log.next_offset += 5
        self.assertEqual(self.apply(create_entry("a")), "undecided")
        newer = LogEntry(
            claim=create_claim("b", create_idempotency_key(START_MS + MAX_CLOCK_LEAD_MS + 1))
        )
        self.assertEqual(self.apply(newer, time_ms=START_MS + MAX_CLOCK_LEAD_MS), "won")


class ClaimTaskTest(unittest.TestCase):
    """Guards against granting a claim that is in doubt, and against requests without a reply."""

    def setUp(self) -> None:
        self.log = Log()
        self.task = ClaimTask(ClaimFold(WINDOW_MS), InstanceId("i"))
        self.batches: list[AppendBatch] = []
        self.replies: list[ClaimReply] = []
        self.now = 0.0

    def take(self, actions: list[Action]) -> str:
        """Collects the actions and returns the replies among them as text."""
        self.batches += [a for a in actions if isinstance(a, AppendBatch)]
        replies = [a.reply for a in actions if not isinstance(a, AppendBatch)]
        self.replies += replies
        return " ".join(f"{r.claim_id}:{ClaimStatus.Name(r.status)}" for r in replies)

    def submit(self, claim_id: str, **fields: bytes) -> str:
        claim = create_claim(claim_id, **fields)  # type: ignore[arg-type]
        return self.take(self.task.submit(ClaimRequest(claim=claim), self.now))

    def finish_append(self, status: AppendStatus = AppendStatus.APPENDED) -> str:
        batch = self.batches.pop(0)
        if status != AppendStatus.FAILED:
            self.log.append(*batch.batch.entries)
        return self.take(self.task.on_append_result(AppendResult(batch.batch_id, status), self.now))

    def read_log(self) -> str:
        records, self.log.records = self.log.records, []
        return " ".join(self.take(self.task.on_record(r, self.now)) for r in records)

    def tick(self, seconds: float) -> str:
        self.now += seconds
        return self.take(self.task.tick(self.now))

    def list_voids(self) -> list[str]:
        """Returns the ids of the claims that the next batch withdraws."""
        return [entry.claim_void.claim_id for entry in self.batches[0].batch.entries]

    def grant(self, claim_id: str) -> Claim:
        self.submit(claim_id)
        self.finish_append()
        self.assertEqual(self.read_log(), f"{claim_id}:GRANTED")
        return create_claim(claim_id)

    def test_granted_after_result_and_read_back_in_either_order(self) -> None:
        self.grant("a")
        self.setUp()
        self.submit("a")
        self.log.append(*self.batches[0].batch.entries)
        self.assertEqual(self.read_log(), "")
        self.assertEqual(self.finish_append(), "a:GRANTED")

    def test_append_in_doubt_is_refused_and_withdrawn_until_the_void_is_appended(self) -> None:
        self.submit("a")
        self.now = 1.0
        self.assertEqual(self.finish_append(AppendStatus.IN_DOUBT), "a:UNAVAILABLE")
        for status in (AppendStatus.FAILED, AppendStatus.IN_DOUBT, AppendStatus.APPENDED):
            self.tick(1)
            self.assertEqual(self.list_voids(), ["a"])
            self.finish_append(status)
        self.assertEqual((self.read_log().strip(), self.task.count_queued()), ("", 0))

    def test_failed_append_is_refused_without_a_void(self) -> None:
        self.submit("a")
        self.assertEqual(self.finish_append(AppendStatus.FAILED), "a:UNAVAILABLE")
        self.assertEqual(self.task.count_queued(), 0)

    def test_long_wait_ends_with_a_refusal_and_a_void(self) -> None:
        self.submit("a")
        self.finish_append()
        self.assertEqual(self.tick(4.9), "")
        self.assertEqual(self.tick(0.1), "a:UNAVAILABLE")
        self.assertEqual(self.list_voids(), ["a"])
        self.assertEqual(self.read_log(), "")

    def test_claim_after_a_gap_is_refused_and_withdrawn(self) -> None:
        self.log.append()
        self.submit("a")
        self.log.next_offset += 5
        self.finish_append()
        self.assertEqual(self.read_log().strip(), "a:UNAVAILABLE")
        self.tick(1)
        self.assertEqual(self.list_voids(), ["a"])

    def test_same_key_again_waits_and_is_not_granted_too(self) -> None:
        self.assertEqual(
            [self.submit("a"), self.submit("b"), self.submit("c", digest=b"e")], [""] * 3
        )
        self.finish_append()
        self.assertEqual(self.read_log(), "a:GRANTED b:IN_PROGRESS c:MISMATCH")

    def test_repeats_of_a_granted_claim(self) -> None:
        claim = self.grant("a")
        self.assertEqual(self.submit("a"), "a:IN_PROGRESS")
        self.log.append(LogEntry(outcome=create_outcome(claim, b"answer")))
        self.read_log()
        self.assertEqual(
            [self.submit("b"), self.submit("c", digest=b"e")], ["b:REPLAY", "c:MISMATCH"]
        )
        outcome = self.replies[-2].outcome
        self.assertEqual((outcome.body, outcome.claim_id), (b"answer", "a"))
        self.log.append(time_ms=START_MS + WINDOW_MS + 1)
        self.read_log()
        late = create_claim("d", create_idempotency_key(number=1))
        actions = self.task.submit(ClaimRequest(claim=late), self.now)
        self.assertEqual((self.take(actions), self.submit("e")), ("d:EXPIRED", "e:REPLAY"))

    def test_claims_within_the_interval_share_one_append(self) -> None:
        for number in range(10):
            claim = create_claim(f"a{number}", create_idempotency_key(number=number))
            self.take(self.task.submit(ClaimRequest(claim=claim), 0.0))
        self.tick(0.05)
        self.assertEqual([len(batch.batch.entries) for batch in self.batches], [1, 9])

    def test_long_body_is_not_kept(self) -> None:
        outcome = create_outcome(create_claim("a"), b"x" * 70_000)
        self.take(self.task.record_outcome(outcome, 0.0))
        outcome_entry = self.batches[0].batch.entries[0].outcome
        self.assertEqual((outcome_entry.truncated, outcome_entry.body), (True, b""))
