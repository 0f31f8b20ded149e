"""What a table of targets believes while the store executes some writes late, in any order."""

import unittest
from dataclasses import dataclass, replace
from enum import Enum

from hypothesis import example, given, settings
from hypothesis import strategies as st

from mulberryrill.internal.core.serving.registrations import Registration, RegistrationState
from mulberryrill.internal.core.serving.targettable import TargetTable
from mulberryrill.internal.ids import Incarnation
from tests.common.followersimulation import HEARTBEAT_S
from tests.unit.test_serving_targettable import SERVICE, create_registration

SILENCE_S = 3 * HEARTBEAT_S
# A departure counts from when the store has lost no answers for this long.
CONTACT_S = 3.0
MAX_LATE_S = 9.0
MAX_LATE_WRITES = 2


class Step(Enum):
    """What a target does next."""

    WRITE = "writes its registration"
    LEAVE = "leaves, ready to the end, and starts again later"
    DRAIN = "drains, leaves and starts again later"
    CRASH = "ends, and starts again before its registration lapses"
    LAPSE = "cannot write until its registration lapses"


@dataclass(frozen=True)
class Write:
    """A call to the store; without a registration it removes the target's."""

    sent_at: float
    executed_at: float
    registration: Registration | None = None
    is_departure: bool = False


def write_log(steps: list[Step]) -> list[Write]:
    """Returns the calls of a target that takes these steps, each executed when it is sent."""
    now, born = 0.0, 1
    writes: list[Write] = []

    def write(registration: Registration | None, *, is_departure: bool = False) -> None:
        writes.append(Write(now, now, registration, is_departure))

    def create(state: RegistrationState = RegistrationState.READY) -> Registration:
        return create_registration(incarnation=Incarnation(str(born)), started_ms=born, state=state)

    def write_for(duration_s: float, registration: Registration) -> None:
        nonlocal now
        for _ in range(round(duration_s / HEARTBEAT_S)):
            now += HEARTBEAT_S
            write(registration)

    for step in steps:
        write_for(HEARTBEAT_S, create())
        if step is Step.LEAVE:
            now += HEARTBEAT_S / 2
            write(None, is_departure=True)
        elif step is Step.DRAIN:
            write_for(2 * HEARTBEAT_S, create(RegistrationState.DRAINING))
            write(None, is_departure=True)
        elif step is Step.LAPSE:
            now += SILENCE_S
            write(None)
        if step in (Step.LEAVE, Step.DRAIN, Step.CRASH):
            now += SILENCE_S / 2
            born += 1
    now += HEARTBEAT_S
    write(create())
    return writes


def delay_writes(writes: list[Write], late: list[tuple[int, float]]) -> list[Write]:
    """Executes some writes late.

    None of them is sent shortly before a departure, or executed while a registration lapses: that
    would put the lapse off.
    """
    delayed = list(writes)
    removals = [write for write in writes if write.registration is None]
    for index, delay_s in late:
        write = writes[index % len(writes)]
        executed_at = write.sent_at + delay_s
        is_possible = all(
            (
                not 0 <= removal.sent_at - write.sent_at < CONTACT_S
                if removal.is_departure
                else not 0 <= removal.sent_at - executed_at < SILENCE_S
            )
            for removal in removals
        )
        if write.registration is not None and is_possible:
            delayed[index % len(writes)] = replace(write, executed_at=executed_at)
    return sorted(delayed, key=lambda write: write.executed_at)


class LateRegistrationTest(unittest.TestCase):
    @settings(derandomize=True, deadline=None, max_examples=300)
    @given(
        st.lists(st.sampled_from(Step), min_size=1, max_size=12),
        st.lists(
            st.tuples(st.integers(0, 60), st.floats(0.1, MAX_LATE_S)), max_size=MAX_LATE_WRITES
        ),
    )
    @example([Step.WRITE, Step.WRITE, Step.WRITE, Step.WRITE, Step.LEAVE], [(0, 7.0), (1, 6.5)])
    @example([Step.WRITE, Step.DRAIN, Step.WRITE], [(0, 7.5)])
    @example([Step.WRITE, Step.CRASH, Step.WRITE, Step.WRITE], [(1, 5.0)])
    def test_last_word_of_a_target_holds(
        self, steps: list[Step], late: list[tuple[int, float]]
    ) -> None:
        """A target that left is not used, and one that lives is, in its last start."""
        table = TargetTable()
        last: Write | None = None
        for write in delay_writes(write_log(steps), late):
            if write.registration is not None:
                table.apply(write.registration, write.executed_at)
            else:
                table.remove(create_registration().target, write.executed_at, HEARTBEAT_S)
            if last is None or write.sent_at > last.sent_at:
                last = write
            usable = [target.registration for target in table.list_usable(SERVICE)]
            if last.is_departure:
                self.assertEqual(usable, [])
            elif last.registration is not None:
                is_ready = last.registration.state is RegistrationState.READY
                self.assertEqual(usable, [last.registration] if is_ready else [])
