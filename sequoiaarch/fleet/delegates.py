"""Keep the accounts of programs in one process of each data centre."""

from __future__ import annotations

import asyncio
import itertools

import logbook
import msgspec

from ..ids import HostName, Offset, OpeningId, ProgramId, TurnId
from ..ledger.ledger import Ledger
from ..ledger.terms import BudgetVerdict, History, Lookup, TurnContent, TurnStart
from ..ledger.turns import (
    CALLER_PATIENCE,
    COVER_RETRY,
    LocalTurn,
    LocalTurns,
    OpenTurn,
    TurnRefusal,
    content_of,
)
from ..wire.links import Link
from ..wire.messages import (
    Accepted,
    CloseTurnRequest,
    CommitTurnRequest,
    ConfirmTurnRequest,
    CoverTurnRequest,
    Failed,
    OpenTurnRequest,
    Reply,
    TurnCovered,
    TurnOpened,
    TurnRefused,
    TurnVerdict,
)
from .claims import slot_of
from .peers import Peers
from .ranking import SlotRanking
from .standing import Standing
from .telling import RETRY_TIMEOUT, Telling
from .turn_server import failed

log = logbook.Logger("delegates")

# A delegate says at once that it works on a request. One that does not within
# this time is dead, frozen or overloaded; a turn takes about 0.25 s. Seconds.
FIRST_WORD = 0.1
# A stream bears a longer pause than its beginning, and what a delegate has granted
# is lost with it. Seconds.
COVER_FIRST_WORD = 0.4
# What follows waits for the store, which may be slow. Seconds.
LAST_WORD = 1.5
# A delegate that hears that a turn goes on elsewhere returns what it holds for it
# with one append. Seconds.
RETURN_WAIT = 0.4
RETURN_CHECK = 0.1


class Delegates:
    """Choose the process that keeps a program's account, by rendezvous.

    The turns of a program come through all gateways of a data centre. Each
    would read the program's records and have tokens granted to itself, and
    while the store is away could do neither. One that keeps the account has
    the history in memory and knows what was granted.

    It has no authority: the log decides what counts, so two delegates at once,
    or none, cost calls and nothing else.
    """

    def __init__(self, *, own: HostName, peers: Peers, standing: Standing) -> None:
        self._own = own
        self._peers = peers
        self.standing = standing
        self._ranking = SlotRanking(
            own=own, hosts=peers.near, version=lambda: peers.version
        )

    def of(self, program: ProgramId) -> HostName | None:
        """Return the delegate of a program; None for this process."""
        # By slots like lenders: in one data centre of three the two are the same.
        for host in self._ranking.order(slot_of(program)):
            if host == self._own:
                return None
            if self.standing.usable(host):
                return host
        return None

    def link(self, host: HostName) -> Link | None:
        """Return the link to a delegate; None if its address is gone."""
        return self._peers.link(host)


