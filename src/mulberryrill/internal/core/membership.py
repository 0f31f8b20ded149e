"""Known entry instances and targets, and those that this instance connects to or polls."""

from collections.abc import Sequence

from ..ids import DataCentre, InstanceId
from ..schema.wire_pb2 import Heartbeat, Member, MemberKind, MemberState
from .rendezvous import rank_members

# Peers in each other data centre; with two, it stays connected if one fails.
PEERS_PER_REMOTE_DATA_CENTRE = 2
# Number of instances that poll each target.
WATCHERS_PER_TARGET = 2
# An instance counts as silent if its last heartbeat, of several per second, is older than this.
HEARTBEAT_TIMEOUT_S = 3.0

TARGET_KINDS = (MemberKind.engine, MemberKind.service)


class Membership:
    """Merges the platform's member list with the heartbeats of peers.

    The list lags, so heartbeats show first that a peer is leaving or has failed. While the list is
    unreachable, the last one stays in use.
    """

    def __init__(self, instance: InstanceId, data_centre: DataCentre) -> None:
        self._instance = instance
        self._data_centre = data_centre
        self._members: dict[str, Member] = {}
        self._listed_since: dict[str, float] = {}
        self._heartbeats: dict[InstanceId, tuple[float, Heartbeat]] = {}
        self._now = 0.0
        self._watch_inputs: tuple[frozenset[InstanceId], tuple[str, ...]] = (frozenset(), ())
        self._watched_ids: set[str] = set()

    def update_members(self, members: Sequence[Member], now: float) -> None:
        """Replaces the members by those of the platform's member list."""
        self._now = max(self._now, now)
        self._members = {member.id: member for member in members}
        self._listed_since = {id_: self._listed_since.get(id_, now) for id_ in self._members}
        self._prune_heartbeats()

    def on_heartbeat(self, heartbeat: Heartbeat, now: float) -> None:
        """Records a peer's heartbeat, which shows that it is alive and whether it is leaving."""
        self._now = max(self._now, now)
        self._heartbeats[InstanceId(heartbeat.instance)] = (now, heartbeat)

    def list_peers(self) -> list[InstanceId]:
        """Returns the other instances of this data centre and two of each other data centre."""
        by_data_centre: dict[str, list[InstanceId]] = {}
        for instance, data_centre in self._list_entry_instances():
            if instance != self._instance:
                by_data_centre.setdefault(data_centre, []).append(instance)
        peers = by_data_centre.pop(self._data_centre, [])
        for instances in by_data_centre.values():
            usable = [i for i in instances if not self._is_silent(i)] or instances
            peers.extend(rank_members(self._instance, usable)[:PEERS_PER_REMOTE_DATA_CENTRE])
        return sorted(peers)

    def list_local_instances(self) -> list[InstanceId]:
        """Returns the entry instances of this data centre that may use its targets.

        These are all listed ones, including silent or leaving ones, which may still run requests,
        and unlisted ones with a recent heartbeat, because the list lags.
        """
        return [i for i, d in self._list_entry_instances() if d == self._data_centre]

    def list_watched_targets(self) -> list[Member]:
        """Returns the targets of this data centre that this instance polls."""
        watchers = {i for i in self.list_local_instances() if self._can_watch(i)} | {self._instance}
        targets = self.list_targets()
        # The result is cached: ranking hashes each pair of target and watcher, which rarely change.
        inputs = (frozenset(watchers), tuple(t.id for t in targets))
        if inputs != self._watch_inputs:
            self._watch_inputs = inputs
            self._watched_ids = {
                id_
                for id_ in inputs[1]
                if self._instance in rank_members(id_, watchers)[:WATCHERS_PER_TARGET]
            }
        return [t for t in targets if t.id in self._watched_ids]

    def list_targets(self) -> list[Member]:
        """Returns the listed targets of this data centre, including leaving ones."""
        return [
            m
            for _, m in sorted(self._members.items())
            if m.kind in TARGET_KINDS and m.data_centre == self._data_centre
        ]

    def count_live_instances(self) -> int:
        """Returns the number of live entry instances of the whole deployment, at least 1."""
        live = {
            m.id
            for m in self._members.values()
            if m.kind == MemberKind.entry and not self._is_leaving(InstanceId(m.id))
        }
        return max(1, len(live))

    def _list_entry_instances(self) -> list[tuple[InstanceId, str]]:
        """Returns listed instances and unlisted ones with a recent heartbeat, with data centre."""
        data_centres = {
            InstanceId(m.id): m.data_centre
            for m in self._members.values()
            if m.kind == MemberKind.entry
        }
        for instance, (_, heartbeat) in self._heartbeats.items():
            if not self._is_silent(instance):
                data_centres.setdefault(instance, heartbeat.data_centre)
        return sorted(data_centres.items())

    def _can_watch(self, instance: InstanceId) -> bool:
        return not self._is_silent(instance) and not self._is_leaving(instance)

    def _is_leaving(self, instance: InstanceId) -> bool:
        """Returns whether the list or the instance's own heartbeat marks it as leaving."""
        received = self._heartbeats.get(instance)
        member = self._members.get(instance)
        is_listed_leaving = member is not None and member.state == MemberState.leaving
        return is_listed_leaving or (received is not None and received[1].leaving)

    def _is_silent(self, instance: InstanceId) -> bool:
        """Returns whether no heartbeat came in time; the first one is due after a new listing."""
        received = self._heartbeats.get(instance)
        last_heard_at = (
            self._listed_since.get(instance, self._now) if received is None else received[0]
        )
        return instance != self._instance and self._now - last_heard_at > HEARTBEAT_TIMEOUT_S

    def _prune_heartbeats(self) -> None:
        for instance in list(self._heartbeats):
            if instance not in self._members and self._is_silent(instance):
                del self._heartbeats[instance]
