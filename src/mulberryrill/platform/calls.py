"""The platform's HTTP dialect for calls: request and response headers, statuses, refusals."""

import logging
import re

from ..internal.core.serving.quiettimes import MAX_QUIET_S
from ..internal.core.serving.routetable import Customer, Prompt, Route, RouteTable
from ..internal.entry.dialect import (
    AttemptPlan,
    CallRefusedError,
    CallRequest,
    RefusalReason,
    ResponseInfo,
    ResponseKind,
)
from ..internal.events import Event
from ..internal.http.messages import (
    Header,
    HttpRequest,
    HttpResponse,
    RequestErrorReason,
    encode_request,
    strip_hop_by_hop_headers,
)
from ..internal.ids import ModelName, RequestId, WeightVersion
from ..internal.logs import log_event

REQUEST_ID = b"request-id"
# Milliseconds for which the sender will still wait.
DEADLINE = b"deadline-ms"
API_KEY = b"x-api-key"
MODEL = b"model"
# Format: "PROMPT_TOKENS,MAX_OUTPUT_TOKENS".
TOKEN_USAGE = b"token-usage"
# The prompt's parts in order. Format: "ID:TOKENS,...".
PROMPT_PARTS = b"prefix-hash"
LAST_EVENT_ID = b"last-event-id"
# Request id of the call that brought the first event of the stream that is taken up.
RESUMES = b"resumes"
# The platform calls a customer "tenant" and a target "instance".
CUSTOMER = b"tenant"
EXPECTED_TARGET = b"expect-instance"
EXPECTED_VERSION = b"expect-version"
CACHE_SALT = b"cache-salt"
CALL_PRIORITY = b"request-priority"
# One address for each prompt part; "-" stands for none.
FETCH_ADDRESSES = b"kv-fetch"
SAVE_ADDRESSES = b"kv-save"
# Milliseconds on the engines' clock.
FETCH_DEADLINE = b"kv-until"
# Present in every response that a target itself produced.
SERVER_STAMP = b"server-stamp"
# Present if the target did not run the call.
NOT_RUN = b"not-run"
RESPONDING_TARGET = b"instance-id"
WEIGHT_VERSION = b"weight-versions"
# Calls per second, as a decimal number, that a target in need accepts from all instances together.
RATE_LIMIT = b"server-limit"
# Present in every response of a target that is leaving.
LEAVING = b"server-leaving"
# On a 503: seconds, as a decimal number, for which the target wants no calls from this instance.
RETRY_AFTER = b"retry-after"

