"""Tests at-most-once execution with several claim tasks and a model of an unreliable log."""

import unittest
from collections import Counter, defaultdict

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from mulberryrill.internal.core.claimfold import MAX_CLOCK_LEAD_MS, ClaimFold, read_key_time_ms
from mulberryrill.internal.core.claims import (
    Action,
    AppendBatch,
    AppendResult,
    AppendStatus,
    ClaimTask,
)
from mulberryrill.internal.core.messages import Record
from mulberryrill.internal.core.records import encode_record
from mulberryrill.internal.ids import InstanceId, Offset
from mulberryrill.internal.schema.log_pb2 import Claim, Outcome
from mulberryrill.internal.schema.wire_pb2 import GRANTED, REPLAY, ClaimReply, ClaimRequest
from tests.common.machines import run_state_machine
from tests.common.records import START_MS, create_claim, create_idempotency_key, create_outcome

WINDOW_MS = 300_000
RETENTION_MS = WINDOW_MS + 3 * MAX_CLOCK_LEAD_MS
INSTANCES = st.integers(0, 2)
KEY_TIME_OFFSETS_MS = (
    0,
    0,
    0,
    0,
    -1000,
    -WINDOW_MS + 50,
    -WINDOW_MS - 1,
    MAX_CLOCK_LEAD_MS - 50,
    MAX_CLOCK_LEAD_MS + 1000,
)
OUTAGE_MS = 7000
# Longer than the wait of a request, in steps of 200 ms.
RECOVERY_ROUNDS = 40


class Instance:
    """A claim task, its read position in the log and its appends without a result."""

    def __init__(self, name: str, task: ClaimTask, position: int) -> None:
        self.name = name
        self.task = task
        self.position = position
        self.appends: list[AppendBatch] = []
        self.unanswered: set[str] = set()


