"""Entry point of ``mulberryrill-entry``."""

import sys

from ..internal.entry.program import EntryProgram
from ..internal.program import run_program
from ..internal.schema.settings_pb2 import EntrySettings
from ..platform.calls import PlatformDialect
from ..platform.tasks import PlatformTasks


def build(settings: EntrySettings) -> EntryProgram:
    """Returns the program for the platform's call format and background tasks."""
    return EntryProgram(settings, PlatformDialect(), PlatformTasks)


def run() -> None:
    """Runs the entry program until SIGTERM."""
    run_program("mulberryrill-entry", EntrySettings, build, log_stream=sys.stdout)


if __name__ == "__main__":
    run()
