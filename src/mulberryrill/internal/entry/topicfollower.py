"""Follows one keyed topic of the platform's store, for an instance and its data centre.

One instance of each data centre, the reader, reads a topic and forwards its records to the others;
another one takes over when its own records become too old (``core/serving/readtiming.py``).
Instances that cannot reach the store get missing records from the reader.
"""

import logging
import math
import traceback
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from enum import Enum
from functools import partial
from http import HTTPStatus
from typing import Protocol

from ...errors import StoreCallError
from ..core.serving.keyedrecords import KeyedRecord, RecordPage
from ..core.serving.readtiming import ReadTiming
from ..core.serving.topicmemory import TopicMemory
from ..eventloop import EventLoop
from ..events import Event
from ..ids import InstanceId, Offset, StoreEra
from ..logs import log_event
from .feedsharing import CATCH_UP_INTERVAL_S, FeedSharing

# How often an instance that gets feeds checks that they are recent and that it is still not the
# reader. It also checks at the moment at which they are no longer recent.
FEED_CHECK_INTERVAL_S = 0.5
INITIAL_RETRY_DELAY_S = 0.2
MAX_RETRY_DELAY_S = 0.5
# While reads fail, another one is sent at this interval although the last one is not answered yet:
# one that was sent during a cut may stay without an answer long after its end.
ATTEMPT_INTERVAL_S = 0.5
MAX_OPEN_ATTEMPTS = 5
# Interval at which starting peers are told of what a restored store has lost.
CARRY_INTERVAL_S = 0.5
MAX_LOGGED_KEYS = 20
_LOGGER = logging.getLogger(__name__)


class RecordStore(Protocol):
    """Reads keyed topics of the platform's store."""

    @property
    def era(self) -> StoreEra | None:
        """The era of the newest response; None: no response stated one."""
        ...

    def read_newest(self, topic: str, done: Callable[[RecordPage | StoreCallError], None]) -> None:
        """Reports the newest record of each key."""
        ...

    def read_keyed(
        self,
        topic: str,
        start: Offset,
        wait_s: float,
        done: Callable[[RecordPage | StoreCallError], None],
    ) -> None:
        """Reports the records from ``start`` on, waiting up to ``wait_s`` for the first one."""
        ...


class RecordSource(Enum):
    """Where an instance has a record from; the values are logged."""

    STORE = "store"
    FEED = "peer"


@dataclass(frozen=True)
class PendingRead:
    """A read of a topic's records that the store has not answered yet."""

    start: Offset
    # Boot time.
    started_at: float
    wait_s: float
    # The era in which ``start`` counts.
    era: StoreEra | None = None


class TopicHandler(Protocol):
    """Uses the records of a topic."""

    def on_newest(self, records: tuple[KeyedRecord, ...]) -> None:
        """The newest record of each key was read; there are no others."""
        ...

    def on_record(self, record: KeyedRecord) -> None:
        """A record was written after those that are known."""
        ...

    def on_restored(
        self, records: tuple[KeyedRecord, ...], carried: tuple[KeyedRecord, ...]
    ) -> None:
        """The store came back from an older copy with the given newest records.

        ``carried`` are records and deletions that this instance knows, and that differ from them.
        Such a key is reported again when it is written again.
        """
        ...

    def on_carried(self, records: tuple[KeyedRecord, ...]) -> None:
        """A peer knows records and deletions that the restored store has lost."""
        ...

    def on_settled(self, records: tuple[KeyedRecord, ...]) -> None:
        """Some of these were not written again; from now on the store's newest records count."""
        ...


