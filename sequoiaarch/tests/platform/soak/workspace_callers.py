"""Call a service for workspaces with rotated API keys or a low rate limit."""

from __future__ import annotations

import asyncio
import random
from typing import Any

from ....http1.client import connect
from ....http1.messages import ExchangeError
from ....workspaces.directory import RateLimit
from ....workspaces.sliding_window import QuotaBounds
from ..deployment import tenant
from .burst_callers import BURST_CALLERS, key_of
from .callers import CONNECT_SECONDS, RETRY_DELAY, exchange
from .gateways import Gateway
from .property_checker import UNLIMITED_KEY, UNLIMITED_WORKSPACE, PropertyChecker
from .proxy import LOOPBACK

ROTATED = "rotated"
LIMITED = "limited"
LIMITED_KEY = "key-of-limited"
LIMIT = RateLimit(rate=6.0, burst=6.0)
BOUNDS = QuotaBounds(window=5.0, overage=0.1, slack=20.0)
# Callers of the rate-limited workspace; together they exceed its limit several times.
LIMITED_CALLERS = 4
CALL_INTERVAL = (0.02, 0.2)


class Workspaces:
    """Workspaces of the configuration, one of which has its API key rotated."""

    def __init__(self, *, checker: PropertyChecker) -> None:
        self._checker = checker
        self._number = 1
        checker.limits[LIMITED] = (LIMIT, BOUNDS)
        for key, name in (
            (UNLIMITED_KEY, UNLIMITED_WORKSPACE),
            (LIMITED_KEY, LIMITED),
            (self.key, ROTATED),
            *((key_of(name), name) for name in BURST_CALLERS),
        ):
            checker.workspace_of_key[key] = name

    @property
    def key(self) -> str:
        """Return the current key of the workspace with rotated keys."""
        return f"key-{self._number}-of-rotated"

    def rotate(self) -> str:
        """Replace the key and return the revoked one."""
        previous_key = self.key
        self._number += 1
        self._checker.workspace_of_key[self.key] = ROTATED
        return previous_key

    def document(self) -> list[dict[str, Any]]:
        """Return the workspaces as configuration entries."""
        rates = {"ratePerS": LIMIT.rate, "burst": LIMIT.burst}
        return [
            tenant(UNLIMITED_WORKSPACE, UNLIMITED_KEY),
            tenant(LIMITED, LIMITED_KEY, **rates),
            tenant(ROTATED, self.key),
            *(tenant(name, key_of(name)) for name in BURST_CALLERS),
        ]


class WorkspaceCaller:
    """Call a service with current and revoked keys, each time through any gateway.

    Revoked keys stay in use to check that gateways refuse them in time.
    """

    def __init__(
        self,
        *,
        gateways: list[Gateway],
        checker: PropertyChecker,
        workspaces: Workspaces,
        rate_limited: bool,
        rng: random.Random,
    ) -> None:
        self._gateways = gateways
        self._checker = checker
        self._workspaces = workspaces
        self._rate_limited = rate_limited
        self._rng = rng
        self._keys = [LIMITED_KEY] if rate_limited else [workspaces.key]

    async def run(self, until: float) -> None:
        """Call until the loop time `until`."""
        while asyncio.get_running_loop().time() < until:
            await self._call(self._choose_key())
            await asyncio.sleep(self._rng.uniform(*CALL_INTERVAL))

    def _choose_key(self) -> str:
        if not self._rate_limited and self._keys[-1] != self._workspaces.key:
            self._keys.append(self._workspaces.key)
        return self._rng.choice(self._keys[-3:])

    async def _call(self, key: str) -> None:
        gateway = self._rng.choice(self._gateways)
        try:
            connection = await connect(
                (LOOPBACK, gateway.caller_proxy.port), timeout=CONNECT_SECONDS
            )
        except ExchangeError:
            await asyncio.sleep(RETRY_DELAY)
            return
        attempt = f"{self._rng.getrandbits(64):016x}"
        self._checker.idempotent.add(attempt)
        headers = {"Api-Key": key, "X-Tenant": UNLIMITED_WORKSPACE}
        try:
            answer = await exchange(
                connection, gateway, "/safe/x", attempt, b"", headers, self._checker
            )
        finally:
            connection.abort()
        name = LIMITED if self._rate_limited else ROTATED
        self._checker.counts[f"{name} {answer.status}"] += 1
