"""Accounting of granted slots that may still be in use.

A grantor (the slot holder, or an instance for its gateways) knows a grantee's requests in flight
only from reports, which are out of date when they arrive. Between reports the grantee may have
started as many requests as its largest grant allowed. An allotment therefore counts as used until
the grantee sends a report after the allotment's end, which shows the requests still in flight.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from ..ids import Incarnation, TargetId
from ..schema.wire_pb2 import TargetUse

SlotKey = tuple[TargetId, Incarnation]
SlotCounts = dict[SlotKey, int]


@dataclass(frozen=True)
class Allotment:
    """Slots granted to one grantee; ``ends_at`` is on the time scale of its reports."""

    ends_at: float
    slots: SlotCounts


class GranteeAccount:
    """Upper bounds of the slots that one grantee may be using."""

    def __init__(self) -> None:
        self.reported_at = float("-inf")
        # From the last report: requests in flight, and these plus the waiting ones.
        self.in_flight: SlotCounts = {}
        self.wanted: dict[TargetId, int] = {}
        # Upper bound of the requests in flight at any time until the next report.
        self.committed: SlotCounts = {}
        self._allotments: list[Allotment] = []

    def accept_report(self, sent_at: float, uses: Iterable[TargetUse]) -> bool:
        """Applies a report; returns False and ignores it if it is not newer than the last one."""
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
        self._update_committed()
        return True

    def add(self, allotment: Allotment) -> None:
        """Counts a new allotment as used."""
        self._allotments.append(allotment)
        for key, slots in allotment.slots.items():
            if slots > self.committed.get(key, 0):
                self.committed[key] = slots

    def bound_in_flight(self, now: float) -> SlotCounts:
        """Returns what may be in flight, not counting allotments that end after ``now``."""
        ended = [a.slots for a in self._allotments if a.ends_at <= now]
        return merge_largest([self.in_flight, *ended])

    def _update_committed(self) -> None:
        self.committed = merge_largest([self.in_flight, *(a.slots for a in self._allotments)])


def merge_largest(parts: Iterable[SlotCounts]) -> SlotCounts:
    """Returns the largest count of each key."""
    merged: SlotCounts = {}
    for part in parts:
        for key, slots in part.items():
            if slots > merged.get(key, 0):
                merged[key] = slots
    return merged


def compute_fair_share(budget: int, wanted: int, total_wanted: int, grantees: int) -> int:
    """Returns one grantee's share of ``budget`` slots.

    If all wanted slots fit, each grantee gets what it wants, and the rest is divided evenly so that
    a first request need not wait for a report. Otherwise the budget is divided in proportion to the
    wanted slots, rounded up. Callers limit the result to what other grantees leave, so rounding up
    does not exceed the budget.
    """
    if budget <= 0:
        return 0
    if total_wanted <= budget:
        return wanted + (budget - total_wanted) // max(1, grantees)
    return -(-budget * wanted // total_wanted)
