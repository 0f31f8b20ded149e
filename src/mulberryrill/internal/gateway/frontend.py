"""The callers' HTTP interface: authenticates, parses and validates requests, then submits them."""

import hashlib
import json
import re
from collections.abc import Callable

from werkzeug.wrappers import Request, Response

from ..clock import Clock
from ..core.snapshot import CustomerConfig, ServiceConfig, Snapshot, hash_token
from ..http.server import DetachedConnectionError, HttpServer
from ..ids import Executed, RequestId, ServiceName, create_id
from .answers import Action, ErrorResponse
from .attempts import build_target_path
from .call import Call, CallRequest
from .caller import CallerConnection
from .forwarding import EXECUTED_HEADER, HOPS_HEADER
from .loop import RelayLoop
from .pendingclaims import is_valid_idempotency_key
from .streams import StreamProgress

MODEL_PATHS = ("/v1/completions", "/v1/chat/completions")
SERVICE_PREFIX = "/v1/services/"
_REQUEST_ID_PATTERN = re.compile(r"^req-[0-9a-f]{32}$")
_CONTENT_HEADERS = ("Content-Type", "Accept")


class RefusedError(Exception):
    """The request is invalid or not allowed; carries the error response."""

    def __init__(self, response: ErrorResponse) -> None:
        super().__init__(response.detail)
        self.response = response


class FrontEnd:
    """Handles requests on the HTTP server's threads."""

    def __init__(
        self,
        loop: RelayLoop,
        clock: Clock,
        get_snapshot: Callable[[], Snapshot],
        submit: Callable[[Call], None],
    ) -> None:
        self._loop = loop
        self._clock = clock
        self._get_snapshot = get_snapshot
        self._submit = submit
        self.server: HttpServer | None = None

    def handle(self, request: Request) -> Response:
        """Returns a response, or submits a call and raises DetachedConnectionError."""
        received_at = self._loop.now()
        request_id = _read_request_id(request)
        is_model = not request.path.startswith(SERVICE_PREFIX)
        try:
            body = request.get_data(cache=False)
            snapshot = self._get_snapshot()
            if not snapshot.ready:
                raise RefusedError(_create_not_ready())
            token_hash = _authenticate(request, snapshot)
            if request.path == "/v1/models" or request.path.startswith("/v1/models/"):
                return _list_models(request, request_id, snapshot, token_hash)
            if is_model:
                call_request = self._parse_model_call(
                    request, request_id, body, snapshot, token_hash
                )
            else:
                call_request = self._parse_service_call(
                    request, request_id, body, snapshot, token_hash
                )
        except RefusedError as error:
            response = error.response.with_executed(_read_executed_before(request))
            return _build_response(response, request_id, is_model)
        self._submit_call(request, call_request, received_at)
        raise DetachedConnectionError

    def _parse_model_call(
        self,
        request: Request,
        request_id: RequestId,
        body: bytes,
        snapshot: Snapshot,
        token_hash: str,
    ) -> CallRequest:
        if request.path not in MODEL_PATHS:
            raise RefusedError(_create_not_found(f"There is nothing at {request.path}."))
        if request.method != "POST":
            raise RefusedError(
                ErrorResponse(
                    405,
                    "Method not allowed",
                    "Use POST.",
                    Executed.NO,
                    Action.CHANGE_REQUEST,
                )
            )
        content = _parse_content(body)
        model = content.get("model")
        config, version = _find_model(snapshot, token_hash, model)
        options = content.get("stream_options")
        hops = _read_hops(request)
        prior_progress = _parse_continuation(content) if hops else None
        if prior_progress is not None:
            # A stream is resumed on the model version that began it.
            version = request.headers.get("X-Model-Version", version)
        return CallRequest(
            request_id=request_id,
            authorization=request.headers.get("Authorization", ""),
            config=config,
            customer=config.customers[token_hash],
            method="POST",
            gateway_path=request.path,
            target_path=request.path,
            headers=(("Content-Type", "application/json"),),
            body=body,
            hops=hops,
            executed_before=_read_executed_before(request),
            idempotency_key="",
            repeatable=True,
            is_stream=bool(content.get("stream")),
            wants_usage=isinstance(options, dict) and bool(options.get("include_usage")),
            model=str(model),
            version=version,
            prompt=_parse_prompt(request.path, content),
            content=content,
            prior_progress=prior_progress,
        )

    def _parse_service_call(
        self,
        request: Request,
        request_id: RequestId,
        body: bytes,
        snapshot: Snapshot,
        token_hash: str,
    ) -> CallRequest:
        name, _, rest = request.path.removeprefix(SERVICE_PREFIX).partition("/")
        config, customer = _find_service(snapshot, token_hash, name)
        query = request.query_string.decode("latin-1")
        path = build_target_path(rest, query)
        repeatable = config.is_repeatable(request.method, f"/{rest}")
        key = request.headers.get("Idempotency-Key", "").strip()
        if not repeatable and not is_valid_idempotency_key(key):
            raise RefusedError(
                ErrorResponse(
                    400,
                    "Idempotency-Key required",
                    "This call runs at most once. Send an Idempotency-Key that is a new UUIDv7.",
                    Executed.NO,
                    Action.CHANGE_REQUEST,
                )
            )
        headers = tuple(
            (header, request.headers[header])
            for header in _CONTENT_HEADERS
            if header in request.headers
        )
        return CallRequest(
            request_id=request_id,
            authorization=request.headers.get("Authorization", ""),
            config=config,
            customer=customer,
            method=request.method,
            gateway_path=f"{SERVICE_PREFIX}{name}{path}",
            target_path=path,
            headers=headers,
            body=body,
            hops=_read_hops(request),
            executed_before=_read_executed_before(request),
            idempotency_key=key.lower() if not repeatable else key,
            repeatable=repeatable,
        )

    def _submit_call(self, request: Request, call_request: CallRequest, received_at: float) -> None:
        assert self.server is not None
        connection = self.server.get_connection(request)
        call = Call(
            request=call_request,
            caller=CallerConnection(self._loop, connection),
            received_at=received_at,
            received_unix_s=self._clock.wall(),
            deadline=received_at + call_request.config.deadline_s,
            fingerprint=compute_fingerprint(call_request),
            progress=call_request.prior_progress or StreamProgress(),
        )
        self._loop.post(lambda: self._submit(call))


