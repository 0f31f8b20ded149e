"""Sends responses to callers and records how each request ended."""

import hashlib
import logging

from ..clock import Clock
from ..events import Event
from ..ids import Executed
from ..logs import log_event
from ..schema.wire_pb2 import Envelope, RequestTrace
from .answers import ErrorResponse
from .attempts import BufferedResponse
from .call import Call
from .caller import encode_json
from .history import GatewayHistory
from .messages import SendMessage
from .metrics import GatewayMetrics

# Recorded when the caller disconnects before its response is complete; never sent.
STATUS_CLIENT_CLOSED_REQUEST = 499
STREAM_HEADERS = {"Content-Type": "text/event-stream", "Cache-Control": "no-store"}
_LOGGER = logging.getLogger(__name__)


class Responder:
    """Sends exactly one response to each call. Runs on the relay loop's thread."""

    def __init__(
        self, clock: Clock, history: GatewayHistory, metrics: GatewayMetrics, send: SendMessage
    ) -> None:
        self._clock = clock
        self._history = history
        self._metrics = metrics
        self._send = send

    def send_response(self, call: Call, response: BufferedResponse) -> None:
        """Sends a complete response."""
        if call.answered:
            return
        request_id = call.request.request_id
        call.caller.send_response(
            response.status, {**response.headers, "X-Request-Id": request_id}, response.body
        )
        digest = hashlib.sha256(response.body).hexdigest()
        self._record(call, response.status, Executed.YES, digest, True, "answered")

    def send_error(self, call: Call, error: ErrorResponse) -> None:
        """Sends an error; a stream that has begun ends with an error event."""
        if call.answered:
            return
        error = error.with_executed(call.tracker.executed)
        request_id = call.request.request_id
        if call.caller.has_begun_response:
            if call.request.is_stream:
                # The error event marks the output as incomplete, so the transfer can end normally.
                call.caller.write(error.build_event(request_id))
                call.caller.finish_stream()
            else:
                call.caller.abort_stream()
        else:
            body = error.build_body(request_id, call.request.is_model)
            call.caller.send_response(
                error.status, error.build_headers(request_id), encode_json(body)
            )
        log_event(
            _LOGGER,
            logging.INFO,
            Event.GATEWAY_CALL_FAILED,
            error.detail,
            request=request_id,
            status=error.status,
            executed=error.executed.value,
        )
        self._record(call, error.status, error.executed, "", False, error.detail)

    def send_stream_data(self, call: Call, data: bytes) -> None:
        """Sends verified events, after the status and headers if the stream has not begun."""
        if not call.caller.has_begun_response:
            headers = {**STREAM_HEADERS, "X-Request-Id": call.request.request_id}
            call.caller.start_stream(200, headers)
        call.caller.write(data)

    def finish_stream(self, call: Call) -> None:
        """Ends a stream whose output is complete."""
        call.caller.finish_stream()
        digest = hashlib.sha256(call.progress.text.encode("utf-8")).hexdigest()
        self._record(call, 200, Executed.YES, digest, True, "streamed")

    def finish_forward(self, call: Call, status: int, executed: Executed) -> None:
        """Ends a response that was relayed from another gateway."""
        call.caller.finish_stream()
        self._record(call, status, executed, "", True, "forwarded")

    def record_disconnect(self, call: Call, executed: Executed) -> None:
        """Closes and records a call whose caller disconnected before its response was complete."""
        if not call.answered:
            call.caller.close()
            self._record(
                call, STATUS_CLIENT_CLOSED_REQUEST, executed, "", False, "the caller went away"
            )

    def send_trace(self, call: Call, status: int, executed: Executed, summary: str) -> None:
        """Sends the call's trace to the control process, for "explain"."""
        request = call.request
        trace = RequestTrace(
            request_id=request.request_id,
            service=request.config.name,
            customer=request.customer.name,
            revision=request.config.revision,
            received_unix_ms=round(call.received_unix_s * 1000),
            attempts=call.traces,
            status=status,
            executed=executed.value,
            summary=summary,
        )
        self._send(Envelope(request_trace=trace))

    def _record(
        self,
        call: Call,
        status: int,
        executed: Executed,
        digest: str,
        complete: bool,
        summary: str,
    ) -> None:
        call.answered = True
        request = call.request
        self._metrics.requests.labels(request.config.name, status, executed.value).inc()
        self._history.write(
            "answer",
            request=request.request_id,
            status=status,
            executed=executed.value,
            digest=digest,
            complete=complete,
            attempt=call.last_attempt_id,
            version=request.version,
            hops=request.hops,
        )
        self.send_trace(call, status, executed, summary)
