"""Find histories, hold budgets and commit turns."""

from __future__ import annotations

import asyncio
from enum import Enum

import logbook
import xxhash

from ..ids import ProgramId, TurnId, WriterId
from ..storage.keyed import KeyedLog, KeyedRecord, Partition
from .budgets import RETURN_INTERVAL, Budgets, Reservation, TurnTerms, Verdict
from .partition import LedgerPartition
from .records import TurnRecord, encode_record
from .state import LedgerState

log = logbook.Logger("ledger")

TOPIC = "keyed.ledger"
# A partition takes about 500 appends a second; four carry a peak of 180 turns
# a second at a third of that, and each more is one more read for a turn whose
# program is unknown.
PARTITIONS = 4
EXPIRY_INTERVAL_SECONDS = 10.0
EXPIRY_BATCH = 500
LOAD_RETRY_SECONDS = 0.1


class Lookup(Enum):
    """Say why there is no history."""

    ABSENT = "no such turn"
    UNCERTAIN = "the log can't be read to its end"


class Ledger:
    """Keep the turns of all programs in the log, with no owner for any.

    Every process may write any turn. What counts is decided by the order of
    the records, so nothing has to be claimed or taken over when a process
    dies, freezes or is cut off.
    """

    def __init__(self, *, log: KeyedLog, writer: str) -> None:
        self.writer = WriterId(writer)
        self.state = LedgerState(writer=self.writer)
        self._budgets = Budgets(state=self.state, writer=self.writer)
        self._partitions = [
            LedgerPartition(
                log=log,
                partition=Partition(topic=TOPIC, number=number),
                state=self.state,
                writer=f"{writer}-{number}",
            )
            for number in range(PARTITIONS)
        ]

    @property
    def loaded(self) -> bool:
        """Return whether all partitions were read once."""
        return all(one.loaded for one in self._partitions)

    @property
    def away(self) -> bool:
        """Return whether nothing can be written at present."""
        return any(one.stuck for one in self._partitions)

    async def start(self) -> None:
        """Read all partitions, trying until it succeeds."""
        for partition in self._partitions:
            partition.start()
        await asyncio.gather(*(self._load(one) for one in self._partitions))

    def knows_program(self, program: ProgramId) -> bool:
        """Return whether a program has begun, as far as is known here."""
        return self._budgets.knows(program) or self.state.knows_program(program)

    async def history(self, program: ProgramId, turn: TurnId) -> bytes | Lookup:
        """Return the prompt up to a turn.

        A turn that was answered through another process a moment ago stands
        in the log but may not have been read here. Only a read that starts
        now and reaches the end proves that there is no such turn.
        """
        found = self.state.history(turn)
        if found is None and await self._partition(program).sync():
            found = self.state.history(turn)
        if found is not None:
            return found
        # Another program may continue from the turn; its partition is unknown.
        complete = await asyncio.gather(*(one.sync() for one in self._partitions))
        found = self.state.history(turn)
        if found is not None:
            return found
        if all(complete) and not self.state.knows(turn):
            return Lookup.ABSENT
        return Lookup.UNCERTAIN

    async def reserve(self, terms: TurnTerms) -> Reservation | Verdict:
        """Reserve the most that a turn may use, or say why not."""
        return await self._budgets.admit(self._partition(terms.program), terms)

    def spent(self, terms: TurnTerms) -> int:
        """Return the tokens that a program has used, as far as is known here."""
        return self._budgets.spent(terms.program)

    async def commit(
        self,
        reservation: Reservation,
        *,
        parent: TurnId | None,
        given: bytes,
        produced: bytes,
    ) -> None:
        """Make a turn part of the history; return once that is durable.

        What the turn leaves of its budget is returned with it, in the same
        append.
        """
        terms = reservation.terms
        reservation.close()
        record = TurnRecord(
            program=terms.program,
            retention=terms.retention,
            parent=parent,
            given=given,
            produced=produced,
        )
        value = encode_record(record)
        partition = self._partition(terms.program)
        self._budgets.ahead(partition, terms.program)
        await partition.append(KeyedRecord(key=terms.turn, value=value), urgent=True)
        self.state.apply(terms.turn, value)

    async def flush(self) -> None:
        """Write all that is queued."""
        await asyncio.gather(*(one.flush() for one in self._partitions))

    async def close(self) -> None:
        """Stop to write."""
        await asyncio.gather(*(one.close() for one in self._partitions))

    async def give_back(self) -> None:
        """Return the rests of still programs, again and again."""
        while True:
            await asyncio.sleep(RETURN_INTERVAL)
            if self.away:
                continue
            for program in self._budgets.still():
                self._budgets.give_back(self._partition(program), program)

    async def expire(self) -> None:
        """Remove the records of programs that can't come back, again and again."""
        while True:
            await asyncio.sleep(EXPIRY_INTERVAL_SECONDS)
            keys = self.state.expired()[:EXPIRY_BATCH]
            for key in keys:
                program = self.state.program_of(key)
                if program is not None:
                    empty = KeyedRecord(key=key, value=b"")
                    self._partition(program).append(empty, urgent=False)
                    self.state.remove(key)
            if keys:
                log.info("removed {} records of ended programs", len(keys))

    def _partition(self, program: ProgramId) -> LedgerPartition:
        digest = xxhash.xxh32_intdigest(program.encode())
        return self._partitions[digest % PARTITIONS]

    async def _load(self, partition: LedgerPartition) -> None:
        while not await partition.load():
            await asyncio.sleep(LOAD_RETRY_SECONDS)
