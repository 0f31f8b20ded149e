"""State of the data centre's targets, merged from own polls and the notices of other watchers."""

import logging
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from enum import Enum

from ..core.messages import MemberState as CoreState
from ..core.messages import TargetState
from ..events import Event
from ..ids import DataCentre, Incarnation, PoolName, TargetId
from ..logs import log_event
from ..schema.wire_pb2 import Health, Member, MemberState, TargetNotice, TargetView

_LOGGER = logging.getLogger(__name__)
# A view without news for this time is dropped.
VIEW_EXPIRY_S = 25.0
# Views of an instance that was silent for this time count only if there is no other.
WATCHER_SILENCE_S = 3.0
# Unchanged views are repeated this often, in case a notice was lost. At the planned scale each
# repetition costs an instance about 35 KB.
REFRESH_S = 10.0


class Audience(Enum):
    """Who gets notices; the value is the shortest time between notices of changed load alone.

    The slot holder subtracts load that no report explains, so old figures cost it slots. For the
    others they are hints, and there are many others.
    """

    HOLDER = 0.0
    DATA_CENTRE = 1.0


@dataclass
class _Sighting:
    view: TargetView
    seen_at: float
    # Its watcher no longer polls the target, so it counts only if there is no other.
    withdrawn: bool = False
    # What each audience was told last, and when.
    notified: dict["Audience", tuple[TargetView, float]] = field(default_factory=dict)


def is_equal_except_load(first: TargetView, second: TargetView) -> bool:
    """Tells whether two views differ in load figures at most."""
    return (
        first.incarnation == second.incarnation
        and first.health == second.health
        and first.max_concurrency == second.max_concurrency
        and list(first.models) == list(second.models)
    )


class TargetViews:
    """Views by target and watcher; owned by the main task. All times are monotonic seconds."""

    def __init__(self, instance: str) -> None:
        self._instance = instance
        self._sightings: dict[str, dict[str, _Sighting]] = {}
        # The sightings of this instance's own polls, a small part of all.
        self._own: dict[str, _Sighting] = {}
        self._watched: frozenset[str] = frozenset()
        self._heard: dict[str, float] = {}

    def set_watched(self, targets: Iterable[str]) -> None:
        """Sets the targets that this instance polls; views of others are withdrawn.

        Otherwise the last view of a target that has crashed since would stay beside the news of its
        new watchers. The withdrawal is a view without health.
        """
        self._watched = frozenset(targets)
        for target, own in self._own.items():
            own.withdrawn = own.withdrawn or target not in self._watched

    def on_watcher_alive(self, watcher: str, now: float) -> None:
        """Notes that another instance, which may be a watcher, is alive."""
        self._heard[watcher] = now

    def on_views(self, watcher: str, views: Sequence[TargetView], now: float) -> tuple[bool, bool]:
        """Adopts views; tells whether service and whether only load has changed."""
        service = load = False
        self._heard[watcher] = now
        for view in views:
            # A poll that ended after its target got other watchers.
            if watcher == self._instance and view.target not in self._watched:
                continue
            before = self.find_view(view.target, now)
            self._adopt(watcher, view, now)
            after = self.find_view(view.target, now)
            if before is None or after is None or not is_equal_except_load(before, after):
                if before is not after:
                    service = True
                    _log_change(view.target, before, after)
            elif before != after:
                load = True
        return service, load

    def _adopt(self, watcher: str, view: TargetView, now: float) -> None:
        sighting = self._sightings.get(view.target, {}).get(watcher)
        if view.health == Health.HEALTH_UNSPECIFIED:
            if sighting is not None:
                sighting.withdrawn = True
            return
        if sighting is not None:
            sighting.view, sighting.seen_at, sighting.withdrawn = view, now, False
            return
        sighting = _Sighting(view, now)
        self._sightings.setdefault(view.target, {})[watcher] = sighting
        if watcher == self._instance:
            self._own[view.target] = sighting

    def find_view(self, target: str, now: float) -> TargetView | None:
        """Returns the newest view; one watcher that reaches a target outweighs those that do not.

        A path between one watcher and the target may be broken while the others work.
        """
        fresh = [
            (self._is_watching(watcher, sighting, now), sighting)
            for watcher, sighting in self._sightings.get(target, {}).items()
            if now - sighting.seen_at < VIEW_EXPIRY_S
        ]
        if not fresh:
            return None

        def rank(item: tuple[bool, _Sighting]) -> tuple[bool, bool, float]:
            is_watching, sighting = item
            return is_watching, sighting.view.health == Health.HEALTHY, sighting.seen_at

        return max(fresh, key=rank)[1].view

    def _is_watching(self, watcher: str, sighting: _Sighting, now: float) -> bool:
        return not sighting.withdrawn and now - self._heard[watcher] < WATCHER_SILENCE_S

    def list_views(self, now: float) -> list[TargetView]:
        """Returns one view for each target with fresh news; expired ones are dropped."""
        views = []
        for target in list(self._sightings):
            view = self.find_view(target, now)
            if view is None:
                del self._sightings[target]
                self._own.pop(target, None)
            else:
                views.append(view)
        return views

    def take_pending_notice(self, now: float, audience: Audience) -> TargetNotice | None:
        """Returns what an audience should learn now from this instance's own polls."""
        notice = TargetNotice(instance=self._instance)
        for target, own in self._own.items():
            told = own.notified.get(audience)
            if own.withdrawn:
                if told is not None:
                    del own.notified[audience]
                    notice.targets.add(target=target)
            elif told is None or _is_due(own.view, told, audience, now):
                own.notified[audience] = own.view, now
                notice.targets.append(own.view)
        return notice if notice.targets else None

    def build_full_notice(self) -> TargetNotice:
        """Returns all own views, for an instance that has just appeared."""
        views = [own.view for own in self._own.values() if not own.withdrawn]
        return TargetNotice(instance=self._instance, targets=views)

    def list_states(self, members: Sequence[Member], now: float) -> dict[TargetId, TargetState]:
        """Returns the core's form of those of the listed targets that have been seen."""
        states = {}
        for member in members:
            view = self.find_view(member.id, now)
            if view is not None:
                states[TargetId(member.id)] = build_target_state(member, view)
        return states


def build_target_state(member: Member, view: TargetView) -> TargetState:
    """Merges a listed target with its view."""
    leaving = member.state == MemberState.leaving
    return TargetState(
        target=TargetId(member.id),
        data_centre=DataCentre(member.data_centre),
        pool=PoolName(member.pool),
        address=member.address,
        state=CoreState.LEAVING if leaving else CoreState.LIVE,
        incarnation=Incarnation(view.incarnation),
        healthy=view.health == Health.HEALTHY,
        running=view.running,
        waiting=view.waiting,
        max_concurrency=view.max_concurrency,
        models=frozenset((model.name, model.version) for model in view.models),
    )


def _log_change(target: str, before: TargetView | None, after: TargetView | None) -> None:
    def summarize(view: TargetView | None) -> str:
        if view is None:
            return "unknown"
        return f"{Health.Name(view.health).lower()} {view.incarnation}".strip()

    log_event(
        _LOGGER,
        logging.INFO,
        Event.TARGET_CHANGED,
        f"{target} is {summarize(after)}",
        target=target,
        before=summarize(before),
    )


def _is_due(
    view: TargetView, told: tuple[TargetView, float], audience: Audience, now: float
) -> bool:
    told_view, told_at = told
    if not is_equal_except_load(told_view, view):
        return True
    age = now - told_at
    return age >= REFRESH_S or (told_view != view and age >= audience.value)
