"""The account of what is held for clients, under any order of events."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from mulberryrill.internal.core.memoryaccount import (
    CONNECTION_BYTES,
    STALL_S,
    AccountLimits,
    HolderState,
    MemoryAccount,
    compute_limits,
)

LIMITS = AccountLimits(max_bytes=20 * CONNECTION_BYTES, max_connections=12)
EVENTS = st.lists(
    st.tuples(
        st.sampled_from(("open", "update", "close", "wait")),
        st.integers(0, 19),
        st.integers(0, 30 * CONNECTION_BYTES),
        st.sampled_from(HolderState),
    ),
    max_size=80,
)


class MemoryAccountTest(unittest.TestCase):
    """Guards against an account that loses count, or lets a process exceed its memory."""

    @settings(derandomize=True, deadline=None, max_examples=300)
    @given(EVENTS)
    def test_sum_is_what_the_parts_hold_and_never_passes_the_bound(
        self, events: list[tuple[str, int, int, HolderState]]
    ) -> None:
        account: MemoryAccount[int] = MemoryAccount(LIMITS)
        held: dict[int, tuple[int, HolderState]] = {}
        now = 0.0
        for kind, holder, count, state in events:
            victims: list[int] = []
            if kind == "open" and holder not in held:
                victims = account.open(holder, now)
                held[holder] = (0, HolderState.IDLE)
            elif kind == "update" and holder in held:
                victims = account.update(holder, count, state, now)
                held[holder] = (count, state)
            elif kind == "close":
                account.remove(holder)
                held.pop(holder, None)
            else:
                now += STALL_S
            self.assertEqual(len(victims), len(set(victims)))
            for victim in victims:
                if victim != holder:
                    self.assertIsNot(held[victim][1], HolderState.RUNNING)
                account.remove(victim)
                held.pop(victim, None)
            expected = sum(count + CONNECTION_BYTES for count, _ in held.values())
            self.assertEqual(account.held_bytes, expected)
            self.assertEqual(sum(account.sum_by_state().values()), expected)
            self.assertLessEqual(account.held_bytes, LIMITS.max_bytes)
            self.assertLessEqual(len(held), LIMITS.max_connections)


class VictimsTest(unittest.TestCase):
    """Guards against closing those who do not cause the shortage."""

    def setUp(self) -> None:
        self.account: MemoryAccount[str] = MemoryAccount(
            AccountLimits(max_bytes=1_000_000, max_connections=8)
        )
        for name in ("stalled", "large", "small", "running", "idle"):
            self.assertEqual(self.account.open(name, 0.0), [])
        self.account.update("running", 600_000, HolderState.RUNNING, 0.0)
        self.account.update("stalled", 60_000, HolderState.RECEIVING, 0.0)

    def test_stalled_request_goes_before_a_larger_one_that_makes_progress(self) -> None:
        self.account.update("large", 200_000, HolderState.RECEIVING, 2 * STALL_S)
        victims = self.account.update("small", 120_000, HolderState.RECEIVING, 2 * STALL_S)
        self.assertEqual(victims[0], "stalled")

    def test_largest_request_goes_first_among_those_that_make_progress(self) -> None:
        self.account.update("large", 200_000, HolderState.RECEIVING, 0.0)
        victims = self.account.update("small", 120_000, HolderState.RECEIVING, 0.0)
        self.assertEqual(victims, ["large"])

    def test_response_that_cannot_be_kept_is_refused_and_no_running_call_is_closed(self) -> None:
        victims = self.account.update("running", 990_000, HolderState.RUNNING, 0.0)
        self.assertEqual(victims, ["stalled", "running"])

    def test_idle_connection_yields_to_a_new_one(self) -> None:
        for number in range(3):
            self.account.open(f"new {number}", 1.0)
        self.assertEqual(self.account.open("one more", 2.0), ["large"])

    def test_new_connection_is_refused_while_all_others_run_calls(self) -> None:
        account: MemoryAccount[int] = MemoryAccount(AccountLimits(10_000_000, 4))
        for holder in range(4):
            account.open(holder, 0.0)
            account.update(holder, 1, HolderState.RUNNING, 0.0)
        self.assertEqual(account.open(9, 60.0), [9])

    def test_smallest_machine_takes_several_of_the_largest_requests(self) -> None:
        """Guards against a default that a client inside the configuration's limits meets."""
        limits = compute_limits(128 * 1_048_576, 4_100)
        largest = 2 * int(1.125 * 4_194_304) + 16_384
        self.assertGreaterEqual(limits.max_bytes, 4 * largest)
        self.assertGreaterEqual(limits.max_connections, 2_000)
