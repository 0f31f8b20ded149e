"""Formats the responses of the model engine stand-in in the form of the OpenAI API."""

import json
import time

from .enginemodel import Run

_STREAM_HEAD = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked"
_JSON_HEAD = "HTTP/1.1 200 OK\r\nContent-Type: application/json"
_TOKEN_PLACEHOLDER = "@token@"
_REASON_PLACEHOLDER = '"@reason@"'
WRONG_ATTEMPT = "att-of-another-request"


def is_chat(run: Run) -> bool:
    """Returns whether the run is for a chat request."""
    return run.path.endswith("/chat/completions")


def _create_usage(run: Run) -> dict[str, object]:
    return {
        "prompt_tokens": run.prompt_tokens,
        "completion_tokens": run.max_tokens,
        "total_tokens": run.prompt_tokens + run.max_tokens,
        "prompt_tokens_details": {"cached_tokens": run.cached_tokens},
    }


def _create_head(first_lines: str, run: Run, wrong_attempt: bool) -> bytes:
    lines = [
        first_lines,
        f"X-Request-Id: {run.request}",
        f"X-Attempt-Id: {WRONG_ATTEMPT if wrong_attempt else run.attempt}",
        f"X-Customer: {run.customer}",
        f"X-Model-Version: {run.version}",
        f"X-Incarnation: {run.incarnation}",
        "Connection: close",
    ]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def _format_chunk(event: bytes) -> bytes:
    """Returns one chunk of the chunked transfer encoding with one server-sent event."""
    return b"%x\r\ndata: %b\n\n\r\n" % (len(event) + 8, event)


class StreamFormatter:
    """Formats one stream; the unchanging parts of its events are encoded once."""

    def __init__(self, run: Run, wrong_attempt: bool) -> None:
        self._run = run
        self._head = _create_head(_STREAM_HEAD, run, wrong_attempt)
        self._common_fields: dict[str, object] = {
            "id": run.request,
            "object": "chat.completion.chunk" if is_chat(run) else "text_completion",
            "created": int(time.time()),
            "model": run.model,
        }
        choice: dict[str, object] = {"index": 0, "finish_reason": "@reason@"}
        choice |= (
            {"delta": {"content": _TOKEN_PLACEHOLDER}}
            if is_chat(run)
            else {"text": _TOKEN_PLACEHOLDER}
        )
        text = json.dumps({**self._common_fields, "choices": [choice]})
        # ``finish_reason`` comes before the token in the JSON text.
        before_reason, after_reason = text.split(_REASON_PLACEHOLDER)
        middle, end = after_reason.split(_TOKEN_PLACEHOLDER)
        self._prefix = (before_reason + "null" + middle).encode("ascii")
        self._last_prefix = (before_reason + '"length"' + middle).encode("ascii")
        self._suffix = end.encode("ascii")

    def format_tokens(self, first: int, end: int) -> bytes:
        """Returns the events of tokens ``first`` to ``end - 1``, after the head if not yet sent."""
        run = self._run
        parts = [self.pop_head()]
        for index in range(first, end):
            prefix = self._last_prefix if index == run.max_tokens - 1 else self._prefix
            parts.append(_format_chunk(prefix + run.tokens[index].encode("ascii") + self._suffix))
        return b"".join(parts)

    def pop_head(self) -> bytes:
        """Returns the response head on the first call, then nothing."""
        head, self._head = self._head, b""
        return head

    def format_end(self) -> bytes:
        """Returns the usage event, ``[DONE]`` and the last chunk."""
        usage = {**self._common_fields, "choices": [], "usage": _create_usage(self._run)}
        return (
            _format_chunk(json.dumps(usage).encode("ascii"))
            + _format_chunk(b"[DONE]")
            + b"0\r\n\r\n"
        )


def format_json_response(run: Run, wrong_attempt: bool) -> bytes:
    """Returns a complete response that is not streamed."""
    text = "".join(run.tokens[run.start_token :])
    choice: dict[str, object] = {"index": 0, "finish_reason": "length"}
    if is_chat(run):
        choice["message"] = {"role": "assistant", "content": text}
    else:
        choice["text"] = text
    body = {
        "id": run.request,
        "object": "chat.completion" if is_chat(run) else "text_completion",
        "created": int(time.time()),
        "model": run.model,
        "choices": [choice],
        "usage": _create_usage(run),
    }
    data = json.dumps(body).encode("ascii")
    head = _create_head(f"{_JSON_HEAD}\r\nContent-Length: {len(data)}", run, wrong_attempt)
    return head + data
