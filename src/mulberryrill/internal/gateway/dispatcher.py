"""The life cycle of calls in a gateway: claim, queue, attempts, retries, resumption, forwarding."""

import logging
from dataclasses import dataclass, replace

from ..clock import Clock
from ..core.admission import AdmissionQueue, CustomerLimits, divide_limits
from ..core.cachekeys import compute_block_keys
from ..core.messages import QueueItem, RoutingRequest
from ..core.quarantine import Quarantine
from ..core.retries import RetryBudget
from ..core.routing import Router
from ..core.slots import GatewaySlots
from ..core.snapshot import Snapshot
from ..events import Event
from ..ids import AttemptId, Executed, RequestId, ServiceName, TargetId, create_id
from ..logs import log_event
from ..schema.wire_pb2 import GRANTED, IN_PROGRESS, AttemptTrace, ClaimReply, GrantUpdate
from . import failures
from .answerer import Responder
from .answers import ErrorResponse
from .attempts import Attempt, AttemptResult, ResultKind
from .call import Call, CallState
from .forwarding import ForwardExchange
from .history import GatewayHistory
from .loop import RelayLoop
from .messages import SendMessage
from .metrics import GatewayMetrics
from .options import GatewayOptions
from .pendingclaims import (
    PendingClaims,
    build_claim_response,
    can_abandon,
    create_claims_unavailable,
)
from .stores import PromptBlocks, StorePool, can_use_stores
from .targets import TargetPool

TICK_INTERVAL_S = 0.1
REPORT_INTERVAL_S = 0.2
# Id for all attempts that another gateway made before it forwarded the call.
EARLIER_ATTEMPT = AttemptId("earlier")
MAX_ATTEMPTS = 5
# Limit of attempts whose connection broke before any output: the request may crash its targets.
MAX_BROKEN_ATTEMPTS = 2
# Time for a broken stream to find a target, and for the response of that target to begin.
RESUME_TIMEOUT_S = 10.0
# Limit of a call that is not repeatable; it runs on after its caller was sent a 504.
MAX_RUN_S = 3600.0
MAX_FORWARD_ATTEMPTS = 3
# While an earlier call with the same Idempotency-Key runs, its outcome is polled.
OUTCOME_POLL_INTERVAL_S = 0.2
# Polling ends this long before the deadline, to leave time for the response.
OUTCOME_MARGIN_S = 0.3
# For estimates of prompt lengths.
BYTES_PER_TOKEN = 4
POLICY_WITH_STORES = "full"
_RESUMABLE_KINDS = frozenset(
    {
        ResultKind.BROKEN,
        ResultKind.INTERRUPTED,
        ResultKind.STALLED,
        ResultKind.REJECTED,
        ResultKind.REFUSED,
        ResultKind.MISMATCHED,
    }
)
_LOGGER = logging.getLogger(__name__)


@dataclass(frozen=True)
class CoreComponents:
    """Objects of the core package that a dispatcher uses."""

    router: Router
    slots: GatewaySlots
    admission: AdmissionQueue
    quarantine: Quarantine
    # Secret from which cache block keys are computed.
    block_secret: bytes


