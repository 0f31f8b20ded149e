"""A stopping process accepted a request on the connection of a stream that began before the stop.

The stream's response head was sent before SIGTERM and did not announce that the connection would
close, so the connection stayed open after the stream. A request on it 5 s after SIGTERM was
accepted and cut off at the end of the grace period. Found by a fault run with restarts on
kimolia-plateia, seed 51925543489.
"""

import threading
import time
import unittest

from tests.common.entry import KEY, MODEL, ReceivedCall, TargetStandin, run_entry, wait_for

HEAD = f"Host: a.example\r\nX-Api-Key: {KEY}\r\nDeadline-Ms: 2000\r\n"
PROMPT = f"Model: {MODEL}\r\nToken-Usage: 100,4\r\nPrefix-Hash: aa:50,bb:50\r\n"
STREAM = f"POST /plan/ HTTP/1.1\r\nRequest-Id: r-1\r\n{HEAD}{PROMPT}Content-Length: 0\r\n\r\n"
NEXT = f"GET /get/ HTTP/1.1\r\nRequest-Id: r-2\r\n{HEAD}\r\n"


def stream_slowly(target: TargetStandin, request, call: ReceivedCall) -> None:
    """Sends three events, one every half second."""
    target.begin_stream(request, call)
    for number in range(1, 4):
        target.send_event(request, number)
        time.sleep(0.5)
    request.wfile.write(b"0\r\n\r\n")


class StreamPastStopTest(unittest.TestCase):
    def test_connection_ends_with_its_stream(self) -> None:
        with run_entry() as deployment:
            deployment.add_target("t1", "lm", stream_slowly)
            plain_target = deployment.add_target("t2", "desk", lambda *_: None)
            deployment.wait_ready()
            with deployment.open_socket() as caller:
                caller.sendall(STREAM.encode())
                received = b""
                while b"id: 1" not in received:
                    received += caller.recv(65_536)
                closer = threading.Thread(target=deployment.program.close)
                closer.start()
                wait_for(lambda: deployment.get_readiness_status() == 503)
                while not received.endswith(b"0\r\n\r\n"):
                    received += caller.recv(65_536)
                self.assertIn(b"id: 3", received)
                caller.sendall(NEXT.encode())
                self.assertEqual(caller.recv(65_536), b"")
            closer.join()
            self.assertEqual(plain_target.received_calls, [])
