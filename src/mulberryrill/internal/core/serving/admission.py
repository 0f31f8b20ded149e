"""Admission control for model calls, based on the expected time to the first event.

When arrivals exceed the engines' prefill capacity for several seconds, queues grow until every
response comes after its caller has left, and nobody is served. Refusing at once the calls whose
first event would come too late keeps the accepted calls on time.
"""

from dataclasses import dataclass

# A call is accepted while its expected wait is within this share of the latency objective. Under
# sustained overload queues grow as long as the limit allows, so above 1 every accepted call would
# be late.
MAX_OBJECTIVE_SHARE = 0.9
# A refused caller retries after the queue has had time to drain. Jitter of up to this share of the
# delay keeps callers from retrying at the same moment.
RETRY_JITTER = 0.5
MIN_RETRY_DELAY_S = 0.2


@dataclass(frozen=True)
class AdmissionRequest:
    """Inputs of an admission decision; times in seconds."""

    expected_wait_s: float
    latency_objective_s: float
    time_left_s: float


def is_admitted(request: AdmissionRequest) -> bool:
    """Returns whether the call should be sent to its target."""
    limit = min(request.latency_objective_s * MAX_OBJECTIVE_SHARE, request.time_left_s)
    return request.expected_wait_s <= limit


def compute_retry_delay(request: AdmissionRequest, fraction: float) -> float:
    """Returns the seconds after which a refused caller should retry.

    ``fraction`` is a random number from 0 to 1 that sets the jitter.
    """
    excess = max(0.0, request.expected_wait_s - request.latency_objective_s)
    return max(MIN_RETRY_DELAY_S, excess * (1.0 + RETRY_JITTER * fraction))
