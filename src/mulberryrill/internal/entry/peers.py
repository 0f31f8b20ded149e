"""Exchanges loads, cache events and store records with the other entry instances over ZeroMQ.

Each report contains all loads of its instance, so a lost report is made up for by the next one.
Cache events and records of the platform's store carry their position, so that receivers detect
gaps.
"""

import logging
import traceback
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import Enum
from typing import Protocol, cast

import zmq
from google.protobuf.message import DecodeError

from ..core.rendezvous import rank_members
from ..core.serving.crashcauses import CrashCauses, SuspectCall, TargetEnd, Trait
from ..core.serving.departures import Departure, StartNews
from ..core.serving.loads import IDLE_REPORT_INTERVAL_S, LoadReport, LoadTable, build_report
from ..core.serving.namedversions import NamedVersion
from ..core.serving.targetlimits import LimitNews, TargetLimits
from ..core.serving.targettable import TargetRun
from ..eventloop import EventLoop
from ..events import Event
from ..ids import (
    DataCentre,
    Incarnation,
    InstanceId,
    ModelName,
    RequestId,
    StoreEra,
    TargetId,
    WeightVersion,
)
from ..logs import log_event
from ..schema.peers_pb2 import LoadReport as LoadReportMessage
from ..schema.peers_pb2 import LogFeed, LogRequest, PeerReport
from ..schema.peers_pb2 import NamedLimit as NamedLimitMessage
from ..schema.peers_pb2 import NamedVersion as NamedVersionMessage
from ..schema.peers_pb2 import TargetEnd as TargetEndMessage
from ..schema.peers_pb2 import TargetStart as TargetStartMessage
from .cachesharing import CacheSharing
from .originrecords import OriginRecords, decode_origin, encode_origin
from .targetupdates import TargetUpdates, find_leaving_run
from .versionchoice import VersionChoice

# Reports are sent at this interval, or less often if there are many peers, so that an instance
# receives at most MAX_REPORTS_PER_S reports per second.
REPORT_INTERVAL_S = 0.1
MAX_REPORTS_PER_S = 100.0
# Received messages are read at this interval, all at once: a turn of the event loop for each
# message costs more than the message itself.
RECEIVE_INTERVAL_S = 0.05
# With more peers than this, instances connect only to peers in their own data centre.
MAX_MESH_PEERS = 16
# Instances of each other data centre that send the counts of rollouts from there, if there are too
# many peers to connect to all.
RELAYS_PER_DATA_CENTRE = 2
HIGH_WATER_MARK = 100
# A connection that sends a larger message is closed. Full cache contents of all holders are the
# largest messages, about 1 MB.
MAX_MESSAGE_BYTES = 16_777_216
# Interval at which peers are told the ages of recently named model versions.
VERSION_AGES_INTERVAL_S = 0.5
# Peers are told of the limits that targets name at once, and again at this interval.
LIMITS_INTERVAL_S = 0.5
# Peers are told of a target's end at this interval, for this long.
END_REPORT_INTERVAL_S = 1.0
END_REPORT_DURATION_S = 10.0
# An instance asks its peers for earlier ends for this long after its start. They tell so many.
END_REQUEST_DURATION_S = 3.0
MAX_RETOLD_ENDS = 20
MS_PER_S = 1000
# ZeroMQ topic, the first frame of a message: its recipient, or this value for all peers. A message
# to one peer is not sent to the others, as they do not subscribe to its topic.
TOPIC_ALL = b"*"
# Counts of rollouts for other data centres.
TOPIC_RELAY = b"#"
HEARTBEAT_MS = 1000
HEARTBEAT_TIMEOUT_MS = 3000
_LOGGER = logging.getLogger(__name__)


@dataclass(frozen=True)
class Peer:
    """Another entry instance."""

    instance: InstanceId
    data_centre: DataCentre
    # IP:PORT at which it publishes its reports.
    address: str


class EndNews(Enum):
    """What a peer's report says about ends of targets."""

    # The peer knows of no call under which several targets have ended, or has told all ends.
    COMPLETE = "complete"
    # The peer knows of ends that it has not told.
    UNTOLD = "untold"

    @classmethod
    def find(cls, knows_ends: bool, tells_all_ends: bool) -> "EndNews":
        """Decodes the two fields of a report."""
        return cls.UNTOLD if knows_ends and not tells_all_ends else cls.COMPLETE


