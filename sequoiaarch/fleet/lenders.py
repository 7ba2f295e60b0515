"""Cover turns from a part of their budget that no log has to grant."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable, Coroutine
from typing import Any

import logbook
import msgspec

from ..errors import Failure
from ..ids import HostName, LoanId, WriterId
from ..ledger.loans import LoanBook
from ..ledger.terms import BudgetVerdict, TurnTerms
from ..routing.follower import boot_time
from ..storage.keyed import KeyedLog, KeyedRecord, Partition, Writer
from ..wire.links import Link
from ..wire.messages import (
    Accepted,
    LendRequest,
    Lent,
    Reply,
    Request,
    SettleRequest,
)
from .claims import (
    LENDING_LEASE,
    TOPIC,
    CarriedRecord,
    ClaimRecord,
    Claims,
    Retirement,
    slot_name,
    slot_of,
)
from .peers import Peers, first_of
from .standing import Standing
from .turn_server import failed

log = logbook.Logger("lenders")

PARTITION = Partition(topic=TOPIC, number=0)
# A lender answers from memory. One that doesn't within this time is dead,
# frozen or overloaded. Seconds.
ASK_TIMEOUT = 0.15
SETTLE_TIMEOUT = 1.0
# Lenders of a program that are asked; those after the second have too little.
MOST_ASKED = 2
# All processes start together and register within a second; who claims before
# that takes what others would share. Seconds.
FIRST_CLAIM = 3.0
CLAIM_INTERVAL = 2.0
RETRY_SECONDS = 0.5
# What a stopped process had lent goes into one record, which the store bounds at
# 256 KiB: 4,000 programs. With more its claims stay, as after a crash. Bytes.
MOST_CARRIED_BYTES = 192 * 1024


class Loan:
    """Hold tokens that a lender covers a turn with."""

    def __init__(
        self, *, loan: LoanId, terms: TurnTerms, tokens: int, lenders: Lenders
    ) -> None:
        self.terms = terms
        self._loan = loan
        self._tokens = tokens
        self._lenders = lenders
        self._handed = 0
        self._closed = False

    @property
    def granted(self) -> bool:
        """Return True: a loan needs no further verdict."""
        return True

    @property
    def covered(self) -> int | None:
        """Return the tokens that may be handed out unasked."""
        return self._tokens

    async def verdict(self) -> BudgetVerdict:
        """Return that the turn may begin."""
        return BudgetVerdict.FITS

    async def cover(self, total: int) -> bool:
        """Return whether so many tokens may be handed out, or ask for more."""
        if total > self._tokens:
            self._tokens = await self._lenders.raised(self._loan, self.terms)
        return total <= self._tokens

    def hand_out(self, tokens: int) -> None:
        """Count tokens that go to the caller."""
        self._handed += tokens

    def close(self) -> None:
        """Settle the loan; a second time does nothing."""
        if not self._closed:
            self._closed = True
            self._lenders.settle(self._loan, self.terms, self._handed)


class Lenders:
    """Lend to other processes, and borrow from them.

    While the store is away no grant can be written, and a program that begins
    then, or has used what it was granted ahead, would be refused until it gives
    up: 123 of 132 programs that began in an outage of 7 s were.
    """

    def __init__(
        self,
        *,
        writer: WriterId,
        own: HostName,
        peers: Peers,
        book: LoanBook,
        claims: Claims,
        standing: Standing,
        seen_from: Callable[[], float] = boot_time,
        clock: Callable[[], float] = boot_time,
    ) -> None:
        self._writer = writer
        self._own = own
        self._peers = peers
        self._book = book
        self._claims = claims
        self._seen_from = seen_from
        self._clock = clock
        self._standing = standing
        self._retirement = Retirement()
        self._stopped = False
        self._numbers = itertools.count(1)
        self._appends = itertools.count()
        self._where: dict[LoanId, Link | None] = {}
        self._telling: set[asyncio.Task[object]] = set()

    async def borrow(self, terms: TurnTerms, *, least: int) -> Loan | None:
        """Return a loan of `least` tokens or more; None where there is none."""
        request = LendRequest(loan=self._next_loan(), terms=terms, least=least)
        asked = 0
        for lending in self._claims.of(slot_of(terms.program)):
            host = self._host(lending.writer)
            if host is None or not self._standing.usable(host):
                continue
            tokens = await self._ask(host, request)
            if tokens:
                return Loan(loan=request.loan, terms=terms, tokens=tokens, lenders=self)
            asked += 1
            if asked == MOST_ASKED:
                break
        return None

    async def raised(self, loan: LoanId, terms: TurnTerms) -> int:
        """Ask for more on a loan; return the tokens that it has then."""
        link = self._where[loan]
        request = LendRequest(loan=loan, terms=terms, least=0)
        if link is None:
            return self._lend(request)
        reply = await link.call(request, timeout=ASK_TIMEOUT)
        return reply.tokens if isinstance(reply, Lent) else 0

    def settle(self, loan: LoanId, terms: TurnTerms, handed: int) -> None:
        """Tell the lender what was handed out, without waiting for its reply."""
        link = self._where.pop(loan)
        if link is None:
            self._book.settle(loan, terms.program, handed)
        else:
            self._tell(link, loan, terms, handed)

    def answer(self, request: Request) -> Reply:
        """Answer a borrower."""
        if isinstance(request, LendRequest):
            return Lent(tokens=self._lend(request))
        if isinstance(request, SettleRequest):
            self._book.settle(request.loan, request.program, request.handed)
            return Accepted()
        return failed(f"not for this part: {request}")

    async def run(self, keyed_log: KeyedLog, retention: Callable[[], float]) -> None:
        """Claim slots that nobody lends to, and remove claims of the past."""
        await asyncio.sleep(FIRST_CLAIM)
        while True:
            self._book.forget_old()
            slots = self._to_claim()
            if slots and await self._append(keyed_log, slots):
                log.info("lends to the programs of {} slots", len(slots))
            for key in self._to_retire(retention()):
                await self._remove(keyed_log, key)
            await asyncio.sleep(CLAIM_INTERVAL)

    async def stop(self, keyed_log: KeyedLog) -> None:
        """Lend no longer, and leave the place to whoever follows.

        Without it the programs of all slots had a tenth of their budget to
        borrow after all processes had been stopped and started in turn.
        """
        self._stopped = True
        keys = self._claims.keys_of(self._writer)
        carried = CarriedRecord(writer=self._writer, tokens=self._book.totals())
        value = msgspec.json.encode(carried)
        if not keys or len(value) > MOST_CARRIED_BYTES:
            return
        # After the claims in the order of keys too: a list that is read in
        # pages must not show that they are gone and not what they had lent.
        records = [KeyedRecord(key=f"{self._writer}/carried", value=value)]
        records += [KeyedRecord(key=key, value=b"") for key in keys]
        await self._write(keyed_log, next(self._appends), records)
        log.info("{} claims were taken back", len(keys))

    def _host(self, writer: WriterId) -> HostName | None:
        """Return where a process runs; None if it is gone."""
        return self._own if writer == self._writer else self._peers.host_of(writer)

    def _registered(self, writer: WriterId) -> bool:
        return self._host(writer) is not None

    def _live(self, writer: WriterId) -> bool:
        """Return whether a process lends, as far as is known here.

        This decides who claims besides it, never who loses a place. A machine
        that is gone for good stays registered; the programs of its slots, one
        in eight with eight machines, had nobody to lend to them.
        """
        host = self._host(writer)
        return host is not None and not self._standing.gone(host)

    def _next_loan(self) -> LoanId:
        return LoanId(f"{self._writer}/{next(self._numbers)}")

    async def _ask(self, host: HostName, request: LendRequest) -> int:
        """Return what a host lends, and remember where the loan is if it does."""
        if host == self._own:
            tokens = self._lend(request)
            if tokens:
                self._where[request.loan] = None
            return tokens
        link = self._peers.link(host)
        if link is None:
            return 0
        try:
            reply = await link.call(request, timeout=ASK_TIMEOUT)
        except asyncio.CancelledError:
            self._tell(link, request.loan, request.terms, 0)
            raise
        if not isinstance(reply, Lent):
            # It may have lent although its answer didn't come: return it all.
            self._standing.failed(host, str(reply))
            self._tell(link, request.loan, request.terms, 0)
            return 0
        self._standing.served(host)
        if reply.tokens:
            self._where[request.loan] = link
        return reply.tokens

    def _tell(self, link: Link, loan: LoanId, terms: TurnTerms, handed: int) -> None:
        request = SettleRequest(loan=loan, program=terms.program, handed=handed)
        self._start(link.call(request, timeout=SETTLE_TIMEOUT))

    def _start(self, telling: Coroutine[Any, Any, object]) -> None:
        task = asyncio.create_task(telling)
        self._telling.add(task)
        task.add_done_callback(self._telling.discard)

    def _lend(self, request: LendRequest) -> int:
        place = self._place(request.terms)
        if place is None:
            return 0
        return self._book.lend(request.loan, request.terms, place, request.least)

    def _place(self, terms: TurnTerms) -> int | None:
        """Return this process's place for a program; None if it may not lend."""
        if self._stopped or not self._peers.registered(self._writer):
            return None
        if self._clock() - self._seen_from() > LENDING_LEASE:
            return None
        for lending in self._claims.of(slot_of(terms.program)):
            if lending.writer == self._writer:
                return lending.place
        return None

    def _to_claim(self) -> list[int]:
        """Return the slots that fall to this process, by rendezvous."""
        if self._stopped or not self._peers.registered(self._writer):
            return []
        new = set(self._claims.unclaimed(self._registered))
        return [
            slot
            for slot in self._claims.unclaimed(self._live)
            if self._first(slot, near=slot not in new) == self._own
        ]

    def _first(self, slot: int, *, near: bool) -> HostName:
        """Return the host to which a slot falls, of all or of the data centre.

        That a registered machine is gone is known only where its requests go.
        """
        others = self._peers.near() if near else self._peers.hosts()
        hosts = [host for host in others if not self._standing.gone(host)]
        return first_of(slot_name(slot), (self._own, *hosts))

    def _to_retire(self, retention: float) -> list[str]:
        """Return the claims that can go, by registrations alone.

        A process that only this one can't reach still lends to others.
        """
        return self._retirement.due(self._claims.writers(), self._registered, retention)

    async def _append(self, keyed_log: KeyedLog, slots: list[int]) -> bool:
        number = next(self._appends)
        claim = ClaimRecord(writer=self._writer, slots=tuple(slots))
        key = f"{self._writer}/{number}"
        value = msgspec.json.encode(claim)
        record = KeyedRecord(key=key, value=value)
        return await self._write(keyed_log, number, [record])

    async def _remove(self, keyed_log: KeyedLog, key: str) -> None:
        number = next(self._appends)
        if await self._write(keyed_log, number, [KeyedRecord(key=key, value=b"")]):
            log.info("claim {} was removed, its process is long gone", key)

    async def _write(
        self, keyed_log: KeyedLog, number: int, records: list[KeyedRecord]
    ) -> bool:
        """Write records; the same ones are tried again until that is known."""
        writer = Writer(name=f"lender-{self._writer}", epoch=1, sequence=number)
        while True:
            done = await keyed_log.append(PARTITION, records, writer=writer)
            if not isinstance(done, Failure):
                return True
            await asyncio.sleep(RETRY_SECONDS)
