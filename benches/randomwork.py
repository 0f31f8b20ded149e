"""Threads that repeat random steps, seeded from one seed, and count what they did."""

import random
import threading
import time
from collections import Counter
from collections.abc import Callable

from mulberryrill.errors import HttpError

Step = Callable[[random.Random], None]


class RandomWork:
    """Repeats named steps, each on its own thread with its own random generator."""

    def __init__(self, seed: int) -> None:
        self.counts: Counter[str] = Counter()
        self._seed = seed
        self._stop = threading.Event()
        self._lock = threading.Lock()

    def list_steps(self) -> list[tuple[str, Step]]:
        """Returns named steps; each name must be unique, because it seeds the step's generator."""
        raise NotImplementedError

    def run(self, seconds: float) -> None:
        """Repeats all steps for the given time."""
        threads = [
            threading.Thread(
                target=self._repeat, args=(step, random.Random(f"{self._seed}/{name}"))
            )
            for name, step in self.list_steps()
        ]
        for thread in threads:
            thread.start()
        time.sleep(seconds)
        self._stop.set()
        for thread in threads:
            thread.join()

    def count(self, event: str) -> None:
        """Increments the count of an event."""
        with self._lock:
            self.counts[event] += 1

    def pause(self, generator: random.Random, min_s: float, max_s: float) -> None:
        """Waits for a random time or until the run is stopped."""
        self._stop.wait(generator.uniform(min_s, max_s))

    def _repeat(self, step: Step, generator: random.Random) -> None:
        while not self._stop.is_set():
            try:
                step(generator)
            except (AssertionError, HttpError) as error:
                self.count(f"failed step: {type(error).__name__}")