class SharedState(Protocol):
    """The state that reports are built from and applied to."""

    @property
    def loads(self) -> LoadTable:
        """Loads of the targets."""
        ...

    @property
    def cache_sharing(self) -> CacheSharing:
        """Cache events to send and to apply."""
        ...

    @property
    def target_updates(self) -> TargetUpdates:
        """Observations of targets to send and to apply."""
        ...

    @property
    def crash_causes(self) -> CrashCauses:
        """Ends of targets and answers to tell and to learn of."""
        ...

    @property
    def target_limits(self) -> TargetLimits:
        """Limits that targets named to this instance."""
        ...

    def apply_peer_leaving(self, run: TargetRun) -> None:
        """Applies that a target's response to a peer said that this incarnation leaves."""
        ...

    def apply_peer_limit(self, news: LimitNews) -> None:
        """Applies a limit that a target named to a peer."""
        ...

    def list_start_news(self) -> list[StartNews]:
        """Returns the targets that have left or started again a short time ago."""
        ...

    def apply_start_news(self, news: StartNews) -> None:
        """Applies what a peer knows of such a target to this instance, which has just started."""
        ...

    @property
    def carried_topics(self) -> list[str]:
        """Topics of which this instance knows records that the restored store has lost."""
        ...

    @property
    def store_era(self) -> StoreEra | None:
        """The era of the store that this instance follows; None: no response stated one."""
        ...

    def on_peer_report(
        self,
        instance: InstanceId,
        carried_topics: set[str],
        ends: "EndNews",
        store_era: StoreEra | None,
    ) -> None:
        """A peer reported, with the topics of which it knows records that the store has lost.

        ``store_era`` is the era of the store that the peer follows.
        """
        ...

    def apply_peer_ends(self, ends: list[TargetEnd]) -> None:
        """Adds ends of targets that a peer has seen."""
        ...

    def apply_unproven_end(self, end: TargetEnd) -> None:
        """Adds an end of which a peer has no proof yet."""
        ...

    @property
    def origin_records(self) -> OriginRecords:
        """Versions of streams to tell and to learn."""
        ...

    @property
    def version_choice(self) -> VersionChoice:
        """Counts of the rollouts in force to tell and to learn."""
        ...

    def list_recent_versions(self) -> list[NamedVersion]:
        """Returns the recently named model versions with their ages."""
        ...

    def apply_peer_version(self, named: NamedVersion) -> None:
        """Applies the age of a model version as a peer knows it."""
        ...


