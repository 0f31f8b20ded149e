"""A target's record in the platform's registry."""

from dataclasses import dataclass
from enum import Enum

from ...ids import (
    DataCentre,
    Incarnation,
    ModelName,
    ServiceName,
    SoftwareVersion,
    TargetId,
    WeightVersion,
)


class RegistrationState(Enum):
    """Whether a registered target accepts new calls."""

    READY = "ready"
    DRAINING = "draining"


@dataclass(frozen=True)
class TargetRun:
    """One incarnation of a target."""

    target: TargetId
    incarnation: Incarnation


@dataclass(frozen=True)
class Registration:
    """A target's record in the platform's registry, written by the target itself."""

    target: TargetId
    service: ServiceName
    address: str
    data_centre: DataCentre
    state: RegistrationState
    incarnation: Incarnation
    slots: int
    # The target stays cold this long after the registration was written.
    cold_s: float
    # Orders that the target has accepted since its start.
    order_count: int
    models: tuple[tuple[ModelName, WeightVersion], ...] = ()
    software: SoftwareVersion = SoftwareVersion("")
    # Start of the incarnation in Unix milliseconds of the target's clock.
    started_ms: int = 0

    @property
    def run(self) -> TargetRun:
        """The target in its present incarnation."""
        return TargetRun(self.target, self.incarnation)
