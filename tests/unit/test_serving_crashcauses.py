"""Which calls are found to be the cause when targets end, and which are not."""

import random
import unittest
from dataclasses import dataclass

from mulberryrill.internal.core.serving.crashcauses import (
    CRASH_THRESHOLD,
    CRASH_THRESHOLD_AFTER_ANSWER,
    CrashCauses,
    SuspectCall,
    TargetEnd,
    TargetRun,
    Trait,
)
from mulberryrill.internal.ids import Incarnation, RequestId, TargetId

BAD = Trait("part:bad")
SHARED = Trait("part:shared")


def create_call(number: int, *parts: Trait, fingerprint: str = "") -> SuspectCall:
    """Returns a call that differs from all others but for the given traits."""
    return SuspectCall(
        RequestId(f"r{number}"),
        Trait(f"call:{fingerprint or number}"),
        parts,
        own_part=fingerprint or str(number),
    )


def create_end(number: int, ended_at: float, *suspects: SuspectCall) -> TargetEnd:
    run = TargetRun(TargetId(f"t{number}"), Incarnation("1"))
    return TargetEnd(run, ended_at, suspects)


class CrashCausesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.causes = CrashCauses()

    def find(self, now: float = 100.0, *known: Trait) -> Trait | None:
        cause = self.causes.find_cause(known, now)
        return cause.trait if cause is not None else None

    def add_ends(self, count: int, *parts: Trait, fingerprint: str = "") -> None:
        for number in range(count):
            call = create_call(number, *parts, fingerprint=fingerprint)
            self.causes.add_end(create_end(number, float(number), call))

    def test_part_is_the_cause_after_enough_ends(self) -> None:
        self.add_ends(CRASH_THRESHOLD - 1, BAD)
        self.assertIsNone(self.find())
        self.add_ends(CRASH_THRESHOLD, BAD)
        self.assertEqual(self.find(), BAD)

    def test_part_of_an_answered_call_is_not_the_cause(self) -> None:
        """Guards against refusing the sound calls that share a part with those that end targets."""
        self.add_ends(CRASH_THRESHOLD, SHARED, BAD)
        self.causes.record_answer([SHARED], 10.0)
        self.assertEqual(self.find(), BAD)

    def test_cause_before_a_shared_part(self) -> None:
        self.causes.record_answer([SHARED], -1.0)
        self.add_ends(CRASH_THRESHOLD, BAD, SHARED)
        self.assertEqual(self.find(), BAD)

    def test_part_that_was_answered_shortly_before_needs_more_ends(self) -> None:
        """Guards against refusing calls that were on targets which ended for other reasons."""
        self.causes.record_answer([BAD], -1.0)
        self.add_ends(CRASH_THRESHOLD_AFTER_ANSWER - 1, BAD)
        self.assertIsNone(self.find())
        self.add_ends(CRASH_THRESHOLD_AFTER_ANSWER, BAD)
        self.assertEqual(self.find(), BAD)

    def test_ends_that_a_known_cause_explains_count_for_nothing_else(self) -> None:
        """Guards against refusing what the calls that end targets have in common with others."""
        self.add_ends(CRASH_THRESHOLD_AFTER_ANSWER, SHARED, BAD)
        self.assertIsNone(self.find(100.0, BAD))

    def test_same_call_again_is_refused_by_itself(self) -> None:
        """Guards against refusing all calls with a part because one of them ends targets."""
        self.add_ends(CRASH_THRESHOLD, SHARED, fingerprint="again")
        self.assertEqual(self.find(), "call:again")

    def test_calls_with_equal_bodies_are_told_apart_by_their_parts(self) -> None:
        """Guards against refusing a customer's whole route, whose calls have the same body."""
        for number in range(CRASH_THRESHOLD):
            call = SuspectCall(RequestId(f"r{number}"), Trait("call:body"), (BAD,), str(number))
            self.causes.add_end(create_end(number, float(number), call))
        self.assertEqual(self.find(), BAD)

    def test_calls_that_several_instances_saw_at_one_end_count_once(self) -> None:
        for number in range(CRASH_THRESHOLD):
            self.causes.add_end(create_end(0, 0.0, create_call(number, BAD)))
        self.assertIsNone(self.find())

    def test_old_ends_are_forgotten(self) -> None:
        self.add_ends(CRASH_THRESHOLD, BAD)
        self.causes.prune(10_000.0)
        self.assertFalse(self.causes.has_ends)
        self.assertIsNone(self.find(10_000.0))

    def test_peers_are_told_of_own_answers_to_suspected_calls_only(self) -> None:
        """Guards against messages without end about answers that peers have told of."""
        self.add_ends(1, SHARED)
        self.causes.record_peer_answer(SHARED, 1.0)
        self.causes.record_answer([Trait("part:other")], 1.0)
        self.assertEqual(self.causes.pop_answers(1.0), [])
        self.causes.record_answer([SHARED], 2.0)
        self.assertEqual(self.causes.pop_answers(2.0), [(SHARED, 2.0)])
        self.assertEqual(self.causes.pop_answers(3.0), [])


