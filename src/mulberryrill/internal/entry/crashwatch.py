"""Notices unplanned ends of targets, and refuses calls under which targets end.

A broken connection may be a fault of the network, so the calls on it are only suspects. The target
has ended if it refuses connections then, or if its registration disappears without a drain.
"""

import errno
import logging
import select
import socket
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from functools import partial
from typing import Protocol

from ..core.quarantine import QUARANTINE_DURATION_MS, Quarantine
from ..core.serving.crashcauses import (
    CrashCauses,
    SuspectCall,
    Suspicion,
    TargetEnd,
    Trait,
)
from ..core.serving.probation import (
    TRIAL_RETRY_DELAY_S,
    ProbationRefusal,
    choose_trial_target,
)
from ..core.serving.targettable import Registration, Target, TargetRun
from ..eventloop import EventLoop
from ..events import Event
from ..http.sockets import open_connection
from ..logs import log_event
from ..schema.log_pb2 import QuarantineEntry
from .attempt import Attempt, Outcome
from .callidentity import (
    identify_call,
    list_parts,
    list_traits,
    list_variants,
)
from .dialect import CallRequest

# A call is no suspect if its target ended later than this after the first event of its response.
START_WINDOW_S = 1.0
# Without evidence by this time the connections broke for another reason.
EVIDENCE_TIMEOUT_S = 10.0
PROBE_TIMEOUT_S = 0.4
# A process that ends closes its connections and its listening socket one after the other, so one
# accepted connection proves nothing.
PROBE_COUNT = 2
PROBE_INTERVAL_S = 0.25
# Time for the reports of all peers to arrive before a cause is sought: this and two intervals.
SETTLE_MARGIN_S = 0.2
_LOGGER = logging.getLogger(__name__)


class CrashWatchState(Protocol):
    """What the watch needs from the state of this instance."""

    @property
    def crash_causes(self) -> CrashCauses:
        """Ends of targets and answered calls, also those that peers have seen."""
        ...

    @property
    def quarantine(self) -> Quarantine:
        """Traits of calls that are refused."""
        ...

    @property
    def report_interval_s(self) -> float:
        """Interval at which instances report to their peers."""
        ...


@dataclass
class _BrokenRun:
    """Calls that broke off at one incarnation of a target, or that it left unanswered."""

    broken_at: float
    suspects: list[SuspectCall] = field(default_factory=list)
    # Whether a connection broke. A target that is only silent may be slow.
    has_broken: bool = False
    has_ended: bool = False


