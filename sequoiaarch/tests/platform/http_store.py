"""Stand in for the platform's store, over its own protocol."""

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

PAGE = 50


class HttpStore:
    """Speak the store's protocol before a store in memory."""

    def __init__(self, *, store: KeyedStore | None = None, page: int = PAGE) -> None:
        self.store = store or KeyedStore()
        self._page = page
        self.server = Server(handle=self._handle, limits=ServerLimits())
        # What one client of the store meets: a status other than 200, answers
        # that come so many seconds late, and a share that is lost.
        self.status = 200
        self.delay = 0.0
        self.loses: Callable[[], bool] = lambda: False

    async def _handle(self, message: RequestMessage, reply: ResponseWriter) -> None:
        url = urlsplit(message.target.decode())
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        part = Partition(topic=query["topic"], number=int(query["part"]))
        await asyncio.sleep(self.delay)
        if self.status != 200:
            await reply.send_response(self.status, [], b"")
        elif url.path == "/-/log-append":
            await self._append(part, query, message.body, reply)
        elif url.path == "/-/log-read":
            await self._read(part, query, reply)
        else:
            await self._newest(part, query, reply)

    async def _append(
        self, part: Partition, query: dict[str, str], body: bytes, reply: ResponseWriter
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
            await reply.send_response(200 if done_at else 412, [], b"{}")
            return
        writer = Writer(
            name=query["producer"],
            epoch=int(query["epoch"]),
            sequence=int(query["sequence"]),
        )
        done = await self.store.append(part, records, writer)
        if isinstance(done, Failure):
            await reply.send_response(409, [], json.dumps({"why": "seq"}).encode())
            return
        if self.loses():
            await asyncio.Event().wait()
        answer = {"offset": done, "endOffset": done + len(records)}
        await reply.send_response(200, [], json.dumps(answer).encode())

    async def _read(
        self, part: Partition, query: dict[str, str], reply: ResponseWriter
    ) -> None:
        start = Offset(int(query["from"]))
        wait = int(query.get("waitMs", "0")) / 1000
        page = await self.store.read(part, start, wait)
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
        self, part: Partition, query: dict[str, str], reply: ResponseWriter
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
            for one in left[: self._page]
        ]
        answer = {
            "items": items,
            "hasMore": len(left) > self._page,
            "endOffset": newest.resume,
        }
        await reply.send_response(200, [], json.dumps(answer).encode())
