"""What this instance knows of the other instances: heartbeats, progress, configuration state."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from ..clock import Clock
from ..schema.wire_pb2 import (
    Envelope,
    Heartbeat,
    InstanceProgress,
    StateReply,
    StateRequest,
)
from .link import ToPeer

HEARTBEAT_S = 1.0
PROGRESS_HEARTBEAT_S = 0.2
# An instance that was silent for this time is not asked and not waited for.
SILENCE_S = 3.0
# The data centre's progress is sent to others when it changed, but not more often than this.
PROGRESS_INTERVAL_S = 2.0
PROGRESS_REFRESH_S = 15.0
# Progress older than this is not reported any more.
PROGRESS_EXPIRY_S = 60.0
# A log that answers, but leaves this instance behind its peers for this time, is not waited for.
BEHIND_S = 2.0
# A peer is asked for its state at most this often.
STATE_REQUEST_S = 1.0
STATE_REPLY_S = 0.5
# While the log cannot be read for this time, a new instance asks its peers instead.
PEER_START_S = 3.0


@dataclass(frozen=True)
class Progress:
    """How far an instance's gateways are, and the monotonic time to which this refers."""

    data_centre: str
    in_force_offset: int
    observed_at: float


@dataclass
class _Peer:
    heartbeat: Heartbeat
    heard_at: float
    replied_at: float = 0.0


