"""Server-sent events of a model engine: splitting, counting and what is needed to resume."""

import json
from dataclasses import dataclass, field

DONE = b"data: [DONE]"


class EventSplitter:
    """Cuts a stream of bytes into events; each is returned without its final empty line."""

    def __init__(self) -> None:
        self._tail = b""

    def feed(self, data: bytes) -> list[bytes]:
        """Returns the events that are complete now."""
        buffer = self._tail + data
        if b"\r" in buffer:
            buffer = buffer.replace(b"\r\n", b"\n")
        *events, self._tail = buffer.split(b"\n\n")
        return events


class BrokenStreamError(Exception):
    """A stream's events contradict each other; ``resumable`` if what was delivered is right."""

    def __init__(self, message: str, resumable: bool) -> None:
        super().__init__(message)
        self.resumable = resumable


@dataclass
class StreamProgress:
    """What the caller of one stream has received, over all attempts."""

    tokens: int = 0
    parts: list[str] = field(default_factory=list)
    # Set when an event holds output that continue_text cannot express.
    resumable: bool = True
    # The usage event agreed with the count of delivered events.
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
    """Reads the events of one attempt and decides which reach the caller."""

    def __init__(self, progress: StreamProgress, wants_usage: bool) -> None:
        self._progress = progress
        self._wants_usage = wants_usage
        self._is_resumed = progress.tokens > 0
        # Bytes before and after the token in the last event that was parsed.
        self._before = self._after = b""
        self.is_done = False

    def read(self, event: bytes) -> bytes:
        """Returns the bytes to deliver, which may be empty; raises BrokenStreamError."""
        if self._before and self._read_similar(event):
            return event + b"\n\n"
        return self._read_any(event)

    def _read_similar(self, event: bytes) -> bool:
        """Counts an event that differs from a parsed one only in its token.

        Parsing each event took a third of the relay's processor time. A token without quotes,
        backslashes and control characters cannot change the structure of the JSON around it.
        """
        before, after = self._before, self._after
        if not (event.startswith(before) and event.endswith(after)):
            return False
        token = event[len(before) : -len(after)]
        if not token.isascii() or not token.decode("ascii").isprintable():
            return False
        if b'"' in token or b"\\" in token or not token:
            return False
        self._progress.tokens += 1
        self._progress.parts.append(token.decode("ascii"))
        return True

    def _learn(self, event: bytes, text: str) -> None:
        """Remembers what surrounds the token of an ordinary event."""
        quoted = b'"' + text.encode("utf-8") + b'"'
        if event.count(quoted) == 1:
            start = event.index(quoted) + 1
            self._before, self._after = event[:start], event[start + len(quoted) - 2 :]

    def _read_any(self, event: bytes) -> bytes:
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
        has_token = bool(choices) and self._count(choices)
        usage = body.get("usage")
        if usage:
            self._check(usage)
        if not choices:
            return event + b"\n\n" if self._wants_usage and usage else b""
        reason = choices[0].get("finish_reason")
        if has_token and not usage and not reason and self._progress.resumable:
            self._learn(event, self._progress.parts[-1])
        if reason:
            self._progress.finish_reason = str(reason)
        is_repeated_role = self._is_resumed and not has_token and not reason
        return b"" if is_repeated_role else event + b"\n\n"

    def _count(self, choices: list) -> bool:
        """Counts an event that carries output. An engine sends one token for each event."""
        choice = choices[0]
        delta = choice.get("delta")
        text = delta.get("content") if delta is not None else choice.get("text")
        progress = self._progress
        other = delta is not None and any(
            value for name, value in delta.items() if name not in ("role", "content")
        )
        if not text and not other:
            return False
        if other or choice.get("index", 0) != 0 or len(choices) > 1:
            progress.resumable = False
        progress.tokens += 1
        progress.parts.append(text or "")
        return True

    def _check(self, usage: dict) -> None:
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
