"""Harm the links between gateways, by a seed."""

from __future__ import annotations

import asyncio
import random
from collections import Counter

import msgspec

from ....errors import Failure
from ....fleet.peers import TOPIC, PeerRecord
from ....ids import Offset
from ....standins.keyed_store import KeyedStore
from ....storage.keyed import KeyedRecord, Partition, Writer
from .gateways import Gateway
from .proxy import Harm

PAUSE = (0.1, 0.8)
HARMED = (0.3, 3.0)
# A gateway waits a tenth of a second for a delegate's first word. Seconds.
DELAY = (0.05, 0.6)
WEIGHTS = {
    Harm.DELAY: 3,
    Harm.LATE: 3,
    Harm.MUTE: 2,
    Harm.DEAF: 1,
    Harm.SILENT: 1,
    Harm.RESET: 1,
}


class ProxiedStore(KeyedStore):
    """Register each gateway at the address of its proxy."""

    def __init__(self) -> None:
        super().__init__()
        self.proxies: dict[str, str] = {}

    async def append(
        self, partition: Partition, records: list[KeyedRecord], writer: Writer
    ) -> Offset | Failure:
        """Append in the order of the writer's sequence."""
        if partition.topic == TOPIC:
            records = [self._moved(record) for record in records]
        return await super().append(partition, records, writer)

    def _moved(self, record: KeyedRecord) -> KeyedRecord:
        if not record.value:
            return record
        peer = msgspec.json.decode(record.value, type=PeerRecord)
        moved = msgspec.structs.replace(peer, address=self.proxies[record.key])
        return KeyedRecord(key=record.key, value=msgspec.json.encode(moved))


class LinkFaults:
    """Harm the ways to gateways, each for a while and over each other.

    They have lots of their own: the other faults of a seed stay as they are.
    """

    def __init__(self, *, gateways: list[Gateway], rng: random.Random) -> None:
        self.counts: Counter[str] = Counter()
        self._free = list(gateways)
        self._rng = rng

    async def run(self, until: float) -> None:
        """Begin harms until a time of the loop, when all of them end."""
        loop = asyncio.get_running_loop()
        async with asyncio.TaskGroup() as group:
            while (left := until - loop.time()) > 0:
                if self._free:
                    group.create_task(self._harm(left))
                await asyncio.sleep(min(left, self._rng.uniform(*PAUSE)))

    async def _harm(self, left: float) -> None:
        gateway = self._rng.choice(self._free)
        self._free.remove(gateway)
        harm = self._rng.choices(list(WEIGHTS), list(WEIGHTS.values()))[0]
        self.counts[f"link {harm.name.lower()}"] += 1
        gateway.from_peers.set(harm, self._rng.uniform(*DELAY))
        await asyncio.sleep(min(left, self._rng.uniform(*HARMED)))
        gateway.from_peers.set(Harm.NONE)
        self._free.append(gateway)