class PeerTracker:
    """Heartbeats and state exchange; owned by the main task."""

    def __init__(
        self,
        instance: str,
        data_centre: str,
        send: Callable[[ToPeer], None],
        clock: Clock,
    ) -> None:
        self._instance = instance
        self._data_centre = data_centre
        self._send = send
        self._clock = clock
        self._peers: dict[str, _Peer] = {}
        self._progress: dict[str, Progress] = {}
        self._asked_at: dict[str, float] = {}
        self._state_sent_at: dict[str, float] = {}
        self._replied: set[str] = set()
        self._started_at = clock.monotonic()
        # Until the first list is known, peers are asked for theirs.
        self.wants_members = True
        self._behind_since: float | None = None
        self._beat_at = 0.0
        self._beat_offset = 0
        # Progress last sent to each recipient in another data centre, and when.
        self._summaries: dict[str, tuple[dict[str, int], float]] = {}

    def on_heartbeat(self, heartbeat: Heartbeat) -> bool:
        """Adopts a heartbeat; tells whether the instance was silent or unknown before."""
        now = self._clock.monotonic()
        known = self._peers.get(heartbeat.instance)
        is_new = known is None or now - known.heard_at >= SILENCE_S
        replied_at = known.replied_at if known is not None else 0.0
        self._peers[heartbeat.instance] = _Peer(heartbeat, now, replied_at)
        self._set_progress(
            heartbeat.instance, Progress(heartbeat.data_centre, heartbeat.in_force_offset, now)
        )
        for item in heartbeat.progress:
            at = now - item.age_ms / 1000
            self._set_progress(item.instance, Progress(item.data_centre, item.in_force_offset, at))
        return is_new

    def allow_state_reply(self, instance: str) -> bool:
        """Tells whether a state request is answered; a state is long, and requests may pile up."""
        now = self._clock.monotonic()
        if now - self._state_sent_at.get(instance, -STATE_REPLY_S) < STATE_REPLY_S:
            return False
        self._state_sent_at[instance] = now
        return True

    def on_state_reply(self, instance: str) -> None:
        """Notes that a peer has sent its state since this instance started."""
        self._replied.add(instance)

    def reply_to_heartbeat(self, heartbeat: Heartbeat, recipient: str, data_centre: str) -> None:
        """Answers an instance that this one does not connect to, at most once per interval."""
        now = self._clock.monotonic()
        peer = self._peers[recipient]
        if now - peer.replied_at >= HEARTBEAT_S / 2:
            peer.replied_at = now
            self._send_heartbeat(heartbeat, recipient, data_centre, now)

    def request_state(self, have_offset: int, orders_digest: int, log_reachable: bool) -> None:
        """Asks peers that are ahead, or that have other orders, for their state.

        ``have_offset`` is -1 while this instance lacks documents. While the log can be read, a
        short lead only means that the peer has read first.
        """
        now = self._clock.monotonic()
        heard = self._list_heard(now)
        is_behind = any(peer.heartbeat.folded_offset > have_offset for _, peer in heard)
        if not is_behind:
            self._behind_since = None
        elif self._behind_since is None:
            self._behind_since = now
        waited = self._behind_since is not None and now - self._behind_since >= BEHIND_S
        for instance, peer in heard:
            ahead = peer.heartbeat.folded_offset > have_offset
            unasked = not log_reachable and instance not in self._replied
            if (
                unasked
                or have_offset < 0
                or peer.heartbeat.orders_digest != orders_digest
                or (ahead and (waited or not log_reachable))
            ):
                self._ask(instance, have_offset, now)

    def request_state_from_all(self, have_offset: int) -> None:
        """Asks every live peer: the log no longer has all records that this instance needs."""
        now = self._clock.monotonic()
        for instance, _ in self._list_heard(now):
            self._ask(instance, have_offset, now)

    def has_newest_state(self, folded_offset: int) -> bool:
        """Tells whether no live peer can provide a newer state; needs a ready peer's reply."""
        now = self._clock.monotonic()
        if now - self._started_at < PEER_START_S:
            return False
        heard = self._list_heard(now)
        ready = [instance for instance, peer in heard if peer.heartbeat.ready]
        return (
            bool(ready)
            and all(instance in self._replied for instance in ready)
            and all(peer.heartbeat.folded_offset <= folded_offset for _, peer in heard)
        )

    def allow_heartbeat(self, in_force_offset: int) -> bool:
        """Tells whether the next heartbeat is due, and counts it as sent.

        Progress is reported at once, because operators wait for it.
        """
        now = self._clock.monotonic()
        progressed = in_force_offset != self._beat_offset
        interval_s = PROGRESS_HEARTBEAT_S if progressed else HEARTBEAT_S
        if now - self._beat_at < interval_s:
            return False
        self._beat_at = now
        self._beat_offset = in_force_offset
        return True

    def send_heartbeats(self, heartbeat: Heartbeat, recipients: Iterable[tuple[str, str]]) -> None:
        """Sends a heartbeat to (instance, data centre) pairs, with progress to other centres."""
        now = self._clock.monotonic()
        self._set_progress(
            self._instance, Progress(self._data_centre, heartbeat.in_force_offset, now)
        )
        for instance, data_centre in recipients:
            self._send_heartbeat(heartbeat, instance, data_centre, now)

    def list_progress(self) -> dict[str, Progress]:
        """Returns the progress of every instance heard of lately, this one included."""
        oldest = self._clock.monotonic() - PROGRESS_EXPIRY_S
        self._progress = {name: p for name, p in self._progress.items() if p.observed_at >= oldest}
        return dict(self._progress)

    def list_live(self) -> list[str]:
        """Returns the instances whose heartbeats arrive."""
        return sorted(name for name, _ in self._list_heard(self._clock.monotonic()))

    def list_leaving(self) -> list[str]:
        """Returns the instances that have announced their stop."""
        return sorted(name for name, peer in self._peers.items() if peer.heartbeat.leaving)

    def _ask(self, instance: str, have_offset: int, now: float) -> None:
        if now - self._asked_at.get(instance, -STATE_REQUEST_S) < STATE_REQUEST_S:
            return
        self._asked_at[instance] = now
        request = StateRequest(have_offset=have_offset, wants_members=self.wants_members)
        self._send(ToPeer(instance, Envelope(state_request=request)))

    def _list_heard(self, now: float) -> list[tuple[str, _Peer]]:
        return [
            (name, peer) for name, peer in self._peers.items() if now - peer.heard_at < SILENCE_S
        ]

    def _set_progress(self, instance: str, progress: Progress) -> None:
        known = self._progress.get(instance)
        if known is None or progress.observed_at >= known.observed_at:
            self._progress[instance] = progress

    def _send_heartbeat(
        self, heartbeat: Heartbeat, recipient: str, data_centre: str, now: float
    ) -> None:
        message = Heartbeat()
        message.CopyFrom(heartbeat)
        if data_centre != self._data_centre:
            message.progress.extend(self._take_progress(recipient, now))
        self._send(ToPeer(recipient, Envelope(heartbeat=message)))

    def _take_progress(self, recipient: str, now: float) -> list[InstanceProgress]:
        current = {
            name: progress.in_force_offset
            for name, progress in self._progress.items()
            if progress.data_centre == self._data_centre
            and now - progress.observed_at < PROGRESS_EXPIRY_S
        }
        sent, sent_at = self._summaries.get(recipient, ({}, -PROGRESS_REFRESH_S))
        age = now - sent_at
        if age < PROGRESS_INTERVAL_S or (current == sent and age < PROGRESS_REFRESH_S):
            return []
        self._summaries[recipient] = current, now
        return [
            InstanceProgress(
                instance=name,
                data_centre=self._data_centre,
                in_force_offset=offset,
                age_ms=int((now - self._progress[name].observed_at) * 1000),
            )
            for name, offset in current.items()
        ]


def trim_state(state: StateReply, have_offset: int) -> StateReply:
    """Leaves out documents if the asking peer already has them; orders are always sent."""
    if have_offset < state.folded_offset:
        return state
    return StateReply(
        folded_offset=state.folded_offset, orders=state.orders, quarantine=state.quarantine
    )
