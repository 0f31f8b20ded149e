"""Chooses the blocks of a prompt that an engine imports from and exports to a KV cache store.

A gateway transfers no blocks itself. It looks up which blocks a store has committed and names the
blocks to import and to export in the request to the engine.
"""

import json
import logging
import re
from collections.abc import Callable, Mapping
from dataclasses import asdict, dataclass, field

from ..core.messages import RoutingRequest, StoredPrefix
from ..core.rendezvous import choose_member
from ..core.routing import Router
from ..core.snapshot import Snapshot
from ..events import Event
from ..logs import log_event
from .loop import RelayLoop, Timer
from .metrics import GatewayMetrics
from .transfer import Transfer, TransferEnd, TransferRequest

# A lookup delays the request, so a store that does not respond within this time is not used.
LOOKUP_TIMEOUT_S = 0.05
# No lookups for this time after a failed one, so that a slow store does not delay every request.
FAILURE_PAUSE_S = 2.0
# Computing a shorter prompt takes about as long as a lookup and an import.
MIN_PROMPT_BLOCKS = 2
# Bounds the open connections to slow stores; further lookups are skipped.
MAX_OPEN_LOOKUPS = 100
MAX_RESPONSE_BYTES = 1024 * 1024
# A block of unknown size is charged the bytes that the link carries in this time.
UNKNOWN_SIZE_CHARGE_S = 0.5
# Engines export after a request has ended; only then can a lookup give the size of a block.
SIZE_LOOKUP_DELAY_S = 1.0
COMPLETIONS_PATH = "/v1/completions"
_SHA256_PATTERN = re.compile(r"[0-9a-f]{64}")
_LOGGER = logging.getLogger(__name__)

ModelVersion = tuple[str, str]


@dataclass(frozen=True)
class StoredBlock:
    """A committed generation of a block, as reported by a store; ``length`` is in bytes."""

    key: str
    generation: int
    length: int
    digest: str


@dataclass
class PromptBlocks:
    """The block keys of a prompt and the leading blocks that its store holds."""

    # Base URL of the store.
    store: str
    keys: tuple[str, ...]
    stored: tuple[StoredBlock, ...] = ()
    # Numbers of blocks that the last attempt was to import and to export.
    import_count: int = 0
    export_count: int = 0

    def list_prefixes(self) -> tuple[StoredPrefix, ...]:
        """Returns the stored prefix for the router's cost estimate."""
        if not self.stored:
            return ()
        size_bytes = sum(block.length for block in self.stored)
        return (StoredPrefix(self.store, len(self.stored), size_bytes),)


class InvalidLookupError(ValueError):
    """A store's response to a lookup does not have the documented form."""


@dataclass(eq=False)
class StoreLookup:
    """One lookup at a store; calls ``on_done`` once, with the blocks and an error or ""."""

    loop: RelayLoop
    store: str
    keys: tuple[str, ...]
    on_done: Callable[[tuple[StoredBlock, ...], str], None]
    _status: int = 0
    _body: bytearray = field(default_factory=bytearray)
    _transfer: Transfer | None = None
    _timer: Timer | None = None

    def start(self) -> None:
        """Sends the request; the response arrives on the relay loop's thread."""
        request = TransferRequest(
            method="POST",
            url=f"{self.store}/v1/blocks/lookup",
            headers=(("Content-Type", "application/json"),),
            body=json.dumps({"keys": self.keys}).encode("ascii"),
            connect_timeout_ms=round(LOOKUP_TIMEOUT_S * 1000),
        )
        self._transfer = Transfer(request, self)
        self._timer = self.loop.call_later(LOOKUP_TIMEOUT_S, self._on_timeout)
        self.loop.open_transfer(self._transfer)

    def on_headers(self, status: int, headers: dict[str, str]) -> None:
        """Stores the status."""
        self._status = status

    def on_data(self, data: bytes) -> None:
        """Buffers the body."""
        self._body += data
        if len(self._body) > MAX_RESPONSE_BYTES:
            self._cancel(f"the response exceeds {MAX_RESPONSE_BYTES} bytes")

    def on_end(self, end: TransferEnd) -> None:
        """Parses the complete response."""
        if end.error or self._status != 200:
            self._finish((), end.error or f"status {self._status}")
            return
        try:
            blocks = parse_lookup_response(bytes(self._body), self.keys)
        except InvalidLookupError as error:
            self._finish((), str(error))
        else:
            self._finish(blocks, "")

    def _on_timeout(self) -> None:
        self._cancel(f"no response within {LOOKUP_TIMEOUT_S * 1000:.0f} ms")

    def _cancel(self, error: str) -> None:
        if self._transfer is not None:
            self.loop.cancel_transfer(self._transfer)
            self._finish((), error)

    def _finish(self, blocks: tuple[StoredBlock, ...], error: str) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._transfer = self._timer = None
        self.on_done(blocks, error)


