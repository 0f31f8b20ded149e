"""Limits retries and tells what is known about whether a request ran."""

from enum import Enum

from ..ids import AttemptId, Executed

# Retries may be this share of the requests, plus the reserve: at most 0.2 retries for each request
# in any window of 100 requests or more.
RETRY_RATIO = 0.1
RETRY_RESERVE = 10.0


class RetryBudget:
    """Limits the requests sent to targets for one service."""

    def __init__(self, ratio: float = RETRY_RATIO, reserve: float = RETRY_RESERVE) -> None:
        # Shares of a retry, as a whole number: adding 0.1 repeatedly would accumulate an error.
        self._cost = round(1 / ratio)
        self._most = max(self._cost, round(reserve / ratio))
        self._credit = self._most

    def record_request(self) -> None:
        """Counts one received request."""
        self._credit = min(self._credit + 1, self._most)

    def try_withdraw(self) -> bool:
        """Uses one retry if the budget allows it."""
        if self._credit < self._cost:
            return False
        self._credit -= self._cost
        return True


class _Progress(Enum):
    STARTED = 0
    REJECTED = 1
    SENT = 2
    ANSWERED = 3


class AttemptTracker:
    """Follows the attempts of one request."""

    def __init__(self) -> None:
        self._attempts: dict[AttemptId, _Progress] = {}

    def on_start(self, attempt: AttemptId) -> None:
        """A connection to a target is about to be opened; no byte has been sent."""
        self._attempts[attempt] = _Progress.STARTED

    def on_bytes_sent(self, attempt: AttemptId) -> None:
        """A byte of the request may have reached the target."""
        self._raise(attempt, _Progress.SENT)

    def on_rejected(self, attempt: AttemptId) -> None:
        """The target gave its documented rejection before running the request."""
        if self._attempts.get(attempt) is not _Progress.ANSWERED:
            self._attempts[attempt] = _Progress.REJECTED

    def on_answer(self, attempt: AttemptId) -> None:
        """The target began a verified answer, so it ran the request."""
        self._attempts[attempt] = _Progress.ANSWERED

    @property
    def executed(self) -> Executed:
        """What is known: "no" only if no attempt can have run."""
        values = self._attempts.values()
        if _Progress.ANSWERED in values:
            return Executed.YES
        return Executed.UNKNOWN if _Progress.SENT in values else Executed.NO

    def _raise(self, attempt: AttemptId, progress: _Progress) -> None:
        known = self._attempts.get(attempt, _Progress.STARTED)
        if known is _Progress.STARTED:
            self._attempts[attempt] = progress