class ClaimMachine(RuleBasedStateMachine):
    """Runs claims with faults of the log and restarts of instances.

    Results are lost, appends are delayed, repeated or fail, records are damaged or removed when
    old, and the platform has outages.
    """

    fold_type: type[ClaimFold] = ClaimFold
    task_type: type[ClaimTask] = ClaimTask

    @initialize()
    def start(self) -> None:
        self.now_ms = START_MS
        self.first = 0
        self.log: list[Record] = []
        self.times: dict[int, int] = {}
        self.delayed: list[bytes] = []
        self.down_until_ms = 0
        self.keys: list[str] = []
        self.outcome_bodies: dict[str, bytes] = {}
        self.requests: dict[str, Claim] = {}
        self.answers: dict[str, list[ClaimReply]] = defaultdict(list)
        self.runs: Counter[str] = Counter()
        self.running: dict[str, tuple[Instance, Claim]] = {}
        self.abandoned: set[str] = set()
        self.instances = [self.create_instance(f"i{number}") for number in range(3)]

    def create_instance(self, name: str) -> Instance:
        task = self.task_type(self.fold_type(WINDOW_MS), InstanceId(name))
        return Instance(name, task, self.first)

    @property
    def is_up(self) -> bool:
        return self.now_ms >= self.down_until_ms

    @property
    def now(self) -> float:
        return self.now_ms / 1000

    def handle(self, instance: Instance, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, AppendBatch):
                instance.appends.append(action)
            else:
                self.on_reply(instance, action.reply)

    def on_reply(self, instance: Instance, reply: ClaimReply) -> None:
        self.answers[reply.claim_id].append(reply)
        instance.unanswered.discard(reply.claim_id)
        claim = self.requests[reply.claim_id]
        if reply.status == REPLAY:
            assert reply.outcome.body == self.outcome_bodies[claim.key]
        if reply.status != GRANTED:
            return
        age_ms = self.times[reply.offset] - (read_key_time_ms(claim.key) or 0)
        assert -MAX_CLOCK_LEAD_MS <= age_ms <= WINDOW_MS
        if claim.claim_id in self.abandoned:
            self.handle(instance, instance.task.abandon(claim, self.now))
        else:
            self.runs[claim.key] += 1
            self.running[claim.claim_id] = (instance, claim)
            self.outcome_bodies[claim.key] = claim.claim_id.encode()

    def store(self, data: bytes) -> None:
        record = Record(Offset(self.first + len(self.log)), self.now_ms, data)
        self.times[record.offset] = record.time_ms
        self.log.append(record)

    @rule(
        number=INSTANCES,
        key_time_offset_ms=st.sampled_from(KEY_TIME_OFFSETS_MS),
        recent=st.sampled_from([1, 1, 1, 0, 0, 2, 2, 3]),
        digest=st.sampled_from([b"a", b"a", b"b"]),
        abandon=st.sampled_from([False, False, True]),
    )
    def request(
        self, number: int, key_time_offset_ms: int, recent: int, digest: bytes, abandon: bool
    ) -> None:
        """Claims a new key (``recent`` is 0) or again one of the last three."""
        instance = self.instances[number]
        if not recent or not self.keys:
            self.keys.append(
                create_idempotency_key(self.now_ms + key_time_offset_ms, len(self.keys))
            )
            recent = 1
        key = self.keys[-min(recent, len(self.keys))]
        claim = create_claim(f"claim-{len(self.requests)}", key, digest)
        self.requests[claim.claim_id] = claim
        if abandon:
            self.abandoned.add(claim.claim_id)
        instance.unanswered.add(claim.claim_id)
        message = ClaimRequest(request_id=claim.claim_id, claim=claim)
        self.handle(instance, instance.task.submit(message, self.now))

    @rule(
        number=INSTANCES,
        status=st.sampled_from([*AppendStatus, AppendStatus.APPENDED]),
        append_effect=st.sampled_from(["stored", "stored", "delayed", "lost", "twice", "damaged"]),
        count=st.sampled_from([0, 1, 1000]),
    )
    def finish_append(
        self, number: int, status: AppendStatus, append_effect: str, count: int
    ) -> None:
        """Ends one append, then reads some records."""
        instance = self.instances[number]
        if instance.appends:
            append = instance.appends.pop(0)
            status = status if self.is_up else AppendStatus.FAILED
            if status != AppendStatus.FAILED:
                self.store_with_effect(encode_record(append.batch), status, append_effect)
            result = AppendResult(append.batch_id, status)
            self.handle(instance, instance.task.on_append_result(result, self.now))
        self.read(instance, count)

    def store_with_effect(self, data: bytes, status: AppendStatus, append_effect: str) -> None:
        if status == AppendStatus.IN_DOUBT and append_effect in ("lost", "delayed"):
            self.delayed += [data] if append_effect == "delayed" else []
            return
        self.store(data[:-1] if append_effect == "damaged" else data)
        self.delayed += [data] if append_effect == "twice" else []

    def read(self, instance: Instance, count: int) -> None:
        instance.position = max(instance.position, self.first)
        start = instance.position - self.first
        for record in self.log[start : start + count] if self.is_up else []:
            instance.position = record.offset + 1
            self.handle(instance, instance.task.on_record(record, self.now))

    @rule(numbers=st.sampled_from([[0, 1, 2], [2, 1, 0], [0], [1], [2]]), ends=st.booleans())
    def serve(self, numbers: list[int], ends: bool) -> None:
        """Appends and reads everything due; with ``ends``, first ends the run started last."""
        self.now_ms += 60
        if ends and self.running:
            self.end_run()
        for number in numbers:
            instance = self.instances[number]
            self.handle(instance, instance.task.tick(self.now))
            while instance.appends:
                self.finish_append(number, AppendStatus.APPENDED, "stored", 0)
            self.read(instance, 1000)

    @rule(step_ms=st.sampled_from([60, 60, 60, 1000, 6000, MAX_CLOCK_LEAD_MS, WINDOW_MS]))
    def advance(self, step_ms: int) -> None:
        self.now_ms += step_ms
        while self.log and self.log[0].time_ms < self.now_ms - RETENTION_MS:
            self.log.pop(0)
            self.first += 1

    @rule(number=INSTANCES, kind=st.sampled_from(["restart", "answer", "delayed", "platform"]))
    def fail(self, number: int, kind: str) -> None:
        instance = self.instances[number]
        if kind == "restart":  # Pending requests and queued voids are lost.
            self.delayed.extend(encode_record(append.batch) for append in instance.appends)
            self.instances[number] = self.create_instance(instance.name)
        elif kind == "answer" and instance.appends and self.is_up:  # Its result never arrives.
            self.store(encode_record(instance.appends.pop(0).batch))
        elif kind == "delayed" and self.delayed:
            self.store(self.delayed.pop(0))
        elif kind == "platform":
            self.down_until_ms = self.now_ms + OUTAGE_MS

    def end_run(self) -> None:
        claim_id, (instance, claim) = self.running.popitem()
        outcome = create_outcome(claim, claim_id.encode())
        if instance in self.instances:  # Otherwise its process has failed.
            self.handle(instance, instance.task.record_outcome(outcome, self.now))

    @invariant()
    def each_key_runs_at_most_once(self) -> None:
        assert all(count <= 1 for count in self.runs.values()), self.runs

    @invariant()
    def each_request_gets_one_answer(self) -> None:
        for answers in self.answers.values():
            assert len(answers) <= 1, answers

    def teardown(self) -> None:
        """Checks that with a working log every request is answered and every void appended."""
        if not hasattr(self, "instances"):
            return
        self.down_until_ms = 0
        for _ in range(RECOVERY_ROUNDS):
            self.advance(140)
            self.serve([0, 1, 2], ends=False)
            self.each_key_runs_at_most_once()
            self.each_request_gets_one_answer()
        for instance in self.instances:
            assert not instance.unanswered
            assert instance.task.count_queued() == 0


