"""One attempt at a call: sends it to a target, classifies the response and forwards it."""

from collections.abc import Callable
from dataclasses import dataclass, replace
from enum import Enum
from typing import Protocol

from ...errors import ResponseLimitError
from ..core.serving.routetable import CallKind
from ..http.bounds import MAX_ELEMENT_S
from ..http.messages import HttpResponse
from .connection import ExchangeFailure, FailureKind, OutboundConnection
from .dialect import AttemptPlan, CallRequest, Dialect, ResponseInfo, ResponseKind
from .eventstream import EventStreamParser

# Larger responses of plain services are rejected rather than buffered.
MAX_RESPONSE_BYTES = 16_777_216


class Outcome(Enum):
    """How an attempt ended; the values are metric labels."""

    ANSWERED = "answered"
    ERROR = "target error"
    REJECTED = "not run"
    MISDIRECTED = "misdirected"
    NOT_SENT = "not sent"
    # The target must not get the call any more: it was not sent, and nothing is wrong with it.
    WITHDRAWN = "withdrawn"
    BROKEN = "broken"
    UNVERIFIED = "unverified"
    CANCELLED = "cancelled"


@dataclass(frozen=True)
class BufferedResponse:
    """A target's complete response to a call that is not streamed."""

    response: HttpResponse
    body: bytes


class AttemptOwner(Protocol):
    """Callbacks of an attempt; ``on_outcome`` is called once, as the last one."""

    def on_progress(self, attempt: "Attempt") -> None:
        """A head, a complete event or body bytes of the response arrived."""
        ...

    def on_classified(self, attempt: "Attempt") -> None:
        """The head of the response was classified."""
        ...

    def may_buffer(self, attempt: "Attempt", count: int) -> bool:
        """Whether this many bytes of the response may be kept until it is complete."""
        ...

    def on_events(self, attempt: "Attempt", events: bytes) -> None:
        """Complete events of a stream arrived."""
        ...

    def on_outcome(self, attempt: "Attempt", outcome: Outcome, detail: str) -> None:
        """The attempt ended."""
        ...


