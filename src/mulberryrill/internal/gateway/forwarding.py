"""Forwards a call to another gateway and relays its response.

The events of a stream are parsed and counted here too, so that the stream can be resumed if the
other gateway fails. Other responses are relayed unchanged.
"""

import random
from http import HTTPStatus
from typing import Protocol

from ..core.messages import MemberState, TargetState
from ..core.snapshot import EntryMember, Snapshot
from ..ids import DataCentre, InstanceId
from .call import Call
from .caller import encode_json
from .exchange import Exchange
from .loop import RelayLoop
from .streams import BrokenStreamError, EventSplitter, StreamReader, build_continuation
from .transfer import Transfer, TransferEnd, TransferRequest

HOPS_HEADER = "X-Forwarded-Hops"
# Whether earlier attempts may have run the call, so that the other gateway does not report a call
# as not run that may have run here.
EXECUTED_HEADER = "X-Forwarded-Executed"
_DROPPED_HEADERS = frozenset(
    {"connection", "keep-alive", "transfer-encoding", "content-length", "date", "server", "te"}
)


class ForwardListener(Protocol):
    """Receives the response to a forwarded call."""

    def on_forward_start(
        self, forward: "ForwardExchange", status: int, headers: dict[str, str]
    ) -> None:
        """Handles the status and headers of the response."""
        ...

    def on_forward_data(self, forward: "ForwardExchange", data: bytes) -> None:
        """Handles part of the body."""
        ...

    def on_forward_end(self, forward: "ForwardExchange", error: str, sent: bool) -> None:
        """Handles the end of the exchange; ``error`` is empty if the response is complete."""
        ...


def list_forward_candidates(
    snapshot: Snapshot,
    local_data_centre: DataCentre,
    call: Call,
    rng: random.Random,
    own_instance: InstanceId | None = None,
) -> list[EntryMember]:
    """Returns the gateways that may run a call, in the order to try them.

    Gateways in data centres with a usable target come first; in each group, those in the local data
    centre come first. Apart from that the order is random, to spread the load of a drained data
    centre. The local data centre is left out unless ``own_instance`` is given; then only that
    instance is left out.
    """
    candidates = [
        member
        for member in snapshot.entries
        if member.data_centre not in snapshot.drained
        and (member.data_centre != local_data_centre or own_instance not in (None, member.instance))
    ]
    rng.shuffle(candidates)
    usable_data_centres = {
        data_centre
        for data_centre in {member.data_centre for member in candidates}
        if has_usable_target(snapshot, data_centre, call)
    }
    return sorted(
        candidates,
        key=lambda member: (
            member.data_centre not in usable_data_centres,
            member.data_centre != local_data_centre,
        ),
    )


def has_usable_target(snapshot: Snapshot, data_centre: DataCentre, call: Call) -> bool:
    """Returns whether a data centre has a target that could run a call, whatever its load."""
    return any(
        target.data_centre == data_centre and is_usable(target, call)
        for target in snapshot.targets.values()
    )


def is_usable(target: TargetState, call: Call) -> bool:
    """Returns whether a target could run a call, whatever its load."""
    request = call.request
    if target.pool != request.config.pool or not target.healthy:
        return False
    if target.state is not MemberState.LIVE:
        return False
    return not request.is_model or (request.model, request.version) in target.models


class ForwardExchange(Exchange):
    """One exchange with another gateway. Runs on the relay loop's thread."""

    def __init__(
        self,
        loop: RelayLoop,
        listener: ForwardListener,
        call: Call,
        member: EntryMember,
        connect_timeout_ms: int,
        ca_file: str,
    ) -> None:
        super().__init__(loop)
        self._listener = listener
        self.call = call
        self.member = member
        self.has_response = False
        self.status = 0
        self._splitter = EventSplitter()
        self._reader: StreamReader | None = None
        request = call.request
        headers = [
            ("Authorization", request.authorization),
            ("X-Request-Id", request.request_id),
            (HOPS_HEADER, str(request.hops + 1)),
            (EXECUTED_HEADER, call.tracker.executed.value),
            *request.headers,
        ]
        if call.progress.tokens:
            headers.append(("X-Model-Version", request.version))
        if request.idempotency_key:
            headers.append(("Idempotency-Key", request.idempotency_key))
        self._transfer = Transfer(
            TransferRequest(
                method=request.method,
                url=member.address + request.gateway_path,
                headers=tuple(headers),
                body=_build_body(call),
                connect_timeout_ms=connect_timeout_ms,
                ca_file=ca_file,
            ),
            self,
        )

    @property
    def is_stream(self) -> bool:
        """Whether the response is a stream of events."""
        return self._reader is not None

    @property
    def has_begun(self) -> bool:
        """Whether the other gateway has begun its response."""
        return self.has_response

    def stop(self, error: str) -> None:
        """Cancels the exchange and reports an error."""
        if not self._is_over:
            sent = self._transfer.sent
            self.cancel()
            self._listener.on_forward_end(self, error, sent)

    def on_headers(self, status: int, headers: dict[str, str]) -> None:
        """Verifies that the response belongs to this request, and begins the caller's."""
        if headers.get("x-request-id") != self.call.request.request_id:
            self.stop("the other gateway answered for another request")
            return
        self.has_response = True
        self.status = status
        self._record_progress()
        request = self.call.request
        is_events = headers.get("content-type", "").startswith("text/event-stream")
        if request.is_stream and status == HTTPStatus.OK and is_events:
            self._reader = StreamReader(self.call.progress, request.wants_usage)
        kept = {name: value for name, value in headers.items() if name not in _DROPPED_HEADERS}
        self._listener.on_forward_start(self, status, kept)

    def on_data(self, data: bytes) -> None:
        """Relays part of the body."""
        if not self._is_over:
            if self._reader is None:
                self._record_progress()
                self._listener.on_forward_data(self, data)
            else:
                self._relay_events(self._reader, data)

    def on_end(self, end: TransferEnd) -> None:
        """Reports the end of the exchange."""
        if not self._is_over:
            self._is_over = True
            is_done = self._reader is None or self._reader.is_done
            error = end.error or ("" if is_done else "the stream ended early")
            if self._reader is not None and is_done:
                error = ""
            self._listener.on_forward_end(self, error, end.sent)

    def _relay_events(self, reader: StreamReader, data: bytes) -> None:
        output = bytearray()
        problem = ""
        try:
            for event in self._splitter.feed(data):
                self._record_progress()
                output += reader.read(event)
        except BrokenStreamError as error:
            problem = str(error)
            self.call.progress.resumable &= error.resumable
        if output:
            self._listener.on_forward_data(self, bytes(output))
        if problem:
            self.stop(problem)


def _build_body(call: Call) -> bytes:
    request = call.request
    if not request.is_stream:
        return request.body
    content = {**request.content, "stream_options": {"include_usage": True}}
    content.pop("engine", None)
    if call.progress.tokens:
        # Makes the other gateway continue the stream that broke here.
        content["engine"] = build_continuation(call.progress)
    return encode_json(content)