class PeerExchange:
    """Publishes this instance's reports and subscribes to those of its peers."""

    def __init__(self, loop: EventLoop, local_peer: Peer, state: SharedState) -> None:
        self._loop = loop
        self._local_peer = local_peer
        self._state = state
        self._context = zmq.Context()
        self._publisher = self._context.socket(zmq.PUB)
        self._subscriber = self._context.socket(zmq.SUB)
        self._connected: set[str] = set()
        # Instances whose counts of rollouts arrive, directly or by relays; addresses of the relays
        # of other data centres, and whether this instance is a relay of its own one.
        self._heard_instances = {local_peer.instance}
        self._relay_subscriber = self._context.socket(zmq.SUB)
        self._relays: set[str] = set()
        self._connected_relays: set[str] = set()
        self._relayed_instances: list[InstanceId] = []
        self._is_closed = False
        self.on_log_feed: Callable[[InstanceId, LogFeed], None] | None = None
        self.on_log_request: Callable[[InstanceId, LogRequest], None] | None = None
        self._last_sent_at = float("-inf")
        self._version_ages_sent_at = float("-inf")
        self._ends_sent_at = float("-inf")
        self._sent_ends: list[TargetEnd] = []
        self._started_at = loop.now()
        # Whether a peer that has just started asked for earlier ends.
        self._must_retell_ends = False
        self._limits_sent_at = float("-inf")
        self._sent_limits: dict[TargetRun, float | None] = {}

    @property
    def local_peer(self) -> Peer:
        """This instance."""
        return self._local_peer

    def start(self) -> None:
        """Opens the sockets; raises zmq.ZMQError."""
        for sock in (self._publisher, self._subscriber, self._relay_subscriber):
            sock.setsockopt(zmq.LINGER, 0)
            sock.setsockopt(zmq.HEARTBEAT_IVL, HEARTBEAT_MS)
            sock.setsockopt(zmq.HEARTBEAT_TIMEOUT, HEARTBEAT_TIMEOUT_MS)
        self._publisher.setsockopt(zmq.SNDHWM, HIGH_WATER_MARK)
        for sock in (self._subscriber, self._relay_subscriber):
            sock.setsockopt(zmq.RCVHWM, HIGH_WATER_MARK)
            sock.setsockopt(zmq.MAXMSGSIZE, MAX_MESSAGE_BYTES)
        self._relay_subscriber.setsockopt(zmq.SUBSCRIBE, TOPIC_RELAY)
        self._subscriber.setsockopt(zmq.SUBSCRIBE, TOPIC_ALL)
        self._subscriber.setsockopt(zmq.SUBSCRIBE, _encode_topic(self._local_peer.instance))
        self._publisher.bind(f"tcp://{self._local_peer.address}")
        self._loop.call_every(RECEIVE_INTERVAL_S, self._receive)
        self._loop.call_later(REPORT_INTERVAL_S, self._publish_report)

    def close(self) -> None:
        """Closes the sockets."""
        self._is_closed = True
        self._publisher.close()
        self._subscriber.close()
        self._relay_subscriber.close()
        self._context.term()

    def set_peers(self, peers: list[Peer]) -> None:
        """Connects to new peers and disconnects from removed ones."""
        others = [peer for peer in peers if peer.instance != self._local_peer.instance]
        if len(others) > MAX_MESH_PEERS:
            others = [peer for peer in others if peer.data_centre == self._local_peer.data_centre]
        addresses = {peer.address for peer in others}
        self._heard_instances = {self._local_peer.instance, *(p.instance for p in peers)}
        self._choose_relays(peers, is_mesh=len(others) == len(self._heard_instances) - 1)
        for address in addresses - self._connected:
            self._subscriber.connect(f"tcp://{address}")
        for address in self._connected - addresses:
            self._subscriber.disconnect(f"tcp://{address}")
        self._connected = addresses

    def _choose_relays(self, peers: list[Peer], *, is_mesh: bool) -> None:
        """Chooses by which instances the counts of rollouts go between data centres."""
        self._relays, self._relayed_instances = set(), []
        if is_mesh:
            return
        by_data_centre: dict[DataCentre, dict[InstanceId, str]] = {}
        for peer in peers:
            by_data_centre.setdefault(peer.data_centre, {})[peer.instance] = peer.address
        for data_centre, addresses in by_data_centre.items():
            relays = rank_members(f"relay/{data_centre}", addresses)[:RELAYS_PER_DATA_CENTRE]
            if data_centre != self._local_peer.data_centre:
                self._relays |= {addresses[instance] for instance in relays}
            elif self._local_peer.instance in relays:
                self._relayed_instances = sorted(addresses)

    def _connect_relays(self) -> None:
        """Connects to the relays of other data centres while a software version is rolled out."""
        wanted = self._relays if self._state.version_choice.is_counting else set()
        for address in wanted - self._connected_relays:
            self._relay_subscriber.connect(f"tcp://{address}")
        for address in self._connected_relays - wanted:
            self._relay_subscriber.disconnect(f"tcp://{address}")
        self._connected_relays = set(wanted)

    def list_heard(self, instances: Iterable[InstanceId]) -> list[InstanceId]:
        """Returns those of the instances whose counts of rollouts arrive, and this one."""
        return [instance for instance in instances if instance in self._heard_instances]

    def publish_end(self, end: TargetEnd, is_proven: bool) -> None:
        """Tells peers of a target's end at once: others may run the call that ended it."""
        report = self._build_report()
        message = _encode_end(end, self._loop.boottime())
        message.is_unproven = not is_proven
        report.target_ends.append(message)
        report.has_only_ends = True
        self._send(report)

    def _publish_report(self) -> None:
        if self._is_closed:
            return
        peer_count = len(self._connected) + 1
        interval = compute_report_interval(peer_count, peer_count)
        self._loop.call_later(interval, self._publish_report)
        report = self._build_report()
        report.carried_topics.extend(self._state.carried_topics)
        if (era := self._state.store_era) is not None:
            report.store_era = era
        _encode_loads(build_report(self._state.loads.get_own_loads()), report.loads)
        now = self._loop.now()
        report.caches.extend(self._state.cache_sharing.pop_updates())
        report.updates.extend(self._state.target_updates.pop_updates(now))
        if missing := self._state.cache_sharing.pop_missing_holders():
            report.cache_request.holders.extend(missing)
        self._add_version_ages(report, now)
        self._add_crashes(report, now)
        self._add_limits(report, now)
        report.begun_streams.extend(map(encode_origin, self._state.origin_records.pop_news()))
        self._add_rollouts(report, now)
        has_content = (
            report.loads.targets
            or report.caches
            or report.updates
            or report.named_versions
            or report.target_ends
            or report.answered_traits
            or report.named_limits
            or report.HasField("cache_request")
            or report.begun_streams
            or report.wants_ends
            or report.tells_all_ends
            or report.rollouts
        )
        if has_content or now - self._last_sent_at >= IDLE_REPORT_INTERVAL_S:
            self._last_sent_at = now
            self._send(report)

    def _add_rollouts(self, report: PeerReport, now: float) -> None:
        """Adds the counts of rollouts, and sends those of the data centre to the other ones."""
        self._connect_relays()
        report.rollouts.extend(self._state.version_choice.pop_reports(now))
        if report.rollouts and self._relayed_instances:
            relayed = self._build_report()
            relayed.is_relay = True
            relayed.rollouts.extend(
                self._state.version_choice.list_relayed(self._relayed_instances)
            )
            self._send(relayed, TOPIC_RELAY)

    def _add_version_ages(self, report: PeerReport, now: float) -> None:
        if now - self._version_ages_sent_at < VERSION_AGES_INTERVAL_S:
            return
        self._version_ages_sent_at = now
        for named in self._state.list_recent_versions():
            report.named_versions.add(
                model=named.model, version=named.version, age_ms=round(named.age_s * MS_PER_S)
            )

    def _add_crashes(self, report: PeerReport, now: float) -> None:
        """Adds the targets that this instance has seen end, and answers to calls like theirs."""
        causes, boottime = self._state.crash_causes, self._loop.boottime()
        for trait, answered_at in causes.pop_answers(boottime):
            report.answered_traits.add(trait=trait, age_ms=_encode_age(boottime - answered_at))
        report.wants_ends = now - self._started_at < END_REQUEST_DURATION_S
        ends = causes.list_own_ends(END_REPORT_DURATION_S, boottime)
        report.knows_ends = causes.has_repeated_suspect
        if self._must_retell_ends:
            self._must_retell_ends = False
            report.tells_all_ends = True
            earlier = [end for end in causes.list_newest_ends(MAX_RETOLD_ENDS) if end not in ends]
            report.target_ends.extend(_encode_end(end, boottime) for end in earlier)
            report.target_starts.extend(map(_encode_start, self._state.list_start_news()))
        # Messages can get lost while connections are established, so recent ends are repeated.
        is_due = now - self._ends_sent_at >= END_REPORT_INTERVAL_S
        if ends and (is_due or ends != self._sent_ends):
            self._ends_sent_at = now
            report.target_ends.extend(_encode_end(end, boottime) for end in ends)
        self._sent_ends = ends

    def _add_limits(self, report: PeerReport, now: float) -> None:
        """Adds the limits that targets named to this instance; they are repeated like ends."""
        news = self._state.target_limits.list_own_news()
        limits = {item.run: item.rate for item in news}
        is_due = now - self._limits_sent_at >= LIMITS_INTERVAL_S
        if news and (is_due or limits != self._sent_limits):
            self._limits_sent_at = now
            boottime = self._loop.boottime()
            report.named_limits.extend(_encode_limit(item, boottime) for item in news)
        self._sent_limits = limits

    def send_log_feed(self, feed: LogFeed, instance: InstanceId | None) -> None:
        """Sends records of the platform's store at once, to one peer or, with None, to all."""
        report = self._build_report()
        report.feeds.append(feed)
        self._send(report, TOPIC_ALL if instance is None else _encode_topic(instance))

    def send_log_request(self, request: LogRequest) -> None:
        """Requests from the peers records of the platform's store that this instance is missing."""
        report = self._build_report()
        report.requests.append(request)
        self._send(report)

    def _build_report(self) -> PeerReport:
        return PeerReport(
            instance=self._local_peer.instance, data_centre=self._local_peer.data_centre
        )

    def _send(self, report: PeerReport, topic: bytes = TOPIC_ALL) -> None:
        if not self._is_closed:
            self._publisher.send_multipart([topic, report.SerializeToString()], zmq.NOBLOCK)

    def _receive(self) -> None:
        """Handles all messages that have arrived."""
        self._receive_from(self._subscriber)
        if self._connected_relays:
            self._receive_from(self._relay_subscriber)

    def _receive_from(self, subscriber: "zmq.Socket[bytes]") -> None:
        while not self._is_closed:
            try:
                frames = subscriber.recv_multipart(zmq.NOBLOCK)
            except zmq.Again:
                return
            try:
                self._handle_report(frames[-1])
            except Exception as error:  # One report must not delay those that follow.
                log_event(
                    _LOGGER,
                    logging.ERROR,
                    Event.TASK_FAILED,
                    f"a peer report could not be applied: {error!r}",
                    traceback=traceback.format_exc(),
                )

    def _handle_report(self, data: bytes) -> None:
        report = PeerReport()
        try:
            report.ParseFromString(data)
        except DecodeError as error:
            log_event(
                _LOGGER, logging.WARNING, Event.MESSAGE_REJECTED, f"invalid peer report: {error}"
            )
            return
        if report.has_only_ends:
            self._apply_ends(report)
            return
        if report.is_relay:
            self._apply_rollouts(report)
            return
        if not (report.feeds or report.requests or report.answers_request):
            self._apply_loads(report)
        if report.data_centre != self._local_peer.data_centre:
            # Readers of this data centre may notice last that the store was restored.
            self._handle_feeds(report, [feed for feed in report.feeds if feed.is_carried])
            return
        for update in report.caches:
            self._state.cache_sharing.apply(update)
        if report.HasField("cache_request"):
            self._send_full_updates(report)
        self._handle_log_messages(report)

    def _apply_loads(self, report: PeerReport) -> None:
        """Applies a peer's loads and its observations of targets."""
        now = self._loop.now()
        end_news = EndNews.find(report.knows_ends, report.tells_all_ends)
        era = StoreEra(report.store_era) if report.HasField("store_era") else None
        self._state.on_peer_report(
            InstanceId(report.instance), set(report.carried_topics), end_news, era
        )
        loads = _decode_loads(report.loads)
        if loads is not None:
            self._state.loads.apply_report(InstanceId(report.instance), loads, now)
        for update in report.updates:
            self._state.target_updates.apply(update, now)
            if (run := find_leaving_run(update)) is not None:
                self._state.apply_peer_leaving(run)
        for named in report.named_versions:
            self._state.apply_peer_version(_decode_named_version(named))
        boottime = self._loop.boottime()
        for answered in report.answered_traits:
            answered_at = boottime - answered.age_ms / MS_PER_S
            self._state.crash_causes.record_peer_answer(Trait(answered.trait), answered_at)
        for limit in report.named_limits:
            self._state.apply_peer_limit(_decode_limit(limit, boottime))
        self._must_retell_ends |= report.wants_ends
        self._apply_rollouts(report)
        self._state.origin_records.apply_peer_origins(map(decode_origin, report.begun_streams))
        self._apply_ends(report)
        if now - self._started_at < END_REQUEST_DURATION_S:
            for start in report.target_starts:
                self._state.apply_start_news(_decode_start(start))

    def _apply_rollouts(self, report: PeerReport) -> None:
        self._state.version_choice.apply_reports(InstanceId(report.instance), report.rollouts)

    def _apply_ends(self, report: PeerReport) -> None:
        boottime = self._loop.boottime()
        proved = [end for end in report.target_ends if not end.is_unproven]
        if proved:
            self._state.apply_peer_ends([_decode_end(end, boottime) for end in proved])
        for end in report.target_ends:
            if end.is_unproven:
                self._state.apply_unproven_end(_decode_end(end, boottime))

    def _send_full_updates(self, request: PeerReport) -> None:
        """Sends a peer the full cache contents of the holders that it requests."""
        instance = InstanceId(request.instance)
        updates = self._state.cache_sharing.build_full_updates(
            instance, list(request.cache_request.holders)
        )
        if updates:
            response = self._build_report()
            response.answers_request = True
            response.caches.extend(updates)
            self._send(response, _encode_topic(instance))

    def _handle_feeds(self, report: PeerReport, feeds: Iterable[LogFeed]) -> None:
        for feed in feeds:
            if self.on_log_feed is not None:
                self.on_log_feed(InstanceId(report.instance), feed)

    def _handle_log_messages(self, report: PeerReport) -> None:
        """Passes on store records, and requests for them, that a peer sent."""
        self._handle_feeds(report, report.feeds)
        for request in report.requests:
            if self.on_log_request is not None:
                self.on_log_request(InstanceId(report.instance), request)


