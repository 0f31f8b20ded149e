"""Pools of keep-alive connections to servers, one pool per address."""

from collections.abc import Callable, Collection

from ..eventloop import EventLoop
from .connection import OutboundConnection

# Connecting normally takes a millisecond; after this time the target counts as unreachable.
CONNECT_TIMEOUT_S = 0.4
# Idle timeout assumed for servers that send no Keep-Alive timeout.
DEFAULT_IDLE_TIMEOUT_S = 4.0
# Idle connections are used only up to this share of the server's idle timeout: near the timeout the
# server may close the connection while a request is in flight.
IDLE_SAFETY_FACTOR = 0.5
# Maximum idle time of connections for calls that may not be repeated: if a connection turns out to
# be closed, it is unknown whether the call ran.
MAX_FRESH_IDLE_S = 1.5


class ConnectionPool:
    """Owns the connections to one address."""

    def __init__(
        self, loop: EventLoop, address: str, connect_timeout_s: float = CONNECT_TIMEOUT_S
    ) -> None:
        self._loop = loop
        self._address = address
        self._connect_timeout_s = connect_timeout_s
        self._idle: list[OutboundConnection] = []
        self._open: set[OutboundConnection] = set()
        self.on_lost: Callable[[], None] | None = None

    @property
    def size(self) -> int:
        """Number of open connections."""
        return len(self._open)

    @property
    def address(self) -> str:
        """The address of the server."""
        return self._address

    def can_acquire(self, limit: int) -> bool:
        """Whether a connection is idle, or fewer than ``limit`` are open."""
        return bool(self._idle) or len(self._open) < limit

    def acquire(
        self,
        needs_fresh: bool,
        max_idle_s: float | None = None,
        excluded: Collection[OutboundConnection] = (),
    ) -> OutboundConnection:
        """Returns an idle or a new connection.

        ``needs_fresh`` skips those that the server may be about to close, ``max_idle_s`` those
        that have been idle longer. Such connections are closed. Those in ``excluded`` stay idle.
        """
        now = self._loop.now()
        for connection in [c for c in reversed(self._idle) if c not in excluded]:
            self._idle.remove(connection)
            idle_s = now - connection.idle_since
            limit = (connection.idle_timeout_s or DEFAULT_IDLE_TIMEOUT_S) * IDLE_SAFETY_FACTOR
            if needs_fresh:
                limit = min(limit, MAX_FRESH_IDLE_S)
            if max_idle_s is not None:
                limit = min(limit, max_idle_s)
            if not connection.is_closed and idle_s < limit:
                return connection
            connection.close()
        connection = OutboundConnection(
            self._loop, self._address, self._connect_timeout_s, self._on_idle, self._on_closed
        )
        self._open.add(connection)
        connection.start()
        return connection

    def close_idle(self) -> None:
        """Closes the idle connections, for example because the server may have restarted."""
        for connection in list(self._idle):
            connection.close()

    def close_expired(self) -> None:
        """Closes connections that have been idle for too long to be used again."""
        now = self._loop.now()
        for connection in list(self._idle):
            limit = connection.idle_timeout_s or DEFAULT_IDLE_TIMEOUT_S
            if now - connection.idle_since >= limit * IDLE_SAFETY_FACTOR:
                connection.close()

    def close(self) -> None:
        """Closes all connections."""
        for connection in list(self._open):
            connection.close()

    def _on_idle(self, connection: OutboundConnection) -> None:
        if connection not in self._idle:
            self._idle.append(connection)

    def _on_closed(self, connection: OutboundConnection) -> None:
        self._open.discard(connection)
        if connection in self._idle:
            self._idle.remove(connection)


class AddressPools:
    """Creates a pool per address on demand and drops pools without connections."""

    def __init__(self, loop: EventLoop) -> None:
        self._loop = loop
        self._pools: dict[str, ConnectionPool] = {}

    @property
    def size(self) -> int:
        """Number of pools."""
        return len(self._pools)

    def get_pool(self, address: str) -> ConnectionPool:
        """Returns the pool of an address, creating it if needed."""
        pool = self._pools.get(address)
        if pool is None:
            self._drop_unused()
            pool = self._pools[address] = ConnectionPool(self._loop, address)
        return pool

    def close(self) -> None:
        """Closes all connections."""
        for pool in self._pools.values():
            pool.close()
        self._pools.clear()

    def _drop_unused(self) -> None:
        """Drops empty pools; otherwise the pools of removed targets would accumulate."""
        for address, pool in list(self._pools.items()):
            pool.close_expired()
            if pool.size == 0:
                del self._pools[address]
