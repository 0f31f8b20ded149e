"""One control process with the platform stand-in: documents, orders, claims, faults."""

import json
import random
import socket
import time
from concurrent.futures import ThreadPoolExecutor

from mulberryrill.internal.httpclient import HttpClient
from mulberryrill.internal.schema.log_pb2 import Outcome
from mulberryrill.internal.schema.settings_pb2 import Listen, PlatformSettings
from mulberryrill.internal.schema.wire_pb2 import (
    ClaimReply,
    ClaimRequest,
    ClaimStatus,
    OutcomeReport,
    RequestTrace,
)
from mulberryrill.internal.transport import open_client
from tests.common.control import (
    ControlTestCase,
    build_document_text,
    create_idempotency_key,
    wait_for,
)


class ControlAloneTest(ControlTestCase):
    def setUp(self) -> None:
        super().setUp()
        self.settings = self.create_settings()
        self.program = self.start_control(self.settings)
        self.wait_ready(self.program)
        self.gateway = self.connect_gateway(self.program, self.settings)

    def test_accepted_document_reaches_the_gateway_and_is_in_force(self) -> None:
        """Guards against an accepted change that never reaches the gateways."""
        revision = self.create_document(self.program)
        path = f"/v1/in-force?service=flavour-questions&revision={revision}"
        self.assertEqual(self.get_json(self.program, path)["behind"], ["k-1"])

        def has_document() -> bool:
            services = [s for snapshot in self.gateway.snapshots for s in snapshot.services]
            return any(service.revision == revision for service in services)

        self.gateway.wait_for(has_document, "the document in a snapshot")
        self.gateway.wait_for(
            lambda: self.get_json(self.program, path)["in_force"], "the revision in force"
        )
        shown = self.get_json(self.program, "/v1/documents/flavour-questions")
        self.assertEqual((shown["revision"], shown["author"]), (revision, "asha"))
        self.assertEqual(shown["document"], build_document_text())

    def test_change_on_an_old_base_is_refused_with_the_current_one(self) -> None:
        """Guards against an operator unknowingly overwriting another operator's change."""
        revision = self.create_document(self.program)
        response = self.put_document(self.program, 0, deadline_ms=1000)
        problem = json.loads(response.body)
        self.assertEqual(response.status, 409)
        self.assertEqual(
            (problem["current_revision"], problem["current_author"], problem["executed"]),
            (revision, "asha", "no"),
        )
        self.assertEqual(self.put_document(self.program, revision, 900, "baraka").status, 409)
        entries = self.get_json(self.program, "/v1/documents/flavour-questions/history")["history"]
        self.assertEqual([entry["accepted"] for entry in entries], [True, False, False])

    def test_invalid_calls_are_refused_with_the_remedy(self) -> None:
        path = "/v1/documents/flavour-questions?base_revision=0"
        bad = b"service: flavour-questions\nkind: model\npool: NO\n"
        response = self.call(self.program, "PUT", path, bad)
        self.assertEqual(response.status, 422)
        self.assertGreater(len(json.loads(response.body)["problems"]), 1)
        for method, address, body, operator, status in (
            ("GET", "/v1/status", b"", "stranger", 401),
            (
                "PUT",
                "/v1/documents/other?base_revision=0",
                build_document_text().encode(),
                "asha",
                422,
            ),
            ("PUT", "/v1/documents/flavour-questions", b"", "asha", 400),
            ("PUT", path, b"\xff", "asha", 422),
            ("GET", "/v1/documents/none", b"", "asha", 404),
            ("GET", "/v1/requests/none", b"", "asha", 404),
            ("GET", "/v1/in-force?service=a&revision=x", b"", "asha", 400),
            ("POST", "/v1/datacentres/nowhere/orders", b'{"state": "drained"}', "asha", 404),
            ("POST", "/v1/datacentres/k/orders", b"[]", "asha", 400),
            ("DELETE", "/v1/status", b"", "asha", 405),
            ("GET", "/nothing", b"", "asha", 404),
        ):
            with self.subTest(address=address, body=body):
                response = self.call(self.program, method, address, body, operator)
                self.assertEqual(response.status, status, response.body)

    def test_change_whose_append_lost_its_answer_is_read_back(self) -> None:
        """Guards against telling an operator that a change failed when it is in force."""
        self.set_faults(lose_answers=1)
        self.create_document(self.program)

    def test_repeated_change_gets_its_first_answer(self) -> None:
        """Guards against rejecting a repeated change because its first attempt changed the base."""
        headers = {"X-Change-Id": "change-1"}
        first = self.put_document(self.program, 0, headers=headers)
        again = self.put_document(self.program, 0, headers=headers)
        self.assertEqual((first.status, again.status), (200, 200))
        self.assertEqual(first.body, again.body)

    def test_many_changes_in_an_outage_do_not_block_orders(self) -> None:
        """Guards against changes that wait for the log and block drain orders."""
        self.set_faults(log="down")
        with ThreadPoolExecutor(20) as pool:
            changes = [pool.submit(self.put_document, self.program, 0) for _ in range(20)]
            wait_for(lambda: sum(change.done() for change in changes) >= 12, "refused changes")
            body = b'{"state": "drained"}'
            response = self.call(self.program, "POST", "/v1/datacentres/k/orders", body)
            self.assertEqual(response.status, 202)
            self.assertLess(sum(change.done() for change in changes), 20)
            statuses = sorted(change.result().status for change in changes)
        self.assertEqual(statuses, [503] * 12 + [504] * 8)

    def test_orders_work_while_the_log_is_down_and_reach_it_later(self) -> None:
        self.set_faults(log="down")
        body = b'{"state": "drained", "reason": "power"}'
        response = self.call(self.program, "POST", "/v1/datacentres/k/orders", body)
        self.assertEqual(response.status, 202, response.body)
        self.gateway.wait_for(
            lambda: any(s.orders for s in self.gateway.snapshots), "the order in a snapshot"
        )
        self.set_faults(log="up")
        newcomer = self.start_control(self.create_settings("k-2"))
        wait_for(
            lambda: self.get_json(newcomer, "/v1/status")["orders"] != [], "the order from the log"
        )

    def test_claim_is_granted_once_and_replayed(self) -> None:
        """Guards against executing a call twice that may be executed only once."""
        key = create_idempotency_key()
        self.assertEqual(self.claim("c-1", key).status, ClaimStatus.GRANTED)
        self.assertEqual(self.claim("c-2", key).status, ClaimStatus.IN_PROGRESS)
        self.assertEqual(self.claim("c-3", key, b"other").status, ClaimStatus.MISMATCH)
        outcome = Outcome(
            claim_id="c-1", customer="kariakoo", service="pay", key=key, status=201, body=b"done"
        )
        self.gateway.send(outcome_report=OutcomeReport(outcome=outcome))
        replies: list[ClaimReply] = []

        def is_replayed() -> bool:
            replies.append(self.claim(f"c-r{len(replies)}", key))
            return replies[-1].status == ClaimStatus.REPLAY

        self.gateway.wait_for(is_replayed, "the outcome")
        self.assertEqual(replies[-1].outcome.body, b"done")

    def test_claim_in_doubt_is_unavailable_then_free_again(self) -> None:
        """Guards against dispatching a claim whose append is in doubt."""
        key = create_idempotency_key()
        self.set_faults(lose_answers=1)
        self.assertEqual(self.claim("c-1", key).status, ClaimStatus.UNAVAILABLE)
        counter = iter(range(100))

        def is_granted() -> bool:
            return self.claim(f"d-{next(counter)}", key).status == ClaimStatus.GRANTED

        self.gateway.wait_for(is_granted, "a grant after the void")

    def test_garbage_never_ends_the_process(self) -> None:
        """Guards against one invalid frame, record or connection stopping an instance."""
        source = random.Random(7)
        endpoint = self.program.link.gateway_endpoint
        raw = open_client(
            self.context, endpoint, self.settings.keys.public_key, self.settings.keys, "bad"
        )
        for size in range(200):
            raw.send(source.randbytes(size))
        raw.send_multipart([b"a", b"b", b"c"])
        host, port = endpoint.removeprefix("tcp://").split(":")
        with socket.create_connection((host, int(port))) as connection:
            connection.sendall(source.randbytes(500))
        client = HttpClient()
        self.addCleanup(client.close)
        for stream in ("configuration", "claims"):
            for size in (0, 1, 100):
                url = f"{self.platform_url}/v1/streams/{stream}/records"
                client.send("POST", url, source.randbytes(size))
        # A well-formed message with values that no handler expects.
        self.gateway.send(claim_request=ClaimRequest())
        self.gateway.send(outcome_report=OutcomeReport())
        self.create_document(self.program)
        self.assertEqual(self.claim("c-1", create_idempotency_key()).status, ClaimStatus.GRANTED)

    def test_request_traces_are_shown(self) -> None:
        trace = RequestTrace(request_id="req-1", service="pay", status=200, received_unix_ms=5)
        self.gateway.send(request_trace=trace)
        path = "/v1/requests/req-1"
        wait_for(lambda: self.call(self.program, "GET", path).status == 200, "the trace")
        shown = self.get_json(self.program, path)
        self.assertEqual((shown["status"], shown["received_unix_ms"]), (200, 5))

    def claim(self, claim_id: str, key: str, digest: bytes = b"digest") -> ClaimReply:
        self.gateway.request_claim(claim_id, key, digest)
        return self.gateway.wait_for_claim_reply(claim_id)


class ControlRetentionTest(ControlTestCase):
    """Tests with a log that retains records for 4 s."""

    platform_settings = PlatformSettings(listen=Listen(host="127.0.0.1"), retention_ms=4000)

    def test_documents_and_orders_outlive_the_retention_of_the_log(self) -> None:
        """Guards against losing the configuration when its last record expires from the log."""
        settings = self.create_settings()
        settings.retention_ms, settings.key_window_ms = 4000, 3000
        first = self.start_control(settings)
        revision = self.create_document(first)
        self.call(first, "POST", "/v1/datacentres/k/orders", b'{"state": "drained"}')
        time.sleep(6)
        first.close()
        settings.instance = "k-2"
        second = self.start_control(settings)
        self.wait_ready(second)
        status = self.get_json(second, "/v1/status")
        self.assertEqual([service["revision"] for service in status["services"]], [revision])
        self.assertEqual([order["state"] for order in status["orders"]], ["drained"])
        response = self.put_document(second, revision, deadline_ms=900)
        self.assertEqual(response.status, 200, response.body)
