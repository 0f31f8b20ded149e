"""An HTTP server: an event loop owns the connections, a bounded thread pool runs the handlers.

A connection occupies a thread only while a complete request is handled, so clients that send slowly
or not at all do not delay other clients.
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
from ..core.memoryaccount import HolderState, MemoryAccount
from ..core.serving.routetable import CallerLimits
from ..eventloop import EventLoop
from ..events import Event
from ..ids import Executed
from ..logs import log_event
from ..schema.settings_pb2 import Listen
from .caller import MAX_BUFFERED_BYTES, InboundConnection
from .listener import Listener
from .messages import Header, HttpRequest, RequestErrorReason, encode_headers
from .resources import find_account_limits
from .tls import create_server_context

Handler = Callable[[Request], Response]

PROBLEM_CONTENT_TYPE = "application/problem+json"
MAX_HEAD_BYTES = 32 * 1024
MAX_BODY_BYTES = 16 * 1024 * 1024
# From the first to the last byte of a request; enough for the largest body at 2.5 Mbit/s.
REQUEST_TIMEOUT_S = 60.0
IDLE_TIMEOUT_S = 60.0
# Idle connections stay open this long after the server stopped accepting, because their next
# request may be on its way.
STOP_IDLE_GRACE_S = 1.0
# Requests that are still incomplete this long after the server stopped accepting get no response.
STOP_READ_TIMEOUT_S = 5.0
CLOSE_POLL_INTERVAL_S = 0.02
_CONNECTION_KEY = "mulberryrill.caller"
_LOGGER = logging.getLogger(__name__)


class DetachedConnectionError(ConnectionError):
    """Raised by a handler that has handed over the connection; the server sends no response."""


def create_problem(
    status: int,
    title: str,
    detail: str,
    executed: Executed = Executed.NO,
    extra: dict[str, object] | None = None,
) -> Response:
    """Returns problem details (RFC 9457) that also state whether the call was executed."""
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
    """Passes the requests that arrive at one address to a handler, until it is closed."""

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
        """``loop`` must be running; without one the server starts and closes a loop of its own.

        With ``keeps_connections``, connections stay open after their responses.
        """
        self.limits = CallerLimits(
            MAX_HEAD_BYTES, max_body_bytes, REQUEST_TIMEOUT_S, IDLE_TIMEOUT_S
        )
        self.memory: MemoryAccount[InboundConnection] = MemoryAccount(find_account_limits(0, 0))
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
        self._executor: ThreadPoolExecutor | None = None
        self._connections: set[InboundConnection] = set()
        self._is_accepting = False

    @property
    def port(self) -> int:
        """The bound port, chosen by the system if the settings have port 0."""
        return self._port

    @property
    def is_stopping(self) -> bool:
        """Whether connections are to be closed after their responses."""
        return not self._keeps_connections or not self._is_accepting

    def start(self) -> None:
        """Binds the address and accepts connections; raises OSError if it cannot be bound."""
        if self._listen.tls_certificate:
            self._tls = create_server_context(self._listen.tls_certificate, self._listen.tls_key)
        self._listener.open()
        self._port = self._listener.port
        self._executor = ThreadPoolExecutor(self._threads, thread_name_prefix="http")
        self._is_accepting = True
        if self._owns_loop:
            self._loop.start()
        self._loop.post(self._listener.start)

    def stop_accepting(self) -> None:
        """Closes the listening socket and, after a grace period, idle connections.

        Requests in progress continue.
        """
        if self._is_accepting:
            self._run_on_loop(self._stop_listening)

    def close(self) -> None:
        """Stops accepting, waits for running handlers and closes the connections."""
        if self._executor is None:
            return
        self.stop_accepting()
        self._wait_while(lambda connection: connection.is_reading)
        self._run_on_loop(lambda: self._close_where(lambda connection: connection.is_reading))
        self._executor.shutdown(wait=True)
        self._executor = None
        if self._owns_loop:
            self._wait_while(lambda connection: connection.buffered_bytes > 0)
            self._run_on_loop(lambda: self._close_where(lambda connection: True))
            self._loop.close()

    def get_connection(self, request: Request) -> InboundConnection:
        """Returns the connection of a request, for a response sent later on the loop's thread.

        The handler must then raise DetachedConnectionError.
        """
        connection: InboundConnection = request.environ[_CONNECTION_KEY]
        return connection

    def detach(self, request: Request) -> socket.socket:
        """Removes the socket of a request from the server and returns it in blocking mode.

        The handler must then raise DetachedConnectionError, which this method itself raises if the
        client has disconnected.
        """
        connection = self.get_connection(request)
        sockets: list[socket.socket] = []

        def detach_socket() -> None:
            if not connection.is_closed:
                sockets.append(connection.detach())

        self._run_on_loop(detach_socket)
        if not sockets:
            raise DetachedConnectionError("the client has disconnected")
        sockets[0].setblocking(True)
        return sockets[0]

    def on_request(self, connection: InboundConnection, request: HttpRequest) -> None:
        """Queues a request for the thread pool."""
        if self._executor is not None:
            self._executor.submit(self._handle, connection, request)

    def on_invalid_request(self, connection: InboundConnection, reason: RequestErrorReason) -> None:
        """Sends a problem response and closes the connection."""
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
            RequestErrorReason.OVERLOAD: (
                "Overloaded",
                "Too much is held for clients; the request has not been handled.",
            ),
        }[reason]
        connection.reject_request(*_encode_response(create_problem(reason.value, title, detail)))

    def on_overload(
        self, connection: InboundConnection, state: HolderState, held_bytes: int
    ) -> None:
        """Logs an evicted client."""
        log_event(
            _LOGGER,
            logging.WARNING,
            Event.ENTRY_CLIENT_EVICTED,
            "client evicted: the limit on memory or connections is reached",
            client=connection.client_address,
            state=state.value,
            held_bytes=held_bytes,
            held_for_all=self.memory.held_bytes,
        )

    def on_closed(self, connection: InboundConnection) -> None:
        """Removes a connection that has ended."""
        self._connections.discard(connection)

    def _run_on_loop(self, task: Callable[[], None]) -> None:
        """Runs a task on the loop and waits for it; deadlocks on the loop's own thread."""
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
            log_event(
                _LOGGER,
                logging.DEBUG,
                Event.HTTP_HANDLER_FAILED,
                f"connection setup failed: {error}",
            )
            sock.close()
            return
        connection = InboundConnection(self._loop, sock, self, self._max_buffered_bytes)
        self._connections.add(connection)
        connection.start()

    def _stop_listening(self) -> None:
        self._listener.close()
        self._is_accepting = False
        self._loop.call_later(
            STOP_IDLE_GRACE_S, lambda: self._close_where(lambda connection: connection.is_idle)
        )

    def _close_where(self, matches: Callable[[InboundConnection], bool]) -> None:
        """Closes the matching connections; runs on the loop's thread."""
        for connection in list(self._connections):
            if matches(connection):
                connection.close()

    def _wait_while(self, matches: Callable[[InboundConnection], bool]) -> None:
        """Waits until no connection matches, for at most STOP_READ_TIMEOUT_S."""
        deadline = time.monotonic() + STOP_READ_TIMEOUT_S
        while self._count_connections(matches) and time.monotonic() < deadline:
            time.sleep(CLOSE_POLL_INTERVAL_S)

    def _count_connections(self, matches: Callable[[InboundConnection], bool]) -> int:
        counts: list[int] = []
        self._run_on_loop(lambda: counts.append(sum(map(matches, self._connections))))
        return counts[0]

    def _handle(self, connection: InboundConnection, request: HttpRequest) -> None:
        if connection.is_closed:
            return
        try:
            response = self._call_handler(connection, request)
        except DetachedConnectionError:
            return
        status, headers, body = _encode_response(response)
        self._loop.post(lambda: connection.send_response(status, headers, body))

    def _call_handler(self, connection: InboundConnection, request: HttpRequest) -> Response:
        try:
            return self._handler(Request(self._build_environ(connection, request)))
        except HTTPException as error:
            detail = error.description or "see the status"
            return create_problem(error.code or 500, error.name, detail)
        except DetachedConnectionError:
            raise
        except Exception as error:  # A failing request must not affect others.
            log_event(
                _LOGGER, logging.ERROR, Event.HTTP_HANDLER_FAILED, f"handler failed: {error!r}"
            )
            return create_problem(
                500, "Internal error", "Report this with the request id.", Executed.UNKNOWN
            )

    def _build_environ(self, connection: InboundConnection, request: HttpRequest) -> dict[str, Any]:
        """Returns the WSGI environ (PEP 3333) of a request."""
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
            _CONNECTION_KEY: connection,
        }
        for name, value in request.headers:
            _add_header(environ, name.decode("latin-1"), value.decode("latin-1"))
        return environ


def _add_header(environ: dict[str, Any], name: str, value: str) -> None:
    key = name.upper().replace("-", "_")
    if key in ("CONTENT_LENGTH", "TRANSFER_ENCODING") or "_" in name:
        return  # The body is already decoded; a header "a_b" must not be taken for "a-b".
    if key != "CONTENT_TYPE":
        key = f"HTTP_{key}"
    environ[key] = f"{environ[key]},{value}" if key in environ else value


def _encode_response(response: Response) -> tuple[int, list[Header], bytes]:
    """Returns status, headers and body, without the headers that the connection adds itself."""
    body = response.get_data()
    headers = encode_headers(
        (name, value)
        for name, value in response.headers
        if name.lower() not in ("content-length", "connection")
    )
    return response.status_code, headers, body
