"""Answers of targets that break off, or are no answers, must not look complete to callers."""

import http.client
import json
import socket
import struct
import time
import unittest
from collections.abc import Callable

from tests.common.entry import (
    EntryDeployment,
    ReceivedCall,
    RequestHandler,
    TargetStandin,
    create_configuration,
    run_entry,
    wait_for,
)

PROMPT_HEADERS = {"Model": "m0", "Token_Usage": "1000,16", "Prefix_Hash": "aa:800,cc:200"}
HEAD = "HTTP/1.1 {status}\r\nRequest-Id: {id}\r\nServer-Stamp: stamp-of-t1\r\n{fields}\r\n"
SMALL_BODY, LARGE_BODY = 60_000, 4_000_000
LIMITS = {
    "max_header_bytes": 16_384,
    "max_body_bytes": 4_194_304,
    "header_timeout_ms": 5000,
    "idle_timeout_ms": 5000,
}


def reset(request: RequestHandler) -> None:
    """Resets the connection."""
    request.close_connection = True
    linger = struct.pack("ii", 1, 0)
    request.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    request.connection.close()


class EarlyTarget(TargetStandin):
    """Answers an upload before it has read the body."""

    def __init__(self, name: str, answer: Callable[[RequestHandler, str], None]) -> None:
        super().__init__(name, lambda target, request, call: None)
        self._answer = answer

    def handle(self, request: RequestHandler) -> None:
        if request.path.startswith("/-/"):
            super().handle(request)
        else:
            self._answer(request, request.headers["request-id"])


def write_head(request: RequestHandler, request_id: str, status: str, fields: str = "") -> None:
    request.wfile.write(HEAD.format(status=status, id=request_id, fields=fields).encode())
    request.wfile.flush()


class BrokenAnswerCase(unittest.TestCase):
    def add_early_target(
        self, deployment: EntryDeployment, answer: Callable[[RequestHandler, str], None]
    ) -> None:
        target = EarlyTarget("t1", answer)
        target.start()
        deployment.targets.append(target)
        deployment.store.put("keyed.servers", "t1", target.build_registry_entry("desk"))
        deployment.store.put("keyed.op", "config", create_configuration(2, limits=LIMITS))
        deployment.wait_ready()
        state = deployment.program.state
        wait_for(lambda: state.route_table is not None and state.route_table.version == 2)


class AnswerDuringUploadTest(BrokenAnswerCase):
    """A 200 without length, a part of its body and a reset, while the upload is written."""

    def check(self, size: int, *, is_chunked: bool = False, path: str = "/pay/1") -> None:
        def answer(request: RequestHandler, request_id: str) -> None:
            write_head(request, request_id, "200 OK")
            request.wfile.write(b"part of an answer")
            request.wfile.flush()
            time.sleep(0.05)
            reset(request)

        with run_entry() as deployment:
            self.add_early_target(deployment, answer)
            connection = deployment.connect()
            self.addCleanup(connection.close)
            body = b"x" * size
            headers = {
                "Host": "a.example",
                "Request-Id": "r-1",
                "X-Api-Key": "key-of-asha",
                "Deadline-Ms": "5000",
            }
            if is_chunked:
                pieces = [body[start : start + 65_536] for start in range(0, size, 65_536)]
                connection.request("POST", path, iter(pieces), headers, encode_chunked=False)
            else:
                connection.request("POST", path, body, headers)
            response = connection.getresponse()
            self.assertEqual(response.status, 502)
            self.assertNotIn(b"part of an answer", response.read())

    def test_small_upload(self) -> None:
        self.check(SMALL_BODY)

    def test_small_upload_in_chunks(self) -> None:
        self.check(SMALL_BODY, is_chunked=True)

    def test_upload_of_which_several_megabytes_are_unsent(self) -> None:
        self.check(LARGE_BODY)

    def test_large_upload_in_chunks(self) -> None:
        self.check(LARGE_BODY, is_chunked=True)

    def test_large_upload_that_may_be_repeated(self) -> None:
        self.check(LARGE_BODY, path="/get/1")


class HalfClosedTest(BrokenAnswerCase):
    def test_half_closed_connection_with_unsent_upload_is_no_whole_answer(self) -> None:
        """Guards against a target that ends its side inside an answer of known length."""

        def answer(request: RequestHandler, request_id: str) -> None:
            write_head(request, request_id, "200 OK", "Content-Length: 100\r\n")
            request.wfile.write(b"part of an answer")
            request.wfile.flush()
            request.connection.shutdown(socket.SHUT_WR)
            request.close_connection = True
            time.sleep(0.5)

        with run_entry() as deployment:
            self.add_early_target(deployment, answer)
            response = deployment.call("/pay/1", "POST", b"x" * LARGE_BODY)
            self.assertEqual(response.status, 502)


class InvalidStatusTest(BrokenAnswerCase):
    """Guards against a status that no HTTP response can have, passed on as an answer."""

    def check(self, status: str, service: str, path: str) -> None:
        def answer(target: TargetStandin, request: RequestHandler, call: ReceivedCall) -> None:
            write_head(request, call.headers["request-id"], status, "Content-Length: 5\r\n")
            request.wfile.write(b"whole")
            request.close_connection = True

        headers = PROMPT_HEADERS if service == "lm" else {}
        with run_entry() as deployment:
            deployment.add_target("t1", service, answer)
            deployment.wait_ready()
            response = deployment.call(path, "POST", b"{}", **headers)
            self.assertEqual(response.status, 502)
            self.assertNotIn(b"whole", response.body)

    def test_plain_calls(self) -> None:
        for status in ("000 Zero", "099 Low", "600 High", "999 Highest"):
            with self.subTest(status):
                self.check(status, "desk", "/pay/1")

    def test_streams(self) -> None:
        for status in ("000 Zero", "099 Low", "600 High", "999 Highest"):
            with self.subTest(status):
                self.check(status, "lm", "/quick/1")


class BrokenStreamTest(BrokenAnswerCase):
    def test_reset_inside_an_event_does_not_look_complete(self) -> None:
        def answer(target: TargetStandin, request: RequestHandler, call: ReceivedCall) -> None:
            target.begin_stream(request, call)
            target.send_event(request, 1)
            event = b"id: 2\nda"
            request.wfile.write(b"%x\r\n%s" % (len(event) + 20, event))
            request.wfile.flush()
            time.sleep(0.05)
            reset(request)

        with run_entry() as deployment:
            deployment.add_target("t1", "lm", answer)
            deployment.wait_ready()
            with self.assertRaises((http.client.HTTPException, OSError)):
                deployment.call("/quick/1", "POST", json.dumps({}).encode(), **PROMPT_HEADERS)
