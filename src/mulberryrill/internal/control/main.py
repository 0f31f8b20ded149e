"""The main task: owns the state of the control process and handles other tasks' messages."""

import logging
import queue
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from ..clock import Clock
from ..core.claims import ClaimTask
from ..core.configuration import FIRST_REVISION, ConfigurationFold
from ..core.membership import Membership
from ..core.messages import TargetState
from ..core.quarantine import Quarantine
from ..core.slotholder import SlotHolder
from ..core.slots import SlotClient
from ..events import Event
from ..history.writer import HistoryWriter
from ..ids import InstanceId, TargetId, create_id
from ..logs import log_event
from ..schema.log_pb2 import DataCentreOrder, QuarantineEntry
from ..schema.settings_pb2 import ControlSettings
from ..schema.wire_pb2 import (
    Envelope,
    Heartbeat,
    Member,
    MemberKind,
    MemberState,
    OrderNotice,
    QuarantineNotice,
    SnapshotUpdate,
    TargetView,
)
from . import calls
from .claims import ClaimProcessor
from .documents import CONFIGURATION_STREAM, ConfigurationManager
from .link import ConnectPeers, Outgoing, ToPeer
from .messages import (
    AppendRequest,
    AppendResult,
    CaughtUp,
    GatewayMessage,
    Inbox,
    ListFailed,
    MembersListed,
    OffsetsExpired,
    OperatorCall,
    OperatorRequest,
    OperatorResponse,
    PeerMessage,
    ReadFailed,
    RecordsRead,
    ShowDocument,
    ShowHistory,
    ShowInForce,
    ShowRequest,
    ShowStatus,
    SubmitDocument,
    SubmitOrder,
    TargetsPolled,
)
from .metrics import HANDLING_SECONDS, LOG_REACHABLE, READY, TASK_FAILURES
from .peers import PeerTracker, trim_state
from .quarantine import QuarantineDistributor
from .slots import SlotProtocol
from .snapshots import SnapshotPublisher
from .targets import Audience, TargetViews
from .task import Task
from .traces import TraceBuffer

TICK_INTERVAL_S = 0.05
# Bounds the messages handled between two ticks, so that timers work under load.
MAX_MESSAGES_PER_TICK = 200
# Time without a tick after which the main task is reported as unhealthy.
STUCK_TIMEOUT_S = 5.0
# State derived from the membership is recomputed when its inputs change, again after the delay, and
# at the interval. With 3,500 members this takes about 25 to 45 ms of CPU time.
RECOMPUTE_INTERVAL_S = 10.0
RECOMPUTE_AGAIN_DELAY_S = 1.0
MAX_TARGET_STATES_AGE_S = 1.0
_LOGGER = logging.getLogger(__name__)


@dataclass(frozen=True)
class Core:
    """State of one instance from the ``core`` package. ``claims`` has a task per claim stream."""

    fold: ConfigurationFold
    retention_s: float
    membership: Membership
    slot_client: SlotClient
    slot_holder: SlotHolder
    quarantine: Quarantine
    claims: Sequence[ClaimTask]


@dataclass(frozen=True)
class Outputs:
    """Functions that pass the main task's messages to the other tasks."""

    send: Callable[[Outgoing], None]
    append: Callable[[AppendRequest], None]
    append_claims: Callable[[AppendRequest], None]
    set_polled_targets: Callable[[tuple[Member, ...]], None]


