"""Appends records to the platform's log on a separate thread."""

import logging
import queue
from collections import deque
from collections.abc import Callable

from ...errors import AppendInDoubtError, PlatformError
from ..clock import Clock
from ..core.records import encode_record
from ..events import Event
from ..logs import log_event
from ..platform.logclient import LogClient
from .messages import AppendRequest, AppendResult, Inbox
from .metrics import APPENDS
from .task import Task

IDLE_WAIT_S = 0.2
RETRY_PAUSE_S = 0.5
# Persistent requests beyond this fail, so that a long outage does not exhaust memory.
MAX_RETRY_QUEUE = 10_000
_LOGGER = logging.getLogger(__name__)


class Writer(Task):
    """Performs appends one at a time and posts their results to an inbox.

    Persistent requests are retried until the log has them. A record that is appended twice is
    harmless, because readers ignore the second copy.
    """

    def __init__(
        self, name: str, open_client: Callable[[], LogClient], inbox: Inbox, clock: Clock
    ) -> None:
        super().__init__(name)
        self._open_client = open_client
        self._client = open_client()
        self._inbox = inbox
        self._clock = clock
        self._requests: queue.SimpleQueue[AppendRequest | None] = queue.SimpleQueue()
        self._retry_queue: deque[AppendRequest] = deque()
        self._retry_at = 0.0

    def post(self, request: AppendRequest) -> None:
        """Queues an append; may be called on any thread."""
        self._requests.put(request)

    def count_pending(self) -> int:
        """Returns the number of requests without a result; may be called on any thread."""
        return self._requests.qsize() + len(self._retry_queue)

    def wake(self) -> None:
        """Ends the wait for a request."""
        self._requests.put(None)

    def step(self) -> None:
        """Performs one new request, or retries a failed one if there is no new request."""
        request = self._wait_for_request()
        if request is not None:
            self._append(request)
        elif self._retry_queue and self._clock.monotonic() >= self._retry_at:
            self._append(self._retry_queue.popleft())

    def release(self) -> None:
        """Closes the connection."""
        self._client.close()

    def _wait_for_request(self) -> AppendRequest | None:
        try:
            return self._requests.get(timeout=IDLE_WAIT_S if not self._retry_queue else 0.05)
        except queue.Empty:
            return None

    def _append(self, request: AppendRequest) -> None:
        try:
            offset = self._client.append(request.stream, encode_record(request.batch))
        except AppendInDoubtError as error:
            self._handle_failure(request, True, error)
        except PlatformError as error:
            self._handle_failure(request, False, error)
        else:
            APPENDS.labels("appended").inc()
            self._inbox.put(AppendResult(request, offset, in_doubt=False))

    def _handle_failure(self, request: AppendRequest, in_doubt: bool, error: PlatformError) -> None:
        APPENDS.labels("in_doubt" if in_doubt else "failed").inc()
        log_event(
            _LOGGER,
            logging.WARNING,
            Event.LOG_APPEND_FAILED,
            f"append to {request.stream} failed: {error}",
            in_doubt=in_doubt,
            persistent=request.persistent,
        )
        self._client.close()
        self._client = self._open_client()
        if request.persistent and len(self._retry_queue) < MAX_RETRY_QUEUE:
            self._retry_queue.append(request)
            self._retry_at = self._clock.monotonic() + RETRY_PAUSE_S
            return
        self._inbox.put(AppendResult(request, None, in_doubt, str(error)))
