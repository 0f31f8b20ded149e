"""At-most-once execution: claims are decided by the order of the platform's log.

``ClaimFold`` finds the first valid claim of each key. ``ClaimTask`` appends the claims of one
instance and grants one only after it has read it back as the first.
"""

import sys
import uuid
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

from ...errors import CorruptRecordError
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
from .messages import Record
from .records import open_record

# A caller's clock may be ahead of the platform's by this much.
KEY_LEAD_MS = 60_000
# Keys are remembered this much longer than claims for them can be valid, so that a repeat at the
# end of the window still gets its outcome.
FORGET_MARGIN_MS = 120_000
FORGET_STEP_MS = 60_000
# Outcome bodies kept for replays; beyond it the oldest are dropped and replay as truncated.
MAX_OUTCOME_BYTES = 48 * 1024 * 1024
# Longest body of an outcome; the gateway cuts at the same length.
MAX_BODY_BYTES = 64 * 1024
UUID_VERSION = 7

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


class KeyId(NamedTuple):
    """Identifies one call that may run once. ``key`` has the usual text of a UUID."""

    customer: str
    service: str
    key: str


class ClaimEventKind(Enum):
    """What a log entry meant for its claim."""

    WON = "won"
    LOST = "lost"
    OUT_OF_WINDOW = "out of window"
    # Earlier claims of the key may have been missed; other instances may see it as the first.
    UNDECIDED = "undecided"
    VOIDED = "voided"
    OUTCOME = "outcome"


@dataclass(frozen=True)
class ClaimEvent:
    """The effect of one log entry."""

    kind: ClaimEventKind
    claim_id: str
    key_id: KeyId
    offset: Offset


@dataclass(frozen=True)
class ClaimState:
    """The claim that holds a key; ``outcome`` is None until its run has ended."""

    claim_id: str
    request_digest: bytes
    offset: Offset
    outcome: Outcome | None = None


@dataclass(slots=True)
class _KeyState:
    """All that is remembered of one key. Many are kept, so they are small."""

    # The claim that holds the key; empty if it is free.
    claim_id: str = ""
    request_digest: bytes = b""
    offset: Offset = Offset(0)
    # A serialized Outcome without the fields that identify it; None until the run has ended.
    outcome: bytes | None = None
    # Claims that lost or were withdrawn. A duplicate of their record never wins.
    spent: frozenset[str] = frozenset()

    def add_spent(self, claim_id: str) -> None:
        if claim_id not in self.spent:
            self.spent |= {claim_id}


def read_key_time_ms(key: str) -> int | None:
    """Returns the creation time in a UUIDv7, or None if the key is not one."""
    try:
        value = uuid.UUID(key)
    except ValueError:
        return None
    return value.int >> 80 if value.version == UUID_VERSION else None


def normalize_key(key: str) -> str:
    """Returns the usual text of a UUID, so that its other spellings are the same key."""
    try:
        return str(uuid.UUID(key))
    except ValueError:
        return key


# Customer, service and the 16 bytes of the key.
_PackedKey = tuple[str, str, bytes]


def _pack(key_id: KeyId) -> _PackedKey:
    """Returns a form that shares the names among keys and needs a third of the memory."""
    try:
        key = uuid.UUID(key_id.key).bytes
    except ValueError:
        key = key_id.key.encode("utf-8")
    return sys.intern(key_id.customer), sys.intern(key_id.service), key


def _identify(entry: Claim | ClaimVoid | Outcome) -> KeyId:
    return KeyId(entry.customer, entry.service, normalize_key(entry.key))


