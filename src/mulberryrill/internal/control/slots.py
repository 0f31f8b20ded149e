"""The slot protocol within a data centre: promises, reports and grants between instances."""

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

# Grants last 2 s and a gateway's part of them 1 s, so a lost report or grant doesn't expire them.
REPORT_INTERVAL_S = 0.3
# Minimum time between reports, which applies if there are waiting requests or failures.
MIN_REPORT_INTERVAL_S = 0.1
# Limits the reports of all instances together, because each costs the holder milliseconds.
MAX_HOLDER_REPORTS_PER_SECOND = 100


class SlotProtocol:
    """Used by the main task only; messages to this instance itself bypass the network."""

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
        self._gateway_senders: dict[str, str] = {}
        self._reported_at = 0.0
        self._is_report_urgent = False

    def get_holder(self, instances: Sequence[InstanceId] = ()) -> str:
        """Returns the instance to report to; empty if there is none.

        It is the holder that has this instance's promise, or else the preferred candidate.
        """
        promised = self._client.get_holder(self._clock.monotonic())
        return promised or choose_member(self._data_centre, instances) or ""

    def on_gateway_report(self, sender: str, report: GatewayReport) -> None:
        """Handles a gateway's report; ``sender`` is the sender name by which it is addressed."""
        self._gateway_senders[report.gateway] = sender
        self._client.on_gateway_report(report, self._clock.monotonic())
        if any(use.demand or use.failures for use in report.uses):
            self._is_report_urgent = True

    def on_promise_request(self, request: SlotPromiseRequest) -> None:
        """Replies to an instance that requests the holder role."""
        promise = self._client.on_promise_request(request, self._clock.monotonic())
        if request.holder == self._instance:
            self._holder.on_promise(promise, self._clock.monotonic())
        else:
            self._send(ToPeer(request.holder, Envelope(slot_promise=promise)))

    def on_promise(self, promise: SlotPromise) -> None:
        """Handles another instance's promise."""
        self._holder.on_promise(promise, self._clock.monotonic())

    def on_report(self, report: SlotReport, targets: Mapping[TargetId, TargetState]) -> None:
        """Replies to a report with a grant if this instance is the holder."""
        grant = self._holder.on_report(report, targets, self._clock.monotonic())
        if grant is None:
            return
        if report.instance == self._instance:
            self.on_grant(grant)
        else:
            self._send(ToPeer(report.instance, Envelope(slot_grant=grant)))

    def on_grant(self, grant: SlotGrant) -> None:
        """Handles a grant and sends the gateways their parts."""
        self._client.on_grant(grant, self._clock.monotonic())
        self._update_gateways()

    def _update_gateways(self) -> None:
        """Sends the gateways their parts of the grant, or of the floor while there is no grant."""
        now = self._clock.monotonic()
        for update in self._client.build_gateway_updates(now):
            sender = self._gateway_senders.get(update.gateway)
            if sender is not None:
                self._send(ToGateway(sender, Envelope(grant_update=update)))

    def tick(
        self,
        instances: Sequence[InstanceId],
        get_target_states: Callable[[], Mapping[TargetId, TargetState]],
    ) -> None:
        """Sends promise requests and slot reports that are due."""
        now = self._clock.monotonic()
        for recipient, request in self._holder.tick(instances, now):
            if recipient == self._instance:
                self.on_promise_request(request)
            else:
                self._send(ToPeer(recipient, Envelope(slot_promise_request=request)))
        age = now - self._reported_at
        min_interval_s = max(MIN_REPORT_INTERVAL_S, len(instances) / MAX_HOLDER_REPORTS_PER_SECOND)
        if age >= max(REPORT_INTERVAL_S, min_interval_s) or (
            self._is_report_urgent and age >= min_interval_s
        ):
            self._reported_at = now
            self._is_report_urgent = False
            self._send_report(now, instances, get_target_states)
            self._update_gateways()

    def _send_report(
        self,
        now: float,
        instances: Sequence[InstanceId],
        get_target_states: Callable[[], Mapping[TargetId, TargetState]],
    ) -> None:
        holder = self.get_holder(instances)
        if not holder:
            return
        report = self._client.build_report(now)
        if holder == self._instance:
            self.on_report(report, get_target_states())
        else:
            self._send(ToPeer(holder, Envelope(slot_report=report)))
