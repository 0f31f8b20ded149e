"""Limits, deadlines and slots are respected under load."""

import json
import socket
import tempfile
import threading
import time
from concurrent.futures import Future, ThreadPoolExecutor

from mulberryrill.internal.httpclient import HttpResponse
from mulberryrill.internal.schema.wire_pb2 import HEALTHY, UNREACHABLE
from tests.common.gateway import (
    LOCAL,
    MODEL,
    GatewayTestCase,
    parse_json_object,
    read_executed,
    wait_until,
)


class GatewayLoadTest(GatewayTestCase):
    def call_concurrently(self, count: int, **fields: object) -> list[Future[HttpResponse]]:
        pool = ThreadPoolExecutor(count)
        self.addCleanup(pool.shutdown)
        return [pool.submit(self.complete, f"prompt {n}", **fields) for n in range(count)]

    def test_calls_wait_for_slots_and_never_exceed_them(self) -> None:
        """Guards against more load than a cold target can handle (I4)."""
        self.start_engine(cold_concurrency=2, cold_ms=60_000, decode_ms_per_token=5)
        self.control.slots = 2
        self.start_gateway()
        responses = [future.result() for future in self.call_concurrently(12)]
        self.assertEqual([response.status for response in responses], [200] * 12)
        uses = [
            use for report in self.control.list_messages("gateway_report") for use in report.uses
        ]
        self.assertLessEqual(max(use.in_flight for use in uses), 2)
        self.assertGreater(max(use.demand for use in uses), 0)
        wait_until(
            lambda: sum(
                u.completions for r in self.control.list_messages("gateway_report") for u in r.uses
            )
            == 12,
            "all completions reported",
        )

    def shorten_deadline(self) -> None:
        view = self.control.snapshot.services[0]
        view.document = view.document.replace("deadline_ms: 10000", "deadline_ms: 300")

    def test_call_that_cannot_start_by_its_deadline_is_not_run(self) -> None:
        self.shorten_deadline()
        self.start_engine()
        self.control.slots = 0
        self.start_gateway()
        response = self.complete()
        self.assertEqual(read_executed(response), (503, "no"))
        self.assertEqual(response.headers["x-should-retry"], "true")
        # Another gateway may have run it before.
        before = {"X_Forwarded_Hops": "1", "X_Forwarded_Executed": "unknown"}
        body = {"model": MODEL, "prompt": "a"}
        waited = self.call("POST", "/v1/completions", body, **before)
        self.assertEqual(read_executed(waited), (503, "unknown"))
        refused = self.call("GET", "/v1/completions", **before)
        self.assertEqual(read_executed(refused), (405, "unknown"))

    def test_call_after_its_deadline_is_unknown(self) -> None:
        """Guards against "not run" for a call that a target has received (I7)."""
        self.shorten_deadline()
        self.start_engine(decode_ms_per_token=200)
        self.start_gateway()
        self.assertEqual(read_executed(self.complete()), (504, "unknown"))

    def test_caller_that_leaves_frees_its_slot(self) -> None:
        self.start_engine(decode_ms_per_token=100)
        self.control.slots = 1
        self.start_gateway()
        body = json.dumps({"model": "flavour-7b", "prompt": "x", "max_tokens": 10_000}).encode()
        with self.open_call("/v1/completions", body):
            wait_until(lambda: self.sum_uses("in_flight"), "call started")
        self.assertEqual(self.complete(max_tokens=1).status, 200)

    def test_refused_connection_gives_up_the_slots_at_once(self) -> None:
        """Guards against a burst of calls on a target that restarts (I4)."""
        self.start_engine("engine-1")
        standin = self.start_engine("engine-2")
        self.control.snapshot.targets[0].health = UNREACHABLE
        self.start_gateway()
        self.assertEqual(self.complete().status, 200)
        standin.close()
        self.control.renews_grants = False
        before = len(self.control.list_messages("gateway_report"))
        future = self.call_concurrently(1)[0]
        wait_until(
            lambda: any(
                use.failures
                for report in self.control.list_messages("gateway_report")[before:]
                for use in report.uses
            ),
            "failure reported",
        )
        # Enough time for all attempts, if the gateway used its old slots again.
        time.sleep(1.5)
        self.control.snapshot.targets[0].health = HEALTHY
        self.control.publish()
        self.assertEqual(future.result().status, 200)
        self.assertEqual(
            [a.target for a in self.wait_for_trace(1).attempts], ["engine-2", "engine-1"]
        )


class CustomerLimitTest(GatewayTestCase):
    concurrent = 2

    def test_calls_above_the_concurrent_limit_are_refused(self) -> None:
        """Guards against one customer that occupies all targets."""
        self.start_engine(decode_ms_per_token=100)
        self.start_gateway()
        threads = [threading.Thread(target=self.complete) for _ in range(2)]
        for thread in threads:
            thread.start()
        wait_until(lambda: self.sum_uses("in_flight") == 2, "both calls started")
        response = self.complete()
        self.assertEqual(read_executed(response), (429, "no"))
        self.assertEqual(parse_json_object(response)["error"]["type"], "rate_limit_error")
        self.assertIn("retry-after", response.headers)
        for thread in threads:
            thread.join()
        self.assertEqual(self.complete().status, 200)


class GatewayOperationTest(GatewayTestCase):
    def test_shutdown_fails_readiness_first_and_interrupts_no_call(self) -> None:
        """Guards against calls that a graceful shutdown interrupts (I10)."""
        self.start_engine(decode_ms_per_token=50)
        program = self.start_gateway(balancer_lag_ms=1500)
        with ThreadPoolExecutor(3) as pool:
            running = pool.submit(self.complete, stream=True, max_tokens=40)
            wait_until(lambda: self.sum_uses("in_flight"), "call started")
            closing = pool.submit(program.close)
            wait_until(lambda: self.get_admin("/readyz").status == 503, "not ready")
            # Longer than the listener would take to close without balancer_lag_ms.
            time.sleep(0.5)
            self.assertEqual(self.complete(max_tokens=1).status, 200)
            self.assertFalse(closing.done())
            self.assertIn(b"data: [DONE]", running.result().body)
            closing.result()
        with self.assertRaises(OSError):
            socket.create_connection((LOCAL, program.port))

    def test_admin_port_and_records(self) -> None:
        """Guards against requests that cannot be traced afterwards."""
        self.start_engine()
        directory = self.enterContext(tempfile.TemporaryDirectory())
        path = f"{directory}/history.jsonl"
        self.start_gateway(history_file=path)
        response = self.complete(stream=True)
        request_id = response.headers["x-request-id"]
        metrics = self.get_admin("/metrics").body.decode()
        self.assertIn('mulberryrill_token_events_total{service="flavour"} 8.0', metrics)
        self.assertIn(
            'mulberryrill_time_to_first_token_seconds_count{service="flavour"} 1', metrics
        )
        self.assertNotIn("secret-of-kariakoo", metrics)
        self.assertEqual(self.get_admin("/healthz").status, 200)
        trace = self.wait_for_trace()
        self.assertEqual((trace.request_id, trace.status, trace.executed), (request_id, 200, "yes"))
        self.assertEqual((trace.revision, trace.attempts[0].target), (1, "engine-1"))
        with open(path, encoding="utf-8") as file:
            events = [json.loads(line) for line in file]
        self.assertEqual([event["event"] for event in events], ["call", "dispatch", "answer"])
        self.assertEqual({event["request"] for event in events}, {request_id})
        self.assertEqual(events[1]["attempt"], events[2]["attempt"])
        self.assertTrue(all("monotonic" in event and "time" in event for event in events))
