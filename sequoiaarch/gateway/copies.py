"""Hold copies of turns that went out before the log had taken them."""

from __future__ import annotations

from collections import OrderedDict

from ..ids import ProgramId, Seq
from ..wire.messages import PendingTurn


class TurnCopies:
    """Keep each relayed turn until its commit is known, up to a bound.

    A home that dies between answer and commit loses nothing while this copy
    stands: the next home commits it before it runs another call.
    """

    def __init__(self, *, limit: int) -> None:
        self._limit = limit
        self._turns: OrderedDict[ProgramId, dict[Seq, PendingTurn]] = OrderedDict()
        self._size = 0

    @property
    def full(self) -> bool:
        """Return whether no further turn can be held."""
        return self._size >= self._limit

    @property
    def programs(self) -> int:
        """Return the programs of which turns are held."""
        return len(self._turns)

    def add(self, program: ProgramId, turn: PendingTurn) -> None:
        """Hold one turn."""
        held = self._turns.setdefault(program, {})
        earlier = held.get(turn.seq)
        if earlier is not None:
            self._size -= _size(earlier)
        held[turn.seq] = turn
        self._size += _size(turn)

    def committed(self, program: ProgramId, seq: Seq) -> None:
        """Drop the copies up to a sequence number that the log holds."""
        held = self._turns.get(program)
        if held is None:
            return
        for old in [one for one in held if one <= seq]:
            self._size -= _size(held.pop(old))
        if not held:
            del self._turns[program]

    def drop(self, program: ProgramId) -> None:
        """Drop all copies of a program."""
        for turn in self._turns.pop(program, {}).values():
            self._size -= _size(turn)

    def of(self, program: ProgramId) -> list[PendingTurn]:
        """Return the held turns of a program in sequence."""
        held = self._turns.get(program, {})
        return [held[seq] for seq in sorted(held)]


def _size(turn: PendingTurn) -> int:
    return len(turn.messages) + len(turn.answer.body)
