"""The model engine stand-in: HTTP in front of ``EngineSimulation``.

werkzeug reads the requests; one loop thread owns the sockets of accepted runs and sends all
tokens, so that 200 streams don't need 200 threads.
"""

import logging
import selectors
import socket
import threading
import time
from collections.abc import Mapping
from queue import Empty, SimpleQueue

from werkzeug.exceptions import BadRequest, NotFound
from werkzeug.wrappers import Request, Response

from ..events import Event
from ..history.writer import HistoryWriter
from ..http.server import DetachedConnectionError, HttpServer, create_problem
from ..logs import log_event
from ..schema.settings_pb2 import EngineSettings
from .answers import StreamFormatter, format_json_response
from .enginemodel import Emission, EngineSimulation, Run, SubmitResult
from .kvtransfer import KvTransfer
from .pseudotext import DEFAULT_MAX_TOKENS, render_prompt
from .registration import Registration
from .requests import (
    close_socket,
    create_json_response,
    drop_connection,
    get_non_negative_int,
    parse_json_object,
)

HTTP_THREADS = 32
# Tokens due within this time are sent together, which limits how often the loop wakes up.
MIN_LOOP_WAIT_S = 0.002
MAX_LOOP_WAIT_S = 0.2
DRAIN_TIMEOUT_S = 60.0
RECEIVE_BYTES = 4096
COMPLETION_PATHS = ("/v1/completions", "/v1/chat/completions")
_LOGGER = logging.getLogger(__name__)


