"""Example callers of a local deployment: they send requests and check every response."""

import json
import time
import uuid
from dataclasses import dataclass, field
from pathlib import Path
from secrets import randbits

from ...errors import HttpError
from ..httpclient import HttpClient, HttpResponse
from ..schema import documents_pb2 as documents
from ..schema.documents_pb2 import ServiceDocument
from ..settings.documents import check_document
from .pseudotext import digest_text, generate_tokens, render_prompt
from .site import SitePlan

MAX_TOKENS = 24
REQUEST_TIMEOUT_S = 30.0
OUTCOME_TIMEOUT_S = 10.0
RETRY_INTERVAL_S = 0.2
STATUS_OUTCOME_UNKNOWN = 409
# A deployment that has just started may not know its targets yet.
NOT_RUN_TIMEOUT_S = 10.0
STATUS_NOT_RUN = 503
_UUID_TIME_BITS = 48


def create_idempotency_key(time_ms: int) -> str:
    """Returns a UUIDv7 (RFC 9562) with this Unix time."""
    value = (time_ms & ((1 << _UUID_TIME_BITS) - 1)) << 80
    value |= 0x7 << 76 | randbits(12) << 64 | 0x2 << 62 | randbits(62)
    return str(uuid.UUID(int=value))


@dataclass
class CallerReport:
    """Result of all requests; ``problems`` is empty if every response was correct."""

    lines: list[str] = field(default_factory=list)
    problems: list[str] = field(default_factory=list)
    request_ids: list[str] = field(default_factory=list)

    def add_response(
        self, description: str, response: HttpResponse, is_correct: bool, detail: str
    ) -> None:
        """Adds one response."""
        request = response.headers.get("x-request-id", "")
        text = (
            f"{description}: status {response.status}, {detail}, request {request or 'without id'}"
        )
        self.lines.append(text)
        if not is_correct or not request:
            self.problems.append(text)
        else:
            self.request_ids.append(request)


