"""Decide which records of a shard count.

This is a pure fold over the stream: the same records give the same state at
every reader, so no writer needs authority and no clock has to be trusted. A
process that was paused and wakes writes records of an old epoch, and every
reader ignores them.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from enum import Enum

import msgspec

from ..ids import Epoch, Offset, ProgramId, RecordId, TargetName
from .types import (
    Claim,
    Commit,
    End,
    Intent,
    IntentState,
    Outcome,
    ProgramState,
    Release,
    Reserve,
    ShardRecord,
    Snapshot,
    Spawn,
    Withdraw,
)

VERDICTS_KEPT = 8192
BEGINNING = Offset(0)
ENDED_KEPT = 20_000
KEYED_KEPT = 500_000


class Refusal(Enum):
    """Say why a record does not count."""

    NONE = "valid"
    UNKNOWN_PROGRAM = "unknown program"
    STALE_EPOCH = "another epoch is current"
    ENDED = "program ended"
    WRONG_SEQ = "not the next in sequence"
    WRONG_PREFIX = "history differs"
    NO_SPEC = "claim of a new program without its description"
    NO_SPAWN = "parent did not spawn this sub-agent"
    NO_BUDGET = "budget does not allow it"
    KEY_USED = "key already used"
    STALE_SNAPSHOT = "records after the snapshot are missing"


class Verdict(msgspec.Struct, frozen=True, kw_only=True):
    """Tell a writer what became of its record."""

    record: RecordId
    offset: Offset
    refusal: Refusal = Refusal.NONE

    @property
    def valid(self) -> bool:
        """Return whether the record counts."""
        return self.refusal is Refusal.NONE


class ShardView:
    """Fold the records of one shard into the state of its programs.

    A reader that begins at `first`, after the log has forgotten what was
    before, can't know by itself whether a claim of a new program is a late
    copy for one that exists. A later snapshot tells; the program then stands
    in `conflicts`, and reading must begin again with it in `distrusted`.
    """

    def __init__(
        self,
        *,
        first_offset: Offset = BEGINNING,
        distrusted: frozenset[ProgramId] = frozenset(),
    ) -> None:
        self._distrusted = distrusted
        self._created_here: dict[ProgramId, Offset] = {}
        self.conflicts: set[ProgramId] = set()
        self._programs: dict[ProgramId, ProgramState] = {}
        self._verdicts: OrderedDict[RecordId, Verdict] = OrderedDict()
        self._orphans: dict[ProgramId, list[tuple[Offset, ShardRecord]]] = {}
        self._ended: deque[tuple[Offset, ProgramId]] = deque()
        self._ended_keyed: deque[tuple[Offset, ProgramId]] = deque()
        self._first = first_offset
        self._next = first_offset

    @property
    def next_offset(self) -> Offset:
        """Return the offset of the record that is read next."""
        return self._next

    @property
    def programs(self) -> dict[ProgramId, ProgramState]:
        """Return the state of every program that the view knows."""
        return self._programs

    def state(self, program: ProgramId) -> ProgramState | None:
        """Return the state of a program, or None where it is unknown."""
        return self._programs.get(program)

    def verdict(self, record: RecordId) -> Verdict | None:
        """Return the first verdict on a record that was read lately."""
        return self._verdicts.get(record)

    def apply(self, offset: Offset, record: ShardRecord) -> Verdict:
        """Judge the record at its offset and fold it in if it is valid."""
        self._next = Offset(offset + 1)
        self._forget_ended(self._ended, offset - ENDED_KEPT)
        self._forget_ended(self._ended_keyed, offset - KEYED_KEPT)
        earlier = self._verdicts.get(record.id)
        if earlier is not None:
            # A writer whose append reply was lost appends again. The first
            # copy was judged already; the second must change nothing.
            return earlier
        refusal = self._judge(offset, record)
        verdict = Verdict(record=record.id, offset=offset, refusal=refusal)
        self._remember(verdict)
        return verdict

    def skip(self, offset: Offset) -> None:
        """Pass over bytes that are no record of ours."""
        self._next = Offset(offset + 1)

    def _forget_ended(
        self, ended: deque[tuple[Offset, ProgramId]], horizon: int
    ) -> None:
        """Drop programs that ended long ago, at the same place in every view.

        Those with idempotency keys are kept for longer, since a repeat of a
        key must find out that it was used.
        """
        while ended and ended[0][0] < horizon:
            _, program = ended.popleft()
            self._programs.pop(program, None)
            self._created_here.pop(program, None)

    def _remember(self, verdict: Verdict) -> None:
        self._verdicts[verdict.record] = verdict
        while len(self._verdicts) > VERDICTS_KEPT:
            self._verdicts.popitem(last=False)

    def _judge(self, offset: Offset, record: ShardRecord) -> Refusal:
        if isinstance(record, Snapshot):
            return self._snapshot(offset, record)
        state = self._programs.get(record.program)
        if state is None:
            doubted = record.program in self._distrusted
            if isinstance(record, Claim) and record.replaces == 0 and not doubted:
                return self._create(offset, record)
            if self._first > 0:
                # The stream's beginning has left retention. A snapshot may
                # still follow that stands for what is missing here.
                self._orphans.setdefault(record.program, []).append((offset, record))
            return Refusal.UNKNOWN_PROGRAM
        if state.ended is not None:
            return Refusal.ENDED
        if isinstance(record, Claim):
            return self._claim(state, offset, record)
        if record.epoch != state.epoch or state.released:
            return Refusal.STALE_EPOCH
        match record:
            case Commit():
                return self._commit(state, offset, record)
            case Reserve():
                return self._reserve(state, record)
            case Intent():
                return self._intent(state, record)
            case Withdraw():
                return self._withdraw(state, record)
            case Spawn():
                return self._spawn(state, record)
            case Release():
                return self._release(state, record)
            case End():
                return self._end(state, offset, record)

    def _create(self, offset: Offset, record: Claim) -> Refusal:
        spec = record.spec
        if spec is None:
            return Refusal.NO_SPEC
        if spec.parent is not None:
            parent = self._programs.get(spec.parent)
            if parent is None or parent.ended is not None:
                return Refusal.NO_SPAWN
            if parent.moved.get(record.program) != spec.budget:
                return Refusal.NO_SPAWN
        state = ProgramState(
            program=record.program,
            spec=spec,
            epoch=_epoch(offset),
            home=record.home,
            claim=record.id,
            created=offset,
            base=offset,
        )
        state.open_block = min(record.block, state.available)
        self._programs[record.program] = state
        if self._first > 0:
            self._created_here[record.program] = offset
        return Refusal.NONE

    def _claim(self, state: ProgramState, offset: Offset, record: Claim) -> Refusal:
        if record.replaces != state.epoch:
            return Refusal.STALE_EPOCH
        # The old home may have used its open block before it died. Counting
        # it as spent may waste budget but can never exceed it.
        state.spent += state.open_block
        state.open_block = 0
        for intent in state.intents.values():
            if intent.outcome is Outcome.OPEN:
                intent.outcome = Outcome.UNKNOWN
        state.epoch = _epoch(offset)
        state.home = record.home
        state.claim = record.id
        state.released = False
        state.open_block = min(record.block, state.available)
        return Refusal.NONE

    def _commit(self, state: ProgramState, offset: Offset, record: Commit) -> Refusal:
        if record.seq != state.seq + 1:
            return Refusal.WRONG_SEQ
        if record.prefix != state.digest:
            return Refusal.WRONG_PREFIX
        if record.used > state.open_block:
            return Refusal.NO_BUDGET
        if record.key is not None:
            intent = state.intents.get(record.key)
            if intent is None or intent.outcome is not Outcome.OPEN:
                return Refusal.KEY_USED
            intent.outcome = record.outcome or Outcome.DONE
            intent.answer_offset = offset
        state.seq = record.seq
        state.digest = record.digest
        state.message_count += record.message_count
        state.entries.append(offset)
        state.spent += record.used
        state.open_block -= record.used
        state.open_block += min(record.block, state.available)
        return Refusal.NONE

    def _reserve(self, state: ProgramState, record: Reserve) -> Refusal:
        if record.number != state.reserves + 1:
            return Refusal.WRONG_SEQ
        if record.block > state.available:
            return Refusal.NO_BUDGET
        state.reserves = record.number
        state.open_block += record.block
        return Refusal.NONE

    def _intent(self, state: ProgramState, record: Intent) -> Refusal:
        earlier = state.intents.get(record.key)
        if earlier is not None and earlier.outcome is not Outcome.NOT_RUN:
            return Refusal.KEY_USED
        state.intents[record.key] = IntentState(
            epoch=record.epoch,
            request=record.request,
            executor=record.executor,
            attempt=record.attempt,
        )
        return Refusal.NONE

    def _withdraw(self, state: ProgramState, record: Withdraw) -> Refusal:
        intent = state.intents.get(record.key)
        if intent is None or intent.attempt != record.attempt:
            return Refusal.KEY_USED
        if intent.outcome is not Outcome.OPEN:
            return Refusal.KEY_USED
        intent.outcome = Outcome.NOT_RUN
        return Refusal.NONE

    def _spawn(self, state: ProgramState, record: Spawn) -> Refusal:
        if record.child in state.moved or record.child in self._programs:
            return Refusal.KEY_USED
        if record.budget > state.available:
            return Refusal.NO_BUDGET
        state.moved[record.child] = record.budget
        return Refusal.NONE

    def _release(self, state: ProgramState, record: Release) -> Refusal:
        if record.used > state.open_block:
            return Refusal.NO_BUDGET
        state.spent += record.used
        state.open_block = 0
        state.released = True
        state.home = TargetName("")
        return Refusal.NONE

    def _end(self, state: ProgramState, offset: Offset, record: End) -> Refusal:
        state.spent += record.used if record.settled else state.open_block
        state.open_block = 0
        self._close(state, offset, record.reason)
        return Refusal.NONE

    def _close(self, state: ProgramState, offset: Offset, reason: str) -> None:
        state.ended = reason
        ended = self._ended_keyed if state.intents else self._ended
        ended.append((offset, state.program))
        for child in list(state.moved):
            running = self._programs.get(child)
            if running is not None and running.ended is None:
                running.spent += running.open_block
                running.open_block = 0
                self._close(running, offset, "parent ended")
        for intent in state.intents.values():
            if intent.outcome is Outcome.OPEN:
                intent.outcome = Outcome.UNKNOWN
        parent = self._programs.get(state.spec.parent or ProgramId(""))
        if parent is not None and state.program in parent.moved:
            del parent.moved[state.program]
            parent.spent += state.spent

    def _snapshot(self, offset: Offset, record: Snapshot) -> Refusal:
        known = self._programs.get(record.program)
        created = self._created_here.get(record.program)
        if created is not None and created != record.state.created:
            self.conflicts.add(record.program)
            return Refusal.NONE
        if known is None:
            if record.as_of + 1 < self._first:
                return Refusal.STALE_SNAPSHOT
            self._adopt(record)
            known = self._programs[record.program]
        if known.ended is None and record.as_of >= known.base:
            self._shorten(known, offset, record)
        return Refusal.NONE

    def _adopt(self, record: Snapshot) -> None:
        copy = msgspec.convert(msgspec.to_builtins(record.state), ProgramState)
        self._programs[record.program] = copy
        for offset, later in self._orphans.pop(record.program, []):
            if offset > record.as_of:
                self._judge(offset, later)

    def _shorten(self, state: ProgramState, offset: Offset, record: Snapshot) -> None:
        """Read the history from the snapshot instead of older records."""
        later = [entry for entry in state.entries if entry > record.as_of]
        state.entries = [offset, *later]
        # What lies between the snapshot's knowledge and its place is needed
        # too by a reader who begins with it.
        state.base = Offset(record.as_of + 1)


def _epoch(offset: Offset) -> Epoch:
    """Return the epoch of a claim at the offset; no epoch is ever zero."""
    return Epoch(offset + 1)
