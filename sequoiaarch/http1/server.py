"""Accept connections and answer their requests, one task for each."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from .server_connection import Handler, ServerConnection, ServerLimits


class Server:
    """Accept connections and hand their requests to one handler."""

    def __init__(self, *, handle: Handler, limits: ServerLimits) -> None:
        self.handle = handle
        self.limits = limits
        self.connections: set[ServerConnection] = set()
        self.stopping = False
        self.held_bytes = 0
        self._listener: asyncio.Server | None = None

    @property
    def port(self) -> int:
        """Return the port that is listened on."""
        assert self._listener is not None
        return int(self._listener.sockets[0].getsockname()[1])

    async def start(self, host: str, port: int) -> None:
        """Listen on an address."""
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(
            lambda: ServerConnection(server=self), host, port, backlog=1024
        )

    def make_room(self) -> None:
        """Close idle connections once there are too many.

        Without descriptors left no connection to a target or to the store can
        be opened, and every request fails.
        """
        if len(self.connections) <= self.limits.links:
            return
        for link in list(self.connections):
            link.close_idle()

    def stop_accepting(self) -> None:
        """Close the listening socket and the idle connections."""
        if self._listener is not None:
            self._listener.close()
        for link in list(self.connections):
            link.close_idle()

    def abort(self) -> None:
        """Reset all connections."""
        for link in list(self.connections):
            link.abort()

    async def wait_drained(
        self, timeout: float, *, other_work: Callable[[], bool] = lambda: False
    ) -> bool:
        """Wait up to `timeout` seconds until nothing is under way, here or `also`."""
        deadline = asyncio.get_running_loop().time() + timeout
        while any(link.busy for link in self.connections) or other_work():
            if asyncio.get_running_loop().time() > deadline:
                return False
            await asyncio.sleep(0.02)
        return True
