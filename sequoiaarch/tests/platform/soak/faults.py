"""Inject overlapping faults in an order that the seed determines."""

from __future__ import annotations

import asyncio
import random
import signal
from collections import Counter
from collections.abc import Awaitable, Callable

from ....standins.keyed_store import KeyedStore
from .gateways import Gateway
from .proxy import CALLER_AND_STORE_FAULTS, ProxyFault
from .targets import SoakTarget, TargetFault

# Pairs are ranges of seconds.
START_INTERVAL = (0.1, 1.2)
SHORT_DURATION = (0.2, 1.5)
LONG_DURATION = (0.5, 4.0)
DRAIN_DURATION = (2.0, 10.0)
QUIET_DRAIN_FRACTION = 0.05
QUIET_DRAIN_SECONDS = 4.5
LOST_ANSWER_FRACTION = 0.35
PROXY_DELAY = 0.25

Action = Callable[[], Awaitable[None]]


class FaultInjector:
    """Inject faults into gateways, targets and the store.

    It tracks since when the store has been available to all gateways.
    """

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
        self.store_fault_ended_at = 0.0
        self._gateways = gateways
        self._targets = targets
        self._store = store
        self._rng = rng
        self._faulty_gateways: set[str] = set()
        self._active_store_faults = 0
        # Faults of the store itself, which all gateways see.
        self._store_unstable = 0
        self._store_stable_at = 0.0
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
        """Start faults until the loop time `until`, then wait until they have ended."""
        loop = asyncio.get_running_loop()
        actions, weights = zip(*self._actions, strict=True)
        while loop.time() < until:
            if self._rng.random() < QUIET_DRAIN_FRACTION:
                await self._drain_without_faults()
            action = self._rng.choices(actions, weights)[0]
            self.counts[action.__name__.strip("_")] += 1
            task = asyncio.create_task(action())
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(self._rng.uniform(*START_INTERVAL))
        await asyncio.gather(*self._tasks)

    def store_available_since(self) -> float:
        """Return the loop time since which every gateway can reach the store."""
        if self._active_store_faults:
            return float("inf")
        return self.store_fault_ended_at

    def store_stable_since(self) -> float:
        """Return the loop time since which the store itself has had no fault."""
        return float("inf") if self._store_unstable else self._store_stable_at

    def undisturbed_since(self) -> float:
        """Return the loop time of the last kill or store fault."""
        return max(
            self.store_available_since(),
            *(gateway.killed_at for gateway in self._gateways),
        )

    def _choose_gateway(self) -> Gateway | None:
        """Return a random gateway whose process has no active fault."""
        available = [
            gateway
            for gateway in self._gateways
            if gateway.name not in self._faulty_gateways
        ]
        return self._rng.choice(available) if available else None

    async def _kill(self) -> None:
        gateway = self._choose_gateway()
        if gateway is not None:
            await self._restart(gateway, gateway.kill)

    async def _stop(self) -> None:
        gateway = self._choose_gateway()
        if gateway is not None:
            await self._restart(gateway, gateway.stop_gracefully)

    async def _restart(self, gateway: Gateway, end: Action) -> None:
        self._faulty_gateways.add(gateway.name)
        try:
            await end()
            await asyncio.sleep(self._rng.uniform(*SHORT_DURATION))
            await gateway.start()
        finally:
            self._faulty_gateways.discard(gateway.name)

    async def _kill_all(self) -> None:
        available = [
            gateway
            for gateway in self._gateways
            if gateway.name not in self._faulty_gateways
        ]
        await asyncio.gather(
            *(self._restart(gateway, gateway.kill) for gateway in available)
        )

    async def _hang_up(self) -> None:
        gateway = self._choose_gateway()
        if gateway is not None:
            await gateway.send_hangup()

    async def _freeze(self) -> None:
        gateway = self._choose_gateway()
        if gateway is None:
            return
        self._faulty_gateways.add(gateway.name)
        self._begin_store_fault()
        gateway.store_away()
        gateway.record_disturbance()
        gateway.signal(signal.SIGSTOP)
        await asyncio.sleep(self._rng.uniform(*LONG_DURATION))
        gateway.signal(signal.SIGCONT)
        gateway.record_disturbance()
        gateway.store_back()
        self._end_store_fault()
        self._faulty_gateways.discard(gateway.name)

    async def _harm_callers(self) -> None:
        gateway = self._rng.choice(self._gateways)
        fault = self._rng.choice(CALLER_AND_STORE_FAULTS)
        gateway.record_disturbance()
        gateway.caller_proxy.set_fault(fault, PROXY_DELAY)
        await asyncio.sleep(self._rng.uniform(*SHORT_DURATION))
        gateway.caller_proxy.set_fault(ProxyFault.NONE)
        gateway.record_disturbance()

    async def _store_away_for_one(self) -> None:
        await self._store_away([self._rng.choice(self._gateways)])

    async def _store_away_for_all(self) -> None:
        await self._store_away(self._gateways)

    async def _store_away(self, gateways: list[Gateway]) -> None:
        fault = self._rng.choice([*CALLER_AND_STORE_FAULTS, None, None])
        self._begin_store_fault()
        for_all = len(gateways) > 1
        self._store_unstable += for_all
        for gateway in gateways:
            gateway.store_away()
            if fault is None:
                gateway.store_server.status = self._rng.choice((503, 429))
            else:
                gateway.store_proxy.set_fault(fault, PROXY_DELAY)
        await asyncio.sleep(self._rng.uniform(*LONG_DURATION))
        for gateway in gateways:
            gateway.store_server.status = 200
            gateway.store_proxy.set_fault(ProxyFault.NONE)
            gateway.store_back()
        self._end_store_fault()
        self._end_instability(for_all)

    async def _store_loses_answers(self) -> None:
        self._begin_store_fault()
        self._store_unstable += 1
        for gateway in self._gateways:
            gateway.store_server.drops_answer = lambda: (
                self._rng.random() < LOST_ANSWER_FRACTION
            )
        await asyncio.sleep(self._rng.uniform(*LONG_DURATION))
        for gateway in self._gateways:
            gateway.store_server.drops_answer = lambda: False
        self._end_store_fault()
        self._end_instability(True)

    async def _store_forgets(self) -> None:
        self._store.compact()

    async def _target_trouble(self) -> None:
        target = self._rng.choice(self._targets)
        target.fault = self._rng.choice(list(TargetFault))
        await asyncio.sleep(self._rng.uniform(*LONG_DURATION))
        target.fault = TargetFault.NONE

    async def _target_drains(self) -> None:
        target = self._rng.choice(self._targets)
        await target.drain()
        await asyncio.sleep(self._rng.uniform(*DRAIN_DURATION))
        await target.replace()

    async def _drain_without_faults(self) -> None:
        """Wait until all faults have ended, then drain a target.

        Gateways learn of a drain from the store, so that only without store faults
        they must stop sending requests in time.
        """
        await asyncio.gather(*self._tasks)
        target = self._rng.choice(self._targets)
        await target.drain()
        await asyncio.sleep(QUIET_DRAIN_SECONDS)
        await target.replace()

    def _end_instability(self, ended: bool) -> None:
        self._store_unstable -= ended
        if ended:
            self._store_stable_at = asyncio.get_running_loop().time()

    def _begin_store_fault(self) -> None:
        self._active_store_faults += 1

    def _end_store_fault(self) -> None:
        self._active_store_faults -= 1
        self.store_fault_ended_at = asyncio.get_running_loop().time()
