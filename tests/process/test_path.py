"""Requests, configuration changes and a killed control process, with real processes."""

import json
import unittest

import yaml

from mulberryrill.internal.standins.callers import create_idempotency_key
from mulberryrill.internal.standins.pseudotext import digest_text, generate_tokens
from mulberryrill.internal.standins.site import hash_token
from tests.common.deployment import Deployment, create_site, wait_until
from tests.common.verification import check_histories

INSTANCES = ("kariakoo-1", "msasani-1")


def expect_text(prompt: str, count: int) -> str:
    return "".join(generate_tokens("flavour-7b", "3", digest_text(prompt), count))


class PathTest(unittest.TestCase):
    """Guards against components that work alone but not together."""

    deployment: Deployment
    revisions: dict[str, int]

    @classmethod
    def setUpClass(cls) -> None:
        cls.deployment = Deployment(create_site(data_centres=2, instances=1))
        cls.addClassCleanup(cls.deployment.close)
        cls.deployment.start()
        cls.revisions = cls.deployment.apply_documents()
        cls.deployment.wait_serving()

    def test_streams_and_completions_are_complete_at_every_instance(self) -> None:
        for instance in INSTANCES:
            for stream in (True, False):
                with self.subTest(instance=instance, stream=stream):
                    prompt = f"is {instance} open, {stream}?"
                    text = self.deployment.complete(instance, prompt, 20, stream)
                    self.assertEqual(text, expect_text(prompt, 20))
        check_histories(self, self.deployment, answers=4, owners=4)

    def test_plain_call_reaches_a_target_once(self) -> None:
        response = self.deployment.call("kariakoo-1", "stock", "/lookup", b"vanilla")
        assert response is not None
        body = response.parse_json()
        assert isinstance(body, dict)
        self.assertEqual((response.status, body["path"]), (200, "/lookup"))
        self.assertTrue(response.headers["x-request-id"])

    def test_unknown_token_is_refused(self) -> None:
        url = f"{self.deployment.find_instance('kariakoo-1').gateway_url}/v1/completions"
        body = json.dumps({"model": "flavour-7b", "prompt": "x"}).encode()
        headers = {"Authorization": "Bearer wrong"}
        self.assertEqual(self.deployment.send("POST", url, body, headers).status, 401)

    def test_changed_document_is_in_force_everywhere_and_an_old_base_is_refused(self) -> None:
        deployment = self.deployment
        path = next(path for path in deployment.plan.documents if path.endswith("stock.yaml"))
        with open(path, encoding="utf-8") as file:
            document = yaml.safe_load(file)
        token = "token of a new customer"
        added = {
            **document["customers"][0],
            "name": "new-stand",
            "token_sha256": [hash_token(token)],
        }
        document["customers"].append(added)
        deployment.plan.customer_tokens["stock"]["new-stand"] = token
        self.assertEqual([self.look_up_as_new(name) for name in INSTANCES], [401, 401])
        text = yaml.safe_dump(document, sort_keys=False).encode()
        base = self.revisions["stock"]
        revision = deployment.apply_document("msasani-1", "stock", text, base)
        self.assertGreater(revision, base)
        deployment.wait_in_force("msasani-1", "stock", revision)
        self.assertEqual([self.look_up_as_new(name) for name in INSTANCES], [200, 200])
        stale = deployment.call_operator_api(
            "kariakoo-1",
            "PUT",
            f"/v1/documents/stock?base_revision={base}&reason=stale",
            text,
            operator="juma",
        )
        self.assertEqual(stale.status, 409)
        check_histories(self, deployment, configuration=4)

    def look_up_as_new(self, instance: str) -> int:
        response = self.deployment.call(instance, "stock", "/lookup", b"", "new-stand")
        assert response is not None
        return response.status

    def test_gateway_goes_on_while_its_control_process_is_dead(self) -> None:
        deployment = self.deployment
        deployment.kill("kariakoo-1-control")
        try:
            prompt = "still there?"
            self.assertEqual(deployment.complete("kariakoo-1", prompt, 10), expect_text(prompt, 10))
            key = create_idempotency_key(1)
            paid = deployment.call("kariakoo-1", "stock", "/pay", b"not now", key=key)
            assert paid is not None
            body = paid.parse_json()
            assert isinstance(body, dict)
            self.assertEqual((paid.status, body["executed"]), (503, "no"))
        finally:
            deployment.start_process("kariakoo-1-control")
            deployment.wait_ready(["kariakoo-1-control"])
        wait_until(
            lambda: deployment.complete("kariakoo-1", "back?", 5) == expect_text("back?", 5),
            20,
            "service after the control process is back",
        )
