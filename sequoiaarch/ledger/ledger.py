"""Look up histories, reserve budgets and commit turns."""

from __future__ import annotations

import asyncio
from collections import OrderedDict

import logbook

from ..errors import Failure
from ..ids import Offset, ProgramId, TurnId, WriterId
from ..storage.keyed import KeyedLog, KeyedRecord, Partition
from .appender import DEFAULT_LIMITS, AppendLimits
from .budgets import RELEASE_INTERVAL, Budgets
from .holds import Hold
from .index import TurnIndex
from .partition import LedgerPartition
from .partition_map import PartitionMap
from .records import TurnRecord, encode_record, turn_records
from .reservation import Reservation
from .split import BudgetSplit
from .state import LedgerState
from .terms import BudgetVerdict, History, LookupFailure, TurnContent, TurnTerms

log = logbook.Logger("ledger")

# Memory for cached turns, a tenth of the smallest host's; evicted ones are read again
# from the store. Bytes.
DEFAULT_TURN_BYTES = 12 * 1024 * 1024
TRIM_INTERVAL = 1.0
# Partitions used more recently than this are not trimmed, as their open turns would
# have to read them again. Seconds.
MIN_IDLE_TIME = 5.0
# Partitions unused for longer than a program may pause are dropped. Seconds.
FORGET_AFTER = 300.0


