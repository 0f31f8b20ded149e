"""Requests claims for calls that must run at most once, and matches the replies to the calls."""

import hashlib
import uuid
from dataclasses import dataclass

from ..core.retries import AttemptTracker
from ..ids import Executed, create_id
from ..schema.log_pb2 import Claim, Outcome
from ..schema.wire_pb2 import (
    EXPIRED,
    GRANTED,
    IN_PROGRESS,
    MISMATCH,
    REPLAY,
    ClaimAbandon,
    ClaimReply,
    ClaimRequest,
    Envelope,
    OutcomeReport,
)
from .answers import Action, ErrorResponse
from .attempts import BufferedResponse
from .call import Call, CallRequest
from .messages import SendMessage

# Beyond this many claims without a reply the platform's log is overloaded, so calls are refused.
MAX_PENDING_CLAIMS = 1000
# A claim without a reply is dropped after this time; a later grant is ignored.
PENDING_RETENTION_S = 600.0
MAX_OUTCOME_BYTES = 64 * 1024
UUID_VERSION = 7


@dataclass
class _PendingClaim:
    claim: Claim
    # None after the call stopped waiting; a grant is then abandoned.
    call: Call | None
    requested_at: float


class PendingClaims:
    """The claims of one gateway that await a reply. Runs on the relay loop's thread."""

    def __init__(self, instance: str, send: SendMessage) -> None:
        self._instance = instance
        self._send = send
        self._pending: dict[str, _PendingClaim] = {}

    def request(self, call: Call, now: float) -> bool:
        """Requests a claim for a call; False if too many claims are pending."""
        if len(self._pending) >= MAX_PENDING_CLAIMS:
            return False
        request = call.request
        claim = Claim(
            claim_id=create_id("claim"),
            customer=request.customer.name,
            service=request.config.name,
            key=request.idempotency_key,
            request_digest=compute_request_digest(request),
            instance=self._instance,
        )
        self._pending[claim.claim_id] = _PendingClaim(claim, call, now)
        message = ClaimRequest(request_id=request.request_id, claim=claim)
        self._send(Envelope(claim_request=message))
        return True

    def on_reply(self, reply: ClaimReply) -> Call | None:
        """Returns the call that waits for this reply, if any; abandons a grant without a call."""
        pending = self._pending.pop(reply.claim_id, None)
        if pending is None:
            return None
        if pending.call is None:
            if reply.status == GRANTED:
                self.abandon(pending.claim)
            return None
        pending.call.claim = pending.claim
        return pending.call

    def stop_waiting(self, call: Call) -> None:
        """Detaches a call that no longer waits for its reply."""
        for pending in self._pending.values():
            if pending.call is call:
                pending.call = None

    def prune(self, now: float) -> None:
        """Drops claims without a call whose reply is overdue."""
        for claim_id, pending in list(self._pending.items()):
            if pending.call is None and now - pending.requested_at > PENDING_RETENTION_S:
                del self._pending[claim_id]

    def abandon(self, claim: Claim) -> None:
        """Withdraws a granted claim of a call that no target has run or will run."""
        self._send(Envelope(claim_abandon=ClaimAbandon(claim=claim)))

    def report_outcome(self, claim: Claim, response: BufferedResponse) -> None:
        """Records the response of a claimed call, to be replayed for repeated calls."""
        truncated = len(response.body) > MAX_OUTCOME_BYTES
        outcome = Outcome(
            claim_id=claim.claim_id,
            customer=claim.customer,
            service=claim.service,
            key=claim.key,
            status=response.status,
            content_type=response.headers.get("content-type", ""),
            body=b"" if truncated else response.body,
            truncated=truncated,
        )
        self._send(Envelope(outcome_report=OutcomeReport(outcome=outcome)))


def compute_request_digest(request: CallRequest) -> bytes:
    """Returns the SHA-256 of method, path and body, with unambiguous separators."""
    head = f"{request.method} {request.target_path}\n".encode()
    return hashlib.sha256(head + request.body).digest()


def is_valid_idempotency_key(key: str) -> bool:
    """Returns whether an Idempotency-Key is a UUIDv7 (RFC 9562)."""
    try:
        parsed = uuid.UUID(key)
    except ValueError:
        return False
    return parsed.version == UUID_VERSION and str(parsed) == key.lower()


def build_claim_response(reply: ClaimReply) -> BufferedResponse | ErrorResponse:
    """Returns the response to a call whose claim was not granted."""
    if reply.status == REPLAY:
        return _build_replay(reply.outcome)
    if reply.status == IN_PROGRESS:
        return ErrorResponse(
            409,
            "Outcome unknown",
            "A call with this Idempotency-Key was started and its outcome is not known.",
            Executed.UNKNOWN,
            Action.RETRY_SAME_KEY,
        )
    if reply.status == MISMATCH:
        return ErrorResponse(
            422,
            "Key used for another request",
            "This Idempotency-Key belongs to a call with other content. Use a new key.",
            Executed.NO,
            Action.CHANGE_REQUEST,
        )
    if reply.status == EXPIRED:
        return ErrorResponse(
            400,
            "Key outside its window",
            "The time in the Idempotency-Key is too old or in the future. An old key may have been "
            "used before: find out whether its call ran before you send it with a new UUIDv7.",
            # Claims of old keys are not kept, so an earlier run cannot be ruled out.
            Executed.UNKNOWN,
            Action.CHANGE_REQUEST,
        )
    return create_claims_unavailable()


def create_claims_unavailable() -> ErrorResponse:
    """Returns the error for a call whose claim could not be recorded."""
    return ErrorResponse(
        503,
        "Claims unavailable",
        "The platform's log cannot record that this call starts, so it was not started. Repeat it "
        "with the same key, because an earlier call with this key may have run.",
        Executed.NO,
        retry_after_s=1,
    )


def _build_replay(outcome: Outcome) -> BufferedResponse | ErrorResponse:
    if outcome.truncated:
        return ErrorResponse(
            409,
            "Answer not kept",
            f"The call ran with status {outcome.status}; its answer was too long to be kept.",
            Executed.YES,
            Action.CHECK_OUTCOME,
        )
    headers = {"content-type": outcome.content_type} if outcome.content_type else {}
    return BufferedResponse(
        outcome.status, {**headers, "idempotent-replayed": "true"}, outcome.body
    )


def can_abandon(tracker: AttemptTracker) -> bool:
    """Returns whether a granted claim may be withdrawn."""
    return tracker.executed is Executed.NO
