"""Hand work from threads to the event loop, many pieces at a wake."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable


class Mailbox:
    """Run callbacks in the loop in the order in which threads post them.

    Waking the loop costs more than the work of a token. While a wake is on
    its way, whatever other threads post rides along.
    """

    def __init__(self, *, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._posted: deque[tuple[Callable[[bytes], None], bytes]] = deque()
        self._woken = False

    @property
    def loop(self) -> asyncio.AbstractEventLoop:
        """Return the loop in which callbacks run."""
        return self._loop

    def post(self, take: Callable[[bytes], None], data: bytes) -> None:
        """Have `take(data)` called in the loop; callable from any thread."""
        self._posted.append((take, data))
        if not self._woken:
            self._woken = True
            self._loop.call_soon_threadsafe(self._drain)

    def _drain(self) -> None:
        # Cleared first: what is posted from here on may need another wake,
        # and a wake too many does no harm.
        self._woken = False
        while self._posted:
            take, data = self._posted.popleft()
            take(data)
