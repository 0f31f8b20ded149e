"""Drives the claims of this instance: appends, reading back, replies to the gateways."""

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
    Reply,
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

# All instances together use at most this many appends a second.
APPENDS_PER_SECOND = 100
MIN_INTERVAL_S = 0.05
# Requests whose gateway is remembered; a gateway that gave up asks no more.
MAX_REMEMBERED = 50_000
_LOGGER = logging.getLogger(__name__)


def list_claim_streams(count: int) -> list[str]:
    """Returns the names of the streams that hold the claims."""
    return ["claims"] if count <= 1 else [f"claims-{index}" for index in range(count)]


@dataclass(frozen=True)
class _Lane:
    stream: str
    task: ClaimTask


class ClaimProcessor:
    """One lane for each claim stream; owned by the main task."""

    def __init__(
        self,
        tasks: Sequence[ClaimTask],
        append: Callable[[AppendRequest], None],
        send: Callable[[ToGateway], None],
        history: HistoryWriter,
        clock: Clock,
    ) -> None:
        streams = list_claim_streams(len(tasks))
        self._lanes = [_Lane(stream, task) for stream, task in zip(streams, tasks, strict=True)]
        self._append = append
        self._send = send
        self._history = history
        self._clock = clock
        self._gateways: OrderedDict[str, str] = OrderedDict()

    def on_request(self, gateway: str, request: ClaimRequest) -> None:
        """Takes a gateway's request; the reply follows, now or later."""
        self._gateways[request.claim.claim_id] = gateway
        if len(self._gateways) > MAX_REMEMBERED:
            self._gateways.popitem(last=False)
        lane = self._find_lane(request.claim)
        self._perform(lane, lane.task.submit(request, self._clock.monotonic()))

    def on_outcome(self, outcome: Outcome) -> None:
        """Records the outcome of a granted claim."""
        lane = self._find_lane(outcome)
        self._perform(lane, lane.task.record_outcome(outcome, self._clock.monotonic()))

    def on_abandon(self, claim: Claim) -> None:
        """Withdraws a granted claim of which no byte was sent to a target."""
        lane = self._find_lane(claim)
        self._perform(lane, lane.task.abandon(claim, self._clock.monotonic()))

    def on_records(self, stream: str, records: Sequence[Record]) -> None:
        """Folds records of a claim stream."""
        for lane in self._lanes:
            if lane.stream == stream:
                for record in records:
                    self._fold(lane, record)

    def on_append_result(self, result: AppendResult) -> None:
        """Passes an append's result to the lane that asked for it."""
        if result.offset is not None:
            status = AppendStatus.APPENDED
        else:
            status = AppendStatus.IN_DOUBT if result.in_doubt else AppendStatus.FAILED
        answer = ClaimAppendResult(int(result.request.key), status)
        for lane in self._lanes:
            if lane.stream == result.request.stream:
                self._perform(lane, lane.task.on_append_result(answer, self._clock.monotonic()))

    def tick(self, instances: int) -> None:
        """Appends what is due; the append budget is shared by all instances and streams."""
        interval_s = instances * len(self._lanes) / APPENDS_PER_SECOND
        for lane in self._lanes:
            lane.task.interval_s = max(MIN_INTERVAL_S, interval_s)
            self._perform(lane, lane.task.tick(self._clock.monotonic()))

    def count_unlogged(self) -> int:
        """Returns the number of voids and outcomes that are not known to be in the log."""
        return sum(lane.task.count_queued() for lane in self._lanes)

    def _find_lane(self, entry: Claim | ClaimVoid | Outcome) -> _Lane:
        """All claims of one key are in one stream, whose order decides."""
        text = "\0".join((entry.customer, entry.service, normalize_key(entry.key)))
        return self._lanes[xxhash.xxh3_64_intdigest(text.encode()) % len(self._lanes)]

    def _fold(self, lane: _Lane, record: Record) -> None:
        try:
            self._perform(lane, lane.task.on_record(record, self._clock.monotonic()))
        except Exception as error:  # The next record must be folded in any case.
            TASK_FAILURES.labels("main").inc()
            log_event(
                _LOGGER,
                logging.ERROR,
                Event.CONTROL_MESSAGE_FAILED,
                f"{lane.stream} record {record.offset}: {error!r}",
            )

    def _perform(self, lane: _Lane, actions: Sequence[Action]) -> None:
        for action in actions:
            if isinstance(action, AppendBatch):
                self._append(AppendRequest(lane.stream, str(action.batch_id), action.batch))
            elif isinstance(action, Reply):
                self._reply(action.reply)

    def _reply(self, reply: ClaimReply) -> None:
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
        gateway = self._gateways.pop(reply.claim_id, None)
        if gateway is not None:
            self._send(ToGateway(gateway, Envelope(claim_reply=reply)))
