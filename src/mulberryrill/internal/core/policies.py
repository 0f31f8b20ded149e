"""Routing policies, which rank candidate targets and explain each rank to operators."""

import math
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from functools import partial
from typing import Protocol

from .estimates import TOKENS_PER_BLOCK, PrefixMatch, RoutingState
from .messages import RoutingRequest, StoredPrefix, TargetState
from .rendezvous import rank_members

# Hashing with bounded loads: prefix affinity passes a target over if its load would exceed this
# multiple of its fair share.
MAX_LOAD_FACTOR = 1.25
# Extra cost per second of prefill, which also delays the target's other prompts and evicts cached
# blocks that must be computed again. In simulated deployments, values from 1 to 4 gave about the
# same result, and 0 recomputed several times as much.
COMPUTE_SURCHARGE = 2.0
# Share of the outstanding prefill time by which a new prompt is delayed; less than 1, because
# engines interleave prompts.
PREFILL_DELAY_SHARE = 0.5
# Targets other than the first by hash must be cheaper by this factor, because differences between
# measured rates are partly noise.
OTHER_TARGET_COST_FACTOR = 1.1
# Expected share of a prompt's blocks that are cached where they were placed, or on the first target
# by hash. It is fixed: in simulated deployments with four gateways, learning it for prompts that a
# gateway had not seen made the gateways diverge and recompute five times as much.
EXPECTED_HIT_RATE = 0.9


@dataclass(frozen=True)
class RankedTarget:
    """A candidate with a function that explains its rank, called only if the text is needed."""

    target: TargetState
    explain: Callable[[], str]
    planned_import: StoredPrefix | None = None


class RoutingPolicy(Protocol):
    """Ranks candidate targets for a request."""

    def rank(
        self,
        request: RoutingRequest,
        candidates: Sequence[TargetState],
        state: RoutingState,
        generator: random.Random,
        now: float,
    ) -> list[RankedTarget]:
        """Returns all candidates, best first. Ties are broken by the random generator."""
        ...


class LeastLoadedPolicy:
    """The baseline: prefers the target with the fewest requests relative to its concurrency."""

    def rank(
        self,
        request: RoutingRequest,
        candidates: Sequence[TargetState],
        state: RoutingState,
        generator: random.Random,
        now: float,
    ) -> list[RankedTarget]:
        """Orders the candidates by utilization."""
        shuffled = generator.sample(list(candidates), len(candidates))
        shuffled.sort(key=lambda t: get_utilization(t, state))
        return [RankedTarget(t, partial(describe_load, t, state.get_load(t))) for t in shuffled]


class PrefixAffinityPolicy:
    """Sends prompts with the same prefix to the same target, unless that target is overloaded."""

    def rank(
        self,
        request: RoutingRequest,
        candidates: Sequence[TargetState],
        state: RoutingState,
        generator: random.Random,
        now: float,
    ) -> list[RankedTarget]:
        """Orders by length of placed prefix, then by rendezvous hash; overloaded targets last."""
        if not request.block_keys:
            return LeastLoadedPolicy().rank(request, candidates, state, generator, now)
        match = state.match_prefix(request)
        order = rank_by_hash(request, candidates)
        order.sort(key=match.count_placed_blocks, reverse=True)
        total = sum(state.get_load(t) for t in candidates) + 1
        capacity = sum(max(1, t.max_concurrency) for t in candidates)
        acceptable: list[RankedTarget] = []
        overloaded: list[RankedTarget] = []
        for target in order:
            fair_share = total * max(1, target.max_concurrency) / capacity
            load = state.get_load(target)
            if load + 1 <= math.ceil(MAX_LOAD_FACTOR * fair_share):
                placed = match.count_placed_blocks(target)
                acceptable.append(RankedTarget(target, partial(describe_prefix, request, placed)))
            else:
                overloaded.append(
                    RankedTarget(target, partial(describe_overload, load, fair_share))
                )
        return acceptable + overloaded


@dataclass(frozen=True)
class CostEstimate:
    """The expected times of a request on one candidate in seconds, and their weighted total."""

    queue_s: float
    import_s: float
    compute_s: float
    recomputed_s: float
    total: float
    planned_import: StoredPrefix | None = None

    def describe(self) -> str:
        """Returns the total and its parts as text for operators."""
        text = (
            f"cost {self.total:.2f}: queue {self.queue_s:.2f} s, import {self.import_s:.2f} s, "
            f"compute {self.compute_s:.2f} s"
        )
        if self.planned_import is not None:
            text += f", imports {self.planned_import.blocks} blocks"
        return text