class TopicFollower:
    """Reads one keyed topic: first the newest record of each key, then all later records."""

    def __init__(
        self,
        loop: EventLoop,
        store: RecordStore,
        topic: str,
        get_timing: Callable[[], ReadTiming],
        handler: TopicHandler,
        on_reachability: Callable[[bool, str], None],
        sharing: FeedSharing | None = None,
        *,
        logs_records: bool = False,
        carries_missing: bool = True,
        on_complete: Callable[[float], None] = lambda complete_at: None,
    ) -> None:
        """``get_timing`` is called before each read, so that new bounds take effect.

        ``logs_records``: each applied record is logged, for topics that change rarely.
        ``carries_missing``: records that a restored store lacks hold until they are written again.
        ``on_complete`` is called after records were applied, with the boot time up to which all
        are known.
        """
        self._loop = loop
        self._logs_records = logs_records
        # Whether this instance reads although another one should, because that one fell silent.
        self._has_taken_over = False
        self._store = store
        self._sharing = sharing
        self._topic = topic
        self._get_timing = get_timing
        # Boot time up to which this instance knew all records, from the store or from peers.
        self._complete_at = float("-inf")
        # The same from the store alone: only such records are sent to peers that request them.
        self._read_complete_at = float("-inf")
        self._handler = handler
        self._on_reachability = on_reachability
        self._on_complete = on_complete
        self._next_offset: Offset | None = None
        self._highest_end = Offset(0)
        self._retry_delay_s = INITIAL_RETRY_DELAY_S
        # Whether the last read failed. While reads fail, several may be under way at the same time;
        # the first answer ends their cycle, and later answers to reads of that cycle are ignored.
        self._is_failing = False
        self._cycle = 0
        self._open_attempts = 0
        self._is_closed = False
        # The era of the store in which the offsets count; None: unknown.
        self._era: StoreEra | None = None
        self._memory = TopicMemory(carries_missing=carries_missing)
        self._is_carrying = False
        self._restarted_at = float("-inf")
        # Records wait in the store as far as known, so that the next read returns at once.
        self._has_more = False
        self._last_request_at = float("-inf")
        self._last_reply_at: dict[InstanceId, float] = {}

    @property
    def topic(self) -> str:
        """The topic that is read."""
        return self._topic

    @property
    def era(self) -> StoreEra | None:
        """The era of the store in which the topic is known; None: no response stated one."""
        return self._era

    @property
    def next_offset(self) -> Offset | None:
        """The offset up to which all records are known; None: none are."""
        return self._next_offset

    def start(self) -> None:
        """Starts to read."""
        self._read()

    def close(self) -> None:
        """Stops reading."""
        self._is_closed = True

    def _read(self) -> None:
        if self._is_closed:
            return
        feed_time_left_s = self._get_feed_time_left()
        self._record_takeover(feed_time_left_s)
        if feed_time_left_s > 0:
            delay_s = min(FEED_CHECK_INTERVAL_S, feed_time_left_s)
            self._loop.call_later(delay_s, self._read)
        else:
            self._cycle += 1
            self._open_attempts = 0
            self._send_attempt(self._cycle)

    def _send_attempt(self, cycle: int) -> None:
        """Sends a read, and another one later if reads fail and this one is not answered."""
        self._open_attempts += 1
        if self._next_offset is None:
            on_newest = partial(self.on_newest_read, self._loop.boottime())
            self._store.read_newest(self._topic, partial(self._on_answer, cycle, on_newest))
        else:
            wait_s = 0.0 if self._has_more or self._is_failing else self._get_timing().wait_s
            read = PendingRead(self._next_offset, self._loop.boottime(), wait_s, self._era)
            on_page = partial(self.on_records_read, read)
            self._store.read_keyed(
                self._topic, read.start, wait_s, partial(self._on_answer, cycle, on_page)
            )
        if self._is_failing:
            self._loop.call_later(ATTEMPT_INTERVAL_S, partial(self._repeat_attempt, cycle))

    def _repeat_attempt(self, cycle: int) -> None:
        """Sends a further read of a cycle that has not been answered."""
        if cycle != self._cycle or self._is_closed or not self._is_failing:
            return
        if self._open_attempts < MAX_OPEN_ATTEMPTS:
            self._send_attempt(cycle)
        else:
            self._loop.call_later(ATTEMPT_INTERVAL_S, partial(self._repeat_attempt, cycle))

    def _on_answer(
        self,
        cycle: int,
        handle: Callable[[RecordPage | StoreCallError], None],
        page: RecordPage | StoreCallError,
    ) -> None:
        """Handles the first answer of a cycle of reads, or the last error if there is none."""
        if cycle != self._cycle:
            return
        self._open_attempts -= 1
        if isinstance(page, StoreCallError) and not page.status and self._open_attempts > 0:
            self._request_from_peers()
            return
        self._cycle += 1
        handle(page)

    def _record_takeover(self, feed_time_left_s: float) -> None:
        """Logs that this instance begins to read in place of a silent reader."""
        rank = self._sharing.get_reader_rank() if self._sharing is not None else 0
        has_taken_over = rank > 0 and self._next_offset is not None and feed_time_left_s <= 0
        if has_taken_over and not self._has_taken_over:
            log_event(
                _LOGGER,
                logging.INFO,
                Event.LOG_READER_SILENT,
                "no recent records from the instance that reads for the data centre; reading",
                topic=self._topic,
                offset=self._next_offset,
                rank=rank,
                feed_age_s=_round_age(self._loop.boottime() - self._complete_at),
            )
        self._has_taken_over = has_taken_over

    def has_recent_feed(self) -> bool:
        """Whether a peer reads for this instance and its last feed is recent."""
        return self._get_feed_time_left() > 0

    def _get_feed_time_left(self) -> float:
        """Returns the seconds for which this instance need not read itself.

        0 or less if it is the reader, or if the reader has fallen silent.
        """
        if self._next_offset is None or self._sharing is None:
            return 0.0
        rank = self._sharing.get_reader_rank()
        if rank == 0:
            return 0.0
        takeover_age_s = self._get_timing().compute_takeover_age(rank)
        return self._complete_at + takeover_age_s - self._loop.boottime()

    def apply_feed(
        self,
        start: Offset,
        records: tuple[KeyedRecord, ...],
        complete_at: float,
        era: StoreEra | None = None,
    ) -> None:
        """Applies a peer's records, or requests the missing ones if there is a gap before them.

        With them, all records up to boot time ``complete_at`` are known.
        """
        if _is_older(era, self._era):
            return
        is_gap = self._next_offset is None or start > self._next_offset
        if self._next_offset is None or is_gap or _is_older(self._era, era):
            self._request_from_peers()
            return
        if start + len(records) < self._next_offset:
            # The peer is behind: its feeds must not keep this instance from reading.
            return
        self._complete_at = max(self._complete_at, complete_at)
        new_records = [record for record in records if record.offset >= self._next_offset]
        # The peer reached the store, even if it read nothing new. This is reported before the
        # records are applied: a target removed during an outage is kept for a grace period.
        self._on_success(Offset(new_records[-1].offset + 1) if new_records else self._next_offset)
        for record in new_records:
            self._apply_record(record, RecordSource.FEED)
        self._on_complete(self._complete_at)

    def apply_newest_feed(
        self,
        end: Offset,
        records: tuple[KeyedRecord, ...],
        complete_at: float,
        era: StoreEra | None = None,
    ) -> None:
        """Applies the newest record of each key from a peer, unless this instance is up to date."""
        is_restored = _is_older(self._era, era)
        is_known = self._next_offset is not None and end <= self._next_offset
        if _is_older(era, self._era) or (is_known and not is_restored):
            return
        log_event(
            _LOGGER,
            logging.INFO,
            Event.LOG_FROM_PEER,
            "missed records received from a peer",
            topic=self._topic,
            offset=self._next_offset,
            end=end,
            era=era,
        )
        self._begin_era(era)
        self._complete_at = max(self._complete_at, complete_at)
        self._on_success(end)
        self._apply_newest(records, is_restored)
        self._on_complete(self._complete_at)

    def apply_carried_feed(self, records: tuple[KeyedRecord, ...], era: StoreEra | None) -> bool:
        """Applies records that a peer knows of, and that the restored store has lost.

        Returns False if they are of another era than what this instance knows, and so are ignored.
        """
        if self._era is None or era != self._era:
            return False
        added = self._memory.add_carried(records, self._loop.boottime())
        if added:
            self._log_carried("a peer knows records that the store has lost", added)
            self._handler.on_carried(tuple(added))
            self._start_carrying()
        return True

    def serve_request(
        self, instance: InstanceId, next_offset: Offset, era: StoreEra | None = None
    ) -> None:
        """Sends the newest record of each key to a peer that misses records from an offset on."""
        now = self._loop.now()
        age_s = self._loop.boottime() - self._read_complete_at
        is_current = age_s < self._get_timing().compute_takeover_age(0)
        if self._sharing is None or self._next_offset is None or not is_current:
            return
        last_reply_at = self._last_reply_at.get(instance, float("-inf"))
        is_known = next_offset >= self._next_offset and not _is_older(era, self._era)
        if is_known or now - last_reply_at < CATCH_UP_INTERVAL_S or _is_older(self._era, era):
            return
        self._last_reply_at[instance] = now
        self._sharing.send_newest(
            instance, self._next_offset, self._memory.newest, age_s, self._era
        )

    def on_newest_read(self, started_at: float, page: RecordPage | StoreCallError) -> None:
        """Applies the newest record of each key and schedules the next read.

        ``started_at`` is the boot time at which the read began.
        """
        if isinstance(page, StoreCallError):
            self._on_failure(page)
            return
        era = self._store.era
        is_restored = _is_older(self._era, era)
        # A stale copy of the topic must not bring back replaced records.
        is_stale = not is_restored and page.end < self._highest_end or _is_older(era, self._era)
        log_event(
            _LOGGER,
            logging.INFO,
            Event.LOG_NEWEST_READ,
            "newest records read",
            topic=self._topic,
            era=era,
            end=page.end,
            known_end=self._highest_end,
            keys=[f"{r.key}@{r.offset}" for r in page.records] if self._logs_records else None,
            is_used=not is_stale,
        )
        if is_stale:
            self._loop.call_later(self._retry_delay_s, self._read)
            return
        has_followed = self._highest_end > 0
        self._begin_era(era)
        self._record_read(started_at)
        self._on_success(page.end)
        if has_followed and self._sharing is not None and self._sharing.is_reader():
            age_s = self._loop.boottime() - started_at
            if is_restored:
                self._sharing.send_newest(None, page.end, page.records, age_s, era)
            else:
                # Records expired unread. Peers that lack them, too, see the gap and request them.
                self._sharing.send_records(page.end, (), age_s, era)
        try:
            self._apply_newest(page.records, is_restored)
            self._on_complete(self._complete_at)
        finally:
            self._schedule_read()

    def _begin_era(self, era: StoreEra | None) -> None:
        """Discards the offsets of an earlier era: the store gives them out again."""
        if _is_older(self._era, era):
            self._next_offset = None
            self._highest_end = Offset(0)
            self._has_more = False
            self._complete_at = self._read_complete_at = float("-inf")
        self._era = era if era is not None else self._era

    def _restart(self) -> None:
        """Reads the newest record of each key, at once unless that has just been done."""
        now = self._loop.now()
        delay_s = self._retry_delay_s if now - self._restarted_at < MAX_RETRY_DELAY_S else 0.0
        self._restarted_at = now
        self._next_offset = None
        self._loop.call_later(delay_s, self._read)

    def on_records_read(self, read: "PendingRead", page: RecordPage | StoreCallError) -> None:
        """Applies the records that a read returned and forwards them to the peers.

        Peers may have sent some of these records while the read was under way.
        """
        if isinstance(page, StoreCallError) and page.status == HTTPStatus.GONE:
            log_event(
                _LOGGER,
                logging.INFO,
                Event.LOG_OFFSET_EXPIRED,
                "records are gone from the store; reading the newest record of each key",
                topic=self._topic,
                offset=self._next_offset,
            )
            self._restart()
            return
        if isinstance(page, StoreCallError):
            self._on_failure(page)
            return
        if read.era != self._store.era or self._era != read.era:
            # The offsets count in another era: what follows the last one read is not what follows
            # the records that this instance knows.
            self._restart()
            return
        now = self._loop.boottime()
        # Records that arrived during a wait say nothing about later ones: the next read tells.
        self._has_more = bool(page.records)
        complete_at = read.started_at if page.records else min(now, read.started_at + read.wait_s)
        if page.records and page.records[-1].offset + 1 < page.end:
            # The response was too small for all records.
            complete_at = self._read_complete_at
        self._record_read(complete_at)
        end = Offset(page.records[-1].offset + 1) if page.records else read.start
        if self._sharing is not None:
            self._sharing.send_records(read.start, page.records, now - complete_at, self._era)
        next_offset = self._next_offset if self._next_offset is not None else read.start
        for record in page.records:
            if record.offset >= next_offset:
                self._apply_record(record, RecordSource.STORE)
        self._on_success(max(next_offset, end))
        self._on_complete(self._complete_at)
        self._schedule_read()

    def _record_read(self, complete_at: float) -> None:
        self._read_complete_at = max(self._read_complete_at, complete_at)
        self._complete_at = max(self._complete_at, complete_at)

    def _apply_record(self, record: KeyedRecord, source: RecordSource) -> None:
        self._memory.apply(record, self._loop.boottime())
        if self._logs_records:
            log_event(
                _LOGGER,
                logging.INFO,
                Event.LOG_RECORD_READ,
                "record read",
                topic=self._topic,
                key=record.key,
                offset=record.offset,
                source=source.value,
            )
        try:
            self._handler.on_record(record)
        except Exception as error:  # One record must not keep the later ones from being read.
            log_failed_record(record, error)

    def _apply_newest(self, records: tuple[KeyedRecord, ...], is_restored: bool) -> None:
        now = self._loop.boottime()
        if is_restored:
            self._memory.restore(records, now)
        else:
            self._memory.replace(records, now)
        carried = self._memory.carried
        if not is_restored and not carried:
            self._handler.on_newest(records)
            return
        self._log_carried("the restored store lacks records that this instance knows", carried)
        self._handler.on_restored(records, carried)
        self._start_carrying()

    def _log_carried(self, message: str, records: Sequence[KeyedRecord]) -> None:
        log_event(
            _LOGGER,
            logging.INFO,
            Event.LOG_RECORDS_CARRIED,
            message,
            topic=self._topic,
            era=self._era,
            keys=[record.key for record in records][:MAX_LOGGED_KEYS],
        )

    @property
    def is_carrying(self) -> bool:
        """Whether the store has not got back yet all that this instance knows."""
        return bool(self._memory.carried)

    def _start_carrying(self) -> None:
        if not self._is_carrying:
            self._is_carrying = True
            self._loop.call_soon(self._carry)

    def _carry(self) -> None:
        """Tells peers that start what the store has lost, until it has got that back."""
        if self._memory.settle(self._loop.boottime()):
            self._log_carried("records were not written again in time; the store's count", ())
            self._handler.on_settled(self._memory.newest)
        self._is_carrying = self.is_carrying and not self._is_closed
        if not self._is_carrying:
            return
        if self._sharing is not None and self._sharing.is_reader():
            self._sharing.send_carried(self._memory.carried, self._era)
        self._loop.call_later(CARRY_INTERVAL_S, self._carry)

    def _request_from_peers(self) -> None:
        """Requests missing records from the peers, unless it did so recently.

        The request also informs the peers that this instance cannot read the topic for them.
        """
        now = self._loop.now()
        if self._sharing is not None and now - self._last_request_at >= CATCH_UP_INTERVAL_S:
            self._last_request_at = now
            self._sharing.request_records(self._next_offset or Offset(0), self._era)

    def _on_success(self, next_offset: Offset) -> None:
        self._next_offset = next_offset
        self._highest_end = Offset(max(self._highest_end, next_offset))
        self._retry_delay_s = INITIAL_RETRY_DELAY_S
        self._is_failing = False
        self._on_reachability(True, "")

    def _schedule_read(self) -> None:
        interval_s = self._get_timing().interval_s
        if interval_s > 0:
            self._loop.call_later(interval_s, self._read)
        else:
            self._loop.call_soon(self._read)

    def _on_failure(self, error: StoreCallError) -> None:
        self._is_failing = True
        self._on_reachability(False, str(error))
        self._request_from_peers()
        self._loop.call_later(self._retry_delay_s, self._read)
        self._retry_delay_s = min(MAX_RETRY_DELAY_S, self._retry_delay_s * 2)


def _is_older(era: StoreEra | None, other: StoreEra | None) -> bool:
    """Returns whether an era is known to come before another one."""
    return era is not None and other is not None and era < other


def _round_age(age_s: float) -> float | None:
    """Returns an age for logs; None if there has been nothing."""
    return round(age_s, 3) if math.isfinite(age_s) else None


def log_failed_record(record: KeyedRecord, error: Exception) -> None:
    """Logs an error in the handling of one record."""
    log_event(
        _LOGGER,
        logging.ERROR,
        Event.TASK_FAILED,
        f"record could not be applied: {error!r}",
        key=record.key,
        offset=record.offset,
        traceback=traceback.format_exc(),
    )
