"""A nose2 plugin that records the outcome of each test for the runner."""

from nose2 import events

# Maps each test id to whether the test and all of its subtests passed.
OUTCOMES: dict[str, bool] = {}


class OutcomeRecorder(events.Plugin):
    """Records every test outcome."""

    alwaysOn = True  # noqa: N815
    configSection = "outcomes"  # noqa: N815

    def testOutcome(self, event) -> None:  # type: ignore[no-untyped-def]  # noqa: N802
        """Records a test as failed if the test or any of its subtests failed."""
        test = getattr(event.test, "test_case", event.test)
        passed = event.outcome in ("passed", "subtest") and not event.exc_info
        OUTCOMES[test.id()] = OUTCOMES.get(test.id(), True) and passed
