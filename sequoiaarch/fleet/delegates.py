"""Keep the accounts of programs in one process of each data centre."""

from __future__ import annotations

import asyncio
import itertools

import logbook

from ..ids import HostName, OpeningId, ProgramId, TurnId
from ..ledger.ledger import Ledger
from ..ledger.terms import BudgetVerdict, Lookup, TurnStart
from ..ledger.turns import (
    LocalTurn,
    LocalTurns,
    OpenTurn,
    TurnRefusal,
)
from ..wire.links import Link
from ..wire.messages import (
    CloseTurnRequest,
    OpenTurnRequest,
    Reply,
    TurnOpened,
    TurnRefused,
)
from .claims import slot_of
from .delegate_calls import call_delegate, failure_reason
from .delegated_turn import DelegatedTurn
from .notifier import RETRY_TIMEOUT, Notifier
from .peer_health import PeerHealth
from .peers import Peers
from .ranking import SlotRanking

log = logbook.Logger("delegates")

# A delegate that hears that a turn goes on elsewhere returns what it holds for it
# with one append. Seconds.
HELD_RETRY_PERIOD = 0.4
HELD_RETRY_INTERVAL = 0.1


class DelegateSelector:
    """Choose the process that keeps a program's account, by rendezvous.

    The turns of a program come through all gateways of a data centre. Each
    would read the program's records and have tokens granted to itself, and
    while the store is away could do neither. One that keeps the account has
    the history in memory and knows what was granted.

    It has no authority: the log decides what counts, so two delegates at once,
    or none, cost calls and nothing else.
    """

    def __init__(self, *, own: HostName, peers: Peers, peer_health: PeerHealth) -> None:
        self._own = own
        self._peers = peers
        self.peer_health = peer_health
        self._ranking = SlotRanking(
            own=own, hosts=peers.neighbours, version=lambda: peers.version
        )

    def delegate_of(self, program: ProgramId) -> HostName | None:
        """Return the delegate of a program; None for this process."""
        # By slots like lenders: in one data centre of three the two are the same.
        for host in self._ranking.hosts_for(slot_of(program)):
            if host == self._own:
                return None
            if self.peer_health.available(host):
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
        delegates: DelegateSelector,
        local: LocalTurns,
        ledger: Ledger,
    ) -> None:
        self._delegates = delegates
        self._local = local
        self._ledger = ledger
        self._notifier = Notifier(timeout=RETRY_TIMEOUT)
        self._numbers = itertools.count(1)

    async def open(self, start: TurnStart) -> OpenTurn | TurnRefusal:
        """Reserve a turn and find its history, or say why not."""
        host = self._delegates.delegate_of(start.terms.program)
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
        deadline = asyncio.get_running_loop().time() + HELD_RETRY_PERIOD
        while True:
            opened = await self._local.open(start)
            expired = asyncio.get_running_loop().time() >= deadline
            if opened is not BudgetVerdict.HELD or expired:
                return opened
            await asyncio.sleep(HELD_RETRY_INTERVAL)

    async def _open_at(
        self, host: HostName, start: TurnStart
    ) -> OpenTurn | TurnRefusal | None:
        """Ask a delegate; None where this process has to find out itself."""
        link = self._delegates.link(host)
        if link is None:
            return None
        opening = self._next_opening()
        try:
            reply = await call_delegate(
                link, OpenTurnRequest(opening=opening, start=start)
            )
        except asyncio.CancelledError:
            # The caller left: what the delegate reserved must not count.
            self.report_end(link, opening, start.lifetime, handed=0)
            raise
        if isinstance(reply, TurnOpened):
            self._delegates.peer_health.record_success(host)
            return DelegatedTurn(
                opening=opening,
                start=start,
                opened=reply,
                host=host,
                link=link,
                turns=self,
            )
        if isinstance(reply, TurnRefused):
            self._delegates.peer_health.record_success(host)
            return _definite_refusal(reply)
        # It may open the turn yet. What it then holds has no user: it would stand
        # in the way of this program until the turn's time is over, and count as
        # handed out from then on.
        self.report_end(link, opening, start.lifetime, handed=0)
        self._record_open_failure(host, start, reply)
        return None

    def _record_open_failure(
        self, host: HostName, start: TurnStart, reply: Reply
    ) -> None:
        """Note that a delegate did not open a turn."""
        self._delegates.peer_health.record_failure(host, failure_reason(reply))
        log.info(
            "turn {} of {} goes on here, as {} did not open it: {}",
            start.terms.turn,
            start.terms.program,
            host,
            failure_reason(reply),
        )

    def report_end(
        self, link: Link, opening: OpeningId, lifetime: float, *, handed: int
    ) -> None:
        """Tell a delegate the end of a turn, without waiting for its reply.

        It holds the turn for its lifetime unless it is told, so that long this is
        worth a retry.
        """
        request = CloseTurnRequest(opening=opening, handed=handed)
        self._notifier.notify(link, request, retry_for=lifetime)

    def _next_opening(self) -> OpeningId:
        """Return a name that nobody uses again.

        Callers may use the id of a turn twice. An end that is told again would end
        the later one, which goes on: more than its budget would be handed out.
        """
        return OpeningId(f"{self._ledger.writer}/{next(self._numbers)}")

    async def reserve_locally(self, start: TurnStart) -> LocalTurn | BudgetVerdict:
        """Reserve a turn here whose delegate was lost; its history is known."""
        return await self._local.take(start, None)

    def delegate_lost(self, host: HostName, turn: TurnId, reply: Reply) -> None:
        """Note that a delegate was lost with a turn open."""
        log.info("turn {} is lost at {}: {}", turn, host, failure_reason(reply))
        self._delegates.peer_health.record_failure(host, failure_reason(reply))

    @property
    def ledger(self) -> Ledger:
        """Return the ledger of this process."""
        return self._ledger


def _definite_refusal(reply: TurnRefused) -> TurnRefusal | None:
    """Return why a delegate refused a turn; None where it can't tell."""
    # What it can't tell, this process may reach the store for.
    if reply.lookup is Lookup.ABSENT:
        return reply.lookup
    unsure = reply.verdict in (None, BudgetVerdict.UNCERTAIN)
    return None if unsure else reply.verdict
