"""Finds the first valid claim of each key by reading the platform's log in order."""

import sys
import uuid
from collections import deque
from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple

from ...errors import CorruptRecordError
from ..ids import Offset
from ..schema.log_pb2 import Claim, ClaimVoid, LogEntry, Outcome
from .messages import Record
from .records import decode_record

# How far a caller's clock, from which keys take their time, may be ahead of the platform's.
MAX_CLOCK_LEAD_MS = 60_000
# Keys are kept this much longer than their claims can be valid, so that a repeated call at the end
# of the window still gets its outcome.
RETENTION_MARGIN_MS = 120_000
# Keys are grouped by expiry time in steps of this length.
EXPIRY_BUCKET_MS = 60_000
# Total size of stored outcomes. Above it the oldest lose their bodies and replay as truncated.
MAX_OUTCOME_BYTES = 48 * 1024 * 1024
# Longest body of an outcome; gateways apply the same limit.
MAX_BODY_BYTES = 64 * 1024
UUID_VERSION = 7


class KeyId(NamedTuple):
    """Identifies a call that may run at most once; ``key`` is normalized."""

    customer: str
    service: str
    key: str


class ClaimEventKind(Enum):
    """Effect of a log entry on its claim."""

    WON = "won"
    LOST = "lost"
    OUT_OF_WINDOW = "out of window"
    # Records with earlier claims of the key may be missing here; others may see this one as first.
    UNDECIDED = "undecided"
    VOIDED = "voided"
    OUTCOME = "outcome"


@dataclass(frozen=True)
class ClaimEvent:
    """A log entry that had an effect, and the claim that it concerns."""

    kind: ClaimEventKind
    claim_id: str
    key_id: KeyId
    offset: Offset


@dataclass(frozen=True)
class ClaimState:
    """The winning claim of a key; ``outcome`` is None until its run has ended."""

    claim_id: str
    request_digest: bytes
    offset: Offset
    outcome: Outcome | None = None


@dataclass(slots=True)
class _KeyState:
    """Stored state of one key, compact because many keys are kept."""

    # The winning claim; empty if there is none.
    claim_id: str = ""
    request_digest: bytes = b""
    offset: Offset = Offset(0)
    # A serialized Outcome without the fields that identify it; None until the run has ended.
    outcome: bytes | None = None
    # Claims that lost or were withdrawn; a repeated record of one must not win.
    invalidated: frozenset[str] = frozenset()

    def invalidate(self, claim_id: str) -> None:
        if claim_id not in self.invalidated:
            self.invalidated |= {claim_id}


def read_key_time_ms(key: str) -> int | None:
    """Returns the creation time of a UUIDv7 in Unix milliseconds; None for any other key."""
    try:
        value = uuid.UUID(key)
    except ValueError:
        return None
    return value.int >> 80 if value.version == UUID_VERSION else None


def normalize_key(key: str) -> str:
    """Returns the canonical text of a UUID, or the key itself if it is not a UUID."""
    try:
        return str(uuid.UUID(key))
    except ValueError:
        return key


# Customer, service and the 16 bytes of the key.
_PackedKey = tuple[str, str, bytes]


def _pack_key(key_id: KeyId) -> _PackedKey:
    """Returns a compact form with shared names, which needs a third of the memory."""
    try:
        key = uuid.UUID(key_id.key).bytes
    except ValueError:
        key = key_id.key.encode("utf-8")
    return sys.intern(key_id.customer), sys.intern(key_id.service), key


def get_key_id(entry: Claim | ClaimVoid | Outcome) -> KeyId:
    """Returns the identity of the key that an entry is about."""
    return KeyId(entry.customer, entry.service, normalize_key(entry.key))