class StorePool:
    """The stores that this gateway may use. Runs on the relay loop's thread.

    ``bytes_per_s`` is this gateway's budget for each store's link; with 0, it uses no stores.
    """

    def __init__(
        self, loop: RelayLoop, router: Router, metrics: GatewayMetrics, bytes_per_s: float
    ) -> None:
        self._loop = loop
        self._router = router
        self._metrics = metrics
        self._link_bytes_per_s = bytes_per_s
        # Store id to base URL.
        self._stores: dict[str, str] = {}
        # Base URL to the time until which a store gets no lookups.
        self._paused_until: dict[str, float] = {}
        self._block_sizes: dict[ModelVersion, int] = {}
        self._open_lookups = 0

    def apply_snapshot(self, snapshot: Snapshot, now: float) -> None:
        """Sets the live stores of all data centres that are not drained."""
        if not self._link_bytes_per_s:
            return
        stores = {
            member.store: member.address
            for member in snapshot.stores
            if member.data_centre not in snapshot.drained
        }
        if stores != self._stores:
            self._stores = stores
            self._router.set_link_rates(dict.fromkeys(stores.values(), self._link_bytes_per_s), now)
            self._paused_until = {
                store: until for store, until in self._paused_until.items() if until > now
            }

    def look_up(
        self, routing: RoutingRequest, on_done: Callable[[PromptBlocks | None], None]
    ) -> bool:
        """Looks up a prompt's blocks in its store; False if no lookup was started.

        ``on_done`` gets None if the lookup failed; the request then goes on without stores.
        """
        if len(routing.block_keys) < MIN_PROMPT_BLOCKS:
            return False
        store = self._choose_store(routing.block_keys[0])
        if store is None:
            return False
        if self._is_paused(store) or self._open_lookups >= MAX_OPEN_LOOKUPS:
            self._metrics.store_lookups.labels("skipped").inc()
            return False
        keys = tuple(key.hex() for key in routing.block_keys)
        model = (routing.model, routing.version)

        def finish(stored: tuple[StoredBlock, ...] | None) -> None:
            on_done(None if stored is None else PromptBlocks(store, keys, stored))

        self._send_lookup(store, keys, model, finish)
        return True

    def plan_kv_transfer(
        self,
        blocks: PromptBlocks,
        routing: RoutingRequest,
        planned_import: StoredPrefix | None,
        now: float,
    ) -> dict[str, object]:
        """Returns the members of the request's ``engine`` extension for one attempt.

        Reserves link bytes for exports; those of ``planned_import`` are already reserved.
        """
        fields: dict[str, object] = {}
        to_import = blocks.stored[: planned_import.blocks] if planned_import is not None else ()
        blocks.import_count = len(to_import)
        if planned_import is not None and to_import:
            fields["kv_import"] = {
                "store": blocks.store,
                "blocks": [asdict(block) for block in to_import],
            }
            self._count_blocks(routing, "import", len(to_import), planned_import.size_bytes)
        first_missing = len(blocks.stored)
        blocks.export_count = self._reserve_export(blocks, routing, now)
        if blocks.export_count:
            fields["kv_export"] = {
                "store": blocks.store,
                "first_block": first_missing,
                "keys": list(blocks.keys[first_missing : first_missing + blocks.export_count]),
            }
        return fields

    def on_complete(
        self, blocks: PromptBlocks, routing: RoutingRequest, cached_tokens: int
    ) -> None:
        """Logs an import that failed; schedules a lookup of the block size if it is unknown."""
        if blocks.import_count and not cached_tokens:
            log_event(
                _LOGGER,
                logging.WARNING,
                Event.GATEWAY_IMPORT_FAILED,
                f"the engine computed the prompt instead of importing {blocks.import_count} blocks",
                request=routing.request_id,
                store=blocks.store,
            )
        model = (routing.model, routing.version)
        if blocks.export_count and model not in self._block_sizes:
            first_missing = len(blocks.stored)
            keys = blocks.keys[first_missing : first_missing + 1]
            self._loop.call_later(
                SIZE_LOOKUP_DELAY_S, lambda: self._look_up_block_size(blocks.store, keys, model)
            )

    def _choose_store(self, first_key: bytes) -> str | None:
        """Returns the store's URL; prompts that begin with the same block use the same store."""
        chosen = choose_member(first_key, self._stores)
        return None if chosen is None else self._stores[chosen]

    def _is_paused(self, store: str) -> bool:
        return self._loop.now() < self._paused_until.get(store, 0.0)

    def _look_up_block_size(self, store: str, keys: tuple[str, ...], model: ModelVersion) -> None:
        if model not in self._block_sizes and not self._is_paused(store):
            self._send_lookup(store, keys, model, lambda stored: None)

    def _send_lookup(
        self,
        store: str,
        keys: tuple[str, ...],
        model: ModelVersion,
        on_done: Callable[[tuple[StoredBlock, ...] | None], None],
    ) -> None:
        def finish(stored: tuple[StoredBlock, ...], error: str) -> None:
            self._open_lookups -= 1
            if error:
                self._pause(store, error)
                on_done(None)
                return
            self._metrics.store_lookups.labels("found" if stored else "missing").inc()
            if stored:
                self._block_sizes[model] = max(block.length for block in stored)
            on_done(stored)

        self._open_lookups += 1
        StoreLookup(self._loop, store, keys, finish).start()

    def _pause(self, store: str, error: str) -> None:
        self._metrics.store_lookups.labels("failed").inc()
        # Lookups that are already open fail one after the other; only the first is logged.
        if not self._is_paused(store):
            log_event(
                _LOGGER, logging.WARNING, Event.GATEWAY_STORE_LOOKUP_FAILED, error, store=store
            )
        self._paused_until[store] = self._loop.now() + FAILURE_PAUSE_S

    def _reserve_export(self, blocks: PromptBlocks, routing: RoutingRequest, now: float) -> int:
        """Reserves link bytes for leading missing blocks; returns the number of blocks."""
        missing = len(blocks.keys) - len(blocks.stored)
        if self._is_paused(blocks.store):
            return 0
        size = self._block_sizes.get((routing.model, routing.version))
        if size is None:
            # More blocks of unknown size could exceed the budget by any factor.
            missing, size = min(1, missing), int(self._link_bytes_per_s * UNKNOWN_SIZE_CHARGE_S)
        count = 0
        while count < missing and self._router.reserve_link_bytes(blocks.store, size, now):
            count += 1
        if count:
            self._count_blocks(routing, "export", count, count * size)
        return count

    def _count_blocks(
        self, routing: RoutingRequest, direction: str, count: int, size_bytes: int
    ) -> None:
        self._metrics.kv_blocks.labels(routing.service, direction).inc(count)
        self._metrics.store_link_bytes.labels(routing.service, direction).inc(size_bytes)