class Ledger:
    """Store the turns of all programs in the shared log; no process owns a program.

    Any process may write any turn; conflicts are decided by the order of the records.
    Nothing has to be taken over when a process dies, hangs or is cut off. A process
    reads the records of a program only when it first needs them.
    """

    def __init__(
        self,
        *,
        log: KeyedLog,
        writer: str,
        partition_map: PartitionMap,
        turn_bytes: int = DEFAULT_TURN_BYTES,
        split: BudgetSplit | None = None,
        limits: AppendLimits = DEFAULT_LIMITS,
    ) -> None:
        self._limits = limits
        self.writer = WriterId(writer)
        self.partition_map = partition_map
        self._log = log
        self._turn_bytes = turn_bytes
        self._budgets = Budgets(writer=self.writer, split=split)
        self._index = TurnIndex(
            log=log, partition_map=partition_map, writer=writer, limits=limits
        )
        # Ordered by last use, the most recent at the end.
        self._partitions: OrderedDict[Partition, LedgerPartition] = OrderedDict()
        self._last_used: dict[Partition, float] = {}

    @property
    def turns(self) -> int:
        """Return the number of turns in memory."""
        return sum(partition.state.turns for partition in self._partitions.values())

    async def knows_program(self, program: ProgramId) -> bool:
        """Return whether a program has records; False if the log can't be read."""
        if self._budgets.knows(program):
            return True
        partition = self.partition(program)
        if partition.state.has_program(program):
            return True
        return await partition.sync() and partition.state.has_program(program)

    async def may_know_program(self, program: ProgramId) -> bool:
        """Return whether a program has records; True if the log can't be read."""
        if self._budgets.knows(program):
            return True
        partition = self.partition(program)
        if partition.state.has_program(program) or not await partition.sync():
            return True
        return partition.state.has_program(program)

    async def has_records(self, program: ProgramId) -> bool:
        """Return whether the log has records of a program by now.

        True if it can't be read. Records are removed once a program can't resume.
        """
        partition = self.partition(program)
        return not await partition.sync() or partition.state.has_program(program)

    async def history(
        self, program: ProgramId, turn: TurnId
    ) -> History | LookupFailure:
        """Return the prompt up to a turn.

        The turn may have been committed by another process a moment ago, so its absence
        is reported only after a read that began now and reached the end of the log.
        """
        result = await self._history_in(program, turn)
        if isinstance(result, bytes):
            # Several programs share a partition, and each is removed by itself.
            known = self.partition(program).state.program_of(turn)
            return History(prompt=result, own=known == program)
        if result is LookupFailure.UNCERTAIN:
            return result
        owner = await self._index.find(turn)
        if isinstance(owner, Failure):
            return LookupFailure.UNCERTAIN
        if owner is None or owner == program:
            return LookupFailure.ABSENT
        result = await self._history_in(owner, turn)
        return (
            History(prompt=result, own=False) if isinstance(result, bytes) else result
        )

    async def reserve(self, terms: TurnTerms) -> Reservation | BudgetVerdict:
        """Reserve the maximum that a turn may use, or return why that is refused."""
        return await self._budgets.admit(self.partition(terms.program), terms)

    def spent(self, terms: TurnTerms) -> int:
        """Return the tokens that a program is known here to have used."""
        return self._budgets.spent(self.partition(terms.program), terms.program)

    def write_index(self, terms: TurnTerms) -> asyncio.Future[Offset]:
        """Write the index record of a turn; await the result before the turn ends."""
        return self._index.put(terms.turn, terms.program, terms.retention)

    async def commit(self, hold: Hold, content: TurnContent) -> None:
        """Append a turn to the history; return once it is durable.

        The unused part of its reservation is released in the same append.
        """
        hold.close()
        self._budgets.release_unused(hold.terms.program)
        await self.write(hold.terms, content)

    async def write(self, terms: TurnTerms, content: TurnContent) -> None:
        """Write a turn; any process may do so, repeatedly."""
        record = TurnRecord(
            program=terms.program,
            retention=terms.retention,
            parent=content.parent,
            given=content.given,
            produced=content.produced,
            base=content.base,
        )
        partition = self.partition(terms.program)
        await asyncio.gather(
            *(
                partition.append(
                    KeyedRecord(key=key, value=encode_record(part)), urgent=True
                )
                for key, part in turn_records(terms.turn, record, self._limits.record)
            )
        )

    async def flush(self) -> None:
        """Write all queued records, and release what open turns don't need."""
        self._budgets.release_all()
        await asyncio.gather(
            self._index.flush(),
            *(partition.flush() for partition in self._partitions.values()),
        )

    async def close(self) -> None:
        """Stop writing; queued records are discarded."""
        await asyncio.gather(
            self._index.close(),
            *(partition.close() for partition in self._partitions.values()),
        )

    async def run_release(self) -> None:
        """Release the unused grants of idle programs periodically."""
        while True:
            await asyncio.sleep(RELEASE_INTERVAL)
            self._budgets.release_idle()

    async def run_trim(self) -> None:
        """Bound the memory of cached turns periodically."""
        while True:
            await asyncio.sleep(TRIM_INTERVAL)
            self._trim()

    def partition(self, program: ProgramId) -> LedgerPartition:
        """Return the partition of a program."""
        key = self.partition_map.of_program(program)
        partition = self._partitions.get(key)
        if partition is None:
            partition = self._partitions[key] = LedgerPartition(
                log=self._log,
                partition=key,
                make_state=self._make_state,
                writer=self.writer,
                limits=self._limits,
            )
        self._partitions.move_to_end(key)
        self._last_used[key] = asyncio.get_running_loop().time()
        return partition

    def _make_state(self) -> LedgerState:
        return LedgerState(writer=self.writer, own_grant=self._budgets.granted)

    def _trim(self) -> None:
        now = asyncio.get_running_loop().time()
        cached = sum(
            partition.state.turn_bytes for partition in self._partitions.values()
        )
        for key, partition in self._partitions.items():
            idle_time = now - self._last_used[key]
            if idle_time < MIN_IDLE_TIME:
                return
            if not partition.idle:
                continue
            if idle_time > FORGET_AFTER:
                cached -= partition.state.turn_bytes
                partition.forget()
            elif cached > self._turn_bytes:
                cached -= partition.state.turn_bytes
                partition.drop_turns()

    async def _history_in(
        self, program: ProgramId, turn: TurnId
    ) -> bytes | LookupFailure:
        partition = self.partition(program)
        prompt = partition.state.history(turn)
        if prompt is not None:
            return prompt
        complete = await partition.sync()
        prompt = partition.state.history(turn)
        if prompt is not None:
            return prompt
        # A known turn whose earlier turns are incomplete is not absent.
        if complete and not partition.state.has_turn(turn):
            return LookupFailure.ABSENT
        return LookupFailure.UNCERTAIN
