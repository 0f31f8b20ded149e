"""Entry point of ``mulberryrill-load``."""

import sys

from absl import app, flags

from ..errors import LoadError, SettingsError
from ..internal.load.run import run_load
from ..internal.logs import configure_logging
from ..internal.schema.load_pb2 import LoadSettings
from ..internal.settings.files import load_settings

EXIT_SETTINGS_INVALID = 2
EXIT_FAILED = 1

_SETTINGS = flags.DEFINE_string("load_settings", None, "YAML file that describes the load run")


def run() -> None:
    """Runs the program."""
    app.run(_main)


def _main(argv: list[str]) -> int:
    if len(argv) > 1 or not _SETTINGS.value:
        print("mulberryrill-load: use --load_settings FILE", file=sys.stderr)
        return EXIT_SETTINGS_INVALID
    try:
        settings = load_settings(_SETTINGS.value, LoadSettings)
        configure_logging(settings.log_level, "mulberryrill-load")
        print(run_load(settings))
    except SettingsError as error:
        print(f"mulberryrill-load: {error}", file=sys.stderr)
        return EXIT_SETTINGS_INVALID
    except LoadError as error:
        print(f"mulberryrill-load: {error}", file=sys.stderr)
        return EXIT_FAILED
    return 0


if __name__ == "__main__":
    run()
