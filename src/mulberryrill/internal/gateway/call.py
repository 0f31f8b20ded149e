"""One caller's request while the gateway is responsible for it."""

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
    """Where a call is."""

    NEW = "new"
    CLAIMING = "claiming"
    QUEUED = "queued"
    # Waits for a target again after a failed attempt.
    RETRYING = "retrying"
    RUNNING = "running"
    DONE = "done"


@dataclass(frozen=True)
class CallRequest:
    """What the caller asked for, as read and checked by the front end."""

    request_id: RequestId
    authorization: str
    config: ServiceConfig
    customer: CustomerConfig
    method: str
    # Path and query at this gateway, for forwarding.
    gateway_path: str
    # Path and query at the target.
    target_path: str
    # Content headers of the caller.
    headers: tuple[tuple[str, str], ...]
    body: bytes
    hops: int
    idempotency_key: str
    repeatable: bool
    # What the forwarding gateway knows of earlier attempts.
    executed_before: Executed = Executed.NO
    # The following are for model services only.
    is_stream: bool = False
    wants_usage: bool = False
    model: str = ""
    version: str = ""
    prompt: bytes = b""
    content: dict = field(default_factory=dict)
    # What the caller of a forwarded stream has received already.
    prior_progress: StreamProgress | None = None

    @property
    def is_model(self) -> bool:
        """Tells whether the call goes to a model engine."""
        return self.config.is_model


@dataclass(eq=False)
class Call:
    """A request's mutable state; owned by the relay loop's thread. Times are monotonic seconds."""

    request: CallRequest
    caller: CallerConnection
    received_at: float
    received_wall: float
    deadline: float
    state: CallState = CallState.NEW
    tracker: AttemptTracker = field(default_factory=AttemptTracker)
    progress: StreamProgress = field(default_factory=StreamProgress)
    routing: RoutingRequest | None = None
    queue_item: QueueItem | None = None
    # What the prompt's store holds; None: this call uses no store.
    blocks: PromptBlocks | None = None
    # Members of the next attempt's ``engine`` extension that name blocks to import and export.
    kv_fields: dict[str, object] = field(default_factory=dict)
    claim: Claim | None = None
    fingerprint: str = ""
    tried_targets: set[TargetId] = field(default_factory=set)
    # Attempts that ended with a broken connection before any output.
    broken_attempts: int = 0
    attempt_count: int = 0
    last_failure_at: float = 0.0
    # Latest time to start the next attempt while retrying.
    retry_until: float = 0.0
    # Gateways still to be tried when forwarding.
    forward_candidates: list[EntryMember] = field(default_factory=list)
    last_attempt_id: AttemptId = AttemptId("")
    first_token_at: float | None = None
    dispatched_at: float | None = None
    # Tells whether the caller has its answer; a call that may not be repeated can outlive it.
    answered: bool = False
    traces: list[AttemptTrace] = field(default_factory=list)
