"""Threads that repeat random steps from one seed and count what they did."""

import random
import threading
import time
from collections import Counter
from collections.abc import Callable

from mulberryrill.errors import HttpError

Step = Callable[[random.Random], None]


class RandomWork:
    """Repeats named steps, each on a thread with a generator of its own, until it is stopped."""

    def __init__(self, seed: int) -> None:
        self.counts: Counter[str] = Counter()
        self._seed = seed
        self._stop = threading.Event()
        self._lock = threading.Lock()

    def list_work(self) -> list[tuple[str, Step]]:
        """Returns the steps; a name belongs to one thread."""
        raise NotImplementedError

    def run(self, seconds: float) -> None:
        """Repeats all steps for a time."""
        threads = [
            threading.Thread(
                target=self._repeat, args=(work, random.Random(f"{self._seed}/{name}"))
            )
            for name, work in self.list_work()
        ]
        for thread in threads:
            thread.start()
        time.sleep(seconds)
        self._stop.set()
        for thread in threads:
            thread.join()

    def count(self, what: str) -> None:
        """Counts something that was done."""
        with self._lock:
            self.counts[what] += 1

    def pause(self, generator: random.Random, shortest_s: float, longest_s: float) -> None:
        """Waits for a random time or until the work is stopped."""
        self._stop.wait(generator.uniform(shortest_s, longest_s))

    def _repeat(self, work: Step, generator: random.Random) -> None:
        while not self._stop.is_set():
            try:
                work(generator)
            except (AssertionError, HttpError) as error:
                self.count(f"failed step: {type(error).__name__}")
