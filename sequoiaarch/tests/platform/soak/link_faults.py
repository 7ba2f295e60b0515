"""Inject faults into the links between gateways."""

from __future__ import annotations

import asyncio
import random
from collections import Counter

from .gateways import Gateway
from .proxy import ProxyFault

START_INTERVAL = (0.1, 0.8)
FAULT_DURATION = (0.3, 3.0)
# Seconds; below and above the 0.1 s for which gateways wait for a delegate.
DELAY = (0.05, 0.6)
FAULT_WEIGHTS = {
    ProxyFault.DELAY: 3,
    ProxyFault.LATE: 3,
    ProxyFault.MUTE: 2,
    ProxyFault.DEAF: 1,
    ProxyFault.SILENT: 1,
    ProxyFault.RESET: 1,
}


class LinkFaults:
    """Inject overlapping faults into the links from other gateways.

    It has its own random generator, so that the other faults of a seed don't depend
    on it.
    """

    def __init__(self, *, gateways: list[Gateway], rng: random.Random) -> None:
        self.counts: Counter[str] = Counter()
        self._unaffected_gateways = list(gateways)
        self._rng = rng

    async def run(self, until: float) -> None:
        """Start faults until the loop time `until`, when all of them end."""
        loop = asyncio.get_running_loop()
        async with asyncio.TaskGroup() as group:
            while (remaining := until - loop.time()) > 0:
                if self._unaffected_gateways:
                    group.create_task(self._apply_fault(remaining))
                await asyncio.sleep(min(remaining, self._rng.uniform(*START_INTERVAL)))

    async def _apply_fault(self, remaining: float) -> None:
        gateway = self._rng.choice(self._unaffected_gateways)
        self._unaffected_gateways.remove(gateway)
        fault = self._rng.choices(list(FAULT_WEIGHTS), list(FAULT_WEIGHTS.values()))[0]
        self.counts[f"link {fault.name.lower()}"] += 1
        gateway.peer_proxy.set_fault(fault, self._rng.uniform(*DELAY))
        await asyncio.sleep(min(remaining, self._rng.uniform(*FAULT_DURATION)))
        gateway.peer_proxy.set_fault(ProxyFault.NONE)
        self._unaffected_gateways.append(gateway)
