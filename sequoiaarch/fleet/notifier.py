"""Send requests to other hosts in the background."""

from __future__ import annotations

import asyncio

import logbook

from ..wire.links import Link
from ..wire.messages import Accepted, Request

log = logbook.Logger("peers")

# Timeout of requests that are retried. Exceeds the silence limit of a link, so that
# the next attempt uses a new connection. Seconds.
ATTEMPT_TIMEOUT = 2.0
RETRY_INTERVAL = 0.1


class Notifier:
    """Send requests as background tasks and keep the tasks until they end."""

    def __init__(self, *, timeout: float) -> None:
        self._timeout = timeout
        self._tasks: set[asyncio.Task[None]] = set()

    def notify(self, link: Link, request: Request, *, retry_for: float = 0.0) -> None:
        """Send a request and retry it for `retry_for` seconds until it is accepted.

        A request that is never accepted is only logged.
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
        log.info("{} did not accept {}", link.address, request)
