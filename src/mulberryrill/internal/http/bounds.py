"""Bounds on what a server may send before its response counts as broken.

A server in trouble may send bytes without end that are no answer: in a head, between two responses
or in an event. Without a bound they fill the memory of the process and keep its event loop busy.
"""

# Bytes that are neither a head that ends nor part of a body: head, informational responses, chunk
# extensions and trailers. Servers of models send heads of about 1 KB; common proxies allow 64 KiB.
MAX_HEAD_BYTES = 65_536
# Bytes of responses to earlier requests that are read and dropped to reach the expected one.
MAX_DISCARDED_BYTES = 1_048_576
# One server-sent event. An event with several hundred tokens has about 100 KB.
MAX_EVENT_BYTES = 1_048_576
# Bodies of requests that the system makes for itself, such as reports, orders and cache events.
MAX_CONTROL_BODY_BYTES = 4_194_304
# Bodies of the platform's store: a page has at most 1 MB of records, which base64 makes larger.
MAX_STORE_BODY_BYTES = 8_388_608
# A head or an event that has begun is sent at once; it takes longer only if packets are lost.
MAX_ELEMENT_S = 3.0
