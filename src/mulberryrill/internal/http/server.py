"""An HTTP server: an event loop owns the connections, a bounded pool runs the handlers.

A connection takes a thread only while a whole request of it is handled, so callers that send
slowly or not at all keep no other caller waiting.
"""

import io
import json
import logging
import socket
import ssl
import sys
import threading
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import Any
from urllib.parse import unquote_to_bytes

from werkzeug.exceptions import HTTPException
from werkzeug.wrappers import Request, Response

from ..clock import SystemClock
from ..core.serving.routetable import CallerLimits
from ..eventloop import EventLoop
from ..events import Event
from ..ids import Executed
from ..logs import log_event
from ..schema.settings_pb2 import Listen
from .caller import MAX_BUFFERED_BYTES, InboundConnection
from .listener import Listener
from .messages import Header, HttpRequest, RequestErrorReason, encode_headers
from .tls import create_server_context

Handler = Callable[[Request], Response]

PROBLEM_CONTENT_TYPE = "application/problem+json"
MAX_HEAD_BYTES = 32 * 1024
MAX_BODY_BYTES = 16 * 1024 * 1024
# From a request's first byte to its last; long enough for the largest body at 2.5 Mbit/s.
REQUEST_TIMEOUT_S = 60.0
IDLE_TIMEOUT_S = 60.0
# A connection's next request may still be on its way when the server stops accepting.
STOP_IDLE_S = 1.0
# A request that is not complete this long after the server stopped accepting gets no answer.
STOP_READ_S = 5.0
CLOSE_POLL_S = 0.02
_CALLER_KEY = "mulberryrill.caller"
_LOGGER = logging.getLogger(__name__)


class DetachedConnectionError(ConnectionError):
    """Raised by a handler after which another part answers or owns the connection."""


def create_problem(
    status: int,
    title: str,
    detail: str,
    executed: Executed = Executed.NO,
    extra: dict[str, object] | None = None,
) -> Response:
    """Returns a problem document (RFC 9457) that says what to do and whether the call ran."""
    body = {
        "type": "about:blank",
        "status": status,
        "title": title,
        "detail": detail,
        "executed": executed.value,
        **(extra or {}),
    }
    return Response(json.dumps(body), status=status, content_type=PROBLEM_CONTENT_TYPE)


