"""Handles one call from arrival to response: targets, attempts, retries, resumed streams."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from ..core.serving.routetable import CallKind, Service
from ..eventloop import EventLoop, Timer
from ..http.caller import MIN_CHARGED_BYTES, InboundConnection
from ..ids import SoftwareVersion, TargetId
from .attempt import Attempt, BufferedResponse, Outcome
from .connection import OutboundConnection
from .dialect import AttemptPlan, CallRequest, Dialect, RefusalReason

# Maximum attempts of one call, including those that did not run or did not reach a target.
MAX_TOTAL_ATTEMPTS = 5
# A repeatable call is moved to another target if no response arrives within this multiple of the
# route's latency objective, or within this share of the time left if that is shorter.
SILENCE_OBJECTIVE_FACTOR = 2.0
MAX_SILENCE_SHARE = 0.4
# A stream is not moved if its target has sent anything within this time, on any call: the target is
# only slow, and a second run would add load.
MAX_RESPONSE_AGE_S = 1.5
# Default Retry-After: another instance may accept the call at once, or this one shortly after.
RETRY_AFTER_S = 0.3
# A stream whose version is not recorded in this time begins at another target, if one needs no
# record.
RECORDING_PATIENCE_S = 0.5
# Why an attempt was cancelled, in logs.
SILENT = "silent"
DEADLINE = "deadline"
PROCESS_ENDS = "process ends"


@dataclass(frozen=True)
class PlacementRefusal:
    """Why no target can take a call now, and when the caller should retry."""

    reason: RefusalReason
    # Figures behind the decision, for logs.
    detail: str
    retry_after_s: float = RETRY_AFTER_S


class CallHandlerOwner(Protocol):
    """What a call handler needs from the dispatcher."""

    def choose_service(self, call: CallRequest) -> Service | None:
        """Chooses the service for the call."""
        ...

    def plan_attempt(self, handler: "CallHandler") -> AttemptPlan | PlacementRefusal:
        """Chooses a target, or returns why none can take the call now."""
        ...

    def send_attempt(self, handler: "CallHandler", attempt: Attempt) -> None:
        """Sends the attempt over a connection to its target and counts it."""
        ...

    def on_response(self, attempt: Attempt) -> None:
        """A target's response to an attempt has begun and was classified."""
        ...

    def on_first_event(self, handler: "CallHandler", attempt: Attempt) -> None:
        """The target has finished prefill and sent a first event."""
        ...

    def on_attempt_end(
        self, handler: "CallHandler", attempt: Attempt, outcome: Outcome, detail: str
    ) -> None:
        """Records the outcome of an attempt for its target."""
        ...

    def find_origin(self, handler: "CallHandler") -> None:
        """Finds the version that began a stream and calls ``on_origin``, also at once."""
        ...

    def record_origin(
        self, handler: "CallHandler", attempt: Attempt, done: Callable[[], bool]
    ) -> None:
        """Calls ``done`` once the first event of a new stream may go to the caller.

        ``done`` returns whether the event has gone there.
        """
        ...

    def begin_unrecorded(self, handler: "CallHandler", attempt: Attempt) -> None:
        """A new stream begins although its version could not be recorded."""
        ...

    def has_recordless_target(self, handler: "CallHandler", attempt: Attempt) -> bool:
        """Whether the stream could begin at a target whose version needs no record."""
        ...

    def try_retry(self, handler: "CallHandler") -> bool:
        """Withdraws one retry from the service's retry budget; False if it is exhausted."""
        ...

    def on_call_end(self, handler: "CallHandler", result: str) -> None:
        """The call has ended: a response was sent, or the caller disconnected."""
        ...


