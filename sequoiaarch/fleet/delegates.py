"""Open turns through the delegate that keeps a program's account."""

from __future__ import annotations

import asyncio
import itertools

import logbook

from ..ids import HostName, InstanceId, OpeningId, ProgramId, TurnId
from ..ledger.ledger import Ledger
from ..ledger.terms import BudgetVerdict, LookupFailure, TurnStart
from ..ledger.turns import (
    LocalTurn,
    LocalTurns,
    OpenTurn,
    TurnOpener,
    TurnRefusal,
)
from ..policies.program_placement import ProgramDemand
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
from .notifier import ATTEMPT_TIMEOUT, Notifier
from .peer_health import PeerHealth
from .peers import Peers
from .placed_turns import check_estimate, overloaded
from .ranking import SlotRanking

log = logbook.Logger("delegates")

# How long to retry while the budget is held: a late delegate needs one append to
# release a turn that continues elsewhere. Seconds.
HELD_RETRY_PERIOD = 0.4
HELD_RETRY_INTERVAL = 0.1


class DelegateSelector:
    """Choose the process that keeps a program's account, by rendezvous hashing.

    Hosts get programs in proportion to their capacity, where all have registered it.

    Turns of one program arrive at all gateways of a data centre. The delegate keeps
    the history and the grants in memory, so that the others need not read the log
    and turns continue while the store is unavailable.

    The log remains authoritative: two delegates at once, or none, only cost extra
    calls.
    """

    def __init__(self, *, own: HostName, peers: Peers, peer_health: PeerHealth) -> None:
        self._own = own
        self._peers = peers
        self.peer_health = peer_health
        self._ranking = SlotRanking(
            own=own,
            hosts=peers.neighbours,
            weights=peers.local_weights,
            version=lambda: peers.version,
        )

    def delegate_of(self, program: ProgramId) -> HostName | None:
        """Return the delegate of a program; None for this process."""
        # The same slots as for lenders, so that delegate and lender often coincide.
        for host in self._ranking.hosts_for(slot_of(program)):
            if host == self._own:
                return None
            if self.peer_health.usable(host):
                return host
        return None

    def link(self, host: HostName) -> Link | None:
        """Return the link to a delegate; None if it is not registered."""
        return self._peers.link(host)


