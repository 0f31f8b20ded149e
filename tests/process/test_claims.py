"""Non-repeatable calls run at most once despite faults (I7, I8), checked from histories."""

import json
import time
import unittest
from collections.abc import Callable
from functools import partial

from mulberryrill.internal.history.checks import check_single_execution
from mulberryrill.internal.history.reading import read_history
from mulberryrill.internal.httpclient import HttpResponse
from mulberryrill.internal.standins.callers import create_idempotency_key
from tests.common.deployment import Deployment, create_site
from tests.common.links import LinkState
from tests.common.verification import check_histories

INSTANCES = ("kariakoo-1", "kariakoo-2", "msasani-1", "msasani-2")
# Below the limit of 24 concurrent requests per customer, of which each of 4 instances has 6.
KEYS_PER_BATCH = 4
RESULT_TIMEOUT_S = 20.0
RETRY_INTERVAL_S = 0.2
PAUSE_DURATION_S = 3.0


def read_body(response: HttpResponse) -> dict:
    body = response.parse_json()
    assert isinstance(body, dict)
    return body


def call_until_result(deployment: Deployment, instance: str, key: str, body: bytes) -> HttpResponse:
    """Repeats a call until it gets its result; returns the last response after a timeout."""
    deadline = time.monotonic() + RESULT_TIMEOUT_S
    while True:
        response = deployment.call(instance, "stock", "/pay", body, key=key)
        if response is not None and response.status == 200:
            return response
        if time.monotonic() > deadline:
            assert response is not None, f"no answer for {key}"
            return response
        time.sleep(RETRY_INTERVAL_S)


class MissingRuleTest(unittest.TestCase):
    """Shows that the check finds duplicate executions where nothing prevents them."""

    def test_call_without_the_rule_runs_for_each_repeat_and_is_found(self) -> None:
        deployment = Deployment(create_site(data_centres=1, documents=["stock.yaml"]))
        self.addCleanup(deployment.close)
        deployment.start()
        deployment.apply_documents()
        deployment.wait_serving()
        key = create_idempotency_key(int(time.time() * 1000))
        for _ in range(2):
            response = deployment.call("kariakoo-1", "stock", "/not-in-the-document", b"1", key=key)
            assert response is not None
            self.assertEqual(response.status, 200)
        history = read_history(deployment.list_history_files())
        self.assertEqual(len(check_single_execution(history)[1]), 1)


class PartitionTest(unittest.TestCase):
    """One instance can't reach the platform; other instances and its repeatable calls go on."""

    def test_cut_or_stalled_link_refuses_claims_as_not_run_and_others_run_them_once(self) -> None:
        link = ("kariakoo-1", "platform")
        deployment = Deployment(create_site(data_centres=2), links=[link])
        self.addCleanup(deployment.close)
        deployment.start()
        deployment.apply_documents()
        deployment.wait_serving()
        for state in (LinkState.CUT, LinkState.PAUSED):
            with self.subTest(state=state):
                deployment.set_link(*link, state)
                key = create_idempotency_key(int(time.time() * 1000))
                refused = deployment.call("kariakoo-1", "stock", "/pay", b"sugar", key=key)
                assert refused is not None
                self.assertEqual((refused.status, read_body(refused)["executed"]), (503, "no"))
                plain = deployment.call("kariakoo-1", "stock", "/lookup", b"sugar")
                assert plain is not None
                self.assertEqual(plain.status, 200)
                deployment.set_link(*link, LinkState.OPEN)
                paid = call_until_result(deployment, "msasani-1", key, b"sugar")
                self.assertEqual(paid.status, 200)
                replayed = call_until_result(deployment, "kariakoo-1", key, b"sugar")
                self.assertEqual(read_body(replayed)["receipt"], read_body(paid)["receipt"])
        check_histories(self, deployment, single_execution=2, not_run=2)


