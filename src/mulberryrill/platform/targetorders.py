"""Orders to targets, as the platform's targets take them."""

import json
from enum import Enum

from ..internal.core.serving.orders import VersionOrder
from ..internal.entry.http import encode_request
from ..internal.ids import InstanceId, Offset


class OrderAnswer(Enum):
    """What a target says to an order."""

    ACCEPTED = 202
    ALREADY_DONE = 200
    # Another order is in progress, or the target has accepted a different number of orders.
    CONFLICT = 409
    FENCED = 412
    INVALID = 400
    MISDIRECTED = 421
    UNAVAILABLE = 503


def write_version_order(order: VersionOrder, holder: InstanceId, fence: Offset) -> bytes:
    """Returns the order to load weights once the target's running calls have ended."""
    body = {
        "op": "version",
        "model": order.model,
        "version": order.version,
        "switch_mode": "wait",
        "holder": holder,
        "fence": fence,
        "expected": order.expected_orders,
    }
    headers = [
        (b"host", order.address.encode()),
        (b"content-type", b"application/json"),
        (b"expect-instance", order.target.encode()),
    ]
    return encode_request(b"POST", b"/-/order", headers, json.dumps(body).encode())


def read_order_answer(status: int) -> OrderAnswer:
    """Returns the meaning of a status; unknown ones count as unavailable."""
    try:
        return OrderAnswer(status)
    except ValueError:
        return OrderAnswer.UNAVAILABLE
