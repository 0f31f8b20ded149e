"""Entry point of ``mulberryrill-control``."""

from ..internal.control.program import ControlProgram
from ..internal.program import run_program
from ..internal.schema.settings_pb2 import ControlSettings


def list_secrets(settings: ControlSettings) -> tuple[str, ...]:
    """Returns the secrets that must be masked in logs."""
    return (settings.keys.secret_key,)


def run() -> None:
    """Runs the control process until SIGTERM."""
    run_program("mulberryrill-control", ControlSettings, ControlProgram, list_secrets)


if __name__ == "__main__":
    run()