class DelegatedTurns:
    """Open turns through the delegate of their program, or else here."""

    def __init__(
        self,
        *,
        delegates: Delegates,
        local: LocalTurns,
        ledger: Ledger,
    ) -> None:
        self._delegates = delegates
        self._local = local
        self._ledger = ledger
        self._telling = Telling(timeout=RETRY_TIMEOUT)
        self._numbers = itertools.count(1)

    async def open(self, start: TurnStart) -> OpenTurn | TurnRefusal:
        """Reserve a turn and find its history, or say why not."""
        host = self._delegates.of(start.terms.program)
        if host is not None:
            opened = await self._open_at(host, start)
            return await self._open_here(start) if opened is None else opened
        return await self._local.open(start)

    async def _open_here(self, start: TurnStart) -> LocalTurn | TurnRefusal:
        """Open a turn here that its delegate did not.

        If the delegate was only late it holds the budget for the same turn until it
        hears of the end. Through a delegate that stays slow each try of a caller
        would be refused for what its own try holds.
        """
        deadline = asyncio.get_running_loop().time() + RETURN_WAIT
        while True:
            opened = await self._local.open(start)
            expired = asyncio.get_running_loop().time() >= deadline
            if opened is not BudgetVerdict.HELD or expired:
                return opened
            await asyncio.sleep(RETURN_CHECK)

    async def _open_at(
        self, host: HostName, start: TurnStart
    ) -> OpenTurn | TurnRefusal | None:
        """Ask a delegate; None where this process has to find out itself."""
        link = self._delegates.link(host)
        if link is None:
            return None
        opening = self._next_opening()
        try:
            reply = await _ask(link, OpenTurnRequest(opening=opening, start=start))
        except asyncio.CancelledError:
            # The caller left: what the delegate reserved must not count.
            self.tell_end(link, opening, start.lifetime, handed=0)
            raise
        if isinstance(reply, TurnOpened):
            self._delegates.standing.served(host)
            return DelegatedTurn(
                opening=opening,
                start=start,
                opened=reply,
                host=host,
                link=link,
                turns=self,
            )
        if isinstance(reply, TurnRefused):
            self._delegates.standing.served(host)
            return _sure_refusal(reply)
        # It may open the turn yet. What it then holds has no user: it would stand
        # in the way of this program until the turn's time is over, and count as
        # handed out from then on.
        self.tell_end(link, opening, start.lifetime, handed=0)
        self._pass_over(host, start, reply)
        return None

    def _pass_over(self, host: HostName, start: TurnStart, reply: Reply) -> None:
        """Note that a delegate did not open a turn."""
        self._delegates.standing.failed(host, _reason(reply))
        log.info(
            "turn {} of {} goes on here, as {} did not open it: {}",
            start.terms.turn,
            start.terms.program,
            host,
            _reason(reply),
        )

    def tell_end(
        self, link: Link, opening: OpeningId, lifetime: float, *, handed: int
    ) -> None:
        """Tell a delegate the end of a turn, without waiting for its reply.

        It holds the turn for its lifetime unless it is told, so that long this is
        worth a retry.
        """
        request = CloseTurnRequest(opening=opening, handed=handed)
        self._telling.tell(link, request, patience=lifetime)

    def _next_opening(self) -> OpeningId:
        """Return a name that nobody uses again.

        Callers may use the id of a turn twice. An end that is told again would end
        the later one, which goes on: more than its budget would be handed out.
        """
        return OpeningId(f"{self._ledger.writer}/{next(self._numbers)}")

    async def take_over(self, start: TurnStart) -> LocalTurn | BudgetVerdict:
        """Reserve a turn here whose delegate was lost; its history is known."""
        return await self._local.take(start, None)

    def lost(self, host: HostName, turn: TurnId, reply: Reply) -> None:
        """Note that a delegate was lost with a turn open."""
        log.info("turn {} is lost at {}: {}", turn, host, _reason(reply))
        self._delegates.standing.failed(host, _reason(reply))

    @property
    def ledger(self) -> Ledger:
        """Return the ledger of this process."""
        return self._ledger


