"""When instances read the platform's store, and when one takes over from a silent reader.

Pattern: one instance of a data centre reads for the others, and is frozen, killed or cut off from
the store just before a change. The others must still know the change within the deployment's bound,
so every time is a share of that bound, and counts from the moment up to which the records are known
to be complete, not from the arrival of a message that may have been on its way for long.
"""

from dataclasses import dataclass

# Shares of the bound. A reader waits this long for records, or pauses this long between two reads.
WAIT_SHARE = 0.4
INTERVAL_SHARE = 1 / 3
# An instance takes over when its records are this old, and later by its rank, so that not all take
# over at once; ranks above the maximum add no more delay. The rest of the bound, a fifth, is left
# for its first read and one repetition.
SILENCE_SHARE = 0.65
RANK_DELAY_SHARE = 0.05
MAX_DELAYED_RANK = 3
# A message that seems to have taken longer shows that its sender's clock was set anew: connections
# between instances are given up after 3 s without a heartbeat.
MAX_TRANSIT_S = 10.0


@dataclass(frozen=True)
class ReadTiming:
    """Times of the reads of one topic, in seconds."""

    # Time within which a change must be known to every instance.
    bound_s: float
    # How long a read waits for records.
    wait_s: float
    # Pause between two reads.
    interval_s: float

    def compute_takeover_age(self, rank: int) -> float:
        """Returns the age of the records at which an instance reads itself; rank 0: the reader."""
        delay_share = RANK_DELAY_SHARE * min(MAX_DELAYED_RANK, rank)
        return (SILENCE_SHARE + delay_share) * self.bound_s


def plan_waiting_reads(bound_s: float) -> ReadTiming:
    """Plans the reads of a topic with rare records: each waits for the next record."""
    return ReadTiming(bound_s, wait_s=WAIT_SHARE * bound_s, interval_s=0.0)


def plan_periodic_reads(bound_s: float) -> ReadTiming:
    """Plans the reads of a topic with steady records, of which waiting reads would get few each."""
    return ReadTiming(bound_s, wait_s=0.0, interval_s=INTERVAL_SHARE * bound_s)


class TransitClock:
    """Estimates how long a peer's messages were on their way.

    The clocks of two instances differ by an unknown offset; the message with the shortest transit
    shows it best.
    """

    def __init__(self) -> None:
        self._least_difference: float | None = None

    def measure(self, sent_at: float, received_at: float) -> float:
        """Returns the seconds beyond the shortest transit; each time is on its own side's clock."""
        difference = received_at - sent_at
        least = self._least_difference
        if least is None or difference < least or difference - least > MAX_TRANSIT_S:
            self._least_difference = least = difference
        return difference - least
