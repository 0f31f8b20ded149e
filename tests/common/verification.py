"""Runs the history checks over a deployment's histories."""

import unittest

from mulberryrill.internal.history.checks import run_checks
from mulberryrill.internal.history.reading import read_history

from .deployment import Deployment


def check_histories(test: unittest.TestCase, deployment: Deployment, **minimum: int) -> None:
    """Fails the test on any violation, or if a check examined fewer events than ``minimum`` says.

    Keywords of ``minimum`` are check names with underscores instead of dashes.
    """
    results = run_checks(read_history(deployment.list_history_files()))
    violations = [violation for result in results for violation in result.violations]
    test.assertEqual(violations, [])
    examined = {result.check.replace("-", "_"): result.examined for result in results}
    for name, count in minimum.items():
        test.assertGreaterEqual(examined[name], count, f"events that {name} examined")
