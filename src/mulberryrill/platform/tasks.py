"""Builds the tasks that connect an entry process with the platform."""

from ..internal.clock import Clock
from ..internal.entry.state import EntryState
from ..internal.eventloop import EventLoop
from ..internal.ids import InstanceId
from ..internal.schema.settings_pb2 import EntrySettings
from .follower import StoreFollower
from .store import StoreClient

# The registry is read this many times within the time in which a leaving target must be noticed.
READS_PER_DRAIN = 2.0


class PlatformTasks:
    """Owns the store client and the tasks that use it."""

    def __init__(
        self, loop: EventLoop, clock: Clock, settings: EntrySettings, state: EntryState
    ) -> None:
        self._store = StoreClient(loop, settings.store_address)
        interval_s = settings.bounds.drain_ms / 1000 / READS_PER_DRAIN
        instance = InstanceId(settings.instance)
        self._follower = StoreFollower(loop, self._store, state, instance, interval_s)

    def start(self) -> None:
        """Begins to follow the store."""
        self._follower.start()

    def close(self) -> None:
        """Stops following and closes the connections."""
        self._follower.close()
        self._store.close()
