"""Applies the configuration log to documents, data centre orders and quarantine entries.

The configuration is a fold over the log: whether a change is accepted depends only on the records
before it and on the site's operators, never on an instance's clock or other settings. All instances
that have folded the same offset therefore have the same documents.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field

import yaml
from google.protobuf import json_format

from ...errors import CorruptRecordError
from ..ids import Offset, ServiceName
from ..schema.log_pb2 import (
    AuditEntry,
    DataCentreOrder,
    DocumentChange,
    DocumentCheckpoint,
    LogEntry,
    QuarantineEntry,
)
from ..schema.wire_pb2 import DocumentState, StateReply
from .datacentres import DataCentreOrders
from .messages import Record
from .records import decode_record

# Service name of the index checkpoint. Its document is a StateReply as JSON with the names of all
# services, so that a reader knows which documents exist, and with the data centre orders in force,
# so that they stay in the log.
INDEX_SERVICE = ServiceName("")
# Folded offset before the first record.
NO_OFFSET = Offset(-1)
# Revision 0 means "no document", so the record at offset 0 cannot create one. A reader that starts
# at offset 1 has therefore missed no document.
FIRST_REVISION = Offset(1)
_DUPLICATE_ID_REFUSAL = "another change has the same id; submit it with a new one"
# A checkpoint holds a document and its newest audit entries, and must fit into one record of 1 MiB.
# These limits keep it below 800 KiB.
MAX_DOCUMENT_BYTES = 512 * 1024
MAX_AUDIT_ENTRIES = 100
MAX_AUDIT_FIELD_BYTES = 600
# Checkpoints are written this often per retention time, so that three attempts may fail before the
# last record that holds a document expires.
CHECKPOINTS_PER_RETENTION = 4


@dataclass(frozen=True)
class FoldResult:
    """The effects of one record.

    ``decided`` holds the audit entries of all changes that the record caused to be accepted or
    refused. These may be changes of earlier records whose base document has become known.
    """

    corrupt: bool = False
    # Services whose document in force was replaced.
    changed: tuple[ServiceName, ...] = ()
    decided: tuple[AuditEntry, ...] = ()
    orders: tuple[DataCentreOrder, ...] = ()
    quarantine: tuple[QuarantineEntry, ...] = ()


@dataclass(frozen=True)
class _Change:
    """A change with the offset and time of the record that holds it."""

    offset: Offset
    time_ms: int
    message: DocumentChange


@dataclass
class _FoldResultBuilder:
    """Collects the parts of a FoldResult while a record is applied."""

    changed: dict[ServiceName, None] = field(default_factory=dict)
    decided: list[AuditEntry] = field(default_factory=list)
    orders: list[DataCentreOrder] = field(default_factory=list)
    quarantine: list[QuarantineEntry] = field(default_factory=list)

    def build(self) -> FoldResult:
        return FoldResult(
            changed=tuple(self.changed),
            decided=tuple(self.decided),
            orders=tuple(self.orders),
            quarantine=tuple(self.quarantine),
        )


class ConfigurationFold:
    """The configuration as of one offset of the log.

    A reader that did not start at the beginning of the log knows a service only after a checkpoint
    whose ``as_of`` is not before the reader's start; until then the service's changes stay pending.
    After a gap between records, services become known again in the same way, while the documents
    stay in force.
    """

    def __init__(self, site_operators: frozenset[str], retention_ms: int) -> None:
        self._site_operators = site_operators
        self._checkpoint_age_ms = retention_ms // CHECKPOINTS_PER_RETENTION
        self._documents: dict[ServiceName, DocumentState] = {}
        self._orders = DataCentreOrders()
        self._quarantine: dict[str, QuarantineEntry] = {}
        self._folded_offset = NO_OFFSET
        # Start of the range up to _folded_offset that was read without a gap.
        self._contiguous_from = Offset(0)
        self._known_services: set[ServiceName] = set()
        # Services that exist but are not known yet; None until an index has listed all services.
        self._missing_services: set[ServiceName] | None = None
        self._pending_changes: dict[ServiceName, list[_Change]] = {}
        self._index_time_ms = 0
        self.corrupt_records = 0

    @property
    def folded_offset(self) -> Offset:
        """The offset of the last folded record; -1 before the first."""
        return self._folded_offset

    @property
    def documents(self) -> Mapping[ServiceName, DocumentState]:
        """The documents in force."""
        return self._documents

    @property
    def orders(self) -> DataCentreOrders:
        """The data centre orders; orders from peers are applied to the same object."""
        return self._orders

    @property
    def quarantine(self) -> Mapping[str, QuarantineEntry]:
        """Quarantine entries by fingerprint."""
        return self._quarantine

    @property
    def is_complete(self) -> bool:
        """Whether every document as of ``folded_offset`` is known; False before any record."""
        return self._missing_services is not None and not self._missing_services

    def apply(self, record: Record) -> FoldResult:
        """Folds the next record; a record that was folded before has no effect."""
        if record.offset <= self._folded_offset:
            return FoldResult()
        self._advance(record)
        try:
            batch = decode_record(record.data)
        except CorruptRecordError:
            self.corrupt_records += 1
            return FoldResult(corrupt=True)
        result = _FoldResultBuilder()
        for entry in batch.entries:
            self._apply_entry(entry, record, result)
        return result.build()

    def _advance(self, record: Record) -> None:
        if record.offset != self._folded_offset + 1 or self._folded_offset == NO_OFFSET:
            self._restart_at(record)
        self._folded_offset = record.offset
        for fingerprint, entry in list(self._quarantine.items()):
            if entry.expires_unix_ms <= record.time_ms:
                del self._quarantine[fingerprint]

    def _restart_at(self, record: Record) -> None:
        self._contiguous_from = record.offset
        self._known_services.clear()
        self._pending_changes.clear()
        self._missing_services = None
        if record.offset <= FIRST_REVISION and not self._documents:
            self._missing_services = set()
            self._index_time_ms = record.time_ms

    def _apply_entry(self, entry: LogEntry, record: Record, result: _FoldResultBuilder) -> None:
        kind = entry.WhichOneof("kind")
        if kind == "document_change":
            self._apply_change(
                _Change(record.offset, record.time_ms, entry.document_change), result
            )
        elif kind == "document_checkpoint":
            self._apply_checkpoint(entry.document_checkpoint, record, result)
        elif kind == "data_centre_order":
            self._apply_order(entry.data_centre_order, result)
        elif kind == "quarantine":
            self._apply_quarantine(entry.quarantine, record, result)

    def _apply_order(self, order: DataCentreOrder, result: _FoldResultBuilder) -> None:
        if self._orders.apply(order):
            result.orders.append(order)

    def _apply_quarantine(
        self, entry: QuarantineEntry, record: Record, result: _FoldResultBuilder
    ) -> None:
        current = self._quarantine.get(entry.fingerprint)
        if entry.expires_unix_ms <= record.time_ms:
            return
        if current is None or entry.expires_unix_ms > current.expires_unix_ms:
            self._quarantine[entry.fingerprint] = entry
            result.quarantine.append(entry)

    def _is_known(self, service: ServiceName) -> bool:
        if service in self._known_services:
            return True
        return self._missing_services is not None and service not in self._missing_services

    def _apply_change(self, change: _Change, result: _FoldResultBuilder) -> None:
        service = ServiceName(change.message.service)
        if not service:
            return
        if self._is_known(service):
            self._decide(service, change, result)
        else:
            self._pending_changes.setdefault(service, []).append(change)

    def _decide(self, service: ServiceName, change: _Change, result: _FoldResultBuilder) -> None:
        """Accepts or refuses a change whose base is known."""
        current = self._documents.get(service)
        message = change.message
        earlier = current.audit if current is not None else ()
        same_id = [entry for entry in earlier if entry.change_id == message.change_id]
        if any(_is_repeat(change, entry) for entry in same_id):
            return
        refusal = _DUPLICATE_ID_REFUSAL if same_id else self._find_refusal(change, current)
        audit = _create_audit(change, refusal)
        result.decided.append(audit)
        if refusal:
            if current is not None:
                _append_audit(current, audit)
            return
        accepted = DocumentState(
            service=service,
            revision=change.offset,
            document=message.document,
            recorded_unix_ms=current.recorded_unix_ms if current else change.time_ms,
            audit=current.audit if current else (),
        )
        _append_audit(accepted, audit)
        self._documents[service] = accepted
        self._known_services.add(service)
        result.changed[service] = None

    def _find_refusal(self, change: _Change, current: DocumentState | None) -> str:
        """Returns why a change is refused, or an empty string if it is accepted."""
        message = change.message
        revision = current.revision if current is not None else 0
        if change.offset < FIRST_REVISION:
            return "the first record of the log cannot hold a change; submit it again"
        if message.base_revision != revision:
            return f"the base revision {message.base_revision} is not the current one, {revision}"
        if change.offset == revision:
            return "the same record already holds an accepted change of this service"
        if current is None and message.author not in self._site_operators:
            return "only a site operator can create a document"
        if current is not None and message.author not in _list_owners(current.document):
            return "the author is not an owner in the current document"
        return _find_content_refusal(message)

    def _apply_checkpoint(
        self, checkpoint: DocumentCheckpoint, record: Record, result: _FoldResultBuilder
    ) -> None:
        # With an older as_of, the changes between as_of and this reader's start would be missing.
        usable = self._contiguous_from - 1 <= checkpoint.as_of < record.offset
        if checkpoint.service == INDEX_SERVICE:
            self._apply_index(checkpoint, record, usable, result)
        elif usable:
            self._apply_document_checkpoint(checkpoint, record, result)

    def _apply_index(
        self, index: DocumentCheckpoint, record: Record, usable: bool, result: _FoldResultBuilder
    ) -> None:
        content = StateReply()
        try:
            json_format.Parse(index.document, content, ignore_unknown_fields=True)
        except json_format.ParseError:
            return
        for order in content.orders:
            self._apply_order(order, result)
        if not usable:
            return
        self._index_time_ms = record.time_ms
        if self._missing_services is not None:
            return
        self._missing_services = {
            ServiceName(s.service) for s in content.documents
        } - self._known_services
        for service in [
            name for name in self._pending_changes if name not in self._missing_services
        ]:
            self._decide_pending_changes(service, Offset(index.as_of), result)

    def _apply_document_checkpoint(
        self, checkpoint: DocumentCheckpoint, record: Record, result: _FoldResultBuilder
    ) -> None:
        service = ServiceName(checkpoint.service)
        current = self._documents.get(service)
        if self._is_known(service):
            if current is not None:
                current.recorded_unix_ms = record.time_ms
            return
        if current is not None and checkpoint.revision < current.revision:
            return
        if current is None or checkpoint.revision > current.revision:
            result.changed[service] = None
        self._documents[service] = DocumentState(
            service=service,
            revision=checkpoint.revision,
            document=checkpoint.document,
            recorded_unix_ms=record.time_ms,
            audit=checkpoint.audit,
        )
        self._known_services.add(service)
        if self._missing_services is not None:
            self._missing_services.discard(service)
        self._decide_pending_changes(service, Offset(checkpoint.as_of), result)

    def _decide_pending_changes(
        self, service: ServiceName, as_of: Offset, result: _FoldResultBuilder
    ) -> None:
        """Decides the pending changes after ``as_of``; the document includes the earlier ones."""
        for change in self._pending_changes.pop(service, []):
            if change.offset > as_of:
                self._decide(service, change, result)

    def list_due_checkpoints(self, now_unix_ms: int) -> list[DocumentCheckpoint]:
        """Returns the checkpoints to append now, each as a separate record.

        Any instance may append them. So that usually only one does, each instance subtracts a few
        seconds from the time for every instance that should write before it.
        """
        due = [
            DocumentCheckpoint(
                service=service,
                revision=state.revision,
                document=state.document,
                as_of=self._folded_offset,
                audit=state.audit,
            )
            for service, state in self._documents.items()
            if self._is_known(service) and self._is_due(state.recorded_unix_ms, now_unix_ms)
        ]
        if self.is_complete and self._is_due(self._index_time_ms, now_unix_ms):
            due.append(self._create_index())
        return due

    def _create_index(self) -> DocumentCheckpoint:
        listed = [DocumentState(service=name) for name in sorted(self._documents)]
        content = StateReply(documents=listed, orders=self._orders.in_force.values())
        text = json_format.MessageToJson(content, indent=None)
        return DocumentCheckpoint(service=INDEX_SERVICE, document=text, as_of=self._folded_offset)

    def _is_due(self, recorded_unix_ms: int, now_unix_ms: int) -> bool:
        return now_unix_ms - recorded_unix_ms >= self._checkpoint_age_ms

    def export(self) -> StateReply:
        """Returns the state for a peer; an incomplete state has offset -1 and no documents."""
        state = StateReply(
            folded_offset=NO_OFFSET,
            orders=self._orders.in_force.values(),
            quarantine=self._quarantine.values(),
        )
        if self.is_complete:
            state.folded_offset = self._folded_offset
            state.documents.extend(self._documents.values())
            state.documents.add(service=INDEX_SERVICE, recorded_unix_ms=self._index_time_ms)
        return state

    def merge_state(self, state: StateReply) -> bool:
        """Replaces this state with a peer's if that is newer; returns whether it did.

        Orders are merged in any case. An incomplete state may lack documents that this instance
        has; its offset is -1, so it never replaces this state.
        """
        for order in state.orders:
            self._orders.apply(order)
        newer = state.folded_offset > self._folded_offset
        same = state.folded_offset == self._folded_offset and not self.is_complete
        if state.folded_offset <= NO_OFFSET or not (newer or same):
            return False
        copies = {ServiceName(s.service): _copy_state(s) for s in state.documents}
        index = copies.pop(INDEX_SERVICE, None)
        if index is None:
            # A reply to an instance that had all documents carries none. If the instance restarted
            # meanwhile, the reply must not be taken for a configuration without documents.
            return False
        self._documents = copies
        self._quarantine = {entry.fingerprint: entry for entry in state.quarantine}
        self._folded_offset = Offset(state.folded_offset)
        # A complete state includes the effects of all earlier records.
        self._contiguous_from = Offset(0)
        self._known_services = set(self._documents)
        self._missing_services = set()
        self._pending_changes.clear()
        self._index_time_ms = index.recorded_unix_ms
        return True

    def list_audit_entries(self, service: ServiceName) -> list[AuditEntry]:
        """Returns the latest audit entries of a service, oldest first."""
        state = self._documents.get(service)
        return list(state.audit) if state is not None else []


def _find_content_refusal(message: DocumentChange) -> str:
    """Returns why a document's content is refused, or an empty string.

    Only what later decisions depend on is checked. The complete check is made before a change is
    appended; if it were made here, instances of different releases could disagree.
    """
    if len(message.document.encode("utf-8")) > MAX_DOCUMENT_BYTES:
        return f"the document is longer than {MAX_DOCUMENT_BYTES} bytes"
    fields = (message.change_id, message.author, message.reason, message.service)
    if any(len(value.encode("utf-8")) > MAX_AUDIT_FIELD_BYTES for value in fields):
        return f"change id, author, reason or service is over {MAX_AUDIT_FIELD_BYTES} bytes"
    if not message.change_id:
        return "the change has no id"
    if _read_fields(message.document).get("service") != message.service:
        return "the document names another service"
    if not _list_owners(message.document):
        return "the document has no owners"
    return ""


def _list_owners(document: str) -> list[str]:
    owners = _read_fields(document).get("owners")
    return owners if isinstance(owners, list) else []


def _read_fields(document: str) -> dict[str, str | list[str]]:
    """Returns the top-level values that are scalars or lists of scalars; empty if unreadable."""
    try:
        root = yaml.compose(document, Loader=yaml.CSafeLoader)
    except (yaml.YAMLError, ValueError, RecursionError):
        return {}
    fields: dict[str, str | list[str]] = {}
    for key, value in root.value if isinstance(root, yaml.MappingNode) else []:
        if isinstance(value, yaml.ScalarNode):
            fields[str(key.value)] = str(value.value)
        elif isinstance(value, yaml.SequenceNode):
            items = [str(n.value) for n in value.value if isinstance(n, yaml.ScalarNode)]
            fields[str(key.value)] = items
    return fields


def _create_audit(change: _Change, refusal: str) -> AuditEntry:
    message = change.message
    return AuditEntry(
        change_id=message.change_id[:MAX_AUDIT_FIELD_BYTES],
        service=message.service,
        offset=change.offset,
        base_revision=message.base_revision,
        author=message.author[:MAX_AUDIT_FIELD_BYTES],
        reason=message.reason[:MAX_AUDIT_FIELD_BYTES],
        submitted_unix_ms=message.submitted_unix_ms,
        recorded_unix_ms=change.time_ms,
        accepted=not refusal,
        refusal=refusal,
    )


def _is_repeat(change: _Change, entry: AuditEntry) -> bool:
    """Returns whether a change with the id of a decided one repeats it.

    Changes are appended or submitted again if the result of the first attempt is unknown.
    """
    message = change.message
    return (message.author, message.base_revision) == (entry.author, entry.base_revision)


def _append_audit(state: DocumentState, audit: AuditEntry) -> None:
    state.audit.append(audit)
    del state.audit[:-MAX_AUDIT_ENTRIES]


def _copy_state(state: DocumentState) -> DocumentState:
    copy = DocumentState()
    copy.CopyFrom(state)
    return copy
