"""The event loop: a thread that owns sockets, timers and the state of the tasks that it runs."""

import heapq
import itertools
import logging
import os
import select
import threading
import traceback
from collections import deque
from collections.abc import Callable, Iterator
from contextlib import contextmanager

from .clock import Clock
from .events import Event
from .logs import log_event

MAX_POLL_TIMEOUT_S = 0.5
# Data that a poll finds may have waited for as long as the iteration before it took, or for as long
# as the process was stopped during the poll. Shorter times are not looked for: a call's bounds have
# half a second of slack.
MIN_DELAY_S = 0.02
_LOGGER = logging.getLogger(__name__)

Task = Callable[[], None]
SocketCallback = Callable[[int], None]


class Timer:
    """A task due at a certain time; ``cancel`` must be called on the loop's thread."""

    def __init__(self, due_at: float, task: Task) -> None:
        self.due_at = due_at
        self.task: Task | None = task

    def cancel(self) -> None:
        """Prevents the task from running."""
        self.task = None


class EventLoop:
    """Runs tasks, timers and sockets on one thread. Only ``post`` is thread-safe."""

    def __init__(self, clock: Clock, name: str) -> None:
        self._clock = clock
        self._epoll = select.epoll()
        self._wake_fd = os.eventfd(0, os.EFD_NONBLOCK | os.EFD_CLOEXEC)
        # Protects the wake descriptor, whose number may be reused for another file after the close.
        self._wake_lock = threading.Lock()
        self._is_closed = False
        self._posted_tasks: deque[Task] = deque()
        self._soon_tasks: deque[Task] = deque()
        self._timers: list[tuple[float, int, Timer]] = []
        self._timer_sequence = itertools.count()
        self._callbacks_by_fd: dict[int, SocketCallback] = {}
        self._iteration_end_tasks: dict[Task, None] = {}
        self._thread = threading.Thread(target=self._run, name=name, daemon=True)
        self._is_stopping = False
        self._last_iteration_at = clock.monotonic()
        self._earliest_arrival = self._last_iteration_at

    @property
    def earliest_arrival(self) -> float:
        """The earliest time at which data that this iteration found may have arrived.

        It lies before the iteration if the one before it took long, or the process was stopped.
        """
        return self._earliest_arrival

    @contextmanager
    def count_arrivals_from(self, earliest: float) -> Iterator[None]:
        """Sets ``earliest_arrival`` for a block that handles what an earlier iteration found."""
        previous, self._earliest_arrival = self._earliest_arrival, earliest
        try:
            yield
        finally:
            self._earliest_arrival = previous

    @property
    def last_iteration_at(self) -> float:
        """When the loop last began an iteration, for health checks."""
        return self._last_iteration_at

    @property
    def watched_count(self) -> int:
        """Number of descriptors that are watched."""
        return len(self._callbacks_by_fd)

    def now(self) -> float:
        """Returns the monotonic time of the loop's clock, in seconds."""
        return self._clock.monotonic()

    def boottime(self) -> float:
        """Returns the clock's time in seconds that also counts while the host is suspended."""
        return self._clock.boottime()

    def wall(self) -> float:
        """Returns the Unix time of the loop's clock, in seconds."""
        return self._clock.wall()

    def start(self) -> None:
        """Starts the thread."""
        self._epoll.register(self._wake_fd, select.EPOLLIN)
        self._thread.start()

    def close(self) -> None:
        """Stops the thread."""
        self.post(self._stop)
        self._thread.join()
        self._epoll.close()
        with self._wake_lock:
            self._is_closed = True
            os.close(self._wake_fd)

    def post(self, task: Task) -> None:
        """Schedules a task on the loop's thread; may be called from any thread.

        A closed loop discards the task.
        """
        with self._wake_lock:
            if not self._is_closed:
                self._posted_tasks.append(task)
                os.eventfd_write(self._wake_fd, 1)

    def call_soon(self, task: Task) -> None:
        """Schedules a task for the current iteration."""
        self._soon_tasks.append(task)

    def call_later(self, delay_s: float, task: Task) -> Timer:
        """Schedules a task after a delay."""
        timer = Timer(self.now() + delay_s, task)
        heapq.heappush(self._timers, (timer.due_at, next(self._timer_sequence), timer))
        return timer

    def call_every(self, interval_s: float, task: Task) -> None:
        """Runs a task periodically; a failure is logged and does not end the repetition."""

        def run() -> None:
            self.call_later(interval_s, run)
            task()

        self.call_later(interval_s, run)

    def call_at_iteration_end(self, task: Task) -> None:
        """Schedules a task once at the end of this iteration, however often it is requested.

        Used to send the bytes that are queued during one iteration together.
        """
        self._iteration_end_tasks[task] = None

    def watch(self, fd: int, mask: int, callback: SocketCallback) -> None:
        """Calls ``callback`` with the epoll events of a descriptor; replaces an earlier watch."""
        if fd in self._callbacks_by_fd:
            self._epoll.modify(fd, mask)
        else:
            self._epoll.register(fd, mask)
        self._callbacks_by_fd[fd] = callback

    def unwatch(self, fd: int) -> None:
        """Stops watching; must be called before the descriptor is closed."""
        if self._callbacks_by_fd.pop(fd, None) is not None:
            self._epoll.unregister(fd)

    def _stop(self) -> None:
        self._is_stopping = True

    def _run(self) -> None:
        while not self._is_stopping:
            try:
                self._run_once()
            except Exception as error:  # The loop serves all connections and must not end.
                log_event(
                    _LOGGER,
                    logging.ERROR,
                    Event.TASK_FAILED,
                    f"iteration of the {self._thread.name} loop failed: {error!r}",
                )

    def _run_once(self) -> None:
        events = self._poll()
        # Posted tasks run last: they may open sockets, and a new socket may get the number of one
        # that was closed in this iteration and still has an event in the list.
        for fd, mask in sorted(events, key=lambda event: event[0] == self._wake_fd):
            self._dispatch(fd, mask)
        self._run_timers()
        self._run_soon()
        tasks, self._iteration_end_tasks = self._iteration_end_tasks, {}
        for task in tasks:
            self._run_task(task)

    def _poll(self) -> list[tuple[int, int]]:
        """Waits for events and determines since when their data may have been there."""
        started_at, previous_poll_at = self.now(), self._last_iteration_at
        if started_at - previous_poll_at >= MIN_DELAY_S:
            events = self._poll_all(0.0)
            if events:
                self._last_iteration_at = self.now()
                self._earliest_arrival = previous_poll_at
                return events
        timeout_s = self._compute_poll_timeout()
        events = self._poll_all(timeout_s)
        now = self._last_iteration_at = self.now()
        was_stopped = now - started_at - timeout_s >= MIN_DELAY_S
        self._earliest_arrival = started_at if was_stopped else now
        return events

    def _poll_all(self, timeout_s: float) -> list[tuple[int, int]]:
        # All at once: what is left for the next poll would count as just arrived. By default a poll
        # returns 1,023 descriptors at most. One is the loop's own.
        return self._epoll.poll(timeout_s, len(self._callbacks_by_fd) + 1)

    def _compute_poll_timeout(self) -> float:
        if self._posted_tasks or self._soon_tasks or self._iteration_end_tasks:
            return 0.0
        if not self._timers:
            return MAX_POLL_TIMEOUT_S
        return max(0.0, min(MAX_POLL_TIMEOUT_S, self._timers[0][0] - self.now()))

    def _dispatch(self, fd: int, mask: int) -> None:
        if fd == self._wake_fd:
            os.eventfd_read(self._wake_fd)
            for _ in range(len(self._posted_tasks)):
                self._run_task(self._posted_tasks.popleft())
            return
        callback = self._callbacks_by_fd.get(fd)
        if callback is not None:
            self._run_task(lambda: callback(mask))

    def _run_soon(self) -> None:
        while self._soon_tasks:
            self._run_task(self._soon_tasks.popleft())

    def _run_timers(self) -> None:
        now = self.now()
        while self._timers and self._timers[0][0] <= now:
            _, _, timer = heapq.heappop(self._timers)
            if timer.task is not None:
                self._run_task(timer.task)

    def _run_task(self, task: Task) -> None:
        try:
            task()
        except Exception as error:  # A failing task must not affect others.
            log_event(
                _LOGGER,
                logging.ERROR,
                Event.TASK_FAILED,
                f"task of the {self._thread.name} loop failed: {error!r}",
                traceback=traceback.format_exc(),
            )
