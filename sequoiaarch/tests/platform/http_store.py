"""Serve an in-memory store over the protocol of the platform's store."""

from __future__ import annotations

import asyncio
import base64
import json
from collections.abc import Callable
from urllib.parse import parse_qs, urlsplit

from ...errors import Failure
from ...http1.messages import RequestMessage
from ...http1.server import Server
from ...http1.server_connection import ResponseWriter, ServerLimits
from ...ids import Offset
from ...standins.keyed_store import KeyedStore
from ...storage.keyed import KeyedRecord, LogGap, Partition, Writer

PAGE_SIZE = 50


class HttpStore:
    """HTTP server for one client of a store in memory, with faults."""

    def __init__(
        self, *, store: KeyedStore | None = None, page_size: int = PAGE_SIZE
    ) -> None:
        self.store = store or KeyedStore()
        self._page_size = page_size
        self.server = Server(handle=self._handle, limits=ServerLimits())
        # Faults: a status other than 200, a delay of each call in seconds, and
        # appends that are carried out but not answered.
        self.status = 200
        self.delay = 0.0
        self.drops_answer: Callable[[], bool] = lambda: False

    async def _handle(self, message: RequestMessage, reply: ResponseWriter) -> None:
        url = urlsplit(message.target.decode())
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        partition = Partition(topic=query["topic"], number=int(query["part"]))
        await asyncio.sleep(self.delay)
        if self.status != 200:
            await reply.send_response(self.status, [], b"")
        elif url.path == "/-/log-append":
            await self._append(partition, query, message.body, reply)
        elif url.path == "/-/log-read":
            await self._read(partition, query, reply)
        else:
            await self._newest(partition, query, reply)

    async def _append(
        self,
        partition: Partition,
        query: dict[str, str],
        body: bytes,
        reply: ResponseWriter,
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
            accepted = await self.store.append_at(partition, records, end)
            await reply.send_response(200 if accepted else 412, [], b"{}")
            return
        writer = Writer(
            name=query["producer"],
            epoch=int(query["epoch"]),
            sequence=int(query["sequence"]),
        )
        offset = await self.store.append(partition, records, writer)
        if isinstance(offset, Failure):
            await reply.send_response(409, [], json.dumps({"why": "seq"}).encode())
            return
        if self.drops_answer():
            await asyncio.Event().wait()
        answer = {"offset": offset, "endOffset": offset + len(records)}
        await reply.send_response(200, [], json.dumps(answer).encode())

    async def _read(
        self, partition: Partition, query: dict[str, str], reply: ResponseWriter
    ) -> None:
        start = Offset(int(query["from"]))
        wait = int(query.get("waitMs", "0")) / 1000
        page = await self.store.read(partition, start, wait)
        if isinstance(page, LogGap):
            await reply.send_response(410, [], json.dumps({"firstOffset": 9}).encode())
            return
        body = page.end.to_bytes(8, "big") + (0).to_bytes(8, "big")
        for record in page.records:
            key = record.key.encode()
            content = bytes([len(key)]) + key + record.value
            body += len(content).to_bytes(4, "big") + content
        await reply.send_response(200, [], body)

    async def _newest(
        self, partition: Partition, query: dict[str, str], reply: ResponseWriter
    ) -> None:
        newest = self.store.newest(partition)
        after = query.get("after", "")
        remaining = sorted(
            (record for record in newest.records if record.key > after),
            key=lambda record: record.key,
        )
        items = [
            {
                "key": record.key,
                "value": base64.b64encode(record.value).decode(),
                "offset": record.offset,
            }
            for record in remaining[: self._page_size]
        ]
        answer = {
            "items": items,
            "hasMore": len(remaining) > self._page_size,
            "endOffset": newest.resume,
        }
        await reply.send_response(200, [], json.dumps(answer).encode())
