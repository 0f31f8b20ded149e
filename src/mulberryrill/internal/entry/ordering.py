"""Orders targets to load the desired model versions while this instance holds the order lease."""

import logging
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from typing import Protocol

from ..clock import Clock
from ..core.rendezvous import rank_members
from ..core.serving.orders import (
    LeaseRecord,
    LeaseState,
    OrderLease,
    OrderResult,
    VersionOrder,
)
from ..eventloop import EventLoop
from ..events import Event
from ..ids import FencingToken, InstanceId, ModelName, Offset, StoreEra, TargetId, WeightVersion
from ..logs import log_event
from .state import EntryState

TICK_INTERVAL_S = 0.1
# Interval at which an instance checks whether any target needs an order, while none does.
IDLE_TICK_INTERVAL_S = 0.4
# All instances see due orders at the same time; each delays taking the lease by this time for every
# instance ranked before it. In a large deployment few instances read the lease log before the
# rollout is over.
RANK_DELAY_S = 0.5
# Interval at which a lease held by another instance is read again.
LEASE_RECHECK_INTERVAL_S = 1.0
# Interval at which the state of a loading target is read.
REPORT_INTERVAL_S = 0.25
# The target rejects calls while it loads, which takes about a second.
LOADING_COOLDOWN_S = 0.8
_LOGGER = logging.getLogger(__name__)


@dataclass(frozen=True)
class LeaseSnapshot:
    """The newest lease record and the end offset of the lease log."""

    record: LeaseRecord | None
    log_end: Offset


@dataclass(frozen=True)
class TargetReport:
    """A target's own report of its state."""

    versions: dict[ModelName, WeightVersion]
    is_busy: bool
    order_count: int


class OrderClient(Protocol):
    """Client of the lease log and of the targets' order interface.

    Callbacks receive None if there was no valid response.
    """

    @property
    def era(self) -> StoreEra | None:
        """The era of the store as of its last response; None: unknown."""
        ...

    def read_lease(self, done: Callable[[LeaseSnapshot | None], None]) -> None:
        """Reads the newest lease record."""
        ...

    def append_lease(self, expected_end: Offset, done: Callable[[Offset | None], None]) -> None:
        """Appends this instance's record if the log ends at ``expected_end``."""
        ...

    def read_report(
        self, target: TargetId, address: str, done: Callable[[TargetReport | None], None]
    ) -> None:
        """Reads a target's state."""
        ...

    def send_order(
        self,
        order: VersionOrder,
        fence: FencingToken,
        expected_orders: int,
        done: Callable[[OrderResult, str], None],
    ) -> None:
        """Sends an order; reports its result and details of the response for logs."""
        ...


