"""Writes settings, keys and tokens of a local deployment: ``--site FILE --output DIR``.

Then prints one line per process, in start order: name, module, settings file and the URL that
returns 200 once the process is ready (for stand-ins their base URL).
"""

import sys
from pathlib import Path

from absl import app, flags

from ..errors import SettingsError
from ..internal.standins.site import SiteWriter, load_site

EXIT_SETTINGS_INVALID = 2

_SITE = flags.DEFINE_string("site", None, "site description (YAML)", required=True)
_OUTPUT = flags.DEFINE_string("output", None, "directory to write", required=True)
_HISTORY = flags.DEFINE_bool("history", True, "whether processes write histories")


def main(argv: list[str]) -> int:
    """Writes the files and returns the exit code."""
    try:
        site = load_site(_SITE.value)
        folder = Path(_SITE.value).parent
        writer = SiteWriter(site, folder, Path(_OUTPUT.value), history=_HISTORY.value)
        plan = writer.write()
        writer.close()
    except (SettingsError, OSError) as error:
        print(f"standin_site: {error}", file=sys.stderr)
        return EXIT_SETTINGS_INVALID
    for process in plan.processes:
        ready_url = process.ready_url or process.url
        print(process.name, process.module, process.settings, ready_url, sep="\t")
    return 0


def run() -> None:
    """Runs the command."""
    app.run(main)


if __name__ == "__main__":
    run()
