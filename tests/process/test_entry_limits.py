"""Targets that name a limit on the rate of their calls get no more, from all instances together."""

import http.client
import itertools
import signal
import time
import unittest
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from tests.common.callerthreads import CallerThreads
from tests.common.entry import CUSTOMER, HOST, LOCAL, MODEL, ReceivedCall, create_configuration
from tests.common.entryfleet import EntryFleet, EntryProcess, FleetTarget

# Bounds from the users' specification: from CONTACT_S after a target first named its limit, it gets
# in any WINDOW_S at most FACTOR times what the limit allows, and RESERVE calls more, from instances
# that passed on a response with the limit TOLD_S before or earlier.
CONTACT_S = 3.0
TOLD_S = 0.5
WINDOW_S = 4.0
FACTOR = 1.5
RESERVE = 5
LIMIT_PER_S = 1.5
TROUBLE_S = 10.0
CALL_TIMEOUT_S = 4.0
# Of the calls that fit into the limits, at least this share is served.
MIN_USED_SHARE = 0.5


@dataclass(frozen=True)
class Reply:
    """A caller's request at an instance and what became of it."""

    name: str
    sent_at: float
    ended_at: float
    status: int | None
    retry_after: str | None


class LimitTest(unittest.TestCase):
    def setUp(self) -> None:
        self.fleet = EntryFleet(instances=4, targets=8)
        self.addCleanup(self.fleet.close)
        self.numbers = itertools.count()
        self.replies: list[Reply] = []
        # When each target got each call, by target and request id.
        self.arrivals: dict[str, dict[str, float]] = {t.name: {} for t in self.fleet.targets}
        # When each instance first passed on a response with a limit, by target and instance.
        self.told_at: dict[str, dict[str, float]] = {t.name: {} for t in self.fleet.targets}
        self.instances: dict[str, str] = {}
        for target in self.fleet.targets:
            target.on_call = partial(self.record_arrival, target.name)
        self.callers = CallerThreads(self.fleet.entries)
        self.addCleanup(self.callers.close)

    def record_arrival(self, target: str, call: ReceivedCall) -> None:
        self.arrivals[target].setdefault(call.headers["request-id"], time.monotonic())

    def list_targets(self, service: str) -> list[FleetTarget]:
        return [target for target in self.fleet.targets if target.service == service]

    def start_caller(self, name: str, interval_s: float, path: str) -> None:
        """Makes calls at all instances in turn until the test ends."""
        self.callers.start(interval_s, lambda entry: self.call(name, entry, path))

    def call(self, name: str, entry: EntryProcess, path: str) -> None:
        number = next(self.numbers)
        request_id = f"{name}-{number}"
        self.instances[request_id] = entry.name
        headers = {
            "Host": HOST,
            "Request-Id": request_id,
            "X-Api-Key": self.fleet.keys[0],
            "Deadline-Ms": "2000",
        }
        if not path.startswith("/get/"):
            prefix = f"aa:500,{number + 0x1000:x}:10"
            headers |= {"Model": MODEL, "Token-Usage": "1000,16", "Prefix-Hash": prefix}
        sent_at = time.monotonic()
        connection = http.client.HTTPConnection(LOCAL, entry.callers_port, timeout=CALL_TIMEOUT_S)
        status, retry_after = None, None
        try:
            connection.request("GET" if path.startswith("/get/") else "POST", path, None, headers)
            response = connection.getresponse()
            if response.getheader("server-limit") is not None:
                target = (response.getheader("server-stamp") or "").partition("/")[0]
                self.told_at[target].setdefault(entry.name, time.monotonic())
            response.read()
            status, retry_after = response.status, response.getheader("retry-after")
        except (OSError, http.client.HTTPException):
            pass  # The instance is suspended or restarting.
        finally:
            connection.close()
        self.replies.append(Reply(name, sent_at, time.monotonic(), status, retry_after))

    def count_served(self, name: str, since: float) -> int:
        return sum(
            r.status == 200 and r.name == name and r.sent_at > since for r in list(self.replies)
        )

    def check_limit(self, target: FleetTarget, named_at: float, *, only_told: bool = True) -> int:
        """Checks every window after the contact time; returns the calls that the target got."""
        limit = target.rate_limit
        assert limit is not None
        told_at = self.told_at[target.name]
        counted = sorted(
            arrived_at
            for request, arrived_at in list(self.arrivals[target.name].items())
            if not only_told
            or told_at.get(self.instances[request], float("inf")) + TOLD_S <= arrived_at
        )
        most = 0
        for position, arrived_at in enumerate(counted):
            if arrived_at >= named_at + CONTACT_S:
                window = [t for t in counted[: position + 1] if t > arrived_at - WINDOW_S]
                most = max(most, len(window))
        self.assertLessEqual(most, FACTOR * limit * WINDOW_S + RESERVE, target.name)
        return sum(t >= named_at + CONTACT_S for t in counted)


