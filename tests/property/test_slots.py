"""The sum of what all gateways may start on a target stays within the cap that the holder decided.

Guards against overload of a cold target (I4) while messages are delayed, lost, repeated or
reordered, processes pause, fail, restart or join, targets restart and lists differ.
"""

import unittest

from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
    run_state_machine_as_test,
)

from mulberryrill.internal.core.slots import SlotClient, SlotHolder
from mulberryrill.internal.ids import InstanceId, TargetId
from tests.common.slotworld import COMMON, NAMES, TARGETS, Network, SlotWorld

NAME = st.sampled_from(NAMES)
SETTINGS = settings(
    derandomize=True,
    deadline=None,
    max_examples=60,
    stateful_step_count=25,
    database=None,
    phases=[Phase.generate],
    suppress_health_check=list(HealthCheck),
)


class SlotMachine(RuleBasedStateMachine):
    holder_type: type[SlotHolder] = SlotHolder
    client_type: type[SlotClient] = SlotClient

    @initialize(seed=st.integers(0, 2**32))
    def start(self, seed: int) -> None:
        self.world = SlotWorld(seed, self.holder_type, self.client_type)
        self.world.run(90)

    @rule(steps=st.integers(1, 40))
    def run_steps(self, steps: int) -> None:
        self.world.run(steps)

    @rule(
        loss=st.sampled_from([0.0, 0.0, 0.2, 0.6]),
        repeats=st.sampled_from([0.0, 0.3]),
        late=st.sampled_from([0.0, 0.1, 0.4]),
    )
    def change_network(self, loss: float, repeats: float, late: float) -> None:
        self.world.network = Network(loss, repeats, late)

    @rule(name=NAME, process=st.integers(-1, 1), duration=st.sampled_from([0.5, 2.5, 4.0, 7.0]))
    def pause(self, name: InstanceId, process: int, duration: float) -> None:
        instance = self.world.instances.get(name)
        if instance is not None:
            paused = instance if process < 0 else instance.gateways[process]
            paused.paused_until = self.world.now + duration

    @rule(engine=st.sampled_from(sorted(TARGETS)))
    def restart_target(self, engine: TargetId) -> None:
        self.world.restart_target(engine)

    @rule(name=NAME)
    def restart_control(self, name: InstanceId) -> None:
        self.world.restart_control(name)

    @rule(name=NAME)
    def fail(self, name: InstanceId) -> None:
        self.world.fail(name)

    @rule(name=NAME)
    def join(self, name: InstanceId) -> None:
        self.world.join(name)

    @rule(viewer=NAME, view=st.frozensets(NAME))
    def change_view(self, viewer: InstanceId, view: frozenset) -> None:
        self.world.views[viewer] = view | {COMMON}

    @rule()
    def heal(self) -> None:
        """Lets the list catch up and the network recover, so that a holder emerges again."""
        self.world.network = Network()
        view = frozenset(self.world.instances) | {COMMON}
        self.world.views = dict.fromkeys(NAMES, view)
        self.world.run(60)

    @invariant()
    def caps_hold(self) -> None:
        if hasattr(self, "world"):
            self.world.check()


class SlotSafetyTest(unittest.TestCase):
    def test_caps_hold(self) -> None:
        run_state_machine_as_test(SlotMachine, settings=SETTINGS)
