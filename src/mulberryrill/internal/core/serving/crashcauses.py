"""Finds what the calls under which targets end have in common.

Pattern: each call with a certain prompt part, or one call that comes again and again, ends every
target that begins to run it. The calls come at any instance, other calls on the same target break
off with them, and sound calls share their customer, path and all other parts. Each end of a target
is therefore kept with all calls that may have caused it, and a trait of calls counts as the cause
once several targets have ended under it and no call with it has been answered since.

A call that comes again has a trait that all its spellings share, and narrower ones. The narrowest
one that explains the ends is the cause, so that sound calls are not refused with it. Each further
end under another call with the broader trait counts together with those that it explains.
"""

from collections.abc import Container, Iterable
from dataclasses import dataclass, replace
from itertools import pairwise
from typing import NewType

from ...ids import RequestId
from .targettable import TargetRun

# What calls can have in common: a prompt part; path, customer and body; or these and more.
Trait = NewType("Trait", str)
# A call's fingerprint and the part of its prompt that belongs to it alone.
CallIdentity = tuple[Trait, str]
# A part counts as the cause once so many targets have ended under it. One call that comes again has
# less in common with others by chance, so fewer ends are enough.
CRASH_THRESHOLD = 4
CALL_CRASH_THRESHOLD = 3
# The same if a call with the trait was answered in the time before the first end.
CRASH_THRESHOLD_AFTER_ANSWER = 5
# Targets that lose power together end at once, with popular calls on all of them. Ends of a call
# that was answered before must therefore lie in this many groups, with a pause between them.
MIN_END_GROUPS = 3
END_GROUP_PAUSE_S = 1.0
ANSWER_MEMORY_S = 60.0
# A cause must explain this share of the ends since its first one. Where targets end for other
# reasons, a rare trait is now and then on several of them, but on few of all.
MIN_EXPLAINED_SHARE = 0.6
# A call under which so many targets have ended is the cause whatever share of the ends that is.
CONCLUSIVE_CALL_ENDS = 5
# Ends that nothing explains are forgotten after this time, and beyond this number.
HISTORY_S = 600.0
MAX_ENDS = 200
# Traits whose last answer is kept; 20,000 take about 3 MB.
MAX_TRAITS = 20_000
MAX_POSITION = 1_000_000
# Peers are told of answers to calls with suspected traits at most once in this time for each trait.
ANSWER_UPDATE_INTERVAL_S = 0.25


@dataclass(frozen=True)
class SuspectCall:
    """A call that had not begun its response, or had only just, when its target ended."""

    request: RequestId
    # Equal for calls with the same path, customer and body.
    fingerprint: Trait
    # The prompt's shared parts, in order.
    parts: tuple[Trait, ...]
    # The prompt's last part, which belongs to the call; empty without a prompt.
    own_part: str
    # Narrower traits than the fingerprint, the broadest first.
    variants: tuple[Trait, ...] = ()

    @property
    def call_traits(self) -> tuple[Trait, ...]:
        """The traits by which the call itself is recognized, the broadest first."""
        return (self.fingerprint, *self.variants)

    @property
    def traits(self) -> tuple[Trait, ...]:
        """All traits."""
        return (*self.parts, *self.call_traits)

    @property
    def identity(self) -> CallIdentity:
        """Equal for calls that may be the same call again in another spelling."""
        return self.fingerprint, self.own_part


@dataclass(frozen=True)
class TargetEnd:
    """The unplanned end of a target, and the calls that may have caused it."""

    run: TargetRun
    # Boot time.
    ended_at: float
    suspects: tuple[SuspectCall, ...]


@dataclass(frozen=True)
class Suspicion:
    """Ends of targets under a call that has not been answered since."""

    runs: frozenset[TargetRun]
    # Boot time.
    last_end_at: float
    # Whether the call was answered shortly before the first end.
    was_answered: bool
    # What the call has in common with those under which the targets ended.
    trait: Trait


@dataclass(frozen=True)
class CrashCause:
    """A trait under which targets end."""

    trait: Trait
    runs: tuple[TargetRun, ...]


