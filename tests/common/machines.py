"""Runs Hypothesis state machines with a fixed seed."""

from hypothesis import HealthCheck, Phase, settings
from hypothesis.stateful import RuleBasedStateMachine, run_state_machine_as_test

STEPS_PER_EXAMPLE = 60


def run_state_machine(
    machine: type[RuleBasedStateMachine], examples: int, **fields: object
) -> None:
    """Runs a state machine after replacing the class attributes named in ``fields``."""
    run_state_machine_as_test(
        type(machine.__name__, (machine,), fields),
        settings=settings(
            derandomize=True,
            database=None,
            deadline=None,
            max_examples=examples,
            stateful_step_count=STEPS_PER_EXAMPLE,
            phases=(Phase.generate,),
            suppress_health_check=list(HealthCheck),
        ),
    )
