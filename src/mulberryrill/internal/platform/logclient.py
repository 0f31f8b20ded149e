"""Client of the platform's log service."""

import base64
import binascii
from dataclasses import dataclass
from urllib.parse import quote

from ...errors import (
    AppendInDoubtError,
    HttpError,
    OffsetExpiredError,
    PlatformError,
)
from ..core.messages import Record
from ..core.records import MAX_RECORD_BYTES
from ..httpclient import HttpClient, HttpResponse
from ..ids import Offset

APPEND_TIMEOUT_S = 5.0
# Added to the long poll's wait, so that only an unresponsive server causes a timeout.
READ_TIMEOUT_MARGIN_S = 5.0
_FIRST_CLIENT_ERROR = 400
_FIRST_SERVER_ERROR = 500
_HTTP_GONE = 410


@dataclass(frozen=True)
class LogPage:
    """Records in offset order.

    ``first_offset`` is the oldest offset kept, ``next_offset`` that of the next append.
    """

    first_offset: Offset
    next_offset: Offset
    records: tuple[Record, ...]


class LogClient:
    """One connection to the log. Not thread-safe: each task owns its client."""

    def __init__(self, url: str, ca_file: str = "") -> None:
        self._url = url.rstrip("/")
        self._http = HttpClient(ca_file)

    def close(self) -> None:
        """Closes the connection."""
        self._http.close()

    def append(self, stream: str, data: bytes, timeout_s: float = APPEND_TIMEOUT_S) -> Offset:
        """Appends one record and returns its offset.

        Raises AppendInDoubtError if the record may be in the log, PlatformError if it is not.
        """
        if len(data) > MAX_RECORD_BYTES:
            raise PlatformError(
                f"a record of {len(data)} bytes exceeds the log's limit of {MAX_RECORD_BYTES}"
            )
        headers = {"Content-Type": "application/octet-stream"}
        try:
            response = self._http.send(
                "POST", self._build_records_url(stream), data, headers, timeout_s=timeout_s
            )
        except HttpError as error:
            if error.sent:
                raise AppendInDoubtError(f"append without a response: {error}") from error
            raise PlatformError(f"append not sent: {error}") from error
        if _FIRST_CLIENT_ERROR <= response.status < _FIRST_SERVER_ERROR:
            raise PlatformError(f"append refused with status {response.status}")
        try:
            return Offset(int(str(_parse_object(response)["offset"])))
        except (PlatformError, KeyError, TypeError, ValueError) as error:
            raise AppendInDoubtError(
                f"append with an unusable response, status {response.status}"
            ) from error

    def read(self, stream: str, start: Offset, limit: int, wait_s: float) -> LogPage:
        """Returns records from ``start`` on, waiting up to ``wait_s`` for the first one.

        Raises OffsetExpiredError if ``start`` is no longer kept, else PlatformError.
        """
        query = f"from={start}&limit={limit}&wait_ms={int(wait_s * 1000)}"
        url = f"{self._build_records_url(stream)}?{query}"
        try:
            response = self._http.send("GET", url, timeout_s=wait_s + READ_TIMEOUT_MARGIN_S)
        except HttpError as error:
            raise PlatformError(f"log read failed: {error}") from error
        if response.status == _HTTP_GONE:
            raise OffsetExpiredError(_parse_first_offset(response))
        if response.status != 200:
            raise PlatformError(f"log read refused with status {response.status}")
        return _parse_page(response)

    def _build_records_url(self, stream: str) -> str:
        return f"{self._url}/v1/streams/{quote(stream, safe='')}/records"


def _parse_object(response: HttpResponse) -> dict[str, object]:
    try:
        body = response.parse_json()
    except HttpError as error:
        raise PlatformError(str(error)) from error
    if response.status != 200 and response.status != _HTTP_GONE:
        raise PlatformError(f"status {response.status}")
    if not isinstance(body, dict):
        raise PlatformError("response is not a JSON object")
    return body


def _parse_first_offset(response: HttpResponse) -> int:
    first_offset = _parse_object(response).get("first")
    if not isinstance(first_offset, int):
        raise PlatformError("status 410 without the first offset")
    return first_offset


def _parse_page(response: HttpResponse) -> LogPage:
    body = _parse_object(response)
    try:
        records = tuple(_parse_record(item) for item in body["records"])  # type: ignore[attr-defined]
        first_offset, next_offset = int(body["first"]), int(body["next"])  # type: ignore[call-overload]
    except (KeyError, TypeError, ValueError, binascii.Error) as error:
        raise PlatformError(f"malformed log page: {error!r}") from error
    return LogPage(Offset(first_offset), Offset(next_offset), records)


def _parse_record(item: dict[str, object]) -> Record:
    return Record(
        offset=Offset(int(item["offset"])),  # type: ignore[call-overload]
        time_ms=int(item["time_ms"]),  # type: ignore[call-overload]
        data=base64.b64decode(str(item["data"]), validate=True),
    )
