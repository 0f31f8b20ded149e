"""Guards against calls to targets that left while an instance could not read the registry.

To an instance that is cut off from the platform's store, alone or with its data centre, the cut
looks like an outage of the store, in which registrations of live targets lapse. It kept each target
whose registration it found removed, and gave it calls, until 2 s after its first read, which came
up to 2 s after the end of the cut, and for up to one more second. Found by the review's case DRAIN.
"""

import unittest

from mulberryrill.internal.core.serving.targettable import EXPIRY_GRACE_S
from tests.common.followersimulation import (
    HEARTBEAT_S,
    FollowerSimulation,
    InstanceState,
    SimulatedInstance,
    SimulatedTarget,
)

# An instance counts as in touch from this time after the end of a cut or an outage on.
CONTACT_S = 3.0
# The longest cut of the deployments.
CUT_S = 5.5
# Targets whose registrations lapsed during an outage register again within this time.
RETURN_S = 2.0
TARGET_COUNT = 6
# Cuts begin at these phases of the reads, in steps of this many seconds.
PHASE_STEP_S = 0.17
PHASE_COUNT = 8


class GoneTargetTest(unittest.TestCase):
    def start(self, phase: int, instances: int = 1) -> FollowerSimulation:
        simulation = FollowerSimulation(instances, InstanceState)
        self.addCleanup(simulation.close)
        self.targets: list[SimulatedTarget] = []
        for number in range(TARGET_COUNT):
            self.targets.append(simulation.add_target(f"t{number}"))
            # Their heartbeats come one after the other.
            simulation.run_for(HEARTBEAT_S / TARGET_COUNT)
        simulation.start()
        simulation.run_for(6.0 + phase * PHASE_STEP_S)
        return simulation

    def list_used(self, instance: SimulatedInstance) -> set[str]:
        assert isinstance(instance.observer, InstanceState)
        return instance.observer.list_used()

    def list_live(self) -> set[str]:
        return {target.id for target in self.targets if not target.is_leaving}

    def check_cut(
        self, leave_before_s: float, instances: int = 1, cut_off_targets: int = 0
    ) -> None:
        """Cuts all instances off; a target leaves a time before the end of the cut."""
        for phase in range(PHASE_COUNT):
            with self.subTest(phase_s=round(phase * PHASE_STEP_S, 2)):
                simulation = self.start(phase, instances)
                for instance in simulation.instances:
                    instance.is_cut_off = True
                for target in self.targets[:cut_off_targets]:
                    target.is_cut_off = True
                simulation.run_for(CUT_S - leave_before_s)
                self.targets[-1].leave()
                for target in self.targets[:cut_off_targets]:
                    target.lapse()
                simulation.run_for(leave_before_s)
                for instance in simulation.instances:
                    instance.is_cut_off = False
                for target in self.targets[:cut_off_targets]:
                    target.is_cut_off = False
                simulation.run_for(CONTACT_S)
                for instance in simulation.instances:
                    self.assertEqual(self.list_used(instance), self.list_live())

    def test_target_that_left_during_a_cut_is_not_used(self) -> None:
        self.check_cut(0.5)

    def test_target_that_left_early_in_a_cut_is_not_used(self) -> None:
        self.check_cut(4.5)

    def test_target_that_left_while_a_data_centre_was_cut_off_is_not_used(self) -> None:
        """Some of the targets are in that data centre, and cannot write either."""
        self.check_cut(0.5, instances=3, cut_off_targets=2)

    def test_targets_that_lapse_in_an_outage_are_used_all_the_time(self) -> None:
        for phase in range(PHASE_COUNT):
            with self.subTest(phase_s=round(phase * PHASE_STEP_S, 2)):
                simulation = self.start(phase, 2)
                simulation.is_store_down = True
                simulation.run_for(CUT_S)
                simulation.is_store_down = False
                for target in self.targets:
                    target.lapse()
                for _ in range(20):
                    simulation.run_for(RETURN_S / 20)
                    for instance in simulation.instances:
                        self.assertEqual(self.list_used(instance), self.list_live())

    def test_target_that_left_just_before_an_outage_is_not_used(self) -> None:
        """It does not register again, so it is gone once the store has been back for 2 s."""
        for phase in range(PHASE_COUNT):
            with self.subTest(phase_s=round(phase * PHASE_STEP_S, 2)):
                simulation = self.start(phase)
                self.targets[-1].leave()
                simulation.is_store_down = True
                simulation.run_for(CUT_S)
                simulation.is_store_down = False
                simulation.run_for(CONTACT_S)
                self.assertEqual(self.list_used(simulation.instances[0]), self.list_live())

    def test_short_cut_does_not_cancel_the_time_after_an_outage(self) -> None:
        """Guards against live targets that are dropped while they register again."""
        simulation = self.start(0)
        simulation.is_store_down = True
        simulation.run_for(CUT_S)
        simulation.is_store_down = False
        lapsed = self.targets[0]
        lapsed.lapse()
        lapsed.is_cut_off = True
        instance = simulation.instances[0]
        simulation.run_for(0.8)
        instance.is_cut_off = True
        simulation.run_for(0.3)
        instance.is_cut_off = False
        simulation.run_for(RETURN_S - 1.2)
        self.assertIn(lapsed.id, self.list_used(instance))
        simulation.run_for(EXPIRY_GRACE_S + 2.0)
        self.assertNotIn(lapsed.id, self.list_used(instance))

    def test_message_from_before_an_outage_does_not_tell_that_it_was_none(self) -> None:
        """Guards against live targets that are dropped because an old feed came late."""
        simulation = self.start(0)
        state = simulation.instances[0].observer
        assert isinstance(state, InstanceState)
        last_read_at = simulation.now()
        simulation.is_store_down = True
        simulation.run_for(CUT_S)
        state.on_registry_reachability(True)
        state.on_registry_checked(last_read_at + 0.1)
        state.on_registration_removed(self.targets[0].id)
        self.assertEqual(state.list_used(), self.list_live())
