"""Build histories and grants from the records of one partition."""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass, field

import logbook

from ..ids import ProgramId, TurnId, WriterId
from .records import GrantRecord, IndexRecord, TurnRecord, decode_record

log = logbook.Logger("ledger")

# A longer chain of parent turns is taken for a cycle.
MAX_CHAIN_LENGTH = 10_000


@dataclass(kw_only=True)
class Grant:
    """Newest valid grant of a writer; `updated_at` is on the clock of the state.

    `others` are the grants of the other writers at its position in the log, known only
    for grants of this process.
    """

    tokens: int
    used: int
    updated_at: float
    wanted: int = 0
    others: tuple[Grant, ...] | None = None

    def wanted_since(self, since: float) -> int:
        """Return the demand, or only the grant if last updated before `since`."""
        return (
            max(self.tokens, self.wanted) if self.updated_at >= since else self.tokens
        )


@dataclass(kw_only=True)
class ProgramRecords:
    """Turns and grants of one program.

    `in_order` is set if all its records were applied in order from the first.
    """

    in_order: bool
    turns: set[TurnId] = field(default_factory=set)
    grants: dict[WriterId, Grant] = field(default_factory=dict)


class LedgerState:
    """State of all programs in one partition, derived from its records.

    All processes apply the same records in the same order, so they agree on which
    grants are valid: one that did not fit the budget at its position in the log never
    counts. `own_grant` returns what this process knows to be granted to itself.

    A state that starts from a snapshot of the newest records can't check earlier grants
    and takes those of other writers as valid. It may refuse a turn that would fit, but
    never uses tokens granted to another process.
    """

    def __init__(
        self,
        *,
        writer: WriterId,
        clock: Callable[[], float] = time.monotonic,
        own_grant: Callable[[ProgramId], int | None] = lambda program: None,
    ) -> None:
        self._writer = writer
        self._clock = clock
        self._own_grant = own_grant
        self._turns: dict[TurnId, TurnRecord] = {}
        self._programs: dict[ProgramId, ProgramRecords] = {}
        self._program_of: dict[str, ProgramId] = {}
        self.turn_bytes = 0

    @property
    def turns(self) -> int:
        """Return the number of turns in memory."""
        return len(self._turns)

    def now(self) -> float:
        """Return the time on the clock of this state, in seconds."""
        return self._clock()

    def apply(self, key: str, value: bytes, *, ordered: bool = True) -> None:
        """Apply one record.

        `ordered` says that all records before it in the log were applied; it is False
        for a snapshot of the newest records.
        """
        if not value:
            self.remove(key)
            return
        record = decode_record(value)
        if record is None or isinstance(record, IndexRecord):
            log.warning("record {} can't be decoded and is skipped", key)
            return
        program = self._programs.get(record.program)
        if program is None:
            program = ProgramRecords(in_order=ordered)
            self._programs[record.program] = program
        program.in_order = program.in_order and ordered
        self._program_of[key] = record.program
        if isinstance(record, TurnRecord):
            self._put_turn(program, TurnId(key), record)
        else:
            self._put_grant(program, record, ordered)

    def remove(self, key: str) -> None:
        """Remove the record of a key."""
        name = self._program_of.pop(key, None)
        if name is None:
            return
        program = self._programs[name]
        self._drop_turn(TurnId(key))
        program.turns.discard(TurnId(key))
        program.grants.pop(WriterId(key.rpartition("/")[2]), None)
        if not program.turns and not program.grants:
            del self._programs[name]

    def drop_turns(self) -> None:
        """Free the memory of all turns; grants are kept."""
        for turn in list(self._turns):
            self.remove(turn)

    def granted(self, program: ProgramId, writer: WriterId) -> int:
        """Return the tokens that a writer was granted."""
        grant = self._grants(program).get(writer)
        return grant.tokens if grant is not None else 0

    def wanted_by_others(self, program: ProgramId, since: float) -> int:
        """Return the tokens that all other writers were granted or may need.

        Demand beyond a grant counts only for records applied at `since` or later on
        this state's clock.
        """
        grants = self._grants(program).items()
        others = (grant for name, grant in grants if name != self._writer)
        return sum(grant.wanted_since(since) for grant in others)

    def wanted_by_others_at_grant(
        self, program: ProgramId, writer: WriterId, since: float
    ) -> int | None:
        """Return the demand of the others at the position of a writer's newest grant.

        None if the records before it are not known.
        """
        grant = self._grants(program).get(writer)
        if grant is None or grant.others is None:
            return None
        return sum(other.wanted_since(since) for other in grant.others)

    def used_by_others(self, program: ProgramId) -> int:
        """Return the tokens that all other writers have used."""
        grants = self._grants(program).items()
        return sum(grant.used for name, grant in grants if name != self._writer)

    def may_release(self, program: ProgramId, since: float) -> bool:
        """Return whether another writer may soon release a part of its grant.

        That is one whose demand exceeds what it used, in a record applied at `since` or
        later.
        """
        return any(
            grant.wanted_since(since) > grant.used and grant.updated_at >= since
            for name, grant in self._grants(program).items()
            if name != self._writer
        )

    def describe_others(self, program: ProgramId) -> str:
        """Describe the grants of all other writers, for a log line."""
        now = self._clock()
        return ", ".join(
            f"{name} {grant.tokens} of which {grant.used} used, {grant.wanted} wanted "
            f"{now - grant.updated_at:.1f} s ago"
            for name, grant in self._grants(program).items()
            if name != self._writer
        )

    def has_program(self, program: ProgramId) -> bool:
        """Return whether a program has any record."""
        return program in self._programs

    def program_of(self, turn: TurnId) -> ProgramId | None:
        """Return the program of a known turn."""
        return self._program_of.get(turn)

    def has_turn(self, turn: TurnId) -> bool:
        """Return whether a turn is known."""
        return turn in self._turns

    def history(self, turn: TurnId) -> bytes | None:
        """Return the prompt up to a turn; None if a part of it is missing."""
        parts: list[bytes] = []
        current: TurnId | None = turn
        while current is not None:
            record = self._turns.get(current)
            if record is None:
                return None
            parts += (record.produced, record.given, record.base)
            current = record.parent
            if len(parts) > 3 * MAX_CHAIN_LENGTH:
                log.error("turn {} has a cycle in its chain of parent turns", turn)
                return None
        parts.reverse()
        return b"".join(parts)

    def _grants(self, program: ProgramId) -> dict[WriterId, Grant]:
        records = self._programs.get(program)
        return records.grants if records is not None else {}

    def _put_turn(
        self, program: ProgramRecords, turn: TurnId, record: TurnRecord
    ) -> None:
        self._drop_turn(turn)
        program.turns.add(turn)
        self._turns[turn] = record
        self.turn_bytes += _size(record)

    def _drop_turn(self, turn: TurnId) -> None:
        record = self._turns.pop(turn, None)
        if record is not None:
            self.turn_bytes -= _size(record)

    def _put_grant(
        self, program: ProgramRecords, record: GrantRecord, ordered: bool
    ) -> None:
        tokens = record.tokens
        known = program.grants.get(record.writer)
        previous = known.tokens if known is not None else 0
        own = record.writer == self._writer
        if own and not ordered:
            # A snapshot does not show whether the grant fitted the budget at its
            # position; this process remembers what it was granted.
            remembered = self._own_grant(record.program)
            tokens = record.tokens if remembered is None else remembered
        elif ordered and record.tokens > previous and (own or program.in_order):
            others = sum(grant.tokens for grant in program.grants.values()) - previous
            limit = record.budget if record.limit is None else record.limit
            if others + record.tokens > limit:
                return
        others_now = (
            grant for name, grant in program.grants.items() if name != record.writer
        )
        program.grants[record.writer] = Grant(
            tokens=tokens,
            used=record.used,
            updated_at=self._clock(),
            wanted=record.wanted,
            others=tuple(others_now) if own and ordered else None,
        )


def _size(record: TurnRecord) -> int:
    return len(record.base) + len(record.given) + len(record.produced)
