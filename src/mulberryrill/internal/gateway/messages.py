"""Types shared by the gateway's modules."""

from collections.abc import Callable

from ..schema.wire_pb2 import Envelope

# Sends a message to the control process; the sender and sequence number are added later.
SendMessage = Callable[[Envelope], None]
