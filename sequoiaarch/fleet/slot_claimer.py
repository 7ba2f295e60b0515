"""Claim program slots for this process and remove expired claims."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Awaitable, Callable

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
    ClaimExpiry,
    ClaimRecord,
    Claims,
    slot_name,
    slot_of,
)
from .peer_health import PeerHealth
from .peers import Peers
from .ranking import ranks_first

log = logbook.Logger("lenders")

PARTITION = Partition(topic=TOPIC, number=0)
# Delay of the first claims: processes that start together register meanwhile, so that
# they share the slots. Seconds.
FIRST_CLAIM_DELAY = 3.0
CLAIM_INTERVAL = 2.0
RETRY_INTERVAL = 0.5
# Stays below the store's limit of 256 KiB for a record. A process whose loans take
# more keeps its claims when it stops, as after a crash. Bytes.
MAX_CARRIED_BYTES = 192 * 1024


class SlotClaimer:
    """Maintain this process's slot claims in the log.

    The order of the claims in the log gives the rank of a process among the lenders
    of a slot. Without a claim a process lends nothing.
    """

    def __init__(
        self,
        *,
        writer: WriterId,
        own: HostName,
        peers: Peers,
        book: LoanBook,
        claims: Claims,
        peer_health: PeerHealth,
        view_as_of: Callable[[], float] = boottime_clock,
        clock: Callable[[], float] = boottime_clock,
        still_known: Callable[[ProgramId], Awaitable[bool]] | None = None,
    ) -> None:
        """Use `still_known` to ask whether the log may have records of a program."""
        self._still_known = still_known
        self._writer = writer
        self._own = own
        self._peers = peers
        self._book = book
        self._claims = claims
        self._peer_health = peer_health
        self._view_as_of = view_as_of
        self._clock = clock
        self.expiry = ClaimExpiry()
        self._stopped = False
        self._append_numbers = itertools.count()

    def rank(self, program: ProgramId) -> int | None:
        """Return this process's rank for a program; None if it may not lend."""
        if self._stopped or not self._peers.own_registration_is(self._writer):
            return None
        if self._clock() - self._view_as_of() > LENDING_LEASE:
            return None
        for lender in self._claims.lenders_of(slot_of(program)):
            if lender.writer == self._writer:
                return lender.rank
        return None

    def host(self, writer: WriterId) -> HostName | None:
        """Return the host of a process; None if it is not registered."""
        return self._own if writer == self._writer else self._peers.host_of(writer)

    async def run(self, keyed_log: KeyedLog, retention: Callable[[], float]) -> None:
        """Claim slots without a live lender and remove expired claims, for ever."""
        await asyncio.sleep(FIRST_CLAIM_DELAY)
        while True:
            await self._forget_programs()
            slots = self._slots_to_claim()
            if slots:
                await self._append(keyed_log, slots)
                log.info("claimed {} slots", len(slots))
            for key in self.expired_claims(retention()):
                await self._remove(keyed_log, key)
            await asyncio.sleep(CLAIM_INTERVAL)

    async def _forget_programs(self) -> None:
        """Forget what was lent to programs that have ended.

        A running program may take its turns from the log alone for longer than it is
        remembered. Its records are removed once it can no longer resume.
        """
        if self._still_known is not None:
            for program in self._book.expired():
                if await self._still_known(program):
                    self._book.keep(program)
        self._book.forget_old()

    async def stop(self, keyed_log: KeyedLog) -> None:
        """Stop lending and remove the claims, so that a successor gets their rank.

        Claims that stay push every later lender to a rank with a smaller part.
        """
        self._stopped = True
        keys = self._claims.keys_of(self._writer)
        carried = CarriedRecord(writer=self._writer, tokens=self._book.totals())
        value = msgspec.json.encode(carried)
        if not keys or len(value) > MAX_CARRIED_BYTES:
            return
        # The key sorts after those of the claims: a reader of pages sees the loans
        # whenever it sees that the claims are gone.
        records = [KeyedRecord(key=f"{self._writer}/carried", value=value)]
        records += [KeyedRecord(key=key, value=b"") for key in keys]
        await self._write(keyed_log, next(self._append_numbers), records)
        log.info("removed {} own claims on shutdown", len(keys))

    def _slots_to_claim(self) -> list[int]:
        """Return the unclaimed slots that rendezvous hashing assigns to this host."""
        if self._stopped or not self._peers.own_registration_is(self._writer):
            return []
        unclaimed = set(self._claims.unclaimed(self._registered))
        return [
            slot
            for slot in self._claims.unclaimed(self._presumed_live)
            if self._is_assigned_here(slot, near=slot not in unclaimed)
        ]

    def _is_assigned_here(self, slot: int, *, near: bool) -> bool:
        """Return whether this host scores highest for a slot.

        With `near` only hosts of this data centre compete: only they send requests to
        a dead host that is still registered, and so notice that it is gone.
        """
        others = self._peers.neighbours() if near else self._peers.hosts()
        hosts = (host for host in others if not self._peer_health.presumed_gone(host))
        return ranks_first(self._own, slot_name(slot), hosts)

    def expired_claims(self, retention: float) -> list[str]:
        """Return the keys of claims whose processes have long been unregistered.

        Reachability does not count: a process that this one can't reach may still
        lend to others.
        """
        return self.expiry.expired(self._claims.writers(), self._registered, retention)

    def _registered(self, writer: WriterId) -> bool:
        return self.host(writer) is not None

    def _presumed_live(self, writer: WriterId) -> bool:
        """Return whether a process is registered and its host not presumed gone.

        A host that is lost for good stays registered. This lets others claim its
        slots as well; it never removes a claim.
        """
        host = self.host(writer)
        return host is not None and not self._peer_health.presumed_gone(host)

    async def _append(self, keyed_log: KeyedLog, slots: list[int]) -> None:
        number = next(self._append_numbers)
        claim = ClaimRecord(writer=self._writer, slots=tuple(slots))
        key = f"{self._writer}/{number}"
        value = msgspec.json.encode(claim)
        record = KeyedRecord(key=key, value=value)
        await self._write(keyed_log, number, [record])

    async def _remove(self, keyed_log: KeyedLog, key: str) -> None:
        number = next(self._append_numbers)
        await self._write(keyed_log, number, [KeyedRecord(key=key, value=b"")])
        log.info("removed claim {} of a process that is no longer registered", key)

    async def _write(
        self, keyed_log: KeyedLog, number: int, records: list[KeyedRecord]
    ) -> None:
        """Append records, retrying with the same sequence number until it succeeds."""
        writer = Writer(name=f"lender-{self._writer}", epoch=1, sequence=number)
        while True:
            result = await keyed_log.append(PARTITION, records, writer=writer)
            if not isinstance(result, Failure):
                return
            await asyncio.sleep(RETRY_INTERVAL)
