"""Waits until all processes of a local deployment are ready: ``--plan FILE``.

A stand-in is ready once it returns any response, a gateway or control process once ``/readyz``
returns 200.
"""

import sys
import time
from pathlib import Path

from absl import app, flags

from ..errors import HttpError
from ..internal.httpclient import HttpClient
from ..internal.standins.site import ProcessPlan, read_plan

POLL_INTERVAL_S = 0.2
REQUEST_TIMEOUT_S = 2.0
EXIT_NOT_READY = 1

_PLAN = flags.DEFINE_string("plan", None, "plan.json of the deployment", required=True)
_TIMEOUT_S = flags.DEFINE_float("timeout_s", 60.0, "seconds to wait")


def is_ready(client: HttpClient, process: ProcessPlan) -> bool:
    """Returns whether the process is ready."""
    try:
        url = process.ready_url or f"{process.url}/v1/state"
        response = client.send("GET", url, timeout_s=REQUEST_TIMEOUT_S)
    except HttpError:
        return False
    return response.status == 200 or not process.ready_url


def main(argv: list[str]) -> int:
    """Waits and returns the exit code."""
    plan = read_plan(Path(_PLAN.value))
    deadline = time.monotonic() + _TIMEOUT_S.value
    client = HttpClient()
    pending = list(plan.processes)
    while pending and time.monotonic() < deadline:
        pending = [process for process in pending if not is_ready(client, process)]
        if pending:
            time.sleep(POLL_INTERVAL_S)
    client.close()
    for process in pending:
        print(f"{plan.name}: {process.name} is not ready; see its log", file=sys.stderr)
    return EXIT_NOT_READY if pending else 0


def run() -> None:
    """Runs the command."""
    app.run(main)


if __name__ == "__main__":
    run()
