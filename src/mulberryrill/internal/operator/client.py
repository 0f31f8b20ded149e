"""Client of the operators' HTTP interface; uses the first instance that can answer."""

import json
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from enum import IntEnum
from typing import Any, Protocol
from urllib.parse import quote, urlencode

from ...errors import HttpError, OperatorError
from ..httpclient import HttpClient, HttpResponse

Body = dict[str, Any]

# Longer than a control process takes to decide a change.
CHANGE_TIMEOUT_S = 25.0
# Reads are answered at once, so a short timeout soon gives up on a stalled instance.
READ_TIMEOUT_S = 5.0


class ExitCode(IntEnum):
    """The command's exit codes."""

    OK = 0
    REFUSED = 1
    USAGE = 2
    UNREACHABLE = 3
    NOT_IN_FORCE = 4


class Sender(Protocol):
    """The methods of HttpClient that the operator client calls."""

    def send(
        self,
        method: str,
        url: str,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
        timeout_s: float = READ_TIMEOUT_S,
    ) -> HttpResponse:
        """Sends one request."""
        ...

    def close(self) -> None:
        """Closes the connection."""
        ...


class ResultUnknownError(Exception):
    """A change was sent, but whether it was recorded is not known."""


@dataclass(frozen=True)
class ApiResponse:
    """A JSON response of an instance."""

    status: int
    body: Body

    @property
    def is_unavailable(self) -> bool:
        """Whether another instance may be able to answer."""
        return self.status in (502, 503, 504)

    def describe_problem(self) -> str:
        """Returns title and detail of a problem document (RFC 9457)."""
        title = self.body.get("title", f"status {self.status}")
        detail = str(self.body.get("detail") or "")
        return f"{title}: {detail}" if detail else str(title)


class OperatorApiClient:
    """Sends each call to the operators' URLs in turn until one instance answers it."""

    def __init__(
        self,
        urls: list[str],
        token: str,
        ca_file: str = "",
        create_sender: Callable[[str], Sender] = HttpClient,
    ) -> None:
        self._urls = [url.rstrip("/") for url in urls]
        self._headers = {"Authorization": f"Bearer {token}"}
        self._sender = create_sender(ca_file)

    def close(self) -> None:
        """Closes the connection."""
        self._sender.close()

    def get(self, *path: str, **query: str | int) -> ApiResponse:
        """Reads a resource; raises OperatorError if refused or if no instance can answer."""
        return self._call_in_turn("GET", _build_request_target(path, query), b"")

    def find(self, *path: str) -> ApiResponse:
        """Reads a resource that only one instance may know, asking all in turn."""
        return self._call_in_turn("GET", _build_request_target(path, {}), b"", try_all_on_404=True)

    def post(self, *path: str, body: Body) -> ApiResponse:
        """Sends an order, which is safe to repeat on another instance."""
        return self._call_in_turn(
            "POST", _build_request_target(path, {}), json.dumps(body).encode("utf-8")
        )

    def put_once(
        self, *path: str, body: bytes, headers: dict[str, str], **query: str | int
    ) -> ApiResponse:
        """Sends a change at most once; raises ResultUnknownError if its result is not known.

        Another instance is tried only if the change was certainly not recorded.
        """
        target = _build_request_target(path, query)
        failures = []
        for url in tuple(self._urls):
            try:
                response = self._send("PUT", url + target, body, headers, CHANGE_TIMEOUT_S)
            except HttpError as error:
                self._move_to_end(url)
                if error.sent:
                    raise ResultUnknownError(str(error)) from error
                failures.append(str(error))
                continue
            if response.status < 500:
                return _require_success(response)
            if response.status != 503 or response.body.get("executed") != "no":
                raise ResultUnknownError(response.describe_problem())
            failures.append(f"{url}: {response.describe_problem()}")
        raise _create_unreachable_error(failures)

    def _call_in_turn(
        self, method: str, target: str, body: bytes, try_all_on_404: bool = False
    ) -> ApiResponse:
        failures = []
        not_found: ApiResponse | None = None
        for url in tuple(self._urls):
            try:
                response = self._send(method, url + target, body, {}, READ_TIMEOUT_S)
            except HttpError as error:
                self._move_to_end(url)
                failures.append(str(error))
                continue
            if response.is_unavailable:
                failures.append(f"{url}: {response.describe_problem()}")
            elif response.status == 404 and try_all_on_404:
                not_found = response
            else:
                return _require_success(response)
        if not_found is not None and not failures:
            return _require_success(not_found)
        raise _create_unreachable_error(failures)

    def _move_to_end(self, url: str) -> None:
        """Moves a failed instance to the end, so that later calls try others first."""
        self._urls.remove(url)
        self._urls.append(url)

    def _send(
        self, method: str, url: str, body: bytes, headers: dict[str, str], timeout_s: float
    ) -> ApiResponse:
        response = self._sender.send(
            method, url, body, {**self._headers, **headers}, timeout_s=timeout_s
        )
        parsed = response.parse_json()
        if not isinstance(parsed, dict):
            raise HttpError(f"{url}: the answer is not a JSON object", sent=True)
        return ApiResponse(response.status, parsed)


def _build_request_target(path: tuple[str, ...], query: Mapping[str, str | int]) -> str:
    target = "/v1/" + "/".join(quote(part, safe="") for part in path)
    return f"{target}?{urlencode(query)}" if query else target


def _require_success(response: ApiResponse) -> ApiResponse:
    if response.status < 400:
        return response
    raise OperatorError(response.describe_problem(), ExitCode.REFUSED)


def _create_unreachable_error(failures: list[str]) -> OperatorError:
    lines = ["no instance could answer; check --operators-url and the network:"]
    return OperatorError("\n  ".join(lines + failures), ExitCode.UNREACHABLE)
