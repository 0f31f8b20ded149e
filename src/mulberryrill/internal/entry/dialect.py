"""What the entry program needs from an interface's dialect, and the types they share.

The dispatcher sees calls, attempts and verdicts; how they look on the wire is behind these types.
"""

from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol

from ...errors import EntryError
from ..core.serving.routetable import Customer, Prompt, Route, RouteTable
from ..core.serving.targettable import Target
from ..http.messages import Header, HttpRequest, HttpResponse, RequestErrorReason
from ..ids import ModelName, RequestId, WeightVersion


class RefusalReason(Enum):
    """Why the system answers a call itself."""

    MALFORMED = "malformed"
    BODY_TOO_LARGE = "body too large"
    HEAD_TOO_LARGE = "head too large"
    NO_ROUTE = "no route"
    UNKNOWN_KEY = "unknown key"
    NOT_CONFIGURED = "no configuration yet"
    STOPPING = "stopping"
    NO_TARGET = "no target"
    OVERLOADED = "overloaded"
    REJECTED_BY_TARGETS = "rejected by targets"
    EXPIRED = "deadline passed before the call was sent"
    OUTCOME_UNKNOWN = "outcome unknown"
    TIMEOUT = "timeout"


@dataclass(frozen=True)
class CallRequest:
    """A caller's request, read and routed."""

    request_id: RequestId
    http: HttpRequest
    path: str
    route: Route
    customer: Customer | None
    # Seconds that the caller waits, from arrival; None: it did not say.
    deadline_s: float | None
    prompt: Prompt | None
    # The newest event that the caller has of an interrupted stream.
    last_event_id: int | None

    @property
    def priority(self) -> int:
        """0 is the most urgent; a customer's own priority goes before the route's."""
        if self.customer is not None and self.customer.priority is not None:
            return self.customer.priority
        return self.route.priority


class CallRefusedError(EntryError):
    """A request that is answered without a target."""

    def __init__(self, refusal: RefusalReason, detail: str) -> None:
        super().__init__(detail)
        self.reason = refusal


@dataclass(frozen=True)
class CachePlan:
    """Which kept prompt parts an attempt uses, and where its own are kept."""

    salt: str
    version: WeightVersion | None = None
    # Addresses to fetch each prompt part from and to save it to; None: neither.
    fetch: tuple[str | None, ...] = ()
    save: tuple[str | None, ...] = ()
    # Prompt tokens that the target has to read itself.
    prefill_tokens: int = 0
    # Fetches that last longer are dropped, in seconds on the engines' clock; None: no limit.
    fetch_deadline_s: float | None = None


@dataclass(frozen=True)
class AttemptPlan:
    """One sending of a call to a target."""

    target: Target
    # Seconds that the target may work on it.
    time_left_s: float
    cache: CachePlan | None
    # The newest event that the caller has, for a stream that continues.
    last_event_id: int | None
    # Expected time to the first event, in seconds; 0 where it is not estimated.
    expected_wait_s: float = 0.0

    def describe(self) -> str:
        """Returns the target and the use of kept prompt parts, for logs."""
        if self.cache is None:
            return self.target.id
        fetch = ",".join(address or "-" for address in self.cache.fetch)
        wait_ms = round(self.expected_wait_s * 1000)
        return f"{self.target.id} salt={self.cache.salt} fetch={fetch} expected={wait_ms}ms"


class ResponseKind(Enum):
    """What a target's response head says."""

    SUCCESS = "success"
    # The target ran the call and answered with an error.
    ERROR = "error"
    # The target did not run the call.
    REJECTED = "rejected"
    # The call reached another target, or one with other weights, which did not run it.
    MISDIRECTED = "misdirected"
    # The response does not prove that it is a target's answer.
    UNVERIFIED = "unverified"


@dataclass(frozen=True)
class ResponseInfo:
    """A judged response head."""

    kind: ResponseKind
    versions: dict[ModelName, WeightVersion] = field(default_factory=dict)
    # The answering target when it is another one than was asked.
    is_from_other_target: bool = False
    closes_connection: bool = False


class Dialect(Protocol):
    """The wire format of calls between callers, the system and targets."""

    def parse_call(self, request: HttpRequest, table: RouteTable) -> CallRequest:
        """Reads and routes a request; raises CallRefusedError."""
        ...

    def encode_attempt(self, call: CallRequest, plan: AttemptPlan) -> bytes:
        """Returns the request for a target."""
        ...

    def is_response_to(self, response: HttpResponse, call: CallRequest) -> bool:
        """Whether a response belongs to the call and not to an earlier one."""
        ...

    def classify_response(
        self, response: HttpResponse, call: CallRequest, plan: AttemptPlan
    ) -> ResponseInfo:
        """Judges the head of a response to an attempt."""
        ...

    def list_response_headers(self, response: HttpResponse) -> list[Header]:
        """Returns the headers of a target's response that its caller gets."""
        ...

    def build_refusal(
        self, refusal: RefusalReason, request: HttpRequest | None, retry_after_s: float | None
    ) -> tuple[int, list[Header], bytes]:
        """Returns status, headers and body of an answer of the system's own."""
        ...

    def get_refusal_reason(self, reason: RequestErrorReason) -> RefusalReason:
        """Returns the refusal for bytes that are no request."""
        ...
