"""The prefix cache of the model engine stand-in."""

import hashlib
from collections import OrderedDict

BLOCK_BYTES = 8 * 1024
TOKENS_PER_BLOCK = 2048


def compute_chain_keys(customer: str, model: str, version: str, prompt: bytes) -> list[bytes]:
    """Returns one key for each whole block; a key depends on its block and all before it."""
    key = hashlib.sha256(f"{customer}\n{model}\n{version}".encode()).digest()
    keys = []
    for start in range(0, len(prompt) - BLOCK_BYTES + 1, BLOCK_BYTES):
        key = hashlib.sha256(key + prompt[start : start + BLOCK_BYTES]).digest()
        keys.append(key)
    return keys


class PrefixCache:
    """Blocks of the prompts run so far; evicts the least recently used first."""

    def __init__(self, capacity: int) -> None:
        self._capacity = capacity
        self._blocks: OrderedDict[bytes, None] = OrderedDict()

    def count_cached(self, keys: list[bytes]) -> int:
        """Returns how many leading blocks are cached and marks them as used."""
        count = 0
        for key in keys:
            if key not in self._blocks:
                break
            self._blocks.move_to_end(key)
            count += 1
        return count

    def add(self, keys: list[bytes]) -> None:
        """Caches the blocks of a prompt."""
        for key in keys[: self._capacity]:
            self._blocks[key] = None
            self._blocks.move_to_end(key)
        while len(self._blocks) > self._capacity:
            self._blocks.popitem(last=False)

    def clear(self) -> None:
        """Drops everything, as a restart does."""
        self._blocks.clear()
