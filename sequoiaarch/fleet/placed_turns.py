"""Open turns at the process that keeps the account, on an engine with room."""

from __future__ import annotations

import asyncio
import functools

import msgspec

from ..errors import ErrorKind, FailureError, fail
from ..ids import InstanceId, ProgramId
from ..ledger.terms import BudgetVerdict, LookupFailure, TurnStart, TurnTerms
from ..ledger.turns import LocalTurn, LocalTurns, TurnRefusal
from ..policies.program_placement import PlacementRefused, ProgramDemand
from .placement_service import PlacementService
from .program_table import LINE_SEPARATOR, ProgramTable


def line_of(terms: TurnTerms) -> ProgramId:
    """Return the name of the line of turns, which follow each other, of a turn.

    Sub-agents run lines of their own in parallel.
    """
    return ProgramId(f"{terms.program}{LINE_SEPARATOR}{terms.session}")


def no_room(retry_after: float) -> FailureError:
    """Return the failure of a program that no engine has room for."""
    reason = "no engine has room for the program"
    return fail(ErrorKind.OVERLOADED, reason, retry_after=retry_after)


class PlacedTurns:
    """Open turns in this process, with a placement for programs that begin."""

    def __init__(
        self,
        *,
        local: LocalTurns,
        programs: ProgramTable,
        placements: PlacementService,
    ) -> None:
        self._local = local
        self._programs = programs
        self._placements = placements

    async def open(
        self, start: TurnStart, demand: ProgramDemand | None = None
    ) -> LocalTurn | TurnRefusal:
        """Reserve a turn on the program's engine, or return why that is refused."""
        if demand is None:
            return await self._local.open(start)
        line = line_of(start.terms)
        home = await self._home(line, start, demand)
        if isinstance(home, PlacementRefused):
            raise no_room(home.retry_after)
        opened = await self._local.open(start)
        if isinstance(opened, LookupFailure | BudgetVerdict):
            return opened
        self._track(opened, line, demand, home)
        return opened

    async def _home(
        self, line: ProgramId, start: TurnStart, demand: ProgramDemand
    ) -> InstanceId | PlacementRefused | None:
        """Return the engine of a line of turns, None if unknown."""
        known = self._programs.get(line)
        if known is not None and self._placements.usable(known.home, demand.service):
            return known.home
        home = self._programs.home_of(start.terms.program)
        if known is not None or home is not None or start.previous is not None:
            demand = msgspec.structs.replace(demand, in_progress=True, home=home)
        return await self._placements.place(line, demand)

    def _track(
        self,
        turn: LocalTurn,
        line: ProgramId,
        demand: ProgramDemand,
        home: InstanceId | None,
    ) -> None:
        """Count the turn until it ends."""
        now = asyncio.get_running_loop().time()
        self._programs.turn_opened(
            line,
            workspace=demand.workspace,
            service=demand.service,
            home=home,
            tokens=demand.tokens,
            now=now,
        )
        turn.engine.home = home
        turn.engine.on_end = functools.partial(self._turn_ended, line)

    def _turn_ended(self, program: ProgramId, ran_at: InstanceId | None) -> None:
        now = asyncio.get_running_loop().time()
        self._programs.turn_ended(program, ran_at=ran_at, now=now)
