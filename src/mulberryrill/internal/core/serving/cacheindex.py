"""Index of the prompt parts that each engine and store caches, built from their cache events.

Events arrive late and with gaps, so for engines the index is only a hint: a part that has been
evicted costs a millisecond. For stores it must be conservative, because a store does not check
whether a part is complete: a store's entries count only while its events are fresh and its epoch is
unchanged. All times include the time for which the host was suspended: what was fresh before that
is not fresh after it.
"""

from dataclasses import dataclass, field
from enum import Enum
from math import isfinite
from typing import NamedTuple

from ...ids import CustomerName, WeightVersion
from ..rendezvous import choose_member, rank_weighted
from .cachevalidity import ValidParts
from .routetable import DEFAULT_TOKEN_BYTES, Service

# A store whose last response is older may have restarted and may be receiving the same part again.
STORE_FRESHNESS_S = 1.6
# Parts are cached in blocks of this many tokens; an incomplete last block is not cached.
TOKENS_PER_BLOCK = 16
# A store whose setup takes no longer than the transfer itself is preferred as if it had so many
# times the room that it has.
EFFICIENT_STORE_PREFERENCE = 8.0
BITS_PER_BYTE = 8
# An offset that drops by more than this is not a network delay: this instance was suspended.
MAX_OBSERVATION_DELAY_S = 1.5
# Cost of fetching a token as a share of the cost of prefilling it.
FETCH_COST = 0.1
# An engine whose last response is older is not used as a source.
ENGINE_FRESHNESS_S = 5.0


class HolderKind(Enum):
    """Kinds of servers that cache prompt parts."""

    ENGINE = "engine"
    STORE = "store"


class CacheKey(NamedTuple):
    """Identifies a prompt part; the salt separates model versions and isolated customers.

    A tuple, because keys are hashed for each part of each cache event, and a dataclass computes its
    hash in Python.
    """

    salt: str
    part: str


class CacheEvent(NamedTuple):
    """A part was cached or evicted."""

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
    # When the newest event of each part was read.
    observed_at: dict[CacheKey, float] = field(default_factory=dict)
    tokens: int = 0


class CacheIndex:
    """Cached parts of all holders, by address."""

    def __init__(self) -> None:
        self._holders: dict[str, _Holder] = {}
        self._by_part: dict[CacheKey, set[str]] = {}

    @property
    def addresses(self) -> list[str]:
        """Addresses of the tracked holders."""
        return list(self._holders)

    def add_holder(self, address: str, kind: HolderKind) -> None:
        """Starts tracking a holder."""
        if address not in self._holders:
            self._holders[address] = _Holder(kind)

    def remove_holder(self, address: str) -> None:
        """Stops tracking a holder."""
        self.clear(address)
        self._holders.pop(address, None)

    def get_next_event(self, address: str) -> int:
        """Returns the sequence number of the next event to request."""
        holder = self._holders.get(address)
        return holder.next_event if holder is not None else 0

    def apply(
        self, address: str, epoch: int, next_event: int, events: list[CacheEvent], now: float
    ) -> None:
        """Applies a holder's events; a changed epoch means that it restarted with no parts."""
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
                holder.observed_at[event.key] = now
                self._by_part.setdefault(event.key, set()).add(address)
            else:
                self._remove_part(holder, address, event.key)

    def get_position(self, address: str) -> tuple[int | None, int]:
        """Returns a holder's epoch (None: unknown) and the sequence number of its next event."""
        holder = self._holders.get(address)
        return (holder.epoch, holder.next_event) if holder is not None else (None, 0)

    def get_age(self, address: str, now: float) -> float:
        """Returns the seconds since the holder's last update."""
        holder = self._holders.get(address)
        return now - holder.updated_at if holder is not None else float("inf")

    def list_cached(self, address: str) -> list[CacheEvent]:
        """Returns all parts that a holder caches, as events."""
        holder = self._holders.get(address)
        parts = holder.parts.items() if holder is not None else ()
        return [CacheEvent(key, True, tokens) for key, tokens in parts]

    def clear(self, address: str) -> None:
        """Discards a holder's entries, because it may have restarted."""
        holder = self._holders.get(address)
        if holder is None:
            return
        for key in list(holder.parts):
            self._remove_part(holder, address, key)
        holder.epoch = None
        holder.next_event = 0

    def holds(self, address: str, key: CacheKey, tokens: int) -> bool:
        """Returns whether the holder caches the complete part, as far as known."""
        holder = self._holders.get(address)
        return holder is not None and holder.parts.get(key, 0) > tokens - TOKENS_PER_BLOCK

    def list_holders(self, key: CacheKey, tokens: int, kind: HolderKind, now: float) -> list[str]:
        """Returns the holders of a kind with fresh events that cache the complete part."""
        limit = STORE_FRESHNESS_S if kind is HolderKind.STORE else ENGINE_FRESHNESS_S
        return sorted(
            address
            for address in self._by_part.get(key, ())
            if self._holders[address].kind is kind
            and now - self._holders[address].updated_at < limit
            and self.holds(address, key, tokens)
        )

    def was_held_before(self, address: str, key: CacheKey, time: float) -> bool:
        """Returns whether a holder has held the part since before ``time``, as far as known."""
        return self._holders[address].observed_at.get(key, float("inf")) < time

    def has_answered(self, address: str) -> bool:
        """Returns whether a response of the holder has arrived since it was last cleared."""
        holder = self._holders.get(address)
        return holder is not None and holder.epoch is not None

    def is_fresh(self, address: str, now: float) -> bool:
        """Returns whether a store's events were read recently."""
        holder = self._holders.get(address)
        return holder is not None and now - holder.updated_at < STORE_FRESHNESS_S

    def count_tokens(self, address: str) -> int:
        """Returns the number of tokens that a holder caches."""
        holder = self._holders.get(address)
        return holder.tokens if holder is not None else 0

    def _remove_part(self, holder: _Holder, address: str, key: CacheKey) -> None:
        holder.tokens -= holder.parts.pop(key, 0)
        holder.observed_at.pop(key, None)
        addresses = self._by_part.get(key)
        if addresses is not None:
            addresses.discard(address)
            if not addresses:
                del self._by_part[key]


