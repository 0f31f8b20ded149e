"""Counters and latency histograms of one entry process, as Prometheus text."""

from collections import Counter
from collections.abc import Mapping

from ..core.serving.routetable import CallKind
from ..latency import LatencyHistogram

# Histograms of this size take a few kilobytes each.
RESOLUTION_S, MAX_LATENCY_S, SIGNIFICANT_DIGITS = 0.001, 60.0, 2
METRIC_PREFIX = "mulberryrill_entry"


class EntryMetrics:
    """Collects and renders the metrics. Used on the event loop's thread only."""

    def __init__(self) -> None:
        self._calls: Counter[tuple[str, str]] = Counter()
        self._attempts: Counter[tuple[str, str]] = Counter()
        self._refusals: Counter[str] = Counter()
        self._invalid_headers: Counter[str] = Counter()
        self._closed_clients: Counter[str] = Counter()
        self._durations = {kind: _create_histogram() for kind in CallKind}
        self._first_event_delays = _create_histogram()

    def record_call(self, kind: CallKind, result: str, elapsed_s: float) -> None:
        """Counts a call that has ended."""
        self._calls[kind.value, result] += 1
        self._durations[kind].record(elapsed_s)

    def record_first_event(self, elapsed_s: float) -> None:
        """Records the time from sending a stream's attempt to its first event."""
        self._first_event_delays.record(elapsed_s)

    def record_attempt(self, service: str, outcome: str) -> None:
        """Counts an attempt that has ended."""
        self._attempts[service, outcome] += 1

    def record_refusal(self, reason: str) -> None:
        """Counts a request that was refused before a target was chosen."""
        self._refusals[reason] += 1

    def record_invalid_header(self, name: str) -> None:
        """Counts a header of a target whose value was ignored or cut."""
        self._invalid_headers[name] += 1

    def record_closed_client(self, state: str) -> None:
        """Counts a client that was evicted to free memory or a descriptor."""
        self._closed_clients[state] += 1

    def render(self, gauges: Mapping[str, float]) -> bytes:
        """Returns all metrics as text; ``gauges`` holds current values by metric name."""
        lines = [f"{METRIC_PREFIX}_{name} {value:g}" for name, value in sorted(gauges.items())]
        for (kind, result), count in sorted(self._calls.items()):
            lines.append(f'{METRIC_PREFIX}_calls_total{{kind="{kind}",result="{result}"}} {count}')
        for (service, outcome), count in sorted(self._attempts.items()):
            labels = f'service="{service}",outcome="{outcome}"'
            lines.append(f"{METRIC_PREFIX}_attempts_total{{{labels}}} {count}")
        for reason, count in sorted(self._refusals.items()):
            lines.append(f'{METRIC_PREFIX}_refusals_total{{reason="{reason}"}} {count}')
        for name, count in sorted(self._invalid_headers.items()):
            lines.append(f'{METRIC_PREFIX}_invalid_headers_total{{header="{name}"}} {count}')
        for state, count in sorted(self._closed_clients.items()):
            lines.append(f'{METRIC_PREFIX}_closed_clients_total{{state="{state}"}} {count}')
        for call_kind, histogram in self._durations.items():
            lines += _render_histogram("call_ms", f'kind="{call_kind.value}",', histogram)
        lines += _render_histogram("first_event_ms", "", self._first_event_delays)
        return "\n".join([*lines, ""]).encode()


def _create_histogram() -> LatencyHistogram:
    return LatencyHistogram(RESOLUTION_S, MAX_LATENCY_S, SIGNIFICANT_DIGITS)


def _render_histogram(name: str, labels: str, histogram: LatencyHistogram) -> list[str]:
    count, _, quantiles = histogram.summarize()
    lines = [
        f'{METRIC_PREFIX}_{name}{{{labels}quantile="{quantile:g}"}} {round(seconds * 1000)}'
        for quantile, seconds in quantiles.items()
    ]
    suffix = f"{{{labels.rstrip(',')}}}" if labels else ""
    return [*lines, f"{METRIC_PREFIX}_{name}_count{suffix} {count}"]
