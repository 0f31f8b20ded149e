"""Keeps the software versions of streams in the platform's store."""

from collections.abc import Callable

from ..errors import StoreCallError
from ..internal.core.serving.streamorigins import DefaultVersion
from ..internal.entry.originrecords import BatchPage
from ..internal.ids import Offset, ServiceName, StoreEra
from .follower import StoreFollower
from .store import StoreClient


class StreamLog:
    """Implements ``OriginStore``."""

    def __init__(self, store: StoreClient, follower: StoreFollower) -> None:
        self._store = store
        self._follower = follower

    @property
    def era(self) -> StoreEra | None:
        """The era of the newest response."""
        return self._store.era

    def append_batch(
        self, partition: int, batch: bytes, done: Callable[[Offset | StoreCallError], None]
    ) -> None:
        """Appends a batch of stream records."""
        self._store.append_batch(partition, batch, done)

    def read_batches(
        self, partition: int, start: Offset, done: Callable[[BatchPage | StoreCallError], None]
    ) -> None:
        """Reads batches from an offset, or from the oldest one that is kept."""
        self._store.read_batches(partition, start, done)

    def write_default(self, service: ServiceName, default: DefaultVersion) -> None:
        """Writes a service's default version unless another record was written meanwhile."""
        self._follower.write_default(service, default)
