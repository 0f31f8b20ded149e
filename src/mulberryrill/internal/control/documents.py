"""Configuration built from the log: operators' changes, data centre orders and checkpoints."""

import hashlib
import logging
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from ..clock import Clock
from ..core.configuration import ConfigurationFold, FoldResult
from ..core.messages import Record
from ..core.records import decode_record
from ..events import Event
from ..history.writer import HistoryWriter
from ..ids import DataCentre, Executed, ServiceName, create_id
from ..logs import log_event
from ..schema.log_pb2 import (
    AuditEntry,
    DataCentreOrder,
    DataCentreState,
    DocumentChange,
    LogBatch,
    LogEntry,
    QuarantineEntry,
)
from ..schema.wire_pb2 import StateReply
from .messages import (
    AppendRequest,
    AppendResult,
    OperatorCall,
    OperatorResponse,
    SubmitDocument,
    SubmitOrder,
)
from .metrics import FOLDED_OFFSET, RECORDS_CORRUPT, TASK_FAILURES

CONFIGURATION_STREAM = "configuration"
# The result of a change that is not read back from the log within this time is unknown.
READ_BACK_TIMEOUT_S = 10.0
# Each waiting call occupies a server thread, and drain orders need free ones.
MAX_PENDING_CHANGES = 8
# Upper bounds of the time before a checkpoint is repeated, whose record may not have been read back
# yet, and of the time between two checks for due checkpoints. Both shrink with the retention time.
MAX_CHECKPOINT_INTERVAL_S = 30.0
MAX_CHECK_INTERVAL_S = 5.0
CHECKS_PER_RETENTION = 32
# Another instance appends an order that is not in the log after this time, because the instance
# that created it may have failed before appending it.
UNLOGGED_ORDER_TIMEOUT_S = 10.0
# Each live instance of a lower rank adds this delay, so that usually just one instance appends.
DELAY_PER_RANK_S = 5.0
_LOGGER = logging.getLogger(__name__)


@dataclass
class _PendingChange:
    call: OperatorCall
    service: str
    deadline: float
    in_doubt: bool = False


