"""Takes callers' requests, starts their runs and owns the connections to targets."""

import logging
import random

from ..core.retries import RetryBudget
from ..core.serving.admission import AdmissionRequest, compute_retry_delay, is_admitted
from ..core.serving.cacheindex import (
    PromptSources,
    estimate_prefill_tokens,
    find_sources,
    format_salt,
    plan_transfers,
)
from ..core.serving.idlelimits import IdleLimits
from ..core.serving.placement import Placement, PlacementRequest, choose_engine
from ..core.serving.routetable import CallerLimits, Prompt, Service
from ..core.serving.targettable import Target
from ..eventloop import EventLoop
from ..events import Event
from ..http.caller import InboundConnection
from ..http.messages import HttpRequest, RequestErrorReason
from ..ids import CustomerName, DataCentre, ServiceName, TargetId
from ..logs import log_event
from ..schema.settings_pb2 import EntrySettings
from .attempt import Attempt, Outcome
from .dialect import (
    AttemptPlan,
    CachePlan,
    CallRefusedError,
    CallRequest,
    Dialect,
    RefusalReason,
    ResponseKind,
)
from .metrics import EntryMetrics
from .pool import ConnectionPool
from .run import RETRY_AFTER_S, CallHandler, PlacementRefusal
from .state import EntryState

# A target that refused a call, for example because it was full, is avoided this long.
REFUSAL_COOLDOWN_S = 0.25
# A reset that comes later than this after a call was sent says nothing about its connection's rest.
RESET_S = 0.05
# Margin before the time at which no call may begin on an older model version.
VERSION_MARGIN_S = 1.0
# Retries kept in reserve by each instance, and retries earned by each request, as shares of what
# operators allow over all instances.
BUDGET_SHARE = 0.5
HOUSEKEEPING_S = 1.0
# Share of a target's connections that calls may take over all instances; the rest is left for cache
# events, reports and instances that have just started.
CONNECTION_SHARE = 0.8
# Share of an engine's memory that running calls may fill, where shared parts count for each call.
# Beyond it engines drop kept prompt parts between their fetch and their use, and preempt calls.
HELD_SHARE = 0.9
# A fetch may take this share of the time within which a first event has full value; a slower one
# is dropped and the prompt is read.
FETCH_SHARE = 0.5
_LOGGER = logging.getLogger(__name__)


