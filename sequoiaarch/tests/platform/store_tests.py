"""Test the translation of the store's protocol against a stand-in over HTTP."""

from __future__ import annotations

import base64
import json
import unittest
from urllib.parse import parse_qs, urlsplit

from ...errors import Failure
from ...http1.messages import RequestMessage
from ...http1.server import Reply, Server, ServerLimits
from ...ids import Offset
from ...platform.store import PlatformLog
from ...standins.keyed_store import KeyedStore
from ...storage.direct import DirectCaller
from ...storage.keyed import (
    KeyedPage,
    KeyedRecord,
    ListedRecord,
    LogGap,
    Newest,
    Partition,
    Writer,
)

PART = Partition(topic="keyed.test", number=3)
PAGE = 2


class HttpStore:
    """Speak the store's protocol before a store in memory."""

    def __init__(self) -> None:
        self.store = KeyedStore()
        self.server = Server(handle=self._handle, limits=ServerLimits())
        self.status = 200

    async def _handle(self, message: RequestMessage, reply: Reply) -> None:
        url = urlsplit(message.target.decode())
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        part = Partition(topic=query["topic"], number=int(query["part"]))
        if self.status != 200:
            await reply.whole(self.status, [], b"")
        elif url.path == "/-/log-append":
            await self._append(part, query, message.body, reply)
        elif url.path == "/-/log-read":
            await self._read(part, query, reply)
        else:
            await self._newest(part, query, reply)

    async def _append(
        self, part: Partition, query: dict[str, str], body: bytes, reply: Reply
    ) -> None:
        records = []
        while body:
            length = int.from_bytes(body[:4], "big")
            content, body = body[4 : 4 + length], body[4 + length :]
            key_length = content[0]
            key = content[1 : 1 + key_length].decode()
            records.append(KeyedRecord(key=key, value=content[1 + key_length :]))
        if "asOf" in query:
            end = Offset(int(query["asOf"]))
            done_at = await self.store.append_at(part, records, end)
            await reply.whole(200 if done_at else 412, [], b"{}")
            return
        writer = Writer(
            name=query["producer"],
            epoch=int(query["epoch"]),
            sequence=int(query["sequence"]),
        )
        done = await self.store.append(part, records, writer)
        if isinstance(done, Failure):
            await reply.whole(409, [], json.dumps({"why": "seq"}).encode())
            return
        answer = {"offset": done, "endOffset": done + len(records)}
        await reply.whole(200, [], json.dumps(answer).encode())

    async def _read(self, part: Partition, query: dict[str, str], reply: Reply) -> None:
        start = Offset(int(query["from"]))
        wait = int(query.get("waitMs", "0")) / 1000
        page = await self.store.read(part, start, wait)
        if isinstance(page, LogGap):
            await reply.whole(410, [], json.dumps({"firstOffset": 9}).encode())
            return
        body = page.end.to_bytes(8, "big") + (0).to_bytes(8, "big")
        for record in page.records:
            key = record.key.encode()
            content = bytes([len(key)]) + key + record.value
            body += len(content).to_bytes(4, "big") + content
        await reply.whole(200, [], body)

    async def _newest(
        self, part: Partition, query: dict[str, str], reply: Reply
    ) -> None:
        newest = self.store.newest(part)
        after = query.get("after", "")
        left = sorted(
            (one for one in newest.records if one.key > after),
            key=lambda one: one.key,
        )
        items = [
            {
                "key": one.key,
                "value": base64.b64encode(one.value).decode(),
                "offset": one.offset,
            }
            for one in left[:PAGE]
        ]
        answer = {
            "items": items,
            "hasMore": len(left) > PAGE,
            "endOffset": newest.resume,
        }
        await reply.whole(200, [], json.dumps(answer).encode())


class StoreTests(unittest.IsolatedAsyncioTestCase):
    """Run the adapter's log on the stand-in."""

    async def asyncSetUp(self) -> None:
        """Start the stand-in."""
        self.http = HttpStore()
        await self.http.server.start("127.0.0.1", 0)
        address = ("127.0.0.1", self.http.server.port)
        self.log = PlatformLog(caller=DirectCaller(address=address))

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
        assert isinstance(newest, Newest)
        listed = [
            ListedRecord(key=one.key, value=one.value, offset=Offset(place))
            for place, one in enumerate(records)
        ]
        self.assertEqual(newest.records, listed)
        self.assertEqual(newest.resume, 5)

    async def test_history_dropped(self) -> None:
        """Tell records that are gone from a failure."""
        await self.append(0, KeyedRecord(key="k", value=b"v"))
        self.http.store.forget_history()
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
