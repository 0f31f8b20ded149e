"""Measures the CPU time that a gateway's relay loop uses for each event of a stream.

Run: PYTHONPATH=src python -m benches.relay [--streams N] [--tokens N] [--repeats N]
Prints one row for each repeat and the best one. The engine, the callers and the control process
run on other threads of this process, whose time is not counted.
"""

import socket
import threading
import time

from absl import app, flags

from mulberryrill.internal.gateway.program import GatewayProgram
from tests.common.gateway import LOCAL, MODEL, TOKEN, GatewayTestCase

_STREAMS = flags.DEFINE_integer("streams", 100, "streams at once")
_TOKENS = flags.DEFINE_integer("tokens", 200, "events of each stream")
_REPEATS = flags.DEFINE_integer("repeats", 3, "repeats")
DECODE_MS = 20
READ_BYTES = 1 << 16


class _Deployment(GatewayTestCase):
    """One engine behind one gateway."""

    def runTest(self) -> None:  # noqa: N802
        """Does nothing: the test case is only used to start the gateway."""

    def start(self, streams: int) -> GatewayProgram:
        """Starts the engine and the gateway, with slots for all streams."""
        self.setUp()
        self.control.slots = streams
        self.start_engine(max_concurrency=streams, decode_ms_per_token=DECODE_MS)
        for view in self.control.snapshot.targets:
            view.max_concurrency = streams
        return self.start_gateway()


def read_loop_time(program: GatewayProgram) -> float:
    """Returns the CPU time of the relay loop's thread so far, in seconds."""
    times: list[float] = []
    done = threading.Event()

    def read() -> None:
        times.append(time.thread_time())
        done.set()

    program._loop.post(read)
    done.wait()
    return times[0]


def read_stream(port: int, request: bytes, event_counts: list[int]) -> None:
    """Sends a request and appends the number of events in its response."""
    received = bytearray()
    with socket.create_connection((LOCAL, port)) as connection:
        connection.sendall(request)
        while data := connection.recv(READ_BYTES):
            received += data
    event_counts.append(received.count(b'"text"'))


def measure(program: GatewayProgram, streams: int, tokens: int) -> tuple[int, float]:
    """Returns the number of events that arrived and the loop's CPU time, in seconds."""
    body = b'{"model": "%b", "prompt": "x", "max_tokens": %d, "stream": true}' % (
        MODEL.encode(),
        tokens,
    )
    head = (
        f"POST /v1/completions HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer {TOKEN}\r\n"
        f"Connection: close\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    event_counts: list[int] = []
    callers = [
        threading.Thread(
            target=read_stream, args=(program.port, head.encode() + body, event_counts)
        )
        for _ in range(streams)
    ]
    before = read_loop_time(program)
    for caller in callers:
        caller.start()
    for caller in callers:
        caller.join()
    return sum(event_counts), read_loop_time(program) - before


def main(argv: list[str]) -> None:
    """Prints the CPU time for each event."""
    deployment = _Deployment()
    try:
        program = deployment.start(_STREAMS.value)
        costs = []
        for _ in range(_REPEATS.value):
            events, seconds = measure(program, _STREAMS.value, _TOKENS.value)
            costs.append(seconds / events * 1e6)
            print(f"{events} events, {seconds:.3f} s, {costs[-1]:.1f} us an event")
        print(f"best: {min(costs):.1f} us an event")
    finally:
        deployment.doCleanups()


if __name__ == "__main__":
    app.run(main)
