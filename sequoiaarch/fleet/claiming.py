"""Claim slots of programs for this process, and remove claims of the past."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable

import logbook
import msgspec

from ..errors import Failure
from ..ids import HostName, ProgramId, WriterId
from ..ledger.loans import LoanBook
from ..routing.follower import boottime_clock
from ..storage.keyed import KeyedLog, KeyedRecord, Partition, Writer
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
from .peers import Peers
from .ranking import leads
from .standing import Standing

log = logbook.Logger("lenders")

PARTITION = Partition(topic=TOPIC, number=0)
# All processes start together and register within a second; who claims before
# that takes what others would share. Seconds.
FIRST_CLAIM = 3.0
CLAIM_INTERVAL = 2.0
RETRY_SECONDS = 0.5
# What a stopped process had lent goes into one record, which the store bounds at
# 256 KiB: 4,000 programs. With more its claims stay, as after a crash. Bytes.
MOST_CARRIED_BYTES = 192 * 1024


class Claiming:
    """Keep this process's claims in the log, and say what they allow it.

    The place of a process among the lenders of a slot follows from the order of
    the claims; without one it lends nothing.
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
        seen_from: Callable[[], float] = boottime_clock,
        clock: Callable[[], float] = boottime_clock,
    ) -> None:
        self._writer = writer
        self._own = own
        self._peers = peers
        self._book = book
        self._claims = claims
        self._standing = standing
        self._seen_from = seen_from
        self._clock = clock
        self.retirement = Retirement()
        self._stopped = False
        self._appends = itertools.count()

    def place(self, program: ProgramId) -> int | None:
        """Return this process's place for a program; None if it may not lend."""
        if self._stopped or not self._peers.registered(self._writer):
            return None
        if self._clock() - self._seen_from() > LENDING_LEASE:
            return None
        for lending in self._claims.of(slot_of(program)):
            if lending.writer == self._writer:
                return lending.place
        return None

    def host(self, writer: WriterId) -> HostName | None:
        """Return where a process runs; None if it is gone."""
        return self._own if writer == self._writer else self._peers.host_of(writer)

    async def run(self, keyed_log: KeyedLog, retention: Callable[[], float]) -> None:
        """Claim slots that nobody lends to, and remove claims of the past."""
        await asyncio.sleep(FIRST_CLAIM)
        while True:
            self._book.forget_old()
            slots = self._to_claim()
            if slots:
                await self._append(keyed_log, slots)
                log.info("lends to the programs of {} slots", len(slots))
            for key in self.to_retire(retention()):
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

    def _to_claim(self) -> list[int]:
        """Return the slots that fall to this process, by rendezvous."""
        if self._stopped or not self._peers.registered(self._writer):
            return []
        new = set(self._claims.unclaimed(self._registered))
        return [
            slot
            for slot in self._claims.unclaimed(self._live)
            if self._falls_here(slot, near=slot not in new)
        ]

    def _falls_here(self, slot: int, *, near: bool) -> bool:
        """Return whether a slot falls to this host, of all or of the data centre.

        That a registered machine is gone is known only where its requests go.
        """
        others = self._peers.near() if near else self._peers.hosts()
        hosts = (host for host in others if not self._standing.gone(host))
        return leads(self._own, slot_name(slot), hosts)

    def to_retire(self, retention: float) -> list[str]:
        """Return the claims that can go, by registrations alone.

        A process that only this one can't reach still lends to others.
        """
        return self.retirement.due(self._claims.writers(), self._registered, retention)

    def _registered(self, writer: WriterId) -> bool:
        return self.host(writer) is not None

    def _live(self, writer: WriterId) -> bool:
        """Return whether a process lends, as far as is known here.

        This decides who claims besides it, never who loses a place. A machine
        that is gone for good stays registered; the programs of its slots, one
        in eight with eight machines, had nobody to lend to them.
        """
        host = self.host(writer)
        return host is not None and not self._standing.gone(host)

    async def _append(self, keyed_log: KeyedLog, slots: list[int]) -> None:
        number = next(self._appends)
        claim = ClaimRecord(writer=self._writer, slots=tuple(slots))
        key = f"{self._writer}/{number}"
        value = msgspec.json.encode(claim)
        record = KeyedRecord(key=key, value=value)
        await self._write(keyed_log, number, [record])

    async def _remove(self, keyed_log: KeyedLog, key: str) -> None:
        number = next(self._appends)
        await self._write(keyed_log, number, [KeyedRecord(key=key, value=b"")])
        log.info("claim {} was removed, its process is long gone", key)

    async def _write(
        self, keyed_log: KeyedLog, number: int, records: list[KeyedRecord]
    ) -> None:
        """Write records; the same ones are tried again until the store has them."""
        writer = Writer(name=f"lender-{self._writer}", epoch=1, sequence=number)
        while True:
            done = await keyed_log.append(PARTITION, records, writer=writer)
            if not isinstance(done, Failure):
                return
            await asyncio.sleep(RETRY_SECONDS)
