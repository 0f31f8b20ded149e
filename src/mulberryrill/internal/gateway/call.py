"""The state of one request while it is in the gateway."""

from dataclasses import dataclass, field
from enum import Enum

from ..core.messages import QueueItem, RoutingRequest
from ..core.retries import AttemptTracker
from ..core.snapshot import CustomerConfig, EntryMember, ServiceConfig
from ..ids import AttemptId, Executed, RequestId, TargetId
from ..schema.log_pb2 import Claim
from ..schema.wire_pb2 import AttemptTrace
from .caller import CallerConnection
from .stores import PromptBlocks
from .streams import StreamProgress


class CallState(Enum):
    """The stage of a call."""

    NEW = "new"
    CLAIMING = "claiming"
    QUEUED = "queued"
    # Waits for a target after a failed attempt.
    RETRYING = "retrying"
    RUNNING = "running"
    DONE = "done"


@dataclass(frozen=True)
class CallRequest:
    """A request as parsed and validated by the front end."""

    request_id: RequestId
    authorization: str
    config: ServiceConfig
    customer: CustomerConfig
    method: str
    # Path and query at this gateway, for forwarding.
    gateway_path: str
    # Path and query at the target.
    target_path: str
    # Content-Type and Accept headers to pass on.
    headers: tuple[tuple[str, str], ...]
    body: bytes
    hops: int
    idempotency_key: str
    repeatable: bool
    # Whether an earlier attempt of the forwarding gateway may have run the request.
    executed_before: Executed = Executed.NO
    # The following are for model services only.
    is_stream: bool = False
    wants_usage: bool = False
    model: str = ""
    version: str = ""
    prompt: bytes = b""
    content: dict = field(default_factory=dict)
    # What the caller of a forwarded stream has already received.
    prior_progress: StreamProgress | None = None

    @property
    def is_model(self) -> bool:
        """Whether the call goes to a model engine."""
        return self.config.is_model


@dataclass(eq=False)
class Call:
    """A request's mutable state; owned by the relay loop's thread.

    Times are monotonic seconds, except for ``received_unix_s``.
    """

    request: CallRequest
    caller: CallerConnection
    received_at: float
    received_unix_s: float
    deadline: float
    state: CallState = CallState.NEW
    tracker: AttemptTracker = field(default_factory=AttemptTracker)
    progress: StreamProgress = field(default_factory=StreamProgress)
    routing: RoutingRequest | None = None
    queue_item: QueueItem | None = None
    # The prompt's blocks in its store; None if this call uses no store.
    blocks: PromptBlocks | None = None
    # Members of the next attempt's ``engine`` extension that name blocks to import and export.
    kv_fields: dict[str, object] = field(default_factory=dict)
    claim: Claim | None = None
    fingerprint: str = ""
    tried_targets: set[TargetId] = field(default_factory=set)
    # Number of attempts whose connection broke before any output.
    broken_attempts: int = 0
    attempt_count: int = 0
    last_failure_at: float = 0.0
    # Latest time to start the next attempt while retrying.
    retry_until: float = 0.0
    # Gateways to which the call has yet to be forwarded, in this order.
    forward_candidates: list[EntryMember] = field(default_factory=list)
    last_attempt_id: AttemptId = AttemptId("")
    first_token_at: float | None = None
    dispatched_at: float | None = None
    # The caller has its response; a call that is not repeatable may still be running.
    answered: bool = False
    traces: list[AttemptTrace] = field(default_factory=list)
