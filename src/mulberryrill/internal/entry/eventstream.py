"""Splits a stream of server-sent events into complete events and checks their order."""

import re

_EVENT_END = re.compile(rb"\r?\n\r?\n")
_ID = re.compile(rb"^id:[ ]?(\d+)\r?$", re.M)


class EventStreamParser:
    """Buffers the bytes of one stream and returns complete events unchanged."""

    def __init__(self, last_id: int | None) -> None:
        self._buffer = b""
        self._is_out_of_order = False
        # Id of the last event that was returned; None before the first one.
        self.last_id = last_id

    @property
    def is_out_of_order(self) -> bool:
        """Whether an event was missing or repeated; no further events are returned."""
        return self._is_out_of_order

    @property
    def has_partial_event(self) -> bool:
        """Whether the buffer holds an incomplete event."""
        return bool(self._buffer.strip())

    def feed(self, data: bytes) -> tuple[bytes, int]:
        """Returns the bytes of the events that ``data`` completes, and their number."""
        if self._is_out_of_order:
            return b"", 0
        self._buffer += data
        start = count = 0
        for match in _EVENT_END.finditer(self._buffer):
            if not self._check_order(self._buffer[start : match.start() + 1]):
                self._is_out_of_order = True
                break
            start = match.end()
            count += 1
        events, self._buffer = self._buffer[:start], self._buffer[start:]
        return events, count

    def _check_order(self, event: bytes) -> bool:
        match = _ID.search(event)
        if match is None:
            return True
        event_id = int(match.group(1))
        if self.last_id is not None and event_id != self.last_id + 1:
            return False
        self.last_id = event_id
        return True
