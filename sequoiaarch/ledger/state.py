"""Fold the records of the log into histories and budgets."""

from __future__ import annotations

import time
from collections.abc import Callable

import logbook

from ..ids import ProgramId, TurnId
from .records import Stage, TurnRecord, decode_turn

log = logbook.Logger("ledger")

# A chain longer than this is a loop in the records.
MAX_CHAIN = 10_000
# Kept beyond the retention of its newest turn: a program may come back at the
# last moment, and clocks of two processes are never compared. Seconds.
EXPIRY_MARGIN = 30.0


class ProgramSpend:
    """Count what the turns of one program handed out or may hand out."""

    def __init__(self) -> None:
        self.turns: dict[TurnId, int] = {}
        self.total = 0
        self.touched = 0.0
        self.retention = 0.0

    def set(self, turn: TurnId, tokens: int) -> None:
        """Count a turn with its tokens in place of what stood for it."""
        self.total += tokens - self.turns.get(turn, 0)
        self.turns[turn] = tokens

    def drop(self, turn: TurnId) -> None:
        """Count a turn no longer."""
        self.total -= self.turns.pop(turn, 0)


class LedgerState:
    """Hold the turns and the spending of all programs.

    Every process folds the same records in the same order, so all of them
    agree which reservations fit the budget: one that doesn't fit at its place
    in the log never counts, whoever wrote it and however late.
    """

    def __init__(self, *, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._turns: dict[TurnId, TurnRecord] = {}
        self._programs: dict[ProgramId, ProgramSpend] = {}
        self._rejected: set[TurnId] = set()

    def __len__(self) -> int:
        return len(self._turns)

    def apply(self, key: str, value: bytes, *, ordered: bool = True) -> None:
        """Take over one record.

        `ordered` says that all records before it in the log were applied; a
        list of the newest records has lost that order.
        """
        turn = TurnId(key)
        if not value:
            self._remove(turn)
            return
        record = decode_turn(value)
        if record is None:
            log.warning("record {} can't be read and is passed over", key)
            return
        self._put(turn, record, ordered)

    def spent(self, program: ProgramId) -> int:
        """Return the tokens that a program's turns used or hold reserved."""
        spend = self._programs.get(program)
        return spend.total if spend is not None else 0

    def accepted(self, turn: TurnId) -> bool:
        """Return whether a reservation that was read fits its budget."""
        return turn in self._turns and turn not in self._rejected

    def knows(self, turn: TurnId) -> bool:
        """Return whether a retained turn is known."""
        record = self._turns.get(turn)
        return record is not None and record.stage is Stage.RETAINED

    def program_of(self, turn: TurnId) -> ProgramId | None:
        """Return the program that a turn belongs to."""
        record = self._turns.get(turn)
        return record.program if record is not None else None

    def history(self, turn: TurnId) -> bytes | None:
        """Return the prompt so far, oldest turn first; None if a part lacks."""
        parts: list[bytes] = []
        current: TurnId | None = turn
        while current is not None:
            record = self._turns.get(current)
            if record is None or record.stage is not Stage.RETAINED:
                return None
            parts += (record.produced, record.given)
            current = record.parent
            if len(parts) > 2 * MAX_CHAIN:
                log.error("turn {} has an endless chain", turn)
                return None
        parts.reverse()
        return b"".join(parts)

    def expired(self) -> list[TurnId]:
        """Return the turns of programs that can no longer come back."""
        now = self._clock()
        found: list[TurnId] = []
        for spend in self._programs.values():
            if spend.touched + spend.retention + EXPIRY_MARGIN < now:
                found.extend(spend.turns)
        return found

    def _put(self, turn: TurnId, record: TurnRecord, ordered: bool) -> None:
        spend = self._programs.get(record.program)
        if spend is None:
            spend = self._programs[record.program] = ProgramSpend()
        spend.touched = self._clock()
        spend.retention = max(spend.retention, record.retention)
        known = self._turns.get(turn)
        fits = spend.total + record.tokens <= record.budget
        new = record.stage is Stage.RESERVED and known is None
        if new and ordered and not fits:
            self._rejected.add(turn)
            self._turns[turn] = record
            spend.set(turn, 0)
            return
        if record.stage is Stage.RESERVED and known is not None:
            # Read a second time after a list of the newest records: what is
            # known is the same or newer.
            return
        self._rejected.discard(turn)
        self._turns[turn] = record
        spend.set(turn, record.tokens)

    def _remove(self, turn: TurnId) -> None:
        record = self._turns.pop(turn, None)
        self._rejected.discard(turn)
        if record is None:
            return
        spend = self._programs.get(record.program)
        if spend is None:
            return
        spend.drop(turn)
        if not spend.turns:
            del self._programs[record.program]
