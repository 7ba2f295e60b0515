"""Client of the store's HTTP protocol for keyed topics."""

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

FRAME_LENGTH_BYTES = 4
# The length of a key takes one byte.
MAX_KEY_BYTES = 255
# Statuses of calls that the store never carries out, however often they are repeated.
PERMANENT_STATUSES = {400: ErrorKind.MALFORMED, 413: ErrorKind.TOO_LARGE}
PAGE_HEADER_BYTES = 16
MAX_READ_KIB = 1024
# Seconds; well above the response time of a slow store.
APPEND_TIMEOUT = 1.2
READ_TIMEOUT = 1.0
PAGE_TIMEOUT = 2.0
LONG_POLL_MARGIN = 0.8


# Required fields have no defaults: otherwise a malformed response would be taken for
# an empty list, and a retained turn for one that doesn't exist.
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
    """Keyed log in the platform's store."""

    def __init__(self, *, client: StoreClient) -> None:
        self._client = client

    async def append(
        self, partition: Partition, records: list[KeyedRecord], *, writer: Writer
    ) -> Offset | Failure:
        """Append all records or none; return the offset of the first."""
        too_long = [record for record in records if not _has_valid_key(record)]
        if too_long:
            reason = f"a key of {len(too_long[0].key.encode())} bytes is too long"
            return Failure(kind=ErrorKind.MALFORMED, reason=reason)
        call = _append_call(
            partition,
            records,
            producer=writer.name,
            epoch=writer.epoch,
            sequence=writer.sequence,
        )
        reply = await self._client.call(call)
        if isinstance(reply, Failure):
            return reply
        if reply.status != 200:
            kind = PERMANENT_STATUSES.get(reply.status, ErrorKind.LOG_UNAVAILABLE)
            failure = _unexpected_status(call, reply)
            return msgspec.structs.replace(failure, kind=kind)
        try:
            return Offset(msgspec.json.decode(reply.body, type=_Appended).offset)
        except ValueError as error:
            return _invalid_body(call, error)

    async def append_at(
        self, partition: Partition, records: list[KeyedRecord], *, end: Offset
    ) -> bool | Failure:
        """Append if the partition still ends at `end`; return whether it did."""
        call = _append_call(partition, records, asOf=end)
        reply = await self._client.call(call)
        if isinstance(reply, Failure):
            return reply
        if reply.status == 412:
            return False
        return True if reply.status == 200 else _unexpected_status(call, reply)

    async def read(
        self, partition: Partition, start: Offset, *, wait: float
    ) -> KeyedPage | LogGap | Failure:
        """Read from an offset, waiting up to `wait` seconds for a record."""
        query = {
            "topic": partition.topic,
            "part": partition.number,
            "from": start,
            "maxKb": MAX_READ_KIB,
        }
        if wait:
            query["waitMs"] = int(wait * 1000)
        call = StoreCall(
            method="GET",
            path=f"/-/log-read?{urlencode(query)}",
            timeout=wait + (LONG_POLL_MARGIN if wait else READ_TIMEOUT),
            waits=wait > 0,
        )
        reply = await self._client.call(call)
        if isinstance(reply, Failure):
            return reply
        if reply.status == 410:
            return LogGap.TRIMMED
        if reply.status != 200:
            return _unexpected_status(call, reply)
        try:
            return _decode_page(start, reply.body)
        except ValueError as error:
            return _invalid_body(call, error)

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
            reply = await self._client.call(call)
            if isinstance(reply, Failure):
                return reply
            if reply.status == 404:
                return NewestRecords(records=[], resume=Offset(0))
            if reply.status != 200:
                return _unexpected_status(call, reply)
            try:
                page = msgspec.json.decode(reply.body, type=_Items)
            except ValueError as error:
                return _invalid_body(call, error)
            if resume is None:
                resume = page.end_offset
            records += [
                record for record in map(_decode_item, page.items) if record is not None
            ]
            if not page.has_more or not page.items:
                return NewestRecords(records=records, resume=Offset(resume))
            after = page.items[-1].key


def _append_call(
    partition: Partition, records: list[KeyedRecord], **parameters: str | int
) -> StoreCall:
    query = {"topic": partition.topic, "part": partition.number}
    return StoreCall(
        method="POST",
        path=f"/-/log-append?{urlencode({**query, **parameters})}",
        body=b"".join(_frame(record) for record in records),
        timeout=APPEND_TIMEOUT,
    )


def _has_valid_key(record: KeyedRecord) -> bool:
    return len(record.key.encode()) <= MAX_KEY_BYTES


def _frame(record: KeyedRecord) -> bytes:
    key = record.key.encode()
    content = bytes([len(key)]) + key + record.value
    return len(content).to_bytes(FRAME_LENGTH_BYTES, "big") + content


def _decode_page(start: Offset, body: bytes) -> KeyedPage:
    """Return the records of a page; raises ValueError if it is truncated."""
    if len(body) < PAGE_HEADER_BYTES:
        raise ValueError(f"a page of {len(body)} bytes has no complete header")
    end = int.from_bytes(body[:8], "big")
    records: list[KeyedRecord] = []
    position = PAGE_HEADER_BYTES
    while position + FRAME_LENGTH_BYTES <= len(body):
        length = int.from_bytes(body[position : position + FRAME_LENGTH_BYTES], "big")
        position += FRAME_LENGTH_BYTES
        if position + length > len(body):
            raise ValueError("a record is truncated")
        records.append(_decode_record(body[position : position + length]))
        position += length
    return KeyedPage(start=start, end=Offset(end), records=records)


def _decode_record(content: bytes) -> KeyedRecord:
    """Return a record; if its key isn't UTF-8, an empty one to keep its offset."""
    key_length = content[0] if content else 0
    try:
        key = content[1 : 1 + key_length].decode()
    except UnicodeDecodeError:
        log.warning("a record whose key is not valid UTF-8 is ignored")
        return KeyedRecord(key="", value=b"")
    return KeyedRecord(key=key, value=content[1 + key_length :])


def _decode_item(item: _Item) -> ListedRecord | None:
    try:
        value = base64.b64decode(item.value, validate=True)
    except ValueError as error:
        log.warning("record {} can't be decoded and is ignored: {}", item.key, error)
        return None
    return ListedRecord(key=item.key, value=value, offset=Offset(item.offset))


def _invalid_body(call: StoreCall, error: ValueError) -> Failure:
    return unavailable(call, f"the response can't be decoded: {error}")


def _unexpected_status(call: StoreCall, reply: StoreReply) -> Failure:
    path = call.path.partition("?")[0]
    reason = f"{path} answered {reply.status} {reply.body[:80]!r}"
    return Failure(kind=ErrorKind.LOG_UNAVAILABLE, reason=reason)
