"""Choice of targets, rate limits for cold ones, and transfers of cached prompt parts."""

import unittest

from mulberryrill.internal.core.serving.cacheindex import (
    STORE_FRESHNESS_S,
    CacheEvent,
    CacheIndex,
    CacheKey,
    HolderKind,
    RemoteClock,
    estimate_prefill_tokens,
    find_sources,
    list_obsolete,
    plan_transfers,
)
from mulberryrill.internal.core.serving.cachevalidity import ValidParts
from mulberryrill.internal.core.serving.placement import (
    AFFINITY_TOLERANCE_S,
    ColdPacer,
    Placement,
    PlacementRequest,
    choose_engine,
)
from mulberryrill.internal.core.serving.routetable import Prompt, Service, StoreProfile
from mulberryrill.internal.core.serving.targettable import Target
from mulberryrill.internal.ids import DataCentre, InstanceId, ModelName, ServiceName, TargetId
from tests.unit.test_serving_targettable import create_registration

HOME = DataCentre("msasani")
PARTS = (("aa", 512), ("bb", 8000), ("cc", 2000))
PROMPT = Prompt(ModelName("m"), 10_512, 64, PARTS)
# All holders have the salt's version, and no other was ever named.
ALL_VALID = ValidParts(lambda address: True, float("inf"), float("inf"), True)


def create_targets(count: int) -> list[Target]:
    """Returns targets in the data centre of the placement."""
    return [Target(create_registration(f"t{i}", address=f"10.0.0.{i}:80")) for i in range(count)]


def create_placement(instance: str = "i1") -> Placement:
    """Returns a placement with its own pacer."""
    return Placement(HOME, ColdPacer(InstanceId(instance), 1.5, 5), seed=1)


class PlacementTest(unittest.TestCase):
    def request(self, now: float = 0.0, excluded: tuple[str, ...] = ()) -> PlacementRequest:
        return PlacementRequest(PROMPT, None, [TargetId(t) for t in excluded], now)

    def test_instances_agree_on_the_engine_of_a_prompt(self) -> None:
        """Guards against prefill of the same prompt on every engine."""
        targets = create_targets(6)
        first = create_placement("i1").list_candidates(targets, self.request(), 0.0)
        second = create_placement("i2").list_candidates(targets, self.request(), 0.0)
        self.assertEqual([t.id for t in first], [t.id for t in second])

    def test_cooling_and_failing_targets_are_chosen_last(self) -> None:
        targets = create_targets(3)
        targets[0].record_failure(0.0)
        for _ in range(10):
            targets[1].record_error()
        chosen = create_placement().list_candidates(targets, self.request(0.1), 0.0)
        self.assertEqual([t.id for t in chosen], ["t2"])

    def test_a_cooling_target_is_used_when_all_others_are_excluded(self) -> None:
        """Guards against refusals while a target might accept the call."""
        targets = create_targets(1)
        targets[0].record_failure(0.0)
        self.assertEqual(
            len(create_placement().list_candidates(targets, self.request(0.1), 0.0)), 1
        )
        excluded = self.request(0.1, excluded=("t0",))
        self.assertEqual(create_placement().list_candidates(targets, excluded, 0.0), [])

    def test_plain_calls_go_to_the_least_loaded_target(self) -> None:
        targets = create_targets(3)
        running = {"t0": 2.0, "t1": 0.0, "t2": 1.0}
        request = PlacementRequest(None, None, (), 0.0)
        chosen = create_placement().choose_least_loaded(
            targets, request, 0.0, lambda t: running[t.id]
        )
        assert chosen is not None
        self.assertEqual(chosen.id, "t1")

    def test_engine_is_kept_unless_another_is_clearly_faster(self) -> None:
        self.assertEqual(choose_engine([0.10, 0.10 - AFFINITY_TOLERANCE_S / 2, 0.3]), 0)
        self.assertEqual(choose_engine([0.50, 0.10, 0.3]), 1)


class ColdPacerTest(unittest.TestCase):
    """Guards against a cold target that gets calls from all instances at once."""

    def test_all_instances_together_keep_the_bound(self) -> None:
        for count in (1, 3, 6, 9, 11, 40):
            for rate in (2.0, 10.0, 30.0):
                self.check_bound(count, rate)

    def check_bound(self, count: int, rate: float) -> None:
        """Simulates four seconds in which each instance always has a call to send."""
        bound = rate * 1.5 + 5
        names = [InstanceId(f"i{i}") for i in range(count)]
        pacers = [ColdPacer(name, 1.5, 5) for name in names]
        for pacer in pacers:
            pacer.set_instances(names)
        sent: list[float] = []
        for step in range(400):
            now = step * 0.01
            for pacer in pacers:
                if pacer.can_send(TargetId("t"), rate, now):
                    pacer.record_send(TargetId("t"), now)
                    sent.append(now)
        max_per_second = max(sum(start <= t < start + 1.0 for t in sent) for start in sent)
        self.assertLessEqual(max_per_second, bound, count)
        self.assertGreater(len(sent), 3, count)


