"""Which requests may have crashed a target.

A broken connection alone may be a network fault. The requests that ran on it are suspects until the
target proves to have restarted or to be gone, and only then counted as crashes. Until that is
decided, a request suspected at two targets is not sent to a third.
"""

from dataclasses import dataclass

from ..core.messages import TargetState
from ..core.quarantine import Quarantine
from ..ids import Incarnation, TargetId
from ..schema.wire_pb2 import CrashReport, Envelope
from .messages import SendMessage

# Watchers poll several times in this time, so a crash without evidence by then was a network fault.
EVIDENCE_TIMEOUT_S = 10.0
MAX_SUSPECTED_TARGETS = 2


@dataclass(frozen=True)
class _Suspect:
    fingerprint: str
    incarnation: Incarnation
    since: float


class CrashSuspects:
    """Collects suspects and reports crashes. Runs on the relay loop's thread."""

    def __init__(self, quarantine: Quarantine, send: SendMessage) -> None:
        self._quarantine = quarantine
        self._send = send
        self._by_target: dict[TargetId, list[_Suspect]] = {}

    def add(self, fingerprint: str, target: TargetId, incarnation: Incarnation, now: float) -> None:
        """A connection broke while this request may have run."""
        suspects = self._by_target.setdefault(target, [])
        suspects.append(_Suspect(fingerprint, incarnation, now))

    def is_blocked(self, fingerprint: str, now: float) -> bool:
        """Tells whether a request is suspected at as many targets as it may be sent to."""
        targets = {
            target
            for target, suspects in self._by_target.items()
            for suspect in suspects
            if suspect.fingerprint == fingerprint and now - suspect.since <= EVIDENCE_TIMEOUT_S
        }
        return len(targets) >= MAX_SUSPECTED_TARGETS

    def on_unreachable(self, target: TargetId, now: float, now_unix_ms: int) -> None:
        """The target refuses connections."""
        self._settle(target, None, now, now_unix_ms)

    def on_target_state(self, target: TargetState, now: float, now_unix_ms: int) -> None:
        """A target's state was seen; an unreachable or restarted one has crashed."""
        if target.target in self._by_target:
            incarnation = target.incarnation if target.healthy else None
            self._settle(target.target, incarnation, now, now_unix_ms)

    def expire(self, now: float) -> None:
        """Drops suspects whose target did not crash."""
        for target, suspects in list(self._by_target.items()):
            kept = [suspect for suspect in suspects if now - suspect.since <= EVIDENCE_TIMEOUT_S]
            if kept:
                self._by_target[target] = kept
            else:
                del self._by_target[target]

    def _settle(
        self, target: TargetId, incarnation: Incarnation | None, now: float, now_unix_ms: int
    ) -> None:
        self.expire(now)
        suspects = self._by_target.pop(target, [])
        kept = [suspect for suspect in suspects if suspect.incarnation == incarnation]
        if kept:
            self._by_target[target] = kept
        for suspect in suspects:
            if suspect.incarnation != incarnation:
                self._quarantine.record_crash(suspect.fingerprint, target, now_unix_ms)
                report = CrashReport(fingerprint=suspect.fingerprint, target=target)
                self._send(Envelope(crash_report=report))
