"""A werkzeug HTTP server on a bounded thread pool, with problem details for every error."""

import json
import logging
import socket
import ssl
import threading
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import TYPE_CHECKING

from werkzeug.exceptions import HTTPException
from werkzeug.serving import BaseWSGIServer, WSGIRequestHandler
from werkzeug.wrappers import Request, Response

from .events import Event
from .ids import Executed
from .logs import log_event
from .schema.settings_pb2 import Listen

if TYPE_CHECKING:
    from _typeshed.wsgi import WSGIApplication

Handler = Callable[[Request], Response]

PROBLEM_TYPE = "application/problem+json"
# A caller that sends its request slower than this is disconnected, so that it frees its thread.
READ_TIMEOUT_S = 30.0
LISTEN_BACKLOG = 512
_LOGGER = logging.getLogger(__name__)


class DetachedConnectionError(ConnectionError):
    """Raised by a handler that has taken over the socket; the server writes nothing more to it."""


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
    return Response(json.dumps(body), status=status, content_type=PROBLEM_TYPE)


class _RequestHandler(WSGIRequestHandler):
    """Closes the connection after each answer; logs only through the package's logs."""

    timeout = READ_TIMEOUT_S

    def log(self, type: str, message: str, *args: object) -> None:
        """Drops werkzeug's own access log."""

    def connection_dropped(self, error: BaseException, environ: object = None) -> None:
        """Ends the connection's loop: its caller went away or it has a new owner."""
        self.close_connection = True


class _PooledServer(BaseWSGIServer):
    """Handles each connection on a bounded pool instead of a new thread."""

    multithread = True
    request_queue_size = LISTEN_BACKLOG

    def __init__(
        self, listen: Listen, app: "WSGIApplication", threads: int, fd: int | None
    ) -> None:
        super().__init__(listen.host, listen.port, app, handler=_RequestHandler, fd=fd)
        # werkzeug would do the handshake on the accepting thread, where one silent caller could
        # keep all others out.
        self.ssl_context = _create_tls_context(listen)
        self._pool = ThreadPoolExecutor(threads, thread_name_prefix="http")
        self._detached: set[int] = set()

    def process_request(self, request, client_address) -> None:  # type: ignore[no-untyped-def]
        """Queues the connection for a pool thread."""
        self._pool.submit(self._handle, request, client_address)

    def _handle(self, request, client_address) -> None:  # type: ignore[no-untyped-def]
        try:
            request.settimeout(READ_TIMEOUT_S)
            if self.ssl_context is not None:
                request = self.ssl_context.wrap_socket(request, server_side=True)
            self.finish_request(request, client_address)
        except Exception as error:  # A bad connection must not end its pool thread.
            log_event(_LOGGER, logging.DEBUG, Event.HTTP_HANDLER_FAILED, f"connection: {error}")
        finally:
            if id(request) in self._detached:
                self._detached.discard(id(request))
            else:
                self.shutdown_request(request)

    def detach(self, connection: socket.socket) -> None:
        """Leaves the socket open for its new owner when the handler ends."""
        self._detached.add(id(connection))

    def server_close(self) -> None:
        """Closes the listening socket after taking the connections that wait there, whose callers
        would otherwise see a reset."""
        try:
            self.socket.setblocking(False)
            while True:
                self.process_request(*self.socket.accept())
        except OSError:
            pass  # No connection waits, or the socket is closed already.
        super().server_close()

    def close_pool(self, wait: bool) -> None:
        """Stops the pool; with ``wait``, after all running handlers."""
        self._pool.shutdown(wait=wait)


def _create_tls_context(listen: Listen) -> ssl.SSLContext | None:
    if not listen.tls_certificate:
        return None
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.load_cert_chain(listen.tls_certificate, listen.tls_key)
    return context


class HttpServer:
    """Serves one handler on one address until closed."""

    def __init__(self, listen: Listen, handler: Handler, threads: int = 8) -> None:
        self._listen = listen
        self._handler = handler
        self._threads = threads
        self._port = listen.port
        self._server: _PooledServer | None = None
        self._thread: threading.Thread | None = None

    @property
    def port(self) -> int:
        """The bound port, useful when the settings ask for port 0."""
        return self._port

    def start(self) -> None:
        """Binds the address and accepts connections; raises OSError if it cannot be bound."""
        bound = socket.create_server(
            (self._listen.host, self._listen.port), backlog=LISTEN_BACKLOG, reuse_port=True
        )
        self._port = bound.getsockname()[1]
        listen = Listen()
        listen.CopyFrom(self._listen)
        listen.port = self._port
        # werkzeug duplicates the descriptor, so ours is closed.
        with bound:
            self._server = _PooledServer(listen, self._serve, self._threads, bound.fileno())
        self._thread = threading.Thread(
            target=self._server.serve_forever, kwargs={"poll_interval": 0.1}, daemon=True
        )
        self._thread.start()

    def stop_accepting(self) -> None:
        """Closes the listening socket; running handlers go on."""
        if self._server is not None and self._thread is not None:
            self._server.shutdown()
            self._thread.join()
            self._thread = None
            self._server.server_close()

    def close(self) -> None:
        """Stops accepting and waits for running handlers."""
        self.stop_accepting()
        if self._server is not None:
            self._server.close_pool(wait=True)
            self._server = None

    def detach(self, request: Request) -> socket.socket:
        """Takes a request's socket out of the server; its handler must then raise
        DetachedConnectionError."""
        connection: socket.socket = request.environ["werkzeug.socket"]
        if self._server is not None:
            self._server.detach(connection)
        return connection

    def _serve(self, environ, start_response):  # type: ignore[no-untyped-def]
        request = Request(environ)
        try:
            response = self._handler(request)
        except HTTPException as error:
            detail = error.description or "see the status"
            response = create_problem(error.code or 500, error.name, detail)
        except DetachedConnectionError:
            raise
        except Exception as error:  # One bad request must not take others with it.
            log_event(
                _LOGGER, logging.ERROR, Event.HTTP_HANDLER_FAILED, f"handler failed: {error!r}"
            )
            response = create_problem(
                500, "Internal error", "Report this with the request id.", Executed.UNKNOWN
            )
        return response(environ, start_response)
