"""Client for the order lease in the platform's store and for the order API of its targets."""

import json
from collections.abc import Callable
from http import HTTPStatus

from ..errors import StoreCallError
from ..internal.core.serving.orders import LeaseRecord, OrderResult, VersionOrder
from ..internal.entry.connection import ExchangeFailure
from ..internal.entry.exchange import ExchangeResponse, send_request
from ..internal.entry.ordering import LeaseSnapshot, TargetReport
from ..internal.entry.pool import AddressPools
from ..internal.eventloop import EventLoop
from ..internal.http.messages import encode_request
from ..internal.ids import (
    FencingToken,
    InstanceId,
    ModelName,
    Offset,
    StoreEra,
    TargetId,
    WeightVersion,
)
from .records import DECODE_ERRORS
from .store import RecordPage, StoreClient

LEASE_TOPIC = "keyed.order-lease"
LEASE_KEY = "lease"
ERA_SEPARATOR = "|"
# Targets answer orders at once. An order without a response within this time counts as lost; it may
# still be carried out.
ORDER_REQUEST_TIMEOUT_S = 0.4
REPORT_REQUEST_TIMEOUT_S = 0.5
# An order that holds already is accepted too.
ORDER_RESULTS: dict[int, OrderResult] = {
    HTTPStatus.OK: OrderResult.ACCEPTED,
    HTTPStatus.ACCEPTED: OrderResult.ACCEPTED,
    HTTPStatus.CONFLICT: OrderResult.CONFLICT,
}


class PlatformOrderClient:
    """Implements ``OrderClient``."""

    def __init__(self, loop: EventLoop, store: StoreClient, instance: InstanceId) -> None:
        self._loop = loop
        self._store = store
        self._instance = instance
        self._pools = AddressPools(loop)

    def close(self) -> None:
        """Closes the connections to targets."""
        self._pools.close()

    @property
    def era(self) -> StoreEra | None:
        """The era of the store as of its last response; None: unknown."""
        return self._store.era

    def read_lease(self, done: Callable[[LeaseSnapshot | None], None]) -> None:
        """Reports the newest lease record; None if the store did not respond."""

        def on_page(page: RecordPage | StoreCallError) -> None:
            if isinstance(page, StoreCallError):
                done(None)
                return
            record = None
            for item in page.records:
                if item.key == LEASE_KEY and item.value is not None:
                    record = _parse_lease_record(item.value, item.offset)
            done(LeaseSnapshot(record, page.end))

        self._store.read_newest(LEASE_TOPIC, on_page)

    def append_lease(self, expected_end: Offset, done: Callable[[Offset | None], None]) -> None:
        """Appends this instance's record; reports None if that failed or its result is unknown."""
        self._store.append_keyed(
            LEASE_TOPIC,
            LEASE_KEY,
            f"{self._instance}{ERA_SEPARATOR}{self._store.era or 0}".encode(),
            expected_end,
            lambda result: done(None if isinstance(result, StoreCallError) else result),
        )

    def read_report(
        self, target: TargetId, address: str, done: Callable[[TargetReport | None], None]
    ) -> None:
        """Reads a target's state; reports None without a readable response."""

        def on_response(response: ExchangeResponse | ExchangeFailure) -> None:
            is_ok = isinstance(response, ExchangeResponse) and response.status == HTTPStatus.OK
            done(_parse_report(response.body) if is_ok else None)  # type: ignore[union-attr]

        headers = [(b"host", address.encode()), (b"expect-instance", target.encode())]
        request = encode_request(b"GET", b"/-/report", headers)
        send_request(
            self._loop,
            self._pools.get_pool(address),
            request,
            REPORT_REQUEST_TIMEOUT_S,
            on_response,
        )

    def send_order(
        self,
        order: VersionOrder,
        fence: FencingToken,
        expected_orders: int,
        done: Callable[[OrderResult, str], None],
    ) -> None:
        """Orders a target to load weights at once; running calls continue with the new weights.

        The other mode waits for running calls and rejects new calls for seconds meanwhile.
        """

        def on_response(response: ExchangeResponse | ExchangeFailure) -> None:
            if isinstance(response, ExchangeFailure):
                done(OrderResult.UNANSWERED, response.message)
                return
            result = ORDER_RESULTS.get(response.status, OrderResult.REJECTED)
            done(result, f"status {response.status}")

        body = {
            "op": "version",
            "model": order.model,
            "version": order.version,
            "switch_mode": "keep",
            "holder": self._instance,
            "fence": fence,
            "expected": expected_orders,
        }
        headers = [
            (b"host", order.address.encode()),
            (b"content-type", b"application/json"),
            (b"expect-instance", order.target.encode()),
        ]
        request = encode_request(b"POST", b"/-/order", headers, json.dumps(body).encode())
        send_request(
            self._loop,
            self._pools.get_pool(order.address),
            request,
            ORDER_REQUEST_TIMEOUT_S,
            on_response,
        )


def _parse_lease_record(value: bytes, offset: Offset) -> LeaseRecord:
    """Parses ``HOLDER|ERA``; earlier releases wrote the holder alone."""
    holder, _, era = value.decode("utf-8", "replace").partition(ERA_SEPARATOR)
    is_known = era.isdigit() and int(era) > 0
    return LeaseRecord(InstanceId(holder), offset, StoreEra(int(era)) if is_known else None)


def _parse_report(body: bytes) -> TargetReport | None:
    try:
        value = json.loads(body)
        return TargetReport(
            versions={
                ModelName(model["name"]): WeightVersion(int(model["version"]))
                for model in value["models"]
            },
            is_busy=bool(value["busy"]),
            order_count=int(value["seq"]),
        )
    except DECODE_ERRORS:
        return None
