"""Typed messages between the tasks of a control process."""

from concurrent.futures import Future
from dataclasses import dataclass, field
from queue import SimpleQueue

from ..core.messages import Record
from ..ids import Executed
from ..schema.log_pb2 import DataCentreState, LogBatch
from ..schema.wire_pb2 import Envelope, Member, TargetView


@dataclass(frozen=True)
class RecordsRead:
    """A follower read records in offset order."""

    stream: str
    records: tuple[Record, ...]


@dataclass(frozen=True)
class CaughtUp:
    """A read that began at monotonic time ``read_started_at`` found no further record."""

    stream: str
    read_started_at: float
    # The oldest offset that the log keeps.
    first_offset: int


@dataclass(frozen=True)
class ReadFailed:
    """A follower could not reach the log."""

    stream: str


@dataclass(frozen=True)
class OffsetsExpired:
    """The log no longer has the offsets before ``first_offset``."""

    stream: str
    first_offset: int


@dataclass(frozen=True)
class MembersListed:
    """The platform's list."""

    members: tuple[Member, ...]


@dataclass(frozen=True)
class ListFailed:
    """The list could not be read or this instance could not be registered."""


@dataclass(frozen=True)
class TargetsPolled:
    """Results of polls of target state."""

    views: tuple[TargetView, ...]


@dataclass(frozen=True)
class GatewayMessage:
    """A message of one of this instance's gateways; ``gateway`` is its sender name."""

    gateway: str
    envelope: Envelope


@dataclass(frozen=True)
class PeerMessage:
    """A message of the instance that owns the connection's key."""

    instance: str
    envelope: Envelope


@dataclass(frozen=True)
class AppendRequest:
    """Asks a writer for one record. ``persistent``: retried until it is in the log."""

    stream: str
    key: str
    batch: LogBatch
    persistent: bool = False


@dataclass(frozen=True)
class AppendResult:
    """What became of an append. Neither appended nor in doubt: not in the log."""

    request: AppendRequest
    offset: int | None
    in_doubt: bool
    error: str = ""


@dataclass(frozen=True)
class SubmitDocument:
    """An operator's change of a document that has been checked."""

    service: str
    text: str
    base_revision: int
    author: str
    reason: str
    change_id: str


@dataclass(frozen=True)
class SubmitOrder:
    """An operator's order to drain a data centre or return it to service."""

    data_centre: str
    state: "DataCentreState.ValueType"
    author: str
    reason: str


@dataclass(frozen=True)
class ShowDocument:
    """Asks for the current document of a service."""

    service: str


@dataclass(frozen=True)
class ShowHistory:
    """Asks for the audit entries of a service."""

    service: str


@dataclass(frozen=True)
class ShowInForce:
    """Asks where a revision is in force."""

    service: str
    revision: int


@dataclass(frozen=True)
class ShowStatus:
    """Asks for the state of the deployment as this instance sees it."""


@dataclass(frozen=True)
class ShowRequest:
    """Asks for the trace of a request of this instance's gateways."""

    request_id: str


CallRequest = (
    SubmitDocument
    | SubmitOrder
    | ShowDocument
    | ShowHistory
    | ShowInForce
    | ShowStatus
    | ShowRequest
)


@dataclass(frozen=True)
class CallAnswer:
    """The result of a call: an HTTP status and the members of its JSON body.

    From status 400 on, ``body`` has ``title`` and ``detail`` and the problem's extra members.
    """

    status: int
    body: dict[str, object]
    executed: Executed = Executed.NO


@dataclass(frozen=True)
class Call:
    """An operator's call that the main task answers through the future."""

    request: CallRequest
    future: "Future[CallAnswer]" = field(default_factory=Future)


Inbox = SimpleQueue[object]