class DelegatedTurn:
    """Hold a turn whose account another process keeps.

    If that one is lost, the turn goes on here: tokens are reserved once more
    by this process, and the turn is written by it. The other one is told how much
    went out under its grant, in case it was only late. If that never reaches it,
    all that the turn was covered for there counts as handed out, which is safe.
    """

    def __init__(
        self,
        *,
        opening: OpeningId,
        start: TurnStart,
        opened: TurnOpened,
        host: HostName,
        link: Link,
        turns: DelegatedTurns,
    ) -> None:
        self._opening = opening
        self._start = start
        self._opened = opened
        self._host = host
        self._link = link
        self._turns = turns
        self._handed = 0
        self._covered = opened.covered
        self._ended = False
        # Whether the delegate knows that it holds the turn for nobody, or is being
        # told; the turn itself may go on here.
        self._told_end = False
        self._own: LocalTurn | None = None
        self._announced: asyncio.Future[Offset] | None = None

    @property
    def history(self) -> History | None:
        """Return what the turn continues; None at the start of a chain."""
        return self._opened.history

    @property
    def spent(self) -> int:
        """Return the tokens that the program had used before."""
        return self._opened.spent

    @property
    def where(self) -> str:
        """Return which process keeps the account, for the log."""
        if self._own is not None:
            return f"{self._own.where} after all"
        part = "" if self._covered is None else f", {self._covered} held"
        return f"at {self._host}{part}"

    async def verdict(self) -> BudgetVerdict:
        """Wait until it is known whether the turn is granted."""
        if self._own is not None:
            return await self._own.verdict()
        if self._opened.granted:
            return BudgetVerdict.FITS
        request = ConfirmTurnRequest(opening=self._opening)
        reply = await _ask(self._link, request)
        if (
            isinstance(reply, TurnVerdict)
            and reply.verdict is not BudgetVerdict.UNCERTAIN
        ):
            self._covered = reply.covered
            return reply.verdict
        if not isinstance(reply, TurnVerdict):
            self._turns.lost(self._host, self._start.terms.turn, reply)
        self._tell_end()
        taken = await self._turns.take_over(self._start)
        if isinstance(taken, BudgetVerdict):
            return taken
        self._own = taken
        return await taken.verdict()

    def announce(self) -> None:
        """Write the program of the turn beside its run."""
        self._announced = self._turns.ledger.announce(self._start.terms)

    def covers(self, tokens: int) -> bool:
        """Return whether so many more tokens may go to the caller unasked."""
        if self._own is not None:
            return self._own.covers(tokens)
        return self._covered is None or self._handed + tokens <= self._covered

    async def cover(self, tokens: int) -> bool:
        """Ask for so many more tokens; return whether they may go to the caller."""
        if self._own is not None:
            return await self._own.cover(tokens)
        if self.covers(tokens):
            return True
        covered = await self._cover_there(tokens)
        if covered is not None:
            return covered
        taken = await self._go_on_here()
        return taken is not None and await taken.cover(tokens)

    async def _cover_there(self, tokens: int) -> bool | None:
        """Ask the delegate for more; None where it is lost."""
        request = CoverTurnRequest(
            opening=self._opening,
            total=self._handed + tokens,
            handed=self._handed,
        )
        reply = await _ask(self._link, request, first_word=COVER_FIRST_WORD)
        if isinstance(reply, TurnCovered):
            self._covered = reply.covered
            return True
        # The turn's end can overtake this request, which then finds it not open there:
        # a delegate that is well would be passed over, and a rest reserved for nobody.
        if self._ended or isinstance(reply, TurnRefused):
            return False
        self._turns.lost(self._host, self._start.terms.turn, reply)
        return None

    async def _go_on_here(self) -> LocalTurn | None:
        """Reserve the rest of the turn here, as its delegate was lost midway.

        A delegate that only was slow hears what was handed out under its grant.
        What it still claims for this turn may leave no room until it has
        returned that or is known to be lost; the stream waits for it. Else it
        would be cut at once where little is left of the budget.
        """
        self._tell_end()
        terms = self._start.terms
        rest = terms.rest(max(1, terms.most - self._handed))
        start = msgspec.structs.replace(self._start, terms=rest)
        deadline = asyncio.get_running_loop().time() + CALLER_PATIENCE
        while not self._ended and asyncio.get_running_loop().time() < deadline:
            taken = await self._turns.take_over(start)
            if isinstance(taken, LocalTurn) and await self._accept(taken):
                self._own = taken
                return taken
            await asyncio.sleep(COVER_RETRY)
        return None

    async def _accept(self, taken: LocalTurn) -> bool:
        """Return whether the turn can go on with what was taken, or give it back."""
        accepted = False
        try:
            fits = await taken.verdict() is BudgetVerdict.FITS
            accepted = fits and not self._ended
        finally:
            # The end of the turn closes only what is in use. Left open by a caller that
            # leaves, this would be missing from the budget for good.
            if not accepted:
                taken.close()
        return accepted

    def hand_out(self, tokens: int) -> None:
        """Count tokens that go to the caller."""
        if self._own is not None:
            self._own.hand_out(tokens)
        else:
            self._handed += tokens

    async def commit(self, given: bytes, produced: bytes) -> None:
        """Make the turn part of the history; return once that is durable."""
        self._ended = True
        content = content_of(self._start, self.history, given, produced)
        if self._own is not None:
            await self._own.commit_for(content)
        else:
            await self._commit_there(content)
        if self._announced is not None:
            await self._announced

    def close(self) -> None:
        """Return what the turn did not use; a second time does nothing."""
        self._ended = True
        if self._own is not None:
            self._own.close()
        self._tell_end()

    def _tell_end(self) -> None:
        """Tell the delegate what was handed out under its grant, once."""
        if self._told_end:
            return
        self._told_end = True
        self._turns.tell_end(
            self._link, self._opening, self._start.lifetime, handed=self._handed
        )

    async def _commit_there(self, content: TurnContent) -> None:
        terms = self._start.terms
        request = CommitTurnRequest(
            opening=self._opening, terms=terms, handed=self._handed, content=content
        )
        reply = await _ask(self._link, request)
        if isinstance(reply, Accepted):
            self._told_end = True
            return
        self._tell_end()
        # It may have been written there too: the same record under the same key.
        self._turns.lost(self._host, self._start.terms.turn, reply)
        await self._turns.ledger.write(terms, content)


def _sure_refusal(reply: TurnRefused) -> TurnRefusal | None:
    """Return why a delegate refused a turn; None where it can't tell."""
    # What it can't tell, this process may reach the store for.
    if reply.lookup is Lookup.ABSENT:
        return reply.lookup
    unsure = reply.verdict in (None, BudgetVerdict.UNCERTAIN)
    return None if unsure else reply.verdict


async def _ask(
    link: Link,
    request: OpenTurnRequest
    | ConfirmTurnRequest
    | CoverTurnRequest
    | CommitTurnRequest,
    *,
    first_word: float = FIRST_WORD,
) -> Reply:
    """Return the last reply, if the first one comes soon enough."""
    replies = link.stream(request)
    last: Reply = failed("no reply")
    try:
        async with asyncio.timeout(first_word) as limit:
            async for reply in replies:
                last = reply
                limit.reschedule(asyncio.get_running_loop().time() + LAST_WORD)
    except TimeoutError:
        return failed("no reply in time")
    return last


def _reason(reply: Reply) -> str:
    return reply.failure.reason if isinstance(reply, Failed) else str(reply)
