"""Processes this instance's claims: log appends, log records and replies to the gateways."""

import logging
from collections import OrderedDict
from collections.abc import Callable, Sequence
from dataclasses import dataclass

import xxhash

from ..clock import Clock
from ..core.claimfold import normalize_key
from ..core.claims import (
    Action,
    AppendBatch,
    AppendStatus,
    ClaimTask,
    SendReply,
)
from ..core.claims import AppendResult as ClaimAppendResult
from ..core.messages import Record
from ..events import Event
from ..history.writer import HistoryWriter
from ..logs import log_event
from ..schema.log_pb2 import Claim, ClaimVoid, Outcome
from ..schema.wire_pb2 import ClaimReply, ClaimRequest, ClaimStatus, Envelope
from .link import ToGateway
from .messages import AppendRequest, AppendResult
from .metrics import CLAIMS, TASK_FAILURES

# Limit for all instances together.
MAX_APPENDS_PER_SECOND = 100
MIN_APPEND_INTERVAL_S = 0.05
# Bounds the map from claims to the gateways that wait for a reply. The oldest are dropped, because
# their gateways have given up.
MAX_TRACKED_CLAIMS = 50_000
_LOGGER = logging.getLogger(__name__)


def list_claim_streams(count: int) -> list[str]:
    """Returns the names of the log streams that hold claims."""
    return ["claims"] if count <= 1 else [f"claims-{index}" for index in range(count)]


@dataclass(frozen=True)
class _ClaimStream:
    name: str
    task: ClaimTask


class ClaimProcessor:
    """Runs one ``ClaimTask`` for each claim stream; used by the main task only."""

    def __init__(
        self,
        tasks: Sequence[ClaimTask],
        append: Callable[[AppendRequest], None],
        send: Callable[[ToGateway], None],
        history: HistoryWriter,
        clock: Clock,
    ) -> None:
        names = list_claim_streams(len(tasks))
        self._streams = [_ClaimStream(name, task) for name, task in zip(names, tasks, strict=True)]
        self._append = append
        self._send = send
        self._history = history
        self._clock = clock
        self._gateways_by_claim: OrderedDict[str, str] = OrderedDict()

    def on_request(self, gateway: str, request: ClaimRequest) -> None:
        """Handles a gateway's request; the reply is sent once the claim is decided."""
        self._gateways_by_claim[request.claim.claim_id] = gateway
        if len(self._gateways_by_claim) > MAX_TRACKED_CLAIMS:
            self._gateways_by_claim.popitem(last=False)
        claim_stream = self._find_stream(request.claim)
        self._execute(claim_stream, claim_stream.task.submit(request, self._clock.monotonic()))

    def on_outcome(self, outcome: Outcome) -> None:
        """Records the outcome of a granted claim."""
        claim_stream = self._find_stream(outcome)
        self._execute(
            claim_stream, claim_stream.task.record_outcome(outcome, self._clock.monotonic())
        )

    def on_abandon(self, claim: Claim) -> None:
        """Withdraws a granted claim of a call that no target has run or will run."""
        claim_stream = self._find_stream(claim)
        self._execute(claim_stream, claim_stream.task.abandon(claim, self._clock.monotonic()))

    def on_records(self, stream: str, records: Sequence[Record]) -> None:
        """Applies records read from a claim stream."""
        for claim_stream in self._streams:
            if claim_stream.name == stream:
                for record in records:
                    self._fold_record(claim_stream, record)

    def on_append_result(self, result: AppendResult) -> None:
        """Passes the result of an append to the task of its stream."""
        if result.offset is not None:
            status = AppendStatus.APPENDED
        else:
            status = AppendStatus.IN_DOUBT if result.in_doubt else AppendStatus.FAILED
        claim_result = ClaimAppendResult(int(result.request.key), status)
        for claim_stream in self._streams:
            if claim_stream.name == result.request.stream:
                self._execute(
                    claim_stream,
                    claim_stream.task.on_append_result(claim_result, self._clock.monotonic()),
                )

    def tick(self, instance_count: int) -> None:
        """Appends what is due; all instances and streams share the append budget."""
        interval_s = instance_count * len(self._streams) / MAX_APPENDS_PER_SECOND
        for claim_stream in self._streams:
            claim_stream.task.interval_s = max(MIN_APPEND_INTERVAL_S, interval_s)
            self._execute(claim_stream, claim_stream.task.tick(self._clock.monotonic()))

    def count_unlogged(self) -> int:
        """Returns the number of voids and outcomes that are not confirmed to be in the log."""
        return sum(claim_stream.task.count_queued() for claim_stream in self._streams)

    def _find_stream(self, entry: Claim | ClaimVoid | Outcome) -> _ClaimStream:
        """Maps all claims of a key to the same stream, whose order decides which claim wins."""
        text = "\0".join((entry.customer, entry.service, normalize_key(entry.key)))
        return self._streams[xxhash.xxh3_64_intdigest(text.encode()) % len(self._streams)]

    def _fold_record(self, claim_stream: _ClaimStream, record: Record) -> None:
        try:
            self._execute(
                claim_stream, claim_stream.task.on_record(record, self._clock.monotonic())
            )
        except Exception as error:  # The records after it must still be applied.
            TASK_FAILURES.labels("main").inc()
            log_event(
                _LOGGER,
                logging.ERROR,
                Event.CONTROL_MESSAGE_FAILED,
                f"{claim_stream.name}: record {record.offset} not handled: {error!r}",
            )

    def _execute(self, claim_stream: _ClaimStream, actions: Sequence[Action]) -> None:
        for action in actions:
            if isinstance(action, AppendBatch):
                self._append(AppendRequest(claim_stream.name, str(action.batch_id), action.batch))
            elif isinstance(action, SendReply):
                self._send_reply(action.reply)

    def _send_reply(self, reply: ClaimReply) -> None:
        status = ClaimStatus.Name(reply.status).lower()
        CLAIMS.labels(status).inc()
        self._history.write(
            "claim",
            claim_id=reply.claim_id,
            request_id=reply.request_id,
            status=status,
            offset=reply.offset,
        )
        log_event(
            _LOGGER,
            logging.INFO,
            Event.CLAIM_DECIDED,
            f"claim {status}",
            claim_id=reply.claim_id,
            request_id=reply.request_id,
        )
        gateway = self._gateways_by_claim.pop(reply.claim_id, None)
        if gateway is not None:
            self._send(ToGateway(gateway, Envelope(claim_reply=reply)))
