"""State of the data centre's targets, merged from own polls and other watchers' notices."""

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
# A view that was not refreshed for this time is dropped.
VIEW_EXPIRY_S = 25.0
# Views from a watcher without a message for this time count only if there are no others.
WATCHER_TIMEOUT_S = 3.0
# Unchanged views are sent again after this time, in case a notice was lost. At the planned scale
# this costs an instance about 35 KB each time.
NOTICE_REFRESH_INTERVAL_S = 10.0


class Audience(Enum):
    """Recipients of notices; the value is the minimum time (s) between load-only notices.

    The slot holder gets load changes at once: it subtracts load that no report explains, so stale
    figures reduce the slots that it can grant. For the many other instances they are only hints.
    """

    HOLDER = 0.0
    DATA_CENTRE = 1.0


@dataclass
class _Observation:
    view: TargetView
    observed_at: float
    # The watcher no longer polls the target, so the view counts only if there are no others.
    withdrawn: bool = False
    # The view last sent to each audience, and the time.
    sent_views: dict["Audience", tuple[TargetView, float]] = field(default_factory=dict)


def is_equal_except_load(first: TargetView, second: TargetView) -> bool:
    """Returns whether two views are equal apart from their load figures."""
    return (
        first.incarnation == second.incarnation
        and first.health == second.health
        and first.max_concurrency == second.max_concurrency
        and list(first.models) == list(second.models)
    )


class TargetViews:
    """Views by target and watcher; used by the main task only. All times are monotonic seconds."""

    def __init__(self, instance: str) -> None:
        self._instance = instance
        self._observations: dict[str, dict[str, _Observation]] = {}
        # The observations from this instance's own polls, by target; a small part of all.
        self._own_observations: dict[str, _Observation] = {}
        self._watched: frozenset[str] = frozenset()
        self._last_message_at: dict[str, float] = {}

    def set_watched(self, targets: Iterable[str]) -> None:
        """Sets the targets that this instance polls, and withdraws its views of all others.

        Without the withdrawal, the last healthy view of a target that has crashed since would
        outweigh the views of its new watchers. A withdrawal is sent as a view without health.
        """
        self._watched = frozenset(targets)
        for target, own in self._own_observations.items():
            own.withdrawn = own.withdrawn or target not in self._watched

    def on_watcher_alive(self, watcher: str, now: float) -> None:
        """Records that another instance, which may be a watcher, is alive."""
        self._last_message_at[watcher] = now

    def on_views(self, watcher: str, views: Sequence[TargetView], now: float) -> tuple[bool, bool]:
        """Records a watcher's views; returns whether any state, and any load alone, has changed."""
        state_changed = load_changed = False
        self._last_message_at[watcher] = now
        for view in views:
            # The poll finished after the target had been assigned to other watchers.
            if watcher == self._instance and view.target not in self._watched:
                continue
            before = self.find_view(view.target, now)
            self._record_view(watcher, view, now)
            after = self.find_view(view.target, now)
            if before is None or after is None or not is_equal_except_load(before, after):
                if before is not after:
                    state_changed = True
                    _log_target_change(view.target, before, after)
            elif before != after:
                load_changed = True
        return state_changed, load_changed

    def _record_view(self, watcher: str, view: TargetView, now: float) -> None:
        observation = self._observations.get(view.target, {}).get(watcher)
        if view.health == Health.HEALTH_UNSPECIFIED:
            if observation is not None:
                observation.withdrawn = True
            return
        if observation is not None:
            observation.view, observation.observed_at, observation.withdrawn = view, now, False
            return
        observation = _Observation(view, now)
        self._observations.setdefault(view.target, {})[watcher] = observation
        if watcher == self._instance:
            self._own_observations[view.target] = observation

    def find_view(self, target: str, now: float) -> TargetView | None:
        """Returns the newest view of a target, preferring active watchers, then healthy views.

        A watcher that reaches the target outweighs those that don't, because the network path of
        one watcher may be broken while those of the others work.
        """
        fresh = [
            (self._is_watcher_active(watcher, observation, now), observation)
            for watcher, observation in self._observations.get(target, {}).items()
            if now - observation.observed_at < VIEW_EXPIRY_S
        ]
        if not fresh:
            return None

        def rank(item: tuple[bool, _Observation]) -> tuple[bool, bool, float]:
            is_active, observation = item
            return is_active, observation.view.health == Health.HEALTHY, observation.observed_at

        return max(fresh, key=rank)[1].view

    def _is_watcher_active(self, watcher: str, observation: _Observation, now: float) -> bool:
        return (
            not observation.withdrawn and now - self._last_message_at[watcher] < WATCHER_TIMEOUT_S
        )

    def list_views(self, now: float) -> list[TargetView]:
        """Returns one view for each target with unexpired views; removes the other targets."""
        views = []
        for target in list(self._observations):
            view = self.find_view(target, now)
            if view is None:
                del self._observations[target]
                self._own_observations.pop(target, None)
            else:
                views.append(view)
        return views

    def pop_pending_notice(self, now: float, audience: Audience) -> TargetNotice | None:
        """Returns the own views due for an audience and marks them as sent; None if none is."""
        notice = TargetNotice(instance=self._instance)
        for target, own in self._own_observations.items():
            sent = own.sent_views.get(audience)
            if own.withdrawn:
                if sent is not None:
                    del own.sent_views[audience]
                    notice.targets.add(target=target)
            elif sent is None or _is_notice_due(own.view, sent, audience, now):
                own.sent_views[audience] = own.view, now
                notice.targets.append(own.view)
        return notice if notice.targets else None

    def build_full_notice(self) -> TargetNotice:
        """Returns all own views, for an instance that has just become live."""
        views = [own.view for own in self._own_observations.values() if not own.withdrawn]
        return TargetNotice(instance=self._instance, targets=views)

    def list_states(self, members: Sequence[Member], now: float) -> dict[TargetId, TargetState]:
        """Returns the states of the given targets, without those that have no view."""
        states = {}
        for member in members:
            view = self.find_view(member.id, now)
            if view is not None:
                states[TargetId(member.id)] = build_target_state(member, view)
        return states


def build_target_state(member: Member, view: TargetView) -> TargetState:
    """Combines a target's list entry with its view."""
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


def _log_target_change(target: str, before: TargetView | None, after: TargetView | None) -> None:
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


def _is_notice_due(
    view: TargetView, sent: tuple[TargetView, float], audience: Audience, now: float
) -> bool:
    sent_view, sent_at = sent
    if not is_equal_except_load(sent_view, view):
        return True
    age = now - sent_at
    return age >= NOTICE_REFRESH_INTERVAL_S or (sent_view != view and age >= audience.value)
