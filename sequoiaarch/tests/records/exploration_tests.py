"""Model-check the validation of records exhaustively in a small scope.

Two homes run one program of three turns, one of them a non-idempotent call. Each home
acts on the part of the log that it has read; its records may be appended late, twice,
or after the other home has taken over. Every interleaving of claims, commits, intents,
dispatches, duplicates and reads within the bounds is visited.
"""

from __future__ import annotations

import unittest
from collections.abc import Callable
from functools import cache
from typing import NamedTuple

import msgspec

from ...ids import (
    AttemptId,
    CallKey,
    Epoch,
    Offset,
    ProgramId,
    RecordId,
    Seq,
    TargetName,
    Workspace,
)
from ...records.acceptance import Refusal, ShardView
from ...records.types import (
    Claim,
    Commit,
    Intent,
    Outcome,
    ProgramSpec,
    ProgramState,
    ShardRecord,
)

PROGRAM = ProgramId("alpha:one")
KEY = CallKey("payout")
TURNS = 3
KEYED_TURN = 2
HOMES = ("a", "b")
BUDGET = 100
BLOCK = 40
USED = 10
MAX_CLAIMS = {"a": 2, "b": 1}
MAX_LOG_LENGTH = 7
MAX_DUPLICATES = 1


class RecordDraft(NamedTuple):
    """Content of a record; equal drafts make duplicate records."""

    kind: str
    home: str
    epoch: int
    seq: int = 0


class Dispatch(NamedTuple):
    """Dispatch of the non-idempotent call by a home."""

    home: str
    epoch: int


class SystemState(NamedTuple):
    """One state of the model.

    `in_flight` are records that were sent and not yet appended. `reply_lost` are
    appended records whose reply was lost, so that they may be appended once more.
    `denied_epochs` are the epochs in which a home answered that the call was not run.
    """

    log: tuple[RecordDraft, ...] = ()
    in_flight: frozenset[RecordDraft] = frozenset()
    reply_lost: frozenset[RecordDraft] = frozenset()
    sent: frozenset[RecordDraft] = frozenset()
    duplicates: int = 0
    read_offsets: tuple[int, int] = (0, 0)
    dispatched: frozenset[Dispatch] = frozenset()
    denied_epochs: frozenset[int] = frozenset()


def build_record(draft: RecordDraft) -> ShardRecord:
    """Return the record of a draft."""
    record_id = RecordId(f"{draft.kind}-{draft.home}-{draft.epoch}-{draft.seq}")
    if draft.kind == "claim":
        spec = ProgramSpec(workspace=Workspace("alpha"), name="one", budget=BUDGET)
        return Claim(
            id=record_id,
            program=PROGRAM,
            replaces=Epoch(draft.epoch),
            home=TargetName(draft.home),
            block=BLOCK,
            spec=spec if draft.epoch == 0 else None,
        )
    if draft.kind == "intent":
        return Intent(
            id=record_id,
            program=PROGRAM,
            epoch=Epoch(draft.epoch),
            key=KEY,
            request="r",
            executor=TargetName("tools"),
            attempt=AttemptId(f"{draft.home}-{draft.epoch}"),
        )
    keyed = draft.kind == "result"
    return Commit(
        id=record_id,
        program=PROGRAM,
        epoch=Epoch(draft.epoch),
        seq=Seq(draft.seq),
        prefix=str(draft.seq - 1) if draft.seq > 1 else "",
        digest=str(draft.seq),
        used=USED,
        block=USED,
        key=KEY if keyed else None,
        outcome=Outcome.DONE if keyed else None,
    )


class EpochlessView(ShardView):
    """Accept an intent of any epoch, as a reader that does not check epochs."""

    def _validate_and_apply(self, offset: Offset, record: ShardRecord) -> Refusal:
        state = self._programs.get(record.program)
        if state is not None and isinstance(record, Intent):
            record = msgspec.structs.replace(record, epoch=state.epoch)
            state.intents.pop(KEY, None)
        return super()._validate_and_apply(offset, record)


ViewFactory = Callable[[], ShardView]


@cache
def replay(
    log: tuple[RecordDraft, ...], make_view: ViewFactory
) -> tuple[ProgramState | None, tuple[bool, ...]]:
    """Return the state after a log, and which of its records were valid."""
    view = make_view()
    verdicts = []
    for index, draft in enumerate(log):
        verdict = view.apply(Offset(index), build_record(draft))
        verdicts.append(verdict.valid and verdict.offset == index)
    return view.state(PROGRAM), tuple(verdicts)


def successors(system: SystemState, make_view: ViewFactory) -> list[SystemState]:
    """Return every state that can follow a state."""
    next_states = []
    for draft in system.in_flight:
        next_states.extend(append_record(system, draft))
    for draft in system.reply_lost:
        if len(system.log) < MAX_LOG_LENGTH:
            next_states.append(
                system._replace(
                    log=(*system.log, draft), reply_lost=system.reply_lost - {draft}
                )
            )
    for index, home in enumerate(HOMES):
        if system.read_offsets[index] < len(system.log):
            next_states.append(read_log(system, index))
        next_states.extend(home_steps(system, index, home, make_view))
    return next_states


