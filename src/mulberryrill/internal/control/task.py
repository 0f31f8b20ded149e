"""Base class of the threads that own sockets and state and exchange messages via queues."""

import logging
import threading
from abc import ABC, abstractmethod

from ..events import Event
from ..logs import log_event
from .metrics import TASK_FAILURES

# Keeps a step that always fails from using a whole core.
FAILURE_PAUSE_S = 0.2
CLOSE_TIMEOUT_S = 10.0
_LOGGER = logging.getLogger(__name__)


class Task(ABC):
    """Runs ``step`` repeatedly on its own thread; if a step raises, this is counted and logged."""

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
        """Signals the thread to end after its current step, without waiting for it."""
        self._stop.set()
        self.wake()

    def close(self) -> None:
        """Stops the thread and waits, for a limited time, until it has ended."""
        self.stop()
        if self._thread.is_alive():
            self._thread.join(self.close_timeout_s)

    @abstractmethod
    def step(self) -> None:
        """Does one unit of work; must not block for an unlimited time."""

    def wake(self) -> None:  # noqa: B027
        """Interrupts a blocking wait in ``step``; not needed if ``step`` waits only briefly."""

    def release(self) -> None:  # noqa: B027
        """Cleans up what the thread owns; called on the thread after the last step."""

    def _run(self) -> None:
        while not self._stop.is_set():
            try:
                self.step()
            except Exception as error:  # One bad input must not stop the task.
                TASK_FAILURES.labels(self._name).inc()
                log_event(
                    _LOGGER,
                    logging.ERROR,
                    Event.TASK_FAILED,
                    f"{self._name} step failed: {error!r}",
                )
                self._stop.wait(FAILURE_PAUSE_S)
        self.release()