def format_salt(version: WeightVersion, customer: CustomerName | None) -> str:
    """Returns the salt of prompt parts: the model version, and the customer if it is isolated."""
    return f"{version}/{customer}" if customer is not None else f"{version}"


def parse_version(salt: str) -> int | None:
    """Returns the model version in a salt, or None if it has none."""
    text, _, _ = salt.partition("/")
    return int(text) if text.isdigit() else None


def list_obsolete(index: "CacheIndex", address: str, version: int) -> list[CacheKey]:
    """Returns a holder's parts that were computed with a model version before ``version``."""
    obsolete = []
    for event in index.list_cached(address):
        part_version = parse_version(event.key.salt)
        if part_version is not None and part_version < version:
            obsolete.append(event.key)
    return obsolete


class RemoteClock:
    """Estimates the engines' shared clock from observed remote times."""

    def __init__(self) -> None:
        self._offset: float | None = None

    def observe(self, remote: float, now: float) -> None:
        """Records a remote time; the response with the shortest delay has the largest offset."""
        offset = remote - now
        if (
            self._offset is None
            or offset > self._offset
            or self._offset - offset > MAX_OBSERVATION_DELAY_S
        ):
            self._offset = offset

    def read(self, now: float) -> float | None:
        """Returns the estimated remote time, or None before the first observation."""
        return now + self._offset if self._offset is not None else None


@dataclass(frozen=True)
class TransferPlan:
    """For each prompt part, the address to fetch it from and to save it to; None: no transfer."""

    fetch: tuple[str | None, ...]
    save: tuple[str | None, ...]


@dataclass(frozen=True)
class PartSources:
    """Where one shared part of a prompt is cached, independent of the call's target."""

    key: CacheKey
    tokens: int
    engines: list[str]
    stores: list[str]
    # The store to save the part to; None: a store already has it, or none has room.
    save: str | None


@dataclass(frozen=True)
class PromptSources:
    """Sources of a prompt's shared parts. Its last part belongs to the call and is not shared."""

    shared: list[PartSources]
    part_count: int
    # Why some sources are not used, for logs.
    restriction: str = ""