class GrantBeforeReadBack(ClaimTask):
    """Injected fault: grants a claim once it is appended, without reading it back."""

    def _on_claim_result(self, claim_id: str, status: AppendStatus) -> list[Action]:
        pending = self._pending.get(claim_id)
        if pending is not None and status == AppendStatus.APPENDED:
            pending.won_offset = Offset(0)
        return super()._on_claim_result(claim_id, status)


class GrantInDoubt(ClaimTask):
    """Injected fault: grants a claim whose append is in doubt once it is read back."""

    def _on_claim_result(self, claim_id: str, status: AppendStatus) -> list[Action]:
        pending = self._pending.get(claim_id)
        actions = super()._on_claim_result(claim_id, status)
        if pending is not None and status == AppendStatus.IN_DOUBT:
            pending.appended = True
            self._pending[claim_id] = pending
        return actions

    def _remove(self, pending) -> None:  # type: ignore[no-untyped-def]
        self._pending.pop(pending.request.claim.claim_id, None)
        self._by_key = {k: v for k, v in self._by_key.items() if v in self._pending}


class VoidGranted(ClaimTask):
    """Injected fault: withdraws a claim that was granted and has run."""

    def record_outcome(self, outcome: Outcome, now: float) -> list[Action]:
        claim = Claim(claim_id=outcome.claim_id, customer="c", service="s", key=outcome.key)
        return self.abandon(claim, now)


class AnyTimeFold(ClaimFold):
    """Injected fault: accepts claims outside the time window of their key."""

    def _is_valid(self, key: str, time_ms: int) -> bool:
        return True

    def is_key_expired(self, key: str, margin_ms: int = 0) -> bool:
        return False


class ClaimPropertyTest(unittest.TestCase):
    """Guards against a second run of a call that may run only once."""

    def test_every_key_runs_at_most_once(self) -> None:
        run_state_machine(ClaimMachine, 250)

    def test_each_injected_fault_is_detected(self) -> None:
        for task in (GrantBeforeReadBack, GrantInDoubt, VoidGranted):
            with self.subTest(task.__name__), self.assertRaises(AssertionError):
                run_state_machine(ClaimMachine, 400, task_type=task)
        with self.subTest("AnyTimeFold"), self.assertRaises(AssertionError):
            run_state_machine(ClaimMachine, 400, fold_type=AnyTimeFold)
