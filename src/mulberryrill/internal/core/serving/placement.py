"""Chooses the target of a call.

Model calls go to the target that the hash of their shared prompt part ranks first, so that all
instances send the same prompt to the same engine without talking to each other. Load pattern
answered: many customers whose long prompts return in turn and together exceed one engine's memory.
Plain calls go to the least loaded target. Failing, cooling and cold targets are chosen last.
"""

import random
from collections.abc import Callable, Collection
from dataclasses import dataclass

from ...ids import CustomerName, DataCentre, InstanceId, TargetId
from ..rendezvous import rank_members, rank_weighted
from .routetable import Prompt, Service, StoreProfile
from .targettable import MAX_FAILURE_RATE, Target

# A prompt stays with an engine that would answer at most this much later than the fastest one.
AFFINITY_TOLERANCE_S = 0.05
# Engines that are compared for a prompt: enough to find an idle one, few enough for a fleet.
MAX_ENGINES = 16
# Running calls that a target in the own data centre may have more than a remote one: a call to
# another data centre costs a millisecond and its bytes.
REMOTE_PENALTY = 0.5
# Most calls that one instance sends to a cold target within any second: its interval may be shorter
# than a second, but not shorter than half of one.
MAX_COLD_CALLS_PER_SENDER = 2
MIN_COLD_INTERVAL_S = 0.51


@dataclass(frozen=True)
class PlacementRequest:
    """What the choice depends on."""

    prompt: Prompt | None
    # The customer, if it shares no cached prompt part with others.
    isolated_customer: CustomerName | None
    excluded: Collection[TargetId]
    now: float


class ColdPacer:
    """Spaces the calls that this instance sends to cold targets.

    Fault pattern answered: a target starts or turns cold while every instance has work for it.
    """

    def __init__(self, instance: InstanceId, factor: float, reserve: float) -> None:
        self._instance = instance
        # All instances together may send rate x factor + reserve calls within a second.
        self._factor = factor
        self._reserve = reserve
        self._instances: tuple[InstanceId, ...] = (instance,)
        self._last_sent: dict[TargetId, float] = {}

    def set_instances(self, instances: Collection[InstanceId]) -> None:
        """Takes the instances among which the rate is shared."""
        self._instances = tuple(sorted({*instances, self._instance}))

    def can_send(self, target: TargetId, cold_rate: float, now: float) -> bool:
        """Whether a call may go to the cold target now."""
        if cold_rate <= 0:
            return True
        bound = cold_rate * self._factor + self._reserve
        most = max(1, int(bound / MAX_COLD_CALLS_PER_SENDER))
        senders = rank_members(target, self._instances)[:most]
        if self._instance not in senders:
            return False
        last = self._last_sent.get(target)
        return last is None or now - last >= max(MIN_COLD_INTERVAL_S, len(senders) / cold_rate)

    def record_send(self, target: TargetId, now: float) -> None:
        """Notes a call to a cold target."""
        self._last_sent[target] = now


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
        count_running: Callable[[Target], float],
    ) -> Target | None:
        """Returns the target for a plain call; None if no target may take it now.

        ``count_running`` returns the calls that run on a target.
        """
        candidates = self.list_candidates(targets, request, cold_rate)
        if not candidates:
            return None
        return min(candidates, key=lambda target: self._rate_plain(target, count_running(target)))

    def list_candidates(
        self, targets: list[Target], request: PlacementRequest, cold_rate: float
    ) -> list[Target]:
        """Returns the targets in the best condition, for model calls in order of affinity."""
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
        candidates = self._prefer_sound(candidates, request.now)
        if request.prompt is None:
            return candidates
        by_id = {target.id: target for target in candidates}
        ranked = rank_members(build_affinity_key(request), by_id)[:MAX_ENGINES]
        return [by_id[target_id] for target_id in ranked]

    def _prefer_sound(self, targets: list[Target], now: float) -> list[Target]:
        """Returns the targets in the best condition that any has."""
        available = [target for target in targets if not target.is_cooling_down(now)]
        if not available:
            return [min(targets, key=lambda target: target.cooldown_until)]
        sound = [t for t in available if t.failure_rate < MAX_FAILURE_RATE]
        return sound or [min(available, key=lambda target: target.failure_rate)]

    def _rate_plain(self, target: Target, running: float) -> tuple[float, float]:
        is_remote = target.registration.data_centre != self._data_centre
        load = running + (REMOTE_PENALTY if is_remote else 0.0)
        return load / max(1, target.registration.slots), self._random.random()


def build_affinity_key(request: PlacementRequest) -> str:
    """Returns the hash key of a prompt: its deepest part that other calls share.

    The last part belongs to the call or its session, so the one before it decides.
    """
    isolated_customer = request.isolated_customer or ""
    if request.prompt is None or not request.prompt.parts:
        return isolated_customer
    parts = request.prompt.parts
    part_id, _ = parts[-2] if len(parts) > 1 else parts[-1]
    return f"{isolated_customer}/{part_id}"


def rank_stores(part: str, stores: list[Service]) -> list[StoreProfile]:
    """Returns the stores in a part's order of preference, weighted by their room."""
    profiles = {s.store.address: s.store for s in stores if s.store is not None}
    weights = {address: float(store.cache_tokens) for address, store in profiles.items()}
    return [profiles[address] for address in rank_weighted(part, weights)]


def choose_engine(waits: list[float]) -> int:
    """Returns the index of the engine for a call, given each one's expected time to a first event.

    The engines are in order of affinity; an earlier one is kept unless a later one is clearly
    faster, since estimates differ between instances and a moved prompt spreads its parts.
    """
    best = min(range(len(waits)), key=waits.__getitem__)
    for index, wait in enumerate(waits):
        if wait <= waits[best] + AFFINITY_TOLERANCE_S:
            return index
    return best