def find_sources(
    index: CacheIndex,
    stores: list[Service],
    salt: str,
    parts: tuple[tuple[str, int], ...],
    now: float,
    valid: ValidParts,
    token_bytes: int = DEFAULT_TOKEN_BYTES,
) -> PromptSources:
    """Finds where a prompt's parts are cached, and a store for each part that no store has.

    ``token_bytes`` is the size of a token's KV cache entry.
    """
    shared = []
    for part, tokens in parts[:-1]:
        key = CacheKey(salt, part)
        engines = _list_valid_engines(index, key, tokens, now, valid)
        in_stores = index.list_holders(key, tokens, HolderKind.STORE, now)
        needs_saving = valid.allows_saving and not in_stores
        save = _choose_store(index, stores, key, tokens, token_bytes, now) if needs_saving else None
        valid_stores = [
            a for a in in_stores if index.was_held_before(a, key, valid.in_stores_before)
        ]
        shared.append(PartSources(key, tokens, engines, valid_stores, save))
    return PromptSources(shared, len(parts), valid.restriction)


def estimate_prefill_tokens(
    index: CacheIndex, prompt: PromptSources, prompt_tokens: int, target_address: str
) -> int:
    """Returns the number of tokens that a target must prefill, at least one.

    Each fetched token adds ``FETCH_COST``, so that a target that already caches the prompt is
    preferred. A call compares many targets by this, so it does not choose the sources.
    """
    covered = fetched = 0
    for part in prompt.shared:
        is_cached = index.holds(target_address, part.key, part.tokens)
        # The target itself is no source for what it lacks.
        has_source = part.stores or any(a != target_address for a in part.engines)
        if not is_cached and not has_source:
            break
        covered += part.tokens
        fetched += 0 if is_cached else part.tokens
    return max(1, prompt_tokens - covered + round(fetched * FETCH_COST))


def plan_transfers(index: CacheIndex, prompt: PromptSources, target_address: str) -> TransferPlan:
    """Plans the transfers of a prompt's shared parts to and from one target.

    Transfers avoid repeated prefill when a prompt returns after its engine has evicted it, or goes
    to another engine because its usual one is busy, cold or gone. Engines are preferred as sources,
    because their links have several times the bandwidth of a store's.
    """
    fetch: list[str | None] = [None] * prompt.part_count
    save: list[str | None] = [None] * prompt.part_count
    is_prefix_available = True
    for position, part in enumerate(prompt.shared):
        save[position] = part.save
        if is_prefix_available:
            # A source is given even if the target seems to cache the part: the newest events may be
            # missing from the index, and nothing is transferred if the target has the part.
            sources = [a for a in part.engines if a != target_address] or part.stores
            # Hash by target so that transfers are spread over the links of all sources.
            fetch[position] = choose_member(f"{part.key.part}/{target_address}", sources)
            is_cached = index.holds(target_address, part.key, part.tokens)
            is_prefix_available = bool(sources) or is_cached
    return TransferPlan(tuple(fetch), tuple(save))


def _list_valid_engines(
    index: CacheIndex, key: CacheKey, tokens: int, now: float, valid: ValidParts
) -> list[str]:
    """Returns the engines from which a part may be fetched."""
    if valid.in_engines_before == float("-inf"):
        return []
    # Where it matters since when a part is held, its eviction must not have gone unnoticed.
    max_age_s = STORE_FRESHNESS_S if isfinite(valid.in_engines_before) else ENGINE_FRESHNESS_S
    return [
        address
        for address in index.list_holders(key, tokens, HolderKind.ENGINE, now)
        if index.get_age(address, now) < max_age_s
        and index.was_held_before(address, key, valid.in_engines_before)
        and valid.is_valid_engine(address)
    ]


def _choose_store(
    index: CacheIndex,
    stores: list[Service],
    key: CacheKey,
    tokens: int,
    token_bytes: int,
    now: float,
) -> str | None:
    """Returns the address of a store with room for the part, or None.

    Stores are chosen in proportion to the room that they have left, and in the same order by all
    instances that see about the same, so that a part is not saved twice. A store tells of a part a
    second after its room was reserved; one that fills up gets less and less until then, instead of
    many parts at once for the last room that it seems to have.

    Stores whose setup takes longer than the transfer itself get fewer parts: many short ones occupy
    such a store's link for their setup times and delay long ones.
    """
    bits = tokens * token_bytes * BITS_PER_BYTE
    weights = {}
    for service in stores:
        store = service.store
        if store is None or not index.is_fresh(store.address, now):
            continue
        room = store.cache_tokens - index.count_tokens(store.address)
        if room >= tokens:
            is_efficient = store.transfer_setup_s <= bits / max(1.0, store.link_bits_per_s)
            weights[store.address] = room * (EFFICIENT_STORE_PREFERENCE if is_efficient else 1.0)
    ranked = rank_weighted(key.part, weights)
    return ranked[0] if ranked else None
