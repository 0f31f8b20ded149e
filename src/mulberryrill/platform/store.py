"""Client of the platform's store: a log with topics, and the newest record of each key.

Calls run on the event loop; each invokes its callback once. The client never retries: its caller
decides whether a call is made again.
"""

import base64
import json
import logging
import re
import struct
from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus
from typing import TypeVar
from urllib.parse import urlencode

from ..errors import StoreCallError
from ..internal.core.serving.keyedrecords import KeyedRecord, RecordPage
from ..internal.entry.connection import ExchangeFailure, FailureKind
from ..internal.entry.exchange import ExchangeResponse, send_request
from ..internal.entry.originrecords import BatchPage
from ..internal.entry.pool import ConnectionPool
from ..internal.eventloop import EventLoop
from ..internal.events import Event
from ..internal.http.bounds import MAX_STORE_BODY_BYTES
from ..internal.http.messages import Header, encode_request
from ..internal.ids import Offset, StoreEra
from ..internal.logs import log_event
from .records import DECODE_ERRORS

# Keyed topics, of which the store keeps the newest record of each key: operators' settings and
# registered targets.
OPERATOR_TOPIC = "keyed.op"
REGISTRY_TOPIC = "keyed.servers"
# The entry instances' own topic: traits of calls that are refused because targets end under them.
QUARANTINE_TOPIC = "keyed.quarantine"
# Keys with this prefix in the same topic: the default software version of each service.
DEFAULT_VERSION_PREFIX = "software/"
# What the system tells operators: the status of each service's rollout.
STATUS_TOPIC = "keyed.status"
# The entry instances' own log of the software versions that began streams.
STREAM_TOPIC = "streams"
PARTITION = 0
# In each response of the store. Rises by one when the store comes back from an older copy: it has
# lost what it acknowledged last, and gives out offsets again. The platform calls it "Store-Era".
ERA_HEADER = b"store-era"
# The store usually responds in a few milliseconds; the timeout allows for a slow one.
CALL_TIMEOUT_S = 2.0
# Time for the response, on top of the time that a read waits for records.
READ_TIMEOUT_MARGIN_S = 0.8
MAX_READ_KB = 1024
# Longest part of an error response that is logged.
MAX_DETAIL_BYTES = 200
# End of the partition, offset of the oldest record kept.
_READ_RESPONSE_HEADER = struct.Struct(">QQ")
_LENGTH_PREFIX = struct.Struct(">I")
_OLDEST_OFFSET_PATTERN = re.compile(r'"first"\s*:\s*([0-9]{1,18})')
_LOGGER = logging.getLogger(__name__)
_JSON_CONTENT_TYPE: Header = (b"content-type", b"application/json")


@dataclass(frozen=True)
class RawPage:
    """Undecoded records in order, with the offset of the first one."""

    first_offset: Offset
    records: tuple[bytes, ...]
    end: Offset


@dataclass(frozen=True)
class _NewestPage:
    records: tuple[KeyedRecord, ...]
    has_more: bool
    end: Offset


T = TypeVar("T")
ResultCallback = Callable[[T | StoreCallError], None]