class CrashWatch:
    """Used on the event loop's thread only."""

    def __init__(
        self, loop: EventLoop, state: CrashWatchState, get_unix_ms: Callable[[], int]
    ) -> None:
        self._loop = loop
        self._state = state
        self._get_unix_ms = get_unix_ms
        self._broken_runs: dict[TargetRun, _BrokenRun] = {}
        # Stores an entry where all instances find it, also after their restart.
        self.on_quarantined: Callable[[QuarantineEntry], None] | None = None
        # Tells peers at once of an end that this instance has seen; False: it is not proved.
        self.on_end: Callable[[TargetEnd, bool], None] | None = None

    def find_quarantined(self, call: CallRequest) -> Trait | None:
        """Returns the trait for which a call must be refused, or None."""
        quarantine = self._state.quarantine
        if quarantine.is_empty:
            return None
        now_unix_ms = self._get_unix_ms()
        traits = list_traits(call)
        return next((t for t in traits if quarantine.is_quarantined(t, now_unix_ms)), None)

    def choose_trial_target(
        self, call: CallRequest, usable: list[Target], running: Iterable[CallRequest]
    ) -> Target | ProbationRefusal | None:
        """Returns the only target on which a suspected call may run; None: it is not suspected.

        ``running`` are the other calls that have been sent to targets: of those that are suspected
        of the same, one runs at a time.
        """
        causes, now = self._state.crash_causes, self._loop.boottime()
        if not causes.has_suspects:
            return None
        identity = identify_call(call)
        suspicion = causes.find_suspicion(identity, now, list_variants(call, identity[0]))
        if suspicion is None:
            return None
        ended, interval_s = causes.list_ended_runs(now), self._state.report_interval_s
        choice = choose_trial_target(identity[0], suspicion, usable, ended, interval_s, now)
        if isinstance(choice, Target):
            for other in running:
                if identify_call(other) == identity and suspicion.trait in list_traits(other):
                    detail = f"the same call runs as {other.request_id}"
                    choice = ProbationRefusal(detail, TRIAL_RETRY_DELAY_S)
                    break
        self._log_trial(call, suspicion, choice)
        return choice

    def _log_trial(
        self, call: CallRequest, suspicion: Suspicion, choice: Target | ProbationRefusal
    ) -> None:
        log_event(
            _LOGGER,
            logging.INFO,
            Event.ENTRY_CALL_ON_PROBATION,
            choice.detail if isinstance(choice, ProbationRefusal) else "call runs on one target",
            request=call.request_id,
            trait=suspicion.trait,
            ended=sorted(run.target for run in suspicion.runs),
            last_end_s=round(self._loop.boottime() - suspicion.last_end_at, 3),
            target=choice.id if isinstance(choice, Target) else None,
        )

    def compute_time_left(self, trait: Trait) -> float:
        """Returns the seconds for which calls with a trait are still refused."""
        return self._state.quarantine.compute_time_left(trait, self._get_unix_ms())

    def on_attempt_end(self, call: CallRequest, attempt: Attempt, outcome: Outcome) -> None:
        """Records what the end of an attempt says about its target and its call."""
        registration = attempt.plan.target.registration
        run = _get_run(registration)
        if outcome in (Outcome.ANSWERED, Outcome.ERROR):
            self._state.crash_causes.record_answer(list_traits(call), self._loop.boottime())
            self._clear_break(run)
        elif outcome is Outcome.BROKEN and not attempt.was_stalled:
            first_event_at = attempt.first_event_at
            if first_event_at is None or self._loop.now() - first_event_at < START_WINDOW_S:
                self._add_suspect(run, call)
                self._report_break(run)
                self._probe_once(run, registration.address)
        elif outcome is Outcome.CANCELLED and attempt.was_unanswered:
            self._add_suspect(run, call)
        elif outcome is Outcome.NOT_SENT and attempt.was_refused:
            self._confirm_end(run)

    def on_target_removed(self, registration: Registration, waiting: list[CallRequest]) -> None:
        """The registration of a target that was not draining disappeared, or it started again.

        ``waiting`` are the calls on it that have got nothing yet.
        """
        run = _get_run(registration)
        for call in waiting:
            self._add_suspect(run, call)
        self._confirm_end(run)

    def on_ends_changed(self) -> None:
        """This instance or a peer has seen a target end; looks for a cause after a short time."""
        delay_s = SETTLE_MARGIN_S + 2 * self._state.report_interval_s
        self._loop.call_later(delay_s, self._find_causes)

    def _add_suspect(self, run: TargetRun, call: CallRequest) -> None:
        now = self._loop.boottime()
        self._expire(now)
        broken = self._broken_runs.setdefault(run, _BrokenRun(now))
        fingerprint, own_part = identify_call(call)
        variants = list_variants(call, fingerprint)
        broken.suspects.append(
            SuspectCall(call.request_id, fingerprint, list_parts(call), own_part, variants)
        )
        if broken.has_ended:
            self._report_end(run, broken)

    def _report_break(self, run: TargetRun) -> None:
        """Tells peers of a break before it is known whether the target has ended."""
        broken = self._broken_runs[run]
        if broken.has_ended:
            return
        end = TargetEnd(run, broken.broken_at, tuple(broken.suspects))
        expires_at = broken.broken_at + EVIDENCE_TIMEOUT_S
        self._state.crash_causes.add_unproven_end(end, expires_at)
        if self.on_end is not None:
            self.on_end(end, False)

    def _clear_break(self, run: TargetRun) -> None:
        """The target lives."""
        self._broken_runs.pop(run, None)
        self._state.crash_causes.remove_unproven_end(run)

    def _probe_once(self, run: TargetRun, address: str) -> None:
        broken = self._broken_runs[run]
        if not broken.has_broken:
            broken.has_broken = True
            self._probe(run, address, PROBE_COUNT)

    def _probe(self, run: TargetRun, address: str, count: int) -> None:
        """Connects up to ``count`` times; a target that accepts them all has not ended."""

        def on_connected() -> None:
            if count <= 1:
                self._clear_break(run)
            else:
                delayed = partial(self._probe, run, address, count - 1)
                self._loop.call_later(PROBE_INTERVAL_S, delayed)

        ConnectionProbe(self._loop, address, lambda: self._confirm_end(run), on_connected).start()

    def _confirm_end(self, run: TargetRun) -> None:
        self._expire(self._loop.boottime())
        broken = self._broken_runs.get(run)
        if broken is not None and not broken.has_ended:
            broken.has_ended = True
            self._report_end(run, broken)

    def _report_end(self, run: TargetRun, broken: _BrokenRun) -> None:
        end = TargetEnd(run, broken.broken_at, tuple(broken.suspects))
        if not self._state.crash_causes.add_own_end(end):
            return
        log_event(
            _LOGGER,
            logging.WARNING,
            Event.ENTRY_TARGET_ENDED,
            "target ended without a drain; these calls may be the cause",
            target=run.target,
            requests=[suspect.request for suspect in broken.suspects],
        )
        self._state.crash_causes.remove_unproven_end(run)
        if self.on_end is not None:
            self.on_end(end, True)
        self.on_ends_changed()

    def _find_causes(self) -> None:
        """Quarantines each trait that explains enough ends of targets."""
        quarantine, now = self._state.quarantine, self._loop.boottime()
        while True:
            unix_ms = self._get_unix_ms()
            known = {Trait(e.fingerprint) for e in quarantine.list_entries(unix_ms)}
            cause = self._state.crash_causes.find_cause(known, now)
            if cause is None:
                return
            entry = QuarantineEntry(
                fingerprint=cause.trait,
                crashes=len(cause.runs),
                expires_unix_ms=unix_ms + QUARANTINE_DURATION_MS,
            )
            quarantine.merge_entry(entry)
            log_event(
                _LOGGER,
                logging.WARNING,
                Event.ENTRY_CALLS_QUARANTINED,
                "calls with this trait are refused: targets ended under them, and none was"
                " answered since",
                trait=cause.trait,
                targets=[run.target for run in cause.runs],
            )
            # Instances that saw none of these ends leave it to those that did.
            is_witness = any(run in self._broken_runs for run in cause.runs)
            if is_witness and self.on_quarantined is not None:
                self.on_quarantined(entry)

    def _expire(self, now: float) -> None:
        for run, broken in list(self._broken_runs.items()):
            if now - broken.broken_at > EVIDENCE_TIMEOUT_S:
                del self._broken_runs[run]