@dataclass
class RunningCall:
    call: SuspectCall
    target: int
    started_at: float
    ends_at: float


class Replay:
    """Calls with shared parts on targets that end at random, or under one part."""

    STEP_S = 0.02
    START_WINDOW_S = 1.0
    TARGETS = 6
    CALLS_PER_S = 50.0
    DURATION_S = 60.0
    RESTART_S = 3.0

    def __init__(self, seed: int, ends_per_s: float, bad_calls_per_s: float) -> None:
        self.random = random.Random(seed)
        self.causes = CrashCauses()
        self.found: list[Trait] = []
        self.end_count = 0
        self._ends_per_s = ends_per_s
        self._bad_calls_per_s = bad_calls_per_s
        self._running: list[RunningCall] = []
        self._down_until = [0.0] * self.TARGETS
        self._numbers = iter(range(10**9))

    def run(self) -> None:
        for step in range(int(self.DURATION_S / self.STEP_S)):
            now = step * self.STEP_S
            if self.random.random() < self.CALLS_PER_S * self.STEP_S:
                # A few styles have most calls, many have a call now and then.
                style = int(self.random.paretovariate(0.7))
                detail = int(self.random.paretovariate(0.5))
                parts = (Trait(f"part:{style}"), Trait(f"part:{style}-{detail}"))
                self._start(now, parts, self.random.uniform(0.1, 2.5))
            if now > 10.0 and self.random.random() < self._bad_calls_per_s * self.STEP_S:
                self._start(now, (Trait("part:1"), BAD), 0.1)
            end_count = self.end_count
            self._advance(now)
            if self.end_count > end_count:
                cause = self.causes.find_cause(self.found, now)
                if cause is not None:
                    self.found.append(cause.trait)

    def _start(self, now: float, parts: tuple[Trait, ...], duration_s: float) -> None:
        usable = [t for t in range(self.TARGETS) if self._down_until[t] <= now]
        if not usable or any(part in self.found for part in parts):
            return
        call = create_call(next(self._numbers), *parts)
        target = self.random.choice(usable)
        self._running.append(RunningCall(call, target, now, now + duration_s))

    def _advance(self, now: float) -> None:
        finished = [running for running in self._running if running.ends_at <= now]
        self._running = [running for running in self._running if running.ends_at > now]
        for running in finished:
            if self._down_until[running.target] > now:
                continue
            if BAD in running.call.parts:
                self._end(running.target, now, [running])
            else:
                self.causes.record_answer(running.call.traits, now)
        if self.random.random() < self._ends_per_s * self.STEP_S:
            self._end(self.random.randrange(self.TARGETS), now, [])

    def _end(self, target: int, now: float, calls: list[RunningCall]) -> None:
        if self._down_until[target] > now:
            return
        self._down_until[target] = now + self.RESTART_S
        self.end_count += 1
        calls = [*calls, *(r for r in self._running if r.target == target)]
        self._running = [r for r in self._running if r.target != target]
        suspects = [r.call for r in calls if now - r.started_at < self.START_WINDOW_S]
        self.causes.add_end(create_end(self.end_count, now, *suspects))


class ReplayTest(unittest.TestCase):
    def test_targets_that_end_at_random_have_no_cause(self) -> None:
        """A target ends every five seconds, with all calls on it."""
        for seed in range(20):
            replay = Replay(seed, ends_per_s=0.2, bad_calls_per_s=0.0)
            replay.run()
            self.assertGreater(replay.end_count, 3)
            self.assertEqual(replay.found, [], f"seed {seed}")

    def test_part_is_found_among_calls_that_break_off_with_it(self) -> None:
        for seed in range(20):
            replay = Replay(seed, ends_per_s=0.1, bad_calls_per_s=2.0)
            replay.run()
            self.assertEqual(replay.found, [BAD], f"seed {seed}")
