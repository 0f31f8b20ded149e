"""At-most-once execution: the order of the platform's log decides which claim of a key wins.

``ClaimFold`` finds the first valid claim of each key. ``ClaimTask`` appends the claims of one
instance, and grants a claim only after reading it back from the log as the first of its key.
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

DEFAULT_APPEND_INTERVAL_S = 0.05
DEFAULT_MAX_WAIT_S = 5.0
# After an append that failed or is in doubt, voids and outcomes wait this long, not only the
# interval between appends, so that an outage of the log does not cause frequent retries.
RETRY_PAUSE_S = 1.0
# Leaves room for the digest in a record of 1 MiB.
MAX_BATCH_BYTES = 900 * 1024
MAX_BATCHES_IN_FLIGHT = 16
MAX_PENDING_CLAIMS = 10_000
# Outcomes are queued without their bodies if the queue would exceed this size.
MAX_QUEUED_BYTES = 32 * 1024 * 1024


class AppendStatus(Enum):
    """Result of an append to the log."""

    APPENDED = "appended"
    # The batch is not in the log and will not be.
    FAILED = "failed"
    # The batch may be in the log already, or may be appended later.
    IN_DOUBT = "in doubt"


@dataclass(frozen=True)
class AppendResult:
    """Reports how one AppendBatch ended; each batch gets exactly one result."""

    batch_id: int
    status: AppendStatus


@dataclass(frozen=True)
class AppendBatch:
    """An action: append a batch to the stream of claims, without retries."""

    batch_id: int
    batch: LogBatch


@dataclass(frozen=True)
class SendReply:
    """An action: send a reply to the gateway that made a ClaimRequest."""

    reply: ClaimReply


Action = AppendBatch | SendReply


@dataclass
class _PendingClaim:
    """A request whose claim is not decided yet."""

    request: ClaimRequest
    deadline: float
    # Whether the claim was handed out in a batch and so may be in the log.
    sent: bool = False
    appended: bool = False
    # Offset at which the claim was read back as the first of its key.
    won_offset: Offset | None = None
    # Later requests for the same key from this instance's gateways.
    followers: list[ClaimRequest] = field(default_factory=list)


@dataclass
class _Batch:
    """A batch whose append has not ended."""

    sent_at: float
    entries: list[LogEntry]


class ClaimTask:
    """Handles the claims of one instance on one stream.

    ``interval_s`` is the minimum time between appends, ``wait_s`` the maximum wait of a request.
    Every claim that may be in the log and is not granted is withdrawn by a ClaimVoid.
    """

    def __init__(
        self,
        fold: ClaimFold,
        instance: InstanceId,
        interval_s: float = DEFAULT_APPEND_INTERVAL_S,
        wait_s: float = DEFAULT_MAX_WAIT_S,
    ) -> None:
        self.interval_s = interval_s
        self._fold = fold
        self._instance = instance
        self._wait_s = wait_s
        self._pending: dict[str, _PendingClaim] = {}
        self._by_key: dict[KeyId, str] = {}
        # Ids of claims that are not in a batch yet.
        self._new_claims: deque[str] = deque()
        # Voids and outcomes, which are retried until they are appended.
        self._queued: deque[LogEntry] = deque()
        self._queued_bytes = 0
        self._retry_at = 0.0
        self._batches: dict[int, _Batch] = {}
        self._next_batch_id = 1
        self._last_append_at: float | None = None

    def count_pending(self) -> int:
        """Returns the number of undecided claims."""
        return len(self._pending)

    def count_queued(self) -> int:
        """Returns the number of log entries that are queued or in a batch without a result."""
        in_flight = sum(len(batch.entries) for batch in self._batches.values())
        return len(self._queued) + in_flight

    def submit(self, request: ClaimRequest, now: float) -> list[Action]:
        """Starts to claim a key for a gateway; exactly one SendReply follows, now or later."""
        claim = request.claim
        key_id = get_key_id(claim)
        if claim.claim_id in self._pending:
            return []
        if self._fold.look_up(*key_id) is not None:
            return [self._reply_from_state(request)]
        if self._fold.is_key_expired(key_id.key):
            return [_create_reply(request, EXPIRED)]
        pending_id = self._by_key.get(key_id)
        if pending_id is not None:
            self._pending[pending_id].followers.append(request)
            return []
        if len(self._pending) >= MAX_PENDING_CLAIMS:
            return [_create_reply(request, UNAVAILABLE)]
        self._pending[claim.claim_id] = _PendingClaim(request, now + self._wait_s)
        self._by_key[key_id] = claim.claim_id
        self._new_claims.append(claim.claim_id)
        return self._flush(now)

    def abandon(self, claim: Claim, now: float) -> list[Action]:
        """Withdraws a granted claim; only valid if no byte of the call was sent to a target."""
        self._enqueue_void(claim)
        return self._flush(now)

    def record_outcome(self, outcome: Outcome, now: float) -> list[Action]:
        """Queues the outcome of a granted claim; it is retried until it is in the log."""
        queued = Outcome()
        queued.CopyFrom(outcome)
        size = len(queued.body)
        if size > MAX_BODY_BYTES or self._queued_bytes + size > MAX_QUEUED_BYTES:
            drop_body(queued)
        self._enqueue(LogEntry(outcome=queued))
        return self._flush(now)

    def on_append_result(self, result: AppendResult, now: float) -> list[Action]:
        """Applies the result of an AppendBatch; a result for an unknown batch is ignored."""
        batch = self._batches.pop(result.batch_id, None)
        if batch is None:
            return []
        actions: list[Action] = []
        for entry in batch.entries:
            if entry.WhichOneof("kind") == "claim":
                actions += self._on_claim_result(entry.claim.claim_id, result.status)
            elif result.status != AppendStatus.APPENDED:
                self._enqueue(entry)
                self._retry_at = now + RETRY_PAUSE_S
        return actions + self._flush(now)

    def on_record(self, record: Record, now: float) -> list[Action]:
        """Applies one record of the stream and replies to the requests that it decides."""
        actions: list[Action] = []
        for event in self._fold.apply(record):
            pending = self._pending.get(event.claim_id)
            if pending is None:
                continue
            if event.kind == ClaimEventKind.WON:
                pending.won_offset = event.offset
                actions += self._grant_if_certain(pending)
            elif event.kind == ClaimEventKind.LOST:
                actions += self._resolve(pending, self._reply_from_state)
            elif event.kind == ClaimEventKind.UNDECIDED:
                actions += self._withdraw(pending)
            elif event.kind == ClaimEventKind.OUT_OF_WINDOW:
                actions += self._resolve(pending, lambda r: _create_reply(r, EXPIRED))
        return actions + self._flush(now)

    def tick(self, now: float) -> list[Action]:
        """Gives up on appends and claims that take too long, then appends what is due."""
        actions: list[Action] = []
        for batch_id, batch in list(self._batches.items()):
            if now - batch.sent_at > self._wait_s:
                actions += self.on_append_result(AppendResult(batch_id, AppendStatus.IN_DOUBT), now)
        for pending in [p for p in self._pending.values() if now >= p.deadline]:
            actions += self._withdraw(pending)
        return actions + self._flush(now)

    def _on_claim_result(self, claim_id: str, status: AppendStatus) -> list[Action]:
        pending = self._pending.get(claim_id)
        if pending is None:
            return []
        if status == AppendStatus.APPENDED:
            pending.appended = True
            return self._grant_if_certain(pending)
        if status == AppendStatus.FAILED:
            pending.sent = False
        return self._withdraw(pending)

    def _grant_if_certain(self, pending: _PendingClaim) -> list[Action]:
        # A claim that was read back is granted only once its own append is known to have succeeded:
        # the platform's client may repeat an append in doubt.
        if pending.won_offset is None or not pending.appended:
            return []
        self._remove(pending)
        action = _create_reply(pending.request, GRANTED)
        action.reply.offset = pending.won_offset
        return [action, *(self._reply_from_state(follower) for follower in pending.followers)]

    def _withdraw(self, pending: _PendingClaim) -> list[Action]:
        if pending.sent:
            self._enqueue_void(pending.request.claim)
        return self._resolve(pending, lambda r: _create_reply(r, UNAVAILABLE))

    def _resolve(
        self, pending: _PendingClaim, create_reply: Callable[[ClaimRequest], SendReply]
    ) -> list[Action]:
        self._remove(pending)
        return [create_reply(request) for request in (pending.request, *pending.followers)]

    def _remove(self, pending: _PendingClaim) -> None:
        claim = pending.request.claim
        del self._pending[claim.claim_id]
        del self._by_key[get_key_id(claim)]

    def _reply_from_state(self, request: ClaimRequest) -> SendReply:
        """Returns the reply to a request whose key has a winning claim, from that claim's state."""
        claim = request.claim
        state = self._fold.look_up(claim.customer, claim.service, claim.key)
        if state is None:
            return _create_reply(request, UNAVAILABLE)
        if state.request_digest != claim.request_digest:
            return _create_reply(request, MISMATCH)
        if state.outcome is None:
            return _create_reply(request, IN_PROGRESS)
        action = _create_reply(request, REPLAY)
        action.reply.outcome.CopyFrom(state.outcome)
        action.reply.offset = state.offset
        return action

    def _enqueue_void(self, claim: Claim) -> None:
        void = ClaimVoid(
            claim_id=claim.claim_id, customer=claim.customer, service=claim.service, key=claim.key
        )
        self._enqueue(LogEntry(claim_void=void))

    def _enqueue(self, entry: LogEntry) -> None:
        self._queued.append(entry)
        self._queued_bytes += entry.ByteSize()

    def _flush(self, now: float) -> list[Action]:
        due = self._last_append_at is None or now - self._last_append_at >= self.interval_s
        if not due or len(self._batches) >= MAX_BATCHES_IN_FLIGHT:
            return []
        entries = self._pop_claims()
        if now >= self._retry_at:
            entries += self._pop_queued(sum(entry.ByteSize() for entry in entries))
        if not entries:
            return []
        batch_id = self._next_batch_id
        self._next_batch_id += 1
        self._last_append_at = now
        self._batches[batch_id] = _Batch(now, entries)
        return [AppendBatch(batch_id, LogBatch(entries=entries))]

    def _pop_claims(self) -> list[LogEntry]:
        """Removes the oldest new claims; they fill at most about half of a record."""
        entries: list[LogEntry] = []
        size = 0
        while self._new_claims and size < MAX_BATCH_BYTES // 2:
            pending = self._pending.get(self._new_claims.popleft())
            if pending is not None:
                pending.sent = True
                entries.append(LogEntry(claim=pending.request.claim))
                size += entries[-1].ByteSize()
        return entries

    def _pop_queued(self, size: int) -> list[LogEntry]:
        """Removes the queued entries that fit into a record already holding ``size`` bytes."""
        entries: list[LogEntry] = []
        while self._queued and size + self._queued[0].ByteSize() < MAX_BATCH_BYTES:
            entry = self._queued.popleft()
            self._queued_bytes -= entry.ByteSize()
            if not self._is_obsolete(entry):
                entries.append(entry)
                size += entry.ByteSize()
        return entries

    def _is_obsolete(self, entry: LogEntry) -> bool:
        if entry.WhichOneof("kind") == "claim_void":
            return self._fold.is_key_expired(entry.claim_void.key)
        return self._fold.is_key_expired(entry.outcome.key, RETENTION_MARGIN_MS)


def _create_reply(request: ClaimRequest, status: "ClaimStatus.ValueType") -> SendReply:
    return SendReply(
        ClaimReply(request_id=request.request_id, claim_id=request.claim.claim_id, status=status)
    )
