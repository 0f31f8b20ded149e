"""Tests that what all gateways may start on a target stays within the cap set by the holder.

Guards against overload of a cold target (invariant I4) while messages are delayed, lost, repeated
or reordered, processes pause, fail, restart or join, targets restart and member lists differ.
"""

import unittest
from collections.abc import Iterable
from unittest.mock import patch

from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
    run_state_machine_as_test,
)

from mulberryrill.internal.core.allotments import GranteeAccount
from mulberryrill.internal.core.slotholder import SlotHolder
from mulberryrill.internal.core.slots import SlotClient
from mulberryrill.internal.ids import InstanceId, TargetId
from mulberryrill.internal.schema.wire_pb2 import (
    SlotGrant,
    SlotPromise,
    SlotPromiseRequest,
    TargetUse,
)
from tests.common.slotsimulation import (
    ALWAYS_LISTED,
    INSTANCE_NAMES,
    TARGETS,
    Network,
    SlotSimulation,
)

NAME = st.sampled_from(INSTANCE_NAMES)
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
    complete_views = True
    network = Network()
    # Longer than an instance waits before it can be holder.
    first_steps = 90

    @initialize(seed=st.integers(0, 2**32))
    def start(self, seed: int) -> None:
        self.simulation = SlotSimulation(seed, self.holder_type, self.client_type)
        self.simulation.complete_views = self.complete_views
        self.simulation.network = self.network
        self.simulation.run(self.first_steps)

    @rule(steps=st.integers(1, 40))
    def run_steps(self, steps: int) -> None:
        self.simulation.run(steps)

    @rule(
        loss=st.sampled_from([0.0, 0.0, 0.2, 0.6]),
        repeats=st.sampled_from([0.0, 0.3]),
        late=st.sampled_from([0.0, 0.1, 0.4]),
    )
    def change_network(self, loss: float, repeats: float, late: float) -> None:
        self.simulation.network = Network(loss, repeats, late)

    @rule(name=NAME, process=st.integers(-1, 1), duration=st.sampled_from([0.5, 2.5, 7.0, 20.0]))
    def pause(self, name: InstanceId, process: int, duration: float) -> None:
        instance = self.simulation.instances.get(name)
        if instance is not None:
            paused = instance if process < 0 else instance.gateways[process]
            paused.paused_until = self.simulation.now + duration

    @rule(engine=st.sampled_from(sorted(TARGETS)))
    def restart_target(self, engine: TargetId) -> None:
        self.simulation.restart_target(engine)

    @rule(name=NAME)
    def restart_control(self, name: InstanceId) -> None:
        if self.may_restart(name):
            self.simulation.restart_control(name)

    @rule(name=NAME)
    def fail(self, name: InstanceId) -> None:
        if self.may_restart(name):
            self.simulation.fail(name)

    @rule(name=NAME)
    def join(self, name: InstanceId) -> None:
        if self.may_restart(name):
            self.simulation.join(name)

    def may_restart(self, name: InstanceId) -> bool:
        """With differing lists, only the common member keeps the list of participants."""
        return self.complete_views or name != ALWAYS_LISTED

    @rule(viewer=NAME, view=st.frozensets(NAME))
    def change_view(self, viewer: InstanceId, view: frozenset) -> None:
        self.simulation.views[viewer] = view | {ALWAYS_LISTED}

    @rule()
    def heal(self) -> None:
        """Completes the lists and restores the network until there can be a holder again."""
        self.simulation.network = Network()
        view = frozenset(self.simulation.instances) | {ALWAYS_LISTED}
        self.simulation.views = dict.fromkeys(INSTANCE_NAMES, view)
        self.simulation.run(60)

    @invariant()
    def caps_hold(self) -> None:
        if hasattr(self, "simulation"):
            self.simulation.check()


class DifferingListsMachine(SlotMachine):
    """Lists may permanently lack live instances, except for one member that keeps running."""

    complete_views = False


class SlotSafetyTest(unittest.TestCase):
    def run_machine(self, machine: type[SlotMachine], examples: int) -> None:
        run_state_machine_as_test(machine, settings=settings(SETTINGS, max_examples=examples))

    def check_detected(self, machine: type[SlotMachine]) -> None:
        """Checks that the machine detects an injected fault; otherwise its passes prove nothing."""
        with self.assertRaisesRegex(AssertionError, "free of|holders at once"):
            self.run_machine(machine, 100)

    def test_caps_hold(self) -> None:
        self.run_machine(SlotMachine, 20)

    def test_caps_hold_with_differing_lists(self) -> None:
        self.run_machine(DifferingListsMachine, 15)

    def test_holder_without_all_promises_is_found(self) -> None:
        class EarlyHolder(SlotHolder):
            def _list_required(self, now: float) -> set[InstanceId]:
                return {i for i, r in self._instances.items() if r.promised_until > now}

        class Machine(SlotMachine):
            holder_type = EarlyHolder

        self.check_detected(Machine)

    def test_promises_to_several_holders_are_found(self) -> None:
        class MultiplePromisesClient(SlotClient):
            def on_promise_request(self, request: SlotPromiseRequest, now: float) -> SlotPromise:
                if request.holder != self._holder:
                    self._promised_until = now
                return super().on_promise_request(request, now)

        class Machine(DifferingListsMachine):
            client_type = MultiplePromisesClient

        self.check_detected(Machine)

    def test_grants_counted_from_receipt_are_found(self) -> None:
        class ReceiptTimeClient(SlotClient):
            def on_grant(self, grant: SlotGrant, now: float) -> None:
                self._sent_reports[grant.report_sent_at] = now
                super().on_grant(grant, now)

        class Machine(SlotMachine):
            client_type = ReceiptTimeClient
            network = Network(delay_rate=0.6, duplicate_rate=0.3)
            first_steps = 500

        self.check_detected(Machine)

    def test_grants_made_smaller_at_once_are_found(self) -> None:
        def drop_allotments(
            self: GranteeAccount, sent_at: float, uses: Iterable[TargetUse]
        ) -> bool:
            self._allotments.clear()
            return accept_report(self, sent_at, uses)

        accept_report = GranteeAccount.accept_report
        with patch.object(GranteeAccount, "accept_report", drop_allotments):
            self.check_detected(SlotMachine)
