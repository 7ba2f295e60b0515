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
RETRY_INTERVAL = 0.1


class Notifier:
    """Send requests beside the caller's work, and hold them until they ended."""

    def __init__(self, *, timeout: float) -> None:
        self._timeout = timeout
        self._tasks: set[asyncio.Task[None]] = set()

    def notify(self, link: Link, request: Request, *, retry_for: float = 0.0) -> None:
        """Send a request, and again for `retry_for` seconds until it is answered.

        What must arrive is worth a retry: a message is lost with its connection.
        That it did not arrive is only logged.
        """
        task = asyncio.create_task(self._send(link, request, retry_for))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _send(self, link: Link, request: Request, retry_for: float) -> None:
        loop = asyncio.get_running_loop()
        deadline = loop.time() + retry_for
        while True:
            reply = await link.call(request, timeout=self._timeout)
            if isinstance(reply, Accepted):
                return
            if loop.time() >= deadline:
                break
            await asyncio.sleep(RETRY_INTERVAL)
        log.info("{} was not told: {}", link.address, request)
