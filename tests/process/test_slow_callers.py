"""Callers that send slowly or badly keep no other caller of a listener waiting."""

import contextlib
import socket
import time
from collections.abc import Iterator
from http.client import HTTPConnection

from tests.common.control import TOKENS, ControlTestCase
from tests.common.gateway import LOCAL, TOKEN, GatewayTestCase

HALF_SENT_CONNECTIONS = 2_000
# The callers' p95 with the half-sent requests, relative to the p95 without them.
MAX_SLOWDOWN = 1.2
CALLS = 100
# The least disturbed of several rounds counts, since other processes share the machine.
ROUNDS = 6
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


def measure_p95(port: int, path: str, token: str) -> float:
    """Returns the p95 of calls over one connection, in seconds."""
    connection = HTTPConnection(LOCAL, port, timeout=ANSWER_TIMEOUT_S)
    times = []
    with contextlib.closing(connection):
        for _ in range(CALLS):
            began = time.perf_counter()
            connection.request("GET", path, headers={"Authorization": f"Bearer {token}"})
            response = connection.getresponse()
            response.read()
            if response.status != 200:
                raise AssertionError(f"status {response.status}")
            times.append(time.perf_counter() - began)
    return sorted(times)[int(0.95 * CALLS)]


def measure_slowdown(port: int, path: str, token: str) -> float:
    """Returns the p95 beside half-sent requests, relative to the p95 without them."""
    alone, beside = [], []
    for _ in range(ROUNDS):
        alone.append(measure_p95(port, path, token))
        with hold_half_sent_requests(port, HALF_SENT_CONNECTIONS):
            beside.append(measure_p95(port, path, token))
    return min(beside) / min(alone)


def exchange(port: int, data: bytes) -> bytes:
    """Sends bytes and returns all that is answered until the connection ends."""
    with socket.create_connection((LOCAL, port), timeout=ANSWER_TIMEOUT_S) as connection:
        connection.sendall(data)
        return b"".join(iter(lambda: connection.recv(65_536), b""))


class GatewaySlowCallerTest(GatewayTestCase):
    def test_half_sent_requests_delay_no_caller(self) -> None:
        """Guards against connections that each hold a thread until they time out."""
        port = self.start_gateway().port
        self.assertLess(measure_slowdown(port, "/v1/models", TOKEN), MAX_SLOWDOWN)

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
        program = self.start_control(self.create_settings())
        self.wait_ready(program)
        port = program.ports[0]
        token = TOKENS["asha"]
        self.assertLess(measure_slowdown(port, "/v1/status", token), MAX_SLOWDOWN)
