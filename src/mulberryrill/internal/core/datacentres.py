"""Orders of operators that drain data centres or return them to service."""

import hashlib
from collections.abc import Mapping

import xxhash

from ..ids import DataCentre
from ..schema.log_pb2 import DRAINED, IN_SERVICE, DataCentreOrder, DataCentreState

_STATES = (IN_SERVICE, DRAINED)


class DataCentreOrders:
    """Keeps the order in force for each data centre.

    The order with the highest epoch is in force; ties are broken by author, then order id. The
    result does not depend on the sequence of arrival, so orders may come from peers and the log.
    """

    def __init__(self) -> None:
        self._orders: dict[DataCentre, DataCentreOrder] = {}

    @property
    def in_force(self) -> Mapping[DataCentre, DataCentreOrder]:
        """The order in force for each data centre that ever had one."""
        return self._orders

    def apply(self, order: DataCentreOrder) -> bool:
        """Merges an order; returns whether it has newly come into force."""
        if not order.data_centre or order.epoch <= 0 or order.state not in _STATES:
            return False
        data_centre = DataCentre(order.data_centre)
        current = self._orders.get(data_centre)
        if current is not None and _get_precedence(order) <= _get_precedence(current):
            return False
        copy = DataCentreOrder()
        copy.CopyFrom(order)
        self._orders[data_centre] = copy
        return True

    def is_drained(self, data_centre: DataCentre) -> bool:
        """Returns whether the data centre must get no new work."""
        order = self._orders.get(data_centre)
        return order is not None and order.state == DRAINED

    def create_next(
        self,
        data_centre: DataCentre,
        state: "DataCentreState.ValueType",
        author: str,
        reason: str,
        now_unix_ms: int,
    ) -> DataCentreOrder:
        """Returns an order that supersedes the one in force; it is not applied yet."""
        current = self._orders.get(data_centre)
        epoch = (current.epoch if current is not None else 0) + 1
        content = f"{data_centre}\n{epoch}\n{state}\n{author}\n{reason}\n{now_unix_ms}"
        suffix = hashlib.sha256(content.encode("utf-8")).hexdigest()[:16]
        return DataCentreOrder(
            order_id=f"order-{suffix}",
            data_centre=data_centre,
            epoch=epoch,
            state=state,
            author=author,
            reason=reason,
            submitted_unix_ms=now_unix_ms,
        )

    def compute_digest(self) -> int:
        """Returns a 64-bit hash of the orders in force, by which heartbeats show differences."""
        precedences = sorted((dc, *_get_precedence(order)) for dc, order in self._orders.items())
        return xxhash.xxh64(repr(precedences).encode("utf-8")).intdigest()


def _get_precedence(order: DataCentreOrder) -> tuple[int, str, str]:
    return order.epoch, order.author, order.order_id
