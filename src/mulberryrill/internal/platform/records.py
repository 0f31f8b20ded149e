"""Log records: a batch of entries sealed with its SHA-256 digest."""

import hashlib

from google.protobuf.message import DecodeError

from ...errors import CorruptRecordError, PlatformError
from ..schema.log_pb2 import LogBatch, LogEntry, SealedRecord

# The platform refuses longer records.
MAX_RECORD_BYTES = 1024 * 1024


def seal_batch(batch: LogBatch) -> bytes:
    """Returns the bytes of one record; raises PlatformError if the log cannot hold them."""
    data = batch.SerializeToString()
    record = SealedRecord(batch=data, digest=hashlib.sha256(data).digest()).SerializeToString()
    if len(record) > MAX_RECORD_BYTES:
        raise PlatformError(
            f"a record of {len(record)} bytes exceeds the log's limit of {MAX_RECORD_BYTES}"
        )
    return record


def seal_entry(entry: LogEntry) -> bytes:
    """Seals a batch of one entry."""
    return seal_batch(LogBatch(entries=[entry]))


def open_record(data: bytes) -> LogBatch:
    """Checks a record's digest and returns its batch; raises CorruptRecordError."""
    try:
        record = SealedRecord.FromString(data)
        if hashlib.sha256(record.batch).digest() != record.digest:
            raise CorruptRecordError(f"digest mismatch in a record of {len(data)} bytes")
        return LogBatch.FromString(record.batch)
    except DecodeError as error:
        raise CorruptRecordError(f"undecodable record of {len(data)} bytes") from error
