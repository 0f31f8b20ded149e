"""Every instance knows changes in time, whenever and however often the store is restored."""

import unittest
from contextlib import closing
from dataclasses import dataclass
from enum import Enum

from hypothesis import given, settings
from hypothesis import strategies as st

from mulberryrill.platform.store import OPERATOR_TOPIC, REGISTRY_TOPIC
from tests.common.followersimulation import FollowerSimulation
from tests.common.promises import CONFIGURATION_BOUND_S

INSTANCE_COUNT = 3
EXAMPLE_COUNT = 120
# The bounds hold again this long after a fault.
CONTACT_S = 3.0
DRAIN_BOUND_S = 2.0


class StepKind(Enum):
    CHANGE = "change of the configuration"
    REGISTER = "registration of a target"
    RESTORE = "restore of the store"
    RESTART = "restart of an instance"
    FREEZE = "freeze of an instance for a second"


@dataclass(frozen=True)
class Step:
    """Something that happens after a pause of ``pause_s``."""

    kind: StepKind
    pause_s: float
    # Lost records, or the instance.
    number: int
    # Share of the lost records that are written again, and how long after the restore.
    rewritten_share: float
    rewrite_delay_s: float


def build_steps(*kinds: StepKind) -> st.SearchStrategy[Step]:
    return st.builds(
        Step,
        st.sampled_from(kinds),
        st.sampled_from([0.0, 0.01, 0.1, 0.4, 0.9, 1.7]),
        st.integers(0, 5),
        st.sampled_from([0.0, 0.5, 1.0]),
        st.sampled_from([0.0, 0.002, 0.3, 1.5]),
    )


STEPS = st.lists(build_steps(*StepKind), max_size=12)
LAST_RESTORE = build_steps(StepKind.RESTORE)


def run_step(simulation: FollowerSimulation, step: Step) -> None:
    """Lets one step happen."""
    simulation.run_for(step.pause_s)
    instance = simulation.instances[step.number % INSTANCE_COUNT]
    if step.kind is StepKind.CHANGE:
        simulation.write_configuration()
    elif step.kind is StepKind.REGISTER:
        simulation.write_draining_target()
    elif step.kind is StepKind.RESTART:
        instance.is_dead = True
        simulation.restart(instance)
    elif step.kind is StepKind.FREEZE:
        instance.is_frozen = True
        simulation.run_for(1.0)
        instance.is_frozen = False
    else:
        lost = {OPERATOR_TOPIC: step.number, REGISTRY_TOPIC: 2 * step.number}
        gone = simulation.restore_store(lost)
        simulation.run_for(step.rewrite_delay_s)
        for topic, records in gone.items():
            kept = records[round(len(records) * (1.0 - step.rewritten_share)) :]
            simulation.write_again(topic, kept)


class RestoredStorePropertyTest(unittest.TestCase):
    @settings(max_examples=EXAMPLE_COUNT, derandomize=True, deadline=None)
    @given(STEPS, LAST_RESTORE)
    def test_changes_are_known_in_time(self, steps: list[Step], last_restore: Step) -> None:
        with closing(FollowerSimulation(INSTANCE_COUNT)) as simulation:
            simulation.start()
            for step in [*steps, last_restore]:
                run_step(simulation, step)
            simulation.run_for(CONTACT_S)
            version = simulation.write_configuration()
            target = simulation.write_draining_target("late")
            written_at = simulation.now()
            simulation.run_for(CONFIGURATION_BOUND_S + 1.0)
            for instance in simulation.instances:
                delay_s = simulation.get_delay(instance, version)
                self.assertLessEqual(delay_s, CONFIGURATION_BOUND_S, instance.name)
                noticed_at = instance.observer.draining_since.get(target, float("inf"))
                self.assertLessEqual(noticed_at - written_at, DRAIN_BOUND_S, instance.name)
