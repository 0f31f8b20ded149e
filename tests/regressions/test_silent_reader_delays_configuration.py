"""A change reaches undisturbed instances in time even if the one that reads for them fails."""

import unittest
from collections.abc import Callable

from mulberryrill.platform.store import REGISTRY_TOPIC
from tests.common.followersimulation import FollowerSimulation, SimulatedInstance
from tests.common.promises import CONFIGURATION_BOUND_S

# The shortest time within which a leaving target must get no more work.
DRAIN_BOUND_S = 2.0
INSTANCE_COUNT = 4
# Faults begin at these phases of the reader's cycle, in steps of this many seconds.
PHASE_STEP_S = 0.05
PHASE_COUNT = 36
# Shorter than the time after which an instance takes over, so that the message still counts.
LATE_MESSAGE_S = 0.5


def freeze(reader: SimulatedInstance) -> None:
    reader.is_frozen = True


def kill(reader: SimulatedInstance) -> None:
    reader.is_dead = True


def cut_off(reader: SimulatedInstance) -> None:
    reader.is_cut_off = True


class SilentReaderTest(unittest.TestCase):
    def start_simulation(self, phase: int) -> FollowerSimulation:
        simulation = FollowerSimulation(INSTANCE_COUNT)
        self.addCleanup(simulation.close)
        simulation.start()
        simulation.run_for(phase * PHASE_STEP_S)
        return simulation

    def check_instances(
        self, simulation: FollowerSimulation, reader: SimulatedInstance | None, version: int
    ) -> None:
        for instance in simulation.instances:
            if instance is not reader:
                delay_s = simulation.get_delay(instance, version)
                self.assertLess(delay_s, CONFIGURATION_BOUND_S, instance.name)

    def check_delay(self, begin_fault: Callable[[SimulatedInstance], None], gap_s: float) -> None:
        """Checks all phases of the fault; the change is acknowledged ``gap_s`` after its begin."""
        for number in range(PHASE_COUNT):
            with self.subTest(phase_s=round(number * PHASE_STEP_S, 3)):
                simulation = self.start_simulation(number)
                reader = simulation.get_reader()
                begin_fault(reader)
                simulation.run_for(gap_s)
                version = simulation.write_configuration()
                simulation.run_for(CONFIGURATION_BOUND_S + 1.0)
                self.check_instances(simulation, reader, version)

    def test_reader_that_restarts_and_loses_a_message(self) -> None:
        """The restarted reader reads the change with its first read, which was not announced."""
        for number in range(PHASE_COUNT):
            with self.subTest(phase_s=round(number * PHASE_STEP_S, 3)):
                simulation = self.start_simulation(number)
                reader = simulation.get_reader()
                reader.is_dead = True
                version = simulation.write_configuration()
                simulation.run_for(0.3)
                simulation.restart(reader)
                simulation.run_for(CONFIGURATION_BOUND_S + 1.0)
                self.check_instances(simulation, reader, version)

    def test_messages_that_were_on_their_way_for_long(self) -> None:
        """A message that a slow link delivers late must not count as recent."""
        for number in range(PHASE_COUNT):
            with self.subTest(phase_s=round(number * PHASE_STEP_S, 3)):
                simulation = self.start_simulation(number)
                reader = simulation.get_reader()
                reader.send_delay_s = LATE_MESSAGE_S
                simulation.run_for(0.3)
                reader.is_dead = True
                version = simulation.write_configuration()
                simulation.run_for(CONFIGURATION_BOUND_S + 1.0)
                self.check_instances(simulation, reader, version)

    def test_draining_target_behind_late_messages(self) -> None:
        """Targets are read in the same way as the operators' records."""
        for number in range(PHASE_COUNT):
            with self.subTest(phase_s=round(number * PHASE_STEP_S, 3)):
                simulation = self.start_simulation(number)
                reader = simulation.get_reader(REGISTRY_TOPIC)
                reader.send_delay_s = LATE_MESSAGE_S
                simulation.run_for(0.3)
                reader.is_dead = True
                target, written_at = simulation.write_draining_target(), simulation.now()
                simulation.run_for(DRAIN_BOUND_S + 1.0)
                for instance in simulation.instances:
                    if instance is not reader:
                        since = instance.observer.draining_since.get(target, float("inf"))
                        self.assertLess(since - written_at, DRAIN_BOUND_S, instance.name)

    def test_reader_whose_records_expire(self) -> None:
        """The reader reads the newest record of each key, and its peers must learn of it."""
        for number in range(PHASE_COUNT):
            with self.subTest(phase_s=round(number * PHASE_STEP_S, 3)):
                simulation = self.start_simulation(number)
                simulation.expire_records()
                version = simulation.write_configuration()
                simulation.run_for(CONFIGURATION_BOUND_S + 1.0)
                self.check_instances(simulation, None, version)

    def test_frozen_reader(self) -> None:
        self.check_delay(freeze, 0.01)

    def test_killed_reader(self) -> None:
        self.check_delay(kill, 0.01)

    def test_reader_cut_off_from_the_store(self) -> None:
        self.check_delay(cut_off, 0.01)
