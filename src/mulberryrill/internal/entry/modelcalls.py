"""Plans attempts at model calls: the engine, and the transfers of cached prompt parts."""

import random

from ..core.serving.admission import AdmissionRequest, compute_retry_delay, is_admitted
from ..core.serving.cacheindex import (
    PromptSources,
    estimate_prefill_tokens,
    find_sources,
    format_salt,
    plan_transfers,
)
from ..core.serving.outdated import (
    compute_rollout_retry_delay,
    compute_version_age_limit,
    list_current,
)
from ..core.serving.placement import Placement, PlacementRequest, choose_engine
from ..core.serving.routetable import DEFAULT_TOKEN_BYTES, Prompt, Service
from ..core.serving.targettable import Target
from ..eventloop import EventLoop
from ..ids import CustomerName, ModelName, WeightVersion
from .dialect import AttemptPlan, CachePlan, CallRequest, RefusalReason
from .run import CallHandler, PlacementRefusal
from .state import EntryState

# Share of an engine's KV cache that running calls may fill, counting shared prompt parts for each
# call. Beyond it engines evict fetched prompt parts before they are used, and preempt calls.
MAX_HELD_SHARE = 0.9
# Streams that are taken up may fill more than all of it: only engines of one software version can
# go on with them, parts that calls share count several times, and urgent calls preempt others.
MAX_TAKE_UP_HELD_SHARE = 1.2
# A fetch may take this share of the route's latency objective; a slower one is abandoned and the
# prompt is prefilled.
MAX_FETCH_SHARE = 0.5


