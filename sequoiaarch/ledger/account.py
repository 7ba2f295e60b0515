"""Track the tokens that this process may spend on one program."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from dataclasses import dataclass

from ..ids import SessionId
from .partition import LedgerPartition
from .terms import TurnTerms


@dataclass(kw_only=True, eq=False)
class TurnAllocation:
    """Track the tokens of a program's budget that are set aside for an open turn.

    `remaining` is the maximum that the turn may still use, `reserved` the part of it
    that this process requested from the log, `confirmed` the part that the log is known
    to have granted. `superseded` is set once the caller has begun a later turn of the
    same session.
    """

    remaining: int
    reserved: int
    session: SessionId
    confirmed: int = 0
    superseded: bool = False

    @property
    def fully_reserved(self) -> bool:
        """Return whether everything that the turn may need is reserved."""
        return self.reserved >= self.remaining

    @property
    def wanted(self) -> int:
        """Return the tokens that no other turn may use."""
        return self.reserved if self.superseded else self.remaining


class Account:
    """Track what this process was granted of one program's budget, and what it used.

    `granted` is the confirmed grant; `requested` is the grant named by the newest
    record, which may differ until that record is acknowledged. `published` is the
    demand of open turns last written for other processes, at `published_at` on the
    loop's clock. `ceiling` is the maximum that this process can get beside the other
    grants, as of its newest grant in the log; None if unknown.
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
        # In the order in which the grant covers them. A list rather than a dictionary
        # by turn: a turn that is opened twice has two allocations, released
        # independently.
        self.open: list[TurnAllocation] = []
        self.raise_task: asyncio.Task[bool] | None = None
        self.last_used = 0.0

    @property
    def needed(self) -> int:
        """Return the tokens used so far and those reserved for open turns."""
        return self.used + sum(allocation.reserved for allocation in self.open)

    @property
    def wanted(self) -> int:
        """Return the tokens used so far and the maximum that open turns may use."""
        return self.used + sum(allocation.wanted for allocation in self.open)

    @property
    def up_to_date(self) -> bool:
        """Return whether the log covers what is reserved and others know the demand."""
        return self.needed <= self.granted and self.wanted <= max(
            self.granted, self.published
        )

    @property
    def has_excess(self) -> bool:
        """Return whether more is granted, requested or published than is needed."""
        most = max(self.granted, self.requested)
        return most > self.needed or self.published > self.wanted

    def covers(self, allocation: TurnAllocation) -> bool:
        """Return whether the grant covers an allocation and all before it.

        Later allocations count with their confirmed part, which may be used at any time
        without a further request.
        """
        total = self.used
        before = True
        for other in self.open:
            total += other.reserved if before else other.confirmed
            before = before and other is not allocation
        return total <= self.granted

    def confirm(self, allocation: TurnAllocation) -> bool:
        """Confirm the reserved part if the grant covers it; return whether it does."""
        covered = self.covers(allocation)
        if covered:
            allocation.confirmed = allocation.reserved
        return covered

    def can_complete(self, allocation: TurnAllocation) -> bool:
        """Return whether a turn, and all before it, can use their maximum."""
        wanted = self.used + sum(other.wanted for other in self._through(allocation))
        return wanted <= self.granted or self.ceiling is None or wanted <= self.ceiling

    def partly_reserved(self, session: SessionId) -> list[TurnAllocation]:
        """Return the allocations of a session that may need more than they reserved."""
        return [
            allocation
            for allocation in self.open
            if session
            and allocation.session == session
            and allocation.wanted > allocation.reserved
        ]

    def move_last(self, allocation: TurnAllocation) -> None:
        """Have the grant cover all other allocations before this one."""
        self.open.remove(allocation)
        self.open.append(allocation)

    def _through(self, allocation: TurnAllocation) -> Iterator[TurnAllocation]:
        """Yield the allocations up to and including the given one."""
        for other in self.open:
            yield other
            if other is allocation:
                return
