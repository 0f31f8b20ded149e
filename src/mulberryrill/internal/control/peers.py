"""Tracks the other instances by their heartbeats and exchanges configuration state with them."""

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

HEARTBEAT_INTERVAL_S = 1.0
# Used when the offset in force here has changed since the last heartbeat.
PROGRESS_HEARTBEAT_INTERVAL_S = 0.2
# An instance without a heartbeat for this time counts as not live.
PEER_TIMEOUT_S = 3.0
# Minimum time between reports of this data centre's changed progress to another data centre.
PROGRESS_INTERVAL_S = 2.0
# Unchanged progress is sent again after this time.
PROGRESS_REFRESH_INTERVAL_S = 15.0
# Older progress is no longer reported.
PROGRESS_EXPIRY_S = 60.0
# If this instance stays behind its peers for this time although the log is reachable, it requests
# their state.
MAX_BEHIND_S = 2.0
# Minimum time between two state requests, or two state replies, to the same peer.
STATE_REQUEST_INTERVAL_S = 1.0
STATE_REPLY_INTERVAL_S = 0.5
# Minimum time after start before an instance without the log relies on its peers' state, so that
# their heartbeats have arrived.
PEER_STATE_DELAY_S = 3.0


@dataclass(frozen=True)
class Progress:
    """The offset that an instance's gateways have in force, observed at a monotonic time."""

    data_centre: str
    in_force_offset: int
    observed_at: float


@dataclass
class _Peer:
    heartbeat: Heartbeat
    received_at: float
    replied_at: float = 0.0


