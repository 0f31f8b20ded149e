"""Time sources. Programs use ``SystemClock``; tests pause and advance ``ManualClock``."""

import time
from typing import Protocol


class Clock(Protocol):
    """A source of time in seconds."""

    def monotonic(self) -> float:
        """Returns a time that never decreases and is shared by all processes of the host."""
        ...

    def boottime(self) -> float:
        """Returns a time that never decreases and also counts while the host is suspended."""
        ...

    def wall(self) -> float:
        """Returns the Unix time."""
        ...


class SystemClock:
    """The clocks of the operating system."""

    def monotonic(self) -> float:
        """Returns CLOCK_MONOTONIC, which all processes of a Linux host share."""
        return time.monotonic()

    def boottime(self) -> float:
        """Returns CLOCK_BOOTTIME. Leases use it, because they run out during a suspension too."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall(self) -> float:
        """Returns the Unix time."""
        return time.time()


class ManualClock:
    """A clock that moves only when a test advances it."""

    def __init__(self, monotonic: float = 1000.0, wall: float = 1_800_000_000.0) -> None:
        self._monotonic = monotonic
        self._wall = wall

    def monotonic(self) -> float:
        """Returns the current time of the test."""
        return self._monotonic

    def boottime(self) -> float:
        """Returns the current time of the test; it advances with ``monotonic``."""
        return self._monotonic

    def wall(self) -> float:
        """Returns the current Unix time of the test."""
        return self._wall

    def advance(self, seconds: float) -> None:
        """Moves both times forward."""
        self._monotonic += seconds
        self._wall += seconds
