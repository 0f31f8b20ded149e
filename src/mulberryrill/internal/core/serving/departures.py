"""Which registrations are believed of targets that have left or started again.

Pattern: a target's write to the platform's store gets no response, and is executed seconds later,
when its registration has been removed, or the target has started again. A single registration
therefore neither brings back a target that has left, nor replaces one of a later start, whereas a
target whose registration lapsed comes back with the first.
"""

from dataclasses import dataclass
from enum import Enum

from ...ids import TargetId
from .registrations import Registration, RegistrationState, TargetRun

# Targets that are gone are remembered for this long, well beyond the age of a copy from which the
# registry may come back, and up to this number.
GONE_RETENTION_S = 120.0
MAX_GONE_TARGETS = 5_000
# A registration lapses after three intervals without a write. One that was removed within this
# number of them was removed on purpose.
MIN_LAPSE_INTERVALS = 2.5
# A target that left while it was ready, and goes on to write its registration, lives after all once
# it has done so this often: so many of its writes are not all late.
RETURN_RECORD_COUNT = 3
# The store may execute a write that got no response this much later.
LATE_WRITE_S = 10.0


class Departure(Enum):
    """How a registration came to an end, which decides what brings the target back."""

    # The target announced its end: nothing does.
    DRAINED = "drained"
    # The registration was removed while the target wrote it: that the target goes on writing it.
    LEFT = "left"
    # The target was silent before, or the registry away: its next registration.
    LAPSED = "lapsed"


@dataclass(frozen=True)
class GoneTarget:
    """The last known start of a target that is not registered any more."""

    run: TargetRun
    # In Unix milliseconds of the target's clock.
    started_ms: int
    departure: Departure
    gone_at: float


@dataclass(frozen=True)
class StartNews:
    """The last start of a target that an instance knows, for instances that have just started."""

    run: TargetRun
    # In Unix milliseconds of the target's clock.
    started_ms: int
    # How it came to an end; None: it is registered.
    departure: Departure | None
    # Seconds since then.
    age_s: float = 0.0


class _Doubt(Enum):
    """Why a registration may have been written before what is known of its target."""

    # The target announced its end, and is gone.
    DRAINED = "drained"
    # Its registration was removed, or it has started again.
    SUPERSEDED = "superseded"


class Departures:
    """Remembers targets that are gone. Times are in seconds of the caller's clock."""

    def __init__(self) -> None:
        # The target that went first at the front.
        self._gone: dict[TargetId, GoneTarget] = {}
        # Incarnations whose last registrations were in doubt, and the number of these.
        self._doubted: dict[TargetId, tuple[TargetRun, int]] = {}

    def add(self, registration: Registration, departure: Departure, now: float) -> None:
        """Records that a registration came to an end; draining targets had announced it."""
        if registration.state is RegistrationState.DRAINING:
            departure = Departure.DRAINED
        self._put(GoneTarget(registration.run, registration.started_ms, departure, now), now)

    def _put(self, target: GoneTarget, now: float) -> None:
        self.discard(target.run.target)
        self._gone[target.run.target] = target
        while self._gone:
            oldest, gone = next(iter(self._gone.items()))
            if len(self._gone) <= MAX_GONE_TARGETS and now - gone.gone_at < GONE_RETENTION_S:
                break
            self.discard(oldest)

    def learn(self, news: StartNews, now: float) -> None:
        """Records what a peer knows of a target that is not registered here."""
        known = self._gone.get(news.run.target)
        if known is not None and news.started_ms < known.started_ms:
            return
        if known is not None and news.run == known.run:
            return
        departure = news.departure if news.departure is not None else Departure.LAPSED
        self._put(GoneTarget(news.run, news.started_ms, departure, now - news.age_s), now)

    def list_recent(self, now: float) -> list[StartNews]:
        """Returns the targets of which an earlier write may still be executed."""
        return [
            StartNews(gone.run, gone.started_ms, gone.departure, now - gone.gone_at)
            for gone in self._gone.values()
            if now - gone.gone_at < LATE_WRITE_S
        ]

    def discard(self, target: TargetId) -> None:
        """Forgets a target: it is registered again."""
        self._gone.pop(target, None)
        self._doubted.pop(target, None)

    def knows(self, target: TargetId) -> bool:
        """Whether an earlier start of a target is remembered."""
        return target in self._gone

    def was_superseded(self, registration: Registration, current: Registration | None) -> bool:
        """Whether this incarnation is known to be gone, or a later one is known."""
        gone = self._gone.get(registration.target)
        is_gone = gone is not None and gone.run == registration.run
        later = max(
            current.started_ms if current is not None else 0,
            gone.started_ms if gone is not None else 0,
        )
        return is_gone or registration.started_ms < later

    def is_doubtful(
        self,
        registration: Registration,
        current: Registration | None,
        now: float,
        *,
        is_restored: bool,
    ) -> bool:
        """Whether a registration may be a late write of before what is known of its target.

        ``current`` is the target's present registration. ``is_restored``: the registry came back
        from a copy a short time ago.
        """
        return self._find_doubt(registration, current, now, is_restored) is not None

    def believe(
        self,
        registration: Registration,
        current: Registration | None,
        now: float,
        *,
        is_restored: bool,
    ) -> bool:
        """Counts a registration that was written; returns whether it is to be applied.

        One that is doubtful is, once the target has gone on to write it and nothing else.
        """
        doubt = self._find_doubt(registration, current, now, is_restored)
        if doubt is None:
            self._doubted.pop(registration.target, None)
            return True
        run, count = self._doubted.get(registration.target, (registration.run, 0))
        count = count + 1 if run == registration.run else 1
        self._doubted[registration.target] = registration.run, count
        return doubt is not _Doubt.DRAINED and count >= RETURN_RECORD_COUNT

    def _find_doubt(
        self,
        registration: Registration,
        current: Registration | None,
        now: float,
        is_restored: bool,
    ) -> _Doubt | None:
        if current is not None and registration.started_ms < current.started_ms:
            return _Doubt.SUPERSEDED
        gone = self._gone.get(registration.target)
        if gone is None or now - gone.gone_at >= GONE_RETENTION_S:
            return None
        if registration.run != gone.run:
            return _Doubt.SUPERSEDED if registration.started_ms < gone.started_ms else None
        if gone.departure is Departure.DRAINED:
            # A target that still drains gets no calls whether it is registered or not.
            is_ready = registration.state is RegistrationState.READY
            return _Doubt.DRAINED if is_ready else None
        # A restored store lacks the newest records, so that targets write them again.
        is_back = is_restored or gone.departure is Departure.LAPSED
        return None if is_back else _Doubt.SUPERSEDED
