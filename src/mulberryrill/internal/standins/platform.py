"""The platform stand-in: log service and member list over HTTP, with injected faults."""

import base64
import threading
import time
from dataclasses import dataclass

from werkzeug.exceptions import BadRequest, MethodNotAllowed, NotFound, RequestEntityTooLarge
from werkzeug.wrappers import Request, Response

from ...errors import OffsetExpiredError
from ..clock import Clock, SystemClock
from ..http.server import HttpServer
from ..schema.settings_pb2 import PlatformSettings
from .logstreams import LogStreams
from .memberlist import MemberList
from .requests import create_json_response, drop_connection, get_non_negative_int, parse_json_object

MAX_RECORD_BYTES = 1024 * 1024
MAX_POLL_WAIT_S = 30.0
MAX_RECORDS_PER_READ = 1000
# A long poll checks at this interval whether an outage was injected, so that its reader sees the
# outage soon.
OUTAGE_CHECK_INTERVAL_S = 0.2
# Each waiting long poll occupies a thread.
HTTP_THREADS = 160
DEFAULT_RETENTION_MS = 7 * 24 * 3600 * 1000
DEFAULT_MEMBER_TTL_MS = 10_000
LOG_STATES = ("up", "down", "slow")
LIST_STATES = ("up", "down")


@dataclass
class _Faults:
    """Injected faults; the next ``lose_answers`` appends succeed without a response."""

    log: str = "up"
    delay_ms: int = 0
    lose_answers: int = 0
    list: str = "up"


class PlatformStandin:
    """Serves the platform's HTTP interface until closed."""

    def __init__(self, settings: PlatformSettings, clock: Clock | None = None) -> None:
        clock = clock or SystemClock()
        self._settings = settings
        self._ttl_ms = settings.member_ttl_ms or DEFAULT_MEMBER_TTL_MS
        self._streams = LogStreams(settings.retention_ms or DEFAULT_RETENTION_MS, clock)
        self._members = MemberList(self._ttl_ms / 1000, settings.list_lag_ms / 1000, clock)
        self._faults = _Faults()
        self._lock = threading.Lock()
        self._closing = threading.Event()
        self._server = HttpServer(settings.listen, self._handle, HTTP_THREADS)

    @property
    def port(self) -> int:
        """The bound port."""
        return self._server.port

    def start(self) -> None:
        """Opens the listening socket."""
        self._server.start()

    def close(self) -> None:
        """Ends long polls and stops."""
        self._closing.set()
        self._server.close()

    def _handle(self, request: Request) -> Response:
        parts = request.path.strip("/").split("/")
        if parts == ["v1", "faults"]:
            return self._set_faults(request)
        if len(parts) == 4 and parts[:2] == ["v1", "streams"] and parts[3] == "records":
            self._apply_log_faults(request)
            if request.method == "POST":
                return self._append(request, parts[2])
            return self._read(request, parts[2])
        if parts[:2] == ["v1", "members"] and len(parts) in (2, 3):
            if self._faults.list == "down":
                drop_connection(self._server, request)
            return self._serve_members(request, parts[2:])
        raise NotFound(f"There is no {request.path}.")

    def _set_faults(self, request: Request) -> Response:
        body = parse_json_object(request)
        with self._lock:
            faults = self._faults
            log_state, list_state = body.get("log", faults.log), body.get("list", faults.list)
            if log_state not in LOG_STATES or list_state not in LIST_STATES:
                raise BadRequest('"log" is up, down or slow; "list" is up or down.')
            faults.log, faults.list = str(log_state), str(list_state)
            if "delay_ms" in body:
                faults.delay_ms = get_non_negative_int(body, "delay_ms")
            if "lose_answers" in body:
                faults.lose_answers = get_non_negative_int(body, "lose_answers")
            return create_json_response(vars(faults))

    def _apply_log_faults(self, request: Request) -> None:
        # An outage closes connections, so a client can't tell it from a response that was lost.
        if self._faults.log == "down":
            drop_connection(self._server, request)
        if self._faults.log == "slow":
            time.sleep(self._faults.delay_ms / 1000)

    def _append(self, request: Request, stream: str) -> Response:
        data = request.get_data()
        if len(data) > MAX_RECORD_BYTES:
            raise RequestEntityTooLarge(f"A record has at most {MAX_RECORD_BYTES} bytes.")
        if self._settings.append_ms:
            time.sleep(self._settings.append_ms / 1000)
        offset = self._streams.append(stream, data)
        with self._lock:
            lose_response = self._faults.lose_answers > 0
            self._faults.lose_answers -= int(lose_response)
        if lose_response:
            drop_connection(self._server, request)
        return create_json_response({"offset": offset})

    def _read(self, request: Request, stream: str) -> Response:
        start_offset = _parse_int_argument(request, "from", 0)
        limit = min(
            _parse_int_argument(request, "limit", MAX_RECORDS_PER_READ), MAX_RECORDS_PER_READ
        )
        deadline = time.monotonic() + min(
            _parse_int_argument(request, "wait_ms", 0) / 1000, MAX_POLL_WAIT_S
        )
        while True:
            remaining_s = max(0.0, deadline - time.monotonic())
            try:
                page = self._streams.read(
                    stream, start_offset, limit, min(remaining_s, OUTAGE_CHECK_INTERVAL_S)
                )
            except OffsetExpiredError as error:
                return create_json_response({"first": error.first_offset}, status=410)
            if self._faults.log == "down":
                drop_connection(self._server, request)
            if page.records or remaining_s <= OUTAGE_CHECK_INTERVAL_S or self._closing.is_set():
                break
        records = [
            {
                "offset": record.offset,
                "time_ms": record.time_ms,
                "data": base64.b64encode(record.data).decode("ascii"),
            }
            for record in page.records
        ]
        return create_json_response(
            {"first": page.first_offset, "next": page.next_offset, "records": records}
        )

    def _serve_members(self, request: Request, id_parts: list[str]) -> Response:
        if not id_parts and request.method == "GET":
            response = create_json_response({"members": self._members.list_visible()})
            response.add_etag()
            response.make_conditional(request)
            return response
        if id_parts and request.method == "PUT":
            self._members.register(id_parts[0], {**parse_json_object(request), "id": id_parts[0]})
            return create_json_response(
                {"ttl_ms": self._ttl_ms, "list_lag_ms": self._settings.list_lag_ms}
            )
        if id_parts and request.method == "DELETE":
            self._members.remove(id_parts[0])
            return create_json_response({})
        raise MethodNotAllowed(description=f"{request.method} is not possible here.")


def _parse_int_argument(request: Request, name: str, default: int) -> int:
    text = request.args.get(name, str(default))
    if not text.isdecimal():
        raise BadRequest(f"{name} must be a whole number of at least 0.")
    return int(text)
