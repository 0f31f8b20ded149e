"""Writes a process's history: one JSON object per line, for the history checks."""

import json
import threading
from typing import IO

from ..clock import Clock, SystemClock


class HistoryWriter:
    """Appends events to a file; without a path it writes nothing. Thread-safe."""

    def __init__(self, path: str, process: str, clock: Clock | None = None) -> None:
        self._process = process
        self._clock = clock or SystemClock()
        self._lock = threading.Lock()
        self._file: IO[str] | None = None
        if path:
            # Line buffering, so that no event is lost when the process is killed.
            self._file = open(path, "a", encoding="utf-8", buffering=1)  # noqa: SIM115

    def write(self, event: str, **fields: object) -> None:
        """Writes one event with the wall-clock and the host's monotonic time in seconds."""
        if self._file is None:
            return
        line = {
            "event": event,
            "process": self._process,
            "time": self._clock.wall(),
            "monotonic": self._clock.monotonic(),
            **fields,
        }
        text = json.dumps(line) + "\n"
        with self._lock:
            if not self._file.closed:
                self._file.write(text)

    def close(self) -> None:
        """Closes the file."""
        if self._file is not None:
            with self._lock:
                self._file.close()
