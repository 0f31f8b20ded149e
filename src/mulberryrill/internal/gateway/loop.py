"""The relay loop: one thread that owns all transfers, callers' sockets and the dispatcher's state.

libcurl is driven by ``CurlMulti.socket_action`` and ``epoll``. Its callbacks only collect bytes;
listeners run after libcurl has returned, so that they may open, pause and cancel transfers.
"""

import heapq
import itertools
import logging
import os
import select
import threading
import traceback
from collections import deque
from collections.abc import Callable

import pycurl

from ..clock import Clock
from ..events import Event
from ..logs import log_event
from .transfer import Transfer

MAX_WAIT_S = 0.5
_LOGGER = logging.getLogger(__name__)

Task = Callable[[], None]
SocketCallback = Callable[[int], None]


class Timer:
    """A task due at a time; ``cancel`` may be called at any time from the loop."""

    def __init__(self, due: float, task: Task) -> None:
        self.due = due
        self.task: Task | None = task

    def cancel(self) -> None:
        """Prevents the task from running."""
        self.task = None


class RelayLoop:
    """Runs tasks, timers, sockets and transfers on one thread. Only ``post`` is thread-safe."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._epoll = select.epoll()
        self._wake = os.eventfd(0, os.EFD_NONBLOCK | os.EFD_CLOEXEC)
        # Guards the wake descriptor, whose number may belong to another file after the close.
        self._wake_lock = threading.Lock()
        self._is_closed = False
        self._posted: deque[Task] = deque()
        self._soon: deque[Task] = deque()
        self._timers: list[tuple[float, int, Timer]] = []
        self._count = itertools.count()
        self._sockets: dict[int, SocketCallback] = {}
        self._curl_sockets: dict[int, int] = {}
        self._curl_due: float | None = None
        self._transfers: dict[pycurl.Curl, Transfer] = {}
        self._dirty: dict[Transfer, None] = {}
        self._flushes: dict[Task, None] = {}
        self._multi = pycurl.CurlMulti()
        self._thread = threading.Thread(target=self._run, name="relay", daemon=True)
        self._stopping = False
        self._last_turn = clock.monotonic()

    @property
    def last_turn(self) -> float:
        """When the loop last began a turn, for the health check."""
        return self._last_turn

    @property
    def watched(self) -> int:
        """Number of callers' sockets that are open."""
        return len(self._sockets)

    def now(self) -> float:
        """Returns the runtime's monotonic time."""
        return self._clock.monotonic()

    def start(self) -> None:
        """Starts the thread."""
        self._multi.setopt(pycurl.M_SOCKETFUNCTION, self._on_curl_socket)
        self._multi.setopt(pycurl.M_TIMERFUNCTION, self._on_curl_timer)
        self._epoll.register(self._wake, select.EPOLLIN)
        self._thread.start()

    def close(self) -> None:
        """Stops the thread; open transfers are dropped."""
        self.post(self._stop)
        self._thread.join()
        for transfer in list(self._transfers.values()):
            self.cancel_transfer(transfer)
        self._multi.close()
        self._epoll.close()
        with self._wake_lock:
            self._is_closed = True
            os.close(self._wake)

    def post(self, task: Task) -> None:
        """Runs a task on the loop's thread soon; may be called from any thread.

        A closed loop drops the task.
        """
        with self._wake_lock:
            if not self._is_closed:
                self._posted.append(task)
                os.eventfd_write(self._wake, 1)

    def call_soon(self, task: Task) -> None:
        """Runs a task later in this turn."""
        self._soon.append(task)

    def call_later(self, delay_s: float, task: Task) -> Timer:
        """Runs a task after a delay."""
        timer = Timer(self.now() + delay_s, task)
        heapq.heappush(self._timers, (timer.due, next(self._count), timer))
        return timer

    def call_every(self, interval_s: float, task: Task) -> None:
        """Runs a task again and again; a failure is logged and does not end the repetition."""

        def run() -> None:
            self.call_later(interval_s, run)
            task()

        self.call_later(interval_s, run)

    def flush_at_end(self, task: Task) -> None:
        """Runs a task once at the end of this turn, so that bytes that arrive together are sent
        together."""
        self._flushes[task] = None

    def watch(self, fd: int, mask: int, callback: SocketCallback) -> None:
        """Calls back with the events of a descriptor."""
        if fd in self._sockets:
            self._epoll.modify(fd, mask)
        else:
            self._epoll.register(fd, mask)
        self._sockets[fd] = callback

    def unwatch(self, fd: int) -> None:
        """Stops watching; must be called before the descriptor is closed."""
        if self._sockets.pop(fd, None) is not None:
            self._epoll.unregister(fd)

    def open_transfer(self, transfer: Transfer) -> None:
        """Starts a transfer; its listener is called until it has ended."""
        transfer.on_dirty = self._mark_dirty
        self._transfers[transfer.curl] = transfer
        self._multi.add_handle(transfer.curl)

    def cancel_transfer(self, transfer: Transfer) -> None:
        """Ends a transfer and closes its connection; its listener is not called any more."""
        transfer.listener = None
        self._dirty.pop(transfer, None)
        if self._transfers.pop(transfer.curl, None) is not None:
            self._multi.remove_handle(transfer.curl)
            transfer.close()

    def _stop(self) -> None:
        self._stopping = True

    def _run(self) -> None:
        while not self._stopping:
            try:
                self._turn()
            except Exception as error:  # The loop serves all callers and must not end.
                log_event(_LOGGER, logging.ERROR, Event.TASK_FAILED, f"relay loop: {error!r}")

    def _turn(self) -> None:
        events = self._epoll.poll(self._find_wait())
        self._last_turn = self.now()
        # Posted tasks may bring new sockets. They run last, because a new socket may have the
        # number of one closed in this turn for which an old event is still in the list.
        for fd, mask in sorted(events, key=lambda event: event[0] == self._wake):
            self._dispatch(fd, mask)
        if self._curl_due is not None and self.now() >= self._curl_due:
            self._curl_due = None
            self._multi.socket_action(pycurl.SOCKET_TIMEOUT, 0)
        self._run_timers()
        self._run_transfers()
        while self._soon or self._dirty:
            while self._soon:
                self._guard(self._soon.popleft())
            self._run_transfers()
        flushes, self._flushes = self._flushes, {}
        for task in flushes:
            self._guard(task)

    def _find_wait(self) -> float:
        if self._posted or self._soon or self._dirty or self._flushes:
            return 0.0
        wait = MAX_WAIT_S
        if self._timers:
            wait = min(wait, self._timers[0][0] - self.now())
        if self._curl_due is not None:
            wait = min(wait, self._curl_due - self.now())
        return max(0.0, wait)

    def _dispatch(self, fd: int, mask: int) -> None:
        if fd == self._wake:
            os.eventfd_read(self._wake)
            for _ in range(len(self._posted)):
                self._guard(self._posted.popleft())
            return
        if fd in self._curl_sockets:
            action = 0
            if mask & (select.EPOLLIN | select.EPOLLHUP):
                action |= pycurl.CSELECT_IN
            if mask & select.EPOLLOUT:
                action |= pycurl.CSELECT_OUT
            if mask & select.EPOLLERR:
                action |= pycurl.CSELECT_ERR
            self._multi.socket_action(fd, action)
            return
        callback = self._sockets.get(fd)
        if callback is not None:
            self._guard(lambda: callback(mask))

    def _run_timers(self) -> None:
        now = self.now()
        while self._timers and self._timers[0][0] <= now:
            _, _, timer = heapq.heappop(self._timers)
            if timer.task is not None:
                self._guard(timer.task)

    def _run_transfers(self) -> None:
        dirty, self._dirty = self._dirty, {}
        for transfer in dirty:
            self._guard(transfer.deliver)
        queued = 1
        while queued:
            queued, succeeded, failed = self._multi.info_read()
            for curl in succeeded:
                self._end(curl, 0, "")
            for curl, code, message in failed:
                self._end(curl, code, message)

    def _end(self, curl: pycurl.Curl, code: int, message: str) -> None:
        transfer = self._transfers.pop(curl, None)
        if transfer is None:
            return
        self._dirty.pop(transfer, None)
        self._guard(transfer.deliver)
        end = transfer.build_end(code, message)
        self._multi.remove_handle(curl)
        listener, transfer.listener = transfer.listener, None
        transfer.close()
        if listener is not None:
            self._guard(lambda: listener.on_end(end))

    def _guard(self, task: Task) -> None:
        try:
            task()
        except Exception as error:  # One request's failure must not end the others.
            log_event(
                _LOGGER,
                logging.ERROR,
                Event.TASK_FAILED,
                f"relay task failed: {error!r}",
                traceback=traceback.format_exc(),
            )

    def _mark_dirty(self, transfer: Transfer) -> None:
        self._dirty[transfer] = None

    def _on_curl_socket(self, what: int, fd: int, multi: object, data: object) -> None:
        if what == pycurl.POLL_REMOVE:
            if self._curl_sockets.pop(fd, None) is not None:
                try:
                    self._epoll.unregister(fd)
                except OSError:
                    pass  # libcurl may have closed the descriptor already.
            return
        mask = 0
        if what in (pycurl.POLL_IN, pycurl.POLL_INOUT):
            mask |= select.EPOLLIN
        if what in (pycurl.POLL_OUT, pycurl.POLL_INOUT):
            mask |= select.EPOLLOUT
        if fd in self._curl_sockets:
            self._epoll.modify(fd, mask)
        else:
            self._epoll.register(fd, mask)
        self._curl_sockets[fd] = mask

    def _on_curl_timer(self, timeout_ms: int) -> None:
        self._curl_due = None if timeout_ms < 0 else self.now() + timeout_ms / 1000