class LowestCostPolicy:
    """Minimizes the cost of waiting, recomputation and link use, with the service's weights."""

    def rank(
        self,
        request: RoutingRequest,
        candidates: Sequence[TargetState],
        state: RoutingState,
        generator: random.Random,
        now: float,
    ) -> list[RankedTarget]:
        """Orders by cost. Equal costs are ordered by hash, so that gateways agree.

        Requests without block keys are ordered by utilization instead of hash.
        """
        if request.block_keys:
            order = rank_by_hash(request, candidates)
        else:
            order = generator.sample(list(candidates), len(candidates))
        match = state.match_prefix(request)
        costs: list[tuple[TargetState, CostEstimate]] = []
        for position, target in enumerate(order):
            tokens = estimate_cached_tokens(request, target, position == 0, match)
            costs.append((target, self._find_cheapest(request, target, tokens, match, state, now)))
        if request.block_keys:
            first = order[0] if order else None
            costs.sort(
                key=lambda entry: entry[1].total
                * (1 if entry[0] is first else OTHER_TARGET_COST_FACTOR)
            )
        else:
            costs.sort(key=lambda entry: (entry[1].total, get_utilization(entry[0], state)))
        return [RankedTarget(target, cost.describe, cost.planned_import) for target, cost in costs]

    def _find_cheapest(
        self,
        request: RoutingRequest,
        target: TargetState,
        cached_tokens: float,
        match: PrefixMatch,
        state: RoutingState,
        now: float,
    ) -> CostEstimate:
        """Returns the cheapest option: computing all that is not cached, or one of the imports."""
        known_tokens = min(request.prompt_tokens, match.known_blocks * TOKENS_PER_BLOCK)
        options = [
            estimate_cost(request, target, cached_tokens, known_tokens, None, state, now),
        ]
        for stored in request.stored_prefixes:
            affordable = limit_import(stored, cached_tokens, state, now)
            if affordable is not None:
                options.append(
                    estimate_cost(
                        request, target, cached_tokens, known_tokens, affordable, state, now
                    )
                )
        return min(options, key=lambda cost: cost.total)


def describe_load(target: TargetState, load: int) -> str:
    """Returns the explanation for a target ranked by load."""
    return f"load {load} of {target.max_concurrency} requests"


def describe_prefix(request: RoutingRequest, blocks: int) -> str:
    """Returns the explanation for a target ranked by placed prefix or hash."""
    return f"{blocks} of {len(request.block_keys)} blocks placed there" if blocks else "by hash"


def describe_overload(load: int, fair_share: float) -> str:
    """Returns the explanation for a target that is passed over because of its load."""
    return f"passed over: load {load} is above {MAX_LOAD_FACTOR} times its part {fair_share:.1f}"


def get_utilization(target: TargetState, state: RoutingState) -> float:
    """Returns the number of requests on the target divided by its maximum concurrency."""
    return state.get_load(target) / max(1, target.max_concurrency)


def rank_by_hash(request: RoutingRequest, candidates: Sequence[TargetState]) -> list[TargetState]:
    """Returns the candidates in the rendezvous order of the prompt's first block key."""
    by_id = {t.target: t for t in candidates}
    return [by_id[id_] for id_ in rank_members(request.block_keys[0], by_id)]


def estimate_cached_tokens(
    request: RoutingRequest,
    target: TargetState,
    is_first_by_hash: bool,
    match: PrefixMatch,
) -> float:
    """Returns the expected number of the prompt's tokens that the target has cached.

    The first target by hash is assumed to hold most of the prompt. Otherwise each gateway would
    prefer the target that it used last, and the copies would evict other prompts.
    """
    placed = match.count_placed_blocks(target)
    # Blocks that a store holds may have been evicted from the target, and an import is cheap.
    if not is_first_by_hash or request.stored_prefixes:
        return EXPECTED_HIT_RATE * placed * TOKENS_PER_BLOCK
    return max(placed, EXPECTED_HIT_RATE * len(request.block_keys)) * TOKENS_PER_BLOCK


def limit_import(
    stored: StoredPrefix, cached_tokens: float, state: RoutingState, now: float
) -> StoredPrefix | None:
    """Returns the longest part of a stored prefix that the link budget allows, or None.

    None means that no import is possible, or none longer than what the target has cached. An import
    always starts at the first block, because an engine can only use a contiguous prefix.
    """
    link = state.get_link_budget(stored.store)
    if link is None or stored.blocks <= 0 or link.rate <= 0:
        return None
    block_bytes = -(-stored.size_bytes // stored.blocks)
    blocks = stored.blocks
    if block_bytes > 0:
        blocks = min(blocks, int(link.get_tokens(now) // block_bytes))
    if blocks * TOKENS_PER_BLOCK <= cached_tokens:
        return None
    return StoredPrefix(stored.store, blocks, min(stored.size_bytes, blocks * block_bytes))


def estimate_cost(
    request: RoutingRequest,
    target: TargetState,
    cached_tokens: float,
    known_tokens: int,
    planned_import: StoredPrefix | None,
    state: RoutingState,
    now: float,
) -> CostEstimate:
    """Returns the expected cost of running the request on the target, with or without an import."""
    estimate = state.get_estimate(target.target)
    excess = max(0, state.get_load(target) + 1 - max(1, target.max_concurrency))
    queue_s = excess * estimate.mean_service_s / max(1, target.max_concurrency)
    queue_s += PREFILL_DELAY_SHARE * max(0.0, estimate.prefill_until - now)
    import_s = 0.0
    available_tokens = cached_tokens
    if planned_import is not None:
        link = state.get_link_budget(planned_import.store)
        import_s = planned_import.size_bytes / link.rate if link is not None else 0.0
        available_tokens = max(available_tokens, planned_import.blocks * TOKENS_PER_BLOCK)
    rate = max(1.0, estimate.prefill_tokens_per_s or state.typical_prefill_tokens_per_s)
    compute_s = max(0.0, request.prompt_tokens - available_tokens) / rate
    # Running requests share the accelerator with this prompt's prefill.
    queue_s += compute_s * min(1.0, get_utilization(target, state))
    recomputed_s = max(0.0, known_tokens - available_tokens) / rate
    weights = request.weights
    total = (
        weights.time_to_first_token * (queue_s + import_s + (1 + COMPUTE_SURCHARGE) * compute_s)
        + weights.recomputation * recomputed_s
        + weights.link * import_s
    )
    return CostEstimate(queue_s, import_s, compute_s, recomputed_s, total, planned_import)
