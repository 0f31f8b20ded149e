"""Guards against calls to a target that is gone, after one of its earlier writes comes late.

A write to the platform's store that gets no response may be executed seconds later. A registration
that was executed after the removal of its target's record made the target ready again, because only
what came last counted. Nothing but the registry removed it again, three intervals later. Found by
the review's case DRAIN.
"""

import unittest

from mulberryrill.internal.core.serving.targettable import Registration
from tests.common.followersimulation import HEARTBEAT_S, FollowerSimulation, InstanceState

# An instance has read a record, or has got it from a peer, after this time.
READ_S = 0.8
# Registrations lapse after three intervals without a record.
SILENCE_S = 3 * HEARTBEAT_S
OUTAGE_S = 5.5
STEP_S = 0.1


class LateWriteTest(unittest.TestCase):
    """One target leaves or lapses beside four that go on writing."""

    def setUp(self) -> None:
        self.simulation = FollowerSimulation(2, InstanceState)
        self.addCleanup(self.simulation.close)
        for number in range(4):
            self.simulation.add_target(f"other-{number}")
            self.simulation.run_for(HEARTBEAT_S / 5)
        self.target = self.simulation.add_target("t")
        self.simulation.start()
        self.simulation.run_for(3.0)
        self.assertEqual(self.count_users(), 2)

    def list_states(self) -> list[InstanceState]:
        observers = [instance.observer for instance in self.simulation.instances]
        return [observer for observer in observers if isinstance(observer, InstanceState)]

    def count_users(self) -> int:
        """Returns the number of instances that would send the target a call."""
        return sum(self.target.id in state.list_used() for state in self.list_states())

    def check_stays_away(self, duration_s: float) -> None:
        for _ in range(round(duration_s / STEP_S)):
            self.simulation.run_for(STEP_S)
            self.assertEqual(self.count_users(), 0)

    def leave(self) -> None:
        self.target.leave()
        self.simulation.run_for(READ_S)
        self.assertEqual(self.count_users(), 0)

    def lapse(self) -> None:
        """The target cannot reach the store for a while, and the store removes its record."""
        self.target.is_cut_off = True
        self.simulation.run_for(HEARTBEAT_S + SILENCE_S)
        self.target.lapse()
        self.simulation.run_for(READ_S)
        self.assertEqual(self.count_users(), 0)

    def test_late_writes_of_a_target_that_left(self) -> None:
        for delay_s in (2.0, 4.0):
            self.target.write_late(delay_s)
        self.leave()
        self.check_stays_away(8.0)

    def test_late_ready_writes_of_a_target_that_drained(self) -> None:
        for delay_s in (4.0, 4.5, 5.0, 5.5):
            self.target.write_late(delay_s)
        self.target.write_state(state="draining")
        self.simulation.run_for(2.5)
        self.leave()
        self.check_stays_away(8.0)

    def test_late_write_in_a_complete_read(self) -> None:
        """Guards against a late write that is read where the log's history has expired."""
        states = self.list_states()
        registrations: list[Registration] = [t.registration for t in states[0].targets.targets]
        self.assertIn(self.target.id, [r.target for r in registrations])
        self.leave()
        for _ in range(4):
            for state in states:
                state.on_registry_read(registrations, False)
            self.assertEqual(self.count_users(), 0)

    def test_target_that_left_while_the_registry_was_not_read(self) -> None:
        """Guards against a departure that passes for a lapse, since an instance lost a moment."""
        self.target.write_late(6.0)
        for instance in self.simulation.instances:
            instance.is_cut_off = True
        self.simulation.run_for(2.2)
        self.target.leave()
        for instance in self.simulation.instances:
            instance.is_cut_off = False
        self.simulation.run_for(2 * READ_S)
        self.check_stays_away(6.0)

    def test_target_that_lapsed_while_the_registry_was_not_read(self) -> None:
        """All that it wrote before is read in the same moment as the removal."""
        for instance in self.simulation.instances:
            instance.is_cut_off = True
        self.simulation.run_for(2 * HEARTBEAT_S)
        self.target.is_cut_off = True
        self.simulation.run_for(HEARTBEAT_S + SILENCE_S)
        self.target.lapse()
        for instance in self.simulation.instances:
            instance.is_cut_off = False
        self.simulation.run_for(2 * READ_S)
        self.assertEqual(self.count_users(), 0)
        self.target.write_state()
        self.simulation.run_for(READ_S)
        self.assertEqual(self.count_users(), 2)

    def test_target_that_lapsed_in_an_outage_is_back_at_once(self) -> None:
        self.target.is_cut_off = self.simulation.is_store_down = True
        self.simulation.run_for(OUTAGE_S)
        self.simulation.is_store_down = False
        self.target.lapse()
        # It reaches the store later than the others.
        self.simulation.run_for(6.0)
        self.assertEqual(self.count_users(), 0)
        self.target.write_state()
        self.simulation.run_for(READ_S)
        self.assertEqual(self.count_users(), 2)

    def test_target_that_lapsed_alone_is_back_at_once(self) -> None:
        self.lapse()
        self.target.write_state()
        self.simulation.run_for(READ_S)
        self.assertEqual(self.count_users(), 2)

    def test_target_that_goes_on_writing_is_back(self) -> None:
        """It lives, whatever removed its record: so many of its writes are not all late."""
        self.target.lapse()
        self.simulation.run_for(READ_S)
        self.assertEqual(self.count_users(), 0)
        self.simulation.run_for(3 * HEARTBEAT_S)
        self.assertEqual(self.count_users(), 2)

    def test_late_removal_by_the_start_before(self) -> None:
        """Guards against a live target that is away longer than until its next heartbeat."""
        self.target.write_state(state="draining")
        self.simulation.run_for(2.5)
        self.target.remove_late(2.0)
        self.simulation.run_for(1.0)
        self.target.start_again(state="ready")
        self.simulation.run_for(1.0 + HEARTBEAT_S + READ_S)
        self.assertEqual(self.count_users(), 2)
