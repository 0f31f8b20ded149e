"""Computes the keys of KV cache blocks, a chain of keyed hashes over the blocks of a prompt.

The chain starts from customer, model and version, so blocks of different customers or model
versions never share a key. Without the secret, nobody can compute the key of a guessed prompt.
"""

import hashlib

# About 2,000 tokens of text.
BLOCK_BYTES = 8192
KEY_BYTES = 16


def compute_block_keys(
    secret: bytes, customer: str, model: str, version: str, prompt: bytes
) -> tuple[bytes, ...]:
    """Returns a key of 16 bytes for each complete block of 8 KiB; a shorter last one gets none."""
    mac_key = hashlib.sha256(secret).digest()
    chained = _hash(mac_key, _encode_fields(customer, model, version))
    keys: list[bytes] = []
    for start in range(0, len(prompt) - BLOCK_BYTES + 1, BLOCK_BYTES):
        chained = _hash(mac_key, chained + prompt[start : start + BLOCK_BYTES])
        keys.append(chained)
    return tuple(keys)


def _hash(mac_key: bytes, data: bytes) -> bytes:
    return hashlib.blake2b(data, digest_size=KEY_BYTES, key=mac_key).digest()


def _encode_fields(*fields: str) -> bytes:
    """Prefixes each field with its length, so that ("a", "bc") differs from ("ab", "c")."""
    parts = []
    for field in fields:
        data = field.encode()
        parts.append(len(data).to_bytes(4, "big") + data)
    return b"".join(parts)
