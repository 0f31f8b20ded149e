"""Takes each call from its arrival to its answer: claim, queue, attempts, retries and resumes."""

import logging
import random
from collections import Counter
from dataclasses import dataclass, replace

from ..clock import Clock
from ..core.admission import Admission, CustomerLimits, share_limits
from ..core.cachekeys import list_block_keys
from ..core.messages import Choice, QueueItem, RoutingRequest, TargetState
from ..core.quarantine import Quarantine
from ..core.retries import RetryBudget
from ..core.routing import Router
from ..core.slots import GatewaySlots
from ..core.snapshot import EntryMember, Snapshot
from ..events import Event
from ..ids import AttemptId, Executed, InstanceId, RequestId, ServiceName, TargetId, create_id
from ..logs import log_event
from ..schema.wire_pb2 import GRANTED, AttemptTrace, ClaimReply, Envelope, GrantUpdate
from . import failures
from .answerer import Answerer
from .answers import Failure
from .attempts import Attempt, AttemptResult, ResultKind
from .call import Call, CallState
from .claimdesk import ClaimDesk, build_refusal, can_abandon, create_unavailable
from .forwarding import Forward, has_usable_target, is_usable, list_forward_entries
from .history import GatewayHistory
from .loop import RelayLoop
from .messages import SendMessage
from .metrics import GatewayMetrics
from .options import GatewayOptions
from .suspects import CrashSuspects

TICK_S = 0.1
REPORT_INTERVAL_S = 0.2
# Slots end 2 s after the last grant. A gateway without its control process then sends repeatable
# calls to a sibling, instead of letting them wait until their deadline.
CONTROL_SILENCE_S = 2.0
MAX_ATTEMPTS = 5
# Attempts that broke a connection before any output; the request may be what crashes targets.
MAX_BREAKS = 2
# Time after which a target that failed this request may be tried again if no other is free.
SAME_TARGET_DELAY_S = 0.2
# A broken stream waits this long for a target that can continue it.
RESUME_WAIT_S = 10.0
# A call that may not be repeated runs on this long after its caller was told that it is unknown.
MAX_RUN_S = 3600.0
MAX_FORWARD_TRIES = 3
BYTES_PER_TOKEN = 4
_RESUMABLE = frozenset(
    {
        ResultKind.BROKEN,
        ResultKind.INTERRUPTED,
        ResultKind.STALLED,
        ResultKind.REJECTED,
        ResultKind.REFUSED,
        ResultKind.MISMATCHED,
    }
)
# Results after which a target gets less load, because it refused or reset the call or hangs.
_FAILED_TARGET = frozenset({ResultKind.REJECTED, ResultKind.REFUSED, ResultKind.BROKEN})
_LOST_TARGET = frozenset({ResultKind.REFUSED, ResultKind.BROKEN})
_LOGGER = logging.getLogger(__name__)


@dataclass(frozen=True)
class DecisionParts:
    """The core's classes that the dispatcher owns."""

    router: Router
    slots: GatewaySlots
    admission: Admission
    quarantine: Quarantine
    # Key of the cache block keys.
    block_secret: bytes


