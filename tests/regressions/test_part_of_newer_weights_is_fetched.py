"""Guards against calls that run on prompt parts which other weights have computed.

An order to load new weights lets the engine's calls go on. If its memory runs out later, a call is
preempted and its prompt prefilled again by the new weights, but cached under the call's salt, which
names the old version. An engine that still has the old version must not fetch that part, neither
from the engine nor from a store that got it. Found by the review's case STALE.
"""

import json
import unittest
from unittest.mock import Mock

from mulberryrill.internal.clock import ManualClock
from mulberryrill.internal.core.serving.cacheindex import (
    STORE_FRESHNESS_S,
    CacheEvent,
    CacheKey,
    HolderKind,
)
from mulberryrill.internal.core.serving.routetable import Prompt
from mulberryrill.internal.core.serving.targettable import Registration, RegistrationState
from mulberryrill.internal.entry.dialect import AttemptPlan
from mulberryrill.internal.entry.dispatcher import Dispatcher
from mulberryrill.internal.entry.peers import Peer
from mulberryrill.internal.entry.state import EntryState
from mulberryrill.internal.eventloop import EventLoop
from mulberryrill.internal.ids import (
    DataCentre,
    Incarnation,
    InstanceId,
    ModelName,
    ServiceName,
    TargetId,
    WeightVersion,
)
from mulberryrill.internal.schema.settings_pb2 import EntryBounds, EntrySettings
from mulberryrill.platform.records import parse_configuration
from tests.common.entry import MODEL, build_store_service, create_configuration

HOME = DataCentre("z1")
SOURCE, ENGINE, STORE = "10.0.0.1:80", "10.0.0.2:80", "10.9.0.1:80"
PROMPT = Prompt(ModelName(MODEL), 8_000, 16, (("aa", 7_000), ("bb", 1_000)))


class StalePartTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = ManualClock()
        loop = EventLoop(self.clock, "test")
        bounds = EntryBounds(configuration_ms=2000, drain_ms=2000, version_ms=10_000)
        settings = EntrySettings(instance="i0", data_centre=HOME, bounds=bounds, seed=1)
        self.state = EntryState(loop, InstanceId("i0"), HOME, bounds)
        self.dispatcher = Dispatcher(loop, settings, self.state, Mock())
        configuration = create_configuration()
        configuration["services"].append(build_store_service(STORE))
        table = parse_configuration(json.dumps(configuration).encode())
        self.state.on_configuration(table)
        self.state.on_peers([Peer(InstanceId("i0"), HOME, "127.0.0.1:1")])
        self.register("source", SOURCE, 1)
        self.register("engine", ENGINE, 1)
        self.state.on_desired_version(ModelName(MODEL), WeightVersion(1), True)
        self.read_operator_records()
        for address, kind in (
            (SOURCE, HolderKind.ENGINE),
            (ENGINE, HolderKind.ENGINE),
            (STORE, HolderKind.STORE),
        ):
            self.state.cache_index.add_holder(address, kind)
            self.tell_parts(address)
        self.state.engine_clock.observe(0.0, loop.now())
        service = table.services[ServiceName("lm")]
        route = next(route for route in table.routes if route.name == "quick")
        call = Mock(route=route, prompt=PROMPT, customer=None, priority=1, is_take_up=False)
        call.request_id = "r-1"
        # The source is left out, as if it had rejected the call or were busy.
        self.handler = Mock(call=call, service=service, software=None, last_event_id=None)
        self.handler.tried_targets = [TargetId("source")]
        self.handler.has_attempt = False
        self.handler.time_left_s = 5.0

    def register(self, name: str, address: str, version: int) -> None:
        self.state.on_registration(
            Registration(
                target=TargetId(name),
                service=ServiceName("lm"),
                address=address,
                data_centre=HOME,
                state=RegistrationState.READY,
                incarnation=Incarnation("1"),
                slots=8,
                cold_s=0.0,
                order_count=version - 1,
                models=((ModelName(MODEL), WeightVersion(version)),),
            )
        )

    def read_operator_records(self) -> None:
        self.state.on_operator_records_checked(self.clock.boottime())

    def name_version(self, version: int) -> None:
        self.state.on_desired_version(ModelName(MODEL), WeightVersion(version), False)

    def tell_parts(self, address: str, *parts: str, salt: str = "1") -> None:
        """Applies an answer of a holder that tells that it has cached these parts."""
        events = [CacheEvent(CacheKey(salt, part), True, 7_000) for part in parts]
        position = self.state.cache_index.get_next_event(address)
        next_event = position + len(events)
        self.state.cache_index.apply(address, 1, next_event, events, self.clock.boottime())

    def tell_parts_and_confirm(self, address: str, *parts: str, salt: str = "1") -> None:
        """The same, and no newer version is found in the store after that."""
        self.tell_parts(address, *parts, salt=salt)
        self.advance(0.1)
        self.read_operator_records()

    def advance(self, seconds: float) -> None:
        """Lets time pass in which the holders answer without news."""
        self.clock.advance(seconds)
        for address in (SOURCE, ENGINE, STORE):
            self.tell_parts(address)

    def plan(self) -> AttemptPlan:
        plan = self.dispatcher.plan_attempt(self.handler)
        assert isinstance(plan, AttemptPlan) and plan.cache is not None
        self.assertEqual(plan.target.id, "engine")
        return plan

    def find_source(self) -> str | None:
        """Returns the address from which the other engine is to fetch the shared part."""
        plan = self.plan()
        assert plan.cache is not None
        return plan.cache.fetch[0]

    def test_part_is_fetched_while_all_engines_have_its_version(self) -> None:
        self.tell_parts_and_confirm(SOURCE, "aa")
        self.assertEqual(self.find_source(), SOURCE)

    def test_engine_that_has_loaded_newer_weights_is_no_source(self) -> None:
        self.name_version(2)
        self.register("source", SOURCE, 2)
        self.tell_parts_and_confirm(SOURCE, "aa")
        self.assertEqual(self.plan().cache.salt, "1")  # type: ignore[union-attr]
        self.assertIsNone(self.find_source())

    def test_engine_that_may_have_loaded_newer_weights_is_no_source(self) -> None:
        """The engine's new version becomes known only some time after it has loaded it."""
        self.name_version(2)
        self.tell_parts_and_confirm(SOURCE, "aa")
        self.assertIsNone(self.find_source())

    def test_newer_weights_that_only_a_target_tells_count(self) -> None:
        """An instance that is cut off from the store has not read the name of the version."""
        self.register("third", "10.0.0.3:80", 2)
        self.tell_parts_and_confirm(SOURCE, "aa")
        self.handler.tried_targets = [TargetId("source"), TargetId("third")]
        self.assertIsNone(self.find_source())

    def test_engine_that_has_gone_back_to_older_weights_is_no_source(self) -> None:
        """An order that is executed late can take a restarted engine to an older version."""
        self.name_version(2)
        self.register("engine", ENGINE, 2)
        self.tell_parts_and_confirm(SOURCE, "aa", salt="2")
        self.assertEqual(self.plan().cache.salt, "2")  # type: ignore[union-attr]
        self.assertIsNone(self.find_source())

    def test_new_part_of_an_engine_is_not_used_while_the_operators_records_are_old(self) -> None:
        """A frozen or cut off instance may not know the newest version yet."""
        self.advance(1.0)
        self.tell_parts(SOURCE, "aa")
        self.assertEqual(self.find_source(), SOURCE)
        self.advance(1.0)
        self.assertIsNone(self.find_source())
        self.read_operator_records()
        self.assertEqual(self.find_source(), SOURCE)

    def test_part_that_an_engine_has_held_since_is_used_while_the_records_are_old(self) -> None:
        """Guards against prompts that are prefilled again all through an outage of the store."""
        self.tell_parts_and_confirm(SOURCE, "aa")
        self.advance(2.0)
        self.assertEqual(self.find_source(), SOURCE)
        # The engine has loaded other weights, and prefilled the part again.
        self.tell_parts(SOURCE, "aa")
        self.assertIsNone(self.find_source())

    def test_part_of_a_silent_engine_is_not_used_while_the_records_are_old(self) -> None:
        """It may have evicted the part, and cached it again, without this instance knowing."""
        self.tell_parts_and_confirm(SOURCE, "aa")
        self.clock.advance(STORE_FRESHNESS_S + 0.1)
        self.assertIsNone(self.find_source())

    def test_part_that_a_store_got_after_newer_weights_were_named_is_not_used(self) -> None:
        """A store keeps what a preempted call of the old version saves there."""
        self.name_version(2)
        self.tell_parts_and_confirm(STORE, "aa")
        self.assertIsNone(self.find_source())

    def test_part_that_a_store_had_before_newer_weights_were_named_is_used(self) -> None:
        self.tell_parts_and_confirm(STORE, "aa")
        self.name_version(2)
        self.advance(1.0)
        self.read_operator_records()
        self.assertEqual(self.find_source(), STORE)

    def test_stored_part_counts_from_the_next_read_of_the_operators_records(self) -> None:
        """A newer version may have been named, and loaded, since the last read."""
        self.tell_parts(STORE, "aa")
        self.clock.advance(0.1)
        self.tell_parts(STORE)
        self.state.on_operator_records_checked(self.clock.boottime() - 0.5)
        self.assertIsNone(self.find_source())
        self.read_operator_records()
        self.assertEqual(self.find_source(), STORE)

    def test_nothing_is_saved_for_a_version_that_is_being_replaced(self) -> None:
        self.assertEqual(self.plan().cache.save[0], STORE)  # type: ignore[union-attr]
        self.name_version(2)
        self.assertIsNone(self.plan().cache.save[0])  # type: ignore[union-attr]
