"""Entry point of ``mulberryrill-standin-engine``."""

from ..internal.program import run_program
from ..internal.schema.settings_pb2 import EngineSettings
from ..internal.standins.engine import EngineStandin


def run() -> None:
    """Runs the stand-in until SIGTERM."""
    run_program("mulberryrill-standin-engine", EngineSettings, EngineStandin)


if __name__ == "__main__":
    run()
