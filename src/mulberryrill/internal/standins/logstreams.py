"""The log streams of the platform stand-in, in memory."""

import threading
from dataclasses import dataclass, field

from ...errors import OffsetExpiredError
from ..clock import Clock
from ..core.messages import Record
from ..ids import Offset

# Document revisions are offsets, and revision 0 means that there is no document.
FIRST_OFFSET = 1


@dataclass
class _Stream:
    """One stream; ``records[0]`` has offset ``first_offset``."""

    first_offset: int = FIRST_OFFSET
    records: list[Record] = field(default_factory=list)

    @property
    def next_offset(self) -> int:
        return self.first_offset + len(self.records)


@dataclass(frozen=True)
class StreamSlice:
    """Records read from a stream.

    ``first_offset`` is that of the oldest record kept, ``next_offset`` that of the next append.
    """

    first_offset: int
    next_offset: int
    records: list[Record]


class LogStreams:
    """Named streams with retention. Record times never decrease, even if the wall clock does."""

    def __init__(self, retention_ms: int, clock: Clock) -> None:
        self._retention_ms = retention_ms
        self._clock = clock
        self._changed = threading.Condition()
        self._streams: dict[str, _Stream] = {}
        self._last_time_ms = 0

    def append(self, name: str, data: bytes) -> int:
        """Adds a record and returns its offset."""
        with self._changed:
            stream = self._streams.setdefault(name, _Stream())
            self._last_time_ms = max(self._last_time_ms, int(self._clock.wall() * 1000))
            offset = stream.next_offset
            stream.records.append(Record(Offset(offset), self._last_time_ms, data))
            self._drop_expired(stream)
            self._changed.notify_all()
            return offset

    def read(self, name: str, start_offset: int, limit: int, wait_s: float) -> StreamSlice:
        """Returns records from ``start_offset`` on; waits up to ``wait_s`` if there is none.

        Raises OffsetExpiredError if the record at ``start_offset`` is no longer kept.
        """
        deadline = self._clock.monotonic() + wait_s
        with self._changed:
            while True:
                stream = self._streams.setdefault(name, _Stream())
                self._drop_expired(stream)
                if start_offset < stream.first_offset:
                    raise OffsetExpiredError(stream.first_offset)
                remaining_s = deadline - self._clock.monotonic()
                if start_offset < stream.next_offset or remaining_s <= 0:
                    index = start_offset - stream.first_offset
                    records = stream.records[index : index + limit]
                    return StreamSlice(stream.first_offset, stream.next_offset, records)
                self._changed.wait(remaining_s)

    def _drop_expired(self, stream: _Stream) -> None:
        oldest_ms = int(self._clock.wall() * 1000) - self._retention_ms
        count = 0
        while count < len(stream.records) and stream.records[count].time_ms < oldest_ms:
            count += 1
        if count:
            del stream.records[:count]
            stream.first_offset += count
