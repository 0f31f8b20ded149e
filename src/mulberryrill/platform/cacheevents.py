"""Client for the cache events of the platform's engines and KV cache stores."""

import json
from collections.abc import Callable
from http import HTTPStatus

from ..internal.core.serving.cacheindex import CacheEvent, CacheKey
from ..internal.entry.cachewatch import CacheEventPage
from ..internal.entry.connection import ExchangeFailure
from ..internal.entry.exchange import ExchangeResponse, send_request
from ..internal.entry.pool import AddressPools
from ..internal.eventloop import EventLoop
from ..internal.http.messages import encode_request
from .records import DECODE_ERRORS

# Time for the response, on top of the time that a read waits for events.
READ_TIMEOUT_MARGIN_S = 0.5
FREE_TIMEOUT_S = 1.0
ADDED_SIGN = "+"


class PlatformCacheClient:
    """Implements ``CacheEventClient`` and ``CacheFreeClient``."""

    def __init__(self, loop: EventLoop) -> None:
        self._loop = loop
        self._pools = AddressPools(loop)

    def close(self) -> None:
        """Closes the connections."""
        self._pools.close()

    def read_events(
        self, address: str, since: int, wait_s: float, done: Callable[[CacheEventPage | None], None]
    ) -> None:
        """Reads events from number ``since`` on; reports None without a readable response."""

        def on_response(response: ExchangeResponse | ExchangeFailure) -> None:
            if isinstance(response, ExchangeResponse) and response.status == HTTPStatus.OK:
                done(_parse_page(response.body))
            else:
                done(None)

        headers = [(b"host", address.encode()), (b"wait-ms", b"%d" % int(wait_s * 1000))]
        request = encode_request(b"GET", b"/-/kv-events?since=%d" % since, headers)
        pool = self._pools.get_pool(address)
        send_request(self._loop, pool, request, wait_s + READ_TIMEOUT_MARGIN_S, on_response)

    def free_parts(
        self, address: str, epoch: int, parts: list[CacheKey], done: Callable[[bool], None]
    ) -> None:
        """Requests a store to free parts unless it has restarted; reports whether it did."""

        def on_response(response: ExchangeResponse | ExchangeFailure) -> None:
            done(isinstance(response, ExchangeResponse) and response.status == HTTPStatus.OK)

        body = {"epoch": epoch, "parts": [[key.salt, key.part] for key in parts]}
        headers = [(b"host", address.encode()), (b"content-type", b"application/json")]
        request = encode_request(b"POST", b"/-/kv-free", headers, json.dumps(body).encode())
        send_request(
            self._loop, self._pools.get_pool(address), request, FREE_TIMEOUT_S, on_response
        )


def _parse_page(body: bytes) -> CacheEventPage | None:
    try:
        value = json.loads(body)
        # An event is [number, "+" or "-", salt, part, tokens still cached, model].
        events = [
            CacheEvent(CacheKey(str(salt), str(part)), sign == ADDED_SIGN and tokens > 0, tokens)
            for _, sign, salt, part, tokens, _ in value["events"]
        ]
        clock_ms = value.get("clock_ms")
        return CacheEventPage(
            epoch=int(value["epoch"]),
            next_event=int(value["next"]),
            has_gap=bool(value["lost"]),
            clock_s=clock_ms / 1000 if clock_ms is not None else None,
            events=events,
        )
    except DECODE_ERRORS:
        return None
