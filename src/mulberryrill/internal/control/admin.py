"""The HTTP interface of the admin port: liveness, readiness and metrics."""

from collections.abc import Callable

from prometheus_client import generate_latest
from prometheus_client.exposition import CONTENT_TYPE_LATEST
from werkzeug.wrappers import Request, Response

from ..http.server import create_problem
from .metrics import REGISTRY


class AdminApi:
    """Serves health checks without involving the main task, so they work while it is busy."""

    def __init__(self, is_healthy: Callable[[], bool], is_ready: Callable[[], bool]) -> None:
        self._is_healthy = is_healthy
        self._is_ready = is_ready

    def handle(self, request: Request) -> Response:
        """Returns the response to one request."""
        if request.path == "/healthz":
            return _build_check_response(self._is_healthy(), "The main task makes no progress.")
        if request.path == "/readyz":
            detail = "The configuration has not been read to its end yet, or this process stops."
            return _build_check_response(self._is_ready(), detail)
        if request.path == "/metrics":
            return Response(generate_latest(REGISTRY), content_type=CONTENT_TYPE_LATEST)
        return create_problem(404, "Not found", "Use /healthz, /readyz or /metrics.")


def _build_check_response(passed: bool, detail: str) -> Response:
    return Response("ok\n") if passed else create_problem(503, "Service unavailable", detail)
