"""Serve WSGI applications over HTTP with threads to spare."""

from __future__ import annotations

import contextlib
import socket
import threading
from collections.abc import Callable, Iterable
from typing import Any

import logbook
from cheroot import wsgi
from cheroot.workers.threadpool import ThreadPool
from werkzeug.routing import Map, Rule

log = logbook.Logger("http")

SPARE_THREADS = 16
MAX_HEADER_BYTES = 32 * 1024
SOCKET_TIMEOUT = 30
WATCH_INTERVAL = 0.02
CLIENT_GONE = "socket.error"

WsgiApp = Callable[[dict[str, Any], Callable[..., Any]], Iterable[bytes]]


_COMPILING = threading.Lock()


def make_routes(rules: Iterable[Rule]) -> Map:
    """Return the map of routes.

    Rules are compiled through the `ast` module, which on Python 3.11 fails
    with a SystemError when two threads use it at once. One at a time is
    enough, since routes are made only at the start.
    """
    with _COMPILING:
        return Map(rules)


class WebServer:
    """Serve one WSGI application, a thread for each open connection.

    A slow reader or a half-sent request holds a thread. Threads are added
    while fewer than `SPARE_THREADS` are idle, so that such a client holds
    nobody else up until `max_threads` of them stand at once.
    """

    def __init__(
        self,
        *,
        app: WsgiApp,
        address: str,
        port: int,
        max_threads: int = 512,
        max_body: int = 8 * 1024 * 1024,
    ) -> None:
        self._max_threads = max_threads
        self._spare = SPARE_THREADS
        self._server = wsgi.Server(
            (address, port),
            app,
            numthreads=SPARE_THREADS,
            max=max_threads,
            request_queue_size=512,
            timeout=SOCKET_TIMEOUT,
            shutdown_timeout=1,
        )
        self._server.max_request_header_size = MAX_HEADER_BYTES
        self._server.max_request_body_size = max_body
        self._server.error_log = _log_server_error  # type: ignore[assignment,method-assign]
        self._server.prepare()
        self._stopped = threading.Event()
        self._grower = threading.Thread(target=self._grow, daemon=True)
        self._threads = [
            threading.Thread(target=self._server.serve, daemon=True),
            self._grower,
        ]

    @property
    def port(self) -> int:
        """Return the port that the server listens on."""
        return self._server.bind_addr[1]

    def start(self) -> None:
        """Start to accept connections."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Stop to accept connections and close those that are open.

        No thread may be added meanwhile: it would take the order to end that
        is meant for another, which then waits for ever, and the stop for it.
        """
        self._stopped.set()
        if self._grower.is_alive():
            self._grower.join()
        self._server.stop()

    def abort(self) -> None:
        """Break all open connections off, for a stop that can't wait."""
        pool: ThreadPool = self._server.requests
        for worker in list(pool._threads):  # type: ignore[attr-defined]
            connection = worker.conn
            if connection is not None:
                with contextlib.suppress(OSError):
                    connection.socket.shutdown(socket.SHUT_RDWR)

    def _grow(self) -> None:
        pool: ThreadPool = self._server.requests
        total = SPARE_THREADS
        while not self._stopped.wait(WATCH_INTERVAL):
            if pool.idle < self._spare and total < self._max_threads:
                more = min(SPARE_THREADS, self._max_threads - total)
                pool.grow(more)
                total += more


def _log_server_error(
    message: str = "", level: int = 20, traceback: bool = False
) -> None:
    # A client that goes away in the middle is no fault of the server.
    if traceback and not message.startswith(CLIENT_GONE):
        log.exception("{}", message)
    else:
        log.debug("{}", message)
