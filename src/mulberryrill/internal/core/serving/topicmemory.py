"""What an instance knows of a keyed topic, also after the store has come back from an older copy.

Pattern: the store loses what it acknowledged in the last seconds, and its writers write that again
a little later. Meanwhile the copy says what was true before: a withdrawn key is valid, a target
that left is ready, a data centre is not evacuated. What differs from the copy is therefore carried
over until its key is written again, or until the writers have had time for it.
"""

from collections.abc import Iterable

from .keyedrecords import KeyedRecord

# Writers have written again what was lost after this time; from then on the store's word counts.
SETTLING_S = 10.0
# A copy is some seconds old. Older deletions, and more than this number, are not kept.
DELETION_RETENTION_S = 120.0
MAX_DELETIONS = 5_000


class TopicMemory:
    """The newest record of each key, recent deletions, and records carried over. Times: seconds."""

    def __init__(self, *, carries_missing: bool) -> None:
        """``carries_missing``: records that the copy lacks are carried over, too."""
        self._carries_missing = carries_missing
        self._newest: dict[str, KeyedRecord] = {}
        # Deletions with their times, oldest first.
        self._deleted: dict[str, tuple[KeyedRecord, float]] = {}
        self._carried: dict[str, KeyedRecord] = {}
        self._carried_until = float("-inf")

    @property
    def newest(self) -> tuple[KeyedRecord, ...]:
        """The newest record of each key that exists, as the store has it."""
        return tuple(self._newest.values())

    @property
    def carried(self) -> tuple[KeyedRecord, ...]:
        """Records and deletions that the store has lost and not got back yet."""
        return tuple(self._carried.values())

    def apply(self, record: KeyedRecord, now: float) -> None:
        """Applies a record in the store's order."""
        self._carried.pop(record.key, None)
        if record.value is None:
            self._newest.pop(record.key, None)
            self._add_deletion(record, now)
        else:
            self._newest[record.key] = record
            self._deleted.pop(record.key, None)

    def replace(self, records: Iterable[KeyedRecord], now: float) -> None:
        """Replaces all by the newest record of each key; keys that are missing were deleted."""
        previous = self._newest
        self._newest = {record.key: record for record in records if record.value is not None}
        for key, record in previous.items():
            if key not in self._newest:
                self._add_deletion(KeyedRecord(key, None, record.offset), now)
        for key in self._newest.keys() & self._deleted.keys():
            del self._deleted[key]
        self._drop_satisfied()

    def restore(self, records: Iterable[KeyedRecord], now: float) -> None:
        """Replaces all by an older copy's records; what differs from them is carried over."""
        known: dict[str, KeyedRecord] = {
            **{key: deletion for key, (deletion, _) in self._deleted.items()},
            **self._newest,
            **self._carried,
        }
        self._newest = {record.key: record for record in records if record.value is not None}
        self._carried = known
        self._drop_satisfied()
        self._carried_until = now + SETTLING_S

    def _drop_satisfied(self) -> None:
        """Stops carrying over what the store has."""
        self._carried = {
            key: record for key, record in self._carried.items() if self._must_carry(key, record)
        }

    def _must_carry(self, key: str, known: KeyedRecord) -> bool:
        copied = self._newest.get(key)
        if copied is None:
            return self._carries_missing and known.value is not None
        return copied.value != known.value

    def add_carried(self, records: Iterable[KeyedRecord], now: float) -> list[KeyedRecord]:
        """Adds records that a peer carries over; returns those that are new to this instance."""
        added = []
        for record in records:
            known = self._carried.get(record.key) or self._newest.get(record.key)
            is_deleted = record.value is None and known is None
            if not is_deleted and (known is None or known.value != record.value):
                self._carried[record.key] = record
                added.append(record)
        if added:
            self._carried_until = now + SETTLING_S
        return added

    def settle(self, now: float) -> bool:
        """Ends the carrying over once its time has passed; returns whether it ended now."""
        if not self._carried or now < self._carried_until:
            return False
        self._carried = {}
        return True

    def _add_deletion(self, record: KeyedRecord, now: float) -> None:
        self._deleted.pop(record.key, None)
        self._deleted[record.key] = (record, now)
        while self._deleted:
            key, (_, deleted_at) = next(iter(self._deleted.items()))
            if len(self._deleted) <= MAX_DELETIONS and now - deleted_at < DELETION_RETENTION_S:
                break
            del self._deleted[key]
