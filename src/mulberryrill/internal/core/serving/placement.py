"""Chooses the target of a call.

Model calls are placed by rendezvous hashing of their shared prompt part, so that all instances send
the same prompt to the same engine without coordination. This keeps caches effective when the long
prompts of many customers recur and together exceed one engine's memory. Calls without a prompt go
where they are expected to end first, or to the least loaded target until durations are learned.
Targets that fail, cool down or are cold are chosen last.
"""

import random
from collections.abc import Callable, Collection
from dataclasses import dataclass

from ...ids import CustomerName, DataCentre, InstanceId, TargetId
from ..rendezvous import rank_members
from .callcosts import CompletionEstimate
from .routetable import Prompt
from .targettable import MAX_FAILURE_RATE, Target

# A prompt stays on an engine that is expected to respond at most this much later than the fastest.
AFFINITY_TOLERANCE_S = 0.05
# Engines compared for one prompt: enough to find an idle one, and a bounded cost in a large fleet.
MAX_CANDIDATE_ENGINES = 16
# Running calls added to the load of a target in another data centre: a call there costs a
# millisecond and traffic between data centres.
REMOTE_PENALTY = 0.5
# Calls that one instance may send to a cold target within any second. The minimum interval of just
# over half a second enforces this.
MAX_COLD_CALLS_PER_SENDER = 2
MIN_COLD_INTERVAL_S = 0.51

# Expected ends up to this multiple of the earliest one count as equal for targets with room. A
# learned speed is uncertain by this much; without it, targets that seemed a little slower once got
# no calls at low load, and so no chance to show their speed.
COMPLETION_TOLERANCE = 1.25
# A target of which no larger share of the slots is in use has room: a call starts there at once.
MAX_IDLE_OCCUPANCY = 0.25
# Returns when a call would end on each target, given the number of calls that run on each.
CompletionEstimator = Callable[[list[Target], list[float]], list[CompletionEstimate]]


@dataclass(frozen=True)
class PlacementRequest:
    """Inputs of the choice of a target."""

    prompt: Prompt | None
    # The customer, if it shares no cached prompt parts with others.
    isolated_customer: CustomerName | None
    excluded: Collection[TargetId]
    now: float


class ColdPacer:
    """Limits the rate of calls that this instance sends to cold targets.

    Without it, a target that has just started or turned cold would get calls from every instance
    at once.
    """

    def __init__(self, instance: InstanceId, factor: float, reserve: float) -> None:
        self._instance = instance
        # All instances together may send rate x factor + reserve calls within a second.
        self._factor = factor
        self._reserve = reserve
        # Empty until the instances are known: then this one may not be the only one.
        self._instances: tuple[InstanceId, ...] = ()
        self._last_sent_at: dict[TargetId, float] = {}

    def set_instances(self, instances: Collection[InstanceId]) -> None:
        """Sets the instances that share the rate."""
        self._instances = tuple(sorted({*instances, self._instance}))

    def can_send(self, target: TargetId, cold_rate: float, now: float) -> bool:
        """Returns whether a call may go to the cold target now."""
        if cold_rate <= 0:
            return True
        max_calls_per_s = cold_rate * self._factor + self._reserve
        max_senders = max(1, int(max_calls_per_s / MAX_COLD_CALLS_PER_SENDER))
        senders = rank_members(target, self._instances)[:max_senders]
        if self._instance not in senders:
            return False
        last_sent_at = self._last_sent_at.get(target)
        return last_sent_at is None or now - last_sent_at >= max(
            MIN_COLD_INTERVAL_S, len(senders) / cold_rate
        )

    def record_send(self, target: TargetId, now: float) -> None:
        """Records a call to a cold target."""
        self._last_sent_at[target] = now


