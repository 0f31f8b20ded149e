"""Entry point of ``mulberryrill-standin-platform``."""

from ..internal.program import run_program
from ..internal.schema.settings_pb2 import PlatformSettings
from ..internal.standins.platform import PlatformStandin


def run() -> None:
    """Runs the stand-in until SIGTERM."""
    run_program("mulberryrill-standin-platform", PlatformSettings, PlatformStandin)


if __name__ == "__main__":
    run()
