"""The history of this process: one JSON line for each call, dispatch and answer."""

import json
import logging
from typing import TextIO

from ...errors import GatewayError
from ..clock import Clock
from ..events import Event
from ..logs import log_event

_LOGGER = logging.getLogger(__name__)


class HistoryWriter:
    """Appends events to a file; without a file it does nothing. Used by the relay loop only."""

    def __init__(self, path: str, clock: Clock, process: str) -> None:
        self._clock = clock
        self._process = process
        self._file: TextIO | None = None
        self._path = path

    def start(self) -> None:
        """Opens the file; raises GatewayError if that is impossible."""
        if not self._path:
            return
        try:
            self._file = open(self._path, "a", encoding="utf-8", buffering=1)  # noqa: SIM115
        except OSError as error:
            raise GatewayError(f"history_file {self._path} cannot be opened: {error}") from error

    def write(self, event: str, **fields: object) -> None:
        """Writes one event with both times."""
        if self._file is None:
            return
        line = {
            "event": event,
            "process": self._process,
            "wall": self._clock.wall(),
            "monotonic": self._clock.monotonic(),
            **fields,
        }
        try:
            self._file.write(json.dumps(line) + "\n")
        except OSError as error:
            log_event(_LOGGER, logging.ERROR, Event.GATEWAY_HISTORY_FAILED, f"history: {error}")

    def close(self) -> None:
        """Closes the file."""
        if self._file is not None:
            self._file.close()
            self._file = None
