"""Claims: the first valid record of a key holds it; only a certain, read-back claim is granted."""

import unittest
import uuid
from unittest import mock

from mulberryrill.internal.core import claims as core_claims
from mulberryrill.internal.core.claims import (
    KEY_LEAD_MS,
    Action,
    AppendBatch,
    AppendResult,
    AppendStatus,
    ClaimEventKind,
    ClaimFold,
    ClaimTask,
    Reply,
)
from mulberryrill.internal.core.messages import Record
from mulberryrill.internal.core.records import seal_batch
from mulberryrill.internal.ids import InstanceId, Offset
from mulberryrill.internal.schema.log_pb2 import Claim, ClaimVoid, LogBatch, LogEntry, Outcome
from mulberryrill.internal.schema.wire_pb2 import ClaimRequest, ClaimStatus

WINDOW_MS = 3_600_000
START_MS = 1_800_000_000_000


def create_key(created_ms: int = START_MS, number: int = 0) -> str:
    """Returns a UUIDv7 with the given creation time."""
    value = (created_ms << 80) | (7 << 76) | (2 << 62) | number
    return str(uuid.UUID(int=value))


def create_claim(claim_id: str, key: str = "", digest: bytes = b"d") -> Claim:
    """Returns a claim of customer c for service s."""
    return Claim(
        claim_id=claim_id,
        customer="c",
        service="s",
        key=key or create_key(),
        request_digest=digest,
        instance="i",
    )


def create_void(claim: Claim) -> ClaimVoid:
    """Returns the withdrawal of a claim."""
    return ClaimVoid(claim_id=claim.claim_id, customer="c", service="s", key=claim.key)


def create_outcome(claim: Claim, body: bytes = b"ok") -> Outcome:
    """Returns the outcome of a claimed run."""
    return Outcome(
        claim_id=claim.claim_id, customer="c", service="s", key=claim.key, status=200, body=body
    )


class Log:
    """Builds the records of one stream."""

    def __init__(self) -> None:
        self.next = 0

    def record(
        self, *entries: Claim | ClaimVoid | Outcome, time_ms: int = START_MS, damage: bool = False
    ) -> Record:
        batch = LogBatch()
        for entry in entries:
            if isinstance(entry, Claim):
                batch.entries.append(LogEntry(claim=entry))
            elif isinstance(entry, ClaimVoid):
                batch.entries.append(LogEntry(claim_void=entry))
            else:
                batch.entries.append(LogEntry(outcome=entry))
        data = seal_batch(batch)
        self.next += 1
        return Record(Offset(self.next - 1), time_ms, data[:-1] if damage else data)


