"""Helpers for the HTTP handlers of the stand-ins."""

import json
import socket
from collections.abc import Mapping
from typing import NoReturn

from werkzeug.exceptions import BadRequest
from werkzeug.wrappers import Request, Response

from ..http.server import DetachedConnectionError, HttpServer


def parse_json_object(request: Request) -> dict[str, object]:
    """Returns the body as a JSON object; raises BadRequest."""
    try:
        body = json.loads(request.get_data())
    except ValueError as error:
        raise BadRequest("The body must be JSON.") from error
    if not isinstance(body, dict):
        raise BadRequest("The body must be a JSON object.")
    return body


def create_json_response(
    body: object, status: int = 200, headers: Mapping[str, str] | None = None
) -> Response:
    """Returns a JSON response."""
    response = Response(json.dumps(body), status=status, content_type="application/json")
    for name, value in (headers or {}).items():
        response.headers[name] = value
    return response


def close_socket(connection: socket.socket) -> None:
    """Closes a connection at once, even if file objects still refer to it."""
    try:
        connection.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass
    connection.close()


def drop_connection(server: HttpServer, request: Request) -> NoReturn:
    """Closes the request's connection without a response."""
    connection = server.detach(request)
    close_socket(connection)
    raise DetachedConnectionError("closed by an injected fault")


def get_non_negative_int(body: Mapping[str, object], name: str) -> int:
    """Returns a field as a non-negative integer, 0 if it is absent; raises BadRequest."""
    value = body.get(name, 0)
    if isinstance(value, bool) or not isinstance(value, int) or value < 0:
        raise BadRequest(f"{name} must be a whole number of at least 0.")
    return value