class ExampleCallers:
    """Sends one request of each kind to the services of a site, through different instances."""

    def __init__(self, plan: SitePlan) -> None:
        self._plan = plan
        self._client = HttpClient()
        self._report = CallerReport()

    def run(self) -> CallerReport:
        """Sends all requests and returns the report."""
        try:
            for path in self._plan.documents:
                document = check_document(Path(path).read_text(encoding="utf-8"), path)
                if document.kind == documents.model:
                    self._send_chat(document)
                    self._send_completion(document)
                else:
                    self._send_plain(document)
                    self._send_non_repeatable(document)
        except HttpError as error:
            self._report.problems.append(str(error))
        finally:
            self._client.close()
        return self._report

    def _send(
        self,
        document: ServiceDocument,
        instance: int,
        method: str,
        path: str,
        body: bytes,
        headers: dict[str, str] | None = None,
    ) -> HttpResponse:
        tokens = self._plan.customer_tokens[document.service]
        token = tokens[document.customers[0].name]
        all_headers = {"Authorization": f"Bearer {token}", "Content-Type": "application/json"}
        url = self._plan.instances[instance % len(self._plan.instances)].gateway_url + path
        all_headers.update(headers or {})
        deadline = time.monotonic() + NOT_RUN_TIMEOUT_S
        while True:
            response = self._client.send(method, url, body, all_headers, REQUEST_TIMEOUT_S)
            # The call was not run, so it is sent again after the time in Retry-After.
            if response.status != STATUS_NOT_RUN or time.monotonic() > deadline:
                return response
            self._report.lines.append(f"{document.service}: not run yet: {response.body!r}")
            time.sleep(float(response.headers.get("retry-after", RETRY_INTERVAL_S)))

    def _send_chat(self, document: ServiceDocument) -> None:
        model = document.models[0]
        body: dict[str, object] = {
            "model": model.name,
            "messages": [{"role": "user", "content": f"What does {document.service} say today?"}],
            "max_tokens": MAX_TOKENS,
            "stream": True,
        }
        response = self._send(
            document, 0, "POST", "/v1/chat/completions", json.dumps(body).encode("utf-8")
        )
        text, ended = parse_chat_stream(response.body)
        is_correct = ended and text == _build_expected_text(model.name, model.version, body)
        detail = f"{'complete' if ended else 'incomplete'}: {text.strip()!r}"
        self._report.add_response(
            f"{document.service} streaming chat", response, is_correct, detail
        )

    def _send_completion(self, document: ServiceDocument) -> None:
        model = document.models[0]
        body: dict[str, object] = {
            "model": model.name,
            "prompt": f"Notes for {document.service}",
            "max_tokens": MAX_TOKENS,
        }
        response = self._send(
            document, 1, "POST", "/v1/completions", json.dumps(body).encode("utf-8")
        )
        parsed = response.parse_json()
        text = ""
        if response.status == 200 and isinstance(parsed, dict):
            text = str(parsed["choices"][0]["text"])
        is_correct = text == _build_expected_text(model.name, model.version, body)
        self._report.add_response(
            f"{document.service} completion", response, is_correct, repr(text.strip())
        )

    def _send_plain(self, document: ServiceDocument) -> None:
        path = f"/v1/services/{document.service}/lookup"
        response = self._send(document, 2, "GET", path, b"")
        parsed = response.parse_json()
        is_correct = (
            response.status == 200 and isinstance(parsed, dict) and parsed["path"] == "/lookup"
        )
        self._report.add_response(
            f"{document.service} plain call", response, is_correct, "answered by a target"
        )

    def _send_non_repeatable(self, document: ServiceDocument) -> None:
        """Sends each call that may run only once to two instances, with the same key."""
        for rule in document.calls:
            key = create_idempotency_key(int(time.time() * 1000))
            body = json.dumps({"order": key}).encode("utf-8")
            path = f"/v1/services/{document.service}{rule.path}"
            receipts = []
            for instance in (0, 1):
                response = self._repeat_until_known(
                    document, instance, rule.method, path, body, key
                )
                parsed = response.parse_json()
                receipts.append(parsed.get("receipt", "") if isinstance(parsed, dict) else "")
                replayed = response.headers.get("idempotent-replayed", "") == "true"
                is_correct = response.status == 200 and replayed == bool(instance)
                is_correct = is_correct and bool(receipts[0]) and receipts[0] == receipts[-1]
                detail = f"{'replayed' if replayed else 'ran'}, {receipts[-1]}"
                description = f"{document.service} {rule.method} {rule.path} with key {key}"
                self._report.add_response(description, response, is_correct, detail)

    def _repeat_until_known(
        self,
        document: ServiceDocument,
        instance: int,
        method: str,
        path: str,
        body: bytes,
        key: str,
    ) -> HttpResponse:
        """Repeats a call until its instance has read the outcome from the log."""
        deadline = time.monotonic() + OUTCOME_TIMEOUT_S
        while True:
            headers = {"Idempotency-Key": key}
            response = self._send(document, instance, method, path, body, headers)
            if response.status != STATUS_OUTCOME_UNKNOWN or time.monotonic() > deadline:
                return response
            time.sleep(RETRY_INTERVAL_S)


def parse_chat_stream(body: bytes) -> tuple[str, bool]:
    """Returns the text of a chat stream and whether it ended completely."""
    events = [part.removeprefix("data: ") for part in body.decode("utf-8").split("\n\n") if part]
    parts = []
    for event in events:
        if not event.startswith("{"):
            continue
        for choice in json.loads(event).get("choices", []):
            parts.append(choice.get("delta", {}).get("content") or "")
    return "".join(parts), bool(events) and events[-1] == "[DONE]"


def _build_expected_text(model: str, version: str, body: dict[str, object]) -> str:
    return "".join(generate_tokens(model, version, digest_text(render_prompt(body)), MAX_TOKENS))
