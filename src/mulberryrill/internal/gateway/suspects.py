"""Finds requests that crash targets.

A broken connection may be just a network fault, so a request that ran on it is only a suspect. It
counts as a crash once the target is seen to have restarted or to be unreachable. Until then, a
request suspected at two targets is not sent to a third.
"""

from dataclasses import dataclass

from ..core.messages import TargetState
from ..core.quarantine import Quarantine
from ..ids import Incarnation, TargetId
from ..schema.wire_pb2 import CrashReport, Envelope
from .messages import SendMessage

# Targets are polled several times in this period; without evidence of a crash by its end, the cause
# was a network fault.
EVIDENCE_TIMEOUT_S = 10.0
MAX_SUSPECTED_TARGETS = 2


@dataclass(frozen=True)
class _Suspect:
    fingerprint: str
    incarnation: Incarnation
    suspected_at: float


class CrashSuspects:
    """Tracks suspects and reports crashes. Runs on the relay loop's thread."""

    def __init__(self, quarantine: Quarantine, send: SendMessage) -> None:
        self._quarantine = quarantine
        self._send = send
        self._by_target: dict[TargetId, list[_Suspect]] = {}

    def add(self, fingerprint: str, target: TargetId, incarnation: Incarnation, now: float) -> None:
        """Adds a request that may have been running when its connection broke."""
        suspects = self._by_target.setdefault(target, [])
        suspects.append(_Suspect(fingerprint, incarnation, now))

    def is_blocked(self, fingerprint: str, now: float) -> bool:
        """Returns whether a request is suspected at MAX_SUSPECTED_TARGETS targets."""
        targets = {
            target
            for target, suspects in self._by_target.items()
            for suspect in suspects
            if suspect.fingerprint == fingerprint
            and now - suspect.suspected_at <= EVIDENCE_TIMEOUT_S
        }
        return len(targets) >= MAX_SUSPECTED_TARGETS

    def on_unreachable(self, target: TargetId, now: float, now_unix_ms: int) -> None:
        """Counts a crash for each suspect of a target that refuses connections."""
        self._count_crashes(target, None, now, now_unix_ms)

    def on_target_state(self, target: TargetState, now: float, now_unix_ms: int) -> None:
        """Counts a crash for each suspect of a target that is unhealthy or has restarted."""
        if target.target in self._by_target:
            incarnation = target.incarnation if target.healthy else None
            self._count_crashes(target.target, incarnation, now, now_unix_ms)

    def expire(self, now: float) -> None:
        """Drops suspects without evidence of a crash in time."""
        for target, suspects in list(self._by_target.items()):
            kept = [
                suspect for suspect in suspects if now - suspect.suspected_at <= EVIDENCE_TIMEOUT_S
            ]
            if kept:
                self._by_target[target] = kept
            else:
                del self._by_target[target]

    def _count_crashes(
        self, target: TargetId, incarnation: Incarnation | None, now: float, now_unix_ms: int
    ) -> None:
        """Counts a crash for each suspect that ran on another incarnation than the given one."""
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
