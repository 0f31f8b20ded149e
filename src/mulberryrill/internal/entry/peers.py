"""Tells the other entry instances what this one does and has read, over ZeroMQ.

A report says all of its instance's loads, so a lost one is replaced by the next. What was read of
cache events and of the platform's log carries its position, so that a gap shows.
"""

import logging
import select
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

import zmq
from google.protobuf.message import DecodeError

from ..core.serving.loads import IDLE_REPORT_INTERVAL_S, LoadTable, TargetLoad
from ..eventloop import EventLoop
from ..events import Event
from ..ids import DataCentre, InstanceId, TargetId
from ..logs import log_event
from ..schema.peers_pb2 import LogFeed, LogRequest, PeerReport
from .cachesharing import CacheSharing
from .targetupdates import TargetUpdates

# Reports are sent at this interval, and more slowly among many peers, so that an instance takes at
# most MAX_RECEIVED_PER_S reports a second.
REPORT_INTERVAL_S = 0.1
MAX_RECEIVED_PER_S = 100.0
# With more instances than this, reports go only to those of the own data centre.
MAX_MESH = 16
HIGH_WATER_MARK = 100
# The first frame of a message names its recipient; others are not sent it.
TO_ALL = b"*"
HEARTBEAT_MS = 1000
HEARTBEAT_TIMEOUT_MS = 3000
_LOGGER = logging.getLogger(__name__)


@dataclass(frozen=True)
class Peer:
    """Another entry instance."""

    instance: InstanceId
    data_centre: DataCentre
    # IP:PORT of its reports.
    address: str


class SharedState(Protocol):
    """What reports are written from and read into."""

    @property
    def loads(self) -> LoadTable:
        """Loads of the targets."""
        ...

    @property
    def cache_sharing(self) -> CacheSharing:
        """Cache events to pass on and to take over."""
        ...

    @property
    def target_updates(self) -> TargetUpdates:
        """What was learned from targets' answers."""
        ...


