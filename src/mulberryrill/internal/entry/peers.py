"""Exchanges load reports with the other entry instances over ZeroMQ.

A report says all that its instance knows, so a lost one is replaced by the next.
"""

import logging
import select
from dataclasses import dataclass

import zmq
from google.protobuf.message import DecodeError

from ..core.serving.loads import LoadBoard, TargetLoad
from ..eventloop import EventLoop
from ..events import Event
from ..ids import DataCentre, InstanceId, TargetId
from ..logs import log_event
from ..schema.peers_pb2 import LoadReport

# Reports are sent at this interval, and more slowly among many peers, so that an instance takes at
# most MAX_RECEIVED_PER_S reports a second.
REPORT_INTERVAL_S = 0.1
MAX_RECEIVED_PER_S = 100.0
# With more instances than this, reports go only to those of the own data centre.
MAX_MESH = 16
HIGH_WATER_MARK = 100
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


class PeerExchange:
    """Publishes this instance's load and subscribes to its peers."""

    def __init__(self, loop: EventLoop, own: Peer, loads: LoadBoard) -> None:
        self._loop = loop
        self._own = own
        self._loads = loads
        self._context = zmq.Context()
        self._publisher = self._context.socket(zmq.PUB)
        self._subscriber = self._context.socket(zmq.SUB)
        self._connected: set[str] = set()
        self._descriptor = -1
        self._is_closed = False
        self._sent_empty = False

    def start(self) -> None:
        """Opens the sockets; raises zmq.ZMQError."""
        for sock in (self._publisher, self._subscriber):
            sock.setsockopt(zmq.LINGER, 0)
            sock.setsockopt(zmq.HEARTBEAT_IVL, HEARTBEAT_MS)
            sock.setsockopt(zmq.HEARTBEAT_TIMEOUT, HEARTBEAT_TIMEOUT_MS)
        self._publisher.setsockopt(zmq.SNDHWM, HIGH_WATER_MARK)
        self._subscriber.setsockopt(zmq.RCVHWM, HIGH_WATER_MARK)
        self._subscriber.setsockopt(zmq.SUBSCRIBE, b"")
        self._publisher.bind(f"tcp://{self._own.address}")
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
        others = [peer for peer in peers if peer.instance != self._own.instance]
        if len(others) > MAX_MESH:
            others = [peer for peer in others if peer.data_centre == self._own.data_centre]
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
        report = LoadReport(instance=self._own.instance)
        for target, own in self._loads.list_own().items():
            load = report.targets.add(target=target, held_tokens=own.held_tokens)
            for priority, tokens in own.pending.items():
                load.pending.add(priority=priority, pending_tokens=tokens)
        # One empty report tells that nothing is pending; more of them would say no more.
        is_empty = not report.targets
        if not (is_empty and self._sent_empty):
            self._publisher.send(report.SerializeToString(), zmq.NOBLOCK)
        self._sent_empty = is_empty

    def _receive(self, mask: int) -> None:
        # The descriptor is edge-triggered: all messages must be taken.
        while True:
            try:
                data = self._subscriber.recv(zmq.NOBLOCK)
            except zmq.Again:
                return
            self._take(data)

    def _take(self, data: bytes) -> None:
        report = LoadReport()
        try:
            report.ParseFromString(data)
        except DecodeError as error:
            log_event(_LOGGER, logging.WARNING, Event.MESSAGE_REJECTED, f"load report: {error}")
            return
        loads = {
            TargetId(load.target): TargetLoad(
                {item.priority: item.pending_tokens for item in load.pending}, load.held_tokens
            )
            for load in report.targets
        }
        self._loads.apply_report(InstanceId(report.instance), loads, self._loop.now())
