"""Summarizes the results of a load run as text, JSON and a plot."""

import json
from dataclasses import asdict, dataclass
from pathlib import Path

from hdrh.histogram import HdrHistogram

from .client import RequestResult

MAX_LATENCY_US = 600_000_000
SIGNIFICANT_DIGITS = 3
PERCENTILES = (50.0, 95.0, 99.0)


@dataclass(frozen=True)
class Summary:
    """Figures of one class in one deployment, without the warm-up. Times are in milliseconds."""

    deployment: str
    load_class: str
    requests: int
    complete: int
    rejected: int
    failed: int
    goodput_per_s: float
    first_token_p50_ms: float
    first_token_p95_ms: float
    first_token_p99_ms: float
    token_gap_p95_ms: float
    recomputed_share: float
    # Jain's fairness index of the customers' completion rates; 1 means that all are equal.
    fairness: float


def summarize(
    deployment: str, load_class: str, results: list[RequestResult], seconds: float
) -> Summary:
    """Returns the figures of the measured results of one class."""
    measured = [r for r in results if r.planned.measured and r.planned.load_class == load_class]
    complete = [r for r in measured if r.status == 200 and r.finished]
    rejected = [r for r in measured if r.status in (429, 503)]
    first = _build_histogram([r.first_token_s for r in complete if r.first_token_s is not None])
    gaps = _build_histogram([gap for r in complete for gap in r.token_gaps_s])
    p50, p95, p99 = (first.get_value_at_percentile(p) / 1000 for p in PERCENTILES)
    prompt = sum(r.prompt_tokens for r in complete)
    cached = sum(r.cached_tokens for r in complete)
    return Summary(
        deployment=deployment,
        load_class=load_class,
        requests=len(measured),
        complete=len(complete),
        rejected=len(rejected),
        failed=len(measured) - len(complete) - len(rejected),
        goodput_per_s=round(sum(_meets_bound(r) for r in complete) / seconds, 2),
        first_token_p50_ms=p50,
        first_token_p95_ms=p95,
        first_token_p99_ms=p99,
        token_gap_p95_ms=gaps.get_value_at_percentile(95.0) / 1000,
        recomputed_share=round(1 - cached / prompt, 4) if prompt else 0.0,
        fairness=_compute_fairness(measured),
    )


def format_table(summaries: list[Summary], processor_s: dict[str, float]) -> str:
    """Returns a table as text, followed by ratios to the first deployment and processor times."""
    lines = [
        f"{'deployment':<16}{'class':<14}{'sent':>6}{'done':>6}{'rej':>5}{'fail':>5}{'good/s':>8}"
        f"{'ttft p50':>10}{'p95':>9}{'p99':>9}{'gap p95':>9}{'recomp':>8}{'fair':>6}"
    ]
    for s in summaries:
        lines.append(
            f"{s.deployment:<16}{s.load_class:<14}{s.requests:>6}{s.complete:>6}{s.rejected:>5}"
            f"{s.failed:>5}{s.goodput_per_s:>8.1f}{s.first_token_p50_ms:>10.1f}"
            f"{s.first_token_p95_ms:>9.1f}{s.first_token_p99_ms:>9.1f}{s.token_gap_p95_ms:>9.1f}"
            f"{s.recomputed_share:>8.3f}{s.fairness:>6.2f}"
        )
    lines.extend(_format_ratios(summaries))
    lines.extend(f"{name}: {seconds:.2f} s processor time" for name, seconds in processor_s.items())
    return "\n".join(lines)


def write_report(path: str, summaries: list[Summary], processor_s: dict[str, float]) -> None:
    """Writes all figures as JSON."""
    report = {"summaries": [asdict(s) for s in summaries], "processor_s": processor_s}
    Path(path).write_text(json.dumps(report, indent=2) + "\n", encoding="utf-8")


def write_plot(path: str, results: dict[str, list[RequestResult]]) -> None:
    """Writes a PNG with the distribution of time to first token of each deployment."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(8, 5))
    for name, items in results.items():
        times = sorted(r.first_token_s for r in items if r.first_token_s is not None)
        shares = [(index + 1) / len(times) for index in range(len(times))]
        axes.plot(times, shares, label=name)
    axes.set_xlabel("time to first token (s)")
    axes.set_ylabel("share of answers")
    axes.set_xscale("log")
    axes.legend()
    figure.savefig(path)
    pyplot.close(figure)


def _meets_bound(result: RequestResult) -> bool:
    bound = result.planned.first_token_bound_s
    return bound <= 0 or (result.first_token_s is not None and result.first_token_s <= bound)


def _build_histogram(seconds: list[float]) -> HdrHistogram:
    histogram = HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
    for value in seconds:
        histogram.record_value(max(1, int(value * 1_000_000)))
    return histogram


def _compute_fairness(results: list[RequestResult]) -> float:
    sent: dict[int, int] = {}
    finished: dict[int, int] = {}
    for result in results:
        customer = result.planned.customer
        sent[customer] = sent.get(customer, 0) + 1
        finished[customer] = finished.get(customer, 0) + int(result.finished)
    rates = [finished[customer] / count for customer, count in sent.items()]
    squares = sum(rate * rate for rate in rates)
    return round(sum(rates) ** 2 / (len(rates) * squares), 3) if squares else 0.0


def _format_ratios(summaries: list[Summary]) -> list[str]:
    baselines: dict[str, Summary] = {}
    lines = []
    for s in summaries:
        base = baselines.setdefault(s.load_class, s)
        if base is s or not base.first_token_p95_ms:
            continue
        ratio = s.first_token_p95_ms / base.first_token_p95_ms
        text = f"{s.deployment} / {base.deployment}, {s.load_class}: ttft p95 {ratio:.2f}"
        if base.recomputed_share:
            text += f", recomputed {s.recomputed_share / base.recomputed_share:.2f}"
        lines.append(text)
    return lines
