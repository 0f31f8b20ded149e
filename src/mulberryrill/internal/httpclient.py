"""A blocking HTTP client based on pycurl, for the platform, operators and tests.

The gateway's data path has its own event loop and does not use this module.
"""

import io
import json
from dataclasses import dataclass, field

import pycurl

from ..errors import HttpError
from .http.bounds import MAX_HEAD_BYTES

DEFAULT_TIMEOUT_S = 10.0
CONNECT_TIMEOUT_S = 2.0
# The largest responses are pages of the platform's log and audit trails.
MAX_BODY_BYTES = 67_108_864


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
        collector = _ResponseCollector()
        curl = self._curl
        curl.reset()
        self._configure_request(method, url, body, headers or {}, timeout_s)
        curl.setopt(pycurl.WRITEFUNCTION, collector.write_body)
        curl.setopt(pycurl.HEADERFUNCTION, collector.read_header)
        try:
            curl.perform()
        except pycurl.error as error:
            sent = curl.getinfo(pycurl.REQUEST_SIZE) > 0
            detail = collector.exceeded_bound or error.args[1]
            raise HttpError(f"{method} {url}: {detail}", sent) from error
        return HttpResponse(
            curl.getinfo(pycurl.RESPONSE_CODE), collector.body.getvalue(), collector.headers
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


class _ResponseCollector:
    """Buffers a response and ends the transfer when it exceeds a bound."""

    def __init__(self) -> None:
        self.body = io.BytesIO()
        self.headers: dict[str, str] = {}
        self.exceeded_bound = ""
        self._head_bytes = 0

    def write_body(self, data: bytes) -> int:
        if self.body.tell() + len(data) > MAX_BODY_BYTES:
            self.exceeded_bound = f"body exceeds {MAX_BODY_BYTES} bytes"
            return -1
        return self.body.write(data)

    def read_header(self, line: bytes) -> int | None:
        self._head_bytes += len(line)
        if self._head_bytes > MAX_HEAD_BYTES:
            self.exceeded_bound = f"head exceeds {MAX_HEAD_BYTES} bytes"
            return -1
        name, separator, value = line.decode("latin-1").partition(":")
        if separator:
            self.headers[name.strip().lower()] = value.strip()
        return None
