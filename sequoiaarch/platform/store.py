"""Speak the store's protocol for keyed topics."""

from __future__ import annotations

import base64
from urllib.parse import urlencode

import logbook
import msgspec

from ..errors import ErrorKind, Failure
from ..ids import Offset
from ..storage.calls import StoreCall, StoreClient, StoreReply, unavailable
from ..storage.keyed import (
    KeyedPage,
    KeyedRecord,
    ListedRecord,
    LogGap,
    NewestRecords,
    Partition,
    Writer,
)

log = logbook.Logger("store")

LENGTH_BYTES = 4
HEAD_BYTES = 16
READ_KIB = 1024
# Seconds. A slow store needs 0.3 s for an answer; a lost answer never comes.
APPEND_TIMEOUT = 1.2
READ_TIMEOUT = 1.0
PAGE_TIMEOUT = 2.0
WAIT_MARGIN = 0.8


# What an answer must hold has no default: an object that lacks it would be taken
# for an empty list, and a turn that is kept for one that never was.
class _Appended(msgspec.Struct, rename="camel", kw_only=True):
    offset: int


class _Item(msgspec.Struct, kw_only=True):
    key: str
    value: str
    offset: int


class _Items(msgspec.Struct, rename="camel", kw_only=True):
    items: list[_Item]
    end_offset: int
    has_more: bool = False


class PlatformLog:
    """Append to and read from keyed topics of the platform's store."""

    def __init__(self, *, caller: StoreClient) -> None:
        self._caller = caller

    async def append(
        self, partition: Partition, records: list[KeyedRecord], *, writer: Writer
    ) -> Offset | Failure:
        """Append all records or none; return the offset of the first."""
        call = _append_call(
            partition,
            records,
            producer=writer.name,
            epoch=writer.epoch,
            sequence=writer.sequence,
        )
        reply = await self._caller.call(call)
        if isinstance(reply, Failure):
            return reply
        if reply.status != 200:
            return _refused(call, reply)
        try:
            return Offset(msgspec.json.decode(reply.body, type=_Appended).offset)
        except ValueError as error:
            return _unreadable(call, error)

    async def append_at(
        self, partition: Partition, records: list[KeyedRecord], *, end: Offset
    ) -> bool | Failure:
        """Append if the partition still ends there; return whether it did."""
        call = _append_call(partition, records, asOf=end)
        reply = await self._caller.call(call)
        if isinstance(reply, Failure):
            return reply
        if reply.status == 412:
            return False
        return True if reply.status == 200 else _refused(call, reply)

    async def read(
        self, partition: Partition, start: Offset, *, wait: float
    ) -> KeyedPage | LogGap | Failure:
        """Read from an offset, waiting up to `wait` seconds for a record."""
        query = {
            "topic": partition.topic,
            "part": partition.number,
            "from": start,
            "maxKb": READ_KIB,
        }
        if wait:
            query["waitMs"] = int(wait * 1000)
        call = StoreCall(
            method="GET",
            path=f"/-/log-read?{urlencode(query)}",
            timeout=wait + (WAIT_MARGIN if wait else READ_TIMEOUT),
            waits=wait > 0,
        )
        reply = await self._caller.call(call)
        if isinstance(reply, Failure):
            return reply
        if reply.status == 410:
            return LogGap.TRIMMED
        if reply.status != 200:
            return _refused(call, reply)
        try:
            return _page(start, reply.body)
        except ValueError as error:
            return _unreadable(call, error)

    async def newest(self, partition: Partition) -> NewestRecords | Failure:
        """Read the newest record of each key."""
        records: list[ListedRecord] = []
        resume: int | None = None
        after = ""
        while True:
            query = {"topic": partition.topic, "part": partition.number}
            if after:
                query["after"] = after
            call = StoreCall(
                method="GET",
                path=f"/-/log-newest?{urlencode(query)}",
                timeout=PAGE_TIMEOUT,
            )
            reply = await self._caller.call(call)
            if isinstance(reply, Failure):
                return reply
            if reply.status == 404:
                return NewestRecords(records=[], resume=Offset(0))
            if reply.status != 200:
                return _refused(call, reply)
            try:
                page = msgspec.json.decode(reply.body, type=_Items)
            except ValueError as error:
                return _unreadable(call, error)
            if resume is None:
                resume = page.end_offset
            records += [one for one in map(_listed, page.items) if one is not None]
            if not page.has_more or not page.items:
                return NewestRecords(records=records, resume=Offset(resume))
            after = page.items[-1].key


def _append_call(
    partition: Partition, records: list[KeyedRecord], **terms: str | int
) -> StoreCall:
    place = {"topic": partition.topic, "part": partition.number}
    return StoreCall(
        method="POST",
        path=f"/-/log-append?{urlencode({**place, **terms})}",
        body=b"".join(_frame(record) for record in records),
        timeout=APPEND_TIMEOUT,
    )


def _frame(record: KeyedRecord) -> bytes:
    key = record.key.encode()
    content = bytes([len(key)]) + key + record.value
    return len(content).to_bytes(LENGTH_BYTES, "big") + content


def _page(start: Offset, body: bytes) -> KeyedPage:
    """Return the records of a page; raises ValueError where it is cut."""
    if len(body) < HEAD_BYTES:
        raise ValueError(f"a page of {len(body)} bytes has no head")
    end = int.from_bytes(body[:8], "big")
    records: list[KeyedRecord] = []
    place = HEAD_BYTES
    while place + LENGTH_BYTES <= len(body):
        length = int.from_bytes(body[place : place + LENGTH_BYTES], "big")
        place += LENGTH_BYTES
        if place + length > len(body):
            raise ValueError("a record is cut")
        records.append(_keyed(body[place : place + length]))
        place += length
    return KeyedPage(start=start, end=Offset(end), records=records)


def _keyed(content: bytes) -> KeyedRecord:
    """Return a record; one whose key can't be read keeps its place, no more."""
    key_length = content[0] if content else 0
    try:
        key = content[1 : 1 + key_length].decode()
    except UnicodeDecodeError:
        log.warning("a record whose key is no text is passed over")
        return KeyedRecord(key="", value=b"")
    return KeyedRecord(key=key, value=content[1 + key_length :])


def _listed(item: _Item) -> ListedRecord | None:
    try:
        value = base64.b64decode(item.value, validate=True)
    except ValueError as error:
        log.warning("record {} can't be read and is passed over: {}", item.key, error)
        return None
    return ListedRecord(key=item.key, value=value, offset=Offset(item.offset))


def _unreadable(call: StoreCall, error: ValueError) -> Failure:
    return unavailable(call, f"the answer can't be read: {error}")


def _refused(call: StoreCall, reply: StoreReply) -> Failure:
    path = call.path.partition("?")[0]
    reason = f"{path} answered {reply.status} {reply.body[:80]!r}"
    return Failure(kind=ErrorKind.LOG_UNAVAILABLE, reason=reason)