class CrashCauses:
    """Collects ends of targets and answered calls. All times are boot times in seconds."""

    def __init__(self) -> None:
        # What this instance and its peers know.
        self._ends: dict[TargetRun, TargetEnd] = {}
        # Least recently answered first.
        self._answered_at: dict[Trait, float] = {}
        # Ends that are not proved yet, with the times until which they count.
        self._unproven: dict[TargetRun, tuple[TargetEnd, float]] = {}
        # What this instance has seen itself and tells its peers.
        self._own_ends: dict[TargetRun, TargetEnd] = {}
        self._own_answered_at: dict[Trait, float] = {}
        # Traits of all known ends, and those with an answer that peers were not told of.
        self._suspected: set[Trait] = set()
        self._untold: set[Trait] = set()
        self._told_at: dict[Trait, float] = {}
        # None: not computed since the last change.
        self._has_repeated_suspect: bool | None = False

    @property
    def has_repeated_suspect(self) -> bool:
        """Whether several targets have ended under one call, without an answer since."""
        if self._has_repeated_suspect is None:
            self._has_repeated_suspect = self._find_repeated_suspect()
        return self._has_repeated_suspect

    def _find_repeated_suspect(self) -> bool:
        earlier: set[tuple[CallIdentity, Trait]] = set()
        for end in self._ends.values():
            keys = {
                (suspect.identity, trait)
                for suspect in end.suspects
                for trait in suspect.call_traits
                if self._answered_at.get(trait, float("-inf")) < end.ended_at
            }
            if not keys.isdisjoint(earlier):
                return True
            earlier |= keys
        return False

    @property
    def has_ends(self) -> bool:
        """Whether any targets have ended recently."""
        return bool(self._ends)

    @property
    def has_suspects(self) -> bool:
        """Whether any target has ended recently, or may have."""
        return bool(self._ends or self._unproven)

    def add_unproven_end(self, end: TargetEnd, expires_at: float) -> None:
        """Adds an end that may turn out to be a fault of the network."""
        self._unproven[end.run] = (end, expires_at)
        if len(self._unproven) > MAX_ENDS:
            del self._unproven[next(iter(self._unproven))]

    def remove_unproven_end(self, run: TargetRun) -> None:
        """Forgets an unproven end: the target lives, or its end is proved."""
        self._unproven.pop(run, None)

    def list_ended_runs(self, now: float) -> set[TargetRun]:
        """Returns the targets that have ended recently, or may have."""
        unproven = {run for run, (_, expires_at) in self._unproven.items() if now < expires_at}
        return unproven | self._ends.keys()

    def find_suspicion(
        self, identity: CallIdentity, now: float, variants: tuple[Trait, ...] = ()
    ) -> Suspicion | None:
        """Returns the ends under a call since its last answer, also unproven ones.

        ``variants`` are the call's narrower traits. The trait under which most targets have ended
        counts, and the broadest one of several.
        """
        traits = (identity[0], *variants)
        ends = {run: end for run, (end, at) in self._unproven.items() if now < at}
        if identity[0] in self._suspected:
            ends |= self._ends
        candidates: dict[Trait, _Candidate] = {}
        for end in ends.values():
            suspects = tuple(s for s in end.suspects if s.identity == identity)
            if suspects:
                self._count_end(replace(end, suspects=suspects), candidates, traits)
        if not candidates:
            return None
        found = (candidates[trait] for trait in traits if trait in candidates)
        best = max(found, key=lambda candidate: len(candidate.ends))
        last_end_at = max(end.ended_at for end in best.ends.values())
        return Suspicion(frozenset(best.ends), last_end_at, self._was_answered(best), best.trait)

    def record_answer(self, traits: Iterable[Trait], now: float) -> None:
        """Records that a target ran a call with these traits and did not end."""
        for trait in traits:
            _update_time(self._own_answered_at, trait, now)
            _update_time(self._answered_at, trait, now)
            if trait in self._suspected:
                self._untold.add(trait)
                self._has_repeated_suspect = None

    def record_peer_answer(self, trait: Trait, answered_at: float) -> None:
        """Records an answer that a peer has seen."""
        _update_time(self._answered_at, trait, answered_at)
        self._has_repeated_suspect = None

    def add_own_end(self, end: TargetEnd) -> bool:
        """Adds an end that this instance has seen; returns whether anything is new."""
        _merge_end(self._own_ends, end)
        return self.add_end(end)

    def add_end(self, end: TargetEnd) -> bool:
        """Adds an end, or further calls to a known one; returns whether anything is new."""
        traits = {trait for suspect in end.suspects for trait in suspect.traits}
        self._untold |= (traits - self._suspected) & self._own_answered_at.keys()
        self._suspected |= traits
        self._has_repeated_suspect = None
        return _merge_end(self._ends, end)

    def find_cause(self, known_causes: Iterable[Trait], now: float) -> CrashCause | None:
        """Returns the trait that most ends have in common, if they are enough.

        Ends that a known cause explains say nothing about other traits.
        """
        self.prune(now)
        known = set(known_causes)
        ends: list[TargetEnd] = []
        explained: list[TargetEnd] = []
        for end in self._ends.values():
            is_explained = any(trait in known for s in end.suspects for trait in s.traits)
            (explained if is_explained else ends).append(end)
        candidates: dict[Trait, _Candidate] = {}
        for end in ends:
            self._count_end(end, candidates)
        for end in explained:
            self._count_known_calls(end, known, candidates)
        eligible = [c for c in candidates.values() if self._is_cause(c, ends)]
        if not eligible:
            return None
        best = max(eligible, key=lambda c: (len(c.ends), not self._was_answered(c), c.narrowness))
        return CrashCause(best.trait, tuple(best.ends))

    def _count_known_calls(
        self, end: TargetEnd, known: set[Trait], candidates: dict[Trait, "_Candidate"]
    ) -> None:
        """Adds an end to the candidates that are broader than the known cause of it.

        Another spelling of a call that is refused already need not end as many targets again.
        """
        calls = tuple(s for s in end.suspects if not known.isdisjoint(s.call_traits))
        broader = {t for s in calls for t in s.call_traits if t in candidates} - known
        if broader:
            self._count_end(replace(end, suspects=calls), candidates, broader)

    def _count_end(
        self,
        end: TargetEnd,
        candidates: dict[Trait, "_Candidate"],
        traits: Container[Trait] | None = None,
    ) -> None:
        """Adds an end to the candidates for its cause; ``traits``: to these only."""
        for suspect in end.suspects:
            for position, trait in enumerate(suspect.traits):
                if traits is not None and trait not in traits:
                    continue
                if self._answered_at.get(trait, float("-inf")) >= end.ended_at:
                    continue
                is_call = position >= len(suspect.parts)
                candidate = candidates.setdefault(trait, _Candidate(trait, is_call))
                candidate.position = max(candidate.position, position)
                candidate.calls.add(suspect.identity)
                candidate.ends[end.run] = end

    def _is_cause(self, candidate: "_Candidate", ends: list[TargetEnd]) -> bool:
        # One call that comes again is refused by itself, not by the parts that it shares.
        is_common = candidate.is_call or len(candidate.calls) > 1
        if not is_common or len(candidate.ends) < self._get_threshold(candidate):
            return False
        if candidate.is_call and self._was_answered(candidate):
            return candidate.count_end_groups() >= MIN_END_GROUPS
        if candidate.is_single_call and len(candidate.ends) >= CONCLUSIVE_CALL_ENDS:
            return True
        first_end_at = candidate.first_end_at
        count = sum(end.ended_at >= first_end_at for end in ends)
        return len(candidate.ends) >= MIN_EXPLAINED_SHARE * count

    def _get_threshold(self, candidate: "_Candidate") -> int:
        if self._was_answered(candidate):
            return CRASH_THRESHOLD_AFTER_ANSWER
        return CALL_CRASH_THRESHOLD if candidate.is_single_call else CRASH_THRESHOLD

    def _was_answered(self, candidate: "_Candidate") -> bool:
        answered_at = self._answered_at.get(candidate.trait, float("-inf"))
        return candidate.first_end_at - answered_at < ANSWER_MEMORY_S

    def list_newest_ends(self, max_count: int) -> list[TargetEnd]:
        """Returns the newest ends that this instance or a peer has seen."""
        return sorted(self._ends.values(), key=lambda end: end.ended_at)[-max_count:]

    def list_own_ends(self, max_age_s: float, now: float) -> list[TargetEnd]:
        """Returns the ends of the last ``max_age_s`` that this instance has seen itself."""
        return [end for end in self._own_ends.values() if now - end.ended_at < max_age_s]

    def pop_answers(self, now: float) -> list[tuple[Trait, float]]:
        """Returns suspected traits with answers that peers were not told of, and their times."""
        due = [
            trait
            for trait in self._untold
            if now - self._told_at.get(trait, float("-inf")) >= ANSWER_UPDATE_INTERVAL_S
        ]
        self._untold.difference_update(due)
        self._told_at.update(dict.fromkeys(due, now))
        return [(trait, self._own_answered_at.get(trait, now)) for trait in due]

    def prune(self, now: float) -> None:
        """Forgets old ends."""
        for run in [run for run, (_, expires_at) in self._unproven.items() if now >= expires_at]:
            del self._unproven[run]
        count = len(self._ends)
        for ends in (self._ends, self._own_ends):
            for run in [run for run, end in ends.items() if now - end.ended_at > HISTORY_S]:
                del ends[run]
        if len(self._ends) == count:
            return
        self._has_repeated_suspect = None
        suspects = (suspect for end in self._ends.values() for suspect in end.suspects)
        self._suspected = {trait for suspect in suspects for trait in suspect.traits}
        self._untold &= self._suspected
        self._told_at = {t: at for t, at in self._told_at.items() if t in self._suspected}


