"""The main function of every program: flags, settings, logs, signals, start and close."""

import contextlib
import logging
import os
import signal
import sys
import threading
from collections.abc import Callable
from typing import Any, Protocol, TextIO, TypeVar, runtime_checkable

from absl import app, flags
from google.protobuf.message import Message

from ..errors import MulberryrillError, SettingsError
from .events import Event
from .logs import configure_logging, log_event
from .settings.checks import check_settings
from .settings.files import load_settings

EXIT_SETTINGS_INVALID = 2
EXIT_START_FAILED = 1
# The settings file is also reloaded when it changes without a SIGHUP.
RELOAD_CHECK_INTERVAL_S = 1.0

SETTINGS_VARIABLE = "MULBERRYRILL_SETTINGS"

_SETTINGS = flags.DEFINE_string(
    "settings",
    os.environ.get(SETTINGS_VARIABLE),
    f"YAML settings file of this process; default: the value of {SETTINGS_VARIABLE}",
)
_LOGGER = logging.getLogger(__name__)

SettingsT = TypeVar("SettingsT", bound=Message)


@runtime_checkable
class ReloadableProgram(Protocol):
    """A program that can apply new settings while it runs."""

    def reload(self, settings: Any) -> None:
        """Applies new settings, which have been checked."""
        ...


class Program(Protocol):
    """The work of a process; started once and closed once."""

    def start(self) -> None:
        """Opens sockets and starts tasks; returns once the process can work."""
        ...

    def close(self) -> None:
        """Finishes running work, then releases everything."""
        ...


def run_program(
    name: str,
    settings_type: type[SettingsT],
    build: Callable[[SettingsT], Program],
    list_secrets: Callable[[SettingsT], tuple[str, ...]] = lambda settings: (),
    log_stream: TextIO | None = None,
) -> None:
    """Runs a program until SIGTERM or SIGINT; exits the process.

    Logs go to ``log_stream``, by default standard error.
    """

    def main(argv: list[str]) -> int:
        signals = _SignalHandlers()
        if len(argv) > 1:
            print(f"{name}: unexpected argument {argv[1]!r}; use --settings FILE", file=sys.stderr)
            return EXIT_SETTINGS_INVALID
        if not _SETTINGS.value:
            print(f"{name}: --settings FILE is required", file=sys.stderr)
            return EXIT_SETTINGS_INVALID
        path = _SETTINGS.value
        try:
            settings = _read_settings(path, settings_type)
            level = getattr(settings, "log_level", "") or "info"
            configure_logging(level, name, list_secrets(settings), log_stream)
            program = build(settings)
        except SettingsError as error:
            print(f"{name}: {error}", file=sys.stderr)
            return EXIT_SETTINGS_INVALID
        reloader = _Reloader(path, settings_type, program, settings)
        return _serve(name, program, reloader, signals)

    app.run(main)


def _read_settings(path: str, settings_type: type[SettingsT]) -> SettingsT:
    settings = load_settings(path, settings_type)
    check_settings(settings, path)
    return settings


class _SignalHandlers:
    """Handles signals before anything else, since an unhandled SIGHUP ends the process."""

    def __init__(self) -> None:
        self.stop = threading.Event()
        self.reload = threading.Event()
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, lambda *_: self.stop.set())
        signal.signal(signal.SIGHUP, lambda *_: self.reload.set())


class _Reloader:
    """Reloads the settings when their file has changed; invalid ones leave the old in use."""

    def __init__(
        self, path: str, settings_type: type[Message], program: Program, settings: Message
    ) -> None:
        self._path = path
        self._settings_type = settings_type
        self._program = program
        self._settings = settings
        self._modified_ns = self._read_modified_ns()

    def reload_if_changed(self, is_requested: bool) -> None:
        """Reloads if a signal requested it or the file has changed."""
        modified_ns = self._read_modified_ns()
        if modified_ns == self._modified_ns and not is_requested:
            return
        self._modified_ns = modified_ns
        if not isinstance(self._program, ReloadableProgram):
            return
        try:
            settings = _read_settings(self._path, self._settings_type)
        except SettingsError as error:
            log_event(
                _LOGGER, logging.ERROR, Event.SETTINGS_RELOADED, f"new settings rejected: {error}"
            )
            return
        is_changed = settings != self._settings
        self._settings = settings
        if is_changed:
            self._program.reload(settings)
        message = "settings changed" if is_changed else "settings are unchanged"
        log_event(_LOGGER, logging.INFO, Event.SETTINGS_RELOADED, message)

    def _read_modified_ns(self) -> int:
        try:
            return os.stat(self._path).st_mtime_ns
        except OSError:
            return 0


def _serve(name: str, program: Program, reloader: _Reloader, signals: _SignalHandlers) -> int:
    try:
        program.start()
    except (MulberryrillError, OSError) as error:
        log_event(_LOGGER, logging.ERROR, Event.TASK_FAILED, f"{name} cannot start: {error}")
        return EXIT_START_FAILED
    log_event(_LOGGER, logging.INFO, Event.PROCESS_STARTED, f"{name} started")
    while not signals.stop.wait(RELOAD_CHECK_INTERVAL_S):
        is_requested = signals.reload.is_set()
        signals.reload.clear()
        try:
            reloader.reload_if_changed(is_requested)
        except Exception as error:  # The process serves on with the settings that it has.
            log_event(
                _LOGGER, logging.ERROR, Event.TASK_FAILED, f"settings not reloaded: {error!r}"
            )
    log_event(_LOGGER, logging.INFO, Event.PROCESS_STOPPING, f"{name} is stopping")
    program.close()
    log_event(_LOGGER, logging.INFO, Event.PROCESS_STOPPED, f"{name} stopped")
    _exit_at_once()
    return 0


def _exit_at_once() -> None:
    """Ends the process without the interpreter's finalization.

    Everything is closed by now. Finalization waits for threads and destructors of libraries; once a
    process had not ended 9 s after it had stopped, and was killed.
    """
    logging.shutdown()
    for stream in (sys.stdout, sys.stderr):
        with contextlib.suppress(OSError, ValueError):
            stream.flush()
    os._exit(0)
