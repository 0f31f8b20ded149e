"""Lookups, imports and exports of KV cache stores, with a fake loop and scripted responses."""

import json
import unittest
from collections.abc import Callable
from unittest.mock import patch

from mulberryrill.internal.clock import ManualClock
from mulberryrill.internal.core.messages import Priority, RoutingRequest, StoredPrefix
from mulberryrill.internal.core.routing import Router, create_policy
from mulberryrill.internal.core.snapshot import Snapshot, StoreMember
from mulberryrill.internal.gateway.loop import Timer
from mulberryrill.internal.gateway.metrics import GatewayMetrics
from mulberryrill.internal.gateway.stores import (
    FAILURE_PAUSE_S,
    LOOKUP_TIMEOUT_S,
    SIZE_LOOKUP_DELAY_S,
    InvalidLookupError,
    PromptBlocks,
    StorePool,
    can_use_stores,
    parse_lookup_response,
)
from mulberryrill.internal.gateway.transfer import Transfer, TransferEnd
from mulberryrill.internal.ids import CustomerName, DataCentre, PoolName, RequestId, ServiceName

NORTH, SOUTH = DataCentre("north"), DataCentre("south")
MEMBERS = tuple(
    StoreMember(f"store-{number}", data_centre, f"http://store-{number}")
    for number, data_centre in enumerate((NORTH, SOUTH, SOUTH))
)
RATE = 1000
SIZE = 100
DIGEST = "0" * 64
COMPLETE = TransferEnd("", True, False)


