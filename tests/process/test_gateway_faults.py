"""Responses stay complete and correct while targets fail."""

import json
import socket
import time
from collections.abc import Callable
from unittest import mock

from werkzeug.wrappers import Request, Response

from mulberryrill.internal.gateway.caller import CallerConnection
from mulberryrill.internal.http.server import HttpServer
from mulberryrill.internal.schema.settings_pb2 import Listen
from mulberryrill.internal.schema.wire_pb2 import UNREACHABLE
from tests.common.gateway import LOCAL, GatewayTestCase, read_executed, read_stream, wait_until
from tests.common.ports import find_port
from tests.process.test_gateway_calls import expect_text


class GatewayFaultTest(GatewayTestCase):
    """Guards against lost, swapped and truncated responses (I6) and false "not run" (I7)."""

    def test_cut_stream_is_resumed_from_the_last_token(self) -> None:
        first, second = self.start_engine("engine-1"), self.start_engine("engine-2")
        for standin in (first, second):
            self.set_faults(standin, cut_after_tokens=3)
        self.start_gateway()
        text, done, _ = read_stream(self.complete(stream=True))
        self.assertEqual((text, done), (expect_text("hello"), True))
        self.assertEqual(self.list_attempt_results()[-1], "complete")
        self.assertIn("broken", self.list_attempt_results())

    def test_stalled_stream_is_resumed_on_a_new_connection(self) -> None:
        self.set_faults(self.start_engine(), stall_after_tokens=4)
        self.start_gateway()
        text, done, _ = read_stream(self.complete(stream=True))
        self.assertEqual((text, done), (expect_text("hello"), True))
        self.assertEqual(self.list_attempt_results(), ["stalled", "complete"])

    def test_answer_of_another_attempt_is_dropped(self) -> None:
        standin = self.start_engine()
        self.start_gateway()
        for index, stream in enumerate((False, True)):
            self.set_faults(standin, wrong_attempt=1)
            with self.subTest(stream=stream):
                response = self.complete(stream=stream)
                self.assertEqual(response.status, 200)
                self.assertEqual(self.list_attempt_results(index), ["mismatched", "complete"])

    def test_rejection_is_retried_and_finally_reported_as_not_run(self) -> None:
        standin = self.start_engine()
        self.start_gateway()
        self.set_faults(standin, reject=1)
        self.assertEqual(self.complete().status, 200)
        self.set_faults(standin, reject=50)
        self.assertEqual(read_executed(self.complete()), (503, "no"))

    def test_stream_that_cannot_be_resumed_ends_with_an_error(self) -> None:
        self.add_scripted(short_stream)
        self.start_gateway()
        response = self.complete(stream=True)
        _, done, others = read_stream(response)
        self.assertFalse(done)
        self.assertEqual(others[-1]["executed"], "yes")
        self.assertIn("not complete", others[-1]["error"]["message"])

    def test_refused_connection_is_not_run(self) -> None:
        port = find_port()
        standin = self.start_engine()
        self.control.snapshot.members[0].address = f"http://{LOCAL}:{port}"
        self.start_gateway()
        self.assertEqual(read_executed(self.complete()), (503, "no"))
        standin.close()

    def test_request_that_crashes_targets_is_stopped_after_two(self) -> None:
        standins = [self.start_engine(f"engine-{n}") for n in range(3)]
        for standin in standins:
            self.set_faults(standin, poison="boom")
        self.start_gateway()
        self.assertEqual(self.complete("boom").status, 502)
        crashed = {attempt.target for attempt in self.wait_for_trace().attempts}
        self.assertEqual(len(crashed), 2)
        self.assertEqual(self.complete("boom").status, 422)
        for view in self.control.snapshot.targets:
            if view.target in crashed:
                view.health = UNREACHABLE
        self.control.publish()
        wait_until(lambda: len(self.control.list_messages("crash_report")) == 2, "crashes reported")
        self.assertEqual(self.complete("boom").status, 422)
        self.assertEqual(self.complete("other").status, 200)

    def add_scripted(self, handler: "Handler") -> None:
        server = HttpServer(Listen(host=LOCAL), lambda request: handle_request(request, handler))
        server.start()
        self.addCleanup(server.close)
        self.add_target("scripted", f"http://{LOCAL}:{server.port}")


Handler = Callable[[Request], Response]


def handle_request(request: Request, handler: "Handler") -> Response:
    if request.path == "/v1/state":
        return Response(json.dumps({"incarnation": "i"}))
    return handler(request)


def short_stream(request: Request) -> Response:
    """Responds with a stream of one token less than its usage event says."""
    token = {"choices": [{"index": 0, "text": "a"}]}
    usage = {"choices": [], "usage": {"completion_tokens": 2}}
    events = "".join(f"data: {json.dumps(event)}\n\n" for event in (token, usage))
    names = ("X-Attempt-Id", "X-Customer", "X-Model-Version")
    headers = {name: request.headers[name] for name in names}
    return Response(events + "data: [DONE]\n\n", content_type="text/event-stream", headers=headers)


class SlowCallerTest(GatewayTestCase):
    """Guards against a slow caller that fills the gateway's memory or loses its response."""

    def test_slow_caller_gets_everything(self) -> None:
        self.start_engine(decode_ms_per_token=0)
        self.start_gateway(relay_buffer_bytes=2000)
        sizes: list[int] = []
        write = CallerConnection.write

        def record(connection: CallerConnection, data: bytes) -> None:
            write(connection, data)
            sizes.append(connection.buffered_bytes)

        self.enterContext(mock.patch.object(CallerConnection, "write", record))
        body = json.dumps(
            {"model": "flavour-7b", "prompt": "x", "max_tokens": 40_000, "stream": True}
        ).encode()
        received = bytearray()
        close = "Connection: close\r\n"
        with self.open_call("/v1/completions", body, close) as connection:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 300_000)
            time.sleep(1.0)
            while data := connection.recv(1 << 20):
                received += data
        self.assertEqual(received.count(b'"text"'), 40_000)
        self.assertIn(b"data: [DONE]", received)
        # The limit, plus one read of libcurl with the framing of its events.
        self.assertLess(max(sizes), 200_000)
