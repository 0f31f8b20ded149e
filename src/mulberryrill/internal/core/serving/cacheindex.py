"""Which prompt parts each engine and store keeps, learned from their cache events.

Events come late and with gaps, so the index is a hint about engines: a part that is gone costs a
millisecond. About stores it must not be too optimistic, because a store does not check whether a
part is whole: a store's entries count only while its events are fresh, and only within one run of
the store.
"""

from dataclasses import dataclass, field
from enum import Enum

from ...ids import CustomerName, WeightVersion
from ..rendezvous import choose_member
from .placement import rank_stores
from .routetable import Service

# A store whose last answer is older may have restarted and be receiving the same part again.
STORE_FRESHNESS_S = 1.6
# Parts are kept in blocks of this many tokens, so that the end of a part may be missing.
BLOCK_TOKENS = 16
# Size of one token's KV cache, for the comparison of transfer and setup times only.
KV_BITS_PER_TOKEN = 18_432 * 8
# An offset that is smaller by more than this is no delay: this instance was suspended meanwhile.
MAX_OBSERVATION_DELAY_S = 1.5
# Cost of fetching a token as a share of the cost of reading it.
FETCH_COST = 0.1
# An engine that was silent longer is no longer used as a source.
ENGINE_FRESHNESS_S = 5.0


class HolderKind(Enum):
    """What keeps prompt parts."""

    ENGINE = "engine"
    STORE = "store"


@dataclass(frozen=True)
class CacheKey:
    """One prompt part; the salt separates model versions and isolated customers."""

    salt: str
    part: str


@dataclass(frozen=True)
class CacheEvent:
    """A part was kept or dropped."""

    key: CacheKey
    is_cached: bool
    tokens: int


@dataclass
class _Holder:
    kind: HolderKind
    epoch: int | None = None
    next_event: int = 0
    updated_at: float = float("-inf")
    parts: dict[CacheKey, int] = field(default_factory=dict)
    tokens: int = 0


class CacheIndex:
    """The parts of all holders, by address."""

    def __init__(self) -> None:
        self._holders: dict[str, _Holder] = {}
        self._by_part: dict[CacheKey, set[str]] = {}

    @property
    def addresses(self) -> list[str]:
        """The holders that are followed."""
        return list(self._holders)

    def add_holder(self, address: str, kind: HolderKind) -> None:
        """Begins to follow a holder."""
        if address not in self._holders:
            self._holders[address] = _Holder(kind)

    def remove_holder(self, address: str) -> None:
        """Forgets a holder."""
        self.clear(address)
        self._holders.pop(address, None)

    def get_next_event(self, address: str) -> int:
        """Returns the number of the next event to ask for."""
        holder = self._holders.get(address)
        return holder.next_event if holder is not None else 0

    def apply(
        self, address: str, epoch: int, next_event: int, events: list[CacheEvent], now: float
    ) -> None:
        """Takes over a holder's events; another epoch means that it restarted empty."""
        holder = self._holders.get(address)
        if holder is None:
            return
        if holder.epoch is not None and holder.epoch != epoch:
            self.clear(address)
        holder.epoch = epoch
        holder.next_event = next_event
        holder.updated_at = now
        for event in events:
            if event.is_cached:
                holder.tokens += event.tokens - holder.parts.get(event.key, 0)
                holder.parts[event.key] = event.tokens
                self._by_part.setdefault(event.key, set()).add(address)
            else:
                self._drop(holder, address, event.key)

    def get_position(self, address: str) -> tuple[int | None, int]:
        """Returns the epoch that is known of a holder, and the number of its next event."""
        holder = self._holders.get(address)
        return (holder.epoch, holder.next_event) if holder is not None else (None, 0)

    def get_age(self, address: str, now: float) -> float:
        """Returns the seconds since the holder was last heard of."""
        holder = self._holders.get(address)
        return now - holder.updated_at if holder is not None else float("inf")

    def list_cached(self, address: str) -> list[CacheEvent]:
        """Returns all parts that a holder keeps."""
        holder = self._holders.get(address)
        parts = holder.parts.items() if holder is not None else ()
        return [CacheEvent(key, True, tokens) for key, tokens in parts]

    def clear(self, address: str) -> None:
        """Forgets what a holder keeps, because it may have restarted."""
        holder = self._holders.get(address)
        if holder is None:
            return
        for key in list(holder.parts):
            self._drop(holder, address, key)
        holder.epoch = None
        holder.next_event = 0

    def holds(self, address: str, key: CacheKey, tokens: int) -> bool:
        """Whether the holder is known to keep the whole part."""
        holder = self._holders.get(address)
        return holder is not None and holder.parts.get(key, 0) > tokens - BLOCK_TOKENS

    def list_holders(self, key: CacheKey, tokens: int, kind: HolderKind, now: float) -> list[str]:
        """Returns the addresses of holders with fresh knowledge that keep the whole part."""
        limit = STORE_FRESHNESS_S if kind is HolderKind.STORE else ENGINE_FRESHNESS_S
        return sorted(
            address
            for address in self._by_part.get(key, ())
            if self._holders[address].kind is kind
            and now - self._holders[address].updated_at < limit
            and self.holds(address, key, tokens)
        )

    def has_answered(self, address: str) -> bool:
        """Whether the holder has answered since it was last cleared."""
        holder = self._holders.get(address)
        return holder is not None and holder.epoch is not None

    def is_fresh(self, address: str, now: float) -> bool:
        """Whether a store's events were read recently."""
        holder = self._holders.get(address)
        return holder is not None and now - holder.updated_at < STORE_FRESHNESS_S

    def count_tokens(self, address: str) -> int:
        """Returns the tokens that a holder keeps."""
        holder = self._holders.get(address)
        return holder.tokens if holder is not None else 0

    def _drop(self, holder: _Holder, address: str, key: CacheKey) -> None:
        holder.tokens -= holder.parts.pop(key, 0)
        addresses = self._by_part.get(key)
        if addresses is not None:
            addresses.discard(address)
            if not addresses:
                del self._by_part[key]


