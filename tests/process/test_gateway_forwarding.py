"""Calls run in another data centre while their own is drained or has no target (I5)."""

import time
from concurrent.futures import ThreadPoolExecutor

from mulberryrill.internal.httpclient import HttpResponse
from mulberryrill.internal.schema.wire_pb2 import ClaimRequest, Member, entry
from tests.common.control import create_idempotency_key
from tests.common.gateway import (
    LOCAL,
    ControlDouble,
    GatewayTestCase,
    read_executed,
    read_stream,
    wait_until,
)
from tests.common.links import Link, LinkState
from tests.common.ports import find_port
from tests.process.test_gateway_calls import expect_text
from tests.process.test_gateway_claims import PAY


class GatewayForwardingTest(GatewayTestCase):
    """Guards against lost calls, forwarding loops and double runs of forwarded calls."""

    deadline_ms = 5000

    def setUp(self) -> None:
        super().setUp()
        self.other = self.create_control()

    def start_both(self, *drained: str) -> None:
        """Starts a gateway here and one in msasani, which has the targets."""
        for name in drained:
            self.add_drain_order(self.control, self.other, data_centre=name)
        self.move_targets()
        remote_gateway = self.start_gateway_without_snapshot(
            self.other, instance="msasani-1", data_centre="msasani", name="gateway-0"
        )
        self.other.publish()
        wait_until(lambda: self.other.list_messages("snapshot_ack"), "other gateway ready")
        self.add_remote_gateway("msasani-1", "msasani", f"http://{LOCAL}:{remote_gateway.port}")
        self.start_gateway()

    def move_targets(self) -> None:
        """Gives the targets to the other data centre."""
        for member in self.control.snapshot.members:
            member.data_centre = "msasani"
        self.other.snapshot.members.extend(self.control.snapshot.members)
        self.other.snapshot.targets.extend(self.control.snapshot.targets)

    def wait_for_acks(self, control: ControlDouble, count: int) -> None:
        wait_until(lambda: len(control.list_messages("snapshot_ack")) == count, "acknowledged")

    def pay(self) -> HttpResponse:
        return self.call("POST", PAY, {"batch": 1}, Idempotency_Key=create_idempotency_key())

    def test_stream_passes_through_both_gateways(self) -> None:
        self.start_engine()
        self.start_both("kariakoo")
        response = self.complete(stream=True)
        self.assertEqual(read_stream(response)[:2], (expect_text("hello"), True))
        for control in (self.control, self.other):
            trace = self.wait_for_trace(control=control)
            self.assertEqual(trace.request_id, response.headers["x-request-id"])
        self.assertIn("msasani", self.wait_for_trace().attempts[0].reason)

    def test_stream_that_breaks_in_a_drained_data_centre_continues_in_another(self) -> None:
        """Guards against lost streams and against new work in a drained data centre."""
        self.start_engine()
        self.start_both()
        local_engine = self.start_engine("engine-2", decode_ms_per_token=100)
        self.control.publish()
        self.wait_for_acks(self.control, 2)
        with ThreadPoolExecutor(1) as pool:
            future = pool.submit(self.complete, stream=True)
            wait_until(self.has_output, "first token")
            self.add_drain_order(self.control)
            self.control.publish()
            self.wait_for_acks(self.control, 3)
            self.set_faults(local_engine, restart=1)
            text, done, _ = read_stream(future.result())
        self.assertEqual((text, done), (expect_text("hello"), True))
        targets = [attempt.target for attempt in self.wait_for_trace().attempts]
        self.assertEqual(targets, ["engine-2", "msasani-1"])

    def has_output(self) -> bool:
        return b"time_to_first_token_seconds_count" in self.get_admin("/metrics").body

    def test_stream_outlives_the_connection_between_gateways(self) -> None:
        self.start_engine(decode_ms_per_token=100)
        self.start_both("kariakoo")
        member = self.control.snapshot.members[-1]
        link = Link(LOCAL, int(member.address.rsplit(":", 1)[1]))
        self.addCleanup(link.close)
        member.address = f"http://{LOCAL}:{link.port}"
        self.control.publish()
        self.wait_for_acks(self.control, 2)
        with ThreadPoolExecutor(1) as pool:
            future = pool.submit(self.complete, stream=True)
            wait_until(self.has_output, "first token")
            link.set_state(LinkState.CUT)
            link.set_state(LinkState.OPEN)
            text, done, _ = read_stream(future.result())
        self.assertEqual((text, done), (expect_text("hello"), True))
        self.assertEqual(len(self.wait_for_trace().attempts), 2)

    def test_call_without_target_here_is_forwarded(self) -> None:
        self.start_engine()
        self.start_both()
        self.assertEqual(self.complete().status, 200)

    def test_forwarded_call_is_not_forwarded_again(self) -> None:
        self.start_engine()
        self.start_both("msasani")
        self.control.snapshot.ClearField("orders")
        self.control.publish()
        self.other.snapshot.members.append(
            Member(id="kariakoo-1", kind=entry, data_centre="kariakoo", address=self.url)
        )
        self.other.publish()
        for control in (self.control, self.other):
            self.wait_for_acks(control, 2)
        self.assertEqual(read_executed(self.complete()), (503, "no"))
        self.assertEqual(self.wait_for_trace(control=self.other).attempts[:], [])

    def test_drained_everywhere_is_not_run(self) -> None:
        self.start_engine()
        self.start_both("kariakoo", "msasani")
        self.assertEqual(read_executed(self.complete()), (503, "no"))

    def test_unreachable_gateway_is_not_run(self) -> None:
        port = find_port()
        self.add_remote_gateway("msasani-1", "msasani", f"http://{LOCAL}:{port}")
        self.add_drain_order(self.control)
        self.start_gateway()
        self.assertEqual(read_executed(self.complete()), (503, "no"))

    def test_only_the_gateway_that_runs_a_call_claims_it(self) -> None:
        service = self.start_service()
        self.start_both("kariakoo")
        self.assertEqual(self.pay().status, 200)
        self.assertEqual(self.control.list_messages("claim_request"), [])
        claims: list[ClaimRequest] = self.other.list_messages("claim_request")
        self.assertEqual(len(claims), 1)
        self.set_faults(service, lose_answers=1)
        self.assertEqual(read_executed(self.pay()), (502, "unknown"))

    def test_call_that_may_have_run_here_is_not_reported_as_not_run_elsewhere(self) -> None:
        """Guards against a "not run" from the second gateway for a call that the first one sent."""
        self.start_engine()
        self.start_both()
        local_engine = self.start_engine("engine-2", decode_ms_per_token=500)
        self.control.publish()
        self.wait_for_acks(self.control, 2)
        with ThreadPoolExecutor(1) as pool:
            future = pool.submit(self.complete)
            wait_until(lambda: self.sum_uses("in_flight"), "call runs")
            self.add_drain_order(self.control)
            self.add_drain_order(self.other, data_centre="msasani")
            for control, acks in ((self.control, 3), (self.other, 2)):
                control.publish()
                self.wait_for_acks(control, acks)
            self.set_faults(local_engine, restart=1)
            self.assertEqual(read_executed(future.result()), (503, "unknown"))
        self.assertEqual(self.wait_for_trace(control=self.other).executed, "unknown")

    def test_only_repeatable_calls_leave_while_the_control_process_is_silent(self) -> None:
        """Guards against a call claimed by two instances, and against one left waiting."""
        self.start_engine()
        self.start_both()
        self.start_engine("engine-2")
        self.start_service()
        self.control.publish()
        self.wait_for_acks(self.control, 2)
        self.control.renews_grants = False
        # Longer than the gateway's CONTROL_SILENCE_TIMEOUT_S.
        time.sleep(3.0)
        self.assertEqual(self.complete().status, 200)
        self.assertEqual(self.wait_for_trace().attempts[0].target, "msasani-1")
        self.assertEqual(self.pay().status, 200)
        self.assertEqual(self.wait_for_trace(1).attempts[0].target, "vendor-1")

    def test_waiting_calls_leave_with_the_drain(self) -> None:
        """Guards against queued calls that stay in a drained data centre until their deadline."""
        self.start_engine()
        self.start_both()
        local_engine = self.start_engine("engine-2")
        self.control.slots = 0
        self.control.publish()
        self.wait_for_acks(self.control, 2)
        with ThreadPoolExecutor(1) as pool:
            future = pool.submit(self.complete)
            wait_until(lambda: self.sum_uses("demand"), "call waits")
            self.add_drain_order(self.control)
            self.control.publish()
            self.assertEqual(future.result().status, 200)
        self.assertEqual(self.wait_for_trace().attempts[0].target, "msasani-1")
        local_engine.close()
