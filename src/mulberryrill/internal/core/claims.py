"""At-most-once execution: claims are decided by the order of the platform's log.

``ClaimFold`` finds the first valid claim of each key; ``ClaimTask`` appends the claims of one
instance and grants one only after it has read it back as the first.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from ..ids import InstanceId, Offset
from ..schema.log_pb2 import Claim, ClaimVoid, LogBatch, LogEntry, Outcome
from ..schema.wire_pb2 import (
    EXPIRED,
    GRANTED,
    IN_PROGRESS,
    MISMATCH,
    REPLAY,
    UNAVAILABLE,
    ClaimReply,
    ClaimRequest,
    ClaimStatus,
)
from .claimfold import (
    MAX_BODY_BYTES,
    RETENTION_MARGIN_MS,
    ClaimEventKind,
    ClaimFold,
    KeyId,
    drop_body,
    get_key_id,
)
from .messages import Record

DEFAULT_INTERVAL_S = 0.05
DEFAULT_WAIT_S = 5.0
# During an outage, voids and outcomes are sent at this interval, not at that of the claims.
RETRY_PAUSE_S = 1.0
# Leaves room for the seal in a record of 1 MiB.
MAX_BATCH_BYTES = 900 * 1024
MAX_BATCHES_IN_FLIGHT = 16
MAX_WAITING_CLAIMS = 10_000
# Outcomes that wait for the log beyond this size lose their bodies.
MAX_QUEUED_BYTES = 32 * 1024 * 1024


class AppendStatus(Enum):
    """What is known about an append."""

    APPENDED = "appended"
    # The batch is certainly not in the log.
    FAILED = "failed"
    # The batch may be in the log, or may still get there.
    IN_DOUBT = "in doubt"


@dataclass(frozen=True)
class AppendResult:
    """The answer to an AppendBatch; each batch gets exactly one."""

    batch_id: int
    status: AppendStatus


@dataclass(frozen=True)
class AppendBatch:
    """Asks for one append to the stream of claims. It is not retried by its receiver."""

    batch_id: int
    batch: LogBatch


@dataclass(frozen=True)
class Reply:
    """The answer to a ClaimRequest."""

    reply: ClaimReply


Action = AppendBatch | Reply


@dataclass
class _Waiting:
    """A request that waits for its claim to be decided."""

    request: ClaimRequest
    deadline: float
    # Whether a batch with the claim was given out, so that the claim may be in the log.
    sent: bool = False
    appended: bool = False
    # Offset at which the claim was read back as the first of its key.
    won_offset: Offset | None = None
    # Later requests of the same key from this instance.
    followers: list[ClaimRequest] = field(default_factory=list)


@dataclass
class _Batch:
    """A batch without a result yet."""

    sent_at: float
    entries: list[LogEntry]


class ClaimTask:
    """Decides the claims of one instance on one stream.

    ``interval_s`` is the shortest time between appends, ``wait_s`` the longest time that a request
    waits. Every claim that may be in the log and is not granted is withdrawn by a ClaimVoid.
    """

    def __init__(
        self,
        fold: ClaimFold,
        instance: InstanceId,
        interval_s: float = DEFAULT_INTERVAL_S,
        wait_s: float = DEFAULT_WAIT_S,
    ) -> None:
        self.interval_s = interval_s
        self._fold = fold
        self._instance = instance
        self._wait_s = wait_s
        self._waiting: dict[str, _Waiting] = {}
        self._by_key: dict[KeyId, str] = {}
        # Claim ids that are not sent yet, then voids and outcomes, which are sent until appended.
        self._new_claims: deque[str] = deque()
        self._durable: deque[LogEntry] = deque()
        self._durable_bytes = 0
        self._retry_at = 0.0
        self._batches: dict[int, _Batch] = {}
        self._next_batch_id = 1
        self._last_append: float | None = None

    def count_waiting(self) -> int:
        """Returns the number of undecided claims."""
        return len(self._waiting)

    def count_queued(self) -> int:
        """Returns the number of voids and outcomes that are not known to be in the log."""
        in_flight = sum(len(batch.entries) for batch in self._batches.values())
        return len(self._durable) + in_flight

    def submit(self, request: ClaimRequest, now: float) -> list[Action]:
        """Takes a gateway's request; exactly one Reply follows, now or later."""
        claim = request.claim
        key_id = get_key_id(claim)
        if claim.claim_id in self._waiting:
            return []
        if self._fold.look_up(*key_id) is not None:
            return [self._answer_held(request)]
        if self._fold.is_key_expired(key_id.key):
            return [_create_reply(request, EXPIRED)]
        other = self._by_key.get(key_id)
        if other is not None:
            self._waiting[other].followers.append(request)
            return []
        if len(self._waiting) >= MAX_WAITING_CLAIMS:
            return [_create_reply(request, UNAVAILABLE)]
        self._waiting[claim.claim_id] = _Waiting(request, now + self._wait_s)
        self._by_key[key_id] = claim.claim_id
        self._new_claims.append(claim.claim_id)
        return self._flush(now)

    def abandon(self, claim: Claim, now: float) -> list[Action]:
        """Withdraws a granted claim; the gateway has sent no byte of the call to a target."""
        self._queue_void(claim)
        return self._flush(now)

    def record_outcome(self, outcome: Outcome, now: float) -> list[Action]:
        """Queues the outcome of a granted claim until it is in the log."""
        kept = Outcome()
        kept.CopyFrom(outcome)
        size = len(kept.body)
        if size > MAX_BODY_BYTES or self._durable_bytes + size > MAX_QUEUED_BYTES:
            drop_body(kept)
        self._queue(LogEntry(outcome=kept))
        return self._flush(now)

    def on_append_result(self, result: AppendResult, now: float) -> list[Action]:
        """Takes the result of one AppendBatch."""
        batch = self._batches.pop(result.batch_id, None)
        if batch is None:
            return []
        actions: list[Action] = []
        for entry in batch.entries:
            if entry.WhichOneof("kind") == "claim":
                actions += self._on_claim_result(entry.claim.claim_id, result.status)
            elif result.status != AppendStatus.APPENDED:
                self._queue(entry)
                self._retry_at = now + RETRY_PAUSE_S
        return actions + self._flush(now)

    def on_record(self, record: Record, now: float) -> list[Action]:
        """Folds one record of the stream and answers the requests that it decides."""
        actions: list[Action] = []
        for event in self._fold.apply(record):
            waiting = self._waiting.get(event.claim_id)
            if waiting is None:
                continue
            if event.kind == ClaimEventKind.WON:
                waiting.won_offset = event.offset
                actions += self._grant_if_certain(waiting)
            elif event.kind == ClaimEventKind.LOST:
                actions += self._settle(waiting, self._answer_held)
            elif event.kind == ClaimEventKind.UNDECIDED:
                actions += self._give_up(waiting)
            elif event.kind == ClaimEventKind.OUT_OF_WINDOW:
                actions += self._settle(waiting, lambda r: _create_reply(r, EXPIRED))
        return actions + self._flush(now)

    def tick(self, now: float) -> list[Action]:
        """Ends waits that are too long and appends what is due."""
        actions: list[Action] = []
        for batch_id, batch in list(self._batches.items()):
            if now - batch.sent_at > self._wait_s:
                actions += self.on_append_result(AppendResult(batch_id, AppendStatus.IN_DOUBT), now)
        for waiting in [w for w in self._waiting.values() if now >= w.deadline]:
            actions += self._give_up(waiting)
        return actions + self._flush(now)

    def _on_claim_result(self, claim_id: str, status: AppendStatus) -> list[Action]:
        waiting = self._waiting.get(claim_id)
        if waiting is None:
            return []
        if status == AppendStatus.APPENDED:
            waiting.appended = True
            return self._grant_if_certain(waiting)
        if status == AppendStatus.FAILED:
            waiting.sent = False
        return self._give_up(waiting)

    def _grant_if_certain(self, waiting: _Waiting) -> list[Action]:
        # An append in doubt may be repeated by the platform's client, so a claim that has been read
        # back is still not dispatched before its own append is known to have succeeded.
        if waiting.won_offset is None or not waiting.appended:
            return []
        self._remove(waiting)
        reply = _create_reply(waiting.request, GRANTED)
        reply.reply.offset = waiting.won_offset
        return [reply, *(self._answer_held(follower) for follower in waiting.followers)]

    def _give_up(self, waiting: _Waiting) -> list[Action]:
        if waiting.sent:
            self._queue_void(waiting.request.claim)
        return self._settle(waiting, lambda r: _create_reply(r, UNAVAILABLE))

    def _settle(self, waiting: _Waiting, answer: Callable[[ClaimRequest], Reply]) -> list[Action]:
        self._remove(waiting)
        return [answer(request) for request in (waiting.request, *waiting.followers)]

    def _remove(self, waiting: _Waiting) -> None:
        claim = waiting.request.claim
        del self._waiting[claim.claim_id]
        del self._by_key[get_key_id(claim)]

    def _answer_held(self, request: ClaimRequest) -> Reply:
        """Answers a request whose key is held by another claim."""
        claim = request.claim
        state = self._fold.look_up(claim.customer, claim.service, claim.key)
        if state is None:
            return _create_reply(request, UNAVAILABLE)
        if state.request_digest != claim.request_digest:
            return _create_reply(request, MISMATCH)
        if state.outcome is None:
            return _create_reply(request, IN_PROGRESS)
        reply = _create_reply(request, REPLAY)
        reply.reply.outcome.CopyFrom(state.outcome)
        reply.reply.offset = state.offset
        return reply

    def _queue_void(self, claim: Claim) -> None:
        void = ClaimVoid(
            claim_id=claim.claim_id, customer=claim.customer, service=claim.service, key=claim.key
        )
        self._queue(LogEntry(claim_void=void))

    def _queue(self, entry: LogEntry) -> None:
        self._durable.append(entry)
        self._durable_bytes += entry.ByteSize()

    def _flush(self, now: float) -> list[Action]:
        due = self._last_append is None or now - self._last_append >= self.interval_s
        if not due or len(self._batches) >= MAX_BATCHES_IN_FLIGHT:
            return []
        entries = self._take_claims()
        if now >= self._retry_at:
            entries += self._take_durable(sum(entry.ByteSize() for entry in entries))
        if not entries:
            return []
        batch_id = self._next_batch_id
        self._next_batch_id += 1
        self._last_append = now
        self._batches[batch_id] = _Batch(now, entries)
        return [AppendBatch(batch_id, LogBatch(entries=entries))]

    def _take_claims(self) -> list[LogEntry]:
        """Takes the oldest new claims; half of a record is left for other entries."""
        entries: list[LogEntry] = []
        size = 0
        while self._new_claims and size < MAX_BATCH_BYTES // 2:
            waiting = self._waiting.get(self._new_claims.popleft())
            if waiting is not None:
                waiting.sent = True
                entries.append(LogEntry(claim=waiting.request.claim))
                size += entries[-1].ByteSize()
        return entries

    def _take_durable(self, size: int) -> list[LogEntry]:
        """Takes voids and outcomes that fit into a record which already has ``size`` bytes."""
        entries: list[LogEntry] = []
        while self._durable and size + self._durable[0].ByteSize() < MAX_BATCH_BYTES:
            entry = self._durable.popleft()
            self._durable_bytes -= entry.ByteSize()
            if not self._is_obsolete(entry):
                entries.append(entry)
                size += entry.ByteSize()
        return entries

    def _is_obsolete(self, entry: LogEntry) -> bool:
        if entry.WhichOneof("kind") == "claim_void":
            return self._fold.is_key_expired(entry.claim_void.key)
        return self._fold.is_key_expired(entry.outcome.key, RETENTION_MARGIN_MS)


def _create_reply(request: ClaimRequest, status: "ClaimStatus.ValueType") -> Reply:
    return Reply(
        ClaimReply(request_id=request.request_id, claim_id=request.claim.claim_id, status=status)
    )
