"""Grants of the holder reach gateways, end in time and shrink after a restart."""

import unittest

from mulberryrill.internal.core.slots import (
    GRANT_S,
    PROMISE_S,
    GatewaySlots,
    SlotClient,
    SlotHolder,
)
from mulberryrill.internal.ids import GatewayId, InstanceId, TargetId
from tests.common.core import DATA_CENTRE, create_target

INSTANCE = InstanceId("kariakoo-1")
GATEWAY = GatewayId("kariakoo-1/gateway-0")
LIST_LAG_S = 5.0
STARTED = 100.0
READY = STARTED + LIST_LAG_S + PROMISE_S
TARGET = TargetId("engine-1")


class SingleInstance:
    """Holder, client and one gateway of one instance, connected without delay."""

    def __init__(self) -> None:
        self.holder = SlotHolder(INSTANCE, DATA_CENTRE, 1, LIST_LAG_S, STARTED)
        self.client = SlotClient(INSTANCE, 1, STARTED)
        self.gateway = GatewaySlots(1)
        self.target = create_target(TARGET)

    def exchange(self, now: float) -> bool:
        """Runs one round of messages; returns whether the holder granted."""
        for _, request in self.holder.tick([INSTANCE], now):
            self.holder.on_promise(self.client.on_promise_request(request, now), now)
        self.client.on_gateway_report(self.gateway.report(GATEWAY, {TARGET: 4}, now), now)
        grant = self.holder.on_report(self.client.build_report(now), {TARGET: self.target}, now)
        if grant is not None:
            self.client.on_grant(grant, now)
        for update in self.client.list_gateway_grants(now):
            self.gateway.update(update)
        return grant is not None


class SlotsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.single = SingleInstance()
        self.gateway = self.single.gateway

    def test_new_instance_waits_before_it_holds(self) -> None:
        """Guards against a second holder while the list does not show the first one yet."""
        self.assertFalse(self.single.exchange(READY - 0.1))
        self.assertTrue(self.single.exchange(READY))

    def test_cold_target_runs_one_request(self) -> None:
        self.single.exchange(READY)
        self.assertTrue(self.gateway.acquire(self.single.target, READY))
        self.assertFalse(self.gateway.acquire(self.single.target, READY))

    def test_grant_ends_without_renewal(self) -> None:
        """Guards against a gateway that keeps its slots when the control process is cut off."""
        self.single.exchange(READY)
        for update in self.single.client.list_gateway_grants(READY + GRANT_S / 2):
            self.gateway.update(update)
        self.assertEqual(self.gateway.count_free(self.single.target, READY + GRANT_S - 0.01), 1)
        self.assertEqual(self.gateway.count_free(self.single.target, READY + GRANT_S), 0)

    def test_cap_doubles_and_returns_to_one_after_restart(self) -> None:
        now = READY
        self.single.exchange(now)
        for _ in range(8):
            self.assertTrue(self.gateway.acquire(self.single.target, now))
            self.gateway.release(TARGET, True)
            now += 0.2
            self.single.exchange(now)
        self.assertEqual(self.gateway.count_free(self.single.target, now), 2)
        self.single.target = create_target(TARGET, incarnation="2")
        self.assertEqual(self.gateway.count_free(self.single.target, now), 0)
        self.single.exchange(now + 0.2)
        self.assertEqual(self.gateway.count_free(self.single.target, now + 0.2), 1)
