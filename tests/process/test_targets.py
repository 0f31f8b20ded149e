"""Targets that leave, restart or are drained under traffic (I4, I5, I9), checked from histories."""

import json
import threading
import time
import unittest
from collections.abc import Callable

from tests.common.deployment import Deployment, create_site
from tests.common.links import LinkState
from tests.common.verification import check_histories

INSTANCES = ("kariakoo-1", "msasani-1")
CALLERS = 4
# Keeps the callers below their customer's request limit.
CALL_INTERVAL_S = 0.2
# The history checks allow dispatches for this long after an order or an announcement.
DISPATCH_GRACE_S = 5.0


class Traffic:
    """Callers that send completions until stopped; ``results`` has the text of each, or None."""

    def __init__(self, complete: Callable[[int, int], str | None]) -> None:
        self.results: list[str | None] = []
        self._complete = complete
        self._stop = threading.Event()
        self._threads = [threading.Thread(target=self._run, args=(n,)) for n in range(CALLERS)]

    def start(self) -> None:
        """Starts all callers."""
        for thread in self._threads:
            thread.start()

    def close(self) -> None:
        """Ends all callers after their running calls."""
        self._stop.set()
        for thread in self._threads:
            thread.join()

    def _run(self, caller: int) -> None:
        number = 0
        while not self._stop.is_set():
            self.results.append(self._complete(caller, number))
            number += 1
            self._stop.wait(CALL_INTERVAL_S)


class TargetsTest(unittest.TestCase):
    """Guards against requests sent to targets that must not get new work."""

    def start_deployment(self, engines: int, links: list[tuple[str, str]]) -> Deployment:
        deployment = Deployment(create_site(data_centres=2, engines=engines), links=links)
        self.addCleanup(deployment.close)
        deployment.start()
        deployment.apply_documents()
        deployment.wait_serving()
        return deployment

    def start_traffic(self, deployment: Deployment, instances: tuple[str, ...]) -> Traffic:
        def complete(caller: int, number: int) -> str | None:
            instance = instances[caller % len(instances)]
            return deployment.complete(instance, f"caller {caller} question {number}", 10)

        traffic = Traffic(complete)
        self.addCleanup(traffic.close)
        traffic.start()
        return traffic

    def test_target_that_leaves_loses_no_call_and_gets_no_new_one(self) -> None:
        deployment = self.start_deployment(engines=2, links=[])
        traffic = self.start_traffic(deployment, INSTANCES)
        time.sleep(2)
        self.assertEqual(deployment.terminate("kariakoo-engine-2"), 0)
        time.sleep(2)
        traffic.close()
        self.assertGreater(len(traffic.results), 2 * CALLERS)
        self.assertEqual(traffic.results.count(None), 0)
        check_histories(self, deployment, leaving=1, answers=len(traffic.results))

    def test_target_that_restarts_cold_is_not_overloaded(self) -> None:
        deployment = self.start_deployment(engines=1, links=[])
        traffic = self.start_traffic(deployment, INSTANCES)
        for _ in range(3):
            time.sleep(1.5)
            deployment.set_faults("kariakoo-engine-1", restart=True)
        time.sleep(3)
        traffic.close()
        self.assertGreater(len([r for r in traffic.results if r is not None]), 2 * CALLERS)
        check_histories(self, deployment, overload=len(traffic.results) // 2)

    def test_drain_takes_effect_while_the_platform_is_cut_off(self) -> None:
        links = [(instance, "platform") for instance in INSTANCES]
        deployment = self.start_deployment(engines=1, links=links)
        for link in links:
            deployment.set_link(*link, LinkState.CUT)
        traffic = self.start_traffic(deployment, INSTANCES)
        order = json.dumps({"state": "DRAINED", "reason": "maintenance"}).encode()
        # The instance of the other data centre accepts the order and sends it to its peers.
        path = "/v1/datacentres/kariakoo/orders"
        response = deployment.call_operator_api("msasani-1", "POST", path, order)
        self.assertEqual(response.status // 100, 2)
        time.sleep(DISPATCH_GRACE_S)
        before = len(traffic.results)
        time.sleep(2)
        traffic.close()
        self.assertGreater(len(traffic.results), before)
        self.assertEqual(traffic.results.count(None), 0)
        check_histories(self, deployment, drained=before, answers=len(traffic.results))
