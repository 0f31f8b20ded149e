"""What a router has learned of targets, placed blocks and store links."""

from collections.abc import Iterable
from dataclasses import dataclass

from ..ids import Incarnation, RequestId, TargetId
from .buckets import TokenBucket
from .messages import RoutingRequest, TargetState

# A block of 8 KiB (see ``cachekeys``) at 4 bytes a token.
TOKENS_PER_BLOCK = 2048
# 65,536 placed blocks are 130 million tokens and take about 20 MB.
MAX_PLACEMENTS = 65_536
# A block is remembered on this many targets, because load spreads popular prefixes.
TARGETS_PER_BLOCK = 3
# Weight of a new sample.
SAMPLE_WEIGHT = 0.2
# Waiting in the engine and responses that are not streamed make a target appear slower than it
# computes, never faster, so slower samples weigh less.
SLOWER_SAMPLE_WEIGHT = 0.05
# Used until any target has been measured; then a new target is taken for a typical one.
DEFAULT_PREFILL_TOKENS_PER_S = 4000.0
DEFAULT_SERVICE_S = 1.0
# Shorter prompts measure the network more than the target.
MIN_MEASURED_TOKENS = 200
# A link may transfer the bytes of this time at once.
LINK_BURST_S = 1.0


@dataclass
class TargetEstimate:
    """Averages of one target; times in seconds."""

    # None until measured.
    prefill_tokens_per_s: float | None = None
    service_s: float = DEFAULT_SERVICE_S
    # Requests started here and not ended, and when their prompts will have been computed.
    started: int = 0
    prefill_until: float = float("-inf")


@dataclass(frozen=True)
class PrefixMatch:
    """How much of a prompt was computed before, in blocks from its beginning."""

    # By target run; runs that hold nothing are left out.
    placed: dict[tuple[TargetId, Incarnation], int]
    # Anywhere, stores included.
    known: int

    def count_placed(self, target: TargetState) -> int:
        """Returns the blocks that the target is thought to hold."""
        return self.placed.get((target.target, target.incarnation), 0)


class RoutingState:
    """Everything that a policy uses besides the request and the candidates."""

    def __init__(self) -> None:
        self._estimates: dict[TargetId, TargetEstimate] = {}
        # Block key to the target runs that computed or imported it last; least recently used first.
        self._placements: dict[bytes, tuple[tuple[TargetId, Incarnation], ...]] = {}
        self._started: dict[tuple[RequestId, TargetId], float] = {}
        self._links: dict[str, TokenBucket] = {}
        self.typical_prefill_tokens_per_s = DEFAULT_PREFILL_TOKENS_PER_S
        self._is_measured = False

    def get_estimate(self, target: TargetId) -> TargetEstimate:
        """Returns the averages of a target."""
        return self._estimates.setdefault(target, TargetEstimate())

    def get_load(self, target: TargetState) -> int:
        """Returns the requests on a target; its own count lags, so the larger one is used."""
        known = self._estimates.get(target.target)
        return max(target.running + target.waiting, known.started if known is not None else 0)

    def match(self, request: RoutingRequest) -> PrefixMatch:
        """Looks up the blocks of a prompt."""
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

    def get_link(self, store: str) -> TokenBucket | None:
        """Returns the budget of a store's link; None if it may not be used."""
        return self._links.get(store)

    def set_link_rates(self, bytes_per_s: dict[str, float], now: float) -> None:
        """Sets the budgets of all store links."""
        for store in set(self._links) - set(bytes_per_s):
            del self._links[store]
        for store, rate in bytes_per_s.items():
            burst = rate * LINK_BURST_S
            if store in self._links:
                self._links[store].set_rate(rate, burst, now)
            else:
                self._links[store] = TokenBucket(rate, burst, now)

    def record_start(self, request: RoutingRequest, target: TargetState, now: float) -> None:
        """Counts the request, its expected prefill time, and where its blocks will be."""
        match = self.match(request)
        self._started[(request.request_id, target.target)] = now
        estimate = self.get_estimate(target.target)
        estimate.started += 1
        tokens = max(0, request.prompt_tokens - match.count_placed(target) * TOKENS_PER_BLOCK)
        prefill_s = tokens / self._get_rate(estimate)
        estimate.prefill_until = max(estimate.prefill_until, now) + prefill_s
        self._place(request.block_keys, target)

    def record_end(
        self,
        request: RoutingRequest,
        target: TargetState,
        cached_tokens: int,
        first_token_s: float | None,
        now: float,
    ) -> None:
        """Learns from a request that ended; ignored if its start was not recorded."""
        started = self._started.pop((request.request_id, target.target), None)
        if started is None:
            return
        estimate = self.get_estimate(target.target)
        estimate.started -= 1
        if estimate.started == 0:
            estimate.prefill_until = float("-inf")
        if first_token_s is None:
            # Nothing is known of the blocks after a failure.
            self._displace(request.block_keys, target)
            return
        estimate.service_s += SAMPLE_WEIGHT * (now - started - estimate.service_s)
        computed = request.prompt_tokens - cached_tokens
        if computed >= MIN_MEASURED_TOKENS and first_token_s > 0:
            sample = computed / first_token_s
            if not self._is_measured:
                self._is_measured = True
                self.typical_prefill_tokens_per_s = sample
            self.typical_prefill_tokens_per_s = _average(self.typical_prefill_tokens_per_s, sample)
            estimate.prefill_tokens_per_s = _average(self._get_rate(estimate), sample)

    def _get_rate(self, estimate: TargetEstimate) -> float:
        return estimate.prefill_tokens_per_s or self.typical_prefill_tokens_per_s

    def _place(self, keys: Iterable[bytes], target: TargetState) -> None:
        place = (target.target, target.incarnation)
        for key in keys:
            others = [p for p in self._placements.pop(key, ()) if p[0] != target.target]
            self._placements[key] = (place, *others[: TARGETS_PER_BLOCK - 1])
        while len(self._placements) > MAX_PLACEMENTS:
            del self._placements[next(iter(self._placements))]

    def _displace(self, keys: Iterable[bytes], target: TargetState) -> None:
        for key in keys:
            others = tuple(p for p in self._placements.get(key, ()) if p[0] != target.target)
            if others:
                self._placements[key] = others
            else:
                self._placements.pop(key, None)


def _average(average: float, sample: float) -> float:
    weight = SAMPLE_WEIGHT if sample > average else SLOWER_SAMPLE_WEIGHT
    return average + weight * (sample - average)
