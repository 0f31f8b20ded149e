"""Builds the tasks that connect an entry process with the platform."""

from ..internal.clock import Clock
from ..internal.entry.cacheretention import CacheCleaner
from ..internal.entry.cachewatch import CacheEventReader
from ..internal.entry.ordering import OrderTask
from ..internal.entry.peers import PeerExchange
from ..internal.entry.state import EntryState
from ..internal.eventloop import EventLoop
from ..internal.schema.settings_pb2 import EntrySettings
from .cacheevents import PlatformCacheClient
from .follower import StoreFollower
from .store import StoreClient
from .targetorders import PlatformOrderClient

# The registry is read this many times within the time in which a leaving target must be noticed.
READS_PER_DRAIN = 3.0


class PlatformTasks:
    """Owns the store client and the tasks that use it."""

    def __init__(
        self,
        loop: EventLoop,
        clock: Clock,
        settings: EntrySettings,
        state: EntryState,
        peers: PeerExchange,
    ) -> None:
        own = peers.local_peer
        instance = own.instance
        bounds = settings.bounds
        self._store = StoreClient(loop, settings.store_address)
        self._follower = StoreFollower(
            loop,
            self._store,
            state,
            own,
            bounds.drain_ms / 1000 / READS_PER_DRAIN,
            peers,
        )
        peers.on_log_feed = self._follower.on_log_feed
        peers.on_log_request = self._follower.on_log_request
        self._channel = PlatformOrderClient(loop, self._store, instance)
        self._cache_channel = PlatformCacheClient(loop)
        self._cache = CacheEventReader(loop, state, self._cache_channel)
        self._retention = CacheCleaner(loop, state, instance, self._cache_channel)
        self._orders = OrderTask(
            loop, clock, state, instance, self._channel, bounds.order_lease_ms / 1000
        )

    def start(self) -> None:
        """Begins to follow the store, to look for due orders and to read cache events."""
        self._follower.start()
        self._orders.start()
        self._cache.start()
        self._retention.start()

    def close(self) -> None:
        """Stops following and closes the connections."""
        self._follower.close()
        self._cache.close()
        self._cache_channel.close()
        self._channel.close()
        self._store.close()
