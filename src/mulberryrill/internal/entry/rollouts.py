"""Judges the rollouts of software versions and writes what is decided to the platform's store.

Every instance decides from the counts that it knows. The first one in rank writes the decision,
the next ones after a delay each, on condition that the store holds nothing that they do not know.
"""

import logging
from collections.abc import Callable, Iterable
from typing import Protocol

from ...errors import StoreCallError
from ..core.rendezvous import rank_members
from ..core.serving.rollouts import (
    GIVE_UP_FROM,
    Decision,
    IgnoredReason,
    Rollout,
    RolloutMark,
    RolloutOrder,
    Rollouts,
    RolloutStatus,
    Step,
)
from ..core.serving.routetable import RouteTable
from ..core.serving.targettable import TargetTable
from ..eventloop import EventLoop
from ..events import Event
from ..ids import InstanceId, Offset, ServiceName
from ..logs import log_event
from .versionchoice import VersionChoice

TICK_INTERVAL_S = 0.1
# Interval while no rollout is running.
IDLE_TICK_INTERVAL_S = 0.5
# A write that failed, or that another record made void, is decided again after this time.
WRITE_RETRY_S = 0.5
MS_PER_S = 1000
WriteCallback = Callable[[Offset | StoreCallError], None]
_LOGGER = logging.getLogger(__name__)


class RolloutStore(Protocol):
    """Writes to the platform's store; both return False if its records are not known yet."""

    def write_rollout_status(
        self, service: ServiceName, status: RolloutStatus, done: WriteCallback
    ) -> bool:
        """Writes a status unless there are others that are not known here."""
        ...

    def write_rollout_mark(
        self, service: ServiceName, mark: RolloutMark, done: WriteCallback
    ) -> bool:
        """Writes how much may move unless there are records that are not known here."""
        ...


class RolloutTaskState(Protocol):
    """What is needed from the state of this instance."""

    @property
    def rollouts(self) -> Rollouts:
        """The orders that are known."""
        ...

    @property
    def version_choice(self) -> VersionChoice:
        """This instance's counts."""
        ...

    @property
    def targets(self) -> TargetTable:
        """The registered targets."""
        ...

    @property
    def route_table(self) -> RouteTable | None:
        """The configuration in force."""
        ...

    @property
    def instances(self) -> tuple[InstanceId, ...]:
        """All live instances."""
        ...

    @property
    def has_peer_list(self) -> bool:
        """Whether the list of the live instances has been read."""
        ...

    def on_rollout_ignored(
        self, service: ServiceName, reason: IgnoredReason, order: RolloutOrder | None = None
    ) -> None:
        """Logs why an order is not carried out."""
        ...


class RolloutTask:
    """Runs on the event loop; does nothing while no order is known."""

    def __init__(
        self,
        loop: EventLoop,
        state: RolloutTaskState,
        instance: InstanceId,
        store: RolloutStore,
        list_heard: Callable[[Iterable[InstanceId]], list[InstanceId]],
    ) -> None:
        """``list_heard`` returns the instances whose counts arrive, with this one."""
        self._loop = loop
        self._state = state
        self._instance = instance
        self._store = store
        self._list_heard = list_heard
        self._next_write_at: dict[ServiceName, float] = {}
        # Orders whose reason to be ignored has been logged.
        self._logged: set[tuple[RolloutOrder, IgnoredReason]] = set()
        self._steps: dict[ServiceName, Step] = {}

    def start(self) -> None:
        """Starts to watch for orders."""
        self._run_tick()

    def _run_tick(self) -> None:
        is_running = self._state.version_choice.is_counting
        # Scheduled first, so that a failure of this tick does not end the repetition.
        self._loop.call_later(
            TICK_INTERVAL_S if is_running else IDLE_TICK_INTERVAL_S, self._run_tick
        )
        if is_running:
            self._tick()

    def _tick(self) -> None:
        self._state.version_choice.collect_own_counts()
        for rollout in self._state.rollouts.rollouts:
            if rollout.is_running:
                self._update(rollout)

    def _update(self, rollout: Rollout) -> None:
        now, order = self._loop.boottime(), rollout.order
        table = self._state.route_table
        registered = self._state.targets.count_versions(order.service)
        rollout.has_target = order.version in registered
        if table is not None and order.service not in table.services:
            self._log_ignored(order, IgnoredReason.UNKNOWN_SERVICE)
            return
        if rollout.state is None and rollout.compute_progress(now) >= GIVE_UP_FROM:
            self._log_ignored(order, IgnoredReason.NO_TARGET)
        verdict = rollout.judge(now)
        if verdict is not None:
            self._log_step(rollout, f"worse than the old version: {verdict.describe()}")
        step = rollout.find_step(self._state.version_choice.is_current, now)
        if step is not self._steps.get(order.service, Step.NONE):
            self._steps[order.service] = step
            self._log_step(rollout, f"the new version gets {step.value}")
        heard = self._list_heard(self._state.instances)
        decision = rollout.decide(
            self._state.version_choice.bounds,
            heard,
            len(heard) == len(self._state.instances),
            self._find_longest_call(order.service),
            now,
            int(self._loop.wall() * MS_PER_S),
        )
        if decision is None:
            rollout.wanted_since = None
        elif self._state.has_peer_list and rollout.is_due(decision, self._find_rank(order), now):
            self._write(rollout, decision, now)

    def _find_rank(self, order: RolloutOrder) -> int:
        return rank_members(f"rollout/{order.service}", self._state.instances).index(self._instance)

    def _find_longest_call(self, service: ServiceName) -> float:
        table = self._state.route_table
        return max(
            (
                route.timeout_s
                for route in (table.routes if table is not None else ())
                if any(weighted.service == service for weighted in route.services)
            ),
            default=0.0,
        )

    def _write(self, rollout: Rollout, decision: Decision, now: float) -> None:
        service = rollout.order.service
        if now < self._next_write_at.get(service, 0.0):
            return
        self._next_write_at[service] = now + WRITE_RETRY_S

        def on_result(result: Offset | StoreCallError) -> None:
            if isinstance(result, StoreCallError):
                log_event(
                    _LOGGER,
                    logging.WARNING,
                    Event.LOG_APPEND_FAILED,
                    f"rollout: {result}",
                    key=service,
                )

        if decision.status is not None:
            is_sent = self._store.write_rollout_status(service, decision.status, on_result)
        else:
            assert decision.mark is not None
            is_sent = self._store.write_rollout_mark(service, decision.mark, on_result)
        if is_sent and decision.kind is not None:
            self._log_step(rollout, f"writing {decision.kind.value}: {decision.reason}")

    def _log_step(self, rollout: Rollout, step: str) -> None:
        total = rollout.evidence.sum_calls()
        log_event(
            _LOGGER,
            logging.INFO,
            Event.ENTRY_ROLLOUT_STEP,
            step,
            service=rollout.order.service,
            version=rollout.order.version,
            progress=round(rollout.compute_progress(self._loop.boottime()), 2),
            evidence=rollout.describe_evidence(),
            counts=vars(total),
            instances=len(rollout.reports),
        )

    def _log_ignored(self, order: RolloutOrder, reason: IgnoredReason) -> None:
        if (order, reason) not in self._logged:
            self._logged.add((order, reason))
            self._state.on_rollout_ignored(order.service, reason, order)