# Headers that only the system may send to a target; a caller's values are dropped.
SYSTEM_HEADERS = frozenset(
    {
        DEADLINE,
        API_KEY,
        CUSTOMER,
        EXPECTED_TARGET,
        EXPECTED_VERSION,
        CACHE_SALT,
        CALL_PRIORITY,
        FETCH_ADDRESSES,
        SAVE_ADDRESSES,
        FETCH_DEADLINE,
        LAST_EVENT_ID,
        b"hold",
        b"pin-ms",
        b"kv-backup",
        b"kv-from",
    }
)
# A request that repeats one of these headers is refused: two readers could take different values.
SINGLE_HEADERS = (
    b"host",
    REQUEST_ID,
    DEADLINE,
    API_KEY,
    MODEL,
    TOKEN_USAGE,
    PROMPT_PARTS,
    LAST_EVENT_ID,
    RESUMES,
)
REFUSAL_STATUSES = {
    RefusalReason.MALFORMED: 400,
    RefusalReason.BODY_TOO_LARGE: 413,
    RefusalReason.HEAD_TOO_LARGE: 431,
    RefusalReason.NO_ROUTE: 404,
    RefusalReason.UNKNOWN_KEY: 401,
    RefusalReason.NOT_CONFIGURED: 503,
    RefusalReason.STOPPING: 503,
    RefusalReason.NO_TARGET: 503,
    RefusalReason.OVERLOADED: 503,
    RefusalReason.LIMITED: 503,
    RefusalReason.QUIET: 503,
    RefusalReason.MEMORY: 503,
    RefusalReason.REJECTED_BY_TARGETS: 503,
    RefusalReason.EXPIRED: 503,
    RefusalReason.OUTCOME_UNKNOWN: 502,
    RefusalReason.TIMEOUT: 504,
    RefusalReason.QUARANTINED: 503,
    RefusalReason.ORIGIN_UNKNOWN: 503,
    RefusalReason.VERSION_GONE: 503,
    RefusalReason.SUSPECTED: 503,
}
_REQUEST_ERROR_REFUSALS = {
    RequestErrorReason.MALFORMED: RefusalReason.MALFORMED,
    RequestErrorReason.BODY_TOO_LARGE: RefusalReason.BODY_TOO_LARGE,
    RequestErrorReason.HEAD_TOO_LARGE: RefusalReason.HEAD_TOO_LARGE,
    RequestErrorReason.OVERLOAD: RefusalReason.MEMORY,
}
_DECIMAL_PATTERN = re.compile(rb"([0-9]{1,9}(\.[0-9]{0,40})?|\.[0-9]{1,40})([eE][+-]?[0-9]{1,2})?")
# As many digits as a target sends: longer times than the longest one are cut, not ignored.
_SECONDS_PATTERN = re.compile(rb"([0-9]+(\.[0-9]*)?|\.[0-9]+)([eE][+-]?[0-9]+)?")
# Longest part of an unreadable header that is logged.
MAX_LOGGED_BYTES = 40
_PROMPT_PART_PATTERN = re.compile(r"([0-9a-fA-F]{1,64}):([0-9]{1,9})")
HIGHEST_PRIORITY, LOWEST_PRIORITY = 0, 9
_LOGGER = logging.getLogger(__name__)