class OrderTask:
    """Acquires the order lease and sends the orders of rollouts. Runs on the event loop."""

    def __init__(
        self,
        loop: EventLoop,
        clock: Clock,
        state: EntryState,
        instance: InstanceId,
        client: OrderClient,
        order_spacing_s: float,
    ) -> None:
        self._loop = loop
        self._clock = clock
        self._state = state
        self._instance = instance
        self._client = client
        self._lease = OrderLease(instance, order_spacing_s)
        self._has_work_since: float | None = None
        self._next_lease_check_at = 0.0
        self._is_lease_call_pending = False
        self._is_lease_held = False
        self._report_requested_at: dict[TargetId, float] = {}

    def start(self) -> None:
        """Starts checking for due orders."""
        self._run_tick()

    def _run_tick(self) -> None:
        self._observe_era()
        has_work = self._state.rollout.has_work(self._state.targets.targets)
        interval_s = TICK_INTERVAL_S if has_work else IDLE_TICK_INTERVAL_S
        self._loop.call_later(interval_s, self._run_tick)
        if has_work:
            self._tick()
        else:
            self._has_work_since = None
            self._set_lease_held(False)

    def _observe_era(self) -> None:
        if self._client.era is not None:
            self._lease.observe_era(self._client.era, self._clock.boottime())

    def _tick(self) -> None:
        """Sends due orders, or tries to acquire the lease for them."""
        now = self._loop.now()
        if self._has_work_since is None:
            self._has_work_since = now
        state = self._lease.get_state(self._clock.boottime())
        self._set_lease_held(state is LeaseState.HELD)
        if state is LeaseState.HELD:
            self._send_due_orders(now)
        elif (
            now >= self._has_work_since + self._get_acquire_delay()
            and now >= self._next_lease_check_at
        ):
            self._acquire_lease(state, now)

    def _get_acquire_delay(self) -> float:
        ranked = rank_members("orders", self._state.instances)
        return RANK_DELAY_S * ranked.index(self._instance)

    def _acquire_lease(self, state: LeaseState, now: float) -> None:
        if self._is_lease_call_pending:
            return
        self._is_lease_call_pending = True
        if state is LeaseState.FREE:
            self._append_lease()
            return
        self._next_lease_check_at = now + (
            LEASE_RECHECK_INTERVAL_S if state is LeaseState.HELD_BY_OTHER else TICK_INTERVAL_S
        )
        self._client.read_lease(self._on_lease_read)

    def _on_lease_read(self, snapshot: LeaseSnapshot | None) -> None:
        self._is_lease_call_pending = False
        self._observe_era()
        if snapshot is None:
            self._next_lease_check_at = self._loop.now() + LEASE_RECHECK_INTERVAL_S
            return
        self._lease.observe(snapshot.record, snapshot.log_end, self._clock.boottime())

    def _append_lease(self) -> None:
        sent_at = self._clock.boottime()
        end, era = self._lease.log_end, self._client.era
        assert end is not None

        def on_appended(offset: Offset | None) -> None:
            self._is_lease_call_pending = False
            self._observe_era()
            if offset is None or self._client.era != era:
                # In another era the end is not the one on which this instance decided to append.
                self._lease.on_append_failed()
                self._next_lease_check_at = self._loop.now() + TICK_INTERVAL_S
            else:
                self._lease.on_appended(offset, sent_at, self._clock.boottime())

        self._client.append_lease(end, on_appended)

    def _send_due_orders(self, now: float) -> None:
        boot_now = self._clock.boottime()
        if self._lease.needs_renewal(boot_now) and not self._is_lease_call_pending:
            if self._lease.log_end is None:
                self._acquire_lease(LeaseState.UNKNOWN, now)
            else:
                self._is_lease_call_pending = True
                self._append_lease()
        for order in self._state.rollout.list_due(self._state.targets.targets, now, boot_now):
            self._state.rollout.on_sent(order, now)
            self._start_order(order)
        self._poll_loading_targets(now)

    def _start_order(self, order: VersionOrder) -> None:
        """Reads the target's number of orders, then sends the order with it."""

        rollout = self._state.rollout

        def on_report(report: TargetReport | None) -> None:
            now = self._loop.now()
            if report is None:
                rollout.on_result(order.target, OrderResult.UNANSWERED, now)
                return
            self._apply_report(order.target, report)
            if report.versions.get(order.model, order.version) >= order.version:
                return
            if report.is_busy or not self._lease.can_order(self._clock.boottime()):
                rollout.on_result(order.target, OrderResult.CONFLICT, now)
            else:
                self._send_order(order, report.order_count)

        self._client.read_report(order.target, order.address, on_report)

    def _send_order(self, order: VersionOrder, expected_orders: int) -> None:
        log_event(
            _LOGGER,
            logging.INFO,
            Event.ENTRY_ORDER_SENT,
            "sending order to load a model version",
            target=order.target,
            model=order.model,
            version=order.version,
            fence=self._lease.fence,
            expected_orders=expected_orders,
        )

        def on_result(result: OrderResult, detail: str) -> None:
            log_event(
                _LOGGER,
                logging.INFO,
                Event.ENTRY_ORDER_ANSWERED,
                result.value,
                target=order.target,
                version=order.version,
                detail=detail,
            )
            now = self._loop.now()
            self._state.rollout.on_result(order.target, result, now)
            target = self._state.targets.get(order.target)
            if result is OrderResult.ACCEPTED and target is not None:
                # The target rejects calls while it loads.
                target.start_cooldown(now, LOADING_COOLDOWN_S)
                self._state.target_updates.record_cooldown(target.id, target.cooldown_until)

        self._client.send_order(order, self._lease.fence, expected_orders, on_result)

    def _poll_loading_targets(self, now: float) -> None:
        for target_id in self._state.rollout.list_loading():
            target = self._state.targets.get(target_id)
            if (
                target is None
                or now - self._report_requested_at.get(target_id, 0.0) < REPORT_INTERVAL_S
            ):
                continue
            self._report_requested_at[target_id] = now
            self._client.read_report(
                target_id, target.registration.address, partial(self._apply_report, target_id)
            )

    def _apply_report(self, target_id: TargetId, report: TargetReport | None) -> None:
        target = self._state.targets.get(target_id)
        if target is not None and report is not None:
            for model, version in report.versions.items():
                if version > target.versions.get(model, 0):
                    self._state.target_updates.record_version(target_id, model, version)
                target.update_version(model, version)

    def _set_lease_held(self, is_held: bool) -> None:
        if is_held == self._is_lease_held:
            return
        self._is_lease_held = is_held
        log_event(
            _LOGGER,
            logging.INFO,
            Event.ENTRY_LEASE_CHANGED,
            "order lease acquired" if is_held else "order lease no longer held",
            fence=self._lease.fence if is_held else None,
        )