def append_record(system: SystemState, draft: RecordDraft) -> list[SystemState]:
    """Append a record, with its reply received or lost."""
    if len(system.log) >= MAX_LOG_LENGTH:
        return []
    log = (*system.log, draft)
    in_flight = system.in_flight - {draft}
    appended = system._replace(log=log, in_flight=in_flight)
    if system.duplicates >= MAX_DUPLICATES:
        return [appended]
    reply_lost = appended._replace(
        reply_lost=system.reply_lost | {draft}, duplicates=system.duplicates + 1
    )
    return [appended, reply_lost]


def read_log(system: SystemState, index: int) -> SystemState:
    """Let a home read to the end of the log."""
    read_offsets = list(system.read_offsets)
    read_offsets[index] = len(system.log)
    return system._replace(read_offsets=(read_offsets[0], read_offsets[1]))


def home_steps(
    system: SystemState, index: int, home: str, make_view: ViewFactory
) -> list[SystemState]:
    """Return the states that follow when a home acts on what it has read."""
    state, _ = replay(system.log[: system.read_offsets[index]], make_view)
    if any(draft.home == home for draft in system.in_flight):
        return []
    if state is None or state.home != home:
        return send_claim(system, home, state)
    next_states = []
    epoch = state.epoch
    turn = state.seq + 1
    if turn > TURNS:
        return []
    if turn != KEYED_TURN:
        return send(system, RecordDraft("commit", home, epoch, turn))
    intent = state.intents.get(KEY)
    if intent is None:
        next_states += send(system, RecordDraft("intent", home, epoch))
        if RecordDraft("intent", home, epoch) not in system.sent:
            next_states.append(
                system._replace(denied_epochs=system.denied_epochs | {epoch})
            )
        return next_states
    if intent.outcome is Outcome.UNKNOWN:
        return send(system, RecordDraft("commit", home, epoch, turn))
    dispatch = Dispatch(home, epoch)
    if intent.epoch == epoch and dispatch not in system.dispatched:
        return [system._replace(dispatched=system.dispatched | {dispatch})]
    if dispatch in system.dispatched:
        return send(system, RecordDraft("result", home, epoch, turn))
    return next_states


def send(system: SystemState, draft: RecordDraft) -> list[SystemState]:
    """Send a record unless it was sent before."""
    if draft in system.sent:
        return []
    return [
        system._replace(
            in_flight=system.in_flight | {draft}, sent=system.sent | {draft}
        )
    ]


def send_claim(
    system: SystemState, home: str, state: ProgramState | None
) -> list[SystemState]:
    """Send a claim unless the home has reached its limit of claims."""
    claims = [
        draft for draft in system.sent if draft.kind == "claim" and draft.home == home
    ]
    if len(claims) >= MAX_CLAIMS[home]:
        return []
    return send(system, RecordDraft("claim", home, state.epoch if state else 0))


def explore(make_view: ViewFactory) -> set[SystemState]:
    """Return every reachable state."""
    reached = {SystemState()}
    stack = [SystemState()]
    while stack:
        for successor in successors(stack.pop(), make_view):
            if successor not in reached:
                reached.add(successor)
                stack.append(successor)
    return reached


def violates_guarantee(system: SystemState) -> bool:
    """Return whether the call ran twice, or after a home answered "not run"."""
    if len(system.dispatched) > 1:
        return True
    return any(
        dispatch.epoch < epoch
        for epoch in system.denied_epochs
        for dispatch in system.dispatched
    )


class ExplorationTests(unittest.TestCase):
    """Visit every state within the bounds."""

    def test_every_interleaving_keeps_the_properties(self) -> None:
        """Find no violation, and reach every kind of state."""
        reached = explore(ShardView)
        self.assertEqual(
            [system for system in reached if violates_guarantee(system)], []
        )
        logs = {system.log for system in reached}
        for log in logs:
            self.check_log(log)
        # The bounds must be large enough for all relevant cases.
        self.assertGreater(len(reached), 100_000)
        self.assertTrue(any(system.dispatched for system in reached))
        self.assertTrue(any(system.denied_epochs for system in reached))
        final_states = [
            state for state, _ in (replay(log, ShardView) for log in logs) if state
        ]
        self.assertTrue(any(state.seq == TURNS for state in final_states))
        unknown = [
            state
            for state in final_states
            if KEY in state.intents and state.intents[KEY].outcome is Outcome.UNKNOWN
        ]
        self.assertTrue(unknown)

    def test_exploration_detects_a_view_without_epoch_checks(self) -> None:
        """Find the double dispatch that a view without epoch checks allows.

        A home sends an intent and is paused; another takes over, logs an intent and
        dispatches the call. The first intent is then appended and accepted, and its
        home dispatches the call again.
        """
        self.assertTrue(
            any(violates_guarantee(system) for system in explore(EpochlessView))
        )

    def check_log(self, log: tuple[RecordDraft, ...]) -> None:
        """Check the order of commits, the budget, and that claims differ in epoch."""
        state, valid = replay(log, ShardView)
        if state is None:
            return
        valid_drafts = [
            draft for draft, is_valid in zip(log, valid, strict=True) if is_valid
        ]
        commits = [
            draft for draft in valid_drafts if draft.kind in ("commit", "result")
        ]
        self.assertEqual(
            [draft.seq for draft in commits], list(range(1, state.seq + 1))
        )
        self.assertLessEqual(state.spent + state.open_block, BUDGET)
        claims = [draft.epoch for draft in valid_drafts if draft.kind == "claim"]
        self.assertEqual(len(set(claims)), len(claims))
