"""The gateway's history file. A failed write is logged, so that it does not end a call."""

import logging

from ...errors import GatewayError
from ..clock import Clock
from ..events import Event
from ..history.writer import HistoryWriter
from ..logs import log_event

_LOGGER = logging.getLogger(__name__)


class GatewayHistory:
    """Writes "call", "dispatch" and "answer" events; without a file it writes nothing."""

    def __init__(self, path: str, process: str, clock: Clock) -> None:
        try:
            self._writer = HistoryWriter(path, process, clock)
        except OSError as error:
            raise GatewayError(f"history_file {path} cannot be opened: {error}") from error

    def write(self, event: str, **fields: object) -> None:
        """Writes one event with its wall clock and monotonic times."""
        try:
            self._writer.write(event, **fields)
        except OSError as error:
            log_event(
                _LOGGER,
                logging.ERROR,
                Event.GATEWAY_HISTORY_FAILED,
                f"cannot write to the history file: {error}",
            )

    def close(self) -> None:
        """Closes the file."""
        self._writer.close()
