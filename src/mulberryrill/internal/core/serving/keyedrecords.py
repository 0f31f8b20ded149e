"""Records of the platform's keyed topics, of which the store keeps the newest one of each key."""

from dataclasses import dataclass

from ...ids import Offset


@dataclass(frozen=True)
class KeyedRecord:
    """One record of a keyed topic; ``value`` is None where the key was deleted."""

    key: str
    value: bytes | None
    offset: Offset


@dataclass(frozen=True)
class RecordPage:
    """Keyed records in the store's order, and the offset at which their partition ends."""

    records: tuple[KeyedRecord, ...]
    end: Offset
