"""KV cache stores as a gateway uses them: which blocks of a prompt to import and to export.

A gateway moves no blocks itself. It asks a store which blocks are committed and tells the engine,
in the request, what to import and what to export.
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

# A lookup delays the request, so a store that does not answer within this time is not used.
LOOKUP_TIMEOUT_S = 0.05
# A store that failed a lookup is not asked again for this time, so that it does not delay others.
FAILURE_PAUSE_S = 2.0
# Shorter prompts are computed in about the time that a lookup and an import take.
MIN_PROMPT_BLOCKS = 2
# Further lookups are skipped, which bounds the open connections to stores that answer slowly.
MAX_OPEN_LOOKUPS = 100
MAX_RESPONSE_BYTES = 1024 * 1024
# Part of a second of the link that is charged for a block whose size is not known yet.
UNKNOWN_SIZE_CHARGE_S = 0.5
# Engines export after the end of a run; the size of the first block is then read from the store.
SIZE_LOOKUP_DELAY_S = 1.0
COMPLETIONS_PATH = "/v1/completions"
_DIGEST = re.compile(r"[0-9a-f]{64}")
_LOGGER = logging.getLogger(__name__)

ModelVersion = tuple[str, str]


@dataclass(frozen=True)
class StoredBlock:
    """A committed generation of a block as a store describes it; ``length`` is in bytes."""

    key: str
    generation: int
    length: int
    digest: str


@dataclass
class PromptBlocks:
    """The blocks of one prompt and the leading ones that its store holds."""

    # Base URL of the store.
    store: str
    keys: tuple[str, ...]
    stored: tuple[StoredBlock, ...] = ()
    # Numbers of blocks that the last attempt was told to import and to export.
    import_count: int = 0
    export_count: int = 0

    def list_prefixes(self) -> tuple[StoredPrefix, ...]:
        """Returns the found prefix in the form that the router weighs."""
        if not self.stored:
            return ()
        size_bytes = sum(block.length for block in self.stored)
        return (StoredPrefix(self.store, len(self.stored), size_bytes),)


class InvalidLookupError(ValueError):
    """A store's answer to a lookup does not have the documented form."""