class HttpServer:
    """Serves one handler on one address until closed."""

    def __init__(
        self,
        listen: Listen,
        handler: Handler,
        threads: int = 8,
        *,
        loop: EventLoop | None = None,
        keeps_connections: bool = False,
        max_body_bytes: int = MAX_BODY_BYTES,
        max_buffered_bytes: int = MAX_BUFFERED_BYTES,
    ) -> None:
        """``loop`` is a running loop of the owner's; without one the server runs its own."""
        self.limits = CallerLimits(
            MAX_HEAD_BYTES, max_body_bytes, REQUEST_TIMEOUT_S, IDLE_TIMEOUT_S
        )
        self._listen = listen
        self._handler = handler
        self._threads = threads
        self._keeps_connections = keeps_connections
        self._max_buffered_bytes = max_buffered_bytes
        self._loop = loop or EventLoop(SystemClock(), "http")
        self._owns_loop = loop is None
        self._listener = Listener(
            self._loop, f"{listen.host}:{listen.port}", self._accept, reuse_port=True
        )
        self._tls: ssl.SSLContext | None = None
        self._port = listen.port
        self._pool: ThreadPoolExecutor | None = None
        self._callers: set[InboundConnection] = set()
        self._is_accepting = False

    @property
    def port(self) -> int:
        """The bound port, useful when the settings ask for port 0."""
        return self._port

    @property
    def is_stopping(self) -> bool:
        """Whether connections should be closed after their answers."""
        return not self._keeps_connections or not self._is_accepting

    def start(self) -> None:
        """Binds the address and accepts connections; raises OSError if it cannot be bound."""
        if self._listen.tls_certificate:
            self._tls = create_server_context(self._listen.tls_certificate, self._listen.tls_key)
        self._listener.open()
        self._port = self._listener.port
        self._pool = ThreadPoolExecutor(self._threads, thread_name_prefix="http")
        self._is_accepting = True
        if self._owns_loop:
            self._loop.start()
        self._loop.post(self._listener.start)

    def stop_accepting(self) -> None:
        """Closes the listening socket and idle connections; requests under way go on."""
        if self._is_accepting:
            self._run(self._stop)

    def close(self) -> None:
        """Stops accepting, waits for running handlers and closes the connections."""
        if self._pool is None:
            return
        self.stop_accepting()
        self._wait_while(lambda caller: caller.is_reading)
        self._run(lambda: self._close_where(lambda caller: caller.is_reading))
        self._pool.shutdown(wait=True)
        self._pool = None
        if self._owns_loop:
            self._wait_while(lambda caller: caller.buffered_bytes > 0)
            self._run(lambda: self._close_where(lambda caller: True))
            self._loop.close()

    def get_connection(self, request: Request) -> InboundConnection:
        """Returns the connection of a request that its handler's owner answers later, on the
        loop's thread; the handler must then raise DetachedConnectionError."""
        caller: InboundConnection = request.environ[_CALLER_KEY]
        return caller

    def detach(self, request: Request) -> socket.socket:
        """Takes a request's socket out of the server, as a blocking one; its handler must then
        raise DetachedConnectionError. Raises ConnectionError if the caller has gone."""
        caller = self.get_connection(request)
        sockets: list[socket.socket] = []

        def release() -> None:
            if not caller.is_closed:
                sockets.append(caller.detach())

        self._run(release)
        if not sockets:
            raise DetachedConnectionError("the caller has gone")
        sockets[0].setblocking(True)
        return sockets[0]

    def on_request(self, caller: InboundConnection, request: HttpRequest) -> None:
        """Queues a request for a thread of the pool."""
        if self._pool is not None:
            self._pool.submit(self._handle, caller, request)

    def on_invalid_request(self, caller: InboundConnection, reason: RequestErrorReason) -> None:
        """Refuses bytes that are no acceptable request and ends their connection."""
        limits = self.limits
        title, detail = {
            RequestErrorReason.MALFORMED: ("Bad request", "The bytes are no HTTP/1.1 request."),
            RequestErrorReason.BODY_TOO_LARGE: (
                "Body too large",
                f"A body has at most {limits.max_body_bytes} bytes.",
            ),
            RequestErrorReason.HEAD_TOO_LARGE: (
                "Head too large",
                f"A request's head has at most {limits.max_head_bytes} bytes.",
            ),
        }[reason]
        caller.reject_request(*_encode(create_problem(reason.value, title, detail)))

    def on_closed(self, caller: InboundConnection) -> None:
        """Forgets a connection that has ended."""
        self._callers.discard(caller)

    def _run(self, task: Callable[[], None]) -> None:
        """Runs a task on the loop and waits for it; must not be called on the loop's thread."""
        done = threading.Event()

        def run() -> None:
            try:
                task()
            finally:
                done.set()

        self._loop.post(run)
        done.wait()

    def _accept(self, sock: socket.socket) -> None:
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            if self._tls is not None:
                sock = self._tls.wrap_socket(sock, server_side=True, do_handshake_on_connect=False)
        except OSError as error:
            log_event(_LOGGER, logging.DEBUG, Event.HTTP_HANDLER_FAILED, f"connection: {error}")
            sock.close()
            return
        caller = InboundConnection(self._loop, sock, self, self._max_buffered_bytes)
        self._callers.add(caller)
        caller.start()

    def _stop(self) -> None:
        self._listener.close()
        self._is_accepting = False
        self._loop.call_later(STOP_IDLE_S, lambda: self._close_where(lambda caller: caller.is_idle))

    def _close_where(self, accepts: Callable[[InboundConnection], bool]) -> None:
        """Closes some of the connections; runs on the loop's thread."""
        for caller in list(self._callers):
            if accepts(caller):
                caller.close()

    def _wait_while(self, accepts: Callable[[InboundConnection], bool]) -> None:
        """Waits until a condition holds for no connection; the slowest ones are not waited for."""
        end = time.monotonic() + STOP_READ_S
        while self._count(accepts) and time.monotonic() < end:
            time.sleep(CLOSE_POLL_S)

    def _count(self, accepts: Callable[[InboundConnection], bool]) -> int:
        counts: list[int] = []
        self._run(lambda: counts.append(sum(map(accepts, self._callers))))
        return counts[0]

    def _handle(self, caller: InboundConnection, request: HttpRequest) -> None:
        if caller.is_closed:
            return
        try:
            response = self._answer(caller, request)
        except DetachedConnectionError:
            return
        status, headers, body = _encode(response)
        self._loop.post(lambda: caller.send_response(status, headers, body))

    def _answer(self, caller: InboundConnection, request: HttpRequest) -> Response:
        try:
            return self._handler(Request(self._build_environ(caller, request)))
        except HTTPException as error:
            detail = error.description or "see the status"
            return create_problem(error.code or 500, error.name, detail)
        except DetachedConnectionError:
            raise
        except Exception as error:  # One bad request must not take others with it.
            log_event(
                _LOGGER, logging.ERROR, Event.HTTP_HANDLER_FAILED, f"handler failed: {error!r}"
            )
            return create_problem(
                500, "Internal error", "Report this with the request id.", Executed.UNKNOWN
            )

    def _build_environ(self, caller: InboundConnection, request: HttpRequest) -> dict[str, Any]:
        """Returns the request as WSGI (PEP 3333) describes it."""
        target = request.target.decode("latin-1")
        path, _, query = target.partition("?")
        environ: dict[str, Any] = {
            "REQUEST_METHOD": request.method.decode("latin-1"),
            "SCRIPT_NAME": "",
            "PATH_INFO": unquote_to_bytes(path.encode("latin-1")).decode("latin-1"),
            "QUERY_STRING": query,
            "REQUEST_URI": target,
            "RAW_URI": target,
            "SERVER_NAME": self._listen.host,
            "SERVER_PORT": str(self._port),
            "SERVER_PROTOCOL": "HTTP/1.1" if request.is_http11 else "HTTP/1.0",
            "CONTENT_LENGTH": str(len(request.body)),
            "wsgi.version": (1, 0),
            "wsgi.url_scheme": "http" if self._tls is None else "https",
            "wsgi.input": io.BytesIO(request.body),
            "wsgi.input_terminated": True,
            "wsgi.errors": sys.stderr,
            "wsgi.multithread": True,
            "wsgi.multiprocess": False,
            "wsgi.run_once": False,
            _CALLER_KEY: caller,
        }
        for name, value in request.headers:
            _add_header(environ, name.decode("latin-1"), value.decode("latin-1"))
        return environ


def _add_header(environ: dict[str, Any], name: str, value: str) -> None:
    key = name.upper().replace("-", "_")
    if key in ("CONTENT_LENGTH", "TRANSFER_ENCODING") or "_" in name:
        return  # The whole body has arrived; "a_b" must not pass for "a-b".
    if key != "CONTENT_TYPE":
        key = f"HTTP_{key}"
    environ[key] = f"{environ[key]},{value}" if key in environ else value


def _encode(response: Response) -> tuple[int, list[Header], bytes]:
    """Returns status, headers and body; the connection adds the headers that concern it."""
    body = response.get_data()
    headers = encode_headers(
        (name, value)
        for name, value in response.headers
        if name.lower() not in ("content-length", "connection")
    )
    return response.status_code, headers, body