class _Connection:
    """The socket of one run and the bytes that are still to be sent on it."""

    def __init__(self, sock: socket.socket, run: Run, wrong_attempt: bool) -> None:
        sock.setblocking(False)
        self.sock = sock
        self.run = run
        self.wrong_attempt = wrong_attempt
        self.stream = StreamFormatter(run, wrong_attempt) if run.stream else None
        self.unsent = b""
        self.wants_write = False
        self.close_when_sent = False
        self.closed = False

    def format_emission(self, emission: Emission) -> bytes:
        """Returns the bytes to send for an emission."""
        if self.stream is not None:
            data = self.stream.format_tokens(emission.first, emission.end)
            return data + self.stream.format_end() if emission.finished else data
        response = format_json_response(self.run, self.wrong_attempt)
        return response[: len(response) // 2] if emission.cut else response


class EngineStandin:
    """Serves the engine's HTTP interface until closed."""

    def __init__(self, settings: EngineSettings) -> None:
        self._settings = settings
        self._history = HistoryWriter(settings.history_file, settings.id)
        self._lock = threading.Lock()
        self._simulation = EngineSimulation(
            settings, self._record, self._drop_runs, time.monotonic()
        )
        self._server = HttpServer(settings.listen, self._handle, HTTP_THREADS)
        self._kv_transfer = KvTransfer(self._record)
        self._selector = selectors.DefaultSelector()
        self._wake_sender, self._wake_receiver = socket.socketpair()
        self._new_connections: SimpleQueue[_Connection] = SimpleQueue()
        self._dropped_connections: SimpleQueue[_Connection] = SimpleQueue()
        self._stop = threading.Event()
        self._loop_thread = threading.Thread(target=self._run_loop, name="engine", daemon=True)
        self._registration: Registration | None = None

    @property
    def port(self) -> int:
        """The bound port."""
        return self._server.port

    def start(self) -> None:
        """Opens the listening socket and registers."""
        self._wake_receiver.setblocking(False)
        self._wake_sender.setblocking(False)
        self._selector.register(self._wake_receiver, selectors.EVENT_READ)
        self._loop_thread.start()
        self._server.start()
        settings = self._settings
        address = f"http://{settings.listen.host}:{self.port}"
        self._registration = Registration(
            settings.list_url, settings.id, "engine", settings.data_centre, address, settings.pool
        )
        self._history.write("started", target=settings.id)
        self._registration.start()

    def close(self) -> None:
        """Announces that it leaves, finishes its runs and stops."""
        self._history.write("leaving", target=self._settings.id)
        if self._registration is not None:
            self._registration.leave()
        deadline = time.monotonic() + DRAIN_TIMEOUT_S
        while self._simulation.running + self._simulation.waiting and time.monotonic() < deadline:
            time.sleep(0.05)
        if self._registration is not None:
            self._registration.close()
        self._server.close()
        self._kv_transfer.close()
        self._stop.set()
        self._wake()
        self._loop_thread.join()
        self._selector.close()
        self._wake_sender.close()
        self._wake_receiver.close()
        self._history.close()

    def _record(self, event: str, fields: dict[str, object]) -> None:
        self._history.write(event, target=self._settings.id, **fields)

    def _handle(self, request: Request) -> Response:
        if request.path == "/v1/faults":
            return self._set_faults(request)
        with self._lock:
            down = self._simulation.is_down(time.monotonic())
        if down:
            drop_connection(self._server, request)
        if request.path in COMPLETION_PATHS and request.method == "POST":
            return self._serve_run(request)
        if request.path == "/v1/state":
            return self._describe_state()
        if request.path == "/v1/orders" and request.method == "POST":
            return self._apply_order(request)
        raise NotFound(f"There is no {request.path}.")

    def _serve_run(self, request: Request) -> Response:
        body = parse_json_object(request)
        extension = body.get("engine", {})
        if not isinstance(extension, dict):
            raise BadRequest('"engine" must be an object.')
        model = str(body.get("model", ""))
        with self._lock:
            version = self._simulation.get_loaded_version(model, time.monotonic())
        if version is None:
            return create_problem(404, "Model not loaded", f"Model {model!r} is not loaded here.")
        if request.headers.get("X-Model-Version", version) != version:
            return create_problem(409, "Other version", f"Version {version} is loaded.")
        run = _create_run(request, body, extension, version)
        run.imported_blocks = self._kv_transfer.import_blocks(extension, run)
        response = self._submit(request, run)
        if response is None:
            self._wake()
            raise DetachedConnectionError("the engine's loop owns the connection")
        return response

    def _submit(self, request: Request, run: Run) -> Response | None:
        with self._lock:
            result = self._simulation.submit(run, time.monotonic())
            if result is SubmitResult.ACCEPTED:
                is_wrong_attempt = self._simulation.faults.wrong_attempt > 0
                self._simulation.faults.wrong_attempt -= int(is_wrong_attempt)
                connection = _Connection(self._server.detach(request), run, is_wrong_attempt)
                run.connection = connection
                self._new_connections.put(connection)
                return None
        if result is not SubmitResult.REJECTED:
            drop_connection(self._server, request)
        return create_problem(503, "Rejected", "The engine rejected the request before running.")

    def _describe_state(self) -> Response:
        with self._lock:
            simulation = self._simulation
            state = {
                "incarnation": simulation.incarnation,
                "running": simulation.running,
                "waiting": simulation.waiting,
                "max_concurrency": simulation.max_concurrency,
                "models": simulation.list_models(time.monotonic()),
                "fence": simulation.fence,
            }
        return create_json_response(state)

    def _apply_order(self, request: Request) -> Response:
        body = parse_json_object(request)
        fence = get_non_negative_int(body, "fence")
        with self._lock:
            accepted = self._simulation.load(
                str(body.get("model", "")), str(body.get("version", "")), fence, time.monotonic()
            )
            current = self._simulation.fence
        if not accepted:
            return create_problem(409, "Old fence", f"The last fence was {current}.")
        return create_json_response({"fence": current}, status=202)

    def _set_faults(self, request: Request) -> Response:
        body = parse_json_object(request)
        log_event(_LOGGER, logging.INFO, Event.STANDIN_FAULT_SET, f"faults set: {sorted(body)}")
        with self._lock:
            faults = self._simulation.faults
            for name in ("stall_after_tokens", "cut_after_tokens", "reject", "wrong_attempt"):
                if name in body:
                    setattr(faults, name, get_non_negative_int(body, name))
            if "poison" in body:
                faults.poison = str(body["poison"])
            if body.get("restart"):
                self._simulation.crash(time.monotonic())
            return create_json_response(vars(faults))

    def _drop_runs(self, runs: list[Run]) -> None:
        """Lets the loop close the connections of crashed runs; called with the lock held."""
        log_event(
            _LOGGER, logging.WARNING, Event.STANDIN_CRASHED, f"crashed with {len(runs)} requests"
        )
        for run in runs:
            if isinstance(run.connection, _Connection):
                self._dropped_connections.put(run.connection)
        self._wake()

    def _wake(self) -> None:
        try:
            self._wake_sender.send(b"w")
        except OSError:
            # A full socket buffer already wakes the loop; a closed socket has no loop to wake.
            pass

    def _run_loop(self) -> None:
        while not self._stop.is_set():
            with self._lock:
                emissions = self._simulation.advance(time.monotonic())
                due = self._simulation.get_next_due()
            for connection in _pop_all(self._new_connections):
                if not connection.closed:
                    self._selector.register(connection.sock, selectors.EVENT_READ, connection)
            for connection in _pop_all(self._dropped_connections):
                self._close_connection(connection)
            for emission in emissions:
                self._send(emission)
            wait_s = (
                MAX_LOOP_WAIT_S if due is None else max(MIN_LOOP_WAIT_S, due - time.monotonic())
            )
            for key, events in self._selector.select(min(wait_s, MAX_LOOP_WAIT_S)):
                self._on_ready(key.data, events)

    def _on_ready(self, connection: _Connection | None, events: int) -> None:
        if connection is None:
            self._wake_receiver.recv(RECEIVE_BYTES)
            return
        if events & selectors.EVENT_WRITE:
            self._flush(connection)
        if not connection.closed and events & selectors.EVENT_READ:
            try:
                data = connection.sock.recv(RECEIVE_BYTES)
            except BlockingIOError:
                return
            except OSError:
                data = b""
            if not data:
                self._cancel(connection)

    def _send(self, emission: Emission) -> None:
        connection = emission.run.connection
        if not isinstance(connection, _Connection) or connection.closed:
            return
        if emission.finished:
            self._kv_transfer.start_export(emission.run)
        connection.close_when_sent = emission.finished or emission.cut
        pending = bool(connection.unsent)
        connection.unsent += connection.format_emission(emission)
        if not pending:
            self._flush(connection)

    def _flush(self, connection: _Connection) -> None:
        try:
            sent = connection.sock.send(connection.unsent)
        except BlockingIOError:
            sent = 0
        except OSError:
            self._cancel(connection)
            return
        connection.unsent = connection.unsent[sent:]
        if connection.unsent:
            self._set_write_interest(connection, True)
        elif connection.close_when_sent:
            self._close_connection(connection)
        else:
            self._set_write_interest(connection, False)

    def _set_write_interest(self, connection: _Connection, enabled: bool) -> None:
        if connection.wants_write != enabled:
            connection.wants_write = enabled
            events = selectors.EVENT_READ | (selectors.EVENT_WRITE if enabled else 0)
            self._selector.modify(connection.sock, events, connection)

    def _cancel(self, connection: _Connection) -> None:
        with self._lock:
            self._simulation.cancel(connection.run, time.monotonic())
        self._close_connection(connection)

    def _close_connection(self, connection: _Connection) -> None:
        if connection.closed:
            return
        connection.closed = True
        try:
            self._selector.unregister(connection.sock)
        except (KeyError, ValueError):
            # It was closed before the loop registered it.
            pass
        close_socket(connection.sock)


def _pop_all(queue: "SimpleQueue[_Connection]") -> list[_Connection]:
    items = []
    while True:
        try:
            items.append(queue.get_nowait())
        except Empty:
            return items


def _create_run(
    request: Request, body: dict[str, object], extension: Mapping[str, object], version: str
) -> Run:
    """Returns the run of a request; raises BadRequest."""
    max_tokens = get_non_negative_int(body, "max_tokens") or DEFAULT_MAX_TOKENS
    start_token = get_non_negative_int(extension, "continue_tokens")
    priority = extension.get("priority", 0)
    if not isinstance(priority, int):
        raise BadRequest("engine.priority must be a whole number.")
    run = Run(
        request=request.headers.get("X-Request-Id", ""),
        attempt=request.headers.get("X-Attempt-Id", ""),
        customer=request.headers.get("X-Customer", ""),
        model=str(body.get("model", "")),
        version=version,
        prompt=render_prompt(body),
        path=request.path,
        max_tokens=max_tokens,
        stream=bool(body.get("stream", False)),
        start_token=start_token,
        priority=priority,
    )
    export = extension.get("kv_export")
    run.kv_export = export if isinstance(export, dict) else None
    if start_token >= max_tokens:
        raise BadRequest("engine.continue_tokens must be less than max_tokens.")
    # The output is deterministic, so a different text means that responses were mixed up.
    if str(extension.get("continue_text", "")) != "".join(run.tokens[:start_token]):
        raise BadRequest("engine.continue_text is not the beginning of this output.")
    return run
