"""Runs the slot protocol of the data centre: promises, reports and grants between instances."""

from collections.abc import Callable, Mapping, Sequence

from ..clock import Clock
from ..core.messages import TargetState
from ..core.rendezvous import choose_member
from ..core.slotholder import SlotHolder
from ..core.slots import SlotClient
from ..ids import InstanceId, TargetId
from ..schema.wire_pb2 import (
    Envelope,
    GatewayReport,
    SlotGrant,
    SlotPromise,
    SlotPromiseRequest,
    SlotReport,
)
from .link import ToGateway, ToPeer

# Grants last 2 s, a gateway's part 1 s; a lost report or grant must not let them run out.
REPORT_S = 0.3
# Waiting requests and failures are reported at once, but not more often than this.
URGENT_REPORT_S = 0.1
# The holder answers at most about this many reports a second, because each costs it milliseconds.
HOLDER_REPORTS_PER_SECOND = 100


class SlotProtocol:
    """Owned by the main task; messages to this instance itself take no network."""

    def __init__(
        self,
        instance: str,
        data_centre: str,
        client: SlotClient,
        holder: SlotHolder,
        send: Callable[[ToPeer | ToGateway], None],
        clock: Clock,
    ) -> None:
        self._instance = instance
        self._data_centre = data_centre
        self._client = client
        self._holder = holder
        self._send = send
        self._clock = clock
        self._senders: dict[str, str] = {}
        self._reported_at = 0.0
        self._is_urgent = False

    def get_holder(self, listed: Sequence[InstanceId] = ()) -> str:
        """Returns the instance to report to: the promised one, else the one that is to ask."""
        promised = self._client.get_holder(self._clock.monotonic())
        return promised or choose_member(self._data_centre, listed) or ""

    def on_gateway_report(self, sender: str, report: GatewayReport) -> None:
        """Takes a gateway's report; ``sender`` is the name that messages to it are sent to."""
        self._senders[report.gateway] = sender
        self._client.on_gateway_report(report, self._clock.monotonic())
        if any(use.demand or use.failures for use in report.uses):
            self._is_urgent = True

    def on_promise_request(self, request: SlotPromiseRequest) -> None:
        """Answers an instance that wants to be holder."""
        promise = self._client.on_promise_request(request, self._clock.monotonic())
        if request.holder == self._instance:
            self._holder.on_promise(promise, self._clock.monotonic())
        else:
            self._send(ToPeer(request.holder, Envelope(slot_promise=promise)))

    def on_promise(self, promise: SlotPromise) -> None:
        """Takes another instance's answer."""
        self._holder.on_promise(promise, self._clock.monotonic())

    def on_report(self, report: SlotReport, targets: Mapping[TargetId, TargetState]) -> None:
        """Answers a report if this instance is the holder."""
        grant = self._holder.on_report(report, targets, self._clock.monotonic())
        if grant is None:
            return
        if report.instance == self._instance:
            self.on_grant(grant)
        else:
            self._send(ToPeer(report.instance, Envelope(slot_grant=grant)))

    def on_grant(self, grant: SlotGrant) -> None:
        """Takes a grant and passes the gateways their parts."""
        self._client.on_grant(grant, self._clock.monotonic())
        self._update_gateways()

    def _update_gateways(self) -> None:
        """Renews the gateways' parts, or their floor shares while there is no grant."""
        now = self._clock.monotonic()
        for update in self._client.build_gateway_updates(now):
            sender = self._senders.get(update.gateway)
            if sender is not None:
                self._send(ToGateway(sender, Envelope(grant_update=update)))

    def tick(
        self,
        listed: Sequence[InstanceId],
        list_targets: Callable[[], Mapping[TargetId, TargetState]],
    ) -> None:
        """Asks for promises and reports when due."""
        now = self._clock.monotonic()
        for recipient, request in self._holder.tick(listed, now):
            if recipient == self._instance:
                self.on_promise_request(request)
            else:
                self._send(ToPeer(recipient, Envelope(slot_promise_request=request)))
        age = now - self._reported_at
        shortest_s = max(URGENT_REPORT_S, len(listed) / HOLDER_REPORTS_PER_SECOND)
        if age >= max(REPORT_S, shortest_s) or (self._is_urgent and age >= shortest_s):
            self._reported_at = now
            self._is_urgent = False
            self._report(now, listed, list_targets)
            self._update_gateways()

    def _report(
        self,
        now: float,
        listed: Sequence[InstanceId],
        list_targets: Callable[[], Mapping[TargetId, TargetState]],
    ) -> None:
        holder = self.get_holder(listed)
        if not holder:
            return
        report = self._client.build_report(now)
        if holder == self._instance:
            self.on_report(report, list_targets())
        else:
            self._send(ToPeer(holder, Envelope(slot_report=report)))
