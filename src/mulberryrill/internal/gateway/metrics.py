"""Metrics of one gateway: Prometheus counters, and HDR histograms for latencies."""

from collections.abc import Callable, Iterable

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    ProcessCollector,
    generate_latest,
)
from prometheus_client.core import SummaryMetricFamily
from prometheus_client.registry import Collector

from ..latency import LatencyHistogram


class _LatencyCollector(Collector):
    """Exports histograms as summaries with quantiles."""

    def __init__(self) -> None:
        self._entries: list[tuple[str, str, dict[str, LatencyHistogram]]] = []

    def register(self, name: str, help_text: str) -> Callable[[str], LatencyHistogram]:
        """Registers a metric; returns a function from a service's name to its histogram."""
        by_service: dict[str, LatencyHistogram] = {}
        self._entries.append((name, help_text, by_service))

        def get_histogram(service: str) -> LatencyHistogram:
            # Creating a histogram takes 0.1 ms, which setdefault would add to each request.
            histogram = by_service.get(service)
            if histogram is None:
                histogram = by_service[service] = LatencyHistogram()
            return histogram

        return get_histogram

    def collect(self) -> Iterable[SummaryMetricFamily]:
        """Yields one summary for each metric."""
        for name, help_text, by_service in self._entries:
            family = SummaryMetricFamily(name, help_text, labels=["service", "quantile"])
            for service, histogram in list(by_service.items()):
                count, total, quantiles = histogram.summarize()
                for quantile, value in quantiles.items():
                    family.add_sample(name, {"service": service, "quantile": str(quantile)}, value)
                family.add_sample(f"{name}_count", {"service": service}, count)
                family.add_sample(f"{name}_sum", {"service": service}, total)
            yield family


class GatewayMetrics:
    """All metrics of a gateway. Labels hold names from documents and never secrets."""

    def __init__(self) -> None:
        self._registry = CollectorRegistry()
        ProcessCollector(registry=self._registry)
        self.requests = Counter(
            "mulberryrill_requests",
            "Answered requests",
            ["service", "status", "executed"],
            registry=self._registry,
        )
        self.attempts = Counter(
            "mulberryrill_attempts",
            "Attempts at targets by result",
            ["service", "result"],
            registry=self._registry,
        )
        self.forwarded = Counter(
            "mulberryrill_forwarded",
            "Calls sent to another data centre",
            ["service", "data_centre"],
            registry=self._registry,
        )
        self.resumed = Counter(
            "mulberryrill_streams_resumed", "Resumed streams", ["service"], registry=self._registry
        )
        self.tokens = Counter(
            "mulberryrill_token_events",
            "Token events relayed to callers",
            ["service"],
            registry=self._registry,
        )
        self.prompt_tokens = Counter(
            "mulberryrill_prompt_tokens",
            "Prompt tokens of completed requests",
            ["service", "kind"],
            registry=self._registry,
        )
        self.store_lookups = Counter(
            "mulberryrill_store_lookups",
            "Prompts looked up in KV cache stores by result",
            ["result"],
            registry=self._registry,
        )
        self.kv_blocks = Counter(
            "mulberryrill_kv_blocks",
            "Cache blocks that engines were told to import or export",
            ["service", "direction"],
            registry=self._registry,
        )
        self.store_link_bytes = Counter(
            "mulberryrill_store_link_bytes",
            "Bytes taken from the budgets of store links",
            ["service", "direction"],
            registry=self._registry,
        )
        self.running = Gauge(
            "mulberryrill_running_requests", "Requests in this gateway", registry=self._registry
        )
        self.snapshot_offset = Gauge(
            "mulberryrill_snapshot_offset",
            "Log offset of the configuration in force",
            registry=self._registry,
        )
        latencies = _LatencyCollector()
        self.time_to_first_token = latencies.register(
            "mulberryrill_time_to_first_token_seconds", "From the request to its first token"
        )
        self.added_latency = latencies.register(
            "mulberryrill_added_latency_seconds", "From the request to its first dispatch"
        )
        self._registry.register(latencies)

    def render(self) -> bytes:
        """Returns the text format of Prometheus."""
        return generate_latest(self._registry)
