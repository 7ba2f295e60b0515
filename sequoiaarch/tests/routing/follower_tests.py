"""Test following the changes of a topic."""

from __future__ import annotations

import asyncio
import unittest
from collections.abc import Sequence

from ...errors import Failure
from ...ids import Offset
from ...routing.follower import TopicFollower
from ...storage.keyed import (
    KeyedPage,
    KeyedRecord,
    LogGap,
    NewestRecords,
    Partition,
    Writer,
)


class _PagedLog:
    """Log with three records that returns one record for each read."""

    def __init__(self) -> None:
        self.records = [KeyedRecord(key=key, value=b"x") for key in "abc"]

    async def newest(self, partition: Partition) -> NewestRecords | Failure:
        """Return an empty list, so that all records are read one by one."""
        return NewestRecords(records=[], resume=Offset(0))

    async def read(
        self, partition: Partition, start: Offset, *, wait: float
    ) -> KeyedPage | LogGap | Failure:
        """Return the next record; wait for ever at the end."""
        if start == len(self.records):
            await asyncio.Event().wait()
        records = self.records[start : start + 1]
        return KeyedPage(start=start, end=Offset(len(self.records)), records=records)

    async def append(
        self, partition: Partition, records: list[KeyedRecord], *, writer: Writer
    ) -> Offset | Failure:
        """Reject the call, as a follower only reads."""
        raise NotImplementedError

    async def append_at(
        self, partition: Partition, records: list[KeyedRecord], *, end: Offset
    ) -> bool | Failure:
        """Reject the call, as a follower only reads."""
        raise NotImplementedError


class TopicFollowerTests(unittest.IsolatedAsyncioTestCase):
    """Test as of when a topic is known."""

    async def test_page_ends_before_the_topic(self) -> None:
        """Count a view as renewed only by a read up to the end of the topic."""
        seen: list[str] = []
        seen_at_renewal: list[int] = []

        def replace(records: Sequence[KeyedRecord]) -> None:
            seen.clear()

        follower = TopicFollower(
            log=_PagedLog(),
            topic="topic",
            replace=replace,
            apply=lambda record: seen.append(record.key),
            on_read=lambda since: seen_at_renewal.append(len(seen)),
        )
        task = asyncio.create_task(follower.follow())
        async with asyncio.timeout(5.0):
            while len(seen) < 3:
                await asyncio.sleep(0)
        task.cancel()
        self.assertEqual(seen_at_renewal, [0, 3])
