"""Lead gateways to the proxies of other gateways."""

from __future__ import annotations

from typing import TypeVar

import msgspec

from ....errors import Failure
from ....fleet.peers import TOPIC, PeerRecord
from ....ids import Offset
from ....standins.keyed_store import KeyedStore
from ....storage.keyed import (
    KeyedPage,
    KeyedRecord,
    LogGap,
    NewestRecords,
    Partition,
    Writer,
)

RecordT = TypeVar("RecordT", bound=KeyedRecord)


class ProxiedStore(KeyedStore):
    """Store in which a gateway finds the proxies of the other gateways.

    `proxies` maps the addresses that gateways register to those of their proxies.
    """

    def __init__(
        self, *, shared: KeyedStore, proxies: dict[str, str], own_address: str
    ) -> None:
        """Give access to a shared store for the gateway at an address."""
        super().__init__()
        self._shared = shared
        self._proxies = proxies
        self._own_address = own_address

    async def append(
        self, partition: Partition, records: list[KeyedRecord], writer: Writer
    ) -> Offset | Failure:
        """Append to the shared store."""
        records = [self._direct(partition, record) for record in records]
        return await self._shared.append(partition, records, writer)

    async def append_at(
        self, partition: Partition, records: list[KeyedRecord], end: Offset
    ) -> bool:
        """Append to the shared store if the partition ends at an offset."""
        records = [self._direct(partition, record) for record in records]
        return await self._shared.append_at(partition, records, end)

    async def read(
        self, partition: Partition, start: Offset, wait: float
    ) -> KeyedPage | LogGap:
        """Read from the shared store."""
        page = await self._shared.read(partition, start, wait)
        if isinstance(page, LogGap) or partition.topic != TOPIC:
            return page
        records = [self._via_proxy(record) for record in page.records]
        return msgspec.structs.replace(page, records=records)

    def newest(self, partition: Partition) -> NewestRecords:
        """Return the newest record of each key of the shared store."""
        newest = self._shared.newest(partition)
        if partition.topic != TOPIC:
            return newest
        records = [self._via_proxy(record) for record in newest.records]
        return msgspec.structs.replace(newest, records=records)

    def _direct(self, partition: Partition, record: KeyedRecord) -> KeyedRecord:
        """Return a record with the address that its host has registered.

        Gateways write the registrations of others, too.
        """
        if partition.topic != TOPIC or not record.value:
            return record
        peer = msgspec.json.decode(record.value, type=PeerRecord)
        for address, proxy in self._proxies.items():
            if peer.address == proxy:
                direct = msgspec.structs.replace(peer, address=address)
                return msgspec.structs.replace(
                    record, value=msgspec.json.encode(direct)
                )
        return record

    def _via_proxy(self, record: RecordT) -> RecordT:
        if not record.value:
            return record
        peer = msgspec.json.decode(record.value, type=PeerRecord)
        if peer.address == self._own_address:
            return record
        proxied = msgspec.structs.replace(peer, address=self._proxies[peer.address])
        return msgspec.structs.replace(record, value=msgspec.json.encode(proxied))
