"""Give each process its place among the lenders of programs."""

from __future__ import annotations

import time
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass

import logbook
import msgspec
import xxhash

from ..ids import Offset, ProgramId, WriterId
from ..storage.keyed import ListedRecord

log = logbook.Logger("lenders")

TOPIC = "keyed.lenders"
# Programs fall into so many slots, each with lenders of its own: enough that 38
# processes have about the same share, and one record names all slots of one.
SLOTS = 512
# A process lends only if it has seen its claim and its own registration in the
# store within this time. It has to outlast the outages in which lending helps,
# which take seconds. Seconds.
LENDING_LEASE = 60.0
# Beyond the lease and the longest retention, before a claim is removed: what a
# program may take to come back and to end. Seconds.
EXPIRY_MARGIN = 60.0


class ClaimRecord(msgspec.Struct, frozen=True, kw_only=True, tag="claim"):
    """Say that a process lends to the programs of some slots."""

    writer: WriterId
    slots: tuple[int, ...]


class CarriedRecord(msgspec.Struct, frozen=True, kw_only=True, tag="carried"):
    """Say what a process that stopped had lent, by program.

    It took its claims back with the same append. Whoever lends to one of these
    programs now counts that much as lent, so nothing is lent twice.
    """

    writer: WriterId
    tokens: dict[ProgramId, int]


LenderRecord = ClaimRecord | CarriedRecord


@dataclass(frozen=True, kw_only=True)
class Claim:
    """Hold a claim with its place in the log."""

    key: str
    record: ClaimRecord
    offset: Offset


@dataclass(frozen=True, kw_only=True)
class SlotLender:
    """Name a lender of a slot; each place has a part of the budget of its own."""

    writer: WriterId
    rank: int


def slot_of(program: ProgramId) -> int:
    """Return the slot of a program."""
    return xxhash.xxh32_intdigest(f"slot/{program}".encode()) % SLOTS


def slot_name(slot: int) -> str:
    """Return the name by which processes rank for a slot."""
    return f"slot/{slot}"


class Claims:
    """Hold all claims in the order of the log, from which the places follow.

    Nobody is ever put out of a place: a lender that is dead, frozen or cut off
    keeps its part, and one that follows it has the next, smaller part. So two
    processes may lend to a program at once, or wake after a pause, without
    handing out the same tokens. A view that lags shows a place that is too
    high, never one too low, since claims are added at the end.
    """

    def __init__(self) -> None:
        self._claims: dict[str, Claim] = {}
        self._carried: dict[str, CarriedRecord] = {}
        # The lenders of each slot; made anew after a change.
        self._lenders: dict[int, list[SlotLender]] | None = None

    def replace(self, records: Sequence[ListedRecord]) -> None:
        """Take over the complete list."""
        self._claims.clear()
        self._carried.clear()
        self._lenders = None
        for record in records:
            self.change(record)

    def change(self, record: ListedRecord) -> None:
        """Take over one claim, or its removal."""
        self._claims.pop(record.key, None)
        self._carried.pop(record.key, None)
        self._lenders = None
        if not record.value:
            return
        try:
            found: LenderRecord = msgspec.json.decode(record.value, type=LenderRecord)
        except msgspec.DecodeError as error:
            log.warning("claim {} can't be read: {}", record.key, error)
            return
        if isinstance(found, CarriedRecord):
            self._carried[record.key] = found
            return
        self._claims[record.key] = Claim(
            key=record.key, record=found, offset=record.offset
        )

    def carried(self, program: ProgramId) -> int:
        """Return what processes that stopped had lent of a program."""
        return sum(one.tokens.get(program, 0) for one in self._carried.values())

    def keys_of(self, writer: WriterId) -> list[str]:
        """Return the keys of a process's claims."""
        return [one.key for one in self.all() if one.record.writer == writer]

    def writers(self) -> dict[str, WriterId]:
        """Return the process of each record."""
        found = {key: one.record.writer for key, one in self._claims.items()}
        found.update((key, one.writer) for key, one in self._carried.items())
        return found

    def all(self) -> list[Claim]:
        """Return all claims in the order of the log."""
        return sorted(self._claims.values(), key=lambda one: one.offset)

    def lenders_of(self, slot: int) -> list[SlotLender]:
        """Return the lenders of a slot, the first one first."""
        if self._lenders is None:
            self._lenders = self._by_slot()
        return self._lenders.get(slot, [])

    def _by_slot(self) -> dict[int, list[SlotLender]]:
        """Return the lenders of each slot, which loans ask for far more often."""
        found: dict[int, list[SlotLender]] = {}
        for claim in self.all():
            for slot in set(claim.record.slots):
                lenders = found.setdefault(slot, [])
                lender = SlotLender(writer=claim.record.writer, rank=len(lenders))
                lenders.append(lender)
        return found

    def unclaimed(self, live: Callable[[WriterId], bool]) -> list[int]:
        """Return the slots that no living process lends to."""
        claimed: set[int] = set()
        for claim in self._claims.values():
            if live(claim.record.writer):
                claimed.update(claim.record.slots)
        return [slot for slot in range(SLOTS) if slot not in claimed]


class ClaimExpiry:
    """Say which claims can no longer matter, so that places don't run out.

    A claim may go when its process can't lend any more and no program that it
    lent to can come back. Its process stops a lease after it saw itself
    registered for the last time; this one counts from when it saw that the
    registration had gone, so from later.
    """

    def __init__(self, *, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._gone_since: dict[str, float] = {}

    def expired(
        self,
        writers: Mapping[str, WriterId],
        live: Callable[[WriterId], bool],
        retention: float,
    ) -> list[str]:
        """Return the keys of records to remove, of which the processes are known.

        `retention` is the longest one.
        """
        now = self._clock()
        gone = {key for key, writer in writers.items() if not live(writer)}
        self._gone_since = {key: self._gone_since.get(key, now) for key in sorted(gone)}
        wait = LENDING_LEASE + retention + EXPIRY_MARGIN
        return [key for key, since in self._gone_since.items() if since + wait < now]
