"""The most recent request traces of this instance's gateways, kept in memory only."""

from collections import OrderedDict

from ..schema.wire_pb2 import RequestTrace
from .calls import message_to_dict

MAX_TRACES = 10_000


class TraceBuffer:
    """A bounded map from request id to trace; the oldest are dropped first."""

    def __init__(self, limit: int = MAX_TRACES) -> None:
        self._limit = limit
        self._traces: OrderedDict[str, RequestTrace] = OrderedDict()

    def add(self, trace: RequestTrace) -> None:
        """Adds a trace; it replaces an earlier one of the same request."""
        self._traces.pop(trace.request_id, None)
        self._traces[trace.request_id] = trace
        if len(self._traces) > self._limit:
            self._traces.popitem(last=False)

    def get_trace(self, request_id: str) -> dict[str, object] | None:
        """Returns a trace as JSON members; None if it is not kept."""
        trace = self._traces.get(request_id)
        return message_to_dict(trace) if trace is not None else None