class ConnectionProbe:
    """Connects to a target once, to learn whether anything listens at its address."""

    def __init__(
        self,
        loop: EventLoop,
        address: str,
        on_refused: Callable[[], None],
        on_connected: Callable[[], None],
    ) -> None:
        self._loop = loop
        self._address = address
        self._on_refused = on_refused
        self._on_connected = on_connected
        self._socket: socket.socket | None = None

    def start(self) -> None:
        """Starts to connect."""
        try:
            self._socket = open_connection(self._address)
        except ConnectionRefusedError:
            self._loop.call_soon(self._on_refused)
            return
        except (OSError, ValueError):
            return  # The registry tells whether the target has ended.
        self._loop.watch(self._socket.fileno(), select.EPOLLOUT, self._on_ready)
        self._loop.call_later(PROBE_TIMEOUT_S, self.close)

    def close(self) -> None:
        """Ends the probe without a result."""
        if self._socket is not None:
            self._loop.unwatch(self._socket.fileno())
            self._socket.close()
            self._socket = None

    def _on_ready(self, mask: int) -> None:
        assert self._socket is not None
        error = self._socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        self.close()
        if error == 0:
            self._on_connected()
        elif error == errno.ECONNREFUSED:
            self._on_refused()


def _get_run(registration: Registration) -> TargetRun:
    return TargetRun(registration.target, registration.incarnation)
