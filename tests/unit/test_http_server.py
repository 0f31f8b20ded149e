"""Tests that the HTTP server survives bad input and lets a handler detach its socket."""

import socket
import threading
import unittest

from werkzeug.wrappers import Request, Response

from mulberryrill.errors import HttpError
from mulberryrill.internal.http.server import DetachedConnectionError, HttpServer
from mulberryrill.internal.httpclient import HttpClient
from mulberryrill.internal.schema.settings_pb2 import Listen


class HttpServerTest(unittest.TestCase):
    def setUp(self) -> None:
        self.detached: list[socket.socket] = []
        self.server = HttpServer(Listen(host="127.0.0.1", port=0), self.serve, threads=2)
        self.server.start()
        self.addCleanup(self.server.close)
        self.client = HttpClient()
        self.addCleanup(self.client.close)
        self.url = f"http://127.0.0.1:{self.server.port}"

    def serve(self, request: Request) -> Response:
        if request.path == "/fail":
            raise RuntimeError("broken")
        if request.path == "/keep":
            self.detached.append(self.server.detach(request))
            raise DetachedConnectionError
        return Response(request.get_data(), headers={"X-Path": request.path})

    def test_answers_with_body_and_headers(self) -> None:
        response = self.client.send("POST", f"{self.url}/a", b"hello")
        self.assertEqual(
            (response.status, response.body, response.headers["x-path"]), (200, b"hello", "/a")
        )

    def test_failed_handler_gives_a_problem_and_later_calls_work(self) -> None:
        response = self.client.send("GET", f"{self.url}/fail")
        problem = response.parse_json()
        assert isinstance(problem, dict)
        self.assertEqual((response.status, problem["executed"]), (500, "unknown"))
        self.assertNotIn("broken", response.body.decode())
        self.assertEqual(self.client.send("GET", f"{self.url}/b").status, 200)

    def test_garbage_does_not_end_the_server(self) -> None:
        for _ in range(4):
            with socket.create_connection(("127.0.0.1", self.server.port)) as connection:
                connection.sendall(b"\x16\x03\x01 not http\r\n\r\n")
        self.assertEqual(self.client.send("GET", f"{self.url}/c").status, 200)

    def test_detached_socket_stays_open_for_its_owner(self) -> None:
        with socket.create_connection(("127.0.0.1", self.server.port)) as connection:
            connection.sendall(b"GET /keep HTTP/1.1\r\nHost: a\r\n\r\n")
            self.assertEqual(self.client.send("GET", f"{self.url}/d").status, 200)
            pause = threading.Event()
            while not self.detached and not pause.wait(0.01):
                pass
            self.assertEqual(self.client.send("GET", f"{self.url}/d").status, 200)
            self.detached[0].sendall(b"HTTP/1.1 200 OK\r\n\r\nlate")
            self.detached[0].close()
            received = b"".join(iter(lambda: connection.recv(100), b""))
        self.assertEqual(received, b"HTTP/1.1 200 OK\r\n\r\nlate")

    def test_refused_connection_is_reported_as_not_sent(self) -> None:
        self.server.close()
        with self.assertRaises(HttpError) as caught:
            self.client.send("GET", self.url)
        self.assertFalse(caught.exception.sent)
