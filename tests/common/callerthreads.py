"""Threads that make calls at all instances of a fleet in turn."""

import itertools
import threading
from collections.abc import Callable, Sequence

from .entryfleet import EntryProcess


class CallerThreads:
    """Starts callers that go on until ``close``."""

    def __init__(self, entries: Sequence[EntryProcess]) -> None:
        self._entries = entries
        self._is_ended = threading.Event()
        self._threads: list[threading.Thread] = []

    def start(self, interval_s: float, call: Callable[[EntryProcess], None]) -> None:
        """Starts a caller: each ``interval_s``, a thread of its own makes a call at an instance."""

        def run() -> None:
            for entry in itertools.cycle(self._entries):
                if self._is_ended.wait(interval_s):
                    return
                threading.Thread(target=call, args=(entry,), daemon=True).start()

        thread = threading.Thread(target=run, daemon=True)
        thread.start()
        self._threads.append(thread)

    def close(self) -> None:
        """Ends the callers; calls that are under way go on."""
        self._is_ended.set()
        for thread in self._threads:
            thread.join()
