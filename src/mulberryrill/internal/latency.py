"""Latency histograms with quantiles; exporting them is left to their owners."""

import threading

from hdrh.histogram import HdrHistogram

QUANTILES = (0.5, 0.95, 0.99)


class LatencyHistogram:
    """Thread-safe histogram of durations in seconds."""

    def __init__(
        self, resolution_s: float = 1e-6, max_s: float = 3600.0, significant_digits: int = 3
    ) -> None:
        """Memory grows with the range (``max_s`` over ``resolution_s``) and the digits kept."""
        self._resolution_s = resolution_s
        self._max_units = round(max_s / resolution_s)
        self._lock = threading.Lock()
        self._histogram = HdrHistogram(1, self._max_units, significant_digits)
        self._sum = 0.0

    def record(self, seconds: float) -> None:
        """Adds one duration; the quantiles count values out of range as the nearest limit."""
        units = min(max(1, round(seconds / self._resolution_s)), self._max_units)
        with self._lock:
            self._histogram.record_value(units)
            self._sum += seconds

    def summarize(self) -> tuple[int, float, dict[float, float]]:
        """Returns count, sum and quantiles in seconds."""
        with self._lock:
            quantiles = {
                q: self._histogram.get_value_at_percentile(q * 100) * self._resolution_s
                for q in QUANTILES
            }
            return self._histogram.get_total_count(), self._sum, quantiles
