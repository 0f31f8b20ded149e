"""Runs one workload against several deployments at the same time."""

import time
from concurrent.futures import ThreadPoolExecutor

from ...errors import HttpError, LoadError
from ..httpclient import HttpClient
from ..schema.load_pb2 import LoadClass, LoadDeployment, LoadSettings
from .client import LoadClient, RequestResult
from .plan import plan_requests
from .report import Summary, format_table, summarize, write_plot, write_report

# Lets every client start before the first arrival.
START_DELAY_S = 0.5
CPU_METRIC = "process_cpu_seconds_total "


def run_load(settings: LoadSettings) -> str:
    """Runs the workload and returns a table of the results; raises LoadError."""
    _check_settings(settings)
    requests = plan_requests(settings.workload, settings.seed)
    before = {d.name: read_processor_s(d) for d in settings.deployments}
    start = time.monotonic() + START_DELAY_S
    with ThreadPoolExecutor(len(settings.deployments)) as pool:
        futures = {
            d.name: pool.submit(
                LoadClient(d, settings.workload.timeout_s).run, list(requests), start
            )
            for d in settings.deployments
        }
        results = {name: future.result() for name, future in futures.items()}
    used = {d.name: read_processor_s(d) - before[d.name] for d in settings.deployments}
    return _report_results(settings, results, {name: s for name, s in used.items() if s > 0})


def read_processor_s(deployment: LoadDeployment) -> float:
    """Returns the processor time in seconds that a deployment's processes have used so far."""
    client = HttpClient()
    try:
        pages = [client.send("GET", url).body.decode() for url in deployment.metrics_urls]
    except HttpError as error:
        raise LoadError(f"{deployment.name}: metrics cannot be read: {error}") from error
    finally:
        client.close()
    lines = [line for page in pages for line in page.splitlines()]
    return sum(float(line.split()[1]) for line in lines if line.startswith(CPU_METRIC))


def _check_settings(settings: LoadSettings) -> None:
    if not settings.deployments or any(not d.urls for d in settings.deployments):
        raise LoadError("deployments: name at least one deployment with urls")
    for load_class in settings.workload.classes:
        if not load_class.weights or load_class.requests_per_second <= 0 or load_class.prompts < 1:
            raise LoadError(
                f"class {load_class.name!r}: needs weights, prompts and requests_per_second"
            )
        for deployment in settings.deployments:
            _check_tokens(deployment, load_class)
    if not settings.workload.classes or settings.workload.duration_s <= 0:
        raise LoadError("workload: needs classes and duration_s")


def _check_tokens(deployment: LoadDeployment, load_class: LoadClass) -> None:
    tokens = {entry.class_name: entry.tokens for entry in deployment.tokens}
    if len(tokens.get(load_class.name, ())) != len(load_class.weights):
        raise LoadError(
            f"{deployment.name}: class {load_class.name!r} needs one token for each of its "
            f"{len(load_class.weights)} weights"
        )


def _report_results(
    settings: LoadSettings, results: dict[str, list[RequestResult]], processor_s: dict[str, float]
) -> str:
    workload = settings.workload
    seconds = workload.duration_s - workload.warmup_s
    summaries: list[Summary] = [
        summarize(d.name, c.name, results[d.name], seconds)
        for c in workload.classes
        for d in settings.deployments
    ]
    if settings.report_file:
        write_report(settings.report_file, summaries, processor_s)
    if settings.plot_file:
        write_plot(settings.plot_file, results)
    return format_table(summaries, processor_s)
