"""Reads one stream of the platform's log with long polls."""

import logging
from collections.abc import Callable

from ...errors import OffsetExpiredError, PlatformError
from ..clock import Clock
from ..events import Event
from ..ids import Offset
from ..logs import log_event
from ..platform.logclient import LogClient
from .messages import CaughtUp, Inbox, OffsetsExpired, ReadFailed, RecordsRead
from .metrics import RECORDS
from .task import Task

# Also limits memory: a record has up to 1 MiB.
MAX_PAGE_RECORDS = 64
# Short enough to notice a stalled connection soon and to stop quickly.
LONG_POLL_TIMEOUT_S = 2.0
RETRY_PAUSE_S = 0.25
# Reading pauses above this, since unhandled pages use memory.
MAX_INBOX_MESSAGES = 200
BACKPRESSURE_PAUSE_S = 0.01
_LOGGER = logging.getLogger(__name__)


class Follower(Task):
    """Posts every record of a stream to an inbox once, in offset order."""

    # A long poll only reads, so that stopping need not wait for it to end.
    close_timeout_s = 0.1

    def __init__(
        self, stream: str, open_client: Callable[[], LogClient], inbox: Inbox, clock: Clock
    ) -> None:
        super().__init__(f"follower-{stream}")
        self._stream = stream
        self._open_client = open_client
        self._client = open_client()
        self._inbox = inbox
        self._clock = clock
        self._next_offset = Offset(0)
        # Reads return at once until an empty page shows that the end is reached.
        self._at_end = False
        self._reachable = True

    def step(self) -> None:
        """Reads one page, unless the main task has a backlog."""
        if self._inbox.qsize() > MAX_INBOX_MESSAGES:
            self._stop.wait(BACKPRESSURE_PAUSE_S)
            return
        read_started_at = self._clock.monotonic()
        wait_s = LONG_POLL_TIMEOUT_S if self._at_end else 0.0
        try:
            page = self._client.read(self._stream, self._next_offset, MAX_PAGE_RECORDS, wait_s)
        except OffsetExpiredError as error:
            self._skip_to(error.first_offset)
            return
        except PlatformError as error:
            self._handle_failure(error)
            return
        self._mark_reachable()
        records = tuple(r for r in page.records if r.offset >= self._next_offset)
        if records:
            self._next_offset = Offset(records[-1].offset + 1)
            RECORDS.labels(self._stream).inc(len(records))
            self._inbox.put(RecordsRead(self._stream, records))
        else:
            self._at_end = True
            self._inbox.put(CaughtUp(self._stream, read_started_at, page.first_offset))

    def release(self) -> None:
        """Closes the connection."""
        self._client.close()

    def _skip_to(self, first_offset: int) -> None:
        expired_from = self._next_offset
        # Without this pause, an offset that does not advance the reader causes a busy loop.
        if first_offset <= self._next_offset:
            self._stop.wait(RETRY_PAUSE_S)
        self._next_offset = Offset(max(first_offset, self._next_offset))
        if expired_from > 0:
            log_event(
                _LOGGER,
                logging.WARNING,
                Event.LOG_OFFSET_EXPIRED,
                f"{self._stream}: offsets {expired_from} to {first_offset - 1} expired unread",
            )
            self._inbox.put(OffsetsExpired(self._stream, first_offset))

    def _handle_failure(self, error: PlatformError) -> None:
        # Reconnects, since the old connection may be stalled while a new one works.
        self._client.close()
        self._client = self._open_client()
        if self._reachable:
            self._reachable = False
            log_event(_LOGGER, logging.WARNING, Event.LOG_UNREACHABLE, f"{self._stream}: {error}")
        self._inbox.put(ReadFailed(self._stream))
        self._stop.wait(RETRY_PAUSE_S)

    def _mark_reachable(self) -> None:
        if not self._reachable:
            self._reachable = True
            log_event(
                _LOGGER, logging.INFO, Event.LOG_REACHABLE, f"{self._stream}: log reachable again"
            )
