"""WSGI server whose thread pool grows with the number of open connections."""

from __future__ import annotations

import contextlib
import socket
import threading
import time
from collections.abc import Callable, Iterable
from typing import Any

import logbook
from cheroot import wsgi
from cheroot.workers.threadpool import ThreadPool
from werkzeug.routing import Map, Rule

from .request_gate import SMALL_BODY_BYTES, RequestGate

log = logbook.Logger("http")

MIN_IDLE_THREADS = 16
MAX_HEADER_BYTES = 32 * 1024
SOCKET_TIMEOUT = 30  # seconds
GROW_CHECK_INTERVAL = 0.02  # seconds
# Connections that wait for a request, for each thread.
WAITING_PER_THREAD = 4
# Fraction of the threads that may receive long bodies at once, and bytes of these.
LONG_BODIES_FRACTION = 0.25
LONG_BODIES_BYTES = 64 * 1024 * 1024
# Bytes that the kernel receives for a connection before they are read.
RECEIVE_BUFFER_BYTES = 32 * 1024
# Bytes of a body that are read at once, and seconds for a whole body.
PIECE_BYTES = 16 * 1024
BODY_TIMEOUT = 30.0
# Bytes of a chunked body that are read at once. Each chunk costs the same, whatever its
# size, and the threads that read chunks together rest for this many times the processor
# time that they take.
CHUNKED_PIECE_BYTES = 1024
CHUNKED_REST_FACTOR = 4.0
# Seconds in which the rest of a body is discarded, so that its sender gets the answer.
DISCARD_TIMEOUT = 1.0
# Name in the WSGI environment of the limits on bodies.
BODIES_KEY = "sequoiaarch.bodies"
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


class BodyError(Exception):
    """Raised for a body that can't be read; `busy` tells whether it may be later."""

    def __init__(self, reason: str, *, busy: bool) -> None:
        super().__init__(reason)
        self.busy = busy


class LongBodies:
    """Bound the long bodies that are received at once, and what they cost."""

    def __init__(self, *, places: int, max_bytes: int = LONG_BODIES_BYTES) -> None:
        self._max_places = places
        self._max_bytes = max_bytes
        # Requests refused as there was no place.
        self.refused = 0
        self._lock = threading.Lock()
        self._places = 0
        self._bytes = 0
        self._chunked = 0

    def read(self, stream: Any, *, length: int | None, limit: int) -> bytes:
        """Return a body, at most one byte more than `limit`; raises BodyError.

        Its length is None if it comes in chunks.
        """
        if length is not None and length <= SMALL_BODY_BYTES:
            return bytes(stream.read(length))
        size = limit + 1 if length is None else length
        if not self._take(size):
            raise BodyError("too many long bodies are being received", busy=True)
        try:
            if length is None:
                return self._read_chunks(stream, limit)
            return self._read_known(stream, length)
        finally:
            self._release(size)

    def discard(self, stream: Any, connection: socket.socket) -> None:
        """Discard the rest of a body, if there is a place and it arrives soon."""
        if not self._take(PIECE_BYTES):
            return
        timeout = connection.gettimeout()
        ends_at = time.monotonic() + DISCARD_TIMEOUT
        try:
            connection.settimeout(DISCARD_TIMEOUT)
            while time.monotonic() < ends_at and stream.read(PIECE_BYTES):
                pass
        except (OSError, ValueError):
            return
        finally:
            connection.settimeout(timeout)
            self._release(PIECE_BYTES)

    def _read_known(self, stream: Any, length: int) -> bytes:
        body = memoryview(bytearray(length))
        position = 0
        ends_at = time.monotonic() + BODY_TIMEOUT
        while position < length:
            _check_time(ends_at)
            piece = stream.read(min(PIECE_BYTES, length - position))
            if not piece:
                break
            body[position : position + len(piece)] = piece
            position += len(piece)
        return bytes(body[:position])

    def _read_chunks(self, stream: Any, limit: int) -> bytes:
        body = bytearray()
        ends_at = time.monotonic() + BODY_TIMEOUT
        with self._lock:
            self._chunked += 1
        try:
            while len(body) <= limit:
                _check_time(ends_at)
                began = time.thread_time()
                piece = stream.read(min(CHUNKED_PIECE_BYTES, limit + 1 - len(body)))
                if not piece:
                    break
                body += piece
                used = time.thread_time() - began
                time.sleep(used * CHUNKED_REST_FACTOR * self._chunked)
        finally:
            with self._lock:
                self._chunked -= 1
        return bytes(body)

    def _take(self, size: int) -> bool:
        with self._lock:
            # One body of any length is always received.
            full = self._bytes and self._bytes + size > self._max_bytes
            if full or self._places >= self._max_places:
                self.refused += 1
                return False
            self._places += 1
            self._bytes += size
            return True

    def _release(self, size: int) -> None:
        with self._lock:
            self._places -= 1
            self._bytes -= size


def _check_time(ends_at: float) -> None:
    if time.monotonic() > ends_at:
        raise BodyError(f"the body did not arrive in {BODY_TIMEOUT} s", busy=False)


class _Server(wsgi.Server):
    """HTTP server whose connections get a thread once a request has arrived."""

    bodies: LongBodies
    gate: RequestGate

    def process_conn(self, conn: Any) -> None:
        """Handle a request of a new connection, or the next one of a kept one."""
        if conn.rfile.has_data():
            super().process_conn(conn)
        else:
            self.gate.add(conn)

    def handle(self, conn: Any) -> None:
        """Pass a connection with a request on to a thread."""
        super().process_conn(conn)


class _Gateway(wsgi.Gateway_10):
    """Run the application for one request, and discard what it left of the body."""

    def get_environ(self) -> Any:
        """Return the environment of the request."""
        environ: Any = super().get_environ()
        environ[BODIES_KEY] = self.req.server.bodies
        return environ

    def start_response(
        self, status: str, headers: list[tuple[str, str]], exc_info: Any = None
    ) -> Any:
        """Begin the response; close the connection after it if a body was refused."""
        request = self.req
        unread = getattr(request.rfile, "remaining", 0)
        chunked = getattr(request, "chunked_read", False)
        if status >= "4" and (unread > SMALL_BODY_BYTES or chunked):
            # The server would read the rest into memory to keep the connection.
            request.close_connection = True
            if not chunked:
                request.server.bodies.discard(request.rfile, request.conn.socket)
        return super().start_response(status, headers, exc_info)


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
        self._server = _Server(
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
        self._server.gateway = _Gateway
        places = max(1, int(max_threads * LONG_BODIES_FRACTION))
        self._server.bodies = LongBodies(places=places)
        self._server.gate = RequestGate(
            limit=max_threads * WAITING_PER_THREAD,
            max_head=MAX_HEADER_BYTES,
            pass_on=self._server.handle,
        )
        self._server.error_log = _log_server_error  # type: ignore[assignment,method-assign]
        self._server.prepare()
        self._server.socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
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
        self._server.gate.start()
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
        self._server.gate.stop()
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
