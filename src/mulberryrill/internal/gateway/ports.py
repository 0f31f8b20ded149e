"""The core's classes as the dispatcher uses them, so that tests can replace each of them."""

from collections.abc import Callable, Mapping, Sequence
from typing import Any, Protocol

from ..core.messages import Choice, QueueItem, RoutingRequest, TargetState
from ..core.snapshot import CustomerView
from ..ids import GatewayId, TargetId
from ..schema.log_pb2 import QuarantineEntry
from ..schema.wire_pb2 import Envelope, GatewayReport, GrantUpdate


class RouterPort(Protocol):
    """Chooses targets."""

    def choose(
        self,
        request: RoutingRequest,
        targets: Sequence[TargetState],
        free_slots: Callable[[TargetState], int],
        now: float,
    ) -> Choice: ...

    def record_start(self, request: RoutingRequest, target: TargetState, now: float) -> None: ...

    def record_end(
        self,
        request: RoutingRequest,
        target: TargetState,
        cached_tokens: int,
        first_token_s: float | None,
        now: float,
    ) -> None: ...


class SlotsPort(Protocol):
    """Counts the work that this gateway may send to each target."""

    def update(self, grant: GrantUpdate) -> None: ...

    def count_free(self, target: TargetState, now: float) -> int: ...

    def acquire(self, target: TargetState, now: float) -> bool: ...

    def release(self, target: TargetId, succeeded: bool) -> None: ...

    def drop(self, target: TargetId) -> None: ...

    def report(
        self, gateway: GatewayId, demand: Mapping[TargetId, int], now: float
    ) -> GatewayReport: ...


class AdmissionPort(Protocol):
    """Limits, deadlines and the queue."""

    def admit(self, item: QueueItem, limits: Any, now: float) -> Any: ...

    def pop(self, can_start: Callable[[QueueItem], bool], now: float) -> QueueItem | None: ...

    def expire(self, now: float) -> list[QueueItem]: ...

    def finish(self, item: QueueItem) -> None: ...


class QuarantinePort(Protocol):
    """Fingerprints of requests that crashed targets."""

    def record_crash(
        self, fingerprint: str, target: TargetId, now_unix_ms: int
    ) -> QuarantineEntry | None: ...

    def adopt(self, entry: QuarantineEntry) -> None: ...

    def is_quarantined(self, fingerprint: str, now_unix_ms: int) -> bool: ...


# Builds the limits of a customer from its view and the number of instances that share them.
LimitsBuilder = Callable[[CustomerView, int], Any]
SendMessage = Callable[[Envelope], None]
