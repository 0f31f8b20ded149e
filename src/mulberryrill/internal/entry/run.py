"""One call from its arrival to its answer: targets, attempts, retries, resumed streams."""

from dataclasses import dataclass
from typing import Protocol

from ..core.serving.routetable import CallKind, Service
from ..eventloop import EventLoop, Timer
from ..http.caller import InboundConnection
from ..ids import TargetId
from .attempt import Attempt, BufferedResponse, Outcome
from .dialect import AttemptPlan, CallRequest, Dialect, RefusalReason

# Sendings of one call, those included that did not run or did not arrive.
MAX_SENDINGS = 5
# A repeatable call leaves a target that brings no answer after this multiple of the time within
# which an answer has full value, but after this share of the time left at the latest.
SILENCE_OBJECTIVES = 2.0
SILENCE_SHARE = 0.4
# A stream stays with its target while that has sent anything within this time: it is only slow, and
# a second run would add to its load.
RESPONSE_AGE_LIMIT_S = 1.5
# A call that nobody can take now may be served by another instance or a moment later.
RETRY_AFTER_S = 0.3


@dataclass(frozen=True)
class PlacementRefusal:
    """Why no target takes a call now, and when its caller should return."""

    refusal: RefusalReason
    # What decided, for logs.
    detail: str
    retry_after_s: float = RETRY_AFTER_S


class CallHandlerOwner(Protocol):
    """What a run asks of the dispatcher."""

    def choose_service(self, call: CallRequest) -> Service | None:
        """Returns the service for the call."""
        ...

    def plan_attempt(self, run: "CallHandler") -> AttemptPlan | PlacementRefusal:
        """Chooses a target, or tells why none takes the call now."""
        ...

    def send_attempt(self, run: "CallHandler", attempt: Attempt) -> None:
        """Gives the attempt a connection and counts it."""
        ...

    def on_first_output(self, run: "CallHandler", attempt: Attempt) -> None:
        """The target has read the prompt and sent a first event."""
        ...

    def on_attempt_end(
        self, run: "CallHandler", attempt: Attempt, outcome: Outcome, detail: str
    ) -> None:
        """Counts an attempt's end for its target."""
        ...

    def try_retry(self, run: "CallHandler") -> bool:
        """Uses one retry of the service's budget if it allows one."""
        ...

    def on_call_end(self, run: "CallHandler", result: str) -> None:
        """The call has its answer, or its caller left."""
        ...


