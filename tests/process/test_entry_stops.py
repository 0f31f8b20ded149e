"""Planned stops of entry processes beside other trouble.

Guards against processes that end too early, or run on after their grace period, and against calls
on kept connections that lose their response: signals that come again during the stop, a stop while
the process starts or the store is away, uploads and pipelined requests under way.
"""

import contextlib
import http.client
import signal
import socket
import threading
import time
import unittest
from collections.abc import Iterator

from tests.common.entry import HOST, LOCAL
from tests.common.entryfleet import EntryFleet, EntryProcess
from tests.common.links import LinkState
from tests.common.promises import GRACE_S

EXIT_MARGIN_S = 2.0
HEADERS = {"Host": HOST, "X-Api-Key": "key-of-asha/0", "Deadline-Ms": "2000"}


class StopCase(unittest.TestCase):
    @contextlib.contextmanager
    def run_process(self) -> Iterator[tuple[EntryFleet, EntryProcess]]:
        fleet = EntryFleet(1, 4)
        try:
            fleet.start()
            yield fleet, fleet.entries[0]
        finally:
            fleet.close()

    def connect(self, entry: EntryProcess) -> http.client.HTTPConnection:
        connection = http.client.HTTPConnection(LOCAL, entry.callers_port, timeout=6.0)
        self.addCleanup(connection.close)
        connection.connect()
        return connection

    def call(self, connection: http.client.HTTPConnection, number: int = 0) -> int:
        connection.request("GET", "/get/1", None, {**HEADERS, "Request-Id": f"r-{number}"})
        response = connection.getresponse()
        response.read()
        return response.status

    def wait_exit(self, entry: EntryProcess) -> None:
        """Checks that a process exits by itself, with its exit code for a planned stop."""
        assert entry.process is not None
        entry.process.wait(GRACE_S + EXIT_MARGIN_S)
        self.assertEqual(entry.process.returncode, 0, entry.log_file.read_text()[-2000:])


class SignalsTest(StopCase):
    def test_signals_that_come_again_during_the_stop_change_nothing(self) -> None:
        with self.run_process() as (fleet, entry):
            for target in fleet.targets:
                target.slow_factor = 80  # 0.4 s for a plain call, well inside its time limit.
            connections = [self.connect(entry) for _ in range(8)]
            statuses: list[int] = []
            threads = [
                threading.Thread(target=lambda c=c, n=n: statuses.append(self.call(c, n)))
                for n, c in enumerate(connections)
            ]
            for thread in threads:
                thread.start()
            time.sleep(0.2)
            for number in (signal.SIGTERM, signal.SIGHUP, signal.SIGTERM, signal.SIGINT):
                entry.send_signal(number)
                time.sleep(0.1)
            for thread in threads:
                thread.join()
            self.assertEqual(statuses, [200] * len(connections))
            self.wait_exit(entry)

    def test_stop_while_the_process_starts(self) -> None:
        with self.run_process() as (_, entry):
            entry.kill()
            entry.start()
            entry.send_signal(signal.SIGTERM)
            assert entry.process is not None
            entry.process.wait(GRACE_S + EXIT_MARGIN_S)
            # Before its program runs, it holds nothing and the signal ends it.
            self.assertIn(entry.process.returncode, (0, -signal.SIGTERM))

    def test_stop_while_the_store_is_away(self) -> None:
        with self.run_process() as (_, entry):
            connection = self.connect(entry)
            entry.link.set_state(LinkState.PAUSED)
            self.assertEqual(self.call(connection), 200)
            entry.send_signal(signal.SIGTERM)
            time.sleep(0.2)
            self.assertIn(self.call(connection, 1), (200, 503))
            self.wait_exit(entry)

    def test_stop_during_a_change_of_the_configuration(self) -> None:
        with self.run_process() as (fleet, entry):
            connections = [self.connect(entry) for _ in range(4)]
            fleet.publish_configuration()
            entry.send_signal(signal.SIGTERM)
            fleet.publish_configuration()
            for number, connection in enumerate(connections):
                self.assertEqual(self.call(connection, number), 200)
            self.wait_exit(entry)


class RequestsUnderWayTest(StopCase):
    def test_upload_that_ends_during_the_stop_is_answered(self) -> None:
        with self.run_process() as (_, entry):
            with socket.create_connection((LOCAL, entry.callers_port), timeout=6.0) as sock:
                head = "".join(f"{name}: {value}\r\n" for name, value in HEADERS.items())
                sock.sendall(
                    f"POST /pay/1 HTTP/1.1\r\n{head}Request-Id: r\r\nContent-Length: 4\r\n\r\n"
                    "ab".encode()
                )
                time.sleep(0.1)
                entry.send_signal(signal.SIGTERM)
                time.sleep(0.2)
                sock.sendall(b"cd")
                self.assertIn(b" 200 ", sock.makefile("rb").readline())
            self.wait_exit(entry)

    def test_pipelined_requests_are_answered_or_not_passed_on(self) -> None:
        with self.run_process() as (fleet, entry):
            arrived: list[str] = []
            for target in fleet.targets:
                target.slow_factor = 40
                target.on_call = lambda call: arrived.append(call.headers["request-id"])
            head = "".join(f"{name}: {value}\r\n" for name, value in HEADERS.items())
            with socket.create_connection((LOCAL, entry.callers_port), timeout=6.0) as sock:
                for number in range(4):
                    sock.sendall(
                        f"GET /get/1 HTTP/1.1\r\n{head}Request-Id: r-{number}\r\n\r\n".encode()
                    )
                time.sleep(0.1)
                entry.send_signal(signal.SIGTERM)
                data = b""
                while chunk := sock.recv(65_536):
                    data += chunk
            self.wait_exit(entry)
            self.assertEqual(data.count(b"HTTP/1.1 200 "), len(set(arrived)))