class PlatformDialect:
    """Implements ``Dialect``: translates calls to and from the platform's headers."""

    def parse_call(self, request: HttpRequest, table: RouteTable) -> CallRequest:
        """Parses and routes a request; raises CallRefusedError."""
        for name in SINGLE_HEADERS:
            if request.count(name) > 1:
                raise CallRefusedError(
                    RefusalReason.MALFORMED, f"header {name.decode()} is repeated"
                )
        host = _decode_header(request.get(b"host"))
        request_id = _decode_header(request.get(REQUEST_ID))
        if not host or not request_id:
            raise CallRefusedError(RefusalReason.MALFORMED, "host or request id is missing")
        path = request.target.split(b"?", 1)[0].decode("latin-1")
        route = table.find_route(host.lower(), path)
        if route is None:
            raise CallRefusedError(RefusalReason.NO_ROUTE, f"no route for {host}{path}")
        customer = _authenticate_customer(request, table, route)
        return CallRequest(
            request_id=RequestId(request_id),
            http=request,
            path=path,
            route=route,
            customer=customer,
            deadline_s=_parse_ms_as_seconds(request.get(DEADLINE)),
            prompt=_parse_prompt(request) if route.has_prompt else None,
            last_event_id=_parse_integer(request.get(LAST_EVENT_ID)),
            resumes=RequestId(_decode_header(request.get(RESUMES))) or None,
        )

    def get_request_id(self, request: HttpRequest) -> RequestId | None:
        """Returns the id that a request states; None: it has none."""
        request_id = _decode_header(request.get(REQUEST_ID))
        return RequestId(request_id) if request_id else None

    def encode_attempt(self, call: CallRequest, plan: AttemptPlan) -> bytes:
        """Returns the request for a target; headers that the system sets come last."""
        headers = strip_hop_by_hop_headers(call.http.headers, SYSTEM_HEADERS)
        headers.append((DEADLINE, b"%d" % max(1, int(plan.time_left_s * 1000))))
        headers.append((EXPECTED_TARGET, plan.target.id.encode()))
        if call.customer is not None:
            headers.append((CUSTOMER, call.customer.name.encode()))
        if plan.last_event_id is not None:
            headers.append((LAST_EVENT_ID, b"%d" % plan.last_event_id))
        if call.prompt is not None:
            # A stream that is taken up ends work that its caller waits for.
            priority = call.priority - call.is_take_up
            priority = min(LOWEST_PRIORITY, max(HIGHEST_PRIORITY, priority))
            headers.append((CALL_PRIORITY, b"%d" % priority))
        cache = plan.cache
        if cache is not None:
            headers.append((CACHE_SALT, cache.salt.encode()))
            if cache.version is not None:
                headers.append((EXPECTED_VERSION, b"%d" % cache.version))
            if cache.fetch_deadline_s is not None and any(cache.fetch):
                headers.append((FETCH_DEADLINE, b"%d" % int(cache.fetch_deadline_s * 1000)))
            headers += _format_addresses(FETCH_ADDRESSES, cache.fetch) + _format_addresses(
                SAVE_ADDRESSES, cache.save
            )
        return encode_request(call.http.method, call.http.target, headers, call.http.body)

    def is_response_to(self, response: HttpResponse, call: CallRequest) -> bool:
        """Whether a response echoes the call's id; one without an id counts as the call's."""
        echoed = response.get(REQUEST_ID)
        return echoed is None or echoed.decode("latin-1") == call.request_id

    def classify_response(
        self, response: HttpResponse, call: CallRequest, plan: AttemptPlan
    ) -> ResponseInfo:
        """Classifies the head of a response to an attempt."""
        versions: dict[ModelName, WeightVersion] = {}
        version = _parse_integer(response.get(WEIGHT_VERSION))
        if version is not None and call.prompt is not None:
            versions[call.prompt.model] = WeightVersion(version)
        responding_target = _decode_header(response.get(RESPONDING_TARGET))
        is_other_target = bool(responding_target) and responding_target != plan.target.id
        is_verified = (
            response.get(SERVER_STAMP) is not None and response.get(REQUEST_ID) is not None
        )
        if response.status == 421:
            kind = ResponseKind.MISDIRECTED
        elif response.get(NOT_RUN) is not None:
            kind = ResponseKind.REJECTED
        elif not is_verified or response.get(b"content-encoding") is not None:
            kind = ResponseKind.UNVERIFIED
        elif 200 <= response.status < 300:
            kind = ResponseKind.SUCCESS
        else:
            kind = ResponseKind.ERROR
        rate_limit = _parse_rate_limit(response.get(RATE_LIMIT))
        has_known_origin = kind not in (ResponseKind.MISDIRECTED, ResponseKind.UNVERIFIED)
        is_readable = rate_limit is not None or response.get(RATE_LIMIT) is None
        # A rejection has no stamp, and few responses name their target.
        is_own = not is_other_target and (
            response.get(SERVER_STAMP) is not None
            or response.get(NOT_RUN) is not None
            or responding_target == plan.target.id
        )
        quiet_s: float | None = None
        invalid_headers: tuple[str, ...] = ()
        if is_own and response.status == 503:
            quiet_s, invalid_headers = _parse_quiet_time(response.get(RETRY_AFTER))
        return ResponseInfo(
            kind,
            versions,
            is_other_target,
            not response.keeps_alive,
            rate_limit,
            has_known_origin and not is_other_target and is_readable,
            is_own and (response.get(LEAVING) or b"").strip() == b"1",
            quiet_s,
            invalid_headers,
        )

    def list_response_headers(self, response: HttpResponse) -> list[Header]:
        """Returns the headers of a target's response that are passed on to the caller."""
        return strip_hop_by_hop_headers(response.headers, frozenset())

    def build_refusal(
        self, reason: RefusalReason, request: HttpRequest | None, retry_after_s: float | None
    ) -> tuple[int, list[Header], bytes]:
        """Returns status, headers and body of the error response for a refused call."""
        headers: list[Header] = [(b"content-type", b"text/plain")]
        request_id = request.get(REQUEST_ID) if request is not None else None
        if request_id is not None:
            headers.append((REQUEST_ID, request_id))
        if retry_after_s is not None:
            headers.append((RETRY_AFTER, b"%.3f" % retry_after_s))
        return REFUSAL_STATUSES[reason], headers, reason.value.encode() + b"\n"

    def get_refusal_reason(self, error: RequestErrorReason) -> RefusalReason:
        """Returns the refusal reason for a request that could not be parsed."""
        return _REQUEST_ERROR_REFUSALS[error]


