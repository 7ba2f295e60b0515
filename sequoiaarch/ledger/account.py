"""Account for what one process may hand out of one program's budget."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from dataclasses import dataclass

from ..ids import SessionId
from .partition import LedgerPartition
from .terms import TurnTerms


@dataclass(kw_only=True, eq=False)
class OpenPart:
    """Hold what an open turn may still hand out, in tokens.

    `left` is the most that it may come to, `held` the part that the log was
    asked to grant so far, `sure` the part that it is known to have granted.
    `given_up` says that its caller has begun another turn of the session, which
    needs the rest.
    """

    left: int
    held: int
    session: SessionId
    sure: int = 0
    given_up: bool = False

    @property
    def whole(self) -> bool:
        """Return whether all that the turn may need is held."""
        return self.held >= self.left

    @property
    def claimed(self) -> int:
        """Return what no other turn may use."""
        return self.held if self.given_up else self.left


class Account:
    """Hold what this process may hand out, and did, for one program.

    `granted` is what the log granted, `asked` what the newest record asks for,
    which may be less while an answer is awaited. `told` is what other processes
    were told that open turns may come to, `told_at` when, on the loop's clock.
    `room` is what others left free where the newest grant stands in the log; None
    where that is not known.
    """

    def __init__(self, *, terms: TurnTerms, partition: LedgerPartition) -> None:
        self.program = terms.program
        self.partition = partition
        self.budget = terms.budget
        self.limit = 0
        self.retention = terms.retention
        self.most = terms.most
        self.granted = 0
        self.asked = 0
        self.told = 0
        self.told_at = 0.0
        self.room: int | None = None
        self.handed = 0
        # In the order in which the grant covers them. Not by the name of their turn: of
        # two openings of one turn the end of either would return what the other holds.
        self.open: list[OpenPart] = []
        self.raising: asyncio.Task[bool] | None = None
        self.touched = 0.0

    @property
    def needed(self) -> int:
        """Return what was handed out and what is held for open turns."""
        return self.handed + sum(part.held for part in self.open)

    @property
    def wanted(self) -> int:
        """Return what was handed out and the most that open turns may need."""
        return self.handed + sum(part.claimed for part in self.open)

    @property
    def settled(self) -> bool:
        """Return whether the log grants what is held, and others know the rest."""
        return self.needed <= self.granted and self.wanted <= max(
            self.granted, self.told
        )

    @property
    def excess(self) -> bool:
        """Return whether more than is needed is granted, asked for or left free."""
        most = max(self.granted, self.asked)
        return most > self.needed or self.told > self.wanted

    def covers(self, part: OpenPart) -> bool:
        """Return whether the grant covers what a turn holds and all before it.

        What is sure for later turns may be handed out unasked: were a raise covered
        by it, more would go out than the log grants.
        """
        total = self.handed
        before = True
        for one in self.open:
            total += one.held if before else one.sure
            before = before and one is not part
        return total <= self.granted

    def make_sure(self, part: OpenPart) -> bool:
        """Mark what a turn holds as sure if the grant covers it; return whether."""
        covered = self.covers(part)
        if covered:
            part.sure = part.held
        return covered

    def has_room(self, part: OpenPart) -> bool:
        """Return whether a turn can come to its most, and all before it too."""
        wanted = self.handed + sum(one.claimed for one in self._up_to(part))
        return wanted <= self.granted or self.room is None or wanted <= self.room

    def claiming(self, session: SessionId) -> list[OpenPart]:
        """Return the parts of a session that claim more than they hold."""
        return [
            part
            for part in self.open
            if session and part.session == session and part.claimed > part.held
        ]

    def move_last(self, part: OpenPart) -> None:
        """Have the grant cover all other turns before this one."""
        self.open.remove(part)
        self.open.append(part)

    def _up_to(self, part: OpenPart) -> Iterator[OpenPart]:
        """Return the parts of a turn and of all that are covered before it."""
        for one in self.open:
            yield one
            if one is part:
                return
