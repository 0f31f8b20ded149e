"""Accepts requests, plans attempts at targets and owns the connections to them."""

import logging
import random
from collections.abc import Callable

from ..core.memoryaccount import HolderState, MemoryAccount
from ..core.retries import RetryBudget
from ..core.serving.crashcauses import TargetEnd
from ..core.serving.idlelimits import IdleLimits
from ..core.serving.placement import Placement, PlacementRequest
from ..core.serving.probation import ProbationRefusal
from ..core.serving.routetable import CallerLimits, Service
from ..core.serving.streamorigins import OriginSource
from ..core.serving.targettable import Registration, Target
from ..eventloop import EventLoop
from ..events import Event
from ..http.caller import InboundConnection
from ..http.messages import HttpRequest, RequestErrorReason
from ..http.resources import find_account_limits
from ..ids import (
    DataCentre,
    ServiceName,
    SoftwareVersion,
    TargetId,
)
from ..logs import log_event
from ..schema.log_pb2 import QuarantineEntry
from ..schema.settings_pb2 import EntrySettings
from .attempt import Attempt, Outcome
from .crashwatch import CrashWatch
from .dialect import (
    AttemptPlan,
    CallRefusedError,
    CallRequest,
    Dialect,
    RefusalReason,
    ResponseKind,
)
from .metrics import EntryMetrics
from .modelcalls import ModelCallPlanner, count_held_tokens, get_isolated_customer
from .plaincalls import CallCostTracker
from .pool import ConnectionPool
from .run import RETRY_AFTER_S, SILENT, CallHandler, PlacementRefusal
from .state import EntryState

# A target that rejected a call, for example because it was full, is avoided for this long; it gets
# calls only if every other target is to be avoided as well.
REJECTION_COOLDOWN_S = 0.25
# A connection that is reset within this time of a call being sent counts as dropped by the target
# while it was idle. A later reset is no evidence of how long connections may be idle.
MAX_RESET_DELAY_S = 0.05
# Used share of the retry ratio and retry reserve that operators allow for all instances together;
# the reserve is also divided among the instances.
RETRY_BUDGET_SHARE = 0.5
# Operators count retries over spans of this length. A new process gets the part of its reserve for
# the time that it has run: otherwise each of several quick restarts would bring a reserve.
RETRY_WINDOW_S = 10.0
# A process that has ended serves again after this time at the earliest, and nobody repeated calls
# in its place meanwhile.
MIN_RESTART_S = 1.0
HOUSEKEEPING_INTERVAL_S = 1.0
# Share of a target's connections that calls of all instances may use; the rest is left for cache
# events, reports and instances that have just started.
MAX_CONNECTION_SHARE = 0.8
_LOGGER = logging.getLogger(__name__)


