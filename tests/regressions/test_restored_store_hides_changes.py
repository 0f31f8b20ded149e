"""Changes are in force in time after the platform's store has come back from an older copy."""

import unittest
from contextlib import closing

from mulberryrill.internal.core.serving.keyedrecords import KeyedRecord
from mulberryrill.internal.ids import Offset
from mulberryrill.platform.store import OPERATOR_TOPIC, REGISTRY_TOPIC
from tests.common.followersimulation import FollowerSimulation
from tests.common.promises import CONFIGURATION_BOUND_S

INSTANCE_COUNT = 4
# The bounds hold from this long after the store's return on.
CONTACT_S = 3.0
DRAIN_BOUND_S = 2.0
RECORDS = 6


class RestoredStoreTest(unittest.TestCase):
    def check_change(self, lost: int, rewritten: int, delay_s: float) -> None:
        """The next change is in force everywhere, however many records were written again."""
        with closing(FollowerSimulation(INSTANCE_COUNT)) as simulation:
            simulation.start()
            for _ in range(RECORDS):
                simulation.write_configuration()
                simulation.run_for(0.3)
            gone = simulation.restore_store({OPERATOR_TOPIC: lost})[OPERATOR_TOPIC]
            simulation.run_for(delay_s)
            # Operators write the newest configuration again, or more records.
            simulation.write_again(OPERATOR_TOPIC, (gone[-1:] * rewritten)[:rewritten])
            simulation.run_for(CONTACT_S)
            version = simulation.write_configuration()
            simulation.run_for(CONFIGURATION_BOUND_S + 1.0)
            for instance in simulation.instances:
                delay = simulation.get_delay(instance, version)
                self.assertLessEqual(delay, CONFIGURATION_BOUND_S, instance.name)

    def test_change_comes_in_time_however_many_records_were_lost(self) -> None:
        for lost in (1, 2, 4):
            for rewritten in (0, 1, lost, lost + 2):
                for delay_s in (0.0, 1.3):
                    with self.subTest(lost=lost, rewritten=rewritten, delay_s=delay_s):
                        self.check_change(lost, rewritten, delay_s)

    def test_change_among_the_records_written_again_is_not_skipped(self) -> None:
        """As many records as were lost are there before the next read, so that none is missed."""
        with closing(FollowerSimulation(INSTANCE_COUNT)) as simulation:
            simulation.start()
            for _ in range(RECORDS):
                simulation.write_configuration()
                simulation.run_for(0.3)
            simulation.restore_store({OPERATOR_TOPIC: 2})
            version = simulation.write_configuration()
            other = KeyedRecord("version/m0", b'{"model": "m0", "version": 1}', Offset(0))
            simulation.write_again(OPERATOR_TOPIC, [other])
            simulation.run_for(CONFIGURATION_BOUND_S)
            for instance in simulation.instances:
                self.assertIn(version, instance.observer.applied_at, instance.name)

    def test_leaving_target_is_noticed_in_time(self) -> None:
        for lost in (1, 3, 6):
            for rewritten in (0, 1, lost, lost + 3):
                with self.subTest(lost=lost, rewritten=rewritten):
                    self.check_drain(lost, rewritten)

    def check_drain(self, lost: int, rewritten: int) -> None:
        with closing(FollowerSimulation(INSTANCE_COUNT)) as simulation:
            simulation.start()
            for _ in range(RECORDS):
                simulation.write_draining_target()
                simulation.run_for(0.2)
            gone = simulation.restore_store({REGISTRY_TOPIC: lost})[REGISTRY_TOPIC]
            simulation.write_again(REGISTRY_TOPIC, (gone * rewritten)[:rewritten])
            target = simulation.write_draining_target("late")
            written_at = simulation.now()
            simulation.run_for(CONTACT_S + DRAIN_BOUND_S)
            for instance in simulation.instances:
                noticed_at = instance.observer.draining_since.get(target, float("inf"))
                self.assertLessEqual(noticed_at - written_at, CONTACT_S + DRAIN_BOUND_S)

    def test_instances_that_the_copy_lacks_still_count(self) -> None:
        """Guards against limits divided among too few instances while others join again."""
        for lost in (1, 3):
            with (
                self.subTest(lost=lost),
                closing(FollowerSimulation(INSTANCE_COUNT)) as simulation,
            ):
                simulation.start()
                simulation.restore_store({OPERATOR_TOPIC: 0})
                simulation.lose_members(lost)
                for _ in range(60):
                    simulation.run_for(0.2)
                    for instance in simulation.instances:
                        self.assertEqual(len(instance.observer.peers), INSTANCE_COUNT)