def compute_fingerprint(request: CallRequest) -> str:
    """Returns a SHA-256 that is the same for repetitions of a request."""
    head = "\n".join(
        (request.config.name, request.customer.name, request.method, request.target_path)
    )
    return hashlib.sha256(head.encode("utf-8") + b"\n" + request.body).hexdigest()


def _read_request_id(request: Request) -> RequestId:
    """Returns the id of a forwarded call, so that both gateways use the same, or a new one."""
    header = request.headers.get("X-Request-Id", "")
    if HOPS_HEADER in request.headers and _REQUEST_ID_PATTERN.match(header):
        return RequestId(header)
    return RequestId(create_id("req"))


def _read_hops(request: Request) -> int:
    return 1 if HOPS_HEADER in request.headers else 0


def _read_executed_before(request: Request) -> Executed:
    try:
        return Executed(request.headers.get(EXECUTED_HEADER, Executed.NO.value))
    except ValueError:
        return Executed.UNKNOWN


def _authenticate(request: Request, snapshot: Snapshot) -> str:
    scheme, _, token = request.headers.get("Authorization", "").partition(" ")
    token_hash = hash_token(token.strip())
    if scheme.lower() != "bearer" or not snapshot.is_known_token(token_hash):
        raise RefusedError(
            ErrorResponse(
                401,
                "Not authenticated",
                "Send the header Authorization: Bearer with a token of a customer.",
                Executed.NO,
                Action.CHECK_CREDENTIALS,
            )
        )
    return token_hash


def _find_model(snapshot: Snapshot, token_hash: str, model: object) -> tuple[ServiceConfig, str]:
    for config in snapshot.list_model_services(token_hash):
        version = config.find_version(model) if isinstance(model, str) else None
        if version is not None:
            return config, version
    raise RefusedError(_create_not_found(f"There is no model {model!r} for this token."))


def _find_service(
    snapshot: Snapshot, token_hash: str, name: str
) -> tuple[ServiceConfig, CustomerConfig]:
    config = snapshot.services.get(ServiceName(name))
    customer = snapshot.find_customer(ServiceName(name), token_hash)
    if config is None or customer is None or config.is_model:
        raise RefusedError(_create_not_found(f"There is no plain service {name!r} for this token."))
    return config, customer


def _parse_content(body: bytes) -> dict:
    try:
        content = json.loads(body)
    except ValueError as error:
        raise RefusedError(_create_bad_request("The body is not JSON.")) from error
    if not isinstance(content, dict):
        raise RefusedError(_create_bad_request("The body is not a JSON object."))
    return content


def _parse_prompt(path: str, content: dict) -> bytes:
    name = "messages" if path.endswith("/chat/completions") else "prompt"
    prompt = content.get(name)
    if not isinstance(prompt, str | list) or not prompt:
        raise RefusedError(_create_bad_request(f"The member {name!r} is missing."))
    if isinstance(prompt, str):
        return prompt.encode("utf-8", "replace")
    return json.dumps(prompt, separators=(",", ":")).encode("utf-8")


def _parse_continuation(content: dict) -> StreamProgress | None:
    """Returns what the forwarding gateway delivered of a stream that broke there, if any."""
    engine = content.get("engine")
    if not isinstance(engine, dict) or not content.get("stream"):
        return None
    text, tokens = engine.get("continue_text"), engine.get("continue_tokens")
    if not isinstance(text, str) or not isinstance(tokens, int) or tokens <= 0:
        return None
    return StreamProgress(tokens=tokens, parts=[text])


def _list_models(
    request: Request, request_id: RequestId, snapshot: Snapshot, token_hash: str
) -> Response:
    models = {
        name: {"id": name, "object": "model", "created": 0, "owned_by": config.name}
        for config in snapshot.list_model_services(token_hash)
        for name, _ in config.models
    }
    requested = request.path.removeprefix("/v1/models").strip("/")
    if requested and requested not in models:
        raise RefusedError(_create_not_found(f"There is no model {requested!r} for this token."))
    body = models[requested] if requested else {"object": "list", "data": list(models.values())}
    return Response(
        json.dumps(body), content_type="application/json", headers={"X-Request-Id": request_id}
    )


def _create_bad_request(detail: str) -> ErrorResponse:
    return ErrorResponse(400, "Bad request", detail, Executed.NO, Action.CHANGE_REQUEST)


def _create_not_found(detail: str) -> ErrorResponse:
    return ErrorResponse(404, "Not found", detail, Executed.NO, Action.CHANGE_REQUEST)


def _create_not_ready() -> ErrorResponse:
    return ErrorResponse(
        503,
        "Not ready",
        "This instance has no configuration yet.",
        Executed.NO,
        retry_after_s=1,
    )


def _build_response(error: ErrorResponse, request_id: RequestId, is_model: bool) -> Response:
    return Response(
        json.dumps(error.build_body(request_id, is_model)),
        status=error.status,
        headers=error.build_headers(request_id),
    )
