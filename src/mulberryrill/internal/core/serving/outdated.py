"""Which targets may still begin calls on weights that a newer version replaces.

During a rollout the targets that have not loaded the new version serve the calls that the others
cannot take. When orders to load it are lost or executed late, some targets are still behind when
the bound for the new version is near. Their queues then hold calls that would begin after it, so
they get no new calls a little earlier.
"""

from ...ids import ModelName, WeightVersion
from .admission import MAX_OBJECTIVE_SHARE
from .targettable import Target

# Covers the time in which a newly named version becomes known and a call reaches its target.
KNOWLEDGE_MARGIN_S = 1.0
# A target loads a version in about a second. Jitter of up to the same time spreads the retries of
# callers that found no target with the new version.
ROLLOUT_RETRY_DELAY_S = 0.5


def compute_version_age_limit(bound_s: float, latency_objective_s: float) -> float:
    """Returns the age in seconds from which a version binds the calls that are placed now.

    An accepted call may wait for ``MAX_OBJECTIVE_SHARE`` of its latency objective before it begins.
    """
    return max(0.0, bound_s - KNOWLEDGE_MARGIN_S - MAX_OBJECTIVE_SHARE * latency_objective_s)


def list_current(
    targets: list[Target], model: ModelName, required: WeightVersion | None
) -> list[Target]:
    """Returns the targets that are known to have the required version, if any, or a later one."""
    if required is None:
        return targets
    return [t for t in targets if (t.get_version(model) or WeightVersion(0)) >= required]


def compute_rollout_retry_delay(fraction: float) -> float:
    """Returns the seconds after which a caller should retry; ``fraction`` from 0 to 1 is random."""
    return ROLLOUT_RETRY_DELAY_S * (1.0 + fraction)
