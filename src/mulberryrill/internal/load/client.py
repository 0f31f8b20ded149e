"""Sends streaming completions over libcurl's multi interface and times their tokens."""

import json
import time
from collections import deque
from dataclasses import dataclass, field

import pycurl

from ..schema.load_pb2 import LoadDeployment
from .plan import PlannedRequest

_DATA_PREFIX = b"data: "
_DONE = b"[DONE]"


@dataclass
class RequestResult:
    """Result of one request. Times count from its planned start, also if it was sent later.

    ``first_token_s`` is None if no token arrived; ``finished`` tells whether the stream ended with
    ``[DONE]``; ``error`` is curl's message if the transfer failed.
    """

    planned: PlannedRequest
    status: int = 0
    first_token_s: float | None = None
    total_s: float = 0.0
    token_gaps_s: list[float] = field(default_factory=list)
    tokens: int = 0
    prompt_tokens: int = 0
    cached_tokens: int = 0
    finished: bool = False
    error: str = ""


class _Transfer:
    """A running request; ``due_at`` is the monotonic time at which it was planned to start."""

    def __init__(self, planned: PlannedRequest, due_at: float) -> None:
        self.result = RequestResult(planned)
        self.due_at = due_at
        self.curl = pycurl.Curl()
        self._buffer = b""
        self._last_token = 0.0

    def receive(self, data: bytes) -> None:
        """Handles received bytes: splits them into events and times each token."""
        now = time.monotonic()
        *events, self._buffer = (self._buffer + data).split(b"\n\n")
        for event in events:
            self._read_event(event.removeprefix(_DATA_PREFIX), now)

    def _read_event(self, payload: bytes, now: float) -> None:
        if payload == _DONE:
            self.result.finished = True
        elif b'"usage":' in payload and b'"completion_tokens"' in payload:
            self._read_usage(payload)
        elif payload.startswith(b"{") and b'"error"' not in payload:
            self._record_token(now)

    def _record_token(self, now: float) -> None:
        if self.result.first_token_s is None:
            self.result.first_token_s = now - self.due_at
        else:
            self.result.token_gaps_s.append(now - self._last_token)
        self._last_token = now
        self.result.tokens += 1

    def _read_usage(self, payload: bytes) -> None:
        try:
            usage = json.loads(payload).get("usage") or {}
        except ValueError:
            return
        details = usage.get("prompt_tokens_details") or {}
        self.result.prompt_tokens = int(usage.get("prompt_tokens", 0))
        self.result.cached_tokens = int(details.get("cached_tokens", 0))


class LoadClient:
    """Sends requests to one deployment at their planned times, independent of its responses."""

    def __init__(self, deployment: LoadDeployment, timeout_s: float) -> None:
        self._deployment = deployment
        self._timeout_s = timeout_s
        self._tokens = {entry.class_name: list(entry.tokens) for entry in deployment.tokens}
        self._multi = pycurl.CurlMulti()
        self._running: dict[pycurl.Curl, _Transfer] = {}
        self._sent_count = 0

    def run(self, requests: list[PlannedRequest], start: float) -> list[RequestResult]:
        """Sends all requests and returns their results; ``start`` is the monotonic time of 0 s."""
        waiting = deque(requests)
        results: list[RequestResult] = []
        while waiting or self._running:
            now = time.monotonic()
            while waiting and start + waiting[0].at_s <= now:
                planned = waiting.popleft()
                self._start(_Transfer(planned, start + planned.at_s))
            self._multi.perform()
            results.extend(self._collect())
            wait_s = start + waiting[0].at_s - time.monotonic() if waiting else 1.0
            self._wait(min(max(wait_s, 0.0), 0.05))
        self._multi.close()
        return results

    def _wait(self, seconds: float) -> None:
        if self._running:
            self._multi.select(seconds)
        else:
            time.sleep(seconds)

    def _start(self, transfer: _Transfer) -> None:
        planned = transfer.result.planned
        urls = self._deployment.urls
        url = urls[self._sent_count % len(urls)] + "/v1/completions"
        self._sent_count += 1
        curl = transfer.curl
        curl.setopt(pycurl.URL, url)
        curl.setopt(pycurl.POSTFIELDS, _build_body(planned))
        curl.setopt(pycurl.HTTPHEADER, self._build_headers(planned))
        curl.setopt(pycurl.NOSIGNAL, 1)
        curl.setopt(pycurl.PROXY, "")
        curl.setopt(pycurl.TIMEOUT_MS, int(self._timeout_s * 1000))
        curl.setopt(pycurl.WRITEFUNCTION, transfer.receive)
        if self._deployment.ca_file:
            curl.setopt(pycurl.CAINFO, self._deployment.ca_file)
        self._multi.add_handle(curl)
        self._running[curl] = transfer

    def _build_headers(self, planned: PlannedRequest) -> list[str]:
        request_id = f"load-{self._sent_count}"
        return [
            "Content-Type: application/json",
            "Expect:",
            f"Authorization: Bearer {self._tokens[planned.load_class][planned.customer]}",
            f"X-Request-Id: {request_id}",
            f"X-Attempt-Id: {request_id}",
            *self._deployment.headers,
        ]

    def _collect(self) -> list[RequestResult]:
        results = []
        while True:
            queued, succeeded, failed = self._multi.info_read()
            for curl in succeeded:
                results.append(self._finish(curl, ""))
            for curl, _, message in failed:
                results.append(self._finish(curl, message))
            if not queued:
                return results

    def _finish(self, curl: pycurl.Curl, error: str) -> RequestResult:
        transfer = self._running.pop(curl)
        transfer.result.status = curl.getinfo(pycurl.RESPONSE_CODE)
        transfer.result.total_s = time.monotonic() - transfer.due_at
        transfer.result.error = error
        self._multi.remove_handle(curl)
        curl.close()
        return transfer.result


def _build_body(planned: PlannedRequest) -> bytes:
    body = {
        "model": planned.model,
        "prompt": planned.prompt,
        "max_tokens": planned.max_tokens,
        "stream": True,
        "stream_options": {"include_usage": True},
    }
    return json.dumps(body).encode("utf-8")
