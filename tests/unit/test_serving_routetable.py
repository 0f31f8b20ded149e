"""Route lookup and retry rules of the entry program's configuration."""

import unittest

from mulberryrill.internal.core.serving.routetable import (
    CallKind,
    Route,
    RouteTable,
    WeightedService,
)
from mulberryrill.internal.ids import ServiceName


def create_route(name: str, host: str, prefix: str, kind: CallKind = CallKind.IDEMPOTENT) -> Route:
    """Returns a route to a service of the same name."""
    return Route(
        name=name,
        host=host,
        path_prefix=prefix,
        kind=kind,
        services=(WeightedService(ServiceName(name), 1.0),),
        timeout_s=1.0,
        latency_objective_s=0.2,
        priority=0,
        max_attempts=2,
        is_public=True,
        has_prompt=False,
        is_resumable=False,
        max_event_gap_s=0.0,
    )


class FindRouteTest(unittest.TestCase):
    """Guards against calls routed by a shorter prefix or by a route of another host."""

    def setUp(self) -> None:
        self.table = RouteTable(
            version=1,
            routes=(
                create_route("short", "a.example", "/x/"),
                create_route("long", "a.example", "/x/y/"),
                create_route("other", "b.example", "/x/"),
            ),
            services={},
            customers_by_api_key={},
            requires_api_keys=False,
        )

    def find(self, host: str, path: str) -> str | None:
        route = self.table.find_route(host, path)
        return route.name if route is not None else None

    def test_longest_prefix_wins(self) -> None:
        self.assertEqual(self.find("a.example", "/x/y/z"), "long")
        self.assertEqual(self.find("a.example", "/x/yz"), "short")

    def test_prefix_matches_whole_segments_only(self) -> None:
        self.assertIsNone(self.find("a.example", "/xy/z"))
        self.assertIsNone(self.find("a.example", "/x"))

    def test_host_decides(self) -> None:
        self.assertEqual(self.find("b.example", "/x/y/z"), "other")
        self.assertIsNone(self.find("c.example", "/x/y/z"))


class RepeatableTest(unittest.TestCase):
    """Guards against a second run of a call that may run only once."""

    def test_streams_are_repeatable_only_if_resumable(self) -> None:
        stream = create_route("s", "a", "/", CallKind.STREAM)
        self.assertFalse(stream.is_repeatable)
        self.assertFalse(create_route("s", "a", "/", CallKind.NON_IDEMPOTENT).is_repeatable)
        self.assertTrue(create_route("s", "a", "/", CallKind.IDEMPOTENT).is_repeatable)