class CallHandler:
    """Owns one call and its caller's answer."""

    def __init__(
        self,
        loop: EventLoop,
        owner: CallHandlerOwner,
        dialect: Dialect,
        caller: InboundConnection,
        call: CallRequest,
    ) -> None:
        self.call = call
        self.service: Service | None = None
        self.tried: list[TargetId] = []
        self.history: list[str] = []
        self.arrived_at = loop.now()
        limit = call.route.timeout_s
        if call.deadline_s is not None:
            limit = min(limit, call.deadline_s)
        self.ends_at = self.arrived_at + limit
        self.last_event_id = call.last_event_id
        self._loop = loop
        self._owner = owner
        self._dialect = dialect
        self._caller = caller
        self._attempt: Attempt | None = None
        self._runs = 0
        self._sendings = 0
        self._has_begun = False
        self._error: BufferedResponse | None = None
        self._is_done = False
        self._retry_after_s = RETRY_AFTER_S
        self._deadline: Timer | None = None
        self._silence: Timer | None = None

    @property
    def time_left_s(self) -> float:
        """Seconds until the call must have its answer."""
        return self.ends_at - self._loop.now()

    def start(self) -> None:
        """Sends the call to a first target."""
        self._caller.on_disconnect = self._on_gone
        self._caller.on_drained = self._on_drained
        self._deadline = self._loop.call_later(self.time_left_s, self._on_deadline)
        self.service = self._owner.choose_service(self.call)
        self._send()

    def _send(self) -> None:
        if self._sendings >= MAX_SENDINGS:
            self._give_up(RefusalReason.REJECTED_BY_TARGETS)
            return
        plan = self._owner.plan_attempt(self)
        if isinstance(plan, PlacementRefusal):
            self._retry_after_s = plan.retry_after_s
            self.history.append(f"no target: {plan.detail}")
            self._give_up(plan.refusal)
        else:
            self._begin(plan)

    def _begin(self, plan: AttemptPlan) -> None:
        self._sendings += 1
        self.tried.append(plan.target.id)
        attempt = Attempt(self.call, plan, self._dialect, self, self._loop.now())
        self._attempt = attempt
        self._watch_silence(attempt)
        self._owner.send_attempt(self, attempt)

    def on_response_bytes(self, attempt: Attempt) -> None:
        """Notes that the target is alive."""
        attempt.plan.target.last_response_at = self._loop.now()

    def on_events(self, attempt: Attempt, events: bytes) -> None:
        """Passes events of the stream on to the caller."""
        if attempt is not self._attempt:
            return
        self._cancel_silence()
        if not self._has_begun:
            attempt.first_output_at = self._loop.now()
            self._owner.on_first_output(self, attempt)
            assert attempt.response is not None
            self._has_begun = True
            headers = self._dialect.list_response_headers(attempt.response)
            self._caller.begin_stream(attempt.response.status, headers)
        self.last_event_id = attempt.last_event_id
        self._caller.send_data(events)
        if self._caller.is_buffer_full:
            attempt.pause()

    def on_outcome(self, attempt: Attempt, outcome: Outcome, detail: str) -> None:
        """Answers the caller or tries again."""
        self._cancel_silence()
        self._record(attempt, outcome.value, detail)
        self._owner.on_attempt_end(self, attempt, outcome, detail)
        if self._is_done:
            return
        self._attempt = None
        if attempt.may_have_run:
            self._runs += 1
        if outcome is Outcome.ANSWERED:
            self._deliver(attempt)
        elif outcome is Outcome.ERROR:
            self._error = attempt.answer
            self._retry_or(RefusalReason.OUTCOME_UNKNOWN)
        elif outcome is Outcome.NOT_SENT:
            # Nothing arrived at a target, so this is no retry for the budget.
            self._send()
        elif outcome in (Outcome.REJECTED, Outcome.MISDIRECTED):
            self._retry_rejected(attempt, outcome)
        else:
            self._retry_or(RefusalReason.OUTCOME_UNKNOWN)

    def _retry_rejected(self, attempt: Attempt, outcome: Outcome) -> None:
        if outcome is Outcome.MISDIRECTED and attempt.plan.target.id in self.tried:
            # The target itself may take the call once its version is known.
            self.tried.remove(attempt.plan.target.id)
        if self._owner.try_retry(self):
            self._send()
        else:
            self._give_up(RefusalReason.REJECTED_BY_TARGETS)

    def _retry_or(self, refusal: RefusalReason) -> None:
        may_repeat = self.call.route.is_repeatable and self._runs < self.call.route.max_attempts
        if may_repeat and self.time_left_s > 0 and self._owner.try_retry(self):
            self._send()
        else:
            self._give_up(refusal)

    def _deliver(self, attempt: Attempt) -> None:
        assert attempt.response is not None and attempt.answer is not None
        if self.call.route.kind is CallKind.STREAM:
            if not self._has_begun:
                headers = self._dialect.list_response_headers(attempt.response)
                self._caller.begin_stream(attempt.response.status, headers)
            self._caller.end_stream()
        else:
            self._answer(attempt.answer)
        self._finish("answered")

    def _answer(self, answer: BufferedResponse) -> None:
        headers = self._dialect.list_response_headers(answer.response)
        self._caller.send_response(answer.response.status, headers, answer.body)

    def _give_up(self, refusal: RefusalReason) -> None:
        """Ends the call with the best answer that is true."""
        if self._has_begun:
            # The stream cannot be completed; closing shows that without its end mark.
            self._caller.close()
            self._finish(f"stream cut: {refusal.value}")
        elif self._error is not None:
            self._answer(self._error)
            self._finish("target error passed on")
        else:
            if self._runs > 0 and refusal is not RefusalReason.TIMEOUT:
                refusal = RefusalReason.OUTCOME_UNKNOWN
            self._refuse(refusal)

    def _refuse(self, refusal: RefusalReason) -> None:
        has_run = refusal in (RefusalReason.OUTCOME_UNKNOWN, RefusalReason.TIMEOUT)
        retry_after = None if has_run else self._retry_after_s
        status, headers, body = self._dialect.build_refusal(refusal, self.call.http, retry_after)
        self._caller.send_response(status, headers, body)
        self._finish(f"refused: {refusal.value}")

    def _on_deadline(self) -> None:
        attempt = self._attempt
        self._drop_attempt("deadline")
        if attempt is None and self._runs == 0:
            self._give_up(RefusalReason.EXPIRED)
        else:
            self._give_up(RefusalReason.TIMEOUT)

    def _on_gone(self) -> None:
        self._drop_attempt("caller left")
        self._finish("caller left")

    def _on_drained(self) -> None:
        if self._attempt is not None:
            self._attempt.resume()

    def _watch_silence(self, attempt: Attempt) -> None:
        self._cancel_silence()
        route = self.call.route
        if not route.is_repeatable or self._runs + 1 >= route.max_attempts:
            return
        delay = min(
            SILENCE_OBJECTIVES * route.latency_objective_s, SILENCE_SHARE * self.time_left_s
        )
        self._silence = self._loop.call_later(delay, lambda: self._on_silence(attempt))

    def _on_silence(self, attempt: Attempt) -> None:
        if attempt is not self._attempt or self._is_done:
            return
        response_age = self._loop.now() - attempt.plan.target.last_response_at
        if self.call.route.kind is CallKind.STREAM and response_age < RESPONSE_AGE_LIMIT_S:
            self._watch_silence(attempt)
            return
        plan = self._owner.plan_attempt(self)
        if isinstance(plan, PlacementRefusal) or not self._owner.try_retry(self):
            # Nobody else would answer sooner.
            self._watch_silence(attempt)
            return
        self._drop_attempt("silent")
        self._runs += 1
        self._begin(plan)

    def _drop_attempt(self, reason: str) -> None:
        attempt, self._attempt = self._attempt, None
        if attempt is None:
            return
        attempt.cancel()
        self._record(attempt, "cancelled", reason)
        self._owner.on_attempt_end(self, attempt, Outcome.CANCELLED, reason)

    def _record(self, attempt: Attempt, outcome: str, detail: str) -> None:
        now = self._loop.now()
        first = attempt.first_output_at
        steps = [f"{attempt.plan.describe()}:"]
        if first is not None:
            steps.append(f"first event {round((first - attempt.started_at) * 1000)} ms,")
        steps.append(f"{outcome} {round((now - attempt.started_at) * 1000)} ms")
        if detail:
            steps.append(f"({detail})")
        self.history.append(" ".join(steps))

    def _cancel_silence(self) -> None:
        if self._silence is not None:
            self._silence.cancel()
            self._silence = None

    def _finish(self, result: str) -> None:
        if self._is_done:
            return
        self._is_done = True
        self._cancel_silence()
        if self._deadline is not None:
            self._deadline.cancel()
        self._caller.on_disconnect = self._caller.on_drained = None
        self._owner.on_call_end(self, result)
