"""Guards against a complete request that gets no response when the memory account is full.

Only requests that were not complete were refused with 503. One that arrived as a whole, as those of
ordinary callers do, was dropped with its connection.
"""

from mulberryrill.internal.core.memoryaccount import CONNECTION_BYTES
from tests.regressions.test_sent_bytes_stay_charged import ConnectionCase, Owner

BODY_BYTES = 2_000


class FullAccountTest(ConnectionCase):
    def test_complete_request_is_refused_as_not_run(self) -> None:
        owner = Owner(CONNECTION_BYTES + BODY_BYTES, body_bytes=0)
        client = self.connect(owner)
        head = b"POST / HTTP/1.1\r\ncontent-length: %d\r\n\r\n" % BODY_BYTES
        client.sendall(head + bytes(BODY_BYTES))
        self.assertTrue(client.recv(65_536).startswith(b"HTTP/1.1 503"))
        self.assertEqual(owner.request_count, 0)
