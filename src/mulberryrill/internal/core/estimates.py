"""A router's estimates of target speed and load, and its records of placed blocks and links."""

from collections.abc import Iterable
from dataclasses import dataclass

from ..ids import Incarnation, RequestId, TargetId
from .buckets import TokenBucket
from .messages import RoutingRequest, TargetState

# One block of 8 KiB (see ``cachekeys``) at 4 bytes per token.
TOKENS_PER_BLOCK = 2048
# 65,536 blocks stand for 130 million tokens, and their records take about 20 MB.
MAX_PLACED_BLOCKS = 65_536
# Targets recorded for each block; more than one, because load spreads popular prefixes.
MAX_TARGETS_PER_BLOCK = 3
# Weight of a new sample in the exponentially weighted moving averages.
SAMPLE_WEIGHT = 0.2
# Weight of a sample below the average prefill rate. It is smaller, because waiting in the engine
# and responses that are not streamed make a target appear slower than it is, never faster.
SLOWER_SAMPLE_WEIGHT = 0.05
# Used until any target has been measured; afterwards a new target gets the rate of a typical one.
DEFAULT_PREFILL_TOKENS_PER_S = 4000.0
DEFAULT_SERVICE_S = 1.0
# With fewer computed tokens, the time to the first token depends more on the network.
MIN_MEASURED_TOKENS = 200
# Burst of a link's budget, as seconds of its rate.
LINK_BURST_S = 1.0


@dataclass
class TargetEstimate:
    """Load and moving averages of one target; times in seconds."""

    # None until measured.
    prefill_tokens_per_s: float | None = None
    mean_service_s: float = DEFAULT_SERVICE_S
    # Requests that this router started and that have not ended, and the expected end of their
    # prefill.
    active_requests: int = 0
    prefill_until: float = float("-inf")


@dataclass(frozen=True)
class PrefixMatch:
    """How many blocks of a prompt, counted from its start, were computed before."""

    # Number of blocks by target and incarnation; those that hold none are left out.
    placed_blocks: dict[tuple[TargetId, Incarnation], int]
    # The largest number on any target or store.
    known_blocks: int

    def count_placed_blocks(self, target: TargetState) -> int:
        """Returns the number of blocks that the target is expected to hold."""
        return self.placed_blocks.get((target.target, target.incarnation), 0)


class RoutingState:
    """The state that policies use besides the request and the candidates."""

    def __init__(self) -> None:
        self._estimates: dict[TargetId, TargetEstimate] = {}
        # Block key to the targets, with incarnation, that computed or imported it last. Keys are in
        # order of use, least recently used first.
        self._placements: dict[bytes, tuple[tuple[TargetId, Incarnation], ...]] = {}
        self._start_times: dict[tuple[RequestId, TargetId], float] = {}
        self._link_budgets: dict[str, TokenBucket] = {}
        self.typical_prefill_tokens_per_s = DEFAULT_PREFILL_TOKENS_PER_S
        self._is_measured = False

    def get_estimate(self, target: TargetId) -> TargetEstimate:
        """Returns the estimate of a target, which is created at the first call."""
        return self._estimates.setdefault(target, TargetEstimate())

    def get_load(self, target: TargetState) -> int:
        """Returns the number of requests on a target.

        This is the larger of the target's count, which lags, and the count of this router.
        """
        estimate = self._estimates.get(target.target)
        return max(
            target.running + target.waiting, estimate.active_requests if estimate is not None else 0
        )

    def match_prefix(self, request: RoutingRequest) -> PrefixMatch:
        """Returns which blocks of the prompt are placed on targets or held by stores."""
        placed: dict[tuple[TargetId, Incarnation], int] = {}
        known = 0
        for position, key in enumerate(request.block_keys):
            places = self._placements.get(key)
            if places is None:
                break
            known = position + 1
            for place in places:
                if placed.get(place, 0) == position:
                    placed[place] = known
        return PrefixMatch(
            placed, max([known, *(stored.blocks for stored in request.stored_prefixes)])
        )

    def get_link_budget(self, store: str) -> TokenBucket | None:
        """Returns the budget of a store's link, or None if the link may not be used."""
        return self._link_budgets.get(store)

    def set_link_rates(self, bytes_per_s: dict[str, float], now: float) -> None:
        """Sets the rates of all store links; links of other stores may no longer be used."""
        for store in set(self._link_budgets) - set(bytes_per_s):
            del self._link_budgets[store]
        for store, rate in bytes_per_s.items():
            burst = rate * LINK_BURST_S
            if store in self._link_budgets:
                self._link_budgets[store].set_rate(rate, burst, now)
            else:
                self._link_budgets[store] = TokenBucket(rate, burst, now)

    def record_start(self, request: RoutingRequest, target: TargetState, now: float) -> None:
        """Counts the request, adds its expected prefill time and records where its blocks go."""
        match = self.match_prefix(request)
        self._start_times[(request.request_id, target.target)] = now
        estimate = self.get_estimate(target.target)
        estimate.active_requests += 1
        tokens = max(
            0, request.prompt_tokens - match.count_placed_blocks(target) * TOKENS_PER_BLOCK
        )
        prefill_s = tokens / self._get_prefill_rate(estimate)
        estimate.prefill_until = max(estimate.prefill_until, now) + prefill_s
        self._record_placement(request.block_keys, target)

    def record_end(
        self,
        request: RoutingRequest,
        target: TargetState,
        cached_tokens: int,
        first_token_s: float | None,
        now: float,
    ) -> None:
        """Updates the averages with a request that ended; ignored if its start is not recorded."""
        start_time = self._start_times.pop((request.request_id, target.target), None)
        if start_time is None:
            return
        estimate = self.get_estimate(target.target)
        estimate.active_requests -= 1
        if estimate.active_requests == 0:
            estimate.prefill_until = float("-inf")
        if first_token_s is None:
            # The request failed, so the target may not hold the blocks.
            self._remove_placement(request.block_keys, target)
            return
        estimate.mean_service_s += SAMPLE_WEIGHT * (now - start_time - estimate.mean_service_s)
        computed = request.prompt_tokens - cached_tokens
        if computed >= MIN_MEASURED_TOKENS and first_token_s > 0:
            sample = computed / first_token_s
            if not self._is_measured:
                self._is_measured = True
                self.typical_prefill_tokens_per_s = sample
            self.typical_prefill_tokens_per_s = _update_average(
                self.typical_prefill_tokens_per_s, sample
            )
            estimate.prefill_tokens_per_s = _update_average(
                self._get_prefill_rate(estimate), sample
            )

    def _get_prefill_rate(self, estimate: TargetEstimate) -> float:
        return estimate.prefill_tokens_per_s or self.typical_prefill_tokens_per_s

    def _record_placement(self, keys: Iterable[bytes], target: TargetState) -> None:
        place = (target.target, target.incarnation)
        for key in keys:
            others = [p for p in self._placements.pop(key, ()) if p[0] != target.target]
            self._placements[key] = (place, *others[: MAX_TARGETS_PER_BLOCK - 1])
        while len(self._placements) > MAX_PLACED_BLOCKS:
            del self._placements[next(iter(self._placements))]

    def _remove_placement(self, keys: Iterable[bytes], target: TargetState) -> None:
        for key in keys:
            others = tuple(p for p in self._placements.get(key, ()) if p[0] != target.target)
            if others:
                self._placements[key] = others
            else:
                self._placements.pop(key, None)


def _update_average(average: float, sample: float) -> float:
    weight = SAMPLE_WEIGHT if sample > average else SLOWER_SAMPLE_WEIGHT
    return average + weight * (sample - average)
