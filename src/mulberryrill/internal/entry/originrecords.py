"""Writes the software versions of streams to the platform's store, and looks them up there."""

import logging
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from functools import partial
from typing import Protocol

import xxhash
from google.protobuf.message import DecodeError

from ...errors import StoreCallError
from ..core.rendezvous import rank_members
from ..core.serving.routetable import RouteTable
from ..core.serving.streamorigins import (
    DefaultVersion,
    OriginSource,
    StreamOrigin,
    StreamOrigins,
)
from ..core.serving.targettable import TargetTable
from ..eventloop import EventLoop
from ..events import Event
from ..ids import InstanceId, Offset, RequestId, ServiceName, SoftwareVersion, StoreEra
from ..logs import log_event
from ..schema.log_pb2 import StreamBatch
from ..schema.log_pb2 import StreamOrigin as StreamOriginMessage

# A partition of the store handles its appends one by one, so streams are spread over several.
PARTITION_COUNT = 8
APPEND_RETRY_DELAY_S = 0.2
# A stream that was not recorded in this time counts as a failure of the store.
MAX_RECORDING_S = 0.3
# No caller takes a stream up later than this multiple of its route's timeout after it began, and
# at least so long.
LIFETIME_FACTOR = 2.0
MIN_LIFETIME_S = 10.0
# Streams of which peers have not been told yet, and calls with a record that did not begin.
MAX_NEWS = MAX_SUBMITTED = 5_000
_LOGGER = logging.getLogger(__name__)


@dataclass(frozen=True)
class BatchPage:
    """Batches of stream records in order."""

    batches: tuple[bytes, ...]
    next_offset: Offset
    # Whether there are more.
    has_more: bool


class OriginStore(Protocol):
    """The topics of the platform's store that hold the versions of streams."""

    @property
    def era(self) -> StoreEra | None:
        """The era of the newest response; None: no response stated one."""
        ...

    def append_batch(
        self, partition: int, batch: bytes, done: Callable[[Offset | StoreCallError], None]
    ) -> None:
        """Appends a batch of stream records."""
        ...

    def read_batches(
        self, partition: int, start: Offset, done: Callable[[BatchPage | StoreCallError], None]
    ) -> None:
        """Reads batches from an offset, or from the oldest one that is kept."""
        ...

    def write_default(self, service: ServiceName, default: DefaultVersion) -> None:
        """Writes a service's default version unless another record was written meanwhile."""
        ...


class OriginState(Protocol):
    """What is needed from the state of this instance."""

    @property
    def stream_origins(self) -> StreamOrigins:
        """The versions of streams, as far as they are known."""
        ...

    @property
    def targets(self) -> TargetTable:
        """The registered targets."""
        ...

    @property
    def route_table(self) -> RouteTable | None:
        """The configuration in force."""
        ...

    @property
    def instances(self) -> tuple[InstanceId, ...]:
        """All live instances."""
        ...

    @property
    def has_peer_list(self) -> bool:
        """Whether the list of the live instances has been read."""
        ...

    @property
    def is_store_reachable(self) -> bool:
        """Whether the store answered last, as far as known."""
        ...


FoundCallback = Callable[[SoftwareVersion | None, OriginSource], None]


@dataclass
class _Partition:
    pending: list[tuple[StreamOrigin, Callable[[], None], float]] = field(default_factory=list)
    is_appending: bool = False
    next_offset: Offset = Offset(0)
    is_reading: bool = False
    # Called with whether everything was read since they were added.
    waiting: list[Callable[[bool], None]] = field(default_factory=list)