def _authenticate_customer(
    request: HttpRequest, table: RouteTable, route: Route
) -> Customer | None:
    key = _decode_header(request.get(API_KEY))
    customer = table.customers_by_api_key.get(key) if key else None
    if customer is None and table.requires_api_keys and not route.is_public:
        raise CallRefusedError(RefusalReason.UNKNOWN_KEY, "the API key is not in the configuration")
    return customer


def _parse_prompt(request: HttpRequest) -> Prompt | None:
    model = _decode_header(request.get(MODEL))
    if not model:
        return None
    usage = [_parse_integer(item.strip()) for item in (request.get(TOKEN_USAGE) or b"").split(b",")]
    parts = tuple(
        (match.group(1), int(match.group(2)))
        for match in _PROMPT_PART_PATTERN.finditer(_decode_header(request.get(PROMPT_PARTS)))
    )
    prompt_tokens = usage[0] if usage[0] is not None else sum(tokens for _, tokens in parts)
    output_tokens = usage[1] if len(usage) > 1 and usage[1] is not None else 0
    return Prompt(ModelName(model), prompt_tokens, output_tokens, parts)


def _format_addresses(name: bytes, addresses: tuple[str | None, ...]) -> list[Header]:
    if not any(addresses):
        return []
    return [(name, ",".join(address or "-" for address in addresses).encode())]


def _decode_header(value: bytes | None) -> str:
    return value.decode("latin-1").strip() if value is not None else ""


def _parse_integer(value: bytes | None) -> int | None:
    return int(value) if value is not None and value.isdigit() else None


def _parse_rate_limit(value: bytes | None) -> float | None:
    """Returns calls per second; None if there is no value, or one that is not a decimal number."""
    if value is None:
        return None
    if _DECIMAL_PATTERN.fullmatch(value.strip()):
        return float(value)
    log_event(
        _LOGGER,
        logging.WARNING,
        Event.MESSAGE_REJECTED,
        f"a target's rate limit is not a decimal number: {value[:MAX_LOGGED_BYTES]!r}",
    )
    return None


def _parse_quiet_time(value: bytes | None) -> tuple[float | None, tuple[str, ...]]:
    """Returns seconds, or None for no usable value, and the header's name if it is out of range.

    Sources: RFC 9110, section 10.2.3, without dates; the platform also allows decimal fractions.
    """
    if value is None:
        return None, ()
    seconds = float(value) if _SECONDS_PATTERN.fullmatch(value.strip()) else None
    if seconds == float("inf"):
        seconds = None
    if seconds is not None and seconds <= MAX_QUIET_S:
        return seconds, ()
    consequence = "ignored" if seconds is None else f"cut to {MAX_QUIET_S:.0f} s"
    log_event(
        _LOGGER,
        logging.WARNING,
        Event.MESSAGE_REJECTED,
        f"a target's Retry-After is out of range, {consequence}: {value[:MAX_LOGGED_BYTES]!r}",
    )
    return None if seconds is None else MAX_QUIET_S, (RETRY_AFTER.decode(),)


def _parse_ms_as_seconds(value: bytes | None) -> float | None:
    milliseconds = _parse_integer(value)
    return milliseconds / 1000 if milliseconds is not None else None
