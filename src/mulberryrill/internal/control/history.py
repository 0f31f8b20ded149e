"""History writer of the control process that tolerates write errors such as a full disk."""

import logging

from ..events import Event
from ..history.writer import HistoryWriter
from ..logs import log_event

_LOGGER = logging.getLogger(__name__)


class ControlHistory(HistoryWriter):
    """Logs write errors instead of raising them, so that the handler that writes goes on."""

    def write(self, event: str, **fields: object) -> None:
        """Writes one event; logs an error instead of raising it."""
        try:
            super().write(event, **fields)
        except (OSError, ValueError) as error:
            log_event(
                _LOGGER,
                logging.ERROR,
                Event.HISTORY_WRITE_FAILED,
                f"event {event} not written: {error}",
            )

    def close(self) -> None:
        """Closes the file; logs an error instead of raising it."""
        try:
            super().close()
        except OSError as error:
            log_event(
                _LOGGER,
                logging.ERROR,
                Event.HISTORY_WRITE_FAILED,
                f"history file not closed: {error}",
            )