class DelegatedTurns:
    """Open turns through the delegate of their program, or locally without one."""

    def __init__(
        self,
        *,
        delegates: DelegateSelector,
        local: LocalTurns,
        ledger: Ledger,
        placed: TurnOpener | None = None,
    ) -> None:
        """Open turns locally through `placed`, which assigns programs to engines."""
        self._delegates = delegates
        self._local = local
        self._placed = placed or local
        self._ledger = ledger
        # Delegates of an older build, which place no programs.
        self._older: set[HostName] = set()
        self._notifier = Notifier(timeout=ATTEMPT_TIMEOUT)
        self._numbers = itertools.count(1)

    async def open(
        self, start: TurnStart, demand: ProgramDemand | None = None
    ) -> OpenTurn | TurnRefusal:
        """Reserve a turn and load its history, or return why that is refused."""
        host = self._delegates.delegate_of(start.terms.program)
        if host is not None:
            opened = await self._open_at(host, start, demand)
            return await self._open_here(start, demand) if opened is None else opened
        return await self._placed.open(start, demand)

    async def _open_here(
        self, start: TurnStart, demand: ProgramDemand | None
    ) -> LocalTurn | TurnRefusal:
        """Open a turn in this process after its delegate failed to.

        Retries for a moment while the budget is held: a delegate that was only late
        holds it for this very turn until it receives the end.
        """
        deadline = asyncio.get_running_loop().time() + HELD_RETRY_PERIOD
        while True:
            opened = await self._placed.open(start, demand)
            expired = asyncio.get_running_loop().time() >= deadline
            if opened is not BudgetVerdict.HELD or expired:
                return opened
            await asyncio.sleep(HELD_RETRY_INTERVAL)

    async def _open_at(
        self, host: HostName, start: TurnStart, demand: ProgramDemand | None
    ) -> OpenTurn | TurnRefusal | None:
        """Open a turn at its delegate; None if this process has to open it."""
        link = self._delegates.link(host)
        if link is None:
            return None
        if demand is not None and host in self._older:
            await check_estimate(start, self._ledger)
        opening = self._next_opening()
        try:
            reply = await call_delegate(
                link, OpenTurnRequest(opening=opening, start=start, demand=demand)
            )
        except asyncio.CancelledError:
            # The caller left; release what the delegate may have reserved.
            self.report_end(link, opening, start.lifetime, used=0)
            raise
        if isinstance(reply, TurnOpened):
            self._delegates.peer_health.request_succeeded(host)
            self._record_build(host, demand, judged=reply.judged)
            return DelegatedTurn(
                opening=opening,
                start=start,
                opened=reply,
                host=host,
                link=link,
                turns=self,
            )
        if isinstance(reply, TurnRefused):
            self._delegates.peer_health.request_succeeded(host)
            if reply.retry_after is not None:
                raise overloaded(reply.reason, reply.retry_after)
            return _definite_refusal(reply)
        # The delegate may still open the turn. Without this report it would hold the
        # tokens for the turn's lifetime and then count them as used.
        self.report_end(link, opening, start.lifetime, used=0)
        self._record_open_failure(host, start, reply)
        return None

    def _record_build(
        self, host: HostName, demand: ProgramDemand | None, *, judged: bool
    ) -> None:
        """Record whether a delegate places programs."""
        if judged:
            self._older.discard(host)
        elif demand is not None:
            self._older.add(host)

    def _record_open_failure(
        self, host: HostName, start: TurnStart, reply: Reply
    ) -> None:
        """Record that a delegate failed to open a turn."""
        self._delegates.peer_health.request_failed(host, failure_reason(reply))
        log.info(
            "turn {} of {} goes on here, as {} did not open it: {}",
            start.terms.turn,
            start.terms.program,
            host,
            failure_reason(reply),
        )

    def report_end(
        self,
        link: Link,
        opening: OpeningId,
        lifetime: float,
        *,
        used: int,
        ran_at: InstanceId | None = None,
    ) -> None:
        """Report the end of a turn to its delegate in the background.

        Retries for the turn's lifetime in seconds, as long as the delegate holds it.
        """
        request = CloseTurnRequest(opening=opening, handed=used, ran_at=ran_at)
        self._notifier.notify(link, request, retry_for=lifetime)

    def _next_opening(self) -> OpeningId:
        """Return a unique id for one attempt to open a turn.

        Callers may reuse turn ids. A repeated end report for one attempt must not
        close a later one.
        """
        return OpeningId(f"{self._ledger.writer}/{next(self._numbers)}")

    async def reserve_locally(self, start: TurnStart) -> LocalTurn | BudgetVerdict:
        """Reserve tokens in this process for a turn whose delegate was lost."""
        return await self._local.reserve(start, None)

    def delegate_lost(self, host: HostName, turn: TurnId, reply: Reply) -> None:
        """Record that a delegate failed while a turn was open."""
        log.info("turn {} lost its delegate {}: {}", turn, host, failure_reason(reply))
        self._delegates.peer_health.request_failed(host, failure_reason(reply))

    @property
    def ledger(self) -> Ledger:
        """Return the ledger of this process."""
        return self._ledger


def _definite_refusal(reply: TurnRefused) -> TurnRefusal | None:
    """Return why a delegate refused a turn; None if it was uncertain."""
    # Where the delegate is uncertain, this process may still reach the store.
    if reply.lookup is LookupFailure.ABSENT:
        return reply.lookup
    uncertain = reply.verdict in (None, BudgetVerdict.UNCERTAIN)
    return None if uncertain else reply.verdict
