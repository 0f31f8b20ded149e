"""Error responses: problem details, and for model endpoints also an OpenAI error object."""

from dataclasses import dataclass, replace
from enum import Enum

from ..http.server import PROBLEM_CONTENT_TYPE
from ..ids import Executed, RequestId
from .caller import encode_json


class Action(Enum):
    """What a caller should do after an error."""

    RETRY = "retry after the time in Retry-After"
    RETRY_SAME_KEY = "repeat with the same Idempotency-Key to learn the outcome"
    CHANGE_REQUEST = "change the request; the same one will be refused again"
    CHECK_CREDENTIALS = "use a bearer token that the service's document names"
    CHECK_OUTCOME = "check at the service whether the call took effect before repeating it"
    REPORT = "report this with the request id"


@dataclass(frozen=True)
class ErrorResponse:
    """An error response. With a ``retry_after_s`` of 0, it has no Retry-After header."""

    status: int
    title: str
    detail: str
    executed: Executed = Executed.NO
    action: Action = Action.RETRY
    retry_after_s: int = 0

    def with_executed(self, known: Executed) -> "ErrorResponse":
        """Replaces "not run" by what earlier attempts are known to have done."""
        if self.executed is not Executed.NO or known is Executed.NO:
            return self
        return replace(self, executed=known)

    def build_body(self, request_id: RequestId, is_model: bool) -> dict[str, object]:
        """Returns the members of the problem document."""
        body: dict[str, object] = {
            "type": "about:blank",
            "status": self.status,
            "title": self.title,
            "detail": self.detail,
            "executed": self.executed.value,
            "action": self.action.value,
            "request_id": request_id,
        }
        if is_model:
            body["error"] = {
                "message": self.detail,
                "type": _get_error_type(self.status),
                "param": None,
                "code": self.title.lower().replace(" ", "_"),
                "executed": self.executed.value,
            }
        return body

    def build_headers(self, request_id: RequestId) -> dict[str, str]:
        """Returns the headers of the response."""
        headers = {"Content-Type": PROBLEM_CONTENT_TYPE, "X-Request-Id": request_id}
        if self.retry_after_s:
            headers["Retry-After"] = str(self.retry_after_s)
        # The openai client retries calls by itself; it must not retry one that may have run.
        headers["X-Should-Retry"] = "true" if self._is_retryable() else "false"
        return headers

    def build_event(self, request_id: RequestId) -> bytes:
        """Returns the event that ends an incomplete stream."""
        return b"data: " + encode_json(self.build_body(request_id, True)) + b"\n\n"

    def _is_retryable(self) -> bool:
        return self.executed is Executed.NO and self.action is Action.RETRY


def _get_error_type(status: int) -> str:
    if status in (401, 403):
        return "authentication_error"
    if status == 429:
        return "rate_limit_error"
    return "invalid_request_error" if status < 500 else "server_error"