class Attempt:
    """Handles one exchange with a target."""

    def __init__(
        self,
        call: CallRequest,
        plan: AttemptPlan,
        dialect: Dialect,
        owner: AttemptOwner,
        now: Callable[[], float],
    ) -> None:
        """``now`` returns the event loop's time."""
        self.plan = plan
        self.started_at = now()
        self.buffered_response: BufferedResponse | None = None
        self.response_info: ResponseInfo | None = None
        self.response: HttpResponse | None = None
        # Whether the target may have run the call.
        self.may_have_run = False
        self.has_events = False
        self.first_event_at: float | None = None
        # Whether nothing listened at the target's address.
        self.was_refused = False
        # Whether this instance ended the attempt because its response made no progress.
        self.was_stalled = False
        # Whether this instance ended the attempt because nothing came in time.
        self.was_unanswered = False
        # Whether this call's prompt still counts as pending prefill at the target.
        self.is_prefill_pending = False
        self._call = call
        self._dialect = dialect
        self._owner = owner
        self._connection: OutboundConnection | None = None
        self._body = bytearray()
        self._event_parser: EventStreamParser | None = None
        # Since when an event has been incomplete while the response was read.
        self._partial_event_since: float | None = None
        self._now = now
        self._has_ended = False

    @property
    def last_event_id(self) -> int | None:
        """Id of the last event that was forwarded."""
        return (
            self._event_parser.last_id
            if self._event_parser is not None
            else self.plan.last_event_id
        )

    @property
    def idle_before_send_s(self) -> float:
        """Seconds for which the connection was idle before the call was sent on it."""
        return self._connection.idle_before_send_s if self._connection is not None else 0.0

    def start(self, connection: OutboundConnection, may_send: Callable[[], bool]) -> None:
        """Sends the request, if ``may_send`` still says so when the connection is open."""
        self._connection = connection

        def build_request() -> bytes | None:
            time_left_s = self.plan.time_left_s - (self._now() - self.started_at)
            if time_left_s <= 0 or not may_send():
                return None
            plan = replace(self.plan, time_left_s=time_left_s)
            return self._dialect.encode_attempt(self._call, plan)

        connection.send(
            build_request,
            self,
            lambda response: self._dialect.is_response_to(response, self._call),
        )

    def cancel(self) -> None:
        """Closes the connection, so that the target stops; no further callbacks are made."""
        self._has_ended = True
        if self._connection is not None:
            self._connection.close()

    def pause(self) -> None:
        """Stops reading the response, for a caller that reads slowly."""
        self._partial_event_since = None
        if self._connection is not None and not self._has_ended:
            self._connection.pause()

    def resume(self) -> None:
        """Resumes reading after ``pause``."""
        if self._connection is not None and not self._has_ended:
            self._connection.resume()

    def is_stalled(self) -> bool:
        """Whether a head or an event has begun and has not become complete for too long.

        Bytes that arrive now and then do not count: no caller is served by a part of an event.
        """
        head_since = self._connection.partial_head_since if self._connection is not None else None
        started = [since for since in (head_since, self._partial_event_since) if since is not None]
        return any(self._now() - since > MAX_ELEMENT_S for since in started)

    def abort_stalled(self) -> None:
        """Ends the attempt because its response makes no progress."""
        self.may_have_run = self.was_stalled = True
        self._end(Outcome.BROKEN, f"a head or an event was incomplete for {MAX_ELEMENT_S} s")

    def on_head(self, response: HttpResponse) -> None:
        """Classifies the response by its status and headers."""
        self.response = response
        self._owner.on_progress(self)
        self.response_info = self._dialect.classify_response(response, self._call, self.plan)
        self._owner.on_classified(self)
        kind = self.response_info.kind
        if kind is ResponseKind.SUCCESS and self._call.route.kind is CallKind.STREAM:
            self._event_parser = EventStreamParser(self.plan.last_event_id)
        elif kind is ResponseKind.UNVERIFIED:
            self.may_have_run = True
            self._end(Outcome.UNVERIFIED, f"status {response.status} without proof of origin")

    def on_body(self, data: bytes) -> None:
        """Forwards complete events, or buffers a response that is not streamed."""
        if self._has_ended:
            return
        if self._event_parser is None:
            self._owner.on_progress(self)
            self._body += data
            is_too_large = len(self._body) > MAX_RESPONSE_BYTES
            if is_too_large or not self._owner.may_buffer(self, len(self._body)):
                self._body.clear()
                self.may_have_run = True
                detail = "answer too large" if is_too_large else "no memory left for the answer"
                self._end(Outcome.UNVERIFIED, detail)
            return
        self._feed_events(self._event_parser, data)

    def _feed_events(self, parser: EventStreamParser, data: bytes) -> None:
        try:
            events, count = parser.feed(data)
        except ResponseLimitError as error:
            self.may_have_run = True
            self._end(Outcome.BROKEN, str(error))
            return
        if not parser.has_partial_event:
            self._partial_event_since = None
        elif count or self._partial_event_since is None:
            self._partial_event_since = self._now()
        if count:
            self.has_events = True
            self._owner.on_progress(self)
            self._owner.on_events(self, events)
        if parser.is_out_of_order and not self._has_ended:
            self.may_have_run = True
            self._end(Outcome.BROKEN, "events out of order")

    def on_end(self) -> None:
        """The response is complete."""
        assert self.response is not None and self.response_info is not None
        kind = self.response_info.kind
        if kind is ResponseKind.REJECTED:
            self._end(Outcome.REJECTED, f"status {self.response.status}")
        elif kind is ResponseKind.MISDIRECTED:
            self._end(Outcome.MISDIRECTED, "another target or version")
        elif self._event_parser is not None and self._event_parser.has_partial_event:
            self.may_have_run = True
            self._end(Outcome.BROKEN, "stream ended inside an event")
        elif self._has_empty_stream:
            self.may_have_run = True
            self._end(Outcome.BROKEN, "stream ended before its first event")
        else:
            self.may_have_run = True
            self.buffered_response = BufferedResponse(self.response, bytes(self._body))
            is_error = kind is ResponseKind.ERROR
            self._end(Outcome.ERROR if is_error else Outcome.ANSWERED, "")

    @property
    def _has_empty_stream(self) -> bool:
        """Whether a new run ended without any event, and without a mark that it is complete."""
        return (
            self._event_parser is not None
            and self.response is not None
            and self.response.is_close_delimited
            and not self.has_events
            and self.plan.last_event_id is None
        )

    def on_failure(self, failure: ExchangeFailure) -> None:
        """The connection failed before the response was complete."""
        if self.response_info is not None and self.response_info.kind is ResponseKind.REJECTED:
            self._end(Outcome.REJECTED, failure.message)
            return
        if failure.kind is FailureKind.WITHDRAWN:
            self._end(Outcome.WITHDRAWN, failure.message)
            return
        self.may_have_run = failure.was_sent
        self.was_refused = failure.was_refused
        outcome = Outcome.BROKEN if failure.was_sent else Outcome.NOT_SENT
        self._end(outcome, f"{failure.kind.value}: {failure.message}")

    def _end(self, outcome: Outcome, detail: str) -> None:
        if self._has_ended:
            return
        self._has_ended = True
        if outcome in (Outcome.UNVERIFIED, Outcome.BROKEN) and self._connection is not None:
            self._connection.close()
        self._owner.on_outcome(self, outcome, detail)
