"""Fold the records of the log into histories and budgets."""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass, field

import logbook

from ..ids import ProgramId, TurnId, WriterId
from .records import GrantRecord, TurnRecord, decode_record

log = logbook.Logger("ledger")

# A chain longer than this is a loop in the records.
MAX_CHAIN = 10_000
# Kept beyond the retention of its newest record: a program may come back at
# the last moment, and clocks of two processes are never compared. Seconds.
EXPIRY_MARGIN = 30.0


@dataclass(kw_only=True)
class Grant:
    """Hold the newest valid grant of a writer; `seen` is a time of the clock."""

    tokens: int
    used: int
    seen: float


@dataclass(kw_only=True)
class ProgramRecords:
    """Hold the keys and grants of one program."""

    keys: set[str] = field(default_factory=set)
    grants: dict[WriterId, Grant] = field(default_factory=dict)
    touched: float = 0.0
    retention: float = 0.0


class LedgerState:
    """Hold the turns and grants of all programs.

    Every process folds the same records in the same order, so all of them
    agree which grants fit the budget: one that doesn't fit at its place in the
    log never counts, whoever wrote it and however late.
    """

    def __init__(
        self, *, writer: WriterId, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self._writer = writer
        self._clock = clock
        self._turns: dict[TurnId, TurnRecord] = {}
        self._programs: dict[ProgramId, ProgramRecords] = {}
        self._program_of: dict[str, ProgramId] = {}

    @property
    def turns(self) -> int:
        """Return how many turns are known."""
        return len(self._turns)

    def now(self) -> float:
        """Return the time on the clock of this state, in seconds."""
        return self._clock()

    def apply(self, key: str, value: bytes, *, ordered: bool = True) -> None:
        """Take over one record.

        `ordered` says that all records before it in the log were applied; a
        list of the newest records has lost that order.
        """
        if not value:
            self.remove(key)
            return
        record = decode_record(value)
        if record is None:
            log.warning("record {} can't be read and is passed over", key)
            return
        program = self._touch(key, record)
        if isinstance(record, TurnRecord):
            self._turns[TurnId(key)] = record
        else:
            self._put_grant(program, record, ordered)

    def remove(self, key: str) -> None:
        """Forget what stands under a key."""
        self._turns.pop(TurnId(key), None)
        name = self._program_of.pop(key, None)
        if name is None:
            return
        program = self._programs[name]
        program.keys.discard(key)
        program.grants.pop(WriterId(key.rpartition("/")[2]), None)
        if not program.keys:
            del self._programs[name]

    def granted(self, program: ProgramId, writer: WriterId) -> int:
        """Return the tokens that a writer was granted."""
        grant = self._grants(program).get(writer)
        return grant.tokens if grant is not None else 0

    def granted_others(self, program: ProgramId) -> int:
        """Return the tokens that all other writers were granted."""
        grants = self._grants(program).items()
        return sum(grant.tokens for name, grant in grants if name != self._writer)

    def used_others(self, program: ProgramId) -> int:
        """Return the tokens that all other writers have used."""
        grants = self._grants(program).items()
        return sum(grant.used for name, grant in grants if name != self._writer)

    def returning(self, program: ProgramId, since: float) -> bool:
        """Return whether another writer may soon return a part of its grant.

        That is one that was granted more than it used, `since` or later on
        this process's clock.
        """
        return any(
            grant.tokens > grant.used and grant.seen >= since
            for name, grant in self._grants(program).items()
            if name != self._writer
        )

    def knows_program(self, program: ProgramId) -> bool:
        """Return whether a program has any record."""
        return program in self._programs

    def knows(self, turn: TurnId) -> bool:
        """Return whether a turn is known."""
        return turn in self._turns

    def history(self, turn: TurnId) -> bytes | None:
        """Return the prompt so far, oldest turn first; None if a part lacks."""
        parts: list[bytes] = []
        current: TurnId | None = turn
        while current is not None:
            record = self._turns.get(current)
            if record is None:
                return None
            parts += (record.produced, record.given)
            current = record.parent
            if len(parts) > 2 * MAX_CHAIN:
                log.error("turn {} has an endless chain", turn)
                return None
        parts.reverse()
        return b"".join(parts)

    def program_of(self, key: str) -> ProgramId | None:
        """Return the program whose record stands under a key."""
        return self._program_of.get(key)

    def expired(self) -> list[str]:
        """Return the keys of programs that can no longer come back."""
        now = self._clock()
        found: list[str] = []
        for program in self._programs.values():
            if program.touched + program.retention + EXPIRY_MARGIN < now:
                found.extend(program.keys)
        return found

    def _grants(self, program: ProgramId) -> dict[WriterId, Grant]:
        found = self._programs.get(program)
        return found.grants if found is not None else {}

    def _touch(self, key: str, record: TurnRecord | GrantRecord) -> ProgramRecords:
        program = self._programs.get(record.program)
        if program is None:
            program = self._programs[record.program] = ProgramRecords()
        program.keys.add(key)
        program.touched = self._clock()
        program.retention = max(program.retention, record.retention)
        self._program_of[key] = record.program
        return program

    def _put_grant(
        self, program: ProgramRecords, record: GrantRecord, ordered: bool
    ) -> None:
        own = record.writer == self._writer
        if own and not ordered:
            # Whether it fitted at its place can't be told any more. What was
            # known before stays, and the writer asks again for what it needs.
            return
        known = program.grants.get(record.writer)
        before = known.tokens if known is not None else 0
        others = sum(one.tokens for one in program.grants.values()) - before
        fits = others + record.tokens <= record.budget
        if ordered and record.tokens > before and not fits:
            return
        program.grants[record.writer] = Grant(
            tokens=record.tokens, used=record.used, seen=self._clock()
        )
