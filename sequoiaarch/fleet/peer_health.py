"""Remember which peers failed lately."""

from __future__ import annotations

import asyncio
from collections import Counter

import logbook

from ..ids import HostName

log = logbook.Logger("peers")

# A peer that failed is passed over for this time, twice as long each time up to
# the limit: its host may be gone for good. Seconds.
INITIAL_BACKOFF = 2.0
MAX_BACKOFF = 60.0
# A peer that failed so often in a row, over 6 s with the pauses between, is taken
# for gone: its registration stays in the store for good.
GONE_FAILURES = 3


class PeerHealth:
    """Say which peers may be asked, as delegates or lenders."""

    def __init__(self) -> None:
        self._retry_at: dict[HostName, float] = {}
        self._backoff: dict[HostName, float] = {}
        self._failures: Counter[HostName] = Counter()

    def available(self, host: HostName) -> bool:
        """Return whether a peer may be asked."""
        return self._retry_at.get(host, 0.0) <= asyncio.get_running_loop().time()

    def presumed_gone(self, host: HostName) -> bool:
        """Return whether a peer has failed for so long that it may be gone."""
        return self._failures[host] >= GONE_FAILURES

    def record_failure(self, host: HostName, reason: str) -> None:
        """Pass over a peer for a while."""
        if not self.available(host):
            return
        pause = min(2 * self._backoff.get(host, INITIAL_BACKOFF / 2), MAX_BACKOFF)
        self._backoff[host] = pause
        self._failures[host] += 1
        self._retry_at[host] = asyncio.get_running_loop().time() + pause
        log.info("{} is passed over for {} s: {}", host, pause, reason)

    def record_success(self, host: HostName) -> None:
        """Note that a peer answered."""
        self._backoff.pop(host, None)
        self._failures.pop(host, None)
