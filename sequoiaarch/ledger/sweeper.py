"""Remove the records of programs that can no longer come back."""

from __future__ import annotations

import asyncio
import random
import time
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass

import logbook

from ..errors import Failure
from ..ids import Offset
from ..storage.keyed import KeyedLog, KeyedRecord, ListedRecord, Newest, Partition
from .partition_map import PartitionMap
from .records import IndexRecord, decode_record

log = logbook.Logger("sweeper")

# Every partition is seen by some process about once in this time. Records stay
# for up to three times as long, 450 s: at 1 MB a second of new turns that is
# what the store may hold. Seconds.
ROUND_SECONDS = 150.0
# A program may come back at the end of its retention, and takes a moment to
# write its next record. Seconds.
MARGIN = 30.0
# The other processes must be known before the part of this one can be drawn: a
# process that took itself for the only one visited everything, 19 calls a
# second in place of one. Nothing can be due that early. Seconds.
FIRST_DRAW = 30.0
DROPPED_AT_ONCE = 500


@dataclass(kw_only=True)
class _Seen:
    """Hold the newest place of a group of records, and when it was first seen."""

    place: Offset
    at: float


class Sweeper:
    """Look through a part of the partitions in turn.

    Each process looks through a part that it draws by lot, about as much as
    makes the whole together with the others. So nobody has to agree on who
    does what, and what a lost process wrote is removed like all else. Clocks
    are never compared: a program is dropped when its newest place in the log
    was the same at two visits that lie further apart than it may pause. The
    store drops its records only if nothing was written since the second.
    """

    def __init__(
        self,
        *,
        log: KeyedLog,
        partition_map: PartitionMap,
        processes: Callable[[], int],
        rng: random.Random,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._log = log
        self._partition_map = partition_map
        self._processes = processes
        self._rng = rng
        self._clock = clock
        self._seen: dict[Partition, dict[str, _Seen]] = {}

    async def run(self) -> None:
        """Visit partitions for ever."""
        await asyncio.sleep(FIRST_DRAW)
        while True:
            part = self.draw()
            for _ in range(2):
                for partition in part:
                    await asyncio.sleep(ROUND_SECONDS / len(part))
                    await self.visit(partition)

    def draw(self) -> list[Partition]:
        """Return the partitions to visit in the next two rounds."""
        everything = self._partition_map.all
        count = max(1, len(everything) // max(1, self._processes()))
        self._seen.clear()
        return self._rng.sample(everything, count)

    async def visit(self, partition: Partition) -> int:
        """Drop what has ended in a partition; return how many records."""
        newest = await self._log.newest(partition)
        if isinstance(newest, Failure):
            return 0
        keys = self._ended(partition, newest)[:DROPPED_AT_ONCE]
        if not keys:
            return 0
        records = [KeyedRecord(key=key, value=b"") for key in keys]
        done = await self._log.append_at(partition, records, end=newest.resume)
        if done is not True:
            return 0
        log.info("removed {} records of ended programs from {}", len(keys), partition)
        return len(keys)

    def _ended(self, partition: Partition, newest: Newest) -> list[str]:
        """Return the keys of programs that have written nothing for long enough."""
        now = self._clock()
        before = self._seen.get(partition, {})
        seen = self._seen[partition] = {}
        ended: list[str] = []
        for group, records in _groups(newest.records).items():
            place = max(record.offset for record in records)
            known = before.get(group)
            if known is None or known.place != place:
                known = _Seen(place=place, at=now)
            seen[group] = known
            if known.at + _retention(records) + MARGIN < now:
                ended.extend(record.key for record in records)
        return ended


def _groups(records: list[ListedRecord]) -> dict[str, list[ListedRecord]]:
    """Return records that go together: those of a program, or one of the index."""
    groups: dict[str, list[ListedRecord]] = defaultdict(list)
    for record in records:
        decoded = decode_record(record.value)
        if decoded is None:
            continue
        alone = isinstance(decoded, IndexRecord)
        groups[record.key if alone else decoded.program].append(record)
    return groups


def _retention(records: list[ListedRecord]) -> float:
    decoded = [decode_record(record.value) for record in records]
    return max(one.retention for one in decoded if one is not None)