class Dispatcher:
    """Owns all calls of a gateway. Runs on the relay loop's thread."""

    def __init__(
        self,
        loop: RelayLoop,
        clock: Clock,
        options: GatewayOptions,
        parts: DecisionParts,
        history: GatewayHistory,
        metrics: GatewayMetrics,
        send: SendMessage,
    ) -> None:
        self._loop = loop
        self._clock = clock
        self._options = options
        self._parts = parts
        self._history = history
        self._metrics = metrics
        self._send = send
        self._answerer = Answerer(clock, history, metrics, send)
        self._claims = ClaimDesk(options.instance, send)
        self._suspects = CrashSuspects(parts.quarantine, send)
        self._random = random.Random(options.settings.seed)
        self._snapshot = Snapshot()
        self._control_heard = loop.now()
        self._calls: dict[RequestId, Call] = {}
        self._runs: dict[Call, Attempt | Forward] = {}
        self._retrying: list[Call] = []
        self._full_groups: set[tuple[str, str, str]] = set()
        self._budgets: dict[ServiceName, RetryBudget] = {}
        self._is_pump_due = False
        self._is_report_due = False

    @property
    def running(self) -> int:
        """Calls that have not ended."""
        return len(self._calls)

    def start(self) -> None:
        """Starts the periodic work; called before the loop starts."""
        self._loop.call_every(TICK_S, self._tick)
        self._loop.call_every(REPORT_INTERVAL_S, self._report)

    def submit(self, call: Call) -> None:
        """Takes over a call and its caller's connection."""
        request = call.request
        call.caller.on_gone = lambda: self._on_gone(call)
        call.caller.on_drained = lambda: self._on_drained(call)
        call.caller.start()
        self._history.write(
            "call",
            request=request.request_id,
            customer=request.customer.name,
            service=request.config.name,
            key=request.key,
            repeatable=request.repeatable,
        )
        if request.request_id in self._calls:
            self._answerer.give_failure(call, failures.create_duplicate())
            return
        self._calls[request.request_id] = call
        self._metrics.running.set(len(self._calls))
        self._find_budget(call).record_request()
        self._accept(call)

    def on_snapshot(self, snapshot: Snapshot) -> None:
        """Uses a new snapshot from now on."""
        self._snapshot = snapshot
        now = self._loop.now()
        for entry in snapshot.quarantine:
            self._parts.quarantine.adopt(entry)
        for target in snapshot.targets.values():
            self._suspects.on_seen(target, now, self._unix_ms())
        self._request_pump()

    def on_grant(self, grant: GrantUpdate) -> None:
        """Uses new slots."""
        self._control_heard = self._loop.now()
        self._parts.slots.update(grant)
        self._request_pump()

    def on_claim_reply(self, reply: ClaimReply) -> None:
        """Continues the call that waits for its claim."""
        call = self._claims.on_reply(reply)
        if call is None:
            return
        if reply.status == GRANTED:
            self._enqueue(call)
            return
        call.claim = None
        refusal = build_refusal(reply)
        if isinstance(refusal, Failure):
            self._fail(call, refusal)
        else:
            self._answerer.give_answer(call, refusal)
            self._end(call)

    def _accept(self, call: Call) -> None:
        now_ms = self._unix_ms()
        held = self._suspects.is_held(call.fingerprint, self._loop.now())
        if held or self._parts.quarantine.is_quarantined(call.fingerprint, now_ms):
            self._fail(call, failures.create_quarantined())
        elif self._must_leave(call):
            self._leave(call)
        elif call.request.repeatable:
            self._enqueue(call)
        else:
            call.state = CallState.CLAIMING
            if not self._claims.request(call, self._loop.now()):
                self._fail(call, create_unavailable())

    def _must_leave(self, call: Call) -> bool:
        """Tells whether the call cannot run in this data centre."""
        own = self._options.data_centre
        if own in self._snapshot.drained:
            return True
        if call.request.hops:
            return False
        has_slots = call.claim is not None or not self._has_lost_control()
        if has_slots and has_usable_target(self._snapshot, own, call):
            return False
        return bool(self._list_entries(call))

    def _has_lost_control(self) -> bool:
        """Tells whether the control process is silent, so that the slots have ended."""
        return self._loop.now() - self._control_heard > CONTROL_SILENCE_S

    def _list_entries(self, call: Call) -> list[EntryMember]:
        options = self._options
        sibling_of = InstanceId(options.settings.instance) if self._has_lost_control() else None
        return list_forward_entries(
            self._snapshot, options.data_centre, call, self._random, sibling_of
        )

    def _leave(self, call: Call) -> None:
        """Forwards a call that has not been sent anywhere, or refuses it as not run."""
        if call.claim is not None or call.request.hops:
            self._fail_drained(call)
            return
        call.entries = self._list_entries(call)[:MAX_FORWARD_TRIES]
        self._forward(call)

    def _forward(self, call: Call) -> None:
        if not call.entries:
            self._fail_drained(call)
            return
        entry = call.entries.pop(0)
        options = self._options
        forward = Forward(
            self._loop,
            self,
            call,
            entry,
            options.connect_timeout_ms,
            options.settings.peer_ca_file,
        )
        call.state = CallState.RUNNING
        call.attempts += 1
        call.last_attempt = AttemptId(create_id("fwd"))
        call.tracker.on_start(call.last_attempt)
        call.traces.append(
            AttemptTrace(
                attempt_id=call.last_attempt,
                target=entry.instance,
                reason=f"forwarded to data centre {entry.data_centre}",
                started_s=self._loop.now() - call.received,
            )
        )
        self._metrics.forwarded.labels(call.request.config.name, entry.data_centre).inc()
        log_event(
            _LOGGER,
            logging.INFO,
            Event.GATEWAY_CALL_FORWARDED,
            f"forwarded to {entry.instance} in {entry.data_centre}",
            request=call.request.request_id,
        )
        self._runs[call] = forward
        forward.start()

    def on_forward_start(self, forward: Forward, status: int, headers: dict[str, str]) -> None:
        """Begins the caller's answer with the other gateway's status and headers."""
        call = forward.call
        call.tracker.on_answer(call.last_attempt)
        if forward.is_stream:
            return
        if call.caller.started:
            forward.stop(f"status {status} instead of the rest of the stream")
        elif not call.answered:
            call.caller.start_stream(status, headers)

    def on_forward_data(self, forward: Forward, data: bytes) -> None:
        """Relays bytes of the answer."""
        if forward.is_stream:
            self._relay(forward.call, forward, data)
        elif not forward.call.answered:
            forward.call.caller.write(data)
            self._limit_buffer(forward.call, forward)

    def on_forward_end(self, forward: Forward, error: str, sent: bool) -> None:
        """Ends the call, or tries another gateway if nothing was sent."""
        call = forward.call
        self._runs.pop(call, None)
        call.traces[-1].result = error or "complete"
        call.traces[-1].ended_s = self._loop.now() - call.received
        if sent and not forward.has_answer:
            call.tracker.on_bytes_sent(call.last_attempt)
        if call.answered:
            self._end(call)
        elif not error:
            self._finish_forward(call, forward)
        elif self._finish_cut_stream(call):
            pass
        elif call.progress.tokens:
            result = AttemptResult(ResultKind.BROKEN, error, sent)
            self._resume(call, result, self._loop.now())
        elif not sent or self._may_forward_again(call):
            self._forward(call)
        else:
            self._fail(call, failures.create_forward_failed(call, error))

    def _may_forward_again(self, call: Call) -> bool:
        is_possible = not call.caller.started and self._may_retry(call, self._loop.now())
        return is_possible and self._find_budget(call).try_retry()

    def _finish_forward(self, call: Call, forward: Forward) -> None:
        if forward.is_stream:
            self._answerer.finish_stream(call)
        else:
            executed = Executed.UNKNOWN if forward.status >= 400 else Executed.YES
            self._answerer.finish_forward(call, forward.status, executed)
        self._end(call)

    def _finish_cut_stream(self, call: Call) -> bool:
        """Completes a stream of which only the end mark is missing."""
        if not call.caller.started or not _has_all_tokens(call):
            return False
        self._answerer.stream(call, b"data: [DONE]\n\n")
        self._answerer.finish_stream(call)
        self._end(call)
        return True

    def _enqueue(self, call: Call) -> None:
        now = self._loop.now()
        request = call.request
        call.routing = self._build_routing(call)
        call.item = QueueItem(call.routing, call.received, call.deadline)
        customer = request.customer
        limits = CustomerLimits(customer.requests_per_second, customer.concurrent, customer.weight)
        share = share_limits(limits, self._snapshot.live_instances)
        refusal = self._parts.admission.admit(call.item, share, now)
        if refusal is not None:
            call.item = None
            self._fail(call, failures.create_refused(refusal))
            return
        call.state = CallState.QUEUED
        self._request_pump()

    def _build_routing(self, call: Call) -> RoutingRequest:
        request = call.request
        keys: tuple[bytes, ...] = ()
        if request.is_model:
            customer = f"{request.config.name}/{request.customer.name}"
            keys = list_block_keys(
                self._parts.block_secret, customer, request.model, request.version, request.prompt
            )
        return RoutingRequest(
            request_id=request.request_id,
            service=request.config.name,
            customer=request.customer.name,
            pool=request.config.pool,
            model=request.model,
            version=request.version,
            block_keys=keys,
            prompt_tokens=max(1, len(request.prompt) // BYTES_PER_TOKEN),
            priority=request.config.priority,
            weights=request.config.weights,
        )

    def _request_pump(self) -> None:
        if not self._is_pump_due:
            self._is_pump_due = True
            self._loop.call_soon(self._pump)

    def _pump(self) -> None:
        """Starts every call that can start now."""
        self._is_pump_due = False
        now = self._loop.now()
        self._start_retries(now)
        while (item := self._parts.admission.pop(self._can_start, now)) is not None:
            call = self._calls.get(item.request.request_id)
            if call is None:
                self._parts.admission.finish(item)
            elif self._must_leave(call):
                self._release_item(call)
                self._leave(call)
            elif not self._start(call, self._choose(call, frozenset())):
                self._retry_later(call, call.deadline)
        self._full_groups.clear()

    def _can_start(self, item: QueueItem) -> bool:
        """Tells whether some target could take the call now.

        Starting calls only uses up slots, so a group of calls without a free target stays so until
        the end of the pump, and a long queue is not compared with every target again and again.
        """
        call = self._calls.get(item.request.request_id)
        if call is None:
            return True
        group = _get_group(call)
        if group in self._full_groups:
            return False
        now = self._loop.now()
        has_free = any(
            is_usable(target, call) and self._parts.slots.count_free(target, now) > 0
            for target in self._list_own_targets()
        )
        if has_free or self._must_leave(call):
            return True
        self._full_groups.add(group)
        return False

    def _choose(self, call: Call, excluded: frozenset[TargetId]) -> Choice:
        assert call.routing is not None
        now = self._loop.now()
        targets = self._list_own_targets()
        routing = replace(call.routing, excluded=excluded)
        slots = self._parts.slots
        return self._parts.router.choose(
            routing, targets, lambda target: slots.count_free(target, now), now
        )

    def _start_retries(self, now: float) -> None:
        waiting, self._retrying = self._retrying, []
        for call in waiting:
            if call.state is not CallState.RETRYING:
                continue
            if now > call.retry_until:
                self._fail(call, failures.create_no_target(call))
            elif self._must_leave(call):
                self._leave_again(call)
            elif not self._start(call, self._choose_again(call, now)):
                self._retrying.append(call)

    def _leave_again(self, call: Call) -> None:
        """Continues in another data centre after a failed attempt, if that is safe."""
        if call.request.repeatable or call.tracker.executed is Executed.NO:
            self._leave(call)
        else:
            self._fail_drained(call)

    def _fail_drained(self, call: Call) -> None:
        if call.progress.tokens and call.caller.started:
            self._fail(call, failures.create_stream_incomplete(call, None))
        else:
            self._fail(call, failures.create_drained(call.tracker.executed))

    def _choose_again(self, call: Call, now: float) -> Choice:
        """Prefers targets that have not failed this call."""
        choice = self._choose(call, frozenset(call.tried))
        is_due = now - call.last_failure >= SAME_TARGET_DELAY_S
        if choice.target is None and call.tried and is_due:
            return self._choose(call, frozenset())
        return choice

    def _retry_later(self, call: Call, until: float) -> None:
        call.state = CallState.RETRYING
        call.retry_until = until
        self._retrying.append(call)
        self._request_pump()

    def _start(self, call: Call, choice: Choice) -> bool:
        """Sends the call to the chosen target if a slot is free."""
        now = self._loop.now()
        target = choice.target
        if target is None or not self._parts.slots.acquire(target, now):
            return False
        assert call.routing is not None
        attempt_id = AttemptId(create_id("att"))
        attempt = Attempt(
            self._loop, self, call, target, attempt_id, self._options.connect_timeout_ms
        )
        call.state = CallState.RUNNING
        call.attempts += 1
        call.last_attempt = attempt_id
        call.tracker.on_start(attempt_id)
        if call.dispatched is None:
            call.dispatched = now
            histogram = self._metrics.added_latency(call.request.config.name)
            histogram.record(now - call.received)
        self._parts.router.record_start(call.routing, target, now)
        self._runs[call] = attempt
        call.traces.append(
            AttemptTrace(
                attempt_id=attempt_id,
                target=target.target,
                reason=choice.reason,
                started_s=now - call.received,
            )
        )
        self._history.write(
            "dispatch",
            attempt=attempt_id,
            request=call.request.request_id,
            target=target.target,
            incarnation=target.incarnation,
            data_centre=target.data_centre,
        )
        attempt.start()
        return True

    def on_stream_data(self, attempt: Attempt, data: bytes) -> None:
        """Relays verified events."""
        attempt.call.tracker.on_answer(attempt.attempt_id)
        self._relay(attempt.call, attempt, data)

    def _relay(self, call: Call, run: Attempt | Forward, data: bytes) -> None:
        if call.first_token is None and call.progress.tokens:
            call.first_token = self._loop.now()
            histogram = self._metrics.first_token(call.request.config.name)
            histogram.record(call.first_token - call.received)
        if not call.answered:
            self._answerer.stream(call, data)
            self._limit_buffer(call, run)

    def _limit_buffer(self, call: Call, run: Attempt | Forward) -> None:
        if call.caller.buffered > self._options.relay_buffer_bytes:
            run.pause()

    def on_result(self, attempt: Attempt, result: AttemptResult) -> None:
        """Ends one attempt, then its call or the next attempt."""
        call = attempt.call
        self._runs.pop(call, None)
        self._track(call, attempt, result)
        self._trace(call, attempt, result)
        self._free(attempt, result.kind not in _FAILED_TARGET)
        self._judge_target(call, attempt, result)
        if result.kind is ResultKind.COMPLETE:
            self._complete(call, result)
        else:
            self._recover(call, result)
        self._request_pump()

    def _track(self, call: Call, attempt: Attempt, result: AttemptResult) -> None:
        if result.kind is ResultKind.COMPLETE:
            call.tracker.on_answer(attempt.attempt_id)
        elif result.kind is ResultKind.REJECTED:
            call.tracker.on_rejected(attempt.attempt_id)
        elif result.sent:
            call.tracker.on_bytes_sent(attempt.attempt_id)

    def _trace(self, call: Call, attempt: Attempt, result: AttemptResult) -> None:
        self._metrics.attempts.labels(call.request.config.name, result.kind.value).inc()
        trace = call.traces[-1]
        trace.result = f"{result.kind.value}: {result.detail}" if result.detail else "complete"
        trace.ended_s = self._loop.now() - call.received
        if attempt.first_byte is not None:
            trace.first_byte_s = attempt.first_byte - call.received
        trace.prompt_tokens = call.progress.prompt_tokens
        trace.cached_tokens = call.progress.cached_tokens
        if result.kind in (ResultKind.MISMATCHED, ResultKind.INVALID):
            log_event(
                _LOGGER,
                logging.WARNING,
                Event.GATEWAY_ANSWER_DROPPED,
                result.detail,
                request=call.request.request_id,
                attempt=attempt.attempt_id,
                target=attempt.target.target,
            )

    def _free(self, attempt: Attempt, succeeded: bool) -> None:
        call = attempt.call
        assert call.routing is not None
        now = self._loop.now()
        self._parts.slots.release(attempt.target.target, succeeded)
        first = attempt.first_byte
        first_s = first - attempt.started if first is not None else None
        self._parts.router.record_end(
            call.routing, attempt.target, call.progress.cached_tokens, first_s, now
        )

    def _judge_target(self, call: Call, attempt: Attempt, result: AttemptResult) -> None:
        """Draws conclusions about the target from how an attempt ended."""
        target = attempt.target
        now, now_ms = self._loop.now(), self._unix_ms()
        restarted = attempt.incarnation != target.incarnation
        if result.kind is ResultKind.BROKEN and not call.progress.tokens:
            call.breaks += 1
            self._suspects.add(call.fingerprint, target.target, attempt.incarnation, now)
        if result.kind is ResultKind.REFUSED:
            self._suspects.on_gone(target.target, now, now_ms)
        if restarted:
            seen = replace(target, incarnation=attempt.incarnation)
            self._suspects.on_seen(seen, now, now_ms)
        if result.kind in _LOST_TARGET or restarted:
            self._parts.slots.drop(target.target)
            log_event(
                _LOGGER,
                logging.WARNING,
                Event.GATEWAY_TARGET_LOST,
                "restarted" if restarted else result.detail,
                target=target.target,
            )
            self._request_report()

    def _complete(self, call: Call, result: AttemptResult) -> None:
        name = call.request.config.name
        if call.request.is_model:
            progress = call.progress
            self._metrics.tokens.labels(name).inc(progress.tokens)
            cached = progress.cached_tokens
            self._metrics.prompt_tokens.labels(name, "cached").inc(cached)
            computed = max(0, progress.prompt_tokens - cached)
            self._metrics.prompt_tokens.labels(name, "computed").inc(computed)
        if result.answer is None:
            if not call.answered:
                self._answerer.finish_stream(call)
            self._end(call)
            return
        if call.claim is not None:
            self._claims.report(call.claim, result.answer)
        self._answerer.give_answer(call, result.answer)
        self._end(call)

    def _recover(self, call: Call, result: AttemptResult) -> None:
        """Tries again if that is safe and useful, or gives the caller an error."""
        now = self._loop.now()
        call.last_failure = now
        assert isinstance(call.traces[-1], AttemptTrace)
        call.tried.add(TargetId(call.traces[-1].target))
        if call.answered:
            self._end(call)
        elif self._finish_cut_stream(call):
            pass
        elif call.progress.tokens:
            self._resume(call, result, now)
        elif self._may_retry(call, now) and self._find_budget(call).try_retry():
            self._retry_later(call, call.deadline)
        else:
            self._fail(call, failures.create_attempt_failed(call, result))

    def _may_retry(self, call: Call, now: float) -> bool:
        is_safe = call.request.repeatable or call.tracker.executed is Executed.NO
        has_tries = call.attempts < MAX_ATTEMPTS and call.breaks < MAX_BREAKS
        return is_safe and has_tries and now < call.deadline

    def _resume(self, call: Call, result: AttemptResult, now: float) -> None:
        can_resume = (
            result.kind in _RESUMABLE
            and call.progress.resumable
            and not call.progress.finish_reason
            and call.attempts < MAX_ATTEMPTS
            and self._find_budget(call).try_retry()
        )
        event = Event.GATEWAY_STREAM_RESUMED if can_resume else Event.GATEWAY_STREAM_INCOMPLETE
        log_event(
            _LOGGER,
            logging.WARNING,
            event,
            f"after {call.progress.tokens} tokens: {result.detail}",
            request=call.request.request_id,
        )
        if can_resume:
            self._metrics.resumed.labels(call.request.config.name).inc()
            self._retry_later(call, now + RESUME_WAIT_S)
        else:
            self._fail(call, failures.create_stream_incomplete(call, result))

    def _fail(self, call: Call, failure: Failure) -> None:
        self._answerer.give_failure(call, failure)
        self._end(call)

    def _end(self, call: Call) -> None:
        """Releases everything that belongs to a call."""
        if call.state is CallState.CLAIMING:
            self._claims.give_up(call)
        call.state = CallState.DONE
        if call.claim is not None and can_abandon(call.tracker):
            log_event(
                _LOGGER,
                logging.INFO,
                Event.GATEWAY_CLAIM_ABANDONED,
                "a granted claim was not used",
                request=call.request.request_id,
            )
            self._claims.abandon(call.claim)
            call.claim = None
        self._release_item(call)
        if self._calls.get(call.request.request_id) is call:
            del self._calls[call.request.request_id]
        self._metrics.running.set(len(self._calls))

    def _release_item(self, call: Call) -> None:
        if call.item is not None:
            self._parts.admission.finish(call.item)
            call.item = None

    def _on_gone(self, call: Call) -> None:
        """The caller closed its connection."""
        if call.state is CallState.DONE:
            return
        run = self._runs.get(call)
        if run is not None and run.sent:
            call.tracker.on_bytes_sent(call.last_attempt)
        self._answerer.lose_caller(call, call.tracker.executed)
        if run is not None and not call.request.repeatable and isinstance(run, Attempt):
            return  # The run goes on, so that its outcome can be recorded for a repeat.
        if run is not None:
            self._cancel(call, run)
        self._end(call)
        self._request_pump()

    def _cancel(self, call: Call, run: Attempt | Forward) -> None:
        run.cancel()
        self._runs.pop(call, None)
        if isinstance(run, Attempt):
            # That the caller left says nothing against the target.
            self._free(run, True)

    def _on_drained(self, call: Call) -> None:
        run = self._runs.get(call)
        if run is not None:
            run.resume()

    def _tick(self) -> None:
        now = self._loop.now()
        for item in self._parts.admission.expire(now):
            call = self._calls.get(item.request.request_id)
            if call is not None and call.item is item:
                call.item = None
                self._fail(call, failures.create_expired())
        for call in list(self._calls.values()):
            self._check(call, now)
        self._suspects.expire(now)
        self._claims.forget_old(now)
        self._request_pump()

    def _check(self, call: Call, now: float) -> None:
        if not call.answered and call.caller.is_stuck(now):
            call.caller.close()
            self._on_gone(call)
            return
        if call.state is CallState.CLAIMING and now > call.deadline:
            self._fail(call, create_unavailable())
            return
        run = self._runs.get(call)
        if run is None:
            return
        limit = self._options.progress_timeout_s
        if isinstance(run, Forward):
            until = run.started + RESUME_WAIT_S if call.progress.tokens else call.deadline
            if run.is_stalled(now, limit) or (not run.has_answer and now > until):
                run.stop("no progress")
        elif run.is_stalled(now, limit):
            run.stop(ResultKind.STALLED, f"no progress for {limit:g} s")
        elif run.first_byte is None:
            self._check_start(call, run, now)

    def _check_start(self, call: Call, run: Attempt, now: float) -> None:
        """Ends a run whose answer has not begun in time."""
        if call.progress.tokens:
            if now - run.started > RESUME_WAIT_S:
                run.stop(ResultKind.STALLED, "no answer to the resumed run")
        elif call.request.repeatable:
            if now > call.deadline:
                run.stop(ResultKind.STALLED, "no answer before the deadline")
        elif not call.answered and now > call.deadline:
            if run.sent:
                call.tracker.on_bytes_sent(run.attempt_id)
            self._answerer.give_failure(call, failures.create_still_running(call))
        elif now - run.started > MAX_RUN_S:
            run.stop(ResultKind.STALLED, "no answer")

    def _report(self) -> None:
        """Reports use and demand to the control process."""
        self._is_report_due = False
        report = self._parts.slots.report(
            self._options.gateway, self._count_demand(), self._loop.now()
        )
        self._send(Envelope(gateway_report=report))

    def _request_report(self) -> None:
        if not self._is_report_due:
            self._is_report_due = True
            self._loop.call_soon(self._report)

    def _count_demand(self) -> dict[TargetId, int]:
        """Counts for each target here the calls that wait and that it could run."""
        waiting = (CallState.QUEUED, CallState.RETRYING)
        groups: Counter[tuple[str, str, str]] = Counter()
        examples: dict[tuple[str, str, str], Call] = {}
        for call in self._calls.values():
            if call.state in waiting:
                group = _get_group(call)
                groups[group] += 1
                examples[group] = call
        demand: Counter[TargetId] = Counter()
        for target in self._list_own_targets():
            for group, count in groups.items():
                if is_usable(target, examples[group]):
                    demand[target.target] += count
        return dict(demand)

    def _list_own_targets(self) -> list[TargetState]:
        own = self._options.data_centre
        return [t for t in self._snapshot.targets.values() if t.data_centre == own]

    def _find_budget(self, call: Call) -> RetryBudget:
        return self._budgets.setdefault(call.request.config.name, RetryBudget())

    def _unix_ms(self) -> int:
        return round(self._clock.wall() * 1000)


def _has_all_tokens(call: Call) -> bool:
    """Tells whether the caller has the complete output of a stream that ended early."""
    progress = call.progress
    is_cut_to_length = progress.finish_reason == "length"
    return progress.verified or (
        is_cut_to_length and progress.tokens == call.request.content.get("max_tokens")
    )


def _get_group(call: Call) -> tuple[str, str, str]:
    """Returns what decides which targets can run a call."""
    return (call.request.config.pool, call.request.model, call.request.version)
