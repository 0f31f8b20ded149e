"""Decides whether a model call is worth sending, given how long its target would take.

Load pattern answered: arrivals exceed what the engines read for seconds on end. Queues then grow
until each answer comes after its caller has left, and nobody is served. A call that would get its
first event too late is refused at once, so that the calls that are accepted are on time.
"""

from dataclasses import dataclass

# A call is accepted while its first event is expected within this share of the time in which it has
# full value. Under lasting overload queues are as long as the limit allows, so that a limit above 1
# makes every accepted call late.
MAX_OBJECTIVE_SHARE = 0.9
# A refused caller returns after its queue has had time to drain, spread over this range of the
# expected wait so that callers do not return together.
RETRY_JITTER = 0.5
MIN_RETRY_DELAY_S = 0.2


@dataclass(frozen=True)
class AdmissionRequest:
    """What the decision depends on. Times in seconds."""

    expected_wait_s: float
    latency_objective_s: float
    time_left_s: float


def is_admitted(request: AdmissionRequest) -> bool:
    """Whether the call should be sent."""
    limit = min(request.latency_objective_s * MAX_OBJECTIVE_SHARE, request.time_left_s)
    return request.expected_wait_s <= limit


def compute_retry_delay(request: AdmissionRequest, fraction: float) -> float:
    """Returns the seconds after which a refused caller should return.

    ``fraction`` is a random number from 0 to 1.
    """
    excess = max(0.0, request.expected_wait_s - request.latency_objective_s)
    return max(MIN_RETRY_DELAY_S, excess * (1.0 + RETRY_JITTER * fraction))
