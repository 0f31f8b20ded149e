"""Chooses a target for each request and says why.

A policy orders the candidates that passed the filter; the router adds slots, hints and estimates.
"""

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Protocol

from ...errors import CoreError
from ..ids import DataCentre, TargetId
from .messages import (
    Choice,
    MemberState,
    Rejection,
    RoutingRequest,
    StoredPrefix,
    TargetState,
)
from .rendezvous import rank_members

# Hints about placed blocks; 65,536 entries take about 16 MB.
MAX_HINTS = 65_536
# A candidate above this multiple of the average load is passed over by affinity.
LOAD_BOUND = 1.25


@dataclass
class RoutingState:
    """What a policy may use besides the request and the candidates."""

    # Requests that this router has started on each target and not ended.
    started: dict[TargetId, int] = field(default_factory=dict)
    # Block key to the target that last computed it, least recently used first.
    hints: dict[bytes, TargetId] = field(default_factory=dict)

    def get_load(self, target: TargetState) -> int:
        """Returns the requests on a target; its own report lags, so the larger count holds."""
        return max(target.running + target.waiting, self.started.get(target.target, 0))

    def count_hinted_blocks(self, request: RoutingRequest, target: TargetId) -> int:
        """Returns the length of the prefix, in blocks, that was last placed on the target."""
        count = 0
        for key in request.block_keys:
            if self.hints.get(key) != target:
                break
            count += 1
        return count


@dataclass(frozen=True)
class Ranked:
    """A candidate with its place in the policy's order and the reason for it."""

    target: TargetState
    reason: str
    imported: StoredPrefix | None = None


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
        keyed = [
            (state.get_load(t) / max(1, t.max_concurrency), generator.random(), t)
            for t in candidates
        ]
        keyed.sort(key=lambda entry: entry[:2])
        return [Ranked(t, f"least loaded: {state.get_load(t)} requests") for _, _, t in keyed]


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
        """Orders by hinted prefix, then by rendezvous hash of the first block key."""
        if not request.block_keys:
            return LeastLoaded().rank(request, candidates, state, generator, now)
        by_id = {t.target: t for t in candidates}
        hinted = {id_: state.count_hinted_blocks(request, id_) for id_ in by_id}
        order = rank_members(request.block_keys[0], by_id)
        order.sort(key=lambda id_: -hinted[id_])
        average = (sum(state.get_load(t) for t in candidates) + 1) / max(1, len(candidates))
        within = [i for i in order if state.get_load(by_id[i]) + 1 <= LOAD_BOUND * average + 1]
        passed_over = [i for i in order if i not in within]
        return [
            Ranked(
                by_id[i], f"affinity: {hinted[i]} of {len(request.block_keys)} blocks placed there"
            )
            for i in within + passed_over
        ]


class Full(Affinity):
    """Weighs queue, import and compute time."""


class Router:
    """Filters the targets, lets the policy order them and takes the first with a free slot."""

    def __init__(self, policy: Policy, data_centre: DataCentre, seed: int) -> None:
        self._policy = policy
        self._data_centre = data_centre
        self._generator = random.Random(seed)
        self._state = RoutingState()

    def choose(
        self,
        request: RoutingRequest,
        targets: Sequence[TargetState],
        free_slots: Callable[[TargetState], int],
        now: float,
    ) -> Choice:
        """Returns the target to use, or a choice without target if none fits now."""
        rejected: list[Rejection] = []
        candidates: list[TargetState] = []
        for target in targets:
            reason = self._find_obstacle(request, target)
            if reason is None:
                candidates.append(target)
            else:
                rejected.append(Rejection(target.target, reason))
        ranked = self._policy.rank(request, candidates, self._state, self._generator, now)
        for position, entry in enumerate(ranked):
            if free_slots(entry.target) > 0:
                others = ranked[position + 1 :]
                rejected.extend(
                    Rejection(o.target.target, f"ranked lower: {o.reason}") for o in others
                )
                return Choice(entry.target, entry.reason, tuple(rejected), entry.imported)
            rejected.append(Rejection(entry.target.target, "no free slot"))
        return Choice(None, "no target fits now", tuple(rejected))

    def record_start(self, request: RoutingRequest, target: TargetState, now: float) -> None:
        """Counts the request and notes where its blocks will be."""
        started = self._state.started
        started[target.target] = started.get(target.target, 0) + 1
        hints = self._state.hints
        for key in request.block_keys:
            hints.pop(key, None)
            hints[key] = target.target
        while len(hints) > MAX_HINTS:
            hints.pop(next(iter(hints)))

    def record_end(
        self,
        request: RoutingRequest,
        target: TargetState,
        cached_tokens: int,
        first_token_s: float | None,
        now: float,
    ) -> None:
        """Ends a started request; ``first_token_s`` is None if no token arrived."""
        started = self._state.started
        left = started.get(target.target, 0) - 1
        if left > 0:
            started[target.target] = left
        else:
            started.pop(target.target, None)

    def _find_obstacle(self, request: RoutingRequest, target: TargetState) -> str | None:
        """Returns why the target cannot take the request, or None."""
        if target.pool != request.pool:
            return f"in pool {target.pool}, not {request.pool}"
        if target.data_centre != self._data_centre:
            return f"in data centre {target.data_centre}"
        if target.target in request.excluded:
            return "already tried by this request"
        if target.state is not MemberState.LIVE:
            return "leaving"
        if not target.healthy:
            return "not healthy"
        if request.model and (request.model, request.version) not in target.models:
            return f"has not loaded {request.model} version {request.version}"
        return None


def create_policy(name: str) -> Policy:
    """Returns the policy named in the settings; raises CoreError for another name."""
    policies: dict[str, type[Policy]] = {
        "full": Full,
        "affinity": Affinity,
        "least-loaded": LeastLoaded,
    }
    if name not in policies:
        raise CoreError(f"unknown routing policy {name!r}; use one of {', '.join(policies)}")
    return policies[name]()
