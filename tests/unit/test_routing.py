"""Tests that the router filters targets, ranks them by policy and explains its decisions."""

import unittest
from dataclasses import replace

from mulberryrill.errors import CoreError
from mulberryrill.internal.core.messages import (
    CostWeights,
    MemberState,
    RoutingDecision,
    RoutingRequest,
    StoredPrefix,
    TargetState,
)
from mulberryrill.internal.core.routing import Router, create_policy
from mulberryrill.internal.ids import DataCentre, TargetId
from tests.common.core import DATA_CENTRE, create_request, create_target

KEYS = tuple(bytes([n]) * 16 for n in range(5))
TOKENS = len(KEYS) * 2000
STORE = "http://store-1"


class RouterCase(unittest.TestCase):
    policy = "least-loaded"

    def setUp(self) -> None:
        self.router = self.create_router(1)
        self.targets = [create_target(f"e{n}") for n in range(4)]
        self.now = 0.0

    def create_router(self, seed: int) -> Router:
        return Router(create_policy(self.policy), DATA_CENTRE, seed)

    def choose(
        self, request: RoutingRequest, targets: list[TargetState] | None = None
    ) -> RoutingDecision:
        chosen = self.targets if targets is None else targets
        return self.router.choose(request, chosen, lambda target: 1, self.now)

    def choose_target_id(
        self, request: RoutingRequest, targets: list[TargetState] | None = None
    ) -> str:
        decision = self.choose(request, targets)
        assert decision.target is not None
        return decision.target.target

    def complete_request(
        self, request: RoutingRequest, target: TargetState, first_token_s: float
    ) -> None:
        self.router.record_start(request, target, self.now)
        self.now += first_token_s
        self.router.record_end(request, target, 0, first_token_s, self.now)

    def list_targets_with_load(self, target: str, running: int) -> list[TargetState]:
        return [
            create_target(t.target, running=running * (t.target == target)) for t in self.targets
        ]


class FilterTest(RouterCase):
    def test_unsuitable_targets_are_rejected_with_reason(self) -> None:
        targets = [
            create_target("a", state=MemberState.LEAVING),
            create_target("b", healthy=False),
            create_target("c", data_centre=DataCentre("msasani")),
            create_target("d", running=3),
            create_target("e", running=1),
            create_target("f"),
        ]
        decision = self.choose(create_request(excluded=frozenset([TargetId("f")])), targets)
        assert decision.target is not None
        self.assertEqual(decision.target.target, "e")
        self.assertEqual([r.target for r in decision.rejected], ["a", "b", "c", "f", "d"])
        self.assertTrue(all(r.reason for r in decision.rejected))
        self.assertIsNone(self.choose(create_request(version="4"), targets).target)

    def test_target_without_slot_is_passed_over(self) -> None:
        free = {"e0": 0, "e1": 0, "e2": 1, "e3": 0}
        decision = self.router.choose(
            create_request(), self.targets, lambda target: free[target.target], 0.0
        )
        assert decision.target is not None
        self.assertEqual(decision.target.target, "e2")

    def test_ties_follow_the_seed(self) -> None:
        def list_choices(seed: int) -> list[str]:
            self.router = self.create_router(seed)
            return [self.choose_target_id(create_request()) for _ in range(20)]

        self.assertEqual(list_choices(1), list_choices(1))
        self.assertNotEqual(list_choices(1), list_choices(2))
        self.assertEqual(len(set(list_choices(1))), 4)

    def test_unknown_policy_names_the_known_ones(self) -> None:
        with self.assertRaisesRegex(CoreError, "least-loaded"):
            create_policy("fastest")


class AffinityTest(RouterCase):
    policy = "affinity"

    def test_gateways_agree_on_the_first_target(self) -> None:
        """Guards against prompts that are recomputed when they arrive at another gateway."""
        for number in range(20):
            request = create_request(block_keys=(bytes([number]) * 16,))
            self.router = self.create_router(1)
            first = self.choose_target_id(request)
            self.router = self.create_router(2)
            self.assertEqual(self.choose_target_id(request), first)

    def test_placed_prefix_wins_until_the_target_restarts(self) -> None:
        request = create_request(block_keys=KEYS)
        preferred = self.choose_target_id(request)
        other = next(t for t in self.targets if t.target != preferred)
        self.complete_request(request, other, 1.0)
        self.assertEqual(self.choose_target_id(request), other.target)
        restarted = [create_target(t.target, incarnation="2") for t in self.targets]
        self.assertEqual(self.choose_target_id(request, restarted), preferred)

    def test_candidate_with_too_much_load_is_passed_over(self) -> None:
        """Guards against a target that is overloaded by a popular prefix."""
        request = create_request(block_keys=KEYS)
        preferred = self.choose_target_id(request)
        decision = self.choose(request, self.list_targets_with_load(preferred, 6))
        assert decision.target is not None
        self.assertNotEqual(decision.target.target, preferred)
        reasons = {r.target: r.reason for r in decision.rejected}
        self.assertIn("passed over", reasons[TargetId(preferred)])


