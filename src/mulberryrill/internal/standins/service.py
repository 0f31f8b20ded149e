"""The plain service stand-in: accepts any method and path and counts executions."""

import hashlib
import threading
import time
from dataclasses import dataclass

from werkzeug.wrappers import Request, Response

from ..history.writer import HistoryWriter
from ..http.server import HttpServer, create_problem
from ..ids import create_id
from ..schema.settings_pb2 import PlainServiceSettings
from .registration import Registration
from .requests import create_json_response, drop_connection, get_non_negative_int, parse_json_object

DEFAULT_MAX_CONCURRENCY = 16
# With these extra threads, /v1/state and /v1/faults respond while all calls are busy.
SPARE_THREADS = 8
DRAIN_TIMEOUT_S = 60.0


@dataclass
class _Faults:
    """Injected faults.

    The next ``reject`` calls are refused before they run; the next ``lose_answers`` calls run, but
    their connection is closed without a response. ``delay_ms`` is added to the time of each call.
    """

    delay_ms: int = 0
    lose_answers: int = 0
    reject: int = 0


class ServiceStandin:
    """Serves calls over HTTP until closed."""

    def __init__(self, settings: PlainServiceSettings) -> None:
        self._settings = settings
        self._incarnation = create_id("inc")
        self._history = HistoryWriter(settings.history_file, settings.id)
        self._faults = _Faults()
        self._lock = threading.Lock()
        self._in_progress = 0
        self._running = 0
        self._executions: dict[str, int] = {}
        self._max_concurrency = settings.max_concurrency or DEFAULT_MAX_CONCURRENCY
        self._slots = threading.BoundedSemaphore(self._max_concurrency)
        threads = 2 * self._max_concurrency + SPARE_THREADS
        self._server = HttpServer(settings.listen, self._handle, threads)
        self._registration: Registration | None = None

    @property
    def port(self) -> int:
        """The bound port."""
        return self._server.port

    def start(self) -> None:
        """Opens the listening socket and registers."""
        self._server.start()
        settings = self._settings
        address = f"http://{settings.listen.host}:{self.port}"
        self._registration = Registration(
            settings.list_url, settings.id, "service", settings.data_centre, address, settings.pool
        )
        self._history.write("started", target=settings.id)
        self._registration.start()

    def close(self) -> None:
        """Announces that it leaves, finishes running calls and stops."""
        self._history.write("leaving", target=self._settings.id)
        if self._registration is not None:
            self._registration.leave()
        deadline = time.monotonic() + DRAIN_TIMEOUT_S
        while self._in_progress and time.monotonic() < deadline:
            time.sleep(0.05)
        if self._registration is not None:
            self._registration.close()
        self._server.close()
        self._history.close()

    def _handle(self, request: Request) -> Response:
        if request.path == "/v1/faults":
            return self._set_faults(request)
        if request.path == "/v1/state" and request.method == "GET":
            return self._describe_state()
        with self._lock:
            rejected = self._faults.reject > 0
            self._faults.reject -= int(rejected)
            self._in_progress += int(not rejected)
        if rejected:
            return create_problem(503, "Rejected", "The service rejected the call before running.")
        try:
            with self._slots:
                return self._execute(request)
        finally:
            with self._lock:
                self._in_progress -= 1

    def _execute(self, request: Request) -> Response:
        with self._lock:
            self._running += 1
            delay_ms = self._settings.service_ms + self._faults.delay_ms
            self._executions[request.path] = self._executions.get(request.path, 0) + 1
        body = request.get_data()
        try:
            self._record_execution(request, body)
            time.sleep(delay_ms / 1000)
        finally:
            with self._lock:
                self._running -= 1
        with self._lock:
            lose_response = self._faults.lose_answers > 0
            self._faults.lose_answers -= int(lose_response)
        if lose_response:
            drop_connection(self._server, request)
        result = {
            "service": self._settings.id,
            "method": request.method,
            "path": request.path,
            "body_sha256": hashlib.sha256(body).hexdigest(),
            "receipt": create_id("receipt"),
        }
        headers = {
            "X-Attempt-Id": request.headers.get("X-Attempt-Id", ""),
            "X-Customer": request.headers.get("X-Customer", ""),
            "X-Incarnation": self._incarnation,
        }
        return create_json_response(result, headers=headers)

    def _record_execution(self, request: Request, body: bytes) -> None:
        self._history.write(
            "execution",
            target=self._settings.id,
            attempt=request.headers.get("X-Attempt-Id", ""),
            request=request.headers.get("X-Request-Id", ""),
            customer=request.headers.get("X-Customer", ""),
            incarnation=self._incarnation,
            version="",
            method=request.method,
            path=request.path,
            body_sha256=hashlib.sha256(body).hexdigest(),
        )

    def _describe_state(self) -> Response:
        with self._lock:
            state = {
                "incarnation": self._incarnation,
                "running": self._running,
                "waiting": self._in_progress - self._running,
                "max_concurrency": self._max_concurrency,
                "models": [],
                "fence": 0,
                "executions": self._executions,
            }
        return create_json_response(state)

    def _set_faults(self, request: Request) -> Response:
        body = parse_json_object(request)
        with self._lock:
            for name in vars(self._faults):
                if name in body:
                    setattr(self._faults, name, get_non_negative_int(body, name))
            return create_json_response(vars(self._faults))