class LimitedTargetTest(LimitTest):
    def test_limited_engine_gets_the_calls_of_all_instances(self) -> None:
        self.check_one_of_many("lm", "/plan/a")

    def test_limited_plain_target_gets_the_calls_of_all_instances(self) -> None:
        self.check_one_of_many("desk", "/get/a")

    def check_one_of_many(self, service: str, path: str) -> None:
        """One target of four names a limit; the others could take its calls."""
        self.fleet.start()
        self.start_caller("call", 0.03, path)
        time.sleep(2.0)
        target = max(self.list_targets(service), key=lambda t: len(self.arrivals[t.name]))
        target.rate_limit = LIMIT_PER_S
        named_at = time.monotonic()
        time.sleep(TROUBLE_S)
        self.check_limit(target, named_at)
        since = named_at + CONTACT_S
        statuses = Counter(r.status for r in list(self.replies) if r.sent_at > since)
        self.assertGreaterEqual(statuses[200], 0.95 * statuses.total(), statuses)
        self.check_lifted(target)

    def check_lifted(self, target: FleetTarget) -> None:
        """Guards against targets that stay limited when they no longer name a limit."""
        target.rate_limit = None
        time.sleep(CONTACT_S + 2.0)
        lifted_at = time.monotonic()
        time.sleep(2.0)
        arrivals = list(self.arrivals[target.name].values())
        self.assertGreater(sum(t > lifted_at for t in arrivals), 2 * LIMIT_PER_S * 2.0)

    def test_limit_holds_while_instances_restart_and_freeze(self) -> None:
        """Guards against instances that use a target anew since they do not know its limit."""
        self.fleet.start()
        self.start_caller("call", 0.03, "/get/a")
        time.sleep(1.0)
        target = self.list_targets("desk")[0]
        target.rate_limit = LIMIT_PER_S
        named_at = time.monotonic()
        time.sleep(CONTACT_S)
        first, second = self.fleet.entries[0], self.fleet.entries[1]
        first.send_signal(signal.SIGSTOP)
        time.sleep(2.0)
        second.kill()
        second.start()
        first.send_signal(signal.SIGCONT)
        self.fleet.wait_ready(second)
        time.sleep(5.0)
        self.check_limit(target, named_at + CONTACT_S, only_told=False)


class LimitedServiceTest(LimitTest):
    """All targets of a service name limits, and callers want more than these allow."""

    def check_service(self, path: str, check: Callable[[float, float], None]) -> None:
        configuration = create_configuration(tenants=[{"name": CUSTOMER, "api_keys": ["x"]}])
        routes = [
            {**route, "priority": {"quick": 0, "plan": 4}.get(str(route["name"]), 1)}
            for route in configuration["routes"]
        ]
        self.fleet.configuration_changes = {"routes": routes}
        targets = self.list_targets("lm" if path != "/get/a" else "desk")
        self.fleet.start()
        for target in targets:
            target.rate_limit = LIMIT_PER_S
        named_at = time.monotonic()
        self.start_caller("call", 0.05, path)
        if path != "/get/a":
            self.start_caller("draft", 0.05, "/plan/a")
        time.sleep(TROUBLE_S + CONTACT_S)
        since, until = named_at + CONTACT_S, time.monotonic()
        arrived = sum(self.check_limit(target, named_at) for target in targets)
        allowed = LIMIT_PER_S * len(targets) * (until - since)
        self.assertGreaterEqual(arrived, MIN_USED_SHARE * allowed)
        check(since, until)

    def test_calls_beyond_all_limits_are_refused_at_once(self) -> None:
        """Guards against calls that wait for a target although none may take them in time."""

        def check(since: float, until: float) -> None:
            refused = [r for r in list(self.replies) if r.sent_at > since and r.status == 503]
            self.assertGreater(len(refused), 50)
            for reply in refused:
                self.assertLess(reply.ended_at - reply.sent_at, 0.5)
                self.assertGreater(float(reply.retry_after or 0), 0)

        self.check_service("/get/a", check)

    def test_urgent_calls_come_first(self) -> None:
        """Guards against less urgent calls that use up what the targets accept."""

        def check(since: float, until: float) -> None:
            urgent, less_urgent = (self.count_served(name, since) for name in ("call", "draft"))
            self.assertGreater(urgent, 4 * less_urgent)

        self.check_service("/quick/a", check)
