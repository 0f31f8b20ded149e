"""A blocking HTTP client based on pycurl, for the platform, operators and tests.

The gateway's data path has its own event loop and does not use this module.
"""

import io
import json
from dataclasses import dataclass, field

import pycurl

from ..errors import HttpError

DEFAULT_TIMEOUT_S = 10.0
CONNECT_TIMEOUT_S = 2.0


@dataclass(frozen=True)
class HttpResponse:
    """A complete response; header names are in lower case."""

    status: int
    body: bytes
    headers: dict[str, str] = field(default_factory=dict)

    def parse_json(self) -> object:
        """Returns the parsed JSON body; raises HttpError if it is not JSON."""
        try:
            return json.loads(self.body)
        except ValueError as error:
            raise HttpError(f"answer is not JSON: {self.body[:80]!r}", sent=True) from error


class HttpClient:
    """A reusable connection. It is not thread-safe: each thread needs its own client."""

    def __init__(self, ca_file: str = "") -> None:
        self._curl = pycurl.Curl()
        self._ca_file = ca_file

    def close(self) -> None:
        """Closes the connection."""
        self._curl.close()

    def send(
        self,
        method: str,
        url: str,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
        timeout_s: float = DEFAULT_TIMEOUT_S,
    ) -> HttpResponse:
        """Sends a request and returns the response, whatever its status; raises HttpError."""
        body_buffer = io.BytesIO()
        response_headers: dict[str, str] = {}
        curl = self._curl
        curl.reset()
        self._configure_request(method, url, body, headers or {}, timeout_s)
        curl.setopt(pycurl.WRITEFUNCTION, body_buffer.write)
        curl.setopt(pycurl.HEADERFUNCTION, lambda line: _read_header(line, response_headers))
        try:
            curl.perform()
        except pycurl.error as error:
            sent = curl.getinfo(pycurl.REQUEST_SIZE) > 0
            raise HttpError(f"{method} {url}: {error.args[1]}", sent) from error
        return HttpResponse(
            curl.getinfo(pycurl.RESPONSE_CODE), body_buffer.getvalue(), response_headers
        )

    def _configure_request(
        self, method: str, url: str, body: bytes, headers: dict[str, str], timeout_s: float
    ) -> None:
        curl = self._curl
        curl.setopt(pycurl.URL, url)
        curl.setopt(pycurl.CUSTOMREQUEST, method)
        curl.setopt(pycurl.NOSIGNAL, 1)
        curl.setopt(pycurl.PROXY, "")
        curl.setopt(pycurl.CONNECTTIMEOUT_MS, int(min(CONNECT_TIMEOUT_S, timeout_s) * 1000))
        curl.setopt(pycurl.TIMEOUT_MS, int(timeout_s * 1000))
        if body or method in ("POST", "PUT"):
            curl.setopt(pycurl.POSTFIELDS, body)
        lines = [f"{name}: {value}" for name, value in headers.items()]
        curl.setopt(pycurl.HTTPHEADER, [*lines, "Expect:"])
        if self._ca_file:
            curl.setopt(pycurl.CAINFO, self._ca_file)


def _read_header(line: bytes, headers: dict[str, str]) -> None:
    name, separator, value = line.decode("latin-1").partition(":")
    if separator:
        headers[name.strip().lower()] = value.strip()
