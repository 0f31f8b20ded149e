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
    """Records that a follower has read, in offset order."""

    stream: str
    records: tuple[Record, ...]


@dataclass(frozen=True)
class CaughtUp:
    """A read that started at monotonic time ``read_started_at`` found no further records."""

    stream: str
    read_started_at: float
    # The oldest offset that the log still has.
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
    """The members in the platform's list."""

    members: tuple[Member, ...]


@dataclass(frozen=True)
class ListFailed:
    """Reading the list or registering this instance failed."""


@dataclass(frozen=True)
class TargetsPolled:
    """Results of polling the state of targets."""

    views: tuple[TargetView, ...]


@dataclass(frozen=True)
class GatewayMessage:
    """A message from one of this instance's gateways; ``gateway`` is its sender name."""

    gateway: str
    envelope: Envelope


@dataclass(frozen=True)
class PeerMessage:
    """A message from another instance, identified by the connection's key."""

    instance: str
    envelope: Envelope


@dataclass(frozen=True)
class AppendRequest:
    """A request to append one record; if ``persistent``, retried until the log has it."""

    stream: str
    key: str
    batch: LogBatch
    persistent: bool = False


@dataclass(frozen=True)
class AppendResult:
    """The result of an append.

    If ``offset`` is None and ``in_doubt`` is false, the record is certainly not in the log.
    """

    request: AppendRequest
    offset: int | None
    in_doubt: bool
    error: str = ""


@dataclass(frozen=True)
class SubmitDocument:
    """An operator's change of a document; the text has been validated."""

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
    """A request for the current document of a service."""

    service: str


@dataclass(frozen=True)
class ShowHistory:
    """A request for the audit entries of a service."""

    service: str


@dataclass(frozen=True)
class ShowInForce:
    """A request for the instances on which a revision is in force."""

    service: str
    revision: int


@dataclass(frozen=True)
class ShowStatus:
    """A request for the state of the deployment as known to this instance."""


@dataclass(frozen=True)
class ShowRequest:
    """A request for the trace of a request of this instance's gateways."""

    request_id: str


OperatorRequest = (
    SubmitDocument
    | SubmitOrder
    | ShowDocument
    | ShowHistory
    | ShowInForce
    | ShowStatus
    | ShowRequest
)


@dataclass(frozen=True)
class OperatorResponse:
    """The result of a call: an HTTP status and the members of its JSON body.

    From status 400 on, ``body`` has ``title`` and ``detail`` and the problem's extra members.
    """

    status: int
    body: dict[str, object]
    executed: Executed = Executed.NO


@dataclass(frozen=True)
class OperatorCall:
    """An operator's call; the main task sets the result of the future."""

    request: OperatorRequest
    future: "Future[OperatorResponse]" = field(default_factory=Future)


Inbox = SimpleQueue[object]
