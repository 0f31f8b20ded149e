"""Guards against one client that fills the memory account behind a running call.

Requests that wait behind a running call belong to a connection that is never chosen for another
one's sake. One client with a slow call and large bodies behind it held all memory for clients, and
every other request was refused for as long as the call ran.
"""

import time

from mulberryrill.internal.http.caller import InboundConnection
from mulberryrill.internal.http.messages import HttpRequest
from tests.common.entry import wait_for
from tests.regressions.test_sent_bytes_stay_charged import REQUEST, ConnectionCase, Owner

MAX_BYTES = 10_000_000
BODY = bytes(900_000)
LARGE_REQUEST = b"POST / HTTP/1.1\r\ncontent-length: %d\r\n\r\n" % len(BODY) + BODY


class SlowOwner(Owner):
    """Does not respond to the first request."""

    def on_request(self, connection: InboundConnection, request: HttpRequest) -> None:
        self.request_count += 1
        if self.request_count > 1:
            connection.send_response(200, [], b"")


class PipelinedBodiesTest(ConnectionCase):
    def test_other_client_is_served(self) -> None:
        owner = SlowOwner(MAX_BYTES, body_bytes=0)
        client = self.connect(owner)
        client.sendall(REQUEST)
        wait_for(lambda: owner.request_count == 1)
        for _ in range(9):
            client.sendall(LARGE_REQUEST)
        # Until all of it is read, or dropped.
        time.sleep(0.2)
        other = self.connect(owner)
        other.sendall(LARGE_REQUEST)
        self.assertTrue(other.recv(1_000).startswith(b"HTTP/1.1 200"))
