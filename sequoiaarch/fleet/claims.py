"""Derive the order of each slot's lenders from the claims in the log."""

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
# Programs are hashed into this many slots, each with its own lenders. With so many, 38
# processes have about equal shares, and one record still names all slots of a process.
SLOTS = 512
# A process lends only if it saw its claim and its registration in the store within
# this time. Exceeds the short store outages that loans cover. Seconds.
LENDING_LEASE = 60.0
# Added to the lease and the longest retention before a claim expires, for programs
# that resume late. Seconds.
EXPIRY_MARGIN = 60.0


class ClaimRecord(msgspec.Struct, frozen=True, kw_only=True, tag="claim"):
    """Claim of a process to lend to the programs of some slots."""

    writer: WriterId
    slots: tuple[int, ...]


class CarriedRecord(msgspec.Struct, frozen=True, kw_only=True, tag="carried"):
    """Tokens that a stopped process had lent, by program.

    Written in the same append that removes its claims. Later lenders of these
    programs count these tokens as lent, so that nothing is lent twice.
    """

    writer: WriterId
    tokens: dict[ProgramId, int]


LenderRecord = ClaimRecord | CarriedRecord


@dataclass(frozen=True, kw_only=True)
class Claim:
    """A claim with its key and offset in the log."""

    key: str
    record: ClaimRecord
    offset: Offset


@dataclass(frozen=True, kw_only=True)
class SlotLender:
    """Lender of a slot; each rank may lend its own part of a budget."""

    writer: WriterId
    rank: int


def slot_of(program: ProgramId) -> int:
    """Return the slot of a program."""
    return xxhash.xxh32_intdigest(f"slot/{program}".encode()) % SLOTS


def slot_name(slot: int) -> str:
    """Return the rendezvous key of a slot."""
    return f"slot/{slot}"


class Claims:
    """All slot claims, in the order of the log.

    A lender keeps its rank even if it is dead, frozen or partitioned; its successor
    gets the next rank with a smaller part of the budget. Several processes can
    therefore lend to one program without lending the same tokens. Claims are
    appended, so a stale view never shows a lender at a rank that is too low.
    """

    def __init__(self) -> None:
        self._claims: dict[str, Claim] = {}
        self._carried: dict[str, CarriedRecord] = {}
        # Lenders by slot; None after a change.
        self._lenders: dict[int, list[SlotLender]] | None = None

    def replace(self, records: Sequence[ListedRecord]) -> None:
        """Replace all claims by a complete list."""
        self._claims.clear()
        self._carried.clear()
        self._lenders = None
        for record in records:
            self.apply(record)

    def apply(self, record: ListedRecord) -> None:
        """Apply one record: a claim, carried loans, or a removal."""
        self._claims.pop(record.key, None)
        self._carried.pop(record.key, None)
        self._lenders = None
        if not record.value:
            return
        try:
            decoded: LenderRecord = msgspec.json.decode(record.value, type=LenderRecord)
        except (msgspec.DecodeError, RecursionError) as error:
            log.warning("cannot decode claim {}: {}", record.key, error)
            return
        if isinstance(decoded, CarriedRecord):
            self._carried[record.key] = decoded
            return
        self._claims[record.key] = Claim(
            key=record.key, record=decoded, offset=record.offset
        )

    def carried(self, program: ProgramId) -> int:
        """Return the tokens of a program that stopped processes had lent."""
        return sum(loans.tokens.get(program, 0) for loans in self._carried.values())

    def keys_of(self, writer: WriterId) -> list[str]:
        """Return the keys of a process's claims."""
        return [claim.key for claim in self.all() if claim.record.writer == writer]

    def writers(self) -> dict[str, WriterId]:
        """Return the writer of each record, by its key."""
        writers = {key: claim.record.writer for key, claim in self._claims.items()}
        writers.update((key, loans.writer) for key, loans in self._carried.items())
        return writers

    def all(self) -> list[Claim]:
        """Return all claims in the order of the log."""
        return sorted(self._claims.values(), key=lambda claim: claim.offset)

    def lenders_of(self, slot: int) -> list[SlotLender]:
        """Return the lenders of a slot, by rank."""
        if self._lenders is None:
            self._lenders = self._by_slot()
        return self._lenders.get(slot, [])

    def _by_slot(self) -> dict[int, list[SlotLender]]:
        """Return the lenders of every slot, by rank."""
        by_slot: dict[int, list[SlotLender]] = {}
        for claim in self.all():
            for slot in set(claim.record.slots):
                lenders = by_slot.setdefault(slot, [])
                lender = SlotLender(writer=claim.record.writer, rank=len(lenders))
                lenders.append(lender)
        return by_slot

    def unclaimed(self, live: Callable[[WriterId], bool]) -> list[int]:
        """Return the slots without a claim of a live process."""
        claimed: set[int] = set()
        for claim in self._claims.values():
            if live(claim.record.writer):
                claimed.update(claim.record.slots)
        return [slot for slot in range(SLOTS) if slot not in claimed]


class ClaimExpiry:
    """Decide which claims of ended processes can be removed.

    A claim expires when its process can no longer lend and no program that borrowed
    from it can resume. A process stops lending one lease after it last saw its own
    registration; the wait here starts later, when the registration is seen gone.
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
        """Return the keys of records that can be removed.

        `retention` is the longest retention of any turn, in seconds.
        """
        now = self._clock()
        gone = {key for key, writer in writers.items() if not live(writer)}
        self._gone_since = {key: self._gone_since.get(key, now) for key in sorted(gone)}
        wait = LENDING_LEASE + retention + EXPIRY_MARGIN
        return [key for key, since in self._gone_since.items() if since + wait < now]
