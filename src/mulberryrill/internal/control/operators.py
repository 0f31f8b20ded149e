"""The operators' HTTP API. It validates requests and passes them to the main task as calls."""

import hashlib
import json
import logging
import re
from collections.abc import Callable
from concurrent.futures import TimeoutError as FutureTimeoutError

from werkzeug.exceptions import HTTPException
from werkzeug.routing import Map, Rule
from werkzeug.wrappers import Request, Response

from ...errors import SettingsError
from ..events import Event
from ..http.server import create_problem
from ..ids import Executed, create_id
from ..logs import log_event
from ..schema.log_pb2 import DataCentreState
from ..schema.settings_pb2 import SiteOperator
from ..settings.documents import check_document
from .messages import (
    Inbox,
    OperatorCall,
    OperatorRequest,
    OperatorResponse,
    ShowDocument,
    ShowHistory,
    ShowInForce,
    ShowRequest,
    ShowStatus,
    SubmitDocument,
    SubmitOrder,
)
from .metrics import CALLS

_LOGGER = logging.getLogger(__name__)
# Longer than the time after which the main task gives up on reading a change back.
CALL_TIMEOUT_S = 20.0
# A change's fields have at most 600 bytes; a character has up to four bytes in UTF-8.
MAX_REASON_CHARACTERS = 150
_CHANGE_ID_PATTERN = re.compile(r"[A-Za-z0-9_-]{8,64}")
_STATES_BY_NAME = {
    "drain": DataCentreState.DRAINED,
    "drained": DataCentreState.DRAINED,
    "return": DataCentreState.IN_SERVICE,
    "in_service": DataCentreState.IN_SERVICE,
}
_ROUTES = Map(
    [
        Rule("/v1/documents/<service>", endpoint="document", methods=["GET", "PUT"]),
        Rule("/v1/documents/<service>/history", endpoint="history", methods=["GET"]),
        Rule("/v1/in-force", endpoint="in_force", methods=["GET"]),
        Rule("/v1/datacentres/<data_centre>/orders", endpoint="order", methods=["POST"]),
        Rule("/v1/status", endpoint="status", methods=["GET"]),
        Rule("/v1/requests/<request_id>", endpoint="request", methods=["GET"]),
    ]
)


class _InvalidCallError(Exception):
    """The input of a call is invalid; ``response`` describes the problem."""

    def __init__(self, response: Response) -> None:
        super().__init__()
        self.response = response


