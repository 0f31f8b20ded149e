"""Runs hypothesis state machines with a fixed seed."""

from hypothesis import HealthCheck, Phase, settings
from hypothesis.stateful import RuleBasedStateMachine, run_state_machine_as_test

STEPS = 60


def run_state_machine(
    machine: type[RuleBasedStateMachine], examples: int, **fields: object
) -> None:
    """Runs a machine whose class attributes are replaced by ``fields``."""
    run_state_machine_as_test(
        type(machine.__name__, (machine,), fields),
        settings=settings(
            derandomize=True,
            database=None,
            deadline=None,
            max_examples=examples,
            stateful_step_count=STEPS,
            phases=(Phase.generate,),
            suppress_health_check=list(HealthCheck),
        ),
    )
