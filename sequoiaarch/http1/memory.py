"""Count the bytes held for connections, and close the largest at a limit."""

from __future__ import annotations

import sys
from collections.abc import Callable
from typing import Protocol

import msgspec

# Fraction of the limit above which response bodies are collected one at a time and less
# is read ahead. The rest must hold the longest body and what is read ahead.
SCARCE_FRACTION = 0.5


class BufferOwner(Protocol):
    """Connection whose buffers drain without notice."""

    def count_buffers(self) -> None:
        """Update the number of bytes counted for the buffers."""


class ClosedConnection(msgspec.Struct, frozen=True, kw_only=True):
    """A caller connection closed at the limit; `total` is as before, in bytes."""

    request: str
    held: int
    total: int
    limit: int


class HeldBytes:
    """Bytes held for one caller connection, including the buffers of its target.

    `request` is the id of the open request, for the log. `buffers` are the
    connections that count here.
    """

    __slots__ = ("_memory", "_close", "_released", "size", "request", "buffers")

    def __init__(self, *, memory: HeldMemory, close: Callable[[], None]) -> None:
        self._memory = memory
        self._close = close
        self._released = False
        self.size = 0
        self.request = ""
        self.buffers: list[BufferOwner] = []
        memory.connections.add(self)

    @property
    def memory(self) -> HeldMemory:
        """Return the count of the process."""
        return self._memory

    def add(self, change: int) -> None:
        """Add held bytes, or subtract freed ones; may close connections."""
        self.add_request(change)
        if change > 0 and self._memory.total >= self._memory.limit:
            self._memory.enforce_limit()

    def add_request(self, change: int) -> None:
        """Add or subtract bytes of a request, which is refused if they don't fit."""
        self.size += change
        if not self._released:
            self._memory.total += change

    def release(self) -> None:
        """Stop counting a connection that is closed."""
        if self._released:
            return
        self._released = True
        self._memory.total -= self.size
        self._memory.connections.discard(self)
        self._memory.collecting.pop(self, None)
        # Reference cycles would keep the buffers until the next garbage collection.
        self.buffers.clear()
        self._close = _do_nothing

    def close(self) -> None:
        """Close the connection and stop counting it."""
        close = self._close
        self.release()
        close()


class HeldMemory:
    """Bytes held for all connections of a process, with their limit.

    Buffers that drained since they were last counted make `total` too high, never
    too low. They are counted again before a connection is closed.
    """

    def __init__(self, *, limit: int = sys.maxsize) -> None:
        self.limit = limit
        self.total = 0
        self.closed = 0
        self.connections: set[HeldBytes] = set()
        # Connections whose response bodies are being collected, the oldest first.
        self.collecting: dict[HeldBytes, None] = {}
        self.on_close: Callable[[ClosedConnection], None] = lambda closed: None
        self._enforcing = False

    @property
    def scarce(self) -> bool:
        """Return whether less than usual is to be read ahead."""
        return self.total >= self.limit * SCARCE_FRACTION

    @property
    def largest(self) -> int:
        """Return the bytes held for the connection that holds most."""
        return max((held.size for held in self.connections), default=0)

    @property
    def full(self) -> bool:
        """Return whether nothing more can be held."""
        return not self.fits(0)

    def fits(self, size: int) -> bool:
        """Return whether bytes can be added below the limit."""
        if self.total + size < self.limit:
            return True
        self.count_buffers()
        return self.total + size < self.limit

    def must_wait(self, held: HeldBytes) -> bool:
        """Return whether a connection must stop collecting its response body.

        The oldest one goes on, as otherwise none would complete and free its bytes.
        """
        if not self.scarce:
            return False
        return next(iter(self.collecting), held) is not held

    def count_buffers(self) -> None:
        """Count all buffers again, as they may have drained."""
        for held in list(self.connections):
            for owner in list(held.buffers):
                owner.count_buffers()

    def enforce_limit(self) -> None:
        """Close the connections that hold most until the total is below the limit."""
        if self._enforcing:
            return
        self._enforcing = True
        try:
            self.count_buffers()
            while self.total >= self.limit and self.connections:
                self._close_largest()
        finally:
            self._enforcing = False

    def _close_largest(self) -> None:
        largest = max(self.connections, key=lambda held: held.size)
        closed = ClosedConnection(
            request=largest.request,
            held=largest.size,
            total=self.total,
            limit=self.limit,
        )
        self.closed += 1
        largest.close()
        self.on_close(closed)


def _do_nothing() -> None:
    """Close nothing, as the connection is closed already."""
