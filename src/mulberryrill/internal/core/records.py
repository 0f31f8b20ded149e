"""Encoding of log records: a batch of entries with its SHA-256 digest."""

import hashlib

from google.protobuf.message import DecodeError

from ...errors import CorruptRecordError
from ..schema.log_pb2 import LogBatch, SealedRecord

# Largest record that the platform's log accepts.
MAX_RECORD_BYTES = 1024 * 1024


def encode_record(batch: LogBatch) -> bytes:
    """Returns a batch as the bytes of one log record."""
    data = batch.SerializeToString()
    digest = hashlib.sha256(data).digest()
    return SealedRecord(batch=data, digest=digest).SerializeToString()


def decode_record(data: bytes) -> LogBatch:
    """Returns the batch of a record; raises CorruptRecordError if the bytes are damaged."""
    try:
        sealed = SealedRecord.FromString(data)
        if hashlib.sha256(sealed.batch).digest() != sealed.digest:
            raise CorruptRecordError(f"record of {len(data)} bytes does not match its digest")
        return LogBatch.FromString(sealed.batch)
    except DecodeError as error:
        raise CorruptRecordError(f"record of {len(data)} bytes cannot be decoded") from error
