"""Calls run in another data centre while their own is drained or has no target (I5)."""

import socket
from concurrent.futures import ThreadPoolExecutor
from functools import partial

from mulberryrill.internal.httpclient import HttpResponse
from mulberryrill.internal.schema.log_pb2 import DRAINED, DataCentreOrder
from mulberryrill.internal.schema.wire_pb2 import ClaimRequest
from tests.common.gateway import LOCAL, GatewayTestCase, read_stream, wait_until
from tests.process.test_gateway_calls import expect_text
from tests.process.test_gateway_claims import PAY, create_key, read_executed


class GatewayForwardingTest(GatewayTestCase):
    """Guards against lost calls, loops and double runs when calls leave their data centre."""

    deadline_ms = 5000

    def setUp(self) -> None:
        super().setUp()
        self.other = self.create_control()

    def start_both(self, *drained: str) -> None:
        """Starts a gateway here and one in msasani, which has the targets."""
        for name in drained:
            order = DataCentreOrder(data_centre=name, epoch=1, state=DRAINED)
            self.control.update.orders.append(order)
            self.other.update.orders.append(order)
        self.move_targets()
        far = self.start_silent_gateway(
            self.other, instance="msasani-1", data_centre="msasani", name="gateway-0"
        )
        self.other.publish()
        wait_until(lambda: self.other.list("snapshot_ack"), "other gateway ready")
        self.add_entry("msasani-1", "msasani", f"http://{LOCAL}:{far.port}")
        self.start_gateway()

    def move_targets(self) -> None:
        """Gives the targets to the other data centre."""
        for member in self.control.update.members:
            member.data_centre = "msasani"
        self.other.update.members.extend(self.control.update.members)
        self.other.update.targets.extend(self.control.update.targets)

    def pay(self) -> HttpResponse:
        return self.call("POST", PAY, {"batch": 1}, Idempotency_Key=create_key())

    def test_stream_passes_through_both_gateways(self) -> None:
        self.start_engine()
        self.start_both("kariakoo")
        answer = self.complete(stream=True)
        self.assertEqual(read_stream(answer)[:2], (expect_text("hello"), True))
        for control in (self.control, self.other):
            wait_until(partial(control.list, "request_trace"), "trace sent")
            trace = control.list("request_trace")[0]
            self.assertEqual(trace.request_id, answer.headers["x-request-id"])
        self.assertIn("msasani", self.control.list("request_trace")[0].attempts[0].reason)

    def test_call_without_target_here_is_forwarded(self) -> None:
        self.start_engine()
        self.start_both()
        self.assertEqual(self.complete().status, 200)

    def test_forwarded_call_is_not_forwarded_again(self) -> None:
        self.start_engine()
        self.add_entry("kariakoo-2", "kariakoo", f"http://{LOCAL}:1")
        self.start_both("msasani")
        self.control.update.ClearField("orders")
        self.control.publish()
        wait_until(lambda: len(self.control.list("snapshot_ack")) == 2, "return acknowledged")
        self.assertEqual(read_executed(self.complete()), (503, "no"))

    def test_drained_everywhere_is_not_run(self) -> None:
        self.start_engine()
        self.start_both("kariakoo", "msasani")
        self.assertEqual(read_executed(self.complete()), (503, "no"))

    def test_unreachable_gateway_is_not_run(self) -> None:
        with socket.create_server((LOCAL, 0)) as closed:
            port = closed.getsockname()[1]
        self.add_entry("msasani-1", "msasani", f"http://{LOCAL}:{port}")
        self.control.update.orders.append(
            DataCentreOrder(data_centre="kariakoo", epoch=1, state=DRAINED)
        )
        self.start_gateway()
        self.assertEqual(read_executed(self.complete()), (503, "no"))

    def test_only_the_gateway_that_runs_a_call_claims_it(self) -> None:
        service = self.start_service()
        self.start_both("kariakoo")
        self.assertEqual(self.pay().status, 200)
        self.assertEqual(self.control.list("claim_request"), [])
        claims: list[ClaimRequest] = self.other.list("claim_request")
        self.assertEqual(len(claims), 1)
        self.set_faults(service, lose_answers=1)
        self.assertEqual(read_executed(self.pay()), (502, "unknown"))

    def test_waiting_calls_leave_with_the_drain(self) -> None:
        """Guards against calls that wait for a drained data centre until their deadline."""
        self.start_engine()
        self.start_both()
        near = self.start_engine("engine-2")
        self.control.slots = 0
        self.control.publish()
        wait_until(lambda: len(self.control.list("snapshot_ack")) == 2, "target seen")
        with ThreadPoolExecutor(1) as pool:
            future = pool.submit(self.complete)
            wait_until(
                lambda: any(
                    use.demand for r in self.control.list("gateway_report")[-1:] for use in r.uses
                ),
                "call waits",
            )
            self.control.update.orders.append(
                DataCentreOrder(data_centre="kariakoo", epoch=1, state=DRAINED)
            )
            self.control.publish()
            self.assertEqual(future.result().status, 200)
        wait_until(lambda: self.control.list("request_trace"), "trace sent")
        self.assertEqual(self.control.list("request_trace")[-1].attempts[0].target, "msasani-1")
        near.close()
