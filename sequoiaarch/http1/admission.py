"""Decide which connections of a server are kept, and whose work goes first."""

from __future__ import annotations

import asyncio
import itertools
from collections import Counter, deque
from enum import Enum
from typing import Protocol

# Seconds without progress after which a client that doesn't read its answer makes room.
# Slow readers open their windows in steps.
STALL_TIMEOUT = 3.0
# Connections looked at for one that has stalled.
MAX_LOOKS = 16


class ConnectionState(Enum):
    """What a connection is doing."""

    NEW = "no request yet"
    WAITING = "idle"
    RECEIVING = "receiving a request"
    HANDLING = "handling a request"
    BLOCKED = "answer not read"
    CLOSING = "closing"


# In this order connections make room for new ones. Those whose request is handled never
# do: it may have run, and nobody could tell its caller.
_CLOSED_FIRST = (
    ConnectionState.CLOSING,
    ConnectionState.NEW,
    ConnectionState.WAITING,
    ConnectionState.RECEIVING,
    ConnectionState.BLOCKED,
)


class Evictable(Protocol):
    """Connection that can be closed to make room."""

    @property
    def stalled(self) -> float:
        """Return the seconds for which the client has taken nothing of its answer."""

    def evict(self, state: ConnectionState) -> None:
        """Reset the connection."""


class OpenConnections:
    """Connections of a server by state, those that entered it first at the front."""

    def __init__(self) -> None:
        self._states: dict[Evictable, ConnectionState] = {}
        self._by_state: dict[ConnectionState, dict[Evictable, None]] = {
            state: {} for state in ConnectionState
        }
        # Connections closed to make room, by their state.
        self.evicted: Counter[ConnectionState] = Counter()
        # Connections reset when they were accepted, as all others were busy.
        self.refused = 0

    def __len__(self) -> int:
        return len(self._states)

    def enter(self, connection: Evictable, state: ConnectionState) -> None:
        """Record the state of a connection from now on."""
        self.remove(connection)
        self._states[connection] = state
        self._by_state[state][connection] = None

    def remove(self, connection: Evictable) -> None:
        """Forget a connection."""
        state = self._states.pop(connection, None)
        if state is not None:
            del self._by_state[state][connection]

    def admit(self, connection: Evictable, *, limit: int) -> bool:
        """Add a new connection; return False if there is no room for it.

        Above `limit` the connection that is missed least makes room.
        """
        if len(self) >= limit and not self._make_room():
            self.refused += 1
            return False
        self.enter(connection, ConnectionState.NEW)
        return True

    def _make_room(self) -> bool:
        for state in _CLOSED_FIRST:
            found = self._find(state)
            if found is not None:
                self.evicted[state] += 1
                self.remove(found)
                found.evict(state)
                return True
        return False

    def _find(self, state: ConnectionState) -> Evictable | None:
        oldest = itertools.islice(self._by_state[state], MAX_LOOKS)
        if state is not ConnectionState.BLOCKED:
            return next(oldest, None)
        return next((found for found in oldest if found.stalled >= STALL_TIMEOUT), None)


class TurnQueue:
    """Let tasks go on one after the other, one in each turn of the event loop.

    Work that clients can pile up waits here, so that it delays other clients by one
    piece of it in each turn, however much there is.
    """

    def __init__(self) -> None:
        self._waiting: deque[asyncio.Future[None]] = deque()
        self._scheduled = False

    async def wait(self) -> None:
        """Wait for the next free turn."""
        loop = asyncio.get_running_loop()
        turn = loop.create_future()
        self._waiting.append(turn)
        if not self._scheduled:
            self._scheduled = True
            loop.call_soon(self._grant)
        await turn

    def _grant(self) -> None:
        while self._waiting:
            turn = self._waiting.popleft()
            if not turn.done():
                turn.set_result(None)
                break
        self._scheduled = bool(self._waiting)
        if self._scheduled:
            asyncio.get_running_loop().call_soon(self._grant)
