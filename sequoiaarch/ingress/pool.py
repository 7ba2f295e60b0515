"""Keep connections to targets for further requests."""

from __future__ import annotations

import asyncio

from ..http1.client import ClientConnection, connect
from ..http1.idle import IdleConnections
from ..ids import InstanceId
from ..routing.targets import TargetEntry

# A target in the same region establishes a connection within 2 ms when idle,
# and a lost first packet is sent again after 1 s. Seconds.
CONNECT_TIMEOUT = 0.4
# A request that crosses the target's close of an idle connection can't be
# repeated unless it is idempotent, so connections are let go well before.
IDLE_MARGIN = 1.0
IDLE_LIMIT = 4.0
SWEEP_SECONDS = 1.0


class TargetPool:
    """Hold idle links by target."""

    def __init__(self) -> None:
        self._idle: IdleConnections[InstanceId] = IdleConnections()
        self.opened = 0

    async def take(self, target: TargetEntry) -> ClientConnection:
        """Return a usable link; raises ExchangeError."""
        link = self._idle.acquire(target.incarnation)
        if link is not None:
            return link
        self.opened += 1
        return await connect(target.address, timeout=CONNECT_TIMEOUT)

    def give_back(
        self, target: TargetEntry, link: ClientConnection, idle_limit: float | None
    ) -> None:
        """Keep a link whose exchange was complete, or close it."""
        limit = IDLE_LIMIT if idle_limit is None else idle_limit - IDLE_MARGIN
        self._idle.release(target.incarnation, link, limit)

    def forget(self, instance: InstanceId) -> None:
        """Close the idle links to a target that has left or started again."""
        self._idle.discard(instance)

    def close(self) -> None:
        """Close all idle links."""
        self._idle.close()

    async def sweep(self) -> None:
        """Close links that were idle for too long, again and again."""
        while True:
            await asyncio.sleep(SWEEP_SECONDS)
            self._idle.close_expired()
