"""The KV cache store stand-in over HTTP, with a link of limited bandwidth and injected faults."""

import threading
import time
from dataclasses import dataclass

from werkzeug.exceptions import BadRequest, MethodNotAllowed, NotFound
from werkzeug.wrappers import Request, Response

from ..history.writer import HistoryWriter
from ..http.server import HttpServer, create_problem
from ..schema.settings_pb2 import StoreSettings
from .blocks import BlockTable, StoreError
from .registration import Registration
from .requests import create_json_response, drop_connection, get_non_negative_int, parse_json_object

HTTP_THREADS = 32
DEFAULT_MEMORY_BYTES = 64 * 1024 * 1024
DEFAULT_DISK_BYTES = 256 * 1024 * 1024
# Reading from disk takes this long in addition to the transfer over the link.
DISK_BYTES_PER_SECOND = 200e6


@dataclass
class _Faults:
    """Injected faults.

    ``fail`` closes every connection without a response, ``full`` refuses new writes, and the next
    ``corrupt`` reads return changed bytes. A link rate of 0 means no limit.
    """

    fail: int = 0
    full: int = 0
    corrupt: int = 0
    link_bytes_per_second: int = 0


class _Link:
    """A link of limited bandwidth that all transfers share, one after the other."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._free_at = 0.0

    def transfer(self, size: int, bytes_per_second: int) -> None:
        """Sleeps until this transfer and those before it would be done."""
        if not bytes_per_second:
            return
        with self._lock:
            now = time.monotonic()
            self._free_at = max(now, self._free_at) + size / bytes_per_second
            wait_s = self._free_at - now
        time.sleep(wait_s)


class StoreStandin:
    """Serves blocks over HTTP until closed."""

    def __init__(self, settings: StoreSettings) -> None:
        self._settings = settings
        self._history = HistoryWriter(settings.history_file, settings.id)
        self._blocks = BlockTable(
            settings.memory_bytes or DEFAULT_MEMORY_BYTES, settings.disk_bytes or DEFAULT_DISK_BYTES
        )
        self._faults = _Faults(link_bytes_per_second=settings.link_bytes_per_second)
        self._link = _Link()
        self._server = HttpServer(settings.listen, self._handle, HTTP_THREADS)
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
            settings.list_url, settings.id, "store", settings.data_centre, address, ""
        )
        self._registration.start()

    def close(self) -> None:
        """Announces that it leaves, finishes running transfers and stops."""
        if self._registration is not None:
            self._registration.leave()
            self._registration.close()
        self._server.close()
        self._history.close()

    def _handle(self, request: Request) -> Response:
        if request.path == "/v1/faults":
            return self._set_faults(request)
        if self._faults.fail:
            drop_connection(self._server, request)
        parts = request.path.strip("/").split("/")
        if parts[:2] != ["v1", "blocks"]:
            raise NotFound(f"There is no {request.path}.")
        try:
            return self._serve_block(request, parts[2:])
        except StoreError as error:
            return create_problem(error.status, "Not possible", str(error))

    def _serve_block(self, request: Request, parts: list[str]) -> Response:
        match request.method, parts:
            case "POST", ["lookup"]:
                return self._look_up(request)
            case "POST", [key]:
                if self._faults.full:
                    raise StoreError(507, "The store is full.")
                return create_json_response({"generation": self._blocks.open_write(key)}, 201)
            case "PUT", [key, generation]:
                data = request.get_data()
                self._transfer(key, len(data), "write")
                self._blocks.upload(key, _parse_generation(generation), data)
                return create_json_response({})
            case "POST", [key, generation, "commit"]:
                body = parse_json_object(request)
                length, digest = get_non_negative_int(body, "length"), str(body.get("digest", ""))
                self._blocks.commit(key, _parse_generation(generation), length, digest)
                return create_json_response({})
            case "GET", [key]:
                block, tier = self._blocks.look_up(key)
                state = {"key": key, "generation": block.generation, "length": len(block.data)}
                return create_json_response({**state, "digest": block.digest, "tier": tier})
            case "GET", [key, generation]:
                return self._read(key, _parse_generation(generation))
            case "DELETE", [key]:
                self._blocks.delete(key)
                return create_json_response({})
        raise MethodNotAllowed(description=f"{request.method} is not possible here.")

    def _look_up(self, request: Request) -> Response:
        keys = parse_json_object(request).get("keys")
        if not isinstance(keys, list):
            raise BadRequest('"keys" must be a list.')
        blocks = []
        for key in keys:
            try:
                block, _ = self._blocks.look_up(str(key))
            except StoreError:
                break
            state = {"key": key, "generation": block.generation, "length": len(block.data)}
            blocks.append({**state, "digest": block.digest})
        return create_json_response({"blocks": blocks})

    def _read(self, key: str, generation: int) -> Response:
        block, tier = self._blocks.read(key, generation)
        data = block.data
        if tier == "disk":
            time.sleep(len(data) / DISK_BYTES_PER_SECOND)
        self._transfer(key, len(data), "read")
        if self._faults.corrupt:
            self._faults.corrupt -= 1
            data = data[:-1] + bytes([data[-1] ^ 1])
        return Response(data, content_type="application/octet-stream")

    def _transfer(self, key: str, size: int, direction: str) -> None:
        self._link.transfer(size, self._faults.link_bytes_per_second)
        self._history.write(
            "transfer", target=self._settings.id, key=key, bytes=size, direction=direction
        )

    def _set_faults(self, request: Request) -> Response:
        body = parse_json_object(request)
        for name in vars(self._faults):
            if name in body:
                setattr(self._faults, name, get_non_negative_int(body, name))
        return create_json_response(vars(self._faults))


def _parse_generation(text: str) -> int:
    if not text.isdecimal():
        raise BadRequest("A generation is a whole number.")
    return int(text)