class PeerTracker:
    """Heartbeats, progress and state exchange; used by the main task only."""

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
        self._state_requested_at: dict[str, float] = {}
        self._state_sent_at: dict[str, float] = {}
        self._peers_with_state: set[str] = set()
        self._started_at = clock.monotonic()
        # State requests ask for the list of members until this instance has one.
        self.wants_members = True
        self._behind_since: float | None = None
        self._heartbeat_sent_at = 0.0
        self._heartbeat_offset = 0
        # Progress last sent to each recipient in another data centre, and the time.
        self._sent_progress: dict[str, tuple[dict[str, int], float]] = {}

    def on_heartbeat(self, heartbeat: Heartbeat) -> bool:
        """Records a heartbeat; returns whether the instance was not live or unknown before."""
        now = self._clock.monotonic()
        known = self._peers.get(heartbeat.instance)
        is_new = known is None or now - known.received_at >= PEER_TIMEOUT_S
        replied_at = known.replied_at if known is not None else 0.0
        self._peers[heartbeat.instance] = _Peer(heartbeat, now, replied_at)
        self._set_progress(
            heartbeat.instance, Progress(heartbeat.data_centre, heartbeat.in_force_offset, now)
        )
        for item in heartbeat.progress:
            observed_at = now - item.age_ms / 1000
            self._set_progress(
                item.instance, Progress(item.data_centre, item.in_force_offset, observed_at)
            )
        return is_new

    def allow_state_reply(self, instance: str) -> bool:
        """Returns whether to reply to a state request now, and counts the reply as sent.

        Limits the rate because a state is large and requests may queue up.
        """
        now = self._clock.monotonic()
        if (
            now - self._state_sent_at.get(instance, -STATE_REPLY_INTERVAL_S)
            < STATE_REPLY_INTERVAL_S
        ):
            return False
        self._state_sent_at[instance] = now
        return True

    def on_state_reply(self, instance: str) -> None:
        """Records that a peer has sent its state since this instance started."""
        self._peers_with_state.add(instance)

    def reply_to_heartbeat(self, heartbeat: Heartbeat, recipient: str, data_centre: str) -> None:
        """Replies to an instance that this one does not connect to, at most twice per interval."""
        now = self._clock.monotonic()
        peer = self._peers[recipient]
        if now - peer.replied_at >= HEARTBEAT_INTERVAL_S / 2:
            peer.replied_at = now
            self._send_heartbeat(heartbeat, recipient, data_centre, now)

    def request_state(self, have_offset: int, orders_digest: int, log_reachable: bool) -> None:
        """Requests the state of peers that are ahead or that have different orders.

        ``have_offset`` is -1 while this instance lacks documents. While the log is reachable, a
        peer that is briefly ahead has only read the log earlier, so its state is not requested.
        While it is unreachable, every peer gets requests until it has sent its state once.
        """
        now = self._clock.monotonic()
        live_peers = self._list_live_peers(now)
        is_behind = any(peer.heartbeat.folded_offset > have_offset for _, peer in live_peers)
        if not is_behind:
            self._behind_since = None
        elif self._behind_since is None:
            self._behind_since = now
        has_waited = self._behind_since is not None and now - self._behind_since >= MAX_BEHIND_S
        for instance, peer in live_peers:
            is_ahead = peer.heartbeat.folded_offset > have_offset
            needs_reply = not log_reachable and instance not in self._peers_with_state
            if (
                needs_reply
                or have_offset < 0
                or peer.heartbeat.orders_digest != orders_digest
                or (is_ahead and (has_waited or not log_reachable))
            ):
                self._request_peer_state(instance, have_offset, now)

    def request_state_from_all(self, have_offset: int) -> None:
        """Requests the state of every live peer, when the log or the list can't provide it."""
        now = self._clock.monotonic()
        for instance, _ in self._list_live_peers(now):
            self._request_peer_state(instance, have_offset, now)

    def has_newest_state(self, folded_offset: int) -> bool:
        """Returns whether no live peer has a newer state.

        Requires at least one ready peer, and replies from all ready peers.
        """
        now = self._clock.monotonic()
        if now - self._started_at < PEER_STATE_DELAY_S:
            return False
        live_peers = self._list_live_peers(now)
        ready = [instance for instance, peer in live_peers if peer.heartbeat.ready]
        return (
            bool(ready)
            and all(instance in self._peers_with_state for instance in ready)
            and all(peer.heartbeat.folded_offset <= folded_offset for _, peer in live_peers)
        )

    def allow_heartbeat(self, in_force_offset: int) -> bool:
        """Returns whether the next heartbeat is due, and counts it as sent.

        Changed progress is sent after a shorter interval, because operators wait for it.
        """
        now = self._clock.monotonic()
        has_progressed = in_force_offset != self._heartbeat_offset
        interval_s = PROGRESS_HEARTBEAT_INTERVAL_S if has_progressed else HEARTBEAT_INTERVAL_S
        if now - self._heartbeat_sent_at < interval_s:
            return False
        self._heartbeat_sent_at = now
        self._heartbeat_offset = in_force_offset
        return True

    def send_heartbeats(self, heartbeat: Heartbeat, recipients: Iterable[tuple[str, str]]) -> None:
        """Sends a heartbeat to (instance, data centre) pairs, with progress to remote ones."""
        now = self._clock.monotonic()
        self._set_progress(
            self._instance, Progress(self._data_centre, heartbeat.in_force_offset, now)
        )
        for instance, data_centre in recipients:
            self._send_heartbeat(heartbeat, instance, data_centre, now)

    def list_progress(self) -> dict[str, Progress]:
        """Returns the recent progress of every instance, including this one."""
        oldest = self._clock.monotonic() - PROGRESS_EXPIRY_S
        self._progress = {name: p for name, p in self._progress.items() if p.observed_at >= oldest}
        return dict(self._progress)

    def list_live(self) -> list[str]:
        """Returns the instances with a recent heartbeat."""
        return sorted(name for name, _ in self._list_live_peers(self._clock.monotonic()))

    def list_leaving(self) -> list[str]:
        """Returns the instances whose last heartbeat marks them as leaving."""
        return sorted(name for name, peer in self._peers.items() if peer.heartbeat.leaving)

    def _request_peer_state(self, instance: str, have_offset: int, now: float) -> None:
        if (
            now - self._state_requested_at.get(instance, -STATE_REQUEST_INTERVAL_S)
            < STATE_REQUEST_INTERVAL_S
        ):
            return
        self._state_requested_at[instance] = now
        request = StateRequest(have_offset=have_offset, wants_members=self.wants_members)
        self._send(ToPeer(instance, Envelope(state_request=request)))

    def _list_live_peers(self, now: float) -> list[tuple[str, _Peer]]:
        return [
            (name, peer)
            for name, peer in self._peers.items()
            if now - peer.received_at < PEER_TIMEOUT_S
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
            message.progress.extend(self._collect_due_progress(recipient, now))
        self._send(ToPeer(recipient, Envelope(heartbeat=message)))

    def _collect_due_progress(self, recipient: str, now: float) -> list[InstanceProgress]:
        current = {
            name: progress.in_force_offset
            for name, progress in self._progress.items()
            if progress.data_centre == self._data_centre
            and now - progress.observed_at < PROGRESS_EXPIRY_S
        }
        sent, sent_at = self._sent_progress.get(recipient, ({}, -PROGRESS_REFRESH_INTERVAL_S))
        age = now - sent_at
        if age < PROGRESS_INTERVAL_S or (current == sent and age < PROGRESS_REFRESH_INTERVAL_S):
            return []
        self._sent_progress[recipient] = current, now
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
    """Omits the documents if the requesting peer has them; orders and quarantine stay."""
    if have_offset < state.folded_offset:
        return state
    return StateReply(
        folded_offset=state.folded_offset, orders=state.orders, quarantine=state.quarantine
    )