def add_cached_part(
    index: CacheIndex, address: str, part: str, tokens: int, now: float, epoch: int = 1
) -> None:
    """Applies an event that a holder has cached a part."""
    index.apply(address, epoch, 1, [CacheEvent(CacheKey("1", part), True, tokens)], now)


class TransferTest(unittest.TestCase):
    ENGINE, OTHER, STORE = "10.0.0.1:80", "10.0.0.2:80", "10.9.0.1:80"

    def setUp(self) -> None:
        self.index = CacheIndex()
        self.index.add_holder(self.ENGINE, HolderKind.ENGINE)
        self.index.add_holder(self.OTHER, HolderKind.ENGINE)
        self.index.add_holder(self.STORE, HolderKind.STORE)
        self.index.apply(self.STORE, 1, 1, [], 0.0)
        profile = StoreProfile(self.STORE, HOME, 100_000, 3.3e10, 0.006, 12)
        self.stores = [Service(ServiceName("s"), store=profile)]

    def plan(self, now: float = 0.1, salt: str = "1"):
        sources = find_sources(self.index, self.stores, salt, PARTS, now, ALL_VALID)
        return plan_transfers(self.index, sources, self.ENGINE)

    def estimate_prefill(self, prompt_tokens: int, now: float = 0.1) -> int:
        sources = find_sources(self.index, self.stores, "1", PARTS, now, ALL_VALID)
        return estimate_prefill_tokens(self.index, sources, prompt_tokens, self.ENGINE)

    def test_unknown_parts_are_prefilled_and_saved_but_not_the_calls_own(self) -> None:
        plan = self.plan()
        self.assertEqual(plan.fetch, (None, None, None))
        self.assertEqual(plan.save, (self.STORE, self.STORE, None))
        self.assertEqual(self.estimate_prefill(10_512), 10_512)

    def test_parts_come_from_another_engine_before_a_store(self) -> None:
        add_cached_part(self.index, self.OTHER, "aa", 512, 0.0)
        add_cached_part(self.index, self.STORE, "aa", 512, 0.0)
        add_cached_part(self.index, self.STORE, "bb", 8000, 0.0)
        plan = self.plan()
        self.assertEqual(plan.fetch, (self.OTHER, self.STORE, None))
        self.assertEqual(plan.save, (None, None, None))
        self.assertLess(self.estimate_prefill(10_512), 3_000)

    def test_a_part_after_a_missing_one_is_not_fetched(self) -> None:
        """Guards against transfers that cannot be used."""
        add_cached_part(self.index, self.STORE, "bb", 8000, 0.0)
        self.assertEqual(self.plan().fetch, (None, None, None))

    def test_parts_of_another_version_or_customer_are_not_used(self) -> None:
        """Guards against cache blocks that were computed with other weights."""
        add_cached_part(self.index, self.STORE, "aa", 512, 0.0)
        self.assertEqual(self.plan(salt="2").fetch, (None, None, None))
        self.assertEqual(self.plan(salt="1/mama").fetch, (None, None, None))

    def test_incomplete_part_is_no_source(self) -> None:
        add_cached_part(self.index, self.OTHER, "aa", 256, 0.0)
        self.assertEqual(self.plan().fetch[0], None)

    def test_store_that_restarted_is_empty(self) -> None:
        """Guards against a fetch of a part that is being written again after a restart."""
        add_cached_part(self.index, self.STORE, "aa", 512, 0.0)
        self.index.apply(self.STORE, 2, 1, [], 0.2)
        self.assertEqual(self.plan(0.3).fetch[0], None)

    def test_store_without_fresh_events_is_not_used(self) -> None:
        add_cached_part(self.index, self.STORE, "aa", 512, 0.0)
        plan = self.plan(STORE_FRESHNESS_S + 0.1)
        self.assertEqual(plan.fetch[0], None)
        self.assertEqual(plan.save[0], None)

    def test_full_store_gets_no_parts(self) -> None:
        add_cached_part(self.index, self.STORE, "zz", 95_000, 0.0)
        self.assertEqual(self.plan().save, (self.STORE, None, None))


class ObsoletePartsTest(unittest.TestCase):
    """Guards against stores that fill up with parts of obsolete versions."""

    def test_only_parts_of_older_versions_are_listed(self) -> None:
        index = CacheIndex()
        index.add_holder("s", HolderKind.STORE)
        salts = ("1", "1/mama", "2", "2/mama", "r-77")
        events = [CacheEvent(CacheKey(salt, "aa"), True, 16) for salt in salts]
        index.apply("s", 1, 1, events, 0.0)
        self.assertEqual({key.salt for key in list_obsolete(index, "s", 2)}, {"1", "1/mama"})


class RemoteClockTest(unittest.TestCase):
    """Guards against fetches whose deadline has passed before they start."""

    def test_fastest_answer_counts_until_a_suspension(self) -> None:
        clock = RemoteClock()
        self.assertIsNone(clock.read(0.0))
        clock.observe(100.0, 10.0)
        clock.observe(100.9, 11.0)
        self.assertEqual(clock.read(11.0), 101.0)
        clock.observe(200.0, 15.0)
        self.assertEqual(clock.read(15.0), 200.0)
