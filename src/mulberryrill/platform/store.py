"""Client of the platform's store: a log with topics, and the newest record of each key.

Calls run on the event loop; each ends with one callback. Nothing is repeated here: whether a call
is made again is for its caller to decide.
"""

import base64
import json
import struct
from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus
from typing import TypeVar
from urllib.parse import urlencode

from ..errors import StoreCallError
from ..internal.entry.connection import ExchangeFailure, FailureKind
from ..internal.entry.exchange import ExchangeResponse, send_request
from ..internal.entry.pool import ConnectionPool
from ..internal.eventloop import EventLoop
from ..internal.http.messages import Header, encode_request
from ..internal.ids import Offset

# Topics with the newest record of each key: operators' wishes and registered targets.
OPERATOR_TOPIC = "keyed.op"
REGISTRY_TOPIC = "keyed.servers"
PARTITION = 0
# The store answers in a few milliseconds; a slow one is still waited for.
CALL_TIMEOUT_S = 2.0
# Time for the answer of a read after its wait.
READ_TIMEOUT_MARGIN_S = 0.8
MAX_READ_KB = 1024
# Longest part of an error answer that is logged.
MAX_DETAIL_BYTES = 200
_READ_HEAD = struct.Struct(">QQ")
_LENGTH = struct.Struct(">I")
_JSON: Header = (b"content-type", b"application/json")


@dataclass(frozen=True)
class KeyedRecord:
    """One record of a keyed topic; ``value`` is None where the key was deleted."""

    key: str
    value: bytes | None
    offset: Offset


@dataclass(frozen=True)
class RecordPage:
    """Records in order, and the offset at which the partition ends."""

    records: tuple[KeyedRecord, ...]
    end: Offset


@dataclass(frozen=True)
class RawPage:
    """Records of a topic without keys, with the offset of the first one."""

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
    """Makes calls to the store over kept connections."""

    def __init__(self, loop: EventLoop, address: str) -> None:
        self._loop = loop
        self._address = address
        self._pool = ConnectionPool(loop, address, CALL_TIMEOUT_S)

    def close(self) -> None:
        """Closes the connections."""
        self._pool.close()

    def read_newest(self, topic: str, done: ResultCallback[RecordPage]) -> None:
        """Reports the newest record of each key, over all pages."""
        self._read_newest_page(topic, None, [], None, done)

    def read_keyed(
        self, topic: str, start: Offset, wait_s: float, done: ResultCallback[RecordPage]
    ) -> None:
        """Reports the records from an offset on, waiting up to ``wait_s`` for a first one.

        Status 410 means that older records are gone: the newest ones must be read instead.
        """

        def decode(data: bytes) -> RecordPage:
            page = _decode_records(data, start)
            records = tuple(
                _decode_keyed(raw, Offset(page.first_offset + i))
                for i, raw in enumerate(page.records)
            )
            return RecordPage(records, page.end)

        self._get("/-/log-read", _write_read_query(topic, start, wait_s), decode, done, wait_s)

    def append_keyed(
        self, topic: str, key: str, value: bytes, at: Offset, done: ResultCallback[Offset]
    ) -> None:
        """Appends a record if the partition ends at ``at``; reports its offset."""
        query = urlencode({"topic": topic, "part": PARTITION, "at": at})
        record = bytes([len(key)]) + key.encode() + value
        body = _LENGTH.pack(len(record)) + record
        self._post(
            f"/-/log-append?{query}", body, lambda data: Offset(json.loads(data)["offset"]), done
        )

    def join_group(
        self,
        group: str,
        member: str,
        topics: list[str],
        ttl_s: float,
        generation: int,
        done: ResultCallback[int],
    ) -> None:
        """Joins a group or stays in it; reports its generation, which changes with its members."""
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
        """Reports the members that own partitions of the group's topics."""

        def decode(data: bytes) -> set[str]:
            answer = json.loads(data)
            rows = answer["parts"] if isinstance(answer, dict) else answer
            return {row[2] for row in rows if row[2]}

        self._get("/-/log-owners", {"group": group}, decode, done)

    def _read_newest_page(
        self,
        topic: str,
        after: str | None,
        records: list[KeyedRecord],
        first_end: Offset | None,
        done: ResultCallback[RecordPage],
    ) -> None:
        query: dict[str, object] = {"topic": topic, "part": PARTITION}
        if after is not None:
            query["after"] = after

        def collect(page: _NewestPage | StoreCallError) -> None:
            if isinstance(page, StoreCallError):
                done(page)
                return
            records.extend(page.records)
            # Pages are no snapshot: what changes while they are read follows the first page's end.
            end = first_end if first_end is not None else page.end
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
        headers = [(b"host", self._address.encode()), _JSON]
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
        def finish(result: ExchangeResponse | ExchangeFailure) -> None:
            if isinstance(result, ExchangeFailure):
                # A refused connection means that nothing was done.
                in_doubt = is_write and result.kind is not FailureKind.CONNECT
                done(StoreCallError(f"store: {result.message}", 0, in_doubt))
            elif result.status != HTTPStatus.OK:
                # Every answer but 200 means that nothing was done.
                detail = result.body[:MAX_DETAIL_BYTES].decode("latin-1")
                message = f"store: {result.status} {detail}"
                done(StoreCallError(message, result.status, in_doubt=False))
            else:
                done(_try_decode(result.body))

        def _try_decode(body: bytes) -> T | StoreCallError:
            try:
                return decode(body)
            except (ValueError, KeyError, IndexError, TypeError, struct.error) as error:
                return StoreCallError(
                    f"store: unreadable answer: {error!r}", HTTPStatus.OK, is_write
                )

        send_request(self._loop, self._pool, request, timeout_s, finish)


def _write_read_query(topic: str, start: Offset, wait_s: float) -> dict[str, object]:
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
    end, first_kept = _READ_HEAD.unpack_from(data)
    position = _READ_HEAD.size
    records = []
    while position + _LENGTH.size <= len(data):
        (length,) = _LENGTH.unpack_from(data, position)
        position += _LENGTH.size
        records.append(data[position : position + length])
        position += length
    return RawPage(Offset(max(start, first_kept)), tuple(records), Offset(end))


def _decode_keyed(raw: bytes, offset: Offset) -> KeyedRecord:
    length = raw[0] if raw else 0
    key = raw[1 : 1 + length].decode("utf-8", "replace")
    value = raw[1 + length :]
    return KeyedRecord(key, value or None, offset)
