"""Deterministic output of the model engine stand-in.

Token i depends only on model, version, prompt and i, so every engine gives the same text and a
checker can tell from the prompt alone whether a response is complete and belongs to its request.
"""

import hashlib
from collections.abc import Mapping

import xxhash

# Thus 2048 tokens are 8 KiB of prompt, the size of a cache block.
BYTES_PER_TOKEN = 4
DEFAULT_MAX_TOKENS = 16
_SYLLABLES = ("ka", "ri", "mo", "ta", "le", "su", "no", "pi", "za", "he", "du", "wo", "vi", "ge")
_WORDS = tuple(f" {first}{second}" for first in _SYLLABLES for second in _SYLLABLES)


def render_prompt(body: Mapping[str, object]) -> str:
    """Returns the prompt of a completion or chat request body as one text."""
    messages = body.get("messages")
    if not isinstance(messages, list):
        return str(body.get("prompt", ""))
    lines = [
        f"{message.get('role', '')}: {message.get('content', '')}"
        for message in messages
        if isinstance(message, dict)
    ]
    return "\n".join(lines)


def digest_text(text: str) -> str:
    """Returns the SHA-256 that stands for a prompt or an output in histories."""
    return hashlib.sha256(text.encode("utf-8")).hexdigest()


def count_tokens(prompt: str) -> int:
    """Returns the number of prompt tokens, at least 1."""
    return max(1, -(-len(prompt.encode("utf-8")) // BYTES_PER_TOKEN))


def generate_tokens(model: str, version: str, prompt_digest: str, count: int) -> list[str]:
    """Returns the first ``count`` output tokens for a prompt with this digest."""
    seed = xxhash.xxh64_intdigest(f"{model}\n{version}\n{prompt_digest}".encode())
    return [
        _WORDS[xxhash.xxh64_intdigest(index.to_bytes(4, "big"), seed) % len(_WORDS)]
        for index in range(count)
    ]


def digest_expected_output(model: str, version: str, prompt_digest: str, count: int) -> str:
    """Returns the digest of the complete output."""
    return digest_text("".join(generate_tokens(model, version, prompt_digest, count)))