class ClaimFoldTest(unittest.TestCase):
    """Guards against two runs of one key, and against keys that are blocked for no reason."""

    def setUp(self) -> None:
        self.log = Log()
        self.fold = ClaimFold(WINDOW_MS)
        self.key = create_key()

    def apply(
        self, *entries: Claim | ClaimVoid | Outcome, time_ms: int = START_MS
    ) -> list[ClaimEventKind]:
        return [e.kind for e in self.fold.apply(self.log.record(*entries, time_ms=time_ms))]

    def get_holder(self, key: str = "") -> str | None:
        state = self.fold.look_up("c", "s", key or self.key)
        return state.claim_id if state else None

    def test_first_claim_wins_and_duplicates_change_nothing(self) -> None:
        first, second = create_claim("a"), create_claim("b")
        self.assertEqual(self.apply(first, second), [ClaimEventKind.WON, ClaimEventKind.LOST])
        self.assertEqual(self.apply(first), [])
        self.assertEqual(self.get_holder(), "a")

    def test_other_spelling_of_the_key_is_the_same_key(self) -> None:
        kinds = self.apply(create_claim("a"), create_claim("b", self.key.upper()))
        self.assertEqual(kinds, [ClaimEventKind.WON, ClaimEventKind.LOST])

    def test_only_platform_time_within_the_window_is_valid(self) -> None:
        last = START_MS + WINDOW_MS
        cases = {
            START_MS - KEY_LEAD_MS - 1: ClaimEventKind.OUT_OF_WINDOW,
            START_MS - KEY_LEAD_MS: ClaimEventKind.WON,
            last: ClaimEventKind.WON,
            last + 1: ClaimEventKind.OUT_OF_WINDOW,
        }
        for time_ms, kind in cases.items():
            with self.subTest(time_ms=time_ms):
                fold = ClaimFold(WINDOW_MS)
                events = fold.apply(Log().record(create_claim("a"), time_ms=time_ms))
                self.assertEqual([e.kind for e in events], [kind])

    def test_void_frees_the_key_for_later_claims_only(self) -> None:
        first, second, third = create_claim("a"), create_claim("b"), create_claim("c")
        self.apply(first, second, create_void(first))
        self.assertIsNone(self.get_holder())
        self.assertEqual(self.apply(second), [ClaimEventKind.LOST])
        self.assertEqual(self.apply(first), [ClaimEventKind.LOST])
        self.assertEqual(self.apply(third), [ClaimEventKind.WON])

    def test_void_before_its_delayed_claim_still_withdraws_it(self) -> None:
        claim = create_claim("a")
        self.apply(create_void(claim))
        self.assertEqual(self.apply(claim), [ClaimEventKind.LOST])
        self.assertIsNone(self.get_holder())

    def test_outcome_counts_for_the_holder_only_and_once(self) -> None:
        first, second = create_claim("a"), create_claim("b")
        self.apply(first, second, create_outcome(second, b"wrong"))
        self.apply(create_outcome(first, b"right"), create_outcome(first, b"late"))
        self.apply(create_void(first))
        state = self.fold.look_up("c", "s", self.key)
        assert state is not None and state.outcome is not None
        self.assertEqual(state.outcome.body, b"right")

    def test_corrupt_record_is_counted_and_skipped(self) -> None:
        self.assertEqual(self.fold.apply(self.log.record(create_claim("a"), damage=True)), [])
        self.assertEqual(self.fold.corrupt_records, 1)
        self.assertEqual(self.apply(create_claim("b")), [ClaimEventKind.WON])

    def test_keys_are_forgotten_after_the_window(self) -> None:
        for number in range(100):
            self.apply(create_claim(f"a{number}", create_key(number=number)))
            self.apply(create_outcome(create_claim(f"a{number}", create_key(number=number))))
        self.assertEqual(len(self.fold), 100)
        self.apply(time_ms=START_MS + WINDOW_MS + 10 * KEY_LEAD_MS)
        self.assertEqual(len(self.fold), 0)

    def test_oldest_bodies_are_dropped_when_they_use_too_much_memory(self) -> None:
        claims = [create_claim(f"a{n}", create_key(number=n)) for n in range(3)]
        with mock.patch.object(core_claims, "MAX_OUTCOME_BYTES", 2500):
            for claim in claims:
                self.apply(claim, create_outcome(claim, b"x" * 1000))
        outcomes = [self.fold.look_up("c", "s", claim.key) for claim in claims]
        kept = [s.outcome.truncated for s in outcomes if s is not None and s.outcome is not None]
        self.assertEqual(kept, [True, False, False])

    def test_claims_after_a_gap_win_only_with_keys_that_are_newer_than_it(self) -> None:
        self.apply(create_claim("a", create_key(number=1)))
        self.log.next += 5
        self.assertEqual(self.apply(create_claim("b")), [ClaimEventKind.OUT_OF_WINDOW])
        newer = create_key(START_MS + KEY_LEAD_MS + 1)
        later = START_MS + KEY_LEAD_MS
        self.assertEqual(self.apply(create_claim("d", newer), time_ms=later), [ClaimEventKind.WON])


