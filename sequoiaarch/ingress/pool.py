"""Keep connections to targets for further requests."""

from __future__ import annotations

import asyncio
from collections import defaultdict

from ..http1.client import ClientLink, connect
from ..ids import InstanceId
from ..routing.targets import TargetEntry

# A target in the same region establishes a connection within 2 ms when idle,
# and a lost first packet is sent again after 1 s. Seconds.
CONNECT_TIMEOUT = 0.4
# A request that crosses the target's close of an idle connection can't be
# repeated unless it is idempotent, so connections are let go well before.
IDLE_MARGIN = 1.0
IDLE_LIMIT = 4.0
SWEEP_SECONDS = 1.0


class TargetPool:
    """Hold idle links by target; the newest is used first."""

    def __init__(self) -> None:
        self._idle: dict[InstanceId, list[ClientLink]] = defaultdict(list)
        self.opened = 0

    async def take(self, target: TargetEntry) -> ClientLink:
        """Return a usable link; raises LinkError."""
        now = asyncio.get_running_loop().time()
        kept = self._idle[target.instance]
        while kept:
            link = kept.pop()
            if link.usable and now < link.idle_since + _limit(link):
                return link
            link.abort()
        self.opened += 1
        return await connect(target.address, timeout=CONNECT_TIMEOUT)

    def give_back(
        self, target: TargetEntry, link: ClientLink, idle_limit: float | None
    ) -> None:
        """Keep a link whose exchange was complete, or close it."""
        if not link.finish():
            return
        link.keep_alive = idle_limit
        if _limit(link) <= 0:
            link.abort()
            return
        link.idle_since = asyncio.get_running_loop().time()
        self._idle[target.instance].append(link)

    def close(self) -> None:
        """Close all idle links."""
        for links in self._idle.values():
            for link in links:
                link.abort()
        self._idle.clear()

    async def sweep(self) -> None:
        """Close links that were idle for too long, again and again."""
        while True:
            await asyncio.sleep(SWEEP_SECONDS)
            now = asyncio.get_running_loop().time()
            for instance, links in list(self._idle.items()):
                kept = []
                for link in links:
                    if link.usable and now < link.idle_since + _limit(link):
                        kept.append(link)
                    else:
                        link.abort()
                if kept:
                    self._idle[instance] = kept
                else:
                    del self._idle[instance]


def _limit(link: ClientLink) -> float:
    if link.keep_alive is None:
        return IDLE_LIMIT
    return link.keep_alive - IDLE_MARGIN
