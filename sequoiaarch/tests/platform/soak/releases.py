"""Replace engines by ones of other software versions."""

from __future__ import annotations

import asyncio
import random
from collections import Counter

from .targets import SoakTarget

VERSIONS = ("v1", "v1.1", "v1.2")
# Pairs are ranges of seconds.
INTERVAL = (0.5, 2.5)
DRAIN_SECONDS = (0.0, 1.0)
# Fraction of the steps that move an engine to the newest version of a release; the
# others bring any version back.
RELEASE_FRACTION = 0.7
# Steps until the next version is released.
STEPS = (3, 6)


class Releases:
    """Run releases one after the other, which may overlap, over the engines.

    They have a random generator of their own, so that the other faults of a seed don't
    depend on them.
    """

    def __init__(self, *, engines: list[SoakTarget], rng: random.Random) -> None:
        self.counts: Counter[str] = Counter()
        self._engines = list(engines)
        self._rng = rng

    async def run(self, until: float) -> None:
        """Replace engines until the loop time `until`."""
        loop = asyncio.get_running_loop()
        newest, steps = 1, self._rng.randint(*STEPS)
        async with asyncio.TaskGroup() as group:
            while (remaining := until - loop.time()) > 0:
                if self._rng.random() < RELEASE_FRACTION:
                    version = VERSIONS[newest % len(VERSIONS)]
                else:
                    version = self._rng.choice(VERSIONS)
                if self._engines:
                    group.create_task(self._replace(version, remaining))
                steps -= 1
                if not steps:
                    newest, steps = newest + 1, self._rng.randint(*STEPS)
                await asyncio.sleep(min(remaining, self._rng.uniform(*INTERVAL)))

    async def _replace(self, version: str, remaining: float) -> None:
        engine = self._rng.choice(self._engines)
        self._engines.remove(engine)
        self.counts[f"release {version}"] += 1
        await engine.drain()
        await asyncio.sleep(min(remaining, self._rng.uniform(*DRAIN_SECONDS)))
        await engine.replace(version)
        self._engines.append(engine)
