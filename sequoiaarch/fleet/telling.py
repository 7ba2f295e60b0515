"""Tell other hosts what they need not answer."""

from __future__ import annotations

import asyncio

import logbook

from ..wire.links import Link
from ..wire.messages import Accepted, Request

log = logbook.Logger("peers")


class Telling:
    """Send requests beside the caller's work, and hold them until they ended."""

    def __init__(self, *, timeout: float) -> None:
        self._timeout = timeout
        self._tasks: set[asyncio.Task[None]] = set()

    def tell(self, link: Link, request: Request) -> None:
        """Send a request; that it did not arrive is only logged."""
        task = asyncio.create_task(self._tell(link, request))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _tell(self, link: Link, request: Request) -> None:
        reply = await link.call(request, timeout=self._timeout)
        if not isinstance(reply, Accepted):
            log.info("{} was not told: {}", link.address, request)
