"""Creates the tasks that connect an entry process with the platform."""

from ..internal.clock import Clock
from ..internal.entry.cacheretention import CacheCleaner
from ..internal.entry.cachewatch import CacheEventReader
from ..internal.entry.ordering import OrderTask
from ..internal.entry.peers import PeerExchange
from ..internal.entry.rollouts import RolloutTask
from ..internal.entry.state import EntryState
from ..internal.eventloop import EventLoop
from ..internal.schema.settings_pb2 import EntrySettings
from .cacheevents import PlatformCacheClient
from .follower import StoreFollower
from .store import StoreClient
from .streamlog import StreamLog
from .targetorders import PlatformOrderClient


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
        local_peer = peers.local_peer
        instance = local_peer.instance
        bounds = settings.bounds
        self._store = StoreClient(loop, settings.store_address)
        self._follower = StoreFollower(
            loop,
            self._store,
            state,
            local_peer,
            bounds,
            peers,
        )
        state.store_quarantine = self._follower.append_quarantine
        state.origin_records.store = StreamLog(self._store, self._follower)
        state.get_store_era = self._follower.get_known_era
        state.list_carried_topics = self._follower.list_carried_topics
        peers.on_log_feed = self._follower.on_log_feed
        peers.on_log_request = self._follower.on_log_request
        self._order_client = PlatformOrderClient(loop, self._store, instance)
        self._cache_client = PlatformCacheClient(loop)
        self._cache_reader = CacheEventReader(loop, state, self._cache_client)
        self._cache_cleaner = CacheCleaner(loop, state, instance, self._cache_client)
        self._order_task = OrderTask(
            loop, clock, state, instance, self._order_client, bounds.order_lease_ms / 1000
        )
        self._rollout_task = RolloutTask(loop, state, instance, self._follower, peers.list_heard)

    def start(self) -> None:
        """Starts to follow the store, send due orders, read cache events and free cached parts."""
        self._follower.start()
        self._order_task.start()
        self._rollout_task.start()
        self._cache_reader.start()
        self._cache_cleaner.start()

    def close(self) -> None:
        """Stops following the store and reading cache events; closes the connections."""
        self._follower.close()
        self._cache_reader.close()
        self._cache_client.close()
        self._order_client.close()
        self._store.close()
