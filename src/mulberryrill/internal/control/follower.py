"""Follows one stream of the platform's log with long polls."""

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

# A record has up to 1 MiB, so that this also limits memory.
PAGE_RECORDS = 64
# Short enough that a stalled connection is noticed and that closing does not take long.
LONG_POLL_S = 2.0
RETRY_PAUSE_S = 0.25
# Pages that the main task has not handled yet use memory.
MAX_INBOX = 200
BACKPRESSURE_PAUSE_S = 0.01
_LOGGER = logging.getLogger(__name__)


class Follower(Task):
    """Posts every record of a stream once, in offset order, to an inbox."""

    # A long poll only reads, so a stop need not wait for its end.
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
        self._next = Offset(0)
        # Until an empty answer shows the end, reads return at once.
        self._at_end = False
        self._reachable = True

    def step(self) -> None:
        """Reads one page, unless the main task has much to do already."""
        if self._inbox.qsize() > MAX_INBOX:
            self._stop.wait(BACKPRESSURE_PAUSE_S)
            return
        asked_at = self._clock.monotonic()
        wait_s = LONG_POLL_S if self._at_end else 0.0
        try:
            page = self._client.read(self._stream, self._next, PAGE_RECORDS, wait_s)
        except OffsetExpiredError as error:
            self._skip_to(error.first_offset)
            return
        except PlatformError as error:
            self._note_failure(error)
            return
        self._note_success()
        records = tuple(r for r in page.records if r.offset >= self._next)
        if records:
            self._next = Offset(records[-1].offset + 1)
            RECORDS.labels(self._stream).inc(len(records))
            self._inbox.put(RecordsRead(self._stream, records))
        else:
            self._at_end = True
            self._inbox.put(CaughtUp(self._stream, asked_at, page.first_offset))

    def release(self) -> None:
        """Closes the connection."""
        self._client.close()

    def _skip_to(self, first: int) -> None:
        skipped_from = self._next
        # An answer that does not lead forward must not loop without a pause.
        if first <= self._next:
            self._stop.wait(RETRY_PAUSE_S)
        self._next = Offset(max(first, self._next))
        if skipped_from > 0:
            log_event(
                _LOGGER,
                logging.WARNING,
                Event.LOG_OFFSET_EXPIRED,
                f"{self._stream}: offsets {skipped_from} to {first - 1} left the log unread",
            )
            self._inbox.put(OffsetsExpired(self._stream, first))

    def _note_failure(self, error: PlatformError) -> None:
        # A new connection: the old one may be stalled while new ones work.
        self._client.close()
        self._client = self._open_client()
        if self._reachable:
            self._reachable = False
            log_event(_LOGGER, logging.WARNING, Event.LOG_UNREACHABLE, f"{self._stream}: {error}")
        self._inbox.put(ReadFailed(self._stream))
        self._stop.wait(RETRY_PAUSE_S)

    def _note_success(self) -> None:
        if not self._reachable:
            self._reachable = True
            log_event(_LOGGER, logging.INFO, Event.LOG_REACHABLE, f"{self._stream}: read again")
