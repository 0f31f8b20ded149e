"""Entry point of ``mulberryrill-history FILE...``: checks the histories of one run.

Exit codes: 0 no violation, 1 violations, 2 wrong usage or unreadable file. The number of examined
events is printed with each check, since a check that examined none proves nothing.
"""

import json
import sys
from pathlib import Path

from absl import app, flags

from ..errors import HistoryError
from ..internal.history.checks import run_checks
from ..internal.history.reading import read_history

EXIT_VIOLATION = 1
EXIT_USAGE = 2

_JSON = flags.DEFINE_bool("json", False, "print one JSON object per check")


def main(argv: list[str]) -> int:
    """Checks the files and returns the exit code."""
    if len(argv) < 2:
        print("mulberryrill-history: give the history files of all processes", file=sys.stderr)
        return EXIT_USAGE
    try:
        history = read_history(Path(name) for name in argv[1:])
    except HistoryError as error:
        print(f"mulberryrill-history: {error}", file=sys.stderr)
        return EXIT_USAGE
    results = run_checks(history)
    for result in results:
        messages = [violation.message for violation in result.violations]
        if _JSON.value:
            print(json.dumps({**vars(result), "violations": messages}))
            continue
        count = f"{len(messages)} violations" if messages else "ok"
        print(f"{result.check} ({result.invariants}): {count}, {result.examined} examined")
        for message in messages:
            print(f"  {message}")
    return EXIT_VIOLATION if any(result.violations for result in results) else 0


def run() -> None:
    """Runs the command."""
    app.run(main)


if __name__ == "__main__":
    run()
