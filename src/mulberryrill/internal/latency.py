"""Latency histograms with quantiles; how they are exported is up to their owners."""

import threading

from hdrh.histogram import HdrHistogram

QUANTILES = (0.5, 0.95, 0.99)


class LatencyHistogram:
    """Durations in seconds; thread-safe."""

    def __init__(
        self, resolution_s: float = 1e-6, max_s: float = 3600.0, significant_digits: int = 3
    ) -> None:
        """Memory grows with the range (``max_s`` over ``resolution_s``) and the digits kept."""
        self._resolution_s = resolution_s
        self._most = round(max_s / resolution_s)
        self._lock = threading.Lock()
        self._histogram = HdrHistogram(1, self._most, significant_digits)
        self._sum = 0.0

    def record(self, seconds: float) -> None:
        """Adds one value; longer ones than the longest count as the longest."""
        value = min(max(1, round(seconds / self._resolution_s)), self._most)
        with self._lock:
            self._histogram.record_value(value)
            self._sum += seconds

    def summarize(self) -> tuple[int, float, dict[float, float]]:
        """Returns count, sum and quantiles in seconds."""
        with self._lock:
            quantiles = {
                q: self._histogram.get_value_at_percentile(q * 100) * self._resolution_s
                for q in QUANTILES
            }
            return self._histogram.get_total_count(), self._sum, quantiles
