"""JSON logs with numbered events. Known secrets are masked before a line is written."""

import logging
import re
import sys

from pythonjsonlogger.json import JsonFormatter

from .events import Event

MASK = "***"
_BEARER = re.compile(r"(?i)(bearer\s+)\S+")


class _MaskingFilter(logging.Filter):
    """Masks registered secrets and bearer tokens in messages and fields."""

    def __init__(self, secrets: tuple[str, ...]) -> None:
        super().__init__()
        self._secrets = tuple(secret for secret in secrets if secret)

    def filter(self, record: logging.LogRecord) -> bool:
        record.msg = self._mask(record.getMessage())
        record.args = None
        for name, value in list(vars(record).items()):
            if isinstance(value, str) and name not in ("levelname", "name"):
                setattr(record, name, self._mask(value))
        return True

    def _mask(self, text: str) -> str:
        for secret in self._secrets:
            text = text.replace(secret, MASK)
        return _BEARER.sub(rf"\1{MASK}", text)


def configure_logging(level: str, process: str, secrets: tuple[str, ...] = ()) -> None:
    """Sends all logs of this process as JSON lines to standard error."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(
        JsonFormatter(
            "%(asctime)s %(levelname)s %(name)s %(message)s", static_fields={"process": process}
        )
    )
    handler.addFilter(_MaskingFilter(secrets))
    root = logging.getLogger()
    root.handlers = [handler]
    root.setLevel((level or "info").upper())
    logging.getLogger("werkzeug").setLevel(logging.ERROR)


def log_event(
    logger: logging.Logger, level: int, event: Event, message: str, **fields: object
) -> None:
    """Writes one event; ``fields`` become members of the JSON line."""
    logger.log(level, message, extra={"event": int(event), "event_name": event.name, **fields})
