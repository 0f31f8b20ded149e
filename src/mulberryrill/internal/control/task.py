"""Threads that own their sockets and state and exchange typed messages through queues."""

import logging
import threading
from abc import ABC, abstractmethod

from ..events import Event
from ..logs import log_event
from .metrics import TASK_FAILURES

# Keeps a step that fails every time from using a whole core.
FAILURE_PAUSE_S = 0.2
CLOSE_TIMEOUT_S = 10.0
_LOGGER = logging.getLogger(__name__)


class Task(ABC):
    """Runs ``step`` repeatedly on its own thread; a failing step is counted, logged and skipped."""

    # How long ``close`` waits for the current step.
    close_timeout_s = CLOSE_TIMEOUT_S

    def __init__(self, name: str) -> None:
        self._name = name
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, name=name, daemon=True)

    def start(self) -> None:
        """Starts the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Asks the thread to end after its current step; does not wait."""
        self._stop.set()
        self.wake()

    def close(self) -> None:
        """Ends the thread after its current step."""
        self.stop()
        if self._thread.is_alive():
            self._thread.join(self.close_timeout_s)

    @abstractmethod
    def step(self) -> None:
        """Does one unit of work; blocks for a limited time at most."""

    def wake(self) -> None:  # noqa: B027
        """Ends a blocking wait of ``step`` early; a step that never waits needs nothing."""

    def release(self) -> None:  # noqa: B027
        """Frees what the thread owns; called on the thread after the last step."""

    def _run(self) -> None:
        while not self._stop.is_set():
            try:
                self.step()
            except Exception as error:  # One bad input must not end the task.
                TASK_FAILURES.labels(self._name).inc()
                log_event(
                    _LOGGER,
                    logging.ERROR,
                    Event.TASK_FAILED,
                    f"{self._name} step failed: {error!r}",
                )
                self._stop.wait(FAILURE_PAUSE_S)
        self.release()
