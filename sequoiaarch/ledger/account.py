"""Account for what one process may hand out of one program's budget."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from dataclasses import dataclass

from ..ids import SessionId
from .partition import LedgerPartition
from .terms import TurnTerms


@dataclass(kw_only=True, eq=False)
class TurnAllocation:
    """Hold what an open turn may still hand out, in tokens.

    `left` is the most that it may come to, `held` the part that the log was
    asked to grant so far, `sure` the part that it is known to have granted.
    `given_up` says that its caller has begun another turn of the session, which
    needs the rest.
    """

    remaining: int
    reserved: int
    session: SessionId
    confirmed: int = 0
    superseded: bool = False

    @property
    def fully_reserved(self) -> bool:
        """Return whether all that the turn may need is held."""
        return self.reserved >= self.remaining

    @property
    def wanted(self) -> int:
        """Return what no other turn may use."""
        return self.reserved if self.superseded else self.remaining


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
        self.max_turn_tokens = terms.most
        self.granted = 0
        self.requested = 0
        self.published = 0
        self.published_at = 0.0
        self.ceiling: int | None = None
        self.used = 0
        # In the order in which the grant covers them. Not by the name of their turn: of
        # two openings of one turn the end of either would return what the other holds.
        self.open: list[TurnAllocation] = []
        self.raise_task: asyncio.Task[bool] | None = None
        self.last_used = 0.0

    @property
    def needed(self) -> int:
        """Return what was handed out and what is held for open turns."""
        return self.used + sum(allocation.reserved for allocation in self.open)

    @property
    def wanted(self) -> int:
        """Return what was handed out and the most that open turns may need."""
        return self.used + sum(allocation.wanted for allocation in self.open)

    @property
    def up_to_date(self) -> bool:
        """Return whether the log grants what is held, and others know the rest."""
        return self.needed <= self.granted and self.wanted <= max(
            self.granted, self.published
        )

    @property
    def has_excess(self) -> bool:
        """Return whether more than is needed is granted, asked for or left free."""
        most = max(self.granted, self.requested)
        return most > self.needed or self.published > self.wanted

    def covers(self, allocation: TurnAllocation) -> bool:
        """Return whether the grant covers what a turn holds and all before it.

        What is sure for later turns may be handed out unasked: were a raise covered
        by it, more would go out than the log grants.
        """
        total = self.used
        before = True
        for other in self.open:
            total += other.reserved if before else other.confirmed
            before = before and other is not allocation
        return total <= self.granted

    def confirm(self, allocation: TurnAllocation) -> bool:
        """Mark what a turn holds as sure if the grant covers it; return whether."""
        covered = self.covers(allocation)
        if covered:
            allocation.confirmed = allocation.reserved
        return covered

    def can_complete(self, allocation: TurnAllocation) -> bool:
        """Return whether a turn can come to its most, and all before it too."""
        wanted = self.used + sum(other.wanted for other in self._through(allocation))
        return wanted <= self.granted or self.ceiling is None or wanted <= self.ceiling

    def partly_reserved(self, session: SessionId) -> list[TurnAllocation]:
        """Return the parts of a session that claim more than they hold."""
        return [
            allocation
            for allocation in self.open
            if session
            and allocation.session == session
            and allocation.wanted > allocation.reserved
        ]

    def move_last(self, allocation: TurnAllocation) -> None:
        """Have the grant cover all other turns before this one."""
        self.open.remove(allocation)
        self.open.append(allocation)

    def _through(self, allocation: TurnAllocation) -> Iterator[TurnAllocation]:
        """Return the parts of a turn and of all that are covered before it."""
        for other in self.open:
            yield other
            if other is allocation:
                return
