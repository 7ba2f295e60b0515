"""Send requests of workspaces whose keys change and whose limit is too low."""

from __future__ import annotations

import asyncio
import random
from typing import Any

from ....http1.client import connect
from ....http1.messages import ExchangeError
from ....workspaces.directory import RateLimit
from ....workspaces.sliding_window import QuotaBounds
from ..site import tenant
from .callers import CONNECT_SECONDS, TRY_PAUSE, exchange
from .gateways import Gateway
from .proxy import LOOPBACK
from .tally import OPEN_KEY, OPEN_WORKSPACE, Tally

ROTATED = "rotated"
LIMITED = "limited"
LIMITED_KEY = "key-of-limited"
LIMIT = RateLimit(rate=6.0, burst=6.0)
BOUNDS = QuotaBounds(window=5.0, overage=0.1, slack=20.0)
# Callers of the limited workspace; together they ask for several times its limit.
LIMITED_CALLERS = 4
LIMITED_PAUSE = (0.02, 0.2)


class Workspaces:
    """Hold the workspaces of a site, one of which gets new keys now and then."""

    def __init__(self, *, tally: Tally) -> None:
        self._tally = tally
        self._number = 1
        tally.limits[LIMITED] = (LIMIT, BOUNDS)
        for key, name in (
            (OPEN_KEY, OPEN_WORKSPACE),
            (LIMITED_KEY, LIMITED),
            (self.key, ROTATED),
        ):
            tally.keys[key] = name

    @property
    def key(self) -> str:
        """Return the newest key of the workspace whose keys change."""
        return f"key-{self._number}-of-rotated"

    def rotate(self) -> str:
        """Take the key away and give another; return the one that is gone."""
        before = self.key
        self._number += 1
        self._tally.keys[self.key] = ROTATED
        return before

    def document(self) -> list[dict[str, Any]]:
        """Return the workspaces as the operator writes them."""
        rates = {"ratePerS": LIMIT.rate, "burst": LIMIT.burst}
        return [
            tenant(OPEN_WORKSPACE, OPEN_KEY),
            tenant(LIMITED, LIMITED_KEY, **rates),
            tenant(ROTATED, self.key),
        ]


class KeyedCaller:
    """Call a service with one key after the other, through any gateway.

    Keys that were taken away are tried on: some gateway may not know it yet.
    """

    def __init__(
        self,
        *,
        gateways: list[Gateway],
        tally: Tally,
        workspaces: Workspaces,
        limited: bool,
        rng: random.Random,
    ) -> None:
        self._gateways = gateways
        self._tally = tally
        self._workspaces = workspaces
        self._limited = limited
        self._rng = rng
        self._keys = [LIMITED_KEY] if limited else [workspaces.key]

    async def run(self, until: float) -> None:
        """Call until a time of the loop."""
        while asyncio.get_running_loop().time() < until:
            await self._call(self._key())
            await asyncio.sleep(self._rng.uniform(*LIMITED_PAUSE))

    def _key(self) -> str:
        if not self._limited and self._keys[-1] != self._workspaces.key:
            self._keys.append(self._workspaces.key)
        return self._rng.choice(self._keys[-3:])

    async def _call(self, key: str) -> None:
        gateway = self._rng.choice(self._gateways)
        try:
            link = await connect(
                (LOOPBACK, gateway.callers.port), timeout=CONNECT_SECONDS
            )
        except ExchangeError:
            await asyncio.sleep(TRY_PAUSE)
            return
        attempt = f"{self._rng.getrandbits(64):016x}"
        self._tally.repeatable.add(attempt)
        headers = {"Api-Key": key, "X-Tenant": OPEN_WORKSPACE}
        try:
            answer = await exchange(link, "/safe/x", attempt, b"", headers, self._tally)
        finally:
            link.abort()
        name = LIMITED if self._limited else ROTATED
        self._tally.counts[f"{name} {answer.status}"] += 1
