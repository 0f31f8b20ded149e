"""Splits a stream of server-sent events into complete events and checks their order."""

import re

from ..http.events import EventBuffer

_ID = re.compile(rb"^id:[ ]?(\d+)\r?$", re.M)
# Ids count the events of a stream from 0 or 1.
MAX_ID_DIGITS = 18


class EventStreamParser:
    """Buffers the bytes of one stream and returns complete events unchanged."""

    def __init__(self, last_id: int | None) -> None:
        self._buffer = EventBuffer()
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
        return self._is_out_of_order or not self._buffer.is_blank

    def feed(self, data: bytes) -> tuple[bytes, int]:
        """Returns the bytes of the events that ``data`` completes, and their number.

        Raises ResponseLimitError if an event is too large.
        """
        if self._is_out_of_order:
            return b"", 0
        events = []
        for event, length in self._buffer.feed(data):
            if not self._check_order(event[: length + 1]):
                self._is_out_of_order = True
                break
            events.append(event)
        return b"".join(events), len(events)

    def _check_order(self, event: bytes) -> bool:
        match = _ID.search(event)
        if match is None:
            return True
        if len(match.group(1)) > MAX_ID_DIGITS:
            return False
        event_id = int(match.group(1))
        if self.last_id is not None and event_id != self.last_id + 1:
            return False
        self.last_id = event_id
        return True