@dataclass(eq=False)
class StoreLookup:
    """One lookup at a store; calls ``on_done`` once, with the blocks or an error text."""

    loop: RelayLoop
    store: str
    keys: tuple[str, ...]
    on_done: Callable[[tuple[StoredBlock, ...], str], None]
    _status: int = 0
    _body: bytearray = field(default_factory=bytearray)
    _transfer: Transfer | None = None
    _timer: Timer | None = None

    def start(self) -> None:
        """Sends the request; the answer arrives on the relay loop's thread."""
        request = TransferRequest(
            method="POST",
            url=f"{self.store}/v1/blocks/lookup",
            headers=(("Content-Type", "application/json"),),
            body=json.dumps({"keys": self.keys}).encode("ascii"),
            connect_timeout_ms=round(LOOKUP_TIMEOUT_S * 1000),
        )
        self._transfer = Transfer(request, self)
        self._timer = self.loop.call_later(LOOKUP_TIMEOUT_S, self._stop_late)
        self.loop.open_transfer(self._transfer)

    def on_headers(self, status: int, headers: dict[str, str]) -> None:
        """Notes the status."""
        self._status = status

    def on_data(self, data: bytes) -> None:
        """Collects the answer."""
        self._body += data
        if len(self._body) > MAX_RESPONSE_BYTES:
            self._stop(f"the answer exceeds {MAX_RESPONSE_BYTES} bytes")

    def on_end(self, end: TransferEnd) -> None:
        """Reads the complete answer."""
        if end.error or self._status != 200:
            self._finish((), end.error or f"status {self._status}")
            return
        try:
            blocks = parse_lookup_response(bytes(self._body), self.keys)
        except InvalidLookupError as error:
            self._finish((), str(error))
        else:
            self._finish(blocks, "")

    def _stop_late(self) -> None:
        self._stop(f"no answer within {LOOKUP_TIMEOUT_S * 1000:.0f} ms")

    def _stop(self, error: str) -> None:
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

    ``bytes_per_s`` is this gateway's budget of each store's link; 0: it uses no stores.
    """

    def __init__(
        self, loop: RelayLoop, router: Router, metrics: GatewayMetrics, bytes_per_s: float
    ) -> None:
        self._loop = loop
        self._router = router
        self._metrics = metrics
        self._rate = bytes_per_s
        # Store id to base URL.
        self._stores: dict[str, str] = {}
        # Base URL to the time until which a store is left alone.
        self._paused_until: dict[str, float] = {}
        self._sizes: dict[ModelVersion, int] = {}
        self._open_lookups = 0

    def apply_snapshot(self, snapshot: Snapshot, now: float) -> None:
        """Uses the live stores of the data centres that are not drained."""
        if not self._rate:
            return
        stores = {
            member.store: member.address
            for member in snapshot.stores
            if member.data_centre not in snapshot.drained
        }
        if stores != self._stores:
            self._stores = stores
            self._router.set_link_rates(dict.fromkeys(stores.values(), self._rate), now)
            self._paused_until = {
                store: until for store, until in self._paused_until.items() if until > now
            }

    def look_up(
        self, routing: RoutingRequest, on_done: Callable[[PromptBlocks | None], None]
    ) -> bool:
        """Asks the prompt's store for its blocks; False if there is nothing to ask.

        ``on_done`` gets None if the lookup failed; the request goes on without stores.
        """
        if len(routing.block_keys) < MIN_PROMPT_BLOCKS:
            return False
        store = self._find_store(routing.block_keys[0])
        if store is None:
            return False
        if self._is_paused(store) or self._open_lookups >= MAX_OPEN_LOOKUPS:
            self._metrics.store_lookups.labels("skipped").inc()
            return False
        keys = tuple(key.hex() for key in routing.block_keys)
        model = (routing.model, routing.version)

        def finish(found: tuple[StoredBlock, ...] | None) -> None:
            on_done(None if found is None else PromptBlocks(store, keys, found))

        self._ask(store, keys, model, finish)
        return True

    def plan_kv_transfer(
        self,
        blocks: PromptBlocks,
        routing: RoutingRequest,
        imported: StoredPrefix | None,
        now: float,
    ) -> dict[str, object]:
        """Returns the members of the request's ``engine`` extension for one attempt.

        The bytes of ``imported`` are already taken from the link's budget.
        """
        fields: dict[str, object] = {}
        named = blocks.stored[: imported.blocks] if imported is not None else ()
        blocks.import_count = len(named)
        if imported is not None and named:
            fields["kv_import"] = {
                "store": blocks.store,
                "blocks": [asdict(block) for block in named],
            }
            self._count(routing, "import", len(named), imported.size_bytes)
        first = len(blocks.stored)
        blocks.export_count = self._reserve_export(blocks, routing, now)
        if blocks.export_count:
            fields["kv_export"] = {
                "store": blocks.store,
                "first_block": first,
                "keys": list(blocks.keys[first : first + blocks.export_count]),
            }
        return fields

    def on_complete(
        self, blocks: PromptBlocks, routing: RoutingRequest, cached_tokens: int
    ) -> None:
        """Draws conclusions from an attempt that ended completely."""
        if blocks.import_count and not cached_tokens:
            log_event(
                _LOGGER,
                logging.WARNING,
                Event.GATEWAY_IMPORT_FAILED,
                f"the prompt was computed instead of {blocks.import_count} blocks imported",
                request=routing.request_id,
                store=blocks.store,
            )
        model = (routing.model, routing.version)
        if blocks.export_count and model not in self._sizes:
            first = len(blocks.stored)
            keys = blocks.keys[first : first + 1]
            self._loop.call_later(
                SIZE_LOOKUP_DELAY_S, lambda: self._learn_size(blocks.store, keys, model)
            )

    def _find_store(self, first_key: bytes) -> str | None:
        """Returns the store of all prompts that begin with a block."""
        chosen = choose_member(first_key, self._stores)
        return None if chosen is None else self._stores[chosen]

    def _is_paused(self, store: str) -> bool:
        return self._loop.now() < self._paused_until.get(store, 0.0)

    def _learn_size(self, store: str, keys: tuple[str, ...], model: ModelVersion) -> None:
        if model not in self._sizes and not self._is_paused(store):
            self._ask(store, keys, model, lambda found: None)

    def _ask(
        self,
        store: str,
        keys: tuple[str, ...],
        model: ModelVersion,
        on_done: Callable[[tuple[StoredBlock, ...] | None], None],
    ) -> None:
        def finish(found: tuple[StoredBlock, ...], error: str) -> None:
            self._open_lookups -= 1
            if error:
                self._pause(store, error)
                on_done(None)
                return
            self._metrics.store_lookups.labels("found" if found else "missing").inc()
            if found:
                self._sizes[model] = max(block.length for block in found)
            on_done(found)

        self._open_lookups += 1
        StoreLookup(self._loop, store, keys, finish).start()

    def _pause(self, store: str, error: str) -> None:
        self._metrics.store_lookups.labels("failed").inc()
        # Lookups that were already open fail one after the other; one line says enough.
        if not self._is_paused(store):
            log_event(
                _LOGGER, logging.WARNING, Event.GATEWAY_STORE_LOOKUP_FAILED, error, store=store
            )
        self._paused_until[store] = self._loop.now() + FAILURE_PAUSE_S

    def _reserve_export(self, blocks: PromptBlocks, routing: RoutingRequest, now: float) -> int:
        """Takes the bytes of leading missing blocks from the budget; returns their number."""
        missing = len(blocks.keys) - len(blocks.stored)
        if self._is_paused(blocks.store):
            return 0
        size = self._sizes.get((routing.model, routing.version))
        if size is None:
            # Without a size, more blocks could take any multiple of the budget.
            missing, size = min(1, missing), int(self._rate * UNKNOWN_SIZE_CHARGE_S)
        count = 0
        while count < missing and self._router.reserve_link_bytes(blocks.store, size, now):
            count += 1
        if count:
            self._count(routing, "export", count, count * size)
        return count

    def _count(self, routing: RoutingRequest, direction: str, blocks: int, size: int) -> None:
        self._metrics.kv_blocks.labels(routing.service, direction).inc(blocks)
        self._metrics.store_link_bytes.labels(routing.service, direction).inc(size)


def can_use_stores(path: str, content: Mapping[str, object]) -> bool:
    """Tells whether gateway and engine divide this request's prompt into the same blocks.

    Chat and list prompts are left out, because the engine renders them into text by a template that
    the gateway does not have. The same holds for a suffix, which may be placed before the prompt.
    """
    prompt = content.get("prompt")
    if path != COMPLETIONS_PATH or not isinstance(prompt, str) or content.get("suffix"):
        return False
    try:
        prompt.encode("utf-8")
    except UnicodeEncodeError:
        # The keys replace lone surrogates, so different prompts would get the same key.
        return False
    return True


def parse_lookup_response(body: bytes, keys: tuple[str, ...]) -> tuple[StoredBlock, ...]:
    """Returns the leading blocks of a lookup's answer; raises InvalidLookupError."""
    try:
        entries = json.loads(body)["blocks"]
    except (ValueError, KeyError, TypeError) as error:
        raise InvalidLookupError("the answer has no blocks") from error
    if not isinstance(entries, list) or len(entries) > len(keys):
        raise InvalidLookupError("the answer names other blocks than asked for")
    return tuple(_parse_block(entry, key) for entry, key in zip(entries, keys, strict=False))


def _parse_block(entry: object, key: str) -> StoredBlock:
    if not isinstance(entry, dict) or entry.get("key") != key:
        raise InvalidLookupError("the answer names other blocks than asked for")
    generation, length, digest = (entry.get(n) for n in ("generation", "length", "digest"))
    if type(generation) is not int or type(length) is not int or length <= 0:
        raise InvalidLookupError("a block has no generation or length")
    if not isinstance(digest, str) or not _DIGEST.fullmatch(digest):
        raise InvalidLookupError("a block has no SHA-256")
    return StoredBlock(key, generation, length, digest)
