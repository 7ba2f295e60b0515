"""WSGI server whose thread pool grows with the number of open connections."""

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

MIN_IDLE_THREADS = 16
MAX_HEADER_BYTES = 32 * 1024
SOCKET_TIMEOUT = 30  # seconds
GROW_CHECK_INTERVAL = 0.02  # seconds
# Prefix of cheroot's messages about lost connections.
CLIENT_DISCONNECTED = "socket.error"

WsgiApp = Callable[[dict[str, Any], Callable[..., Any]], Iterable[bytes]]


_COMPILE_LOCK = threading.Lock()


def make_routes(rules: Iterable[Rule]) -> Map:
    """Return the URL map of the rules.

    A lock guards the compilation of rules: it uses the `ast` module, which on
    Python 3.11 is not thread-safe and may raise SystemError.
    """
    with _COMPILE_LOCK:
        return Map(rules)


class WebServer:
    """Serve a WSGI application with one thread for each open connection.

    Threads are added while fewer than `MIN_IDLE_THREADS` are idle, so that slow
    clients block others only once `max_threads` are in use.
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
        self._min_idle = MIN_IDLE_THREADS
        self._server = wsgi.Server(
            (address, port),
            app,
            numthreads=MIN_IDLE_THREADS,
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
        self._grow_thread = threading.Thread(target=self._grow, daemon=True)
        self._threads = [
            threading.Thread(target=self._server.serve, daemon=True),
            self._grow_thread,
        ]

    @property
    def port(self) -> int:
        """Return the port that the server listens on."""
        return self._server.bind_addr[1]

    def start(self) -> None:
        """Start to accept connections, in background threads."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Stop accepting connections and close the open ones.

        The pool must not grow meanwhile: a new thread would consume the shutdown
        request of another one, and the stop would never complete.
        """
        self._stopped.set()
        if self._grow_thread.is_alive():
            self._grow_thread.join()
        self._server.stop()

    def abort(self) -> None:
        """Shut down the sockets of all open connections at once."""
        pool: ThreadPool = self._server.requests
        for worker in list(pool._threads):  # type: ignore[attr-defined]
            connection = worker.conn
            if connection is not None:
                with contextlib.suppress(OSError):
                    connection.socket.shutdown(socket.SHUT_RDWR)

    def _grow(self) -> None:
        pool: ThreadPool = self._server.requests
        total = MIN_IDLE_THREADS
        while not self._stopped.wait(GROW_CHECK_INTERVAL):
            if pool.idle < self._min_idle and total < self._max_threads:
                added = min(MIN_IDLE_THREADS, self._max_threads - total)
                pool.grow(added)
                total += added


def _log_server_error(
    message: str = "", level: int = 20, traceback: bool = False
) -> None:
    # A client that disconnects during a request is not a server error.
    if traceback and not message.startswith(CLIENT_DISCONNECTED):
        log.exception("{}", message)
    else:
        log.debug("{}", message)