class Dispatcher:
    """Owns all calls of this instance. Used on the event loop's thread only."""

    def __init__(
        self, loop: EventLoop, settings: EntrySettings, state: EntryState, dialect: Dialect
    ) -> None:
        self._loop = loop
        self._settings = settings
        self._state = state
        self._dialect = dialect
        self._random = random.Random(settings.seed or None)
        self._placement = Placement(
            DataCentre(settings.data_centre), state.cold_pacer, self._random.getrandbits(32)
        )
        self._call_costs = CallCostTracker(self._placement, state.loads, state.call_costs)
        self._model_calls = ModelCallPlanner(loop, state, self._placement, self._random)
        self._pools: dict[TargetId, ConnectionPool] = {}
        self._idle_limits = IdleLimits()
        self._retry_budgets: dict[ServiceName, RetryBudget] = {}
        self._started_at = loop.now()
        self._connections: set[InboundConnection] = set()
        self._memory: MemoryAccount[InboundConnection] = MemoryAccount(
            find_account_limits(settings.memory_mb, settings.max_descriptors)
        )
        self._handlers: set[CallHandler] = set()
        self._metrics = EntryMetrics()
        self._crash_watch = CrashWatch(loop, state, lambda: int(loop.wall() * 1000))
        self._crash_watch.on_quarantined = self._store_quarantine
        self._crash_watch.on_end = self._publish_end
        state.on_target_lost = self._on_target_lost
        state.on_peer_ends = self._crash_watch.on_ends_changed
        self.is_stopping = False
        self._refuses_requests = False

    @property
    def limits(self) -> CallerLimits:
        """The limits for callers in the current configuration."""
        table = self._state.route_table
        return table.limits if table is not None else CallerLimits()

    @property
    def memory(self) -> MemoryAccount[InboundConnection]:
        """What is held for all clients."""
        return self._memory

    @property
    def running_calls(self) -> int:
        """Number of calls that have not ended."""
        return len(self._handlers)

    @property
    def active_connections(self) -> int:
        """Number of connections with a request, or with a response that is not sent completely."""
        # Copied, because another thread waits for this number to become zero.
        return sum(not connection.is_idle for connection in list(self._connections))

    @property
    def unsent_bytes(self) -> int:
        """Number of response bytes that callers' connections have not accepted."""
        # Copied, as above. A call that has not ended will still have a response.
        unsent = sum(connection.buffered_bytes for connection in list(self._connections))
        return unsent + len(self._handlers)

    def render_metrics(self) -> bytes:
        """Returns counters, histograms and the current state as Prometheus text."""
        table = self._state.route_table
        gauges: dict[str, float] = {
            "running_calls": len(self._handlers),
            "callers": len(self._connections),
            "instances": len(self._state.instances),
            "targets": len(self._state.targets.targets),
            "limited_targets": self._state.target_limits.limited_count,
            "leaving_targets": self._state.targets.leaving_count,
            "quiet_targets": self._state.quiet_times.count(self._loop.boottime()),
            "configuration_version": table.version if table is not None else 0,
        }
        gauges |= self._state.version_choice.compute_gauges()
        for holder_state, held_bytes in self._memory.sum_by_state().items():
            gauges[f"{holder_state.value}_bytes"] = held_bytes
        if (age_s := self._state.operator_records_age_s) is not None:
            gauges["configuration_age_seconds"] = age_s
        return self._metrics.render(gauges | self._call_costs.gauges)

    def start(self) -> None:
        """Starts the periodic work."""
        self._loop.call_every(HOUSEKEEPING_INTERVAL_S, self._clean_up)

    def add_connection(self, connection: InboundConnection) -> None:
        """Starts serving a new connection."""
        self._connections.add(connection)
        connection.start()
        connection.read_available()

    def stop(self) -> None:
        """Makes connections close after their current response."""
        self.is_stopping = True

    def refuse_requests(self) -> None:
        """Refuses requests from now on, as not run: there is no time left to complete them."""
        self._refuses_requests = True

    def close_idle_connections(self) -> None:
        """Closes the connections that have no request in progress."""
        for connection in list(self._connections):
            connection.close_if_idle()

    def end_calls(self) -> None:
        """Ends the calls that are still running with a response: the process ends."""
        for handler in list(self._handlers):
            handler.end_for_stop()

    def close(self) -> None:
        """Closes all connections, to callers and to targets."""
        for connection in list(self._connections):
            connection.close()
        for pool in self._pools.values():
            pool.close()

    def on_request(self, connection: InboundConnection, request: HttpRequest) -> None:
        """Starts handling a request, or refuses it."""
        table = self._state.route_table
        if table is None or not self._state.is_ready:
            self._refuse(connection, request, RefusalReason.NOT_CONFIGURED, "")
            return
        if self._refuses_requests:
            self._refuse(connection, request, RefusalReason.STOPPING, "")
            return
        try:
            call = self._dialect.parse_call(request, table)
        except CallRefusedError as error:
            self._refuse(connection, request, error.reason, str(error))
            return
        handler = CallHandler(self._loop, self, self._dialect, connection, call)
        self._handlers.add(handler)
        handler.start()

    def on_invalid_request(self, connection: InboundConnection, reason: RequestErrorReason) -> None:
        """Refuses a request that could not be parsed and closes its connection."""
        refusal = self._dialect.get_refusal_reason(reason)
        retry_after = RETRY_AFTER_S if refusal is RefusalReason.MEMORY else None
        status, headers, body = self._dialect.build_refusal(refusal, None, retry_after)
        connection.reject_request(status, headers, body)
        self._metrics.record_refusal(refusal.value)
        log_event(_LOGGER, logging.INFO, Event.ENTRY_CALL_REFUSED, refusal.value)

    def on_overload(
        self, connection: InboundConnection, state: HolderState, held_bytes: int
    ) -> None:
        """Counts and logs an evicted client."""
        self._metrics.record_closed_client(state.value)
        log_event(
            _LOGGER,
            logging.WARNING,
            Event.ENTRY_CLIENT_EVICTED,
            "client evicted: the limit on memory or connections is reached",
            client=connection.client_address,
            state=state.value,
            held_bytes=held_bytes,
            held_for_all=self._memory.held_bytes,
            limit=self._memory.limits.max_bytes,
            connections=len(self._connections),
            max_connections=self._memory.limits.max_connections,
        )

    def free_descriptor(self) -> None:
        """Closes a connection that is not in use, because no descriptors are left."""
        for connection in self._memory.choose_unused(self._loop.now()):
            connection.evict(at_once=True)

    def on_closed(self, connection: InboundConnection) -> None:
        """Removes a closed connection."""
        self._connections.discard(connection)

    def choose_service(self, call: CallRequest) -> Service | None:
        """Chooses a service of the route by weight and credits the request to its retry budget."""
        table = self._state.route_table
        assert table is not None
        candidates = call.route.services
        weights = [candidate.weight for candidate in candidates]
        chosen = (
            candidates[0] if len(candidates) == 1 else self._random.choices(candidates, weights)[0]
        )
        service = table.services.get(chosen.service)
        if service is not None:
            self._get_retry_budget(service.name).record_request()
        return service

    def plan_attempt(self, handler: CallHandler) -> AttemptPlan | PlacementRefusal:
        """Chooses a target for the call's next attempt."""
        service = handler.service
        if service is None or handler.time_left_s <= 0:
            return PlacementRefusal(RefusalReason.NO_TARGET, "unknown service, or no time left")
        trait = self._crash_watch.find_quarantined(handler.call)
        if trait is not None:
            time_left_s = self._crash_watch.compute_time_left(trait)
            return PlacementRefusal(RefusalReason.QUARANTINED, trait, time_left_s)
        limits, boottime = self._state.target_limits, self._loop.boottime()
        priority = handler.call.priority
        reachable = self._list_fitting_targets(handler, service)
        if not reachable and handler.software is not None:
            return PlacementRefusal(
                RefusalReason.VERSION_GONE, f"the stream began at {handler.software or 'none'}"
            )
        probation = self._limit_to_trial_target(handler, reachable)
        if isinstance(probation, ProbationRefusal):
            return PlacementRefusal(
                RefusalReason.SUSPECTED, probation.detail, probation.retry_after_s
            )
        reachable = self._state.quiet_times.list_allowed(probation, boottime)
        if probation and not reachable:
            delay_s = self._state.quiet_times.compute_retry_delay(
                probation, self._random.random(), boottime
            )
            detail = f"{len(probation)} targets, none wants calls now"
            return PlacementRefusal(RefusalReason.QUIET, detail, delay_s)
        targets = limits.list_admitted(reachable, service.name, priority, boottime)
        if reachable and not targets:
            delay_s = limits.compute_retry_delay(
                reachable, service.name, priority, self._random.random(), boottime
            )
            detail = f"{len(reachable)} targets, none admits the call by its rate limit"
            plan: AttemptPlan | PlacementRefusal = PlacementRefusal(
                RefusalReason.LIMITED, detail, delay_s
            )
        else:
            plan = self._choose_target(handler, service, targets)
        is_kept_by_limits = len(targets) < len(reachable) and not handler.has_attempt
        if isinstance(plan, PlacementRefusal) and is_kept_by_limits:
            limits.record_refusal(service.name, priority, boottime)
        return plan

    def _limit_to_trial_target(
        self, handler: CallHandler, usable: list[Target]
    ) -> list[Target] | ProbationRefusal:
        """Returns the usable targets, or only one of them if targets have ended under the call."""
        untried = [target for target in usable if target.id not in handler.tried_targets]
        running = (o.call for o in self._handlers if o is not handler and o.has_attempt)
        choice = self._crash_watch.choose_trial_target(handler.call, untried, running)
        if choice is None:
            return usable
        return choice if isinstance(choice, ProbationRefusal) else [choice]

    def _on_target_lost(self, registration: Registration) -> None:
        waiting = [
            handler.call
            for handler in self._handlers
            if (attempt := handler.attempt) is not None
            and attempt.response is None
            and attempt.plan.target.registration.run == registration.run
        ]
        self._crash_watch.on_target_removed(registration, waiting)

    def _choose_target(
        self, handler: CallHandler, service: Service, targets: list[Target]
    ) -> AttemptPlan | PlacementRefusal:
        isolated = get_isolated_customer(handler.call)
        tried, now = handler.tried_targets, self._loop.now()
        request = PlacementRequest(handler.call.prompt, isolated, tried, now)
        if handler.call.prompt is not None:
            return self._model_calls.plan_attempt(
                handler, service, handler.call.prompt, targets, request
            )
        target = self._call_costs.choose_target(handler.call, service, targets, request)
        if target is None:
            detail = f"{len(targets)} targets, none may take the call"
            return PlacementRefusal(RefusalReason.NO_TARGET, detail)
        return AttemptPlan(target, handler.time_left_s, None, handler.last_event_id)

    def send_attempt(self, handler: CallHandler, attempt: Attempt) -> None:
        """Sends the attempt over a pooled connection to its target."""
        target = attempt.plan.target
        now = self._loop.now()
        if target.is_cold(now):
            self._state.cold_pacer.record_send(target.id, now)
        self._state.target_limits.record_send(
            target.registration, handler.call.priority, self._loop.boottime()
        )
        cache = attempt.plan.cache
        if cache is not None:
            attempt.is_prefill_pending = True
            self._state.loads.add_pending(target.id, handler.call.priority, cache.prefill_tokens)
        self._call_costs.on_send(handler.call, attempt)
        self._state.loads.add_run(target.id, count_held_tokens(handler.call))
        self._state.version_choice.record_send(target, is_first=not handler.used_connections)
        pool = self._get_pool(target)
        max_idle_s = self._idle_limits.find_limit(target.registration.service, now)
        connection = pool.acquire(
            not handler.call.route.is_repeatable, max_idle_s, handler.used_connections
        )
        handler.used_connections.append(connection)
        attempt.start(connection, lambda: self._state.may_send(target))

    def on_response(self, attempt: Attempt) -> None:
        """Records what the target says of itself: its rate limit, quiet time and departure."""
        info = attempt.response_info
        if info is None:
            return
        registration = attempt.plan.target.registration
        if info.tells_rate_limit:
            elapsed_s = self._loop.now() - attempt.started_at
            self._state.record_rate_limit(
                registration, info.rate_limit, self._loop.boottime() - elapsed_s
            )
        if info.is_leaving:
            self._state.record_leaving(registration.run)
        if info.quiet_s is not None:
            self._state.record_quiet_time(registration.run, info.quiet_s)
        for name in info.invalid_headers:
            self._metrics.record_invalid_header(name)

    def on_first_event(self, handler: CallHandler, attempt: Attempt) -> None:
        """Updates the target's prefill rate and removes the prompt from its pending load."""
        plan = attempt.plan
        elapsed = self._loop.now() - attempt.started_at
        loads, priority = self._state.loads, handler.call.priority
        tokens = loads.estimate_tokens(plan.target.id, priority, plan.expected_wait_s)
        self._metrics.record_first_event(elapsed)
        self._call_costs.on_first_event(attempt, self._loop.now())
        loads.observe(plan.target.id, priority, tokens, elapsed)
        self._end_prefill(handler, attempt)

    def _end_prefill(self, handler: CallHandler, attempt: Attempt) -> None:
        cache = attempt.plan.cache
        if attempt.is_prefill_pending and cache is not None:
            attempt.is_prefill_pending = False
            self._state.loads.remove_pending(
                attempt.plan.target.id, handler.call.priority, cache.prefill_tokens
            )

    def on_attempt_end(
        self, handler: CallHandler, attempt: Attempt, outcome: Outcome, detail: str
    ) -> None:
        """Updates the target's health, load and version from the outcome of an attempt."""
        target = attempt.plan.target
        now = self._loop.now()
        self._metrics.record_attempt(target.registration.service, outcome.value)
        self._end_prefill(handler, attempt)
        self._state.loads.remove_run(target.id, count_held_tokens(handler.call))
        self._call_costs.on_end(attempt, outcome, now)
        self._state.version_choice.record_outcome(handler.call, attempt, outcome)
        has_later_version = self._update_version(handler, attempt)
        self._crash_watch.on_attempt_end(handler.call, attempt, outcome)
        if outcome is Outcome.ANSWERED:
            target.record_success()
        elif outcome is Outcome.ERROR:
            target.record_error()
        elif outcome is Outcome.REJECTED:
            target.start_cooldown(now, REJECTION_COOLDOWN_S)
            self._state.target_updates.record_cooldown(target.id, target.cooldown_until)
        elif outcome is Outcome.MISDIRECTED and has_later_version:
            target.start_cooldown(now, REJECTION_COOLDOWN_S)
        elif outcome is Outcome.MISDIRECTED:
            target.record_misdirection(now)
            self._state.target_updates.record_misdirection(
                target.id, target.consecutive_misdirections
            )
        elif outcome is Outcome.WITHDRAWN:
            pass  # Nothing was sent, so this says nothing of the target.
        elif outcome is not Outcome.CANCELLED or detail == SILENT:
            if outcome is Outcome.BROKEN:
                self._record_reset(attempt, now)
            target.record_failure(now)
            self._get_pool(target).close_idle()

    def _store_quarantine(self, entry: QuarantineEntry) -> None:
        if self._state.store_quarantine is not None:
            self._state.store_quarantine(entry)

    def _publish_end(self, end: TargetEnd, is_proven: bool) -> None:
        if self._state.publish_end is not None:
            self._state.publish_end(end, is_proven)

    def _record_reset(self, attempt: Attempt, now: float) -> None:
        """Records a reused connection that was reset as soon as a call was sent on it."""
        is_reset = attempt.response is None and now - attempt.started_at < MAX_RESET_DELAY_S
        if is_reset and attempt.idle_before_send_s > 0:
            service = attempt.plan.target.registration.service
            self._idle_limits.record_reset(service, attempt.idle_before_send_s, now)

    def _update_version(self, handler: CallHandler, attempt: Attempt) -> bool:
        """Updates the target's weight versions from its response.

        Returns whether a later version than expected explains why the target did not run the call.
        """
        response_info, prompt = attempt.response_info, handler.call.prompt
        if response_info is None or response_info.is_from_other_target or prompt is None:
            return False
        target, cache = attempt.plan.target, attempt.plan.cache
        for model, version in response_info.versions.items():
            if version > target.versions.get(model, 0):
                self._state.target_updates.record_version(target.id, model, version)
            target.update_version(model, version)
        newest = self._state.named_versions.get_newest(prompt.model)
        is_misdirected = response_info.kind is ResponseKind.MISDIRECTED
        if is_misdirected and newest is not None and cache is not None and cache.version:
            return target.correct_version(prompt.model, cache.version, newest)
        return False

    def try_retry(self, handler: CallHandler) -> bool:
        """Withdraws one retry from the service's retry budget; False if it is exhausted."""
        return (
            handler.service is not None
            and self._get_retry_budget(handler.service.name).try_withdraw()
        )

    def on_call_end(self, handler: CallHandler, result: str) -> None:
        """Records and logs how a call ended."""
        self._handlers.discard(handler)
        call = handler.call
        elapsed = self._loop.now() - handler.arrived_at
        self._metrics.record_call(call.route.kind, result, elapsed)
        table = self._state.route_table
        log_event(
            _LOGGER,
            logging.INFO,
            Event.ENTRY_CALL_ENDED,
            result,
            request=call.request_id,
            route=call.route.name,
            customer=call.customer.name if call.customer is not None else None,
            parts=[part for part, _ in call.prompt.parts] if call.prompt is not None else None,
            attempts=handler.attempt_history,
            elapsed_ms=round(elapsed * 1000),
            unread_ms=round(handler.unread_s * 1000),
            configuration=table.version if table is not None else None,
        )

    def _list_reachable_targets(self, service: Service) -> list[Target]:
        return [
            target
            for target in self._state.targets.list_usable(service.name)
            if self._has_connection(target, service)
        ]

    def _list_fitting_targets(self, handler: CallHandler, service: Service) -> list[Target]:
        """Returns the reachable targets, for a stream those of the software version it began at.

        While streams are not recorded, new ones begin at the default version: it needs no record.
        """
        reachable = self._state.version_choice.list_allowed(
            service.name,
            self._list_reachable_targets(service),
            is_bound=handler.software is not None,
            is_repeat=bool(handler.used_connections),
        )
        if handler.software is not None:
            return [t for t in reachable if t.registration.software == handler.software]
        if handler.call.route.is_resumable and self._state.origin_records.is_failing:
            version = self._find_recordless_version(service.name)
            return [t for t in reachable if t.registration.software == version] or reachable
        return reachable

    def find_origin(self, handler: CallHandler) -> None:
        """Finds the software version at which a stream began that its caller takes up."""
        service, call = handler.service, handler.call
        if service is None:
            handler.on_origin(None)
            return

        def on_found(version: SoftwareVersion | None, source: OriginSource) -> None:
            log_event(
                _LOGGER,
                logging.INFO,
                Event.ENTRY_STREAM_TAKEN_UP,
                "stream is taken up" if version is not None else "origin of a stream is unknown",
                request=call.request_id,
                stream=call.resumes,
                last_event=call.last_event_id,
                version=version,
                source=source.value,
                default=self._state.stream_origins.get_default(service.name),
            )
            handler.on_origin(version)

        self._state.origin_records.find(call.resumes, service.name, on_found)

    def record_origin(
        self, handler: CallHandler, attempt: Attempt, done: Callable[[], bool]
    ) -> None:
        """Calls ``done`` once it is recorded which version begins a stream, if that is needed."""
        registration = attempt.plan.target.registration
        self._state.origin_records.begin(
            handler.call.request_id, registration.service, registration.software, done
        )

    def begin_unrecorded(self, handler: CallHandler, attempt: Attempt) -> None:
        """A new stream begins although its version could not be recorded."""
        registration = attempt.plan.target.registration
        self._state.origin_records.begin_unrecorded(
            handler.call.request_id, registration.service, registration.software
        )

    def has_recordless_target(self, handler: CallHandler, attempt: Attempt) -> bool:
        """Whether a stream could begin at a target whose version needs no record."""
        registration = attempt.plan.target.registration
        version = self._find_recordless_version(registration.service)
        return version is not None and version != registration.software

    def _find_recordless_version(self, service: ServiceName) -> SoftwareVersion | None:
        registered = self._state.targets.count_versions(service)
        return self._state.stream_origins.find_recordless(service, registered)

    def _has_connection(self, target: Target, service: Service) -> bool:
        """Whether this instance's share of the target's connections allows one more call."""
        pool = self._pools.get(target.id)
        if pool is None or service.max_connections <= 0:
            return True
        share = MAX_CONNECTION_SHARE * service.max_connections / len(self._state.instances)
        return pool.can_acquire(max(1, int(share)))

    def _get_retry_budget(self, service: ServiceName) -> RetryBudget:
        bounds = self._settings.bounds
        # The share is not known until the instances are.
        share = 1 / len(self._state.instances) if self._state.has_peer_list else 0.0
        reserve = RETRY_BUDGET_SHARE * bounds.retry_reserve * share
        served_s = MIN_RESTART_S + self._loop.now() - self._started_at
        granted = min(1.0, served_s / RETRY_WINDOW_S)
        budget = self._retry_budgets.get(service)
        if budget is None:
            budget = RetryBudget(
                ratio=RETRY_BUDGET_SHARE * bounds.retry_ratio,
                reserve=reserve,
                initial_share=granted,
            )
            self._retry_budgets[service] = budget
        budget.set_reserve(reserve)
        budget.grant_share(granted)
        return budget

    def _get_pool(self, target: Target) -> ConnectionPool:
        pool = self._pools.get(target.id)
        if pool is None or pool.address != target.registration.address:
            if pool is not None:
                pool.close_idle()
            pool = ConnectionPool(self._loop, target.registration.address)
            self._pools[target.id] = pool
        return pool

    def _refuse(
        self,
        connection: InboundConnection,
        request: HttpRequest,
        reason: RefusalReason,
        detail: str,
    ) -> None:
        is_temporary = reason in (RefusalReason.NOT_CONFIGURED, RefusalReason.STOPPING)
        retry_after = RETRY_AFTER_S if is_temporary else None
        status, headers, body = self._dialect.build_refusal(reason, request, retry_after)
        connection.send_response(status, headers, body)
        self._metrics.record_refusal(reason.value)
        age_s = self._state.operator_records_age_s
        log_event(
            _LOGGER,
            logging.INFO,
            Event.ENTRY_CALL_REFUSED,
            reason.value,
            request=self._dialect.get_request_id(request),
            detail=detail,
            configuration=self._state.route_table.version if self._state.route_table else None,
            configuration_checked_s=None if age_s is None else round(age_s, 3),
        )

    def _clean_up(self) -> None:
        now = self._loop.now()
        for handler in list(self._handlers):
            handler.check_progress()
        self._state.remove_expired_targets()
        self._state.origin_records.update()
        self._state.crash_causes.prune(self._loop.boottime())
        live = {target.id: target.registration for target in self._state.targets.targets}
        self._state.loads.prune(set(live))
        self._state.target_limits.prune(live, self._loop.boottime())
        self._state.quiet_times.prune(live, self._loop.boottime())
        self._state.targets.prune_leaving(now)
        for target_id, pool in list(self._pools.items()):
            pool.close_expired()
            if self._state.targets.get(target_id) is None:
                pool.close_idle()
                if pool.size == 0:
                    del self._pools[target_id]