class ClaimFold:
    """State of one stream of claims, computed by applying its records in order.

    Records are applied from the oldest one that the log retains. The log retains records for longer
    than the key window, so every claim that could precede a valid one has been read.
    """

    def __init__(self, key_window_ms: int) -> None:
        self._key_window_ms = key_window_ms
        self._keys: dict[_PackedKey, _KeyState] = {}
        self._expiry_buckets: dict[int, list[_PackedKey]] = {}
        # Keys with an outcome, oldest first.
        self._outcomes: deque[_PackedKey] = deque()
        self._outcome_bytes = 0
        self._last_offset: Offset | None = None
        # Records up to this time may be missing, so claims of keys that old stay undecided.
        self._missing_until_ms = -1
        self.last_time_ms = 0
        self.corrupt_records = 0

    def __len__(self) -> int:
        return len(self._keys)

    def apply(self, record: Record) -> list[ClaimEvent]:
        """Applies the next record; one that was already applied has no effect."""
        if self._last_offset is not None and record.offset <= self._last_offset:
            return []
        if self._last_offset is not None and record.offset != self._last_offset + 1:
            self._missing_until_ms = record.time_ms
        self._last_offset = record.offset
        self.last_time_ms = max(self.last_time_ms, record.time_ms)
        self._remove_expired()
        try:
            batch = decode_record(record.data)
        except CorruptRecordError:
            self.corrupt_records += 1
            return []
        events = (self._apply_entry(entry, record) for entry in batch.entries)
        return [event for event in events if event is not None]

    def look_up(self, customer: str, service: str, key: str) -> ClaimState | None:
        """Returns the winning claim of a key, or None."""
        state = self._keys.get(_pack_key(KeyId(customer, service, normalize_key(key))))
        if state is None or not state.claim_id:
            return None
        outcome = None
        if state.outcome is not None:
            outcome = Outcome.FromString(state.outcome)
            outcome.claim_id, outcome.key = state.claim_id, normalize_key(key)
            outcome.customer, outcome.service = customer, service
        return ClaimState(state.claim_id, state.request_digest, state.offset, outcome)

    def is_key_expired(self, key: str, margin_ms: int = 0) -> bool:
        """Returns whether the key became invalid more than ``margin_ms`` ago by the log's time."""
        created_ms = read_key_time_ms(key)
        return (
            created_ms is None or self.last_time_ms > created_ms + self._key_window_ms + margin_ms
        )

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
        key_id = get_key_id(claim)
        if not claim.claim_id or not self._is_valid(key_id.key, record.time_ms):
            return ClaimEvent(ClaimEventKind.OUT_OF_WINDOW, claim.claim_id, key_id, record.offset)
        if self._may_miss_claims(key_id.key):
            return ClaimEvent(ClaimEventKind.UNDECIDED, claim.claim_id, key_id, record.offset)
        state = self._get_state(key_id)
        if state.claim_id == claim.claim_id:
            return None
        if not state.claim_id and claim.claim_id not in state.invalidated:
            state.claim_id, state.request_digest = claim.claim_id, claim.request_digest
            state.offset = record.offset
            return ClaimEvent(ClaimEventKind.WON, claim.claim_id, key_id, record.offset)
        state.invalidate(claim.claim_id)
        return ClaimEvent(ClaimEventKind.LOST, claim.claim_id, key_id, record.offset)

    def _is_valid(self, key: str, time_ms: int) -> bool:
        created_ms = read_key_time_ms(key)
        if created_ms is None:
            return False
        return created_ms - MAX_CLOCK_LEAD_MS <= time_ms <= created_ms + self._key_window_ms

    def _may_miss_claims(self, key: str) -> bool:
        return (read_key_time_ms(key) or 0) - MAX_CLOCK_LEAD_MS <= self._missing_until_ms

    def _apply_void(self, void: ClaimVoid, record: Record) -> ClaimEvent | None:
        key_id = get_key_id(void)
        if not self._is_valid(key_id.key, record.time_ms):
            return None
        state = self._get_state(key_id)
        if state.claim_id == void.claim_id:
            if state.outcome is not None:
                return None
            state.claim_id, state.request_digest = "", b""
        # The claim may follow its void in the log if its append was delayed.
        state.invalidate(void.claim_id)
        return ClaimEvent(ClaimEventKind.VOIDED, void.claim_id, key_id, record.offset)

    def _apply_outcome(self, outcome: Outcome, record: Record) -> ClaimEvent | None:
        key_id = get_key_id(outcome)
        packed = _pack_key(key_id)
        state = self._keys.get(packed)
        if state is None or not state.claim_id or state.claim_id != outcome.claim_id:
            return None
        if state.outcome is not None:
            return None
        stored = Outcome(
            status=outcome.status,
            content_type=outcome.content_type,
            body=outcome.body,
            truncated=outcome.truncated,
        )
        state.outcome = stored.SerializeToString()
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
            drop_body(outcome)
            self._outcome_bytes -= len(state.outcome)
            state.outcome = outcome.SerializeToString()

    def _get_state(self, key_id: KeyId) -> _KeyState:
        packed = _pack_key(key_id)
        state = self._keys.get(packed)
        if state is None:
            state = self._keys[packed] = _KeyState()
            created_ms = read_key_time_ms(key_id.key) or 0
            expiry_ms = created_ms + self._key_window_ms + RETENTION_MARGIN_MS
            self._expiry_buckets.setdefault(expiry_ms // EXPIRY_BUCKET_MS, []).append(packed)
        return state

    def _remove_expired(self) -> None:
        current_bucket = self.last_time_ms // EXPIRY_BUCKET_MS
        for expired_bucket in [key for key in self._expiry_buckets if key < current_bucket]:
            for packed in self._expiry_buckets.pop(expired_bucket):
                state = self._keys.pop(packed)
                self._outcome_bytes -= len(state.outcome or b"")
        while self._outcomes and self._outcomes[0] not in self._keys:
            self._outcomes.popleft()


def drop_body(outcome: Outcome) -> None:
    """Removes an outcome's body and marks it as truncated; the status is kept."""
    outcome.body = b""
    outcome.truncated = True
