"""Routing policies: how candidates are ordered, with a reason that operators can read."""

import math
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from functools import partial
from typing import Protocol

from .estimates import TOKENS_PER_BLOCK, PrefixMatch, RoutingState
from .messages import RoutingRequest, StoredPrefix, TargetState
from .rendezvous import rank_members

# A candidate above this multiple of its part of the load is passed over by affinity.
LOAD_BOUND = 1.25
# A computed second also delays the target's other prompts and displaces cached blocks that must be
# computed again. In simulated deployments 1 to 4 gave about the same result, and 0 recomputed
# several times as much.
OCCUPANCY = 2.0
# Engines interleave prompts, so only part of the computation ahead delays the next prompt.
PREFILL_OVERLAP = 0.5
# Another target than the one that the hash names must be cheaper by this factor, because the
# differences between measured rates are partly noise.
OTHER_FACTOR = 1.1
# Share of a prompt's blocks that is probably cached where they were placed, or on the target that
# the hash names. In simulated deployments with four gateways, learning the share for prompts that a
# gateway had not seen made them diverge and recompute five times as much.
PLACED_SHARE = 0.9


@dataclass(frozen=True)
class Ranked:
    """A candidate and the reason for its place, which is put into words only if it is needed."""

    target: TargetState
    explain: Callable[[], str]
    planned_import: StoredPrefix | None = None


class Policy(Protocol):
    """Orders candidates, best first."""

    def rank(
        self,
        request: RoutingRequest,
        candidates: Sequence[TargetState],
        state: RoutingState,
        generator: random.Random,
        now: float,
    ) -> list[Ranked]:
        """Returns all candidates, best first. Ties are broken by the generator."""
        ...


class LeastLoaded:
    """The baseline: fewest requests in relation to the target's concurrency."""

    def rank(
        self,
        request: RoutingRequest,
        candidates: Sequence[TargetState],
        state: RoutingState,
        generator: random.Random,
        now: float,
    ) -> list[Ranked]:
        """Orders by load."""
        shuffled = generator.sample(list(candidates), len(candidates))
        shuffled.sort(key=lambda t: get_utilization(t, state))
        return [Ranked(t, partial(describe_load, t, state.get_load(t))) for t in shuffled]


class Affinity:
    """Sends prompts with the same beginning to the same target, unless it has too much load."""

    def rank(
        self,
        request: RoutingRequest,
        candidates: Sequence[TargetState],
        state: RoutingState,
        generator: random.Random,
        now: float,
    ) -> list[Ranked]:
        """Orders by placed prefix, then by rendezvous hash; candidates with too much load last."""
        if not request.block_keys:
            return LeastLoaded().rank(request, candidates, state, generator, now)
        match = state.match(request)
        order = rank_by_hash(request, candidates)
        order.sort(key=match.count_placed, reverse=True)
        total = sum(state.get_load(t) for t in candidates) + 1
        capacity = sum(max(1, t.max_concurrency) for t in candidates)
        within: list[Ranked] = []
        above: list[Ranked] = []
        for target in order:
            part = total * max(1, target.max_concurrency) / capacity
            load = state.get_load(target)
            if load + 1 <= math.ceil(LOAD_BOUND * part):
                placed = match.count_placed(target)
                within.append(Ranked(target, partial(describe_placed, request, placed)))
            else:
                above.append(Ranked(target, partial(describe_excess, load, part)))
        return within + above


@dataclass(frozen=True)
class Cost:
    """The expected times of a request on one candidate, in seconds."""

    queue_s: float
    import_s: float
    compute_s: float
    recomputed_s: float
    total: float
    planned_import: StoredPrefix | None = None

    def describe(self) -> str:
        """Returns the parts in words."""
        text = (
            f"cost {self.total:.2f}: queue {self.queue_s:.2f} s, import {self.import_s:.2f} s, "
            f"compute {self.compute_s:.2f} s"
        )
        if self.planned_import is not None:
            text += f", imports {self.planned_import.blocks} blocks"
        return text


class Full:
    """Weighs waiting, recomputation and link use by the service's document."""

    def rank(
        self,
        request: RoutingRequest,
        candidates: Sequence[TargetState],
        state: RoutingState,
        generator: random.Random,
        now: float,
    ) -> list[Ranked]:
        """Orders by cost, then by hash so that gateways agree; without blocks by load."""
        if request.block_keys:
            order = rank_by_hash(request, candidates)
        else:
            order = generator.sample(list(candidates), len(candidates))
        match = state.match(request)
        costs: list[tuple[TargetState, Cost]] = []
        for position, target in enumerate(order):
            tokens = estimate_cached_tokens(request, target, position == 0, match)
            costs.append((target, self._find_best(request, target, tokens, match, state, now)))
        if request.block_keys:
            first = order[0] if order else None
            costs.sort(
                key=lambda entry: entry[1].total * (1 if entry[0] is first else OTHER_FACTOR)
            )
        else:
            costs.sort(key=lambda entry: (entry[1].total, get_utilization(entry[0], state)))
        return [Ranked(target, cost.describe, cost.planned_import) for target, cost in costs]

    def _find_best(
        self,
        request: RoutingRequest,
        target: TargetState,
        cached_tokens: float,
        match: PrefixMatch,
        state: RoutingState,
        now: float,
    ) -> Cost:
        """Compares computing everything that is not cached with each possible import."""
        known_tokens = min(request.prompt_tokens, match.known * TOKENS_PER_BLOCK)
        options = [
            compute_cost(request, target, cached_tokens, known_tokens, None, state, now),
        ]
        for stored in request.stored_prefixes:
            part = limit_import(stored, cached_tokens, state, now)
            if part is not None:
                options.append(
                    compute_cost(request, target, cached_tokens, known_tokens, part, state, now)
                )
        return min(options, key=lambda cost: cost.total)


