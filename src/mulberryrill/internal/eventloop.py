"""The event loop: one thread that owns sockets, timers and the state of the tasks on it."""

import heapq
import itertools
import logging
import os
import select
import threading
import traceback
from collections import deque
from collections.abc import Callable

from .clock import Clock
from .events import Event
from .logs import log_event

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


class EventLoop:
    """Runs tasks, timers and sockets on one thread. Only ``post`` is thread-safe."""

    def __init__(self, clock: Clock, name: str) -> None:
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
        self._flushes: dict[Task, None] = {}
        self._thread = threading.Thread(target=self._run, name=name, daemon=True)
        self._stopping = False
        self._last_iteration = clock.monotonic()

    @property
    def last_iteration(self) -> float:
        """When the loop last began a turn, for the health check."""
        return self._last_iteration

    @property
    def watched_count(self) -> int:
        """Number of callers' sockets that are open."""
        return len(self._sockets)

    def now(self) -> float:
        """Returns the runtime's monotonic time."""
        return self._clock.monotonic()

    def start(self) -> None:
        """Starts the thread."""
        self._epoll.register(self._wake, select.EPOLLIN)
        self._thread.start()

    def close(self) -> None:
        """Stops the thread."""
        self.post(self._stop)
        self._thread.join()
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

    def call_at_iteration_end(self, task: Task) -> None:
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

    def _stop(self) -> None:
        self._stopping = True

    def _run(self) -> None:
        while not self._stopping:
            try:
                self._run_once()
            except Exception as error:  # The loop serves all callers and must not end.
                log_event(
                    _LOGGER,
                    logging.ERROR,
                    Event.TASK_FAILED,
                    f"{self._thread.name} loop: {error!r}",
                )

    def _run_once(self) -> None:
        events = self._epoll.poll(self._compute_poll_timeout())
        self._last_iteration = self.now()
        # Posted tasks may bring new sockets. They run last, because a new socket may have the
        # number of one closed in this turn for which an old event is still in the list.
        for fd, mask in sorted(events, key=lambda event: event[0] == self._wake):
            self._dispatch(fd, mask)
        self._run_timers()
        self._run_soon()
        flushes, self._flushes = self._flushes, {}
        for task in flushes:
            self._run_task(task)

    def _compute_poll_timeout(self) -> float:
        if self._posted or self._soon or self._flushes:
            return 0.0
        if not self._timers:
            return MAX_WAIT_S
        return max(0.0, min(MAX_WAIT_S, self._timers[0][0] - self.now()))

    def _dispatch(self, fd: int, mask: int) -> None:
        if fd == self._wake:
            os.eventfd_read(self._wake)
            for _ in range(len(self._posted)):
                self._run_task(self._posted.popleft())
            return
        callback = self._sockets.get(fd)
        if callback is not None:
            self._run_task(lambda: callback(mask))

    def _run_soon(self) -> None:
        while self._soon:
            self._run_task(self._soon.popleft())

    def _run_timers(self) -> None:
        now = self.now()
        while self._timers and self._timers[0][0] <= now:
            _, _, timer = heapq.heappop(self._timers)
            if timer.task is not None:
                self._run_task(timer.task)

    def _run_task(self, task: Task) -> None:
        try:
            task()
        except Exception as error:  # One request's failure must not end the others.
            log_event(
                _LOGGER,
                logging.ERROR,
                Event.TASK_FAILED,
                f"task of the {self._thread.name} loop failed: {error!r}",
                traceback=traceback.format_exc(),
            )