class FakeLoop:
    """Keeps transfers open until the test responds to them."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.transfers: list[Transfer] = []
        self.cancelled: list[Transfer] = []
        self.timers: list[Timer] = []

    def now(self) -> float:
        return self.clock.monotonic()

    def open_transfer(self, transfer: Transfer) -> None:
        self.transfers.append(transfer)

    def cancel_transfer(self, transfer: Transfer) -> None:
        transfer.listener = None
        self.cancelled.append(transfer)

    def call_later(self, delay_s: float, task: Callable[[], None]) -> Timer:
        self.timers.append(Timer(self.now() + delay_s, task))
        return self.timers[-1]

    def advance(self, seconds: float) -> None:
        self.clock.advance(seconds)
        for timer in [t for t in self.timers if t.due_at <= self.now()]:
            self.timers.remove(timer)
            if timer.task is not None:
                timer.task()

    def respond(self, body: bytes, status: int = 200, end: TransferEnd = COMPLETE) -> None:
        """Completes the oldest open transfer."""
        listener = self.transfers.pop(0).listener
        assert listener is not None
        listener.on_headers(status, {})
        listener.on_data(body)
        listener.on_end(end)


def create_routing(*keys: bytes) -> RoutingRequest:
    return RoutingRequest(
        request_id=RequestId("req-1"),
        service=ServiceName("flavour"),
        customer=CustomerName("kariakoo"),
        pool=PoolName("language"),
        model="flavour-7b",
        version="3",
        block_keys=keys,
        prompt_tokens=2048 * len(keys),
        priority=Priority.INTERACTIVE,
    )


def create_lookup_response(keys: tuple[bytes, ...], **changed: object) -> bytes:
    """Returns the body of a lookup response that lists these keys."""
    blocks = [
        {"key": key.hex(), "generation": 7, "length": SIZE, "digest": DIGEST, **changed}
        for key in keys
    ]
    return json.dumps({"blocks": blocks}).encode()


KEYS = (b"a", b"b", b"c", b"d")
ROUTING = create_routing(*KEYS)


class StorePoolTest(unittest.TestCase):
    def setUp(self) -> None:
        self.loop = FakeLoop()
        self.router = Router(create_policy("full"), NORTH, 1)
        self.results: list[PromptBlocks | None] = []
        self.pool = self.create_pool(RATE)

    def create_pool(self, rate: float) -> StorePool:
        loop: object = self.loop
        pool = StorePool(loop, self.router, GatewayMetrics(), rate)  # type: ignore[arg-type]
        pool.apply_snapshot(Snapshot(stores=MEMBERS), self.loop.now())
        return pool

    def look_up(self, routing: RoutingRequest = ROUTING) -> bool:
        return self.pool.look_up(routing, self.results.append)

    def look_up_stored(self, count: int) -> PromptBlocks:
        """Looks the prompt up at a store that holds its first blocks."""
        self.assertTrue(self.look_up())
        self.loop.respond(create_lookup_response(KEYS[:count]))
        blocks = self.results.pop()
        assert blocks is not None
        return blocks

    def use_up_budget(self, store: str, size: int = 1) -> int:
        """Reserves the rest of a link's budget; returns the number of ``size`` reservations."""
        count = 0
        while self.router.reserve_link_bytes(store, size, self.loop.now()):
            count += 1
        return count

    def test_prompts_with_the_same_beginning_use_one_store_that_is_not_drained(self) -> None:
        """Guards against lookups in another store than the blocks were exported to (also I5)."""
        first = [create_routing(bytes([n]), b"x") for n in range(20)]
        longer = [create_routing(bytes([n]), b"y", b"z") for n in range(20)]
        self.assertEqual(self.list_stores(first), self.list_stores(longer))
        self.assertEqual(len(set(self.list_stores(first))), 3)
        self.pool.apply_snapshot(Snapshot(stores=MEMBERS, drained=frozenset({SOUTH})), 0.0)
        self.assertEqual(set(self.list_stores(first)), {"http://store-0"})
        self.assertEqual(self.use_up_budget("http://store-1"), 0)

    def list_stores(self, requests: list[RoutingRequest]) -> list[str]:
        stores = []
        for request in requests:
            self.assertTrue(self.look_up(request))
            self.loop.respond(create_lookup_response(()))
            blocks = self.results.pop()
            assert blocks is not None
            stores.append(blocks.store)
        return stores

    def test_links_are_set_when_the_stores_change(self) -> None:
        """Guards against budgets of removed stores, and against resets on each snapshot."""
        with patch.object(self.router, "set_link_rates") as set_link_rates:
            for stores in (MEMBERS, MEMBERS[:1], MEMBERS[:1]):
                self.pool.apply_snapshot(Snapshot(stores=stores), 5.0)
        set_link_rates.assert_called_once_with({"http://store-0": RATE}, 5.0)

    def test_short_prompts_and_gateways_without_budget_use_no_store(self) -> None:
        self.assertFalse(self.look_up(create_routing(b"a")))
        self.pool = self.create_pool(0)
        self.assertFalse(self.look_up())

    def test_late_lookup_ends_and_the_store_is_left_alone(self) -> None:
        """Guards against a store that delays every request."""
        blocks = self.look_up_stored(2)
        self.assertTrue(self.look_up())
        self.loop.advance(LOOKUP_TIMEOUT_S + 0.001)
        self.assertEqual((self.results, self.loop.cancelled), ([None], self.loop.transfers))
        self.assertFalse(self.look_up())
        self.assertEqual(self.pool.plan_kv_transfer(blocks, ROUTING, None, self.loop.now()), {})
        self.loop.advance(FAILURE_PAUSE_S)
        self.assertTrue(self.look_up())

    def test_failed_lookups_give_no_blocks(self) -> None:
        broken = TransferEnd("reset", True, False)
        for body, status, end in (
            (create_lookup_response(KEYS), 500, COMPLETE),
            (create_lookup_response(KEYS), 200, broken),
            (b"[", 200, COMPLETE),
        ):
            with self.subTest(status=status, end=end):
                self.assertTrue(self.look_up())
                self.loop.respond(body, status, end)
                self.assertIsNone(self.results.pop())
                self.loop.advance(FAILURE_PAUSE_S)

    def test_plan_names_the_found_generations_and_the_missing_blocks(self) -> None:
        blocks = self.look_up_stored(3)
        (stored,) = blocks.list_prefixes()
        self.assertEqual((stored.blocks, stored.size_bytes), (3, 3 * SIZE))
        planned_import = StoredPrefix(blocks.store, 2, 2 * SIZE)
        fields = self.pool.plan_kv_transfer(blocks, ROUTING, planned_import, self.loop.now())
        named = [
            {"key": key.hex(), "generation": 7, "length": SIZE, "digest": DIGEST}
            for key in KEYS[:2]
        ]
        self.assertEqual(fields["kv_import"], {"store": blocks.store, "blocks": named})
        missing = {"store": blocks.store, "first_block": 3, "keys": [KEYS[3].hex()]}
        self.assertEqual(fields["kv_export"], missing)
        self.assertEqual(self.use_up_budget(blocks.store), RATE - SIZE)

    def test_export_stays_within_the_budget_leading_blocks_first(self) -> None:
        """Guards against links that carry more than their budget."""
        blocks = self.look_up_stored(1)
        self.router.reserve_link_bytes(blocks.store, RATE - 2 * SIZE, self.loop.now())
        fields = self.pool.plan_kv_transfer(blocks, ROUTING, None, self.loop.now())
        keys = [key.hex() for key in KEYS[1:3]]
        expected = {"kv_export": {"store": blocks.store, "first_block": 1, "keys": keys}}
        self.assertEqual(fields, expected)
        self.assertEqual(self.pool.plan_kv_transfer(blocks, ROUTING, None, self.loop.now()), {})

    def test_one_block_is_exported_until_the_size_has_been_read(self) -> None:
        """Guards against exports of many blocks of unknown size."""
        blocks = self.look_up_stored(0)
        fields = self.pool.plan_kv_transfer(blocks, ROUTING, None, self.loop.now())
        expected = {"store": blocks.store, "first_block": 0, "keys": [KEYS[0].hex()]}
        self.assertEqual(fields["kv_export"], expected)
        self.pool.on_complete(blocks, ROUTING, 0)
        self.loop.advance(SIZE_LOOKUP_DELAY_S)
        self.loop.respond(create_lookup_response(KEYS[:1]))
        self.pool.plan_kv_transfer(blocks, ROUTING, None, self.loop.now())
        self.assertEqual(blocks.export_count, 4)


class FormTest(unittest.TestCase):
    def test_only_text_prompts_of_completions_use_stores(self) -> None:
        """Guards against block keys of a text other than the one that the engine computes."""
        path = "/v1/completions"
        self.assertTrue(can_use_stores(path, {"prompt": "x"}))
        self.assertFalse(can_use_stores("/v1/chat/completions", {"prompt": "x"}))
        refused: list[dict[str, object]] = [
            {"prompt": ["x"]},
            {"messages": []},
            {"prompt": "x", "suffix": "y"},
            {"prompt": "\ud800"},
        ]
        for content in refused:
            with self.subTest(content=content):
                self.assertFalse(can_use_stores(path, content))

    def test_answers_about_other_blocks_are_refused(self) -> None:
        keys = ("61", "62")
        self.assertEqual(len(parse_lookup_response(create_lookup_response((b"a",)), keys)), 1)
        for body in (
            b"{}",
            b'{"blocks": 1}',
            create_lookup_response((b"b",)),
            create_lookup_response((b"a", b"b", b"c")),
            create_lookup_response((b"a",), generation="7"),
            create_lookup_response((b"a",), length=0),
            create_lookup_response((b"a",), digest="x"),
        ):
            with self.subTest(body=body), self.assertRaises(InvalidLookupError):
                parse_lookup_response(body, keys)
