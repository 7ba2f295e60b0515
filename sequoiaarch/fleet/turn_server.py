"""Keep accounts of programs for the other gateways of the data centre."""

from __future__ import annotations

import asyncio

import logbook

from ..errors import ErrorKind, Failure
from ..ids import TurnId
from ..ledger.ledger import Ledger
from ..ledger.terms import BudgetVerdict, Lookup, TurnStart
from ..ledger.turns import LocalTurn, LocalTurns
from ..wire.links import Send
from ..wire.messages import (
    Accepted,
    CloseTurnRequest,
    CommitTurnRequest,
    ConfirmTurnRequest,
    Failed,
    OpenTurnRequest,
    Reply,
    Request,
    TurnOpened,
    TurnRefused,
    TurnVerdict,
)

log = logbook.Logger("delegates")


class TurnServer:
    """Keep accounts for the other gateways of the data centre."""

    def __init__(self, *, local: LocalTurns, ledger: Ledger) -> None:
        self._local = local
        self._ledger = ledger
        self._open: dict[TurnId, LocalTurn] = {}
        self._starts: dict[TurnId, TurnStart] = {}
        # Turns that are being opened; False once their caller has left.
        self._opening: dict[TurnId, bool] = {}
        self.stopping = False

    @property
    def open_turns(self) -> int:
        """Return how many turns of other gateways are open."""
        return len(self._open)

    async def answer(self, request: Request, send: Send) -> Reply:
        """Answer a request about a turn."""
        if isinstance(request, CloseTurnRequest):
            self._close(request.turn, request.handed)
            return Accepted()
        await send(Accepted())
        if isinstance(request, OpenTurnRequest):
            return await self._begin(request.start)
        if isinstance(request, ConfirmTurnRequest):
            return await self._confirm(request.turn)
        if isinstance(request, CommitTurnRequest):
            await self._commit(request)
            return Accepted()
        return Failed(failure=failure_of(f"not for this part: {request}"))

    async def _begin(self, start: TurnStart) -> Reply:
        if self.stopping:
            return Failed(failure=failure_of("stopping"))
        turn = start.terms.turn
        self._opening[turn] = True
        try:
            opened = await self._local.open(start)
        finally:
            wanted = self._opening.pop(turn)
        if isinstance(opened, Lookup):
            return TurnRefused(lookup=opened)
        if isinstance(opened, BudgetVerdict):
            return TurnRefused(verdict=opened)
        if not wanted:
            opened.close()
            return Failed(failure=failure_of("the caller left"))
        self._open[turn] = opened
        self._starts[turn] = start
        loop = asyncio.get_running_loop()
        loop.call_later(start.lifetime, self._expire, turn)
        return TurnOpened(
            history=opened.history,
            spent=opened.spent,
            granted=opened.granted,
        )

    async def _confirm(self, turn: TurnId) -> Reply:
        opened = self._open.get(turn)
        if opened is None:
            return Failed(failure=failure_of("the turn is not open here"))
        return TurnVerdict(verdict=await opened.verdict())

    async def _commit(self, request: CommitTurnRequest) -> None:
        opened = self._open.pop(request.terms.turn, None)
        if opened is None:
            # This process took the place of the one that opened it.
            await self._ledger.write(request.terms, request.content)
            return
        opened.hand_out(request.handed)
        await opened.commit_for(request.content)

    def _close(self, turn: TurnId, handed: int) -> None:
        if turn in self._opening:
            self._opening[turn] = False
        opened = self._open.pop(turn, None)
        self._starts.pop(turn, None)
        if opened is not None:
            opened.hand_out(handed)
            opened.close()

    def _expire(self, turn: TurnId) -> None:
        """Count a turn at its most whose gateway never told its end."""
        start = self._starts.pop(turn, None)
        if start is not None and turn in self._open:
            log.info("turn {} was never ended by its gateway", turn)
            self._close(turn, start.terms.most)


def failure_of(reason: str) -> Failure:
    """Return the failure of a request between gateways."""
    return Failure(kind=ErrorKind.INTERRUPTED, reason=reason)
