"""JSON logs with numbered events. Known secrets are masked before a line is written.

Writing never blocks: a line that the stream cannot take at once is dropped and counted. So are
lines above the maximum rate, except warnings and errors.
"""

import logging
import re
import select
import sys
import time
from collections.abc import Callable
from typing import TextIO

from pythonjsonlogger.json import JsonFormatter

from .core.buckets import TokenBucket
from .events import Event

# Limits the CPU time and volume of logs. An entry instance handles a few calls per second in
# today's deployments, and about fifty at the planned size.
MAX_LINES_PER_S = 400.0
MAX_BURST_LINES = 800.0
# A pipe that polls as writable takes this many bytes without blocking (PIPE_BUF on Linux).
MAX_LINE_BYTES = 4096
# Minimum time between two reports of dropped lines.
DROP_REPORT_INTERVAL_S = 1.0
MASK = "***"
_BEARER_TOKEN_PATTERN = re.compile(r"(?i)(bearer\s+)\S+")


class _MaskingFilter(logging.Filter):
    """Masks known secrets and bearer tokens in messages and fields."""

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
        return _BEARER_TOKEN_PATTERN.sub(rf"\1{MASK}", text)


class NonBlockingHandler(logging.Handler):
    """Writes lines to a stream, or drops and counts those that would block or exceed the rate."""

    def __init__(self, stream: TextIO, now: Callable[[], float] = time.monotonic) -> None:
        super().__init__()
        self._stream = stream
        self._now = now
        self._bucket = TokenBucket(MAX_LINES_PER_S, MAX_BURST_LINES, now())
        self._poll = select.poll()
        self._poll.register(stream.fileno(), select.POLLOUT)
        self._dropped = 0
        self._reported_at = now()

    @property
    def dropped(self) -> int:
        """Number of dropped lines not yet reported."""
        return self._dropped

    def emit(self, record: logging.LogRecord) -> None:
        """Writes one record, or counts it as dropped."""
        now = self._now()
        is_over_rate = record.levelno < logging.WARNING and not self._bucket.take(1.0, now)
        if is_over_rate or not self._write(self.format(record)):
            self._dropped += 1
        elif self._dropped and now - self._reported_at >= DROP_REPORT_INTERVAL_S:
            self._report_dropped(now)

    def _report_dropped(self, now: float) -> None:
        record = logging.LogRecord(
            __name__, logging.WARNING, "", 0, "log lines were dropped", None, None
        )
        record.event = int(Event.LOG_LINES_DROPPED)
        record.event_name = Event.LOG_LINES_DROPPED.name
        record.dropped = self._dropped
        if self._write(self.format(record)):
            self._dropped = 0
            self._reported_at = now

    def _write(self, text: str) -> bool:
        if not self._poll.poll(0):
            return False
        data = text.encode("utf-8", "replace")[: MAX_LINE_BYTES - 1] + b"\n"
        try:
            self._stream.buffer.write(data)
            self._stream.buffer.flush()
        except OSError:
            return False
        return True


def configure_logging(
    level: str, process: str, secrets: tuple[str, ...] = (), stream: TextIO | None = None
) -> None:
    """Sends all logs of this process as JSON lines to a stream, by default standard error."""
    handler = NonBlockingHandler(stream if stream is not None else sys.stderr)
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
    """Logs one event; ``fields`` become members of the JSON line."""
    logger.log(level, message, extra={"event": int(event), "event_name": event.name, **fields})
