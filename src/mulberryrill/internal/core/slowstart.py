"""Slow start: limits the concurrency of a target while it warms up."""

from ..ids import Incarnation

INITIAL_CAP = 1
# Completions at the current cap, without a failure between them, after which the cap doubles.
COMPLETIONS_PER_STEP = 8


class SlowStart:
    """Concurrency cap of one target: 1 for a new incarnation, doubled while requests succeed."""

    def __init__(self, incarnation: Incarnation, cap: int = INITIAL_CAP) -> None:
        self.incarnation = incarnation
        self.cap = max(INITIAL_CAP, cap)
        self._completions = 0

    def record(
        self, incarnation: Incarnation, completions: int, failures: int, max_concurrency: int
    ) -> None:
        """Counts results of the current incarnation and ignores those of any other.

        A failure resets the cap; ``max_concurrency`` limits its growth.
        """
        if incarnation != self.incarnation:
            return
        if failures > 0:
            self.reset(incarnation)
            return
        self._completions += completions
        if self._completions >= COMPLETIONS_PER_STEP:
            self.cap = max(INITIAL_CAP, min(self.cap * 2, max_concurrency))
            self._completions = 0

    def reset(self, incarnation: Incarnation) -> None:
        """Returns to the initial cap after a restart, or after a refused or reset connection."""
        self.incarnation = incarnation
        self.cap = INITIAL_CAP
        self._completions = 0
