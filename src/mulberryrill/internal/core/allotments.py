"""Bookkeeping of slots that were given away and may still be used.

A grantor (the slot holder, or an instance for its gateways) knows a grantee's requests in flight
only from reports, which are old when they arrive. Between reports the grantee may have started as
many requests as its largest grant allowed. An allotment therefore counts until a report that the
grantee sent after the allotment's end shows how many requests it really left behind.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from ..ids import Incarnation, TargetId
from ..schema.wire_pb2 import TargetUse

SlotKey = tuple[TargetId, Incarnation]
SlotCounts = dict[SlotKey, int]


@dataclass(frozen=True)
class Allotment:
    """Slots given to a grantee. ``ends_at`` is on the time scale of the grantee's reports."""

    ends_at: float
    slots: SlotCounts


class GranteeAccount:
    """What one grantee may be using."""

    def __init__(self) -> None:
        self.reported_at = float("-inf")
        # Requests in flight and wanted, as last reported.
        self.in_flight: SlotCounts = {}
        self.wanted: dict[TargetId, int] = {}
        # The most that may be in flight at any time until the next report.
        self.committed: SlotCounts = {}
        self._allotments: list[Allotment] = []

    def accept_report(self, sent_at: float, uses: Iterable[TargetUse]) -> bool:
        """Takes a report that is newer than the last one; returns whether it was."""
        if sent_at <= self.reported_at:
            return False
        self.reported_at = sent_at
        self.in_flight = {}
        self.wanted = {}
        for use in uses:
            target = TargetId(use.target)
            self.wanted[target] = self.wanted.get(target, 0) + use.in_flight + use.demand
            if use.in_flight > 0:
                self.in_flight[(target, Incarnation(use.incarnation))] = use.in_flight
        self._allotments = [a for a in self._allotments if a.ends_at > sent_at]
        self._refresh()
        return True

    def add(self, allotment: Allotment) -> None:
        """Notes slots given away."""
        self._allotments.append(allotment)
        for key, slots in allotment.slots.items():
            if slots > self.committed.get(key, 0):
                self.committed[key] = slots

    def bound_in_flight(self, now: float) -> SlotCounts:
        """Returns what may be in flight without regard to allotments that end after ``now``."""
        ended = [a.slots for a in self._allotments if a.ends_at <= now]
        return merge_largest([self.in_flight, *ended])

    def _refresh(self) -> None:
        self.committed = merge_largest([self.in_flight, *(a.slots for a in self._allotments)])


def merge_largest(parts: Iterable[SlotCounts]) -> SlotCounts:
    """Returns the largest number of each key."""
    merged: SlotCounts = {}
    for part in parts:
        for key, slots in part.items():
            if slots > merged.get(key, 0):
                merged[key] = slots
    return merged


def compute_fair_share(budget: int, wanted: int, total_wanted: int, grantees: int) -> int:
    """Returns one grantee's part of ``budget`` slots.

    Wants are met if they fit, and the rest is divided evenly so that a first request need not wait
    for a report; otherwise the budget is divided in proportion, rounded up. What others hold limits
    the result further, so rounding up never exceeds the budget.
    """
    if budget <= 0:
        return 0
    if total_wanted <= budget:
        return wanted + (budget - total_wanted) // max(1, grantees)
    return -(-budget * wanted // total_wanted)
