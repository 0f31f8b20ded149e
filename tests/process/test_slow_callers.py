"""Callers that send slowly or badly keep no other caller of a listener waiting."""

import contextlib
import socket
import time
from collections.abc import Iterator
from http.client import HTTPConnection

from tests.common.control import TOKENS, ControlTestCase
from tests.common.gateway import LOCAL, TOKEN, GatewayTestCase, wait_until

HALF_SENT_CONNECTIONS = 2_000
# The callers' p95 with the half-sent requests, relative to the p95 without them.
MAX_SLOWDOWN = 1.2
# Calls to each of two listeners, one after the other, so that what else runs on the machine delays
# both alike; enough for a p95 that varies by a few percent.
CALLS = 1_500
# Old listeners answered nobody for 12 s and more.
ANSWER_TIMEOUT_S = 10.0


@contextlib.contextmanager
def hold_half_sent_requests(port: int, count: int) -> Iterator[None]:
    """Keeps connections open that have sent half of a request line."""
    with contextlib.ExitStack() as stack:
        for _ in range(count):
            connection = stack.enter_context(socket.create_connection((LOCAL, port)))
            connection.sendall(b"GET /v1/mod")
        yield


class TimedCaller:
    """Makes calls over one connection and keeps their times."""

    def __init__(self, port: int, path: str, token: str) -> None:
        self._connection = HTTPConnection(LOCAL, port, timeout=ANSWER_TIMEOUT_S)
        self._path = path
        self._headers = {"Authorization": f"Bearer {token}"}
        self._times: list[float] = []

    def call(self) -> None:
        """Makes one call; raises AssertionError if it is refused."""
        began = time.perf_counter()
        self._connection.request("GET", self._path, headers=self._headers)
        response = self._connection.getresponse()
        response.read()
        if response.status != 200:
            raise AssertionError(f"status {response.status}")
        self._times.append(time.perf_counter() - began)

    def close(self) -> None:
        """Closes the connection."""
        self._connection.close()

    @property
    def p95(self) -> float:
        """The time within which 95 in 100 calls were answered, in seconds."""
        return sorted(self._times)[int(0.95 * len(self._times))]


def measure_slowdown(alone_port: int, beside_port: int, path: str, token: str) -> float:
    """Returns the p95 at a listener beside half-sent requests, relative to one without them."""
    with contextlib.ExitStack() as stack:
        callers = [TimedCaller(port, path, token) for port in (alone_port, beside_port)]
        for caller in callers:
            stack.callback(caller.close)
        stack.enter_context(hold_half_sent_requests(beside_port, HALF_SENT_CONNECTIONS))
        for _ in range(CALLS):
            for caller in callers:
                caller.call()
    alone, beside = callers
    return beside.p95 / alone.p95


def exchange(port: int, data: bytes) -> bytes:
    """Sends bytes and returns all that is answered until the connection ends."""
    with socket.create_connection((LOCAL, port), timeout=ANSWER_TIMEOUT_S) as connection:
        connection.sendall(data)
        return b"".join(iter(lambda: connection.recv(65_536), b""))


class GatewaySlowCallerTest(GatewayTestCase):
    def test_half_sent_requests_delay_no_caller(self) -> None:
        """Guards against connections that each hold a thread until they time out."""
        beside = self.start_gateway().port
        other = self.create_control()
        alone = self.start_gateway_without_snapshot(other)
        other.publish()
        wait_until(lambda: other.list_messages("snapshot_ack"), "snapshot acknowledged")
        slowdown = measure_slowdown(alone.port, beside, "/v1/models", TOKEN)
        self.assertLess(slowdown, MAX_SLOWDOWN)

    def test_pipelined_requests_are_all_answered_in_order(self) -> None:
        """Guards against a listener that answers the first request and closes."""
        port = self.start_gateway().port
        head = f"HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer {TOKEN}\r\n"
        requests = f"GET /v1/models {head}\r\nGET /v1/models/none {head}\r\n"
        answer = exchange(
            port, f"{requests}GET /v1/models {head}Connection: close\r\n\r\n".encode()
        )
        statuses = [part[:3] for part in answer.split(b"HTTP/1.1 ")[1:]]
        self.assertEqual(statuses, [b"200", b"404", b"200"])

    def test_connection_serves_another_call_after_a_stream(self) -> None:
        self.start_engine()
        port = self.start_gateway().port
        connection = HTTPConnection(LOCAL, port, timeout=ANSWER_TIMEOUT_S)
        self.addCleanup(connection.close)
        connection.connect()
        opened = connection.sock
        for _ in range(2):
            body = b'{"model": "flavour-7b", "prompt": "a", "max_tokens": 4, "stream": true}'
            connection.request(
                "POST", "/v1/completions", body, {"Authorization": f"Bearer {TOKEN}"}
            )
            response = connection.getresponse()
            self.assertIn(b"data: [DONE]", response.read())
            self.assertIs(connection.sock, opened)

    def test_bytes_that_are_no_http_get_a_problem_without_names_of_libraries(self) -> None:
        port = self.start_gateway().port
        for data, status in (
            (b"\x16\x03\x01 not http\r\n\r\n", b"400"),
            (b"GET / HTTP/1.1\r\nHost: a\r\nX: " + b"x" * 40_000 + b"\r\n\r\n", b"431"),
            (b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 99999999999\r\n\r\n", b"413"),
        ):
            with self.subTest(status=status):
                answer = exchange(port, data)
                self.assertTrue(answer.startswith(b"HTTP/1.1 " + status), answer[:60])
                self.assertIn(b"application/problem+json", answer)
                self.assertIn(b'"executed": "no"', answer)
                self.assertNotRegex(answer.lower(), rb"werkzeug|python|\nserver:")


class OperatorsSlowCallerTest(ControlTestCase):
    def test_half_sent_requests_delay_no_operator(self) -> None:
        """Guards against connections that each hold a thread until they time out."""
        programs = [self.start_control(self.create_settings(name)) for name in ("k-1", "k-2")]
        for program in programs:
            self.wait_ready(program)
        alone, beside = (program.ports[0] for program in programs)
        slowdown = measure_slowdown(alone, beside, "/v1/status", TOKENS["asha"])
        self.assertLess(slowdown, MAX_SLOWDOWN)
