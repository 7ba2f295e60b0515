"""Back off from peers that fail."""

from __future__ import annotations

import asyncio
from collections import Counter

import logbook

from ..ids import HostName

log = logbook.Logger("peers")

# Exponential backoff after a failure: doubles with each failure in a row, up to the
# maximum. Seconds.
INITIAL_BACKOFF = 2.0
MAX_BACKOFF = 60.0
# Failures in a row after which a host is presumed gone. The registration of a lost
# host stays in the store.
GONE_FAILURES = 3


class PeerHealth:
    """Failure backoff of each peer, for all requests to it."""

    def __init__(self) -> None:
        self._backoff_until: dict[HostName, float] = {}
        self._backoff: dict[HostName, float] = {}
        self._failures: Counter[HostName] = Counter()

    def usable(self, host: HostName) -> bool:
        """Return whether a peer may be sent requests now."""
        return self._backoff_until.get(host, 0.0) <= asyncio.get_running_loop().time()

    def presumed_gone(self, host: HostName) -> bool:
        """Return whether a peer failed so often in a row that it may be gone."""
        return self._failures[host] >= GONE_FAILURES

    def request_failed(self, host: HostName, reason: str) -> None:
        """Start or double the backoff of a peer, unless one is running."""
        if not self.usable(host):
            return
        backoff = min(2 * self._backoff.get(host, INITIAL_BACKOFF / 2), MAX_BACKOFF)
        self._backoff[host] = backoff
        self._failures[host] += 1
        self._backoff_until[host] = asyncio.get_running_loop().time() + backoff
        log.info("peer {} is not sent requests for {} s: {}", host, backoff, reason)

    def restarted(self, host: HostName) -> None:
        """Forget the failures of a host, as another process of it has started."""
        self._backoff_until.pop(host, None)
        self.request_succeeded(host)

    def request_succeeded(self, host: HostName) -> None:
        """Reset the backoff of a peer that answered."""
        self._backoff.pop(host, None)
        self._failures.pop(host, None)