def _encode_loads(loads: LoadReport, message: LoadReportMessage) -> None:
    message.targets.extend(loads.targets)
    message.held_tokens.extend(loads.held_tokens)
    message.running.extend(loads.running)
    message.pending_positions.extend(position for position, _, _ in loads.pending)
    message.pending_priorities.extend(priority for _, priority, _ in loads.pending)
    message.pending_tokens.extend(tokens for _, _, tokens in loads.pending)


def _decode_loads(message: LoadReportMessage) -> LoadReport | None:
    """Returns the loads; None if the lists do not fit together."""
    targets = cast(list[TargetId], list(message.targets))
    count = len(targets)
    held, running = list(message.held_tokens), list(message.running)
    positions = list(message.pending_positions)
    priorities, tokens = list(message.pending_priorities), list(message.pending_tokens)
    if (
        not len(held) == len(running) == count
        or not len(priorities) == len(tokens) == len(positions)
        or (positions and not 0 <= min(positions) <= max(positions) < count)
    ):
        log_event(_LOGGER, logging.WARNING, Event.MESSAGE_REJECTED, "invalid loads of a peer")
        return None
    pending = list(zip(positions, priorities, tokens, strict=True))
    return LoadReport(targets, held, running, pending)


def _decode_named_version(message: NamedVersionMessage) -> NamedVersion:
    return NamedVersion(
        ModelName(message.model), WeightVersion(message.version), message.age_ms / MS_PER_S
    )


