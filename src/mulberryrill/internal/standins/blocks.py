"""Blocks of the KV cache store stand-in: two-phase writes, generations, memory and disk tiers."""

import hashlib
import threading
from collections import OrderedDict
from dataclasses import dataclass

from ...errors import MulberryrillError


class StoreError(MulberryrillError):
    """A block operation was refused; ``status`` is the HTTP status of the response."""

    def __init__(self, status: int, message: str) -> None:
        super().__init__(message)
        self.status = status


@dataclass(frozen=True)
class Block:
    """A committed generation of a block."""

    key: str
    generation: int
    data: bytes
    digest: str


class BlockTable:
    """Committed blocks; the least recently used move to disk, then are freed. Thread-safe."""

    def __init__(self, memory_bytes: int, disk_bytes: int) -> None:
        self._memory_bytes = memory_bytes
        self._disk_bytes = disk_bytes
        self._lock = threading.Lock()
        self._generation = 0
        # By (key, generation); None until the bytes have arrived.
        self._open_writes: dict[tuple[str, int], bytes | None] = {}
        self._memory: OrderedDict[str, Block] = OrderedDict()
        self._disk: OrderedDict[str, Block] = OrderedDict()

    def open_write(self, key: str) -> int:
        """Returns a generation, never used before, for a new write."""
        with self._lock:
            self._generation += 1
            self._open_writes[key, self._generation] = None
            return self._generation

    def upload(self, key: str, generation: int, data: bytes) -> None:
        """Stores the bytes of an open write; readers don't see them before the commit."""
        with self._lock:
            if (key, generation) not in self._open_writes:
                raise StoreError(404, f"There is no open write of generation {generation}.")
            self._open_writes[key, generation] = data

    def commit(self, key: str, generation: int, length: int, digest: str) -> None:
        """Makes the block visible if length and SHA-256 are right; frees an older generation."""
        with self._lock:
            data = self._open_writes.get((key, generation))
            if data is None:
                raise StoreError(404, f"Nothing was uploaded for generation {generation}.")
            if len(data) != length or hashlib.sha256(data).hexdigest() != digest:
                raise StoreError(422, "Length or digest does not match the uploaded bytes.")
            del self._open_writes[key, generation]
            current = self._find(key)
            if current is not None and current.generation > generation:
                raise StoreError(409, f"Generation {current.generation} is already committed.")
            self._free(key)
            self._memory[key] = Block(key, generation, data, digest)
            self._evict()

    def look_up(self, key: str) -> tuple[Block, str]:
        """Returns the visible block and its tier; raises StoreError 404."""
        with self._lock:
            block = self._find(key)
            if block is None:
                raise StoreError(404, "There is no such block.")
            return block, "memory" if key in self._memory else "disk"

    def read(self, key: str, generation: int) -> tuple[Block, str]:
        """Returns the block of exactly this generation and marks it as used."""
        block, tier = self.look_up(key)
        if block.generation != generation:
            raise StoreError(404, f"Generation {generation} is not kept.")
        with self._lock:
            # Reading a block moves it from disk to memory.
            if self._disk.pop(key, None) is not None:
                self._memory[key] = block
            if key in self._memory:
                self._memory.move_to_end(key)
            self._evict()
        return block, tier

    def delete(self, key: str) -> None:
        """Frees a block."""
        with self._lock:
            self._free(key)

    def _find(self, key: str) -> Block | None:
        return self._memory.get(key) or self._disk.get(key)

    def _free(self, key: str) -> None:
        self._memory.pop(key, None)
        self._disk.pop(key, None)

    def _evict(self) -> None:
        while _count_bytes(self._memory) > self._memory_bytes:
            key, block = self._memory.popitem(last=False)
            self._disk[key] = block
        while _count_bytes(self._disk) > self._disk_bytes:
            self._disk.popitem(last=False)


def _count_bytes(blocks: OrderedDict[str, Block]) -> int:
    return sum(len(block.data) for block in blocks.values())
