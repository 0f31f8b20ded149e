"""Tests that clients that send slowly or send invalid bytes do not delay other clients."""

import contextlib
import socket
import time
from collections.abc import Iterator
from http.client import HTTPConnection

from tests.common.control import TOKENS, ControlTestCase
from tests.common.gateway import LOCAL, TOKEN, GatewayTestCase, wait_until

HALF_SENT_CONNECTIONS = 2_000
# Largest p95 latency beside half-sent requests, relative to the p95 without them.
MAX_SLOWDOWN = 1.2
# Calls to each of two listeners, made alternately, so that other load on the machine delays both
# alike. The p95 of this many calls varies by a few percent.
CALLS = 1_500
# Listeners that held a thread per connection left all clients unanswered for 12 s or more.
ANSWER_TIMEOUT_S = 10.0


@contextlib.contextmanager
def hold_half_sent_requests(port: int, count: int) -> Iterator[None]:
    """Keeps connections open that have sent half of a request line."""
    with contextlib.ExitStack() as stack:
        for _ in range(count):
            connection = stack.enter_context(socket.create_connection((LOCAL, port)))
            connection.sendall(b"GET /v1/mod")
        yield


class TimedClient:
    """Makes calls over one connection and records their latencies."""

    def __init__(self, port: int, path: str, token: str) -> None:
        self._connection = HTTPConnection(LOCAL, port, timeout=ANSWER_TIMEOUT_S)
        self._path = path
        self._headers = {"Authorization": f"Bearer {token}"}
        self._latencies_s: list[float] = []

    def call(self) -> None:
        """Makes one call; raises AssertionError unless its status is 200."""
        start = time.perf_counter()
        self._connection.request("GET", self._path, headers=self._headers)
        response = self._connection.getresponse()
        response.read()
        if response.status != 200:
            raise AssertionError(f"status {response.status}")
        self._latencies_s.append(time.perf_counter() - start)

    def close(self) -> None:
        """Closes the connection."""
        self._connection.close()

    @property
    def p95(self) -> float:
        """The 95th percentile of the latencies, in seconds."""
        return sorted(self._latencies_s)[int(0.95 * len(self._latencies_s))]


def measure_slowdown(baseline_port: int, loaded_port: int, path: str, token: str) -> float:
    """Returns the p95 at a listener with half-sent requests, relative to one without them."""
    with contextlib.ExitStack() as stack:
        clients = [TimedClient(port, path, token) for port in (baseline_port, loaded_port)]
        for client in clients:
            stack.callback(client.close)
        stack.enter_context(hold_half_sent_requests(loaded_port, HALF_SENT_CONNECTIONS))
        for _ in range(CALLS):
            for client in clients:
                client.call()
    baseline, loaded = clients
    return loaded.p95 / baseline.p95


def exchange(port: int, data: bytes) -> bytes:
    """Sends bytes and returns everything received until the connection ends."""
    with socket.create_connection((LOCAL, port), timeout=ANSWER_TIMEOUT_S) as connection:
        connection.sendall(data)
        return b"".join(iter(lambda: connection.recv(65_536), b""))


class GatewaySlowCallerTest(GatewayTestCase):
    def test_half_sent_requests_delay_no_caller(self) -> None:
        """Guards against connections that each hold a thread until they time out."""
        loaded_port = self.start_gateway().port
        other = self.create_control()
        baseline = self.start_gateway_without_snapshot(other)
        other.publish()
        wait_until(lambda: other.list_messages("snapshot_ack"), "snapshot acknowledged")
        slowdown = measure_slowdown(baseline.port, loaded_port, "/v1/models", TOKEN)
        self.assertLess(slowdown, MAX_SLOWDOWN)

    def test_pipelined_requests_are_all_answered_in_order(self) -> None:
        """Guards against a listener that closes after its response to the first request."""
        port = self.start_gateway().port
        head = f"HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer {TOKEN}\r\n"
        requests = f"GET /v1/models {head}\r\nGET /v1/models/none {head}\r\n"
        responses = exchange(
            port, f"{requests}GET /v1/models {head}Connection: close\r\n\r\n".encode()
        )
        statuses = [part[:3] for part in responses.split(b"HTTP/1.1 ")[1:]]
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
                response = exchange(port, data)
                self.assertTrue(response.startswith(b"HTTP/1.1 " + status), response[:60])
                self.assertIn(b"application/problem+json", response)
                self.assertIn(b'"executed": "no"', response)
                self.assertNotRegex(response.lower(), rb"werkzeug|python|\nserver:")


class OperatorsSlowCallerTest(ControlTestCase):
    def test_half_sent_requests_delay_no_operator(self) -> None:
        """Guards against connections that each hold a thread until they time out."""
        programs = [self.start_control(self.create_settings(name)) for name in ("k-1", "k-2")]
        for program in programs:
            self.wait_ready(program)
        baseline_port, loaded_port = (program.ports[0] for program in programs)
        slowdown = measure_slowdown(baseline_port, loaded_port, "/v1/status", TOKENS["asha"])
        self.assertLess(slowdown, MAX_SLOWDOWN)