class ConfigurationManager:
    """Applies log records and operators' changes to the fold; used by the main task only.

    ``append`` queues an append to the log. ``on_quarantine`` is called for each quarantine entry
    that is read from the log or received from a peer.
    """

    def __init__(
        self,
        fold: ConfigurationFold,
        append: Callable[[AppendRequest], None],
        on_quarantine: Callable[[QuarantineEntry], None],
        history: HistoryWriter,
        run: str,
        retention_s: float,
        clock: Clock,
    ) -> None:
        """``run`` identifies this run of the process in the history."""
        self._checkpoint_interval_s = min(
            MAX_CHECKPOINT_INTERVAL_S, retention_s / CHECKS_PER_RETENTION
        )
        self.fold = fold
        self._run = run
        self._append = append
        self._on_quarantine = on_quarantine
        self._history = history
        self._clock = clock
        self._pending_changes: dict[str, _PendingChange] = {}
        self._unlogged_orders: dict[str, tuple[DataCentreOrder, float]] = {}
        self._logged_order_ids: set[str] = set()
        self._checkpointed_at: dict[tuple[str, int], float] = {}
        self._checkpoints_due_at = 0.0

    @property
    def folded_offset(self) -> int:
        """The offset of the last applied record; -1 before the first."""
        return int(self.fold.folded_offset)

    @property
    def exportable_offset(self) -> int:
        """The offset of the state that peers can request; -1 while it is incomplete."""
        return int(self.fold.folded_offset) if self.fold.is_complete else -1

    def on_records(self, records: Sequence[Record]) -> bool:
        """Applies new records; returns whether the gateways need a new snapshot."""
        changed = False
        for record in records:
            result = self.fold.apply(record)
            changed = changed or bool(result.changed or result.orders)
            try:
                self._handle_fold_result(record, result)
            except Exception as error:  # The records after it must still be applied.
                TASK_FAILURES.labels("main").inc()
                log_event(
                    _LOGGER,
                    logging.ERROR,
                    Event.CONTROL_MESSAGE_FAILED,
                    f"record {record.offset} not handled: {error!r}",
                )
        FOLDED_OFFSET.set(self.folded_offset)
        return changed

    def on_append_result(self, result: AppendResult) -> None:
        """Fails a change that is certainly not in the log; others are completed when read back."""
        pending = self._pending_changes.get(result.request.key)
        if pending is None or result.offset is not None:
            return
        if result.in_doubt:
            pending.in_doubt = True
            return
        del self._pending_changes[result.request.key]
        detail = f"The change was not made: {result.error}. Repeat it when the log is back."
        _fail_call(pending.call, 503, "Log unavailable", detail)

    def submit(self, call: OperatorCall, request: SubmitDocument) -> None:
        """Appends a change; the call completes when the change has been read back from the log."""
        existing = self.find_audit_entry(request.service, request.change_id)
        if existing is not None:
            self._complete_change(_PendingChange(call, request.service, 0.0), existing)
            return
        if request.change_id in self._pending_changes:
            detail = "The change with this X-Change-Id waits for its answer already."
            _fail_call(call, 409, "Change already submitted", detail)
            return
        if len(self._pending_changes) >= MAX_PENDING_CHANGES:
            detail = "Too many changes wait for the log. Repeat this one later."
            _fail_call(call, 503, "Log too slow", detail)
            return
        change = DocumentChange(
            change_id=request.change_id,
            service=request.service,
            base_revision=request.base_revision,
            author=request.author,
            reason=request.reason,
            submitted_unix_ms=self._get_unix_ms(),
            document=request.text,
        )
        deadline = self._clock.monotonic() + READ_BACK_TIMEOUT_S
        self._pending_changes[change.change_id] = _PendingChange(call, request.service, deadline)
        batch = LogBatch(entries=[LogEntry(document_change=change)])
        self._append(AppendRequest(CONFIGURATION_STREAM, change.change_id, batch))

    def create_order(self, request: SubmitOrder) -> DataCentreOrder:
        """Applies a new order at once and appends it, retrying until it is in the log."""
        order = self.fold.orders.create_next(
            DataCentre(request.data_centre),
            request.state,
            request.author,
            request.reason,
            self._get_unix_ms(),
        )
        self.apply_order(order)
        self._append_order(order)
        return order

    def apply_order(self, order: DataCentreOrder) -> bool:
        """Applies an operator's or a peer's order; returns whether it is new and in force."""
        if not self.fold.orders.apply(order):
            return False
        self._record_order(order)
        if order.order_id not in self._logged_order_ids:
            self._unlogged_orders[order.order_id] = (order, self._clock.monotonic())
        return True

    def merge_state(self, state: StateReply) -> bool:
        """Merges a peer's orders and quarantine, and adopts its documents if they are newer.

        Returns whether the gateways need a new snapshot.
        """
        changed = False
        for order in state.orders:
            changed = self.apply_order(order) or changed
        for entry in state.quarantine:
            self._on_quarantine(entry)
        before = {name: document.revision for name, document in self.fold.documents.items()}
        if self.fold.merge_state(state):
            changed = True
            for service, document in self.fold.documents.items():
                if document.revision != before.get(service):
                    self._record_document(service, adopted=True)
            FOLDED_OFFSET.set(self.folded_offset)
            log_event(
                _LOGGER,
                logging.INFO,
                Event.STATE_ADOPTED,
                f"adopted a peer's configuration at offset {self.folded_offset}",
            )
            for change_id, pending in list(self._pending_changes.items()):
                audit = self.find_audit_entry(pending.service, change_id)
                if audit is not None:
                    self._complete_pending(audit)
        return changed

    def tick(self, rank: int, log_reachable: bool) -> None:
        """Fails calls past their deadline and appends due orders and checkpoints.

        ``rank`` is this instance's position among the live ones: rank 0 appends first, the others
        only if those before them have not.
        """
        now = self._clock.monotonic()
        for change_id, pending in list(self._pending_changes.items()):
            if now >= pending.deadline:
                del self._pending_changes[change_id]
                detail = f"Look for {change_id} in the document's history before repeating it."
                _fail_call(pending.call, 504, "Result not known", detail, change_id)
        if log_reachable and now >= self._checkpoints_due_at:
            self._checkpoints_due_at = now + min(MAX_CHECK_INTERVAL_S, self._checkpoint_interval_s)
            self._append_orders_and_checkpoints(now, rank * DELAY_PER_RANK_S)

    def find_audit_entry(self, service: str, change_id: str) -> AuditEntry | None:
        """Returns the newest audit entry of a change; None if there is none."""
        for entry in reversed(self.fold.list_audit_entries(ServiceName(service))):
            if entry.change_id == change_id:
                return entry
        return None

    def find_author(self, service: str) -> str:
        """Returns the author of the current revision; empty if there is none."""
        document = self.fold.documents.get(ServiceName(service))
        for entry in reversed(self.fold.list_audit_entries(ServiceName(service))):
            if entry.accepted and document is not None and entry.offset == document.revision:
                return entry.author
        return ""

    def _handle_fold_result(self, record: Record, result: FoldResult) -> None:
        if result.corrupt:
            RECORDS_CORRUPT.inc()
            log_event(
                _LOGGER,
                logging.WARNING,
                Event.RECORD_CORRUPT,
                "skipped",
                offset=record.offset,
            )
            return
        for audit in result.decided:
            self._record_decision(audit)
            self._complete_pending(audit)
        accepted = [audit.offset for audit in result.decided if audit.accepted]
        for service in result.changed:
            # A document that does not come from a change in this record may skip revisions.
            self._record_document(service, adopted=accepted != [record.offset])
        for entry in decode_record(record.data).entries:
            kind = entry.WhichOneof("kind")
            if kind == "data_centre_order":
                self._mark_order_logged(entry.data_centre_order)
            elif kind == "quarantine":
                self._on_quarantine(entry.quarantine)

    def _record_decision(self, audit: AuditEntry) -> None:
        log_event(
            _LOGGER,
            logging.INFO,
            Event.DOCUMENT_DECIDED,
            f"{audit.service}: change {'accepted' if audit.accepted else 'refused'}",
            offset=audit.offset,
            author=audit.author,
            refusal=audit.refusal,
        )
        if not audit.accepted:
            self._history.write(
                "configuration",
                service=audit.service,
                offset=audit.offset,
                revision=audit.offset,
                accepted=False,
                author=audit.author,
                change_id=audit.change_id,
                run=self._run,
            )

    def _record_document(self, service: ServiceName, adopted: bool) -> None:
        """Writes the document that is now in force to the history."""
        document = self.fold.documents[service]
        self._history.write(
            "configuration",
            service=service,
            offset=self.folded_offset,
            revision=document.revision,
            accepted=True,
            adopted=adopted,
            author=self.find_author(service),
            digest=hashlib.sha256(document.document.encode()).hexdigest(),
            run=self._run,
        )

    def _mark_order_logged(self, order: DataCentreOrder) -> None:
        if order.order_id not in self._logged_order_ids:
            self._logged_order_ids.add(order.order_id)
            if self._unlogged_orders.pop(order.order_id, None) is None:
                self._record_order(order)

    def _record_order(self, order: DataCentreOrder) -> None:
        state = DataCentreState.Name(order.state).lower()
        self._history.write(
            "order",
            order_id=order.order_id,
            data_centre=order.data_centre,
            epoch=order.epoch,
            state=state,
            author=order.author,
            in_force_here=self.fold.orders.is_drained(DataCentre(order.data_centre))
            == (order.state == DataCentreState.DRAINED),
        )
        log_event(
            _LOGGER,
            logging.INFO,
            Event.DATA_CENTRE_ORDERED,
            f"data centre {order.data_centre} set to {state} by {order.author}",
            epoch=order.epoch,
            order_id=order.order_id,
        )

    def _complete_pending(self, audit: AuditEntry) -> None:
        pending = self._pending_changes.pop(audit.change_id, None)
        if pending is not None:
            self._complete_change(pending, audit)

    def _complete_change(self, pending: _PendingChange, audit: AuditEntry) -> None:
        if not audit.accepted:
            self._reject_change(pending, audit)
            return
        body: dict[str, object] = {
            "service": pending.service,
            "revision": audit.offset,
            "change_id": audit.change_id,
            "accepted": True,
        }
        pending.call.future.set_result(OperatorResponse(200, body))

    def _reject_change(self, pending: _PendingChange, audit: AuditEntry) -> None:
        document = self.fold.documents.get(ServiceName(pending.service))
        body: dict[str, object] = {
            "title": "Change refused",
            "detail": f"{audit.refusal}. Read the current document and repeat the change on it.",
            "refusal": audit.refusal,
            "change_id": audit.change_id,
            "accepted": False,
            "current_revision": document.revision if document is not None else 0,
            "current_author": self.find_author(pending.service),
        }
        pending.call.future.set_result(OperatorResponse(409, body))

    def _append_order(self, order: DataCentreOrder) -> None:
        batch = LogBatch(entries=[LogEntry(data_centre_order=order)])
        self._append(AppendRequest(CONFIGURATION_STREAM, order.order_id, batch, persistent=True))

    def _append_orders_and_checkpoints(self, now: float, delay_s: float) -> None:
        for order, since in list(self._unlogged_orders.values()):
            in_force = self.fold.orders.in_force.get(DataCentre(order.data_centre))
            if in_force is None or in_force.order_id != order.order_id:
                del self._unlogged_orders[order.order_id]
            elif now - since >= UNLOGGED_ORDER_TIMEOUT_S + delay_s:
                self._unlogged_orders[order.order_id] = (order, now)
                self._append_order(order)
        as_of_ms = self._get_unix_ms() - int(delay_s * 1000)
        for checkpoint in self.fold.list_due_checkpoints(as_of_ms):
            key = (checkpoint.service, checkpoint.revision)
            if (
                now
                < self._checkpointed_at.get(key, -self._checkpoint_interval_s)
                + self._checkpoint_interval_s
            ):
                continue
            self._checkpointed_at[key] = now
            batch = LogBatch(entries=[LogEntry(document_checkpoint=checkpoint)])
            self._append(AppendRequest(CONFIGURATION_STREAM, create_id("chk"), batch))
            log_event(
                _LOGGER,
                logging.INFO,
                Event.CHECKPOINT_APPENDED,
                f"appending a checkpoint of {checkpoint.service} at revision {checkpoint.revision}",
            )

    def _get_unix_ms(self) -> int:
        return int(self._clock.wall() * 1000)


def _fail_call(
    call: OperatorCall, status: int, title: str, detail: str, change_id: str = ""
) -> None:
    executed = Executed.UNKNOWN if status == 504 else Executed.NO
    body: dict[str, object] = {"title": title, "detail": detail}
    if change_id:
        body["change_id"] = change_id
    call.future.set_result(OperatorResponse(status, body, executed))
