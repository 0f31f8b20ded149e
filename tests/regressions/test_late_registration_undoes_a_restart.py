"""Guards against streams that go on at a restarted target as if it were the one of before.

A target's write to the platform's store that gets no response may be executed after the target has
started again under its id. That registration replaced the one of the new start until its next
heartbeat: another software version, warm instead of cold, without its departure and quiet times.
Found by the review's case ORDER.
"""

import json
import unittest

from mulberryrill.internal.core.serving.departures import GONE_RETENTION_S, RETURN_RECORD_COUNT
from mulberryrill.internal.core.serving.registrations import Registration
from mulberryrill.internal.core.serving.targettable import TargetTable
from mulberryrill.platform.records import parse_registration
from tests.common.followersimulation import (
    HEARTBEAT_S,
    SERVICE,
    FollowerSimulation,
    InstanceState,
)

STEP_S = 0.05
# An instance has read a record, or has got it from a peer, after this time.
READ_S = 0.8


class RestartTest(unittest.TestCase):
    """A target that drains, leaves and starts again as another software version."""

    def setUp(self) -> None:
        self.simulation = FollowerSimulation(2, InstanceState)
        self.addCleanup(self.simulation.close)
        for number in range(4):
            self.simulation.add_target(f"other-{number}")
            self.simulation.run_for(HEARTBEAT_S / 5)
        self.target = self.simulation.add_target("t")
        self.target.write_state(version="v1")
        self.simulation.start()
        self.simulation.run_for(3.0)
        self.assertEqual(self.list_versions(), ["v1", "v1"])

    def list_states(self) -> list[InstanceState]:
        observers = [instance.observer for instance in self.simulation.instances]
        return [observer for observer in observers if isinstance(observer, InstanceState)]

    def list_versions(self) -> list[str]:
        """Returns what each instance takes for the target's version, if it would send it a call."""
        usable = [t for state in self.list_states() for t in state.targets.list_usable(SERVICE)]
        return [t.registration.software for t in usable if t.id == self.target.id]

    def check_versions(self, duration_s: float, expected: list[str]) -> None:
        for _ in range(round(duration_s / STEP_S)):
            self.simulation.run_for(STEP_S)
            self.assertEqual(self.list_versions(), expected)

    def restart(self) -> None:
        self.target.write_state(state="draining")
        self.simulation.run_for(2.3)
        self.target.lapse()
        self.simulation.run_for(0.5)
        self.target.start_again(version="v2", state="ready")
        self.simulation.run_for(READ_S)
        self.assertEqual(self.list_versions(), ["v2", "v2"])

    def test_late_registration_of_the_earlier_version(self) -> None:
        for delay_s in (4.0, 4.9, 6.5):
            self.target.write_late(delay_s)
        self.restart()
        self.check_versions(6.0, ["v2", "v2"])

    def test_late_registration_of_a_version_that_lapsed(self) -> None:
        """The target ends without a word, and starts again as another version."""
        self.target.write_late(5.4)
        self.target.is_cut_off = True
        self.simulation.run_for(4.0)
        self.target.lapse()
        self.simulation.run_for(0.3)
        self.target.is_cut_off = False
        self.target.start_again(version="v2")
        self.simulation.run_for(READ_S)
        self.check_versions(4.0, ["v2", "v2"])

    def test_late_registration_after_the_new_start_has_left(self) -> None:
        for delay_s in (6.0, 6.5):
            self.target.write_late(delay_s)
        self.restart()
        self.target.leave()
        self.simulation.run_for(READ_S)
        self.check_versions(4.0, [])

    def test_late_registration_in_a_complete_read(self) -> None:
        """Guards against a late write that is the newest record when the store is read anew."""
        states = self.list_states()
        earlier: list[Registration] = [t.registration for t in states[0].targets.targets]
        self.restart()
        for state in states:
            state.on_registry_read(earlier, False)
        self.assertEqual(self.list_versions(), ["v2", "v2"])


class EarlierStartTest(unittest.TestCase):
    def setUp(self) -> None:
        self.table = TargetTable()
        self.earlier = self.create(999, version="v1")
        self.later = self.create(2_000, version="v2")

    @staticmethod
    def create(born: int, name: str = "t1", **changes: object) -> Registration:
        fields = {
            "service": SERVICE,
            "address": "10.0.0.1:80",
            "zone": "z1",
            "state": "ready",
            "slots": 4,
            "born": born,
        }
        return parse_registration(name, json.dumps({**fields, **changes}).encode())

    def list_usable(self) -> list[Registration]:
        return [target.registration for target in self.table.list_usable(self.earlier.service)]

    def test_cold_target_is_not_taken_for_a_warm_one(self) -> None:
        """Guards against calls at the full rate to a target that has just started."""
        self.table.apply(self.earlier, 0.0)
        self.table.apply(self.create(2_000, cold_remaining_ms=5_000), 1.0)
        target = self.table.targets[0]
        self.table.apply(self.earlier, 2.0)
        self.assertIs(self.table.targets[0], target)
        self.assertTrue(target.is_cold(5.9))

    def test_start_that_was_never_seen_is_not_taken_for_a_new_one(self) -> None:
        """Guards against an instance that has started since, and knows the later start only."""
        self.table.apply(self.later, 0.0)
        self.table.apply(self.earlier, 1.0)
        self.assertEqual(self.list_usable(), [self.later])

    def test_start_whose_clock_is_behind_is_used_once_it_goes_on_writing(self) -> None:
        """Guards against a live target that is ignored because its clock was set back."""
        self.table.apply(self.later, 0.0)
        for number in range(RETURN_RECORD_COUNT):
            self.assertEqual(self.list_usable(), [self.later])
            self.table.apply(self.earlier, 1.0 + number)
        self.assertEqual(self.list_usable(), [self.earlier])

    def test_late_writes_between_heartbeats_never_count_together(self) -> None:
        self.table.apply(self.later, 0.0)
        for number in range(2 * RETURN_RECORD_COUNT):
            self.table.apply(self.earlier, 1.0 + number)
            self.table.apply(self.later, 1.5 + number)
            self.assertEqual(self.list_usable(), [self.later])

    def test_later_start_that_is_gone_is_forgotten_in_the_end(self) -> None:
        self.table.apply(self.later, 0.0)
        self.table.remove(self.later.target, 1.0)
        self.table.apply(self.earlier, 2.0)
        self.assertEqual(self.list_usable(), [])
        self.table.apply(self.earlier, 1.0 + GONE_RETENTION_S)
        self.assertEqual(self.list_usable(), [self.earlier])

    def test_address_belongs_to_the_target_that_started_last(self) -> None:
        """Guards against a lapsed target that takes over the address of its successor."""
        self.table.apply(self.earlier, 0.0)
        self.table.remove(self.earlier.target, 10.0, heartbeat_s=1.2)
        successor = self.create(2_000, "t2")
        self.table.apply(successor, 11.0)
        self.table.apply(self.earlier, 12.0)
        target = self.table.find_by_address(successor.address)
        assert target is not None
        self.assertEqual(target.id, "t2")
