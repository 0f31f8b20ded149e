"""Reports the records of each topic of the platform's store as the product's own types."""

import logging
from collections.abc import Callable, Iterable
from functools import partial

from ..errors import CorruptRecordError, StoreCallError
from ..internal.core.serving.keyedrecords import KeyedRecord
from ..internal.core.serving.rollouts import IgnoredReason, RolloutMark, RolloutStatus
from ..internal.core.serving.streamorigins import DefaultVersion
from ..internal.core.serving.targettable import Registration
from ..internal.entry.feedsharing import FeedSharing
from ..internal.entry.state import StoreObserver
from ..internal.entry.topicfollower import log_failed_record
from ..internal.eventloop import EventLoop
from ..internal.events import Event
from ..internal.ids import DataCentre, Offset, ServiceName, TargetId
from ..internal.logs import log_event
from ..internal.schema.log_pb2 import QuarantineEntry
from .records import (
    CONFIGURATION_KEY,
    EVACUATION_PREFIX,
    MODEL_VERSION_PREFIX,
    ROLLOUT_PREFIX,
    encode_default_version,
    encode_rollout_mark,
    encode_rollout_status,
    parse_configuration,
    parse_default_version,
    parse_desired_version,
    parse_quarantine_entry,
    parse_registration,
    parse_rollout_mark,
    parse_rollout_order,
    parse_rollout_status,
)
from .store import DEFAULT_VERSION_PREFIX, QUARANTINE_TOPIC, STATUS_TOPIC, StoreClient

# An entry of the quarantine is written again after a failure, so often and after this time.
MAX_APPEND_ATTEMPTS = 60
APPEND_RETRY_DELAY_S = 1.0
_LOGGER = logging.getLogger(__name__)


class OperatorRecords:
    """Implements ``TopicHandler``: configurations, evacuations, model versions and rollouts."""

    def __init__(
        self, observer: StoreObserver, on_rollout_order: Callable[[], None] = lambda: None
    ) -> None:
        """``on_rollout_order`` is called with each order to roll out a software version."""
        self._observer = observer
        self._on_rollout_order = on_rollout_order
        self._has_records = False

    def on_newest(self, records: tuple[KeyedRecord, ...]) -> None:
        evacuated = {
            DataCentre(record.key.removeprefix(EVACUATION_PREFIX))
            for record in records
            if record.key.startswith(EVACUATION_PREFIX) and record.value is not None
        }
        self._observer.on_evacuations_read(evacuated)
        is_initial, self._has_records = not self._has_records, True
        self._apply(records, is_initial)

    def on_record(self, record: KeyedRecord, is_initial: bool = False) -> None:
        try:
            if record.key == CONFIGURATION_KEY and record.value is not None:
                self._observer.on_configuration(parse_configuration(record.value))
            elif record.key.startswith(EVACUATION_PREFIX):
                data_centre = DataCentre(record.key.removeprefix(EVACUATION_PREFIX))
                self._observer.on_evacuation(data_centre, record.value is not None)
            elif record.key.startswith(MODEL_VERSION_PREFIX) and record.value is not None:
                desired = parse_desired_version(record.value)
                self._observer.on_desired_version(desired.model, desired.version, is_initial)
            elif record.key.startswith(ROLLOUT_PREFIX):
                self._apply_rollout(record, is_initial)
        except CorruptRecordError as error:
            _log_corrupt(record, error)

    def _apply_rollout(self, record: KeyedRecord, is_initial: bool) -> None:
        service = ServiceName(record.key.removeprefix(ROLLOUT_PREFIX))
        if record.value is None:
            self._observer.on_rollout_ignored(service, IgnoredReason.WITHDRAWN)
            return
        order = parse_rollout_order(record.value)
        if order.service != service:
            raise CorruptRecordError(f"rollout order of {service} names {order.service}")
        self._on_rollout_order()
        self._observer.on_rollout_order(order, is_initial)

    def on_restored(
        self, records: tuple[KeyedRecord, ...], carried: tuple[KeyedRecord, ...]
    ) -> None:
        """The newer one of two configurations or versions counts, by its number.

        Evacuations have none: a data centre gets no calls while the store or this instance knows of
        one.
        """
        self.on_newest((*records, *(record for record in carried if record.value is not None)))

    def on_carried(self, records: tuple[KeyedRecord, ...]) -> None:
        self._apply(record for record in records if record.value is not None)

    def on_settled(self, records: tuple[KeyedRecord, ...]) -> None:
        self.on_newest(records)

    def _apply(self, records: Iterable[KeyedRecord], is_initial: bool = False) -> None:
        for record in records:
            try:
                self.on_record(record, is_initial)
            except Exception as error:  # One record must not hide the others.
                log_failed_record(record, error)


