"""The history file: one JSON line for each event, for checking concurrent runs afterwards."""

import json
import logging
import os

from ..clock import Clock
from ..events import Event
from ..logs import log_event

_LOGGER = logging.getLogger(__name__)


class HistoryFile:
    """Appends events; without a path, does nothing. Not thread-safe: the main task owns it."""

    def __init__(self, path: str, process: str, clock: Clock) -> None:
        self._process = process
        self._clock = clock
        self._fd = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o644) if path else None

    def write(self, event: str, **fields: object) -> None:
        """Writes one event with wall-clock and monotonic time in seconds."""
        if self._fd is None:
            return
        line = {
            "event": event,
            "process": self._process,
            "wall": self._clock.wall(),
            "monotonic": self._clock.monotonic(),
            **fields,
        }
        try:
            # One write per line, so that a killed process leaves no mixed lines.
            os.write(self._fd, json.dumps(line).encode() + b"\n")
        except OSError as error:
            log_event(
                _LOGGER, logging.ERROR, Event.HISTORY_WRITE_FAILED, f"history not written: {error}"
            )

    def close(self) -> None:
        """Closes the file."""
        if self._fd is not None:
            os.close(self._fd)
            self._fd = None
