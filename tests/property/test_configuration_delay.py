"""Every undisturbed instance knows a change in time while other instances fail in any way."""

import unittest
from contextlib import closing
from dataclasses import dataclass
from enum import Enum

from hypothesis import given, settings
from hypothesis import strategies as st

from tests.common.followersimulation import FollowerSimulation
from tests.common.promises import CONFIGURATION_BOUND_S

# The bound holds on instances that nothing has disturbed for this long.
CONTACT_S = 3.0
INSTANCE_COUNT = 4
EXAMPLE_COUNT = 100


class FaultKind(Enum):
    FREEZE = "freeze"
    RESTART = "restart"
    CUT_OFF = "cut off from the store"
    SLOW_LINK = "slow link"


@dataclass(frozen=True)
class Fault:
    """A fault of one instance, in seconds from the start."""

    kind: FaultKind
    instance: int
    begin_s: float
    duration_s: float


TIMES = st.integers(0, 200).map(lambda n: n * 0.05)
FAULTS = st.lists(
    st.builds(
        Fault,
        st.sampled_from(FaultKind),
        st.integers(0, INSTANCE_COUNT - 1),
        TIMES,
        st.integers(1, 80).map(lambda n: n * 0.05),
    ),
    max_size=8,
)
CHANGES = st.lists(TIMES, min_size=1, max_size=6, unique=True)


def set_fault(simulation: FollowerSimulation, fault: Fault, *, is_begin: bool) -> None:
    """Begins or ends a fault."""
    instance = simulation.instances[fault.instance]
    if fault.kind is FaultKind.FREEZE:
        instance.is_frozen = is_begin
    elif fault.kind is FaultKind.CUT_OFF:
        instance.is_cut_off = is_begin
    elif fault.kind is FaultKind.SLOW_LINK:
        instance.send_delay_s = 0.7 if is_begin else 0.001
    elif is_begin:
        instance.is_dead = True
    else:
        simulation.restart(instance)


class ConfigurationDelayTest(unittest.TestCase):
    @settings(max_examples=EXAMPLE_COUNT, deadline=None, derandomize=True)
    @given(FAULTS, CHANGES)
    def test_change_is_known_in_time_on_undisturbed_instances(
        self, faults: list[Fault], changes: list[float]
    ) -> None:
        simulation = FollowerSimulation(INSTANCE_COUNT)
        with closing(simulation):
            self.check_delays(simulation, faults, changes)

    def check_delays(
        self, simulation: FollowerSimulation, faults: list[Fault], changes: list[float]
    ) -> None:
        simulation.start()
        steps: list[tuple[float, Fault | None, bool]] = [(at, None, True) for at in changes]
        steps += [(fault.begin_s, fault, True) for fault in faults]
        steps += [(fault.begin_s + fault.duration_s, fault, False) for fault in faults]
        elapsed_s = 0.0
        written: dict[int, float] = {}
        for at, fault, is_begin in sorted(steps, key=lambda step: step[0]):
            simulation.run_for(at - elapsed_s)
            elapsed_s = at
            if fault is None:
                written[simulation.write_configuration()] = at
            else:
                set_fault(simulation, fault, is_begin=is_begin)
        simulation.run_for(CONFIGURATION_BOUND_S + 1.0)
        for version, at in written.items():
            for number, instance in enumerate(simulation.instances):
                window = (at - CONTACT_S, at + CONFIGURATION_BOUND_S)
                if any(
                    fault.instance == number
                    and fault.begin_s <= window[1]
                    and fault.begin_s + fault.duration_s >= window[0]
                    for fault in faults
                ):
                    continue
                # A later version of a restarted instance shows that it knows this one, too.
                delays = [
                    applied_at - simulation.written_at[version]
                    for applied, applied_at in instance.observer.applied_at.items()
                    if applied >= version
                ]
                self.assertLess(min(delays, default=float("inf")), CONFIGURATION_BOUND_S)
