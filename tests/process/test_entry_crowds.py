"""Crowds of clients that hold an entry process's memory and descriptors without finishing.

Guards against a process that ends because clients that nobody controls sent too much of what is
legal. Each test starts one process with a small allowance and a crowd that would exceed it, most of
it stopping just short of the end of a request and staying open. Checked are the life of the
process, its memory and descriptors, and one ordinary call afterwards; no times, no shares of calls.
"""

import contextlib
import socket
import time
import unittest
from collections.abc import Callable, Iterator
from pathlib import Path
from unittest import mock

from tests.common.entry import HOST, LOCAL
from tests.common.entryfleet import EntryFleet, EntryProcess

MEMORY_MB = 96
MAX_DESCRIPTORS = 200
CROWD = 150
MAX_HEAD_BYTES = 65_536
MAX_BODY_BYTES = 1_048_576
LIMITS = {
    "max_header_bytes": MAX_HEAD_BYTES,
    "max_body_bytes": MAX_BODY_BYTES,
    # Long, so that neither of them ends the crowd's connections.
    "header_timeout_ms": 60_000,
    "idle_timeout_ms": 60_000,
}
SETTLING_S = 1.0
CALL_TIMEOUT_S = 20.0
PIECE = b"x" * 65_536


def build_head(fields: str = "", method: str = "POST", path: str = "/pay/1") -> bytes:
    """Returns the lines of a head, without the empty line at its end."""
    lines = f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: crowd\r\n"
    return (lines + "X-Api-Key: key-of-asha/0\r\nDeadline-Ms: 60000\r\n" + fields).encode()


