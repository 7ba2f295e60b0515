"""Hold connections back until a request has arrived, without a thread for each."""

from __future__ import annotations

import contextlib
import re
import selectors
import socket
import threading
import time
from collections.abc import Callable
from typing import Protocol

# Bytes of a body that are awaited with its head; the rest arrives while it is read.
SMALL_BODY_BYTES = 16 * 1024
# Seconds for a request to arrive so far.
ARRIVAL_TIMEOUT = 10.0
CHECK_INTERVAL = 0.5  # seconds
HEAD_END = b"\r\n\r\n"
LAST_CHUNK = b"0\r\n\r\n"
_LENGTH = re.compile(rb"\r\ncontent-length:[ \t]*(\d{1,18})[ \t]*\r\n", re.IGNORECASE)
_EXPECT = re.compile(rb"\r\nexpect:", re.IGNORECASE)
_CHUNKED = re.compile(rb"\r\ntransfer-encoding:[^\r]*chunked", re.IGNORECASE)


class Connection(Protocol):
    """Accepted connection."""

    socket: socket.socket

    def close(self) -> None:
        """Close the socket."""


class RequestGate:
    """Pass connections on once a request can be read without waiting.

    Above `limit` connections that wait, the oldest is closed.
    """

    def __init__(
        self,
        *,
        limit: int,
        max_head: int,
        pass_on: Callable[[Connection], None],
    ) -> None:
        self._limit = limit
        self._peek_bytes = max_head + SMALL_BODY_BYTES
        self._pass_on = pass_on
        self._selector = selectors.DefaultSelector()
        self._lock = threading.Lock()
        # Connections that wait, the oldest first, with the time at which they came.
        self._waiting: dict[Connection, float] = {}
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        # Connections that were closed before they sent a request.
        self.closed = 0

    def start(self) -> None:
        """Start to pass connections on, in a background thread."""
        self._thread.start()

    def stop(self) -> None:
        """Close the connections that wait."""
        self._stopped.set()
        if self._thread.is_alive():
            self._thread.join()
        for connection in list(self._waiting):
            self._take(connection)
            connection.close()
        self._selector.close()

    def add(self, connection: Connection) -> None:
        """Hold a connection back until a request has arrived."""
        timeout = connection.socket.gettimeout()
        # With a timeout even a look at what has arrived would wait.
        connection.socket.setblocking(False)
        arrived = self._has_arrived(connection)
        connection.socket.settimeout(timeout)
        if arrived:
            self._pass_on(connection)
            return
        with self._lock:
            excess = len(self._waiting) >= self._limit
            oldest = next(iter(self._waiting)) if excess else None
            self._waiting[connection] = time.monotonic()
            with contextlib.suppress(OSError, ValueError, KeyError):
                self._selector.register(
                    connection.socket, selectors.EVENT_READ, connection
                )
        if oldest is not None:
            self._close(oldest)

    def _run(self) -> None:
        while not self._stopped.is_set():
            for key, _ in self._selector.select(CHECK_INTERVAL):
                if self._has_arrived(key.data) and self._take(key.data):
                    self._pass_on(key.data)
            self._close_late()

    def _close_late(self) -> None:
        late = time.monotonic() - ARRIVAL_TIMEOUT
        with self._lock:
            connections = [
                connection for connection, came in self._waiting.items() if came < late
            ]
        for connection in connections:
            self._close(connection)

    def _take(self, connection: Connection) -> bool:
        """Stop to wait for a connection; return whether it was waiting."""
        with self._lock:
            if self._waiting.pop(connection, None) is None:
                return False
            with contextlib.suppress(OSError, ValueError, KeyError):
                self._selector.unregister(connection.socket)
            with contextlib.suppress(OSError):
                connection.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVLOWAT, 1)
        return True

    def _close(self, connection: Connection) -> None:
        if self._take(connection):
            self.closed += 1
            connection.close()

    def _has_arrived(self, connection: Connection) -> bool:
        """Return whether a request can be read, or the connection has ended."""
        try:
            data = connection.socket.recv(
                self._peek_bytes, socket.MSG_PEEK | socket.MSG_DONTWAIT
            )
        except BlockingIOError:
            return False
        except OSError:
            return True
        if not data or len(data) >= self._peek_bytes:
            return True
        missing = missing_bytes(data)
        if missing:
            # Otherwise what has arrived would be reported again and again.
            with contextlib.suppress(OSError):
                connection.socket.setsockopt(
                    socket.SOL_SOCKET, socket.SO_RCVLOWAT, len(data) + missing
                )
        return not missing


def missing_bytes(data: bytes) -> int:
    """Return how many bytes of a request are missing at least; 0 if it can be read."""
    end = data.find(HEAD_END)
    if end < 0:
        return 1
    head = data[: end + len(HEAD_END)]
    body = len(data) - len(head)
    if _EXPECT.search(head):
        return 0
    if _CHUNKED.search(head):
        ended = data.endswith(LAST_CHUNK) or body >= SMALL_BODY_BYTES
        return 0 if ended else 1
    length = _LENGTH.search(head)
    if length is None:
        return 0
    return max(0, min(int(length[1]), SMALL_BODY_BYTES) - body)
