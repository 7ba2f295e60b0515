"""Open turns at the process that keeps the account, on an engine with room."""

from __future__ import annotations

import asyncio
import functools

import msgspec

from ..errors import ErrorKind, FailureError, fail
from ..ids import InstanceId, ProgramId
from ..ledger.ledger import Ledger
from ..ledger.terms import BudgetVerdict, LookupFailure, TurnStart, TurnTerms
from ..ledger.turns import LocalTurn, LocalTurns, TurnEngine, TurnRefusal
from ..policies.program_placement import ProgramDemand
from ..reply_timeout import reply_timeout
from .placement_service import Placement, PlacementService, RefusedBy
from .program_table import ProgramTable

# Separates the name of a program and that of one of its lines of turns.
LINE_SEPARATOR = "#"
ENGINES_FULL = "all engines are full"
# How long a refusal waits for the log to tell whether the program is in progress, in
# seconds. A read of the log takes a few milliseconds.
RECORDS_TIMEOUT = 0.1


def line_of(terms: TurnTerms) -> ProgramId:
    """Return the name of the line of turns, which follow each other, of a turn.

    Sub-agents run lines of their own in parallel.
    """
    return ProgramId(f"{terms.program}{LINE_SEPARATOR}{terms.session}")


def overloaded(reason: str, retry_after: float) -> FailureError:
    """Return the failure of a program that was refused before anything was reserved."""
    return fail(ErrorKind.OVERLOADED, reason, retry_after=retry_after)


async def check_estimate(start: TurnStart, ledger: Ledger) -> None:
    """Refuse a program that no owner judged, by the gateway's estimate of the engines.

    Raises FailureError. Programs that may be in progress are not refused.
    """
    if start.retry_if_full is None or start.previous is not None:
        return
    if not await ledger.may_know_program(start.terms.program):
        raise overloaded(ENGINES_FULL, start.retry_if_full)


class PlacedTurns:
    """Open turns in this process, with a placement for programs that begin."""

    def __init__(
        self,
        *,
        local: LocalTurns,
        ledger: Ledger,
        programs: ProgramTable,
        placements: PlacementService,
    ) -> None:
        self._local = local
        self._ledger = ledger
        self._programs = programs
        self._placements = placements

    async def open(
        self, start: TurnStart, demand: ProgramDemand | None = None
    ) -> LocalTurn | TurnRefusal:
        """Reserve a turn on the program's engine, or return why that is refused."""
        if demand is None:
            return await self._local.open(start)
        line = line_of(start.terms)
        engine = await self._engine(line, start, demand)
        opened = await self._local.open(start)
        if isinstance(opened, LookupFailure | BudgetVerdict):
            return opened
        self._track(opened, line, start.terms.program, demand, engine)
        return opened

    async def _engine(
        self, line: ProgramId, start: TurnStart, demand: ProgramDemand
    ) -> TurnEngine:
        """Return the engine of a line of turns; raises FailureError if refused."""
        known = self._programs.get(line)
        if known is not None and self._placements.usable(known.home, demand.service):
            if not self._placements.is_slow(known.home):
                return TurnEngine(home=known.home)
            return await self._move(line, demand, known.home)
        program = start.terms.program
        home = self._programs.home_of(program)
        in_progress = (
            known is not None
            or home is not None
            or start.previous is not None
            or self._ledger.spent(start.terms) > 0
        )
        if in_progress:
            demand = msgspec.structs.replace(demand, in_progress=True, home=home)
        placed = await self._placements.place(line, demand)
        if isinstance(placed, RefusedBy) and await self._has_records(program):
            # Its turns came through another data centre, whose owner knows it.
            demand = msgspec.structs.replace(demand, in_progress=True)
            placed = await self._placements.place(line, demand)
        if isinstance(placed, Placement):
            return TurnEngine(home=placed.instance, placed_by=placed.owner)
        if isinstance(placed, RefusedBy):
            reason = f"{placed.owner} has no room for the program: {placed.reason}"
            raise overloaded(reason, placed.retry_after)
        if not in_progress:
            await check_estimate(start, self._ledger)
        return TurnEngine()

    async def _has_records(self, program: ProgramId) -> bool:
        """Return whether a program is in progress by the log, if that answers soon.

        A refusal must not wait for a log that is unavailable.
        """
        try:
            async with reply_timeout(RECORDS_TIMEOUT):
                return await self._ledger.knows_program(program)
        except TimeoutError:
            return False

    async def _move(
        self, line: ProgramId, demand: ProgramDemand, home: InstanceId | None
    ) -> TurnEngine:
        """Return the engine of a program whose home engine is slow."""
        demand = msgspec.structs.replace(
            demand, in_progress=True, home=home, moves=True
        )
        placed = await self._placements.place(line, demand)
        if isinstance(placed, Placement):
            return TurnEngine(home=placed.instance, placed_by=placed.owner)
        return TurnEngine(home=home)

    def _track(
        self,
        turn: LocalTurn,
        line: ProgramId,
        program: ProgramId,
        demand: ProgramDemand,
        engine: TurnEngine,
    ) -> None:
        """Count the turn until it ends."""
        now = asyncio.get_running_loop().time()
        self._programs.turn_opened(
            line,
            root=program,
            workspace=demand.workspace,
            service=demand.service,
            home=engine.home,
            tokens=demand.tokens,
            now=now,
        )
        engine.on_end = functools.partial(self._turn_ended, line)
        turn.engine = engine

    def _turn_ended(self, program: ProgramId, ran_at: InstanceId | None) -> None:
        now = asyncio.get_running_loop().time()
        self._programs.turn_ended(program, ran_at=ran_at, now=now)
