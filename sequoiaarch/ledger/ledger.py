"""Find histories, hold budgets and commit turns."""

from __future__ import annotations

import asyncio
from enum import Enum

import logbook
import msgspec
import xxhash

from ..ids import Offset, ProgramId, TurnId
from ..storage.keyed import KeyedLog, KeyedRecord, Partition
from .partition import LedgerPartition
from .records import Stage, TurnRecord, encode_turn
from .state import LedgerState

log = logbook.Logger("ledger")

TOPIC = "keyed.ledger"
# A partition takes about 500 appends a second; four carry a peak of 180 turns
# a second at a third of that, and each more is one more read for a turn whose
# program is unknown.
PARTITIONS = 4
# Below this share of the budget a reservation is checked beside the engine's
# work; above it, before the request is sent, so that a refusal stays true.
CHECKED_LATER_SHARE = 0.5
# Appends that fail for longer than this mean that the store is away. Seconds.
AWAY_AFTER_SECONDS = 0.6
EXPIRY_INTERVAL_SECONDS = 10.0
EXPIRY_BATCH = 500


class Lookup(Enum):
    """Say why there is no history."""

    ABSENT = "no such turn"
    UNCERTAIN = "the log can't be read to its end"


class Verdict(Enum):
    """Say whether a reservation fits the budget."""

    FITS = "fits"
    EXCEEDED = "exceeded"
    UNCERTAIN = "uncertain"


class TurnTerms(msgspec.Struct, frozen=True, kw_only=True):
    """Name a turn, the program it belongs to, and the most it may hand out."""

    turn: TurnId
    program: ProgramId
    budget: int
    most: int
    retention: float


class Reservation:
    """Hold the part of a budget that one turn may use."""

    def __init__(
        self, *, terms: TurnTerms, check: asyncio.Task[Verdict] | None
    ) -> None:
        self.terms = terms
        self._check = check

    async def verdict(self) -> Verdict:
        """Wait until the reservation is durable and return if it fits."""
        if self._check is None:
            return Verdict.FITS
        return await asyncio.shield(self._check)


class Ledger:
    """Keep the turns of all programs in the log, with no owner for any.

    Every process may write any turn. What counts is decided by the order of
    the records, so nothing has to be claimed or taken over when a process
    dies, freezes or is cut off.
    """

    def __init__(self, *, log: KeyedLog, writer: str) -> None:
        self.state = LedgerState()
        self._partitions = [
            LedgerPartition(
                log=log,
                partition=Partition(topic=TOPIC, number=number),
                state=self.state,
                writer=f"{writer}-{number}",
            )
            for number in range(PARTITIONS)
        ]
        self._background: set[asyncio.Task[object]] = set()

    @property
    def loaded(self) -> bool:
        """Return whether all partitions were read once."""
        return all(one.loaded for one in self._partitions)

    @property
    def away(self) -> bool:
        """Return whether nothing can be written at present."""
        return any(one.stuck_for > AWAY_AFTER_SECONDS for one in self._partitions)

    async def start(self) -> None:
        """Read all partitions, trying until it succeeds."""
        for partition in self._partitions:
            partition.start()
        await asyncio.gather(*(self._load(one) for one in self._partitions))

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
        """Reserve the most that a turn may use, or say why not.

        Near the limit the answer waits for the log, since a request that was
        refused for its budget must never have run.
        """
        partition = self._partition(terms.program)
        after = self.state.spent(terms.program) + terms.most
        if after > terms.budget:
            if not await partition.sync():
                return Verdict.UNCERTAIN
            if self.state.spent(terms.program) + terms.most > terms.budget:
                return Verdict.EXCEEDED
        # Queued at once: a commit that overtook it would be replaced by it.
        record = TurnRecord(
            stage=Stage.RESERVED,
            program=terms.program,
            budget=terms.budget,
            tokens=terms.most,
            retention=terms.retention,
        )
        written = self._append(terms, record, urgent=True)
        check = asyncio.create_task(self._check(terms, written))
        reservation = Reservation(terms=terms, check=check)
        if after <= terms.budget * CHECKED_LATER_SHARE:
            return reservation
        verdict = await reservation.verdict()
        if verdict is Verdict.FITS:
            return reservation
        self.settle(terms, used=0)
        return verdict

    def settle(self, terms: TurnTerms, *, used: int) -> None:
        """Record what a turn handed out."""
        record = TurnRecord(
            stage=Stage.SETTLED,
            program=terms.program,
            budget=terms.budget,
            tokens=used,
            retention=terms.retention,
        )
        self._append(terms, record, urgent=False)

    async def commit(
        self,
        terms: TurnTerms,
        *,
        used: int,
        parent: TurnId | None,
        given: bytes,
        produced: bytes,
    ) -> None:
        """Make a turn part of the history; return once that is durable."""
        record = TurnRecord(
            stage=Stage.RETAINED,
            program=terms.program,
            budget=terms.budget,
            tokens=used,
            retention=terms.retention,
            parent=parent,
            given=given,
            produced=produced,
        )
        await self._append(terms, record, urgent=True)
        self.state.apply(terms.turn, encode_turn(record))

    async def flush(self) -> None:
        """Write all that is queued."""
        await asyncio.gather(*(one.flush() for one in self._partitions))

    async def close(self) -> None:
        """Stop to write."""
        await asyncio.gather(*(one.close() for one in self._partitions))

    async def expire(self) -> None:
        """Remove the turns of programs that can't come back, again and again."""
        while True:
            await asyncio.sleep(EXPIRY_INTERVAL_SECONDS)
            turns = self.state.expired()[:EXPIRY_BATCH]
            for turn in turns:
                program = self.state.program_of(turn)
                if program is None:
                    continue
                empty = KeyedRecord(key=turn, value=b"")
                self._partition(program).append(empty, urgent=False)
                self.state.apply(turn, b"")
            if turns:
                log.info("removed {} turns of ended programs", len(turns))

    async def _check(
        self, terms: TurnTerms, written: asyncio.Future[Offset]
    ) -> Verdict:
        partition = self._partition(terms.program)
        offset = await written
        while partition.cursor <= offset:
            if not await partition.sync():
                return Verdict.UNCERTAIN
        return Verdict.FITS if self.state.accepted(terms.turn) else Verdict.EXCEEDED

    def _append(
        self, terms: TurnTerms, record: TurnRecord, *, urgent: bool
    ) -> asyncio.Future[Offset]:
        keyed = KeyedRecord(key=terms.turn, value=encode_turn(record))
        return self._partition(terms.program).append(keyed, urgent=urgent)

    def _partition(self, program: ProgramId) -> LedgerPartition:
        digest = xxhash.xxh32_intdigest(program.encode())
        return self._partitions[digest % PARTITIONS]

    async def _load(self, partition: LedgerPartition) -> None:
        while not await partition.load():
            await asyncio.sleep(0.1)
