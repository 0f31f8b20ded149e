"""Runs all tests with nose2 and ends with one line: "N passed, N failed".

Tests listed in KNOWN-RED.txt may fail: each such failure is printed and counted as failed, but the
exit code does not depend on it. Any other failure, or a run without tests, exits with 1.
"""

import sys
from pathlib import Path

import nose2

from tests.common.outcomes import OUTCOMES

KNOWN_RED_FILE = Path(__file__).resolve().parent.parent / "KNOWN-RED.txt"


def read_known_red(path: Path) -> set[str]:
    """Returns the test ids of lines that start with ``test:``."""
    if not path.exists():
        return set()
    lines = path.read_text(encoding="utf-8").splitlines()
    return {line.removeprefix("test:").strip() for line in lines if line.startswith("test:")}


def main() -> int:
    """Runs the tests and returns the exit code."""
    nose2.discover(module=None, exit=False, argv=["nose2", "-v", *sys.argv[1:]])
    failures = [test_id for test_id, passed in OUTCOMES.items() if not passed]
    known = read_known_red(KNOWN_RED_FILE)
    for test_id in failures:
        print(f"{'known red' if test_id in known else 'FAILED'}: {test_id}")
    print(f"{len(OUTCOMES) - len(failures)} passed, {len(failures)} failed")
    return 1 if set(failures) - known or not OUTCOMES else 0


if __name__ == "__main__":
    sys.exit(main())
