"""Measures what the control and gateway processes of a running deployment cost while idle.

Run: PYTHONPATH=src python -m benches.idle PLAN_FILE [--seconds N], with a deployment started by
deploy/local.sh. Prints processor share, resident memory and bytes sent to other instances by each
kind of process.
"""

import json
import statistics
import time
from pathlib import Path

from absl import app, flags

from mulberryrill.internal.httpclient import HttpClient

_SECONDS = flags.DEFINE_float("seconds", 20.0, "length of the measurement")
CPU_METRIC = "process_cpu_seconds_total "
MEMORY_METRIC = "process_resident_memory_bytes "
SENT_METRIC = 'control_peer_bytes_total{direction="sent"} '


def read_metric(page: str, name: str) -> float:
    """Returns the value of a metric without labels; 0 if it is missing."""
    values = [line.split()[1] for line in page.splitlines() if line.startswith(name)]
    return float(values[0]) if values else 0.0


def read_pages(urls: list[str]) -> list[str]:
    """Returns the metrics pages."""
    client = HttpClient()
    try:
        return [client.send("GET", f"{url}/metrics").body.decode() for url in urls]
    finally:
        client.close()


def measure(urls: list[str], seconds: float) -> tuple[float, float, float, float]:
    """Returns the median processor share (percent of a core) and resident MB of some processes,
    and the median and highest KB/s sent to other instances.
    """
    before = read_pages(urls)
    begin = time.monotonic()
    time.sleep(seconds)
    after = read_pages(urls)
    passed = time.monotonic() - begin
    shares = [
        (read_metric(new, CPU_METRIC) - read_metric(old, CPU_METRIC)) / passed * 100
        for old, new in zip(before, after, strict=True)
    ]
    memory = [read_metric(page, MEMORY_METRIC) / 1e6 for page in after]
    sent = [
        (read_metric(new, SENT_METRIC) - read_metric(old, SENT_METRIC)) / passed / 1000
        for old, new in zip(before, after, strict=True)
    ]
    return (
        statistics.median(shares),
        statistics.median(memory),
        statistics.median(sent),
        max(sent),
    )


def main(argv: list[str]) -> None:
    """Prints one row for each kind of process."""
    plan = json.loads(Path(argv[1]).read_text(encoding="utf-8"))
    for kind, member in (("control", "control_admin_url"), ("gateway", "gateway_admin_url")):
        urls = [instance[member] for instance in plan["instances"]]
        share, memory, sent, most_sent = measure(urls, _SECONDS.value)
        print(
            f"{kind}: {share:.2f}% of a core, {memory:.0f} MB resident, to other instances "
            f"{sent:.2f} KB/s (highest {most_sent:.2f}), {len(urls)} processes"
        )


if __name__ == "__main__":
    app.run(main)
