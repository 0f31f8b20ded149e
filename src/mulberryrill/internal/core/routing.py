"""Chooses a target for each request and explains the decision."""

import random
from collections.abc import Callable, Mapping, Sequence

from ...errors import CoreError
from ..ids import DataCentre
from .estimates import RoutingState
from .messages import MemberState, RejectedTarget, RoutingDecision, RoutingRequest, TargetState
from .policies import (
    LeastLoadedPolicy,
    LowestCostPolicy,
    PrefixAffinityPolicy,
    RankedTarget,
    RoutingPolicy,
)

POLICIES: Mapping[str, type[RoutingPolicy]] = {
    "full": LowestCostPolicy,
    "affinity": PrefixAffinityPolicy,
    "least-loaded": LeastLoadedPolicy,
}

# Number of candidates after the chosen one that are explained. Formatting hundreds of costs would
# take longer than computing them.
MAX_EXPLAINED_CANDIDATES = 8


def create_policy(name: str) -> RoutingPolicy:
    """Returns the policy with a name from the settings; raises CoreError for an unknown name."""
    if name not in POLICIES:
        raise CoreError(f"unknown routing policy {name!r}; use one of {', '.join(POLICIES)}")
    return POLICIES[name]()


class Router:
    """Filters the targets, ranks them with the policy and takes the first with a free slot."""

    def __init__(self, policy: RoutingPolicy, data_centre: DataCentre, seed: int) -> None:
        self._policy = policy
        self._data_centre = data_centre
        self._generator = random.Random(seed)
        self._state = RoutingState()

    def set_link_rates(self, bytes_per_s: Mapping[str, float], now: float) -> None:
        """Sets this gateway's rate for each store's link; other stores are not imported from."""
        self._state.set_link_rates(dict(bytes_per_s), now)

    def reserve_link_bytes(self, store: str, size_bytes: int, now: float) -> bool:
        """Reserves bytes of a link's budget; returns False, reserving none, if it has too few."""
        link = self._state.get_link_budget(store)
        return link is not None and link.take(size_bytes, now)

    def choose(
        self,
        request: RoutingRequest,
        targets: Sequence[TargetState],
        free_slots: Callable[[TargetState], int],
        now: float,
    ) -> RoutingDecision:
        """Returns the target to use, or a decision without target if none can take the request."""
        rejected: list[RejectedTarget] = []
        candidates: list[TargetState] = []
        for target in targets:
            rejection_reason = self._find_rejection_reason(request, target)
            if rejection_reason is None:
                candidates.append(target)
            else:
                rejected.append(RejectedTarget(target.target, rejection_reason))
        ranked = self._policy.rank(request, candidates, self._state, self._generator, now)
        for position, entry in enumerate(ranked):
            if free_slots(entry.target) <= 0:
                rejected.append(RejectedTarget(entry.target.target, "no free slot"))
                continue
            self._reserve_import(entry, now)
            explained = ranked[position + 1 : position + 1 + MAX_EXPLAINED_CANDIDATES]
            rejected.extend(RejectedTarget(e.target.target, e.explain()) for e in explained)
            reason = entry.explain()
            others = len(ranked) - position - 1 - len(explained)
            if others > 0:
                reason += f"; {others} more candidates ranked lower"
            return RoutingDecision(entry.target, reason, tuple(rejected), entry.planned_import)
        reason = "all candidates are full" if ranked else "no target can serve the request"
        return RoutingDecision(None, reason, tuple(rejected))

    def record_start(self, request: RoutingRequest, target: TargetState, now: float) -> None:
        """Records that the request was sent to the target; each call needs one ``record_end``."""
        self._state.record_start(request, target, now)

    def record_end(
        self,
        request: RoutingRequest,
        target: TargetState,
        cached_tokens: int,
        first_token_s: float | None,
        now: float,
    ) -> None:
        """Records the end of a request.

        ``first_token_s`` is the time from the start to the first token, None if none arrived.
        """
        self._state.record_end(request, target, cached_tokens, first_token_s, now)

    def _reserve_import(self, entry: RankedTarget, now: float) -> None:
        """Reserves the import's bytes in the link budget; the policy has checked that they fit."""
        if entry.planned_import is not None and not self.reserve_link_bytes(
            entry.planned_import.store, entry.planned_import.size_bytes, now
        ):
            raise CoreError(f"the link budget of {entry.planned_import.store} is exceeded")

    def _find_rejection_reason(self, request: RoutingRequest, target: TargetState) -> str | None:
        """Returns why the target cannot take the request, or None if it can."""
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
