"""Types that the gateway's parts share."""

from collections.abc import Callable

from ..schema.wire_pb2 import Envelope

# Sends a message to the control process; only its body needs to be set.
SendMessage = Callable[[Envelope], None]