class _Candidate:
    """The ends under which calls with a trait ran."""

    def __init__(self, trait: Trait, is_call: bool) -> None:
        self.trait = trait
        self.is_call = is_call
        self.ends: dict[TargetRun, TargetEnd] = {}
        self.calls: set[CallIdentity] = set()
        self.position = 0

    @property
    def first_end_at(self) -> float:
        """Boot time of the first end."""
        return min(end.ended_at for end in self.ends.values())

    @property
    def is_single_call(self) -> bool:
        """Whether all ends happened under one and the same call."""
        return self.is_call and len(self.calls) == 1

    def count_end_groups(self) -> int:
        """Returns the number of groups of ends with a pause between them."""
        times = sorted(end.ended_at for end in self.ends.values())
        pauses = (later - time for time, later in pairwise(times))
        return 1 + sum(pause >= END_GROUP_PAUSE_S for pause in pauses)

    @property
    def narrowness(self) -> int:
        """Orders traits by how few calls share them: one call, later parts, earlier parts.

        Calls with different prompts may have path, customer and body in common.
        """
        if not self.is_call:
            return self.position
        return MAX_POSITION + self.position if len(self.calls) == 1 else -1


def _merge_end(ends: dict[TargetRun, TargetEnd], end: TargetEnd) -> bool:
    """Adds an end to others; returns whether it, or one of its calls, is new."""
    known = ends.get(end.run)
    if known is None:
        ends[end.run] = end
        if len(ends) > MAX_ENDS:
            del ends[min(ends, key=lambda run: ends[run].ended_at)]
        return True
    added = tuple(s for s in end.suspects if s not in known.suspects)
    if added:
        ended_at = min(known.ended_at, end.ended_at)
        ends[end.run] = TargetEnd(end.run, ended_at, (*known.suspects, *added))
    return bool(added)


def _update_time(times: dict[Trait, float], trait: Trait, time: float) -> None:
    """Moves a trait to the end with the later of two times, and drops the first ones beyond MAX."""
    times[trait] = max(time, times.pop(trait, time))
    if len(times) > MAX_TRAITS:
        del times[next(iter(times))]
