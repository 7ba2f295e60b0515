"""Test the translation of the store's protocol against a stand-in over HTTP."""

from __future__ import annotations

import unittest

from ...errors import Failure
from ...ids import Offset
from ...platform.store import PlatformLog
from ...storage.direct import DirectClient
from ...storage.keyed import (
    KeyedPage,
    KeyedRecord,
    ListedRecord,
    LogGap,
    NewestRecords,
    Partition,
    Writer,
)
from .http_store import HttpStore

PART = Partition(topic="keyed.test", number=3)


class StoreTests(unittest.IsolatedAsyncioTestCase):
    """Run the adapter's log on the stand-in."""

    async def asyncSetUp(self) -> None:
        """Start the stand-in."""
        self.http = HttpStore(page=2)
        await self.http.server.start("127.0.0.1", 0)
        address = ("127.0.0.1", self.http.server.port)
        self.log = PlatformLog(caller=DirectClient(address=address))

    async def asyncTearDown(self) -> None:
        """Stop the stand-in."""
        self.http.server.stop_accepting()
        self.http.server.abort()

    async def append(self, sequence: int, *records: KeyedRecord) -> Offset | Failure:
        """Append records under a sequence."""
        writer = Writer(name="w", epoch=1, sequence=sequence)
        return await self.log.append(PART, list(records), writer=writer)

    async def test_append_and_read(self) -> None:
        """Read what was appended, byte for byte."""
        records = [
            KeyedRecord(key="k1", value=b"\x00\x01\xff"),
            KeyedRecord(key="k2", value=b"x" * 5000),
        ]
        self.assertEqual(await self.append(0, *records), 0)
        page = await self.log.read(PART, Offset(0), wait=0)
        assert isinstance(page, KeyedPage)
        self.assertEqual(page.records, records)
        self.assertEqual((page.next, page.end), (2, 2))

    async def test_repeat(self) -> None:
        """Get the first answer for a repeated append."""
        record = KeyedRecord(key="k", value=b"v")
        first = await self.append(0, record)
        self.assertEqual(await self.append(0, record), first)
        self.assertEqual(len(self.http.store.newest(PART).records), 1)

    async def test_out_of_sequence(self) -> None:
        """Fail where the store refuses the sequence."""
        record = KeyedRecord(key="k", value=b"v")
        self.assertIsInstance(await self.append(5, record), int)
        self.assertIsInstance(await self.append(9, record), Failure)

    async def test_append_at_the_end(self) -> None:
        """Append under a condition only while nothing was written since."""
        record = KeyedRecord(key="k", value=b"v")
        self.assertIs(await self.log.append_at(PART, [record], end=Offset(0)), True)
        self.assertIs(await self.log.append_at(PART, [record], end=Offset(0)), False)
        self.http.status = 503
        refused = await self.log.append_at(PART, [record], end=Offset(1))
        self.assertIsInstance(refused, Failure)

    async def test_newest_in_pages(self) -> None:
        """Read the newest records over several pages."""
        records = [KeyedRecord(key=f"k{one}", value=b"v") for one in range(5)]
        await self.append(0, *records)
        newest = await self.log.newest(PART)
        assert isinstance(newest, NewestRecords)
        listed = [
            ListedRecord(key=one.key, value=one.value, offset=Offset(place))
            for place, one in enumerate(records)
        ]
        self.assertEqual(newest.records, listed)
        self.assertEqual(newest.resume, 5)

    async def test_history_dropped(self) -> None:
        """Tell records that are gone from a failure."""
        await self.append(0, KeyedRecord(key="k", value=b"v"))
        self.http.store.compact()
        page = await self.log.read(PART, Offset(0), wait=0)
        self.assertIs(page, LogGap.TRIMMED)

    async def test_busy(self) -> None:
        """Fail each call while the store refuses it."""
        self.http.status = 503
        record = KeyedRecord(key="k", value=b"v")
        self.assertIsInstance(await self.append(0, record), Failure)
        self.assertIsInstance(await self.log.newest(PART), Failure)
        read = await self.log.read(PART, Offset(0), wait=0)
        self.assertIsInstance(read, Failure)