class OperatorApi:
    """Handles operators' requests on the threads of the HTTP server."""

    def __init__(
        self, operators: list[SiteOperator], data_centres: frozenset[str], inbox: Inbox
    ) -> None:
        """``data_centres`` are the ones that an order may name."""
        self._names_by_token_digest = {
            digest.lower(): operator.name
            for operator in operators
            for digest in operator.token_sha256
        }
        self._data_centres = data_centres
        self._inbox = inbox
        self._handlers: dict[str, Callable[..., OperatorRequest]] = {
            "document": self._parse_document_call,
            "history": lambda request, author, service: ShowHistory(service),
            "in_force": self._parse_in_force_call,
            "order": self._parse_order_call,
            "status": lambda request, author: ShowStatus(),
            "request": lambda request, author, request_id: ShowRequest(request_id),
        }

    def handle(self, request: Request) -> Response:
        """Returns the response to one request."""
        response = self._dispatch(request)
        CALLS.labels(str(response.status_code)).inc()
        if response.status_code >= 400:
            log_event(
                _LOGGER,
                logging.INFO,
                Event.CONTROL_CALL_REFUSED,
                f"{request.method} {request.path}: status {response.status_code}",
                author=self._authenticate(request),
            )
        return response

    def _dispatch(self, request: Request) -> Response:
        author = self._authenticate(request)
        if author is None:
            response = create_problem(401, "Unauthorized", "Send the bearer token of an operator.")
            response.headers["WWW-Authenticate"] = "Bearer"
            return response
        try:
            endpoint, arguments = _ROUTES.bind_to_environ(request.environ).match()
            call = self._handlers[endpoint](request, author, **arguments)
        except _InvalidCallError as error:
            return error.response
        except HTTPException as error:
            return create_problem(error.code or 500, error.name, error.description or "")
        return self._submit(call)

    def _authenticate(self, request: Request) -> str | None:
        scheme, _, token = request.headers.get("Authorization", "").partition(" ")
        if scheme.lower() != "bearer":
            return None
        return self._names_by_token_digest.get(hashlib.sha256(token.strip().encode()).hexdigest())

    def _submit(self, request: OperatorRequest) -> Response:
        call = OperatorCall(request)
        self._inbox.put(call)
        try:
            result = call.future.result(CALL_TIMEOUT_S)
        except FutureTimeoutError:
            detail = "The control process did not answer in time; read the state before repeating."
            return create_problem(504, "No answer in time", detail, Executed.UNKNOWN)
        return _build_response(result)

    def _parse_document_call(self, request: Request, author: str, service: str) -> OperatorRequest:
        if request.method != "PUT":
            return ShowDocument(service)
        base_revision = _parse_integer(request, "base_revision")
        reason = request.args.get("reason", "")[:MAX_REASON_CHARACTERS]
        text = _check_document_text(service, request.get_data())
        change_id = _parse_change_id(request)
        return SubmitDocument(service, text, base_revision, author, reason, change_id)

    def _parse_in_force_call(self, request: Request, author: str) -> OperatorRequest:
        service = request.args.get("service", "")
        if not service:
            _reject_field("service", "is required")
        return ShowInForce(service, _parse_integer(request, "revision"))

    def _parse_order_call(self, request: Request, author: str, data_centre: str) -> OperatorRequest:
        if data_centre not in self._data_centres:
            known = ", ".join(sorted(self._data_centres))
            detail = f"There is no data centre {data_centre!r}; use one of: {known}."
            raise _InvalidCallError(create_problem(404, "Unknown data centre", detail))
        try:
            body = json.loads(request.get_data() or b"{}")
            state = _STATES_BY_NAME.get(str(body.get("state", "")).lower())
            reason = str(body.get("reason", ""))[:MAX_REASON_CHARACTERS]
        except (ValueError, AttributeError):
            state, reason = None, ""
        if state is None:
            _reject_field("state", 'must be "drained" or "in_service" in a JSON object')
        assert state is not None
        return SubmitOrder(data_centre, state, author, reason)


def _check_document_text(service: str, body: bytes) -> str:
    try:
        text = body.decode("utf-8")
        document = check_document(text, f"{service}.yaml")
        if document.service != service:
            raise SettingsError(
                [f"{service}.yaml: service: is {document.service!r}; the address says {service!r}"]
            )
    except UnicodeDecodeError:
        problems = [f"{service}.yaml: is not UTF-8 text; save it as UTF-8"]
    except SettingsError as error:
        problems = error.problems
    else:
        return text
    extra: dict[str, object] = {"problems": problems}
    detail = "; ".join(problems)
    raise _InvalidCallError(create_problem(422, "Invalid document", detail, extra=extra))


def _parse_integer(request: Request, name: str) -> int:
    text = request.args.get(name, "")
    if not text.isascii() or not text.isdigit():
        _reject_field(name, "must be a whole number that is not negative")
    return int(text)


def _reject_field(name: str, requirement: str) -> None:
    detail = f"{name} {requirement}."
    raise _InvalidCallError(create_problem(400, "Invalid call", detail))


def _build_response(result: OperatorResponse) -> Response:
    if result.status < 400:
        text = json.dumps(result.body)
        return Response(text, status=result.status, content_type="application/json")
    extra = dict(result.body)
    title, detail = str(extra.pop("title", "")), str(extra.pop("detail", ""))
    return create_problem(result.status, title, detail, result.executed, extra)


def _parse_change_id(request: Request) -> str:
    """Returns the id of a change, by which the caller finds it if the response is lost."""
    change_id = request.headers.get("X-Change-Id") or create_id("chg")
    if not _CHANGE_ID_PATTERN.fullmatch(change_id):
        detail = (
            "X-Change-Id must be 8 to 64 letters, digits, '_' or '-'; leave it out for a new id."
        )
        raise _InvalidCallError(create_problem(400, "Invalid change id", detail))
    return change_id
