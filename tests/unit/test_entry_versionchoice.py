"""Which targets a call may go to while a software version is rolled out, and what is counted."""

import unittest
from types import SimpleNamespace
from typing import Any, cast

from mulberryrill.internal.clock import ManualClock
from mulberryrill.internal.core.serving.rollouts import (
    IgnoredReason,
    RolloutMark,
    RolloutOrder,
    Rollouts,
    RolloutState,
    RolloutStatus,
    Stage,
)
from mulberryrill.internal.core.serving.targettable import Target, TargetTable
from mulberryrill.internal.core.serving.versionevidence import RouteCounts
from mulberryrill.internal.entry.attempt import Outcome
from mulberryrill.internal.entry.versionchoice import (
    VersionChoice,
    decode_counts,
    encode_counts,
)
from mulberryrill.internal.ids import InstanceId, ServiceName, SoftwareVersion
from mulberryrill.internal.schema.settings_pb2 import EntryBounds
from tests.common.followersimulation import SimulatedLoop
from tests.unit.test_serving_targettable import create_registration

SERVICE = ServiceName("desk")
OLD, NEW, OTHER = map(SoftwareVersion, ("v1", "v2", "v3"))
DURATION_S = 20.0


class VersionChoiceTest(unittest.TestCase):
    """Guards against calls at versions that nobody allowed, and outcomes of the wrong version."""

    def setUp(self) -> None:
        self.clock = ManualClock()
        self.loop = SimulatedLoop(self.clock, "test")
        self.addCleanup(self.loop.close)
        self.rollouts, self.targets = Rollouts(), TargetTable()
        self.state = SimpleNamespace(
            rollouts=self.rollouts,
            targets=self.targets,
            instances=(InstanceId("i1"),),
            has_peer_list=True,
            rollout_statuses_age_s=0.1,
        )
        self.add("old-1", OLD)
        state = cast(Any, self.state)
        self.choice = VersionChoice(
            self.loop, state, InstanceId("i1"), EntryBounds(), get_random=lambda: 0.0
        )

    def add(self, name: str, version: SoftwareVersion) -> Target:
        registration = create_registration(name, service=SERVICE, software=version)
        self.targets.apply(registration, 0.0)
        target = self.targets.get(registration.target)
        assert target is not None
        return target

    def order(self, version: SoftwareVersion = NEW) -> IgnoredReason | None:
        registered = self.targets.count_versions(SERVICE)
        order = RolloutOrder(SERVICE, version, DURATION_S)
        now = self.loop.boottime()
        return self.rollouts.set_order(order, registered, now, 0, is_initial=False)

    def begin(self, stage: Stage = Stage.TRIAL) -> None:
        """Orders the new version, starts targets and lets the store say that it is running."""
        self.order()
        self.new = self.add("new-1", NEW)
        self.add("other-1", OTHER)
        mark = RolloutMark(NEW, stage, 0, DURATION_S)
        self.rollouts.set_mark(SERVICE, mark, self.loop.boottime(), 0)
        self.set_state(RolloutState.RUNNING)
        rollout = self.rollouts.get(SERVICE)
        assert rollout is not None
        rollout.hears_most = True

    def set_state(self, state: RolloutState) -> None:
        self.rollouts.set_status(SERVICE, RolloutStatus(state, NEW))

    def list_allowed(self, *, is_bound: bool = False, is_repeat: bool = False) -> list[str]:
        usable = self.targets.list_usable(SERVICE)
        allowed = self.choice.list_allowed(SERVICE, usable, is_bound=is_bound, is_repeat=is_repeat)
        return [target.id for target in allowed]

    def test_without_an_order_all_versions_get_calls(self) -> None:
        self.add("new-1", NEW)
        self.assertEqual(self.list_allowed(), ["old-1", "new-1"])

    def test_nothing_moves_before_the_store_says_so(self) -> None:
        self.order()
        self.add("new-1", NEW)
        self.assertEqual(self.list_allowed(), ["old-1"])
        # Nobody has evaluated the version when the order's time is over.
        self.clock.advance(DURATION_S)
        self.add("other-1", OTHER)
        self.assertEqual(self.list_allowed(), ["old-1", "other-1"])

    def test_trial_gets_first_attempts_only(self) -> None:
        self.begin()
        self.assertEqual(self.list_allowed(), ["new-1"])
        self.assertEqual(self.list_allowed(is_repeat=True), ["old-1"])

    def test_budget_ends_the_trial(self) -> None:
        self.begin()
        for _ in range(40):
            self.assertEqual(self.list_allowed(), ["new-1"])
            self.choice.record_send(self.new, is_first=False)
        self.assertEqual(self.list_allowed(), ["old-1"])

    def test_all_calls_move_only_while_the_store_is_known(self) -> None:
        self.begin(Stage.FULL)
        self.assertEqual(self.list_allowed(is_repeat=True), ["new-1"])
        self.state.rollout_statuses_age_s = 10.0
        self.assertEqual(self.list_allowed(is_repeat=True), ["old-1"])

    def test_streams_go_on_at_any_version_but_a_bad_one(self) -> None:
        self.begin()
        self.assertEqual(self.list_allowed(is_bound=True), ["old-1", "new-1", "other-1"])
        self.set_state(RolloutState.ROLLED_BACK)
        self.assertEqual(self.list_allowed(is_bound=True), ["old-1", "other-1"])
        self.assertEqual(self.list_allowed(), ["old-1", "other-1"])

    def test_old_targets_get_nothing_when_the_rollout_is_done(self) -> None:
        self.begin(Stage.FULL)
        self.set_state(RolloutState.DONE)
        self.assertEqual(self.list_allowed(), ["new-1", "other-1"])

    def test_new_version_serves_when_no_old_target_is_left(self) -> None:
        self.begin()
        self.targets.remove(self.targets.targets[0].id, 1.0)
        self.assertEqual(self.list_allowed(is_repeat=True), ["new-1"])

    def test_order_for_the_version_that_serves_is_ignored(self) -> None:
        self.assertIs(self.order(OLD), IgnoredReason.SERVES_ALREADY)
        self.assertEqual(self.list_allowed(), ["old-1"])

    def record(self, target: Target, outcome: Outcome, elapsed_s: float, status: int = 200) -> None:
        attempt = SimpleNamespace(
            plan=SimpleNamespace(target=target, cache=None),
            started_at=self.loop.now() - elapsed_s,
            was_unanswered=outcome is Outcome.CANCELLED,
            response=SimpleNamespace(status=status),
        )
        call = SimpleNamespace(route=SimpleNamespace(name="get"), prompt=None)
        self.choice.record_send(target, is_first=True)
        self.choice.record_outcome(cast(Any, call), cast(Any, attempt), outcome)

    def count(self) -> RouteCounts:
        self.clock.advance(1.0)
        rollout = self.rollouts.get(SERVICE)
        assert rollout is not None
        self.choice.collect_own_counts()
        rollout.judge(self.loop.boottime())
        return rollout.evidence.sum_calls()

    def test_outcomes_are_counted_by_version(self) -> None:
        self.begin()
        old = self.targets.targets[0]
        for _ in range(3):
            self.record(old, Outcome.ANSWERED, 0.1)
        self.record(old, Outcome.REJECTED, 0.1)
        self.record(self.new, Outcome.ANSWERED, 0.2)
        self.record(self.new, Outcome.ANSWERED, 0.3)
        self.record(self.new, Outcome.ERROR, 0.1, status=500)
        self.record(self.new, Outcome.ERROR, 0.1, status=404)
        self.record(self.new, Outcome.CANCELLED, 1.0)
        self.record(self.new, Outcome.BROKEN, 0.1)
        # Calls that break off together have one cause.
        self.record(self.new, Outcome.BROKEN, 0.1)
        expected = RouteCounts(old_calls=3, new_calls=6, new_bad=2, new_slow=2)
        self.assertEqual(self.count(), expected)

    def test_counts_survive_the_encoding(self) -> None:
        self.begin()
        self.record(self.new, Outcome.ANSWERED, 0.1)
        self.choice.record_send(self.targets.targets[0], is_first=True)
        (counts,) = self.choice.collect_own_counts()
        self.assertEqual(decode_counts(encode_counts(counts)), counts)
        self.assertEqual(counts.running_old, 1)