class OriginRecords:
    """Used on the event loop's thread only."""

    def __init__(self, loop: EventLoop, state: OriginState, instance: InstanceId) -> None:
        self._loop = loop
        self._state = state
        self._instance = instance
        # None: no store is used, and every stream counts as one of the only version.
        self.store: OriginStore | None = None
        self._partitions = [_Partition() for _ in range(PARTITION_COUNT)]
        # Calls with a record whose stream has not begun: it may begin at another version instead.
        self._submitted: dict[RequestId, SoftwareVersion] = {}
        self._failed_at = float("-inf")
        self._news: list[StreamOrigin] = []

    @property
    def is_failing(self) -> bool:
        """Whether streams are not recorded in time."""
        if not self._state.is_store_reachable:
            return True
        now = self._loop.now()
        oldest = min((p.pending[0][2] for p in self._partitions if p.pending), default=now)
        return now - oldest > MAX_RECORDING_S or now - self._failed_at < MAX_RECORDING_S

    def begin(
        self,
        request: RequestId,
        service: ServiceName,
        version: SoftwareVersion,
        done: Callable[[], bool],
    ) -> None:
        """Calls ``done`` once the first event of a stream may go to its caller.

        ``done`` returns whether the stream has begun; its caller may be gone.
        """
        origins, now = self._state.stream_origins, self._loop.boottime()
        origin = StreamOrigin(request, service, version)
        is_corrected = self._submitted.get(request, version) != version
        must_record = origins.must_record(service, version) or is_corrected
        if self.store is None or not must_record:
            origins.remember(origin, is_recorded=False, now=now)
            if self.is_failing:
                self._add_news(origin)
            done()
            return

        def on_recorded() -> None:
            if done():
                self._submitted.pop(request, None)
                self._confirm(origin)

        self._submitted[request] = version
        if len(self._submitted) > MAX_SUBMITTED:
            del self._submitted[next(iter(self._submitted))]
        self._record(origin, on_recorded)

    def begin_unrecorded(
        self, request: RequestId, service: ServiceName, version: SoftwareVersion
    ) -> None:
        """A stream has begun although the store does not know its version; peers learn it."""
        self._confirm(StreamOrigin(request, service, version))

    def _confirm(self, origin: StreamOrigin) -> None:
        now = self._loop.boottime()
        self._state.stream_origins.remember(origin, is_recorded=True, now=now)
        self._add_news(origin)

    def _add_news(self, origin: StreamOrigin) -> None:
        if len(self._news) < MAX_NEWS:
            self._news.append(origin)

    def pop_news(self) -> list[StreamOrigin]:
        """Returns the streams of which peers are to be told."""
        news, self._news = self._news, []
        return news

    def apply_peer_origins(self, origins: Iterable[StreamOrigin]) -> None:
        """Remembers streams that a peer has begun."""
        now = self._loop.boottime()
        for origin in origins:
            self._state.stream_origins.remember(origin, is_recorded=True, now=now)

    def find(self, request: RequestId | None, service: ServiceName, done: FoundCallback) -> None:
        """Reports the version that began a stream; None: nobody knows.

        ``request`` brought the stream's first event, as its caller says; None: it does not say.
        """
        origins, now = self._state.stream_origins, self._loop.boottime()
        known = origins.find(request, service) if request is not None else None
        if known is not None:
            done(known, OriginSource.MEMORY)
            return
        only = origins.find_only_version(service, self.compute_lifetime(service), now)
        if only is not None or request is None or self.store is None:
            if only is None:
                only = self._find_sole_registered(service)
            done(only, OriginSource.ONLY_VERSION)
            return

        def on_read(is_complete: bool) -> None:
            recorded = origins.find(request, service)
            if recorded is not None:
                done(recorded, OriginSource.STORE)
            else:
                inferred = origins.infer(service) if is_complete else None
                done(inferred, OriginSource.NOT_RECORDED)

        partition = get_partition(request)
        self._partitions[partition].waiting.append(on_read)
        self._read(partition)

    def _find_sole_registered(self, service: ServiceName) -> SoftwareVersion | None:
        """Returns the default version if no target has another one."""
        default = self._state.stream_origins.get_default(service)
        registered = self._state.targets.count_versions(service)
        if self.store is None:
            return next(iter(registered)) if len(registered) == 1 else None
        return default if set(registered) == {default} else None

    def compute_lifetime(self, service: ServiceName) -> float:
        """Returns the seconds after which no caller takes a stream of a service up any more."""
        table = self._state.route_table
        timeouts = [
            route.timeout_s
            for route in (table.routes if table is not None else ())
            if route.is_resumable and any(s.service == service for s in route.services)
        ]
        return max(MIN_LIFETIME_S, LIFETIME_FACTOR * max(timeouts, default=0.0))

    def update(self) -> None:
        """Observes the registered versions, and writes default versions; to be called often."""
        if self.store is None or self._state.route_table is None:
            return
        origins, now = self._state.stream_origins, self._loop.boottime()
        if origins.set_era(self.store.era, now):
            self._record_again()
        services = {
            weighted.service
            for route in self._state.route_table.routes
            if route.is_resumable
            for weighted in route.services
        }
        for service in services:
            registered = self._state.targets.count_versions(service)
            origins.observe(service, registered, now)
            if not (self._state.has_peer_list and self._state.is_store_reachable):
                continue
            if rank_members(f"software/{service}", self._state.instances)[0] == self._instance:
                self._write_default(service, registered)

    def _write_default(self, service: ServiceName, registered: Counter[SoftwareVersion]) -> None:
        assert self.store is not None
        lifetime_s, now = self.compute_lifetime(service), self._loop.boottime()
        origins = self._state.stream_origins
        default = origins.choose_default(service, registered, lifetime_s, now)
        if default is None:
            return
        log_event(
            _LOGGER,
            logging.INFO,
            Event.ENTRY_DEFAULT_VERSION_CHOSEN,
            "streams of this version need no record from now on",
            service=service,
            version=default.version,
            previous=origins.get_default(service),
            era=default.era,
            registered=dict(registered),
        )
        self.store.write_default(service, default)

    def _record_again(self) -> None:
        """Records the streams again that the restored store may have lost."""
        now = self._loop.boottime()
        for partition in self._partitions:
            partition.next_offset = Offset(0)
        services = self._state.route_table.services if self._state.route_table else {}
        max_age_s = max(map(self.compute_lifetime, services), default=MIN_LIFETIME_S)
        for origin in self._state.stream_origins.list_recorded(max_age_s, now):
            self._record(origin, lambda: None)

    def _record(self, origin: StreamOrigin, done: Callable[[], None]) -> None:
        number = get_partition(origin.request)
        self._partitions[number].pending.append((origin, done, self._loop.now()))
        self._append(number)

    def _append(self, number: int) -> None:
        """Appends all streams that wait; those that come meanwhile form the next batch."""
        partition = self._partitions[number]
        if partition.is_appending or not partition.pending or self.store is None:
            return
        partition.is_appending = True
        batch = list(partition.pending)
        message = StreamBatch(streams=[encode_origin(origin) for origin, _, _ in batch])

        def on_result(result: Offset | StoreCallError) -> None:
            partition.is_appending = False
            if isinstance(result, StoreCallError):
                self._failed_at = self._loop.now()
                log_event(
                    _LOGGER,
                    logging.WARNING,
                    Event.LOG_APPEND_FAILED,
                    f"versions of {len(batch)} streams: {result}",
                )
                self._loop.call_later(APPEND_RETRY_DELAY_S, partial(self._append, number))
                return
            del partition.pending[: len(batch)]
            for _, done, _ in batch:
                done()
            self._append(number)

        self.store.append_batch(number, message.SerializeToString(), on_result)

    def _read(self, number: int) -> None:
        """Reads a partition to its end for those that wait; later ones wait for the next read."""
        partition = self._partitions[number]
        if partition.is_reading or not partition.waiting or self.store is None:
            return
        partition.is_reading = True
        served, partition.waiting = partition.waiting, []

        def on_page(era: StoreEra | None, page: BatchPage | StoreCallError) -> None:
            assert self.store is not None
            if isinstance(page, StoreCallError) or era != self.store.era:
                self._end_read(number, served, is_complete=False)
                return
            partition.next_offset = page.next_offset
            for batch in page.batches:
                self._apply_batch(batch)
            if page.has_more:
                self.store.read_batches(number, page.next_offset, partial(on_page, era))
            else:
                self._end_read(number, served, is_complete=True)

        self.store.read_batches(number, partition.next_offset, partial(on_page, self.store.era))

    def _end_read(
        self, number: int, served: list[Callable[[bool], None]], *, is_complete: bool
    ) -> None:
        self._partitions[number].is_reading = False
        for done in served:
            done(is_complete)
        self._read(number)

    def _apply_batch(self, data: bytes) -> None:
        try:
            batch = StreamBatch.FromString(data)
        except DecodeError as error:
            log_event(_LOGGER, logging.WARNING, Event.RECORD_CORRUPT, f"stream versions: {error}")
            return
        self.apply_peer_origins(map(decode_origin, batch.streams))


def encode_origin(origin: StreamOrigin) -> StreamOriginMessage:
    """Encodes a stream's record."""
    return StreamOriginMessage(
        request=origin.request, service=origin.service, version=origin.version
    )


def decode_origin(message: StreamOriginMessage) -> StreamOrigin:
    """Decodes a stream's record."""
    return StreamOrigin(
        RequestId(message.request), ServiceName(message.service), SoftwareVersion(message.version)
    )


def get_partition(request: RequestId) -> int:
    """Returns the partition that holds a stream's record."""
    return xxhash.xxh3_64_intdigest(request.encode()) % PARTITION_COUNT
