"""Buffer of answered turns that are not yet committed to the log."""

from __future__ import annotations

from collections import OrderedDict

from ..ids import ProgramId, Seq
from ..wire.messages import PendingTurn


class PendingTurnBuffer:
    """Keep each answered turn until it is committed, up to a size limit in bytes.

    If the home of the program fails between answer and commit, the next home commits
    the turn from this buffer before it runs another call.
    """

    def __init__(self, *, limit: int) -> None:
        self._limit = limit
        self._turns: OrderedDict[ProgramId, dict[Seq, PendingTurn]] = OrderedDict()
        self._size = 0

    @property
    def full(self) -> bool:
        """Return whether the size limit is reached."""
        return self._size >= self._limit

    @property
    def program_count(self) -> int:
        """Return the number of programs with pending turns."""
        return len(self._turns)

    def add(self, program: ProgramId, turn: PendingTurn) -> None:
        """Add a turn, replacing an earlier one with the same sequence number."""
        pending = self._turns.setdefault(program, {})
        earlier = pending.get(turn.seq)
        if earlier is not None:
            self._size -= _size(earlier)
        pending[turn.seq] = turn
        self._size += _size(turn)

    def discard_committed(self, program: ProgramId, seq: Seq) -> None:
        """Drop the turns of a program up to a committed sequence number."""
        pending = self._turns.get(program)
        if pending is None:
            return
        for committed in [number for number in pending if number <= seq]:
            self._size -= _size(pending.pop(committed))
        if not pending:
            del self._turns[program]

    def discard_program(self, program: ProgramId) -> None:
        """Drop all turns of a program."""
        for turn in self._turns.pop(program, {}).values():
            self._size -= _size(turn)

    def turns_of(self, program: ProgramId) -> list[PendingTurn]:
        """Return the pending turns of a program in order of sequence number."""
        pending = self._turns.get(program, {})
        return [pending[seq] for seq in sorted(pending)]


def _size(turn: PendingTurn) -> int:
    return len(turn.messages) + len(turn.answer.body)
