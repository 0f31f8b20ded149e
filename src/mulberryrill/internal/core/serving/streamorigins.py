"""Knows which software version began a stream, also after the instance that served it is gone.

Pattern: targets of several software versions serve side by side. A stream breaks off, its caller
takes it up at any instance, milliseconds later or after all instances were killed, and what two
versions write does not fit together.

Each service has a default version, which is kept in the platform's store. A stream of another
version is recorded there before its caller gets the first event. A stream of which the complete
records say nothing therefore began at the default version: with one version in service, nothing is
recorded and nothing has to be looked up.
"""

from collections import Counter
from dataclasses import dataclass
from enum import Enum

from ...ids import RequestId, ServiceName, SoftwareVersion, StoreEra

# Streams whose version this instance remembers; 20,000 take about 4 MB.
MAX_STREAMS = 20_000
# After the store came back from an older copy, instances record again what it lost in this time.
REWRITING_S = 5.0


@dataclass(frozen=True)
class StreamOrigin:
    """The version that began a stream, which is named by the request with its first event."""

    request: RequestId
    service: ServiceName
    version: SoftwareVersion


@dataclass(frozen=True)
class DefaultVersion:
    """The version that began the streams of a service that are not recorded."""

    version: SoftwareVersion
    # The store has kept all records since this era began; None: its responses state no era.
    era: StoreEra | None


class OriginSource(Enum):
    """How the version of a stream is known; the values are logged."""

    MEMORY = "seen"
    ONLY_VERSION = "only version in service"
    STORE = "store"
    NOT_RECORDED = "not in the store's records"


@dataclass
class _ServiceState:
    default: DefaultVersion | None = None
    # Boot times: when a version besides the default was last in service, and since when the default
    # version has not been; None: it is.
    other_seen_at: float = float("-inf")
    default_absent_since: float | None = None


@dataclass(frozen=True)
class _KnownOrigin:
    origin: StreamOrigin
    is_recorded: bool
    begun_at: float


class StreamOrigins:
    """Decides which streams are recorded, and where a stream goes on. Times are boot times."""

    def __init__(self, started_at: float) -> None:
        self._started_at = started_at
        # Oldest first.
        self._known: dict[RequestId, _KnownOrigin] = {}
        self._services: dict[ServiceName, _ServiceState] = {}
        self._era: StoreEra | None = None
        # When the store's era changed while this instance was running.
        self._era_changed_at: float | None = None

    def get_default(self, service: ServiceName) -> SoftwareVersion | None:
        """Returns the default version; None: it is not known."""
        default = self._get_state(service).default
        return default.version if default is not None else None

    def find_recordless(
        self, service: ServiceName, registered: Counter[SoftwareVersion]
    ) -> SoftwareVersion | None:
        """Returns the version whose streams need no record, or will need none; None: none does.

        ``registered``: the versions of the registered targets, with their numbers.
        """
        version = self.get_default(service)
        if version is None and registered:
            version = _choose_most_common(registered)
        return version if version in registered else None

    def set_default(self, service: ServiceName, default: DefaultVersion | None) -> None:
        """Applies the store's newest record."""
        state = self._get_state(service)
        if default is None or state.default is None or default.version != state.default.version:
            state.default_absent_since = None
        state.default = default

    def set_era(self, era: StoreEra | None, now: float) -> bool:
        """Applies the store's era; returns whether it may have lost records since the last call."""
        has_changed = self._era is not None and era != self._era
        if has_changed:
            self._era_changed_at = now
        self._era = era
        return has_changed

    def observe(
        self, service: ServiceName, registered: Counter[SoftwareVersion], now: float
    ) -> None:
        """Records the versions of the targets that are registered, with their numbers."""
        state = self._get_state(service)
        default = state.default.version if state.default is not None else None
        if any(version != default for version in registered):
            state.other_seen_at = now
        if default is None or default in registered:
            state.default_absent_since = None
        elif state.default_absent_since is None:
            state.default_absent_since = now

    def choose_default(
        self,
        service: ServiceName,
        registered: Counter[SoftwareVersion],
        lifetime_s: float,
        now: float,
    ) -> DefaultVersion | None:
        """Returns the record to be written to the store, or None if there is no reason to.

        ``lifetime_s``: no stream is taken up so long after it began.
        """
        if not registered:
            return None
        state = self._get_state(service)
        most_common = _choose_most_common(registered)
        if state.default is None:
            return DefaultVersion(most_common, self._era)
        if state.default.era != self._era:
            # What an instance records again or has recorded since it started is complete then.
            settled_at = (
                self._era_changed_at + REWRITING_S
                if self._era_changed_at is not None
                else self._started_at + lifetime_s
            )
            if now < settled_at:
                return None
            return DefaultVersion(state.default.version, self._era)
        absent_since = state.default_absent_since
        if absent_since is not None and now - absent_since >= lifetime_s:
            return DefaultVersion(most_common, self._era)
        return None

    def must_record(self, service: ServiceName, version: SoftwareVersion) -> bool:
        """Whether a stream of this version must be in the store before its first event goes out."""
        default = self._get_state(service).default
        return default is None or default.version != version or default.era != self._era

    def remember(self, origin: StreamOrigin, *, is_recorded: bool, now: float) -> None:
        """Remembers a stream that this instance or a peer has begun, or that was read."""
        self._known.pop(origin.request, None)
        self._known[origin.request] = _KnownOrigin(origin, is_recorded, now)
        if is_recorded:
            self._get_state(origin.service).other_seen_at = now
        if len(self._known) > MAX_STREAMS:
            del self._known[next(iter(self._known))]

    def find(self, request: RequestId, service: ServiceName) -> SoftwareVersion | None:
        """Returns the version of a stream that this instance knows."""
        known = self._known.get(request)
        return known.origin.version if known and known.origin.service == service else None

    def find_only_version(
        self, service: ServiceName, lifetime_s: float, now: float
    ) -> SoftwareVersion | None:
        """Returns the default version if no stream that goes on can have begun at another one."""
        state = self._get_state(service)
        since = max(self._started_at, state.other_seen_at)
        if state.default is None or now - since < lifetime_s:
            return None
        return state.default.version

    def infer(self, service: ServiceName) -> SoftwareVersion | None:
        """Returns the version of a stream that is not in the store's records; None: unknown.

        All records must have been read since the stream broke off.
        """
        default = self._get_state(service).default
        if default is None or default.era != self._era:
            return None
        return default.version

    def list_recorded(self, max_age_s: float, now: float) -> list[StreamOrigin]:
        """Returns the recorded streams of the last ``max_age_s``, oldest first."""
        return [
            known.origin
            for known in self._known.values()
            if known.is_recorded and now - known.begun_at < max_age_s
        ]

    def _get_state(self, service: ServiceName) -> _ServiceState:
        return self._services.setdefault(service, _ServiceState())


def _choose_most_common(registered: Counter[SoftwareVersion]) -> SoftwareVersion:
    return min(registered, key=lambda version: (-registered[version], version))