class StoreClient:
    """Makes calls to the store over persistent connections."""

    def __init__(self, loop: EventLoop, address: str) -> None:
        # The highest era of any response; None: no response stated one.
        self.era: StoreEra | None = None
        self._loop = loop
        self._address = address
        self._pool = ConnectionPool(loop, address, CALL_TIMEOUT_S)

    def close(self) -> None:
        """Closes the connections."""
        self._pool.close()

    def read_newest(self, topic: str, done: ResultCallback[RecordPage]) -> None:
        """Reports the newest record of each key, from all pages."""
        self._read_newest_page(topic, None, [], None, done)

    def read_keyed(
        self, topic: str, start: Offset, wait_s: float, done: ResultCallback[RecordPage]
    ) -> None:
        """Reports the records from offset ``start`` on, waiting up to ``wait_s`` for the first one.

        Status 410 means that older records were deleted: call ``read_newest`` instead.
        """

        def decode(data: bytes) -> RecordPage:
            page = _decode_records(data, start)
            records = tuple(
                _decode_keyed_record(raw, Offset(page.first_offset + i))
                for i, raw in enumerate(page.records)
            )
            return RecordPage(records, page.end)

        self._get("/-/log-read", _build_read_query(topic, start, wait_s), decode, done, wait_s)

    def append_keyed(
        self,
        topic: str,
        key: str,
        value: bytes,
        expected_end: Offset | None,
        done: ResultCallback[Offset],
    ) -> None:
        """Appends a record and reports its offset.

        With ``expected_end``, only if the partition ends there.
        """
        condition = {} if expected_end is None else {"at": expected_end}
        query = urlencode({"topic": topic, "part": PARTITION, **condition})
        record = bytes([len(key)]) + key.encode() + value
        body = _LENGTH_PREFIX.pack(len(record)) + record
        self._post(
            f"/-/log-append?{query}", body, lambda data: Offset(json.loads(data)["offset"]), done
        )

    def append_batch(self, partition: int, batch: bytes, done: ResultCallback[Offset]) -> None:
        """Appends a batch of stream records and reports its offset."""
        query = urlencode({"topic": STREAM_TOPIC, "part": partition})
        body = _LENGTH_PREFIX.pack(len(batch)) + batch
        self._post(
            f"/-/log-append?{query}", body, lambda data: Offset(json.loads(data)["offset"]), done
        )

    def read_batches(self, partition: int, start: Offset, done: ResultCallback[BatchPage]) -> None:
        """Reports batches of stream records from an offset, or from the oldest one that is kept."""

        def decode(data: bytes) -> BatchPage:
            page = _decode_records(data, start)
            end = Offset(page.first_offset + len(page.records))
            return BatchPage(page.records, end, bool(page.records) and end < page.end)

        def on_result(result: BatchPage | StoreCallError) -> None:
            is_gone = isinstance(result, StoreCallError) and result.status == HTTPStatus.GONE
            first = _find_oldest_offset(str(result)) if is_gone else None
            if first is None or first <= start:
                done(result)
            else:
                self.read_batches(partition, first, done)

        query = {"topic": STREAM_TOPIC, "part": partition, "from": start, "max_kb": MAX_READ_KB}
        self._get("/-/log-read", query, decode, on_result)

    def join_group(
        self,
        group: str,
        member: str,
        topics: list[str],
        ttl_s: float,
        generation: int,
        done: ResultCallback[int],
    ) -> None:
        """Joins a group or renews the membership.

        Reports the group's generation, which changes with its members.
        """
        body = {
            "group": group,
            "member": member,
            "topics": topics,
            "ttl_ms": int(ttl_s * 1000),
            "generation": generation,
        }
        self._post(
            "/-/log-join",
            json.dumps(body).encode(),
            lambda data: int(json.loads(data)["generation"]),
            done,
        )

    def list_members(self, group: str, done: ResultCallback[set[str]]) -> None:
        """Reports the members of a group that own partitions of its topics."""

        def decode(data: bytes) -> set[str]:
            response = json.loads(data)
            rows = response["parts"] if isinstance(response, dict) else response
            return {row[2] for row in rows if row[2]}

        self._get("/-/log-owners", {"group": group}, decode, done)

    def _read_newest_page(
        self,
        topic: str,
        after: str | None,
        records: list[KeyedRecord],
        first_page_end: Offset | None,
        done: ResultCallback[RecordPage],
    ) -> None:
        query: dict[str, object] = {"topic": topic, "part": PARTITION}
        if after is not None:
            query["after"] = after
        era = self.era

        def collect(page: _NewestPage | StoreCallError) -> None:
            if isinstance(page, StoreCallError):
                done(page)
                return
            if after is not None and self.era != era:
                done(StoreCallError("store: restored between two pages", 0, in_doubt=False))
                return
            records.extend(page.records)
            # The pages are not one consistent snapshot: changes made while they are read come after
            # the end that the first page states.
            end = first_page_end if first_page_end is not None else page.end
            if page.has_more and page.records:
                self._read_newest_page(topic, page.records[-1].key, records, end, done)
            else:
                done(RecordPage(tuple(records), end))

        self._get("/-/log-newest", query, _decode_newest, collect)

    def _get(
        self,
        path: str,
        query: dict[str, object],
        decode: Callable[[bytes], T],
        done: ResultCallback[T],
        wait_s: float = 0.0,
    ) -> None:
        target = f"{path}?{urlencode(query)}".encode()
        request = encode_request(b"GET", target, [(b"host", self._address.encode())])
        self._call(
            request,
            decode,
            done,
            is_write=False,
            timeout_s=max(CALL_TIMEOUT_S, wait_s + READ_TIMEOUT_MARGIN_S),
        )

    def _post(
        self, target: str, body: bytes, decode: Callable[[bytes], T], done: ResultCallback[T]
    ) -> None:
        headers = [(b"host", self._address.encode()), _JSON_CONTENT_TYPE]
        request = encode_request(b"POST", target.encode(), headers, body)
        self._call(request, decode, done, is_write=True, timeout_s=CALL_TIMEOUT_S)

    def _call(
        self,
        request: bytes,
        decode: Callable[[bytes], T],
        done: ResultCallback[T],
        *,
        is_write: bool,
        timeout_s: float,
    ) -> None:
        def on_result(result: ExchangeResponse | ExchangeFailure) -> None:
            if isinstance(result, ExchangeFailure):
                # Without a connection, nothing was written.
                in_doubt = is_write and result.kind is not FailureKind.CONNECT
                done(StoreCallError(f"store: {result.message}", 0, in_doubt))
            elif not self._record_era(result):
                # It may have been on its way since before the store was restored.
                done(StoreCallError("store: response of an earlier era", 0, is_write))
            elif result.status != HTTPStatus.OK:
                # Any status but 200 means that nothing was written.
                detail = result.body[:MAX_DETAIL_BYTES].decode("latin-1")
                message = f"store: {result.status} {detail}"
                done(StoreCallError(message, result.status, in_doubt=False))
            else:
                done(_try_decode(result.body))

        def _try_decode(body: bytes) -> T | StoreCallError:
            try:
                return decode(body)
            except DECODE_ERRORS as error:
                return StoreCallError(
                    f"store: unreadable response: {error!r}", HTTPStatus.OK, is_write
                )

        send_request(self._loop, self._pool, request, timeout_s, on_result, MAX_STORE_BODY_BYTES)

    def _record_era(self, response: ExchangeResponse) -> bool:
        """Records a response's era; returns False if it is older than that of another response."""
        value = response.response.get(ERA_HEADER)
        if value is None or not value.isdigit():
            return True
        era = StoreEra(int(value))
        if self.era is not None and era > self.era:
            log_event(
                _LOGGER,
                logging.WARNING,
                Event.LOG_RESTORED,
                "the store came back from an older copy",
                era=era,
                previous=self.era,
            )
        self.era = era if self.era is None else max(self.era, era)
        return era == self.era


