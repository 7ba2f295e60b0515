"""Simulate a tool or plain HTTP service."""

from __future__ import annotations

import threading
import time
from collections import Counter

import msgspec
from werkzeug.wrappers import Request, Response

from .web import StandInServer, json_response


class ServiceStandIn:
    """Service that answers any call and counts executions per idempotency key.

    Calls block while `hang` is set; `delay` is in seconds.
    """

    def __init__(self, *, port: int = 0, delay: float = 0.0) -> None:
        self.delay = delay
        self.hang = threading.Event()
        self.executions: Counter[str] = Counter()
        self._lock = threading.Lock()
        self._server = StandInServer(
            routes=[
                ("GET", "/executions", self._list_executions),
                ("POST", "/", self._execute),
                ("POST", "/<path:path>", self._execute),
                ("GET", "/<path:path>", self._execute),
            ],
            port=port,
        )

    @property
    def url(self) -> str:
        """Return the base URL."""
        return self._server.url

    def start(self) -> None:
        """Start the server."""
        self._server.start()

    def stop(self) -> None:
        """Release blocked calls and stop the server."""
        self.hang.clear()
        self._server.stop()

    def _execute(self, request: Request, path: str = "") -> Response:
        body = request.get_data()
        key = request.headers.get("Idempotency-Key", "")
        with self._lock:
            self.executions[key] += 1
            number = self.executions[key]
        time.sleep(_delay(body, self.delay))
        while self.hang.is_set():
            time.sleep(0.01)
        answer = {"service": path, "key": key, "run": number, "bytes": len(body)}
        return json_response(answer)

    def _list_executions(self, request: Request) -> Response:
        return json_response(dict(self.executions))


class Delay(msgspec.Struct):
    """The part of a request body that sets the delay in seconds."""

    delay: float = 0.0


def _delay(body: bytes, default: float) -> float:
    try:
        return msgspec.json.decode(body, type=Delay).delay or default
    except msgspec.DecodeError:
        return default
