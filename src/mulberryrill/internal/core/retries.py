"""Retry budget, and tracking of whether a request may have been executed."""

from enum import Enum

from ..ids import AttemptId, Executed

# Retries earned per request, and the most retries that can be saved up. Together they allow at most
# 0.2 retries per request in any window of 100 requests or more.
RETRY_RATIO = 0.1
RETRY_RESERVE = 10.0


class RetryBudget:
    """Limits the retries of one service to a fraction of its requests plus a reserve."""

    def __init__(
        self,
        ratio: float = RETRY_RATIO,
        reserve: float = RETRY_RESERVE,
        initial_share: float = 1.0,
    ) -> None:
        """``initial_share`` is the share of the reserve that is there from the beginning.

        One retry is there in any case: a service with few requests needs it as much as others.
        """
        # Credit is an integer, 1 per request: adding 0.1 repeatedly would accumulate an error.
        self._credit_per_retry = round(1 / ratio)
        self._max_credit = self._compute_max_credit(reserve)
        self._credit = max(self._credit_per_retry, int(initial_share * self._max_credit))
        self._share = initial_share
        # Credit of a share that was granted and is not whole yet.
        self._fraction = 0.0

    def grant_share(self, share: float) -> None:
        """Adds what is missing of this share of the reserve; shares granted before count."""
        if share <= self._share:
            return
        self._fraction += (share - self._share) * self._max_credit
        self._share = share
        credit = int(self._fraction)
        self._fraction -= credit
        self._credit = min(self._credit + credit, self._max_credit)

    def _compute_max_credit(self, reserve: float) -> int:
        return max(self._credit_per_retry, round(reserve * self._credit_per_retry))

    def set_reserve(self, reserve: float) -> None:
        """Changes the most retries that can be saved up; more of them are not given at once."""
        self._max_credit = self._compute_max_credit(reserve)
        self._credit = min(self._credit, self._max_credit)

    def record_request(self) -> None:
        """Adds the credit of one received request."""
        self._credit = min(self._credit + 1, self._max_credit)

    def try_withdraw(self) -> bool:
        """Withdraws the credit of one retry; returns False, unchanged, if there is not enough."""
        if self._credit < self._credit_per_retry:
            return False
        self._credit -= self._credit_per_retry
        return True


class _Progress(Enum):
    STARTED = 0
    REJECTED = 1
    SENT = 2
    RESPONDED = 3


class AttemptTracker:
    """Records how far each attempt to send one request to a target has come."""

    def __init__(self) -> None:
        self._attempts: dict[AttemptId, _Progress] = {}

    def on_start(self, attempt: AttemptId) -> None:
        """Records a new attempt, of which no byte has been sent."""
        self._attempts[attempt] = _Progress.STARTED

    def on_bytes_sent(self, attempt: AttemptId) -> None:
        """Records that bytes of the request may have reached the target."""
        self._advance(attempt, _Progress.SENT)

    def on_rejected(self, attempt: AttemptId) -> None:
        """Records the documented response of a target that rejects a request without running it."""
        if self._attempts.get(attempt) is not _Progress.RESPONDED:
            self._attempts[attempt] = _Progress.REJECTED

    def on_response(self, attempt: AttemptId) -> None:
        """Records the start of a verified response, so the target ran the request."""
        self._attempts[attempt] = _Progress.RESPONDED

    @property
    def executed(self) -> Executed:
        """Whether any attempt ran: NO only if none can have, UNKNOWN if one may have."""
        values = self._attempts.values()
        if _Progress.RESPONDED in values:
            return Executed.YES
        return Executed.UNKNOWN if _Progress.SENT in values else Executed.NO

    def _advance(self, attempt: AttemptId, progress: _Progress) -> None:
        recorded = self._attempts.get(attempt, _Progress.STARTED)
        if recorded is _Progress.STARTED:
            self._attempts[attempt] = progress
