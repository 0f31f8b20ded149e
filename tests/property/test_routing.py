"""Tests that imports and exports stay within each store link's budget (link usage objective)."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from mulberryrill.internal.core.estimates import LINK_BURST_S
from mulberryrill.internal.core.messages import StoredPrefix
from mulberryrill.internal.core.routing import Router, create_policy
from tests.common.core import DATA_CENTRE, create_request, create_target

STORE = "http://store-1"
STEP = st.tuples(
    st.floats(0.0, 2.0), st.integers(1, 6), st.integers(0, 4_000_000), st.integers(0, 300_000)
)


class LinkBudgetTest(unittest.TestCase):
    @settings(derandomize=True, deadline=None, max_examples=200, database=None)
    @given(rate=st.floats(1e3, 1e6), steps=st.lists(STEP, min_size=1, max_size=30))
    def test_link_use_stays_within_the_budget(self, rate: float, steps: list) -> None:
        router = Router(create_policy("full"), DATA_CENTRE, 1)
        router.set_link_rates({STORE: rate}, 0.0)
        now, used = 0.0, []
        for number, (pause, blocks, size, exported) in enumerate(steps):
            now += pause
            request = create_request(
                f"req-{number}",
                block_keys=tuple(bytes([number, n]) * 8 for n in range(blocks)),
                prompt_tokens=blocks * 2000,
                stored_prefixes=(StoredPrefix(STORE, blocks, size),),
            )
            decision = router.choose(request, [create_target("e0")], lambda target: 1, now)
            if decision.planned_import is not None:
                self.assertLessEqual(decision.planned_import.blocks, blocks)
                used.append((now, decision.planned_import.size_bytes))
            if router.reserve_link_bytes(STORE, exported, now):
                used.append((now, exported))
        for index, (start, _) in enumerate(used):
            total = 0
            for end, size in used[index:]:
                total += size
                self.assertLessEqual(total, rate * (end - start + LINK_BURST_S) * 1.000001)
