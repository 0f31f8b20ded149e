"""Token bucket rate limiter."""


class TokenBucket:
    """Holds at most ``burst`` tokens and gains ``rate`` tokens a second."""

    def __init__(self, rate: float, burst: float, now: float) -> None:
        self.rate = rate
        self.burst = burst
        self._tokens = burst
        self._updated_at = now

    def get_tokens(self, now: float) -> float:
        """Adds the tokens gained since the last call and returns the number available."""
        elapsed = max(0.0, now - self._updated_at)
        self._tokens = min(self.burst, self._tokens + elapsed * self.rate)
        self._updated_at = max(self._updated_at, now)
        return self._tokens

    def get_wait(self, amount: float, now: float) -> float:
        """Returns the seconds until ``amount`` tokens are available: 0 if they are now."""
        missing = amount - self.get_tokens(now)
        if missing <= 0:
            return 0.0
        return missing / self.rate if self.rate > 0 else float("inf")

    def take(self, amount: float, now: float) -> bool:
        """Takes ``amount`` tokens and returns True, or none and False if there are fewer."""
        if self.get_tokens(now) < amount:
            return False
        self._tokens -= amount
        return True

    def set_rate(self, rate: float, burst: float, now: float) -> None:
        """Changes rate and burst; tokens above the new burst are discarded."""
        self._tokens = min(self.get_tokens(now), burst)
        self.rate, self.burst = rate, burst
