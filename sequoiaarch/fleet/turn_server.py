"""Keep accounts of programs for the other gateways of the data centre."""

from __future__ import annotations

import asyncio
from collections import OrderedDict

import logbook

from ..errors import ErrorKind, Failure
from ..ids import OpeningId
from ..ledger.ledger import Ledger
from ..ledger.terms import BudgetVerdict, Lookup, TurnStart, TurnTerms
from ..ledger.turns import LocalTurn, LocalTurns
from ..wire.links import Send
from ..wire.messages import (
    Accepted,
    CloseTurnRequest,
    CommitTurnRequest,
    ConfirmTurnRequest,
    CoverTurnRequest,
    Failed,
    OpenTurnRequest,
    Reply,
    Request,
    TurnCovered,
    TurnOpened,
    TurnRefused,
    TurnVerdict,
)

log = logbook.Logger("delegates")

# A gateway that hears nothing for 1.5 s takes its delegate for lost. While the
# store is away the end of a turn waits for longer than that. Seconds.
PROGRESS_INTERVAL = 0.5
CALLER_LEFT = "the caller left"
NOT_OPEN = "the turn is not open here"
# Ends of turns that were not open here; those of some seconds at the peak.
MAX_EARLY_ENDS = 1000


class TurnServer:
    """Keep accounts for the other gateways of the data centre."""

    def __init__(self, *, local: LocalTurns, ledger: Ledger) -> None:
        self._local = local
        self._ledger = ledger
        self._open: dict[OpeningId, LocalTurn] = {}
        # Openings whose end came while they were not open here, the newest last.
        self._early_ends: OrderedDict[OpeningId, None] = OrderedDict()
        self.stopping = False

    @property
    def open_turns(self) -> int:
        """Return how many turns of other gateways are open."""
        return len(self._open)

    async def answer(self, request: Request, send: Send) -> Reply:
        """Answer a request about a turn."""
        if isinstance(request, CloseTurnRequest):
            self._close(request.opening, request.handed)
            return Accepted()
        work = asyncio.create_task(self._handle(request))
        try:
            # The first word comes at once, and others while the store is awaited.
            while not work.done():
                await send(Accepted())
                await asyncio.wait([work], timeout=PROGRESS_INTERVAL)
        finally:
            work.cancel()
        return work.result()

    async def _handle(self, request: Request) -> Reply:
        if isinstance(request, OpenTurnRequest):
            return await self._open_turn(request.opening, request.start)
        if isinstance(request, ConfirmTurnRequest):
            return await self._confirm(request.opening)
        if isinstance(request, CoverTurnRequest):
            return await self._cover(request)
        if isinstance(request, CommitTurnRequest):
            await self._commit(request)
            return Accepted()
        return failure_reply(f"not for this part: {request}")

    async def _open_turn(self, opening: OpeningId, start: TurnStart) -> Reply:
        if self.stopping:
            return failure_reply("stopping")
        # A process that stood still finds a beginning and its end together, in
        # either order.
        if opening in self._early_ends:
            return failure_reply(CALLER_LEFT)
        opened = await self._local.open(start)
        if isinstance(opened, Lookup):
            return TurnRefused(lookup=opened)
        if isinstance(opened, BudgetVerdict):
            return TurnRefused(verdict=opened)
        if opening in self._early_ends:
            opened.close()
            return failure_reply(CALLER_LEFT)
        self._open[opening] = opened
        loop = asyncio.get_running_loop()
        loop.call_later(start.lifetime, self._expire, opening, start.terms)
        return TurnOpened(
            history=opened.history,
            spent=opened.spent,
            granted=opened.granted,
            covered=opened.covered,
        )

    async def _confirm(self, opening: OpeningId) -> Reply:
        opened = self._open.get(opening)
        if opened is None:
            return failure_reply(NOT_OPEN)
        verdict = await opened.verdict()
        return TurnVerdict(verdict=verdict, covered=opened.covered)

    async def _cover(self, request: CoverTurnRequest) -> Reply:
        opened = self._open.get(request.opening)
        if opened is None:
            return failure_reply(NOT_OPEN)
        opened.hand_out_total(request.handed)
        if not await opened.cover_total(request.total):
            return TurnRefused(verdict=BudgetVerdict.EXCEEDED)
        if request.opening not in self._open:
            # It ended meanwhile, and what covered it may be granted to others.
            return failure_reply(NOT_OPEN)
        return TurnCovered(covered=opened.covered)

    async def _commit(self, request: CommitTurnRequest) -> None:
        opened = self._open.pop(request.opening, None)
        if opened is None:
            # This process took the place of the one that opened it.
            await self._ledger.write(request.terms, request.content)
            return
        opened.hand_out_total(request.handed)
        await opened.commit_for(request.content)

    def _close(self, opening: OpeningId, handed: int) -> None:
        opened = self._open.pop(opening, None)
        if opened is None:
            self._record_early_end(opening)
            return
        opened.hand_out_total(handed)
        opened.close()

    def _record_early_end(self, opening: OpeningId) -> None:
        """Keep in mind that a turn has ended, should its beginning come later.

        A link that fell silent is made anew, and what waits in the old one may be
        read after what came through the new one. Nobody would end such a turn.
        """
        self._early_ends[opening] = None
        if len(self._early_ends) > MAX_EARLY_ENDS:
            self._early_ends.popitem(last=False)

    def _expire(self, opening: OpeningId, terms: TurnTerms) -> None:
        """Count all that a turn was covered for whose gateway never told its end."""
        opened = self._open.get(opening)
        if opened is None:
            return
        tokens = terms.most if opened.covered is None else opened.covered
        log.info(
            "turn {} of {} was never ended by its gateway, {} tokens count as used",
            terms.turn,
            terms.program,
            tokens,
        )
        self._close(opening, tokens)


def failure_reply(reason: str) -> Failed:
    """Return the reply to a request that was not carried out."""
    return Failed(failure=Failure(kind=ErrorKind.INTERRUPTED, reason=reason))