class ClaimTaskTest(unittest.TestCase):
    """Guards against granting a claim that is not certain, and against requests without answer."""

    def setUp(self) -> None:
        self.log = Log()
        self.task = ClaimTask(ClaimFold(WINDOW_MS), InstanceId("i"))

    def request(self, claim: Claim, now: float = 0.0) -> list[Action]:
        return self.task.request(ClaimRequest(request_id=f"r-{claim.claim_id}", claim=claim), now)

    def finish(self, actions: list[Action], status: AppendStatus, now: float = 0.0) -> list[Action]:
        batch = self.get_batch(actions)
        return self.task.on_append_result(AppendResult(batch.batch_id, status), now)

    def get_batch(self, actions: list[Action]) -> AppendBatch:
        batches = [action for action in actions if isinstance(action, AppendBatch)]
        self.assertEqual(len(batches), 1)
        return batches[0]

    def list_statuses(self, actions: list[Action]) -> list[str]:
        replies = [action.reply for action in actions if isinstance(action, Reply)]
        return [f"{r.claim_id} {ClaimStatus.Name(r.status)}" for r in replies]

    def grant(self, claim: Claim) -> None:
        actions = self.request(claim)
        self.finish(actions, AppendStatus.APPENDED)
        granted = self.task.on_record(self.log.record(claim), 0.0)
        self.assertEqual(self.list_statuses(granted), [f"{claim.claim_id} GRANTED"])

    def test_granted_after_result_and_read_back_in_either_order(self) -> None:
        self.grant(create_claim("a"))
        other = create_claim("b", create_key(number=1))
        actions = self.request(other, 1.0)
        self.assertEqual(self.task.on_record(self.log.record(other), 1.0), [])
        self.assertEqual(
            self.list_statuses(self.finish(actions, AppendStatus.APPENDED, 1.0)), ["b GRANTED"]
        )

    def test_append_in_doubt_is_refused_and_withdrawn_until_the_void_is_appended(self) -> None:
        claim = create_claim("a")
        actions = self.request(claim)
        self.task.on_record(self.log.record(claim), 0.0)
        actions = self.finish(actions, AppendStatus.IN_DOUBT, 1.0)
        self.assertEqual(self.list_statuses(actions), ["a UNAVAILABLE"])
        for status in (AppendStatus.FAILED, AppendStatus.IN_DOUBT, AppendStatus.APPENDED):
            entries = self.get_batch(actions).batch.entries
            self.assertEqual([e.claim_void.claim_id for e in entries], ["a"])
            actions = self.finish(actions, status, 2.0 + self.task.count_queued())
            if status != AppendStatus.APPENDED:
                actions = actions or self.task.tick(100.0 + len(status.value))
        self.assertEqual(self.task.count_queued(), 0)

    def test_failed_append_is_refused_without_a_void(self) -> None:
        actions = self.finish(self.request(create_claim("a")), AppendStatus.FAILED, 1.0)
        self.assertEqual(self.list_statuses(actions), ["a UNAVAILABLE"])
        self.assertEqual(self.task.count_queued(), 0)

    def test_long_wait_ends_with_a_refusal_and_a_void_and_is_never_granted(self) -> None:
        claim = create_claim("a")
        self.finish(self.request(claim), AppendStatus.APPENDED)
        self.assertEqual(self.task.tick(4.9), [])
        actions = self.task.tick(5.0)
        self.assertEqual(self.list_statuses(actions), ["a UNAVAILABLE"])
        self.assertEqual(self.get_batch(actions).batch.entries[0].claim_void.claim_id, "a")
        self.assertEqual(self.list_statuses(self.task.on_record(self.log.record(claim), 6.0)), [])

    def test_same_key_again_waits_and_is_not_granted_too(self) -> None:
        first = create_claim("a")
        actions = self.request(first)
        self.assertEqual(self.request(create_claim("b")), [])
        self.assertEqual(self.request(create_claim("c", digest=b"other")), [])
        self.finish(actions, AppendStatus.APPENDED)
        statuses = self.list_statuses(self.task.on_record(self.log.record(first), 0.0))
        self.assertEqual(statuses, ["a GRANTED", "b IN_PROGRESS", "c MISMATCH"])

    def test_repeat_gets_the_outcome_and_another_request_a_mismatch(self) -> None:
        claim = create_claim("a")
        self.grant(claim)
        self.assertEqual(self.list_statuses(self.request(create_claim("b"))), ["b IN_PROGRESS"])
        self.task.on_record(self.log.record(create_outcome(claim)), 0.0)
        actions = self.request(create_claim("b"))
        self.assertEqual(self.list_statuses(actions), ["b REPLAY"])
        assert isinstance(actions[0], Reply)
        self.assertEqual(actions[0].reply.outcome.body, b"ok")
        mismatch = self.request(create_claim("c", digest=b"other"))
        self.assertEqual(self.list_statuses(mismatch), ["c MISMATCH"])

    def test_repeated_request_of_a_granted_claim_is_not_granted_again(self) -> None:
        claim = create_claim("a")
        self.grant(claim)
        self.assertEqual(self.list_statuses(self.request(claim)), ["a IN_PROGRESS"])

    def test_key_that_is_no_uuid7_or_too_old_is_refused_at_once(self) -> None:
        self.assertEqual(self.list_statuses(self.request(create_claim("a", "no"))), ["a EXPIRED"])
        self.task.on_record(self.log.record(time_ms=START_MS + WINDOW_MS + 1), 0.0)
        self.assertEqual(self.list_statuses(self.request(create_claim("b"))), ["b EXPIRED"])

    def test_claims_within_the_interval_share_one_append(self) -> None:
        self.request(create_claim("a", create_key(number=1)), 0.0)
        for number in range(2, 50):
            self.assertEqual(
                self.request(create_claim(f"a{number}", create_key(number=number))), []
            )
        self.assertEqual(len(self.get_batch(self.task.tick(0.05)).batch.entries), 48)

    def test_long_body_is_not_kept(self) -> None:
        actions = self.task.record_outcome(create_outcome(create_claim("a"), b"x" * 70_000), 0.0)
        outcome = self.get_batch(actions).batch.entries[0].outcome
        self.assertTrue(outcome.truncated)
        self.assertEqual(outcome.body, b"")


if __name__ == "__main__":
    unittest.main()
