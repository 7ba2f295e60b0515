"""Pool of keep-alive connections to targets."""

from __future__ import annotations

import asyncio

from ..http1.client import ClientConnection, connect
from ..http1.idle import IdleConnections
from ..ids import InstanceId
from ..routing.targets import TargetEntry

# Seconds. Shorter than the retransmission timeout of a lost SYN, 1 s, so that
# another target is tried first. An idle target of the region accepts within 2 ms.
CONNECT_TIMEOUT = 0.4
# Connections are closed this many seconds before the target would close them: a
# non-idempotent request that races with the target's close can't be retried.
IDLE_MARGIN = 1.0
# Idle limit for targets that announce none, in seconds.
DEFAULT_IDLE_LIMIT = 4.0
CLOSE_EXPIRED_INTERVAL = 1.0


class ConnectionPool:
    """Reuse idle connections by target instance."""

    def __init__(self) -> None:
        self._idle: IdleConnections[InstanceId] = IdleConnections()
        self.opened = 0

    async def acquire(self, target: TargetEntry) -> ClientConnection:
        """Return an idle or new connection; raises ExchangeError."""
        connection = self._idle.acquire(target.incarnation)
        if connection is not None:
            return connection
        self.opened += 1
        return await connect(target.address, timeout=CONNECT_TIMEOUT)

    def release(
        self,
        target: TargetEntry,
        connection: ClientConnection,
        idle_limit: float | None,
    ) -> None:
        """Return a connection to the pool after a complete exchange, or close it."""
        limit = DEFAULT_IDLE_LIMIT if idle_limit is None else idle_limit - IDLE_MARGIN
        self._idle.release(target.incarnation, connection, limit)

    def forget(self, instance: InstanceId) -> None:
        """Close the idle connections to a target that has left or restarted."""
        self._idle.discard(instance)

    def close(self) -> None:
        """Close all idle connections."""
        self._idle.close()

    async def run_close_expired(self) -> None:
        """Close connections past their idle limit, periodically."""
        while True:
            await asyncio.sleep(CLOSE_EXPIRED_INTERVAL)
            self._idle.close_expired()
