"""Remove the records of programs that can no longer resume."""

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
from ..storage.keyed import (
    KeyedLog,
    KeyedRecord,
    ListedRecord,
    NewestRecords,
    Partition,
)
from .partition_map import PartitionMap
from .records import IndexRecord, decode_record

log = logbook.Logger("sweeper")

# Interval in which each partition is visited about once by some process; ended records
# stay for up to three intervals, 450 s: at 1 MB a second of new turns the store can't
# hold more. Seconds.
ROUND_SECONDS = 150.0
# Time beyond the retention in which a resumed program writes its next record. Seconds.
EXPIRY_MARGIN = 30.0
# Delay of the first round, until the other processes are known: the sample of this
# process depends on their number. Seconds.
START_DELAY = 30.0
MAX_DELETES = 500


@dataclass(kw_only=True)
class _GroupState:
    """Newest offset of a group of records, and the time at which it was first seen."""

    offset: Offset
    first_seen: float


class Sweeper:
    """Remove ended programs from a random sample of the partitions.

    Each process draws a sample of such a size that all processes together cover every
    partition about once, without coordination. Clocks of different processes are never
    compared: a program has ended if its newest offset was the same at two visits
    further apart than its retention. The store removes the records only if nothing was
    written after the second visit.
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
        self._states: dict[Partition, dict[str, _GroupState]] = {}

    async def run(self) -> None:
        """Visit partitions until cancelled."""
        await asyncio.sleep(START_DELAY)
        while True:
            sample = self.sample_partitions()
            for _ in range(2):
                for partition in sample:
                    await asyncio.sleep(ROUND_SECONDS / len(sample))
                    await self.visit(partition)

    def sample_partitions(self) -> list[Partition]:
        """Return the partitions to visit in the next two rounds."""
        partitions = self._partition_map.all_partitions
        count = max(1, len(partitions) // max(1, self._processes()))
        self._states.clear()
        return self._rng.sample(partitions, count)

    async def visit(self, partition: Partition) -> int:
        """Remove ended programs from a partition; return the number of records."""
        newest = await self._log.newest(partition)
        if isinstance(newest, Failure):
            return 0
        keys = self._ended(partition, newest)[:MAX_DELETES]
        if not keys:
            return 0
        records = [KeyedRecord(key=key, value=b"") for key in keys]
        removed = await self._log.append_at(partition, records, end=newest.resume)
        if removed is not True:
            return 0
        log.info("removed {} records of ended programs from {}", len(keys), partition)
        return len(keys)

    def _ended(self, partition: Partition, newest: NewestRecords) -> list[str]:
        """Return the keys of programs that have written nothing for long enough."""
        now = self._clock()
        previous = self._states.get(partition, {})
        states = self._states[partition] = {}
        ended: list[str] = []
        for group, records in _groups(newest.records).items():
            offset = max(record.offset for record in records)
            state = previous.get(group)
            if state is None or state.offset != offset:
                state = _GroupState(offset=offset, first_seen=now)
            states[group] = state
            if state.first_seen + _retention(records) + EXPIRY_MARGIN < now:
                ended.extend(record.key for record in records)
        return ended


def _groups(records: list[ListedRecord]) -> dict[str, list[ListedRecord]]:
    """Group records that expire together: those of a program, or one index record."""
    groups: dict[str, list[ListedRecord]] = defaultdict(list)
    for record in records:
        decoded = decode_record(record.value)
        if decoded is None:
            continue
        is_index = isinstance(decoded, IndexRecord)
        groups[record.key if is_index else decoded.program].append(record)
    return groups


def _retention(records: list[ListedRecord]) -> float:
    decoded = [decode_record(record.value) for record in records]
    return max(record.retention for record in decoded if record is not None)
