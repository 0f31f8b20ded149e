"""Whether the registry was there for the targets while this instance could not read it.

Pattern: an instance, or its data centre, is cut off from the platform's store, and a target leaves
meanwhile. To the instance this looks like an outage of the store, in which nobody can write and the
registrations of live targets lapse. The targets' own records tell the two apart: each target writes
at a steady interval, so where most of them have gone on to write, the store was there, and a target
whose registration was removed is gone.
"""

import math
from collections import Counter

from ...ids import TargetId

# A registration lapses after three intervals without a record, of which the first may have passed
# before an outage. With fewer missing records no outage was long enough for that.
MAX_MISSING_RECORDS = 1.5
# The registry was there if this share of the targets has written all the time: others may be cut
# off like this instance, or may have started or left meanwhile.
WRITING_SHARE = 0.4
# The interval of the records is learned from reads that follow each other as usual.
MAX_LEARNING_GAP_S = 3.0
MIN_LEARNED_RECORDS = 5
# Older reads count less, by this factor for each read.
LEARNING_DECAY = 0.95


class HeartbeatLog:
    """Counts the targets' records between two reads of the registry."""

    def __init__(self) -> None:
        self._counts: Counter[TargetId] = Counter()
        self._complete_at: float | None = None
        self._is_whole = True
        # Time and records of single targets, over the usual reads.
        self._learned_s = 0.0
        self._learned_records = 0.0

    @property
    def interval_s(self) -> float | None:
        """Seconds between two records of a target; None: too few were seen."""
        if self._learned_records < MIN_LEARNED_RECORDS:
            return None
        return self._learned_s / self._learned_records

    def record(self, target: TargetId) -> None:
        """Counts a record that a target has written."""
        self._counts[target] += 1

    def skip(self) -> None:
        """Records that only the newest record of each target was read, and not all of them."""
        self._is_whole = False

    def complete(self, complete_at: float, target_count: int) -> bool:
        """Ends a read with which all records up to boot time ``complete_at`` are known.

        Returns whether the targets could write all the time since the read before it, so that no
        registration can have lapsed because of an outage. ``target_count`` is the number of targets
        that were registered.
        """
        if self._complete_at is not None and complete_at <= self._complete_at:
            return False  # A late message; its records count with the next read.
        counts, self._counts = self._counts, Counter()
        is_whole, self._is_whole = self._is_whole, True
        previous, self._complete_at = self._complete_at, complete_at
        if previous is None or not is_whole:
            return False
        gap_s = complete_at - previous
        size = max(target_count, len(counts))
        was_available = self._was_available(gap_s, counts, size)
        if gap_s < MAX_LEARNING_GAP_S:
            self._learned_s = self._learned_s * LEARNING_DECAY + gap_s * size
            self._learned_records = self._learned_records * LEARNING_DECAY + counts.total()
        return was_available

    def _was_available(self, gap_s: float, counts: Counter[TargetId], size: int) -> bool:
        interval_s = self.interval_s
        if interval_s is None or not size:
            return False
        expected = gap_s / interval_s
        needed = math.ceil(WRITING_SHARE * size)
        ranked = sorted(counts.values(), reverse=True)
        found = ranked[needed - 1] if len(ranked) >= needed else 0
        return expected - found < MAX_MISSING_RECORDS
