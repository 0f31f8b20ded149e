"""The frame of every program: flags, settings, logs, signals, start and close."""

import logging
import os
import signal
import sys
import threading
from collections.abc import Callable
from typing import Protocol, TypeVar

from absl import app, flags
from google.protobuf.message import Message

from ..errors import MulberryrillError, SettingsError
from .events import Event
from .logs import configure_logging, log_event
from .settings.checks import check_settings
from .settings.files import load_settings

EXIT_SETTINGS_INVALID = 2
EXIT_START_FAILED = 1

SETTINGS_VARIABLE = "MULBERRYRILL_SETTINGS"

_SETTINGS = flags.DEFINE_string(
    "settings",
    os.environ.get(SETTINGS_VARIABLE),
    f"YAML settings file of this process; default: the value of {SETTINGS_VARIABLE}",
)
_LOGGER = logging.getLogger(__name__)

SettingsT = TypeVar("SettingsT", bound=Message)


class Program(Protocol):
    """A process's work: started once, closed once."""

    def start(self) -> None:
        """Opens sockets and starts tasks; returns when the process can work."""
        ...

    def close(self) -> None:
        """Finishes running work, then releases everything."""
        ...


def run_program(
    name: str,
    settings_type: type[SettingsT],
    build: Callable[[SettingsT], Program],
    list_secrets: Callable[[SettingsT], tuple[str, ...]] = lambda settings: (),
) -> None:
    """Runs a program until SIGTERM or SIGINT; exits the process."""

    def main(argv: list[str]) -> int:
        if len(argv) > 1:
            print(f"{name}: unexpected argument {argv[1]!r}; use --settings FILE", file=sys.stderr)
            return EXIT_SETTINGS_INVALID
        if not _SETTINGS.value:
            print(f"{name}: --settings FILE is required", file=sys.stderr)
            return EXIT_SETTINGS_INVALID
        try:
            settings = load_settings(_SETTINGS.value, settings_type)
            check_settings(settings, _SETTINGS.value)
            level = getattr(settings, "log_level", "") or "info"
            configure_logging(level, name, list_secrets(settings))
            program = build(settings)
        except SettingsError as error:
            print(f"{name}: {error}", file=sys.stderr)
            return EXIT_SETTINGS_INVALID
        return _serve(name, program)

    app.run(main)


def _serve(name: str, program: Program) -> int:
    stop = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stop.set())
    try:
        program.start()
    except (MulberryrillError, OSError) as error:
        log_event(_LOGGER, logging.ERROR, Event.TASK_FAILED, f"{name} cannot start: {error}")
        return EXIT_START_FAILED
    log_event(_LOGGER, logging.INFO, Event.PROCESS_STARTED, f"{name} started")
    stop.wait()
    log_event(_LOGGER, logging.INFO, Event.PROCESS_STOPPING, f"{name} is stopping")
    program.close()
    log_event(_LOGGER, logging.INFO, Event.PROCESS_STOPPED, f"{name} stopped")
    return 0
