"""Validate the records of a shard and derive the state of its programs.

The state is a deterministic function of the records, so all readers agree on it
without a leader and without synchronised clocks. Records of a process that resumes
after another has claimed its program carry an old epoch and are rejected.
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

MAX_VERDICTS = 8192
LOG_START = Offset(0)
ENDED_RETENTION = 20_000  # records
ENDED_WITH_KEYS_RETENTION = 500_000  # records


class Refusal(Enum):
    """Reason why a record is not valid."""

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
    """Result of validating a record."""

    record: RecordId
    offset: Offset
    refusal: Refusal = Refusal.NONE

    @property
    def valid(self) -> bool:
        """Return whether the record takes effect."""
        return self.refusal is Refusal.NONE


class ShardView:
    """State of the programs of one shard, derived from its records.

    If the log was trimmed before `first_offset`, a claim that seems to create a program
    may be a delayed duplicate for one that exists. A later snapshot reveals this; the
    program is then added to `conflicts`, and the shard must be read again with it in
    `snapshot_only`, where only a snapshot creates a program.
    """

    def __init__(
        self,
        *,
        first_offset: Offset = LOG_START,
        snapshot_only: frozenset[ProgramId] = frozenset(),
    ) -> None:
        self._snapshot_only = snapshot_only
        self._created_by_claim: dict[ProgramId, Offset] = {}
        self.conflicts: set[ProgramId] = set()
        self._programs: dict[ProgramId, ProgramState] = {}
        self._verdicts: OrderedDict[RecordId, Verdict] = OrderedDict()
        self._deferred: dict[ProgramId, list[tuple[Offset, ShardRecord]]] = {}
        self._ended_programs: deque[tuple[Offset, ProgramId]] = deque()
        self._ended_with_keys: deque[tuple[Offset, ProgramId]] = deque()
        self._first_offset = first_offset
        self._next = first_offset

    @property
    def next_offset(self) -> Offset:
        """Return the offset of the next record to apply."""
        return self._next

    @property
    def programs(self) -> dict[ProgramId, ProgramState]:
        """Return the state of every known program."""
        return self._programs

    def state(self, program: ProgramId) -> ProgramState | None:
        """Return the state of a program, or None if it is unknown."""
        return self._programs.get(program)

    def verdict(self, record: RecordId) -> Verdict | None:
        """Return the verdict on a record, or None if it was not read recently."""
        return self._verdicts.get(record)

    def apply(self, offset: Offset, record: ShardRecord) -> Verdict:
        """Validate a record and apply it if it is valid."""
        self._next = Offset(offset + 1)
        self._purge_ended(self._ended_programs, offset - ENDED_RETENTION)
        self._purge_ended(self._ended_with_keys, offset - ENDED_WITH_KEYS_RETENTION)
        known = self._verdicts.get(record.id)
        if known is not None:
            # A writer that got no reply appends again; duplicates have no effect.
            return known
        refusal = self._validate_and_apply(offset, record)
        verdict = Verdict(record=record.id, offset=offset, refusal=refusal)
        self._store_verdict(verdict)
        return verdict

    def skip(self, offset: Offset) -> None:
        """Skip an entry of the log that is not a valid record."""
        self._next = Offset(offset + 1)

    def _purge_ended(
        self, ended: deque[tuple[Offset, ProgramId]], oldest_kept: int
    ) -> None:
        """Remove programs that ended before `oldest_kept`.

        Every reader removes them at the same offset. Programs with idempotency keys
        are kept for longer, so that repeated requests are still detected.
        """
        while ended and ended[0][0] < oldest_kept:
            _, program = ended.popleft()
            self._programs.pop(program, None)
            self._created_by_claim.pop(program, None)

    def _store_verdict(self, verdict: Verdict) -> None:
        self._verdicts[verdict.record] = verdict
        while len(self._verdicts) > MAX_VERDICTS:
            self._verdicts.popitem(last=False)

    def _validate_and_apply(self, offset: Offset, record: ShardRecord) -> Refusal:
        if isinstance(record, Snapshot):
            return self._apply_snapshot(offset, record)
        state = self._programs.get(record.program)
        if state is None:
            needs_snapshot = record.program in self._snapshot_only
            if (
                isinstance(record, Claim)
                and record.replaces == 0
                and not needs_snapshot
            ):
                return self._create_program(offset, record)
            if self._first_offset > 0:
                # The start of the log was trimmed; a snapshot with the missing
                # records may follow.
                self._deferred.setdefault(record.program, []).append((offset, record))
            return Refusal.UNKNOWN_PROGRAM
        if state.ended is not None:
            return Refusal.ENDED
        if isinstance(record, Claim):
            return self._apply_claim(state, offset, record)
        if record.epoch != state.epoch or state.released:
            return Refusal.STALE_EPOCH
        match record:
            case Commit():
                return self._apply_commit(state, offset, record)
            case Reserve():
                return self._apply_reserve(state, record)
            case Intent():
                return self._apply_intent(state, record)
            case Withdraw():
                return self._apply_withdraw(state, record)
            case Spawn():
                return self._apply_spawn(state, record)
            case Release():
                return self._apply_release(state, record)
            case End():
                return self._apply_end(state, offset, record)

    def _create_program(self, offset: Offset, record: Claim) -> Refusal:
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
        if self._first_offset > 0:
            self._created_by_claim[record.program] = offset
        return Refusal.NONE

    def _apply_claim(
        self, state: ProgramState, offset: Offset, record: Claim
    ) -> Refusal:
        if record.replaces != state.epoch:
            return Refusal.STALE_EPOCH
        # The previous home may have used its open block without a commit. Counting it
        # as spent ensures that the budget is never exceeded.
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

    def _apply_commit(
        self, state: ProgramState, offset: Offset, record: Commit
    ) -> Refusal:
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

    def _apply_reserve(self, state: ProgramState, record: Reserve) -> Refusal:
        if record.number != state.reserves + 1:
            return Refusal.WRONG_SEQ
        if record.block > state.available:
            return Refusal.NO_BUDGET
        state.reserves = record.number
        state.open_block += record.block
        return Refusal.NONE

    def _apply_intent(self, state: ProgramState, record: Intent) -> Refusal:
        known = state.intents.get(record.key)
        if known is not None and known.outcome is not Outcome.NOT_RUN:
            return Refusal.KEY_USED
        state.intents[record.key] = IntentState(
            epoch=record.epoch,
            request=record.request,
            executor=record.executor,
            attempt=record.attempt,
        )
        return Refusal.NONE

    def _apply_withdraw(self, state: ProgramState, record: Withdraw) -> Refusal:
        intent = state.intents.get(record.key)
        if intent is None or intent.attempt != record.attempt:
            return Refusal.KEY_USED
        if intent.outcome is not Outcome.OPEN:
            return Refusal.KEY_USED
        intent.outcome = Outcome.NOT_RUN
        return Refusal.NONE

    def _apply_spawn(self, state: ProgramState, record: Spawn) -> Refusal:
        if record.child in state.moved or record.child in self._programs:
            return Refusal.KEY_USED
        if record.budget > state.available:
            return Refusal.NO_BUDGET
        state.moved[record.child] = record.budget
        return Refusal.NONE

    def _apply_release(self, state: ProgramState, record: Release) -> Refusal:
        if record.used > state.open_block:
            return Refusal.NO_BUDGET
        state.spent += record.used
        state.open_block = 0
        state.released = True
        state.home = TargetName("")
        return Refusal.NONE

    def _apply_end(self, state: ProgramState, offset: Offset, record: End) -> Refusal:
        state.spent += record.used if record.settled else state.open_block
        state.open_block = 0
        self._end_program(state, offset, record.reason)
        return Refusal.NONE

    def _end_program(self, state: ProgramState, offset: Offset, reason: str) -> None:
        state.ended = reason
        ended = self._ended_with_keys if state.intents else self._ended_programs
        ended.append((offset, state.program))
        for child in list(state.moved):
            child_state = self._programs.get(child)
            if child_state is not None and child_state.ended is None:
                child_state.spent += child_state.open_block
                child_state.open_block = 0
                self._end_program(child_state, offset, "parent ended")
        for intent in state.intents.values():
            if intent.outcome is Outcome.OPEN:
                intent.outcome = Outcome.UNKNOWN
        parent = self._programs.get(state.spec.parent or ProgramId(""))
        if parent is not None and state.program in parent.moved:
            del parent.moved[state.program]
            parent.spent += state.spent

    def _apply_snapshot(self, offset: Offset, record: Snapshot) -> Refusal:
        state = self._programs.get(record.program)
        created = self._created_by_claim.get(record.program)
        if created is not None and created != record.state.created:
            self.conflicts.add(record.program)
            return Refusal.NONE
        if state is None:
            if record.as_of + 1 < self._first_offset:
                return Refusal.STALE_SNAPSHOT
            self._restore(record)
            state = self._programs[record.program]
        if state.ended is None and record.as_of >= state.base:
            self._compact(state, offset, record)
        return Refusal.NONE

    def _restore(self, record: Snapshot) -> None:
        """Create a program from a snapshot and apply its deferred records."""
        state = msgspec.convert(msgspec.to_builtins(record.state), ProgramState)
        self._programs[record.program] = state
        for offset, deferred in self._deferred.pop(record.program, []):
            if offset > record.as_of:
                self._validate_and_apply(offset, deferred)

    def _compact(self, state: ProgramState, offset: Offset, record: Snapshot) -> None:
        """Replace the history before the snapshot by the snapshot itself."""
        later = [entry for entry in state.entries if entry > record.as_of]
        state.entries = [offset, *later]
        # Records between `as_of` and the snapshot's own offset are still needed.
        state.base = Offset(record.as_of + 1)


def _epoch(offset: Offset) -> Epoch:
    """Return the epoch that a claim at the offset begins; never 0."""
    return Epoch(offset + 1)
