"""The error responses that the dispatcher sends to callers."""

import math

from ..core.admission import Refusal, RefusalKind
from ..ids import Executed
from .answers import Action, ErrorResponse
from .attempts import AttemptResult, ResultKind
from .call import Call

RETRY_AFTER_S = 1


def create_duplicate() -> ErrorResponse:
    """Returns the error for a request whose id is in use by another one in this gateway."""
    return ErrorResponse(
        409,
        "Request id in use",
        "A request with this X-Request-Id is running.",
        Executed.UNKNOWN,
        Action.CHANGE_REQUEST,
    )


def create_quarantined() -> ErrorResponse:
    """Returns the error for a request that is known or suspected to crash targets."""
    return ErrorResponse(
        422,
        "Request quarantined",
        "Targets crashed while they ran this request, so it is not sent to others.",
        Executed.NO,
        Action.CHANGE_REQUEST,
    )


def create_no_data_centre(executed: Executed = Executed.NO) -> ErrorResponse:
    """Returns the error if this data centre cannot run the request and no other can be reached."""
    return ErrorResponse(
        503,
        "No data centre available",
        "This data centre takes no new work and no other one could be reached.",
        executed,
        Action.RETRY if executed is Executed.NO else Action.CHECK_OUTCOME,
        retry_after_s=RETRY_AFTER_S,
    )


_REFUSALS = {
    RefusalKind.RATE: (429, "Too many requests"),
    RefusalKind.CONCURRENCY: (429, "Too many requests at once"),
    RefusalKind.QUEUE_FULL: (503, "Queue full"),
    RefusalKind.DEADLINE: (503, "Deadline passed"),
}


def create_refused(refusal: Refusal) -> ErrorResponse:
    """Returns the error for a request that was not admitted to the queue."""
    status, title = _REFUSALS[refusal.kind]
    return ErrorResponse(
        status,
        title,
        f"Not run: {refusal.reason}.",
        Executed.NO,
        retry_after_s=max(RETRY_AFTER_S, math.ceil(refusal.retry_after_s)),
    )


def create_expired() -> ErrorResponse:
    """Returns the error for a request that was still queued at its deadline."""
    return ErrorResponse(
        503,
        "Deadline passed",
        "No target could start the request before its deadline, so it was not run.",
        Executed.NO,
        retry_after_s=RETRY_AFTER_S,
    )


def create_no_target(call: Call) -> ErrorResponse:
    """Returns the error if no target became free in time for another attempt."""
    if call.progress.tokens:
        return create_stream_incomplete(call, None)
    executed = call.tracker.executed
    return ErrorResponse(
        503,
        "No target available",
        "No target could take the request before its deadline.",
        executed,
        _choose_action(call, executed),
        retry_after_s=RETRY_AFTER_S,
    )


def create_attempt_failed(call: Call, result: AttemptResult) -> ErrorResponse:
    """Returns the error for a failed attempt after which the request is not retried."""
    executed = call.tracker.executed
    if executed is Executed.NO:
        status, title = 503, "Not run"
    elif result.kind is ResultKind.STALLED:
        status, title = 504, "No answer in time"
    else:
        status, title = 502, "Target failed"
    return ErrorResponse(
        status,
        title,
        f"The attempt at a target ended as {result.kind.value}.",
        executed,
        _choose_action(call, executed),
        retry_after_s=RETRY_AFTER_S if executed is Executed.NO else 0,
    )


def create_stream_incomplete(call: Call, result: AttemptResult | None) -> ErrorResponse:
    """Returns the error for a stream that ended early and cannot be resumed."""
    reason = f"ended as {result.kind.value}" if result else "found no target to continue"
    return ErrorResponse(
        502,
        "Stream incomplete",
        f"The stream {reason} after {call.progress.tokens} tokens; it is not complete.",
        Executed.YES,
        Action.REPORT,
    )


def create_forward_failed(call: Call, error: str) -> ErrorResponse:
    """Returns the error if another gateway sent no complete response."""
    if call.progress.tokens:
        return create_stream_incomplete(call, None)
    executed = call.tracker.executed
    if executed is Executed.YES:
        executed = Executed.UNKNOWN
    return ErrorResponse(
        502,
        "Forwarding failed",
        f"The gateway in another data centre gave no complete answer: {error}.",
        executed,
        _choose_action(call, executed),
    )


def create_still_running(call: Call) -> ErrorResponse:
    """Returns the error for a call without a response at its deadline that may still run."""
    return ErrorResponse(
        504,
        "No answer in time",
        "The call was sent and has not answered; it may still take effect.",
        call.tracker.executed,
        Action.RETRY_SAME_KEY,
    )


def _choose_action(call: Call, executed: Executed) -> Action:
    if executed is Executed.NO or call.request.repeatable:
        return Action.RETRY
    return Action.RETRY_SAME_KEY if call.request.idempotency_key else Action.CHECK_OUTCOME
