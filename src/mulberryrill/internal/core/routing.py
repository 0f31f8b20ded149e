"""Chooses a target for each request and says why."""

import random
from collections.abc import Callable, Mapping, Sequence

from ...errors import CoreError
from ..ids import DataCentre
from .estimates import RoutingState
from .messages import MemberState, Rejection, RoutingDecision, RoutingRequest, TargetState
from .policies import Affinity, Full, LeastLoaded, Policy, Ranked

POLICIES: Mapping[str, type[Policy]] = {
    "full": Full,
    "affinity": Affinity,
    "least-loaded": LeastLoaded,
}

# Candidates after the chosen one whose reasons are given; to put hundreds of costs into words would
# take longer than computing them.
MAX_EXPLAINED = 8


def create_policy(name: str) -> Policy:
    """Returns the policy named in the settings; raises CoreError for another name."""
    if name not in POLICIES:
        raise CoreError(f"unknown routing policy {name!r}; use one of {', '.join(POLICIES)}")
    return POLICIES[name]()


class Router:
    """Filters the targets, lets the policy order them and takes the first with a free slot."""

    def __init__(self, policy: Policy, data_centre: DataCentre, seed: int) -> None:
        self._policy = policy
        self._data_centre = data_centre
        self._generator = random.Random(seed)
        self._state = RoutingState()

    def set_link_rates(self, bytes_per_s: Mapping[str, float], now: float) -> None:
        """Sets this gateway's budget of each store's link; no other store is imported from."""
        self._state.set_link_rates(dict(bytes_per_s), now)

    def reserve_link_bytes(self, store: str, size_bytes: int, now: float) -> bool:
        """Takes the bytes of an export from a link's budget; false if they are not available."""
        link = self._state.get_link(store)
        return link is not None and link.take(size_bytes, now)

    def choose(
        self,
        request: RoutingRequest,
        targets: Sequence[TargetState],
        free_slots: Callable[[TargetState], int],
        now: float,
    ) -> RoutingDecision:
        """Returns the target to use, or a choice without target if none fits now."""
        rejected: list[Rejection] = []
        candidates: list[TargetState] = []
        for target in targets:
            obstacle = self._find_obstacle(request, target)
            if obstacle is None:
                candidates.append(target)
            else:
                rejected.append(Rejection(target.target, obstacle))
        ranked = self._policy.rank(request, candidates, self._state, self._generator, now)
        for position, entry in enumerate(ranked):
            if free_slots(entry.target) <= 0:
                rejected.append(Rejection(entry.target.target, "no free slot"))
                continue
            self._reserve_import(entry, now)
            next_best = ranked[position + 1 : position + 1 + MAX_EXPLAINED]
            rejected.extend(Rejection(e.target.target, e.explain()) for e in next_best)
            reason = entry.explain()
            others = len(ranked) - position - 1 - len(next_best)
            if others > 0:
                reason += f"; {others} more candidates ranked lower"
            return RoutingDecision(entry.target, reason, tuple(rejected), entry.planned_import)
        reason = "all candidates are full" if ranked else "no target can serve the request"
        return RoutingDecision(None, reason, tuple(rejected))

    def record_start(self, request: RoutingRequest, target: TargetState, now: float) -> None:
        """Notes that the request was sent to the target; each start needs one ``record_end``."""
        self._state.record_start(request, target, now)

    def record_end(
        self,
        request: RoutingRequest,
        target: TargetState,
        cached_tokens: int,
        first_token_s: float | None,
        now: float,
    ) -> None:
        """Notes the end; ``first_token_s`` counts from the start, None if no token arrived."""
        self._state.record_end(request, target, cached_tokens, first_token_s, now)

    def _reserve_import(self, entry: Ranked, now: float) -> None:
        """Takes the import's bytes; the policy has checked that they are available."""
        if entry.planned_import is not None and not self.reserve_link_bytes(
            entry.planned_import.store, entry.planned_import.size_bytes, now
        ):
            raise CoreError(f"the link budget of {entry.planned_import.store} is exceeded")

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