class RegistryRecords:
    """Implements ``TopicHandler``: registrations of targets."""

    def __init__(self, observer: StoreObserver) -> None:
        self._observer = observer
        # The last record of each target and its registration; None: it is not usable.
        self._parsed: dict[str, tuple[bytes, Registration | None]] = {}

    def on_newest(self, records: tuple[KeyedRecord, ...]) -> None:
        self._observer.on_registry_read(self._parse_all(records), False)

    def on_record(self, record: KeyedRecord) -> None:
        if record.value is None:
            self._parsed.pop(record.key, None)
            self._observer.on_registration_removed(TargetId(record.key))
            return
        # Targets write the same record at each heartbeat.
        value, registration = self._parsed.get(record.key, (None, None))
        if value != record.value:
            registration = _try_parse_registration(record)
            self._parsed[record.key] = (record.value, registration)
        if registration is not None:
            self._observer.on_registration(registration)

    def on_restored(
        self, records: tuple[KeyedRecord, ...], carried: tuple[KeyedRecord, ...]
    ) -> None:
        """The table of targets knows which of them are draining or gone."""
        self._observer.on_registry_read(self._parse_all(records), True)

    def on_carried(self, records: tuple[KeyedRecord, ...]) -> None:
        for record in records:
            self.on_record(record)

    def on_settled(self, records: tuple[KeyedRecord, ...]) -> None:
        """Nothing to do: targets register again within seconds, or are removed."""

    def _parse_all(self, records: tuple[KeyedRecord, ...]) -> list[Registration]:
        self._parsed.clear()
        parsed = (_try_parse_registration(record) for record in records)
        return [registration for registration in parsed if registration is not None]


class InstanceRecords:
    """Implements ``TopicHandler``: quarantined calls, and the default versions of services.

    Only entry instances write this topic, so they also write again what a restored store has lost.
    """

    def __init__(
        self, loop: EventLoop, store: StoreClient, observer: StoreObserver, sharing: FeedSharing
    ) -> None:
        self._loop = loop
        self._store = store
        self._observer = observer
        self._sharing = sharing
        self._is_closed = False

    def close(self) -> None:
        """Stops repeating writes that failed."""
        self._is_closed = True

    def write_default(
        self, service: ServiceName, default: DefaultVersion, expected_end: Offset
    ) -> None:
        """Writes a service's default version if the topic ends at ``expected_end``.

        Nothing is repeated: whether the record is still wanted is decided again.
        """
        key = DEFAULT_VERSION_PREFIX + service
        value = encode_default_version(default)

        def on_result(result: Offset | StoreCallError) -> None:
            if isinstance(result, StoreCallError):
                log_event(
                    _LOGGER,
                    logging.WARNING,
                    Event.LOG_APPEND_FAILED,
                    f"default version: {result}",
                    key=key,
                )

        self._store.append_keyed(QUARANTINE_TOPIC, key, value, expected_end, on_result)

    def write_mark(
        self,
        service: ServiceName,
        mark: RolloutMark,
        expected_end: Offset,
        done: Callable[[Offset | StoreCallError], None],
    ) -> None:
        """Writes how much of a service may move if the topic ends at ``expected_end``."""
        key, value = ROLLOUT_PREFIX + service, encode_rollout_mark(mark)
        self._store.append_keyed(QUARANTINE_TOPIC, key, value, expected_end, done)

    def append(self, key: str, value: bytes, attempt: int = 1) -> None:
        """Writes an entry for all instances, or nothing to delete it; repeats a failed write."""

        def on_result(result: Offset | StoreCallError) -> None:
            if not isinstance(result, StoreCallError) or self._is_closed:
                return
            log_event(
                _LOGGER,
                logging.WARNING,
                Event.LOG_APPEND_FAILED,
                f"entry, attempt {attempt}: {result}",
                key=key,
            )
            if attempt < MAX_APPEND_ATTEMPTS:
                self._loop.call_later(
                    APPEND_RETRY_DELAY_S, partial(self.append, key, value, attempt + 1)
                )

        self._store.append_keyed(QUARANTINE_TOPIC, key, value, None, on_result)

    def append_entry(self, entry: QuarantineEntry) -> None:
        """Writes an entry for all instances; repeats a failed write."""
        self.append(entry.fingerprint, entry.SerializeToString())

    def on_newest(self, records: tuple[KeyedRecord, ...]) -> None:
        for record in records:
            self.on_record(record)

    def on_record(self, record: KeyedRecord) -> None:
        try:
            if record.key.startswith(DEFAULT_VERSION_PREFIX):
                service = ServiceName(record.key.removeprefix(DEFAULT_VERSION_PREFIX))
                default = None if record.value is None else parse_default_version(record.value)
                self._observer.on_default_version(service, default)
                return
            if record.key.startswith(ROLLOUT_PREFIX):
                service = ServiceName(record.key.removeprefix(ROLLOUT_PREFIX))
                mark = None if record.value is None else parse_rollout_mark(record.value)
                self._observer.on_rollout_mark(service, mark)
                return
            entry = None if record.value is None else parse_quarantine_entry(record.value)
        except CorruptRecordError as error:
            _log_corrupt(record, error)
            return
        self._observer.on_quarantine(record.key, entry)

    def on_restored(
        self, records: tuple[KeyedRecord, ...], carried: tuple[KeyedRecord, ...]
    ) -> None:
        """Entries of the copy that were lifted since stay so; what was lost is written again."""
        carried_keys = {record.key for record in carried}
        self.on_newest(tuple(record for record in records if record.key not in carried_keys))
        if self._sharing.is_reader():
            for record in carried:
                self.append(record.key, record.value or b"")

    def on_carried(self, records: tuple[KeyedRecord, ...]) -> None:
        self.on_newest(records)

    def on_settled(self, records: tuple[KeyedRecord, ...]) -> None:
        """Nothing to do: failed writes are repeated."""


