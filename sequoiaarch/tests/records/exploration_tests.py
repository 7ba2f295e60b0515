"""Explore the acceptance rule exhaustively in a small scope.

Two homes run one program of three turns, one of them a non-idempotent call.
Each home acts on what it has read, which may be old; its records reach the
log late, twice, or after a pause in which the other home took over. Every
interleaving of claims, commits, intents, dispatches, copies and reads within
the bounds is visited, and the properties are checked in each state.
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
CLAIMS_A_HOME = {"a": 2, "b": 1}
LOG_LIMIT = 7
COPIES = 1


class Issued(NamedTuple):
    """Describe a record by what its writer knew; equal ones are copies."""

    kind: str
    home: str
    epoch: int
    seq: int = 0


class Dispatched(NamedTuple):
    """Remember that a home dispatched the keyed call."""

    home: str
    epoch: int


class World(NamedTuple):
    """Hold one state of the exploration.

    `flying` are records on their way, `copied` those that were appended and
    whose reply was lost, so that one more copy may follow.
    """

    log: tuple[Issued, ...] = ()
    flying: frozenset[Issued] = frozenset()
    copied: frozenset[Issued] = frozenset()
    issued: frozenset[Issued] = frozenset()
    copies: int = 0
    known: tuple[int, int] = (0, 0)
    dispatched: frozenset[Dispatched] = frozenset()
    denied: frozenset[int] = frozenset()


def record_of(one: Issued) -> ShardRecord:
    """Return the record that an issued description stands for."""
    name = RecordId(f"{one.kind}-{one.home}-{one.epoch}-{one.seq}")
    if one.kind == "claim":
        spec = ProgramSpec(workspace=Workspace("alpha"), name="one", budget=BUDGET)
        return Claim(
            id=name,
            program=PROGRAM,
            replaces=Epoch(one.epoch),
            home=TargetName(one.home),
            block=BLOCK,
            spec=spec if one.epoch == 0 else None,
        )
    if one.kind == "intent":
        return Intent(
            id=name,
            program=PROGRAM,
            epoch=Epoch(one.epoch),
            key=KEY,
            request="r",
            executor=TargetName("tools"),
            attempt=AttemptId(f"{one.home}-{one.epoch}"),
        )
    keyed = one.kind == "result"
    return Commit(
        id=name,
        program=PROGRAM,
        epoch=Epoch(one.epoch),
        seq=Seq(one.seq),
        prefix=str(one.seq - 1) if one.seq > 1 else "",
        digest=str(one.seq),
        used=USED,
        block=USED,
        key=KEY if keyed else None,
        outcome=Outcome.DONE if keyed else None,
    )


class Trusting(ShardView):
    """Accept the records of any epoch, as a reader without the rule would."""

    def _judge(self, offset: Offset, record: ShardRecord) -> Refusal:
        state = self._programs.get(record.program)
        if state is not None and isinstance(record, Intent):
            record = msgspec.structs.replace(record, epoch=state.epoch)
            state.intents.pop(KEY, None)
        return super()._judge(offset, record)


Rule = Callable[[], ShardView]


@cache
def fold(
    log: tuple[Issued, ...], rule: Rule
) -> tuple[ProgramState | None, tuple[bool, ...]]:
    """Return the state after a log, and which of its records were valid."""
    view = rule()
    verdicts = []
    for place, one in enumerate(log):
        verdict = view.apply(Offset(place), record_of(one))
        verdicts.append(verdict.valid and verdict.offset == place)
    return view.state(PROGRAM), tuple(verdicts)


def steps(world: World, rule: Rule) -> list[World]:
    """Return every state that can follow."""
    found = []
    for one in world.flying:
        found.extend(land(world, one))
    for one in world.copied:
        if len(world.log) < LOG_LIMIT:
            found.append(
                world._replace(log=(*world.log, one), copied=world.copied - {one})
            )
    for place, home in enumerate(HOMES):
        if world.known[place] < len(world.log):
            found.append(read(world, place))
        found.extend(act(world, place, home, rule))
    return found


def land(world: World, one: Issued) -> list[World]:
    """Append a record, once or with its reply lost."""
    if len(world.log) >= LOG_LIMIT:
        return []
    log = (*world.log, one)
    flying = world.flying - {one}
    landed = world._replace(log=log, flying=flying)
    if world.copies >= COPIES:
        return [landed]
    copied = landed._replace(copied=world.copied | {one}, copies=world.copies + 1)
    return [landed, copied]


def read(world: World, place: int) -> World:
    """Let a home read to the end of the log."""
    known = list(world.known)
    known[place] = len(world.log)
    return world._replace(known=(known[0], known[1]))


def act(world: World, place: int, home: str, rule: Rule) -> list[World]:
    """Let a home do what its knowledge allows."""
    state, _ = fold(world.log[: world.known[place]], rule)
    if any(one.home == home for one in world.flying):
        return []
    if state is None or state.home != home:
        return issue_claim(world, home, state)
    found = []
    epoch = state.epoch
    turn = state.seq + 1
    if turn > TURNS:
        return []
    if turn != KEYED_TURN:
        return issue(world, Issued("commit", home, epoch, turn))
    intent = state.intents.get(KEY)
    if intent is None:
        found += issue(world, Issued("intent", home, epoch))
        if Issued("intent", home, epoch) not in world.issued:
            found.append(world._replace(denied=world.denied | {epoch}))
        return found
    if intent.outcome is Outcome.UNKNOWN:
        return issue(world, Issued("commit", home, epoch, turn))
    done = Dispatched(home, epoch)
    if intent.epoch == epoch and done not in world.dispatched:
        return [world._replace(dispatched=world.dispatched | {done})]
    if done in world.dispatched:
        return issue(world, Issued("result", home, epoch, turn))
    return found


def issue(world: World, one: Issued) -> list[World]:
    """Send a record on its way, once."""
    if one in world.issued:
        return []
    return [world._replace(flying=world.flying | {one}, issued=world.issued | {one})]


def issue_claim(world: World, home: str, state: ProgramState | None) -> list[World]:
    """Claim the program, a bounded number of times."""
    claims = [one for one in world.issued if one.kind == "claim" and one.home == home]
    if len(claims) >= CLAIMS_A_HOME[home]:
        return []
    return issue(world, Issued("claim", home, state.epoch if state else 0))


def explore(rule: Rule) -> set[World]:
    """Return every state that can be reached."""
    seen = {World()}
    stack = [World()]
    while stack:
        for following in steps(stack.pop(), rule):
            if following not in seen:
                seen.add(following)
                stack.append(following)
    return seen


def wrong(world: World) -> bool:
    """Return whether a call ran twice, or ran although that was denied."""
    if len(world.dispatched) > 1:
        return True
    return any(
        dispatch.epoch < epoch
        for epoch in world.denied
        for dispatch in world.dispatched
    )


class ExplorationTests(unittest.TestCase):
    """Visit every state of the small scope."""

    def test_every_interleaving(self) -> None:
        """Find no state that breaks a property, and all that matter."""
        seen = explore(ShardView)
        self.assertEqual([world for world in seen if wrong(world)], [])
        logs = {world.log for world in seen}
        for log in logs:
            self.check_log(log)
        # The scope is large enough only if all that matters occurs in it.
        self.assertGreater(len(seen), 100_000)
        self.assertTrue(any(world.dispatched for world in seen))
        self.assertTrue(any(world.denied for world in seen))
        finals = [state for state, _ in (fold(log, ShardView) for log in logs) if state]
        self.assertTrue(any(state.seq == TURNS for state in finals))
        unknown = [
            state
            for state in finals
            if KEY in state.intents and state.intents[KEY].outcome is Outcome.UNKNOWN
        ]
        self.assertTrue(unknown)

    def test_the_search_finds_a_broken_rule(self) -> None:
        """Find the double dispatch that a rule without epochs allows.

        A home announces the call and is paused; another takes over, announces
        and dispatches it; the first one's record lands late, it reads that
        its record counts, and dispatches the call a second time.
        """
        self.assertTrue(any(wrong(world) for world in explore(Trusting)))

    def check_log(self, log: tuple[Issued, ...]) -> None:
        """Check order, history and budget as every reader sees them."""
        state, valid = fold(log, ShardView)
        if state is None:
            return
        counted = [one for one, counts in zip(log, valid, strict=True) if counts]
        commits = [one for one in counted if one.kind in ("commit", "result")]
        self.assertEqual([one.seq for one in commits], list(range(1, state.seq + 1)))
        self.assertLessEqual(state.spent + state.open_block, BUDGET)
        claims = [one.epoch for one in counted if one.kind == "claim"]
        self.assertEqual(len(set(claims)), len(claims))