def _build_read_query(topic: str, start: Offset, wait_s: float) -> dict[str, object]:
    query: dict[str, object] = {
        "topic": topic,
        "part": PARTITION,
        "from": start,
        "max_kb": MAX_READ_KB,
    }
    if wait_s > 0:
        query["wait_ms"] = int(wait_s * 1000)
    return query


def _decode_newest(data: bytes) -> _NewestPage:
    page = json.loads(data)
    records = tuple(
        KeyedRecord(
            item["key"],
            base64.b64decode(item["value"]) if item.get("value") is not None else None,
            Offset(item["offset"]),
        )
        for item in page["items"]
    )
    return _NewestPage(records, bool(page.get("more")), Offset(page["end"]))


def _decode_records(data: bytes, start: Offset) -> RawPage:
    end, oldest_offset = _READ_RESPONSE_HEADER.unpack_from(data)
    position = _READ_RESPONSE_HEADER.size
    records = []
    while position + _LENGTH_PREFIX.size <= len(data):
        (length,) = _LENGTH_PREFIX.unpack_from(data, position)
        position += _LENGTH_PREFIX.size
        records.append(data[position : position + length])
        position += length
    return RawPage(Offset(max(start, oldest_offset)), tuple(records), Offset(end))


def _find_oldest_offset(message: str) -> Offset | None:
    """Returns the oldest offset that a response names whose records were deleted."""
    match = _OLDEST_OFFSET_PATTERN.search(message)
    return Offset(int(match.group(1))) if match else None


def _decode_keyed_record(raw: bytes, offset: Offset) -> KeyedRecord:
    length = raw[0] if raw else 0
    key = raw[1 : 1 + length].decode("utf-8", "replace")
    value = raw[1 + length :]
    return KeyedRecord(key, value or None, offset)
