"""Entry point of ``mulberryrill-standin-store``."""

from ..internal.program import run_program
from ..internal.schema.settings_pb2 import StoreSettings
from ..internal.standins.store import StoreStandin


def run() -> None:
    """Runs the stand-in until SIGTERM."""
    run_program("mulberryrill-standin-store", StoreSettings, StoreStandin)


if __name__ == "__main__":
    run()