class MainTask(Task):
    """Handles one message at a time; if a handler raises, the error is counted and logged."""

    def __init__(
        self,
        settings: ControlSettings,
        core: Core,
        outputs: Outputs,
        inbox: Inbox,
        history: HistoryWriter,
        clock: Clock,
    ) -> None:
        super().__init__("main")
        self._settings = settings
        self._core = core
        self._outputs = outputs
        self._inbox = inbox
        self._history = history
        self._clock = clock
        instance, data_centre = settings.instance, settings.data_centre
        run = create_id("run")
        self._configuration = ConfigurationManager(
            core.fold,
            outputs.append,
            self._merge_logged_quarantine,
            history,
            run,
            core.retention_s,
            clock,
        )
        self._snapshots = SnapshotPublisher(run, outputs.send, clock)
        self._peers = PeerTracker(instance, data_centre, outputs.send, clock)
        self._targets = TargetViews(instance)
        self._traces = TraceBuffer()
        self._quarantine = QuarantineDistributor(
            core.quarantine, outputs.append, self._send_quarantine, clock
        )
        self._slots = SlotProtocol(
            instance, data_centre, core.slot_client, core.slot_holder, outputs.send, clock
        )
        self._claims = ClaimProcessor(
            core.claims, outputs.append_claims, outputs.send, history, clock
        )
        self._members: tuple[Member, ...] = ()
        self._list_reachable = False
        self._log_reachable = False
        self._ready = False
        self._leaving = False
        self._ticked_at = clock.monotonic()
        # Cached state derived from the membership, because rendezvous ranking is expensive.
        self._connected_peers: tuple[str, ...] = ()
        self._watched_targets: tuple[Member, ...] = ()
        self._local_instances: list[InstanceId] = []
        self._local_targets: list[Member] = []
        self._target_states: dict[TargetId, TargetState] = {}
        self._target_states_built_at: float | None = None
        self._computed_members: tuple[Member, ...] | None = None
        self._computed_peer_sets: object = None
        self._computed_at = 0.0
        self._live_count = 1
        self._rank = 0
        self._peer_data_centres = {peer.instance: peer.data_centre for peer in settings.peers}
        self._recorded_in_force_offset = 0
        self._handlers = self._build_handlers()
        self._gateway_handlers = self._build_gateway_handlers()
        self._peer_handlers = self._build_peer_handlers()
        self._call_handlers = self._build_call_handlers()

    def is_ready(self) -> bool:
        """Returns whether calls can be served; may be called on any thread.

        An instance that has no list of members knows no targets, so it is not ready.
        """
        return self._ready and bool(self._members) and not self._leaving

    def is_healthy(self) -> bool:
        """Returns whether the task ticks regularly; may be called on any thread."""
        return self._clock.monotonic() - self._ticked_at < STUCK_TIMEOUT_S

    def leave(self) -> None:
        """Announces in heartbeats that this instance is stopping; may be called on any thread."""
        self._leaving = True

    def count_unlogged(self) -> int:
        """Returns the number of voids and outcomes not yet in the log; callable on any thread."""
        return self._claims.count_unlogged()

    def wake(self) -> None:
        """Ends the wait for a message."""
        self._inbox.put(None)

    def step(self) -> None:
        """Handles queued messages until the next tick is due, then ticks."""
        for _ in range(MAX_MESSAGES_PER_TICK):
            wait_s = max(0.0, self._ticked_at + TICK_INTERVAL_S - self._clock.monotonic())
            try:
                message = self._inbox.get(timeout=wait_s) if wait_s else self._inbox.get_nowait()
            except queue.Empty:
                break
            self.handle(message)
        self._ticked_at = self._clock.monotonic()
        self.tick()

    def handle(self, message: object) -> None:
        """Handles one message from another task."""
        handler = self._handlers.get(type(message))
        if handler is None:
            return
        with HANDLING_SECONDS.time():
            try:
                handler(message)
            except Exception as error:  # One bad message must not stop the task.
                TASK_FAILURES.labels("main").inc()
                log_event(
                    _LOGGER,
                    logging.ERROR,
                    Event.CONTROL_MESSAGE_FAILED,
                    f"{type(message).__name__} not handled: {error!r}",
                )

    def tick(self) -> None:
        """Runs the periodic updates; a failing one does not keep the others from running."""
        for update in (
            self._update_readiness,
            self._update_configuration,
            self._update_peers,
            self._update_targets,
            self._update_slots,
            self._update_claims,
            self._update_snapshots,
        ):
            try:
                update()
            except Exception as error:  # The other updates must still run.
                TASK_FAILURES.labels("main").inc()
                log_event(
                    _LOGGER,
                    logging.ERROR,
                    Event.CONTROL_MESSAGE_FAILED,
                    f"{update.__name__} failed: {error!r}",
                )

    # Dispatch tables by message type, envelope body and call type.

    def _build_handlers(self) -> dict[type, Callable]:
        return {
            RecordsRead: self._on_records,
            CaughtUp: self._on_caught_up,
            ReadFailed: self._on_read_failed,
            OffsetsExpired: self._on_offsets_expired,
            MembersListed: self._on_members,
            ListFailed: self._on_list_failed,
            TargetsPolled: self._on_targets_polled,
            GatewayMessage: self._on_gateway_message,
            PeerMessage: self._on_peer_message,
            AppendResult: self._on_append_result,
            OperatorCall: self._on_call,
        }

    def _build_gateway_handlers(self) -> dict[str, Callable]:
        return {
            "gateway_report": self._slots.on_gateway_report,
            "claim_request": self._claims.on_request,
            "outcome_report": lambda gateway, report: self._claims.on_outcome(report.outcome),
            "claim_abandon": lambda gateway, abandon: self._claims.on_abandon(abandon.claim),
            "snapshot_ack": lambda gateway, ack: self._snapshots.on_ack(gateway, ack.version),
            "crash_report": self._on_crash_report,
            "request_trace": lambda gateway, trace: self._traces.add(trace),
        }

    def _build_peer_handlers(self) -> dict[str, Callable]:
        return {
            "heartbeat": self._on_heartbeat,
            "slot_promise_request": lambda peer, request: self._slots.on_promise_request(request),
            "slot_promise": lambda peer, promise: self._slots.on_promise(promise),
            "slot_report": lambda peer, report: self._slots.on_report(
                report, self._get_target_states()
            ),
            "slot_grant": lambda peer, grant: self._slots.on_grant(grant),
            "state_request": self._on_state_request,
            "state_reply": self._on_state_reply,
            "order_notice": lambda peer, notice: self._merge_order(notice.order),
            "quarantine_notice": lambda peer, notice: self._merge_quarantine(notice.entry),
            "target_notice": lambda peer, notice: self._merge_views(peer, notice.targets),
        }

    def _build_call_handlers(self) -> dict[type, Callable]:
        return {
            ShowDocument: lambda r: calls.show_document(self._configuration, r.service),
            ShowHistory: lambda r: calls.show_history(self._configuration, r.service),
            ShowInForce: self._show_in_force,
            ShowStatus: lambda r: OperatorResponse(200, self._build_status()),
            ShowRequest: self._show_request,
            SubmitOrder: self._submit_order,
        }

    # Log and member list.

    def _on_records(self, message: RecordsRead) -> None:
        if message.stream != CONFIGURATION_STREAM:
            self._claims.on_records(message.stream, message.records)
            return
        self._log_reachable = True
        if self._configuration.on_records(message.records):
            self._snapshots.mark_changed()

    def _on_caught_up(self, message: CaughtUp) -> None:
        if message.stream != CONFIGURATION_STREAM:
            return
        self._log_reachable = True
        # A log that never had a record holds no documents, so nothing is missing.
        is_empty = self._configuration.folded_offset < 0 and message.first_offset <= FIRST_REVISION
        if self._core.fold.is_complete or is_empty:
            self._set_ready("the log was read to its end")

    def _on_read_failed(self, message: ReadFailed) -> None:
        if message.stream == CONFIGURATION_STREAM:
            self._log_reachable = False

    def _on_offsets_expired(self, message: OffsetsExpired) -> None:
        if message.stream == CONFIGURATION_STREAM:
            self._peers.request_state_from_all(self._configuration.exportable_offset)

    def _on_append_result(self, result: AppendResult) -> None:
        if result.request.stream == CONFIGURATION_STREAM:
            self._configuration.on_append_result(result)
        else:
            self._claims.on_append_result(result)

    def _on_members(self, message: MembersListed) -> None:
        self._list_reachable = True
        self._set_members(message.members)

    def _set_members(self, members: tuple[Member, ...]) -> None:
        self._peers.wants_members = False
        if members is not self._members:
            self._members = members
            self._snapshots.mark_changed()
        self._core.membership.update_members(members, self._clock.monotonic())
        self._recompute_if_changed()

    def _on_list_failed(self, message: ListFailed) -> None:
        self._list_reachable = False
        if not self._members:
            self._peers.request_state_from_all(self._configuration.exportable_offset)

    # Targets.

    def _on_targets_polled(self, message: TargetsPolled) -> None:
        self._merge_views(self._settings.instance, message.views)

    def _merge_views(self, watcher: str, views: Sequence[TargetView]) -> None:
        state_changed, load_changed = self._targets.on_views(
            watcher, views, self._clock.monotonic()
        )
        if state_changed:
            self._snapshots.mark_changed()
        elif load_changed:
            self._snapshots.mark_load_changed()
        if state_changed or load_changed:
            self._target_states_built_at = None

    def _get_target_states(self) -> dict[TargetId, TargetState]:
        """Returns the target states, cached because the slot holder needs them for every report."""
        now = self._clock.monotonic()
        if (
            self._target_states_built_at is None
            or now - self._target_states_built_at >= MAX_TARGET_STATES_AGE_S
        ):
            self._target_states = self._targets.list_states(self._local_targets, now)
            self._target_states_built_at = now
        return self._target_states

    # Gateways.

    def _on_gateway_message(self, message: GatewayMessage) -> None:
        envelope = message.envelope
        self._snapshots.on_message(message.gateway, envelope.sequence)
        body = envelope.WhichOneof("body") or ""
        self._gateway_handlers[body](message.gateway, getattr(envelope, body))

    def _on_crash_report(self, gateway: str, report) -> None:
        if self._quarantine.on_crash(report):
            self._snapshots.mark_changed()

    # Peers.

    def _on_peer_message(self, message: PeerMessage) -> None:
        self._targets.on_watcher_alive(message.instance, self._clock.monotonic())
        body = message.envelope.WhichOneof("body") or ""
        self._peer_handlers[body](message.instance, getattr(message.envelope, body))

    def _on_heartbeat(self, peer: str, heartbeat: Heartbeat) -> None:
        is_new = self._peers.on_heartbeat(heartbeat)
        self._core.membership.on_heartbeat(heartbeat, self._clock.monotonic())
        if peer not in self._connected_peers:
            self._peers.reply_to_heartbeat(self._build_heartbeat(), peer, heartbeat.data_centre)
        if is_new and heartbeat.data_centre == self._settings.data_centre:
            notice = self._targets.build_full_notice()
            if notice.targets:
                self._send_peer(peer, Envelope(target_notice=notice))

    def _on_state_request(self, peer: str, request) -> None:
        if not self._peers.allow_state_reply(peer):
            return
        reply = self._core.fold.export()
        del reply.quarantine[:]
        reply.quarantine.extend(self._quarantine.list_entries())
        reply = trim_state(reply, request.have_offset)
        if request.wants_members:
            reply.members.extend(self._members)
        self._send_peer(peer, Envelope(state_reply=reply))

    def _on_state_reply(self, peer: str, state) -> None:
        if self._configuration.merge_state(state):
            self._snapshots.mark_changed()
        if state.members and not self._members:
            self._set_members(tuple(state.members))
        self._peers.on_state_reply(peer)

    def _merge_order(self, order: DataCentreOrder) -> None:
        if self._configuration.apply_order(order):
            self._snapshots.mark_changed()
            self._send_all(Envelope(order_notice=OrderNotice(order=order)))

    def _merge_quarantine(self, entry: QuarantineEntry) -> None:
        if self._quarantine.merge_entry(entry):
            self._snapshots.mark_changed()

    def _merge_logged_quarantine(self, entry: QuarantineEntry) -> None:
        if self._quarantine.merge_entry(entry, from_log=True):
            self._snapshots.mark_changed()

    def _send_quarantine(self, entry: QuarantineEntry) -> None:
        self._send_all(Envelope(quarantine_notice=QuarantineNotice(entry=entry)))

    def _send_all(self, envelope: Envelope) -> None:
        for instance in self._connected_peers:
            self._send_peer(instance, envelope)

    def _send_peer(self, instance: str, envelope: Envelope) -> None:
        self._outputs.send(ToPeer(instance, envelope))

    # Operators.

    def _on_call(self, call: OperatorCall) -> None:
        request: OperatorRequest = call.request
        try:
            if isinstance(request, SubmitDocument):
                self._configuration.submit(call, request)
                return
            if not self._ready and isinstance(request, ShowDocument | ShowHistory | ShowInForce):
                # Otherwise an incomplete configuration would report existing documents as unknown.
                detail = "This instance has not read the configuration yet; ask another one."
                body: dict[str, object] = {"title": "Not ready", "detail": detail}
                call.future.set_result(OperatorResponse(503, body))
                return
            call.future.set_result(self._call_handlers[type(request)](request))
        except Exception as error:
            call.future.set_exception(error)
            raise

    def _submit_order(self, request: SubmitOrder) -> OperatorResponse:
        order = self._configuration.create_order(request)
        self._snapshots.mark_changed()
        self._send_all(Envelope(order_notice=OrderNotice(order=order)))
        # 202: the order is in force here and sent to the peers, but not yet in the log.
        return OperatorResponse(202, calls.message_to_dict(order))

    def _show_in_force(self, request: ShowInForce) -> OperatorResponse:
        return calls.show_in_force(
            request.service,
            request.revision,
            self._peers.list_progress(),
            self._members,
            self._clock,
        )

    def _show_request(self, request: ShowRequest) -> OperatorResponse:
        trace = self._traces.get_trace(request.request_id)
        if trace is not None:
            return OperatorResponse(200, trace)
        detail = "This instance has no trace of the request; ask the instance that served it."
        return OperatorResponse(404, {"title": "Unknown request", "detail": detail})

    def _build_status(self) -> dict[str, object]:
        progress = self._peers.list_progress()
        live = set(self._peers.list_live()) | {self._settings.instance}
        documents = self._core.fold.documents
        return {
            "instance": self._settings.instance,
            "data_centre": self._settings.data_centre,
            "ready": self.is_ready(),
            "log_reachable": self._log_reachable,
            "list_reachable": self._list_reachable,
            "folded_offset": self._configuration.folded_offset,
            "in_force_offset": self._snapshots.in_force_offset,
            "slot_holder": self._slots.get_holder(),
            "gateways": self._snapshots.list_gateways(),
            "services": [
                {"service": name, "revision": documents[name].revision}
                for name in sorted(documents)
            ],
            "orders": [calls.message_to_dict(o) for o in self._core.fold.orders.in_force.values()],
            "instances": [
                {
                    "instance": name,
                    "data_centre": item.data_centre,
                    "live": name in live,
                    "in_force_offset": item.in_force_offset,
                }
                for name, item in sorted(progress.items())
            ],
            "members": [calls.message_to_dict(member) for member in self._members],
            "targets": [
                calls.message_to_dict(view)
                for view in self._targets.list_views(self._clock.monotonic())
            ],
        }

    # Periodic work.

    def _update_readiness(self) -> None:
        LOG_REACHABLE.set(self._log_reachable)
        if self._ready or self._log_reachable or not self._core.fold.is_complete:
            return
        if self._peers.has_newest_state(self._configuration.folded_offset):
            self._set_ready("the log is unreachable; no peer has a newer configuration")

    def _set_ready(self, reason: str) -> None:
        if self._ready:
            return
        self._ready = True
        READY.set(1)
        self._snapshots.mark_changed()
        log_event(_LOGGER, logging.INFO, Event.CONTROL_READY, f"ready: {reason}")

    def _update_configuration(self) -> None:
        self._configuration.tick(self._rank, self._log_reachable)

    def _recompute_if_changed(self) -> None:
        """Recomputes when the list or the set of live or leaving peers has changed.

        The timeouts in ``Membership`` expire a little later than those of ``PeerTracker``, so a
        change is followed by another computation, and there is one at a fixed interval.
        """
        now = self._clock.monotonic()
        peer_sets = (self._peers.list_live(), self._peers.list_leaving())
        if self._computed_members is not self._members or peer_sets != self._computed_peer_sets:
            # Recompute again after the delay, once the membership's timeouts have expired.
            self._computed_at = now - RECOMPUTE_INTERVAL_S + RECOMPUTE_AGAIN_DELAY_S
        elif now - self._computed_at < RECOMPUTE_INTERVAL_S:
            return
        else:
            self._computed_at = now
        self._computed_members, self._computed_peer_sets = self._members, peer_sets
        self._recompute_membership()

    def _recompute_membership(self) -> None:
        membership, own_instance = self._core.membership, self._settings.instance
        peers = self._list_bootstrap_peers()
        if self._members:
            peers = tuple(str(instance) for instance in membership.list_peers())
        if peers != self._connected_peers:
            self._connected_peers = peers
            self._outputs.send(ConnectPeers(peers))
        watched = tuple(membership.list_watched_targets())
        if watched != self._watched_targets:
            self._watched_targets = watched
            self._targets.set_watched(member.id for member in watched)
            self._outputs.set_polled_targets(watched)
        self._local_instances = membership.list_local_instances()
        self._local_targets = membership.list_targets()
        # A change of live watchers may change which target views count.
        self._target_states_built_at = None
        self._snapshots.mark_load_changed()
        live_count = membership.count_live_instances()
        if live_count != self._live_count:
            self._live_count = live_count
            self._snapshots.mark_changed()
        live = sorted(
            member.id
            for member in self._members
            if member.kind == MemberKind.entry and member.state == MemberState.live
        )
        self._rank = live.index(own_instance) if own_instance in live else len(live)

    def _list_bootstrap_peers(self) -> tuple[str, ...]:
        """Returns the peers of this data centre from the settings, used until there is a list."""
        return tuple(
            name
            for name, data_centre in sorted(self._peer_data_centres.items())
            if data_centre == self._settings.data_centre and name != self._settings.instance
        )

    def _update_peers(self) -> None:
        if not self._peers.allow_heartbeat(self._snapshots.in_force_offset):
            return
        heartbeat = self._build_heartbeat()
        # Its own heartbeat advances the membership's clock while no other message arrives.
        self._core.membership.on_heartbeat(heartbeat, self._clock.monotonic())
        self._recompute_if_changed()
        recipients = [
            (name, self._peer_data_centres.get(name, "")) for name in self._connected_peers
        ]
        self._peers.send_heartbeats(heartbeat, recipients)
        self._peers.request_state(
            self._configuration.exportable_offset,
            self._core.fold.orders.compute_digest(),
            self._log_reachable,
        )

    def _build_heartbeat(self) -> Heartbeat:
        return Heartbeat(
            instance=self._settings.instance,
            data_centre=self._settings.data_centre,
            folded_offset=self._configuration.exportable_offset,
            in_force_offset=self._snapshots.in_force_offset,
            ready=self._ready,
            leaving=self._leaving,
            orders_digest=self._core.fold.orders.compute_digest(),
        )

    def _update_targets(self) -> None:
        now = self._clock.monotonic()
        holder = self._slots.get_holder(self._local_instances)
        holder_notice = self._targets.pop_pending_notice(now, Audience.HOLDER)
        other_notice = self._targets.pop_pending_notice(now, Audience.DATA_CENTRE)
        for instance in self._connected_peers:
            if self._peer_data_centres.get(instance) != self._settings.data_centre:
                continue
            notice = holder_notice if instance == holder else other_notice
            if notice is not None:
                self._send_peer(instance, Envelope(target_notice=notice))

    def _update_slots(self) -> None:
        self._slots.tick(self._local_instances, self._get_target_states)

    def _update_claims(self) -> None:
        self._claims.tick(self._live_count)

    def _update_snapshots(self) -> None:
        self._snapshots.tick(self._build_snapshot)
        if self._snapshots.in_force_offset != self._recorded_in_force_offset:
            self._recorded_in_force_offset = self._snapshots.in_force_offset
            self._history.write(
                "in_force",
                instance=self._settings.instance,
                data_centre=self._settings.data_centre,
                offset=self._recorded_in_force_offset,
            )

    def _build_snapshot(self) -> SnapshotUpdate:
        snapshot = SnapshotUpdate(
            folded_offset=self._configuration.folded_offset,
            # Doesn't depend on ``_leaving``: the gateways keep serving while this process stops.
            ready=self._ready and bool(self._members),
            live_instances=self._live_count,
            max_instances=self._settings.max_instances,
            orders=self._core.fold.orders.in_force.values(),
            members=self._members,
            targets=self._targets.list_views(self._clock.monotonic()),
            quarantine=self._quarantine.list_entries(),
        )
        for name, state in self._core.fold.documents.items():
            snapshot.services.add(service=name, revision=state.revision, document=state.document)
        return snapshot
