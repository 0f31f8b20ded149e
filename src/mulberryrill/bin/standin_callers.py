"""Sends one request of each kind to a local deployment and checks the answers: ``--plan FILE``.

Prints the results, then a line ``explain REQUEST`` with the identifier of an answered request. The
exit code is 1 if any answer was wrong.
"""

import sys
from pathlib import Path

from absl import app, flags

from ..internal.standins.callers import ExampleCallers
from ..internal.standins.site import read_plan

EXIT_WRONG = 1

_PLAN = flags.DEFINE_string("plan", None, "plan.json of the deployment", required=True)


def main(argv: list[str]) -> int:
    """Sends the requests and returns the exit code."""
    report = ExampleCallers(read_plan(Path(_PLAN.value))).run()
    for line in report.lines:
        print(line)
    for problem in report.problems:
        print(f"wrong: {problem}", file=sys.stderr)
    if report.request_ids:
        print(f"explain {report.request_ids[0]}")
    return EXIT_WRONG if report.problems or not report.request_ids else 0


def run() -> None:
    """Runs the command."""
    app.run(main)


if __name__ == "__main__":
    run()
