"""Tell other hosts what no caller waits for."""

from __future__ import annotations

import asyncio

import logbook

from ..wire.links import Link
from ..wire.messages import Accepted, Request

log = logbook.Logger("peers")

# For what is told again. Longer than it takes to find a link silent, so that the
# next try has a new one. Seconds.
RETRY_TIMEOUT = 2.0
RETRY_PAUSE = 0.1


class Telling:
    """Send requests beside the caller's work, and hold them until they ended."""

    def __init__(self, *, timeout: float) -> None:
        self._timeout = timeout
        self._tasks: set[asyncio.Task[None]] = set()

    def tell(self, link: Link, request: Request, *, patience: float = 0.0) -> None:
        """Send a request, and again for `patience` seconds until it is answered.

        What must arrive is worth a retry: a message is lost with its connection.
        That it did not arrive is only logged.
        """
        task = asyncio.create_task(self._tell(link, request, patience))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _tell(self, link: Link, request: Request, patience: float) -> None:
        loop = asyncio.get_running_loop()
        deadline = loop.time() + patience
        while True:
            reply = await link.call(request, timeout=self._timeout)
            if isinstance(reply, Accepted):
                return
            if loop.time() >= deadline:
                break
            await asyncio.sleep(RETRY_PAUSE)
        log.info("{} was not told: {}", link.address, request)
