"""Index turns by the program that they belong to."""

from __future__ import annotations

import asyncio

from ..errors import Failure
from ..ids import Offset, ProgramId, TurnId
from ..storage.keyed import KeyedLog, KeyedRecord, Partition
from .appender import DEFAULT_LIMITS, Appender, AppendLimits
from .partition_map import PartitionMap
from .records import IndexRecord, decode_record, encode_record


class TurnIndex:
    """Store the program of each turn.

    Turns are stored with their program. If a program continues a turn of another one,
    the index tells which partition to read; without it the whole store would have to be
    searched.
    """

    def __init__(
        self,
        *,
        log: KeyedLog,
        partition_map: PartitionMap,
        writer: str,
        limits: AppendLimits = DEFAULT_LIMITS,
    ) -> None:
        self._limits = limits
        self._log = log
        self._partition_map = partition_map
        self._writer = writer
        self._appenders: dict[Partition, Appender] = {}

    def put(
        self, turn: TurnId, program: ProgramId, retention: float
    ) -> asyncio.Future[Offset]:
        """Write the program of a turn; the future resolves once it is durable."""
        partition = self._partition_map.of_turn(turn)
        appender = self._appenders.get(partition)
        if appender is None:
            appender = self._appenders[partition] = Appender(
                log=self._log,
                partition=partition,
                writer=self._writer,
                limits=self._limits,
            )
        record = IndexRecord(program=program, retention=retention)
        keyed = KeyedRecord(key=turn, value=encode_record(record))
        return appender.append(keyed, urgent=True)

    async def find(self, turn: TurnId) -> ProgramId | None | Failure:
        """Return the program of a turn; None if there is no such turn."""
        newest = await self._log.newest(self._partition_map.of_turn(turn))
        if isinstance(newest, Failure):
            return newest
        for listed in newest.records:
            if listed.key == turn:
                record = decode_record(listed.value)
                return record.program if isinstance(record, IndexRecord) else None
        return None

    async def flush(self) -> None:
        """Wait until all queued records are written."""
        await asyncio.gather(
            *(appender.flush() for appender in self._appenders.values())
        )

    async def close(self) -> None:
        """Stop writing; queued records are discarded."""
        await asyncio.gather(
            *(appender.close() for appender in self._appenders.values())
        )