def describe_load(target: TargetState, load: int) -> str:
    """Returns the reason of the least-loaded policy."""
    return f"load {load} of {target.max_concurrency} requests"


def describe_placed(request: RoutingRequest, blocks: int) -> str:
    """Returns the reason for an affine target."""
    return f"{blocks} of {len(request.block_keys)} blocks placed there" if blocks else "by hash"


def describe_excess(load: int, part: float) -> str:
    """Returns the reason for passing a target over."""
    return f"passed over: load {load} is above {LOAD_BOUND} times its part {part:.1f}"


def get_utilization(target: TargetState, state: RoutingState) -> float:
    """Returns the load in relation to the target's concurrency."""
    return state.get_load(target) / max(1, target.max_concurrency)


def rank_by_hash(request: RoutingRequest, candidates: Sequence[TargetState]) -> list[TargetState]:
    """Returns the candidates in the order of the first block key's rendezvous hash."""
    by_id = {t.target: t for t in candidates}
    return [by_id[id_] for id_ in rank_members(request.block_keys[0], by_id)]


def estimate_cached_tokens(
    request: RoutingRequest,
    target: TargetState,
    is_first_by_hash: bool,
    match: PrefixMatch,
) -> float:
    """Returns how many tokens of the prompt the target probably has cached.

    Without preference for the target that the hash names, each gateway would prefer the one that it
    used last. The gateways would then keep several copies of each prompt, which displace others.
    """
    placed = match.count_placed(target)
    # Blocks that were stored may have left the target's memory since, and an import is cheap.
    if not is_first_by_hash or request.stored_prefixes:
        return PLACED_SHARE * placed * TOKENS_PER_BLOCK
    return max(placed, PLACED_SHARE * len(request.block_keys)) * TOKENS_PER_BLOCK


def limit_import(
    stored: StoredPrefix, cached_tokens: float, state: RoutingState, now: float
) -> StoredPrefix | None:
    """Returns the longest part of a stored prefix that the link's budget allows.

    An import always starts at the first block, because an engine needs an unbroken prefix.
    """
    link = state.get_link(stored.store)
    if link is None or stored.blocks <= 0 or link.rate <= 0:
        return None
    block_bytes = -(-stored.size_bytes // stored.blocks)
    blocks = stored.blocks
    if block_bytes > 0:
        blocks = min(blocks, int(link.get_tokens(now) // block_bytes))
    if blocks * TOKENS_PER_BLOCK <= cached_tokens:
        return None
    return StoredPrefix(stored.store, blocks, min(stored.size_bytes, blocks * block_bytes))


def compute_cost(
    request: RoutingRequest,
    target: TargetState,
    cached_tokens: float,
    known_tokens: int,
    planned_import: StoredPrefix | None,
    state: RoutingState,
    now: float,
) -> Cost:
    """Returns the cost of running the request on the target with an import or without."""
    estimate = state.get_estimate(target.target)
    excess = max(0, state.get_load(target) + 1 - max(1, target.max_concurrency))
    queue_s = excess * estimate.service_s / max(1, target.max_concurrency)
    queue_s += PREFILL_OVERLAP * max(0.0, estimate.prefill_until - now)
    import_s = 0.0
    ready_tokens = cached_tokens
    if planned_import is not None:
        link = state.get_link(planned_import.store)
        import_s = planned_import.size_bytes / link.rate if link is not None else 0.0
        ready_tokens = max(ready_tokens, planned_import.blocks * TOKENS_PER_BLOCK)
    rate = max(1.0, estimate.prefill_tokens_per_s or state.typical_prefill_tokens_per_s)
    compute_s = max(0.0, request.prompt_tokens - ready_tokens) / rate
    # Running requests share the accelerator with the prompt.
    queue_s += compute_s * min(1.0, get_utilization(target, state))
    recomputed_s = max(0.0, known_tokens - ready_tokens) / rate
    weights = request.weights
    total = (
        weights.time_to_first_token * (queue_s + import_s + (1 + OCCUPANCY) * compute_s)
        + weights.recomputation * recomputed_s
        + weights.link * import_s
    )
    return Cost(queue_s, import_s, compute_s, recomputed_s, total, planned_import)
