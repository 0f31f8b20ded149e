"""The control process's history file; a full disk must not stop the process."""

import logging

from ..events import Event
from ..history.writer import HistoryWriter
from ..logs import log_event

_LOGGER = logging.getLogger(__name__)


class ControlHistory(HistoryWriter):
    """Logs a line that cannot be written, instead of failing the handler that writes it."""

    def write(self, event: str, **fields: object) -> None:
        """Writes one event."""
        try:
            super().write(event, **fields)
        except (OSError, ValueError) as error:
            log_event(
                _LOGGER, logging.ERROR, Event.HISTORY_WRITE_FAILED, f"{event} not written: {error}"
            )

    def close(self) -> None:
        """Closes the file."""
        try:
            super().close()
        except OSError as error:
            log_event(_LOGGER, logging.ERROR, Event.HISTORY_WRITE_FAILED, f"not closed: {error}")
