"""Server-sent events of a model engine: parses, counts and verifies them for resumable streams."""

import json
from dataclasses import dataclass, field

from ...errors import ResponseLimitError
from ..http.events import EventBuffer

DONE = b"data: [DONE]"


class BrokenStreamError(Exception):
    """A stream is invalid or ended early; ``resumable`` if the delivered output is correct."""

    def __init__(self, message: str, resumable: bool) -> None:
        super().__init__(message)
        self.resumable = resumable


class EventSplitter:
    """Splits a stream of bytes into events, without the empty line that ends each."""

    def __init__(self) -> None:
        self._buffer = EventBuffer()

    def feed(self, data: bytes) -> list[bytes]:
        """Returns the events that ``data`` completes; raises BrokenStreamError."""
        try:
            events = [event[:length] for event, length in self._buffer.feed(data)]
        except ResponseLimitError as error:
            raise BrokenStreamError(str(error), True) from error
        if b"\r" in data:
            events = [event.replace(b"\r\n", b"\n") for event in events]
        return events


@dataclass
class StreamProgress:
    """What the caller of one stream has received, over all attempts."""

    tokens: int = 0
    parts: list[str] = field(default_factory=list)
    # False once an event held output that continue_text cannot express.
    resumable: bool = True
    # The usage event agreed with the number of counted tokens.
    verified: bool = False
    # The last finish_reason that was delivered.
    finish_reason: str = ""
    prompt_tokens: int = 0
    cached_tokens: int = 0

    @property
    def text(self) -> str:
        """The output delivered so far."""
        return "".join(self.parts)


def build_continuation(progress: StreamProgress) -> dict[str, object]:
    """Returns the members of "engine" that resume a stream after what was delivered."""
    return {"continue_text": progress.text, "continue_tokens": progress.tokens}


class StreamReader:
    """Parses and verifies the events of one attempt, and selects those for the caller."""

    def __init__(self, progress: StreamProgress, wants_usage: bool) -> None:
        self._progress = progress
        self._wants_usage = wants_usage
        self._is_resumed = progress.tokens > 0
        # Bytes before and after the token in the last ordinary event that was parsed.
        self._prefix = self._suffix = b""
        self.is_done = False

    def read(self, event: bytes) -> bytes:
        """Returns the bytes to deliver, which may be empty; raises BrokenStreamError."""
        if self._prefix and self._read_templated(event):
            return event + b"\n\n"
        return self._parse_event(event)

    def _read_templated(self, event: bytes) -> bool:
        """Counts an event that differs from a parsed one only in its token, without parsing it.

        Parsing every event took a third of the relay's CPU time. A token without quotes,
        backslashes and control characters cannot change the structure of the JSON around it.
        """
        prefix, suffix = self._prefix, self._suffix
        if not (event.startswith(prefix) and event.endswith(suffix)):
            return False
        token = event[len(prefix) : -len(suffix)]
        if not token.isascii() or not token.decode("ascii").isprintable():
            return False
        if b'"' in token or b"\\" in token or not token:
            return False
        self._progress.tokens += 1
        self._progress.parts.append(token.decode("ascii"))
        return True

    def _set_template(self, event: bytes, text: str) -> None:
        """Stores the bytes around the token of an ordinary event, unless the token is ambiguous."""
        quoted = b'"' + text.encode("utf-8") + b'"'
        if event.count(quoted) == 1:
            start = event.index(quoted) + 1
            self._prefix, self._suffix = event[:start], event[start + len(quoted) - 2 :]

    def _parse_event(self, event: bytes) -> bytes:
        if self.is_done:
            raise BrokenStreamError("events after the end of the stream", False)
        if event.startswith(DONE):
            if not self._progress.verified:
                raise BrokenStreamError("the stream ended without its usage event", True)
            self.is_done = True
            return event + b"\n\n"
        if not event.startswith(b"data:"):
            return b""
        try:
            body = json.loads(event[5:])
        except ValueError as error:
            raise BrokenStreamError("an event is not JSON", True) from error
        if not isinstance(body, dict) or "error" in body:
            raise BrokenStreamError("the target ended the stream with an error", True)
        return self._read_body(event, body)

    def _read_body(self, event: bytes, body: dict) -> bytes:
        choices = body.get("choices") or []
        has_token = bool(choices) and self._count_token(choices)
        usage = body.get("usage")
        if usage:
            self._check_usage(usage)
        if not choices:
            return event + b"\n\n" if self._wants_usage and usage else b""
        reason = choices[0].get("finish_reason")
        if has_token and not usage and not reason and self._progress.resumable:
            self._set_template(event, self._progress.parts[-1])
        if reason:
            self._progress.finish_reason = str(reason)
        is_repeated_role = self._is_resumed and not has_token and not reason
        return b"" if is_repeated_role else event + b"\n\n"

    def _count_token(self, choices: list) -> bool:
        """Counts an event with output; False for others. Engines send one token per event."""
        choice = choices[0]
        delta = choice.get("delta")
        text = delta.get("content") if delta is not None else choice.get("text")
        progress = self._progress
        has_other_output = delta is not None and any(
            value for name, value in delta.items() if name not in ("role", "content")
        )
        if not text and not has_other_output:
            return False
        if has_other_output or choice.get("index", 0) != 0 or len(choices) > 1:
            progress.resumable = False
        progress.tokens += 1
        progress.parts.append(text or "")
        return True

    def _check_usage(self, usage: dict) -> None:
        progress = self._progress
        expected = usage.get("completion_tokens")
        if expected != progress.tokens:
            raise BrokenStreamError(
                f"{progress.tokens} tokens arrived but the target reports {expected}", False
            )
        progress.verified = True
        progress.prompt_tokens = usage.get("prompt_tokens") or 0
        details = usage.get("prompt_tokens_details") or {}
        progress.cached_tokens = details.get("cached_tokens") or 0
