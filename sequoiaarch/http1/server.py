"""Accept HTTP/1.1 connections and serve each in its own task."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

from .admission import OpenConnections, TurnQueue
from .delivery import UndeliveredResponse
from .memory import HeldMemory
from .server_connection import STOPPED, Handler, ServerConnection, ServerLimits

# Seconds between checks whether all responses are delivered.
DRAIN_INTERVAL = 0.05
# Connections that the kernel keeps until they are accepted, and how many of them are
# accepted in one turn of the event loop. All that wait would delay what is open, and
# exceed the number of descriptors before any is closed.
BACKLOG = 1024
ACCEPTED_AT_ONCE = 16
# Bytes that the kernel receives for a connection before they are read; it takes twice
# as much, and up to 32 MB by default.
RECEIVE_BUFFER_BYTES = 32 * 1024


class Server:
    """HTTP/1.1 server that passes each request to one handler."""

    def __init__(
        self,
        *,
        handle: Handler,
        limits: ServerLimits,
        memory: HeldMemory | None = None,
    ) -> None:
        self.handle = handle
        self.limits = limits
        self.connections: set[ServerConnection] = set()
        self.open = OpenConnections()
        self.turns = TurnQueue()
        self.open_requests = 0
        # Requests refused as too many others were open.
        self.requests_refused = 0
        # Requests refused as their heads have too many fields.
        self.heads_refused = 0
        self.stopping = False
        self.held_bytes = 0
        self.memory = memory or HeldMemory()
        self.on_undelivered: Callable[[UndeliveredResponse], None] = _ignore
        self._listener: asyncio.Server | None = None

    @property
    def port(self) -> int:
        """Return the port that the server listens on."""
        assert self._listener is not None
        return int(self._listener.sockets[0].getsockname()[1])

    async def start(self, host: str, port: int) -> None:
        """Start to listen on an address."""
        listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            # Accepted connections inherit it; set later, it would not bound the window.
            listener.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
            )
            listener.bind((host, port))
            self._listener = await asyncio.get_running_loop().create_server(
                lambda: ServerConnection(server=self),
                sock=listener,
                backlog=ACCEPTED_AT_ONCE,
            )
        except OSError:
            listener.close()
            raise
        listener.listen(BACKLOG)

    def stop_accepting(self) -> None:
        """Close the listening socket and all idle connections."""
        if self._listener is not None:
            self._listener.close()
        for connection in list(self.connections):
            connection.close_idle()

    def finish(self) -> None:
        """Close all connections, and reset those with a response that isn't whole."""
        for connection in list(self.connections):
            connection.finish()

    def abort(self) -> None:
        """Reset all connections."""
        for connection in list(self.connections):
            connection.abort(STOPPED)

    async def wait_drained(
        self, timeout: float, *, other_work: Callable[[], bool] = lambda: False
    ) -> bool:
        """Wait until all responses are delivered and `other_work` is false.

        Return False if that takes longer than `timeout` seconds.
        """
        deadline = asyncio.get_running_loop().time() + timeout
        while other_work() or self._delivering():
            if asyncio.get_running_loop().time() > deadline:
                return False
            await asyncio.sleep(DRAIN_INTERVAL)
        return True

    def _delivering(self) -> bool:
        """Return whether responses are on their way; pass their rest to the kernel."""
        for connection in self.connections:
            connection.hand_over()
        return any(
            connection.busy or connection.is_delivering()
            for connection in self.connections
        )


def _ignore(response: UndeliveredResponse) -> None:
    """Ignore a response that was not delivered."""