class Placement:
    """Chooses among the usable targets of a service."""

    def __init__(self, data_centre: DataCentre, pacer: ColdPacer, seed: int) -> None:
        self._data_centre = data_centre
        self._pacer = pacer
        self._random = random.Random(seed)

    def choose_least_loaded(
        self,
        targets: list[Target],
        request: PlacementRequest,
        cold_rate: float,
        estimate_running_calls: Callable[[Target], float],
        estimate_completions: CompletionEstimator | None = None,
    ) -> Target | None:
        """Returns the target for a call without a prompt; None if no target may take it now.

        ``estimate_running_calls`` returns the number of calls running on a target, and
        ``estimate_completions`` when the call would end on each target; None: not known.
        """
        candidates = self.list_candidates(targets, request, cold_rate)
        if not candidates:
            return None
        running = [estimate_running_calls(target) for target in candidates]
        if estimate_completions is None:
            scores = list(map(self._score_by_load, candidates, running))
        else:
            estimates = estimate_completions(candidates, running)
            scores = [
                self._score_by_completion(target, estimate)
                for target, estimate in zip(candidates, estimates, strict=True)
            ]
            best = min(range(len(candidates)), key=scores.__getitem__)
            best_s, is_remote = scores[best][0], self._is_remote(candidates[best])
            for position, (score_s, tie) in enumerate(scores):
                target = candidates[position]
                is_similar = score_s <= COMPLETION_TOLERANCE * best_s
                has_room = running[position] <= MAX_IDLE_OCCUPANCY * target.registration.slots
                if is_similar and has_room and self._is_remote(target) == is_remote:
                    scores[position] = best_s, tie
        return candidates[min(range(len(candidates)), key=scores.__getitem__)]

    def list_candidates(
        self, targets: list[Target], request: PlacementRequest, cold_rate: float
    ) -> list[Target]:
        """Returns the healthiest targets, for calls with a prompt in order of affinity."""
        candidates = [
            target
            for target in targets
            if target.id not in request.excluded
            and (
                not target.is_cold(request.now)
                or self._pacer.can_send(target.id, cold_rate, request.now)
            )
        ]
        if not candidates:
            return []
        candidates = self._prefer_healthy(candidates, request.now)
        if request.prompt is None:
            return candidates
        by_id = {target.id: target for target in candidates}
        ranked = rank_members(build_affinity_key(request), by_id)[:MAX_CANDIDATE_ENGINES]
        return [by_id[target_id] for target_id in ranked]

    def _prefer_healthy(self, targets: list[Target], now: float) -> list[Target]:
        """Returns the healthy targets, or the single best one if none is healthy."""
        available = [target for target in targets if not target.is_cooling_down(now)]
        if not available:
            return [min(targets, key=lambda target: target.cooldown_until)]
        healthy = [t for t in available if t.failure_rate < MAX_FAILURE_RATE]
        return healthy or [min(available, key=lambda target: target.failure_rate)]

    def _score_by_load(self, target: Target, running: float) -> tuple[float, float]:
        load = running + self._get_remote_penalty(target)
        return load / max(1, target.registration.slots), self._random.random()

    def _score_by_completion(
        self, target: Target, estimate: CompletionEstimate
    ) -> tuple[float, float]:
        penalty_s = self._get_remote_penalty(target) * estimate.mean_call_s
        slots = max(1, target.registration.slots)
        return estimate.completion_s + penalty_s / slots, self._random.random()

    def _get_remote_penalty(self, target: Target) -> float:
        """Returns the running calls that the distance to a target counts as."""
        return REMOTE_PENALTY if self._is_remote(target) else 0.0

    def _is_remote(self, target: Target) -> bool:
        return target.registration.data_centre != self._data_centre


def build_affinity_key(request: PlacementRequest) -> str:
    """Returns the hash key of a prompt: the last part that it shares with other calls.

    The last part of a prompt belongs to the call or its session, so the one before it is used.
    """
    isolated_customer = request.isolated_customer or ""
    if request.prompt is None or not request.prompt.parts:
        return isolated_customer
    parts = request.prompt.parts
    part_id, _ = parts[-2] if len(parts) > 1 else parts[-1]
    return f"{isolated_customer}/{part_id}"


def choose_engine(waits: list[float]) -> int:
    """Returns the index of the engine for a call, given the expected seconds to a first event.

    The engines are in order of affinity. An earlier one is preferred unless a later one is clearly
    faster, because estimates differ between instances and moving a prompt duplicates its parts.
    """
    best = min(range(len(waits)), key=waits.__getitem__)
    for index, wait in enumerate(waits):
        if wait <= waits[best] + AFFINITY_TOLERANCE_S:
            return index
    return best