class CallHandler:
    """Sends one call to targets until it can respond to the caller."""

    def __init__(
        self,
        loop: EventLoop,
        owner: CallHandlerOwner,
        dialect: Dialect,
        connection: InboundConnection,
        call: CallRequest,
    ) -> None:
        self.call = call
        self.service: Service | None = None
        self.tried_targets: list[TargetId] = []
        self.attempt_history: list[str] = []
        # No connection carries two attempts at a call: its target may repeat the response to the
        # first one late, and the request id would match the second one.
        self.used_connections: list[OutboundConnection] = []
        now, arrived_at = loop.now(), call.http.arrived_at
        # A call that waited unread, for a slow or stopped instance, has less time left.
        self.arrived_at = now if arrived_at is None else min(now, arrived_at)
        # Seconds for which the request had waited before this instance read it.
        self.unread_s = now - self.arrived_at
        timeout_s = call.route.timeout_s
        if call.deadline_s is not None:
            timeout_s = min(timeout_s, call.deadline_s)
        self.deadline = self.arrived_at + timeout_s
        self.last_event_id = call.last_event_id
        self._loop = loop
        self._owner = owner
        self._dialect = dialect
        self._connection = connection
        self._attempt: Attempt | None = None
        self._run_count = 0
        self._attempt_count = 0
        self._has_begun_response = False
        # The version that began the stream, once it has an event; None: any target may begin it.
        self.software: SoftwareVersion | None = None
        # Events that wait until the stream's version is recorded.
        self._held_events = bytearray()
        self._is_recording = False
        self._held_end: Attempt | None = None
        self._error_response: BufferedResponse | None = None
        self._is_done = False
        self._retry_after_s = RETRY_AFTER_S
        self._deadline_timer: Timer | None = None
        self._silence_timer: Timer | None = None

    @property
    def time_left_s(self) -> float:
        """Seconds until the response must be complete."""
        return self.deadline - self._loop.now()

    @property
    def attempt(self) -> Attempt | None:
        """The attempt in progress."""
        return self._attempt

    @property
    def has_attempt(self) -> bool:
        """Whether an attempt is in progress."""
        return self._attempt is not None

    def start(self) -> None:
        """Sends the call to a first target."""
        self._connection.on_disconnect = self._on_disconnect
        self._connection.on_drained = self._on_drained
        self.service = self._owner.choose_service(self.call)
        if self.time_left_s <= 0:
            self._give_up(RefusalReason.EXPIRED)
            return
        self._deadline_timer = self._loop.call_later(self.time_left_s, self._on_deadline)
        if self.call.is_take_up:
            self._owner.find_origin(self)
        else:
            self._send_to_next_target()

    def on_origin(self, version: SoftwareVersion | None) -> None:
        """Goes on with an interrupted stream at the version that began it, or refuses the call."""
        if self._is_done:
            return
        self.software = version
        if version is None:
            self._give_up(RefusalReason.ORIGIN_UNKNOWN)
        else:
            self._send_to_next_target()

    def _send_to_next_target(self, retry_of: RefusalReason | None = None) -> None:
        """Sends the call to a target, or responds that none takes it.

        ``retry_of`` is why the call ends if this is a retry and the budget has none left. A retry
        is withdrawn only if a target can take it: otherwise none arrives anywhere.
        """
        if self._attempt_count >= MAX_TOTAL_ATTEMPTS:
            self._give_up(RefusalReason.REJECTED_BY_TARGETS)
            return
        plan = self._owner.plan_attempt(self)
        if isinstance(plan, PlacementRefusal):
            self._retry_after_s = plan.retry_after_s
            self.attempt_history.append(f"no target: {plan.detail}")
            self._give_up(plan.reason)
        elif retry_of is not None and not self._owner.try_retry(self):
            self._give_up(retry_of)
        else:
            self._start_attempt(plan)

    def _start_attempt(self, plan: AttemptPlan) -> None:
        self._attempt_count += 1
        self.tried_targets.append(plan.target.id)
        attempt = Attempt(self.call, plan, self._dialect, self, self._loop.now)
        self._attempt = attempt
        self._start_silence_timer(attempt)
        self._owner.send_attempt(self, attempt)

    def on_progress(self, attempt: Attempt) -> None:
        """Records that the target is alive."""
        attempt.plan.target.last_response_at = self._loop.now()

    def on_classified(self, attempt: Attempt) -> None:
        """Reports what the target says of itself."""
        self._owner.on_response(attempt)

    def may_buffer(self, attempt: Attempt, count: int) -> bool:
        """Whether this many bytes of a response may be kept for the caller."""
        return count < MIN_CHARGED_BYTES or self._connection.charge_response(count)

    def on_events(self, attempt: Attempt, events: bytes) -> None:
        """Forwards events of the stream to the caller."""
        if attempt is not self._attempt:
            return
        self._cancel_silence_timer()
        if attempt.first_event_at is None and not self._has_begun_response:
            attempt.first_event_at = self._loop.now()
            self._owner.on_first_event(self, attempt)
        if self._is_recording:
            self._held_events += events
        elif not self._has_begun_response and self._needs_record:
            self._record_origin(attempt, events)
        else:
            self._forward_events(attempt, events)

    @property
    def _needs_record(self) -> bool:
        return self.call.route.is_resumable and not self.call.is_take_up

    def _record_origin(self, attempt: Attempt, events: bytes) -> None:
        """Holds the first events back until it is recorded which version begins the stream."""
        self._is_recording = True
        self._held_events = bytearray(events)
        attempt.pause()
        self._owner.record_origin(self, attempt, lambda: self._release_events(attempt))
        if self._is_recording:
            self._loop.call_later(RECORDING_PATIENCE_S, lambda: self._on_unrecorded(attempt))

    def _release_events(self, attempt: Attempt) -> bool:
        if not self._is_recording or attempt is not self._attempt or self._is_done:
            return False
        self._is_recording = False
        self.software = attempt.plan.target.registration.software
        self._forward_events(attempt, bytes(self._held_events))
        if self._held_end is attempt:
            self.on_outcome(attempt, Outcome.ANSWERED, "")
        elif not self._connection.is_buffer_full:
            attempt.resume()
        return True

    def _on_unrecorded(self, attempt: Attempt) -> None:
        """Begins the stream at a version that needs no record, if there is one."""
        if not self._is_recording or attempt is not self._attempt or self._is_done:
            return
        if not self._owner.has_recordless_target(self, attempt):
            self._owner.begin_unrecorded(self, attempt)
            self._release_events(attempt)
            return
        self._discard_held_events()
        self._cancel_attempt("software version not recorded in time")
        self._run_count += 1
        self._retry_or_give_up(RefusalReason.OUTCOME_UNKNOWN)

    def _discard_held_events(self) -> None:
        self._is_recording = False
        self._held_events = bytearray()
        self._held_end = None

    def _forward_events(self, attempt: Attempt, events: bytes) -> None:
        if not self._has_begun_response:
            assert attempt.response is not None
            self._has_begun_response = True
            headers = self._dialect.list_response_headers(attempt.response)
            self._connection.begin_stream(attempt.response.status, headers)
        self.last_event_id = attempt.last_event_id
        self._connection.send_data(events)
        if self._connection.is_buffer_full:
            attempt.pause()

    def on_outcome(self, attempt: Attempt, outcome: Outcome, detail: str) -> None:
        """Responds to the caller or tries again."""
        if self._is_recording and attempt is self._attempt:
            if outcome is Outcome.ANSWERED:
                self._held_end = attempt
                return
            self._discard_held_events()
        self._cancel_silence_timer()
        self._record_attempt(attempt, outcome.value, detail)
        self._owner.on_attempt_end(self, attempt, outcome, detail)
        if self._is_done:
            return
        self._attempt = None
        if attempt.may_have_run:
            self._run_count += 1
        if outcome is Outcome.ANSWERED:
            self._deliver_response(attempt)
        elif outcome is Outcome.ERROR:
            self._error_response = attempt.buffered_response
            self._retry_or_give_up(RefusalReason.OUTCOME_UNKNOWN)
        elif outcome in (Outcome.NOT_SENT, Outcome.WITHDRAWN):
            # Nothing reached a target, so this does not count against the retry budget.
            self._send_to_next_target()
        elif outcome in (Outcome.REJECTED, Outcome.MISDIRECTED):
            self._retry_rejected(attempt, outcome)
        else:
            self._retry_or_give_up(RefusalReason.OUTCOME_UNKNOWN)

    def _retry_rejected(self, attempt: Attempt, outcome: Outcome) -> None:
        if outcome is Outcome.MISDIRECTED and attempt.plan.target.id in self.tried_targets:
            # The same target may run the call now that its version is known.
            self.tried_targets.remove(attempt.plan.target.id)
        self._send_to_next_target(RefusalReason.REJECTED_BY_TARGETS)

    def _retry_or_give_up(self, reason: RefusalReason) -> None:
        may_repeat = (
            self.call.route.is_repeatable and self._run_count < self.call.route.max_attempts
        )
        if may_repeat and self.time_left_s > 0:
            self._send_to_next_target(reason)
        else:
            self._give_up(reason)

    def _deliver_response(self, attempt: Attempt) -> None:
        assert attempt.response is not None and attempt.buffered_response is not None
        if self.call.route.kind is CallKind.STREAM:
            if not self._has_begun_response:
                headers = self._dialect.list_response_headers(attempt.response)
                self._connection.begin_stream(attempt.response.status, headers)
            self._connection.end_stream()
        else:
            self._send_response(attempt.buffered_response)
        self._finish("answered")

    def _send_response(self, buffered: BufferedResponse) -> None:
        headers = self._dialect.list_response_headers(buffered.response)
        self._connection.send_response(buffered.response.status, headers, buffered.body)

    def _give_up(self, reason: RefusalReason) -> None:
        """Ends the call with the most specific response that is known to be true."""
        if self._has_begun_response:
            # Closing without the final chunk shows the caller that the stream is incomplete.
            self._connection.close()
            self._finish(f"stream cut: {reason.value}")
        elif self._error_response is not None:
            self._send_response(self._error_response)
            self._finish("target error passed on")
        else:
            if self._run_count > 0 and reason is not RefusalReason.TIMEOUT:
                reason = RefusalReason.OUTCOME_UNKNOWN
            self._refuse(reason)

    def _refuse(self, reason: RefusalReason) -> None:
        has_run = reason in (RefusalReason.OUTCOME_UNKNOWN, RefusalReason.TIMEOUT)
        retry_after = None if has_run else self._retry_after_s
        status, headers, body = self._dialect.build_refusal(reason, self.call.http, retry_after)
        self._connection.send_response(status, headers, body)
        self._finish(f"refused: {reason.value}")

    def _on_deadline(self) -> None:
        attempt = self._attempt
        self._cancel_attempt(DEADLINE)
        if attempt is None and self._run_count == 0:
            self._give_up(RefusalReason.EXPIRED)
        else:
            self._give_up(RefusalReason.TIMEOUT)

    def end_for_stop(self) -> None:
        """Responds at once, because the process ends before the call can."""
        has_attempt = self._attempt is not None
        self._cancel_attempt(PROCESS_ENDS)
        if has_attempt or self._run_count:
            self._give_up(RefusalReason.OUTCOME_UNKNOWN)
        else:
            self._give_up(RefusalReason.STOPPING)

    def check_progress(self) -> None:
        """Ends an attempt whose response has begun but makes no progress; to be called often."""
        if self._attempt is not None and self._attempt.is_stalled():
            self._attempt.abort_stalled()

    def _on_disconnect(self) -> None:
        self._cancel_attempt("caller left")
        self._finish("caller left")

    def _on_drained(self) -> None:
        if self._attempt is not None:
            self._attempt.resume()

    def _start_silence_timer(self, attempt: Attempt) -> None:
        self._cancel_silence_timer()
        route = self.call.route
        if not route.is_repeatable or self._run_count + 1 >= route.max_attempts:
            return
        silence_limit_s = min(
            SILENCE_OBJECTIVE_FACTOR * route.latency_objective_s,
            MAX_SILENCE_SHARE * self.time_left_s,
        )
        self._silence_timer = self._loop.call_later(
            silence_limit_s, lambda: self._on_silence_timeout(attempt)
        )

    def _on_silence_timeout(self, attempt: Attempt) -> None:
        if attempt is not self._attempt or self._is_done:
            return
        seconds_since_response = self._loop.now() - attempt.plan.target.last_response_at
        if self.call.route.kind is CallKind.STREAM and seconds_since_response < MAX_RESPONSE_AGE_S:
            self._start_silence_timer(attempt)
            return
        plan = self._owner.plan_attempt(self)
        if isinstance(plan, PlacementRefusal) or not self._owner.try_retry(self):
            # No other target would respond sooner.
            self._start_silence_timer(attempt)
            return
        self._cancel_attempt(SILENT)
        self._run_count += 1
        self._start_attempt(plan)

    def _cancel_attempt(self, reason: str) -> None:
        attempt, self._attempt = self._attempt, None
        if attempt is None:
            return
        attempt.cancel()
        is_late = reason in (SILENT, DEADLINE)
        attempt.was_unanswered = is_late and attempt.response is None
        self._record_attempt(attempt, "cancelled", reason)
        self._owner.on_attempt_end(self, attempt, Outcome.CANCELLED, reason)

    def _record_attempt(self, attempt: Attempt, outcome: str, detail: str) -> None:
        now = self._loop.now()
        first_event_at = attempt.first_event_at
        steps = [f"{attempt.plan.describe()}:"]
        if first_event_at is not None:
            steps.append(f"first event {round((first_event_at - attempt.started_at) * 1000)} ms,")
        steps.append(f"{outcome} {round((now - attempt.started_at) * 1000)} ms")
        if detail:
            steps.append(f"({detail})")
        self.attempt_history.append(" ".join(steps))

    def _cancel_silence_timer(self) -> None:
        if self._silence_timer is not None:
            self._silence_timer.cancel()
            self._silence_timer = None

    def _finish(self, result: str) -> None:
        if self._is_done:
            return
        self._is_done = True
        self._cancel_silence_timer()
        if self._deadline_timer is not None:
            self._deadline_timer.cancel()
        self._connection.on_disconnect = self._connection.on_drained = None
        self._owner.on_call_end(self, result)