class Dispatcher:
    """Owns all calls of this instance. Runs on the event loop's thread."""

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
        self._pools: dict[TargetId, ConnectionPool] = {}
        self._idle_limits = IdleLimits()
        self._budgets: dict[ServiceName, RetryBudget] = {}
        self._callers: set[InboundConnection] = set()
        self._runs: set[CallHandler] = set()
        self._metrics = EntryMetrics()
        self.is_stopping = False

    @property
    def limits(self) -> CallerLimits:
        """The limits for callers that are in force."""
        table = self._state.route_table
        return table.limits if table is not None else CallerLimits()

    @property
    def running_calls(self) -> int:
        """Calls that have no answer yet."""
        return len(self._runs)

    def render_metrics(self) -> bytes:
        """Returns counters, histograms and the current state as Prometheus text."""
        table = self._state.route_table
        gauges = {
            "running_calls": len(self._runs),
            "callers": len(self._callers),
            "instances": len(self._state.instances),
            "targets": len(self._state.targets.targets),
            "configuration_version": table.version if table is not None else 0,
        }
        return self._metrics.render(gauges)

    def start(self) -> None:
        """Starts the periodic work."""
        self._loop.call_every(HOUSEKEEPING_S, self._clean_up)

    def add_caller(self, caller: InboundConnection) -> None:
        """Takes over a new connection."""
        self._callers.add(caller)
        caller.start()

    def stop(self) -> None:
        """From now on connections end after their answers."""
        self.is_stopping = True

    def close_idle_callers(self) -> None:
        """Closes the connections on which no request is in work."""
        for caller in [c for c in self._callers if c.is_idle]:
            caller.close()

    def close(self) -> None:
        """Closes everything."""
        for caller in list(self._callers):
            caller.close()
        for pool in self._pools.values():
            pool.close()

    def on_request(self, caller: InboundConnection, request: HttpRequest) -> None:
        """Starts the run of a request, or refuses it."""
        table = self._state.route_table
        if table is None or not self._state.is_ready:
            self._refuse(caller, request, RefusalReason.NOT_CONFIGURED, "")
            return
        try:
            call = self._dialect.parse_call(request, table)
        except CallRefusedError as error:
            self._refuse(caller, request, error.reason, str(error))
            return
        run = CallHandler(self._loop, self, self._dialect, caller, call)
        self._runs.add(run)
        run.start()

    def on_invalid_request(self, caller: InboundConnection, reason: RequestErrorReason) -> None:
        """Refuses bytes that are no request and ends their connection."""
        refusal = self._dialect.get_refusal_reason(reason)
        status, headers, body = self._dialect.build_refusal(refusal, None, None)
        caller.reject_request(status, headers, body)
        self._metrics.record_refusal(refusal.value)
        log_event(_LOGGER, logging.INFO, Event.ENTRY_CALL_REFUSED, refusal.value)

    def on_closed(self, caller: InboundConnection) -> None:
        """Forgets a connection that has ended."""
        self._callers.discard(caller)

    def choose_service(self, call: CallRequest) -> Service | None:
        """Chooses one of the route's services by weight and counts the request for its budget."""
        table = self._state.route_table
        assert table is not None
        shares = call.route.services
        weights = [share.weight for share in shares]
        chosen = shares[0] if len(shares) == 1 else self._random.choices(shares, weights)[0]
        service = table.services.get(chosen.service)
        if service is not None:
            self._find_budget(service.name).record_request()
        return service

    def plan_attempt(self, run: CallHandler) -> AttemptPlan | PlacementRefusal:
        """Chooses a target for the run's next attempt."""
        service = run.service
        if service is None or run.time_left_s <= 0:
            return PlacementRefusal(RefusalReason.NO_TARGET, "unknown service, or no time left")
        now = self._loop.now()
        targets = self._list_targets(run, service, now)
        request = PlacementRequest(
            run.call.prompt, find_isolated_customer(run.call), run.tried, now
        )
        if run.call.prompt is not None:
            candidates = self._placement.list_candidates(targets, request, service.cold_rate)
            if service.engine is not None:
                limit = HELD_SHARE * service.engine.cache_tokens - run.call.prompt.total_tokens
                candidates = [t for t in candidates if self._count_held(t, now) <= limit]
                if targets and not candidates:
                    detail = f"no room for {run.call.prompt.total_tokens} tokens"
                    return PlacementRefusal(
                        RefusalReason.OVERLOADED, f"{detail} on {len(targets)} targets"
                    )
            return self._plan_prompt(run, run.call.prompt, candidates, now)
        loads = self._state.loads
        target = self._placement.choose_least_loaded(
            targets, request, service.cold_rate, lambda t: loads.count_running(t.id, now)
        )
        if target is None:
            return PlacementRefusal(
                RefusalReason.NO_TARGET, f"{len(targets)} targets, none may take the call"
            )
        return AttemptPlan(target, run.time_left_s, None, run.last_event_id)

    def _count_held(self, target: Target, now: float) -> float:
        return self._state.loads.count_held(target.id, now)

    def _plan_prompt(
        self, run: CallHandler, prompt: Prompt, candidates: list[Target], now: float
    ) -> AttemptPlan | PlacementRefusal:
        """Chooses the engine with the earliest first event, or refuses the call."""
        if not candidates:
            return PlacementRefusal(RefusalReason.NO_TARGET, "no engine may take the call")
        loads, priority = self._state.loads, run.call.priority
        # Sources depend on the salt only, which the compared engines mostly share.
        sources: dict[str, PromptSources] = {}
        plans = [self._plan_cache(run, prompt, target, sources, now) for target in candidates]
        waits = [
            loads.estimate_wait(target.id, priority, plan.prefill_tokens, now)
            for target, plan in zip(candidates, plans, strict=True)
        ]
        best = choose_engine(waits)
        decision = AdmissionRequest(
            waits[best], run.call.route.latency_objective_s, run.time_left_s
        )
        if not is_admitted(decision):
            detail = (
                f"first event expected after {decision.expected_wait_s:.2f} s on the best of"
                f" {len(candidates)} engines, objective {decision.latency_objective_s:.2f} s"
            )
            delay = compute_retry_delay(decision, self._random.random())
            return PlacementRefusal(RefusalReason.OVERLOADED, detail, delay)
        return AttemptPlan(
            candidates[best], run.time_left_s, plans[best], run.last_event_id, waits[best]
        )

    def send_attempt(self, run: CallHandler, attempt: Attempt) -> None:
        """Gives the attempt a connection to its target."""
        target = attempt.plan.target
        now = self._loop.now()
        if target.is_cold(now):
            self._state.cold_pacer.record_send(target.id, now)
        cache = attempt.plan.cache
        if cache is not None:
            attempt.is_pending = True
            self._state.loads.add_pending(target.id, run.call.priority, cache.prefill_tokens)
        self._state.loads.add_run(target.id, count_held_tokens(run.call))
        pool = self._find_pool(target)
        max_idle_s = self._idle_limits.find_limit(target.registration.service, now)
        attempt.start(pool.acquire(not run.call.route.is_repeatable, max_idle_s))

    def on_first_output(self, run: CallHandler, attempt: Attempt) -> None:
        """Learns the target's speed and takes the prompt off its queue."""
        plan = attempt.plan
        elapsed = self._loop.now() - attempt.started_at
        loads, priority = self._state.loads, run.call.priority
        tokens = loads.estimate_tokens(plan.target.id, priority, plan.expected_wait_s)
        self._metrics.record_first_event(elapsed)
        loads.observe(plan.target.id, priority, tokens, elapsed)
        self._end_pending(run, attempt)

    def _end_pending(self, run: CallHandler, attempt: Attempt) -> None:
        cache = attempt.plan.cache
        if attempt.is_pending and cache is not None:
            attempt.is_pending = False
            self._state.loads.remove_pending(
                attempt.plan.target.id, run.call.priority, cache.prefill_tokens
            )

    def on_attempt_end(
        self, run: CallHandler, attempt: Attempt, outcome: Outcome, detail: str
    ) -> None:
        """Counts an attempt's end for its target's condition."""
        target = attempt.plan.target
        now = self._loop.now()
        self._metrics.record_attempt(target.registration.service, outcome.value)
        self._end_pending(run, attempt)
        self._state.loads.remove_run(target.id, count_held_tokens(run.call))
        has_later_version = self._learn_version(run, attempt)
        if outcome is Outcome.ANSWERED:
            target.record_success()
        elif outcome is Outcome.ERROR:
            target.record_error()
        elif outcome is Outcome.REJECTED:
            target.record_refusal(now, REFUSAL_COOLDOWN_S)
            self._state.target_updates.record_refusal(target.id, target.cooldown_until)
        elif outcome is Outcome.MISDIRECTED and has_later_version:
            target.record_refusal(now, REFUSAL_COOLDOWN_S)
        elif outcome is Outcome.MISDIRECTED:
            target.record_misdirection(now)
            self._state.target_updates.record_misdirection(
                target.id, target.consecutive_misdirections
            )
        elif outcome is not Outcome.CANCELLED or detail == "silent":
            if outcome is Outcome.BROKEN:
                self._learn_idle_limit(attempt, now)
            target.record_failure(now)
            self._find_pool(target).close_idle()

    def _learn_idle_limit(self, attempt: Attempt, now: float) -> None:
        """Notes a kept connection that was reset as soon as a call was sent on it."""
        is_reset = attempt.response is None and now - attempt.started_at < RESET_S
        if is_reset and attempt.idle_before_send_s > 0:
            service = attempt.plan.target.registration.service
            self._idle_limits.record_reset(service, attempt.idle_before_send_s, now)

    def _learn_version(self, run: CallHandler, attempt: Attempt) -> bool:
        """Takes the version of a target's weights from its answer; returns whether a later version
        than expected explains that the target did not run the call."""
        response_info, prompt = attempt.response_info, run.call.prompt
        if response_info is None or response_info.is_from_other_target or prompt is None:
            return False
        target, cache = attempt.plan.target, attempt.plan.cache
        for model, version in response_info.versions.items():
            if version > target.versions.get(model, 0):
                self._state.target_updates.record_version(target.id, model, version)
            target.update_version(model, version)
        newest = self._state.rollout.get_desired_version(prompt.model)
        is_misdirected = response_info.kind is ResponseKind.MISDIRECTED
        if is_misdirected and newest is not None and cache is not None and cache.version:
            return target.correct_version(prompt.model, cache.version, newest)
        return False

    def try_retry(self, run: CallHandler) -> bool:
        """Uses one retry of the service's budget."""
        return run.service is not None and self._find_budget(run.service.name).try_withdraw()

    def on_call_end(self, run: CallHandler, result: str) -> None:
        """Logs how a call ended."""
        self._runs.discard(run)
        call = run.call
        elapsed = self._loop.now() - run.arrived_at
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
            attempts=run.history,
            elapsed_ms=round(elapsed * 1000),
            configuration=table.version if table is not None else None,
        )

    def _list_targets(self, run: CallHandler, service: Service, now: float) -> list[Target]:
        targets = [
            target
            for target in self._state.targets.list_usable(service.name)
            if self._has_connection(target, service)
        ]
        prompt = run.call.prompt
        if prompt is None:
            return targets
        rollout = self._state.rollout
        limit = self._settings.bounds.version_ms / 1000 - VERSION_MARGIN_S
        if rollout.get_desired_version_age(prompt.model, now) < limit:
            return targets
        wanted = rollout.get_desired_version(prompt.model)
        return [t for t in targets if wanted is None or t.get_version(prompt.model) == wanted]

    def _has_connection(self, target: Target, service: Service) -> bool:
        """Whether this instance's share of the target's connections allows one more call."""
        pool = self._pools.get(target.id)
        if pool is None or service.max_connections <= 0:
            return True
        share = CONNECTION_SHARE * service.max_connections / len(self._state.instances)
        return pool.can_acquire(max(1, int(share)))

    def _plan_cache(
        self,
        run: CallHandler,
        prompt: Prompt,
        target: Target,
        sources: dict[str, PromptSources],
        now: float,
    ) -> CachePlan:
        """Plans the transfers to one engine; ``sources`` keeps what was found for each salt."""
        version = target.get_version(prompt.model)
        if version is None:
            # Nothing is shared until the version is known, since a part made under another version
            # must not be read.
            return CachePlan(salt=run.call.request_id, prefill_tokens=prompt.prompt_tokens)
        salt = format_salt(version, find_isolated_customer(run.call))
        cache, table = self._state.cache_index, self._state.route_table
        assert table is not None
        if salt not in sources:
            sources[salt] = find_sources(cache, table.list_stores(), salt, prompt.parts, now)
        transfers = plan_transfers(cache, sources[salt], target.registration.address)
        clock = self._state.engine_clock.read(now)
        limit = FETCH_SHARE * run.call.route.latency_objective_s
        return CachePlan(
            salt=salt,
            version=version,
            fetch=transfers.fetch,
            save=transfers.save,
            prefill_tokens=estimate_prefill_tokens(prompt.prompt_tokens, transfers),
            fetch_deadline_s=clock + limit if clock is not None else None,
        )

    def _find_budget(self, service: ServiceName) -> RetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            bounds = self._settings.bounds
            reserve = BUDGET_SHARE * bounds.retry_reserve / max(1, len(self._state.instances))
            budget = RetryBudget(ratio=BUDGET_SHARE * bounds.retry_ratio, reserve=reserve)
            self._budgets[service] = budget
        return budget

    def _find_pool(self, target: Target) -> ConnectionPool:
        pool = self._pools.get(target.id)
        if pool is None or pool.address != target.registration.address:
            if pool is not None:
                pool.close_idle()
            pool = ConnectionPool(self._loop, target.registration.address)
            self._pools[target.id] = pool
        return pool

    def _refuse(
        self, caller: InboundConnection, request: HttpRequest, refusal: RefusalReason, detail: str
    ) -> None:
        retry_after = RETRY_AFTER_S if refusal is RefusalReason.NOT_CONFIGURED else None
        status, headers, body = self._dialect.build_refusal(refusal, request, retry_after)
        caller.send_response(status, headers, body)
        self._metrics.record_refusal(refusal.value)
        log_event(
            _LOGGER,
            logging.INFO,
            Event.ENTRY_CALL_REFUSED,
            refusal.value,
            detail=detail,
            configuration=self._state.route_table.version if self._state.route_table else None,
        )

    def _clean_up(self) -> None:
        self._state.expire()
        self._state.loads.prune({target.id for target in self._state.targets.targets})
        for target_id, pool in list(self._pools.items()):
            pool.close_expired()
            if self._state.targets.get(target_id) is None:
                pool.close_idle()
                if pool.size == 0:
                    del self._pools[target_id]


def count_held_tokens(call: CallRequest) -> int:
    """Returns what a call takes of its target's memory."""
    return call.prompt.total_tokens if call.prompt is not None else 0


def find_isolated_customer(call: CallRequest) -> CustomerName | None:
    """Returns the customer if it shares no prompt parts with others."""
    customer = call.customer
    return customer.name if customer is not None and customer.is_isolated else None
