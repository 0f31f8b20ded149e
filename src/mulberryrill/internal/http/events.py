"""Splits a stream of server-sent events at the empty lines between them."""

import re

from ...errors import ResponseLimitError
from .bounds import MAX_EVENT_BYTES

_EVENT_END = re.compile(rb"\r?\n\r?\n")
# Length of the longest event end, without its last byte: it may begin in the bytes searched before.
_OVERLAP = 3


class EventBuffer:
    """Collects the bytes of one stream. Each byte is searched once, however the stream is cut."""

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._searched = 0

    def __len__(self) -> int:
        return len(self._buffer)

    @property
    def is_blank(self) -> bool:
        """Whether nothing but white space has arrived since the last event."""
        return not self._buffer.strip()

    def feed(self, data: bytes) -> list[tuple[bytes, int]]:
        """Returns the events that ``data`` completes, each with its end and its length without it.

        Raises ResponseLimitError if an event exceeds MAX_EVENT_BYTES.
        """
        self._buffer += data
        events = []
        start = 0
        position = max(0, self._searched - _OVERLAP)
        while (match := _EVENT_END.search(self._buffer, position)) is not None:
            position = match.end()
            events.append((bytes(self._buffer[start:position]), match.start() - start))
            start = position
        del self._buffer[:start]
        self._searched = len(self._buffer)
        if self._searched > MAX_EVENT_BYTES:
            raise ResponseLimitError("event", MAX_EVENT_BYTES)
        return events