class ModelCallPlanner:
    """Used on the event loop's thread only."""

    def __init__(
        self,
        loop: EventLoop,
        state: EntryState,
        placement: Placement,
        generator: random.Random,
    ) -> None:
        self._loop = loop
        self._state = state
        self._placement = placement
        self._random = generator

    def plan_attempt(
        self,
        handler: CallHandler,
        service: Service,
        prompt: Prompt,
        targets: list[Target],
        request: PlacementRequest,
    ) -> AttemptPlan | PlacementRefusal:
        """Chooses among the engines with recent weights and enough memory for the call."""
        now = request.now
        required = self._find_required_version(handler.call, prompt.model)
        current = list_current(targets, prompt.model, required)
        if targets and not current:
            return PlacementRefusal(
                RefusalReason.NO_TARGET,
                f"{len(targets)} targets have weights older than version {required}",
                compute_rollout_retry_delay(self._random.random()),
            )
        candidates = self._placement.list_candidates(current, request, service.cold_rate)
        if service.engine is not None:
            held_share = MAX_TAKE_UP_HELD_SHARE if handler.call.is_take_up else MAX_HELD_SHARE
            held_limit = held_share * service.engine.cache_tokens - prompt.total_tokens
            candidates = [t for t in candidates if self._estimate_held_tokens(t, now) <= held_limit]
            if current and not candidates:
                return PlacementRefusal(
                    RefusalReason.OVERLOADED,
                    f"no room for {prompt.total_tokens} tokens on {len(current)} targets",
                )
        return self._plan_engine_attempt(handler, prompt, candidates, now)

    def _estimate_held_tokens(self, target: Target, now: float) -> float:
        return self._state.loads.estimate_held_tokens(target.id, now)

    def _plan_engine_attempt(
        self, handler: CallHandler, prompt: Prompt, candidates: list[Target], now: float
    ) -> AttemptPlan | PlacementRefusal:
        """Chooses the engine with the shortest expected wait, or refuses the call."""
        if not candidates:
            return PlacementRefusal(RefusalReason.NO_TARGET, "no engine may take the call")
        loads, priority = self._state.loads, handler.call.priority
        # Sources depend only on the salt, which most candidate engines share.
        sources: dict[str, PromptSources] = {}
        prefill_tokens = [
            self._estimate_prefill_tokens(handler, prompt, target, sources) for target in candidates
        ]
        waits = [
            loads.estimate_wait(target.id, priority, tokens, now)
            for target, tokens in zip(candidates, prefill_tokens, strict=True)
        ]
        best = choose_engine(waits)
        # A stream that is taken up has kept its caller waiting already, and most of it is paid for.
        objective_s = (
            handler.time_left_s
            if handler.call.is_take_up
            else handler.call.route.latency_objective_s
        )
        admission = AdmissionRequest(waits[best], objective_s, handler.time_left_s)
        if not is_admitted(admission):
            detail = (
                f"first event expected after {admission.expected_wait_s:.2f} s on the best of"
                f" {len(candidates)} engines, objective {admission.latency_objective_s:.2f} s"
            )
            delay = compute_retry_delay(admission, self._random.random())
            return PlacementRefusal(RefusalReason.OVERLOADED, detail, delay)
        plan = self._plan_cache(
            handler, prompt, candidates[best], sources, prefill_tokens[best], now
        )
        return AttemptPlan(
            candidates[best], handler.time_left_s, plan, handler.last_event_id, waits[best]
        )

    def _find_required_version(self, call: CallRequest, model: ModelName) -> WeightVersion | None:
        """Returns the oldest version of the model on which the call may still begin."""
        min_age_s = compute_version_age_limit(
            self._state.version_bound_s, call.route.latency_objective_s
        )
        return self._state.named_versions.find_required(model, min_age_s, self._loop.boottime())

    def _estimate_prefill_tokens(
        self,
        handler: CallHandler,
        prompt: Prompt,
        target: Target,
        sources: dict[str, PromptSources],
    ) -> int:
        """Estimates what an engine must prefill; adds the sources of its salt to ``sources``."""
        version = target.get_version(prompt.model)
        if version is None:
            return prompt.prompt_tokens
        salt = format_salt(version, get_isolated_customer(handler.call))
        cache, table = self._state.cache_index, self._state.route_table
        assert table is not None
        if salt not in sources:
            valid = self._state.find_valid_parts(prompt.model, version)
            engine = handler.service.engine if handler.service is not None else None
            sources[salt] = find_sources(
                cache,
                table.list_stores(),
                salt,
                prompt.parts,
                self._loop.boottime(),
                valid,
                engine.token_bytes if engine is not None else DEFAULT_TOKEN_BYTES,
            )
        address = target.registration.address
        return estimate_prefill_tokens(cache, sources[salt], prompt.prompt_tokens, address)

    def _plan_cache(
        self,
        handler: CallHandler,
        prompt: Prompt,
        target: Target,
        sources: dict[str, PromptSources],
        prefill_tokens: int,
        now: float,
    ) -> CachePlan:
        """Plans the transfers of cached parts for the chosen engine."""
        version = target.get_version(prompt.model)
        if version is None:
            # Until the version is known nothing is shared: parts of another version must not be
            # used.
            return CachePlan(salt=handler.call.request_id, prefill_tokens=prefill_tokens)
        salt = format_salt(version, get_isolated_customer(handler.call))
        address = target.registration.address
        transfers = plan_transfers(self._state.cache_index, sources[salt], address)
        clock = self._state.engine_clock.read(now)
        fetch_time_s = MAX_FETCH_SHARE * handler.call.route.latency_objective_s
        return CachePlan(
            salt=salt,
            version=version,
            fetch=transfers.fetch,
            save=transfers.save,
            prefill_tokens=prefill_tokens,
            fetch_deadline_s=clock + fetch_time_s if clock is not None else None,
            restriction=sources[salt].restriction,
        )


def count_held_tokens(call: CallRequest) -> int:
    """Returns the tokens that a call occupies in its target's cache memory."""
    return call.prompt.total_tokens if call.prompt is not None else 0


def get_isolated_customer(call: CallRequest) -> CustomerName | None:
    """Returns the call's customer if it shares no prompt parts with others."""
    customer = call.customer
    return customer.name if customer is not None and customer.is_isolated else None
