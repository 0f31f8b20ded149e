"""Entry point of ``mulberryrill-standin-service``."""

from ..internal.program import run_program
from ..internal.schema.settings_pb2 import PlainServiceSettings
from ..internal.standins.service import ServiceStandin


def run() -> None:
    """Runs the stand-in until SIGTERM."""
    run_program("mulberryrill-standin-service", PlainServiceSettings, ServiceStandin)


if __name__ == "__main__":
    run()