class PeerExchange:
    """Publishes this instance's reports and subscribes to its peers'."""

    def __init__(self, loop: EventLoop, local_peer: Peer, state: SharedState) -> None:
        self._loop = loop
        self._local_peer = local_peer
        self._state = state
        self._context = zmq.Context()
        self._publisher = self._context.socket(zmq.PUB)
        self._subscriber = self._context.socket(zmq.SUB)
        self._connected: set[str] = set()
        self._descriptor = -1
        self._is_closed = False
        self.on_log_feed: Callable[[LogFeed], None] | None = None
        self.on_log_request: Callable[[InstanceId, LogRequest], None] | None = None
        self._sent_at = float("-inf")

    @property
    def local_peer(self) -> Peer:
        """This instance."""
        return self._local_peer

    def start(self) -> None:
        """Opens the sockets; raises zmq.ZMQError."""
        for sock in (self._publisher, self._subscriber):
            sock.setsockopt(zmq.LINGER, 0)
            sock.setsockopt(zmq.HEARTBEAT_IVL, HEARTBEAT_MS)
            sock.setsockopt(zmq.HEARTBEAT_TIMEOUT, HEARTBEAT_TIMEOUT_MS)
        self._publisher.setsockopt(zmq.SNDHWM, HIGH_WATER_MARK)
        self._subscriber.setsockopt(zmq.RCVHWM, HIGH_WATER_MARK)
        self._subscriber.setsockopt(zmq.SUBSCRIBE, TO_ALL)
        self._subscriber.setsockopt(zmq.SUBSCRIBE, _write_recipient(self._local_peer.instance))
        self._publisher.bind(f"tcp://{self._local_peer.address}")
        self._descriptor = self._subscriber.fileno()
        self._loop.watch(self._descriptor, select.EPOLLIN, self._receive)
        self._loop.call_later(REPORT_INTERVAL_S, self._report)

    def close(self) -> None:
        """Closes the sockets."""
        self._is_closed = True
        self._loop.unwatch(self._descriptor)
        self._publisher.close()
        self._subscriber.close()
        self._context.term()

    def set_peers(self, peers: list[Peer]) -> None:
        """Connects to new peers and leaves those that are gone."""
        others = [peer for peer in peers if peer.instance != self._local_peer.instance]
        if len(others) > MAX_MESH:
            others = [peer for peer in others if peer.data_centre == self._local_peer.data_centre]
        wanted = {peer.address for peer in others}
        for address in wanted - self._connected:
            self._subscriber.connect(f"tcp://{address}")
        for address in self._connected - wanted:
            self._subscriber.disconnect(f"tcp://{address}")
        self._connected = wanted
        self._receive(0)

    def _report(self) -> None:
        if self._is_closed:
            return
        interval = max(REPORT_INTERVAL_S, len(self._connected) / MAX_RECEIVED_PER_S)
        self._loop.call_later(interval, self._report)
        report = self._create_report()
        for target, own_load in self._state.loads.list_own().items():
            load = report.targets.add(
                target=target, held_tokens=own_load.held_tokens, running=own_load.running
            )
            for priority, tokens in own_load.pending.items():
                load.pending.add(priority=priority, pending_tokens=tokens)
        now = self._loop.now()
        report.caches.extend(self._state.cache_sharing.take_updates())
        report.updates.extend(self._state.target_updates.take(now))
        if missing := self._state.cache_sharing.take_missing_holders():
            report.cache_request.holders.extend(missing)
        has_content = (
            report.targets or report.caches or report.updates or report.HasField("cache_request")
        )
        if has_content or now - self._sent_at >= IDLE_REPORT_INTERVAL_S:
            self._sent_at = now
            self._send(report)

    def send_log_feed(self, feed: LogFeed, instance: InstanceId | None) -> None:
        """Passes on at once what was read of the platform's log, to one peer or to all."""
        report = self._create_report()
        report.feeds.append(feed)
        self._send(report, TO_ALL if instance is None else _write_recipient(instance))

    def send_log_request(self, request: LogRequest) -> None:
        """Asks the peers for records of the platform's log that this instance misses."""
        report = self._create_report()
        report.requests.append(request)
        self._send(report)

    def _create_report(self) -> PeerReport:
        return PeerReport(
            instance=self._local_peer.instance, data_centre=self._local_peer.data_centre
        )

    def _send(self, report: PeerReport, recipient: bytes = TO_ALL) -> None:
        if not self._is_closed:
            self._publisher.send_multipart([recipient, report.SerializeToString()], zmq.NOBLOCK)

    def _receive(self, mask: int) -> None:
        # The descriptor is edge-triggered: all messages must be taken.
        while True:
            try:
                frames = self._subscriber.recv_multipart(zmq.NOBLOCK)
            except zmq.Again:
                return
            self._take(frames[-1])

    def _take(self, data: bytes) -> None:
        report = PeerReport()
        try:
            report.ParseFromString(data)
        except DecodeError as error:
            log_event(_LOGGER, logging.WARNING, Event.MESSAGE_REJECTED, f"peer report: {error}")
            return
        if not (report.feeds or report.requests or report.answers_request):
            self._take_loads(report)
        if report.data_centre != self._local_peer.data_centre:
            return
        for update in report.caches:
            self._state.cache_sharing.apply(update)
        if report.HasField("cache_request"):
            self._answer_caches(report)
        self._take_log(report)

    def _take_loads(self, report: PeerReport) -> None:
        """Takes a peer's loads and what it has learned from targets."""
        loads = {
            TargetId(load.target): TargetLoad(
                {item.priority: item.pending_tokens for item in load.pending},
                load.held_tokens,
                load.running,
            )
            for load in report.targets
        }
        now = self._loop.now()
        self._state.loads.apply_report(InstanceId(report.instance), loads, now)
        for updates in report.updates:
            self._state.target_updates.apply(updates, now)

    def _answer_caches(self, request: PeerReport) -> None:
        """Sends a peer all that this instance knows of the holders that it asks for."""
        instance = InstanceId(request.instance)
        updates = self._state.cache_sharing.answer(instance, list(request.cache_request.holders))
        if updates:
            answer = self._create_report()
            answer.answers_request = True
            answer.caches.extend(updates)
            self._send(answer, _write_recipient(instance))

    def _take_log(self, report: PeerReport) -> None:
        """Takes records of the platform's log, or a peer's request for them."""
        for feed in report.feeds:
            if self.on_log_feed is not None:
                self.on_log_feed(feed)
        for request in report.requests:
            if self.on_log_request is not None:
                self.on_log_request(InstanceId(report.instance), request)


def _write_recipient(instance: InstanceId) -> bytes:
    """Returns the first frame of a message; its end keeps one name from being part of another."""
    return b"@" + instance.encode() + b"|"
