"""Rendezvous hashing: all processes with the same members rank them in the same order."""

import math
from collections.abc import Iterable, Iterator
from typing import TypeVar

import xxhash

MemberT = TypeVar("MemberT", bound=str)


def rank_members(key: str | bytes, members: Iterable[MemberT]) -> list[MemberT]:
    """Returns the members ranked for the key, best first; equal hashes are ordered by id."""
    return [member for _, member in sorted(_score_members(key, members), reverse=True)]


def choose_member(key: str | bytes, members: Iterable[MemberT]) -> MemberT | None:
    """Returns the first-ranked member for the key, or None if there are no members."""
    _, first = max(_score_members(key, members), default=(0, None))
    return first


def _score_members(key: str | bytes, members: Iterable[MemberT]) -> Iterator[tuple[int, MemberT]]:
    prefix = (key.encode() if isinstance(key, str) else key) + b"\0"
    return ((xxhash.xxh3_64_intdigest(prefix + m.encode()), m) for m in members)


def rank_weighted(key: str, weights: dict[MemberT, float]) -> list[MemberT]:
    """Returns the members ranked for the key; each is first for keys in proportion to its weight.

    Members without positive weight are left out.
    """
    prefix = key.encode() + b"\0"
    scored = []
    for member, weight in weights.items():
        if weight > 0:
            share = (xxhash.xxh3_64_intdigest(prefix + member.encode()) + 1) / 2**64
            scored.append((-weight / math.log(share) if share < 1 else math.inf, member))
    scored.sort(reverse=True)
    return [member for _, member in scored]