class ClaimsTest(unittest.TestCase):
    deployment: Deployment

    @classmethod
    def setUpClass(cls) -> None:
        cls.deployment = Deployment(create_site(data_centres=2, instances=2))
        cls.addClassCleanup(cls.deployment.close)
        cls.deployment.start()
        cls.deployment.apply_documents()
        cls.deployment.wait_serving()

    def pay(self, instance: str, key: str, timeout_s: float = 15.0) -> HttpResponse | None:
        body = json.dumps({"order": key}).encode()
        return self.deployment.call(instance, "stock", "/pay", body, key=key, timeout_s=timeout_s)

    def create_idempotency_keys(self, count: int) -> list[str]:
        return [create_idempotency_key(int(time.time() * 1000)) for _ in range(count)]

    def call_until_result(self, instance: str, key: str) -> HttpResponse:
        return call_until_result(
            self.deployment, instance, key, json.dumps({"order": key}).encode()
        )

    def test_duplicates_at_all_instances_run_once_and_get_one_outcome(self) -> None:
        keys = self.create_idempotency_keys(KEYS_PER_BATCH)
        calls = [partial(self.pay, instance, key) for key in keys for instance in INSTANCES]
        responses = self.deployment.run_parallel(calls, len(calls))
        for response in responses:
            self.assertIn(response.status, (200, 409))
            if response.status == 409:
                self.assertEqual(read_body(response)["executed"], "unknown")
        for key in keys:
            receipts = {
                read_body(self.call_until_result(name, key))["receipt"] for name in INSTANCES
            }
            self.assertEqual(len(receipts), 1, key)
        check_histories(self, self.deployment, single_execution=len(keys))

    def test_same_key_with_another_body_is_refused(self) -> None:
        (key,) = self.create_idempotency_keys(1)
        self.assertEqual(self.call_until_result("kariakoo-1", key).status, 200)
        other = self.deployment.call("msasani-1", "stock", "/pay", b"other", key=key)
        assert other is not None
        self.assertEqual(other.status, 422)

    def test_key_outside_the_window_is_refused_without_a_claim_about_earlier_runs(self) -> None:
        key = create_idempotency_key(int((time.time() - 7200) * 1000))
        response = self.pay("kariakoo-1", key)
        assert response is not None
        self.assertEqual((response.status, read_body(response)["executed"]), (400, "unknown"))
        check_histories(self, self.deployment)

    def test_killed_gateway_before_and_after_dispatch(self) -> None:
        deployment = self.deployment
        # A claim takes about 0.1 s, so the gateway is killed before and after the dispatch.
        for delay_s in (0.02, 0.1, 0.25):
            with self.subTest(delay_s=delay_s):
                keys = self.create_idempotency_keys(KEYS_PER_BATCH)
                calls: list[Callable[[], object]] = [
                    partial(self.pay, "kariakoo-2", key) for key in keys
                ]
                calls.append(partial(self.kill_later, "kariakoo-2", delay_s))
                deployment.run_parallel(calls)
                for key in keys:
                    # 409: the call may have run, and its outcome is lost.
                    response = self.pay("msasani-1", key)
                    assert response is not None
                    self.assertIn(response.status, (200, 409, 503))
                deployment.start_process("kariakoo-2-gateway")
                deployment.wait_ready(["kariakoo-2-gateway"])
        check_histories(self, deployment, single_execution=1)

    def kill_later(self, instance: str, delay_s: float) -> None:
        time.sleep(delay_s)
        self.deployment.kill(f"{instance}-gateway")

    def test_paused_gateway_before_and_after_dispatch(self) -> None:
        for delay_s in (0.02, 0.1):
            with self.subTest(delay_s=delay_s):
                keys = self.create_idempotency_keys(KEYS_PER_BATCH)
                calls: list[Callable[[], object]] = [
                    partial(self.pay, "msasani-2", key) for key in keys
                ]
                calls.append(partial(self.pause, "msasani-2", delay_s))
                calls += [partial(self.repeat_during_pause, key) for key in keys]
                self.deployment.run_parallel(calls)
                for key in keys:
                    self.expect_result_or_unknown(key)
        check_histories(self, self.deployment, single_execution=1)

    def pause(self, instance: str, delay_s: float) -> None:
        time.sleep(delay_s)
        self.deployment.pause(f"{instance}-gateway")
        time.sleep(PAUSE_DURATION_S)
        self.deployment.resume(f"{instance}-gateway")

    def repeat_during_pause(self, key: str) -> None:
        time.sleep(PAUSE_DURATION_S / 2)
        self.pay("kariakoo-1", key)

    def expect_result_or_unknown(self, key: str) -> None:
        response = self.call_until_result("kariakoo-1", key)
        self.assertIn(response.status, (200, 409))

    def test_log_down_refuses_claims_as_not_run_and_serves_the_rest(self) -> None:
        deployment = self.deployment
        deployment.set_faults("platform", log="down")
        keys = self.create_idempotency_keys(4)
        try:
            responses = deployment.run_parallel(
                [partial(self.pay, name, key) for name, key in zip(INSTANCES, keys, strict=True)]
            )
            for response in responses:
                self.assertEqual((response.status, read_body(response)["executed"]), (503, "no"))
            plain = deployment.call("kariakoo-1", "stock", "/lookup", b"during the outage")
            assert plain is not None
            self.assertEqual(plain.status, 200)
        finally:
            deployment.set_faults("platform", log="up")
        for key in keys:
            # A call refused as not run leaves its key unused, so the same call runs now.
            self.assertEqual(self.call_until_result("msasani-1", key).status, 200)
        check_histories(self, deployment, single_execution=4, not_run=4)

    def test_lost_append_answers_never_lead_to_two_runs(self) -> None:
        deployment = self.deployment
        keys = self.create_idempotency_keys(8)
        deployment.set_faults("platform", lose_answers=3)
        calls = [
            partial(self.pay, name, key)
            for number, key in enumerate(keys)
            for name in (INSTANCES[number % 4], INSTANCES[(number + 1) % 4])
        ]
        deployment.run_parallel(calls)
        deployment.set_faults("platform", lose_answers=0)
        for key in keys:
            self.assertEqual(self.call_until_result("kariakoo-1", key).status, 200)
        check_histories(self, deployment, single_execution=len(keys))