class FullTest(RouterCase):
    policy = "full"

    def test_cached_target_is_used_until_waiting_costs_more(self) -> None:
        request = create_request(block_keys=KEYS, prompt_tokens=TOKENS)
        target = self.choose(request).target
        assert target is not None
        self.complete_request(request, target, 1.0)
        self.assertEqual(
            self.choose_target_id(request, self.list_targets_with_load(target.target, 7)),
            target.target,
        )
        self.assertNotEqual(
            self.choose_target_id(request, self.list_targets_with_load(target.target, 80)),
            target.target,
        )

    def test_equal_costs_go_to_the_least_loaded(self) -> None:
        """Guards against short requests that all go to one target until its concurrency is used."""
        for target in self.targets[:3]:
            self.router.record_start(create_request("r" + target.target), target, self.now)
        self.now += 10.0
        for _ in range(5):
            self.assertEqual(self.choose_target_id(create_request(prompt_tokens=0)), "e3")

    def test_slow_target_is_avoided(self) -> None:
        request = create_request(prompt_tokens=TOKENS)
        for _ in range(10):
            for target in self.targets:
                self.complete_request(request, target, 1.0 if target.target == "e3" else 5.0)
        self.assertEqual(self.choose_target_id(request), "e3")

    def test_prompt_that_is_being_computed_delays_the_next(self) -> None:
        """Guards against two long prompts on one target while other targets are idle."""
        long = create_request("req-2", prompt_tokens=20 * TOKENS)
        chosen = self.choose(long).target
        assert chosen is not None
        self.router.record_start(long, chosen, self.now)
        others = [replace(t, running=2 * (t.target != chosen.target)) for t in self.targets]
        for _ in range(10):
            self.assertNotEqual(self.choose_target_id(create_request(), others), chosen.target)

    def test_placed_target_is_next_when_the_first_by_hash_is_busy(self) -> None:
        request = create_request(block_keys=KEYS, prompt_tokens=TOKENS)
        preferred = self.choose_target_id(request)
        busy = self.list_targets_with_load(preferred, 80)
        for target in [t for t in self.targets if t.target != preferred]:
            self.router = self.create_router(1)
            self.complete_request(request, target, 1.0)
            self.assertEqual(self.choose_target_id(request, busy), target.target)

    def test_small_differences_of_measured_rates_do_not_move_prompts(self) -> None:
        request = create_request(block_keys=KEYS, prompt_tokens=TOKENS)
        preferred = self.choose_target_id(request)
        for target in self.targets:
            first_token_s = 1.05 if target.target == preferred else 1.0
            self.complete_request(request, target, first_token_s)
        self.assertEqual(self.choose_target_id(request), preferred)

    def test_gateways_keep_one_copy_of_a_prompt(self) -> None:
        """Guards against gateways that each prefer the target they used last.

        The copies evict other prompts; simulated deployments recomputed several times as much.
        """
        request = create_request(block_keys=KEYS, prompt_tokens=TOKENS)
        preferred = self.choose_target_id(request)
        other = next(t for t in self.targets if t.target != preferred)
        self.complete_request(request, other, 0.5)
        self.assertEqual(self.choose_target_id(request), preferred)

    def test_weights_decide_between_import_and_recomputation(self) -> None:
        stored = (StoredPrefix(STORE, len(KEYS), 5_000_000),)
        self.router.set_link_rates({STORE: 5_000_000.0}, self.now)
        cheap = create_request(block_keys=KEYS, prompt_tokens=TOKENS, stored_prefixes=stored)
        weights = CostWeights(1.0, 0.0, 10.0)
        costly = create_request(
            block_keys=KEYS, prompt_tokens=TOKENS, stored_prefixes=stored, weights=weights
        )
        self.assertIsNone(self.choose(costly).planned_import)
        decision = self.choose(cheap)
        self.assertEqual(decision.planned_import, stored[0])
        self.assertIn("imports 5 blocks", decision.reason)

    def test_store_without_budget_is_not_used(self) -> None:
        stored = (StoredPrefix(STORE, len(KEYS), 10),)
        request = create_request(block_keys=KEYS, prompt_tokens=TOKENS, stored_prefixes=stored)
        self.assertIsNone(self.choose(request).planned_import)
