"""Quarantine of requests that are suspected of crashing targets.

A fingerprint stands for one request, or for all requests with something in common.
"""

from ..ids import TargetId
from ..schema.log_pb2 import QuarantineEntry

# A request is rejected once it has been followed by this many target crashes.
CRASH_THRESHOLD = 2
# Leaves time to find and remove the request; afterwards it may run again.
QUARANTINE_DURATION_MS = 3_600_000
# 10,000 entries take about 3 MB of memory.
MAX_ENTRIES = 10_000


class Quarantine:
    """Counts crashes by request fingerprint; entries can be merged in any order."""

    def __init__(self) -> None:
        self._entries: dict[str, QuarantineEntry] = {}
        # Crashes already counted by this process, oldest first; repeated reports are ignored.
        self._crashes: dict[tuple[str, TargetId, int], None] = {}

    def record_crash(
        self, fingerprint: str, target: TargetId, now_unix_ms: int
    ) -> QuarantineEntry | None:
        """Counts a crash and returns the entry to distribute; None if it was already counted."""
        self._remove_expired(now_unix_ms)
        known = self._entries.get(fingerprint)
        crash = (fingerprint, target, now_unix_ms)
        if crash in self._crashes:
            return None
        self._crashes[crash] = None
        if len(self._crashes) > MAX_ENTRIES:
            self._crashes.pop(next(iter(self._crashes)))
        entry = QuarantineEntry(
            fingerprint=fingerprint,
            crashes=1 + (known.crashes if known is not None else 0),
            expires_unix_ms=now_unix_ms + QUARANTINE_DURATION_MS,
        )
        self.merge_entry(entry)
        merged = QuarantineEntry()
        merged.CopyFrom(self._entries[fingerprint])
        return merged

    def merge_entry(self, entry: QuarantineEntry) -> None:
        """Merges an entry from a peer or the log: the larger count and the later expiry win."""
        known = self._entries.pop(entry.fingerprint, None)
        merged = QuarantineEntry()
        merged.CopyFrom(entry)
        if known is not None:
            merged.crashes = max(known.crashes, entry.crashes)
            merged.expires_unix_ms = max(known.expires_unix_ms, entry.expires_unix_ms)
        self._entries[entry.fingerprint] = merged
        if len(self._entries) > MAX_ENTRIES:
            self._entries.pop(next(iter(self._entries)))

    def is_quarantined(self, fingerprint: str, now_unix_ms: int) -> bool:
        """Returns whether the request must be rejected."""
        entry = self._entries.get(fingerprint)
        if entry is None or now_unix_ms >= entry.expires_unix_ms:
            return False
        return entry.crashes >= CRASH_THRESHOLD

    @property
    def is_empty(self) -> bool:
        """Whether no request is quarantined or suspected."""
        return not self._entries

    def remove_entry(self, fingerprint: str) -> None:
        """Lifts the quarantine of a request."""
        self._entries.pop(fingerprint, None)

    def compute_time_left(self, fingerprint: str, now_unix_ms: int) -> float:
        """Returns the seconds until an entry expires; 0 if there is none."""
        entry = self._entries.get(fingerprint)
        return max(0, entry.expires_unix_ms - now_unix_ms) / 1000 if entry is not None else 0.0

    def list_entries(self, now_unix_ms: int) -> list[QuarantineEntry]:
        """Returns the entries that have not expired."""
        self._remove_expired(now_unix_ms)
        return list(self._entries.values())

    def _remove_expired(self, now_unix_ms: int) -> None:
        expired = [f for f, e in self._entries.items() if now_unix_ms >= e.expires_unix_ms]
        for fingerprint in expired:
            del self._entries[fingerprint]