class StatusRecords:
    """Implements ``TopicHandler``: the status of each service's rollout.

    Only entry instances write it, so they also write again what a restored store has lost.
    """

    def __init__(self, store: StoreClient, observer: StoreObserver, sharing: FeedSharing) -> None:
        self._store = store
        self._observer = observer
        self._sharing = sharing

    def write(
        self,
        service: ServiceName,
        status: RolloutStatus,
        expected_end: Offset,
        done: Callable[[Offset | StoreCallError], None],
    ) -> None:
        """Writes a status if the topic ends at ``expected_end``."""
        key, value = ROLLOUT_PREFIX + service, encode_rollout_status(status)
        self._store.append_keyed(STATUS_TOPIC, key, value, expected_end, done)

    def on_newest(self, records: tuple[KeyedRecord, ...]) -> None:
        for record in records:
            self.on_record(record)

    def on_record(self, record: KeyedRecord) -> None:
        if not record.key.startswith(ROLLOUT_PREFIX):
            return
        service = ServiceName(record.key.removeprefix(ROLLOUT_PREFIX))
        try:
            status = None if record.value is None else parse_rollout_status(record.value)
        except CorruptRecordError as error:
            _log_corrupt(record, error)
            return
        self._observer.on_rollout_status(service, status)

    def on_restored(
        self, records: tuple[KeyedRecord, ...], carried: tuple[KeyedRecord, ...]
    ) -> None:
        """What this instance knows counts; what was lost is written again."""
        carried_keys = {record.key for record in carried}
        self.on_newest(tuple(record for record in records if record.key not in carried_keys))
        for record in carried:
            if self._sharing.is_reader() and record.key.startswith(ROLLOUT_PREFIX):
                self._store.append_keyed(
                    STATUS_TOPIC, record.key, record.value or b"", None, self._on_result
                )

    @staticmethod
    def _on_result(result: Offset | StoreCallError) -> None:
        if isinstance(result, StoreCallError):
            log_event(
                _LOGGER, logging.WARNING, Event.LOG_APPEND_FAILED, f"rollout status: {result}"
            )

    def on_carried(self, records: tuple[KeyedRecord, ...]) -> None:
        self.on_newest(records)

    def on_settled(self, records: tuple[KeyedRecord, ...]) -> None:
        """Nothing to do: a state that has been reached counts, whatever the store holds."""


def _try_parse_registration(record: KeyedRecord) -> Registration | None:
    if record.value is None:
        return None
    try:
        return parse_registration(record.key, record.value)
    except CorruptRecordError as error:
        _log_corrupt(record, error)
        return None


def _log_corrupt(record: KeyedRecord, error: CorruptRecordError) -> None:
    log_event(
        _LOGGER,
        logging.WARNING,
        Event.RECORD_CORRUPT,
        f"record skipped: {error}",
        key=record.key,
        offset=record.offset,
    )