def format_salt(version: WeightVersion, customer: CustomerName | None) -> str:
    """Returns the salt of prompt parts: the model version, and the customer if it is isolated."""
    return f"{version}/{customer}" if customer is not None else f"{version}"


def parse_version(salt: str) -> int | None:
    """Returns the model version in a salt; None if it has none."""
    text, _, _ = salt.partition("/")
    return int(text) if text.isdigit() else None


def list_obsolete(index: "CacheIndex", address: str, version: int) -> list[CacheKey]:
    """Returns the parts of a holder that were made under versions before ``version``."""
    obsolete = []
    for event in index.list_cached(address):
        made_under = parse_version(event.key.salt)
        if made_under is not None and made_under < version:
            obsolete.append(event.key)
    return obsolete


class RemoteClock:
    """The engines' common clock, as seen from this instance."""

    def __init__(self) -> None:
        self._offset: float | None = None

    def observe(self, remote: float, now: float) -> None:
        """Takes a remote time; the answer that travelled fastest has the largest offset."""
        offset = remote - now
        if (
            self._offset is None
            or offset > self._offset
            or self._offset - offset > MAX_OBSERVATION_DELAY_S
        ):
            self._offset = offset

    def read(self, now: float) -> float | None:
        """Returns the remote time; None before the first observation."""
        return now + self._offset if self._offset is not None else None


@dataclass(frozen=True)
class TransferPlan:
    """For each prompt part: where the target fetches it from and saves it to; None: neither."""

    fetch: tuple[str | None, ...]
    save: tuple[str | None, ...]
    # Tokens of the leading parts that need not be read: the target keeps or fetches them.
    covered_tokens: int
    fetched_tokens: int


@dataclass(frozen=True)
class PartSources:
    """Where one shared part of a prompt is kept, whatever its target."""

    key: CacheKey
    tokens: int
    engines: list[str]
    stores: list[str]
    # The store to save it to; None: it is kept in one, or none has room.
    save: str | None


@dataclass(frozen=True)
class PromptSources:
    """The sources of a prompt's shared parts; its last part is the call's own."""

    shared: list[PartSources]
    part_count: int


def find_sources(
    index: CacheIndex,
    stores: list[Service],
    salt: str,
    parts: tuple[tuple[str, int], ...],
    now: float,
) -> PromptSources:
    """Returns where a prompt's parts are kept, and where those that no store keeps are saved."""
    shared = []
    for part, tokens in parts[:-1]:
        key = CacheKey(salt, part)
        engines = index.list_holders(key, tokens, HolderKind.ENGINE, now)
        kept_by_stores = index.list_holders(key, tokens, HolderKind.STORE, now)
        save = None if kept_by_stores else _choose_store(index, stores, key, tokens, now)
        shared.append(PartSources(key, tokens, engines, kept_by_stores, save))
    return PromptSources(shared, len(parts))


def plan_transfers(index: CacheIndex, prompt: PromptSources, target_address: str) -> TransferPlan:
    """Plans the transfers of a prompt's shared parts to and from one target.

    Load pattern answered: a prompt returns after its engine has evicted it, or goes to another
    engine because its own one is busy, cold or gone. Engines are preferred as sources, because
    their links carry several times more than a store's.
    """
    fetch: list[str | None] = [None] * prompt.part_count
    save: list[str | None] = [None] * prompt.part_count
    is_chain_kept = True
    covered = fetched = 0
    for number, part in enumerate(prompt.shared):
        save[number] = part.save
        if is_chain_kept:
            # A source is named even if the target seems to keep the part: nothing is moved if it
            # does, and the newest events may not have arrived.
            sources = [a for a in part.engines if a != target_address] or part.stores
            # Different targets use different sources, so that no link carries all transfers.
            fetch[number] = choose_member(f"{part.key.part}/{target_address}", sources)
            is_cached = index.holds(target_address, part.key, part.tokens)
            is_chain_kept = bool(sources) or is_cached
            covered += part.tokens if is_chain_kept else 0
            fetched += part.tokens if sources and not is_cached else 0
    return TransferPlan(tuple(fetch), tuple(save), covered, fetched)


def estimate_prefill_tokens(prompt_tokens: int, transfers: TransferPlan) -> int:
    """Returns the tokens of a prompt that its target must read, at least one.

    A fetched token counts a little, so that a target that keeps the prompt is preferred.
    """
    read = prompt_tokens - transfers.covered_tokens
    return max(1, read + round(transfers.fetched_tokens * FETCH_COST))


def _choose_store(
    index: CacheIndex, stores: list[Service], key: CacheKey, tokens: int, now: float
) -> str | None:
    """Returns a store with room for the part.

    Load pattern answered: many short parts, each of which takes a slow store's link for its setup
    time and so delays the long parts that only that store has room for. A store is passed over in
    the first round if its setup would take longer than the transfer itself.
    """
    ranked = [s for s in rank_stores(key.part, stores) if index.is_fresh(s.address, now)]
    roomy = [s for s in ranked if index.count_tokens(s.address) + tokens <= s.cache_tokens]
    efficient = [
        s
        for s in roomy
        if s.transfer_setup_s <= tokens * KV_BITS_PER_TOKEN / max(1.0, s.link_bits_per_s)
    ]
    for store in efficient or sorted(roomy, key=lambda store: store.transfer_setup_s):
        return store.address
    return None
