"""Test the client of the platform's store against an HTTP stand-in."""

from __future__ import annotations

import unittest

from ...errors import ErrorKind, Failure
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

PARTITION = Partition(topic="keyed.test", number=3)


class StoreTests(unittest.IsolatedAsyncioTestCase):
    """Call the stand-in through the adapter's log."""

    async def asyncSetUp(self) -> None:
        """Start the stand-in."""
        self.http = HttpStore(page_size=2)
        await self.http.server.start("127.0.0.1", 0)
        address = ("127.0.0.1", self.http.server.port)
        self.log = PlatformLog(client=DirectClient(address=address))

    async def asyncTearDown(self) -> None:
        """Stop the stand-in."""
        self.http.server.stop_accepting()
        self.http.server.abort()

    async def append(self, sequence: int, *records: KeyedRecord) -> Offset | Failure:
        """Append records with a sequence number."""
        writer = Writer(name="w", epoch=1, sequence=sequence)
        return await self.log.append(PARTITION, list(records), writer=writer)

    async def test_append_and_read(self) -> None:
        """Read records exactly as they were appended."""
        records = [
            KeyedRecord(key="k1", value=b"\x00\x01\xff"),
            KeyedRecord(key="k2", value=b"x" * 5000),
        ]
        self.assertEqual(await self.append(0, *records), 0)
        page = await self.log.read(PARTITION, Offset(0), wait=0)
        assert isinstance(page, KeyedPage)
        self.assertEqual(page.records, records)
        self.assertEqual((page.next, page.end), (2, 2))

    async def test_key_is_too_long(self) -> None:
        """A key that the format can't hold ends all writing to its partition."""
        for size, stored in ((255, True), (256, False)):
            result = await self.append(0, KeyedRecord(key="k" * size, value=b"v"))
            self.assertEqual(not isinstance(result, Failure), stored)
            if isinstance(result, Failure):
                self.assertIs(result.kind, ErrorKind.MALFORMED)

    async def test_repeated_append(self) -> None:
        """Get the same offset for a repeated append."""
        record = KeyedRecord(key="k", value=b"v")
        first = await self.append(0, record)
        self.assertEqual(await self.append(0, record), first)
        self.assertEqual(len(self.http.store.newest(PARTITION).records), 1)

    async def test_out_of_sequence(self) -> None:
        """Fail if the store rejects the sequence number."""
        record = KeyedRecord(key="k", value=b"v")
        self.assertIsInstance(await self.append(5, record), int)
        self.assertIsInstance(await self.append(9, record), Failure)

    async def test_conditional_append(self) -> None:
        """Append only if nothing was written after the given end."""
        record = KeyedRecord(key="k", value=b"v")
        self.assertIs(
            await self.log.append_at(PARTITION, [record], end=Offset(0)), True
        )
        self.assertIs(
            await self.log.append_at(PARTITION, [record], end=Offset(0)), False
        )
        self.http.status = 503
        refused = await self.log.append_at(PARTITION, [record], end=Offset(1))
        self.assertIsInstance(refused, Failure)

    async def test_newest_over_several_pages(self) -> None:
        """Read the newest records over several pages."""
        records = [KeyedRecord(key=f"k{number}", value=b"v") for number in range(5)]
        await self.append(0, *records)
        newest = await self.log.newest(PARTITION)
        assert isinstance(newest, NewestRecords)
        listed = [
            ListedRecord(key=record.key, value=record.value, offset=Offset(offset))
            for offset, record in enumerate(records)
        ]
        self.assertEqual(newest.records, listed)
        self.assertEqual(newest.resume, 5)

    async def test_trimmed_records(self) -> None:
        """Report trimmed records as a gap, not as a failure."""
        await self.append(0, KeyedRecord(key="k", value=b"v"))
        self.http.store.compact()
        page = await self.log.read(PARTITION, Offset(0), wait=0)
        self.assertIs(page, LogGap.TRIMMED)

    async def test_rejected_calls(self) -> None:
        """Fail each call that the store answers with 503."""
        self.http.status = 503
        record = KeyedRecord(key="k", value=b"v")
        self.assertIsInstance(await self.append(0, record), Failure)
        self.assertIsInstance(await self.log.newest(PARTITION), Failure)
        read = await self.log.read(PARTITION, Offset(0), wait=0)
        self.assertIsInstance(read, Failure)
