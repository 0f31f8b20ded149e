"""Publishes versioned snapshots to this instance's gateways and tracks what they have in force."""

import logging
from collections.abc import Callable
from dataclasses import dataclass

from ..clock import Clock
from ..events import Event
from ..logs import log_event
from ..schema.wire_pb2 import Envelope, SnapshotUpdate
from .link import ToGateway
from .metrics import IN_FORCE_OFFSET, SNAPSHOTS

_LOGGER = logging.getLogger(__name__)
# Minimum time between snapshots if only the load of targets has changed, and otherwise.
LOAD_PUBLISH_INTERVAL_S = 0.5
MIN_PUBLISH_INTERVAL_S = 0.05
# A snapshot without an acknowledgement is sent again after this time.
RESEND_TIMEOUT_S = 2.0
# After this time without a message, a gateway may be a new process under the same name.
RESTART_SILENCE_S = 2.0
# After this time without a message, a gateway no longer holds back the offset in force.
GATEWAY_TIMEOUT_S = 10.0
MAX_TRACKED_VERSIONS = 1000


@dataclass
class _Gateway:
    """State of one gateway."""

    last_message_at: float
    sequence: int = 0
    sent_version: int = 0
    sent_at: float = 0.0
    # -1: no snapshot acknowledged yet.
    acked_offset: int = -1
    acked_version: int = 0


class SnapshotPublisher:
    """Sends snapshots and processes acknowledgements; used by the main task only."""

    def __init__(self, epoch: str, send: Callable[[ToGateway], None], clock: Clock) -> None:
        self._epoch = epoch
        self._send = send
        self._clock = clock
        # Starts at the wall clock, so that versions differ between runs and a late acknowledgement
        # of the previous run is not mistaken for one of this run.
        self._version = int(clock.wall() * 1000)
        self._offsets_by_version: dict[int, int] = {}
        self._gateways: dict[str, _Gateway] = {}
        self._current: SnapshotUpdate | None = None
        self._published_at = 0.0
        self._changed = True
        self._load_changed = False
        self.in_force_offset = 0

    def mark_changed(self) -> None:
        """Requests a new snapshot after the minimum interval."""
        self._changed = True

    def mark_load_changed(self) -> None:
        """Requests a new snapshot after the interval for load changes."""
        self._load_changed = True

    def list_gateways(self) -> list[str]:
        """Returns the names of the gateways that count as live."""
        return sorted(self._gateways)

    def on_message(self, name: str, sequence: int) -> None:
        """Records that a gateway is live; sends a new gateway process the current snapshot."""
        now = self._clock.monotonic()
        gateway = self._gateways.get(name)
        if (
            gateway is None
            or sequence < gateway.sequence
            or now - gateway.last_message_at >= RESTART_SILENCE_S
        ):
            # Keeps the predecessor's offset, because a new process serves nothing until it has a
            # snapshot.
            offset = gateway.acked_offset if gateway is not None else -1
            gateway = self._gateways[name] = _Gateway(now, acked_offset=offset)
            self._send_current(name, gateway)
        gateway.last_message_at = now
        gateway.sequence = sequence

    def on_ack(self, name: str, version: int) -> None:
        """Records that a gateway has a snapshot of this run in force."""
        gateway = self._gateways.get(name)
        offset = self._offsets_by_version.get(version)
        if gateway is None or offset is None:
            return
        gateway.acked_offset = max(gateway.acked_offset, offset)
        gateway.acked_version = max(gateway.acked_version, version)
        self._update_in_force()

    def tick(self, build: Callable[[], SnapshotUpdate]) -> None:
        """Publishes a new snapshot if one is due; otherwise resends unacknowledged ones."""
        now = self._clock.monotonic()
        self._remove_silent_gateways(now)
        age = now - self._published_at
        due = self._changed and age >= MIN_PUBLISH_INTERVAL_S
        if due or (self._load_changed and age >= LOAD_PUBLISH_INTERVAL_S):
            self._publish(build(), now)
            return
        for name, gateway in self._gateways.items():
            if (
                gateway.acked_version < gateway.sent_version
                and now - gateway.sent_at >= RESEND_TIMEOUT_S
            ):
                self._send_current(name, gateway)

    def _publish(self, snapshot: SnapshotUpdate, now: float) -> None:
        self._changed = self._load_changed = False
        self._published_at = now
        self._version += 1
        snapshot.epoch = self._epoch
        snapshot.version = self._version
        self._current = snapshot
        self._offsets_by_version[self._version] = snapshot.folded_offset
        if len(self._offsets_by_version) > MAX_TRACKED_VERSIONS:
            del self._offsets_by_version[min(self._offsets_by_version)]
        log_event(
            _LOGGER,
            logging.DEBUG,
            Event.SNAPSHOT_SENT,
            f"snapshot {self._version} for {len(self._gateways)} gateways",
            offset=snapshot.folded_offset,
        )
        for name, gateway in self._gateways.items():
            self._send_current(name, gateway)

    def _send_current(self, name: str, gateway: _Gateway) -> None:
        if self._current is None:
            return
        gateway.sent_version = self._current.version
        gateway.sent_at = self._clock.monotonic()
        SNAPSHOTS.inc()
        self._send(ToGateway(name, Envelope(snapshot_update=self._current)))

    def _remove_silent_gateways(self, now: float) -> None:
        for name, gateway in list(self._gateways.items()):
            if now - gateway.last_message_at >= GATEWAY_TIMEOUT_S:
                del self._gateways[name]
                self._update_in_force()

    def _update_in_force(self) -> None:
        """Sets the lowest offset that all gateways have acknowledged.

        Without gateways the last value stays, because nothing newer is in force here.
        """
        if self._gateways:
            lowest = min(gateway.acked_offset for gateway in self._gateways.values())
            self.in_force_offset = max(lowest, 0)
            IN_FORCE_OFFSET.set(self.in_force_offset)
