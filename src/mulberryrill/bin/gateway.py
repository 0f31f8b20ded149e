"""Entry point of ``mulberryrill-gateway``."""

from ..internal.gateway.program import GatewayProgram
from ..internal.program import run_program
from ..internal.schema.settings_pb2 import GatewaySettings


def list_secrets(settings: GatewaySettings) -> tuple[str, ...]:
    """Returns the secrets that must be masked in logs."""
    return (settings.keys.secret_key, settings.cache_key_secret)


def run() -> None:
    """Runs the gateway until SIGTERM."""
    run_program("mulberryrill-gateway", GatewaySettings, GatewayProgram, list_secrets)


if __name__ == "__main__":
    run()
