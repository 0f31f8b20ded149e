"""The interface between the entry program and a wire format, and the types that both use.

The dispatcher handles calls, attempt plans and classified responses; only a ``Dialect`` knows their
headers, status codes and bodies.
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
    """Why the entry program refuses a call; the values are metric labels."""

    MALFORMED = "malformed"
    BODY_TOO_LARGE = "body too large"
    HEAD_TOO_LARGE = "head too large"
    NO_ROUTE = "no route"
    UNKNOWN_KEY = "unknown key"
    NOT_CONFIGURED = "no configuration yet"
    STOPPING = "stopping"
    NO_TARGET = "no target"
    OVERLOADED = "overloaded"
    LIMITED = "rate limits of the targets"
    MEMORY = "limit on memory for clients"
    QUIET = "targets want no calls for a time"
    REJECTED_BY_TARGETS = "rejected by targets"
    EXPIRED = "deadline passed before the call was sent"
    OUTCOME_UNKNOWN = "outcome unknown"
    TIMEOUT = "timeout"
    QUARANTINED = "targets end under such calls"
    ORIGIN_UNKNOWN = "software version of the stream unknown"
    VERSION_GONE = "no target of the stream's software version"
    SUSPECTED = "targets may have ended under this call"


@dataclass(frozen=True)
class CallRequest:
    """A caller's request, parsed and matched to a route."""

    request_id: RequestId
    http: HttpRequest
    path: str
    route: Route
    customer: Customer | None
    # Seconds from arrival that the caller waits for the response; None: not stated.
    deadline_s: float | None
    prompt: Prompt | None
    # Id of the last event that the caller received of an interrupted stream.
    last_event_id: int | None
    # The request that brought the first event of the interrupted stream; None: not stated.
    resumes: RequestId | None = None

    @property
    def is_take_up(self) -> bool:
        """Whether the call goes on with an interrupted stream."""
        return self.route.is_resumable and self.last_event_id is not None

    @property
    def priority(self) -> int:
        """0 is the most urgent; a customer's own priority overrides the route's."""
        if self.customer is not None and self.customer.priority is not None:
            return self.customer.priority
        return self.route.priority


class CallRefusedError(EntryError):
    """The request is refused without being sent to a target."""

    def __init__(self, reason: RefusalReason, detail: str) -> None:
        super().__init__(detail)
        self.reason = reason


@dataclass(frozen=True)
class CachePlan:
    """Which cached prompt parts an attempt fetches, and where its own are saved."""

    salt: str
    version: WeightVersion | None = None
    # For each prompt part, the address to fetch it from and to save it to; None: it is not
    # transferred.
    fetch: tuple[str | None, ...] = ()
    save: tuple[str | None, ...] = ()
    # Prompt tokens that the target has to prefill itself.
    prefill_tokens: int = 0
    # Time at which fetches are abandoned, in seconds on the engines' clock; None: no limit.
    fetch_deadline_s: float | None = None
    # Why engines are not used as sources, for logs; empty: they are.
    restriction: str = ""


@dataclass(frozen=True)
class AttemptPlan:
    """The target and parameters of one attempt at a call."""

    target: Target
    # Seconds until the target's response must be complete.
    time_left_s: float
    cache: CachePlan | None
    # Id of the last event that the caller received, for a resumed stream.
    last_event_id: int | None
    # Expected time to the first event, in seconds; 0 where it is not estimated.
    expected_wait_s: float = 0.0

    def describe(self) -> str:
        """Returns the target and its cached prompt parts, for logs."""
        software = self.target.registration.software
        target = f"{self.target.id} ({software})" if software else self.target.id
        if self.cache is None:
            return target
        fetch = ",".join(address or "-" for address in self.cache.fetch)
        wait_ms = round(self.expected_wait_s * 1000)
        save = ",".join(address or "-" for address in self.cache.save)
        restriction = f" ({self.cache.restriction})" if self.cache.restriction else ""
        transfers = f"fetch={fetch} save={save}{restriction}"
        return f"{target} salt={self.cache.salt} {transfers} expected={wait_ms}ms"


class ResponseKind(Enum):
    """Information about the call from the head of a response to an attempt."""

    SUCCESS = "success"
    # The target ran the call and returned an error.
    ERROR = "error"
    # The target did not run the call.
    REJECTED = "rejected"
    # The call reached another target, or one with another weight version, which did not run it.
    MISDIRECTED = "misdirected"
    # The response does not prove that it comes from a target.
    UNVERIFIED = "unverified"


@dataclass(frozen=True)
class ResponseInfo:
    """The classified head of a response."""

    kind: ResponseKind
    versions: dict[ModelName, WeightVersion] = field(default_factory=dict)
    # Whether another target than the addressed one responded.
    is_from_other_target: bool = False
    closes_connection: bool = False
    # Calls per second that the target accepts from all instances together; None: it names no limit.
    rate_limit: float | None = None
    # Whether the response tells anything about a limit: not if its origin or the value is unclear.
    tells_rate_limit: bool = False
    # Whether the target itself says that it leaves.
    is_leaving: bool = False
    # Seconds for which the target wants no calls from this instance; None: it names no time.
    quiet_s: float | None = None
    # Names of headers whose values were ignored or cut because they were out of range.
    invalid_headers: tuple[str, ...] = ()


class Dialect(Protocol):
    """The wire format of calls between callers, the system and targets."""

    def parse_call(self, request: HttpRequest, table: RouteTable) -> CallRequest:
        """Parses a request and finds its route; raises CallRefusedError."""
        ...

    def get_request_id(self, request: HttpRequest) -> RequestId | None:
        """Returns the id that a request states; None: it has none."""
        ...

    def encode_attempt(self, call: CallRequest, plan: AttemptPlan) -> bytes:
        """Returns the bytes of the request to the attempt's target."""
        ...

    def is_response_to(self, response: HttpResponse, call: CallRequest) -> bool:
        """Whether a response belongs to this call and not to an earlier one."""
        ...

    def classify_response(
        self, response: HttpResponse, call: CallRequest, plan: AttemptPlan
    ) -> ResponseInfo:
        """Classifies the head of a response to an attempt."""
        ...

    def list_response_headers(self, response: HttpResponse) -> list[Header]:
        """Returns the headers of a target's response that are passed on to the caller."""
        ...

    def build_refusal(
        self, reason: RefusalReason, request: HttpRequest | None, retry_after_s: float | None
    ) -> tuple[int, list[Header], bytes]:
        """Returns status, headers and body of a response that refuses a request."""
        ...

    def get_refusal_reason(self, error: RequestErrorReason) -> RefusalReason:
        """Returns the refusal reason for a request that could not be parsed."""
        ...
