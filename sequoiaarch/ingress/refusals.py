"""Tell which connections and requests were refused to stay within the limits."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping

from ..http1.admission import ConnectionState
from ..http1.server import Server
from ..observe.events import EventLog
from ..wire.accepted import AcceptedConnections

# Seconds that a line sums up; there is none while nothing is refused.
LOG_INTERVAL = 1.0

Counts = Mapping[str, int]


def front_counts(server: Server) -> dict[str, int]:
    """Return how often a server closed or refused what exceeds its limits."""
    counts = {
        f"evicted_{state.name.lower()}": server.open.evicted[state]
        for state in ConnectionState
        if state is not ConnectionState.HANDLING
    }
    counts["connections_refused"] = server.open.refused
    counts["requests_refused"] = server.requests_refused
    counts["heads_refused"] = server.heads_refused
    return counts


def peer_counts(connections: AcceptedConnections | None) -> dict[str, int]:
    """Return how many connections of peers were shut down."""
    refused = connections.refused if connections is not None else 0
    return {"peer_connections_refused": refused}


class RefusalLog:
    """Write a line for each second in which something was refused."""

    def __init__(self, *, events: EventLog, counts: Callable[[], Counts]) -> None:
        self._events = events
        self._counts = counts
        self._told: dict[str, int] = {}

    async def run(self) -> None:
        """Write lines for ever."""
        while True:
            await asyncio.sleep(LOG_INTERVAL)
            self.write()

    def write(self) -> None:
        """Write what was refused since the last line, if anything was."""
        counts = dict(self._counts())
        added = {
            name: count - self._told.get(name, 0)
            for name, count in counts.items()
            if count != self._told.get(name, 0)
        }
        self._told = counts
        if added:
            self._events.emit("refused", **added)
