"""Brings targets to the model versions that operators name, while this instance holds the lease."""

import logging
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from typing import Protocol

from ..clock import Clock
from ..core.rendezvous import rank_members
from ..core.serving.orders import LeaseRecord, LeaseState, OrderLease, VersionOrder
from ..eventloop import EventLoop
from ..events import Event
from ..ids import InstanceId, ModelName, Offset, TargetId, WeightVersion
from ..logs import log_event
from .state import EntryState

TICK_S = 0.1
# Every instance sees due orders at the same time; each waits for those ranked before it.
RANK_DELAY_S = 0.5
MAX_RANK = 4
# A lease of another instance is looked at again after this time.
RECHECK_S = 1.0
# A loading target is asked for its state this often.
REPORT_INTERVAL_S = 0.25
# Loading takes about a second; calls avoid the target meanwhile.
LOADING_COOLDOWN_S = 0.8
_LOGGER = logging.getLogger(__name__)


@dataclass(frozen=True)
class LeaseSnapshot:
    """The newest lease record and the end of its log."""

    record: LeaseRecord | None
    end: Offset


@dataclass(frozen=True)
class TargetReport:
    """What a target says of itself."""

    versions: dict[ModelName, WeightVersion]
    is_busy: bool
    order_count: int


class OrderClient(Protocol):
    """The lease log and the targets' order interface. ``None`` stands for a lost answer."""

    def read_lease(self, done: Callable[[LeaseSnapshot | None], None]) -> None:
        """Reports the newest lease record."""
        ...

    def append_lease(self, at: Offset, done: Callable[[Offset | None], None]) -> None:
        """Appends this instance's record if the log ends at ``at``."""
        ...

    def read_report(
        self, target: TargetId, address: str, done: Callable[[TargetReport | None], None]
    ) -> None:
        """Asks a target for its state."""
        ...

    def send_order(
        self,
        order: VersionOrder,
        fence: Offset,
        expected_orders: int,
        done: Callable[[str, bool], None],
    ) -> None:
        """Sends an order; reports the answer's name and whether the target took the order."""
        ...


class OrderTask:
    """Owns the lease and the rollout's orders. Runs on the event loop."""

    def __init__(
        self,
        loop: EventLoop,
        clock: Clock,
        state: EntryState,
        instance: InstanceId,
        channel: OrderClient,
        order_spacing_s: float,
    ) -> None:
        self._loop = loop
        self._clock = clock
        self._state = state
        self._instance = instance
        self._channel = channel
        self._lease = OrderLease(instance, order_spacing_s)
        self._work_since: float | None = None
        self._next_check = 0.0
        self._is_calling = False
        self._is_holder = False
        self._reported_at: dict[TargetId, float] = {}

    def start(self) -> None:
        """Begins to look for due orders."""
        self._loop.call_every(TICK_S, self._tick)

    def _tick(self) -> None:
        targets = self._state.targets.targets
        if not self._state.rollout.has_work(targets):
            self._work_since = None
            self._note_holder(False)
            return
        now = self._loop.now()
        if self._work_since is None:
            self._work_since = now
        state = self._lease.get_state(self._clock.boottime())
        self._note_holder(state is LeaseState.HELD)
        if state is LeaseState.HELD:
            self._work(now)
        elif now >= self._work_since + self._find_delay() and now >= self._next_check:
            self._seek(state, now)

    def _find_delay(self) -> float:
        ranked = rank_members("orders", self._state.instances)
        return RANK_DELAY_S * min(MAX_RANK, ranked.index(self._instance))

    def _seek(self, state: LeaseState, now: float) -> None:
        if self._is_calling:
            return
        self._is_calling = True
        if state is LeaseState.FREE:
            self._append()
            return
        self._next_check = now + (RECHECK_S if state is LeaseState.HELD_BY_OTHER else TICK_S)
        self._channel.read_lease(self._on_lease_read)

    def _on_lease_read(self, view: LeaseSnapshot | None) -> None:
        self._is_calling = False
        if view is None:
            self._next_check = self._loop.now() + RECHECK_S
            return
        self._lease.observe(view.record, view.end, self._clock.boottime())

    def _append(self) -> None:
        sent_at = self._clock.boottime()
        end = self._lease.end
        assert end is not None

        def on_appended(offset: Offset | None) -> None:
            self._is_calling = False
            if offset is None:
                self._lease.on_append_failed()
                self._next_check = self._loop.now() + TICK_S
            else:
                self._lease.on_appended(offset, sent_at, self._clock.boottime())

        self._channel.append_lease(end, on_appended)

    def _work(self, now: float) -> None:
        boot_now = self._clock.boottime()
        if self._lease.needs_renewal(boot_now) and not self._is_calling:
            if self._lease.end is None:
                self._seek(LeaseState.UNKNOWN, now)
            else:
                self._is_calling = True
                self._append()
        for order in self._state.rollout.list_due(self._state.targets.targets, now):
            self._state.rollout.on_sent(order, now)
            self._begin(order)
        self._watch_loading(now)

    def _begin(self, order: VersionOrder) -> None:
        """Asks the target for the number of its orders, then sends the order."""

        def on_report(report: TargetReport | None) -> None:
            if report is None:
                return
            self._learn(order.target, report)
            if report.versions.get(order.model, order.version) >= order.version or report.is_busy:
                return
            if not self._lease.can_order(self._clock.boottime()):
                self._state.rollout.on_refused(order.target)
                return
            self._send(order, report.order_count)

        self._channel.read_report(order.target, order.address, on_report)

    def _send(self, order: VersionOrder, expected_orders: int) -> None:
        log_event(
            _LOGGER,
            logging.INFO,
            Event.ENTRY_ORDER_SENT,
            "order to load a version",
            target=order.target,
            model=order.model,
            version=order.version,
            fence=self._lease.fence,
            expected_orders=expected_orders,
        )

        def on_answer(answer: str, is_taken: bool) -> None:
            log_event(
                _LOGGER,
                logging.INFO,
                Event.ENTRY_ORDER_ANSWERED,
                answer,
                target=order.target,
                version=order.version,
            )
            target = self._state.targets.get(order.target)
            if not is_taken:
                self._state.rollout.on_refused(order.target)
            elif target is not None:
                # It refuses calls while it loads.
                target.record_refusal(self._loop.now(), LOADING_COOLDOWN_S)
                self._state.target_updates.record_refusal(target.id, target.cooldown_until)

        self._channel.send_order(order, self._lease.fence, expected_orders, on_answer)

    def _watch_loading(self, now: float) -> None:
        for target_id in self._state.rollout.list_loading():
            target = self._state.targets.get(target_id)
            if target is None or now - self._reported_at.get(target_id, 0.0) < REPORT_INTERVAL_S:
                continue
            self._reported_at[target_id] = now
            self._channel.read_report(
                target_id, target.registration.address, partial(self._learn, target_id)
            )

    def _learn(self, target_id: TargetId, report: TargetReport | None) -> None:
        target = self._state.targets.get(target_id)
        if target is not None and report is not None:
            for model, version in report.versions.items():
                if version > target.versions.get(model, 0):
                    self._state.target_updates.record_version(target_id, model, version)
                target.update_version(model, version)

    def _note_holder(self, is_holder: bool) -> None:
        if is_holder == self._is_holder:
            return
        self._is_holder = is_holder
        log_event(
            _LOGGER,
            logging.INFO,
            Event.ENTRY_LEASE_CHANGED,
            "order lease gained" if is_holder else "order lease given up",
            fence=self._lease.fence if is_holder else None,
        )