def compute_report_interval(instance_count: int, local_count: int) -> float:
    """Returns the seconds between two reports, from the number of instances and of local ones."""
    is_mesh = instance_count - 1 <= MAX_MESH_PEERS
    peer_count = (instance_count if is_mesh else local_count) - 1
    return max(REPORT_INTERVAL_S, peer_count / MAX_REPORTS_PER_S)


def _encode_age(age_s: float) -> int:
    return max(0, round(age_s * MS_PER_S))


def _encode_end(end: TargetEnd, boottime: float) -> TargetEndMessage:
    message = TargetEndMessage(
        target=end.run.target,
        incarnation=end.run.incarnation,
        age_ms=_encode_age(boottime - end.ended_at),
    )
    for suspect in end.suspects:
        message.suspects.add(
            request=suspect.request,
            fingerprint=suspect.fingerprint,
            parts=suspect.parts,
            own_part=suspect.own_part,
            variants=suspect.variants,
        )
    return message


def _decode_end(message: TargetEndMessage, boottime: float) -> TargetEnd:
    suspects = tuple(
        SuspectCall(
            RequestId(suspect.request),
            Trait(suspect.fingerprint),
            tuple(Trait(part) for part in suspect.parts),
            suspect.own_part,
            tuple(Trait(variant) for variant in suspect.variants),
        )
        for suspect in message.suspects
    )
    run = TargetRun(TargetId(message.target), Incarnation(message.incarnation))
    return TargetEnd(run, boottime - message.age_ms / MS_PER_S, suspects)


