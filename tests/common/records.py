"""Builds log records, claims and keys for tests."""

import uuid

from mulberryrill.internal.core.messages import Record
from mulberryrill.internal.core.records import encode_record
from mulberryrill.internal.ids import Offset
from mulberryrill.internal.schema.log_pb2 import Claim, ClaimVoid, LogBatch, LogEntry, Outcome

START_MS = 1_800_000_000_000


class Log:
    """Stores the records of one stream and assigns their offsets."""

    def __init__(self, first_offset: int = 1) -> None:
        self.next_offset = first_offset
        self.records: list[Record] = []

    def append(self, *entries: LogEntry, time_ms: int = START_MS, damage: bool = False) -> Record:
        """Appends a record and returns it; a damaged record lacks its last byte."""
        data = encode_record(LogBatch(entries=entries))
        record = Record(Offset(self.next_offset), time_ms, data[:-1] if damage else data)
        self.next_offset += 1
        self.records.append(record)
        return record


def create_idempotency_key(created_ms: int = START_MS, number: int = 0) -> str:
    """Returns a UUIDv7 with the given creation time."""
    return str(uuid.UUID(int=(created_ms << 80) | (7 << 76) | (2 << 62) | number))


def create_claim(claim_id: str, key: str = "", digest: bytes = b"d") -> Claim:
    """Returns a claim of customer c for service s."""
    return Claim(
        claim_id=claim_id,
        customer="c",
        service="s",
        key=key or create_idempotency_key(),
        request_digest=digest,
    )


def create_void(claim: Claim) -> LogEntry:
    """Returns the log entry that voids a claim."""
    void = ClaimVoid(claim_id=claim.claim_id, customer="c", service="s", key=claim.key)
    return LogEntry(claim_void=void)


def create_outcome(claim: Claim, body: bytes = b"ok") -> Outcome:
    """Returns the outcome of the call that was claimed."""
    return Outcome(claim_id=claim.claim_id, customer="c", service="s", key=claim.key, body=body)
