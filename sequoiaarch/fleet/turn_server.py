"""Serve turns as the delegate of other gateways in the data centre."""

from __future__ import annotations

import asyncio
from collections import OrderedDict

import logbook

from ..errors import ErrorKind, Failure, FailureError
from ..ids import InstanceId, OpeningId
from ..ledger.ledger import Ledger
from ..ledger.terms import BudgetVerdict, LookupFailure, TurnTerms
from ..ledger.turns import LocalTurn, TurnOpener
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

# Interval of progress replies, below the gateway's timeout, as a commit may wait for
# the store for longer. Seconds.
PROGRESS_INTERVAL = 0.5
CALLER_LEFT = "the caller left"
NOT_OPEN = "the turn is not open here"
# Maximum number of remembered ends that arrived before their opening.
MAX_EARLY_ENDS = 1000


class TurnServer:
    """Keep the budget accounts of turns that run at other gateways."""

    def __init__(self, *, local: TurnOpener, ledger: Ledger) -> None:
        self._local = local
        self._ledger = ledger
        self._open: dict[OpeningId, LocalTurn] = {}
        # Openings whose end arrived while they were not open, the newest last.
        self._early_ends: OrderedDict[OpeningId, None] = OrderedDict()
        self.stopping = False

    @property
    def open_turns(self) -> int:
        """Return the number of open turns of other gateways."""
        return len(self._open)

    async def answer(self, request: Request, send: Send) -> Reply:
        """Handle a request about a turn."""
        if isinstance(request, CloseTurnRequest):
            self._close(request.opening, request.handed, ran_at=request.ran_at)
            return Accepted()
        work = asyncio.create_task(self._handle(request))
        try:
            # The first reply acknowledges the request; later ones report progress.
            while not work.done():
                await send(Accepted())
                await asyncio.wait([work], timeout=PROGRESS_INTERVAL)
        finally:
            work.cancel()
        return work.result()

    async def _handle(self, request: Request) -> Reply:
        if isinstance(request, OpenTurnRequest):
            return await self._open_turn(request)
        if isinstance(request, ConfirmTurnRequest):
            return await self._confirm(request.opening)
        if isinstance(request, CoverTurnRequest):
            return await self._cover(request)
        if isinstance(request, CommitTurnRequest):
            await self._commit(request)
            return Accepted()
        return failure_reply(f"unexpected request for a delegate: {request}")

    async def _open_turn(self, request: OpenTurnRequest) -> Reply:
        opening, start = request.opening, request.start
        if self.stopping:
            return failure_reply("stopping")
        # After a freeze, an opening and its end can be read in either order.
        if opening in self._early_ends:
            return failure_reply(CALLER_LEFT)
        try:
            opened = await self._local.open(start, request.demand)
        except FailureError as error:
            if error.failure.kind is not ErrorKind.OVERLOADED:
                return Failed(failure=error.failure)
            return TurnRefused(
                retry_after=error.failure.retry_delay, reason=error.failure.reason
            )
        if isinstance(opened, LookupFailure):
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
            granted=opened.is_granted,
            covered=opened.covered,
            home=opened.engine.home,
            placed_by=opened.engine.placed_by,
            judged=request.demand is not None,
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
        opened.record_total_usage(request.handed)
        if not await opened.cover_total(request.total):
            return TurnRefused(verdict=BudgetVerdict.EXCEEDED)
        if request.opening not in self._open:
            # The turn ended meanwhile, and its tokens may be granted to others.
            return failure_reply(NOT_OPEN)
        return TurnCovered(covered=opened.covered)

    async def _commit(self, request: CommitTurnRequest) -> None:
        opened = self._open.pop(request.opening, None)
        if opened is None:
            # The turn was opened by an earlier process on this host.
            await self._ledger.write(request.terms, request.content)
            return
        opened.record_total_usage(request.handed)
        opened.engine.ran_at = request.ran_at
        await opened.commit_content(request.content)

    def _close(
        self, opening: OpeningId, used: int, *, ran_at: InstanceId | None = None
    ) -> None:
        opened = self._open.pop(opening, None)
        if opened is None:
            self._record_early_end(opening)
            return
        opened.record_total_usage(used)
        opened.engine.ran_at = ran_at
        opened.close()

    def _record_early_end(self, opening: OpeningId) -> None:
        """Record an end that arrived before its opening.

        After a reconnect, messages of the old connection can be read after those of
        the new one. Nobody would ever end a turn that is opened then.
        """
        self._early_ends[opening] = None
        if len(self._early_ends) > MAX_EARLY_ENDS:
            self._early_ends.popitem(last=False)

    def _expire(self, opening: OpeningId, terms: TurnTerms) -> None:
        """Close a turn whose gateway never ended it, with its whole grant used."""
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
