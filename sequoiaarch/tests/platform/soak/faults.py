"""Bring faults about, one after the other and over each other, by a seed."""

from __future__ import annotations

import asyncio
import random
import signal
from collections import Counter
from collections.abc import Awaitable, Callable

from ....standins.keyed_store import KeyedStore
from .gateways import Gateway
from .proxy import HARMS, Harm
from .targets import SoakTarget, Trouble

PAUSE = (0.1, 1.2)
SHORT = (0.2, 1.5)
LONG = (0.5, 4.0)
DRAIN = (2.0, 10.0)
CALM_SHARE = 0.05
CALM_SECONDS = 4.5
LOST_SHARE = 0.35
SLOW_SECONDS = 0.25

Action = Callable[[], Awaitable[None]]


class Faults:
    """Hold what may go wrong at a site, and when the store was last disturbed."""

    def __init__(
        self,
        *,
        gateways: list[Gateway],
        targets: list[SoakTarget],
        store: KeyedStore,
        publish: Action,
        rotate: Action,
        rng: random.Random,
    ) -> None:
        self.counts: Counter[str] = Counter()
        self.store_calm_since = 0.0
        self._gateways = gateways
        self._targets = targets
        self._store = store
        self._rng = rng
        self._busy: set[str] = set()
        self._open = 0
        self._tasks: set[asyncio.Task[None]] = set()
        self._actions: list[tuple[Action, int]] = [
            (self._kill, 2),
            (self._stop, 3),
            (self._hang_up, 1),
            (self._freeze, 2),
            (self._harm_callers, 2),
            (self._store_away_for_one, 3),
            (self._store_away_for_all, 2),
            (self._store_loses_answers, 2),
            (self._store_forgets, 1),
            (self._target_trouble, 5),
            (self._target_drains, 4),
            (self._kill_all, 1),
            (publish, 3),
            (rotate, 3),
        ]

    async def run(self, until: float) -> None:
        """Begin faults until a time of the loop, then wait for their ends."""
        loop = asyncio.get_running_loop()
        actions, weights = zip(*self._actions, strict=True)
        while loop.time() < until:
            if self._rng.random() < CALM_SHARE:
                await self._calm_drain()
            action = self._rng.choices(actions, weights)[0]
            self.counts[action.__name__.strip("_")] += 1
            task = asyncio.create_task(action())
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(self._rng.uniform(*PAUSE))
        await asyncio.gather(*self._tasks)

    def calm_since(self) -> float:
        """Return since when nothing kept any gateway from the store."""
        if self._open:
            return float("inf")
        return self.store_calm_since

    def undisturbed_since(self) -> float:
        """Return since when no process was lost, and none kept from the store."""
        return max(self.calm_since(), *(one.killed_at for one in self._gateways))

    def _draw(self) -> Gateway | None:
        """Return a gateway on which no other fault of a process is under way."""
        free = [one for one in self._gateways if one.name not in self._busy]
        return self._rng.choice(free) if free else None

    async def _kill(self) -> None:
        gateway = self._draw()
        if gateway is not None:
            await self._restart(gateway, gateway.kill)

    async def _stop(self) -> None:
        gateway = self._draw()
        if gateway is not None:
            await self._restart(gateway, gateway.stop_planned)

    async def _restart(self, gateway: Gateway, end: Action) -> None:
        self._busy.add(gateway.name)
        try:
            await end()
            await asyncio.sleep(self._rng.uniform(*SHORT))
            await gateway.start()
        finally:
            self._busy.discard(gateway.name)

    async def _kill_all(self) -> None:
        free = [one for one in self._gateways if one.name not in self._busy]
        await asyncio.gather(*(self._restart(one, one.kill) for one in free))

    async def _hang_up(self) -> None:
        gateway = self._draw()
        if gateway is not None:
            await gateway.hang_up()

    async def _freeze(self) -> None:
        gateway = self._draw()
        if gateway is None:
            return
        self._busy.add(gateway.name)
        self._begin()
        gateway.disturb()
        gateway.signal(signal.SIGSTOP)
        await asyncio.sleep(self._rng.uniform(*LONG))
        gateway.signal(signal.SIGCONT)
        gateway.disturb()
        self._end()
        self._busy.discard(gateway.name)

    async def _harm_callers(self) -> None:
        gateway = self._rng.choice(self._gateways)
        harm = self._rng.choice(HARMS)
        gateway.disturb()
        gateway.callers.set(harm, SLOW_SECONDS)
        await asyncio.sleep(self._rng.uniform(*SHORT))
        gateway.callers.set(Harm.NONE)
        gateway.disturb()

    async def _store_away_for_one(self) -> None:
        await self._store_away([self._rng.choice(self._gateways)])

    async def _store_away_for_all(self) -> None:
        await self._store_away(self._gateways)

    async def _store_away(self, gateways: list[Gateway]) -> None:
        harm = self._rng.choice([*HARMS, None, None])
        self._begin()
        for gateway in gateways:
            if harm is None:
                gateway.store.status = self._rng.choice((503, 429))
            else:
                gateway.to_store.set(harm, SLOW_SECONDS)
        await asyncio.sleep(self._rng.uniform(*LONG))
        for gateway in gateways:
            gateway.store.status = 200
            gateway.to_store.set(Harm.NONE)
        self._end()

    async def _store_loses_answers(self) -> None:
        self._begin()
        for gateway in self._gateways:
            gateway.store.loses = lambda: self._rng.random() < LOST_SHARE
        await asyncio.sleep(self._rng.uniform(*LONG))
        for gateway in self._gateways:
            gateway.store.loses = lambda: False
        self._end()

    async def _store_forgets(self) -> None:
        self._store.compact()

    async def _target_trouble(self) -> None:
        target = self._rng.choice(self._targets)
        target.trouble = self._rng.choice(list(Trouble))
        await asyncio.sleep(self._rng.uniform(*LONG))
        target.trouble = Trouble.NONE

    async def _target_drains(self) -> None:
        target = self._rng.choice(self._targets)
        await target.drain()
        await asyncio.sleep(self._rng.uniform(*DRAIN))
        await target.replace()

    async def _calm_drain(self) -> None:
        """Let all faults end, and have a target leave while nothing else happens.

        What a gateway may send to a leaving target is bounded only while it
        reaches the store.
        """
        await asyncio.gather(*self._tasks)
        target = self._rng.choice(self._targets)
        await target.drain()
        await asyncio.sleep(CALM_SECONDS)
        await target.replace()

    def _begin(self) -> None:
        self._open += 1

    def _end(self) -> None:
        self._open -= 1
        self.store_calm_since = asyncio.get_running_loop().time()