class Dispatcher:
    """Owns all calls of a gateway. Runs on the relay loop's thread."""

    def __init__(
        self,
        loop: RelayLoop,
        clock: Clock,
        options: GatewayOptions,
        core: CoreComponents,
        history: GatewayHistory,
        metrics: GatewayMetrics,
        send: SendMessage,
    ) -> None:
        self._loop = loop
        self._options = options
        self._admission = core.admission
        self._block_secret = core.block_secret
        self._history = history
        self._metrics = metrics
        self._responder = Responder(clock, history, metrics, send)
        self._claims = PendingClaims(options.instance, send)
        self._targets = TargetPool(clock, options, core.router, core.slots, core.quarantine, send)
        # The other policies do not consider imports, so lookups would only add latency.
        link_rate = options.store_link_bytes_per_s if options.policy == POLICY_WITH_STORES else 0.0
        self._stores = StorePool(loop, core.router, metrics, link_rate)
        self._calls: dict[RequestId, Call] = {}
        self._exchanges: dict[Call, Attempt | ForwardExchange] = {}
        self._retrying: list[Call] = []
        self._retry_budgets: dict[ServiceName, RetryBudget] = {}
        self._is_dispatch_scheduled = False
        self._is_report_scheduled = False

    @property
    def active_call_count(self) -> int:
        """Calls that have not ended."""
        return len(self._calls)

    def start(self) -> None:
        """Starts the periodic work; called before the loop starts."""
        self._loop.call_every(TICK_INTERVAL_S, self._tick)
        self._loop.call_every(REPORT_INTERVAL_S, self._report)

    def submit(self, call: Call) -> None:
        """Starts handling a call and takes ownership of its caller's connection."""
        request = call.request
        call.caller.on_disconnect = lambda: self._on_disconnect(call)
        call.caller.on_drained = lambda: self._on_drained(call)
        call.caller.start()
        self._history.write(
            "call",
            request=request.request_id,
            customer=request.customer.name,
            service=request.config.name,
            key=request.idempotency_key,
            repeatable=request.repeatable,
        )
        if request.executed_before is Executed.YES:
            call.tracker.on_response(EARLIER_ATTEMPT)
        elif request.executed_before is Executed.UNKNOWN:
            call.tracker.on_bytes_sent(EARLIER_ATTEMPT)
        if request.request_id in self._calls:
            self._responder.send_error(call, failures.create_duplicate())
            return
        self._calls[request.request_id] = call
        self._metrics.running.set(len(self._calls))
        self._get_retry_budget(call).record_request()
        self._accept(call)

    def on_snapshot(self, snapshot: Snapshot) -> None:
        """Replaces the configuration snapshot."""
        now = self._loop.now()
        self._targets.apply_snapshot(snapshot, now)
        self._stores.apply_snapshot(snapshot, now)
        self._schedule_dispatch()

    def on_grant(self, grant: GrantUpdate) -> None:
        """Applies newly granted slots."""
        self._targets.apply_grant(grant, self._loop.now())
        self._schedule_dispatch()

    def on_claim_reply(self, reply: ClaimReply) -> None:
        """Continues the call that waits for its claim."""
        call = self._claims.on_reply(reply)
        if call is None:
            return
        if reply.status == GRANTED:
            self._enqueue(call)
            return
        call.claim = None
        if reply.status == IN_PROGRESS and self._schedule_outcome_poll(call):
            return
        response = build_claim_response(reply)
        if isinstance(response, ErrorResponse):
            self._fail(call, response)
        else:
            self._responder.send_response(call, response)
            self._end(call)

    def _schedule_outcome_poll(self, call: Call) -> bool:
        """Schedules another claim request; False if too little time is left.

        It asks for the outcome of an earlier call with the same key.
        """
        if self._loop.now() + OUTCOME_POLL_INTERVAL_S >= call.deadline - OUTCOME_MARGIN_S:
            return False

        def poll() -> None:
            if call.state is CallState.CLAIMING:
                self._request_claim(call)

        self._loop.call_later(OUTCOME_POLL_INTERVAL_S, poll)
        return True

    def _request_claim(self, call: Call) -> None:
        call.state = CallState.CLAIMING
        if not self._claims.request(call, self._loop.now()):
            self._fail(call, create_claims_unavailable())

    def _accept(self, call: Call) -> None:
        now = self._loop.now()
        if self._targets.is_crash_suspect(call, now):
            self._fail(call, failures.create_quarantined())
        elif self._targets.must_forward(call, now):
            self._forward_or_refuse(call)
        elif call.request.repeatable:
            self._enqueue(call)
        else:
            self._request_claim(call)

    def _forward_or_refuse(self, call: Call) -> None:
        """Forwards a call to another gateway; fails if it has a claim or was forwarded before."""
        if call.claim is not None or call.request.hops:
            self._fail_no_data_centre(call)
            return
        call.forward_candidates = self._targets.list_forward_candidates(call, self._loop.now())[
            :MAX_FORWARD_ATTEMPTS
        ]
        self._forward(call)

    def _forward(self, call: Call) -> None:
        if not call.forward_candidates:
            self._fail_no_data_centre(call)
            return
        member = call.forward_candidates.pop(0)
        options = self._options
        forward = ForwardExchange(
            self._loop,
            self,
            call,
            member,
            options.connect_timeout_ms,
            options.settings.peer_ca_file,
        )
        call.state = CallState.RUNNING
        call.attempt_count += 1
        call.last_attempt_id = AttemptId(create_id("fwd"))
        call.tracker.on_start(call.last_attempt_id)
        call.traces.append(
            AttemptTrace(
                attempt_id=call.last_attempt_id,
                target=member.instance,
                reason=f"forwarded to data centre {member.data_centre}",
                started_s=self._loop.now() - call.received_at,
            )
        )
        self._metrics.forwarded.labels(call.request.config.name, member.data_centre).inc()
        log_event(
            _LOGGER,
            logging.INFO,
            Event.GATEWAY_CALL_FORWARDED,
            f"forwarded to {member.instance} in {member.data_centre}",
            request=call.request.request_id,
        )
        self._exchanges[call] = forward
        forward.start()

    def on_forward_start(
        self, forward: ForwardExchange, status: int, headers: dict[str, str]
    ) -> None:
        """Begins the caller's response with the other gateway's status and headers."""
        call = forward.call
        call.tracker.on_response(call.last_attempt_id)
        if forward.is_stream:
            return
        if call.caller.has_begun_response:
            forward.stop(f"status {status} instead of the rest of the stream")
        elif not call.answered:
            call.caller.start_stream(status, headers)

    def on_forward_data(self, forward: ForwardExchange, data: bytes) -> None:
        """Relays part of the body."""
        if forward.is_stream:
            self._relay(forward.call, forward, data)
        elif not forward.call.answered:
            forward.call.caller.write(data)
            self._apply_backpressure(forward.call, forward)

    def on_forward_end(self, forward: ForwardExchange, error: str, sent: bool) -> None:
        """Ends the call, resumes its stream, or tries another gateway if that is safe."""
        call = forward.call
        self._exchanges.pop(call, None)
        call.traces[-1].result = error or "complete"
        call.traces[-1].ended_s = self._loop.now() - call.received_at
        if sent and not forward.has_response:
            call.tracker.on_bytes_sent(call.last_attempt_id)
        if call.answered:
            self._end(call)
        elif not error:
            self._finish_forward(call, forward)
        elif self._try_finish_stream(call):
            pass
        elif call.progress.tokens:
            result = AttemptResult(ResultKind.BROKEN, error, sent)
            self._resume(call, result, self._loop.now())
        elif not sent or self._may_forward_again(call):
            self._forward(call)
        else:
            self._fail(call, failures.create_forward_failed(call, error))

    def _may_forward_again(self, call: Call) -> bool:
        is_possible = not call.caller.has_begun_response and self._may_retry(call, self._loop.now())
        return is_possible and self._get_retry_budget(call).try_withdraw()

    def _finish_forward(self, call: Call, forward: ForwardExchange) -> None:
        if forward.is_stream:
            self._responder.finish_stream(call)
        else:
            executed = Executed.UNKNOWN if forward.status >= 400 else Executed.YES
            self._responder.finish_forward(call, forward.status, executed)
        self._end(call)

    def _try_finish_stream(self, call: Call) -> bool:
        """Completes a stream of which only the final [DONE] event is missing."""
        if not call.caller.has_begun_response or not _has_all_tokens(call):
            return False
        self._responder.send_stream_data(call, b"data: [DONE]\n\n")
        self._responder.finish_stream(call)
        self._end(call)
        return True

    def _enqueue(self, call: Call) -> None:
        request = call.request
        call.routing = self._build_routing(call)
        is_waiting = can_use_stores(request.target_path, request.content) and self._stores.look_up(
            call.routing, lambda blocks: self._on_store_lookup(call, blocks)
        )
        if not is_waiting:
            self._admit(call, call.routing)

    def _on_store_lookup(self, call: Call, blocks: PromptBlocks | None) -> None:
        """Admits the call, with the stored blocks of its prompt; None after a failed lookup."""
        if call.state is CallState.DONE:
            return
        assert call.routing is not None
        if blocks is not None:
            call.blocks = blocks
            call.routing = replace(call.routing, stored_prefixes=blocks.list_prefixes())
        self._admit(call, call.routing)

    def _admit(self, call: Call, routing: RoutingRequest) -> None:
        now = self._loop.now()
        request = call.request
        call.queue_item = QueueItem(routing, call.received_at, call.deadline)
        customer = request.customer
        limits = CustomerLimits(customer.requests_per_second, customer.concurrent, customer.weight)
        local_limits = divide_limits(limits, self._targets.snapshot.live_instances)
        refusal = self._admission.admit(call.queue_item, local_limits, now)
        if refusal is not None:
            call.queue_item = None
            self._fail(call, failures.create_refused(refusal))
            return
        call.state = CallState.QUEUED
        self._schedule_dispatch()

    def _build_routing(self, call: Call) -> RoutingRequest:
        request = call.request
        keys: tuple[bytes, ...] = ()
        if request.is_model:
            customer = f"{request.config.name}/{request.customer.name}"
            keys = compute_block_keys(
                self._block_secret, customer, request.model, request.version, request.prompt
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

    def _schedule_dispatch(self) -> None:
        if not self._is_dispatch_scheduled:
            self._is_dispatch_scheduled = True
            self._loop.call_soon(self._dispatch_ready)

    def _dispatch_ready(self) -> None:
        """Starts or forwards every call for which that is possible now."""
        self._is_dispatch_scheduled = False
        now = self._loop.now()
        self._start_retries(now)
        while (item := self._admission.pop(self._can_start, now)) is not None:
            call = self._calls.get(item.request.request_id)
            if call is None:
                self._admission.finish(item)
            elif self._targets.must_forward(call, now):
                self._release_admission(call)
                self._forward_or_refuse(call)
            elif not self._start_attempt(call):
                self._retry_later(call, call.deadline)
        self._targets.reset_full_groups()

    def _can_start(self, item: QueueItem) -> bool:
        """Returns whether the call can start here or be forwarded now."""
        call = self._calls.get(item.request.request_id)
        now = self._loop.now()
        if call is None or self._targets.has_free_target(call, now):
            return True
        return self._targets.must_forward(call, now)

    def _start_retries(self, now: float) -> None:
        waiting, self._retrying = self._retrying, []
        for call in waiting:
            if call.state is not CallState.RETRYING:
                continue
            if now > call.retry_until:
                self._fail(call, failures.create_no_target(call))
            elif self._targets.must_forward(call, now):
                self._forward_after_failure(call)
            elif not self._start_attempt(call):
                self._retrying.append(call)

    def _forward_after_failure(self, call: Call) -> None:
        """Forwards a call after a failed attempt, if running it again is safe."""
        if call.request.repeatable or call.tracker.executed is Executed.NO:
            self._forward_or_refuse(call)
        else:
            self._fail_no_data_centre(call)

    def _fail_no_data_centre(self, call: Call) -> None:
        if call.progress.tokens and call.caller.has_begun_response:
            self._fail(call, failures.create_stream_incomplete(call, None))
        else:
            self._fail(call, failures.create_no_data_centre(call.tracker.executed))

    def _retry_later(self, call: Call, until: float) -> None:
        call.state = CallState.RETRYING
        call.retry_until = until
        self._retrying.append(call)
        self._schedule_dispatch()

    def _start_attempt(self, call: Call) -> bool:
        """Starts an attempt at the best target with a free slot; False if there is none."""
        now = self._loop.now()
        decision = self._targets.choose(call, now)
        target = decision.target
        if target is None or not self._targets.acquire(call, target, now):
            return False
        call.kv_fields = {}
        if call.blocks is not None and call.routing is not None:
            call.kv_fields = self._stores.plan_kv_transfer(
                call.blocks, call.routing, decision.planned_import, now
            )
        attempt_id = AttemptId(create_id("att"))
        attempt = Attempt(
            self._loop, self, call, target, attempt_id, self._options.connect_timeout_ms
        )
        call.state = CallState.RUNNING
        call.attempt_count += 1
        call.last_attempt_id = attempt_id
        call.tracker.on_start(attempt_id)
        if call.dispatched_at is None:
            call.dispatched_at = now
            histogram = self._metrics.added_latency(call.request.config.name)
            histogram.record(now - call.received_at)
        self._exchanges[call] = attempt
        call.traces.append(
            AttemptTrace(
                attempt_id=attempt_id,
                target=target.target,
                reason=decision.reason,
                started_s=now - call.received_at,
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
        """Relays verified events to the caller."""
        attempt.call.tracker.on_response(attempt.attempt_id)
        self._relay(attempt.call, attempt, data)

    def _relay(self, call: Call, exchange: Attempt | ForwardExchange, data: bytes) -> None:
        if call.first_token_at is None and call.progress.tokens:
            call.first_token_at = self._loop.now()
            histogram = self._metrics.time_to_first_token(call.request.config.name)
            histogram.record(call.first_token_at - call.received_at)
        if not call.answered:
            self._responder.send_stream_data(call, data)
            self._apply_backpressure(call, exchange)

    def _apply_backpressure(self, call: Call, exchange: Attempt | ForwardExchange) -> None:
        if call.caller.is_buffer_full:
            exchange.pause()

    def on_result(self, attempt: Attempt, result: AttemptResult) -> None:
        """Releases the attempt's slot, then ends the call or schedules another attempt."""
        call = attempt.call
        self._exchanges.pop(call, None)
        self._update_tracker(call, attempt, result)
        self._update_trace(call, attempt, result)
        if self._targets.release(attempt, result, self._loop.now()):
            self._schedule_report()
        if result.kind is ResultKind.COMPLETE:
            self._complete(call, result)
        else:
            if result.sent:
                self._stop_using_stores(call)
            self._handle_failed_attempt(call, result)
        self._schedule_dispatch()

    def _stop_using_stores(self, call: Call) -> None:
        """Excludes stores from further attempts, because an import may have caused the failure."""
        call.blocks = None
        if call.routing is not None:
            call.routing = replace(call.routing, stored_prefixes=())

    def _update_tracker(self, call: Call, attempt: Attempt, result: AttemptResult) -> None:
        if result.kind is ResultKind.COMPLETE:
            call.tracker.on_response(attempt.attempt_id)
        elif result.kind is ResultKind.REJECTED:
            call.tracker.on_rejected(attempt.attempt_id)
        elif result.sent:
            call.tracker.on_bytes_sent(attempt.attempt_id)

    def _update_trace(self, call: Call, attempt: Attempt, result: AttemptResult) -> None:
        self._metrics.attempts.labels(call.request.config.name, result.kind.value).inc()
        trace = call.traces[-1]
        trace.result = f"{result.kind.value}: {result.detail}" if result.detail else "complete"
        trace.ended_s = self._loop.now() - call.received_at
        if attempt.first_byte_at is not None:
            trace.first_byte_s = attempt.first_byte_at - call.received_at
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

    def _complete(self, call: Call, result: AttemptResult) -> None:
        name = call.request.config.name
        if call.request.is_model:
            progress = call.progress
            self._metrics.tokens.labels(name).inc(progress.tokens)
            cached = progress.cached_tokens
            self._metrics.prompt_tokens.labels(name, "cached").inc(cached)
            computed = max(0, progress.prompt_tokens - cached)
            self._metrics.prompt_tokens.labels(name, "computed").inc(computed)
            has_run = progress.prompt_tokens > 0
            if has_run and call.blocks is not None and call.routing is not None:
                self._stores.on_complete(call.blocks, call.routing, cached)
        if result.response is None:
            if not call.answered:
                self._responder.finish_stream(call)
            self._end(call)
            return
        if call.claim is not None:
            self._claims.report_outcome(call.claim, result.response)
        self._responder.send_response(call, result.response)
        self._end(call)

    def _handle_failed_attempt(self, call: Call, result: AttemptResult) -> None:
        """Schedules a retry or a resumption if that is safe and allowed, or fails the call."""
        now = self._loop.now()
        call.last_failure_at = now
        assert isinstance(call.traces[-1], AttemptTrace)
        call.tried_targets.add(TargetId(call.traces[-1].target))
        if call.answered:
            self._end(call)
        elif self._try_finish_stream(call):
            pass
        elif call.progress.tokens:
            self._resume(call, result, now)
        elif self._may_retry(call, now) and self._get_retry_budget(call).try_withdraw():
            self._retry_later(call, call.deadline)
        else:
            self._fail(call, failures.create_attempt_failed(call, result))

    def _may_retry(self, call: Call, now: float) -> bool:
        is_safe = call.request.repeatable or call.tracker.executed is Executed.NO
        has_attempts_left = (
            call.attempt_count < MAX_ATTEMPTS and call.broken_attempts < MAX_BROKEN_ATTEMPTS
        )
        return is_safe and has_attempts_left and now < call.deadline

    def _resume(self, call: Call, result: AttemptResult, now: float) -> None:
        can_resume = (
            result.kind in _RESUMABLE_KINDS
            and call.progress.resumable
            and not call.progress.finish_reason
            and call.attempt_count < MAX_ATTEMPTS
            and self._get_retry_budget(call).try_withdraw()
        )
        event = Event.GATEWAY_STREAM_RESUMED if can_resume else Event.GATEWAY_STREAM_INCOMPLETE
        log_event(
            _LOGGER,
            logging.WARNING,
            event,
            f"the stream was interrupted after {call.progress.tokens} tokens: {result.detail}",
            request=call.request.request_id,
        )
        if can_resume:
            self._metrics.resumed.labels(call.request.config.name).inc()
            self._retry_later(call, now + RESUME_TIMEOUT_S)
        else:
            self._fail(call, failures.create_stream_incomplete(call, result))

    def _fail(self, call: Call, error: ErrorResponse) -> None:
        self._responder.send_error(call, error)
        self._end(call)

    def _end(self, call: Call) -> None:
        """Releases a call's claim and its place in the queue, and removes the call."""
        if call.state is CallState.CLAIMING:
            self._claims.stop_waiting(call)
        call.state = CallState.DONE
        if call.claim is not None and can_abandon(call.tracker):
            log_event(
                _LOGGER,
                logging.INFO,
                Event.GATEWAY_CLAIM_ABANDONED,
                "abandoned a granted claim: no target ran the call",
                request=call.request.request_id,
            )
            self._claims.abandon(call.claim)
            call.claim = None
        self._release_admission(call)
        if self._calls.get(call.request.request_id) is call:
            del self._calls[call.request.request_id]
        self._metrics.running.set(len(self._calls))

    def _release_admission(self, call: Call) -> None:
        if call.queue_item is not None:
            self._admission.finish(call.queue_item)
            call.queue_item = None

    def _on_disconnect(self, call: Call) -> None:
        """Handles the end of the caller's connection."""
        if call.state is CallState.DONE:
            return
        exchange = self._exchanges.get(call)
        if exchange is not None and exchange.sent:
            call.tracker.on_bytes_sent(call.last_attempt_id)
        self._responder.record_disconnect(call, call.tracker.executed)
        if exchange is not None and not call.request.repeatable and isinstance(exchange, Attempt):
            return  # The attempt goes on, so that its outcome can be recorded for a repeated call.
        if exchange is not None:
            self._cancel(call, exchange)
        self._end(call)
        self._schedule_dispatch()

    def _cancel(self, call: Call, exchange: Attempt | ForwardExchange) -> None:
        exchange.cancel()
        self._exchanges.pop(call, None)
        if isinstance(exchange, Attempt):
            self._targets.release_cancelled(exchange, self._loop.now())

    def _on_drained(self, call: Call) -> None:
        exchange = self._exchanges.get(call)
        if exchange is not None:
            exchange.resume()

    def _tick(self) -> None:
        now = self._loop.now()
        for item in self._admission.expire(now):
            call = self._calls.get(item.request.request_id)
            if call is not None and call.queue_item is item:
                call.queue_item = None
                self._fail(call, failures.create_expired())
        for call in list(self._calls.values()):
            self._check_timeouts(call, now)
        self._targets.expire(now)
        self._claims.prune(now)
        self._schedule_dispatch()

    def _check_timeouts(self, call: Call, now: float) -> None:
        if not call.answered and call.caller.has_write_timed_out(now):
            call.caller.close()
            self._on_disconnect(call)
            return
        if call.state is CallState.CLAIMING and now > call.deadline:
            self._fail(call, create_claims_unavailable())
            return
        exchange = self._exchanges.get(call)
        if exchange is None:
            return
        limit = self._options.progress_timeout_s
        if isinstance(exchange, ForwardExchange):
            response_due_at = (
                exchange.started_at + RESUME_TIMEOUT_S if call.progress.tokens else call.deadline
            )
            if exchange.is_stalled(now, limit) or (
                not exchange.has_response and now > response_due_at
            ):
                exchange.stop("no progress")
        elif exchange.is_stalled(now, limit):
            exchange.stop(ResultKind.STALLED, f"no progress for {limit:g} s")
        elif exchange.first_byte_at is None:
            self._check_first_byte_timeout(call, exchange, now)

    def _check_first_byte_timeout(self, call: Call, exchange: Attempt, now: float) -> None:
        """Handles an attempt whose response has not begun in time."""
        if call.progress.tokens:
            if now - exchange.started_at > RESUME_TIMEOUT_S:
                exchange.stop(ResultKind.STALLED, "no answer to the resumed run")
        elif call.request.repeatable:
            if now > call.deadline:
                exchange.stop(ResultKind.STALLED, "no answer before the deadline")
        elif not call.answered and now > call.deadline:
            if exchange.sent:
                call.tracker.on_bytes_sent(exchange.attempt_id)
            self._responder.send_error(call, failures.create_still_running(call))
        elif now - exchange.started_at > MAX_RUN_S:
            exchange.stop(ResultKind.STALLED, "no answer")

    def _report(self) -> None:
        """Reports slots in use and demand to the control process."""
        self._is_report_scheduled = False
        self._targets.report(self._calls.values(), self._loop.now())

    def _schedule_report(self) -> None:
        if not self._is_report_scheduled:
            self._is_report_scheduled = True
            self._loop.call_soon(self._report)

    def _get_retry_budget(self, call: Call) -> RetryBudget:
        return self._retry_budgets.setdefault(call.request.config.name, RetryBudget())


def _has_all_tokens(call: Call) -> bool:
    """Returns whether the caller has the complete output of a stream that ended early."""
    progress = call.progress
    is_cut_to_length = progress.finish_reason == "length"
    return progress.verified or (
        is_cut_to_length and progress.tokens == call.request.content.get("max_tokens")
    )
