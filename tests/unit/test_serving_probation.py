"""Where a call may run under which targets have ended."""

import unittest

from mulberryrill.internal.core.serving.crashcauses import (
    CALL_CRASH_THRESHOLD,
    CONCLUSIVE_CALL_ENDS,
    CrashCauses,
    SuspectCall,
    Suspicion,
    TargetEnd,
    TargetRun,
    Trait,
)
from mulberryrill.internal.core.serving.probation import (
    NEWS_MARGIN_S,
    RECOVERY_S,
    ProbationRefusal,
    choose_trial_target,
)
from mulberryrill.internal.core.serving.targettable import (
    Registration,
    RegistrationState,
    Target,
)
from mulberryrill.internal.ids import DataCentre, Incarnation, RequestId, ServiceName, TargetId

CALL = Trait("call:same")
SOUND = Trait("call:sound")
REPORT_INTERVAL_S = 0.1


def create_target(name: str) -> Target:
    return Target(
        Registration(
            TargetId(name),
            ServiceName("desk"),
            f"{name}:1",
            DataCentre("z1"),
            RegistrationState.READY,
            Incarnation("1"),
            slots=1,
            cold_s=0.0,
            order_count=0,
        )
    )


def create_run(number: int) -> TargetRun:
    return TargetRun(TargetId(f"ended-{number}"), Incarnation("1"))


def create_end(number: int, ended_at: float, *traits: Trait) -> TargetEnd:
    suspects = tuple(
        SuspectCall(RequestId(f"r{number}"), trait, (), own_part="") for trait in traits
    )
    return TargetEnd(create_run(number), ended_at, suspects)


class ProbationTest(unittest.TestCase):
    def setUp(self) -> None:
        self.targets = [create_target(f"t{number}") for number in range(3)]

    def choose(
        self, end_count: int, age_s: float, targets: list[Target] | None = None
    ) -> Target | ProbationRefusal:
        runs = frozenset(map(create_run, range(end_count)))
        suspicion = Suspicion(runs, 0.0, self.was_answered, CALL)
        usable = self.targets if targets is None else targets
        return choose_trial_target(CALL, suspicion, usable, set(), REPORT_INTERVAL_S, age_s)

    was_answered = False

    def test_all_instances_choose_the_same_target(self) -> None:
        first = self.choose(1, 0.0)
        second = self.choose(1, 0.5, self.targets[::-1])
        self.assertIsInstance(first, Target)
        self.assertIs(first, second)

    def test_call_with_one_end_runs_at_once(self) -> None:
        """Guards against delays of sound calls whose target ended for another reason."""
        self.assertIsInstance(self.choose(1, 0.0, self.targets[:1]), Target)

    def test_second_end_is_known_everywhere_before_the_next_trial(self) -> None:
        self.assertIsInstance(self.choose(2, NEWS_MARGIN_S), ProbationRefusal)
        age_s = NEWS_MARGIN_S + 2 * REPORT_INTERVAL_S
        self.assertIsInstance(self.choose(2, age_s), Target)

    def test_last_target_is_not_risked_until_others_can_be_back(self) -> None:
        """Guards against the loss of all targets of a service."""
        self.assertIsInstance(self.choose(2, RECOVERY_S - 1, self.targets[:1]), ProbationRefusal)
        self.assertIsInstance(self.choose(2, RECOVERY_S, self.targets[:1]), Target)

    def test_call_that_was_answered_before_may_use_the_last_target(self) -> None:
        """Guards against refusing a popular call after all targets have lost power."""
        self.was_answered = True
        self.assertIsInstance(self.choose(3, RECOVERY_S / 2, self.targets[:1]), Target)

    def test_ended_target_is_not_used(self) -> None:
        ended = {target.registration.run for target in self.targets[:2]}
        suspicion = Suspicion(frozenset(ended), 0.0, False, CALL)
        chosen = choose_trial_target(
            CALL, suspicion, self.targets, ended, REPORT_INTERVAL_S, RECOVERY_S
        )
        self.assertIs(chosen, self.targets[2])


class RepeatedCallTest(unittest.TestCase):
    """Evidence against one call that comes again."""

    def setUp(self) -> None:
        self.causes = CrashCauses()

    def add_ends(self, *times: float, traits: tuple[Trait, ...] = (CALL,)) -> None:
        for number, ended_at in enumerate(times):
            self.causes.add_end(create_end(number, ended_at, *traits))

    def find(self) -> Trait | None:
        cause = self.causes.find_cause((), 100.0)
        return cause.trait if cause is not None else None

    def test_third_end_is_enough(self) -> None:
        """Guards against a threshold beyond the number of ends that are allowed."""
        self.add_ends(*range(CALL_CRASH_THRESHOLD))
        self.assertEqual(self.find(), CALL)

    def test_many_other_ends_do_not_hide_it(self) -> None:
        self.add_ends(*range(CONCLUSIVE_CALL_ENDS))
        for number in range(20):
            self.causes.add_end(create_end(100 + number, 1.0, Trait(f"call:{number}")))
        self.assertEqual(self.find(), CALL)

    def test_targets_that_lose_power_together_have_no_cause(self) -> None:
        """Guards against refusing a popular call that was on all of them."""
        self.causes.record_answer([CALL], -1.0)
        self.add_ends(*([1.0] * 20))
        self.assertIsNone(self.find())

    def test_answered_call_is_the_cause_after_ends_one_by_one(self) -> None:
        self.causes.record_answer([CALL], -1.0)
        self.add_ends(0.0, 0.1, 0.2, 4.0, 8.0)
        self.assertEqual(self.find(), CALL)

    def test_answer_ends_the_suspicion(self) -> None:
        self.add_ends(1.0, 2.0)
        suspicion = self.causes.find_suspicion((CALL, ""), 3.0)
        assert suspicion is not None
        self.assertEqual((len(suspicion.runs), suspicion.last_end_at), (2, 2.0))
        self.assertTrue(self.causes.has_repeated_suspect)
        self.causes.record_answer([CALL], 3.0)
        self.assertIsNone(self.causes.find_suspicion((CALL, ""), 3.0))
        self.assertFalse(self.causes.has_repeated_suspect)

    def test_other_prompt_with_the_same_body_is_not_suspected(self) -> None:
        self.add_ends(1.0, 2.0)
        self.assertIsNone(self.causes.find_suspicion((CALL, "other"), 3.0))

    def test_unproven_end_counts_until_it_expires_or_is_cleared(self) -> None:
        """Guards against sending the call to a second target while the first one is probed."""
        identity = (CALL, "")
        self.causes.add_unproven_end(create_end(0, 1.0, CALL), expires_at=2.0)
        self.assertIsNotNone(self.causes.find_suspicion(identity, 1.5))
        self.assertIsNone(self.causes.find_suspicion(identity, 2.0))
        self.assertIsNone(self.find())
        self.causes.remove_unproven_end(create_run(0))
        self.assertFalse(self.causes.has_suspects)
