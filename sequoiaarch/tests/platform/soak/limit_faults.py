"""Inject what happens to gateways on real machines, in series that overlap."""

from __future__ import annotations

import asyncio
import random
import signal
from collections import Counter
from collections.abc import Awaitable, Callable

from .gateways import Gateway
from .limit_callers import Bursts
from .proxy import ProxyFault

# Pairs are ranges of seconds.
SERIES_INTERVAL = (1.0, 5.0)
STEP_INTERVAL = (0.0, 0.6)
PAUSE = (3.0, 6.0)
# Long enough to be suspected, and mostly to be removed.
LONG_PAUSE = (4.0, 14.0)
NEW_HOST_DELAY = (0.5, 3.0)
HOLD_UP = (0.1, 0.8)
HOLD_UPS = 12
SLOW_READ = (0.3, 6.0)
SLOW_READS_FOR = (2.0, 9.0)
RESTART_DELAY = (0.0, 2.0)
OVERLAP = (0.5, 7.0)
AFTER_BURST = (0.2, 1.5)

Action = Callable[[Gateway], Awaitable[None]]


class LimitFaults:
    """Apply series of faults to gateways; one gateway may be in several series.

    `replace` starts another process of a gateway's host and returns once it runs, and
    `add` a gateway of another host in a zone. Half of the series start shortly after a
    burst.
    """

    def __init__(
        self,
        *,
        gateways: list[Gateway],
        replace: Callable[[Gateway], Awaitable[None]],
        add: Callable[[str], Awaitable[None]],
        publish: Callable[[], Awaitable[None]],
        bursts: Bursts,
        rng: random.Random,
    ) -> None:
        self.counts: Counter[str] = Counter()
        self._gateways = gateways
        self._replace_process = replace
        self._add = add
        self._publish = publish
        self._bursts = bursts
        self._rng = rng
        self._restarting: set[Gateway] = set()
        self._waiting_for_burst: set[asyncio.Task[None]] = set()
        self._actions: list[tuple[Action, int]] = [
            (self._pause, 4),
            (self._pause_long, 2),
            (self._lose, 2),
            (self._hold_up, 4),
            (self._slow_reads, 4),
            (self._kill, 2),
            (self._stop, 2),
            (self._replace, 3),
            (self._hang_up, 1),
            (self._change_configuration, 1),
        ]

    async def run(self, until: float) -> None:
        """Start series until the loop time `until`, then wait until they have ended."""
        loop = asyncio.get_running_loop()
        async with asyncio.TaskGroup() as group:
            while loop.time() < until:
                group.create_task(self._series())
                await asyncio.sleep(self._draw(SERIES_INTERVAL))
            for task in self._waiting_for_burst:
                task.cancel()

    async def lose_all_but_one(self) -> None:
        """Lose all hosts but one for good; the one that is left had neighbours."""
        zones = [gateway.zone for gateway in self._gateways]
        left = max(self._gateways, key=lambda gateway: zones.count(gateway.zone))
        lost = [gateway for gateway in self._gateways if gateway is not left]
        self.counts["lost_at_the_end"] += len(lost)
        for gateway in lost:
            self._gateways.remove(gateway)
        await asyncio.gather(*(gateway.close() for gateway in lost))

    def _draw(self, bounds: tuple[float, float]) -> float:
        return self._rng.uniform(*bounds)

    async def _series(self) -> None:
        """Apply one kind of fault to some gateways, shortly after each other."""
        actions, weights = zip(*self._actions, strict=True)
        action = self._rng.choices(actions, weights)[0]
        if self._rng.random() < 0.5:
            await self._wait_for_burst()
        most = max(1, len(self._gateways) // 2)
        affected = self._rng.sample(self._gateways, self._rng.randint(1, most))
        if self._rng.random() < 0.15:
            zone = affected[0].zone
            affected = [one for one in self._gateways if one.zone == zone]
        steps = []
        for gateway in affected:
            self.counts[action.__name__.strip("_")] += 1
            steps.append(asyncio.ensure_future(action(gateway)))
            await asyncio.sleep(self._draw(STEP_INTERVAL))
        await asyncio.gather(*steps)

    async def _wait_for_burst(self) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._waiting_for_burst.add(task)
        await self._bursts.next()
        self._waiting_for_burst.discard(task)
        await asyncio.sleep(self._draw(AFTER_BURST))

    async def _pause(self, gateway: Gateway) -> None:
        gateway.signal(signal.SIGSTOP)
        await asyncio.sleep(self._draw(PAUSE))
        gateway.signal(signal.SIGCONT)

    async def _pause_long(self, gateway: Gateway) -> None:
        gateway.signal(signal.SIGSTOP)
        await asyncio.sleep(self._draw(LONG_PAUSE))
        gateway.signal(signal.SIGCONT)

    async def _lose(self, gateway: Gateway) -> None:
        """Lose a host for good; another one takes its place later."""
        if gateway in self._restarting or gateway not in self._gateways:
            return
        self._restarting.add(gateway)
        self._gateways.remove(gateway)
        await gateway.close()
        await asyncio.sleep(self._draw(NEW_HOST_DELAY))
        await self._add(gateway.zone)

    async def _hold_up(self, gateway: Gateway) -> None:
        """Hold up the event loop again and again."""
        for _ in range(HOLD_UPS):
            gateway.signal(signal.SIGSTOP)
            await asyncio.sleep(self._draw(HOLD_UP))
            gateway.signal(signal.SIGCONT)
            await asyncio.sleep(self._draw(HOLD_UP))

    async def _slow_reads(self, gateway: Gateway) -> None:
        gateway.store_proxy.set_fault(ProxyFault.LATE, self._draw(SLOW_READ))
        await asyncio.sleep(self._draw(SLOW_READS_FOR))
        gateway.store_proxy.set_fault(ProxyFault.NONE)

    async def _kill(self, gateway: Gateway) -> None:
        await self._restart(gateway, gateway.kill)

    async def _stop(self, gateway: Gateway) -> None:
        await self._restart(gateway, gateway.stop_gracefully)

    async def _restart(
        self, gateway: Gateway, end: Callable[[], Awaitable[None]]
    ) -> None:
        if gateway in self._restarting:
            return
        self._restarting.add(gateway)
        try:
            await end()
            await asyncio.sleep(self._draw(RESTART_DELAY))
            await gateway.start()
        finally:
            self._restarting.discard(gateway)

    async def _replace(self, gateway: Gateway) -> None:
        """Start the next process at another address before the last has ended."""
        if gateway in self._restarting or gateway not in self._gateways:
            return
        self._restarting.add(gateway)
        if self._rng.random() < 0.5:
            gateway.signal(signal.SIGSTOP)
        await self._replace_process(gateway)
        await asyncio.sleep(self._draw(OVERLAP))
        gateway.signal(signal.SIGCONT)
        await asyncio.sleep(self._draw(OVERLAP))
        if self._rng.random() < 0.5:
            await gateway.stop_gracefully()
        await gateway.close()

    async def _hang_up(self, gateway: Gateway) -> None:
        await gateway.send_hangup()

    async def _change_configuration(self, gateway: Gateway) -> None:
        await self._publish()