def _encode_start(news: StartNews) -> TargetStartMessage:
    return TargetStartMessage(
        target=news.run.target,
        incarnation=news.run.incarnation,
        started_ms=news.started_ms,
        departure=news.departure.value if news.departure is not None else "",
        age_ms=_encode_age(news.age_s),
    )


def _decode_start(message: TargetStartMessage) -> StartNews:
    """Decodes a target's start; raises ValueError for an unknown departure."""
    return StartNews(
        TargetRun(TargetId(message.target), Incarnation(message.incarnation)),
        message.started_ms,
        Departure(message.departure) if message.departure else None,
        message.age_ms / MS_PER_S,
    )


def _encode_limit(news: LimitNews, boottime: float) -> NamedLimitMessage:
    return NamedLimitMessage(
        target=news.run.target,
        incarnation=news.run.incarnation,
        calls_per_s=news.rate,
        age_ms=_encode_age(boottime - news.named_at),
    )


def _decode_limit(message: NamedLimitMessage, boottime: float) -> LimitNews:
    return LimitNews(
        TargetRun(TargetId(message.target), Incarnation(message.incarnation)),
        message.calls_per_s if message.HasField("calls_per_s") else None,
        boottime - message.age_ms / MS_PER_S,
        is_own=False,
    )


def _encode_topic(instance: InstanceId) -> bytes:
    """Returns an instance's topic. Topics match by prefix, so the name needs an end mark."""
    return b"@" + instance.encode() + b"|"
