"""Distributes quarantine entries to the peers, the log and the gateways."""

import logging
from collections.abc import Callable

from ..clock import Clock
from ..core.quarantine import Quarantine
from ..events import Event
from ..ids import TargetId
from ..logs import log_event
from ..schema.log_pb2 import LogBatch, LogEntry, QuarantineEntry
from ..schema.wire_pb2 import CrashReport
from .documents import CONFIGURATION_STREAM
from .messages import AppendRequest

_LOGGER = logging.getLogger(__name__)


class QuarantineDistributor:
    """Used by the main task only. ``send_to_peers`` is called with each new entry."""

    def __init__(
        self,
        quarantine: Quarantine,
        append: Callable[[AppendRequest], None],
        send_to_peers: Callable[[QuarantineEntry], None],
        clock: Clock,
    ) -> None:
        self._quarantine = quarantine
        self._append = append
        self._send_to_peers = send_to_peers
        self._clock = clock
        # Number of crashes and expiry time (Unix ms) already distributed, by fingerprint.
        self._published: dict[str, tuple[int, int]] = {}

    def on_crash(self, report: CrashReport) -> bool:
        """Counts a crash; returns whether the quarantine entry of the fingerprint has changed."""
        entry = self._quarantine.record_crash(
            report.fingerprint, TargetId(report.target), self._get_unix_ms()
        )
        if entry is None or not self.merge_entry(entry):
            return False
        batch = LogBatch(entries=[LogEntry(quarantine=entry)])
        self._append(
            AppendRequest(CONFIGURATION_STREAM, f"qua-{entry.fingerprint}", batch, persistent=True)
        )
        log_event(
            _LOGGER,
            logging.WARNING,
            Event.QUARANTINE_ADDED,
            f"request fingerprint quarantined after {entry.crashes} crashes",
            fingerprint=entry.fingerprint,
            target=report.target,
        )
        return True

    def merge_entry(self, entry: QuarantineEntry, from_log: bool = False) -> bool:
        """Merges an entry; returns whether it is new. Entries from the log aren't sent to peers."""
        crashes, expires_ms = self._published.get(entry.fingerprint, (0, 0))
        if entry.expires_unix_ms <= self._get_unix_ms():
            return False
        if entry.crashes <= crashes and entry.expires_unix_ms <= expires_ms:
            return False
        self._quarantine.merge_entry(entry)
        self._published[entry.fingerprint] = (
            max(crashes, entry.crashes),
            max(expires_ms, entry.expires_unix_ms),
        )
        if not from_log:
            self._send_to_peers(entry)
        return True

    def list_entries(self) -> list[QuarantineEntry]:
        """Returns the entries that have not expired."""
        entries = self._quarantine.list_entries(self._get_unix_ms())
        kept = {entry.fingerprint for entry in entries}
        self._published = {f: known for f, known in self._published.items() if f in kept}
        return entries

    def _get_unix_ms(self) -> int:
        return int(self._clock.wall() * 1000)