def can_use_stores(path: str, content: Mapping[str, object]) -> bool:
    """Returns whether gateway and engine divide this request's prompt into the same blocks.

    They do not for chat and list prompts, which the engine renders by a template that the gateway
    does not have, or with a suffix, which the engine may place before the prompt.
    """
    prompt = content.get("prompt")
    if path != COMPLETIONS_PATH or not isinstance(prompt, str) or content.get("suffix"):
        return False
    try:
        prompt.encode("utf-8")
    except UnicodeEncodeError:
        # Lone surrogates are replaced for the keys, so different prompts would share a key.
        return False
    return True


def parse_lookup_response(body: bytes, keys: tuple[str, ...]) -> tuple[StoredBlock, ...]:
    """Returns the leading blocks that a store holds; raises InvalidLookupError."""
    try:
        entries = json.loads(body)["blocks"]
    except (ValueError, KeyError, TypeError) as error:
        raise InvalidLookupError("the response has no blocks") from error
    if not isinstance(entries, list) or len(entries) > len(keys):
        raise InvalidLookupError("the response lists other blocks than requested")
    return tuple(_parse_block(entry, key) for entry, key in zip(entries, keys, strict=False))


def _parse_block(entry: object, key: str) -> StoredBlock:
    if not isinstance(entry, dict) or entry.get("key") != key:
        raise InvalidLookupError("the response lists other blocks than requested")
    generation, length, digest = (entry.get(n) for n in ("generation", "length", "digest"))
    if type(generation) is not int or type(length) is not int or length <= 0:
        raise InvalidLookupError("a block has no generation or length")
    if not isinstance(digest, str) or not _SHA256_PATTERN.fullmatch(digest):
        raise InvalidLookupError("a block has no SHA-256")
    return StoredBlock(key, generation, length, digest)
