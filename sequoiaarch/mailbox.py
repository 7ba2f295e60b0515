"""Pass callbacks from threads to the event loop in batches."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable


class Mailbox:
    """Run callbacks in the loop in the order in which threads post them.

    Waking the loop is expensive, so all callbacks that are posted until it wakes
    share one wake-up.
    """

    def __init__(self, *, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._queue: deque[tuple[Callable[[bytes], None], bytes]] = deque()
        self._wake_pending = False

    @property
    def loop(self) -> asyncio.AbstractEventLoop:
        """Return the loop in which callbacks run."""
        return self._loop

    def post(self, callback: Callable[[bytes], None], data: bytes) -> None:
        """Schedule `callback(data)` in the loop; thread-safe."""
        self._queue.append((callback, data))
        if not self._wake_pending:
            self._wake_pending = True
            self._loop.call_soon_threadsafe(self._run_callbacks)

    def _run_callbacks(self) -> None:
        # Cleared before the queue is drained, so that no later post is missed; a
        # superfluous wake-up is harmless.
        self._wake_pending = False
        while self._queue:
            callback, data = self._queue.popleft()
            callback(data)
