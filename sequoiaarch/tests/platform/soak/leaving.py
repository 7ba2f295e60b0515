"""Let targets leave in both ways, and connections of gateways fall silent."""

from __future__ import annotations

import asyncio
import itertools
import random
from collections import Counter

from .gateways import Gateway
from .targets import SoakTarget

# Pairs are ranges of seconds.
LEAVE_INTERVAL = (0.5, 1.5)
# Targets serve on for longer than any request may reach them.
SERVE_SECONDS = (2.5, 4.0)
RESTARTED_SECONDS = (0.4, 1.0)
# How targets leave, by turns: milliseconds by which the clock of one that first starts
# again has moved, and whether it reports that it drains.
WAYS = ((-5_000, True), (0, False), (0, True), (5_000, False))
# Targets of a service that stay while one leaves.
MIN_STAYING = 1
SILENCE_INTERVAL = (5.0, 9.0)
ALL_SILENT_FRACTION = 0.3
PEERS_SILENT_FRACTION = 0.5


class LeavingTargets:
    """Let targets leave, some after they have started again under their id.

    They have a random generator of their own, so that the other faults of a seed don't
    depend on them.
    """

    def __init__(self, *, targets: list[SoakTarget], rng: random.Random) -> None:
        self.counts: Counter[str] = Counter()
        self._targets = targets
        self._rng = rng
        self._ways = itertools.cycle(WAYS)

    async def run(self, until: float) -> None:
        """Let targets leave until the loop time `until`."""
        loop = asyncio.get_running_loop()
        async with asyncio.TaskGroup() as group:
            while (remaining := until - loop.time()) > 0:
                target = self._rng.choice(self._targets)
                if self._may_leave(target):
                    group.create_task(self._leave(target))
                await asyncio.sleep(min(remaining, self._rng.uniform(*LEAVE_INTERVAL)))

    def _may_leave(self, target: SoakTarget) -> bool:
        staying = [
            other
            for other in self._targets
            if other is not target and other.service == target.service and other.stays
        ]
        return target.stays and len(staying) > MIN_STAYING

    async def _leave(self, target: SoakTarget) -> None:
        clock_step, reported = next(self._ways)
        if clock_step:
            self.counts["starts again"] += 1
            await target.restart(clock_step)
            await asyncio.sleep(self._rng.uniform(*RESTARTED_SECONDS))
        if reported:
            self.counts["leaves, reported"] += 1
            await target.drain()
        else:
            self.counts["leaves, removed"] += 1
            await target.remove()
        await asyncio.sleep(self._rng.uniform(*SERVE_SECONDS))
        await target.replace()


class SilentConnections:
    """Let open connections of gateways fall silent for good, while new ones work."""

    def __init__(
        self,
        *,
        gateways: list[Gateway],
        rng: random.Random,
    ) -> None:
        self.counts: Counter[str] = Counter()
        self._gateways = gateways
        self._rng = rng

    async def run(self, until: float) -> None:
        """Silence connections until the loop time `until`."""
        loop = asyncio.get_running_loop()
        while (remaining := until - loop.time()) > 0:
            await asyncio.sleep(min(remaining, self._rng.uniform(*SILENCE_INTERVAL)))
            affected = [self._rng.choice(self._gateways)]
            if self._rng.random() < ALL_SILENT_FRACTION:
                affected = self._gateways
            peers_too = self._rng.random() < PEERS_SILENT_FRACTION
            self.counts["connections fall silent"] += 1
            for gateway in affected:
                gateway.silence(peers_too=peers_too)