class ClaimFold:
    """Folds one stream of claims.

    The reader starts at the first record that the log keeps. The log keeps records for longer than
    the key window, so every claim that could precede a valid one has been read.
    """

    def __init__(self, key_window_ms: int) -> None:
        self._window_ms = key_window_ms
        self._keys: dict[_PackedKey, _KeyState] = {}
        self._expiring: dict[int, list[_PackedKey]] = {}
        # Keys with an outcome, oldest first.
        self._outcomes: deque[_PackedKey] = deque()
        self._outcome_bytes = 0
        self._folded: Offset | None = None
        # Claims before this time may be missing; claims of keys that old stay undecided.
        self._missing_until_ms = -1
        self.last_time_ms = 0
        self.corrupt_records = 0

    def __len__(self) -> int:
        return len(self._keys)

    def apply(self, record: Record) -> list[ClaimEvent]:
        """Folds the next record; one that is already folded has no effect."""
        if self._folded is not None and record.offset <= self._folded:
            return []
        if self._folded is not None and record.offset != self._folded + 1:
            self._missing_until_ms = record.time_ms
        self._folded = record.offset
        self.last_time_ms = max(self.last_time_ms, record.time_ms)
        self._forget_expired()
        try:
            batch = open_record(record.data)
        except CorruptRecordError:
            self.corrupt_records += 1
            return []
        events = (self._apply_entry(entry, record) for entry in batch.entries)
        return [event for event in events if event is not None]

    def look_up(self, customer: str, service: str, key: str) -> ClaimState | None:
        """Returns the claim that holds a key."""
        state = self._keys.get(_pack(KeyId(customer, service, normalize_key(key))))
        if state is None or not state.claim_id:
            return None
        outcome = None
        if state.outcome is not None:
            outcome = Outcome.FromString(state.outcome)
            outcome.claim_id, outcome.key = state.claim_id, normalize_key(key)
            outcome.customer, outcome.service = customer, service
        return ClaimState(state.claim_id, state.request_digest, state.offset, outcome)

    def is_key_expired(self, key: str, margin_ms: int = 0) -> bool:
        """Tells whether no claim of the key can be valid any more, since at least ``margin_ms``."""
        created_ms = read_key_time_ms(key)
        return created_ms is None or self.last_time_ms > created_ms + self._window_ms + margin_ms

    def _apply_entry(self, entry: LogEntry, record: Record) -> ClaimEvent | None:
        kind = entry.WhichOneof("kind")
        if kind == "claim":
            return self._apply_claim(entry.claim, record)
        if kind == "claim_void":
            return self._apply_void(entry.claim_void, record)
        if kind == "outcome":
            return self._apply_outcome(entry.outcome, record)
        return None

    def _apply_claim(self, claim: Claim, record: Record) -> ClaimEvent | None:
        key_id = _identify(claim)
        if not claim.claim_id or not self._is_valid(key_id.key, record.time_ms):
            return ClaimEvent(ClaimEventKind.OUT_OF_WINDOW, claim.claim_id, key_id, record.offset)
        if self._may_miss_claims(key_id.key):
            return ClaimEvent(ClaimEventKind.UNDECIDED, claim.claim_id, key_id, record.offset)
        state = self._get_state(key_id)
        if state.claim_id == claim.claim_id:
            return None
        if not state.claim_id and claim.claim_id not in state.spent:
            state.claim_id, state.request_digest = claim.claim_id, claim.request_digest
            state.offset = record.offset
            return ClaimEvent(ClaimEventKind.WON, claim.claim_id, key_id, record.offset)
        state.add_spent(claim.claim_id)
        return ClaimEvent(ClaimEventKind.LOST, claim.claim_id, key_id, record.offset)

    def _is_valid(self, key: str, time_ms: int) -> bool:
        created_ms = read_key_time_ms(key)
        if created_ms is None:
            return False
        return created_ms - KEY_LEAD_MS <= time_ms <= created_ms + self._window_ms

    def _may_miss_claims(self, key: str) -> bool:
        return (read_key_time_ms(key) or 0) - KEY_LEAD_MS <= self._missing_until_ms

    def _apply_void(self, void: ClaimVoid, record: Record) -> ClaimEvent | None:
        key_id = _identify(void)
        if not self._is_valid(key_id.key, record.time_ms):
            return None
        state = self._get_state(key_id)
        if state.claim_id == void.claim_id:
            if state.outcome is not None:
                return None
            state.claim_id, state.request_digest = "", b""
        # The void may precede a claim whose append was delayed.
        state.add_spent(void.claim_id)
        return ClaimEvent(ClaimEventKind.VOIDED, void.claim_id, key_id, record.offset)

    def _apply_outcome(self, outcome: Outcome, record: Record) -> ClaimEvent | None:
        key_id = _identify(outcome)
        packed = _pack(key_id)
        state = self._keys.get(packed)
        if state is None or not state.claim_id or state.claim_id != outcome.claim_id:
            return None
        if state.outcome is not None:
            return None
        answer = Outcome(
            status=outcome.status,
            content_type=outcome.content_type,
            body=outcome.body,
            truncated=outcome.truncated,
        )
        state.outcome = answer.SerializeToString()
        self._outcomes.append(packed)
        self._outcome_bytes += len(state.outcome)
        self._drop_old_bodies()
        return ClaimEvent(ClaimEventKind.OUTCOME, outcome.claim_id, key_id, record.offset)

    def _drop_old_bodies(self) -> None:
        while self._outcome_bytes > MAX_OUTCOME_BYTES and self._outcomes:
            state = self._keys.get(self._outcomes.popleft())
            if state is None or state.outcome is None:
                continue
            outcome = Outcome.FromString(state.outcome)
            _truncate(outcome)
            self._outcome_bytes -= len(state.outcome)
            state.outcome = outcome.SerializeToString()

    def _get_state(self, key_id: KeyId) -> _KeyState:
        packed = _pack(key_id)
        state = self._keys.get(packed)
        if state is None:
            state = self._keys[packed] = _KeyState()
            created_ms = read_key_time_ms(key_id.key) or 0
            forget_ms = created_ms + self._window_ms + FORGET_MARGIN_MS
            self._expiring.setdefault(forget_ms // FORGET_STEP_MS, []).append(packed)
        return state

    def _forget_expired(self) -> None:
        step = self.last_time_ms // FORGET_STEP_MS
        for old in [key for key in self._expiring if key < step]:
            for packed in self._expiring.pop(old):
                state = self._keys.pop(packed)
                self._outcome_bytes -= len(state.outcome or b"")
        while self._outcomes and self._outcomes[0] not in self._keys:
            self._outcomes.popleft()


def _truncate(outcome: Outcome) -> None:
    outcome.body = b""
    outcome.truncated = True


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
    won_at: Offset | None = None
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

    def request(self, request: ClaimRequest, now: float) -> list[Action]:
        """Takes a gateway's request; exactly one Reply follows, now or later."""
        claim = request.claim
        key_id = _identify(claim)
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
            _truncate(kept)
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
                waiting.won_at = event.offset
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
        if waiting.won_at is None or not waiting.appended:
            return []
        self._remove(waiting)
        reply = _create_reply(waiting.request, GRANTED)
        reply.reply.offset = waiting.won_at
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
        del self._by_key[_identify(claim)]

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
        return self._fold.is_key_expired(entry.outcome.key, FORGET_MARGIN_MS)


def _create_reply(request: ClaimRequest, status: "ClaimStatus.ValueType") -> Reply:
    return Reply(
        ClaimReply(request_id=request.request_id, claim_id=request.claim.claim_id, status=status)
    )
