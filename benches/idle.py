"""Measures the resource use of a running deployment's control and gateway processes while idle.

Run: PYTHONPATH=src python -m benches.idle PLAN_FILE [--seconds N], with a deployment started by
deploy/local.sh. Prints CPU use, resident memory and bytes sent to other instances for each kind of
process.
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
    """Returns the metrics page of each admin URL."""
    client = HttpClient()
    try:
        return [client.send("GET", f"{url}/metrics").body.decode() for url in urls]
    finally:
        client.close()


def measure(urls: list[str], seconds: float) -> tuple[float, float, float, float]:
    """Returns medians over the processes, and the highest KB/s sent.

    The medians are CPU use (percent of a core), resident MB and KB/s sent to other instances.
    """
    before = read_pages(urls)
    start = time.monotonic()
    time.sleep(seconds)
    after = read_pages(urls)
    elapsed = time.monotonic() - start
    cpu_percents = [
        (read_metric(new, CPU_METRIC) - read_metric(old, CPU_METRIC)) / elapsed * 100
        for old, new in zip(before, after, strict=True)
    ]
    memory = [read_metric(page, MEMORY_METRIC) / 1e6 for page in after]
    sent = [
        (read_metric(new, SENT_METRIC) - read_metric(old, SENT_METRIC)) / elapsed / 1000
        for old, new in zip(before, after, strict=True)
    ]
    return (
        statistics.median(cpu_percents),
        statistics.median(memory),
        statistics.median(sent),
        max(sent),
    )


def main(argv: list[str]) -> None:
    """Prints one row for each kind of process."""
    plan = json.loads(Path(argv[1]).read_text(encoding="utf-8"))
    for kind, url_field in (("control", "control_admin_url"), ("gateway", "gateway_admin_url")):
        urls = [instance[url_field] for instance in plan["instances"]]
        cpu_percent, memory, sent, max_sent = measure(urls, _SECONDS.value)
        print(
            f"{kind}: {cpu_percent:.2f}% of a core, {memory:.0f} MB resident, to other instances "
            f"{sent:.2f} KB/s (highest {max_sent:.2f}), {len(urls)} processes"
        )


if __name__ == "__main__":
    app.run(main)
