"""HTTP server shared by the stand-ins."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any

import msgspec
from werkzeug.exceptions import HTTPException
from werkzeug.routing import Rule
from werkzeug.wrappers import Request, Response

from ..webserver import WebServer, make_routes

Handler = Callable[..., Response]


def json_response(value: object, status: int = 200) -> Response:
    """Return a response with a value encoded as JSON."""
    return Response(
        msgspec.json.encode(value), status=status, mimetype="application/json"
    )


class StandInServer:
    """Serve the routes of one stand-in on loopback; port 0 takes a free port."""

    def __init__(
        self, *, routes: list[tuple[str, str, Handler]], port: int = 0
    ) -> None:
        rules = [
            Rule(path, methods=[method], endpoint=handler)
            for method, path, handler in routes
        ]
        self._url_map = make_routes(rules)
        self._server = WebServer(app=self._app, address="127.0.0.1", port=port)

    @property
    def url(self) -> str:
        """Return the base URL."""
        return f"http://127.0.0.1:{self._server.port}"

    def start(self) -> None:
        """Start the server."""
        self._server.start()

    def stop(self) -> None:
        """Stop the server."""
        self._server.stop()

    def _app(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        request = Request(environ)
        try:
            handler, values = self._url_map.bind_to_environ(environ).match()
            response = handler(request, **values)
        except HTTPException as error:
            return error.get_response(environ)(environ, start_response)
        return response(environ, start_response)