def build_short_lines() -> bytes:
    """Returns very many short header lines that fill a head of legal size."""
    return b"a:\r\n" * ((MAX_HEAD_BYTES - 1_000) // 4)


def send_unended_head(sock: socket.socket) -> None:
    """Sends a head of very many short lines that does not end."""
    sock.sendall(build_head() + build_short_lines())


def send_head_and_part_of_a_body(sock: socket.socket) -> None:
    """Sends a whole head of very many short lines, and a body that lacks two bytes."""
    sock.sendall(build_head("Content-Length: 9\r\n") + build_short_lines() + b"\r\n1234567")


def send_odd_lines(sock: socket.socket) -> None:
    """Sends a head of distinct short lines with odd names and values."""
    lines = b"".join(b"%x:%x\r\n" % (n, n * 7) for n in range(6_000))
    sock.sendall(build_head() + lines[: MAX_HEAD_BYTES - 1_000])


def send_body_with_length(sock: socket.socket) -> None:
    """Sends a body of the largest size, all but its last bytes."""
    sock.sendall(build_head(f"Content-Length: {MAX_BODY_BYTES}\r\n") + b"\r\n")
    for _ in range(MAX_BODY_BYTES // len(PIECE) - 1):
        sock.sendall(PIECE)
    sock.sendall(PIECE[:-2])


def send_large_chunks(sock: socket.socket) -> None:
    """Sends a body in chunks of 256 KiB, without its last chunk."""
    sock.sendall(build_head("Transfer-Encoding: chunked\r\n") + b"\r\n")
    for _ in range(3):
        sock.sendall(b"40000\r\n")
        for _ in range(4):
            sock.sendall(PIECE)
        sock.sendall(b"\r\n")


def send_small_chunks(sock: socket.socket) -> None:
    """Sends a body in chunks of one byte, without its last chunk."""
    sock.sendall(build_head("Transfer-Encoding: chunked\r\n") + b"\r\n" + b"1\r\nx\r\n" * 20_000)


def send_pipelined(sock: socket.socket) -> None:
    """Sends several large requests behind one whose answer has not come."""
    body = build_head("Content-Length: 200000\r\n") + b"\r\n" + b"x" * 200_000
    for _ in range(6):
        sock.sendall(body)


Sender = Callable[[socket.socket], None]
SENDERS: tuple[Sender, ...] = (
    send_unended_head,
    send_head_and_part_of_a_body,
    send_odd_lines,
    send_body_with_length,
    send_large_chunks,
    send_small_chunks,
    send_pipelined,
)


def read_peak_mb(pid: int) -> float:
    """Returns the most resident memory that a process has had."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1]) / 1024
    raise AssertionError("no VmHWM")


def count_descriptors(pid: int) -> int:
    """Returns the open descriptors of a process."""
    return len(list(Path(f"/proc/{pid}/fd").iterdir()))


class CrowdCase(unittest.TestCase):
    @contextlib.contextmanager
    def run_process(self) -> Iterator[EntryProcess]:
        """Runs one entry process with two targets."""
        fleet = EntryFleet(
            1, 2, memory_mb=MEMORY_MB, max_descriptors=MAX_DESCRIPTORS, log_level="warning"
        )
        fleet.configuration_changes = {"limits": LIMITS}
        try:
            fleet.start()
            yield fleet.entries[0]
        finally:
            fleet.close()

    def gather(self, entry: EntryProcess, send: Sender, count: int = CROWD) -> list[socket.socket]:
        """Opens connections that send what they can and stay open."""
        crowd = []
        for _ in range(count):
            try:
                sock = socket.create_connection((LOCAL, entry.callers_port), timeout=5.0)
            except OSError:
                continue
            self.addCleanup(sock.close)
            # The process may close a connection at any moment, or not read on.
            with contextlib.suppress(OSError):
                send(sock)
            crowd.append(sock)
        return crowd

    def check(self, entry: EntryProcess) -> None:
        """Checks the process, and that it answers an ordinary call."""
        assert entry.process is not None
        time.sleep(SETTLING_S)
        self.assertIsNone(entry.process.poll(), "the process has ended")
        pid = entry.process.pid
        self.assertLessEqual(read_peak_mb(pid), MEMORY_MB)
        self.assertLessEqual(count_descriptors(pid), MAX_DESCRIPTORS)
        self.assertEqual(self.call(entry), 200)
        self.assertIsNone(entry.process.poll(), "the process has ended")

    def call(self, entry: EntryProcess) -> int:
        """Makes an ordinary call, as callers do: again after a time that they are told."""
        end = time.monotonic() + CALL_TIMEOUT_S
        status = 0
        while status != 200 and time.monotonic() < end:
            try:
                with socket.create_connection((LOCAL, entry.callers_port), timeout=5.0) as sock:
                    sock.sendall(
                        build_head("Content-Length: 2\r\nConnection: close\r\n") + b"\r\n{}"
                    )
                    line = sock.makefile("rb").readline()
                    status = int(line.split()[1]) if line else 0
            except OSError:
                status = 0
            if status != 200:
                time.sleep(0.3)
        return status


class HeldMemoryTest(CrowdCase):
    def check_crowd(self, send: Sender) -> None:
        with self.run_process() as entry:
            self.gather(entry, send)
            self.check(entry)

    def test_heads_of_short_lines_that_do_not_end(self) -> None:
        self.check_crowd(send_unended_head)

    def test_heads_of_short_lines_with_a_body_that_does_not_end(self) -> None:
        self.check_crowd(send_head_and_part_of_a_body)

    def test_heads_of_odd_lines(self) -> None:
        self.check_crowd(send_odd_lines)

    def test_bodies_with_a_length(self) -> None:
        self.check_crowd(send_body_with_length)

    def test_bodies_in_large_chunks(self) -> None:
        self.check_crowd(send_large_chunks)

    def test_bodies_in_small_chunks(self) -> None:
        self.check_crowd(send_small_chunks)

    def test_pipelined_requests(self) -> None:
        self.check_crowd(send_pipelined)

    def test_everything_at_once(self) -> None:
        with self.run_process() as entry:
            for send in SENDERS:
                self.gather(entry, send, CROWD // len(SENDERS))
            self.check(entry)


class DescriptorsTest(CrowdCase):
    def test_more_connections_than_descriptors(self) -> None:
        with self.run_process() as entry:
            self.gather(entry, lambda sock: None, 3 * MAX_DESCRIPTORS // 2)
            self.check(entry)

    def test_probe_connections_stay_few(self) -> None:
        """Readiness is asked on few connections; a crowd of them must not use up descriptors."""
        with self.run_process() as entry:
            for _ in range(3 * MAX_DESCRIPTORS // 2):
                sock = socket.create_connection((LOCAL, entry.readiness_port), timeout=5.0)
                self.addCleanup(sock.close)
            self.check(entry)
            self.assertTrue(entry.is_ready())


class CalmTest(CrowdCase):
    def test_single_request_of_the_largest_size_is_served(self) -> None:
        """Guards against limits that a caller inside the configuration's limits meets."""
        # The stand-in for a target accepts 100 header lines only.
        with mock.patch("http.client._MAXHEADERS", MAX_HEAD_BYTES), self.run_process() as entry:
            for fields in (b"", build_short_lines()):
                with socket.create_connection((LOCAL, entry.callers_port), timeout=5.0) as sock:
                    sock.sendall(build_head(f"Content-Length: {MAX_BODY_BYTES}\r\n") + fields)
                    sock.sendall(b"\r\n" + b"x" * MAX_BODY_BYTES)
                    self.assertIn(b" 200 ", sock.makefile("rb").readline())
            self.check(entry)
