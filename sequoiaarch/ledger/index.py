"""Tell the program of a turn that another program continues."""

from __future__ import annotations

import asyncio

from ..errors import Failure
from ..ids import Offset, ProgramId, TurnId
from ..storage.keyed import KeyedLog, KeyedRecord, Partition
from .appender import Appender
from .partition_map import PartitionMap
from .records import IndexRecord, decode_record, encode_record


class TurnIndex:
    """Keep the program of each turn; turns stand with their programs.

    Without it a turn of an unknown program could only be found, or shown not
    to exist, by reading the whole store.
    """

    def __init__(
        self, *, log: KeyedLog, partition_map: PartitionMap, writer: str
    ) -> None:
        self._log = log
        self._partition_map = partition_map
        self._writer = writer
        self._appenders: dict[Partition, Appender] = {}

    def put(
        self, turn: TurnId, program: ProgramId, retention: float
    ) -> asyncio.Future[Offset]:
        """Write the program of a turn; the future is done once it is durable."""
        partition = self._partition_map.of_turn(turn)
        appender = self._appenders.get(partition)
        if appender is None:
            appender = self._appenders[partition] = Appender(
                log=self._log, partition=partition, writer=self._writer
            )
        record = IndexRecord(program=program, retention=retention)
        keyed = KeyedRecord(key=turn, value=encode_record(record))
        return appender.append(keyed, urgent=True)

    async def find(self, turn: TurnId) -> ProgramId | None | Failure:
        """Return the program of a turn, None if there is no such turn."""
        newest = await self._log.newest(self._partition_map.of_turn(turn))
        if isinstance(newest, Failure):
            return newest
        for listed in newest.records:
            if listed.key == turn:
                record = decode_record(listed.value)
                return record.program if isinstance(record, IndexRecord) else None
        return None

    async def flush(self) -> None:
        """Write all that is queued."""
        await asyncio.gather(
            *(appender.flush() for appender in self._appenders.values())
        )

    async def close(self) -> None:
        """Stop to write."""
        await asyncio.gather(
            *(appender.close() for appender in self._appenders.values())
        )
