"""Write registrations that can't be read beside those of the targets."""

from __future__ import annotations

import asyncio
import json
import random
from collections import Counter

from ....standins.keyed_store import KeyedStore
from ..deployment import registration
from .targets import TOPIC

INTERVAL = (0.3, 1.5)
# Lists within each other; a decoder recurses into them.
NESTING = 1500
# More than the length of a key's format allows for the keys derived from it.
LONG_ID = "l" * 250


class BadRecords:
    """Write invalid and absurd registrations, as other writers may."""

    def __init__(self, *, store: KeyedStore, rng: random.Random) -> None:
        self.counts: Counter[str] = Counter()
        self._store = store
        self._rng = rng

    async def run(self, until: float) -> None:
        """Write records until the loop time `until`."""
        loop = asyncio.get_running_loop()
        number = 0
        while (remaining := until - loop.time()) > 0:
            await asyncio.sleep(min(remaining, self._rng.uniform(*INTERVAL)))
            number += 1
            self.counts["bad registration"] += 1
            key = self._rng.choice((f"i-bad-{number}", LONG_ID))
            await self._store.put(TOPIC, key, self._rng.choice(self._values()))

    def _values(self) -> list[bytes]:
        valid = registration("tools", "127.0.0.1:1")
        absurd = {"slots": -1, "born": -1, "state": "on fire", "address": "nowhere:0"}
        return [
            b"\xff\xfe{",
            b'{"x":' + b"[" * NESTING + b"]" * NESTING + b"}",
            *(
                json.dumps({**valid, name: value}).encode()
                for name, value in absurd.items()
            ),
        ]
